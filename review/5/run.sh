#!/usr/bin/env bash
# Seven of eight machines are killed at once: do the streams that their callers take
# up at the eighth go on?  All endpoints have one software version.
. "$(dirname "$0")/../lib.sh"
ENTRIES=8
LOST=7
STREAMS=5 # at each entry that is killed; their callers leave after 1.2 s, if it lives
EVENT_MS=400
DOWN_MS=900

find_ports 20
start_store
for i in 1 2 3; do start_endpoint $i llm z$i 30 $EVENT_MS v1; done
put_config "$(print_config 7 '"k2"')"
for i in $(seq $ENTRIES); do start_entry "$i" "z$((1 + i % 3))"; done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
sleep 8 # contact_ms and more

# stream ENTRY ID [HEADER...]: keeps the response in a file
stream () {
  local entry=$1 id=$2
  shift 2
  CALL_S=${LEAVES_S:-8} call "$PREFIX.$entry" $CALLERS_PORT POST /resume/a x 'Host: host.example' \
    'Authorization: Bearer k1' "Camphorarch-Attempt-Id: $id" 'Camphorarch-Deadline-Remaining: 4000' \
    'Camphorarch-Model: m' 'Camphorarch-Token-Usage: 40,24' \
    "Camphorarch-Prompt-Prefix: a:10,$id:30" "$@" > "$WORK/$id"
}
last_event () { sed -n 's/^id: \([0-9]*\).*/\1/p' "$WORK/$1" | tail -n 1; }

for i in $(seq $LOST); do
  for k in $(seq $STREAMS); do
    LEAVES_S=1.2 stream "$i" "a$i$k" &
    callers="${callers:-} $!"
    note "sent a$i$k to entry $i"
  done
done
sleep 0.6
if [ "$TROUBLE" = 1 ]; then
  for i in $(seq $LOST); do kill -KILL "${PID[entry$i]}"; done
  note "entries 1 to $LOST are killed"
fi
killed_ms=$(now_ms)
restart_due () { [ "$TROUBLE" = 1 ] && [ -z "${restarted:-}" ] && [ $(($(now_ms) - killed_ms)) -ge $DOWN_MS ]; }
restart () {
  restarted=1
  for i in $(seq $LOST); do start_entry "$i" "z$((1 + i % 3))"; done
  note "entries 1 to $LOST have started again"
}
# shellcheck disable=SC2086
wait $callers
note "the callers have lost or closed their channels"
begun=0
for from in $(seq $LOST); do
  for k in $(seq $STREAMS); do
    restart_due && restart
    last=$(last_event "a$from$k")
    [ -n "$last" ] || continue
    begun=$((begun + 1))
    stream $ENTRIES "b$from$k" "Resumes: a$from$k" "Last-Event-Id: $last" &
    note "sent b$from$k to entry $ENTRIES, takes up a$from$k after event $last"
    stream $ENTRIES "c$from$k" &
    note "sent c$from$k to entry $ENTRIES, a new stream"
    sleep 0.03
  done
done
sleep 5
count () { # PREFIX: streams whose response has an event
  local n=0 f
  for f in "$WORK/$1"[1-9]*; do
    note "${f##*/} answered $(status_of < "$f"), $(grep -c '^id: ' "$f") events"
    grep -q '^id: ' "$f" && n=$((n + 1))
  done
  COUNT=$n
}
count b
taken_up=$COUNT
count c
new=$COUNT
note "of $begun streams taken up $taken_up go on, of $begun new ones $new begin"
[ "$begun" -ge 12 ] || cannot_run "only $begun streams had begun"
[ $((2 * taken_up)) -lt "$new" ] && finish 1 "broken: of $begun streams taken up $taken_up go on, of as many new ones $new begin"
finish 0 "held: of $begun streams taken up $taken_up go on, of as many new ones $new begin"
