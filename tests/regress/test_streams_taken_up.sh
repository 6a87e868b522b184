# Guards against streams that are refused at the entry that is left, as those that
# knew which software version began them have ended, though one version has served
# all the time.  Real processes: seven of eight entries are killed at once, in turn.
set -u
. tests/site/lib.sh
BASE=27400
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=8
ENDPOINTS=4
SECONDS_OF_LOAD=14
EVENT_MS=120
DOWN_S=0.9

zone_of () { echo z$(($1 % 3 + 1)); }

start_store
wait_for record
for i in $(seq $ENDPOINTS); do
  VERSION_OF[$i]=v1
  start_endpoint "$i" llm "$(zone_of "$i")"
done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" "$(zone_of "$i")"; done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
sleep 3
ports=$(for i in $(seq $ENTRIES); do entry_port "$i"; done | paste -sd,)
"$BUILD/tests/site/site-streamers" --entries "$ports" --seconds $SECONDS_OF_LOAD \
  --rate 40 --seed 1 > "$WORK/streams" &
streamers=$!

spared=0
while sleep 3 && kill -0 $streamers 2> /dev/null; do
  spared=$((spared % ENTRIES + 1))
  for i in $(seq $ENTRIES); do [ "$i" = $spared ] || signal KILL "entry$i"; done
  sleep $DOWN_S
  for i in $(seq $ENTRIES); do
    [ "$i" = $spared ] || start_entry "$i" "$(zone_of "$i")"
  done
done
wait $streamers
cat "$WORK/streams"
read -r sent begun taken_up gone_on misplaced mixed < <(
  sed -n 's/^sent \([0-9]*\) begun \([0-9]*\) .* taken-up \([0-9]*\) gone-on \([0-9]*\) misplaced \([0-9]*\) mixed \([0-9]*\)/\1 \2 \3 \4 \5 \6/p' "$WORK/streams")
[ "$taken_up" -ge 12 ] || fail "only $taken_up streams were taken up"
[ "$misplaced" -eq 0 ] || fail "$misplaced streams miss a piece or have one twice"
[ "$mixed" -eq 0 ] || fail "$mixed streams hold pieces of two versions"
[ $((2 * gone_on * sent)) -ge $((taken_up * begun)) ] \
  || fail "$gone_on of $taken_up streams taken up went on, $begun of $sent began"
echo "streams taken up: ok"
