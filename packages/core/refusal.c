/* Refusals, and the outcome that is reported with them.
 *
 * CA_OUTCOME_NOT_RUN is reported only if no run of the request was started, or
 * if the endpoint confirmed for each one that it never began.  A non-idempotent
 * request must also hold its claim row, because an earlier request with the
 * same key may have run. */
#include "core/private.h"

#include <stdarg.h>
#include <stdio.h>

static ca_outcome_t
refusal_outcome (const ca_request_t *request, ca_error_kind_t kind)
{
  /* The claim row belongs to a different body, so this one never ran. */
  if (kind == CA_ERROR_KEY_REUSED)
    return CA_OUTCOME_NOT_RUN;
  if (request->starts > 0)
    return CA_OUTCOME_UNKNOWN;
  if (!request->idempotent && (!request->claimed || request->claim_shared))
    return CA_OUTCOME_UNKNOWN;
  return CA_OUTCOME_NOT_RUN;
}

static void
refusal_send (ca_core_t *core, const ca_request_t *request, const char *message)
{
  ca_refusal_t refusal;

  refusal.kind = request->refusal_kind;
  refusal.outcome = request->refusal_outcome;
  refusal.retry_after_us = request->refusal_retry_us;
  refusal.message = message;
  core->ports.reply_error (core->ports.context, request->id, &refusal);
}

void
ca_request_refuse (ca_core_t *core, ca_request_t *request, ca_error_kind_t kind,
                   uint64_t retry_after_us, const char *format, ...)
{
  char message[CA_ERROR_MESSAGE_BYTES];
  bool attached = request->attached;
  va_list args;

  CA_INVARIANT (core, request->phase != CA_PHASE_ENDED,
                "a request is refused only before it has ended");
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  request->refused = true;
  request->refusal_kind = kind;
  request->refusal_outcome = refusal_outcome (request, kind);
  request->refusal_retry_us = retry_after_us;
  CA_INVARIANT (core,
                request->refusal_outcome != CA_OUTCOME_NOT_RUN
                    || request->open_runs == 0,
                "outcome not_run is reported only without open runs");
  if (request->claimed && request->refusal_outcome == CA_OUTCOME_NOT_RUN)
    ca_claim_mark_released (core, request);
  else if (request->claimed && !request->claim_shared)
    ca_claim_mark_lost (core, request);
  ca_counters_add (&core->counters, CA_COUNT_REFUSED, 1);
  ca_trace (core, CA_EVENT_REQUEST_REFUSED, request, request->attempt.endpoint,
            "%s", ca_error_info (kind)->name);
  ca_request_set_phase (core, request, CA_PHASE_ENDED);
  if (attached)
    refusal_send (core, request, message);
}

void
ca_refuse_spec (ca_core_t *core, uint64_t id, ca_error_kind_t kind,
                ca_outcome_t outcome, uint64_t retry_after_us,
                const char *message)
{
  ca_refusal_t refusal;

  refusal.kind = kind;
  refusal.outcome = outcome;
  refusal.retry_after_us = retry_after_us;
  refusal.message = message;
  ca_counters_add (&core->counters, CA_COUNT_REFUSED, 1);
  core->ports.reply_error (core->ports.context, id, &refusal);
}

void
ca_request_resend_refusal (ca_core_t *core, ca_request_t *request)
{
  refusal_send (core, request, ca_error_info (request->refusal_kind)->remedy);
}
