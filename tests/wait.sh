# Helpers of the test scripts for failing and for waiting on a condition.

WAIT_STEPS=${WAIT_STEPS:-300} # of 100 ms

fail () {
  echo "FAILED: $*" >&2
  exit 1
}

# wait_for COMMAND...: runs it every 100 ms until it succeeds; fails the script
# after WAIT_STEPS runs.
wait_for () {
  local step=0
  until "$@" > /dev/null 2>&1; do
    step=$((step + 1))
    [ "$step" -lt "$WAIT_STEPS" ] || fail "condition not met after $WAIT_STEPS checks: $*"
    sleep 0.1
  done
}
