# Guards against refusals "not run" for requests that an endpoint has run, engines
# and plain ones, also delegated requests: it wrote an earlier refusal once more, or one
# that names no request.
set -u
. tests/site/lib.sh
BASE=30000
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=2
SECONDS_OF_LOAD=4
RATE=40
MANY=1000000

start_store
wait_for record
start_endpoint 1 api z1
start_endpoint 2 llm z1
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" z1; done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
ports=$(for i in $(seq $ENTRIES); do entry_port "$i"; done | paste -sd,)
# Where peers delegate requests to.
delegate_ports=$(for i in $(seq $ENTRIES); do echo $(($(entry_port "$i") + 5)); done | paste -sd,)
check () { # FAULT PORTS
  for i in 1 2; do control $((BASE + 10 + i)) "{\"fault\":\"$1\",\"next\":$MANY}"; done
  : > "$RUNS"
  "$BUILD/tests/site/site-callers" --entries "$2" --seconds $SECONDS_OF_LOAD \
    --rate $RATE --seed 1 --runs "$RUNS" > "$WORK/callers" \
    || fail "$1: $(cat "$WORK/callers")"
  cat "$WORK/callers"
  [ "$(wc -l < "$RUNS")" -gt 0 ] || [ "$1" = repeat ] || fail "$1: nothing ran"
}
for fault in repeat bare; do
  check $fault "$ports"
  check $fault "$delegate_ports"
done
echo "repeated refusal: ok"
