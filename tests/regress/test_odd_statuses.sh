# Guards against callers that get a status which is none as an answer, or wait for their
# timeout after one.
set -u
BASE=30900
. tests/regress/early.sh
PROMPT_MS=500 # the timeout of the routes is 1,000

check () { # PATH STATUS WANTED
  local code status bytes ms
  read -r code status bytes ms < <(upload "$1/status-$2" -d x)
  echo "$1 $2: status $status after $ms ms"
  [ "$status" = "$3" ] || fail "$1: $2 came as $status, $3 is expected"
  [ "$ms" -lt $PROMPT_MS ] || fail "$1: $2 came after $ms ms"
}

start_early
for route in /once /again; do
  for status in 000 001 020 099 2 20 0200 101 150 600 999 1000; do
    check $route $status 502
  done
  for status in 100 103 200; do check $route $status 200; done
  check $route 404 404
  check $route 599 599
done
for status in 000 101 150 600; do check /chat $status 502; done
echo "odd statuses: ok"
