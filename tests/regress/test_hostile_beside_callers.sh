# Guards against promises that break while clients outside the limits are cut: a
# request runs twice, or runs although it was refused as not run; and against an
# entry that ends or leaves its bounds meanwhile.  How many requests are served is
# not checked.
set -u
. tests/site/lib.sh
. tests/site/hostile.sh
BASE=28100
STORE_ADDRESS=127.0.0.1:$BASE
SECONDS_OF_LOAD=12
RATE=40

start_store
wait_for record
start_endpoint 1 api z1
start_endpoint 2 llm z1
sed "s/\"max_body_bytes\":[0-9]*/\"max_body_bytes\":$BODY_LIMIT/" \
  tests/site/config.json > "$WORK/config.json"
put_config "$WORK/config.json"
start_limited_entry 1
: > "$RUNS"
"$BUILD/tests/site/site-callers" --entries "$(entry_port 1)" --seconds $SECONDS_OF_LOAD \
  --rate $RATE --seed 1 --runs "$RUNS" > "$WORK/callers.out" &
callers=$!
PID[callers]=$callers
for form in trickle large-chunks kept-back tiny-chunks open-head terabyte no-key silent endless-chunks; do
  start_clients "$form" "$(entry_port 1)" $form 48
done
wait $callers || fail "promises were broken: $(cat "$WORK/callers.out")"
check_entry 1 "all forms beside callers"
[ $VIOLATIONS -eq 0 ] || fail "$VIOLATIONS violations"
cat "$WORK/callers.out"
echo "hostile clients beside callers: ok"
