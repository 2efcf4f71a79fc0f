# Functions for the scripts of cases 6 to 10. A script sources this file from its own folder and calls begin first.
# Everything runs on loopback addresses 127.BASE.x.y and ends with the script.

begin() { # ADDRESSES OF DAEMONS: their numbers
    here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
    root=$(cd "$here/../.." && pwd)
    cd "$root" || exit 2
    bin=$root/target
    tools=$root/target/review-2
    for program in "$bin/eelgrassfordd" "$bin/eelgrassford-standins" "$tools/Runner" "$tools/Caller" "$tools/Proxy"; do
        [ -x "$program" ] || { echo "missing: ${program#"$root/"}; run review/build-2.sh"; exit 2; }
    done
    trouble=${TROUBLE:-1}
    base=$((130 + $$ % 100))
    store_at=127.$base.0.1:9000
    work=$(mktemp -d)
    record=$here/record.txt
    : > "$record"
    declare -gA pids=()
    trap finish EXIT
    note "case $(basename "$here"), TROUBLE=$trouble"
}
note() { echo "$(date +%s%3N) $*" >> "$record"; }
finish() {
    # Stopped processes end only by SIGKILL. Nothing else than what this script started is ended.
    { [ "${#pids[@]}" -gt 0 ] && kill -9 "${pids[@]}"; wait; } 2> /dev/null
    [ -n "${KEEP:-}" ] && cp -r "$work" "$KEEP"
    rm -rf "$work"
}
# What happened, in the order of time.
merge_record() { cat "$work"/*.out >> "$record" 2> /dev/null; sort -n -s -k1,1 -o "$record" "$record"; }
# The case could not run.
cannot() { note "could not run: $*"; merge_record; echo "could not run: $*"; exit 2; }
# Ends the script: broken if the first argument is not 0.
verdict() { # COUNT OF WHAT MUST NOT BE, ITS LIMIT, TEXT
    merge_record
    if [ "$1" -gt "$2" ]; then
        echo "rule broken: $1 $3 (allowed: $2)" | tee -a "$record"
        exit 1
    fi
    echo "rule held: $1 $3 (allowed: $2)" | tee -a "$record"
    exit 0
}

wait_until() { # DESCRIPTION COMMAND...: 20 s at most
    local what=$1
    shift
    for _ in $(seq 400); do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.05
    done
    cannot "never: $what"
}

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >> "$work/$name.log" 2>&1 &
    pids[$name]=$!
}
start_store() {
    start store "$bin/eelgrassford-standins" store --listen "$store_at"
    wait_until "the store serves" curl -sf "http://$store_at/calls"
}
settings() { # NUMBER [STORE [SEEDS]]: what the platform renders from platform/settings.toml
    local seeds="\"127.$base.1.1:8229\", \"127.$base.1.2:8229\", \"127.$base.1.3:8229\""
    cat > "$work/daemon-$1.toml" << END
host = "entry-$1"
data_centre = "south-$1"
region = "south"
ip = "127.$base.1.$1"
[listen]
callers = "127.$base.1.$1:8000"
admin = "127.$base.1.$1:8001"
readiness_path = "/readiness"
metrics = "127.$base.1.$1:7355"
[store]
address = "${2:-$store_at}"
[fleet]
port = 7340
link_megabits = 1000.0
data_centre_losses = 0
seeds = [${3:-$seeds}]
[stop]
grace_seconds = 8
[configuration]
apply_milliseconds = 2000
[credentials]
revocation_milliseconds = 5000
[retries]
ratio = 0.2
allowance = 54
window_seconds = 10
[runners]
load_bound = 2
[memory]
limit_megabytes = 260
max_descriptors = 4100
END
}
start_daemon() { # NUMBER
    EELGRASSFORD_CONFIG="$work/daemon-$1.toml" start "daemon-$1" "$bin/eelgrassfordd" relay
    note "daemon-$1 starts, process ${pids[daemon-$1]}"
}
is_ready() { curl -sf -m 2 "http://127.$base.1.$1:8001/readiness"; }
start_proxy() { # NUMBER OF A DAEMON: its own path to the store
    start "proxy-$1" "$tools/Proxy" --listen "127.$base.3.$1:9000" --to "$store_at"
}
start_runner() { # NUMBER VERSION ARGUMENT...
    local number=$1 version=$2
    shift 2
    "$tools/Runner" --listen "127.$base.2.$number:8000" --id "runner-$number" --version "$version" "$@" \
        >> "$work/runner-$number.out" 2>> "$work/runner-$number.log" &
    pids[runner-$number]=$!
}
put() { # KEY DOCUMENT
    curl -sf -m 5 -X PUT "http://$store_at/item/$1" -d "$2" > /dev/null
}
list_runner() { # NUMBER VERSION [BORN [SEQUENCE]]
    put "servers/runner-$1" "{\"service\":\"pool\",\"address\":\"127.$base.2.$1:8000\",\"zone\":\"south-$1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":${4:-1},\"born\":${3:-1000},\"version\":\"$2\"}" \
        || cannot "the store takes the entry of runner $1"
    note "the store acknowledges runner-$1, version $2, born ${3:-1000}"
}
publish() { # VERSION TENANTS [RESUMABLE [ATTEMPTS]]
    put op/config "{\"version\":$1,\"routes\":[
        {\"name\":\"look\",\"host\":\"a.example\",\"pathPrefix\":\"/look/\",\"kind\":\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":150,\"service\":\"pool\",\"maxAttempts\":2,\"priority\":2},
        {\"name\":\"book\",\"host\":\"a.example\",\"pathPrefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":150,\"service\":\"pool\",\"maxAttempts\":1,\"priority\":2},
        {\"name\":\"stream\",\"host\":\"a.example\",\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":800,\"gapTargetMs\":400,\"service\":\"pool\",\"maxAttempts\":${4:-2},\"streamResume\":${3:-true},\"sticky\":true,\"priority\":0}],
        \"services\":[{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConnections\":360}],
        \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},
        \"tenants\":$2}" || cannot "the store takes configuration $1"
    note "the store acknowledges configuration $1"
}
finish_calls() { # NAME: waits until its callers have their answers
    wait "${pids[$1]}"
    unset "pids[$1]"
}
call() { # NAME ARGUMENT...: callers in the background
    local name=$1
    shift
    "$tools/Caller" "$@" >> "$work/$name.out" 2>> "$work/$name.log" &
    pids[$name]=$!
}
answers() { # DAEMON KEY: a look-up by that key is served
    [ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' "http://127.$base.1.$1:8000/look/probe" -H 'Host: a.example' -H "X-Attempt-Id: probe-$1-$RANDOM$RANDOM" -H 'X-Deadline-Ms: 2000' -H "X-Key: $2")" = 200 ]
}
signal() { # NAME SIGNAL
    note "$1 gets SIG$2"
    if [ "$2" = KILL ]; then
        { kill -KILL "${pids[$1]}" && wait "${pids[$1]}"; } 2> /dev/null
        unset "pids[$1]"
    else
        kill "-$2" "${pids[$1]}"
    fi
}
