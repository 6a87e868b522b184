/* Lifecycle of a request: admission, attempts and the final response.
 *
 * exchange_retry decides on a retry if no valid response came or the endpoint
 * did not run the request, exchange_plain_answer after a valid response with a
 * server error.  A non-idempotent request is resent only if no byte of it was
 * sent or the endpoint reports that it did not run it. */
#include "gateway/private.h"
#include "gateway/rollout_private.h"
#include "gateway/validation_times.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Failed connections, and rejections by endpoints, before a request is
 * refused. */
#define CONNECT_FAILURES_MAX 4
#define REJECTIONS_MAX 3

/* Failed connections before a request is delegated to another entry. */
#define DELEGATE_CONNECT_FAILURES 2

/* A stopping entry accepts all streams until this long after SIGTERM.  By then
 * the balancer sends new connections elsewhere; of later streams, only those
 * that end within the grace period are accepted. */
#define STOPPING_ACCEPT_STREAMS_US (2200 * CA_US_PER_MS)

/* How long an endpoint that reported no capacity gets no requests. */
#define FULL_BACKOFF_US (60 * CA_US_PER_MS)

/* Time that must be left before the deadline to try again after a server
 * error. */
#define ATTEMPT_MIN_US (40 * CA_US_PER_MS)

/* A run without a first event or response for this long may have lost its
 * endpoint. */
#define RUN_SILENT_US (500 * CA_US_PER_MS)

/* Longest wait for an endpoint: a fraction of the latency objective, or this
 * long when a started stream is to be resumed. */
#define WAIT_SHARE 0.5
#define RESUME_WAIT_US (1500 * CA_US_PER_MS)

/* Longest wait for a permit if all endpoints are at their limits, as a fraction
 * of the latency objective. */
#define PERMIT_WAIT_SHARE 0.125

/* Longest wait for quota that peers lend. */
#define QUOTA_WAIT_US (100 * CA_US_PER_MS)

/* A request is refused as overload if its first event is predicted later than
 * this fraction of the latency objective. */
#define OVERLOAD_SHARE 0.85

/* Retry-After values: the default, the bounds for an overloaded service, and
 * the value for a quarantined request. */
#define RETRY_AFTER_DEFAULT_US (500 * CA_US_PER_MS)
#define RETRY_AFTER_MIN_US (150 * CA_US_PER_MS)
#define RETRY_AFTER_MAX_US (2 * CA_US_PER_S)
#define RETRY_AFTER_QUARANTINE_US (30 * CA_US_PER_S)

/* Entries of all versions must pick the same service for a request. */
#define SPLIT_KEY_SEED 2

/* A request goes with more urgent ones if its objective is tighter than theirs
 * by this factor, and its prompt takes this part of their objective at most. */
#define TIGHTER_OBJECTIVE 1.2
#define SHORT_PROMPT_SHARE 0.1

/* Request priority sent to engines: a route's own priority is added to this,
 * up to the maximum. */
#define PRIORITY_BASE 3
#define PRIORITY_MAX 9

static void
exchange_free (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  if (gateway->admitting == exchange)
    gateway->admitting = NULL;
  TAILQ_REMOVE (&gateway->exchanges, exchange, entries);
  gateway->open--;
  ca_catalog_unref (exchange->catalog);
  free (exchange);
}

/* Releases the exchange's endpoint and removes its share of the load counts. */
static void
exchange_release_endpoint (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  ca_gateway_endpoint_t *endpoint = exchange->endpoint;
  ca_service_stats_t *stats;

  if (exchange->delegate != 0)
    ca_delegation_release (gateway, exchange);
  if (endpoint == NULL)
    return;
  stats = ca_service_stats (gateway, exchange->service->name);
  stats->held_tokens -= exchange->held_tokens;
  endpoint->own_load.open--;
  endpoint->own_load.unread_tokens -= exchange->unread_tokens;
  endpoint->own_load.held_tokens -= exchange->held_tokens;
  ca_interference_ended (exchange);
  exchange->unread_tokens = 0;
  exchange->held_tokens = 0;
  exchange->endpoint = NULL;
  ca_slot_permits_ended (gateway, endpoint, false, false);
  ca_gateway_endpoint_release (&gateway->registry, endpoint);
}

static uint64_t
exchange_age_ms (const ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  return (gateway->now_us - exchange->accepted_us) / CA_US_PER_MS;
}

typedef struct
{
  ca_event_number_t event;
  const char *reason;
} exchange_refusal_t;

static const exchange_refusal_t exchange_refusals[CA_REFUSE_COUNT] = {
  [CA_REFUSE_NO_CONFIGURATION]
  = { CA_EVENT_REQUEST_REFUSED, "no configuration loaded" },
  [CA_REFUSE_STALE]
  = { CA_EVENT_REQUEST_REFUSED, "configuration too old to rely on" },
  [CA_REFUSE_STOPPING] = { CA_EVENT_REQUEST_REFUSED, "entry is stopping" },
  [CA_REFUSE_NO_ROUTE] = { CA_EVENT_REQUEST_REFUSED, "no matching route" },
  [CA_REFUSE_NO_KEY] = { CA_EVENT_REQUEST_REFUSED, "unknown API key" },
  [CA_REFUSE_QUOTA] = { CA_EVENT_REQUEST_REFUSED, "quota" },
  [CA_REFUSE_QUARANTINED] = { CA_EVENT_REQUEST_REFUSED, "request quarantined" },
  [CA_REFUSE_QUARANTINED_PART]
  = { CA_EVENT_REQUEST_REFUSED, "prompt part quarantined" },
  [CA_REFUSE_NO_ENDPOINT]
  = { CA_EVENT_REQUEST_REFUSED, "no endpoint available" },
  [CA_REFUSE_OVERLOADED] = { CA_EVENT_REQUEST_REFUSED, "endpoints overloaded" },
  [CA_REFUSE_SHED]
  = { CA_EVENT_REQUEST_REFUSED, "shed, as endpoints lack capacity" },
  [CA_REFUSE_UNKNOWN_VERSION]
  = { CA_EVENT_REQUEST_REFUSED, "unknown which version began the stream" },
  [CA_REFUSE_DELEGATE]
  = { CA_EVENT_REQUEST_REFUSED, "refused by the entry it was delegated to" },
  [CA_REFUSE_LIMITED]
  = { CA_EVENT_REQUEST_REFUSED, "endpoints at their limits" },
  [CA_REFUSE_EXPIRED]
  = { CA_EVENT_REQUEST_REFUSED, "deadline passed before the request ran" },
  [CA_REFUSE_LOST]
  = { CA_EVENT_ATTEMPT_FAILED, "request may have run, response lost" },
  [CA_REFUSE_TIMEOUT]
  = { CA_EVENT_ATTEMPT_SILENT, "deadline passed while the request ran" },
};

/* Ends the exchange with a refusal generated by this entry.  If an attempt may
 * have run, any reason but a timeout becomes CA_REFUSE_LOST; if none has, the
 * cost is returned to the quota. */
static void
exchange_refuse (ca_gateway_t *gateway, ca_exchange_t *exchange,
                 ca_gateway_refusal_t reason, uint64_t retry_after_us)
{
  char parts[CA_PROMPT_TEXT_BYTES];

  if (exchange->runs > 0 && reason != CA_REFUSE_TIMEOUT)
    reason = CA_REFUSE_LOST;
  if (exchange->workspace != NULL && exchange->runs == 0
      && reason != CA_REFUSE_QUOTA && !exchange->awaits_quota
      && exchange->cost > 0)
    ca_quota_return (gateway, exchange->workspace, exchange->cost);
  ca_counters_add (&gateway->counters, CA_COUNT_REFUSED, 1);
  ca_admission_note_refusal (gateway, exchange);
  ca_prompt_print_shared (&exchange->prompt, parts);
  ca_gateway_log (
      gateway, exchange_refusals[reason].event, exchange->id,
      exchange->workspace == NULL ? NULL : exchange->workspace->name,
      "%s: route %s, configuration version %" PRIu64 ", request age %" PRIu64
      " ms, %u sends, %u rejections, %u failed connections, retry after "
      "%" PRIu64 " ms, fingerprint %016" PRIx64 ", shared prompt parts %s",
      exchange_refusals[reason].reason,
      exchange->route == NULL ? "-" : exchange->route->name,
      exchange->catalog == NULL ? 0 : exchange->catalog->version,
      exchange_age_ms (gateway, exchange), exchange->sends,
      exchange->rejections, exchange->connect_failures,
      retry_after_us / CA_US_PER_MS, exchange->fingerprint, parts);
  exchange_release_endpoint (gateway, exchange);
  gateway->ports.refuse (gateway->ports.context, exchange, reason,
                         retry_after_us);
  exchange_free (gateway, exchange);
}

/* Ends an exchange whose stream cannot be completed; the caller gets an
 * incomplete response. */
static void
exchange_abort (ca_gateway_t *gateway, ca_exchange_t *exchange,
                const char *reason)
{
  ca_gateway_log (gateway, CA_EVENT_ATTEMPT_STOPPED, exchange->id,
                  exchange->endpoint == NULL ? NULL : exchange->endpoint->id,
                  "%s after event %" PRIu64 ": response left incomplete",
                  reason, exchange->last_event);
  exchange_release_endpoint (gateway, exchange);
  gateway->ports.abort_stream (gateway->ports.context, exchange);
  exchange_free (gateway, exchange);
}

/* Counts and logs a complete response. */
static void
exchange_record_response (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  ca_counters_add (&gateway->counters, CA_COUNT_ANSWERED, 1);
  ca_counters_observe (&gateway->counters, CA_LATENCY_WHOLE_ANSWER,
                       gateway->now_us - exchange->accepted_us);
  ca_gateway_log (gateway, CA_EVENT_REQUEST_ANSWERED, exchange->id,
                  exchange->endpoint == NULL ? NULL : exchange->endpoint->id,
                  "status %u after %" PRIu64 " ms, %u sends, route %s",
                  exchange->facts.status, exchange_age_ms (gateway, exchange),
                  exchange->sends, exchange->route->name);
}

bool
ca_exchange_goes_on (const ca_exchange_t *exchange)
{
  return exchange->has_event || exchange->resumes[0] != '\0';
}

/* True if the request may run more than once. */
static bool
exchange_is_repeatable (const ca_exchange_t *exchange)
{
  return exchange->route->kind == CA_ROUTE_IDEMPOTENT
         || (exchange->route->kind == CA_ROUTE_STREAMING
             && exchange->route->resumable);
}

/* Priority of the request's route among those of engines.  An engine reads the
 * prompts of more urgent requests first.  One with a tighter objective than
 * these, and so short a prompt that they hardly notice it, goes with them. */
static uint32_t
exchange_route_priority (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  const ca_route_t *route = exchange->route;
  double delay_ms = exchange->prefill_tokens
                    / ca_service_stats (gateway, exchange->service->name)
                          ->prefill_tokens_per_ms;

  if (!exchange->service->is_engine || !ca_peer_loads_are_fresh (gateway))
    return route->priority;
  for (uint32_t i = 0; i < route->priority && i < CA_CATALOG_PRIORITIES; i++)
    {
      uint32_t target_ms = exchange->catalog->engine_targets_ms[i];

      if (route->target_ms * TIGHTER_OBJECTIVE <= target_ms
          && delay_ms <= target_ms * SHORT_PROMPT_SHARE)
        return i;
    }
  return route->priority;
}

static uint32_t
exchange_priority (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  uint32_t priority = exchange_route_priority (gateway, exchange);

  if (exchange->workspace != NULL && exchange->workspace->has_priority)
    priority += exchange->workspace->priority;
  priority += PRIORITY_BASE;
  return priority > PRIORITY_MAX ? PRIORITY_MAX : priority;
}

/* Starts an attempt at the selected endpoint and adds its load there. */
static void
exchange_send (ca_gateway_t *gateway, ca_exchange_t *exchange,
               const ca_selection_t *selection)
{
  ca_gateway_endpoint_t *endpoint = selection->endpoint;
  ca_service_stats_t *stats
      = ca_service_stats (gateway, exchange->service->name);
  ca_attempt_t attempt;

  exchange->endpoint = endpoint;
  exchange->phase = CA_EXCHANGE_SENT;
  exchange->phase_us = gateway->now_us;
  exchange->sent_us = gateway->now_us;
  exchange->endpoint_idle = selection->endpoint_idle;
  exchange->expected_us = selection->expected_us;
  exchange->prefill_tokens = selection->prefill_tokens;
  exchange->unread_tokens = selection->prefill_tokens;
  exchange->held_tokens
      = exchange->prompt.tokens + exchange->prompt.output_tokens;
  memset (&exchange->facts, 0, sizeof exchange->facts);
  ca_gateway_endpoint_acquire (endpoint);
  endpoint->own_load.open++;
  endpoint->own_load.unread_tokens += exchange->unread_tokens;
  endpoint->own_load.held_tokens += exchange->held_tokens;
  stats->held_tokens += exchange->held_tokens;
  if (exchange->service->is_engine)
    ca_affinity_record (endpoint, &exchange->prompt,
                        exchange->service->cache_tokens / 2);
  attempt.remaining_ms
      = (uint32_t)((exchange->deadline_us - gateway->now_us) / CA_US_PER_MS);
  attempt.priority = exchange_priority (gateway, exchange);
  attempt.resumes = exchange->has_event;
  attempt.last_event = exchange->last_event;
  attempt.source = selection->source;
  attempt.delegate = NULL;
  attempt.connected_by_us
      = ca_stream_versions_check (gateway, exchange, endpoint)
                == CA_STREAM_VERIFIED
            ? ca_endpoint_process_verified_us (gateway, endpoint)
            : 0;
  ca_counters_add (&gateway->counters, CA_COUNT_ATTEMPTS, 1);
  ca_endpoint_limit_take (gateway, endpoint);
  ca_slot_permits_take (gateway, endpoint);
  ca_rollout_sent (gateway, exchange);
  ca_gateway_log (
      gateway, CA_EVENT_REQUEST_DISPATCHED, exchange->id, endpoint->id,
      "send %u: first event expected in %" PRIu64
      " ms, %u of %u prompt tokens to prefill, %u to fetch from %s, %u "
      "requests open there from this entry and %u from peers, fingerprint "
      "%016" PRIx64 ", software version %s, stream of %s",
      exchange->sends + 1, selection->predicted_us / CA_US_PER_MS,
      exchange->prefill_tokens, exchange->prompt.tokens,
      selection->fetched_tokens,
      selection->source == NULL ? "nobody" : selection->source->id,
      endpoint->own_load.open, endpoint->peer_load.open, exchange->fingerprint,
      endpoint->version[0] == '\0' ? "unknown" : endpoint->version,
      exchange->resumes[0] == '\0' ? "this request" : exchange->resumes);
  gateway->ports.attempt (gateway->ports.context, exchange, &attempt);
}

/* Deadline for finding an endpoint; never after the request's own deadline. */
static uint64_t
exchange_wait_until_us (const ca_exchange_t *exchange)
{
  uint64_t until_us;

  if (exchange->head_sent)
    until_us = exchange->phase_us + RESUME_WAIT_US;
  else
    until_us
        = exchange->accepted_us
          + (uint64_t)(exchange->route->target_ms * CA_US_PER_MS * WAIT_SHARE);
  return until_us < exchange->deadline_us ? until_us : exchange->deadline_us;
}

/* True if the request must not be sent, since such requests crash endpoints. */
static bool
exchange_is_blocked (const ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  return ca_crash_tracker_check (gateway, exchange) != CA_REFUSE_COUNT;
}

/* Refuses the request, or aborts the stream if it has begun. */
static void
exchange_give_up (ca_gateway_t *gateway, ca_exchange_t *exchange,
                  ca_gateway_refusal_t reason, uint64_t retry_after_us)
{
  if (exchange->head_sent)
    exchange_abort (gateway, exchange,
                    reason == CA_REFUSE_NO_ENDPOINT
                        ? "no endpoint to resume the stream"
                        : exchange_refusals[reason].reason);
  else
    exchange_refuse (gateway, exchange, reason, retry_after_us);
}

/* True if queued prompts would delay the first event for too long.  Only
 * engines and first attempts are checked.  A stream that is taken up was
 * admitted as it began, and the load that its former entry has reported may
 * still count for a while. */
static bool
exchange_is_overloaded (const ca_exchange_t *exchange,
                        const ca_selection_t *selection, uint64_t now_us)
{
  uint64_t at_us = now_us + selection->predicted_us;

  return exchange->service->is_engine && exchange->sends == 0
         && exchange->resumes[0] == '\0'
         && at_us > exchange->accepted_us
                        + (uint64_t)(exchange->route->target_ms * CA_US_PER_MS
                                     * OVERLOAD_SHARE)
         && selection->predicted_us > 0 && !selection->endpoint_idle;
}

static uint64_t
exchange_retry_after_us (const ca_exchange_t *exchange,
                         const ca_selection_t *selection)
{
  uint64_t target_us = exchange->route->target_ms * CA_US_PER_MS / 2;
  uint64_t wait_us = selection->predicted_us > target_us
                         ? selection->predicted_us - target_us
                         : 0;

  if (wait_us < RETRY_AFTER_MIN_US)
    return RETRY_AFTER_MIN_US;
  return wait_us > RETRY_AFTER_MAX_US ? RETRY_AFTER_MAX_US : wait_us;
}

/* Adds the request's prefill time to the demand for its service, once per
 * request.  Refused requests count too: the fleet is sized by demand, not by
 * what was served. */
static void
exchange_count_demand (ca_gateway_t *gateway, ca_exchange_t *exchange,
                       uint32_t prefill_tokens)
{
  ca_service_stats_t *stats
      = ca_service_stats (gateway, exchange->service->name);

  if (exchange->demand_counted || !exchange->service->is_engine)
    return;
  exchange->demand_counted = true;
  ca_window_add (&stats->busy, gateway->now_us,
                 prefill_tokens / stats->prefill_tokens_per_ms * CA_US_PER_MS);
}

/* True if a permit to use one of the service's endpoints may come; else
 * `wait_us` is the time after which the request may. */
static bool
exchange_request_permit (ca_gateway_t *gateway, ca_exchange_t *exchange,
                         uint64_t *wait_us)
{
  if (ca_endpoint_limits_request_permit (gateway, exchange->service->name,
                                         wait_us))
    return true;
  if (!ca_brittle_needs_slots (gateway, exchange->service->name))
    return false;
  *wait_us = (uint64_t)(RETRY_AFTER_DEFAULT_US
                        * (0.5 + ca_gateway_random (gateway)));
  return ca_slot_permits_request (gateway, exchange);
}

/* Handles a request whose service has endpoints at their limits only: waits for
 * a permit to use one of them, or refuses it at once. */
static void
exchange_wait_for_permit (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  uint64_t until_us = exchange->accepted_us
                      + (uint64_t)(exchange->route->target_ms * CA_US_PER_MS
                                   * PERMIT_WAIT_SHARE);
  uint64_t wait_us;
  bool requested = exchange_request_permit (gateway, exchange, &wait_us);

  if (exchange->head_sent)
    until_us = exchange_wait_until_us (exchange);
  if (gateway->now_us < until_us && (requested || exchange->head_sent))
    return;
  if (wait_us < RETRY_AFTER_MIN_US)
    wait_us = RETRY_AFTER_MIN_US;
  exchange_give_up (gateway, exchange, CA_REFUSE_LIMITED, wait_us);
}

/* Time after which callers may return if no endpoint takes requests: if some
 * have paused, spread after the end of the first pause. */
static uint64_t
exchange_resume_after_us (ca_gateway_t *gateway,
                          const ca_selection_t *selection)
{
  if (selection->any_open || selection->resumes_us <= gateway->now_us)
    return RETRY_AFTER_DEFAULT_US;
  return selection->resumes_us - gateway->now_us
         + (uint64_t)(ca_gateway_random (gateway) * RETRY_AFTER_DEFAULT_US);
}

/* True if connections failed, and those to the endpoints that are left may
 * fail, too. */
static bool
exchange_is_better_delegated (const ca_exchange_t *exchange,
                              const ca_selection_t *selection)
{
  return exchange->connect_failures >= DELEGATE_CONNECT_FAILURES
         || (exchange->connect_failures > 0 && selection->endpoint == NULL
             && selection->any_open);
}

/* Takes the cost of a request that has waited for quota.  False if it goes on
 * waiting, or has been refused. */
static bool
exchange_take_quota (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  if (ca_quota_take (gateway, exchange->workspace, exchange->cost))
    {
      exchange->awaits_quota = false;
      return true;
    }
  if (gateway->now_us - exchange->accepted_us >= QUOTA_WAIT_US
      || !ca_quota_loan_request (gateway, exchange->workspace, exchange->cost))
    exchange_refuse (
        gateway, exchange, CA_REFUSE_QUOTA,
        ca_quota_refuse (gateway, exchange->workspace, exchange->cost));
  return false;
}

/* Sends the request to the best endpoint, keeps it waiting, or gives up. */
static void
exchange_dispatch (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  ca_gateway_refusal_t blocked = ca_crash_tracker_check (gateway, exchange);
  ca_stream_lookup_t lookup;
  ca_selection_t selection;
  ca_gateway_refusal_t shed;
  uint64_t wait_us;
  bool is_brittle;

  if (blocked != CA_REFUSE_COUNT)
    {
      ca_counters_add (&gateway->counters, CA_COUNT_QUARANTINED, 1);
      exchange_give_up (gateway, exchange, blocked, RETRY_AFTER_QUARANTINE_US);
      return;
    }
  if (exchange->awaits_quota && !exchange_take_quota (gateway, exchange))
    return;
  lookup = ca_stream_versions_resolve (gateway, exchange);
  if (lookup == CA_STREAM_LOOKUP_PENDING)
    return;
  if (lookup == CA_STREAM_LOOKUP_UNKNOWN)
    {
      ca_counters_add (&gateway->counters, CA_COUNT_STREAMS_UNKNOWN, 1);
      exchange_give_up (gateway, exchange, CA_REFUSE_UNKNOWN_VERSION,
                        RETRY_AFTER_DEFAULT_US);
      return;
    }
  if (ca_service_stats (gateway, exchange->service->name)->reach.lost)
    {
      if (exchange->delegated)
        {
          exchange_give_up (gateway, exchange, CA_REFUSE_NO_ENDPOINT,
                            RETRY_AFTER_DEFAULT_US);
          return;
        }
      if (ca_delegation_start (gateway, exchange))
        return;
    }
  selection = ca_rollout_select (gateway, exchange);
  if (exchange_is_better_delegated (exchange, &selection)
      && ca_delegation_start (gateway, exchange))
    return;
  exchange_count_demand (
      gateway, exchange,
      selection.endpoint != NULL
          ? selection.prefill_tokens
          : exchange->prompt.tokens
                - ca_prompt_shared_tokens (&exchange->prompt));
  shed = ca_admission_check (gateway, exchange, &selection, &wait_us);
  if (shed != CA_REFUSE_COUNT)
    {
      exchange_refuse (gateway, exchange, shed, wait_us);
      return;
    }
  if (selection.endpoint != NULL)
    {
      if (selection.any_paced
          && exchange_is_overloaded (exchange, &selection, gateway->now_us))
        selection = ca_select_endpoint_unpaced (gateway, exchange);
      if (!ca_admission_is_most_urgent (gateway, exchange)
          && exchange_is_overloaded (exchange, &selection, gateway->now_us))
        {
          exchange_refuse (gateway, exchange, CA_REFUSE_OVERLOADED,
                           exchange_retry_after_us (exchange, &selection));
          return;
        }
      if (exchange->sends > 0
          && !ca_retry_budget_take (gateway, exchange->service->name,
                                    ca_exchange_goes_on (exchange)))
        {
          exchange_give_up (gateway, exchange, CA_REFUSE_OVERLOADED,
                            RETRY_AFTER_DEFAULT_US);
          return;
        }
      exchange_send (gateway, exchange, &selection);
      return;
    }
  if (exchange->phase != CA_EXCHANGE_WAITING)
    {
      exchange->phase = CA_EXCHANGE_WAITING;
      exchange->phase_us = gateway->now_us;
    }
  is_brittle = ca_brittle_applies (gateway, exchange->service->name);
  if (selection.any_limited && (is_brittle || !selection.any_open))
    exchange_wait_for_permit (gateway, exchange);
  else if (is_brittle && selection.any_open && !exchange->head_sent)
    exchange_give_up (gateway, exchange, CA_REFUSE_OVERLOADED,
                      RETRY_AFTER_DEFAULT_US);
  else if ((!selection.any_open && !selection.any_unverified
            && !exchange->head_sent)
           || gateway->now_us >= exchange_wait_until_us (exchange))
    {
      if (selection.any_unverified)
        ca_gateway_log (
            gateway, CA_EVENT_STREAM_UNVERIFIED, exchange->id,
            exchange->service->name,
            "stream of %s, version %08x: endpoints of it in doubt, "
            "%" PRIu64 " ms after the request came",
            exchange->resumes[0] == '\0' ? "this request" : exchange->resumes,
            (unsigned)exchange->version, exchange_age_ms (gateway, exchange));
      exchange_give_up (gateway, exchange, CA_REFUSE_NO_ENDPOINT,
                        exchange_resume_after_us (gateway, &selection));
    }
}

/* Adds the endpoint to those that the exchange avoids; when the list is full,
 * the first one is replaced. */
static void
exchange_avoid (ca_exchange_t *exchange, const ca_gateway_endpoint_t *endpoint)
{
  exchange->avoided[exchange->avoided_count % CA_EXCHANGE_AVOIDED_MAX]
      = endpoint->hash;
  if (exchange->avoided_count < CA_EXCHANGE_AVOIDED_MAX)
    exchange->avoided_count++;
}

/* Retries or gives up after an attempt without a response. */
static void
exchange_retry (ca_gateway_t *gateway, ca_exchange_t *exchange,
                bool may_have_run)
{
  bool retry = !may_have_run || exchange_is_repeatable (exchange);

  if (may_have_run
      && exchange->runs + exchange->prior_runs >= exchange->route->max_attempts)
    retry = false;
  if (exchange->connect_failures >= CONNECT_FAILURES_MAX
      || exchange->rejections >= REJECTIONS_MAX
      || (exchange->rejections > 0
          && ca_brittle_applies (gateway, exchange->service->name)))
    retry = false;
  exchange_release_endpoint (gateway, exchange);
  if (retry)
    {
      exchange_dispatch (gateway, exchange);
      return;
    }
  exchange_give_up (gateway, exchange,
                    may_have_run ? CA_REFUSE_LOST : CA_REFUSE_NO_ENDPOINT,
                    RETRY_AFTER_DEFAULT_US);
}

static void
exchange_log_failure (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                      const char *reason)
{
  ca_gateway_log (
      gateway, CA_EVENT_ATTEMPT_FAILED, exchange->id, exchange->endpoint->id,
      "%s: status %u, %" PRIu64 " ms after the send, last event %" PRIu64
      ", fingerprint %016" PRIx64,
      reason, exchange->facts.status,
      (gateway->now_us - exchange->sent_us) / CA_US_PER_MS,
      exchange->last_event, exchange->fingerprint);
}

/* Counts the first run of a request for usage reporting. */
static void
exchange_begin_run (ca_gateway_t *gateway, ca_exchange_t *exchange,
                    uint64_t at_us)
{
  if (exchange->run_begun)
    return;
  exchange->run_begun = true;
  /* The delegate counts it. */
  if (exchange->delegate == 0 && exchange->workspace != NULL)
    ca_usage_count (gateway, exchange->workspace->name, at_us);
}

/* Handles an attempt that may have run but brought no valid response, or not
 * all of it. */
static void
exchange_interrupted (ca_gateway_t *gateway, ca_exchange_t *exchange,
                      const char *reason)
{
  exchange_log_failure (gateway, exchange, reason);
  exchange->sends++;
  exchange->runs++;
  exchange_begin_run (gateway, exchange, exchange->sent_us);
  ca_crash_tracker_suspect (gateway, exchange, false);
  ca_gateway_endpoint_failed (exchange->endpoint, gateway->now_us, false);
  ca_endpoint_start_failed (gateway, exchange->endpoint);
  ca_slot_permits_ended (gateway, exchange->endpoint, false, true);
  exchange_avoid (exchange, exchange->endpoint);
  exchange_retry (gateway, exchange, true);
}

/* Handles a response that broke off: the endpoint's process may have ended.  A
 * whole response, valid or not, shows that it lives. */
static void
exchange_broken (ca_gateway_t *gateway, ca_exchange_t *exchange,
                 const char *reason)
{
  ca_endpoint_process_interrupted (gateway, exchange->endpoint);
  exchange_interrupted (gateway, exchange, reason);
}

/* Handles a report by the endpoint that it did not run the request. */
static void
exchange_rejected (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  ca_gateway_endpoint_t *endpoint = exchange->endpoint;

  exchange_log_failure (gateway, exchange, "endpoint did not run the request");
  exchange->sends++;
  exchange->rejections++;
  ca_counters_add (&gateway->counters, CA_COUNT_REJECTS, 1);
  if (exchange->facts.wrong_endpoint)
    {
      /* Another endpoint now has this address: the instance has ended. */
      endpoint->state = endpoint->state == CA_GATEWAY_ENDPOINT_GONE
                            ? CA_GATEWAY_ENDPOINT_GONE
                            : CA_GATEWAY_ENDPOINT_DRAINING;
    }
  else
    {
      endpoint->full_until_us = gateway->now_us + FULL_BACKOFF_US;
      ca_endpoint_start_failed (gateway, endpoint);
      ca_admission_note_rejection (gateway, exchange);
      ca_brittle_rejected (gateway, exchange);
      ca_slot_permits_ended (gateway, endpoint, true, false);
    }
  exchange_avoid (exchange, endpoint);
  exchange_retry (gateway, exchange, false);
}

/* Suspects a crash if the run that is given up has brought nothing for long:
 * the loss of a machine interrupts no connection. */
static void
exchange_suspect_silent (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  if (exchange->phase == CA_EXCHANGE_SENT
      && gateway->now_us - exchange->sent_us >= RUN_SILENT_US)
    ca_crash_tracker_suspect (gateway, exchange, true);
}

/* True if enough time is left before the deadline for another attempt. */
static bool
exchange_has_time (const ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  return exchange->deadline_us > gateway->now_us + ATTEMPT_MIN_US;
}

/* Ends the exchange with the complete response of an endpoint. */
static void
exchange_deliver (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  exchange_record_response (gateway, exchange);
  exchange_release_endpoint (gateway, exchange);
  gateway->ports.deliver (gateway->ports.context, exchange);
  exchange_free (gateway, exchange);
}

/* Handles a complete response that is not streamed. */
static void
exchange_plain_answer (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  const ca_answer_facts_t *facts = &exchange->facts;
  bool failed = facts->status >= 500;

  if (facts->not_run || facts->wrong_endpoint)
    {
      exchange_rejected (gateway, exchange);
      return;
    }
  if (!facts->is_signed || facts->encoded || exchange->head_sent)
    {
      exchange_interrupted (gateway, exchange,
                            facts->encoded ? "response has a content encoding"
                            : !facts->is_signed
                                ? "response lacks the endpoint's signature"
                                : "response does not continue the stream");
      return;
    }
  exchange->sends++;
  exchange->runs++;
  exchange_begin_run (gateway, exchange, exchange->sent_us);
  ca_rollout_outcome (gateway, exchange, CA_ROLLOUT_ANSWER);
  if (!failed)
    {
      ca_crash_tracker_completed (gateway, exchange);
      ca_gateway_endpoint_succeeded (exchange->endpoint,
                                     gateway->now_us - exchange->sent_us);
    }
  else
    {
      ca_gateway_endpoint_failed (exchange->endpoint, gateway->now_us, false);
      ca_endpoint_start_failed (gateway, exchange->endpoint);
    }
  if (failed && exchange_is_repeatable (exchange)
      && exchange->runs + exchange->prior_runs < exchange->route->max_attempts
      && exchange_has_time (gateway, exchange)
      && !exchange_is_blocked (gateway, exchange))
    {
      ca_selection_t selection;

      exchange_log_failure (gateway, exchange,
                            "endpoint returned a server error");
      exchange_avoid (exchange, exchange->endpoint);
      selection = ca_rollout_select (gateway, exchange);
      if (selection.endpoint != NULL
          && ca_retry_budget_take (gateway, exchange->service->name,
                                   ca_exchange_goes_on (exchange)))
        {
          exchange_release_endpoint (gateway, exchange);
          exchange_send (gateway, exchange, &selection);
          return;
        }
    }
  exchange_deliver (gateway, exchange);
}

/* True if the response is a stream whose events are to be forwarded. */
static bool
exchange_is_stream (const ca_answer_facts_t *facts)
{
  return facts->is_stream && facts->is_signed && !facts->encoded
         && facts->status == 200 && !facts->not_run;
}

bool
ca_exchange_head (ca_gateway_t *gateway, uint64_t now_us,
                  ca_exchange_t *exchange, const ca_answer_facts_t *facts)
{
  gateway->now_us = now_us;
  exchange->facts = *facts;
  exchange->facts.bad_limit = NULL;
  if (exchange->delegate != 0)
    return exchange_is_stream (facts);
  ca_reach_heard (gateway, exchange->endpoint);
  ca_endpoint_process_answered (gateway, exchange, facts);
  ca_endpoint_limit_observe (gateway, exchange, facts);
  ca_endpoint_notice_observe (gateway, exchange, facts);
  ca_brittle_observe (gateway, exchange, facts);
  return exchange_is_stream (facts);
}

/* Handles the first event of an attempt. */
static void
exchange_begin_stream (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  exchange->phase = CA_EXCHANGE_STREAMING;
  exchange->phase_us = gateway->now_us;
  exchange_begin_run (gateway, exchange, gateway->now_us);
  ca_counters_observe (&gateway->counters, CA_LATENCY_FIRST_TOKEN,
                       gateway->now_us - exchange->accepted_us);
  if (exchange->delegate != 0)
    {
      if (exchange->version == 0)
        exchange->version = exchange->facts.version;
      return;
    }
  ca_select_update_throughput (gateway, exchange);
  ca_rollout_outcome (gateway, exchange, CA_ROLLOUT_FIRST_EVENT);
  ca_interference_began (gateway, exchange);
  exchange->endpoint->own_load.unread_tokens -= exchange->unread_tokens;
  exchange->unread_tokens = 0;
  ca_gateway_endpoint_succeeded (exchange->endpoint, 0);
  ca_stream_versions_began (gateway, exchange);
}

bool
ca_exchange_event (ca_gateway_t *gateway, uint64_t now_us,
                   ca_exchange_t *exchange, bool has_id, uint64_t id)
{
  gateway->now_us = now_us;
  if (exchange->delegate == 0)
    ca_reach_heard (gateway, exchange->endpoint);
  if (exchange->phase == CA_EXCHANGE_SENT)
    exchange_begin_stream (gateway, exchange);
  if (has_id && exchange->has_event && id <= exchange->last_event)
    return false;
  if (has_id)
    {
      exchange->has_event = true;
      exchange->last_event = id;
    }
  if (!exchange->head_sent)
    {
      exchange->head_sent = true;
      gateway->ports.begin (gateway->ports.context, exchange);
    }
  return true;
}

/* Ends the exchange after a complete stream. */
static void
exchange_complete_stream (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  exchange->sends++;
  exchange->runs++;
  exchange_begin_run (gateway, exchange, exchange->sent_us);
  ca_crash_tracker_completed (gateway, exchange);
  ca_stream_versions_completed (gateway, exchange);
  exchange_record_response (gateway, exchange);
  exchange_release_endpoint (gateway, exchange);
  if (!exchange->head_sent)
    gateway->ports.begin (gateway->ports.context, exchange);
  gateway->ports.finish (gateway->ports.context, exchange);
  exchange_free (gateway, exchange);
}

/* Why an attempt brought no valid response. */
static const char *const exchange_end_reasons[] = {
  [CA_END_INTERRUPTED] = "response interrupted",
  [CA_END_MALFORMED] = "malformed response",
  [CA_END_EMBEDDED] = "another response begins within this one",
};

/* Handles the end of a streamed response. */
static void
exchange_stream_end (ca_gateway_t *gateway, ca_exchange_t *exchange,
                     ca_attempt_end_t end)
{
  if (end != CA_END_COMPLETE)
    {
      exchange_broken (gateway, exchange,
                       end == CA_END_EMBEDDED ? exchange_end_reasons[end]
                                              : "stream interrupted");
      return;
    }
  exchange_complete_stream (gateway, exchange);
}

/* Handles the end of an attempt at a delegate whose response is missing or not
 * an endpoint's, so that the request may have run. */
static void
exchange_delegate_interrupted (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  bool timed_out = exchange->facts.status == 504;

  ca_delegation_failed (gateway, exchange, "response interrupted");
  exchange->sends++;
  exchange->runs++;
  if (timed_out)
    exchange_give_up (gateway, exchange, CA_REFUSE_TIMEOUT, 0);
  else
    exchange_retry (gateway, exchange, true);
}

/* Handles the end of an attempt at a delegate.  An endpoint's response bears
 * its signature; others are the delegate's. */
static void
exchange_delegate_end (ca_gateway_t *gateway, ca_exchange_t *exchange,
                       ca_attempt_end_t end)
{
  const ca_answer_facts_t *facts = &exchange->facts;
  bool streams
      = exchange->phase == CA_EXCHANGE_STREAMING || exchange_is_stream (facts);

  if (end == CA_END_UNREACHABLE
      || (end == CA_END_COMPLETE && !streams && !facts->is_signed
          && facts->elsewhere))
    {
      ca_delegation_failed (gateway, exchange,
                            end == CA_END_UNREACHABLE ? "unreachable"
                                                      : "cannot serve it");
      exchange_dispatch (gateway, exchange);
      return;
    }
  if (end == CA_END_COMPLETE && streams)
    exchange_complete_stream (gateway, exchange);
  else if (end == CA_END_COMPLETE && facts->is_signed && !exchange->head_sent)
    {
      exchange->sends++;
      exchange->runs++;
      exchange_deliver (gateway, exchange);
    }
  else if (end == CA_END_COMPLETE && !facts->is_signed && facts->status == 503)
    exchange_give_up (gateway, exchange, CA_REFUSE_DELEGATE, facts->pause_us);
  else
    exchange_delegate_interrupted (gateway, exchange);
}

/* Handles the end of the attempt. */
static void
exchange_end (ca_gateway_t *gateway, ca_exchange_t *exchange,
              ca_attempt_end_t end)
{
  if (exchange->delegate != 0)
    {
      exchange_delegate_end (gateway, exchange, end);
      return;
    }
  if (end == CA_END_UNREACHABLE)
    {
      exchange_log_failure (gateway, exchange, "unreachable");
      exchange->connect_failures++;
      ca_gateway_endpoint_failed (exchange->endpoint, gateway->now_us, true);
      ca_endpoint_start_failed (gateway, exchange->endpoint);
      ca_slot_permits_ended (gateway, exchange->endpoint, false, true);
      ca_crash_tracker_unreachable (gateway, exchange->endpoint);
      ca_reach_failed (gateway, exchange->endpoint);
      exchange_avoid (exchange, exchange->endpoint);
      exchange_retry (gateway, exchange, false);
      return;
    }
  if (end == CA_END_MALFORMED || end == CA_END_EMBEDDED)
    ca_rollout_outcome (gateway, exchange, CA_ROLLOUT_MALFORMED);
  if (exchange->phase == CA_EXCHANGE_STREAMING
      || (end == CA_END_COMPLETE && exchange_is_stream (&exchange->facts)))
    {
      exchange_stream_end (gateway, exchange, end);
      return;
    }
  if (end == CA_END_COMPLETE)
    exchange_plain_answer (gateway, exchange);
  else
    exchange_broken (gateway, exchange, exchange_end_reasons[end]);
}

void
ca_exchange_end (ca_gateway_t *gateway, uint64_t now_us,
                 ca_exchange_t *exchange, ca_attempt_end_t end)
{
  gateway->now_us = now_us;
  exchange_end (gateway, exchange, end);
  ca_slot_permits_serve (gateway);
}

void
ca_exchange_caller_disconnected (ca_gateway_t *gateway, uint64_t now_us,
                                 ca_exchange_t *exchange)
{
  gateway->now_us = now_us;
  ca_gateway_log (gateway, CA_EVENT_CALLER_GONE, exchange->id,
                  exchange->endpoint == NULL ? NULL : exchange->endpoint->id,
                  "caller disconnected after %" PRIu64 " ms",
                  exchange_age_ms (gateway, exchange));
  if (exchange->endpoint != NULL)
    {
      if (exchange->phase == CA_EXCHANGE_SENT && !exchange->service->is_engine)
        exchange_begin_run (gateway, exchange, exchange->sent_us);
      exchange_suspect_silent (gateway, exchange);
      gateway->ports.cancel (gateway->ports.context, exchange);
    }
  else if (exchange->delegate != 0)
    gateway->ports.cancel (gateway->ports.context, exchange);
  exchange_release_endpoint (gateway, exchange);
  exchange_free (gateway, exchange);
  ca_slot_permits_serve (gateway);
}

/* Time limit of the request: the smaller of the caller's and the route's. */
static uint64_t
exchange_time_limit_us (const ca_exchange_t *exchange,
                        const ca_request_facts_t *facts)
{
  uint64_t limit_us = exchange->route->timeout_ms * CA_US_PER_MS;

  if (facts->wait_ms > 0 && facts->wait_ms * CA_US_PER_MS < limit_us)
    limit_us = facts->wait_ms * CA_US_PER_MS;
  return limit_us;
}

/* True if the entry is stopping and might end before the request does. */
static bool
exchange_exceeds_grace (const ca_gateway_t *gateway,
                        const ca_exchange_t *exchange,
                        const ca_request_facts_t *facts)
{
  uint64_t since_us = gateway->now_us - gateway->stop_us;

  if (!gateway->stopping)
    return false;
  if (exchange->route->kind == CA_ROUTE_STREAMING
      && since_us <= STOPPING_ACCEPT_STREAMS_US)
    return false;
  return since_us + exchange_time_limit_us (exchange, facts)
             + CA_GRACE_MARGIN_US
         > gateway->stop_grace_us;
}

uint64_t
ca_request_fingerprint (uint64_t content, const char *workspace)
{
  if (workspace == NULL)
    return content;
  return content ^ XXH3_64bits (workspace, strlen (workspace));
}

/* Hash by which a route that is split among services picks one. */
static uint64_t
exchange_split_hash (const ca_request_facts_t *facts)
{
  if (facts->key == NULL)
    return facts->fingerprint;
  return facts->fingerprint
         ^ XXH3_64bits_withSeed (facts->key, strlen (facts->key),
                                 SPLIT_KEY_SEED);
}

/* Takes the cost of a new request from the quota, or asks peers to lend it. */
static ca_gateway_refusal_t
exchange_check_quota (ca_gateway_t *gateway, ca_exchange_t *exchange,
                      uint64_t *wait_us)
{
  const ca_catalog_workspace_t *workspace = exchange->workspace;

  /* The peer that delegated a request has charged the quota. */
  if (exchange->delegated)
    exchange->cost = 0;
  if (workspace == NULL || exchange->delegated)
    return CA_REFUSE_COUNT;
  ca_quota_count_demand (gateway, workspace, exchange->cost);
  exchange->awaits_quota = !ca_quota_take (gateway, workspace, exchange->cost);
  if (!exchange->awaits_quota
      || ca_quota_loan_request (gateway, workspace, exchange->cost))
    return CA_REFUSE_COUNT;
  *wait_us = ca_quota_refuse (gateway, workspace, exchange->cost);
  return CA_REFUSE_QUOTA;
}

/* Checks whether the request is admitted.  Returns CA_REFUSE_COUNT if it is,
 * otherwise the reason for refusal; sets `wait_us` to the Retry-After time. */
static ca_gateway_refusal_t
exchange_check (ca_gateway_t *gateway, ca_exchange_t *exchange,
                const ca_request_facts_t *facts, uint64_t *wait_us)
{
  const ca_bounds_t *bounds = &gateway->options.bounds;
  uint64_t age_us
      = ca_freshness_age_us (&gateway->config_freshness, gateway->now_us);
  bool may_be_outdated = ca_state_sync_config_may_be_overdue (gateway);
  ca_gateway_refusal_t blocked;

  *wait_us = RETRY_AFTER_DEFAULT_US;
  if (gateway->catalog == NULL || !gateway->config_freshness.known)
    return CA_REFUSE_NO_CONFIGURATION;
  if (ca_state_sync_config_is_overdue (gateway))
    return CA_REFUSE_STALE;
  exchange->catalog = ca_catalog_ref (gateway->catalog);
  exchange->route
      = ca_catalog_find_route (exchange->catalog, facts->host, facts->path);
  if (exchange->route == NULL || exchange->route->target_count == 0)
    return may_be_outdated ? CA_REFUSE_STALE : CA_REFUSE_NO_ROUTE;
  if (exchange_exceeds_grace (gateway, exchange, facts))
    {
      *wait_us = 0;
      return CA_REFUSE_STOPPING;
    }
  exchange->service = &exchange->catalog->services[ca_route_pick_service (
      exchange->route, exchange_split_hash (facts))];
  if (!exchange->route->is_public && exchange->catalog->workspace_count > 0)
    {
      if (bounds->strict_revocation
          && (age_us + CA_VALIDATION_MARGIN_US
                  > bounds->revocation_ms * CA_US_PER_MS
              || ca_state_sync_may_be_restored (gateway)))
        return CA_REFUSE_STALE;
      if (facts->key != NULL)
        exchange->workspace
            = ca_catalog_find_workspace (exchange->catalog, facts->key);
      if (exchange->workspace == NULL)
        return may_be_outdated ? CA_REFUSE_STALE : CA_REFUSE_NO_KEY;
    }
  if (exchange->workspace != NULL)
    exchange->fingerprint = ca_request_fingerprint (facts->fingerprint,
                                                    exchange->workspace->name);
  blocked = ca_crash_tracker_check (gateway, exchange);
  if (blocked != CA_REFUSE_COUNT)
    {
      ca_counters_add (&gateway->counters, CA_COUNT_QUARANTINED, 1);
      *wait_us = RETRY_AFTER_QUARANTINE_US;
      return blocked;
    }
  exchange->cost = 1;
  if (exchange->workspace != NULL && exchange->workspace->by_tokens)
    exchange->cost = facts->has_cost
                         ? facts->prompt.tokens + facts->prompt.output_tokens
                         : exchange->workspace->default_cost;
  return exchange_check_quota (gateway, exchange, wait_us);
}

static void
exchange_count_request (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  ca_service_stats_t *stats
      = ca_service_stats (gateway, exchange->service->name);

  /* The peer that delegated it counts it for the retry budget. */
  if (!exchange->delegated)
    ca_window_add (&stats->requests, gateway->now_us, 1);
  ca_window_add (&stats->arrivals, gateway->now_us, 1);
}

ca_exchange_t *
ca_gateway_request (ca_gateway_t *gateway, uint64_t now_us,
                    const ca_request_facts_t *facts)
{
  ca_exchange_t *exchange = calloc (1, sizeof *exchange);
  uint64_t wait_us;
  ca_gateway_refusal_t refusal;

  gateway->now_us = now_us;
  strlcpy (exchange->id, facts->id, sizeof exchange->id);
  if (facts->resumes != NULL)
    {
      strlcpy (exchange->resumes, facts->resumes, sizeof exchange->resumes);
      ca_counters_add (&gateway->counters, CA_COUNT_STREAMS_TAKEN_UP, 1);
    }
  exchange->fingerprint = facts->fingerprint;
  exchange->prompt = facts->prompt;
  exchange->delegated = facts->delegated;
  exchange->prior_runs = facts->prior_runs;
  exchange->version = facts->version;
  exchange->adapter_data = facts->adapter_data;
  exchange->phase = CA_EXCHANGE_WAITING;
  exchange->accepted_us = now_us;
  exchange->phase_us = now_us;
  gateway->admitting = exchange;
  TAILQ_INSERT_TAIL (&gateway->exchanges, exchange, entries);
  gateway->open++;
  ca_counters_add (&gateway->counters, CA_COUNT_REQUESTS, 1);
  refusal = exchange_check (gateway, exchange, facts, &wait_us);
  if (refusal != CA_REFUSE_COUNT)
    {
      exchange_refuse (gateway, exchange, refusal, wait_us);
      return NULL;
    }
  exchange->deadline_us = now_us + exchange_time_limit_us (exchange, facts);
  exchange_count_request (gateway, exchange);
  exchange_dispatch (gateway, exchange);
  return gateway->admitting;
}

/* Ends an exchange before its response is complete: with `run_refusal` if an
 * attempt may have run, `refusal` if none has, or an incomplete stream. */
static void
exchange_cut (ca_gateway_t *gateway, ca_exchange_t *exchange,
              const char *reason, ca_gateway_refusal_t run_refusal,
              ca_gateway_refusal_t refusal)
{
  if (exchange->endpoint != NULL || exchange->delegate != 0)
    {
      exchange->sends++;
      exchange->runs++;
      if (exchange->endpoint != NULL)
        {
          exchange_begin_run (gateway, exchange, exchange->sent_us);
          exchange_suspect_silent (gateway, exchange);
        }
      gateway->ports.cancel (gateway->ports.context, exchange);
    }
  if (exchange->head_sent)
    exchange_abort (gateway, exchange, reason);
  else
    exchange_refuse (gateway, exchange,
                     exchange->runs > 0 ? run_refusal : refusal,
                     RETRY_AFTER_DEFAULT_US);
}

/* True if the endpoint leaves or is gone, and the request has not been sent
 * there yet. */
static bool
exchange_must_be_taken_back (const ca_gateway_t *gateway,
                             const ca_exchange_t *exchange)
{
  const ca_gateway_ports_t *ports = &gateway->ports;

  return exchange->endpoint != NULL
         && !ca_gateway_endpoint_is_open (exchange->endpoint)
         && ports->is_connecting != NULL
         && ports->is_connecting (ports->context, exchange);
}

void
ca_exchanges_tick (ca_gateway_t *gateway)
{
  ca_exchange_t *exchange = TAILQ_FIRST (&gateway->exchanges);

  while (exchange != NULL)
    {
      ca_exchange_t *next = TAILQ_NEXT (exchange, entries);

      if (gateway->now_us >= exchange->deadline_us)
        exchange_cut (gateway, exchange, "deadline passed", CA_REFUSE_TIMEOUT,
                      CA_REFUSE_EXPIRED);
      else if (exchange->phase == CA_EXCHANGE_WAITING)
        exchange_dispatch (gateway, exchange);
      else if (exchange_must_be_taken_back (gateway, exchange))
        {
          exchange_log_failure (gateway, exchange,
                                "endpoint leaves before the request was sent");
          gateway->ports.cancel (gateway->ports.context, exchange);
          exchange_retry (gateway, exchange, false);
        }
      exchange = next;
    }
}

void
ca_gateway_stop_end (ca_gateway_t *gateway, uint64_t now_us)
{
  ca_exchange_t *exchange;

  gateway->now_us = now_us;
  while ((exchange = TAILQ_FIRST (&gateway->exchanges)) != NULL)
    exchange_cut (gateway, exchange, "entry is stopping", CA_REFUSE_LOST,
                  CA_REFUSE_STOPPING);
}

void
ca_exchanges_dispatch_waiting (ca_gateway_t *gateway)
{
  ca_exchange_t *exchange = TAILQ_FIRST (&gateway->exchanges);

  while (exchange != NULL)
    {
      ca_exchange_t *next = TAILQ_NEXT (exchange, entries);

      if (exchange->phase == CA_EXCHANGE_WAITING)
        exchange_dispatch (gateway, exchange);
      exchange = next;
    }
}

void
ca_exchanges_suspect_replaced (ca_gateway_t *gateway,
                               const ca_gateway_endpoint_t *endpoint,
                               uint64_t started_ms)
{
  const ca_exchange_t *exchange;

  TAILQ_FOREACH (exchange, &gateway->exchanges, entries)
  {
    if (exchange->endpoint == endpoint
        && ca_gateway_is_before (gateway, exchange->sent_us, started_ms))
      ca_crash_tracker_suspect (gateway, exchange, false);
  }
}

void
ca_exchanges_give_up_stalled (ca_gateway_t *gateway, const char *service,
                              uint64_t since_us)
{
  ca_exchange_t *exchange = TAILQ_FIRST (&gateway->exchanges);

  while (exchange != NULL)
    {
      ca_exchange_t *next = TAILQ_NEXT (exchange, entries);

      if (exchange->endpoint != NULL && exchange->sent_us <= since_us
          && exchange->endpoint->connect_failed_us >= exchange->sent_us
          && strcmp (exchange->service->name, service) == 0
          && exchange_is_repeatable (exchange))
        {
          exchange_log_failure (gateway, exchange, "endpoints lost");
          gateway->ports.cancel (gateway->ports.context, exchange);
          exchange->sends++;
          exchange->runs++;
          exchange_begin_run (gateway, exchange, exchange->sent_us);
          exchange_retry (gateway, exchange, true);
        }
      exchange = next;
    }
}

void
ca_exchanges_finish (ca_gateway_t *gateway)
{
  while (!TAILQ_EMPTY (&gateway->exchanges))
    {
      ca_exchange_t *exchange = TAILQ_FIRST (&gateway->exchanges);

      exchange_release_endpoint (gateway, exchange);
      exchange_free (gateway, exchange);
    }
}
