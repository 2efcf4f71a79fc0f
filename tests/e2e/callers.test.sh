#!/usr/bin/env bash
# Callers that exceed the limits of a relay, as separate processes on loopback.
# Usage: callers.test.sh DIRECTORY_OF_PROGRAMS CASE CALLERS [unchecked-memory]
# Checks that the daemon lives, that its peak memory and its open descriptors stay under the limits of its settings,
# and that an ordinary request is answered 200. Nothing depends on how fast something happens.
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1 name=$2 callers=$3 memory=${4:-checked}
# Lower than those of the smallest host (112 MB, 2,870 descriptors), so that a few callers exceed them.
limit_megabytes=64 max_descriptors=300
# The largest permitted request has to be served with the memory of the smallest host.
[ "$name" = largest-request ] && limit_megabytes=112
base=45 work=$(mktemp -d)
declare -A pids=()
trap 'kill -9 "${pids[@]}" 2> /dev/null; rm -rf "$work"' EXIT
passed=0 failed=0
. tests/e2e/checks.sh
. tests/e2e/relay.sh
ask() { # ID: prints the status
    curl -s -m 20 -o "$work/body" -w '%{http_code}' "http://127.$base.1.1:8000/look/1" -H 'Host: a.example' \
        -H "X-Attempt-Id: $1" -H 'X-Deadline-Ms: 5000' -H 'X-Key: key-1' -d ordinary
}
round=0
is_served() { round=$((round + 1)); [ "$(ask "ordinary-$round")" = 200 ]; }
peak_kb() { awk '/^VmHWM:/{print $2}' "/proc/${pids[daemon]}/status"; }
descriptors() { ls "/proc/${pids[daemon]}/fd" | wc -l; }
lives() { kill -0 "${pids[daemon]}"; }

cat > "$work/daemon.toml" << END
host = "entry-1"
data_centre = "south"
ip = "127.$base.1.1"
[listen]
callers = "127.$base.1.1:8000"
admin = "127.$base.1.1:8001"
[store]
address = "127.$base.0.1:9000"
[fleet]
port = 7340
[memory]
limit_megabytes = $limit_megabytes
max_descriptors = $max_descriptors
END
start store "$bin/eelgrassford-standins" store --listen "127.$base.0.1:9000"
start runner "$bin/eelgrassford-standins" runner --listen "127.$base.2.1:8000" --name runner-1
wait_until "the store serves" curl -sf "$store/calls"
start daemon "$bin/eelgrassfordd" relay --settings "$work/daemon.toml"
# The published limits are the largest that the product has to serve.
curl -sf -X PUT "$store/item/op/config" -d '{"version":1,"routes":[
    {"name":"look","host":"a.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":5000,"targetLatencyMs":2000,"service":"pool","maxAttempts":2}],
    "services":[{"name":"pool","healthPath":"/health","maxConnections":100}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
    "tenants":[{"name":"yard","apiKeys":["key-1"]}]}' > /dev/null
curl -sf -X PUT "$store/item/servers/runner-1" -d "{\"service\":\"pool\",\"address\":\"127.$base.2.1:8000\",\"zone\":\"south\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1,\"version\":\"v1\"}" > /dev/null
wait_until "an ordinary request is served before the load" is_served

if [ "$name" = largest-request ]; then
    head -c 4194304 /dev/zero | tr "\0" x > "$work/largest"
    largest=$(curl -s -m 60 -o "$work/body" -w "%{http_code}" "http://127.$base.1.1:8000/look/1" -H "Host: a.example" \
        -H "X-Attempt-Id: largest" -H "X-Deadline-Ms: 5000" -H "X-Key: key-1" -H "Expect:" \
        -H "X-Long: $(head -c 16000 /dev/zero | tr "\0" h)" --data-binary "@$work/largest")
    check "a request of the largest size is served" equal "$largest" 200
    check "with its whole body" equal "$(wc -c < "$work/body")" $((4194304 + 9))
fi
start load "$bin/tests/caller_load" "$name" "127.$base.1.1:8000" "$callers"
most_descriptors=0
for _ in $(seq 2400); do
    open=$(descriptors 2> /dev/null)
    [ "${open:-0}" -gt "$most_descriptors" ] && most_descriptors=$open
    grep -q '^held' "$work/load.log" && break
    lives 2> /dev/null && kill -0 "${pids[load]}" 2> /dev/null || break
    sleep 0.05
done
check "the load was applied" grep -q '^held' "$work/load.log"
check "the daemon lives under the load" lives
wait_until "an ordinary request is served under the load" is_served
kill -9 "${pids[load]}"
wait "${pids[load]}" 2> /dev/null
unset "pids[load]"
wait_until "an ordinary request is served after the load" is_served
check "the daemon lives" lives
peak=$(peak_kb)
echo "$name: $callers callers ($(cat "$work/load.log")), peak ${peak:-none} kB of $((limit_megabytes * 1000000 / 1024)), at most $most_descriptors descriptors of $max_descriptors"
# Under address sanitizer its own shadow and redzones dominate the memory.
[ "$memory" = unchecked-memory ] || check "its peak memory stays under the limit" test "${peak:-999999999}" -le $((limit_megabytes * 1000000 / 1024))
check "its descriptors stay under the limit" test "$most_descriptors" -le "$max_descriptors"

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
