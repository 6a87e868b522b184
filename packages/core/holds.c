/* Renews the grants that this coordinator holds at the current owners of their
 * shards, so that a new owner can rebuild them and a lost release is detected.
 * A Holds message lists all grants held from its receiver. */
#include "core/private.h"

#include <stdlib.h>

/* Period of the renewal.  It is shorter after a membership change, which may
 * have changed the owners. */
#define HOLDS_PERIOD_US (10 * CA_US_PER_S)
#define HOLDS_CHANGED_PERIOD_US (2 * CA_US_PER_S)

typedef struct
{
  uint64_t owner;
  uint64_t request;
  uint64_t endpoint;
} ca_held_grant_t;

static int
holds_compare (const void *a, const void *b)
{
  uint64_t left = ((const ca_held_grant_t *)a)->owner;
  uint64_t right = ((const ca_held_grant_t *)b)->owner;

  return left < right ? -1 : left > right;
}

static void
holds_send_group (ca_core_t *core, const ca_held_grant_t *holds, size_t count)
{
  uint64_t *requests = calloc (count, sizeof *requests);
  uint64_t *endpoints = calloc (count, sizeof *endpoints);
  Camphor__Envelope envelope;
  Camphor__Holds message = CAMPHOR__HOLDS__INIT;

  for (size_t i = 0; i < count; i++)
    {
      requests[i] = holds[i].request;
      endpoints[i] = holds[i].endpoint;
    }
  message.n_requests = count;
  message.requests = requests;
  message.n_endpoints = count;
  message.endpoints = endpoints;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_HOLDS;
  envelope.holds = &message;
  ca_peer_send (core, holds[0].owner, &envelope);
  free (requests);
  free (endpoints);
}

uint64_t
ca_holds_owner (const ca_core_t *core, const ca_request_t *request)
{
  const ca_endpoint_t *endpoint
      = ca_endpoint_find (core, request->attempt.endpoint);
  const ca_member_t *owner;

  if (endpoint == NULL)
    return request->owner;
  owner = ca_member_owner (core, endpoint->zone, endpoint->pool,
                           ca_endpoint_shard (core, endpoint), 0);
  return owner == NULL ? request->owner : owner->id;
}

static void
holds_send (ca_core_t *core)
{
  ca_held_grant_t *holds = calloc (core->active + 1, sizeof *holds);
  ca_request_t *request;
  ca_request_t *next;
  size_t count = 0;
  size_t start = 0;

  HASH_ITER (hh, core->requests, request, next)
  {
    if (request->phase != CA_PHASE_RUNNING
        && request->phase != CA_PHASE_STOPPING)
      continue;
    holds[count].owner = ca_holds_owner (core, request);
    holds[count].request = request->id;
    holds[count].endpoint = request->attempt.endpoint;
    count++;
  }
  qsort (holds, count, sizeof *holds, holds_compare);
  for (size_t i = 1; i <= count; i++)
    {
      if (i < count && holds[i].owner == holds[start].owner)
        continue;
      holds_send_group (core, &holds[start], i - start);
      start = i;
    }
  free (holds);
}

void
ca_holds_tick (ca_core_t *core)
{
  uint64_t period_us = core->holds_epoch == core->epoch
                           ? HOLDS_PERIOD_US
                           : HOLDS_CHANGED_PERIOD_US;

  if (core->now_us < core->holds_sent_us + period_us)
    return;
  core->holds_sent_us = core->now_us;
  core->holds_epoch = core->epoch;
  holds_send (core);
}
