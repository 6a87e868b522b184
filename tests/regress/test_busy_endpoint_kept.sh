# Guards against runs that are given up at an endpoint which works on them, as the
# others of its service have ended.
set -u
. tests/site/lib.sh
BASE=32000
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=4
ENDPOINTS=4 # of each service
PLAIN_REQUESTS=40
ENGINE_REQUESTS=8 # the slots that an engine lists
SLOW_PLAIN_MS=400
PREFILL_MS=1500

# request ENTRY PATH [HEADER...]: prints the HTTP status.
request () {
  local port=$1 path=$2
  shift 2
  curl -s -m 8 -o /dev/null -w '%{http_code}\n' -X POST -d x -H 'Host: host.example' -H 'Authorization: Bearer k1' \
    -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM$RANDOM" "$@" "http://127.0.0.1:$(entry_port "$port")$path"
}
send_all () { # COUNT PATH FILE [HEADER...]: requests at all entries, some at a time
  local count=$1 path=$2 file=$3 jobs=()
  shift 3
  for i in $(seq "$count"); do
    request $((i % ENTRIES + 1)) "$path" "$@" >> "$file" &
    jobs+=($!)
    [ $((i % 8)) -eq 0 ] && sleep 0.2
  done
  wait "${jobs[@]}"
}
check_served () { # COUNT FILE WHAT
  local served
  served=$(grep -c '^200$' "$2")
  [ "$served" -eq "$1" ] || fail "$3: $served of $1 served: $(sort "$2" | uniq -c | tr '\n' ' ')"
}

start_store
wait_for record
for i in $(seq $ENDPOINTS); do
  WORK_MS=$SLOW_PLAIN_MS start_endpoint "$i" api z1
  WORK_MS=$PREFILL_MS start_endpoint $((10 + i)) llm z1
done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" z1; done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
sleep 1
# The store keeps the rows of those that end.
for i in $(seq 2 $ENDPOINTS); do
  signal KILL "endpoint$i"
  signal KILL "endpoint$((10 + i))"
done
send_all $PLAIN_REQUESTS /again/x "$WORK/plain" -H 'Camphorarch-Deadline-Remaining: 1000' &
plain=$!
send_all $ENGINE_REQUESTS /resume/x "$WORK/engine" -H 'Camphorarch-Deadline-Remaining: 8000' -H 'Camphorarch-Model: m' \
  -H 'Camphorarch-Token-Usage: 40,24' -H 'Camphorarch-Prompt-Prefix: a:10,b:10'
wait $plain
check_served $PLAIN_REQUESTS "$WORK/plain" 'plain endpoint'
check_served $ENGINE_REQUESTS "$WORK/engine" 'engine in prefill'
grep -h 'endpoints lost' "$WORK"/entry*.log | head -1 | grep -q . && fail "a run was given up: $(grep -h 'endpoints lost' "$WORK"/entry*.log | head -1)"
echo "busy endpoint kept: ok"
