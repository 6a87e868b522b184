# Guards against brittle endpoints that fall over again and again under overload,
# engines and plain ones, with real processes.  ENTRIES and ENGINES may be set.
set -u
. tests/site/lib.sh
BASE=28000
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=${ENTRIES:-20}
ENGINES=${ENGINES:-4}
PLAIN=2
SLOTS=4
REJECTIONS=3 # that an endpoint bears in a second
EVENT_MS=80  # a stream takes half a second
WORK_MS=50
declare -A RESTART
CONTACT_S=3
SECONDS_OF_LOAD=16
DOWN_S=1
STREAMS_PER_S=$((ENGINES * SLOTS * 2))
RATE=$((STREAMS_PER_S * 10)) # five times as many streams, as many plain requests

zone_of () { echo z$(($1 % 2 + 1)); }
service_of () { [ "$1" -le "$ENGINES" ] && echo llm || echo api; }
endpoint_port () { echo $((BASE + 10 + $1)); }
runs_of () { awk -v path="$1" '$4 ~ path' "$RUNS" | wc -l; }

start_store
wait_for record
ENDPOINTS=$((ENGINES + PLAIN))
for i in $(seq $ENDPOINTS); do start_endpoint "$i" "$(service_of "$i")" "$(zone_of "$i")"; done
put_config tests/site/config.json
for i in $(seq "$ENTRIES"); do start_entry "$i" "$(zone_of "$i")"; done
for i in $(seq "$ENTRIES"); do wait_for is_ready "$i"; done
ports=$(for i in $(seq "$ENTRIES"); do entry_port "$i"; done | paste -sd,)
BRITTLE=$REJECTIONS # those that start again
for i in $(seq $ENDPOINTS); do control "$(endpoint_port "$i")" "{\"brittle\":$REJECTIONS}"; done
"$BUILD/tests/site/site-callers" --entries "$ports" --seconds $((SECONDS_OF_LOAD + CONTACT_S)) \
  --rate "$RATE" --seed 1 --runs "$RUNS" > "$WORK/callers" &
callers=$!
sleep $CONTACT_S
start_ms=$(date +%s%3N)
before=$(runs_of '^/(chat|resume)/')

# Endpoints that fell over are back after a while.
falls_llm=0
falls_api=0
while kill -0 $callers 2> /dev/null; do
  sleep 0.1
  for i in $(seq $ENDPOINTS); do
    [ -n "${RESTART[$i]:-}" ] || is_running "endpoint$i" && continue
    service=$(service_of "$i")
    eval "falls_$service=\$((falls_$service + 1))"
    start "delay$i" sleep $DOWN_S
    RESTART[$i]=1
  done
  for i in "${!RESTART[@]}"; do
    is_running "delay$i" && continue
    start_endpoint "$i" "$(service_of "$i")" "$(zone_of "$i")"
    unset "RESTART[$i]"
  done
done
wait $callers
status=$?
cat "$WORK/callers"
served=$(($(runs_of '^/(chat|resume)/') - before))
can_serve=$((STREAMS_PER_S * ($(date +%s%3N) - start_ms) / 1000))
echo "falls: $falls_llm of $ENGINES engines, $falls_api of $PLAIN plain endpoints; $served of $can_serve streams run"
[ $status -eq 0 ] || fail 'a guarantee was broken'
for service in llm api; do
  count=$([ $service = llm ] && echo "$ENGINES" || echo $PLAIN)
  falls=falls_$service
  [ $((10 * ${!falls})) -le $((20 + count)) ] \
    || fail "$service: ${!falls} falls, $((2 + count / 10)) are allowed"
done
[ $((4 * served)) -ge "$can_serve" ] || fail "$served streams run, fewer than a quarter of $can_serve"
echo "brittle engines: ok"
