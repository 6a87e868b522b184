# Guards against whole answers that callers do not read and that occupy an entry's
# memory: each connection asks for ten answers of 2 MB at once.
set -u
. tests/site/lib.sh
. tests/site/hostile.sh
BASE=28700
STORE_ADDRESS=127.0.0.1:$BASE
CLIENTS=20

fault () { # FAULT NEXT
  control $((BASE + 11)) "{\"fault\":\"$1\",\"next\":$2}"
}

start_store
wait_for record
start_endpoint 1 api z1
start_endpoint 2 llm z1
put_config tests/site/config.json
start_limited_entry 1
fault big 1000
start_clients clients "$(entry_port 1)" unread $CLIENTS
# The answers follow the requests.
answers () {
  [ $(($(metric 1 camphorarch_answered_total) + $(metric 1 camphorarch_refused_total))) -ge $CLIENTS ]
}
wait_for answers
check_entry 1 "unread answers"
fault '' 0
[ $VIOLATIONS -eq 0 ] || fail "$VIOLATIONS violations"
echo "unread answers: ok"
