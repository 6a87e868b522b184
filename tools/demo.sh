#!/usr/bin/env bash
# Demonstrates the system on loopback: starts stand-in servers and three entries
# in two availability zones, confirms an intent for each deployment, sends
# requests of every class, prints the merged timeline, and stops everything.
set -u
cd "$(dirname "$0")/.."
. tests/regress/lib.sh
trap stop_all EXIT

post () { # ENTRY-INDEX WORKSPACE CLASS KEY PATH BODY
  local args=(-s -m 60 -H "X-Workspace: $2" -H "X-Request-Class: $3")
  [ -n "$4" ] && args+=(-H "Idempotency-Key: $4")
  curl "${args[@]}" -X POST "http://127.0.0.1:$((BASE_PORT + 100 + $1))$5" -d "$6"
}

show () { # TITLE TEXT
  printf '%-44s %s\n' "$1" "$(printf '%s' "$2" | tr '\n' ' ' | cut -c1-150)"
}

stream_summary () {
  awk '/^data: \{/ {n++} /\[DONE\]/ {d="ends with [DONE]"} END {print n " events, " d}'
}

echo "== stand-ins and three entries in two availability zones"
start_platform
start_engine sizing1 $((BASE_PORT + 11)) lima-central-a sizing 11
start_engine sizing2 $((BASE_PORT + 12)) lima-central-a sizing 12
start_service portal $((BASE_PORT + 13)) lima-central-a member-portal 13
start_engine credit1 $((BASE_PORT + 21)) pianura-a credit 21
start_engine credit2 $((BASE_PORT + 22)) pianura-a credit 22
start_service loans $((BASE_PORT + 23)) pianura-a loan-service 23
start_entry lima1 1 lima-central-a
start_entry lima2 2 lima-central-a
start_entry pianura1 3 pianura-a

echo "== plan and confirm"
ctl plan examples/heat-sink-sizing.json | head -n 14
first=$(confirm_intent examples/heat-sink-sizing.json)
second=$(confirm_intent examples/loan-desk.json)
echo "revisions $first and $second confirmed"
for index in 1 2 3; do
  wait_for entry_has_revision $((BASE_PORT + 100 + index)) "$second"
done
echo "revision $second in force at every entry"
wait_for sh -c "curl -s http://127.0.0.1:$((BASE_PORT + 101))/v1/status | grep -q 'pool\": \"credit'"

echo "== requests of every class"
show "quick check" "$(post 1 taller-cusco quick-check '' /v1/completions '{"prompt":"TO-220, 12 W, 40 C ambient","max_tokens":12}')"
show "quick check, streamed" "$(post 2 taller-cusco quick-check '' /v1/completions '{"prompt":"TO-220, 12 W, 40 C ambient","max_tokens":12,"stream":true}' | stream_summary)"
show "catalogue lookup" "$(post 2 radio-rural-puno catalogue-lookup '' /services/member-portal/catalogue '{"profile":"A40"}')"
show "long design review" "$(post 1 minera-junin long-design-review review-1 /v1/completions '{"prompt":"mining drive, forced air","max_tokens":60}')"
show "the same key again" "$(post 2 minera-junin long-design-review review-1 /v1/completions '{"prompt":"mining drive, forced air","max_tokens":60}' | cut -c1-90)"
show "long design review, streamed" "$(post 1 minera-junin long-design-review review-2 /v1/completions '{"prompt":"inverter, sealed case","max_tokens":60,"stream":true}' | stream_summary)"
show "pre-approval" "$(post 3 dealers pre-approval '' /v1/chat/completions '{"messages":[{"role":"user","content":"tractor, 60 months"}],"max_tokens":10}')"
show "pre-approval, streamed, by another zone" "$(post 1 dealers pre-approval '' /v1/chat/completions '{"messages":[{"role":"user","content":"tractor, 60 months"}],"max_tokens":10,"stream":true}' | stream_summary)"
show "dossier review" "$(post 3 banca-lodi dossier-review dossier-9 /v1/completions '{"prompt":"dossier 9","max_tokens":40}')"
show "dossier review, streamed" "$(post 3 banca-lodi dossier-review dossier-10 /v1/completions '{"prompt":"dossier 10","max_tokens":40,"stream":true}' | stream_summary)"
show "repayment summary" "$(post 3 banca-cremona repayment-summary '' /v1/completions '{"prompt":"plan 77","max_tokens":10}')"
show "repayment summary, streamed" "$(post 3 banca-cremona repayment-summary '' /v1/completions '{"prompt":"plan 77","max_tokens":10,"stream":true}' | stream_summary)"
show "status ping" "$(post 3 banca-mantova status-ping '' /services/loan-service/status '{"loan":7}')"
show "a refusal" "$(post 3 banca-mantova dossier-review '' /v1/completions '{"prompt":"x"}')"

echo "== merged timeline of one request"
id=$(post 2 taller-cusco quick-check '' /v1/completions '{"prompt":"explain me","max_tokens":4}' | json_field id)
ctl explain "$id"
echo "== last events of all processes"
ctl timeline | tail -n 8

echo "== stop"
stop_all
trap - EXIT
rm -rf "$WORK"
echo "demo finished; all processes have stopped"
