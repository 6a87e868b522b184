# Bad input from callers, peers and the command line gets a typed error, and the
# entry goes on serving.
set -u
. tests/regress/lib.sh
BASE_PORT=18700
PLATFORM_PORT=$BASE_PORT PLATFORM=127.0.0.1:$BASE_PORT
. tests/regress/small_fleet.sh
trap stop_all EXIT
start_small_fleet --max-body-bytes 20000

expect_error () { # KIND RESPONSE
  printf '%s' "$2" | grep -q "\"kind\":\"$1\"" || fail "expected error $1, got: $2"
}
expect_error bad_request "$(send_request "$E1" quick-check '' 'not json')"
expect_error bad_request "$(send_request "$E1" quick-check '' '{"prompt":1}')"
expect_error bad_request "$(send_request "$E1" quick-check '' '{"prompt":"x","max_tokens":0}')"
expect_error bad_request "$(send_request "$E1" quick-check '' '{"prompt":"x","prompt":"y"}')"
expect_error bad_request "$(send_request "$E1" quick-check 'bad key' '{"prompt":"x"}')"
expect_error bad_request "$(send_request "$E1" quick-check '' '{"prompt":"x"}' -H 'X-Workspace: twice')"
expect_error bad_request "$(send_request "$E1" quick-check '' '{"prompt":"x"}' -H 'X-Deadline-Ms: soon')"
expect_error unknown_class "$(send_request "$E1" nothing '' '{"prompt":"x"}')"
expect_error key_required "$(send_request "$E1" long-design-review '' '{"prompt":"x"}')"
expect_error not_found "$(curl -s "http://127.0.0.1:$E1/nowhere")"
expect_error not_found "$(curl -s "http://127.0.0.1:$E1/v1/requests/zzz")"
expect_error not_found "$(curl -s -m 5 "http://127.0.0.1:$E1/v1/requests/00000000000000ab")"
curl -s "http://127.0.0.1:$E1/v1/plans" -d '{"team":"x"}' | grep -q bad_intent || fail "an incomplete intent was not refused as bad_intent"
head -c 30000 /dev/zero | tr '\0' a > "$WORK/large"
code=$(curl -s -o /dev/null -w '%{http_code}' -H 'X-Workspace: taller-cusco' \
  -H 'X-Request-Class: quick-check' "http://127.0.0.1:$E1/v1/completions" --data-binary "@$WORK/large")
expect_equal "status of an oversize body" 413 "$code"
code=$(curl -s -o /dev/null -w '%{http_code}' -H "X-Long: $(head -c 20000 "$WORK/large")" "http://127.0.0.1:$E1/healthz")
expect_equal "status of an oversize head" 400 "$code"

# A caller that disconnects during a stream, and one that reads slowly.
send_request "$E1" quick-check '' '{"prompt":"gone","max_tokens":500,"stream":true}' -m 0.3 > /dev/null
send_request "$E1" quick-check '' '{"prompt":"slow","max_tokens":300,"stream":true}' --limit-rate 8000 > "$WORK/slow"
expect_equal "tokens to a slow reader" 300 "$(grep -c '"text":' "$WORK/slow")"

# A second request sent before the first one is answered (HTTP pipelining).
exec 3<> "/dev/tcp/127.0.0.1/$E1"
printf 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Workspace: taller-cusco\r\nX-Request-Class: quick-check\r\nContent-Length: 33\r\n\r\n{"prompt":"pipe","max_tokens":30}' >&3
printf 'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n' >&3
timeout 5 head -c 15 <&3 > "$WORK/pipe"
exec 3>&-

# Peer frames that are truncated, oversize or malformed, and an HTTP request.
peers=$((BASE_PORT + 201))
for bytes in '\x00\x00' '\x7f\xff\xff\xff' '\x00\x00\x00\x05abcde' 'GET / HTTP/1.0\r\n\r\n'; do
  exec 4<> "/dev/tcp/127.0.0.1/$peers"
  printf "$bytes" >&4
  exec 4>&-
done
kill -0 "$(pid_of lima1)" || fail "lima1 exited; end of its log: $(tail -n 3 "$WORK/lima1.log")"
entry_serves "$E1" || fail "lima1 stopped serving after bad input"
bad_frames () { grep -q peer_bad_frame "$WORK/lima1.log"; }
wait_for bad_frames

"$BUILD/packages/daemon/camphorarchd" --name x 2> "$WORK/usage"
expect_equal "exit status of bad settings" 64 $?
grep -q -- '--zone is missing' "$WORK/usage" || fail "the error does not name --zone: $(cat "$WORK/usage")"
echo "bad input ok"
