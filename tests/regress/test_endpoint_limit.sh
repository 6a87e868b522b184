# Guards against endpoints that get more requests than the limit that they name,
# against requests that wait for them, and against a limit that outlives itself.
set -u
. tests/site/lib.sh
BASE=22200
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=4
ENDPOINTS=3
LIMIT=1.5
LIMIT_ALLOWED=14 # in 4 s: one and a half times the limit, and 5
LIMITED_S=9
REFUSED_MAX_MS=150 # the objective of the route

endpoint_port () { echo $((BASE + 10 + $1)); }
limit_all () { # TEXT
  for i in $(seq $ENDPOINTS); do control "$(endpoint_port "$i")" "{\"limit\":\"$1\"}"; done
}
request () { # ENTRY: prints the HTTP status, the time in s and Retry-After
  curl -s -m 3 -o /dev/null -w '%{http_code} %{time_total} %header{retry-after}\n' \
    -X POST -H 'Host: host.example' -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM" \
    -H 'Camphorarch-Deadline-Remaining: 2000' -d x \
    "http://127.0.0.1:$(entry_port "$1")/open/a"
}
has_status () { request "$1" | grep -q "^$2 "; }
endpoint_record () { curl -s -m 5 "http://127.0.0.1:$(endpoint_port "$1")/record"; }
record_field () { endpoint_record "$1" | sed "s/.*\"$2\": *\([0-9]*\).*/\1/"; }
load () { # SECONDS: requests at all entries in turn
  local end=$((SECONDS + $1))
  while [ "$SECONDS" -lt "$end" ]; do
    for i in $(seq $ENTRIES); do request "$i" >> "$WORK/answers"; done
  done
}
check_limit () { # WHEN
  local i used=0 most
  for i in $(seq $ENDPOINTS); do
    most=$(record_field "$i" most)
    used=$((used + $(record_field "$i" requests)))
    [ "$most" -le $LIMIT_ALLOWED ] || fail "$1: endpoint $i got $most requests in 4 s, $LIMIT_ALLOWED are allowed"
  done
  [ "$used" -ge $((ENDPOINTS * LIMITED_S)) ] || fail "$1: $used requests in $LIMITED_S s were sent, all limits take more"
  grep -q '^503 ' "$WORK/answers" || fail "$1: nothing was refused"
  awk -v max=$REFUSED_MAX_MS '$1 == 503 && ($2 * 1000 > max || $3 == "") { exit 1 }' "$WORK/answers" \
    || fail "$1: a refusal came late, or without the time to return"
  grep -qv -e '^503 ' -e '^200 ' "$WORK/answers" && fail "$1: $(sort "$WORK/answers" | cut -c1-3 | uniq -c | tr '\n' ' ')"
  rm "$WORK/answers"
}

start_store
wait_for record
for i in $(seq $ENDPOINTS); do start_endpoint "$i" api z1; done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" z1; done
for i in $(seq $ENTRIES); do wait_for has_status "$i" 200; done

limit_all $LIMIT
load $LIMITED_S
check_limit 'all entries running'

# The entry that coordinates a limit may be the one that ends.
signal KILL entry1
gone () { ! is_running entry1; }
wait_for gone
start_entry 1 z1
wait_for is_ready 1
limit_all $LIMIT
load $LIMITED_S
check_limit 'an entry restarted'

limit_all soon
sleep 1
for i in $(seq $ENTRIES); do request "$i" > /dev/null; done
grep -q '"event":"endpoint_bad_limit"' "$WORK"/entry*.log || fail 'a limit that is no number left no line'
limit_all ''
for i in $(seq $ENTRIES); do wait_for has_status "$i" 200; done
unlimited () { for i in $(seq $ENTRIES); do for _ in 1 2 3 4 5; do has_status "$i" 200 || return 1; done; done; }
wait_for unlimited
echo "endpoint limit: ok"
