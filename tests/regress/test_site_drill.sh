# Guards against a store that comes back from an older copy: a route or a revoked
# key that reverts, a later change that is not noticed as its version was given out
# before, a usage window paid twice, a fencing token used by two holders, and
# entries that call the store without a pause.
set -u
. tests/site/lib.sh
BASE=22600
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=6 # five in one zone, where one reads for all
PROPAGATION_STEPS=20 # of 100 ms; config_propagation_ms is 2000
AWAY_S=0.5
CALLS_MAX_PER_S=20 # 6,000 reads a second for 300 entries

zone_of () { if [ "$1" -le 5 ]; then echo z1; else echo z2; fi; }
request_status () { # ENTRY PATH KEY: prints the HTTP status
  curl -s -m 3 -o /dev/null -w '%{http_code}' -X POST -H "Host: host.example" \
    -H "Authorization: Bearer $3" -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM" \
    -H "Camphorarch-Deadline-Remaining: 2000" -d x \
    "http://127.0.0.1:$(entry_port "$1")$2"
}
has_status () { [ "$(request_status "$1" "$2" "$3")" = "$4" ]; }
calls () { for i in $(seq $ENTRIES); do metric "$i" camphorarch_store_calls_total; done | awk "{ sum += \$1 } END { print sum }"; }

# Version 7 + ROUND adds the route /newROUND/ and replaces the key k3 by newROUND.
write_config () { # ROUND
  sed "s/\"version\":7/\"version\":$((7 + $1))/
    s/\"k3\"/\"new$1\"/
    s/\"rate_per_s\":1000,\"burst_size\":1000/\"rate_per_s\":0/
    s#^ {\"name\":\"once\"# {\"name\":\"new\",\"host\":\"host.example\",\"prefix\":\"/new$1/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":2,\"service\":\"api\",\"max_attempts\":2},\n&#" \
    tests/site/config.json > "$WORK/config$1.json"
}
for round in 1 2 3; do write_config $round; done
sed "s/\"rate_per_s\":1000,\"burst_size\":1000/\"rate_per_s\":0/" tests/site/config.json > "$WORK/config0.json"
drill () {
  control "$BASE" '{"mode":"silent"}'
  sleep $AWAY_S
  control "$BASE" '{"restore":true,"mode":"ok"}'
}
check_in_force () { # ROUND WHEN
  for i in $(seq $ENTRIES); do
    has_status "$i" "/new$1/a" k2 200 || fail "$2: entry $i does not serve the route of version $((7 + $1))"
    has_status "$i" /again/a k3 401 || fail "$2: entry $i took the revoked key"
  done
}
wait_in_force () { # ROUND
  for i in $(seq $ENTRIES); do
    WAIT_STEPS=$PROPAGATION_STEPS wait_for has_status "$i" "/new$1/a" k2 200
  done
}

# Requests at all entries, so that usage windows differ.
traffic () {
  while [ ! -e "$WORK/done" ] && kill -0 $$ 2> /dev/null; do
    request_status $((1 + RANDOM % 6)) /again/a k2 > /dev/null
  done
}
leader () { # [OTHER-THAN]: prints the entry that leads
  local i
  for i in $(seq $ENTRIES); do
    [ "$i" != "${1:-}" ] && [ "$(metric "$i" camphorarch_leads)" = 1 ] && echo "$i" && return
  done
  return 1
}
end_entry () { # NUMBER
  signal KILL "entry$1"
  gone () { ! is_running "entry$1"; }
  wait_for gone "$1"
}
write_row () { # writes a row of no meaning, which takes a version
  curl -s -m 5 -f -X POST "http://127.0.0.1:$BASE/v1/rows-tx" -d \
    '{"expect":[],"write":[{"table_name":"other","part":"","key":"k","value":"eA=="}],"removals":[]}' > /dev/null
}

start_store
wait_for record
for i in 1 2; do start_endpoint $i api z$i; done
put_config "$WORK/config0.json"
for i in $(seq $ENTRIES); do start_entry "$i" "$(zone_of "$i")"; done
for i in $(seq $ENTRIES); do wait_for has_status "$i" /again/a k3 200; done
wait_for leader > /dev/null
first=$(leader)
control "$BASE" '{"copy":true}'

# Another leader, changes and usage reports that the copy does not have.
end_entry "$first"
wait_for leader "$first" > /dev/null
start_entry "$first" "$(zone_of "$first")"
wait_for is_ready "$first"
traffic > /dev/null 2>&1 &
put_config "$WORK/config1.json"
wait_in_force 1
start_endpoint 3 api z1
sleep 3
before=$(calls)
started=$SECONDS
drill
check_in_force 1 'after the drill'
# An entry that starts meanwhile asks its peers.
ENTRIES=7
start_entry 7 z1
knows_route () { has_status 7 /new1/a k2 200; }
wait_for knows_route
check_in_force 1 'while the store lacks the version'
end_entry 7
ENTRIES=6
sleep 1
used=$(($(calls) - before))
[ $used -le $((ENTRIES * CALLS_MAX_PER_S * (SECONDS - started + 1))) ] \
  || fail "$used calls to the store in $((SECONDS - started)) s, $CALLS_MAX_PER_S a second and entry are allowed"
put_config "$WORK/config1.json"
for i in 1 2 3; do control $((BASE + 10 + i)) '{"register":true}'; done
put_config "$WORK/config2.json"
wait_in_force 2
check_in_force 2 'after the operator wrote again'

# A second drill goes back to the same copy.  The leader ends during it, and the
# others are paused until the versions have passed those that they know.
old=$(leader) || fail 'no entry leads after the first drill'
sleep 2
control "$BASE" '{"mode":"silent"}'
end_entry "$old"
for i in $(seq $ENTRIES); do [ "$i" = "$old" ] || signal STOP "entry$i"; done
control "$BASE" '{"restore":true,"mode":"ok"}'
put_config "$WORK/config3.json"
for _ in $(seq 150); do write_row; done
for i in $(seq $ENTRIES); do [ "$i" = "$old" ] || signal CONT "entry$i"; done
for i in 1 2 3; do control $((BASE + 10 + i)) '{"register":true}'; done
wait_for leader "$old" > /dev/null
start_entry "$old" "$(zone_of "$old")"
wait_for is_ready "$old"
wait_in_force 3
sleep 3

check_record () {
  record | grep -q '"breaches": *\[\]' || fail "the store recorded violations: $(record | sed 's/.*"breaches"//' | cut -c1-600)"
}
check_record

# An era that is no number, is not taken for a new one.
control "$BASE" '{"era":"soon"}'
bad_era () { grep -q '"event":"store_bad_era"' "$WORK"/entry*.log; }
wait_for bad_era
check_in_force 3 'with a bad era'
control "$BASE" '{"era":""}'
touch "$WORK/done"
check_record
for i in $(seq $ENTRIES); do
  grep -q '"event":"store_era"' "$WORK/entry$i.log" || fail "entry $i left no line of the drill"
done
echo "drill: ok"
