#!/usr/bin/env bash
# All machines lose power while the store comes back from a copy some seconds old:
# is one usage window reported twice with different counts?
. "$(dirname "$0")/../lib.sh"
ENTRIES=3
WINDOW_MS=5000
COPY_BEFORE_END_MS=${COPY_BEFORE_END_MS:-1000} # the copy lacks the end of a window
AWAY_S=0.5

find_ports 20
start_store
start_endpoint 1 api z1 3
start_endpoint 2 api z2 3
put_config "$(print_config 7 '"k2"')"
for i in $(seq $ENTRIES); do start_entry "$i" "z$i"; done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; wait_for is_served "$i" /again/a k1; done

# A steady load at all entries.
(
  number=0
  while [ ! -e "$WORK/stop" ] && kill -0 $$ 2> /dev/null; do
    number=$((number + 1))
    note "sent l$number, answered $(request $((1 + number % ENTRIES)) /again/a k1 "l$number")"
    sleep 0.03
  done
) &

reported () { # WINDOW
  call 127.0.0.1 "$BASE" GET /record '' | tr -d ' ' | grep -o "\"$1\":{[^}]*}" | head -n 1
}
sleep_until () { # TIME-MS, of day
  local left=$(($1 - $(now_ms)))
  [ "$left" -gt 0 ] && sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}

# Wait until reports are made, and then for a window that ends 2 s from now or later.
first=$(($(now_ms) / WINDOW_MS))
made () { reported "$1" | grep -q .; }
wait_for made "$((first + 1))"
window=$((($(now_ms) + 2000) / WINDOW_MS))
end_ms=$(((window + 1) * WINDOW_MS))
sleep_until $((end_ms - COPY_BEFORE_END_MS))
control "$BASE" '{"copy":true}'
note "copy of the store; window $window ends in $((end_ms - $(now_ms))) ms"
copied_ms=$(now_ms)
sleep_until $((end_ms + 2000))
wait_for made "$window"
note "report accepted: $(reported "$window")"
if [ "$TROUBLE" = 1 ]; then
  control "$BASE" '{"mode":"silent"}'
  for i in $(seq $ENTRIES); do kill_process "entry$i"; done
  note "all entries lost power; the store is away"
  sleep $AWAY_S
  control "$BASE" '{"restore":true,"mode":"ok"}'
  note "the store is back from a copy $(($(now_ms) - copied_ms)) ms old"
  put_config "$(print_config 7 '"k2"')"
  for i in 1 2; do control "$(endpoint_port "$i")" '{"register":true}'; done
  for i in $(seq $ENTRIES); do start_entry "$i" "z$i"; done
fi
wait_for made "$((window + 2))"
sleep 1
touch "$WORK/stop"
call 127.0.0.1 "$BASE" GET /record '' | tail -n 1 >> "$RECORD"
breaches=$(call 127.0.0.1 "$BASE" GET /record '' | grep -o '"breaches".*')
echo "$breaches" | grep -q 'two different reports' \
  && finish 1 "broken: window $window was $(reported "$window"), then: $breaches"
echo "$breaches" | grep -q 'token used by two' && finish 1 "broken: $breaches"
finish 0 "held"
