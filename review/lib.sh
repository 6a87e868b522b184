# Starts a small deployment on loopback for the cases of this folder.  Sourced by
# the scripts, which run in the root of the repository.
#
# Entry N has the address PREFIX.N and the ports of the deployment's pages; the
# store and the endpoints listen on 127.0.0.1 from BASE on.  All processes are
# ended by their ids.  Exit status: 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
set -u
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
TROUBLE=${TROUBLE:-1}
STANDINS=target/review
DAEMON=target/packages/daemon/camphorarchd
RECORD=$CASE_DIR/record.txt
WORK=$(mktemp -d)
RUNS=$WORK/runs
PREFIX=127.$((10 + RANDOM % 200)).$((RANDOM % 250))
CALLERS_PORT=8221
READY_PORT=8224
declare -A PID

now_ms () { date +%s%3N; }
STARTED_MS=$(now_ms)

note () { # TEXT: a line of the record, with its time in ms
  echo "$(($(now_ms) - STARTED_MS)) $*" >> "$RECORD"
}

finish () { # STATUS TEXT
  [ -f "$RUNS" ] && sed 's/^run/ran at/' "$RUNS" >> "$RECORD"
  note "result: $2"
  echo "$2"
  exit "$1"
}
cannot_run () { finish 2 "cannot run: $*"; }

end_all () {
  local name
  # Loads that still run.
  jobs -p | xargs -r kill 2> /dev/null
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2> /dev/null
    kill -KILL "${PID[$name]}" 2> /dev/null
  done
  if [ "${KEEP:-0}" = 1 ]; then echo "logs: $WORK" >&2; else rm -rf "$WORK"; fi
}
trap end_all EXIT
: > "$RECORD"
[ -x "$DAEMON" ] || cannot_run "build the deploy file first"
[ -x "$STANDINS/site-store" ] || cannot_run "run review/build.sh first"

# call ADDRESS PORT METHOD PATH BODY [HEADER...]: prints the response, or nothing.
call () {
  local address=$1 port=$2 method=$3 path=$4 body=$5
  shift 5
  (
    exec 3<> "/dev/tcp/$address/$port" || exit 1
    {
      printf '%s %s HTTP/1.1\r\nConnection: close\r\n' "$method" "$path"
      [ $# -eq 0 ] || printf '%s\r\n' "$@"
      printf 'Content-Length: %d\r\n\r\n%s' "${#body}" "$body"
    } >&3
    timeout "${CALL_S:-4}" cat <&3
  ) 2> /dev/null
}
status_of () { sed -n '1s/^HTTP.1.1 \([0-9]*\).*/\1/p'; } # of a response

is_free () { ! (exec 3<> "/dev/tcp/127.0.0.1/$1") 2> /dev/null; }
find_ports () { # COUNT: sets BASE
  local at
  for _ in $(seq 50); do
    BASE=$((20000 + RANDOM % 12000))
    for at in $(seq "$BASE" $((BASE + $1))); do is_free "$at" || continue 2; done
    return
  done
  cannot_run "no free ports"
}

start () { # NAME COMMAND...
  local name=$1
  shift
  "$@" >> "$WORK/$name.log" 2>&1 &
  PID[$name]=$!
  disown
}
is_running () { kill -0 "${PID[$1]}" 2> /dev/null; }
kill_process () { # NAME
  kill -KILL "${PID[$1]}" 2> /dev/null
  while is_running "$1"; do sleep 0.01; done
}
wait_for () { # COMMAND...: every 50 ms, for 20 s
  for _ in $(seq 400); do
    "$@" > /dev/null 2>&1 && return
    sleep 0.05
  done
  cannot_run "not reached: $*"
}

control () { # PORT JSON
  call 127.0.0.1 "$1" POST /control "$2" > /dev/null
}
# From the first copy on all answers of the store name its era.
start_store () {
  start store "$STANDINS/site-store" --port "$BASE"
  wait_for record_of_store
  control "$BASE" '{"copy":true}'
}
record_of_store () { call 127.0.0.1 "$BASE" GET /record '' | grep breaches; }
put_rows () { # JSON: a transaction
  [ "$(call 127.0.0.1 "$BASE" POST /v1/rows-tx "$1" | status_of)" = 200 ]
}
put_config () { # TEXT
  put_rows "{\"expect\":[],\"removals\":[],\"write\":[{\"table_name\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$(printf '%s' "$1" | base64 -w 0)\"}]}" \
    || cannot_run "the store refused a configuration"
}

endpoint_port () { echo $((BASE + 10 + $1)); }
start_endpoint () { # NUMBER SERVICE ZONE WORK-MS [EVENT-MS [VERSION]]
  start "endpoint$1" "$STANDINS/site-replica" --id "i-$1" --service "$2" --zone "$3" \
    --port "$(endpoint_port "$1")" --store "$BASE" --runs "$RUNS" --work-ms "$4" \
    --event-ms "${5:-4}" --version "${6:-}"
}

# Settings as in DEPLOY.md, with the bounds of the small sites.
write_settings () { # NUMBER ZONE
  local ip=$PREFIX.$1
  cat > "$WORK/entry$1.conf" <<END
node_name=frontend-$2-$1
role=entry
machine_class=frontend
serves=frontend
ip_address=$ip
zone=$2
region=pianura
listen_addresses.frontend_addr=$ip:$CALLERS_PORT
listen_addresses.ready=$ip:$READY_PORT
internal_port_range=7600,7615
bootstrap=true
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
bounds.usage_tolerance=0.05
bounds.usage_delay_s=10
bounds.recovery_s=12
platform.address=127.0.0.1:$BASE
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
cloud_api.address=127.0.0.1:$BASE
cloud_api.duties=usage_reporting,autoscaling
cloud_api.duties_per_s=50.0
END
}
start_entry () { # NUMBER ZONE
  write_settings "$1" "$2"
  CAMPHORARCH_BOOT=$WORK/entry$1.conf start "entry$1" "$DAEMON" --on-platform=7611
}
is_ready () { # NUMBER
  [ "$(call "$PREFIX.$1" $READY_PORT GET /v1/readiness '' | status_of)" = 200 ]
}

# request ENTRY PATH KEY ID: sends a request and prints its status, 000 if there is
# none.
request () {
  local status
  status=$(call "$PREFIX.$1" $CALLERS_PORT POST "$2" x 'Host: host.example' \
    "Authorization: Bearer $3" "Camphorarch-Attempt-Id: $4" \
    'Camphorarch-Deadline-Remaining: 1000' | status_of)
  echo "${status:-000}"
}
is_served () { [ "$(request "$1" "$2" "$3" "p$RANDOM$RANDOM")" = 200 ]; }

print_route () { # NAME KIND SERVICE MAX-ATTEMPTS TIMEOUT-MS
  printf '{"name":"%s","host":"host.example","prefix":"/%s/","route_kind":"%s","timeout_ms":%d,"target_latency_ms":150,"priority":2,"service":"%s","max_attempts":%d}' \
    "$1" "$1" "$2" "$5" "$3" "$4"
}
# print_config VERSION KEYS-OF-W2: a configuration; the keys are JSON strings.
print_config () {
  printf '{"version":%d,"routes":[%s,%s,%s,%s],"services":[{"name":"api","health_path":"/health","connection_limit":110},{"name":"llm","health_path":"/health","connection_limit":370,"inference_engine":{"slots":64,"kv_cache_tokens":326531}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"w1","api_keys":["k1"],"unit":"tokens","uncached_tokens":200,"rate_per_s":0},{"name":"w2","api_keys":[%s],"unit":"tokens","uncached_tokens":200,"rate_per_s":0}]}' \
    "$1" "$(print_route once non_idempotent api 1 1000)" \
    "$(print_route again idempotent api 2 1000)" \
    "$(print_route chat streaming llm 1 15000)" \
    "$(print_route resume streaming llm 2 4000 | sed 's/}$/,"stream_resumption":true}/')" "$2"
}
