# Guards against rows of another writer, in each table that an entry reads, that end
# an entry, or after which it no longer follows the list of endpoints or does its
# duties.
set -u
. tests/site/lib.sh
BASE=29000
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=3

request () { # ENTRY: prints the HTTP status
  curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: host.example' \
    -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM" -d x "http://127.0.0.1:$(entry_port "$1")/open/a"
}
is_served () { [ "$(request "$1")" = 200 ]; }
put_row () { # KEY-AS-JSON TEXT [TABLE]
  printf '{"expect":[],"removals":[],"write":[{"table_name":"%s","part":"","key":%s,"value":"%s"}]}' \
    "${3:-servers}" "$1" "$(printf '%s' "$2" | base64 -w 0)" > "$WORK/row"
  curl -s -m 5 -f -X POST "http://127.0.0.1:$BASE/v1/rows-tx" --data-binary "@$WORK/row" > /dev/null \
    || fail "the store refused a row"
}
# A usable record but for one field, which replaces the last one of the same name.
record_with () {
  printf '{"service":"api","address":"127.0.0.1:%d","zone":"z1","version":"v1","slots":8,"state":"ready","born":1700000000000,%s}' \
    $((BASE + 11)) "$1"
}
repeat () { head -c "$2" /dev/zero | sed "s/\x00/$1/g"; }
runs_at () { # ENDPOINT
  grep -c "^run i-$1 " "$RUNS"
}
# Each entry sends requests to the endpoint, which has just started.
follows () { # ENTRY ENDPOINT
  local before
  before=$(runs_at "$2")
  for _ in $(seq 12); do is_served "$1" || return 1; done
  [ "$(runs_at "$2")" -gt "$before" ]
}
all_follow () { # ENDPOINT WHEN
  for i in $(seq $ENTRIES); do
    is_running "entry$i" || fail "$2: entry $i has ended"
    wait_for follows "$i" "$1"
  done
}

start_store --page 1
wait_for record
start_endpoint 1 api z1
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" z1; done
for i in $(seq $ENTRIES); do wait_for is_served "$i"; done

number=0
for field in '"slots":4294967376' '"slots":1e300' '"slots":1e999' '"slots":-1' '"slots":"8"' \
    '"leaves_ms":1e300' '"born":1e300' '"born":-1' '"address":"127.0.0.1:99999"' \
    '"address":"127.0.0.1:4294967376"' '"address":[]' '"state":7' '"version":{}' \
    "\"service\":$(repeat '[' 30000)$(repeat ']' 30000)"; do
  number=$((number + 1))
  put_row "\"odd-$number\"" "$(record_with "$field")"
done
put_row '"odd-binary"' $'\xff\xfe{'
put_row '"odd-large"' "{\"service\":\"$(repeat a 70000)\"}"
put_row '"odd\r\nHost: other\r\n"' "$(record_with '"sequence":1')"
# 200 bytes, the longest key.
for i in 1 2 3 4 5; do put_row "\"$i$(repeat é 99)\"" "$(record_with '"sequence":1')"; done
start_endpoint 2 api z1
all_follow 2 'odd rows'

# The operator's table, that of the entries, and the lease.
nested=$(repeat '[' 30000)$(repeat ']' 30000)
for text in '' 'x' '[]' '7' "$nested" "{\"peers\":$nested}" '{"peers":7}' '{"peers":"127.0.0.1:99999"}' \
    '{"version":1e300}' '{"version":-1,"routes":7,"services":{},"tenants":"x"}'; do
  number=$((number + 1))
  for table in op camphorarch-entries camphorarch-duties; do
    put_row "\"odd-$number\"" "$text" $table
  done
  put_row '"config"' "$text" op
done
windows () { record | sed 's/"orders".*//' | grep -oE '"[0-9]+":' | wc -l; }
has_windows () { [ "$(windows)" -ge "$1" ]; }
wait_for has_windows 1
# A lease that would never end.
put_row '"lease"' '{"holder":7,"life":"x","at_us":9000000000000000000,"fence":1,"reported":-1,"window":1e300,"recent":{"x":{"w1":1e300}},"counts":7}' camphorarch-duties
wait_for has_windows $(($(windows) + 3))
put_config tests/site/config.json
start_endpoint 4 api z1
all_follow 4 'odd rows of other tables'

# The key of this one begins like that of the first endpoint.
control $BASE '{"odd":"i-1"}'
start_endpoint 3 api z1
all_follow 3 'a key with a NUL'
all_follow 1 'a key with a NUL'

# Entries that read the whole list, with the odd rows in it.
for i in $(seq $ENTRIES); do
  signal KILL "entry$i"
  start_entry "$i" z1
done
for i in $(seq $ENTRIES); do wait_for is_served "$i"; done
all_follow 1 'restarted entries'
all_follow 3 'restarted entries'
grep -q 'Host: other' "$RUNS" && fail 'a key became a header field'
for i in $(seq $ENTRIES); do
  grep -q '"event":"store_bad_row"' "$WORK/entry$i.log" || fail "entry $i logged no odd row"
done
echo "odd rows: ok"
