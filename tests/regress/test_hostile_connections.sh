# Guards against connections of clients outside the limits that occupy an entry's
# memory or descriptors, at each of its ports: heads that never end, silence,
# pipelined requests whose answers nobody reads, bytes trickled one a second, and
# bodies to a path that no route has or with a key that nobody has.
set -u
. tests/site/lib.sh
. tests/site/hostile.sh
BASE=25700
STORE_ADDRESS=127.0.0.1:$BASE
CLIENTS=60
# Unread answers of 8 KB each, 4,000 a connection.
CLIENTS_THAT_READ_NOTHING=20

port () { # NUMBER OF ENTRY, PORT BY NAME
  case $2 in
    callers) entry_port "$1" ;;
    ready) echo $(($(entry_port "$1") + 1)) ;;
    metrics) echo $(($(entry_port "$1") + 3)) ;;
    peers) echo $(($(entry_port "$1") + 4)) ;;
    delegated) echo $(($(entry_port "$1") + 5)) ;;
  esac
}

start_store
wait_for record
start_endpoint 1 api z1
start_endpoint 2 llm z1
sed "s/\"max_body_bytes\":[0-9]*/\"max_body_bytes\":$BODY_LIMIT/" \
  tests/site/config.json > "$WORK/config.json"
put_config "$WORK/config.json"

# Connections of all kinds at once, at one entry.
start_limited_entry 1
for form in silent open-head trickle; do
  for at in callers ready metrics delegated; do
    start_clients "$form-$at" "$(port 1 $at)" $form $CLIENTS
  done
done
start_clients silent-peers "$(port 1 peers)" silent $CLIENTS
check_entry 1 "open connections"
wait_for is_ready 1
for name in "${!PID[@]}"; do
  case $name in *-callers | *-ready | *-metrics | *-delegated | *-peers | entry1) signal KILL "$name" ;; esac
done

# Memory: one entry for each form.
number=1
while read -r form at clients; do
  number=$((number + 1))
  start_limited_entry $number
  start_clients "clients$number" "$(port $number "$at")" "$form" "$clients"
  check_entry $number "$form at $at"
  signal KILL "clients$number"
  signal KILL "entry$number"
done <<END
no-route callers $CLIENTS
no-key callers $CLIENTS
no-id callers $CLIENTS
no-route ready $CLIENTS
no-route metrics $CLIENTS
large-chunks delegated $CLIENTS
pipelined callers $CLIENTS_THAT_READ_NOTHING
pipelined ready $CLIENTS_THAT_READ_NOTHING
pipelined metrics $CLIENTS_THAT_READ_NOTHING
open-frame peers $CLIENTS
END
[ $VIOLATIONS -eq 0 ] || fail "$VIOLATIONS violations"
echo "hostile connections: ok"
