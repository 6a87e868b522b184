# Guards against entries that serve nobody while they reach no endpoint but other
# entries do, with real processes: connections hang, are reset, or live on while new
# ones are refused.
set -u
. tests/site/lib.sh
BASE=26000
ENTRIES=8
CUT=4 # the first entries, all of one zone, reach the endpoints through proxies
ENDPOINTS=8
ALIAS=$((BASE + 3))
SHIFT=20
CONTACT_S=3
LOAD_S=3

zone_of () { if [ "$1" -le $CUT ]; then echo z1; else echo z2; fi; }
service_of () { if [ $(($1 % 2)) -eq 0 ]; then echo llm; else echo api; fi; }
proxies () { # MODE
  for i in $(seq $ENDPOINTS); do control $((BASE + 50 + i)) "{\"mode\":\"$1\"}"; done
}
delegated () { # all requests passed on so far
  local sum=0 i
  for i in $(seq $CUT); do sum=$((sum + $(metric "$i" camphorarch_delegated_total))); done
  echo $sum
}
load () { # SECONDS: callers of the entries that are cut off; prints their counts
  : > "$RUNS"
  "$BUILD/tests/site/site-callers" --entries "$ports" --seconds "$1" --rate 60 \
    --seed 1 --runs "$RUNS" > "$WORK/callers" || fail "$(cat "$WORK/callers")"
  tail -n 1 "$WORK/callers"
}

start_store --alias $ALIAS --shift $SHIFT
wait_for record
for i in $(seq $ENDPOINTS); do
  start "proxy$i" "$BUILD/tests/site/site-proxy" --port $((BASE + 10 + SHIFT + i)) \
    --to $((BASE + 10 + i)) --control $((BASE + 50 + i))
  start_endpoint "$i" "$(service_of "$i")" "$(zone_of "$i")"
done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do
  if [ "$i" -le $CUT ]; then STORE_ADDRESS=127.0.0.1:$ALIAS; else STORE_ADDRESS=127.0.0.1:$BASE; fi
  start_entry "$i" "$(zone_of "$i")"
done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
ports=$(for i in $(seq $CUT); do entry_port "$i"; done | paste -sd,)
load 2 > /dev/null

for mode in hang refuse no-new; do
  proxies $mode
  load $CONTACT_S > /dev/null # until the cut must have been noticed
  load $LOAD_S > "$WORK/counts"
  read -r sent served < <(sed -n 's/^sent \([0-9]*\): served \([0-9]*\),.*/\1 \2/p' "$WORK/counts")
  echo "$mode: $served of $sent served, $(delegated) passed on so far"
  [ $((3 * served)) -ge $((2 * sent)) ] || fail "$mode: $(cat "$WORK/counts")"
  proxies ok
  load 2 > /dev/null
  before=$(delegated)
  load 2 > /dev/null
  [ "$(delegated)" -eq "$before" ] || fail "$mode: $(($(delegated) - before)) passed on after the cut"
done
echo "entries cut off: ok"
