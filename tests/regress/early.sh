# One entry before an endpoint in trouble (site-early) of two services.  Sourced after
# BASE is set.
. tests/site/lib.sh
STORE_ADDRESS=127.0.0.1:$BASE
UPLOAD_BYTES=4000000

start_early () {
  local listed=$((BASE + 50))
  start_store
  wait_for record
  start early "$BUILD/tests/site/site-early" --port $listed
  start_endpoint 1 api z1 $listed
  start_endpoint 2 llm z1 $listed
  put_config tests/site/config.json
  start_entry 1 z1
  wait_for is_ready 1
  head -c $UPLOAD_BYTES /dev/zero > "$WORK/upload"
}

# upload PATH [CURL FLAGS...]: prints curl's exit status, the HTTP status, the bytes of
# the body and the time in ms.
upload () {
  local path=$1 out
  shift
  out=$(curl -s -m 9 -o /dev/null -w '%{http_code} %{size_download} %{time_total}' -X POST \
    -H 'Host: host.example' -H 'Authorization: Bearer k1' -H 'Expect:' \
    -H "Camphorarch-Attempt-Id: r$RANDOM$RANDOM$RANDOM" \
    -H 'Camphorarch-Model: m' -H 'Camphorarch-Token-Usage: 10,5' \
    -H 'Camphorarch-Prompt-Prefix: a:5,b:5' \
    -H 'Camphorarch-Deadline-Remaining: 4000' "$@" \
    "http://127.0.0.1:$(entry_port 1)$path")
  echo "$? $out" | awk '{ print $1, $2, $3, int($4 * 1000) }'
}
