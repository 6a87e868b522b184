# Streams that callers take up at other entries, with real processes: eight entries, of
# which all but one, in turn, or all are killed every three seconds.  Sourced; a script
# sets VERSIONS (of the endpoints' software, which serve side by side), SPARED (entries
# that are not killed: 1 or 0), DOWN_S (until entries start again) and RETRY_MS (until
# callers take a stream up).
. tests/site/lib.sh
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=8
ENDPOINTS=4
SECONDS_OF_LOAD=14
EVENT_MS=120

zone_of () { echo z$(($1 % 3 + 1)); }

is_spared () { [ "$SPARED" = 1 ] && [ "$1" = "$2" ]; } # ENTRY TURN

kill_entries () { # TURN
  local i
  for i in $(seq $ENTRIES); do is_spared "$i" "$1" || signal KILL "entry$i"; done
  sleep "$DOWN_S"
  for i in $(seq $ENTRIES); do
    is_spared "$i" "$1" || start_entry "$i" "$(zone_of "$i")"
  done
}

check_streams () { # FILE
  local sent begun taken_up gone_on misplaced mixed
  cat "$1"
  read -r sent begun taken_up gone_on misplaced mixed < <(
    sed -n 's/^sent \([0-9]*\) begun \([0-9]*\) .* taken-up \([0-9]*\) gone-on \([0-9]*\) misplaced \([0-9]*\) mixed \([0-9]*\)/\1 \2 \3 \4 \5 \6/p' "$1")
  [ "$taken_up" -ge 12 ] || fail "only $taken_up streams were taken up"
  [ "$misplaced" -eq 0 ] || fail "$misplaced streams miss a piece or have one twice"
  [ "$mixed" -eq 0 ] || fail "$mixed streams hold pieces of two versions"
  [ $((2 * gone_on * sent)) -ge $((taken_up * begun)) ] \
    || fail "$gone_on of $taken_up streams taken up went on, $begun of $sent began"
}

run_taken_up () {
  local i ports streamers turn=0
  start_store
  wait_for record
  for i in $(seq $ENDPOINTS); do
    VERSION_OF[$i]=v$(((i - 1) % VERSIONS + 1))
    start_endpoint "$i" llm "$(zone_of "$i")"
  done
  put_config tests/site/config.json
  for i in $(seq $ENTRIES); do start_entry "$i" "$(zone_of "$i")"; done
  for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
  sleep 3
  ports=$(for i in $(seq $ENTRIES); do entry_port "$i"; done | paste -sd,)
  "$BUILD/tests/site/site-streamers" --entries "$ports" --seconds $SECONDS_OF_LOAD \
    --rate 40 --seed 1 --retry-ms "$RETRY_MS" > "$WORK/streams" &
  streamers=$!
  while sleep 3 && kill -0 $streamers 2> /dev/null; do
    turn=$((turn % ENTRIES + 1))
    kill_entries $turn
  done
  wait $streamers
  check_streams "$WORK/streams"
  echo "streams taken up: ok"
}
