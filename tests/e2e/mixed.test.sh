#!/usr/bin/env bash
# Daemons of an older release and of this tree between callers and runners, replaced one after the other under load.
# Usage: mixed.test.sh DIRECTORY_OF_PROGRAMS DIRECTORY_OF_OLDER_DAEMON [SECOND_PART_OF_ADDRESSES]
# Checks what callers and runners see; no check depends on how fast something happens.
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1 older=$2 base=${3:-43} work=$(mktemp -d)
daemons="1 2 3 4" callers="1 2 3 4 5 6"
declare -A pids=()
trap 'rm -f "$work/load"; kill -9 "${pids[@]}" 2> /dev/null; wait 2> /dev/null; rm -rf "$work"' EXIT
passed=0 failed=0
. tests/e2e/checks.sh
. tests/e2e/relay.sh

# Callers wait as they are told after a refusal, and go to the next daemon in rotation under a new attempt id.
is_refusal() { case $1 in 503 | 429 | 408 | 421) return 0 ;; *) return 1 ;; esac; }
relayed() { # KIND: whether the answer in answer_in is whole
    [ "$1" != stream ] || [ "$(sed -n 's/^data: e//p' "$answer_in/body" | awk '$1 == NR' | wc -l)" = 40 ]
}
call_once() { # NUMBER COUNT: one request, until it is answered with something other than a refusal
    local kinds=(book look stream look) kind id status try whole answer_in="$work/caller-$1"
    kind=${kinds[$(($2 % 4))]}
    for try in $(seq 20); do
        id="$kind-$1-$2-$try"
        local rotation=($(cat "$work/rotation"))
        status=$(ask "${rotation[$((($1 + $2 + try) % ${#rotation[@]}))]}" "/$kind/$2" "$id" -d "body-$2")
        whole=$(relayed "$kind" && echo whole || echo torn)
        echo "$kind $id $status $whole" >> "$work/answers-$1"
        is_refusal "$status" || return 0
        sleep "$(sed -n 's/^[Rr]etry-[Aa]fter: *\([0-9.]*\).*/\1/p' "$answer_in/headers" | grep . || echo 0.1)"
    done
    echo "$kind $id gave-up torn" >> "$work/answers-$1"
}
call() { # NUMBER
    local count=$round
    mkdir -p "$work/caller-$1"
    while [ -e "$work/load" ]; do call_once "$1" "$((count += 1))"; done
}
round=0
begin_load() {
    round=$((round + 1000000))
    touch "$work/load"
    for number in $callers; do
        call "$number" &
        pids[caller-$number]=$!
    done
}
end_load() {
    rm -f "$work/load"
    for number in $callers; do wait "${pids[caller-$number]}"; done
}
# What the load balancer does: a daemon is in rotation while it is ready.
update_rotation() {
    local ready=()
    for number in $daemons; do is_ready "$number" > /dev/null && ready+=("$number"); done
    echo "${ready[*]}" > "$work/rotation.new"
    mv "$work/rotation.new" "$work/rotation"
}
replace() { # DAEMON DIRECTORY OF THE PROGRAM THAT FOLLOWS
    kill -TERM "${pids[daemon-$1]}"
    wait_until "daemon $1 is unready" eval "! is_ready $1"
    update_rotation
    wait_until "daemon $1 ends" has_ended "daemon-$1"
    wait "${pids[daemon-$1]}"
    check "the stop of daemon $1 is in good order" equal "$?" 0
    check "it cuts nothing" grep -q 'event=stop-drained .*cut=0' "$work/daemon-$1.log"
    cp "$work/daemon-$1.log" "$work/stopped-$((stops += 1)).log"
    start_daemon "$1" "$2"
    wait_until "its successor is ready" is_ready "$1"
    update_rotation
}
stops=0
count_answers() { cat "$work"/answers-* | awk "$1" | wc -l; }
check_answers() { # what callers and runners saw up to now
    check "callers were answered" [ "$(count_answers 1)" -gt 50 ]
    check "every answer other than a refusal is a success" equal "$(count_answers '$3 != 200 && $3 != 503 && $3 != 429 && $3 != 408 && $3 != 421')" 0
    check "every success is whole" equal "$(count_answers '$3 == 200 && $4 != "whole"')" 0
    check "no booking runs twice" equal "$(awk '/^book-/ { print $1 }' "$work/runs.log" | sort | uniq -d | wc -l)" 0
    cat "$work"/answers-* | awk '$3 == 503 || $3 == 429 || $3 == 408 || $3 == 421 { print $2 }' | sort -u > "$work/refused"
    check "nothing that was refused runs" equal "$(awk '{ print $1 }' "$work/runs.log" | sort -u | comm -12 - "$work/refused" | wc -l)" 0
    cat "$work"/answers-* | awk '$1 == "book" && $3 == 200 { print $2 }' | sort -u > "$work/booked"
    check "every booking that was answered ran" equal "$(awk '{ print $1 }' "$work/runs.log" | sort -u | comm -13 - "$work/booked" | wc -l)" 0
}
hears_others() { curl -sf "http://127.$base.1.$1:8001/metrics" | grep -q '^eelgrassford_members_heard 3'; }
cross_checks() { # while half of the daemons are of either release; the callers are quiet
    echo "== news passes between the releases"
    revision=$((revision + 1))
    publish "$revision" key-1 > /dev/null
    for number in $daemons; do wait_until "daemon $number adopts" field_is "$number" .configuration_revision "$revision"; done
    for number in $daemons; do wait_until "daemon $number hears the others" hears_others "$number"; done
    fault 2 leaving > /dev/null
    local told=0
    knows_leaving() { grep -q 'event=runner-leaving runner=runner-2' "$work/daemon-$1.log"; }
    makes_known() { told=$((told + 1)); ask 2 /look/1 "leaving-$revision-$told" > /dev/null; knows_leaving 2; }
    wait_until "daemon 2 hears that runner 2 leaves" makes_known
    for number in $daemons; do wait_until "daemon $number knows it" knows_leaving "$number"; done
    fault 2 none > /dev/null
    born=$((born + 1))
    for number in 1 2; do list_runner "$number" ready "$born" v1 > /dev/null; done
    list_runner 3 ready "$born" v2 > /dev/null
    for pair in "1 2" "2 1" "3 4" "4 3"; do
        set -- $pair
        begin_and_break "$1" "v-$1$2$revision"
        wait_until "a stream of daemon $1 goes on at daemon $2" goes_on "$2" "v-$1$2$revision"
        check "at one version" equal "$(versions_of "v-$1$2$revision")" 1
        check "with the rest of its events" equal "$(cat "$work/begun-v-$1$2$revision" "$work/body" | grep -c '^data: e')" 40
    done
    # New lifetimes, so that the failures of this section do not decide about later requests.
    born=$((born + 1))
    for number in 1 2; do list_runner "$number" ready "$born" v1 > /dev/null; done
    list_runner 3 ready "$born" v2 > /dev/null
    for number in $daemons; do wait_until "daemon $number serves" answers "$number" /look/1 "after-$revision-$number"; done
}

start store "$bin/eelgrassford-standins" store --listen "127.$base.0.1:9000"
for number in 1 2 3; do
    start_runner "$number" --run-log "$work/runs.log" --version "v$((number > 2 ? 2 : 1))" --run-seconds 0.02
done
wait_until "the store serves" curl -sf "$store/calls"
revision=1
publish "$revision" key-1 > /dev/null
for number in 1 2; do list_runner "$number" ready 1 v1 > /dev/null; done
list_runner 3 ready 1 v2 > /dev/null
for number in $daemons; do
    settings "$number"
    start_daemon "$number" "$older"
done
for number in $daemons; do wait_until "daemon $number is ready" is_ready "$number"; done
update_rotation

replace_all() { # DIRECTORY OF THE PROGRAM THAT FOLLOWS: the odd daemons first, then, after the checks between the releases, the others
    begin_load
    for number in 1 3; do replace "$number" "$1"; done
    end_load
    check_answers
    cross_checks
    begin_load
    for number in 2 4; do replace "$number" "$1"; done
    end_load
    check_answers
}
echo "== from the older release to this one"
replace_all "$bin"
echo "== and back again"
replace_all "$older"

echo "answers by status: $(cat "$work"/answers-* | awk '{ count[$3]++ } END { for (status in count) printf "%s %s  ", status, count[status] }')"
[ "$failed" -eq 0 ] || [ -z "${KEEP:-}" ] || cp -r "$work" "$KEEP"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
