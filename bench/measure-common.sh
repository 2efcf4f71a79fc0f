# Common functions of the measurements of running daemons: starts a platform, engines and daemons on loopback.

bin=build/release base=46 work=$(mktemp -d)
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$work"' EXIT

start_measured_fleet() { # DAEMONS ENGINES [ENGINE FLAGS]
    "$bin/eelgrassctl" collect examples/drum-works/services --out "$work/published" > "$work/collect.log" || exit 2
    write_hosts 1 "$1" "$2" 1
    start_platform
    for i in $(seq "$2"); do start_engine "$i" "${@:3}"; done
    start_application 1
    for i in $(seq "$1"); do start_daemon "$i" --first-start-revision 1 --log-level warn --requests-per-runner 100000; done
    for i in $(seq "$1"); do wait_until "daemon $i" is_granting "$i" || exit 2; done
}

# figure NAME VALUE BOUND UNIT max|min: prints a line; sets status to 1 if the bound is missed, 2 if there is no value.
status=0
figure() {
    local ok
    if ! [[ "$2" =~ ^-?[0-9]+(\.[0-9]+)?$ ]]; then
        echo "figure=$1 value=none bound=$3 unit=$4 ok=false"
        status=2
        return
    fi
    ok=$(awk -v value="$2" -v bound="$3" -v kind="$5" 'BEGIN { print (kind == "max" ? value <= bound : value >= bound) ? "true" : "false" }')
    echo "figure=$1 value=$2 bound=$3 unit=$4 ok=$ok"
    [ "$ok" = true ] || [ "$status" -eq 2 ] || status=1
}
calculate() { awk "BEGIN { printf \"%.4f\", $1 }"; }
cpu_seconds() { awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) / hz }' "/proc/$1/stat"; }
resident_bytes() { awk '/VmRSS/ { print $2 * 1024 }' "/proc/$1/status"; }
