# A calm day on the users' platform, without their bench: a store, six
# endpoints, three entries in two zones, callers of every kind.  All is served,
# once and whole; usage is reported and sums up; a planned stop cuts nothing.
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
is_ready 1 > /dev/null && fail "ready before a configuration is known"
put_config tests/site/config.json
for i in 1 2 3; do wait_for is_ready $i; done
has_added_endpoints () { # every entry knows all endpoints
  [ "$(grep -c endpoint_added "$WORK/entry$1.log")" -ge 6 ]
}
for i in 1 2 3; do wait_for has_added_endpoints $i; done

"$BUILD/tests/site/site-callers" --entries \
  "$(entry_port 1),$(entry_port 2),$(entry_port 3)" --seconds 6 --rate 80 \
  --seed 5 --runs "$RUNS" --calm 1 > "$WORK/callers.out" &
CALLERS=$!
wait "$CALLERS" || { cat "$WORK/callers.out"; fail "a promise was broken"; }
grep "breaches 0" "$WORK/callers.out" || fail "no closing line"

# Within a twentieth of what was asked.
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
  || fail "the others do not serve while one stops"
entry_has_ended () { ! is_running entry2; }
wait_for entry_has_ended
grep -q '"event":"stopped"' "$WORK/entry2.log" || fail "it did not end in order"
echo "calm day: ok"
