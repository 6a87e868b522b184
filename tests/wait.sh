# What test scripts share: failing, and waiting on conditions.

WAIT_STEPS=${WAIT_STEPS:-300}

fail () {
  echo "FAILED: $*" >&2
  exit 1
}

# wait_for COMMAND...: runs it every 100 ms until it succeeds.
wait_for () {
  local step=0
  until "$@" > /dev/null 2>&1; do
    step=$((step + 1))
    [ "$step" -lt "$WAIT_STEPS" ] || fail "condition never held: $*"
    sleep 0.1
  done
}
