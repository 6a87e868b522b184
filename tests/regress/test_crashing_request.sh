# Guards against a request that ends endpoints and is let through again: at another
# entry, at one that has restarted, or with another key of its workspace.
set -u
. tests/site/lib.sh
BASE=21900
STORE_ADDRESS=127.0.0.1:$BASE
ENDS_ON=/crash
ENTRIES=3
ENDPOINTS=6
CRASHES_MAX=3
CONTACT_STEPS=30 # of 100 ms; contact_ms is 3000 on the small sites

request_status () { # ENTRY PATH KEY: prints the HTTP status
  curl -s -m 3 -o /dev/null -w '%{http_code}' -X POST -H "Host: host.example" \
    -H "Authorization: Bearer $3" -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM" \
    -H "Camphorarch-Deadline-Remaining: 2000" -d x \
    "http://127.0.0.1:$(entry_port "$1")$2"
}
has_status () { [ "$(request_status "$1" "$2" "$3")" = "$4" ]; }
ended () { grep -c "/once/crash" "$RUNS"; }

start_store
wait_for record
for i in $(seq $ENDPOINTS); do start_endpoint "$i" api z1; done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" z1; done
for i in $(seq $ENTRIES); do wait_for has_status "$i" /again/a k2 200; done

# Each entry sees one endpoint end, and none of them three.
for i in $(seq $ENTRIES); do
  [ "$(request_status "$i" /once/crash k2)" = 502 ] || fail "entry $i did not answer 502 for an interrupted run"
done
[ "$(ended)" = $CRASHES_MAX ] || fail "$(ended) endpoints ended, expected $CRASHES_MAX"
blocks () { grep -q '"event":"request_quarantined"' "$WORK/entry$1.log"; }
for i in $(seq $ENTRIES); do WAIT_STEPS=$CONTACT_STEPS wait_for blocks "$i"; done
for i in $(seq $ENDPOINTS); do
  is_running "endpoint$i" || start_endpoint "$i" api z1
done

# Another key of the workspace is the same caller; other requests are served.
for i in $(seq $ENTRIES); do
  has_status "$i" /once/crash k2 503 || fail "entry $i let the request through"
  has_status "$i" /once/crash k3 503 || fail "entry $i let the request through with another key"
  has_status "$i" /once/a k2 200 || fail "entry $i refused another request"
done

# An entry that starts learns of the crashes from its peers.
signal KILL entry1
gone () { ! is_running entry1; }
wait_for gone
start_entry 1 z1
wait_for has_status 1 /again/a k2 200
learnt () { grep -q '"event":"request_quarantined"' <(tail -n +"$lines" "$WORK/entry1.log"); }
lines=$(grep -n '"event":"started"' "$WORK/entry1.log" | tail -n 1 | cut -d: -f1)
wait_for learnt
has_status 1 /once/crash k2 503 || fail "entry 1 let the request through after its restart"
[ "$(ended)" = $CRASHES_MAX ] || fail "$(ended) endpoints ended, expected $CRASHES_MAX"
echo "crashing request: ok"
