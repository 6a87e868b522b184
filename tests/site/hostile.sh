# Clients outside the limits, for the tests of a site; sourced after lib.sh.
#
# The settings of the entry that the tests lower, and the bounds that follow.
MEMORY_MB=32          # limits.memory_mb
DESCRIPTORS=360       # limits.file_descriptors
DESCRIPTORS_FOR_FILES=200
SETTLING_REQUESTS=10
BODY_LIMIT=1000000    # limits.max_body_bytes of the configuration

# A sanitizer keeps freed memory and shadows the rest.
export ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1

has_sanitizer () { grep -q '^CAMPHOR_SANITIZE:BOOL=ON' "$BUILD/CMakeCache.txt"; }
peak_kb () { # NUMBER
  sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${PID[entry$1]}/status"
}
descriptors () { find "/proc/${PID[entry$1]}/fd" -mindepth 1 | wc -l; } # NUMBER
request () { # NUMBER [CURL FLAGS...]: prints the status of one ordinary request
  local port
  port=$(entry_port "$1")
  shift
  curl -s -m 9 -o /dev/null -w '%{http_code}\n' -X POST -d x \
    -H 'Host: host.example' -H 'Authorization: Bearer k1' \
    -H "Camphorarch-Attempt-Id: $RANDOM$RANDOM$RANDOM" \
    -H 'Camphorarch-Deadline-Remaining: 8000' "$@" \
    "http://127.0.0.1:$port/again/a"
}
serves () { [ "$(request "$1")" = 200 ]; } # NUMBER

# start_limited_entry NUMBER: starts it, sets MEMORY_MAX_KB to its bound.
start_limited_entry () {
  write_settings "$1" z1
  cat >> "$WORK/entry$1.conf" <<END
limits.memory_mb=$MEMORY_MB
limits.file_descriptors=$DESCRIPTORS
END
  CAMPHORARCH_BOOT=$WORK/entry$1.conf start "entry$1" \
    "$BUILD/packages/daemon/camphorarchd" --on-platform=$(($(entry_port "$1") + 3))
  wait_for is_ready "$1"
  wait_for serves "$1"
  # With a sanitizer, what the entry takes without load is not counted.
  MEMORY_MAX_KB=$((MEMORY_MB * 1024))
  if has_sanitizer; then MEMORY_MAX_KB=$((MEMORY_MAX_KB + $(peak_kb "$1"))); fi
}

# start_clients NAME PORT FORM CLIENTS: returns once each client has sent all
# that it has to send or was closed.
start_clients () {
  start "$1" "$BUILD/tests/site/site-hostile" --port "$2" --form "$3" \
    --clients "$4" --limit "$BODY_LIMIT"
  wait_for grep -q '^sent' "$WORK/$1.log"
}

# check_entry NUMBER WHAT: it lives, stays within its bounds, and answers.
check_entry () {
  local kb open
  # Bytes that the clients sent may still wait in the sockets: the entry reads
  # them before later connections' requests, or beside them.
  for _ in $(seq $SETTLING_REQUESTS); do
    wait_for serves "$1"
    sleep 0.1
  done
  is_running "entry$1" || fail "$2: the entry ended"
  kb=$(peak_kb "$1")
  open=$(descriptors "$1")
  echo "$2: $kb KB of $MEMORY_MAX_KB, $open descriptors"
  [ "$kb" -le "$MEMORY_MAX_KB" ] || bad "$2: the entry took $kb KB, $MEMORY_MAX_KB are allowed"
  [ "$open" -le $((DESCRIPTORS - DESCRIPTORS_FOR_FILES)) ] \
    || bad "$2: $open descriptors are open, $((DESCRIPTORS - DESCRIPTORS_FOR_FILES)) are allowed"
}

# Records a violation; all cases are run before the test fails.
VIOLATIONS=0
bad () {
  echo "FAILED: $*" >&2
  VIOLATIONS=$((VIOLATIONS + 1))
}
