/* Lifecycle of a request at its coordinator, the entry that holds the caller's
 * connection: validation, slot requests to shard owners, delivery of tokens,
 * timeouts and completion. */
#include "core/private.h"
#include "core/tokens.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Time after which an owner that did not acknowledge a slot request is
 * skipped. */
#define SLOT_ACK_TIMEOUT_US (250 * CA_US_PER_MS)

/* Interval at which an acknowledged slot request is sent again.  It keeps the
 * request queued at the owner and registers it with a new owner. */
#define SLOT_REQUEST_PERIOD_US (1 * CA_US_PER_S)

/* Owners tried in one zone, by rank, before the next zone. */
#define SLOT_MAX_OWNERS 3

/* Delay before a started request that every zone rejected tries again. */
#define SLOT_RETRY_US (200 * CA_US_PER_MS)

/* Time that a disconnected caller has to reconnect before its idempotent
 * request is cancelled. */
#define CALLER_RETURN_TIMEOUT_US (10 * CA_US_PER_S)

/* Time that an ended request is kept if its caller disconnected or it was
 * handed over. */
#define ENDED_RETENTION_US (60 * CA_US_PER_S)

/* Time past the caller's deadline that a non-idempotent run may use to finish,
 * so that its answer can be stored under the idempotency key. */
#define DEADLINE_OVERRUN_US (600 * CA_US_PER_S)

/* Retries that each incoming request adds to the retry budget. */
#define RETRY_BUDGET_RATIO 0.1

/* Share of the first-token target that may be spent in the queue; the rest
 * covers prompt processing and network latency. */
#define QUEUE_SHARE_PERCENT 80

/* Retry-after times of refusals. */
#define NO_ENDPOINT_RETRY_US (1 * CA_US_PER_S)
#define NO_CONFIGURATION_RETRY_US (1 * CA_US_PER_S)
#define OVERLOADED_RETRY_US (1 * CA_US_PER_S)

/* --- Request table --- */

ca_request_t *
ca_request_find (const ca_core_t *core, uint64_t id)
{
  ca_request_t *request = NULL;

  HASH_FIND (hh, core->requests, &id, sizeof id, request);
  return request;
}

ca_request_t *
ca_request_new (ca_core_t *core, uint64_t id)
{
  ca_request_t *request = calloc (1, sizeof *request);

  request->id = id;
  request->accepted_us = core->now_us;
  request->phase = CA_PHASE_QUEUED;
  request->phase_since_us = core->now_us;
  request->attempt.request = id;
  ca_tokens_init (&request->tokens);
  HASH_ADD (hh, core->requests, id, sizeof request->id, request);
  core->active++;
  return request;
}

void
ca_request_free (ca_core_t *core, ca_request_t *request)
{
  if (request->phase != CA_PHASE_ENDED)
    core->active--;
  HASH_DEL (core->requests, request);
  ca_tokens_finish (&request->tokens);
  free (request->key);
  free (request->path);
  free (request->body);
  free (request);
}

void
ca_request_finish_all (ca_core_t *core)
{
  ca_request_t *request;
  ca_request_t *next;

  HASH_ITER (hh, core->requests, request, next)
  ca_request_free (core, request);
}

void
ca_request_set_phase (ca_core_t *core, ca_request_t *request, ca_phase_t phase)
{
  CA_INVARIANT (core, request->phase != CA_PHASE_ENDED,
                "the phase of an ended request does not change");
  request->phase = phase;
  request->phase_since_us = core->now_us;
  if (phase == CA_PHASE_ENDED)
    {
      CA_INVARIANT (core, core->active > 0,
                    "the count of active requests does not drop below zero");
      core->active--;
      request->ended_us = core->now_us;
    }
}

void
ca_request_exclude (ca_request_t *request, uint64_t endpoint)
{
  uint32_t slot = request->excluded_count % CA_MAX_EXCLUDED;

  for (uint32_t i = 0; i < CA_MAX_EXCLUDED && i < request->excluded_count; i++)
    {
      if (request->excluded[i] == endpoint)
        return;
    }
  request->excluded[slot] = endpoint;
  request->excluded_count++;
}

/* --- Slot requests --- */

/* Returns the k-th zone to try: this entry's own first, then the pool's other
 * zones with live entries.  The order of those depends on the request id, which
 * spreads the load.  NULL if there is none left. */
static const char *
request_zone (const ca_core_t *core, const ca_request_t *request, uint32_t k)
{
  const ca_pool_t *pool = ca_config_find_pool (&core->config, request->pool);
  const char *own = core->options.zone;
  uint32_t found = 0;
  uint32_t start;

  if (pool == NULL || pool->zone_count == 0)
    return NULL;
  for (uint32_t i = 0; i < pool->zone_count; i++)
    {
      if (strcmp (pool->zones[i].zone, own) == 0 && found++ == k)
        return own;
    }
  start = (uint32_t)(request->id % pool->zone_count);
  for (uint32_t i = 0; i < pool->zone_count; i++)
    {
      const char *zone = pool->zones[(start + i) % pool->zone_count].zone;

      if (strcmp (zone, own) == 0 || ca_member_live_count (core, zone) == 0)
        continue;
      if (found++ == k)
        return zone;
    }
  return NULL;
}

/* Maps prompts that share their first block to the same shard, so that its
 * owner can match cached prefixes. */
static uint32_t
request_shard (const ca_core_t *core, const ca_request_t *request,
               const uint64_t *prefix, uint32_t prefix_count)
{
  const ca_pool_t *pool = ca_config_find_pool (&core->config, request->pool);
  uint64_t hash = prefix_count > 0 ? prefix[0] : request->id;

  if (pool == NULL || pool->shards <= 1)
    return 0;
  return (uint32_t)(hash % pool->shards);
}

static bool
request_has_started (const ca_request_t *request)
{
  return request->starts > 0 || request->tokens.count > 0;
}

/* Time that the request may still wait in the queue: until it has spent the
 * queue's share of its first-token target, or until its deadline if it has
 * already started or the deadline is earlier. */
static uint64_t
request_wait_limit_us (const ca_core_t *core, const ca_request_t *request)
{
  uint64_t until_us = request->accepted_us
                      + request->first_token_us * QUEUE_SHARE_PERCENT / 100;

  if (request_has_started (request) || until_us > request->deadline_us)
    until_us = request->deadline_us;
  return until_us > core->now_us ? until_us - core->now_us : 0;
}

static void
request_send_slot_request (ca_core_t *core, ca_request_t *request,
                           uint64_t owner, const uint64_t *prefix,
                           uint32_t prefix_count, uint32_t shard)
{
  uint32_t excluded_count = request->excluded_count < CA_MAX_EXCLUDED
                                ? request->excluded_count
                                : CA_MAX_EXCLUDED;
  Camphor__Envelope envelope;
  Camphor__Ask ask = CAMPHOR__ASK__INIT;

  ask.request = request->id;
  ask.pool = request->pool;
  ask.shard = shard;
  ask.workspace = request->workspace;
  ask.class_name = request->class_name;
  ask.prompt_tokens = request->body_bytes / CA_BYTES_PER_TOKEN + 1;
  ask.max_tokens = request->max_tokens;
  ask.wait_limit_us = request_wait_limit_us (core, request);
  ask.n_prefix = prefix_count;
  ask.prefix = (uint64_t *)prefix;
  ask.n_excluded = excluded_count;
  ask.excluded = request->excluded;
  ask.alone = request->exclusive;
  ask.resumed = request_has_started (request);
  request->owner = owner;
  request->requested_us = core->now_us;
  ca_trace (core, CA_EVENT_REQUEST_ASKED, request, 0, "zone %s rank %u",
            request->zone, request->owner_rank);
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_ASK;
  envelope.ask = &ask;
  ca_peer_send (core, owner, &envelope);
}

/* Every zone rejected the request: refuses it, or schedules another round if
 * it has already started. */
static void
request_zones_exhausted (ca_core_t *core, ca_request_t *request)
{
  ca_error_kind_t kind = request->reject_kind;
  uint64_t retry_us = request->retry_after_us;

  if (request_has_started (request))
    {
      request->excluded_count = 0;
      ca_request_find_slot_at (core, request, core->now_us + SLOT_RETRY_US);
      return;
    }
  if (kind == CA_ERROR_NONE)
    kind = CA_ERROR_NO_ENDPOINT;
  if (retry_us == 0)
    retry_us = NO_ENDPOINT_RETRY_US;
  ca_request_refuse (core, request, kind, retry_us, "%s",
                     ca_error_info (kind)->remedy);
}

/* Sends the slot request to the next shard owner by rank, then by zone. */
static void
request_try_next_owner (ca_core_t *core, ca_request_t *request)
{
  uint64_t prefix[CA_PREFIX_MAX_BLOCKS];
  uint32_t prefix_count = 0;
  uint32_t shard;

  if (!request->service)
    prefix_count = ca_prefix_hash (request->body, request->body_bytes, prefix);
  shard = request_shard (core, request, prefix, prefix_count);
  for (;;)
    {
      const char *zone = request_zone (core, request, request->zones_tried);
      const ca_member_t *owner = NULL;

      if (zone == NULL)
        {
          request_zones_exhausted (core, request);
          return;
        }
      strlcpy (request->zone, zone, sizeof request->zone);
      if (request->owner_rank < SLOT_MAX_OWNERS)
        owner = ca_member_owner (core, zone, request->pool, shard,
                                 request->owner_rank);
      if (owner != NULL)
        {
          request_send_slot_request (core, request, owner->id, prefix,
                                     prefix_count, shard);
          return;
        }
      request->zones_tried++;
      request->owner_rank = 0;
    }
}

void
ca_request_find_slot (ca_core_t *core, ca_request_t *request)
{
  if (request->claim_shared)
    {
      ca_claim_reacquire (core, request);
      return;
    }
  if (ca_suspect_level (core, request->fingerprint) >= CA_QUARANTINED)
    {
      ca_request_refuse (
          core, request, CA_ERROR_QUARANTINED, 0,
          "endpoints crashed while they ran this request; change the request");
      return;
    }
  if (request->phase != CA_PHASE_QUEUED)
    ca_request_set_phase (core, request, CA_PHASE_QUEUED);
  request->zones_tried = 0;
  request->owner_rank = 0;
  request->acked_us = 0;
  request->retry_after_us = 0;
  request->reject_kind = CA_ERROR_NONE;
  request_try_next_owner (core, request);
}

void
ca_request_find_slot_at (ca_core_t *core, ca_request_t *request, uint64_t at_us)
{
  if (request->phase != CA_PHASE_QUEUED)
    ca_request_set_phase (core, request, CA_PHASE_QUEUED);
  request->owner = 0;
  request->slot_not_before_us = at_us;
}

void
ca_request_slot_ack (ca_core_t *core, const Camphor__Envelope *envelope)
{
  ca_request_t *request = ca_request_find (core, envelope->ask_ack->request);

  if (request == NULL || request->phase != CA_PHASE_QUEUED
      || request->owner != envelope->from)
    return;
  request->acked_us = core->now_us;
}

void
ca_request_reject (ca_core_t *core, const Camphor__Envelope *envelope)
{
  const Camphor__Reject *reject = envelope->reject;
  ca_request_t *request = ca_request_find (core, reject->request);

  if (request == NULL || request->phase != CA_PHASE_QUEUED
      || request->owner != envelope->from)
    return;
  request->acked_us = 0;
  if (reject->reason == CA_ERROR_NONE)
    {
      /* The owner is leaving: try the next one by rank. */
      request->owner_rank++;
      request_try_next_owner (core, request);
      return;
    }
  if (reject->retry_after_us > request->retry_after_us)
    request->retry_after_us = reject->retry_after_us;
  if (request->reject_kind != CA_ERROR_OVERLOADED)
    request->reject_kind = reject->reason == CA_ERROR_OVERLOADED
                               ? CA_ERROR_OVERLOADED
                               : CA_ERROR_NO_ENDPOINT;
  request->zones_tried++;
  request->owner_rank = 0;
  request_try_next_owner (core, request);
}

/* Returns an unused grant to its owner, or cancels the queued slot request if
 * `endpoint` is 0. */
static void
request_return_grant (ca_core_t *core, uint64_t request, uint64_t owner,
                      uint64_t endpoint)
{
  Camphor__Envelope envelope;
  Camphor__Release release = CAMPHOR__RELEASE__INIT;

  release.request = request;
  release.endpoint = endpoint;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_RELEASE;
  envelope.release = &release;
  ca_peer_send (core, owner, &envelope);
}

void
ca_request_grant (ca_core_t *core, const Camphor__Envelope *envelope)
{
  const Camphor__Grant *grant = envelope->grant;
  ca_request_t *request = ca_request_find (core, grant->request);

  if (request == NULL || request->phase != CA_PHASE_QUEUED)
    {
      /* A duplicate of the grant in use is ignored. */
      if (request == NULL || request->owner != envelope->from
          || request->attempt.endpoint != grant->endpoint)
        request_return_grant (core, grant->request, envelope->from,
                              grant->endpoint);
      return;
    }
  request->owner = envelope->from;
  if (request->claim_shared)
    {
      request_return_grant (core, grant->request, envelope->from,
                            grant->endpoint);
      ca_request_find_slot (core, request);
      return;
    }
  if (ca_endpoint_is_leaving (core, grant->endpoint, grant->boot))
    {
      request_return_grant (core, grant->request, envelope->from,
                            grant->endpoint);
      ca_request_exclude (request, grant->endpoint);
      request_try_next_owner (core, request);
      return;
    }
  request->attempt.endpoint = grant->endpoint;
  request->attempt.address.ip = grant->ip;
  request->attempt.address.port = (uint16_t)grant->port;
  request->boot = grant->boot;
  request->granted_us = core->now_us;
  ca_run_start (core, request);
}

/* Repeats the slot request, moves on from an owner that does not answer, and
 * starts over if the owner is not alive. */
static void
request_slot_tick (ca_core_t *core, ca_request_t *request)
{
  const ca_member_t *owner = ca_member_find (core, request->owner);
  uint64_t requested_us = core->now_us - request->requested_us;

  if (request->owner == 0)
    {
      if (core->now_us >= request->slot_not_before_us)
        ca_request_find_slot (core, request);
      return;
    }
  if (owner == NULL || owner->state != CA_MEMBER_ALIVE)
    {
      ca_request_find_slot (core, request);
      return;
    }
  if (request->acked_us == 0)
    {
      if (requested_us < SLOT_ACK_TIMEOUT_US)
        return;
      request->owner_rank++;
      request_try_next_owner (core, request);
      return;
    }
  if (core->now_us - request->acked_us >= SLOT_REQUEST_PERIOD_US)
    {
      request->acked_us = 0;
      request_try_next_owner (core, request);
    }
}

/* --- Delivery and end --- */

void
ca_request_deliver (ca_core_t *core, ca_request_t *request)
{
  if (!request->attached || !request->stream)
    return;
  while (request->delivered < request->tokens.count)
    {
      size_t bytes;
      const char *text
          = ca_tokens_get (&request->tokens, request->delivered, &bytes);

      core->ports.reply_token (core->ports.context, request->id,
                               request->delivered, text, bytes);
      request->delivered++;
    }
}

void
ca_request_send_end (ca_core_t *core, ca_request_t *request)
{
  ca_answer_t answer;

  ca_request_deliver (core, request);
  answer.text = request->tokens.text == NULL ? "" : request->tokens.text;
  answer.text_bytes = ca_tokens_bytes (&request->tokens);
  answer.tokens = request->tokens.count;
  answer.replayed = request->replayed;
  core->ports.reply_end (core->ports.context, request->id, &answer);
}

void
ca_request_end (ca_core_t *core, ca_request_t *request)
{
  ca_request_set_phase (core, request, CA_PHASE_ENDED);
  ca_counters_add (&core->counters, CA_COUNT_ANSWERED, 1);
  ca_counters_observe (&core->counters, CA_LATENCY_WHOLE_ANSWER,
                       core->now_us - request->accepted_us);
  ca_trace (core, CA_EVENT_REQUEST_ANSWERED, request, request->attempt.endpoint,
            "%u tokens in %u runs%s", request->tokens.count, request->starts,
            request->replayed ? ", replayed from the claim row" : "");
  if (request->attached)
    ca_request_send_end (core, request);
}

void
ca_request_complete (ca_core_t *core, ca_request_t *request)
{
  if (request->idempotent)
    {
      ca_request_end (core, request);
      return;
    }
  ca_request_set_phase (core, request, CA_PHASE_STORING);
  request->store_started_us = core->now_us;
  ca_claim_store_answer (core, request);
}

/* --- Admission --- */

/* Finds the request's workspace and class; refuses the request and returns
 * false if the configuration or its headers do not allow it. */
static bool
request_check (ca_core_t *core, const ca_request_spec_t *spec,
               const ca_workspace_t **workspace, const ca_class_t **class_row)
{
  if (core->config.revision == 0)
    {
      ca_refuse_spec (core, spec->id, CA_ERROR_NO_CONFIGURATION,
                      CA_OUTCOME_NOT_RUN, NO_CONFIGURATION_RETRY_US,
                      "this entry has no configuration yet; try again later");
      return false;
    }
  *workspace = ca_config_find_workspace (&core->config, spec->workspace);
  if (*workspace == NULL)
    {
      ca_refuse_spec (
          core, spec->id, CA_ERROR_UNKNOWN_WORKSPACE, CA_OUTCOME_NOT_RUN, 0,
          "no confirmed intent defines this workspace; check its name");
      return false;
    }
  *class_row = ca_config_find_class (&core->config, (*workspace)->team,
                                     spec->class_name);
  if (*class_row == NULL)
    {
      ca_refuse_spec (
          core, spec->id, CA_ERROR_UNKNOWN_CLASS, CA_OUTCOME_NOT_RUN, 0,
          "the workspace's intent does not define this request class");
      return false;
    }
  if ((!(*class_row)->idempotent || spec->non_idempotent) && spec->key == NULL)
    {
      ca_refuse_spec (
          core, spec->id, CA_ERROR_KEY_REQUIRED, CA_OUTCOME_NOT_RUN, 0,
          "a non-idempotent request needs an Idempotency-Key header");
      return false;
    }
  return true;
}

/* Hash that is equal for equal requests, used for quarantine and to detect a
 * key that is reused with a different body. */
static uint64_t
request_fingerprint (const ca_request_spec_t *spec)
{
  uint64_t hash
      = XXH64 (spec->workspace, strlen (spec->workspace), spec->max_tokens);

  hash = XXH64 (spec->class_name, strlen (spec->class_name), hash);
  if (spec->path != NULL)
    hash = XXH64 (spec->path, strlen (spec->path), hash);
  return XXH64 (spec->body, spec->body_bytes, hash);
}

static ca_request_t *
request_from_spec (ca_core_t *core, const ca_request_spec_t *spec,
                   const ca_class_t *class_row)
{
  const ca_pool_t *pool = ca_config_find_pool (&core->config, class_row->pool);
  ca_request_t *request = ca_request_new (core, spec->id);
  uint64_t limit_us = class_row->deadline_us;

  if (spec->deadline_us != 0 && spec->deadline_us < limit_us)
    limit_us = spec->deadline_us;
  strlcpy (request->workspace, spec->workspace, sizeof request->workspace);
  strlcpy (request->class_name, spec->class_name, sizeof request->class_name);
  strlcpy (request->pool, class_row->pool, sizeof request->pool);
  strlcpy (request->version, pool->version, sizeof request->version);
  request->key = spec->key == NULL ? NULL : strdup (spec->key);
  request->path = spec->path == NULL ? NULL : strdup (spec->path);
  request->body = malloc (spec->body_bytes + 1);
  memcpy (request->body, spec->body, spec->body_bytes);
  request->body[spec->body_bytes] = '\0';
  request->body_bytes = spec->body_bytes;
  request->fingerprint = request_fingerprint (spec);
  request->max_tokens = spec->max_tokens;
  request->priority = class_row->priority;
  request->service = pool->service;
  request->idempotent = class_row->idempotent && !spec->non_idempotent;
  request->stream = spec->stream;
  request->deadline_us = core->now_us + limit_us;
  request->first_token_us = class_row->first_token_us;
  request->attached = true;
  return request;
}

static void
request_begin (ca_core_t *core, ca_request_t *request)
{
  uint32_t level = ca_suspect_level (core, request->fingerprint);

  ca_trace (core, CA_EVENT_REQUEST_ACCEPTED, request, 0, "class %s",
            request->class_name);
  request->exclusive = level > 0;
  if (request->idempotent)
    ca_request_find_slot (core, request);
  else
    ca_claim_begin (core, request);
}

void
ca_core_request (ca_core_t *core, uint64_t now_us,
                 const ca_request_spec_t *spec)
{
  const ca_workspace_t *workspace;
  const ca_class_t *class_row;

  ca_core_begin_event (core, now_us);
  core->last_request_us = now_us;
  ca_counters_add (&core->counters, CA_COUNT_REQUESTS, 1);
  if (core->retry_tokens < CA_RETRY_BUDGET_MAX)
    core->retry_tokens += RETRY_BUDGET_RATIO;
  if (request_check (core, spec, &workspace, &class_row))
    {
      if (core->active >= core->options.max_requests)
        ca_refuse_spec (core, spec->id, CA_ERROR_OVERLOADED,
                        spec->key == NULL ? CA_OUTCOME_NOT_RUN
                                          : CA_OUTCOME_UNKNOWN,
                        OVERLOADED_RETRY_US,
                        "this entry has reached its limit of active requests");
      else
        request_begin (core, request_from_spec (core, spec, class_row));
    }
  ca_core_end_event (core);
}

void
ca_core_caller_disconnected (ca_core_t *core, uint64_t now_us, uint64_t id)
{
  ca_request_t *request = ca_request_find (core, id);

  ca_core_begin_event (core, now_us);
  if (request != NULL && request->attached)
    {
      request->attached = false;
      request->detached_us = now_us;
      ca_trace (core, CA_EVENT_CALLER_GONE, request, 0, "%u tokens delivered",
                request->delivered);
    }
  ca_core_end_event (core);
}

/* --- Timeouts --- */

/* Cancels the request's run, or its slot request at the shard owner. */
static void
request_withdraw (ca_core_t *core, ca_request_t *request)
{
  if (request->phase == CA_PHASE_RUNNING || request->phase == CA_PHASE_STOPPING)
    ca_run_cancel (core, request);
  else if (request->phase == CA_PHASE_QUEUED && request->owner != 0)
    request_return_grant (core, request->id, request->owner, 0);
}

/* Refuses the request at its deadline.  A non-idempotent run continues
 * without its caller, so that its answer can be stored under the idempotency
 * key. */
static void
request_deadline_passed (ca_core_t *core, ca_request_t *request)
{
  if (!request->idempotent && request->open_runs > 0)
    {
      if (request->attached)
        {
          ca_refuse_spec (core, request->id, CA_ERROR_DEADLINE,
                          CA_OUTCOME_UNKNOWN, CA_US_PER_S,
                          "the deadline passed and the request still runs; "
                          "send it again with the same key");
          request->attached = false;
          request->detached_us = core->now_us;
        }
      if (core->now_us < request->deadline_us + DEADLINE_OVERRUN_US)
        return;
    }
  request_withdraw (core, request);
  ca_request_refuse (core, request, CA_ERROR_DEADLINE, CA_US_PER_S, "%s",
                     ca_error_info (CA_ERROR_DEADLINE)->remedy);
}

/* Cancels an idempotent request whose caller did not reconnect in time. */
static void
request_abandon (ca_core_t *core, ca_request_t *request)
{
  request_withdraw (core, request);
  ca_request_refuse (core, request, CA_ERROR_DEADLINE, 0,
                     "the caller disconnected and did not return");
}

static void
request_tick_one (ca_core_t *core, ca_request_t *request)
{
  if (request->phase == CA_PHASE_ENDED)
    {
      bool resumable = request->handover_to != 0 || request->detached_us != 0;
      uint64_t retention_us = resumable ? ENDED_RETENTION_US : 0;

      if (core->now_us - request->ended_us >= retention_us)
        ca_request_free (core, request);
      return;
    }
  if (core->now_us >= request->deadline_us
      && request->phase != CA_PHASE_STORING)
    {
      request_deadline_passed (core, request);
      if (request->phase == CA_PHASE_ENDED)
        return;
    }
  if (!request->attached && request->idempotent
      && core->now_us - request->detached_us >= CALLER_RETURN_TIMEOUT_US)
    {
      request_abandon (core, request);
      return;
    }
  if (request->phase == CA_PHASE_QUEUED)
    request_slot_tick (core, request);
  else if (request->phase == CA_PHASE_RUNNING
           || request->phase == CA_PHASE_STOPPING)
    ca_run_tick (core, request);
  else
    ca_claim_tick (core, request);
}

void
ca_request_tick (ca_core_t *core)
{
  ca_request_t *request;
  ca_request_t *next;

  HASH_ITER (hh, core->requests, request, next)
  request_tick_one (core, request);
  ca_holds_tick (core);
}
