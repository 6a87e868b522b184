# Guards against a bad row of a rollout that is not reported, or reported again and
# again, and against rows that the followers of a zone's reader miss: a row that
# comes in one write with a configuration too large for the reader's messages.
set -u
. tests/site/lib.sh
BASE=28600
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=6

# put_rows FILE...: writes KEY=FILE as rows of the operator's table in one call.
put_rows () {
  local pair rows=
  for pair in "$@"; do
    rows=$rows,'{"table_name":"op","part":"","key":"'${pair%%=*}'","value":"'$(base64 -w 0 < "${pair#*=}")'"}'
  done
  printf '{"expect":[],"write":[%s],"removals":[]}' "${rows#,}" > "$WORK/put"
  curl -s -m 20 -f -X POST "http://127.0.0.1:$BASE/v1/rows-tx" \
    --data-binary @"$WORK/put" > /dev/null || fail "the rows were not written"
}

reports () { # NUMBER TEXT
  grep '"event":"rollout_order_bad"' "$WORK/entry$1.log" | grep -c "$2"
}

all_report () { # COUNT TEXT
  local i
  for i in $(seq $ENTRIES); do
    [ "$(reports "$i" "$2")" -eq "$1" ] || return 1
  done
}

start_store
wait_for record
start_endpoint 1 api z1
VERSION_OF[2]=v1
start_endpoint 2 llm z1
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" z1; done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
sleep 3
grep -q '"event":"store_reader".*for its zone' "$WORK"/entry*.log || fail "no entry reads for its zone"

# Each fault is reported once by each entry.
put () { # SERVICE ROW
  printf '%s' "$2" > "$WORK/row"
  put_rows "rollout/$1=$WORK/row"
}
put llm '{"service":"llm","target":"v2"}'
wait_for all_report 1 'duration_s is missing'
put llm '{"service":"llm","target":"v2","duration_s":"12"}'
wait_for all_report 1 'duration_s is not a number'
put llm '{"service":"api","target":"v2","duration_s":12}'
wait_for all_report 1 "the row's key names"
put none '{"service":"none","target":"v2","duration_s":12}'
wait_for all_report 1 "service 'none' is not in the configuration"
put llm '{"service":"llm","target":"v1","duration_s":12}'
wait_for all_report 1 'target is the only version in service'
put llm 'no JSON'
wait_for all_report 1 'not a JSON object'

# In one write with a large configuration.
print_config 8 400 > "$WORK/config"
printf '{"service":"llm","target":"v2","duration_s":0}' > "$WORK/row"
put_rows "config=$WORK/config" "rollout/llm=$WORK/row"
wait_for all_report 1 'duration_s is 0, allowed: 1 to 86400'

# An entry that starts later reports the rows that are there.
start_entry 7 z1
wait_for is_ready 7
reported_late () { [ "$(reports 7 'duration_s is 0')" -eq 1 ]; }
wait_for reported_late

# The row of the service that is not known is reported once for all configurations.
sleep 1
all_report 1 "service 'none' is not" || fail "a row was reported again"
for i in $(seq $ENTRIES); do
  total=$(grep -c '"event":"rollout_order_bad"' "$WORK/entry$i.log")
  [ "$total" -eq 7 ] || fail "entry $i reported $total rows"
  [ "$(metric "$i" camphorarch_rollout_bad_rows_total)" -eq 7 ] || fail "entry $i counted other rows"
done
echo "rollout rows: ok"
