# Missing or bad settings end the start with one message that names each field.
set -u
. tests/site/lib.sh
run () { "$BUILD/packages/daemon/camphorarchd" --on-platform=0 2>&1; }

out=$(env -u CAMPHORARCH_BOOT "$BUILD/packages/daemon/camphorarchd" --on-platform=0 2>&1)
[ $? -eq 78 ] || fail "not the exit status for a bad configuration"
echo "$out" | grep -q "CAMPHORARCH_BOOT: not set" || fail "no remedy: $out"
BASE=21400 write_settings 1 z1
sed -i 's/^zone=.*//; s/^platform.address=.*/platform.address=nowhere/' "$WORK/entry1.conf"
export CAMPHORARCH_BOOT=$WORK/entry1.conf
out=$(run)
[ $? -eq 78 ] || fail "not the exit status for a bad configuration"
echo "$out" | grep -q "^zone: missing" || fail "zone is not named: $out"
echo "$out" | grep -q "platform.address: 'nowhere'" || fail "address is not named: $out"
echo "start: ok"
