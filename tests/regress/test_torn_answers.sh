# Guards against an answer that is put together from two: an endpoint stops in an answer
# on a kept connection, and goes on with the late answer to an earlier request, or with a
# refusal of that one, which would make a request that may run once run again.
set -u
BASE=31500
. tests/regress/early.sh
PROMPT_MS=500 # the timeout of the routes is 1,000

# request PATH ID: prints the status, the time in ms and the body.
request () {
  curl -s -m 5 -w ' %{http_code} %{time_total}' -X POST -H 'Host: host.example' \
    -H 'Authorization: Bearer k1' -H "Camphorarch-Attempt-Id: $2" \
    -H 'Camphorarch-Model: m' -H 'Camphorarch-Token-Usage: 10,5' \
    -H 'Camphorarch-Prompt-Prefix: a:5,b:5' \
    -H 'Camphorarch-Deadline-Remaining: 4000' -d x \
    "http://127.0.0.1:$(entry_port 1)$1" |
    tr '\n' '|' | awk '{ time = $NF; status = $(NF - 1); $NF = $(NF - 1) = ""
      print status, int(time * 1000), $0 }'
}

# check PATH FORM WANTED ARRIVALS: the answer after one on the same connection.
check () {
  local id=r$RANDOM$RANDOM status ms body arrivals
  request "$1/whole-one" "first$id" > /dev/null
  read -r status ms body < <(request "$1/torn-$2" "$id")
  arrivals=$(grep -c " $id\$" "$WORK/early.log")
  echo "$1 $2: status $status after $ms ms, $arrivals arrivals"
  case $body in
  *HTTP/1.1* | *LATE!*) fail "$1 $2: the answer holds another one: $body" ;;
  esac
  [ "$status" = "$3" ] || fail "$1 $2: status $status, $3 is expected"
  [ "$arrivals" = "$4" ] || fail "$1 $2: $arrivals arrivals, $4 are expected"
  [ "$ms" -lt $PROMPT_MS ] || fail "$1 $2: an answer after $ms ms"
}

start_early
for next in late refusal; do
  for place in value body chunk; do
    check /once $place-$next 502 1
    # A repetition goes on a new connection.
    check /again $place-$next 200 2
  done
  check /chat event-$next 200 1
done
is_running entry1 || fail "the entry ended"
echo "torn answers: ok"
