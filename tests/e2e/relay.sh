# Functions that run daemons between callers and runners as separate processes on loopback, for the end-to-end tests.
# The caller sets bin (directory of the programs), base (second part of 127.N), work (scratch directory), passed and
# failed, declares pids as an associative array, and sources checks.sh.

store="http://127.$base.0.1:9000"

wait_until() { # DESCRIPTION COMMAND...
    local what=$1
    shift
    for _ in $(seq 600); do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.05
    done
    echo "never: $what"
    failed=$((failed + 1))
    return 1
}

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" > "$work/$name.log" 2>&1 &
    pids[$name]=$!
}
settings() { # NUMBER: the file that the platform renders on its hosts
    cat > "$work/daemon-$1.toml" << END
host = "entry-$1"
data_centre = "south-$1"
region = "south"
ip = "127.$base.1.$1"
[listen]
callers = "127.$base.1.$1:8000"
admin = "127.$base.1.$1:8001"
readiness_path = "/ready"
[store]
address = "127.$base.0.1:9000"
[fleet]
port = 7340
seeds = ["127.$base.1.9:1", "127.$base.1.1:1"]
[stop]
grace_seconds = 6
[retries]
ratio = 0.2
allowance = 54
END
}
start_daemon() { # NUMBER [DIRECTORY OF ITS PROGRAM]
    start "daemon-$1" "${2:-$bin}/eelgrassfordd" relay --settings "$work/daemon-$1.toml"
}
start_runner() { # NUMBER ARGUMENT...
    local number=$1
    shift
    start "runner-$number" "$bin/eelgrassford-standins" runner --listen "127.$base.2.$number:8000" --name "runner-$number" "$@"
}
# Start of the runners' processes, unless another one is given.
born=1
list_runner() { # NUMBER STATE [BORN [VERSION [COLD_MS]]]
    curl -sf -X PUT "$store/item/servers/runner-$1" -d "{\"service\":\"pool\",\"address\":\"127.$base.2.$1:8000\",\"zone\":\"south-$1\",\"slots\":8,\"state\":\"$2\",\"coldRemainingMs\":${5:-0},\"sequence\":1,\"born\":${3:-$born},\"version\":\"${4:-v1}\"}"
}
publish() { # VERSION KEY [PREFIX [FIELDS OF THE SERVICE]]
    curl -sf -X PUT "$store/item/op/config" -d "{\"version\":$1,\"routes\":[
        {\"name\":\"book\",\"host\":\"a.example\",\"pathPrefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":2000,\"service\":\"pool\",\"maxAttempts\":1},
        {\"name\":\"look\",\"host\":\"a.example\",\"pathPrefix\":\"${3:-/look/}\",\"kind\":\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":2000,\"service\":\"pool\",\"maxAttempts\":2},
        {\"name\":\"stream\",\"host\":\"a.example\",\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":2000,\"service\":\"pool\",\"maxAttempts\":2,\"streamResume\":true}],
        \"services\":[{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConnections\":100${4:-}}],
        \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},
        \"tenants\":[{\"name\":\"yard\",\"apiKeys\":[\"$2\"]}]}"
}
ask() { # DAEMON PATH ID [CURL ARGUMENT...]: prints the status, keeps body and headers in the directory answer_in
    local daemon=$1 path=$2 id=$3
    shift 3
    curl -sN -m 20 -o "${answer_in:-$work}/body" -D "${answer_in:-$work}/headers" -w '%{http_code}' "http://127.$base.1.$daemon:8000$path" -H 'Host: a.example' -H "X-Attempt-Id: $id" -H 'X-Deadline-Ms: 5000' -H "X-Key: ${key:-key-1}" "$@"
}
runs() { # ID: over all runners
    for number in 1 2 3; do curl -sf "http://127.$base.2.$number:8000/runs"; done | jq -s --arg id "$1" 'map(.[$id] // 0) | add'
}
fault() { curl -sf "http://127.$base.2.$1:8000/fault?name=$2"; }
is_ready() { curl -sf "http://127.$base.1.$1:8001/ready"; }
status_field() { curl -sf "http://127.$base.1.$1:8001/admin/status" | jq -r "$2"; }
field_is() { [ "$(status_field "$1" "$2")" = "$3" ]; }
answers() { [ "$(ask "$@")" = 200 ]; }
refuses() { [ "$(ask "$1" "$2" "$3")" = "$4" ]; }
has_ended() { ! kill -0 "${pids[$1]}" 2> /dev/null; }
# The next process binds the same address.
kill_and_wait() { # NAME
    kill -9 "${pids[$1]}"
    wait "${pids[$1]}" 2> /dev/null
}
begin_and_break() { # DAEMON ID: a stream that breaks off after more than half of its events
    for number in 1 2 3; do fault "$number" cut-late > /dev/null; done
    ask "$1" /stream/1 "$2" -d x -H "X-Prompt-Prefix: ab:2000,$(printf %x $((1000 + ${2#v-}))):300" > /dev/null
    cp "$work/body" "$work/begun-$2"
    for number in 1 2 3; do fault "$number" none > /dev/null; done
}
go_on() { # DAEMON ID: prints the status
    ask "$1" /stream/1 "$2-again-$((attempt++))" -d x -H "Resumes: $2" -H "Last-Event-Id: $(grep -c '^data: e' "$work/begun-$2")" \
        -H "X-Prompt-Prefix: ab:2000,$(printf %x $((1000 + ${2#v-}))):300"
}
attempt=0
goes_on() { [ "$(go_on "$@")" = 200 ]; }
versions_of() { cat "$work/begun-$1" "$work/body" | sed -n 's/^event: //p' | sort -u | wc -l; }
