#!/bin/bash
# MIXED: the head of an answer stops, the previous answer follows once more, and the caller
# gets that as its own.
set -u
. "$(dirname "$0")/../lib-3.sh"
EVERY=50 # one answer in so many is torn at the faulty endpoints, 2 of 5
[ "$TROUBLE" != 0 ] || EVERY=0

start_store
for i in 1 2 3 4 5; do
  start "endpoint$i" "$STANDINS/torn-replica" --id "i-$i" --service api --zone "z$((i > 3 ? 3 : i))" \
    --port "$(endpoint_port $i)" --store "$BASE" --runs "$RUNS" \
    --every "$([ $i -le 2 ] && echo $EVERY || echo 0)" --on-s 5 --off-s 1
done
for i in 6 7; do start_endpoint $i llm "z$((i % 3 + 1))"; done
put_row op config "$(cat tests/site/config.json)"
for i in $(seq 7); do start_entry $i z$(((i - 1) % 3 + 1)); done
for i in $(seq 7); do
  wait_for 10 is_ready $i
  wait_for 10 has_endpoints $i 7
done
sleep 1
note "callers begin"
"$STANDINS/site-callers" --entries "$(for i in $(seq 7); do entry_port $i; done | paste -sd,)" \
  --seconds 22 --rate 400 --seed "${SEED:-1}" --runs "$RUNS" > "$WORK/callers"
cat "$WORK/callers" >> "$RECORD"
grep -h '^torn' "$WORK"/endpoint*.log >> "$RECORD"
sed 's/^/endpoint: /' "$RUNS" >> "$RECORD"
torn=$(cat "$WORK"/endpoint*.log | grep -c '^torn')
broken=$(grep -c '^breach' "$WORK/callers")
grep '^breach' "$WORK/callers" | sed 's/.*: \([^;]*\); status.*/\1/' | sort | uniq -c
grep -q ' breaches ' "$WORK/callers" || cannot_run "the callers did not report"
[ "$TROUBLE" = 0 ] || [ "$torn" -ge 1 ] || cannot_run "only $torn answers were torn"
note "$torn answers were torn, $broken callers got or caused what the rules exclude"
[ "$broken" -eq 0 ]
