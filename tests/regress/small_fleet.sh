# Starts a small fleet for process tests: three entries, three engines and two
# services in two zones, with the sizing intent in force at every entry.  Sourced
# after lib.sh.

E1=$((BASE_PORT + 101))
E2=$((BASE_PORT + 102))
E3=$((BASE_PORT + 103))
ENGINE1=$((BASE_PORT + 11))
ENGINE2=$((BASE_PORT + 12))
ENGINE3=$((BASE_PORT + 13))
PORTAL1=$((BASE_PORT + 14))
PORTAL2=$((BASE_PORT + 15))

start_small_fleet () { # [ENTRY FLAGS...]
  start_platform
  start_engine engine1 "$ENGINE1" lima-central-a sizing 11 --step-us 10000
  start_engine engine2 "$ENGINE2" lima-central-a sizing 12 --step-us 10000
  start_engine engine3 "$ENGINE3" lima-central-b sizing 13 --step-us 10000
  start_service portal1 "$PORTAL1" lima-central-a member-portal 14
  start_service portal2 "$PORTAL2" lima-central-b member-portal 15
  start_entry lima1 1 lima-central-a "$@"
  start_entry lima2 2 lima-central-a "$@"
  start_entry lima3 3 lima-central-b "$@"
  wait_for entry_sees_members "$E1" 3
  confirm_intent examples/heat-sink-sizing.json > /dev/null
  for port in "$E1" "$E2" "$E3"; do
    wait_for entry_has_revision "$port" 1
    wait_for entry_serves "$port"
  done
}

entry_sees_members () { # PORT COUNT
  [ "$(curl -s -m 2 "http://127.0.0.1:$1/v1/status" | grep -c '"caller_port"')" -ge "$2" ]
}

entry_serves () { # PORT
  send_request "$1" quick-check '' '{"prompt":"warm up","max_tokens":1}' | grep -q '"choices"' \
    && curl -s -m 5 -H 'X-Workspace: taller-cusco' \
      -H 'X-Request-Class: catalogue-lookup' \
      -X POST "http://127.0.0.1:$1/services/member-portal/x" -d '{}' | grep -q service
}

# send_request PORT CLASS KEY BODY [CURL FLAGS...]
send_request () {
  local port=$1 class=$2 key=$3 body=$4
  shift 4
  curl -s -m 60 -H 'X-Workspace: taller-cusco' -H "X-Request-Class: $class" \
    ${key:+-H "Idempotency-Key: $key"} "$@" \
    -X POST "http://127.0.0.1:$port/v1/completions" -d "$body"
}

# Prints the text of all tokens of the stream, or of the answer, on standard
# input.
stream_text () { sed -n 's/.*"text":"\([^"]*\)".*/\1/p' | tr -d '\n'; }
answer_text () { sed -n 's/.*"text":"\([^"]*\)".*/\1/p' | tr -d '\n'; }

engine_starts () { # PORT...
  local sum=0 port
  for port in "$@"; do
    sum=$((sum + $(control "$port" '{}' | sed 's/.*"starts":\([0-9]*\).*/\1/')))
  done
  echo $sum
}

# Prints the answer to a prompt without faults, for comparison.
expected_text () { # PROMPT TOKENS
  send_request "$E1" quick-check '' "{\"prompt\":\"$1\",\"max_tokens\":$2}" | answer_text
}

expect_equal () { # NAME EXPECTED ACTUAL
  [ -n "$2" ] && [ "$2" = "$3" ] || fail "$1: expected '$2', got '$3'"
}
