#!/usr/bin/env bash
# Fault soak: runs the real programs as processes on loopback and injects faults.
#
#   tests/soak/soak.sh SEED [SECONDS] [BASE-PORT] [ENTRIES] [ENDPOINTS]
#
# Faults follow each other and may overlap.  Processes are paused, killed,
# terminated and restarted; connections to the store and to endpoints are delayed,
# reset or left without data or answers; the store refuses calls, stops answering,
# loses answers and compacts its history; endpoints reject requests, limit them,
# fail, and interrupt or corrupt answers; the configuration changes.  Callers check every
# answer, and compare all of them with the endpoints' runs at the end.  The same
# seed draws the same faults, but their timing depends on the processes.
set -u
cd "$(dirname "$0")/../.."
SEED=${1:?usage: soak.sh SEED [SECONDS] [BASE-PORT] [ENTRIES] [ENDPOINTS]}
DURATION_S=${2:-20}
BASE=${3:-23000}
ENTRIES=${4:-3}
ENDPOINTS=${5:-8}
. tests/site/lib.sh
# The kernel may give ports of its ephemeral range to outgoing connections.
read -r FIRST_EPHEMERAL _ < /proc/sys/net/ipv4/ip_local_port_range
[ $((BASE + 100 + 10 * (ENTRIES + 1))) -le "$FIRST_EPHEMERAL" ] \
  || fail "BASE-PORT $BASE: its ports overlap the ephemeral ports from $FIRST_EPHEMERAL on; choose a lower BASE-PORT"
RANDOM=$SEED
PROXY=$((BASE + 1))
STORE_ADDRESS=127.0.0.1:$PROXY
VERSION=7

log_fault () { echo "$(date +%s.%N | cut -c1-14) $*" >> "$WORK/faults"; }
random_below () { echo $((RANDOM % $1)); }
pick_random () { # CHOICE...
  local choices=("$@")
  echo "${choices[$(random_below $#)]}"
}
sleep_ms () { sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"; }

zone_of () { echo z$(($1 % 2 + 1)); }
service_of () { if [ $(($1 % 2)) -eq 0 ]; then echo llm; else echo api; fi; }

# Endpoints whose number is divisible by 4 are reached through a proxy.
launch_endpoint () { # NUMBER
  local at=$((BASE + 500 + 2 * $1))
  if [ $(($1 % 2)) -eq 0 ] && [ $(($1 % 4)) -eq 0 ]; then
    start_endpoint "$1" "$(service_of "$1")" "$(zone_of "$1")" "$at"
  else
    start_endpoint "$1" "$(service_of "$1")" "$(zone_of "$1")"
  fi
}

start_proxies () {
  local i
  start proxy "$BUILD/tests/site/site-proxy" --port "$PROXY" --to "$BASE" \
    --control $((BASE + 2))
  for i in $(seq 4 4 "$ENDPOINTS"); do
    start "proxy$i" "$BUILD/tests/site/site-proxy" --port $((BASE + 500 + 2 * i)) \
      --to $((BASE + 10 + i)) --control $((BASE + 501 + 2 * i))
  done
}

fault_entry () {
  local i=$((1 + $(random_below "$ENTRIES"))) fault=$(pick_random stop kill term hup)
  local ms=$((300 + $(random_below 2500)))
  log_fault "entry$i $fault $ms"
  case $fault in
    stop) signal STOP "entry$i"; sleep_ms $ms; signal CONT "entry$i" ;;
    kill) signal KILL "entry$i"; sleep_ms $ms; start_entry "$i" "$(zone_of "$i")" ;;
    term) signal TERM "entry$i"; wait_for entry_gone "$i"; start_entry "$i" "$(zone_of "$i")" ;;
    hup) signal HUP "entry$i" ;;
  esac
}
entry_gone () { ! is_running "entry$1"; }
endpoint_gone () { ! is_running "endpoint$1"; }

fault_endpoint () {
  local i=$((1 + $(random_below "$ENDPOINTS"))) ms=$((300 + $(random_below 2000)))
  local fault=$(pick_random stop kill term reject error reset cut lost encoded unsigned limit)
  log_fault "endpoint$i $fault $ms"
  case $fault in
    stop) signal STOP "endpoint$i"; sleep_ms $ms; signal CONT "endpoint$i" ;;
    kill) signal KILL "endpoint$i"; sleep_ms $ms; launch_endpoint "$i" ;;
    term) signal TERM "endpoint$i"; wait_for endpoint_gone "$i"; launch_endpoint "$i" ;;
    limit)
      control $((BASE + 10 + i)) "{\"limit\":\"$(pick_random 0 0.4 2.5 20 none)\"}"
      sleep_ms $ms
      control $((BASE + 10 + i)) '{"limit":""}'
      ;;
    *) control $((BASE + 10 + i)) "{\"fault\":\"$fault\",\"next\":$((1 + $(random_below 12)))}" ;;
  esac
}

fault_store () {
  local fault=$(pick_random busy silent lose forget) ms=$((500 + $(random_below 3500)))
  log_fault "store $fault $ms"
  case $fault in
    lose) control "$BASE" "{\"lose\":$((1 + $(random_below 4)))}" ;;
    forget) control "$BASE" '{"forget":true}' ;;
    *) control "$BASE" "{\"mode\":\"$fault\"}"; sleep_ms $ms; control "$BASE" '{"mode":"ok"}' ;;
  esac
}

fault_links () {
  local fault=$(pick_random delay reset silent mute) ms=$((300 + $(random_below 2500))) at
  at=$(pick_random $((BASE + 2)) $((BASE + 509)) $((BASE + 517)))
  log_fault "link $at $fault $ms"
  control "$at" "{\"mode\":\"$fault\",\"delay_ms\":$(random_below 400)}"
  sleep_ms $ms
  control "$at" '{"mode":"ok"}'
}

change_config () {
  VERSION=$((VERSION + 1 + $(random_below 3)))
  log_fault "config $VERSION"
  sed "s/\"version\":7/\"version\":$VERSION/; s/\"timeout_ms\":8000/\"timeout_ms\":$((7000 + $(random_below 1500)))/" \
    tests/site/config.json > "$WORK/config.json"
  put_config "$WORK/config.json"
}

# Injects a fault, in some cases while a link or store fault is in effect.
inject_fault () {
  local links store
  links=$(random_below 2)
  store=$(random_below 3)
  if [ "$links" -eq 0 ]; then
    local at fault
    at=$(pick_random $((BASE + 2)) $((BASE + 509)) $((BASE + 517)))
    fault=$(pick_random delay reset silent mute)
    log_fault "overlapping: link $at $fault"
    control "$at" "{\"mode\":\"$fault\",\"delay_ms\":$(random_below 400)}"
    "$(pick_random fault_entry fault_endpoint fault_endpoint change_config)"
    control "$at" '{"mode":"ok"}'
  elif [ "$store" -eq 0 ]; then
    log_fault "overlapping: store"
    control "$BASE" "{\"mode\":\"$(pick_random busy silent)\"}"
    "$(pick_random fault_entry fault_endpoint fault_links)"
    control "$BASE" '{"mode":"ok"}'
  else
    "$(pick_random fault_entry fault_endpoint fault_endpoint fault_store fault_links change_config)"
  fi
}

start_store
wait_for record
start_proxies
for i in $(seq "$ENDPOINTS"); do launch_endpoint "$i"; done
for i in $(seq "$ENTRIES"); do start_entry "$i" "$(zone_of "$i")"; done
put_config tests/site/config.json
for i in $(seq "$ENTRIES"); do wait_for is_ready "$i"; done

ports=$(for i in $(seq "$ENTRIES"); do entry_port "$i"; done | paste -sd,)
"$BUILD/tests/site/site-callers" --entries "$ports" --seconds "$DURATION_S" \
  --rate 60 --seed "$SEED" --runs "$RUNS" > "$WORK/callers.out" &
callers=$!
while kill -0 "$callers" 2> /dev/null; do
  sleep_ms $((50 + $(random_below 600)))
  inject_fault
done
wait "$callers"
status=$?
violations=$(record | sed -n 's/.*"breaches":\(\[.*\]\).*/\1/p')
[ "$violations" = "[]" ] || { echo "violations recorded by the store: $violations"; status=1; }
tail -n 25 "$WORK/callers.out"
if [ "$status" -ne 0 ]; then
  KEEP=1
  echo "seed $SEED failed; its logs are kept in this directory:" >&2
  echo "$WORK" >&2
fi
exit "$status"
