# Guards against the answer to one caller's request being delivered to the next: an
# endpoint writes an earlier answer once more on a kept connection, without the id of
# a request (review/1).
set -u
. tests/site/lib.sh
BASE=30300
STORE_ADDRESS=127.0.0.1:$BASE
REQUESTS=5

request () { # ID: prints the status and the body
  curl -s -m 5 -w ' %{http_code}\n' -X POST -H 'Host: host.example' \
    -H 'Authorization: Bearer k1' -H "Camphorarch-Attempt-Id: $1" \
    -H 'Camphorarch-Deadline-Remaining: 1000' -d x \
    "http://127.0.0.1:$(entry_port 1)/once/x"
}
serves () { request "$RANDOM$RANDOM" | grep -q ' 200$'; }

start_store
wait_for record
start_endpoint 1 api z1
put_config tests/site/config.json
start_entry 1 z1
wait_for is_ready 1
wait_for serves
for i in $(seq $REQUESTS); do
  [ "$(request "first$i")" = "answer to first$i 200" ] || fail "request first$i was not served"
  control $((BASE + 11)) '{"fault":"copy","next":1}'
  answer=$(request "second$i")
  grep -q " second$i " "$RUNS" || fail "request second$i did not run"
  case $answer in
  *"answer to"*) fail "request second$i got: $answer" ;;
  esac
  wait_for serves # on a new connection
done
is_running entry1 || fail "the entry ended"
echo "repeated answer: ok"
