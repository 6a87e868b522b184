# Guards against streams that are shut out of all endpoints while these reset a third of
# their requests: each reset was taken as if the endpoint's process had been replaced.
# An entry is killed meanwhile, and callers take its streams up at the two others.
set -u
BASE=${BASE:-31900} VERSIONS=1 SPARED=0 DOWN_S=0 RETRY_MS=500
. tests/regress/taken_up.sh
ENTRIES=3
EVENT_MS=500
RATE=60
SECONDS_OF_LOAD=8

# faults JSON: at all endpoints.
faults () {
  local i
  for i in $(seq "$ENDPOINTS"); do control $((BASE + 10 + i)) "$1"; done
}

run_resets () { # ENDPOINTS
  local i ports streamers
  ENDPOINTS=$1
  start_store
  wait_for record
  for i in $(seq "$ENDPOINTS"); do
    VERSION_OF[$i]=v1
    start_endpoint "$i" llm "$(zone_of "$i")"
  done
  sed 's/"slots":4/"slots":64/' tests/site/config.json > "$WORK/config.json"
  put_config "$WORK/config.json"
  for i in $(seq $ENTRIES); do start_entry "$i" "$(zone_of "$i")"; done
  for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
  sleep 4
  ports=$(for i in $(seq $ENTRIES); do entry_port "$i"; done | paste -sd,)
  "$BUILD/tests/site/site-streamers" --entries "$ports" --seconds $SECONDS_OF_LOAD \
    --rate $RATE --seed 1 --retry-ms "$RETRY_MS" > "$WORK/streams" &
  streamers=$!
  sleep 3
  faults '{"fault":"reset","next":1000000,"every":3}'
  sleep 1.5
  signal KILL entry3
  sleep 2.2
  faults '{}'
  wait $streamers
  check_streams "$WORK/streams"
}

run_resets "${ENDPOINTS_LISTED:-12}"
echo "streams taken up beside resets: ok"
