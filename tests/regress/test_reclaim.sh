# Guards against tokens that are lost or repeated when a run moves to another
# engine.  Both engines of a zone get a reclaim notice and are killed while they
# serve two streams.  Then an engine's open connections stop sending data during
# a non-idempotent stream: it must resume without a second run.
set -u
. tests/regress/lib.sh
BASE_PORT=18500
PLATFORM_PORT=$BASE_PORT PLATFORM=127.0.0.1:$BASE_PORT
. tests/regress/small_fleet.sh
trap stop_all EXIT
start_small_fleet
expected=$(expected_text "reclaim me" 250)

send_request "$E1" quick-check '' '{"prompt":"reclaim me","max_tokens":250,"stream":true}' > "$WORK/a" &
a=$!
send_request "$E2" long-design-review key-a '{"prompt":"reclaim me","max_tokens":250,"stream":true}' > "$WORK/b" &
b=$!
wait_for test -s "$WORK/a"
wait_for test -s "$WORK/b"
for port in "$ENGINE1" "$ENGINE2"; do
  control "$PLATFORM_PORT" "{\"reclaim\":\"127.0.0.1:$port\",\"notice_ms\":1500}" > /dev/null
done
no_runs () { control "$1" '{}' | grep -q '"running":0'; }
wait_for no_runs "$ENGINE1"
wait_for no_runs "$ENGINE2"
kill -KILL "$(pid_of engine1)" "$(pid_of engine2)"
wait "$a" "$b"
expect_equal "stream over a reclaim" "$expected" "$(stream_text < "$WORK/a")"
expect_equal "non-idempotent stream over a reclaim" "$expected" "$(stream_text < "$WORK/b")"

send_request "$E3" long-design-review key-c '{"prompt":"silent one","max_tokens":200,"stream":true}' > "$WORK/c" &
c=$!
wait_for test -s "$WORK/c"
starts=$(engine_starts "$ENGINE3")
control "$ENGINE3" '{"mute_streams":true}' > /dev/null
wait "$c"
expect_equal "starts at the silent engine" "$starts" "$(engine_starts "$ENGINE3")"
expect_equal "tokens over the silence" 200 "$(grep -c '"text":' "$WORK/c")"
echo "reclaim ok"
