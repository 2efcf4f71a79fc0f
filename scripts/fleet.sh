# Functions that start a small fleet of separate processes on loopback, for the demonstration and the tests.
# The caller sets: bin (directory of the programs), work (scratch directory), base (second part of 127.x.y.z).

pids=()

stop_fleet() {
    [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2> /dev/null || true
    wait 2> /dev/null || true
    pids=()
}

# wait_until DESCRIPTION COMMAND...: repeats a command until it succeeds, for a minute at most.
wait_until() {
    local what=$1
    shift
    for _ in $(seq 600); do
        if "$@" > /dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "gave up waiting: $what" >&2
    return 1
}

# start NAME COMMAND...: starts a program with its output in a log; its process number is in pid_NAME.
start() {
    local name=$1
    shift
    "$@" >> "$work/$name.log" 2>&1 &
    pids+=($!)
    printf -v "pid_${name//-/_}" '%s' "$!"
}

# write_hosts REVISION ENTRIES ENGINES APPLICATIONS [LEAVING_ID]: writes the host list in one step.
write_hosts() {
    jq -n --argjson revision "$1" --argjson entries "$2" --argjson engines "$3" --argjson applications "$4" \
        --arg leaving "${5:-}" --arg base "127.$base" '
        def state: if .id == $leaving then .state = "leaving" else .state = "live" end;
        def dc: ["dc-a", "dc-b", "dc-c"][. % 3];
        { revision: $revision, hosts: (
          [range($entries) | { id: "entry-\(. + 1)", role: "entry", region: "south", dataCentre: (. | dc),
             address: "\($base).1.\(. + 1):8080", peerAddress: "\($base).1.\(. + 1):8081" }] +
          [range($engines) | { id: "runner-\(. + 1)", role: "model-runner", region: "south", dataCentre: (. | dc),
             address: "\($base).2.\(. + 1):8000", models: ["drum-report"], weight: 1 }] +
          [range($applications) | { id: "application-\(. + 1)", role: "application-runner", region: "south", dataCentre: (. | dc),
             address: "\($base).3.\(. + 1):8000", services: ["bookings"], weight: 1 }]
          | map(state)) }' > "$work/hosts.json.new"
    mv "$work/hosts.json.new" "$work/hosts.json"
}

start_platform() {
    start platform "$bin/eelgrassford-standins" platform --listen "127.$base.0.1:9000" --bundle "$work/published" --host-list "$work/hosts.json"
}

start_engine() {
    start "runner-$1" "$bin/eelgrassford-standins" engine --name "runner-$1" --listen "127.$base.2.$1:8000" "${@:2}"
}

start_application() {
    start "application-$1" "$bin/eelgrassford-standins" application --name "application-$1" --listen "127.$base.3.$1:8000" "${@:2}"
}

start_daemon() {
    local dcs=(dc-a dc-b dc-c)
    start "entry-$1" "$bin/eelgrassfordd" --host "entry-$1" --region south --data-centre "${dcs[$((($1 - 1) % 3))]}" \
        --listen "127.$base.1.$1:8080" --peer-listen "127.$base.1.$1:8081" --admin-listen "127.$base.1.$1:8082" \
        --configuration-url "http://127.$base.0.1:9000/configuration" --host-list-url "http://127.$base.0.1:9000/hosts" \
        --fleet-keys "demo:a-secret-for-the-loopback-only" "${@:2}"
}

daemon_url() { echo "http://127.$base.1.$1:8080"; }
admin_url() { echo "http://127.$base.1.$1:8082"; }
is_ready() { curl -sf "$(admin_url "$1")/readyz"; }
is_granting() { curl -sf "$(admin_url "$1")/admin/status" | jq -e '.claims.ready and .ready'; }
runs_of() { curl -sf "http://127.$base.3.$1:8000/runs"; }
