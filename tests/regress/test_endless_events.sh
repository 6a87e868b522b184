# Guards against events without end that pile up in an entry, since the caller does not
# read: their stream is cut at a bound in bytes, and others are served meanwhile.
set -u
export ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1
. tests/site/lib.sh
BASE=28200
STORE_ADDRESS=127.0.0.1:$BASE
STREAMS=6
BUFFERED_MAX_KB=$((64 * 1024)) # of all responses together
SLACK_KB=$((BUFFERED_MAX_KB / 2)) # of the buffers, and of a sanitizer
REQUESTS=20

request () { # PATH: prints the HTTP status
  curl -s -m 3 -o /dev/null -w '%{http_code}' -X POST -H 'Host: host.example' \
    -H 'Authorization: Bearer k1' -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM" \
    -H 'Camphorarch-Deadline-Remaining: 2000' -d x "http://127.0.0.1:$(entry_port 1)$1"
}
has_status () { [ "$(request "$1")" = "$2" ]; }
peak_kb () { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${PID[entry1]}/status"; }
# Sends a request for a stream and reads nothing of the answer.
open_unread () { # NUMBER
  exec 9<> "/dev/tcp/127.0.0.1/$(entry_port 1)"
  printf '%s\r\n' 'POST /chat/x HTTP/1.1' 'Host: host.example' 'Authorization: Bearer k1' \
    "Camphorarch-Attempt-Id: unread$1" 'Camphorarch-Deadline-Remaining: 14000' \
    'Camphorarch-Token-Usage: 10,5' 'Camphorarch-Prompt-Prefix: a:5,b:5' \
    'Content-Length: 1' '' >&9
  printf x >&9
  sleep 6
}

start_store
wait_for record
start_endpoint 1 api z1
start_endpoint 2 llm z1
put_config tests/site/config.json
start_entry 1 z1
wait_for has_status /once/x 200
MEMORY_MAX_KB=$(($(peak_kb) + BUFFERED_MAX_KB + SLACK_KB))
control $((BASE + 12)) '{"fault":"flood","next":100000}'
for i in $(seq $STREAMS); do (open_unread "$i") & done
served=0
for _ in $(seq $REQUESTS); do
  has_status /once/y 200 && served=$((served + 1))
  sleep 0.2
done
is_running entry1 || fail "the entry ended"
echo "$STREAMS streams unread: $served of $REQUESTS others served, peak $(peak_kb) KB"
[ "$(peak_kb)" -le $MEMORY_MAX_KB ] || fail "the entry took $(peak_kb) KB, $MEMORY_MAX_KB are allowed"
[ $served -eq $REQUESTS ] || fail "$served of $REQUESTS requests served"
wait
