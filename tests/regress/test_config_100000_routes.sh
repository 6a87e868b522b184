# Guards against a configuration that is too large to be read: 100,000 routes, then a
# version that adds one.
set -u
. tests/site/lib.sh
BASE=32000
STORE_ADDRESS=127.0.0.1:$BASE
ROUTES=${ROUTES:-100000}

has_version () { [ "$(metric 1 camphorarch_config_version)" -ge "$1" ]; }
serves () { # PATH
  curl -s -m 2 -f "http://127.0.0.1:$(entry_port 1)$1" -H "Host: $2" \
    -H 'Authorization: Bearer k1' -H 'Camphorarch-Attempt-Id: a1' \
    -H 'Camphorarch-Deadline-Remaining: 1000'
}
host_of () { printf 'h%02x.example' $(($1 % 199)); }
now_ms () { echo $(($(date +%s%N) / 1000000)); }

start_store
wait_for record
start_endpoint 1 api z1
print_config 8 0 > "$WORK/config.json"
put_config "$WORK/config.json"
start_entry 1 z1
wait_for is_ready 1
for version in 9 10; do
  routes=$((ROUTES + version - 9))
  print_config $version $routes > "$WORK/config.json"
  put_config "$WORK/config.json"
  acked_ms=$(now_ms)
  wait_for has_version $version
  echo "version $version, $routes routes more, $(stat -c %s "$WORK/config.json") bytes: in force after $(($(now_ms) - acked_ms)) ms, $(sed -n 's/.*"version '$version' .*built in \([0-9]* us\).*/\1/p' "$WORK/entry1.log") of them to build"
  wait_for serves "/more/$routes/x" "$(host_of $routes)"
done
grep VmHWM "/proc/${PID[entry1]}/status"
echo "100,000 routes: ok"
