# Guards against sound answers that are cut since others, without end, fill the memory
# that all answers share: callers of another service must not notice.
set -u
export ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1
. tests/site/lib.sh
BASE=27800
STORE_ADDRESS=127.0.0.1:$BASE
CALLERS=5             # of the other service, with so many streams each
STREAMS=4
SWELLING=4            # of 16 MB
REQUESTS=20
EVENT_MS=20
EJECTED_S=4.5         # until the endpoint that sends them is used again

request () { # PATH [CURL FLAGS...]: prints the HTTP status; fails unless complete
  local path=$1
  shift
  curl -s -m 9 -o /dev/null -w '%{http_code}\n' -X POST -H 'Host: host.example' \
    -H 'Authorization: Bearer k1' -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM" \
    -H 'Camphorarch-Deadline-Remaining: 8000' -d x "$@" \
    "http://127.0.0.1:$(entry_port 1)$path"
}
stream () { request /chat/x -H 'Camphorarch-Token-Usage: 10,200' -H 'Camphorarch-Prompt-Prefix: a:5,b:5'; }
serves () { stream | grep -q '^200'; }
peak_kb () { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${PID[entry1]}/status"; }

start_store
wait_for record
start_endpoint 1 api z1
start_endpoint 2 llm z1
sed '/"name":"once"/s/"timeout_ms":1000/"timeout_ms":8000/
  s/"rate_per_s":1000,"burst_size":1000/"rate_per_s":0/' tests/site/config.json > "$WORK/config.json"
put_config "$WORK/config.json"
start_entry 1 z1
wait_for serves
# round FAULT COUNT: sound streams beside so many answers without end.
round () {
  local count=$2 i
  control $((BASE + 11)) "{\"fault\":\"$1\",\"next\":100000}"
  : > "$WORK/sound"
  callers=
  for _ in $(seq "$count"); do
    request /once/x > /dev/null 2>&1 &
    callers="$callers $!"
  done
  sleep 0.3
  for i in $(seq $CALLERS); do
    for _ in $(seq $STREAMS); do
      stream > "$WORK/sound$i" && grep -q '^200' "$WORK/sound$i" && echo served >> "$WORK/sound"
    done &
    callers="$callers $!"
  done
  # shellcheck disable=SC2086
  wait $callers
  served=$(wc -l < "$WORK/sound")
  echo "$count answers, $1: $served of $((CALLERS * STREAMS)) sound ones served, peak $(peak_kb) KB"
  [ "$served" -eq $((CALLERS * STREAMS)) ] \
    || fail "$served of $((CALLERS * STREAMS)) sound streams served beside $count answers: $1"
  sleep $EJECTED_S
}
round endless 0
for count in 4 20 100; do round endless "$count"; done

# Answers that stop just before their own bound, which together fill the memory;
# whatever else the endpoint answers is sound.
control $((BASE + 11)) "{\"fault\":\"swell\",\"next\":$SWELLING}"
for _ in $(seq $SWELLING); do request /once/x > /dev/null 2>&1 & done
sleep 1
served=0
for _ in $(seq $REQUESTS); do
  [ "$(request /once/y)" = 200 ] && served=$((served + 1))
done
echo "$SWELLING large ones open: $served of $REQUESTS sound ones served, peak $(peak_kb) KB"
[ $served -eq $REQUESTS ] || fail "$served of $REQUESTS sound requests served beside $SWELLING large answers"
is_running entry1 || fail "the entry ended"
