# Guards against a revoked key that an entry accepts which starts again as the store
# comes back from a copy older than the revocation (review/4): its answers name the old
# configuration as the newest, and its peers know better.
set -u
. tests/site/lib.sh
BASE=30600
STORE_ADDRESS=127.0.0.1:$BASE
ENTRIES=3
REQUESTS=200 # to the entry that starts, until its peers have been heard

status () { # ENTRY KEY: prints the HTTP status
  curl -s -m 3 -o /dev/null -w '%{http_code}' -X POST -H 'Host: host.example' \
    -H "Authorization: Bearer $2" -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM" \
    -H 'Camphorarch-Deadline-Remaining: 2000' -d x "http://127.0.0.1:$(entry_port "$1")/again/a"
}
has_status () { [ "$(status "$1" "$2")" = "$3" ]; }

start_store
wait_for record
for i in 1 2; do start_endpoint $i api z$i; done
sed 's/"rate_per_s":1000,"burst_size":1000/"rate_per_s":0/' tests/site/config.json > "$WORK/config7.json"
sed 's/"version":7/"version":9/; s/"k2","k3"/"k2"/' "$WORK/config7.json" > "$WORK/config9.json"
put_config "$WORK/config7.json"
for i in $(seq $ENTRIES); do start_entry "$i" "z$i"; done
for i in $(seq $ENTRIES); do wait_for has_status "$i" k3 200; done
control "$BASE" '{"copy":true}'
put_config "$WORK/config9.json"
for i in $(seq $ENTRIES); do wait_for has_status "$i" k3 401; done

control "$BASE" '{"mode":"silent"}'
signal KILL entry1
gone () { ! is_running entry1; }
wait_for gone
control "$BASE" '{"restore":true,"mode":"ok"}'
for i in 1 2; do control $((BASE + 10 + i)) '{"register":true}'; done
start_entry 1 z1
listens () { status 1 k3 | grep -qv 000; }
wait_for listens
served=0
for _ in $(seq $REQUESTS); do
  has_status 1 k3 200 && served=$((served + 1))
done
echo "revoked key: served $served of $REQUESTS after the restart"
[ $served -eq 0 ] || fail "$served requests with the revoked key ran"
wait_for has_status 1 k2 200
has_status 1 k3 401 || fail "entry 1 does not refuse the revoked key"
