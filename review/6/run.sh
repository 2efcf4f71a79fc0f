#!/usr/bin/env bash
# All daemons are killed at the same moment while streams run at two software versions, and the only runner of the
# newer one falls silent for a second. Callers take their streams up. With TROUBLE=kill no runner falls silent.
set -uo pipefail
. "$(dirname "$0")/../harness-2/lib.sh"
begin
start_store
for number in 1 2; do start_runner "$number" v1 --events 60; done
start_runner 3 v2 --events 60
publish 1 '[{"name":"yard","apiKeys":["key-1"]}]'
list_runner 1 v1 && list_runner 2 v1
for number in 1 2 3; do settings "$number" && start_daemon "$number"; done
for number in 1 2 3; do wait_until "daemon $number is ready" is_ready "$number"; done
for number in 1 2 3; do wait_until "daemon $number serves" answers "$number" key-1; done
sleep 1
# The first requests of 24 chats, while one version serves.
call first --to "127.$base.1.1:8000" --path /stream/1 --key key-1 --prefix first --count 24 --pause-ms 5
finish_calls first
# A runner of the next version is added, and each chat asks again.
list_runner 3 v2
sleep 1
call streams --to "127.$base.1.2:8000" --again-at "127.$base.1.3:8000" --again-tries 20 --again-pause-ms 100 --path /stream/1 \
    --key key-1 --prefix s --count 24 --pause-ms 10
sleep 1.2
if [ "$trouble" != 0 ]; then
    [ "$trouble" = kill ] || signal runner-3 STOP
    for number in 1 2 3; do signal "daemon-$number" KILL; done
    sleep 0.1
    for number in 1 2 3; do start_daemon "$number"; done
    sleep 1.2
    [ "$trouble" = kill ] || signal runner-3 CONT
fi
finish_calls streams
sleep 0.2
begun=$(grep -c 'v2 runs s-[0-9]* POST' "$work/runner-3.out")
[ "$begun" -gt 2 ] || cannot "no streams were placed on the new version"
mixed=$(grep ' got .*versions=v[12],' "$work/streams.out" | sed 's/.* caller \(s-[0-9]*\).*/\1/' | sort -u | wc -l)
grep 'event=caches-surveyed' "$work"/daemon-*.log | sed "s/^.*\/\(daemon-[0-9]*\).log:/$(date +%s%3N) \1: /" >> "$record"
verdict "$mixed" 2 "streams hold events of two software versions"
