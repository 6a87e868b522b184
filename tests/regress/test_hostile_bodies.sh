# Guards against request bodies of clients outside the limits that occupy an
# entry's memory: sent almost to the limit and not ended, in large or small
# chunks or with a length announced, or sent past the limit.
set -u
. tests/site/lib.sh
. tests/site/hostile.sh
BASE=25100
STORE_ADDRESS=127.0.0.1:$BASE
CLIENTS=48

start_store
wait_for record
start_endpoint 1 api z1
start_endpoint 2 llm z1
sed "s/\"max_body_bytes\":[0-9]*/\"max_body_bytes\":$BODY_LIMIT/" \
  tests/site/config.json > "$WORK/config.json"
put_config "$WORK/config.json"
number=0
for form in large-chunks kept-back tiny-chunks terabyte endless-chunks; do
  number=$((number + 1))
  start_limited_entry $number
  start_clients "clients$number" "$(entry_port $number)" $form $CLIENTS
  check_entry $number "$form"
  # A single request inside the limits is served beside them.
  head -c $((BODY_LIMIT - 100)) /dev/zero > "$WORK/large"
  full_body () { [ "$(request $number --data-binary @"$WORK/large")" = 200 ]; }
  wait_for full_body
  signal KILL "clients$number"
  signal KILL "entry$number"
done
[ $VIOLATIONS -eq 0 ] || fail "$VIOLATIONS violations"
echo "hostile bodies: ok"
