#!/usr/bin/env bash
# All daemons but one are killed at the same moment, and a runner leaves while they start again. The daemon that was
# not killed goes on sending to that runner until it exits, and the bookings that it runs then are lost.
set -uo pipefail
. "$(dirname "$0")/../harness-2/lib.sh"
begin
start_store
for number in 1 2 3; do start_runner "$number" v1 --work-ms 400; done
publish 1 '[{"name":"yard","apiKeys":["key-1"]}]'
for number in 1 2 3; do list_runner "$number" v1; done
for number in 1 2 3 4 5; do settings "$number" && start_daemon "$number"; done
for number in 1 2 3 4 5; do wait_until "daemon $number is ready" is_ready "$number"; done
for number in 1 2 3 4 5; do wait_until "daemon $number serves" answers "$number" key-1; done
sleep 4
# One that does not read the store itself: three of them do. The metrics are renewed every 2 s.
is_reader() { curl -sf -m 5 "http://127.$base.1.$1:7355/metrics" | grep '^eelgrassford_store_reader ' | grep -q ' 1$'; }
choose() {
    left= readers=0
    for number in 1 2 3 4 5; do if is_reader "$number"; then readers=$((readers + 1)); else left=$number; fi; done
    [ "$readers" = 3 ]
}
wait_until "three daemons read the store" choose
sleep 2.5
choose || cannot "not three daemons read the store"
note "daemon-$left is not killed"
for number in 1 2 3 4 5; do
    [ "$trouble" = 0 ] || [ "$number" = "$left" ] && continue
    signal "daemon-$number" KILL
done
# A runner leaves: its entry is removed, and it serves on for some seconds. Another one takes its place.
curl -sf -m 5 -X DELETE "http://$store_at/item/servers/runner-3" > /dev/null || cannot "the store removes the entry"
gone=$(date +%s%3N)
note "the store acknowledges that runner-3 is gone"
start_runner 4 v1 --work-ms 400
sleep 0.1
list_runner 4 v1
for number in 1 2 3 4 5; do
    [ "$trouble" = 0 ] || [ "$number" = "$left" ] && continue
    start_daemon "$number"
done
sleep 3.5
call bookings --to "127.$base.1.$left:8000" --path /book/1 --key key-1 --prefix b --count 60 --pause-ms 50 --limit-ms 2500
sleep 2
# Over 5 s after its entry was removed, the runner exits.
signal runner-3 KILL
finish_calls bookings
sleep 0.2
[ "$(grep -c ' got ' "$work/bookings.out")" = 60 ] || cannot "not all bookings were answered"
late=$(awk -v gone="$gone" '$1 > gone + 2000 && / runs b-[0-9]* /' "$work/runner-3.out" | wc -l)
lost=$(grep ' got ' "$work/bookings.out" | grep -vc 'status=200')
note "$lost bookings failed"
verdict "$late" 0 "bookings reached a runner over drainMs after the store had acknowledged that it is gone; $lost bookings failed"
