# Guards against requests that share one prompt part and end endpoint after
# endpoint, no two of them alike, and against sound requests of the same caller
# and first part that are refused for it.
set -u
. tests/site/lib.sh
BASE=25900
STORE_ADDRESS=127.0.0.1:$BASE
ENDS_ON_PART=bad0
ENTRIES=8
ENDPOINTS=8
CRASHES_MAX=5
REPEATS_MAX=3
CONTACT_MS=3000 # contact_ms of the small sites
DOWN_MS=1000
SOUND_S=3
LOAD_S=10

NUMBER=0
ENDED=0
BOUND_MS=0 # when the bound begins to hold; 0: not yet
declare -A ENDED_MS

now_ms () { date +%s%3N; }
send () { # ENTRY REQUEST PARTS: prints the request and the HTTP status
  curl -s -m 5 -o /dev/null -w "$2 %{http_code}\n" -X POST -H "Host: host.example" \
    -H "Authorization: Bearer k1" -H "Camphorarch-Attempt-Id: $2" \
    -H "Camphorarch-Deadline-Remaining: 4000" \
    -H "Camphorarch-Token-Usage: 300,20" -H "Camphorarch-Model: m" \
    -H "Camphorarch-Prompt-Prefix: $3" -d "$2" \
    "http://127.0.0.1:$(entry_port "$1")/chat/x"
}
sound () { # ENTRY NUMBER
  send "$1" "w$2" "a1:100,f$((NUMBER % 5)):50,c$2:10"
}
crashing () { # ENTRY NUMBER: the part stands first, second or third
  local parts=("bad0:9,a1:100" "a1:100,bad0:9" "a1:100,f$((NUMBER % 5)):50,bad0:9")
  send "$1" "p$2" "${parts[$(($2 % 3))]},d$2:10"
}
serves () { sound "$1" "$RANDOM$RANDOM" | grep -q 200; }

# Counts the endpoints that have ended, and starts them again later.
keep_endpoints () {
  local i
  for i in $(seq $ENDPOINTS); do
    if is_running "endpoint$i"; then continue; fi
    if [ -z "${ENDED_MS[$i]:-}" ]; then
      ENDED_MS[$i]=$(now_ms)
      ENDED=$((ENDED + 1))
      [ $ENDED -eq $CRASHES_MAX ] && BOUND_MS=$(($(now_ms) + CONTACT_MS))
    elif [ $(($(now_ms) - ENDED_MS[$i])) -ge $DOWN_MS ]; then
      start_endpoint "$i" llm z1
      ENDED_MS[$i]=
    fi
  done
}
crashing_runs () { grep -c " p[0-9]* /chat" "$RUNS"; }

load () { # SECONDS, and whether crashing requests are sent
  local end=$((SECONDS + $1)) i
  while [ "$SECONDS" -lt "$end" ]; do
    for i in $(seq $ENTRIES); do
      NUMBER=$((NUMBER + 1))
      sound "$i" $NUMBER >> "$WORK/answers" &
      LOAD_PIDS="$LOAD_PIDS $!"
      [ "$2" = crashing ] && [ $((NUMBER % 3)) -eq 0 ] || continue
      crashing "$i" $NUMBER >> "$WORK/answers" &
      LOAD_PIDS="$LOAD_PIDS $!"
      keep_endpoints
      [ $BOUND_MS -ne 0 ] && [ -z "$BEFORE" ] && [ "$(now_ms)" -ge $BOUND_MS ] \
        && BEFORE=$(crashing_runs)
    done
    wait $LOAD_PIDS
    LOAD_PIDS=
  done
}
blocks () { grep -q '"event":"part_quarantined"' "$WORK/entry$1.log"; }
served () { # PATTERN: share of the sound requests answered with 200, in percent
  awk -v first="$1" '/^w/ && substr($1, 2) + 0 >= first { n++; ok += $2 == 200 }
    END { print n < 20 ? 0 : int(100 * ok / n) }' "$WORK/answers"
}

LOAD_PIDS=
BEFORE=
start_store
wait_for record
for i in $(seq $ENDPOINTS); do start_endpoint "$i" llm z1; done
put_config tests/site/config.json
for i in $(seq $ENTRIES); do start_entry "$i" z1; done
for i in $(seq $ENTRIES); do wait_for serves "$i"; done

load $SOUND_S sound
USUAL=$(served 1)
load $LOAD_S crashing
for i in $(seq $ENTRIES); do
  is_running "entry$i" || fail "entry $i ended by itself"
done
echo "$ENDED endpoints ended, $(crashing_runs) crashing requests reached endpoints, ${BEFORE:-0} of them before the bound"
[ $ENDED -ge 3 ] || fail "$ENDED endpoints ended, the test needs 3 or more"
[ $(($(crashing_runs) - ${BEFORE:-$(crashing_runs)})) -le $REPEATS_MAX ] \
  || fail "$(crashing_runs) crashing requests reached endpoints, $BEFORE before the bound"
for i in $(seq $ENTRIES); do
  blocks "$i" || fail "entry $i has not blocked the part"
done

# An entry that starts learns of the part from its peers.
signal KILL entry1
gone () { ! is_running entry1; }
wait_for gone
lines=$(wc -l < "$WORK/entry1.log")
start_entry 1 z1
learnt () { tail -n "+$lines" "$WORK/entry1.log" | grep -q '"event":"part_quarantined"'; }
wait_for learnt
wait_for serves 1
runs=$(crashing_runs)
crashing 1 1000000 > "$WORK/answer"
grep -q 503 "$WORK/answer" || fail "entry 1 answered $(cat "$WORK/answer") after its restart"
[ "$(crashing_runs)" -eq "$runs" ] || fail "entry 1 let a request through after its restart"

# Sound requests are served as before.
first=$((NUMBER + 1))
load $SOUND_S sound
NOW=$(served "$first")
echo "sound requests: $USUAL % served before, $NOW % after"
[ "$NOW" -ge "$USUAL" ] || fail "$NOW % of the sound requests are served, $USUAL % before"
if grep -h 'prompt part quarantined' "$WORK"/entry*.log | grep -q '"request":"w'; then
  fail "a sound request was refused for the part"
fi
echo "crashing prompt part: ok"
