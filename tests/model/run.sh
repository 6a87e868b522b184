#!/usr/bin/env bash
# Checks the model of the claim protocol in every interleaving.
set -eu
model=$(cd "$(dirname "$0")" && pwd)/claim.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
spin -a "$model" > spin.log
gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c 2> gcc.log
./pan -m200000 -n > pan.log
if grep -q 'errors: 0' pan.log && ! grep -q 'search not completed' pan.log; then
  grep -E 'states, stored|errors:' pan.log
  echo "claim model: 1 passed, 0 failed"
else
  cat pan.log
  [ -f claim.pml.trail ] && spin -t -p "$model" | tail -n 40
  echo "claim model: 0 passed, 1 failed"
  exit 1
fi
