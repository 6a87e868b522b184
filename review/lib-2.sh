# Runs a small deployment on loopback for the scripts of cases 6 to 10: a store,
# replicas and entries, each a process of its own.  Sourced after `cd` to the
# repository's root, with CASE set to the folder of the case.
#
# Each process is recorded and ended by its own id.  A script ends with `held`,
# `broken` or `cannot`, which write the last line of record.txt.
# shellcheck shell=bash

TROUBLE=${TROUBLE:-1}
STANDINS=target/review-2
ENTRY=${ENTRY:-target/packages/daemon/camphorarchd}
SITE=review/standins-2
RECORD=$CASE/record.txt
WORK=$(mktemp -d)
RUNS=$WORK/runs
declare -A PID

: > "$RECORD"
: > "$RUNS"

note () { echo "$*" | tee -a "$RECORD"; }

end_all () {
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2> /dev/null
    kill -KILL "${PID[$name]}" 2> /dev/null
  done
  if [ "${KEEP:-0}" = 1 ]; then echo "logs are kept in $WORK"; else rm -rf "$WORK"; fi
}
trap end_all EXIT

cannot () { note "could not run: $*"; exit 2; }
held () { note "held: $*"; exit 0; }
broken () { note "broken: $*"; exit 1; }

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

# Polls a condition for 20 s at most.
wait_for () {
  local step
  for step in $(seq 200); do
    "$@" > /dev/null 2>&1 && return
    sleep 0.1
  done
  cannot "$* did not come true in $step steps"
}

# call PORT METHOD PATH [BODY]: prints the whole answer.
call () {
  local body=${4:-}
  {
    printf '%s %s HTTP/1.1\r\nHost: host.example\r\nConnection: close\r\n' "$2" "$3"
    printf 'Content-Length: %s\r\n\r\n%s' "${#body}" "$body"
  } > "$WORK/call.$BASHPID"
  exec 9<> "/dev/tcp/127.0.0.1/$1" || return 1
  cat "$WORK/call.$BASHPID" >&9
  timeout 5 cat <&9
  exec 9>&-
}

answers_200 () { call "$@" | head -n 1 | grep -q ' 200 '; }

is_free () { ! (exec 9<> "/dev/tcp/127.0.0.1/$1") 2> /dev/null; }

# Sets BASE to the first of 300 ports of which none of those used is taken.
choose_ports () {
  local try port taken
  for try in $(seq 50); do
    BASE=$((20000 + RANDOM % 40 * 300))
    taken=0
    for port in $(seq "$BASE" $((BASE + 40))) $(seq $((BASE + 100)) $((BASE + 200))); do
      is_free "$port" || taken=1
    done
    [ $taken = 1 ] || return 0
  done
  cannot "no free ports after $try tries"
}

start_store () {
  start store "$STANDINS/store" --port "$BASE"
  wait_for answers_200 "$BASE" GET /record
}

# Writes a configuration, as the operator does.
put_config () { # FILE
  local body
  body='{"expect":[],"write":[{"table_name":"op","part":"","key":"config","value":"'
  body+=$(base64 -w 0 < "$1")
  body+='"}],"removals":[]}'
  answers_200 "$BASE" POST /v1/rows-tx "$body" || cannot "the store refused a configuration"
}

start_server () { # NUMBER SERVICE ZONE [FLAGS...]
  local number=$1 service=$2 zone=$3
  shift 3
  start "server$number" "$STANDINS/server" --id "i-$number" --service "$service" \
    --zone "$zone" --port $((BASE + 10 + number)) --store "$BASE" --runs "$RUNS" "$@"
}

# First port of entry NUMBER; the others follow it.
entry_port () { echo $((BASE + 100 + 10 * $1)); }

write_settings () { # NUMBER ZONE
  local port
  port=$(entry_port "$1")
  cat > "$WORK/entry$1.conf" <<END
node_name=entry-$1
role=entry
machine_class=frontend
serves=frontend
ip_address=127.0.0.1
zone=$2
region=r1
zones.z1=r1
zones.z2=r1
zones.z3=r1
listen_addresses.frontend_addr=127.0.0.1:$port
listen_addresses.ready=127.0.0.1:$((port + 1))
internal_port_range=$((port + 4)),$((port + 8))
bootstrap=true
limits.cpu_share=0.25
limits.cpu_cores=1
limits.memory_mb=260
limits.file_descriptors=4100
limits.link_mbps=1000.0
discovery=platform
heartbeat_interval_ms=1200
bounds.address_reuse_s=2
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.config_propagation_ms=2000
bounds.downgrade_slack_ms=250
bounds.partition_ms=5000
bounds.revocation_strict=true
bounds.revocation_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_allowance=54
bounds.quota_window_s=8
bounds.quota_overrun=0.1
bounds.quota_allowance=110000
bounds.fencing_enforced=true
bounds.lease_ms=3000
bounds.usage_window_s=5
bounds.usage_delay_s=10
platform.address=127.0.0.1:${STORE_PORT:-$BASE}
platform.form=table
platform.row_bytes=65536
platform.history_s=20
cloud_api.address=127.0.0.1:$BASE
cloud_api.duties=usage_reporting,autoscaling
cloud_api.duties_per_s=50.0
END
}

# Starts an entry with the command of the deploy file; the port of its metrics
# is its own, as all share one address.
start_entry () { # NUMBER ZONE
  write_settings "$1" "$2"
  CAMPHORARCH_BOOT=$WORK/entry$1.conf start "entry$1" \
    "$ENTRY" --on-platform=$(($(entry_port "$1") + 3))
}

is_ready () { answers_200 $(($(entry_port "$1") + 1)) GET /v1/readiness; } # NUMBER
