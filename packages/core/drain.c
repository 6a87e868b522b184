/* Migrates running requests away from leaving endpoints.
 *
 * Requests that will finish in time stay.  The others are stopped with their
 * KV cache exported, those with the most tokens at risk first and a few at a
 * time, because the exports share the endpoint's bandwidth. */
#include "core/private.h"

/* Concurrent migrations of one coordinator from one endpoint. */
#define DRAIN_PARALLEL 4

/* A request stays if it will finish within the remaining notice divided by
 * this. */
#define DRAIN_NOTICE_DIVISOR 2

/* Notice assumed if the time of the reclaim is unknown. */
#define DRAIN_DEFAULT_NOTICE_US (2 * CA_US_PER_S)

/* Migrations started per tick, over all endpoints. */
#define DRAIN_MAX_PER_TICK 64

static uint64_t
drain_notice_left_us (const ca_core_t *core, const ca_endpoint_t *endpoint)
{
  uint64_t leaving_at_us = endpoint->leaving_at_us;

  if (leaving_at_us == 0)
    leaving_at_us = endpoint->state_since_us + DRAIN_DEFAULT_NOTICE_US;
  return leaving_at_us > core->now_us ? leaving_at_us - core->now_us : 0;
}

/* Time until the request finishes at its current token rate; UINT64_MAX if the
 * rate is unknown. */
static uint64_t
drain_remaining_us (const ca_core_t *core, const ca_request_t *request)
{
  uint32_t produced = request->tokens.count - request->run_first_token;
  uint32_t left = request->max_tokens - request->tokens.count;

  if (produced < 2 || request->max_tokens <= request->tokens.count)
    return UINT64_MAX;
  return (core->now_us - request->run_first_token_us) / (produced - 1) * left;
}

/* Tokens to compute again if the request's KV cache is lost. */
static uint64_t
drain_tokens_at_risk (const ca_request_t *request)
{
  return request->tokens.count + request->body_bytes / CA_BYTES_PER_TOKEN;
}

/* True if the request should be migrated now. */
static bool
drain_must_migrate (const ca_core_t *core, const ca_request_t *request)
{
  const ca_endpoint_t *endpoint;
  uint64_t left_us;

  if (request->phase != CA_PHASE_RUNNING || request->service)
    return false;
  if (!ca_endpoint_is_leaving (core, request->attempt.endpoint, request->boot))
    return false;
  endpoint = ca_endpoint_find (core, request->attempt.endpoint);
  if (endpoint->boot != request->boot)
    return false;
  left_us = drain_notice_left_us (core, endpoint);
  return drain_remaining_us (core, request) >= left_us / DRAIN_NOTICE_DIVISOR;
}

static uint32_t
drain_migrating_from (const ca_core_t *core, uint64_t endpoint)
{
  const ca_request_t *request;
  uint32_t count = 0;

  for (request = core->requests; request != NULL;
       request = (const ca_request_t *)request->hh.next)
    {
      if (request->phase == CA_PHASE_STOPPING && request->migrating
          && request->attempt.endpoint == endpoint)
        count++;
    }
  return count;
}

static ca_request_t *
drain_next (const ca_core_t *core)
{
  ca_request_t *best = NULL;
  ca_request_t *request;
  ca_request_t *next;

  HASH_ITER (hh, core->requests, request, next)
  {
    if (!drain_must_migrate (core, request)
        || drain_migrating_from (core, request->attempt.endpoint)
               >= DRAIN_PARALLEL)
      continue;
    if (best == NULL
        || drain_tokens_at_risk (request) > drain_tokens_at_risk (best))
      best = request;
  }
  return best;
}

static bool
drain_any_leaving (const ca_core_t *core)
{
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    if (endpoint->state == CA_ENDPOINT_LEAVING)
      return true;
  }
  return false;
}

void
ca_drain_tick (ca_core_t *core)
{
  if (!drain_any_leaving (core))
    return;
  for (int i = 0; i < DRAIN_MAX_PER_TICK; i++)
    {
      ca_request_t *request = drain_next (core);

      if (request == NULL)
        return;
      ca_run_stop (core, request, true);
    }
}
