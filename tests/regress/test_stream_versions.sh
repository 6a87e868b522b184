# Guards against streams that go on at another software version than the one that
# began them, with real processes: entries and endpoints are killed and restarted.
set -u
. tests/site/lib.sh
BASE=27000
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=8
ENDPOINTS=6
SECONDS_OF_LOAD=12
EVENT_MS=120
MIXED_MAX=2

zone_of () { echo z$(($1 % 2 + 1)); }

start_store
wait_for record
for i in $(seq $ENDPOINTS); do
  VERSION_OF[$i]=v1.$((i % 2))
  start_endpoint "$i" llm "$(zone_of "$i")"
done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" "$(zone_of "$i")"; done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
ports=$(for i in $(seq $ENTRIES); do entry_port "$i"; done | paste -sd,)
"$BUILD/tests/site/site-streamers" --entries "$ports" --seconds $SECONDS_OF_LOAD \
  --rate 40 --seed 1 > "$WORK/streams" &
streamers=$!

# In turn: kill an entry, kill an endpoint, stop an entry; each comes back.
next=0
while kill -0 $streamers 2> /dev/null; do
  next=$((next + 1))
  i=$((next % ENTRIES + 1))
  e=$((next % ENDPOINTS + 1))
  signal KILL "entry$i"
  sleep 0.3
  signal KILL "endpoint$e"
  [ $((next % 4)) -eq 0 ] && VERSION_OF[$e]=v1.2
  sleep 0.3
  start_endpoint "$e" llm "$(zone_of "$e")"
  start_entry "$i" "$(zone_of "$i")"
  wait_for is_ready "$i"
done
wait $streamers
cat "$WORK/streams"
read -r sent begun taken_up gone_on misplaced mixed < <(
  sed -n 's/^sent \([0-9]*\) begun \([0-9]*\) .* taken-up \([0-9]*\) gone-on \([0-9]*\) misplaced \([0-9]*\) mixed \([0-9]*\)/\1 \2 \3 \4 \5 \6/p' "$WORK/streams")
[ "$taken_up" -ge 12 ] || fail "only $taken_up streams were taken up"
[ "$misplaced" -eq 0 ] || fail "$misplaced streams miss a piece or have one twice"
[ "$mixed" -le $MIXED_MAX ] || fail "$mixed streams hold pieces of two versions"
[ $((2 * gone_on * sent)) -ge $((taken_up * begun)) ] \
  || fail "$gone_on of $taken_up streams taken up went on, $begun of $sent began"
echo "stream versions: ok"
