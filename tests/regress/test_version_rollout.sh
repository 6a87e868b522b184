# Guards, with real processes, against rollouts that end in the wrong state or not
# in time, that mix versions in a stream, or that go on sending to a version that
# was reverted.  A good version and then a bad one are ordered while streams go on
# without a break, and the leading entry is killed in the middle of each.  The
# first order comes in one write with a configuration that is too large for the
# messages by which the zone's reader forwards changes.
set -u
. tests/site/lib.sh
BASE=29000
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=7
ENDPOINTS=6
SECONDS_OF_LOAD=45
RATE=50
EVENT_MS=60
DURATION_S=14
EXPOSURE_PERCENT=10
EXPOSURE_ALLOWANCE=50

zone_of () { [ "$1" -le 6 ] && echo z1 || echo z2; }

# row KEY TEXT-FILE: a row of the operator's table for a write.
row () {
  printf '{"table_name":"op","part":"","key":"%s","value":"%s"}' "$1" \
    "$(base64 -w 0 < "$2")"
}

# put_rows ROW...: writes rows in one call.
put_rows () {
  local IFS=,
  printf '{"expect":[],"write":[%s],"removals":[]}' "$*" > "$WORK/put"
  curl -s -m 20 -f -X POST "http://127.0.0.1:$BASE/v1/rows-tx" \
    --data-binary @"$WORK/put" > /dev/null
}

write_order () { # TARGET
  printf '{"service":"llm","target":"%s","duration_s":%s}' "$1" $DURATION_S \
    > "$WORK/order"
}

status_row () {
  curl -s -m 5 "http://127.0.0.1:$BASE/v1/rows-get?table_name=status&part=&from=rollout%2Fllm&limit=1" \
    | sed -n 's/.*"value": *"\([^"]*\)".*/\1/p' | base64 -d
}

is_state () { # STATE TARGET
  status_row | grep -q "\"state\":\"$1\",\"target\":\"$2\""
}

# start_target FIRST VERSION: one endpoint for each old one, beside them.
start_target () {
  local i
  for i in $(seq "$1" $(($1 + ENDPOINTS - 1))); do
    VERSION_OF[$i]=$2
    start_endpoint "$i" llm "z$((i % 2 + 1))"
  done
}

# Kills the endpoints from number FIRST on, and removes their rows.
stop_endpoints () {
  local i removals=
  for i in $(seq "$1" $(($1 + ENDPOINTS - 1))); do
    signal KILL "endpoint$i"
    removals=$removals,'{"table_name":"servers","part":"","key":"i-'$i'"}'
  done
  printf '{"expect":[],"write":[],"removals":[%s]}' "${removals#,}" > "$WORK/remove"
  curl -s -m 5 -f -X POST "http://127.0.0.1:$BASE/v1/rows-tx" \
    --data-binary @"$WORK/remove" > /dev/null
}

leader () {
  local i
  for i in $(seq $ENTRIES); do
    [ "$(metric "$i" camphorarch_leads)" = 1 ] && echo "$i" && return
  done
  return 1
}

# Kills the entry that leads and starts it again.
restart_leader () {
  local i
  wait_for leader
  i=$(leader)
  signal KILL "entry$i"
  sleep 0.2
  start_entry "$i" "$(zone_of "$i")"
  wait_for is_ready "$i"
}

# Requests that ran at the endpoints from number FIRST to LAST.
runs_at () {
  awk -v first="$1" -v last="$2" '
    $1 == "run" { number = substr ($2, 3) + 0
                  if (number >= first && number <= last) count++ }
    END { print count + 0 }' "$RUNS"
}

start_store
wait_for record
for i in $(seq $ENDPOINTS); do
  VERSION_OF[$i]=v1
  start_endpoint "$i" llm "z$((i % 2 + 1))"
done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" "$(zone_of "$i")"; done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
wait_for leader
sleep 4
ports=$(for i in $(seq $ENTRIES); do entry_port "$i"; done | paste -sd,)
"$BUILD/tests/site/site-streamers" --entries "$ports" --seconds $SECONDS_OF_LOAD \
  --rate $RATE --seed 1 > "$WORK/streams" &
streamers=$!
sleep 1

# The good version.
print_config 8 400 > "$WORK/config"
[ "$(wc -c < "$WORK/config")" -gt 20000 ] || fail "the configuration is small"
write_order v2
put_rows "$(row config "$WORK/config")" "$(row rollout/llm "$WORK/order")" \
  || fail "the order was not written"
ordered=$SECONDS
start_target 11 v2
wait_for is_state in_progress v2
sleep 3
restart_leader
wait_for is_state completed v2
took=$((SECONDS - ordered))
stop_endpoints 1
echo "v2 completed after $took s"
[ "$took" -le $DURATION_S ] || fail "v2 was completed after $took s only"
for i in $(seq $ENTRIES); do
  grep -q 'rollout_order_bad' "$WORK/entry$i.log" && fail "entry $i took the order for bad"
done
sleep 1
before=$(runs_at 1 6)
sleep 1
[ "$(runs_at 1 6)" -eq "$before" ] || fail "requests still reach v1 after v2 was completed"

# The bad version: all its answers are failures.
sleep 3
write_order v3
requests=$(runs_at 1 99)
put_rows "$(row rollout/llm "$WORK/order")" || fail "the order was not written"
ordered=$SECONDS
start_target 21 v3
for i in $(seq 21 26); do
  wait_for curl -s -m 1 -f -X POST "http://127.0.0.1:$((BASE + 10 + i))/control" \
    -d '{"fault":"fail","next":1000000}'
done
wait_for is_state in_progress v3
restart_leader
wait_for is_state reverted v3
took=$((SECONDS - ordered))
echo "v3 reverted after $took s"
[ "$took" -le $DURATION_S ] || fail "v3 was reverted after $took s only"
sleep 1
before=$(runs_at 21 26)
requests=$(($(runs_at 1 99) - requests))
sleep 3
exposed=$(runs_at 21 26)
echo "v3 got $exposed of $requests requests"
[ "$exposed" -eq "$before" ] || fail "$((exposed - before)) requests reached v3 after it was reverted"
[ "$exposed" -gt 0 ] || fail "v3 got no request"
[ "$exposed" -le $((requests * EXPOSURE_PERCENT / 100 + EXPOSURE_ALLOWANCE)) ] \
  || fail "v3 got $exposed of $requests requests"
stop_endpoints 21

wait $streamers
cat "$WORK/streams"
read -r begun complete misplaced mixed < <(
  sed -n 's/^sent [0-9]* begun \([0-9]*\) complete \([0-9]*\) .* misplaced \([0-9]*\) mixed \([0-9]*\)/\1 \2 \3 \4/p' "$WORK/streams")
[ "$mixed" -eq 0 ] || fail "$mixed streams hold pieces of two versions"
[ "$misplaced" -eq 0 ] || fail "$misplaced streams miss a piece or have one twice"
[ $((complete * 10)) -ge $((begun * 9)) ] || fail "only $complete of $begun streams are complete"
is_state reverted v3 || fail "the state has changed"
echo "version rollout: ok"
