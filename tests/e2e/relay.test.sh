#!/usr/bin/env bash
# The relay between callers and runners, as separate processes on loopback. Usage: relay.test.sh DIRECTORY_OF_PROGRAMS
# Waits poll for a state; no check depends on how fast something happens.
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1 base=${2:-46} work=$(mktemp -d)
declare -A pids=()
trap 'kill -9 "${pids[@]}" 2> /dev/null; rm -rf "$work"' EXIT
passed=0 failed=0
. tests/e2e/checks.sh
. tests/e2e/relay.sh

start store "$bin/eelgrassford-standins" store --listen "127.$base.0.1:9000"
for number in 1 2 3; do
    start_runner "$number"
    settings "$number"
done
wait_until "the store serves" curl -sf "$store/calls"
for number in 1 2 3; do start_daemon "$number"; done

echo "== nothing is served, and none denied, before a configuration is known"
wait_until "a refusal as not run" refuses 1 /look/1 early 503
check "not ready" eval '! is_ready 1'
publish 1 key-1 > /dev/null
for number in 1 2 3; do list_runner "$number" ready > /dev/null; done
for number in 1 2 3; do wait_until "daemon $number is ready" is_ready "$number"; done

echo "== requests are relayed exactly"
check "a booking is answered" equal "$(ask 1 '/book/7?a=b' id-1 -d 'drums=3')" 200
check "with its target and body" equal "$(cat "$work/body")" '/book/7?a=b drums=3'
check "under the runner's digest" grep -qi '^X-Response-Signature: digest-of-id-1' "$work/headers"
check "it ran once" equal "$(runs id-1)" 1
check "an unknown route" equal "$(ask 2 /nowhere/ id-2)" 404
check "an unknown credential" equal "$(key=wrong ask 2 /look/1 id-3)" 401
check "a body over the limit" equal "$(ask 2 /book/1 id-4 -d "$(head -c 70000 /dev/zero | tr '\0' x)")" 413
check "nothing of these ran" equal "$(runs id-2) $(runs id-3) $(runs id-4)" "0 0 0"

echo "== streams are relayed, and go on at another runner"
check "a whole stream" equal "$(ask 3 /stream/1 s-1 -d x)" 200
check "with all events" equal "$(grep -c '^data: e' "$work/body")" 40
for number in 1 2 3; do fault "$number" cut > /dev/null; done
(sleep 0.1; for number in 1 2 3; do fault "$number" none > /dev/null; done) &
healing=$!
ask 3 /stream/1 s-2 -d x > /dev/null
wait "$healing"
check "no event twice or missing up to the last" equal "$(sed -n 's/^data: e//p' "$work/body" | awk '$1!=NR' | wc -l)" 0

echo "== a stream goes on only at the software version that began it, through any daemon"
kill_and_wait runner-3
start_runner 3 --version v2
for number in 1 2; do
    kill_and_wait "runner-$number"
    start_runner "$number" --version v1
    list_runner "$number" ready 1 v1 > /dev/null
done
list_runner 3 ready 1 v2 > /dev/null
for number in 1 2 3; do wait_until "runner $number serves" fault "$number" none; done
for number in 1 2 3; do wait_until "daemon $number serves" answers "$number" /look/1 "version-$number"; done
for i in 1 2 3 4 5 6; do
    begin_and_break 1 "v-$i"
    [ "$i" -gt 3 ] && kill_and_wait daemon-1
    wait_until "stream $i goes on" goes_on 2 "v-$i"
    check "at one version" equal "$(versions_of "v-$i")" 1
    check "with the rest of its events" equal "$(cat "$work/begun-v-$i" "$work/body" | grep -c '^data: e')" 40
    [ "$i" -gt 3 ] && start_daemon 1 && wait_until "ready again" is_ready 1
done
check "an unknown stream is refused as not run" equal "$(ask 3 /stream/1 v-unknown -d x -H 'Resumes: nothing' -H 'Last-Event-Id: 3')" 503
check "it did not run" equal "$(runs v-unknown)" 0
begin_and_break 1 v-7
for number in 1 2 3; do kill_and_wait "daemon-$number"; done
for number in 1 2 3; do start_daemon "$number"; done
for number in 1 2 3; do wait_until "ready again" is_ready "$number"; done
wait_until "a stream goes on after all daemons were killed" goes_on 2 v-7
check "at one version" equal "$(versions_of v-7)" 1
# New lifetimes, so that failures of this section do not decide about the placement of later requests.
born=2
for number in 1 2 3; do list_runner "$number" ready > /dev/null; done

echo "== a booking whose runner breaks off runs once"
for number in 1 2 3; do fault "$number" cut > /dev/null; done
check "its outcome is unknown" equal "$(ask 1 /book/1 id-5 -d x)" 502
check "it ran once" equal "$(runs id-5)" 1
for number in 1 2 3; do fault "$number" full > /dev/null; done
check "a full service is a refusal" equal "$(ask 1 /book/1 id-6 -d x)" 503
check "that says when to come back" grep -qi '^Retry-After' "$work/headers"
check "nothing ran" equal "$(runs id-6)" 0
for number in 1 2 3; do fault "$number" none > /dev/null; done

echo "== configuration comes into force everywhere and only grows"
publish 5 key-2 /search/ > /dev/null
for number in 1 2 3; do wait_until "daemon $number adopts" field_is "$number" .configuration_revision 5; done
publish 4 key-1 > /dev/null
check "a new route" eval 'key=key-2 answers 2 /search/1 id-7'
check "the old route is gone" equal "$(key=key-2 ask 2 /look/1 id-8)" 404
check "the old credential is gone" equal "$(ask 3 /book/1 id-9 -d x)" 401
for number in 1 2 3; do check "daemon $number keeps revision 5" field_is "$number" .configuration_revision 5; done
publish 6 key-1 > /dev/null
for number in 1 2 3; do wait_until "daemon $number adopts" field_is "$number" .configuration_revision 6; done

echo "== a leaving runner gets nothing new"
list_runner 1 draining > /dev/null
leaves() { for id in l-1 l-2 l-3 l-4 l-5 l-6; do ask 2 /look/1 "$1-$id" > /dev/null; done; ! curl -sf "http://127.$base.2.1:8000/runs" | grep -q "\"$1-"; }
round=0
gets_nothing() { round=$((round + 1)); leaves "r$round"; }
wait_until "no request of a round reaches it" gets_nothing
check "nor one of the next rounds" eval 'gets_nothing && gets_nothing'

echo "== the store is down: what is known is served, credentials only as long as they are surely valid"
curl -sf "$store/fault?name=down" > /dev/null
check "served at once" answers 1 /look/1 d-1
wait_until "then refused as not run" refuses 1 /look/1 d-2 503
curl -sf "$store/fault?name=none" > /dev/null
for number in 1 2 3; do wait_until "daemon $number serves again" answers "$number" /look/1 "d-3-$number"; done

echo "== the store comes back from an older copy: nothing reverts, and later changes come into force"
curl -sf "$store/save" > /dev/null
publish 7 key-1 /find/ > /dev/null
for number in 1 2 3; do wait_until "daemon $number adopts" field_is "$number" .configuration_revision 7; done
curl -sf "$store/restore" > /dev/null
wait_until "a daemon notices it" grep -q 'event=store-era era=2 before=1' "$work"/daemon-*.log
check "nothing reverts" answers 1 /find/1 e-1
publish 8 key-1 > /dev/null
for number in 1 2 3; do wait_until "daemon $number adopts" field_is "$number" .configuration_revision 8; done
for number in 1 2 3; do check "daemon $number serves by it" answers "$number" /look/1 "e-2-$number"; done

echo "== a runner that states that it leaves gets nothing new, though it is listed as ready"
fault 2 leaving > /dev/null
round=0
knows_leaving() { round=$((round + 1)); ask 1 /look/1 "v-$round" > /dev/null; grep -q 'event=runner-leaving runner=runner-2' "$work/daemon-$1.log"; }
for number in 1 2 3; do wait_until "daemon $number knows" knows_leaving "$number"; done
list_runner 2 ready > /dev/null
runs_of() { curl -sf "http://127.$base.2.$1:8000/runs" | jq length; }
before=$(runs_of 2)
for number in 1 2 3; do for i in 1 2 3 4; do check "daemon $number serves" answers "$number" /look/1 "w-$number-$i"; done; done
check "nothing reaches it" equal "$(runs_of 2)" "$before"
fault 2 none > /dev/null
list_runner 2 ready 3 > /dev/null
serves_again() { round=$((round + 1)); for number in 1 2 3; do ask "$number" /look/1 "x-$round-$number" > /dev/null; done; [ "$(runs_of 2)" -gt "$before" ]; }
wait_until "its next lifetime gets requests" serves_again

echo "== runners that ask for a pause get nothing until its end"
for number in 2 3; do fault "$number" paused > /dev/null; done
round=0
is_paused() { round=$((round + 1)); refuses 1 /look/1 "y-$round" 503 && grep -q runners-paused "$work/body"; }
wait_until "a daemon refuses by itself" is_paused
check "with the time to come back" grep -qi '^Retry-After: [0-9]' "$work/headers"
refusals() { for number in 2 3; do curl -sf "http://127.$base.2.$number:8000/refusals"; done | jq -s add; }
before=$(refusals)
for i in 1 2 3 4 5 6; do ask 1 /look/1 "z-$i" > /dev/null; done
check "no request reaches them" equal "$(refusals)" "$before"
for number in 2 3; do fault "$number" none > /dev/null; done
for number in 1 2 3; do wait_until "daemon $number serves as before" answers "$number" /look/1 "zz-$number"; done

echo "== runners that limit their request rate get no more, and as many as before when the limit ends"
for number in 2 3; do fault "$number" limited > /dev/null; done
round=0
is_limited() { round=$((round + 1)); refuses "$1" /look/1 "m-$round" 503 && grep -q rate-limited "$work/body"; }
for number in 1 2 3; do wait_until "daemon $number refuses what exceeds the limits" is_limited "$number"; done
check "with the time to come back" grep -qi '^Retry-After' "$work/headers"
for number in 2 3; do fault "$number" none > /dev/null; done
is_unlimited() { round=$((round + 1)); for i in 1 2 3 4 5 6; do answers "$1" /look/1 "n-$round-$i" || return 1; done; }
for number in 1 2 3; do wait_until "daemon $number serves as before" is_unlimited "$number"; done
# A limit ends only with a response of its runner, which may be the only one that the next section leaves to a daemon.
# The gauge of limited runners is written every 2 s, and may be from before the limits.
has_no_limit() { is_unlimited "$1" && ends_limit "$1" 2 && ends_limit "$1" 3; }
ends_limit() { grep "event=runner-limit runner=runner-$2 " "$work/daemon-$1.log" | tail -n 1 | grep -q ' per_second=-1 '; }
for number in 1 2 3; do wait_until "daemon $number knows of no limit" has_no_limit "$number"; done

echo "== an evacuated data centre gets nothing, also from a daemon that starts meanwhile, or after a loss of the key"
evacuation="$store/item/op/evacuate/south-3"
evacuated_is() { for number in 1 2 3; do field_is "$number" '.evacuated | join(" ")' "$1" || return 1; done; }
serve_all() { # PREFIX OF IDS
    for number in 1 2 3; do for i in 1 2 3 4; do check "daemon $number serves" answers "$number" /look/1 "$1-$number-$i"; done; done
}
curl -sf "$store/save" > /dev/null
curl -sf -X PUT "$evacuation" -d '{}' > /dev/null
wait_until "all daemons know" evacuated_is south-3
before=$(runs_of 3)
kill_and_wait daemon-2
for number in 1 3; do check "daemon $number serves" answers "$number" /look/1 "e-0-$number"; done
start_daemon 2
wait_until "ready again" is_ready 2
serve_all e-1
curl -sf "$store/restore" > /dev/null
wait_until "the restored copy is noticed" eval 'cat "$work"/daemon-*.log | grep -q "event=store-era era=3"'
serve_all e-2
curl -sf -X PUT "$evacuation" -d '{}' > /dev/null
serve_all e-3
check "nothing reaches it" equal "$(runs_of 3)" "$before"
check "all daemons still know" evacuated_is south-3
curl -sf -X DELETE "$evacuation" > /dev/null
wait_until "all daemons know of its return" evacuated_is ""
returns() { round=$((round + 1)); for number in 1 2 3; do ask "$number" /look/1 "f-$round-$number" > /dev/null; done; [ "$(runs_of 3)" -gt "$before" ]; }
wait_until "it gets requests again" returns

echo "== a runner that starts cold gets no more than it sustains, and the others serve the rest"
publish 9 key-1 /look/ ',"coldStartS":3,"coldPerS":10' > /dev/null
for number in 1 2 3; do wait_until "daemon $number knows the cold start" field_is "$number" .configuration_revision 9; done
kill_and_wait runner-3
start_runner 3 --cold 3
wait_until "runner 3 serves" fault 3 cold
list_runner 3 ready 4 v1 3000 > /dev/null
is_known_cold() { for number in 1 2 3; do grep -q 'event=runner-cold runner=runner-3' "$work/daemon-$number.log" || return 1; done; }
wait_until "all daemons know that it is cold" is_known_cold
for i in $(seq 8); do serve_all "g-$i"; done
most=$(curl -sf "http://127.$base.2.3:8000/most-while-cold")
check "at most 10 requests within a second" [ "$most" -le 10 ]
is_warm() { round=$((round + 1)); for i in 1 2 3 4; do ask 3 /look/1 "h-$round-$i" > /dev/null; done; [ "$(runs_of 3)" -gt 40 ]; }
wait_until "it gets more when it is warm" is_warm

echo "== a stop cuts no request"
ask 3 /stream/1 stop-1 -d x > "$work/status" &
asking=$!
wait_until "the stream runs" eval '[ "$(runs stop-1)" = 1 ]'
kill -TERM "${pids[daemon-3]}"
wait_until "unready" eval '! is_ready 3'
wait "$asking"
check "the stream is whole" equal "$(grep -c '^data: e' "$work/body")" 40
check "an answer asks to close" eval 'answers 3 /look/1 stop-2 && grep -qi "^Connection: close" "$work/headers"'
wait_until "it ends" has_ended daemon-3
check "in good order" grep -q -E 'event=stop$' "$work/daemon-3.log"

echo "== a killed daemon comes back, a suspended one does no harm"
kill -9 "${pids[daemon-2]}"
start_daemon 2
wait_until "ready again" is_ready 2
check "it serves" answers 2 /look/1 k-1
kill -STOP "${pids[daemon-1]}"
check "others serve" answers 2 /look/1 k-2
kill -CONT "${pids[daemon-1]}"
wait_until "it serves again" answers 1 /look/1 k-3

echo "== one request is found in the logs of all hosts"
check "its way in order of time" eval '"$bin/eelgrassctl" trace id-5 "$work"/daemon-*.log | tr "\n" " " | grep -q "event=attempt-failed.*event=request .*outcome=unknown"'
check "an unknown id is a negative answer" eval '"$bin/eelgrassctl" trace nothing "$work"/daemon-*.log; [ $? = 1 ]'

echo "== settings are read again"
sed -i 's/grace_seconds = 6/grace_seconds = 7/' "$work/daemon-1.toml"
kill -HUP "${pids[daemon-1]}"
wait_until "the reload is logged" grep -q 'event=reload trigger=signal' "$work/daemon-1.log"
echo 'host =' > "$work/daemon-1.toml"
wait_until "wrong settings are refused" grep -q 'event=reload-failed' "$work/daemon-1.log"
check "and it serves on" answers 1 /look/1 h-1

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
