# Guards against passing on wrong data.  An engine's stream is cut off, carries
# another run's tokens or ends early: the caller gets its complete answer from a
# single run.  A store row does not parse: the request that needs it gets a typed
# error, and the entries go on serving.
set -u
. tests/regress/lib.sh
BASE_PORT=18900
PLATFORM_PORT=$BASE_PORT PLATFORM=127.0.0.1:$BASE_PORT
. tests/regress/small_fleet.sh
trap stop_all EXIT
start_small_fleet
expected=$(expected_text "torn answer" 150)

for fault in cut_streams cross_streams end_streams_early; do
  before=$(engine_starts "$ENGINE1" "$ENGINE2" "$ENGINE3")
  send_request "$E1" long-design-review "key-$fault" '{"prompt":"torn answer","max_tokens":150,"stream":true}' > "$WORK/$fault" &
  caller=$!
  wait_for test -s "$WORK/$fault"
  for port in "$ENGINE1" "$ENGINE2" "$ENGINE3"; do
    control "$port" "{\"$fault\":true}" > /dev/null
  done
  wait "$caller"
  expect_equal "answer after $fault" "$expected" "$(stream_text < "$WORK/$fault")"
  grep -q '\[DONE\]' "$WORK/$fault" || fail "$fault: the stream has no [DONE]"
  expect_equal "runs with $fault" $((before + 1)) "$(engine_starts "$ENGINE1" "$ENGINE2" "$ENGINE3")"
done

put_row () { # KEY VALUE
  curl -s -m 5 "http://$PLATFORM/v1/table/write" -d "{\"ops\":[{\"key\":\"$1\",\"value\":\"$2\"}]}" > /dev/null
}
put_row claim/taller-cusco/broken 'no claim'
send_request "$E1" long-design-review broken '{"prompt":"x"}' > "$WORK/broken"
grep -q '"kind":"store_unavailable"' "$WORK/broken" || fail "claim row that does not parse: expected store_unavailable, got $(cat "$WORK/broken")"
grep -q '"outcome":"unknown"' "$WORK/broken" || fail "claim row that does not parse: expected outcome unknown, got $(cat "$WORK/broken")"
put_row config/head 'no head'
put_row intent/nobody 'no intent'
put_row fleet/lease 'no lease'
bad_rows () { grep -q '"event":"store_bad_row".*config/head' "$WORK"/lima?.log; }
wait_for bad_rows
entry_serves "$E1" || fail "lima1 stopped serving after rows that do not parse"
entry_serves "$E3" || fail "lima3 stopped serving after rows that do not parse"
echo "answers ok"
