# Operation without faults on the users' platform: a store, six endpoints and
# three entries in two zones, with callers of every kind.  Every request is
# answered once and completely, the reported usage matches the requests, and a
# planned stop interrupts nothing.
set -u
. tests/site/lib.sh
BASE=21000
STORE_ADDRESS=127.0.0.1:$BASE

start_store
wait_for record
for i in 1 2 3; do start_endpoint $i llm z$((i % 2 + 1)); done
for i in 4 5 6; do start_endpoint $i api z$((i % 2 + 1)); done
for i in 1 2 3; do start_entry $i z$((i % 2 + 1)); done
wait_for curl -s -m 2 "http://127.0.0.1:$(($(entry_port 1) + 1))/v1/readiness"
is_ready 1 > /dev/null && fail "entry 1 is ready before it has a configuration"
put_config tests/site/config.json
for i in 1 2 3; do wait_for is_ready $i; done
has_added_endpoints () { # NUMBER: of the entry
  [ "$(grep -c endpoint_added "$WORK/entry$1.log")" -ge 6 ]
}
for i in 1 2 3; do wait_for has_added_endpoints $i; done

"$BUILD/tests/site/site-callers" --entries \
  "$(entry_port 1),$(entry_port 2),$(entry_port 3)" --seconds 6 --rate 80 \
  --seed 5 --runs "$RUNS" --calm 1 > "$WORK/callers.out" &
CALLERS=$!
wait "$CALLERS" || { cat "$WORK/callers.out"; fail "the callers found violations"; }
grep "breaches 0" "$WORK/callers.out" || fail "the callers did not report 0 breaches"

# The usage reported is within 5% of the 480 requests that were sent.
usage_sums_up () {
  local record total
  record=$(record)
  total=$(grep -o '"w1":[0-9]*' <<< "$record" | cut -d: -f2 | awk '{ sum += $1 } END { print sum + 0 }')
  [[ "$record" == *'"breaches":[]'* ]] && [ "$total" -ge 456 ] && [ "$total" -le 504 ]
}
wait_for usage_sums_up

signal TERM entry2
"$BUILD/tests/site/site-callers" --entries "$(entry_port 1),$(entry_port 3)" \
  --seconds 1 --rate 40 --seed 6 --runs /dev/null --calm 1 > /dev/null \
  || fail "entries 1 and 3 do not serve while entry 2 stops"
entry_has_exited () { ! is_running entry2; }
wait_for entry_has_exited
grep -q '"event":"stopped"' "$WORK/entry2.log" || fail "entry 2 exited without logging the event stopped"
echo "operation without faults: ok"
