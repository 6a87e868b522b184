#!/usr/bin/env bash
# Measures the request path on this machine: latency through one entry and of
# direct calls to the same stand-in server, requests and tokens per second of one
# entry with its processor time, and a bare evhttp server for comparison.
set -u
cd "$(dirname "$0")/.."
BASE_PORT=18800
. tests/regress/lib.sh
trap stop_all EXIT
PATH_BENCH=$BUILD/tests/bench/path
ENTRY=127.0.0.1:$((BASE_PORT + 101))
ENGINE=127.0.0.1:$((BASE_PORT + 11))

cpu_ticks () { awk '{print $14 + $15}' "/proc/$1/stat"; }

start_platform
start_engine engine1 $((BASE_PORT + 11)) lima-central-a sizing 11 \
  --step-us 1000 --max-batch 64 --prefill-us 0
start_service portal1 $((BASE_PORT + 12)) lima-central-a member-portal 12
start_entry lima1 1 lima-central-a --log-level warning --max-requests 50000
confirm_intent examples/heat-sink-sizing.json > /dev/null
wait_for "$PATH_BENCH" entry "$ENTRY" 1 1 1
"$PATH_BENCH" serve-echo 127.0.0.1:$((BASE_PORT + 50)) 1 1 1 &
record_pid echo $!
wait_for "$PATH_BENCH" echo 127.0.0.1:$((BASE_PORT + 50)) 1 1 1
pid=$(pid_of lima1)

measure () { # LABEL MODE ADDRESS COUNT CONCURRENCY TOKENS PID
  local before after
  before=$(cpu_ticks "$7")
  printf '%-26s ' "$1"
  "$PATH_BENCH" "$2" "$3" "$4" "$5" "$6" | tr '\n' ' '
  after=$(cpu_ticks "$7")
  echo "server_cpu_s=$(awk -v t=$((after - before)) 'BEGIN {print t / 100}')"
}
measure "echo, one at a time" echo 127.0.0.1:$((BASE_PORT + 50)) 2000 1 1 "$(pid_of echo)"
measure "echo, 32 at a time" echo 127.0.0.1:$((BASE_PORT + 50)) 20000 32 1 "$(pid_of echo)"
measure "service, direct" service-direct 127.0.0.1:$((BASE_PORT + 12)) 3000 1 1 "$pid"
measure "service, one hop" service "$ENTRY" 3000 1 1 "$pid"
measure "service, 32 at a time" service "$ENTRY" 20000 32 1 "$pid"
measure "direct, one token" direct "$ENGINE" 1000 1 1 "$pid"
measure "one hop, one token" entry "$ENTRY" 1000 1 1 "$pid"
measure "one hop, 32 at a time" entry "$ENTRY" 8000 32 1 "$pid"
measure "streams of 200 tokens" entry "$ENTRY" 160 16 200 "$pid"
