# Guards against entries of this build and of an earlier one that do not understand
# each other, while entries are replaced one after the other, there and back.
set -u
. tests/site/lib.sh
BASE=31000
STORE_ADDRESS=127.0.0.1:$BASE
FORMER=7e5a82161bd6f2f97ebbea483f2ba89d45c7a844
ENTRIES=6
ENDPOINTS=4
SECONDS_OF_LOAD=24
RATE=60
EVENT_MS=20
SERVED_PERCENT=95

zone_of () { echo z$(($1 % 2 + 1)); }
is_gone () { ! is_running "$1"; }
replace_entry () { # NUMBER BUILD
  signal TERM "entry$1"
  wait_for is_gone "entry$1"
  BUILD=$2 start_entry "$1" "$(zone_of "$1")"
  wait_for is_ready "$1"
}

# The earlier build comes from the repository's history, as on the users' bench.
if ! git cat-file -e "$FORMER^{commit}" 2> /dev/null; then
  echo "two builds: not run, the history lacks $FORMER"
  exit 0
fi
mkdir "$WORK/source"
git archive "$FORMER" CMakeLists.txt packages platform | tar -x -C "$WORK/source"
former=$WORK/former
cmake -S "$WORK/source" -B "$former" -DCMAKE_BUILD_TYPE=Release -DCAMPHOR_TESTS=OFF > "$WORK/build.log" 2>&1 \
  && cmake --build "$former" -j "$(nproc)" >> "$WORK/build.log" 2>&1 \
  || fail "the earlier build failed: $(tail -n 5 "$WORK/build.log")"

start_store
wait_for record
for i in $(seq $ENDPOINTS); do
  start_endpoint "$i" "$([ $((i % 2)) -eq 0 ] && echo llm || echo api)" "$(zone_of "$i")"
done
put_config tests/site/config.json
for i in 1 2 3; do BUILD=$former start_entry "$i" "$(zone_of "$i")"; done
for i in 4 5 6; do start_entry "$i" "$(zone_of "$i")"; done
for i in $(seq $ENTRIES); do wait_for is_ready "$i"; done
knows_all () { [ "$(grep -c '"event":"member_joined"' "$WORK/entry$1.log")" -ge $((ENTRIES - 1)) ]; }
for i in $(seq $ENTRIES); do wait_for knows_all "$i"; done

ports=$(for i in $(seq $ENTRIES); do entry_port "$i"; done | paste -sd,)
"$BUILD/tests/site/site-callers" --entries "$ports" --seconds $SECONDS_OF_LOAD --rate $RATE \
  --seed 1 --runs "$RUNS" > "$WORK/callers" &
callers=$!
for i in 1 2 3; do replace_entry "$i" "$BUILD"; done
for i in 4 5 6; do replace_entry "$i" "$former"; done
wait $callers || fail "a guarantee was broken: $(cat "$WORK/callers")"
cat "$WORK/callers"
read -r sent served < <(sed -n 's/^sent \([0-9]*\): served \([0-9]*\),.*/\1 \2/p' "$WORK/callers")
# A caller may meet the one entry that is just starting.
[ $((100 * served)) -ge $((SERVED_PERCENT * sent)) ] || fail "$served of $sent requests were served"
for i in $(seq $ENTRIES); do
  is_running "entry$i" || fail "entry $i has ended"
  grep -q '"event":"peer_bad_frame"' "$WORK/entry$i.log" && fail "entry $i got a message that it cannot read"
  grep -q '"event":"store_bad_row"' "$WORK/entry$i.log" && fail "entry $i read a row that it cannot read"
done
record | grep -q '"breaches": *\[\]' || fail "duties: $(record)"
echo "two builds: ok"
