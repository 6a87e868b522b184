# Guards against crashes that are not recognised where something in front of the
# endpoints still accepts connections after they have ended.
set -u
. tests/site/lib.sh
BASE=27900
STORE_ADDRESS=127.0.0.1:$BASE
ENDS_ON=/crash
ENTRIES=7
ENDPOINTS=6
CRASHES_MAX=3
REPEATS_MAX=3
CONTACT_MS=3000 # contact_ms of the small sites
DOWN_MS=2000    # from the end of an endpoint to its next start
EXPIRED_MS=1500 # to the removal of its record
LOAD_S=12

ENDED=0
BOUND_MS=0 # when the bound begins to hold; 0: not yet
BEFORE=
declare -A ENDED_MS STARTS

now_ms () { date +%s%3N; }
proxy_port () { echo $((BASE + 30 + $1)); }
send () { # ENTRY PATH: prints the HTTP status
  curl -s -m 3 -o /dev/null -w '%{http_code}' -X POST -H "Host: host.example" \
    -H "Authorization: Bearer k1" -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM" \
    -H "Camphorarch-Deadline-Remaining: 2000" -d x \
    "http://127.0.0.1:$(entry_port "$1")$2"
}
has_status () { [ "$(send "$1" "$2")" = "$3" ]; }
crashing_runs () { grep -c "/once/crash" "$RUNS"; }
remove_record () { # ENDPOINT: as the store does once its owner has been silent
  curl -s -m 5 -o /dev/null -X POST "http://127.0.0.1:$BASE/v1/rows-tx" -d \
    "{\"expect\":[],\"write\":[],\"removals\":[{\"table_name\":\"servers\",\"part\":\"\",\"key\":\"i-$1.${STARTS[$1]}\"}]}"
}
start_process () { # ENDPOINT: under a new id, at the same address
  STARTS[$1]=$((${STARTS[$1]:-0} + 1))
  start "endpoint$1" "$BUILD/tests/site/site-replica" --id "i-$1.${STARTS[$1]}" \
    --service api --zone z1 --port $((BASE + 10 + $1)) --store "$BASE" \
    --runs "$RUNS" --listed "$(proxy_port "$1")" --ends-on "$ENDS_ON"
}
keep_endpoints () {
  local i age_ms
  for i in $(seq $ENDPOINTS); do
    if is_running "endpoint$i"; then continue; fi
    if [ -z "${ENDED_MS[$i]:-}" ]; then
      ENDED_MS[$i]=$(now_ms)
      ENDED=$((ENDED + 1))
      [ $ENDED -eq $CRASHES_MAX ] && BOUND_MS=$(($(now_ms) + CONTACT_MS))
      continue
    fi
    age_ms=$(($(now_ms) - ENDED_MS[$i]))
    if [ $age_ms -ge $EXPIRED_MS ] && [ "${EXPIRED[$i]:-}" != "${STARTS[$i]}" ]; then
      remove_record "$i"
      EXPIRED[$i]=${STARTS[$i]}
    fi
    if [ $age_ms -ge $DOWN_MS ]; then
      start_process "$i"
      ENDED_MS[$i]=
    fi
  done
}
declare -A EXPIRED

start_store
wait_for record
for i in $(seq $ENDPOINTS); do
  start "proxy$i" "$BUILD/tests/site/site-proxy" --port "$(proxy_port "$i")" \
    --to $((BASE + 10 + i)) --control $((BASE + 50 + i))
  start_process "$i"
done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" z1; done
for i in $(seq $ENTRIES); do wait_for has_status "$i" /once/a 200; done

end=$((SECONDS + LOAD_S))
while [ $SECONDS -lt $end ]; do
  for i in $(seq $ENTRIES); do
    keep_endpoints
    [ $BOUND_MS -ne 0 ] && [ -z "$BEFORE" ] && [ "$(now_ms)" -ge $BOUND_MS ] \
      && BEFORE=$(crashing_runs)
    send "$i" /once/crash > /dev/null
    send "$i" /once/a > /dev/null
    sleep 0.05
  done
done
runs=$(crashing_runs)
echo "$ENDED endpoints ended, the crashing request ran $runs times, ${BEFORE:-0} of them before the bound"
[ -n "$BEFORE" ] || fail "fewer than $CRASHES_MAX endpoints ended"
[ $((runs - BEFORE)) -le $REPEATS_MAX ] \
  || fail "the crashing request ran $((runs - BEFORE)) times more, $REPEATS_MAX are allowed"
for i in $(seq $ENTRIES); do
  wait_for has_status "$i" /once/a 200
done
echo "crashes behind proxies: ok"
