#!/usr/bin/env bash
# A canary of another software version falls silent for 1.4 s, beside a SIGHUP of the daemon.
set -uo pipefail
. "$(dirname "$0")/../harness-2/lib.sh"
begin
start_store
for number in 1 2; do start_runner "$number" v1; done
start_runner 3 v2
publish 1 '[{"name":"yard","apiKeys":["key-1"]}]'
list_runner 1 v1 && list_runner 2 v1 && list_runner 3 v2
for number in 1 2 3; do settings "$number" && start_daemon "$number"; done
for number in 1 2 3; do wait_until "daemon $number is ready" is_ready "$number"; done
for number in 1 2 3; do wait_until "daemon $number serves" answers "$number" key-1; done
# More than stabilityWindowMs without anything.
sleep 4
signal daemon-1 HUP
sleep 0.2
call streams --to "127.$base.1.1:8000" --path /stream/1 --look-up /look/1 --key key-1 --prefix s --count 18 --pause-ms 10
sleep 0.8
if [ "$trouble" != 0 ]; then
    signal runner-3 STOP
    sleep 1.4
    signal runner-3 CONT
fi
finish_calls streams
sleep 0.2
grep -q 'v2 runs s-[0-9]* POST' "$work/runner-3.out" || cannot "no stream was placed on the canary"
[ "$(grep -c ' got ' "$work/streams.out")" = 36 ] || cannot "not all callers sent their requests"
cut=$(grep ' got ' "$work/streams.out" | grep -v -- -first | grep -c 'whole=no')
verdict "$cut" 0 "streams of a sound runner were cut by the daemon beside a SIGHUP, without an unplanned disturbance"
