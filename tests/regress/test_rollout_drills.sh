# Guards, with real processes, against a rollout whose outcome is lost or changes:
# an order that is withdrawn, one whose target has no endpoint, one that is replaced,
# a store that does not answer or comes back from an older copy in the middle and
# after the outcome, and all entries killed after it.
set -u
. tests/site/lib.sh
BASE=28800
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=3
EVENT_MS=40
SECONDS_OF_LOAD=30

status_row () {
  curl -s -m 5 "http://127.0.0.1:$BASE/v1/rows-get?table_name=status&part=&from=rollout%2Fllm&limit=1" \
    | sed -n 's/.*"value": *"\([^"]*\)".*/\1/p' | base64 -d
}

is_state () { # STATE TARGET
  status_row | grep -q "\"state\":\"$1\",\"target\":\"$2\""
}

transaction () { # WRITES REMOVALS
  printf '{"expect":[],"write":[%s],"removals":[%s]}' "$1" "$2" > "$WORK/put"
  curl -s -m 5 -f -X POST "http://127.0.0.1:$BASE/v1/rows-tx" \
    --data-binary @"$WORK/put" > /dev/null || fail "the store refused a write"
}

order () { # TARGET DURATION-S
  printf '{"service":"llm","target":"%s","duration_s":%s}' "$1" "$2" > "$WORK/order"
  transaction '{"table_name":"op","part":"","key":"rollout/llm","value":"'"$(base64 -w 0 < "$WORK/order")"'"}' ''
}

start_store
wait_for record
for i in 1 2 3 4; do
  VERSION_OF[$i]=v1
  start_endpoint "$i" llm z1
done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" z1; done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
sleep 4
ports=$(for i in $(seq $ENTRIES); do entry_port "$i"; done | paste -sd,)
start streamers "$BUILD/tests/site/site-streamers" --entries "$ports" \
  --seconds $SECONDS_OF_LOAD --rate 40 --seed 1

order v2 12
wait_for is_state in_progress v2
transaction '' '{"table_name":"op","part":"","key":"rollout/llm"}'
wait_for is_state reverted v2

order v2 4
wait_for is_state in_progress v2
wait_for is_state reverted v2
cat "$WORK"/entry*.log | grep 'rollout_status_written' \
  | grep -q 'v2 reverted .*the target has no endpoint' || fail "v2 was reverted for another reason"

order v2 10
wait_for is_state in_progress v2
order v3 10
wait_for is_state in_progress v3
for i in 11 12 13 14; do
  VERSION_OF[$i]=v3
  start_endpoint "$i" llm z1
done
sleep 2
control $BASE '{"mode":"silent"}'
sleep 1.5
control $BASE '{"mode":"ok"}'
control $BASE '{"copy":true}'
sleep 1
control $BASE '{"restore":true}'
wait_for is_state completed v3
row=$(status_row)
for i in 1 2 3 4; do signal KILL "endpoint$i"; done

# The copy says that the rollout is in progress.
sleep 1
control $BASE '{"restore":true}'
wait_for is_state completed v3
[ "$(status_row | sed 's/,"era".*//')" = "$(echo "$row" | sed 's/,"era".*//')" ] \
  || fail "the outcome is $(status_row), was $row"

# Entries that start after the outcome take it from the row.
for i in $(seq $ENTRIES); do
  signal KILL "entry$i"
  : > "$WORK/entry$i.log"
  start_entry "$i" z1
done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
knows () { grep -q '"event":"rollout_stage".*version v3: completed' "$WORK/entry$1.log"; }
for i in $(seq $ENTRIES); do wait_for knows "$i"; done
is_state completed v3 || fail "the outcome has changed: $(status_row)"
grep -h '"event":"rollout_order_bad"' "$WORK"/entry*.log && fail "an order was taken for bad"
record | grep -q '"breaches": *\[\]' || fail "a rule of the leader was broken: $(record)"
wait_for grep -q ' mixed 0$' "$WORK/streamers.log"
echo "rollout drills: ok"
