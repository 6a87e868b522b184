#!/bin/bash
# Runs a small deployment on loopback for the cases 11 and later: the project's daemon,
# started with the command of the deploy file, and stand-ins. Sourced by run.sh of a case,
# from its folder. Every process is recorded and ended by its own id.
#
# Ports, from a free BASE on: +0 store and platform calls, +10.. endpoints, +100+10*i
# entry i (callers, ready, metrics, then peers and delegated requests).

cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
CASE=$PWD/review/$(basename "$(dirname "$0")")
TROUBLE=${TROUBLE:-1}
DAEMON=target/packages/daemon/camphorarchd
STANDINS=target/review-3
WORK=$(mktemp -d) || exit 2
RUNS=$WORK/runs
RECORD=$CASE/record.txt
declare -A PID

: > "$RECORD"
touch "$RUNS"

note () { printf '%s %s\n' "$(date +%T.%3N)" "$*" | tee -a "$RECORD"; }

end_all () {
  local status=$? name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2> /dev/null
    kill -KILL "${PID[$name]}" 2> /dev/null
  done
  for name in "${!PID[@]}"; do wait "${PID[$name]}"; done 2> /dev/null
  if [ "${KEEP:-0}" = 1 ]; then echo "logs are kept in $WORK"; else rm -rf "$WORK"; fi
  exit "$status"
}
trap end_all EXIT

cannot_run () {
  note "cannot run: $*"
  exit 2
}

[ -x "$DAEMON" ] || cannot_run "$DAEMON is not built"
[ -x "$STANDINS/site-store" ] || cannot_run "review/build-3.sh has not been run"

is_free () { ! (exec 3<> "/dev/tcp/127.0.0.1/$1") 2> /dev/null; }

find_base () {
  local port
  for _ in $(seq 50); do
    BASE=$((20000 + (RANDOM % 110) * 100))
    for port in $(seq 0 2) $(seq 11 22) $(seq 110 179); do
      is_free $((BASE + port)) || continue 2
    done
    return
  done
  cannot_run "no free ports"
}
find_base

start () { # NAME COMMAND...
  local name=$1
  shift
  "$@" >> "$WORK/$name.log" 2>&1 &
  PID[$name]=$!
  disown
}

signal () { # SIGNAL NAME
  note "signal $1 to $2"
  kill -"$1" "${PID[$2]}" 2> /dev/null
}

is_running () { kill -0 "${PID[$1]}" 2> /dev/null; }

# http PORT METHOD PATH [BODY]: prints the answer's status line, head and body.
http () {
  local body=${4:-}
  (
    exec 3<> "/dev/tcp/127.0.0.1/$1" || exit 1
    printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
      "$2" "$3" "${#body}" "$body" >&3
    timeout 5 cat <&3
  ) 2> /dev/null
}

wait_for () { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@" > /dev/null 2>&1; do
    [ $SECONDS -lt $end ] || cannot_run "not met in time: $*"
    sleep 0.05
  done
}

entry_port () { echo $((BASE + 100 + 10 * $1)); }
endpoint_port () { echo $((BASE + 10 + $1)); }
is_up () { http "$1" GET "${2:-/record}" | head -1 | grep -q ' 200'; }
is_ready () { is_up $(($(entry_port "$1") + 1)) /v1/readiness; }

start_store () {
  start store "$STANDINS/site-store" --port "$BASE" "$@"
  wait_for 10 is_up "$BASE"
}

# put_row TABLE KEY TEXT: as the operator does.
put_row () {
  http "$BASE" POST /v1/rows-tx "{\"expect\":[],\"write\":[{\"table_name\":\"$1\",\"part\":\"\",\"key\":\"$2\",\"value\":\"$(printf %s "$3" | base64 -w 0)\"}],\"removals\":[]}" \
    | head -1 | grep -q ' 200' || cannot_run "the store refuses a row"
}

start_endpoint () { # NUMBER SERVICE ZONE [FLAGS...]
  local number=$1 service=$2 zone=$3
  shift 3
  start "endpoint$number" "$STANDINS/site-replica" --id "i-$number" \
    --service "$service" --zone "$zone" --port "$(endpoint_port "$number")" \
    --store "$BASE" --runs "$RUNS" "$@"
}

endpoint_control () { # NUMBER JSON
  http "$(endpoint_port "$1")" POST /control "$2" | head -1 | grep -q ' 200' \
    || cannot_run "endpoint $1 does not take a command"
}

# The settings of the sheet ctandina-calc; addresses are those of this run.
write_settings () { # NUMBER ZONE
  local port
  port=$(entry_port "$1")
  cat > "$WORK/entry$1.conf" <<END
node_name=entry-$1
role=entry
machine_class=frontend
serves=frontend
zone=$2
region=r1
zones.z1=r1
zones.z2=r1
zones.z3=r1
ip_address=127.0.0.1
internal_port_range=$((port + 4)),$((port + 9))
listen_addresses.frontend_addr=127.0.0.1:$port
listen_addresses.ready=127.0.0.1:$((port + 1))
bootstrap=true
limits.cpu_cores=1
limits.memory_mb=260
limits.file_descriptors=4100
discovery=platform
heartbeat_interval_ms=1200
bounds.contact_ms=3000
bounds.config_propagation_ms=2000
bounds.drain_ms=2000
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.revocation_strict=true
bounds.revocation_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_allowance=54
bounds.retry_window_s=10
bounds.quota_overrun=0.1
bounds.quota_allowance=110000
bounds.quota_window_s=8
bounds.fencing_enforced=true
bounds.lease_ms=3000
bounds.usage_window_s=5
bounds.usage_tolerance=0.05
bounds.usage_delay_s=10
platform.address=127.0.0.1:${STORE_PORT:-$BASE}
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
cloud_api.address=127.0.0.1:${CLOUD_PORT:-$BASE}
cloud_api.duties=usage_reporting,autoscaling
cloud_api.duties_per_s=50
END
}

start_entry () { # NUMBER ZONE
  write_settings "$1" "$2"
  CAMPHORARCH_BOOT=$WORK/entry$1.conf start "entry$1" \
    "$DAEMON" --on-platform=$(($(entry_port "$1") + 3))
}

has_endpoints () { # ENTRY COUNT
  [ "$(grep -c '"event":"endpoint_added"' "$WORK/entry$1.log")" -ge "$2" ]
}
