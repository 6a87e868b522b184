/* Scheduler of a shard owner: queues the slot requests of all coordinators and
 * grants slots at the shard's endpoints.
 *
 * Grants are soft state that coordinators renew periodically, so that a new
 * owner can rebuild them and a lost release is detected.  Two owners at the
 * same time overcommit an endpoint for a while; no guarantee depends on there
 * being a single owner. */
#include "core/private.h"

#include <stdlib.h>
#include <string.h>

/* Coordinators repeat a slot request every second; one that was not repeated
 * for this long is dropped. */
#define SLOT_REQUEST_EXPIRY_US (4 * CA_US_PER_S)

/* A grant that its coordinator did not renew for this long is dropped.
 * Coordinators renew more often than that, see holds.c. */
#define GRANT_EXPIRY_US (30 * CA_US_PER_S)

/* Service time assumed before the first release. */
#define SERVICE_TIME_INITIAL_US (100 * CA_US_PER_MS)

/* Minimum weight of one release in the smoothed service time. */
#define SERVICE_TIME_MIN_WEIGHT 0.1

#define RETRY_MIN_US (100 * CA_US_PER_MS)
#define RETRY_MAX_US (60 * CA_US_PER_S)

/* Largest gap between tokens that the latency target allows.  The concurrency
 * limit of an endpoint with larger gaps is lowered. */
#define TOKEN_GAP_TARGET_US (65 * CA_US_PER_MS)

/* Factor of one decrease of the limit, and the minimum time between two
 * decreases. */
#define LIMIT_DECREASE_FACTOR 0.8
#define LIMIT_DECREASE_PERIOD_US (1 * CA_US_PER_S)

/* Slot requests that may be skipped because no endpoint fits them yet. */
#define SCHED_MAX_SKIPPED 8

static ca_shard_t *
sched_find (const ca_core_t *core, const char *pool, uint32_t number)
{
  ca_shard_t *shard;

  TAILQ_FOREACH (shard, &core->shards, entries)
  {
    if (shard->number == number && strcmp (shard->pool, pool) == 0)
      return shard;
  }
  return NULL;
}

static ca_shard_t *
sched_get (ca_core_t *core, const char *pool, uint32_t number)
{
  ca_shard_t *shard = sched_find (core, pool, number);

  if (shard != NULL)
    return shard;
  shard = calloc (1, sizeof *shard);
  strlcpy (shard->pool, pool, sizeof shard->pool);
  shard->number = number;
  shard->service_time_us = SERVICE_TIME_INITIAL_US;
  TAILQ_INIT (&shard->queues);
  TAILQ_INSERT_TAIL (&core->shards, shard, entries);
  return shard;
}

bool
ca_sched_has_queued (const ca_core_t *core, const char *pool, uint32_t number)
{
  const ca_shard_t *shard = sched_find (core, pool, number);

  return shard != NULL && shard->queued > 0;
}

static void
sched_free_slot_request (ca_shard_t *shard, ca_slot_request_t *slot_request)
{
  ca_flow_remove (shard, slot_request);
  free (slot_request);
}

static void
sched_free_queue (ca_shard_t *shard, ca_class_queue_t *queue)
{
  ca_flow_t *flow;

  while ((flow = TAILQ_FIRST (&queue->flows)) != NULL)
    {
      while (!TAILQ_EMPTY (&flow->slot_requests))
        sched_free_slot_request (shard, TAILQ_FIRST (&flow->slot_requests));
      TAILQ_REMOVE (&queue->flows, flow, entries);
      free (flow);
    }
  TAILQ_REMOVE (&shard->queues, queue, entries);
  free (queue);
}

void
ca_sched_finish (ca_core_t *core)
{
  ca_shard_t *shard;

  while ((shard = TAILQ_FIRST (&core->shards)) != NULL)
    {
      ca_grant_t *grant;
      ca_grant_t *next;

      while (!TAILQ_EMPTY (&shard->queues))
        sched_free_queue (shard, TAILQ_FIRST (&shard->queues));
      HASH_ITER (hh, shard->grants, grant, next)
      {
        HASH_DEL (shard->grants, grant);
        free (grant);
      }
      TAILQ_REMOVE (&core->shards, shard, entries);
      free (shard);
    }
}

/* --- Messages to coordinators --- */

static void
sched_send_reject (ca_core_t *core, uint64_t coordinator, uint64_t request,
                   ca_error_kind_t reason, uint64_t retry_us)
{
  Camphor__Envelope envelope;
  Camphor__Reject reject = CAMPHOR__REJECT__INIT;

  reject.request = request;
  reject.reason = reason;
  reject.retry_after_us = retry_us;
  ca_counters_add (&core->counters, CA_COUNT_REJECTS, 1);
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_REJECT;
  envelope.reject = &reject;
  ca_peer_send (core, coordinator, &envelope);
}

static void
sched_send_ack (ca_core_t *core, uint64_t coordinator, uint64_t request,
                uint64_t wait_us)
{
  Camphor__Envelope envelope;
  Camphor__AskAck ack = CAMPHOR__ASK_ACK__INIT;

  ack.request = request;
  ack.wait_us = wait_us;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_ASK_ACK;
  envelope.ask_ack = &ack;
  ca_peer_send (core, coordinator, &envelope);
}

static void
sched_send_grant (ca_core_t *core, const ca_grant_t *grant,
                  uint64_t cached_tokens)
{
  const ca_endpoint_t *endpoint = ca_endpoint_find (core, grant->endpoint);
  Camphor__Envelope envelope;
  Camphor__Grant message = CAMPHOR__GRANT__INIT;

  message.request = grant->request;
  message.endpoint = endpoint->id;
  message.boot = endpoint->boot;
  message.ip = endpoint->address.ip;
  message.port = endpoint->address.port;
  message.cached_tokens = cached_tokens;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_GRANT;
  envelope.grant = &message;
  ca_peer_send (core, grant->coordinator, &envelope);
}

/* --- Estimates --- */

/* Sum of the concurrency limits of the shard's usable endpoints.  Sets
 * `any_candidate` if at least one endpoint is usable or may soon be. */
static double
sched_slots (const ca_core_t *core, const ca_shard_t *shard,
             bool *any_candidate)
{
  double slots = 0;
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  *any_candidate = false;
  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    if (!ca_endpoint_in_shard (core, endpoint, shard->pool, shard->number)
        || endpoint->state != CA_ENDPOINT_UP)
      continue;
    /* An endpoint that has not been probed yet may turn out healthy. */
    if (endpoint->failures == 0 && core->now_us >= endpoint->ejected_until_us)
      *any_candidate = true;
    if (ca_endpoint_usable (core, endpoint))
      slots += endpoint->limit;
  }
  return slots;
}

static uint32_t
sched_busy_slots (const ca_core_t *core, const ca_shard_t *shard)
{
  uint32_t busy = 0;
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    if (ca_endpoint_in_shard (core, endpoint, shard->pool, shard->number))
      busy += endpoint->in_flight;
  }
  return busy;
}

/* Number of queued slot requests that would be served before a new one of this
 * flow: all of its own, and those of other flows in proportion to their shares
 * and the weights of their classes. */
static double
sched_requests_ahead (const ca_shard_t *shard, const ca_flow_t *flow)
{
  const ca_class_queue_t *queue;
  double own = (double)flow->length + 1;
  double ahead = 0;

  TAILQ_FOREACH (queue, &shard->queues, entries)
  {
    double class_ratio
        = ((double)queue->priority + 1) / ((double)flow->queue->priority + 1);
    const ca_flow_t *other;

    TAILQ_FOREACH (other, &queue->flows, entries)
    {
      double fair = own * other->share / flow->share;

      if (other == flow)
        continue;
      if (queue != flow->queue)
        fair = own * class_ratio * class_ratio;
      ahead += fair < other->length ? fair : other->length;
    }
  }
  return ahead + flow->length;
}

/* Estimated time until a new slot request of the flow would be granted. */
static uint64_t
sched_wait_us (const ca_core_t *core, const ca_shard_t *shard,
               const ca_flow_t *flow)
{
  bool any_candidate;
  double slots = sched_slots (core, shard, &any_candidate);
  double free_slots = slots - sched_busy_slots (core, shard);
  double ahead = sched_requests_ahead (shard, flow);

  if (slots < 1)
    slots = 1;
  if (ahead < free_slots)
    return 0;
  return (uint64_t)((ahead + 1 - (free_slots > 0 ? free_slots : 0))
                    * shard->service_time_us / slots);
}

static uint64_t
sched_retry_us (ca_core_t *core, uint64_t wait_us, uint64_t limit_us)
{
  uint64_t retry_us = wait_us > limit_us ? wait_us - limit_us : 0;

  if (retry_us < RETRY_MIN_US)
    retry_us = RETRY_MIN_US;
  if (retry_us > RETRY_MAX_US)
    retry_us = RETRY_MAX_US;
  return retry_us + ca_random_below (core, retry_us / 2);
}

/* --- Grants --- */

static ca_grant_t *
sched_find_grant (const ca_shard_t *shard, uint64_t request)
{
  ca_grant_t *grant = NULL;

  HASH_FIND (hh, shard->grants, &request, sizeof request, grant);
  return grant;
}

static ca_grant_t *
sched_add_grant (ca_core_t *core, ca_shard_t *shard, uint64_t request,
                 uint64_t coordinator, ca_endpoint_t *endpoint)
{
  ca_grant_t *grant = calloc (1, sizeof *grant);

  grant->request = request;
  grant->coordinator = coordinator;
  grant->endpoint = endpoint->id;
  grant->granted_us = core->now_us;
  grant->renewed_us = core->now_us;
  endpoint->in_flight++;
  HASH_ADD (hh, shard->grants, request, sizeof grant->request, grant);
  return grant;
}

static void
sched_drop_grant (ca_core_t *core, ca_shard_t *shard, ca_grant_t *grant)
{
  ca_endpoint_t *endpoint = ca_endpoint_find (core, grant->endpoint);

  if (endpoint != NULL && endpoint->in_flight > 0)
    endpoint->in_flight--;
  if (endpoint != NULL && endpoint->exclusive_request == grant->request)
    endpoint->exclusive_request = 0;
  HASH_DEL (shard->grants, grant);
  free (grant);
}

static void
sched_grant (ca_core_t *core, ca_shard_t *shard,
             ca_slot_request_t *slot_request, ca_endpoint_t *endpoint,
             uint64_t cached_tokens)
{
  ca_grant_t *grant = sched_add_grant (core, shard, slot_request->request,
                                       slot_request->coordinator, endpoint);

  grant->cost = slot_request->cost;
  strlcpy (grant->workspace, slot_request->flow->workspace,
           sizeof grant->workspace);
  strlcpy (grant->class_name, slot_request->flow->queue->class_name,
           sizeof grant->class_name);
  if (slot_request->exclusive)
    {
      ca_choose_unreserve (core, slot_request->request);
      endpoint->exclusive_request = slot_request->request;
    }
  CA_INVARIANT (core, endpoint->state == CA_ENDPOINT_UP,
                "a leaving endpoint gets no grants");
  CA_INVARIANT (core, !slot_request->exclusive || endpoint->in_flight == 1,
                "a suspect request has its endpoint to itself");
  ca_prefix_index_add (&endpoint->prefixes, slot_request->prefix,
                       slot_request->prefix_count);
  ca_counters_add (&core->counters, CA_COUNT_GRANTS, 1);
  ca_counters_add (&core->counters, CA_COUNT_PREFIX_HIT_TOKENS, cached_tokens);
  ca_counters_observe (&core->counters, CA_LATENCY_QUEUE_WAIT,
                       core->now_us - slot_request->requested_us);
  ca_flow_charge (shard, slot_request->flow, (double)slot_request->cost);
  sched_send_grant (core, grant, cached_tokens);
  sched_free_slot_request (shard, slot_request);
}

static ca_slot_request_t *
sched_find_slot_request (const ca_shard_t *shard, uint64_t request)
{
  ca_slot_request_t *slot_request = NULL;

  HASH_FIND (hh, shard->slot_requests, &request, sizeof request, slot_request);
  return slot_request;
}

/* Grants reserved endpoints that are idle now, regardless of the position of
 * the slot request in the queue.  Drops a reservation whose slot request no
 * longer exists. */
static void
sched_serve_reserved (ca_core_t *core, ca_shard_t *shard)
{
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    ca_slot_request_t *slot_request;

    if (endpoint->exclusive_request == 0 || endpoint->in_flight > 0
        || !ca_endpoint_in_shard (core, endpoint, shard->pool, shard->number))
      continue;
    slot_request = sched_find_slot_request (shard, endpoint->exclusive_request);
    if (slot_request == NULL)
      endpoint->exclusive_request = 0;
    else if (ca_endpoint_usable (core, endpoint))
      sched_grant (core, shard, slot_request, endpoint, 0);
  }
}

/* Grants slots to queued slot requests while there are free ones. */
static void
sched_serve_queue (ca_core_t *core, ca_shard_t *shard)
{
  ca_slot_request_t *skip[SCHED_MAX_SKIPPED];
  size_t skipped = 0;

  sched_serve_reserved (core, shard);
  while (skipped < SCHED_MAX_SKIPPED)
    {
      ca_slot_request_t *slot_request = ca_flow_next (shard, skip, skipped);
      uint64_t cached_tokens = 0;
      ca_endpoint_t *endpoint;

      if (slot_request == NULL)
        return;
      endpoint = ca_choose_endpoint (core, shard, slot_request, &cached_tokens);
      if (endpoint != NULL)
        {
          sched_grant (core, shard, slot_request, endpoint, cached_tokens);
          continue;
        }
      if (slot_request->exclusive)
        ca_choose_reserve (core, shard, slot_request);
      else if (slot_request->excluded_count == 0)
        return;
      skip[skipped++] = slot_request;
    }
}

void
ca_sched_serve_endpoint (ca_core_t *core, const ca_endpoint_t *endpoint)
{
  ca_shard_t *shard
      = sched_find (core, endpoint->pool, ca_endpoint_shard (core, endpoint));

  if (shard != NULL && shard->queued > 0)
    sched_serve_queue (core, shard);
}

/* --- Slot requests --- */

static ca_slot_request_t *
sched_new_slot_request (ca_core_t *core, ca_flow_t *flow, uint64_t coordinator,
                        const Camphor__Ask *message)
{
  ca_slot_request_t *slot_request = calloc (1, sizeof *slot_request);

  slot_request->request = message->request;
  slot_request->coordinator = coordinator;
  slot_request->flow = flow;
  slot_request->prompt_tokens = message->prompt_tokens;
  slot_request->max_tokens = message->max_tokens;
  slot_request->requested_us = core->now_us;
  slot_request->received_us = core->now_us;
  slot_request->wait_limit_us = message->wait_limit_us;
  slot_request->cost = message->prompt_tokens + message->max_tokens;
  slot_request->exclusive = message->alone;
  slot_request->resumed = message->resumed;
  for (size_t i = 0; i < message->n_prefix && i < CA_PREFIX_MAX_BLOCKS; i++)
    slot_request->prefix[slot_request->prefix_count++] = message->prefix[i];
  for (size_t i = 0; i < message->n_excluded && i < CA_MAX_EXCLUDED; i++)
    slot_request->excluded[slot_request->excluded_count++]
        = message->excluded[i];
  return slot_request;
}

/* Handles a repeated slot request: sends its grant again or marks it as still
 * needed.  Returns false if it is a new one. */
static bool
sched_refresh_slot_request (ca_core_t *core, ca_shard_t *shard,
                            uint64_t coordinator, const Camphor__Ask *message)
{
  ca_grant_t *grant = sched_find_grant (shard, message->request);
  ca_slot_request_t *slot_request;

  if (grant != NULL && grant->coordinator == coordinator)
    {
      const ca_endpoint_t *endpoint = ca_endpoint_find (core, grant->endpoint);

      if (endpoint != NULL && ca_endpoint_usable (core, endpoint))
        {
          sched_send_grant (core, grant, 0);
          return true;
        }
    }
  if (grant != NULL)
    sched_drop_grant (core, shard, grant);
  slot_request = sched_find_slot_request (shard, message->request);
  if (slot_request == NULL)
    return false;
  slot_request->coordinator = coordinator;
  slot_request->received_us = core->now_us;
  if (slot_request->exclusive && !message->alone)
    {
      ca_choose_unreserve (core, slot_request->request);
      slot_request->exclusive = false;
    }
  sched_send_ack (core, coordinator, slot_request->request,
                  sched_wait_us (core, shard, slot_request->flow));
  return true;
}

void
ca_sched_slot_request (ca_core_t *core, const Camphor__Envelope *envelope)
{
  const Camphor__Ask *message = envelope->ask;
  uint64_t coordinator = envelope->from;
  ca_shard_t *shard = sched_get (core, message->pool, message->shard);
  uint64_t wait_us;
  ca_flow_t *flow;
  bool any_candidate;

  if (core->leaving && ca_member_live_count (core, core->options.zone) > 0)
    {
      sched_send_reject (core, coordinator, message->request, CA_ERROR_NONE, 0);
      return;
    }
  if (sched_refresh_slot_request (core, shard, coordinator, message))
    return;
  sched_slots (core, shard, &any_candidate);
  if (!any_candidate)
    {
      sched_send_reject (core, coordinator, message->request,
                         CA_ERROR_NO_ENDPOINT,
                         sched_retry_us (core, CA_US_PER_S, 0));
      return;
    }
  flow = ca_flow_find (core, shard, message->workspace, message->class_name);
  wait_us = sched_wait_us (core, shard, flow);
  if (wait_us > message->wait_limit_us)
    {
      sched_send_reject (
          core, coordinator, message->request, CA_ERROR_OVERLOADED,
          sched_retry_us (core, wait_us, message->wait_limit_us));
      return;
    }
  ca_flow_push (shard,
                sched_new_slot_request (core, flow, coordinator, message));
  sched_serve_queue (core, shard);
  if (sched_find_slot_request (shard, message->request) != NULL)
    sched_send_ack (core, coordinator, message->request, wait_us);
}

/* --- Releases --- */

/* Adapts the endpoint's concurrency limit: multiplicative decrease if tokens
 * arrive too slowly, additive increase otherwise. */
static void
sched_adapt_limit (ca_core_t *core, ca_endpoint_t *endpoint,
                   uint64_t token_gap_us)
{
  if (token_gap_us == 0)
    return;
  if (token_gap_us > TOKEN_GAP_TARGET_US)
    {
      if (core->now_us - endpoint->limit_changed_us < LIMIT_DECREASE_PERIOD_US)
        return;
      endpoint->limit_changed_us = core->now_us;
      endpoint->limit *= LIMIT_DECREASE_FACTOR;
      if (endpoint->limit < 1)
        endpoint->limit = 1;
      return;
    }
  /* Grow only if the released slot was the last free one. */
  if (endpoint->in_flight + 2 > endpoint->limit)
    endpoint->limit += 1.0 / endpoint->limit;
  if (endpoint->limit > endpoint->max_batch)
    endpoint->limit = endpoint->max_batch;
}

/* Updates the smoothed service time of the shard and corrects the flow's charge
 * to the tokens actually used. */
static void
sched_account_release (ca_core_t *core, ca_shard_t *shard,
                       const ca_grant_t *grant, uint64_t tokens)
{
  ca_flow_t *flow
      = ca_flow_find (core, shard, grant->workspace, grant->class_name);
  double held_us = (double)(core->now_us - grant->granted_us);
  double weight = 1.0 / ++shard->service_samples;

  /* The first releases replace the initial estimate. */
  if (weight < SERVICE_TIME_MIN_WEIGHT)
    weight = SERVICE_TIME_MIN_WEIGHT;
  shard->service_time_us += weight * (held_us - shard->service_time_us);
  ca_flow_charge (shard, flow, (double)tokens - (double)grant->cost);
}

/* Drops a slot request that its coordinator has cancelled. */
static void
sched_cancel_slot_request (ca_core_t *core, ca_shard_t *shard, uint64_t request)
{
  ca_slot_request_t *slot_request = sched_find_slot_request (shard, request);

  if (slot_request == NULL)
    return;
  ca_choose_unreserve (core, request);
  sched_free_slot_request (shard, slot_request);
}

void
ca_sched_release (ca_core_t *core, const Camphor__Envelope *envelope)
{
  const Camphor__Release *message = envelope->release;
  ca_shard_t *shard;

  TAILQ_FOREACH (shard, &core->shards, entries)
  {
    ca_grant_t *grant = sched_find_grant (shard, message->request);
    ca_endpoint_t *endpoint;

    if (message->endpoint == 0)
      sched_cancel_slot_request (core, shard, message->request);
    if (grant == NULL || grant->endpoint != message->endpoint)
      continue;
    endpoint = ca_endpoint_find (core, grant->endpoint);
    if (grant->workspace[0] != '\0')
      sched_account_release (core, shard, grant, message->tokens);
    sched_drop_grant (core, shard, grant);
    if (endpoint != NULL && message->result != 0)
      ca_endpoint_failed (core, endpoint);
    else if (endpoint != NULL)
      sched_adapt_limit (core, endpoint, message->token_gap_us);
    sched_serve_queue (core, shard);
    return;
  }
}

/* Renews a grant, or adds it if another owner made it or this one dropped
 * it. */
static void
sched_restore_grant (ca_core_t *core, uint64_t request, uint64_t coordinator,
                     uint64_t endpoint_id)
{
  ca_endpoint_t *endpoint = ca_endpoint_find (core, endpoint_id);
  ca_shard_t *shard;
  ca_grant_t *grant;

  if (endpoint == NULL || strcmp (endpoint->zone, core->options.zone) != 0)
    return;
  shard = sched_get (core, endpoint->pool, ca_endpoint_shard (core, endpoint));
  grant = sched_find_grant (shard, request);
  if (grant != NULL && grant->coordinator == coordinator)
    {
      grant->renewed_us = core->now_us;
      return;
    }
  if (grant != NULL)
    sched_drop_grant (core, shard, grant);
  sched_add_grant (core, shard, request, coordinator, endpoint);
}

void
ca_sched_holds (ca_core_t *core, const Camphor__Envelope *envelope)
{
  const Camphor__Holds *holds = envelope->holds;

  if (holds->n_requests != holds->n_endpoints)
    return;
  for (size_t i = 0; i < holds->n_requests; i++)
    sched_restore_grant (core, holds->requests[i], envelope->from,
                         holds->endpoints[i]);
}

/* --- Failed coordinators and timeouts --- */

/* Drops the slot requests and the grants of `coordinator`. */
static void
sched_drop_coordinator (ca_core_t *core, ca_shard_t *shard,
                        uint64_t coordinator)
{
  ca_class_queue_t *queue;
  ca_flow_t *flow;
  ca_grant_t *grant;
  ca_grant_t *next_grant;

  TAILQ_FOREACH (queue, &shard->queues, entries)
  TAILQ_FOREACH (flow, &queue->flows, entries)
  {
    ca_slot_request_t *slot_request = TAILQ_FIRST (&flow->slot_requests);

    while (slot_request != NULL)
      {
        ca_slot_request_t *next = TAILQ_NEXT (slot_request, entries);

        if (slot_request->coordinator == coordinator)
          {
            ca_choose_unreserve (core, slot_request->request);
            sched_free_slot_request (shard, slot_request);
          }
        slot_request = next;
      }
  }
  HASH_ITER (hh, shard->grants, grant, next_grant)
  {
    if (grant->coordinator == coordinator)
      sched_drop_grant (core, shard, grant);
  }
}

void
ca_sched_coordinator_dead (ca_core_t *core, uint64_t coordinator)
{
  ca_shard_t *shard;

  TAILQ_FOREACH (shard, &core->shards, entries)
  {
    sched_drop_coordinator (core, shard, coordinator);
    sched_serve_queue (core, shard);
  }
}

/* Drops a slot request that is past its wait limit, with a reject, or that its
 * coordinator no longer repeats. */
static void
sched_expire_slot_request (ca_core_t *core, ca_shard_t *shard,
                           ca_slot_request_t *slot_request)
{
  bool silent
      = core->now_us - slot_request->received_us >= SLOT_REQUEST_EXPIRY_US;
  bool late
      = core->now_us - slot_request->requested_us > slot_request->wait_limit_us;

  if (!silent && !late)
    return;
  ca_choose_unreserve (core, slot_request->request);
  if (!silent)
    sched_send_reject (
        core, slot_request->coordinator, slot_request->request,
        CA_ERROR_OVERLOADED,
        sched_retry_us (core, sched_wait_us (core, shard, slot_request->flow),
                        0));
  sched_free_slot_request (shard, slot_request);
}

static void
sched_expire_grants (ca_core_t *core, ca_shard_t *shard)
{
  ca_grant_t *grant;
  ca_grant_t *next;

  HASH_ITER (hh, shard->grants, grant, next)
  {
    if (core->now_us - grant->renewed_us >= GRANT_EXPIRY_US)
      sched_drop_grant (core, shard, grant);
  }
}

static void
sched_expire_slot_requests (ca_core_t *core, ca_shard_t *shard)
{
  ca_class_queue_t *queue;
  ca_flow_t *flow;

  TAILQ_FOREACH (queue, &shard->queues, entries)
  TAILQ_FOREACH (flow, &queue->flows, entries)
  {
    ca_slot_request_t *slot_request = TAILQ_FIRST (&flow->slot_requests);

    while (slot_request != NULL)
      {
        ca_slot_request_t *next = TAILQ_NEXT (slot_request, entries);

        sched_expire_slot_request (core, shard, slot_request);
        slot_request = next;
      }
  }
}

/* Rejects every queued slot request with `reason`. */
static void
sched_reject_all (ca_core_t *core, ca_shard_t *shard, ca_error_kind_t reason)
{
  ca_class_queue_t *queue;
  ca_flow_t *flow;

  TAILQ_FOREACH (queue, &shard->queues, entries)
  TAILQ_FOREACH (flow, &queue->flows, entries)
  {
    while (!TAILQ_EMPTY (&flow->slot_requests))
      {
        ca_slot_request_t *slot_request = TAILQ_FIRST (&flow->slot_requests);
        uint64_t retry_us = reason == CA_ERROR_NONE
                                ? 0
                                : sched_retry_us (core, CA_US_PER_S, 0);

        sched_send_reject (core, slot_request->coordinator,
                           slot_request->request, reason, retry_us);
        ca_choose_unreserve (core, slot_request->request);
        sched_free_slot_request (shard, slot_request);
      }
  }
}

void
ca_sched_tick (ca_core_t *core)
{
  ca_shard_t *shard;

  TAILQ_FOREACH (shard, &core->shards, entries)
  {
    bool any_candidate = true;

    sched_expire_slot_requests (core, shard);
    if (shard->queued > 0)
      sched_slots (core, shard, &any_candidate);
    /* The shard has no endpoint left, but other zones may have some. */
    if (!any_candidate)
      sched_reject_all (core, shard, CA_ERROR_NO_ENDPOINT);
    sched_expire_grants (core, shard);
    if (shard->queued > 0)
      sched_serve_queue (core, shard);
  }
}

void
ca_sched_return_queued (ca_core_t *core)
{
  ca_shard_t *shard;

  if (ca_member_live_count (core, core->options.zone) == 0)
    return;
  TAILQ_FOREACH (shard, &core->shards, entries)
  sched_reject_all (core, shard, CA_ERROR_NONE);
}
