# Guards against versions that come late, or that most entries receive from the store,
# since the entries that read for their zones stand still: all entries share one core.
set -u
. tests/site/lib.sh
BASE=32000
STORE_ADDRESS=127.0.0.1:$BASE
case $BUILD in # sanitizers take several times the processor time
  *sanitize*) ENTRIES=${ENTRIES:-10} ;;
  *) ENTRIES=${ENTRIES:-40} ;;
esac
VERSIONS=${VERSIONS:-5}
STEP=${STEP:-1400} # routes more, each version
RATE=${RATE:-400}  # requests a second, to all entries together
LOAD_S=4           # after each version
PAUSE_S=1.2
PROPAGATION_MS=2000
CORE=0
MAX_READERS=8 # that receive a version from the store, of two zones

now_ms () { echo $(($(date +%s%N) / 1000000)); }

# Entries that read the operator's table for their zones, by their latest lines.
readers () {
  local i
  for i in $(seq "$ENTRIES"); do
    grep '"event":"store_reader","subject":"op"' "$WORK/entry$i.log" | tail -n 1 \
      | grep -q 'this entry, for its zone' && echo "$i"
  done
}
have_readers () { [ "$(readers | wc -l)" -eq 2 ]; }

# Time until the last entry has put a version in force, of those that were not paused.
applied_ms () { # VERSION ACKED-MS PAUSED...
  local version=$1 acked=$2 i last=0 at
  shift 2
  for i in $(seq "$ENTRIES"); do
    case " $* " in *" $i "*) continue ;; esac
    at=$(sed -n 's/^{"time":\([0-9.]*\),.*"config_applied","detail":"version '"$version"' .*/\1/p' \
      "$WORK/entry$i.log" | awk -v acked="$acked" '{ printf "%d", $1 * 1000 - acked }')
    [ -n "$at" ] || { echo 99999; return; }
    [ "$at" -gt "$last" ] && last=$at
  done
  echo "$last"
}

# Entries that received a version from the store.
read_whole () { # VERSION
  grep -l '"config_applied","detail":"version '"$1"' .*from the store' "$WORK"/entry*.log | wc -l
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
wait_for have_readers
ports=$(for i in $(seq "$ENTRIES"); do entry_port "$i"; done | paste -sd,)

worst=0
most=0
for v in $(seq "$VERSIONS"); do
  print_config $((v * 10)) $((v * STEP)) > "$WORK/config.json"
  "$BUILD/tests/site/site-callers" --entries "$ports" --seconds $LOAD_S --rate "$RATE" \
    --seed "$v" --runs "$RUNS" > "$WORK/callers$v" &
  callers=$!
  paused=$(readers)
  for i in $paused; do signal STOP "entry$i"; done
  put_config "$WORK/config.json"
  acked_ms=$(now_ms)
  sleep $PAUSE_S
  for i in $paused; do signal CONT "entry$i"; done
  wait $callers || fail "$(cat "$WORK/callers$v")"
  late_ms=$(applied_ms $((v * 10)) "$acked_ms" $paused)
  read -r sent served < <(sed -n 's/^sent \([0-9]*\): served \([0-9]*\),.*/\1 \2/p' "$WORK/callers$v")
  whole=$(read_whole $((v * 10)))
  echo "$((v * STEP)) routes more: at all entries that ran after $late_ms ms, received from the store by $whole; $served of $sent served"
  [ "$whole" -gt "$most" ] && most=$whole
  [ "$late_ms" -gt "$worst" ] && worst=$late_ms
  : > "$RUNS"
done
[ "$worst" -le $PROPAGATION_MS ] || fail "a version came after $worst ms, $PROPAGATION_MS allowed"
[ "$most" -le $MAX_READERS ] || fail "$most entries received a version from the store, $MAX_READERS allowed"
echo "configuration while readers pause: ok"
