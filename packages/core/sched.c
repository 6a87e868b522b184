/* Owner of a shard: queues the asks of all fronts, and grants slots at the
 * shard's endpoints.
 *
 * Grants are soft state: a front that holds one says so from time to time, so
 * a new owner learns them and a lost release is noticed.  Two owners at once
 * over-commit an endpoint for a while; no promise depends on there being
 * one. */
#include "core/private.h"

#include <stdlib.h>
#include <string.h>

/* A front repeats its ask every second; one silent for this long is gone. */
#define ASK_SILENT_US (4 * CA_US_PER_S)

/* A grant not named by its front for this long is dropped; fronts name all
 * that they hold more often (holds.c). */
#define GRANT_UNNAMED_US (30 * CA_US_PER_S)

#define SERVICE_FIRST_US (100 * CA_US_PER_MS)
#define SERVICE_SMOOTHING 0.1
#define RETRY_MIN_US (100 * CA_US_PER_MS)
#define RETRY_MAX_US (60 * CA_US_PER_S)

/* Gap between tokens that the latency target allows. */
#define TOKEN_GAP_TARGET_US (65 * CA_US_PER_MS)
#define LIMIT_LOWER 0.8
#define LIMIT_PERIOD_US (1 * CA_US_PER_S)

/* Asks that may be passed over because no endpoint suits them yet. */
#define SCHED_SKIPS 8

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
  shard->service_us = SERVICE_FIRST_US;
  TAILQ_INIT (&shard->queues);
  TAILQ_INSERT_TAIL (&core->shards, shard, entries);
  return shard;
}

bool
ca_sched_is_asked (const ca_core_t *core, const char *pool, uint32_t number)
{
  const ca_shard_t *shard = sched_find (core, pool, number);

  return shard != NULL && shard->queued > 0;
}

static void
sched_free_ask (ca_shard_t *shard, ca_ask_t *ask)
{
  ca_flow_remove (shard, ask);
  free (ask);
}

static void
sched_free_queue (ca_shard_t *shard, ca_class_queue_t *queue)
{
  ca_flow_t *flow;

  while ((flow = TAILQ_FIRST (&queue->flows)) != NULL)
    {
      while (!TAILQ_EMPTY (&flow->asks))
        sched_free_ask (shard, TAILQ_FIRST (&flow->asks));
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

/* --- Messages to fronts --- */

static void
sched_send_reject (ca_core_t *core, uint64_t front, uint64_t request,
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
  ca_peer_send (core, front, &envelope);
}

static void
sched_send_ack (ca_core_t *core, uint64_t front, uint64_t request,
                uint64_t wait_us)
{
  Camphor__Envelope envelope;
  Camphor__AskAck ack = CAMPHOR__ASK_ACK__INIT;

  ack.request = request;
  ack.wait_us = wait_us;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_ASK_ACK;
  envelope.ask_ack = &ack;
  ca_peer_send (core, front, &envelope);
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
  ca_peer_send (core, grant->front, &envelope);
}

/* --- Estimates --- */

/* Slots of the shard's endpoints; what is known to be leaving has none. */
static double
sched_slots (const ca_core_t *core, const ca_shard_t *shard, bool *any)
{
  double slots = 0;
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  *any = false;
  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    if (!ca_endpoint_in_shard (core, endpoint, shard->pool, shard->number)
        || endpoint->state != CA_ENDPOINT_UP)
      continue;
    /* One not probed yet may turn out healthy in a moment. */
    if (endpoint->failures == 0 && core->now_us >= endpoint->ejected_until_us)
      *any = true;
    if (ca_endpoint_usable (core, endpoint))
      slots += endpoint->limit;
  }
  return slots;
}

static uint32_t
sched_busy (const ca_core_t *core, const ca_shard_t *shard)
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

/* Asks of the shard that would be served before one more of this flow: its
 * own, and others' in the proportion of shares and of classes. */
static double
sched_ahead (const ca_shard_t *shard, const ca_flow_t *flow)
{
  const ca_class_queue_t *queue;
  double mine = (double)flow->length + 1;
  double ahead = 0;

  TAILQ_FOREACH (queue, &shard->queues, entries)
  {
    double class_ratio
        = ((double)queue->priority + 1) / ((double)flow->queue->priority + 1);
    const ca_flow_t *other;

    TAILQ_FOREACH (other, &queue->flows, entries)
    {
      double fair = mine * other->share / flow->share;

      if (other == flow)
        continue;
      if (queue != flow->queue)
        fair = mine * class_ratio * class_ratio;
      ahead += fair < other->length ? fair : other->length;
    }
  }
  return ahead + flow->length;
}

/* Time until one more ask of the flow would be granted. */
static uint64_t
sched_wait_us (const ca_core_t *core, const ca_shard_t *shard,
               const ca_flow_t *flow)
{
  bool any;
  double slots = sched_slots (core, shard, &any);
  double free_slots = slots - sched_busy (core, shard);
  double ahead = sched_ahead (shard, flow);

  if (slots < 1)
    slots = 1;
  if (ahead < free_slots)
    return 0;
  return (uint64_t)((ahead + 1 - (free_slots > 0 ? free_slots : 0))
                    * shard->service_us / slots);
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
                 uint64_t front, ca_endpoint_t *endpoint)
{
  ca_grant_t *grant = calloc (1, sizeof *grant);

  grant->request = request;
  grant->front = front;
  grant->endpoint = endpoint->id;
  grant->granted_us = core->now_us;
  grant->named_us = core->now_us;
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
  if (endpoint != NULL && endpoint->alone == grant->request)
    endpoint->alone = 0;
  HASH_DEL (shard->grants, grant);
  free (grant);
}

static void
sched_grant (ca_core_t *core, ca_shard_t *shard, ca_ask_t *ask,
             ca_endpoint_t *endpoint, uint64_t cached_tokens)
{
  ca_grant_t *grant
      = sched_add_grant (core, shard, ask->request, ask->front, endpoint);

  grant->cost = ask->cost;
  strlcpy (grant->workspace, ask->flow->workspace, sizeof grant->workspace);
  strlcpy (grant->class_name, ask->flow->queue->class_name,
           sizeof grant->class_name);
  if (ask->alone)
    {
      ca_choose_unreserve (core, ask->request);
      endpoint->alone = ask->request;
    }
  CA_INVARIANT (core, endpoint->state == CA_ENDPOINT_UP,
                "a leaving endpoint gets no grant");
  CA_INVARIANT (core, !ask->alone || endpoint->in_flight == 1,
                "a suspect runs alone");
  ca_prefix_index_add (&endpoint->prefixes, ask->prefix, ask->prefix_count);
  ca_counters_add (&core->counters, CA_COUNT_GRANTS, 1);
  ca_counters_add (&core->counters, CA_COUNT_PREFIX_HIT_TOKENS, cached_tokens);
  ca_counters_observe (&core->counters, CA_LATENCY_QUEUE_WAIT,
                       core->now_us - ask->asked_us);
  ca_flow_charge (shard, ask->flow, (double)ask->cost);
  sched_send_grant (core, grant, cached_tokens);
  sched_free_ask (shard, ask);
}

static ca_ask_t *
sched_find_ask (const ca_shard_t *shard, uint64_t request)
{
  ca_ask_t *ask = NULL;

  HASH_FIND (hh, shard->asks, &request, sizeof request, ask);
  return ask;
}

/* Grants endpoints that were kept free for one ask and are free now, wherever
 * that ask stands in the queue; a reservation whose ask is gone ends. */
static void
sched_serve_reserved (ca_core_t *core, ca_shard_t *shard)
{
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    ca_ask_t *ask;

    if (endpoint->alone == 0 || endpoint->in_flight > 0
        || !ca_endpoint_in_shard (core, endpoint, shard->pool, shard->number))
      continue;
    ask = sched_find_ask (shard, endpoint->alone);
    if (ask == NULL)
      endpoint->alone = 0;
    else if (ca_endpoint_usable (core, endpoint))
      sched_grant (core, shard, ask, endpoint, 0);
  }
}

/* Serves asks while there are slots. */
static void
sched_pump (ca_core_t *core, ca_shard_t *shard)
{
  ca_ask_t *skip[SCHED_SKIPS];
  size_t skipped = 0;

  sched_serve_reserved (core, shard);
  while (skipped < SCHED_SKIPS)
    {
      ca_ask_t *ask = ca_flow_next (shard, skip, skipped);
      uint64_t cached_tokens = 0;
      ca_endpoint_t *endpoint;

      if (ask == NULL)
        return;
      endpoint = ca_choose_endpoint (core, shard, ask, &cached_tokens);
      if (endpoint != NULL)
        {
          sched_grant (core, shard, ask, endpoint, cached_tokens);
          continue;
        }
      if (ask->alone)
        ca_choose_reserve (core, shard, ask);
      else if (ask->excluded_count == 0)
        return;
      skip[skipped++] = ask;
    }
}

void
ca_sched_pump_endpoint (ca_core_t *core, const ca_endpoint_t *endpoint)
{
  ca_shard_t *shard
      = sched_find (core, endpoint->pool, ca_endpoint_shard (core, endpoint));

  if (shard != NULL && shard->queued > 0)
    sched_pump (core, shard);
}

/* --- Asks --- */

static ca_ask_t *
sched_ask_new (ca_core_t *core, ca_flow_t *flow, uint64_t front,
               const Camphor__Ask *message)
{
  ca_ask_t *ask = calloc (1, sizeof *ask);

  ask->request = message->request;
  ask->front = front;
  ask->flow = flow;
  ask->prompt_tokens = message->prompt_tokens;
  ask->max_tokens = message->max_tokens;
  ask->asked_us = core->now_us;
  ask->heard_us = core->now_us;
  ask->wait_limit_us = message->wait_limit_us;
  ask->cost = message->prompt_tokens + message->max_tokens;
  ask->alone = message->alone;
  ask->resumed = message->resumed;
  for (size_t i = 0; i < message->n_prefix && i < CA_PREFIX_BLOCKS; i++)
    ask->prefix[ask->prefix_count++] = message->prefix[i];
  for (size_t i = 0; i < message->n_excluded && i < CA_EXCLUDED; i++)
    ask->excluded[ask->excluded_count++] = message->excluded[i];
  return ask;
}

/* A repeated ask: the front lives and still wants it.  True if it was one. */
static bool
sched_ask_again (ca_core_t *core, ca_shard_t *shard, uint64_t front,
                 const Camphor__Ask *message)
{
  ca_grant_t *grant = sched_find_grant (shard, message->request);
  ca_ask_t *ask;

  if (grant != NULL && grant->front == front)
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
  ask = sched_find_ask (shard, message->request);
  if (ask == NULL)
    return false;
  ask->front = front;
  ask->heard_us = core->now_us;
  if (ask->alone && !message->alone)
    {
      ca_choose_unreserve (core, ask->request);
      ask->alone = false;
    }
  sched_send_ack (core, front, ask->request,
                  sched_wait_us (core, shard, ask->flow));
  return true;
}

void
ca_sched_ask (ca_core_t *core, const Camphor__Envelope *envelope)
{
  const Camphor__Ask *message = envelope->ask;
  uint64_t front = envelope->from;
  ca_shard_t *shard = sched_get (core, message->pool, message->shard);
  uint64_t wait_us;
  ca_flow_t *flow;
  bool any;

  if (core->leaving && ca_member_live_count (core, core->options.zone) > 0)
    {
      sched_send_reject (core, front, message->request, CA_ERROR_NONE, 0);
      return;
    }
  if (sched_ask_again (core, shard, front, message))
    return;
  sched_slots (core, shard, &any);
  if (!any)
    {
      sched_send_reject (core, front, message->request, CA_ERROR_NO_ENDPOINT,
                         sched_retry_us (core, CA_US_PER_S, 0));
      return;
    }
  flow = ca_flow_find (core, shard, message->workspace, message->class_name);
  wait_us = sched_wait_us (core, shard, flow);
  if (wait_us > message->wait_limit_us)
    {
      sched_send_reject (
          core, front, message->request, CA_ERROR_OVERLOADED,
          sched_retry_us (core, wait_us, message->wait_limit_us));
      return;
    }
  ca_flow_push (shard, sched_ask_new (core, flow, front, message));
  sched_pump (core, shard);
  if (sched_find_ask (shard, message->request) != NULL)
    sched_send_ack (core, front, message->request, wait_us);
}

/* --- Releases --- */

/* Raises the limit while tokens come fast enough, lowers it when not. */
static void
sched_adapt_limit (ca_core_t *core, ca_endpoint_t *endpoint,
                   uint64_t token_gap_us)
{
  if (token_gap_us == 0)
    return;
  if (token_gap_us > TOKEN_GAP_TARGET_US)
    {
      if (core->now_us - endpoint->limit_changed_us < LIMIT_PERIOD_US)
        return;
      endpoint->limit_changed_us = core->now_us;
      endpoint->limit *= LIMIT_LOWER;
      if (endpoint->limit < 1)
        endpoint->limit = 1;
      return;
    }
  /* The slot just given back was the last one. */
  if (endpoint->in_flight + 2 > endpoint->limit)
    endpoint->limit += 1.0 / endpoint->limit;
  if (endpoint->limit > endpoint->max_batch)
    endpoint->limit = endpoint->max_batch;
}

static void
sched_settle (ca_core_t *core, ca_shard_t *shard, const ca_grant_t *grant,
              uint64_t tokens)
{
  ca_flow_t *flow
      = ca_flow_find (core, shard, grant->workspace, grant->class_name);
  double held_us = (double)(core->now_us - grant->granted_us);
  double weight = 1.0 / ++shard->served;

  /* The first ones replace what was assumed. */
  if (weight < SERVICE_SMOOTHING)
    weight = SERVICE_SMOOTHING;
  shard->service_us += weight * (held_us - shard->service_us);
  ca_flow_charge (shard, flow, (double)tokens - (double)grant->cost);
}

/* The front no longer wants what it asked for. */
static void
sched_forget_ask (ca_core_t *core, ca_shard_t *shard, uint64_t request)
{
  ca_ask_t *ask = sched_find_ask (shard, request);

  if (ask == NULL)
    return;
  ca_choose_unreserve (core, request);
  sched_free_ask (shard, ask);
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
      sched_forget_ask (core, shard, message->request);
    if (grant == NULL || grant->endpoint != message->endpoint)
      continue;
    endpoint = ca_endpoint_find (core, grant->endpoint);
    if (grant->workspace[0] != '\0')
      sched_settle (core, shard, grant, message->tokens);
    sched_drop_grant (core, shard, grant);
    if (endpoint != NULL && message->result != 0)
      ca_endpoint_failed (core, endpoint);
    else if (endpoint != NULL)
      sched_adapt_limit (core, endpoint, message->token_gap_us);
    sched_pump (core, shard);
    return;
  }
}

/* Takes a grant that another owner made, or that this one has forgotten. */
static void
sched_learn_grant (ca_core_t *core, uint64_t request, uint64_t front,
                   uint64_t endpoint_id)
{
  ca_endpoint_t *endpoint = ca_endpoint_find (core, endpoint_id);
  ca_shard_t *shard;
  ca_grant_t *grant;

  if (endpoint == NULL || strcmp (endpoint->zone, core->options.zone) != 0)
    return;
  shard = sched_get (core, endpoint->pool, ca_endpoint_shard (core, endpoint));
  grant = sched_find_grant (shard, request);
  if (grant != NULL && grant->front == front)
    {
      grant->named_us = core->now_us;
      return;
    }
  if (grant != NULL)
    sched_drop_grant (core, shard, grant);
  sched_add_grant (core, shard, request, front, endpoint);
}

void
ca_sched_holds (ca_core_t *core, const Camphor__Envelope *envelope)
{
  const Camphor__Holds *holds = envelope->holds;

  if (holds->n_requests != holds->n_endpoints)
    return;
  for (size_t i = 0; i < holds->n_requests; i++)
    sched_learn_grant (core, holds->requests[i], envelope->from,
                       holds->endpoints[i]);
}

/* --- Loss and time --- */

/* Drops what `front` asked for and holds. */
static void
sched_drop_front (ca_core_t *core, ca_shard_t *shard, uint64_t front)
{
  ca_class_queue_t *queue;
  ca_flow_t *flow;
  ca_grant_t *grant;
  ca_grant_t *next_grant;

  TAILQ_FOREACH (queue, &shard->queues, entries)
  TAILQ_FOREACH (flow, &queue->flows, entries)
  {
    ca_ask_t *ask = TAILQ_FIRST (&flow->asks);

    while (ask != NULL)
      {
        ca_ask_t *next = TAILQ_NEXT (ask, entries);

        if (ask->front == front)
          {
            ca_choose_unreserve (core, ask->request);
            sched_free_ask (shard, ask);
          }
        ask = next;
      }
  }
  HASH_ITER (hh, shard->grants, grant, next_grant)
  {
    if (grant->front == front)
      sched_drop_grant (core, shard, grant);
  }
}

void
ca_sched_front_dead (ca_core_t *core, uint64_t front)
{
  ca_shard_t *shard;

  TAILQ_FOREACH (shard, &core->shards, entries)
  {
    sched_drop_front (core, shard, front);
    sched_pump (core, shard);
  }
}

/* Answers what can no longer be served in time, at once. */
static void
sched_expire_ask (ca_core_t *core, ca_shard_t *shard, ca_ask_t *ask)
{
  bool silent = core->now_us - ask->heard_us >= ASK_SILENT_US;
  bool late = core->now_us - ask->asked_us > ask->wait_limit_us;

  if (!silent && !late)
    return;
  ca_choose_unreserve (core, ask->request);
  if (!silent)
    sched_send_reject (
        core, ask->front, ask->request, CA_ERROR_OVERLOADED,
        sched_retry_us (core, sched_wait_us (core, shard, ask->flow), 0));
  sched_free_ask (shard, ask);
}

static void
sched_expire_grants (ca_core_t *core, ca_shard_t *shard)
{
  ca_grant_t *grant;
  ca_grant_t *next;

  HASH_ITER (hh, shard->grants, grant, next)
  {
    if (core->now_us - grant->named_us >= GRANT_UNNAMED_US)
      sched_drop_grant (core, shard, grant);
  }
}

static void
sched_expire_asks (ca_core_t *core, ca_shard_t *shard)
{
  ca_class_queue_t *queue;
  ca_flow_t *flow;

  TAILQ_FOREACH (queue, &shard->queues, entries)
  TAILQ_FOREACH (flow, &queue->flows, entries)
  {
    ca_ask_t *ask = TAILQ_FIRST (&flow->asks);

    while (ask != NULL)
      {
        ca_ask_t *next = TAILQ_NEXT (ask, entries);

        sched_expire_ask (core, shard, ask);
        ask = next;
      }
  }
}

/* Rejects every queued ask with the same word. */
static void
sched_reject_all (ca_core_t *core, ca_shard_t *shard, ca_error_kind_t reason)
{
  ca_class_queue_t *queue;
  ca_flow_t *flow;

  TAILQ_FOREACH (queue, &shard->queues, entries)
  TAILQ_FOREACH (flow, &queue->flows, entries)
  {
    while (!TAILQ_EMPTY (&flow->asks))
      {
        ca_ask_t *ask = TAILQ_FIRST (&flow->asks);
        uint64_t retry_us = reason == CA_ERROR_NONE
                                ? 0
                                : sched_retry_us (core, CA_US_PER_S, 0);

        sched_send_reject (core, ask->front, ask->request, reason, retry_us);
        ca_choose_unreserve (core, ask->request);
        sched_free_ask (shard, ask);
      }
  }
}

void
ca_sched_tick (ca_core_t *core)
{
  ca_shard_t *shard;

  TAILQ_FOREACH (shard, &core->shards, entries)
  {
    bool any = true;

    sched_expire_asks (core, shard);
    if (shard->queued > 0)
      sched_slots (core, shard, &any);
    /* All its endpoints went: other zones may have some. */
    if (!any)
      sched_reject_all (core, shard, CA_ERROR_NO_ENDPOINT);
    sched_expire_grants (core, shard);
    if (shard->queued > 0)
      sched_pump (core, shard);
  }
}

void
ca_sched_leave (ca_core_t *core)
{
  ca_shard_t *shard;

  if (ca_member_live_count (core, core->options.zone) == 0)
    return;
  TAILQ_FOREACH (shard, &core->shards, entries)
  sched_reject_all (core, shard, CA_ERROR_NONE);
}
