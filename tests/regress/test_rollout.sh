# Guards against requests interrupted by a rolling restart: every entry is
# restarted while it serves a long stream.  No request is interrupted, a second
# SIGTERM has no effect, and each process exits with status 0.
set -u
. tests/regress/lib.sh
BASE_PORT=18400
PLATFORM_PORT=$BASE_PORT PLATFORM=127.0.0.1:$BASE_PORT
. tests/regress/small_fleet.sh
trap stop_all EXIT
start_small_fleet
expected=$(expected_text "roll out" 200)
for number in 1 2 3; do
  port=$((BASE_PORT + 100 + number))
  send_request "$port" quick-check '' '{"prompt":"roll out","max_tokens":200,"stream":true}' > "$WORK/s$number" &
  stream=$!
  send_request "$port" long-design-review "key-$number" '{"prompt":"roll out","max_tokens":200}' > "$WORK/w$number" &
  whole=$!
  wait_for test -s "$WORK/s$number"
  pid=$(pid_of "lima$number")
  kill -TERM "$pid"
  kill -TERM "$pid"
  send_request "$port" quick-check '' '{"prompt":"while stopping","max_tokens":2}' > "$WORK/late$number"
  wait "$stream" "$whole"
  wait "$pid"
  expect_equal "exit status of lima$number" 0 $?
  expect_equal "stream through lima$number" "$expected" "$(stream_text < "$WORK/s$number")"
  expect_equal "whole answer through lima$number" "$expected" "$(answer_text < "$WORK/w$number")"
  grep -q '"choices"' "$WORK/late$number" || fail "a request sent to lima$number during its shutdown was not answered"
  grep -q '\[DONE\]' "$WORK/s$number" || fail "stream $number has no [DONE]"
  zone=lima-central-a
  [ "$number" = 3 ] && zone=lima-central-b
  start_entry "lima$number" "$number" "$zone"
  wait_for entry_has_revision "$port" 1
  wait_for entry_serves "$port"
done
echo "rollout ok"
