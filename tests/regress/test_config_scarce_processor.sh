# Guards against requests that fail, and versions that come late, only because
# versions have many routes and entries have little processor time: all entries
# share one core.
set -u
. tests/site/lib.sh
BASE=30000
STORE_ADDRESS=127.0.0.1:$BASE
case $BUILD in # sanitizers take several times the processor time
  *sanitize*) ENTRIES=${ENTRIES:-4} ;;
  *) ENTRIES=${ENTRIES:-24} ;;
esac
VERSIONS=${VERSIONS:-4}
STEP=${STEP:-2800} # routes more, each version
RATE=${RATE:-100}  # requests a second, to all entries together
LOAD_S=3           # after each version
PROPAGATION_MS=2000
CORE=0

now_ms () { echo $(($(date +%s%N) / 1000000)); }
has_version () { # ENTRY VERSION
  [ "$(metric "$1" camphorarch_config_version)" -ge "$2" ]
}
all_have_version () { # VERSION
  local i
  for i in $(seq "$ENTRIES"); do has_version "$i" "$1" || return 1; done
}

# Time until the last entry has put a version in force.
applied_ms () { # VERSION ACKED-MS
  cat "$WORK"/entry*.log \
    | sed -n 's/^{"time":\([0-9.]*\),.*"config_applied","detail":"version '"$1"' .*/\1/p' \
    | sort -n | tail -n 1 | awk -v acked="$2" '{ printf "%d", $1 * 1000 - acked }'
}

start_store
wait_for record
for i in 1 2; do start_endpoint "$i" api z$i; done
for i in 3 4; do start_endpoint "$i" llm z$((i - 2)); done
print_config 7 0 > "$WORK/config.json"
put_config "$WORK/config.json"
for i in $(seq "$ENTRIES"); do
  start_entry "$i" z$((i % 2 + 1))
  taskset -pc $CORE "${PID[entry$i]}" > /dev/null
done
for i in $(seq "$ENTRIES"); do wait_for is_ready "$i"; done
ports=$(for i in $(seq "$ENTRIES"); do entry_port "$i"; done | paste -sd,)

for v in $(seq "$VERSIONS"); do
  print_config $((v * 10)) $((v * STEP)) > "$WORK/config.json"
  "$BUILD/tests/site/site-callers" --entries "$ports" --seconds $LOAD_S --rate "$RATE" \
    --seed "$v" --runs "$RUNS" > "$WORK/callers$v" &
  callers=$!
  put_config "$WORK/config.json"
  acked_ms=$(now_ms)
  wait_for all_have_version $((v * 10))
  late_ms=$(applied_ms $((v * 10)) "$acked_ms")
  wait $callers || fail "$(cat "$WORK/callers$v")"
  read -r sent served < <(sed -n 's/^sent \([0-9]*\): served \([0-9]*\),.*/\1 \2/p' "$WORK/callers$v")
  echo "$((v * STEP)) routes more: at all $ENTRIES entries after $late_ms ms; $served of $sent served"
  [ "$late_ms" -le $PROPAGATION_MS ] || fail "version $((v * 10)) is late"
  [ $((20 * served)) -ge $((19 * sent)) ] || fail "$(tail -n 1 "$WORK/callers$v")"
  : > "$RUNS"
done
echo "configuration with scarce processor time: ok"
