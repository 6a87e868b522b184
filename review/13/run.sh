#!/bin/bash
# LOST: streams that clients take up are turned away while endpoints reset part of their
# requests, which new streams hardly notice.
set -u
. "$(dirname "$0")/../lib-3.sh"
ENDPOINTS=${ENDPOINTS:-12}
RATE=60
SHARE=0.45

CONFIG='{"version":7,"routes":[
{"name":"resume","host":"host.example","prefix":"/resume/","route_kind":"streaming","timeout_ms":6000,"target_latency_ms":1000,"target_gap_ms":800,"priority":0,"service":"llm","max_attempts":3,"sticky_sessions":true,"stream_resumption":true}],
"services":[{"name":"llm","health_path":"/health","connection_limit":360,"inference_engine":{"slots":64,"kv_cache_tokens":302049}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w1","api_keys":["k1"],"unit":"tokens","uncached_tokens":200,"rate_per_s":0}]}'

zone_of () { echo z$(($1 % 3 + 1)); }
all_endpoints () { # JSON
  for i in $(seq $ENDPOINTS); do endpoint_control "$i" "$1"; done
}

start_store
for i in $(seq $ENDPOINTS); do
  start "endpoint$i" "$STANDINS/grey-replica" --id "i-$i" --service llm --version v1 \
    --zone "$(zone_of "$i")" --port "$(endpoint_port "$i")" --store "$BASE" \
    --event-ms 500 --events 6
done
put_row op config "$CONFIG"
for i in 1 2 3; do start_entry $i "$(zone_of $i)"; done
for i in 1 2 3; do
  wait_for 10 is_ready $i
  wait_for 10 has_endpoints $i $ENDPOINTS
done
sleep 4

note "streams begin, $RATE in a second"
"$STANDINS/site-streamers" --entries "$(entry_port 1),$(entry_port 2),$(entry_port 3)" \
  --seconds 8 --rate $RATE --retry-ms 500 --seed "${SEED:-1}" > "$WORK/streams" &
streamers=$!
sleep 3
if [ "$TROUBLE" != 0 ]; then
  all_endpoints "{\"share\":$SHARE}"
  note "the endpoints reset $SHARE of their requests"
fi
sleep 1.5
signal KILL entry3
sleep 2.2
for i in $(seq $ENDPOINTS); do
  echo "endpoint $i: $(http "$(endpoint_port "$i")" GET /record | tail -1)" >> "$RECORD"
done
all_endpoints '{"share":0}'
note "the endpoints reset no more"
sleep 1
start_entry 3 "$(zone_of 3)"
note "the entry is back"
wait $streamers
cat "$WORK/streams" >> "$RECORD"
grep -h '"event":"request_refused"' "$WORK"/entry*.log | cut -c1-300 >> "$RECORD"
tail -1 "$WORK/streams"
read -r sent begun taken gone < <(
  sed -n 's/^sent \([0-9]*\) begun \([0-9]*\) .* taken-up \([0-9]*\) gone-on \([0-9]*\) .*/\1 \2 \3 \4/p' "$WORK/streams")
[ "${taken:-0}" -ge 12 ] || cannot_run "only ${taken:-0} streams were taken up"
note "$gone of $taken streams taken up go on, $begun of $sent new streams begin"
[ $((2 * gone * sent)) -ge $((taken * begun)) ]
