# Starts and stops entries and stand-in servers on loopback.  Sourced by scripts.
#
# Every process started here is recorded and stopped by its own id.  Waits poll a
# condition and fail the script after a time limit.

BUILD=${BUILD:-build}
BASE_PORT=${BASE_PORT:-18000}
PLATFORM_PORT=$BASE_PORT
PLATFORM=127.0.0.1:$PLATFORM_PORT
WORK=${WORK:-$(mktemp -d)}
PIDS=""
ENTRIES=""
JOIN=""

. tests/wait.sh

record_pid () { # NAME PID
  PIDS="$PIDS $2"
  echo "$2" > "$WORK/$1.pid"
}

pid_of () { cat "$WORK/$1.pid"; }

control () { # PORT JSON
  curl -s -m 5 -X POST "http://127.0.0.1:$1/control" -d "$2"
}

start_platform () {
  "$BUILD/tests/standins/standin-platform" --port "$PLATFORM_PORT" "$@" \
    2> "$WORK/platform.log" &
  record_pid platform $!
  wait_for control "$PLATFORM_PORT" '{}'
}

register_vm () { # KIND PORT ZONE POOL BOOT
  control "$PLATFORM_PORT" "{\"vm\":{\"kind\":\"$1\",\"address\":\"127.0.0.1:$2\",\"zone\":\"$3\",\"pool\":\"$4\",\"boot\":$5,\"reclaimable\":true,\"leaving\":false}}" > /dev/null
}

start_engine () { # NAME PORT ZONE POOL BOOT [FLAGS...]
  local name=$1 port=$2 zone=$3 pool=$4 boot=$5
  shift 5
  "$BUILD/tests/standins/standin-engine" --port "$port" --boot "$boot" "$@" \
    2> "$WORK/$name.log" &
  record_pid "$name" $!
  wait_for control "$port" '{}'
  register_vm engine "$port" "$zone" "$pool" "$boot"
}

start_service () { # NAME PORT ZONE POOL BOOT
  "$BUILD/tests/standins/standin-service" --port "$2" --boot "$5" --name "$4" \
    2> "$WORK/$1.log" &
  record_pid "$1" $!
  wait_for control "$2" '{}'
  register_vm service "$2" "$3" "$4" "$5"
}

# start_entry NAME INDEX ZONE [FLAGS...]: callers at BASE+100+INDEX, peers at
# BASE+200+INDEX.
start_entry () {
  local name=$1 callers=$((BASE_PORT + 100 + $2)) peers=$((BASE_PORT + 200 + $2))
  local zone=$3
  shift 3
  "$BUILD/packages/daemon/camphorarchd" --name "$name" --zone "$zone" \
    --callers "127.0.0.1:$callers" --peers "127.0.0.1:$peers" \
    --platform "$PLATFORM" --join "$JOIN" --lame-duck-ms 300 "$@" \
    2>> "$WORK/$name.log" &
  record_pid "$name" $!
  ENTRIES="${ENTRIES:+$ENTRIES,}127.0.0.1:$callers"
  JOIN="${JOIN:+$JOIN,}127.0.0.1:$peers"
  export CAMPHORARCH_ENTRIES=$ENTRIES
  wait_for curl -sf -m 2 "http://127.0.0.1:$callers/healthz"
}

ctl () { "$BUILD/packages/ctl/camphorctl" "$@"; }

json_field () { # FIELD: its first value in the JSON on standard input
  sed -n "s/.*\"$1\": *\"\{0,1\}\([^\",}]*\).*/\1/p" | head -n 1
}

confirm_intent () { # FILE
  local plan
  plan=$(ctl plan "$1" | json_field plan)
  [ -n "$plan" ] || fail "planning $1 returned no plan id"
  ctl confirm "$plan" > "$WORK/confirm.out" || fail "confirming plan $plan of $1 failed"
  json_field revision < "$WORK/confirm.out"
}

entry_has_revision () { # PORT REVISION
  local current
  current=$(curl -s -m 2 "http://127.0.0.1:$1/v1/status" | json_field revision)
  [ "${current:-0}" -ge "$2" ]
}

# Resumes and terminates every recorded process and waits for it to exit.
stop_all () {
  local pid
  for pid in $PIDS; do
    kill -CONT "$pid" 2> /dev/null
    kill -TERM "$pid" 2> /dev/null
  done
  for pid in $PIDS; do
    wait "$pid" 2> /dev/null
  done
  PIDS=""
}

has_exited () { ! kill -0 "$1" 2> /dev/null; }
