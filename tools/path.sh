#!/usr/bin/env bash
# Speed of the path on this machine: one hop against a direct call to the same
# stand-in, requests and tokens a second of one entry with its processor time,
# and the library's bare echo.
set -u
cd "$(dirname "$0")/.."
BASE_PORT=18800
. tests/regress/lib.sh
trap stop_all EXIT
PATHTOOL=$BUILD/tests/bench/path
ENTRY=127.0.0.1:$((BASE_PORT + 101))
ENGINE=127.0.0.1:$((BASE_PORT + 11))

busy_ticks () { awk '{print $14 + $15}' "/proc/$1/stat"; }

start_platform
start_engine engine1 $((BASE_PORT + 11)) lima-central-a sizing 11 \
  --step-us 1000 --max-batch 64 --prefill-us 0
start_service portal1 $((BASE_PORT + 12)) lima-central-a member-portal 12
start_entry lima1 1 lima-central-a --log-level warning --max-requests 50000
confirm_intent examples/heat-sink-sizing.json > /dev/null
wait_for "$PATHTOOL" entry "$ENTRY" 1 1 1
"$PATHTOOL" serve-echo 127.0.0.1:$((BASE_PORT + 50)) 1 1 1 &
record_pid echo $!
wait_for "$PATHTOOL" echo 127.0.0.1:$((BASE_PORT + 50)) 1 1 1
pid=$(pid_of lima1)

timed () { # LABEL MODE ADDRESS COUNT CONCURRENCY TOKENS PID
  local before after
  before=$(busy_ticks "$7")
  printf '%-26s ' "$1"
  "$PATHTOOL" "$2" "$3" "$4" "$5" "$6" | tr '\n' ' '
  after=$(busy_ticks "$7")
  echo "server_cpu_s=$(awk -v t=$((after - before)) 'BEGIN {print t / 100}')"
}
timed "echo, one at a time" echo 127.0.0.1:$((BASE_PORT + 50)) 2000 1 1 "$(pid_of echo)"
timed "echo, 32 at a time" echo 127.0.0.1:$((BASE_PORT + 50)) 20000 32 1 "$(pid_of echo)"
timed "service, direct" service-direct 127.0.0.1:$((BASE_PORT + 12)) 3000 1 1 "$pid"
timed "service, one hop" service "$ENTRY" 3000 1 1 "$pid"
timed "service, 32 at a time" service "$ENTRY" 20000 32 1 "$pid"
timed "direct, one token" direct "$ENGINE" 1000 1 1 "$pid"
timed "one hop, one token" entry "$ENTRY" 1000 1 1 "$pid"
timed "one hop, 32 at a time" entry "$ENTRY" 8000 32 1 "$pid"
timed "streams of 200 tokens" entry "$ENTRY" 160 16 200 "$pid"
