# Runs a small site on loopback: a store, endpoints and entries, each in its own
# process.  Every process started here is recorded and killed by its own id;
# waits poll a condition and fail the script after a time limit.
#
# Ports: BASE store, +1 proxy in front of it, +2 its control, +10.. endpoints,
# +100+10*i entry i (callers, ready, peers, metrics).

BUILD=${BUILD:-build}
BASE=${BASE:-20000}
WORK=${WORK:-$(mktemp -d)}
RUNS=$WORK/runs
STORE_ADDRESS=127.0.0.1:$BASE
declare -A PID
declare -A VERSION_OF # software versions of endpoints, by number

. tests/wait.sh

control () { # PORT JSON
  curl -s -m 5 -X POST "http://127.0.0.1:$1/control" -d "$2" > /dev/null
}

start () { # NAME COMMAND...
  local name=$1
  shift
  "$@" >> "$WORK/$name.log" 2>&1 &
  PID[$name]=$!
  disown
}

signal () { # SIGNAL NAME
  kill -"$1" "${PID[$2]}" 2> /dev/null
}

is_running () { kill -0 "${PID[$1]}" 2> /dev/null; }

end_all () {
  local status=$? name
  for name in "${!PID[@]}"; do
    signal CONT "$name"
    signal KILL "$name"
  done
  if [ "$status" -ne 0 ] || [ "${KEEP:-0}" = 1 ]; then
    echo "logs are kept in $WORK" >&2
  else
    rm -rf "$WORK"
  fi
}
trap end_all EXIT

start_store () { # [FLAGS...]
  start store "$BUILD/tests/site/site-store" --port "$BASE" "$@"
}

# put_config FILE: writes the operator's configuration to the store.
put_config () {
  { printf '{"expect":[],"write":[{"table_name":"op","part":"","key":"config","value":"'
    base64 -w 0 < "$1"
    printf '"}],"removals":[]}'; } > "$WORK/put"
  curl -s -m 20 -f -X POST "http://127.0.0.1:$BASE/v1/rows-tx" \
    --data-binary @"$WORK/put" > /dev/null
}

# print_config VERSION ROUTES: tests/site/config.json as that version, with so many
# routes more; the last of them is /more/ROUTES/.
print_config () {
  awk -v version="$1" -v routes="$2" '
    /^\{"version"/ {
      print "{\"version\":" version ",\"routes\":["
      srand (1)
      for (i = 1; i <= routes; i++)
        printf "{\"name\":\"r-%07x%d\",\"host\":\"h%02x.example\",\"prefix\":\"/more/%d/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":2,\"service\":\"api\",\"max_attempts\":2},\n", rand () * 268435455, i, i % 199, i
      next
    }
    { print }' tests/site/config.json
}

start_endpoint () { # NUMBER SERVICE ZONE [LISTED-PORT]
  local port=$((BASE + 10 + $1))
  start "endpoint$1" "$BUILD/tests/site/site-replica" --id "i-$1" --service "$2" \
    --zone "$3" --port "$port" --store "$BASE" --runs "$RUNS" \
    --listed "${4:-$port}" --ends-on "${ENDS_ON:-}" \
    --ends-on-part "${ENDS_ON_PART:-}" --version "${VERSION_OF[$1]:-}" \
    --event-ms "${EVENT_MS:-4}" --work-ms "${WORK_MS:-3}" \
    --slots "${SLOTS:-0}" --brittle "${BRITTLE:-0}"
}

# First port of entry NUMBER; the others follow it.
entry_port () { echo $((BASE + 100 + 10 * $1)); }

write_settings () { # NUMBER ZONE
  local port
  port=$(entry_port "$1")
  cat > "$WORK/entry$1.conf" <<END
node_name=entry-$1
zone=$2
ip_address=127.0.0.1
internal_port_range=$((port + 4)),$((port + 5))
listen_addresses.frontend_addr=127.0.0.1:$port
listen_addresses.ready=127.0.0.1:$((port + 1))
platform.address=$STORE_ADDRESS
cloud_api.address=127.0.0.1:$BASE
cloud_api.duties=usage_reporting,autoscaling
bounds.config_propagation_ms=2000
bounds.drain_ms=2000
bounds.revocation_strict=true
bounds.revocation_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_allowance=54
bounds.retry_window_s=10
bounds.quota_overrun=0.1
bounds.quota_allowance=110000
bounds.quota_window_s=8
bounds.usage_window_s=1
bounds.usage_delay_s=10
bounds.lease_ms=3000
bounds.grace_period_s=${GRACE_S:-8}
END
}

start_entry () { # NUMBER ZONE
  write_settings "$1" "$2"
  CAMPHORARCH_BOOT=$WORK/entry$1.conf start "entry$1" \
    "$BUILD/packages/daemon/camphorarchd" --on-platform=$(($(entry_port "$1") + 3))
}

is_ready () { # NUMBER
  curl -s -m 2 -f "http://127.0.0.1:$(($(entry_port "$1") + 1))/v1/readiness"
}

metric () { # NUMBER NAME
  curl -s -m 2 "http://127.0.0.1:$(($(entry_port "$1") + 3))/metrics" \
    | sed -n "s/^$2 //p"
}

record () { curl -s -m 5 "http://127.0.0.1:$BASE/record"; }
