# Guards against running an idempotency key twice: the key is sent to all entries
# at once while the store loses an answer to a claim; the entry that holds the
# claim is killed during the run; the store is down.
set -u
. tests/regress/lib.sh
BASE_PORT=18600
PLATFORM_PORT=$BASE_PORT PLATFORM=127.0.0.1:$BASE_PORT
. tests/regress/small_fleet.sh
trap stop_all EXIT
start_small_fleet
all="$ENGINE1 $ENGINE2 $ENGINE3"
body='{"prompt":"billed once","max_tokens":40}'

before=$(engine_starts $all)
control "$PLATFORM_PORT" '{"lose_answers":1}' > /dev/null
send_request "$E1" long-design-review one "$body" > "$WORK/1" &
p1=$!
send_request "$E2" long-design-review one "$body" > "$WORK/2" &
p2=$!
send_request "$E3" long-design-review one "$body" > "$WORK/3" &
p3=$!
wait $p1 $p2 $p3
replayed () { send_request "$1" long-design-review "$2" "$body" | grep -q '"replayed":true'; }
wait_for replayed "$E2" one
expect_equal "runs of one key sent three times" $((before + 1)) "$(engine_starts $all)"

before=$(engine_starts $all)
send_request "$E1" long-design-review two '{"prompt":"billed once","max_tokens":400,"stream":true}' > "$WORK/4" &
p4=$!
wait_for test -s "$WORK/4"
kill -KILL "$(pid_of lima1)"
wait "$p4" 2> /dev/null
for attempt in 1 2 3; do
  send_request "$E2" long-design-review two '{"prompt":"billed once","max_tokens":400}' > "$WORK/5"
  grep -q '"outcome":"unknown"' "$WORK/5" || fail "after the holder was killed: expected outcome unknown, got $(cat "$WORK/5")"
done
expect_equal "runs after the holder was killed" $((before + 1)) "$(engine_starts $all)"

before=$(engine_starts $all)
control "$PLATFORM_PORT" '{"down":true}' > /dev/null
send_request "$E2" long-design-review three "$body" > "$WORK/6"
grep -q '"kind":"store_unavailable"' "$WORK/6" || fail "store down: expected store_unavailable, got $(cat "$WORK/6")"
send_request "$E2" quick-check '' '{"prompt":"still served","max_tokens":2}' | grep -q '"choices"' \
  || fail "store down: an idempotent request was not served"
control "$PLATFORM_PORT" '{"down":false}' > /dev/null
answered () { send_request "$1" long-design-review three "$body" | grep -q '"choices"'; }
wait_for answered "$E3"
expect_equal "runs over the outage" $((before + 2)) "$(engine_starts $all)"
echo "at most once ok"
