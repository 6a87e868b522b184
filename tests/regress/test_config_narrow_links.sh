# Guards against versions with many routes that come late, or not at all, to entries
# with narrow links, and against traffic for them that does not end.
set -u
. tests/site/lib.sh
BASE=28000
ENTRIES=${ENTRIES:-7} # of one zone: one reads the store for all
ALIAS=$((BASE + 3))
SHIFT=2000
LINK=1250000 # bytes a second that an entry gets from the store and its peers
PROPAGATION_MS=2000
SETTLE_S=3
CONTROL=10000 # bytes a second that an entry may send to its peers, by the users' target

now_ms () { echo $(($(date +%s%N) / 1000000)); }
has_version () { # ENTRY VERSION
  [ "$(metric "$1" camphorarch_config_version)" -ge "$2" ]
}
sum_of () { # METRIC: over all entries
  local sum=0 i
  for i in $(seq "$ENTRIES"); do sum=$((sum + $(metric "$i" "$1"))); done
  echo "$sum"
}

# Writes a version; every entry has it within the bound, whether it is ready or not.
put_version () { # VERSION ROUTES
  local acked_ms i waited=0
  print_config "$1" "$2" > "$WORK/config.json"
  put_config "$WORK/config.json"
  acked_ms=$(now_ms)
  for i in $(seq "$ENTRIES"); do
    until has_version "$i" "$1"; do
      waited=$(($(now_ms) - acked_ms))
      [ $waited -le $PROPAGATION_MS ] || break
    done
    has_version "$i" "$1" \
      || fail "version $1 ($2 routes more): entry $i lacks it after $waited ms"
  done
  echo "version $1 ($2 routes more): at all entries $(($(now_ms) - acked_ms)) ms after its acknowledgement"
}

start_store --alias $ALIAS --shift $SHIFT
wait_for record
for i in 1 2; do start_endpoint "$i" api z1; done
print_config 7 0 > "$WORK/config.json"
put_config "$WORK/config.json"
for i in $(seq "$ENTRIES"); do
  start "link$i" "$BUILD/tests/site/site-proxy" --port $((BASE + 500 + i)) --to $ALIAS \
    --port2 $(($(entry_port "$i") + 4 + SHIFT)) --to2 $(($(entry_port "$i") + 4)) \
    --control $((BASE + 600 + i)) --rate $LINK
  STORE_ADDRESS=127.0.0.1:$((BASE + 500 + i))
  start_entry "$i" z1
done
for i in $(seq "$ENTRIES"); do wait_for is_ready "$i"; done
has_reader () { [ "$(cat "$WORK"/entry*.log | grep -c '"event":"store_reader".*for its zone')" -ge 2 ]; }
wait_for has_reader

for routes in 1400 2800 4200 5600; do
  put_version $((routes + 10)) $routes
  before=$(sum_of camphorarch_peer_bytes_total)
  since=$(now_ms)
  put_version $((routes + 11)) $routes
  sent=$(($(sum_of camphorarch_peer_bytes_total) - before))
  allowed=$((ENTRIES * CONTROL * (1 + ($(now_ms) - since + 999) / 1000)))
  echo "$sent bytes between entries for a version with the same routes, $allowed allowed"
  [ $sent -le $allowed ] || fail "entries send each other texts that they have"
done

stores=$(sum_of camphorarch_store_bytes_total)
peers=$(sum_of camphorarch_peer_bytes_total)
end=$(($(now_ms) + SETTLE_S * 1000))
while [ "$(now_ms)" -lt $end ]; do metric 1 camphorarch_config_version > /dev/null; done
more=$(($(sum_of camphorarch_store_bytes_total) + $(sum_of camphorarch_peer_bytes_total) - stores - peers))
echo "$more bytes in $SETTLE_S s after the last version; $(sum_of camphorarch_peer_links_stalled_total) connections to peers given up"
[ $more -lt $((LINK * SETTLE_S / 10)) ] || fail "traffic goes on after the last version"
for i in $(seq "$ENTRIES"); do is_ready "$i" > /dev/null || fail "entry $i is not ready"; done
echo "configuration over narrow links: ok"
