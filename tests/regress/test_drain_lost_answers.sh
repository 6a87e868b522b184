# Guards against endpoints that are used after they have reported that they leave, since
# the answer that said so was lost on a connection that stays open.
set -u
. tests/site/lib.sh
BASE=15000
ENTRIES=3
ALONE="4 5" # entries that are listed with ports at which they do not listen
ALIAS=$((BASE + 3))
SHIFT=1000
DRAIN_MS=2000
MARGIN_MS=100 # to write and read log lines
SETTLE_S=4

now_ms () { echo $(($(date +%s%N) / 1000000)); }

# The connections to the store that are open now fall silent; new ones work.
silence () {
  local mode i
  for mode in silent ok; do
    for i in $(seq $ENTRIES) $ALONE; do control $((BASE + 600 + i)) "{\"mode\":\"$mode\"}"; done
  done
}

# Time at which an entry learned that an endpoint leaves or is gone; 0 if it has not.
learned_ms () { # ENTRY ENDPOINT
  sed -n 's/^{"time":\([0-9.]*\),.*"event":"endpoint_\(leaving\|gone\)","subject":"i-'"$2"'".*/\1/p' \
    "$WORK/entry$1.log" | head -n 1 \
    | awk '{ printf "%.0f", $1 * 1000; found = 1 } END { if (!found) print 0 }'
}
have_learned () { # ENDPOINT ENTRY...
  local endpoint=$1 i
  shift
  for i in "$@"; do [ "$(learned_ms "$i" "$endpoint")" -gt 0 ] || return 1; done
}

# check NAME ENDPOINT AFTER-S ENTRY...: the endpoint leaves a while after the connections
# have fallen silent; these entries know it within the bound.
check () {
  local name=$1 endpoint=$2 left_ms i late worst=0
  silence
  sleep "$3"
  shift 3
  left_ms=$(now_ms)
  signal TERM "endpoint$endpoint"
  wait_for have_learned "$endpoint" "$@"
  for i in "$@"; do
    late=$(($(learned_ms "$i" "$endpoint") - left_ms))
    [ $late -gt $worst ] && worst=$late
  done
  echo "$name: known after $worst ms"
  [ $worst -le $((DRAIN_MS + MARGIN_MS)) ] || broken="${broken:-} $worst"
}

# start_proxied NUMBER STORE-PORT: an entry and the proxy between it and the store.
start_proxied () {
  start "link$1" "$BUILD/tests/site/site-proxy" --port $((BASE + 500 + $1)) --to "$2" \
    --control $((BASE + 600 + $1))
  STORE_ADDRESS=127.0.0.1:$((BASE + 500 + $1))
  start_entry "$1" z$(($1 / 3 + 1))
}
leaders () { # ENTRY...
  local i
  for i in "$@"; do [ "$(metric "$i" camphorarch_leads)" = 1 ] && echo "$i"; done
}
has_leader () { [ -n "$(leaders "$@")" ]; }

start_store --alias $ALIAS --shift $SHIFT
wait_for record
for i in $(seq 4); do
  start_endpoint "$i" "$([ $((i % 2)) = 0 ] && echo llm || echo api)" z1
done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_proxied "$i" $BASE; done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
wait_for has_leader $(seq $ENTRIES)
sleep $SETTLE_S
check "right after the connections fell silent" 1 0.1 $(seq $ENTRIES)
sleep $SETTLE_S
check "3 s after the connections fell silent" 2 3 $(seq $ENTRIES)
for i in $(seq $ENTRIES); do signal KILL "entry$i"; done

for i in $ALONE; do start_proxied "$i" $ALIAS; done
for i in $ALONE; do wait_for is_ready "$i"; done
wait_for has_leader $ALONE
sleep $SETTLE_S
check "no peers, right after the connections fell silent" 3 0.1 $ALONE
sleep $SETTLE_S
check "no peers, 3 s after the connections fell silent" 4 3 $ALONE
[ -z "${broken:-}" ] || fail "known after${broken} ms, $DRAIN_MS allowed"
echo "leaving while answers are lost: ok"
