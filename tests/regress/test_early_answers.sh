# Guards against parts of answers that callers get as whole ones: an endpoint answers an
# upload before it has read it, without a length, and resets the connection.
set -u
BASE=29900
. tests/regress/early.sh
ROUNDS=10

# check PATH WANTED MAX_MS: all uploads to it end as WANTED says, `whole` or `part`, in
# time.
check () {
  local code status bytes ms whole=0
  for _ in $(seq $ROUNDS); do
    read -r code status bytes ms < <(upload "$1" --data-binary @"$WORK/upload")
    [ "$code" = 0 ] && [ "$status" = 200 ] && whole=$((whole + 1))
    [ "$ms" -lt "$3" ] || fail "$1: $status after $ms ms"
  done
  echo "$1: $whole of $ROUNDS whole, the last one: curl $code, status $status, $bytes bytes, $ms ms"
  [ "$2" = whole ] || [ $whole = 0 ] || fail "$1: $whole parts came as whole answers"
  [ "$2" = part ] || [ $whole = $ROUNDS ] || fail "$1: $((ROUNDS - whole)) whole answers were lost"
}

start_early
for route in once again; do
  check /$route/reset part 500
  check /$route/close part 500
  check /$route/whole whole 500
  check /$route/length whole 500
done
check /chat/events part 500
check /resume/events part 4500 # it is resumed, in vain, until its timeout
echo "early answers: ok"
