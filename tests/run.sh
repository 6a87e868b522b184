#!/usr/bin/env bash
# Runs the tests of a build directory, or those whose name contains NAME, and
# prints the failures and the totals.
#
#   tests/run.sh [BUILD-DIRECTORY] [NAME]
#
# Scripts under tests/scripts run in virtual time; their output must equal
# NAME.expected.  A script with "# sweep T ..." runs once for each value of $T;
# its sorted, distinct lines are compared.  The programs of the gateway run in
# virtual time, so several run at once.  Scripts under tests/regress run real
# processes, one after the other.  Failures of tests that are listed in KNOWN-RED.txt are printed but
# not counted.
set -u
cd "$(dirname "$0")/.."
BUILD=${1:-build}
export BUILD
ONLY=${2:-}
PASSED=0
FAILED=0
RED=0
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT

known_red () { [ -f KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt; }

report () { # NAME STATUS
  if [ "$2" -eq 0 ]; then
    PASSED=$((PASSED + 1))
    known_red "$1" && echo "note: $1 passes; take it off KNOWN-RED.txt"
    return
  fi
  if known_red "$1"; then
    RED=$((RED + 1))
    echo "known red: $1"
    return
  fi
  FAILED=$((FAILED + 1))
  echo "FAILED: $1"
  [ -f "$OUT/out" ] && sed 's/^/    /' "$OUT/out" | tail -n 40
}

run_script () { # FILE
  local values value
  values=$(sed -n 's/^# sweep T //p' "$1")
  if [ -z "$values" ]; then
    "$BUILD/tests/world/script" tests/scripts "$1"
    return
  fi
  for value in $(eval echo "$values"); do
    sed "s/\$T/$value/g" "$1" > "$OUT/sweep.script"
    "$BUILD/tests/world/script" tests/scripts "$OUT/sweep.script"
  done | sort -u
}

wanted () { [ -z "$ONLY" ] || [[ "$1" == *"$ONLY"* ]]; }

for file in tests/scripts/*.script; do
  name=${file#tests/}
  wanted "$name" || continue
  run_script "$file" > "$OUT/actual" 2>&1
  diff "${file%.script}.expected" "$OUT/actual" > "$OUT/out" 2>&1
  report "$name" $?
done

for file in tests/gateway/scripts/*.script; do
  name=${file#tests/}
  wanted "$name" || continue
  "$BUILD/tests/gateway/gateway-script" tests/gateway/scripts "$file" \
    > "$OUT/actual" 2>&1
  diff "${file%.script}.expected" "$OUT/actual" > "$OUT/out" 2>&1
  report "$name" $?
done

# Runs a program; keeps its output and its exit status.
run_program () { # PROGRAM
  local kept
  kept=$OUT/$(basename "$1")
  "$1" > "$kept.out" 2>&1
  echo $? > "$kept.status"
}
export -f run_program
export OUT

programs=()
for program in "$BUILD"/tests/unit/test_* "$BUILD"/tests/gateway/test_*; do
  [ -x "$program" ] && [ -f "$program" ] || continue
  wanted "$(basename "$(dirname "$program")")/$(basename "$program")" || continue
  programs+=("$program")
done
printf '%s\n' "${programs[@]}" | grep /test_gateway_ \
  | xargs -r -P "$(nproc)" -I {} bash -c 'run_program {}'
for program in "${programs[@]}"; do
  [ -f "$OUT/$(basename "$program").status" ] || run_program "$program"
  mv "$OUT/$(basename "$program").out" "$OUT/out"
  report "$(basename "$(dirname "$program")")/$(basename "$program")" \
    "$(cat "$OUT/$(basename "$program").status")"
done

for page in events errors settings; do
  wanted "docs/$page" || continue
  flag=--print-$page
  [ "$page" = settings ] && flag=--print-settings-page
  "$BUILD/packages/daemon/camphorarchd" $flag | diff "docs/$page.md" - \
    > "$OUT/out" 2>&1
  report "docs/$page" $?
done

if wanted soak; then
  "$BUILD/tests/world/soak" --first 1 --seeds "${SOAK_SEEDS:-3}" \
    --events "${SOAK_EVENTS:-150000}" > "$OUT/out" 2>&1
  report soak $?
fi

for file in tests/regress/test_*.sh; do
  [ -f "$file" ] || continue
  name=${file#tests/}
  wanted "$name" || continue
  timeout 120 bash "$file" > "$OUT/out" 2>&1
  report "$name" $?
done

echo "known red: $RED"
echo "$PASSED passed, $FAILED failed"
[ "$FAILED" -eq 0 ]
