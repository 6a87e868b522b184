/* Handover of requests from one coordinator to another.
 *
 * An entry whose VM is reclaimed, or whose planned stop reaches its time limit,
 * sends the whole state of each request to a peer, which reattaches to the
 * running run.  The caller reconnects to any entry with the request's id; if
 * that entry does not have the request, it asks its peers and takes the request
 * over in the same way. */
#include "core/private.h"
#include "core/tokens.h"

#include <stdlib.h>
#include <string.h>

#define HANDOVER_RETRY_US (200 * CA_US_PER_MS)

/* Candidates for a request, by rank, that are tried in turn. */
#define HANDOVER_MAX_PEERS 3

/* Time until a lookup that no peer answered fails. */
#define LOOKUP_TIMEOUT_US (1 * CA_US_PER_S)

/* Up to this number of members a lookup is sent to all of them. */
#define LOOKUP_BROADCAST_MAX_MEMBERS 32

/* --- Sending --- */

static void
handover_encode (const ca_core_t *core, const ca_request_t *request,
                 Camphor__HandOver *message, ProtobufCBinaryData *tokens)
{
  camphor__hand_over__init (message);
  message->request = request->id;
  message->workspace = (char *)request->workspace;
  message->class_name = (char *)request->class_name;
  message->key = request->key == NULL ? (char *)"" : request->key;
  message->body.data = (uint8_t *)request->body;
  message->body.len = request->body_bytes;
  message->max_tokens = request->max_tokens;
  message->stream = request->stream;
  if (request->deadline_us > core->now_us)
    message->deadline_left_us = request->deadline_us - core->now_us;
  for (uint32_t i = 0; i < request->tokens.count; i++)
    {
      size_t bytes;
      const char *text = ca_tokens_get (&request->tokens, i, &bytes);

      tokens[i].data = (uint8_t *)text;
      tokens[i].len = bytes;
    }
  message->n_tokens = request->tokens.count;
  message->tokens = tokens;
  message->run = request->attempt.run;
  message->leg = request->attempt.leg;
  message->endpoint = request->attempt.endpoint;
  message->endpoint_ip = request->attempt.address.ip;
  message->endpoint_port = request->attempt.address.port;
  message->endpoint_boot = request->boot;
  message->claimed = request->claimed;
  message->claim_version = request->claim_version;
  message->claim_nonce = (char *)request->nonce;
  message->phase = request->phase;
  message->starts = request->starts;
  message->open_runs = request->open_runs;
  message->run_first = request->run_first_token;
  message->owner = request->owner;
  message->idempotent = request->idempotent;
  message->fingerprint = request->fingerprint;
  message->path = request->path == NULL ? (char *)"" : request->path;
  message->refused = request->refused;
  message->refusal_kind = request->refusal_kind;
  message->refusal_outcome = request->refusal_outcome;
}

void
ca_handover_send (ca_core_t *core, ca_request_t *request, uint64_t to)
{
  ProtobufCBinaryData *tokens
      = calloc (request->tokens.count + 1, sizeof *tokens);
  Camphor__Envelope envelope;
  Camphor__HandOver message;

  handover_encode (core, request, &message, tokens);
  request->claim_shared = !request->idempotent;
  request->handover_to = to;
  request->handover_sent_us = core->now_us;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_HAND_OVER;
  envelope.hand_over = &message;
  ca_peer_send (core, to, &envelope);
  free (tokens);
}

/* The peer has taken the request over: drops it here. */
void
ca_handover_ack (ca_core_t *core, const Camphor__Envelope *envelope)
{
  ca_request_t *request
      = ca_request_find (core, envelope->hand_over_ack->request);

  if (request == NULL || request->handover_to != envelope->from)
    return;
  /* The request ended here before the acknowledgement arrived, and its caller
   * already has the end. */
  if (request->phase == CA_PHASE_ENDED && request->detached_us == 0)
    return;
  ca_counters_add (&core->counters, CA_COUNT_MOVED, 1);
  ca_trace (core, CA_EVENT_REQUEST_MOVED, request, request->attempt.endpoint,
            "token %u", request->tokens.count);
  if (request->phase == CA_PHASE_RUNNING || request->phase == CA_PHASE_STOPPING)
    core->ports.abandon (core->ports.context, &request->attempt);
  if (request->attached)
    core->ports.reply_moved (core->ports.context, request->id);
  ca_request_free (core, request);
}

/* False for a call that runs at a plain service, whose answer only comes over
 * this entry's connection, and while the claim row is being written, which this
 * entry must complete. */
static bool
handover_is_possible (const ca_request_t *request)
{
  if (request->phase == CA_PHASE_ENDED || request->phase == CA_PHASE_CLAIMING)
    return false;
  return !request->service || request->open_runs == 0;
}

void
ca_handover_tick (ca_core_t *core)
{
  ca_request_t *request;
  ca_request_t *next;
  ca_lookup_t *lookup;
  ca_lookup_t *next_lookup;

  HASH_ITER (hh, core->lookups, lookup, next_lookup)
  {
    uint64_t id = lookup->request;

    if (core->now_us - lookup->since_us < LOOKUP_TIMEOUT_US)
      continue;
    HASH_DEL (core->lookups, lookup);
    free (lookup);
    ca_refuse_spec (core, id, CA_ERROR_NOT_FOUND, CA_OUTCOME_UNKNOWN, 0,
                    "no entry has a request with this id");
  }
  if (!core->stopping || core->now_us < core->handover_at_us)
    return;
  HASH_ITER (hh, core->requests, request, next)
  {
    ca_member_t *peer;
    uint32_t rank;

    if (!handover_is_possible (request)
        || (request->handover_to != 0
            && core->now_us - request->handover_sent_us < HANDOVER_RETRY_US))
      continue;
    rank = request->handover_tries++ % HANDOVER_MAX_PEERS;
    peer = ca_member_handover_target (core, request->id, rank);
    if (peer != NULL)
      ca_handover_send (core, request, peer->id);
  }
}

/* --- Receiving --- */

static void
handover_send_ack (ca_core_t *core, uint64_t to, uint64_t request)
{
  Camphor__Envelope envelope;
  Camphor__HandOverAck ack = CAMPHOR__HAND_OVER_ACK__INIT;

  ack.request = request;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_HAND_OVER_ACK;
  envelope.hand_over_ack = &ack;
  ca_peer_send (core, to, &envelope);
}

static void
handover_copy (ca_core_t *core, ca_request_t *request,
               const Camphor__HandOver *message, const ca_class_t *class_row)
{
  const ca_pool_t *pool = ca_config_find_pool (&core->config, class_row->pool);

  strlcpy (request->workspace, message->workspace, sizeof request->workspace);
  strlcpy (request->class_name, message->class_name,
           sizeof request->class_name);
  strlcpy (request->pool, class_row->pool, sizeof request->pool);
  strlcpy (request->version, pool->version, sizeof request->version);
  request->key = message->key[0] == '\0' ? NULL : strdup (message->key);
  request->path = message->path[0] == '\0' ? NULL : strdup (message->path);
  request->body = strndup ((const char *)message->body.data, message->body.len);
  request->body_bytes = message->body.len;
  request->fingerprint = message->fingerprint;
  request->max_tokens = (uint32_t)message->max_tokens;
  request->priority = class_row->priority;
  request->service = pool->service;
  request->idempotent = message->idempotent;
  request->stream = message->stream;
  request->deadline_us = core->now_us + message->deadline_left_us;
  request->first_token_us = class_row->first_token_us;
  for (size_t i = 0; i < message->n_tokens; i++)
    ca_tokens_add (&request->tokens, (const char *)message->tokens[i].data,
                   message->tokens[i].len);
}

static void
handover_copy_run (ca_request_t *request, const Camphor__HandOver *message)
{
  request->attempt.run = message->run;
  request->attempt.leg = message->leg + 1;
  request->attempt.endpoint = message->endpoint;
  request->attempt.address.ip = message->endpoint_ip;
  request->attempt.address.port = (uint16_t)message->endpoint_port;
  request->boot = message->endpoint_boot;
  request->claimed = message->claimed;
  request->claim_version = message->claim_version;
  request->claim_shared = !message->idempotent;
  strlcpy (request->nonce, message->claim_nonce, sizeof request->nonce);
  request->starts = message->starts;
  request->open_runs = message->open_runs;
  request->run_first_token = message->run_first;
  request->owner = message->owner;
  request->refused = message->refused;
  request->refusal_kind = (ca_error_kind_t)message->refusal_kind;
  request->refusal_outcome = (ca_outcome_t)message->refusal_outcome;
}

/* Continues the request from the phase it was in at the sender. */
static void
handover_resume (ca_core_t *core, ca_request_t *request, ca_phase_t phase)
{
  switch (phase)
    {
    case CA_PHASE_CLAIMING:
    case CA_PHASE_QUEUED:
      ca_request_find_slot (core, request);
      break;
    case CA_PHASE_RUNNING:
      ca_request_set_phase (core, request, CA_PHASE_RUNNING);
      ca_run_reattach (core, request);
      break;
    case CA_PHASE_STOPPING:
      ca_run_stop (core, request, true);
      break;
    case CA_PHASE_STORING:
      ca_request_complete (core, request);
      break;
    case CA_PHASE_ENDED:
      ca_request_set_phase (core, request, CA_PHASE_ENDED);
      break;
    }
}

/* Attaches the waiting caller and delivers the tokens from index `from`, or the
 * end of the request. */
static void
handover_attach (ca_core_t *core, ca_request_t *request, uint32_t from,
                 bool stream)
{
  request->attached = true;
  request->stream = stream;
  request->delivered = from;
  if (request->phase != CA_PHASE_ENDED)
    {
      ca_request_deliver (core, request);
      return;
    }
  if (request->refused)
    {
      ca_request_resend_refusal (core, request);
      return;
    }
  ca_request_send_end (core, request);
}

/* Attaches the caller whose lookup waits for this request, if any. */
static void
handover_complete_lookup (ca_core_t *core, ca_request_t *request)
{
  ca_lookup_t *lookup = NULL;
  uint32_t from;
  bool stream;

  HASH_FIND (hh, core->lookups, &request->id, sizeof request->id, lookup);
  if (lookup == NULL)
    return;
  from = lookup->from;
  stream = lookup->stream;
  HASH_DEL (core->lookups, lookup);
  free (lookup);
  handover_attach (core, request, from, stream);
}

void
ca_handover_receive (ca_core_t *core, const Camphor__Envelope *envelope)
{
  const Camphor__HandOver *message = envelope->hand_over;
  const ca_workspace_t *workspace
      = ca_config_find_workspace (&core->config, message->workspace);
  const ca_class_t *class_row
      = workspace == NULL
            ? NULL
            : ca_config_find_class (&core->config, workspace->team,
                                    message->class_name);
  ca_request_t *request = ca_request_find (core, message->request);

  /* Without the request's class in the configuration this entry cannot serve
   * it; the sender then tries another peer. */
  if (class_row == NULL || message->phase > CA_PHASE_ENDED)
    return;
  if (request == NULL && core->stopping)
    return;
  if (request == NULL)
    {
      request = ca_request_new (core, message->request);
      handover_copy (core, request, message, class_row);
      handover_copy_run (request, message);
      request->detached_us = core->now_us;
      ca_counters_add (&core->counters, CA_COUNT_ADOPTED, 1);
      ca_trace (core, CA_EVENT_REQUEST_ADOPTED, request,
                request->attempt.endpoint, "token %u", request->tokens.count);
      handover_resume (core, request, (ca_phase_t)message->phase);
      handover_complete_lookup (core, request);
    }
  handover_send_ack (core, envelope->from, message->request);
}

/* --- Reconnecting callers --- */

static void
handover_send_find (ca_core_t *core, uint64_t to, uint64_t request)
{
  Camphor__Envelope envelope;
  Camphor__FindRequest find = CAMPHOR__FIND_REQUEST__INIT;

  find.request = request;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_FIND_REQUEST;
  envelope.find_request = &find;
  ca_peer_send (core, to, &envelope);
}

/* Asks peers for the request, while its caller waits here. */
static void
handover_start_lookup (ca_core_t *core, uint64_t request, uint32_t from,
                       bool stream)
{
  ca_lookup_t *lookup = calloc (1, sizeof *lookup);
  ca_member_t *member;
  ca_member_t *next;

  lookup->request = request;
  lookup->from = from;
  lookup->stream = stream;
  lookup->since_us = core->now_us;
  HASH_ADD (hh, core->lookups, request, sizeof lookup->request, lookup);
  if (HASH_COUNT (core->members) <= LOOKUP_BROADCAST_MAX_MEMBERS)
    {
      HASH_ITER (hh, core->members, member, next)
      {
        if (member->id != core->id && member->state != CA_MEMBER_DEAD)
          handover_send_find (core, member->id, request);
      }
      return;
    }
  for (uint32_t rank = 0; rank < HANDOVER_MAX_PEERS; rank++)
    {
      member = ca_member_handover_target (core, request, rank);
      if (member != NULL)
        handover_send_find (core, member->id, request);
    }
}

/* Hands the request over to the entry that looks for it, unless a caller is
 * still attached here. */
void
ca_handover_find (ca_core_t *core, const Camphor__Envelope *envelope)
{
  ca_request_t *request
      = ca_request_find (core, envelope->find_request->request);

  if (request == NULL || request->attached)
    return;
  if (request->phase != CA_PHASE_ENDED && !handover_is_possible (request))
    return;
  ca_handover_send (core, request, envelope->from);
}

void
ca_core_attach (ca_core_t *core, uint64_t now_us, uint64_t id, uint32_t from,
                bool stream)
{
  ca_request_t *request = ca_request_find (core, id);
  ca_lookup_t *lookup = NULL;

  ca_core_begin_event (core, now_us);
  HASH_FIND (hh, core->lookups, &id, sizeof id, lookup);
  if (request != NULL && !request->attached && from <= request->tokens.count)
    handover_attach (core, request, from, stream);
  else if (request != NULL || lookup != NULL)
    ca_refuse_spec (core, id, CA_ERROR_IN_PROGRESS, CA_OUTCOME_UNKNOWN,
                    CA_US_PER_S,
                    "another connection already reads this answer");
  else
    handover_start_lookup (core, id, from, stream);
  ca_core_end_event (core);
}

void
ca_handover_finish (ca_core_t *core)
{
  ca_lookup_t *lookup;
  ca_lookup_t *next;

  HASH_ITER (hh, core->lookups, lookup, next)
  {
    HASH_DEL (core->lookups, lookup);
    free (lookup);
  }
}
