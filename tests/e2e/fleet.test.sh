#!/usr/bin/env bash
# Failures of a real fleet on loopback. Usage: fleet.test.sh DIRECTORY_OF_PROGRAMS
# Waits poll for a state; no check depends on how fast something happens.
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1 base=44 work=$(mktemp -d)
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$work"' EXIT
passed=0 failed=0
. tests/e2e/checks.sh

status_field() { curl -sf "$(admin_url "$1")/admin/status" | jq -r "$2"; }
field_is() { [ "$(status_field "$1" "$2")" = "$3" ]; }

book() { # DAEMON KEY [BODY]: prints "STATUS OUTCOME"
    curl -s -m 60 -o "$work/body" -D "$work/headers" "$(daemon_url "$1")/services/bookings/collections" \
        -H 'Eelgrassford-Organisation: yard' -H "Idempotency-Key: \"$2\"" -d "${3:-\{\}}"
    printf '%s %s\n' "$(awk 'NR==1{print $2}' "$work/headers")" "$(jq -r '.outcome // "answered"' "$work/body")"
}

runs_of_key() { # KEY: over both runners
    for i in 1 2; do runs_of "$i"; done | jq -s --arg key "\"$1\"" 'map(.keys[$key] // 0) | add'
}

chat() { # DAEMON TEXT TOKENS: prints the tokens, ends with END if the stream is whole
    curl -sN -m 60 -D "$work/headers" "$(daemon_url "$1")/v1/chat/completions" -H 'Eelgrassford-Organisation: yard' \
        -d "{\"model\":\"drum-report\",\"stream\":true,\"max_tokens\":$3,\"messages\":[{\"role\":\"user\",\"content\":\"$2\"}]}" > "$work/answer"
    sed -n 's/^data: //p' "$work/answer" | sed 's/^\[DONE\]$/{"choices":[{"delta":{"content":"END"}}]}/' | jq -rj '.choices[0].delta.content' 2> /dev/null
}

upstream_of() { tr -d '\r' < "$work/headers" | awk 'tolower($1)=="eelgrassford-upstream:"{print $2}'; }
engine_fault() { curl -sf "http://127.$base.2.$1:8000/fault?name=$2"; }
application_fault() { curl -sf "http://127.$base.3.$1:8000/fault?name=$2"; }
platform_fault() { curl -sf "http://127.$base.0.1:9000/fault?name=$1"; }
publish() { "$bin/eelgrassctl" collect "$work/services" --previous "$work/published" --out "$work/next" > /dev/null && cp -r "$work/next/parts" "$work/published/" && cp "$work/next/manifest" "$work/published/manifest.new" && mv "$work/published/manifest.new" "$work/published/manifest"; }

cp -r examples/drum-works/services "$work/services"
"$bin/eelgrassctl" collect "$work/services" --out "$work/published" > /dev/null
write_hosts 1 3 4 2
start_platform
for i in 1 2 3 4; do start_engine "$i" --crash-text poison; done
for i in 1 2; do start_application "$i"; done
for i in 1 2 3; do start_daemon "$i" --first-start-revision 1 --drain-delay 0.5; done
for i in 1 2 3; do wait_until "daemon $i grants" is_granting "$i"; done

echo "== a booking runs once"
check "first booking is answered" equal "$(book 1 b-1)" "201 answered"
check "its resend through another daemon is answered" equal "$(book 2 b-1)" "201 answered"
check "it ran once" equal "$(runs_of_key b-1)" 1
check "the key with another body is refused" equal "$(book 3 b-1 '{\"other\":1}')" "422 not-run"
for i in 1 2 3; do book "$i" b-2 > "$work/out-$i" & waits[i]=$!; done
wait "${waits[1]}" "${waits[2]}" "${waits[3]}"
check "a key sent to three daemons at once ran once" equal "$(runs_of_key b-2)" 1

echo "== a daemon is killed"
book 1 b-3 > "$work/out"
kill -KILL "$pid_entry_1"
check "its booking's resend elsewhere is not run again" equal "$(book 2 b-3)" "503 unknown"
check "the key ran once" equal "$(runs_of_key b-3)" 1
check "a new booking runs while one daemon is down" equal "$(book 2 b-4)" "201 answered"
start_daemon 1 --drain-delay 0.5
wait_until "daemon 1 grants after its restart" is_granting 1
check "the restarted daemon knows the claim" equal "$(book 1 b-4)" "201 answered"
check "the key still ran once" equal "$(runs_of_key b-4)" 1

echo "== an upstream takes a booking and breaks off"
for i in 1 2; do application_fault "$i" close-after-read; done > "$work/out"
check "the caller hears that it may have run" equal "$(book 1 b-5)" "502 unknown"
check "it ran once" equal "$(runs_of_key b-5)" 1
check "its resend is not run again" equal "$(book 2 b-5)" "503 unknown"
check "the key ran once" equal "$(runs_of_key b-5)" 1
for i in 1 2; do application_fault "$i" none; done > "$work/out"

echo "== a daemon is frozen"
kill -STOP "$pid_entry_3"
check "a booking runs on the other two" equal "$(book 1 b-6)" "201 answered"
kill -CONT "$pid_entry_3"
wait_until "daemon 3 wakes" is_granting 3
check "the woken daemon answers from the claim" equal "$(book 3 b-6)" "201 answered"
check "the key ran once" equal "$(runs_of_key b-6)" 1

echo "== a majority of daemons is frozen"
kill -STOP "$pid_entry_2" "$pid_entry_3"
check "the rest cannot tell, and says so" equal "$(book 1 b-7)" "503 unknown"
check "nothing ran" equal "$(runs_of_key b-7)" 0
check "idempotent requests go on" equal "$(chat 1 'a frozen fleet' 4 | grep -o END)" END
kill -CONT "$pid_entry_2" "$pid_entry_3"
for i in 2 3; do wait_until "daemon $i wakes" is_granting "$i"; done

echo "== streams"
whole=$(chat 1 'a broken stream' 20)
runner=$(upstream_of | tr -dc 0-9)
engine_fault "$runner" close-mid-stream > "$work/out"
check "a broken stream is resumed without a gap or a repeat" equal "$(chat 2 'a broken stream' 20)" "$whole"
check "the engine that broke it off is still there" curl -sf "http://127.$base.2.$runner:8000/v1/load"
engine_fault "$runner" crossed > "$work/out"
check "an answer of another call is dropped and the request answered elsewhere" equal "$(chat 1 'a broken stream' 20)" "$whole"
engine_fault "$runner" decline > "$work/out"
check "a declined request is answered elsewhere" equal "$(chat 1 'a broken stream' 20)" "$whole"
engine_fault "$runner" none > "$work/out"

check "a call id of the caller's own is not passed on" equal "$(curl -s -m 20 -o "$work/body" -w '%{http_code}' "$(daemon_url 1)/v1/chat/completions" -H 'Eelgrassford-Organisation: yard' -H 'Eelgrassford-Call-Id: mine' -d '{"model":"drum-report","max_tokens":2,"messages":[{"role":"user","content":"id"}]}')" 200

echo "== configuration"
sed -i 's/^weight = 8/weight = 9/' "$work/services/organisations.toml"
publish
for i in 1 2 3; do check "daemon $i has revision 2" wait_until "revision 2 on $i" field_is "$i" .configuration.revision 2; done
platform_fault stale > "$work/out"
publish
kill -KILL "$pid_entry_1"
platform_fault none > "$work/out"
for i in 2 3; do check "daemon $i has revision 3" wait_until "revision 3 on $i" field_is "$i" .configuration.revision 3; done
platform_fault stale > "$work/out"
start_daemon 1 --drain-delay 0.5
check "a daemon that starts beside a stale service learns from its peers" wait_until "revision 3 on 1" field_is 1 .configuration.revision 3
platform_fault garbage > "$work/out"
check "garbage from the service changes nothing" equal "$(chat 2 'garbage' 4 | grep -o END)" END
platform_fault down > "$work/out"
check "a service that is down changes nothing" equal "$(status_field 2 .configuration.revision)" 3
platform_fault none > "$work/out"
wait_until "daemon 1 grants" is_granting 1

echo "== a leaving upstream"
chat 1 'leaving' 4 > "$work/out"
leaving=$(upstream_of)
write_hosts 2 3 4 2 "$leaving"
for i in 1 2 3; do check "daemon $i knows" wait_until "leaving on $i" field_is "$i" "[.hosts[] | select(.id == \"$leaving\")][0].state" leaving; done
for i in 1 2 3; do
    chat "$i" 'leaving' 4 > "$work/out"
    check "daemon $i gives it nothing new" test "$(upstream_of)" != "$leaving"
done
write_hosts 3 3 4 2
for i in 1 2 3; do wait_until "back on $i" field_is "$i" "[.hosts[] | select(.id == \"$leaving\")][0].state" live; done

echo "== a rolling restart under load"
for n in $(seq 60); do
    (
        i=$((n % 3 + 1))
        # As the balancer does: another daemon if this one does not accept or is not ready.
        for j in $i $((i % 3 + 1)) $(((i + 1) % 3 + 1)); do is_ready "$j" > /dev/null && break; done
        curl -sN -m 60 "$(daemon_url "$j")/v1/chat/completions" -H 'Eelgrassford-Organisation: yard' \
            -d "{\"model\":\"drum-report\",\"stream\":true,\"max_tokens\":40,\"messages\":[{\"role\":\"user\",\"content\":\"rolling $n\"}]}" > "$work/rolling-$n"
    ) &
    loads[n]=$!
    sleep 0.05
    case $n in
        10 | 25 | 40)
            d=$((n / 15 + 1))
            pid_variable="pid_entry_$d"
            kill -TERM "${!pid_variable}"
            stopped[d]=${!pid_variable}
            ;;
        20 | 35 | 50)
            d=$(((n - 10) / 15 + 1))
            check "daemon $d ended" wait_until "the end of daemon $d" eval "! kill -0 ${stopped[d]}"
            check "daemon $d ended cleanly" wait "${stopped[d]}"
            start_daemon "$d" --drain-delay 0.5
            wait_until "daemon $d grants" is_granting "$d"
            ;;
    esac
done
wait "${loads[@]}"
cut=0
for n in $(seq 60); do grep -q '^data: \[DONE\]' "$work/rolling-$n" || cut=$((cut + 1)); done
check "no request was cut" equal "$cut" 0
check "a booking from before the restarts is still answered" equal "$(book 2 b-6)" "201 answered"
check "it ran once" equal "$(runs_of_key b-6)" 1

echo "== a request that crashes its upstreams"
crash() { curl -s -m 60 -o "$work/body" -w '%{http_code}' "$(daemon_url "$1")/v1/chat/completions" -H 'Eelgrassford-Organisation: yard' -d '{"model":"drum-report","messages":[{"role":"user","content":"poison"}],"max_tokens":4}'; }
for i in 1 2 3 4; do check "engine $i is there before" curl -sf "http://127.$base.2.$i:8000/v1/load"; done
crash 1 > "$work/out"
check "it is quarantined on every daemon" wait_until "quarantine" eval 'crash 2 | grep -q 422 && crash 3 | grep -q 422'
alive=0
for i in 1 2 3 4; do curl -sf "http://127.$base.2.$i:8000/v1/load" > "$work/out" && alive=$((alive + 1)); done
check "it killed two engines and no more" equal "$alive" 2
check "others are still answered" equal "$(chat 3 'after the crash' 4 | grep -o END)" END

echo "== bad input"
code() { curl -s -m 20 -o "$work/body" -w '%{http_code}' "$@"; }
check "broken JSON" equal "$(code "$(daemon_url 1)/v1/chat/completions" -H 'Eelgrassford-Organisation: yard' -d '{')" 400
check "unknown organisation" equal "$(code "$(daemon_url 1)/v1/chat/completions" -H 'Eelgrassford-Organisation: nobody' -d '{}')" 403
check "too many headers" equal "$(code "$(daemon_url 1)/v1/models" $(for n in $(seq 150); do echo "-H x-$n:y"; done))" 431
head -c 9000000 /dev/zero > "$work/large"
check "a body over the limit" equal "$(code "$(daemon_url 1)/services/bookings/collections" -H 'Eelgrassford-Organisation: yard' -H 'Expect:' --data-binary "@$work/large")" 413
check "the daemons are all still there" eval 'is_ready 1 && is_ready 2 && is_ready 3'

printf '%s passed, %s failed\n' "$passed" "$failed"
if [ "$failed" -gt 0 ]; then
    grep -hE 'level=(warning|error)' "$work"/entry-*.log | tail -20
    exit 1
fi
