#!/usr/bin/env bash
# Streams that clients take up at the entry that is left are refused while
# replicas of two software versions serve.  See claim.txt.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/9
. review/lib-2.sh

ENTRIES=8
REPLICAS=12
STREAMS=5 # at each entry that is killed
NEW=35    # streams that begin at the entry that is left

choose_ports
start_store
for i in $(seq $REPLICAS); do
  start_server "$i" llm z$(((i - 1) % 3 + 1)) --events 190 --event-ms 25 \
    --version v$((i % 2 + 1))
done
put_config $SITE/config.json
for i in $(seq $ENTRIES); do start_entry "$i" z$(((i - 1) % 3 + 1)); done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
sleep 12

LEFT=$(entry_port $ENTRIES)
# Without the disruption the callers leave their channels at the same moment.
leave=()
[ "$TROUBLE" = 1 ] || leave=(--leave-ms 2000)
for i in $(seq $((ENTRIES - 1))); do
  start "streams$i" "$STANDINS/callers" --ports "$(entry_port "$i")" \
    --count $STREAMS --spread-ms 500 --paths /resume/x --streams 1 \
    --budget-ms 15000 --tag "stream$i" --then "$LEFT" "${leave[@]}"
done
sleep 2
if [ "$TROUBLE" = 1 ]; then
  for i in $(seq $((ENTRIES - 1))); do signal KILL "entry$i"; done
  note "entries 1 to $((ENTRIES - 1)) are killed, and start again 1 s later"
fi
start new "$STANDINS/callers" --ports "$LEFT" --count $NEW --spread-ms 300 \
  --paths /resume/x --streams 1 --budget-ms 15000 --tag new
if [ "$TROUBLE" = 1 ]; then
  sleep 1
  for i in $(seq $((ENTRIES - 1))); do start_entry "$i" z$(((i - 1) % 3 + 1)); done
fi
ended () { ! is_running "$1"; }
for i in $(seq $((ENTRIES - 1))); do wait_for ended "streams$i"; done
wait_for ended new

{ echo "# streams: request, entry, sent, status, events, outcome, at (ms), versions"
  cat "$WORK"/streams*.log "$WORK/new.log"
  echo "# runs at replicas"
  cat "$RUNS"
} >> "$RECORD"
begun=$(grep -c ' 200 [1-9][0-9]* ' "$WORK/new.log")
taken_up=$(cat "$WORK"/streams*.log | grep -c -- '-2 ')
gone_on=$(cat "$WORK"/streams*.log | grep -- '-2 ' | grep -c ' 200 [1-9][0-9]* ')
mixed=$(cat "$WORK"/streams*.log | grep -c -e 'v1+v2$' -e 'v2+v1$')
note "$begun of $NEW new streams began; $gone_on of $taken_up taken up went on; $mixed of two versions"
[ "$begun" -gt 0 ] || cannot "no new stream began"
[ "$taken_up" -ge 12 ] || cannot "fewer than 12 streams were taken up"
[ $((2 * gone_on * NEW)) -ge $((taken_up * begun)) ] || broken "LOST"
held "LOST"
