# Guards against requests to an endpoint that says that it leaves, or that wants
# none for a time.
set -u
. tests/site/lib.sh
BASE=28900
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=3
PAUSE_S=3
PER_ENTRY_MAX=2 # in one pause
LEAVING_MAX=1   # per entry: the one whose answer says so

endpoint_port () { echo $((BASE + 10 + $1)); }
request () { # ENTRY: prints the HTTP status and Retry-After
  curl -s -m 3 -o /dev/null -w '%{http_code} %header{retry-after}\n' \
    -X POST -H 'Host: host.example' -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM" \
    -H 'Camphorarch-Deadline-Remaining: 2000' -d x \
    "http://127.0.0.1:$(entry_port "$1")/open/a"
}
has_status () { request "$1" | grep -q "^$2 "; }
requests_at () { # ENDPOINT
  curl -s -m 5 "http://127.0.0.1:$(endpoint_port "$1")/record" \
    | sed 's/.*"requests": *\([0-9]*\).*/\1/'
}
now_ms () { date +%s%3N; }
load () { # MS: requests at all entries in turn
  local end=$(($(now_ms) + $1))
  while [ "$(now_ms)" -lt "$end" ]; do
    for i in $(seq $ENTRIES); do request "$i" >> "$WORK/answers"; done
  done
}

start_store
wait_for record
for i in 1 2; do start_endpoint "$i" api z1; done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" z1; done
for i in $(seq $ENTRIES); do wait_for has_status "$i" 200; done

# Endpoint 1 wants nothing for a time; endpoint 2 takes it all.
control "$(endpoint_port 1)" "{\"pause\":\"$PAUSE_S\"}"
load $((PAUSE_S * 800))
paused=$(requests_at 1)
echo "$paused requests in one pause at $ENTRIES entries, $(grep -c . "$WORK/answers") in all"
[ "$paused" -ge 1 ] || fail "endpoint 1 got no request"
[ "$paused" -le $((ENTRIES * PER_ENTRY_MAX)) ] || fail "$paused requests in one pause"
grep -qv '^200 ' "$WORK/answers" && fail "not served: $(grep -v '^200 ' "$WORK/answers" | head -n 3)"

# It is used again once it takes requests; then all want nothing.
control "$(endpoint_port 1)" '{"pause":""}'
serves_again () { request 1 > /dev/null; [ "$(requests_at 1)" -gt "$paused" ]; }
wait_for serves_again
for i in 1 2; do control "$(endpoint_port "$i")" "{\"pause\":\"$PAUSE_S\"}"; done
for i in $(seq $ENTRIES); do has_status "$i" 503 || fail "entry $i did not refuse"; done
request 1 > "$WORK/answer"
awk -v max=$((PAUSE_S + 1)) '$1 != 503 || $2 < 1 || $2 > max { exit 1 }' "$WORK/answer" \
  || fail "all endpoints have paused, the answer was: $(cat "$WORK/answer")"
for i in 1 2; do control "$(endpoint_port "$i")" '{"pause":""}'; done
for i in $(seq $ENTRIES); do wait_for has_status "$i" 200; done

# Endpoint 1 says that it leaves, its record does not.
: > "$WORK/answers"
control "$(endpoint_port 1)" '{"leaving":true}'
load 2000
left=$(requests_at 1)
echo "$left requests after it said that it leaves"
[ "$left" -ge 1 ] || fail "endpoint 1 got no request"
[ "$left" -le $((ENTRIES * LEAVING_MAX)) ] || fail "$left requests after it said that it leaves"
grep -qv '^200 ' "$WORK/answers" && fail "not served: $(grep -v '^200 ' "$WORK/answers" | head -n 3)"
echo "endpoint notices: ok"
