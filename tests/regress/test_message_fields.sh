# Guards against changes of messages between entries that an earlier build cannot
# read: fields may be added, but keep their numbers, names and types.
set -u
changed=$("$BUILD/tests/unit/print-fields" | LC_ALL=C sort | LC_ALL=C comm -23 tests/unit/fields-7e5a821.expected -)
if [ -n "$changed" ]; then
  echo "FAILED: fields of build 7e5a821 that are no longer there, or differ:" >&2
  echo "$changed" >&2
  exit 1
fi
echo "message fields: ok"
