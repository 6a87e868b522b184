# Guards against answers without end, in a body or an event, that occupy an
# entry's memory or connections: they are given up at a bound in bytes, and at
# the latest when nobody waits for them any more.
set -u
# A sanitizer would keep freed memory, and the bound would not show.
export ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1
. tests/site/lib.sh
BASE=26900
STORE_ADDRESS=127.0.0.1:$BASE
CALLS=12
BUFFERED_MAX_KB=$((64 * 1024)) # of all responses together
SLACK_KB=$((BUFFERED_MAX_KB / 2)) # of the buffers, and of a sanitizer
ROUTE_TIMEOUT_MS=1000         # of /again/
ANSWER_MAX_MS=4000            # half of the timeouts of /once/ and /chat/

endpoint_port () { echo $((BASE + 10 + $1)); }
fault () { # ENDPOINT FAULT
  control "$(endpoint_port "$1")" "{\"fault\":\"$2\",\"next\":1000}"
}
open_answers () { # ENDPOINT
  curl -s -m 5 "http://127.0.0.1:$(endpoint_port "$1")/record" \
    | sed 's/.*"open": *\([0-9]*\).*/\1/'
}
closed () { [ "$(open_answers "$1")" = 0 ]; }
request () { # PATH [CURL FLAGS...]: prints the HTTP status and the time in ms
  local path=$1
  shift
  curl -s -m 9 -o /dev/null -w '%{http_code} %{time_total}\n' -X POST \
    -H 'Host: host.example' -H "Authorization: Bearer k1" \
    -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM" \
    -H 'Camphorarch-Deadline-Remaining: 8000' -d x "$@" \
    "http://127.0.0.1:$(entry_port 1)$path" | awk '{ print $1, int($2 * 1000) }'
}
has_status () { request "$1" | grep -q "^$2 "; }
stream () { request /chat/x -H 'Camphorarch-Token-Usage: 10,5' -H 'Camphorarch-Prompt-Prefix: a:5,b:5'; }
serves_streams () { stream | grep -q '^200 '; }
peak_kb () { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${PID[entry1]}/status"; }
all_calls () { # COMMAND...: as many times as CALLS, at once
  local pids=
  : > "$WORK/answers"
  for _ in $(seq $CALLS); do
    "$@" >> "$WORK/answers" &
    pids="$pids $!"
  done
  wait $pids
}

start_store
wait_for record
start_endpoint 1 api z1
start_endpoint 2 llm z1
sed '/"name":"once"/s/"timeout_ms":1000/"timeout_ms":8000/' tests/site/config.json > "$WORK/config.json"
put_config "$WORK/config.json"
start_entry 1 z1
wait_for has_status /again/a 200
wait_for serves_streams

MEMORY_MAX_KB=$(($(peak_kb) + BUFFERED_MAX_KB + SLACK_KB))

fault 1 endless
all_calls request /once/x
awk -v max=$ANSWER_MAX_MS '$1 != 502 || $2 > max { exit 1 }' "$WORK/answers" \
  || fail "bodies without end: $(tr '\n' ';' < "$WORK/answers")"
wait_for closed 1
fault 2 endless
all_calls stream
awk -v max=$ANSWER_MAX_MS '$1 == 200 || $2 > max { exit 1 }' "$WORK/answers" \
  || fail "events without end: $(tr '\n' ';' < "$WORK/answers")"
wait_for closed 2
[ "$(peak_kb)" -le $MEMORY_MAX_KB ] || fail "the entry took $(peak_kb) KB, $MEMORY_MAX_KB are allowed"

# One that goes on slowly ends with the route's timeout, or with its caller.
fault 1 drip
request /again/x > "$WORK/answer"
awk -v max=$((ROUTE_TIMEOUT_MS + 500)) '$1 != 504 || $2 > max { exit 1 }' "$WORK/answer" \
  || fail "a slow body without end: $(cat "$WORK/answer")"
wait_for closed 1
fault 2 drip
curl -s -m 0.5 -o /dev/null -X POST -H 'Host: host.example' -H 'Authorization: Bearer k1' \
  -H 'Camphorarch-Attempt-Id: gone' -H 'Camphorarch-Token-Usage: 10,5' -d x \
  "http://127.0.0.1:$(entry_port 1)/chat/x"
WAIT_STEPS=20 wait_for closed 2
is_running entry1 || fail "the entry ended"
echo "endless answers: ok, $(peak_kb) KB"
