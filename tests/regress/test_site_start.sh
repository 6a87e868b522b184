# An entry whose settings are missing or bad exits with 78, and its errors name
# each such setting.
set -u
. tests/site/lib.sh
run () { "$BUILD/packages/daemon/camphorarchd" --on-platform=0 2>&1; }

out=$(env -u CAMPHORARCH_BOOT "$BUILD/packages/daemon/camphorarchd" --on-platform=0 2>&1)
[ $? -eq 78 ] || fail "the exit status is not 78 (bad configuration)"
echo "$out" | grep -q "CAMPHORARCH_BOOT: not set" || fail "the error does not name CAMPHORARCH_BOOT: $out"
BASE=21400 write_settings 1 z1
sed -i 's/^zone=.*//; s/^platform.address=.*/platform.address=nowhere/' "$WORK/entry1.conf"
export CAMPHORARCH_BOOT=$WORK/entry1.conf
out=$(run)
[ $? -eq 78 ] || fail "the exit status is not 78 (bad configuration)"
echo "$out" | grep -q "^zone: missing" || fail "the error does not name the setting zone: $out"
echo "$out" | grep -q "platform.address: 'nowhere'" || fail "the error does not name the value of platform.address: $out"
echo "start: ok"
