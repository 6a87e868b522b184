/* Limits that endpoints in need name for the requests of all entries together.
 *
 * A limit applies from the first response that names it until a request that
 * was sent later is answered without one.  While it applies, one entry
 * coordinates it: the one that all entries rank first for that endpoint among
 * those of its zone.  The coordinator sends the endpoint requests of its own,
 * and permits to send one request to entries that ask for them, out of one
 * token bucket; all others send nothing without a permit.  They ask when no
 * other endpoint can take a request, or when nothing has been heard of the
 * limit for a while.
 *
 * A coordinator uses the part of the limit that equals the part of the known
 * entries that it is in contact with: two of them, on either side of a cut,
 * do not exceed the limit together.  An entry that has just started does not
 * know the others yet and coordinates nothing. */
#include "gateway/private.h"

#include <math.h>
#include <string.h>

/* Tokens that the bucket holds: the requests of this long, at least one. */
#define LIMIT_BURST_S 0.25

/* The same for a brittle endpoint. */
#define LIMIT_SMOOTH_BURST 2.0

/* Smallest rate used.  Only a response shows that a limit has ended. */
#define LIMIT_RATE_MIN_PER_S 0.2

/* Interval at which the coordinator of a limit is determined anew. */
#define LIMIT_COORDINATOR_PERIOD_US (100 * CA_US_PER_MS)

/* How long entries report what they have observed of a limit. */
#define LIMIT_REPORT_US (10 * CA_US_PER_S)

/* Age of the latest statement, besides the delay of heartbeats, at which
 * entries that do not coordinate the limit ask for a permit to renew it. */
#define LIMIT_STALE_US (2 * CA_US_PER_S)

/* Average pause between the permit requests of all entries that are to renew
 * one stale limit. */
#define LIMIT_RENEWAL_US (250 * CA_US_PER_MS)

/* A permit may be used for this long after it was requested. */
#define PERMIT_VALID_US (1 * CA_US_PER_S)

/* The same for a brittle endpoint, at which permits that are kept would be used
 * together. */
#define PERMIT_SMOOTH_VALID_US (50 * CA_US_PER_MS)

/* A permit request without a response for this long has failed. */
#define PERMIT_TIMEOUT_US (100 * CA_US_PER_MS)

/* Time until the next permit request after one that failed, and the longest
 * time that a coordinator asks others to wait. */
#define PERMIT_RETRY_US (500 * CA_US_PER_MS)
#define PERMIT_WAIT_MAX_US (2 * CA_US_PER_S)

bool
ca_endpoint_limit_applies (const ca_gateway_endpoint_t *endpoint)
{
  const ca_limit_statement_t *known = &endpoint->limit.known;

  return known->named_us != 0 && known->named_us >= known->lifted_us;
}

/* Merges a statement into what is known of the limit, and logs a change.
 * `request` is NULL if a peer reported it. */
static void
limit_apply (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint,
             const ca_limit_statement_t *statement, const char *request,
             const char *source)
{
  ca_endpoint_limit_t *limit = &endpoint->limit;
  bool applied = ca_endpoint_limit_applies (endpoint);
  double former_per_s = limit->known.per_s;
  bool applies;

  if (statement->named_us > limit->known.named_us)
    {
      limit->known.named_us = statement->named_us;
      limit->known.per_s = statement->per_s;
    }
  if (statement->lifted_us > limit->known.lifted_us)
    limit->known.lifted_us = statement->lifted_us;
  applies = ca_endpoint_limit_applies (endpoint);
  if (applies && !applied)
    {
      limit->coordinates = false;
      limit->has_permit = false;
      limit->determined_us = 0;
    }
  if (applies
      && (!applied || (limit->known.per_s != former_per_s && !limit->smooth)))
    ca_gateway_log (gateway, CA_EVENT_ENDPOINT_LIMIT_NAMED, request,
                    endpoint->id, "%.2f requests per second, from %s",
                    limit->known.per_s, source);
  else if (applied && !applies)
    ca_gateway_log (gateway, CA_EVENT_ENDPOINT_LIMIT_LIFTED, request,
                    endpoint->id, "after %.2f requests per second, from %s",
                    limit->known.per_s, source);
}

/* True if the response is that of a brittle plain endpoint, which gets no more
 * than it can serve. */
static bool
limit_is_brittle (const ca_exchange_t *exchange, const ca_answer_facts_t *facts)
{
  return facts->is_brittle && !exchange->service->is_engine;
}

/* The limit that a response names or implies, the lower one of both. */
static double
limit_per_s (const ca_exchange_t *exchange, const ca_answer_facts_t *facts)
{
  double implied_per_s = ca_brittle_rate_per_s (exchange->endpoint);

  if (!limit_is_brittle (exchange, facts)
      || (facts->has_limit && facts->limit_per_s < implied_per_s))
    return facts->limit_per_s;
  return implied_per_s;
}

void
ca_endpoint_limit_observe (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                           const ca_answer_facts_t *facts)
{
  ca_gateway_endpoint_t *endpoint = exchange->endpoint;
  ca_limit_statement_t *own = &endpoint->limit.own;

  if (!ca_endpoint_notice_is_genuine (facts))
    return;
  if (facts->bad_limit != NULL)
    {
      ca_gateway_log (gateway, CA_EVENT_ENDPOINT_BAD_LIMIT, exchange->id,
                      endpoint->id, "\"%.64s\"", facts->bad_limit);
      return;
    }
  if (facts->has_limit || limit_is_brittle (exchange, facts))
    {
      own->per_s = limit_per_s (exchange, facts);
      own->named_us = gateway->now_us;
      endpoint->limit.smooth = limit_is_brittle (exchange, facts);
    }
  else if (exchange->sent_us > own->lifted_us)
    own->lifted_us = exchange->sent_us;
  limit_apply (gateway, endpoint, own, exchange->id, "its response");
}

/* Rate at which the coordinator uses the limit. */
static double
limit_rate_per_s (const ca_endpoint_limit_t *limit)
{
  double rate_per_s = limit->known.per_s * limit->share;

  return rate_per_s > LIMIT_RATE_MIN_PER_S ? rate_per_s : LIMIT_RATE_MIN_PER_S;
}

static void
limit_refill (const ca_gateway_t *gateway, ca_endpoint_limit_t *limit)
{
  double rate_per_s = limit_rate_per_s (limit);
  double depth
      = limit->smooth ? LIMIT_SMOOTH_BURST : rate_per_s * LIMIT_BURST_S;

  limit->tokens += rate_per_s * (double)(gateway->now_us - limit->filled_us)
                   / CA_US_PER_S;
  if (depth < 1)
    depth = 1;
  if (limit->tokens > depth)
    limit->tokens = depth;
  limit->filled_us = gateway->now_us;
}

/* Brings the coordinator and the tokens of a limit up to date.  An entry that
 * becomes the coordinator starts without tokens, since the former one may just
 * have used its own. */
static void
limit_update (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint)
{
  ca_endpoint_limit_t *limit = &endpoint->limit;

  if (limit->determined_us == 0
      || gateway->now_us - limit->determined_us >= LIMIT_COORDINATOR_PERIOD_US)
    {
      bool is_self;
      const ca_peer_t *peer = ca_peers_coordinator (
          gateway, endpoint->zone, ca_gateway_endpoint_instance (endpoint),
          &is_self, &limit->share);
      bool coordinates = is_self && ca_peers_are_known (gateway);

      if (coordinates && !limit->coordinates)
        {
          limit->tokens = 0;
          limit->filled_us = gateway->now_us;
          limit->denied = 0;
        }
      limit->coordinates = coordinates;
      limit->coordinator = peer == NULL ? 0 : peer->id;
      limit->determined_us = gateway->now_us;
    }
  if (limit->coordinates)
    limit_refill (gateway, limit);
}

static bool
limit_has_permit (const ca_gateway_t *gateway, const ca_endpoint_limit_t *limit)
{
  return limit->has_permit && gateway->now_us < limit->permit_until_us;
}

bool
ca_endpoint_limit_allows (ca_gateway_t *gateway,
                          ca_gateway_endpoint_t *endpoint)
{
  if (!ca_endpoint_limit_applies (endpoint))
    return true;
  limit_update (gateway, endpoint);
  return (endpoint->limit.coordinates && endpoint->limit.tokens >= 1)
         || limit_has_permit (gateway, &endpoint->limit);
}

void
ca_endpoint_limit_take (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint)
{
  if (!ca_endpoint_limit_applies (endpoint))
    return;
  ca_counters_add (&gateway->counters, CA_COUNT_LIMITED_ATTEMPTS, 1);
  if (limit_has_permit (gateway, &endpoint->limit))
    endpoint->limit.has_permit = false;
  else
    endpoint->limit.tokens--;
}

/* Fills in what this entry itself has observed. */
static void
limit_fill_row (const ca_gateway_t *gateway,
                const ca_gateway_endpoint_t *endpoint,
                Camphor__EndpointLimit *row)
{
  const ca_limit_statement_t *own = &endpoint->limit.own;

  camphor__endpoint_limit__init (row);
  row->instance = ca_gateway_endpoint_instance (endpoint);
  row->per_s = own->per_s;
  row->named = own->named_us != 0;
  if (row->named)
    row->named_age_us = gateway->now_us - own->named_us;
  row->lifted = own->lifted_us != 0;
  if (row->lifted)
    row->lifted_age_us = gateway->now_us - own->lifted_us;
}

/* Asks the limit's coordinator for a permit. */
static void
limit_request_permit (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint,
                      const ca_peer_t *coordinator)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__PermitWant want = CAMPHOR__PERMIT_WANT__INIT;
  Camphor__EndpointLimit row;

  endpoint->limit.requested_us = gateway->now_us;
  limit_fill_row (gateway, endpoint, &row);
  want.limit = &row;
  want.stamp_us = gateway->now_us;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_PERMIT_WANT;
  envelope.permit_want = &want;
  ca_peers_send (gateway, &coordinator->address, &envelope);
}

/* True while a response to a permit request is awaited. */
static bool
limit_is_requested (const ca_gateway_t *gateway, ca_endpoint_limit_t *limit)
{
  if (limit->requested_us == 0)
    return false;
  if (gateway->now_us - limit->requested_us < PERMIT_TIMEOUT_US)
    return true;
  limit->requested_us = 0;
  limit->next_request_us = gateway->now_us + PERMIT_RETRY_US;
  return false;
}

/* Time until the coordinator has a token. */
static uint64_t
limit_token_wait_us (const ca_endpoint_limit_t *limit)
{
  double missing = limit->tokens < 1 ? 1 - limit->tokens : 0;

  return (uint64_t)llround (missing / limit_rate_per_s (limit) * CA_US_PER_S);
}

/* Time until a permit may be requested; 0 if it may be now. */
static uint64_t
limit_request_wait_us (const ca_gateway_t *gateway,
                       const ca_endpoint_limit_t *limit)
{
  if (limit->coordinates)
    return limit_token_wait_us (limit);
  if (limit->coordinator == 0)
    return PERMIT_RETRY_US;
  return limit->next_request_us > gateway->now_us
             ? limit->next_request_us - gateway->now_us
             : 0;
}

bool
ca_endpoint_limits_request_permit (ca_gateway_t *gateway, const char *service,
                                   uint64_t *wait_us)
{
  ca_gateway_endpoint_t *chosen = NULL;
  ca_gateway_endpoint_t *endpoint;
  uint32_t candidates = 0;
  bool requested = false;

  *wait_us = PERMIT_WAIT_MAX_US;
  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      uint64_t endpoint_wait_us;

      if (!ca_gateway_endpoint_is_open (endpoint)
          || !ca_endpoint_limit_applies (endpoint)
          || strcmp (endpoint->service, service) != 0)
        continue;
      limit_update (gateway, endpoint);
      if (limit_is_requested (gateway, &endpoint->limit))
        {
          requested = true;
          continue;
        }
      endpoint_wait_us = limit_request_wait_us (gateway, &endpoint->limit);
      /* A permit would be of no use yet. */
      if (endpoint_wait_us == 0 && gateway->now_us < endpoint->full_until_us)
        endpoint_wait_us = endpoint->full_until_us - gateway->now_us;
      if (endpoint_wait_us < *wait_us)
        *wait_us = endpoint_wait_us;
      /* Each candidate is chosen with the same probability. */
      if (endpoint_wait_us == 0 && !endpoint->limit.coordinates
          && ca_gateway_random (gateway) * ++candidates < 1)
        chosen = endpoint;
    }
  if (requested || chosen == NULL)
    return requested;
  limit_request_permit (gateway, chosen,
                        ca_peers_find (gateway, chosen->limit.coordinator));
  return true;
}

/* True if nothing has been heard of the limit for too long, and this entry has
 * requests for the service. */
static bool
limit_is_stale (ca_gateway_t *gateway, const ca_gateway_endpoint_t *endpoint)
{
  return gateway->now_us - endpoint->limit.known.named_us
             > LIMIT_STALE_US + 2 * gateway->heartbeat_period_us
         && ca_service_requests_per_s (
                gateway, ca_service_stats (gateway, endpoint->service))
                > 0;
}

/* True if it is this entry's turn to renew a stale limit.  The turns of all
 * entries are spread at random. */
static bool
limit_is_renewal_due (ca_gateway_t *gateway, ca_endpoint_limit_t *limit)
{
  bool due = limit->next_renewal_us != 0
             && gateway->now_us >= limit->next_renewal_us;

  if (due || limit->next_renewal_us == 0)
    limit->next_renewal_us
        = gateway->now_us
          + (uint64_t)(2 * ca_gateway_random (gateway)
                       * (double)(LIMIT_RENEWAL_US
                                  * ca_peers_live_count (gateway)));
  return due;
}

void
ca_endpoint_limits_tick (ca_gateway_t *gateway)
{
  ca_gateway_endpoint_t *endpoint;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      ca_endpoint_limit_t *limit = &endpoint->limit;

      if (!ca_endpoint_limit_applies (endpoint)
          || !limit_is_stale (gateway, endpoint))
        {
          limit->next_renewal_us = 0;
          continue;
        }
      if (!limit_is_renewal_due (gateway, limit))
        continue;
      limit_update (gateway, endpoint);
      if (!limit->coordinates && !limit_has_permit (gateway, limit)
          && !limit_is_requested (gateway, limit)
          && limit_request_wait_us (gateway, limit) == 0)
        limit_request_permit (gateway, endpoint,
                              ca_peers_find (gateway, limit->coordinator));
    }
}

size_t
ca_endpoint_limits_report (const ca_gateway_t *gateway,
                           Camphor__EndpointLimit *rows, size_t max)
{
  const ca_gateway_endpoint_t *endpoint;
  uint64_t report_us = LIMIT_REPORT_US + 2 * gateway->heartbeat_period_us;
  size_t count = 0;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL && count < max;
       endpoint = endpoint->hh.next)
    {
      const ca_limit_statement_t *own = &endpoint->limit.own;
      uint64_t latest_us
          = own->named_us > own->lifted_us ? own->named_us : own->lifted_us;

      if (endpoint->limit.known.named_us == 0 || latest_us == 0
          || gateway->now_us - latest_us > report_us)
        continue;
      limit_fill_row (gateway, endpoint, &rows[count++]);
    }
  return count;
}

/* Merges a statement that a peer sent at `sent_us` on the local clock. */
static ca_gateway_endpoint_t *
limit_merge (ca_gateway_t *gateway, const Camphor__EndpointLimit *row,
             uint64_t sent_us, const char *peer)
{
  ca_gateway_endpoint_t *endpoint
      = ca_registry_find_instance (&gateway->registry, row->instance);
  ca_limit_statement_t statement = { .per_s = row->per_s };

  if (endpoint == NULL)
    return NULL;
  if (row->named && row->named_age_us < sent_us)
    statement.named_us = sent_us - row->named_age_us;
  if (row->lifted && row->lifted_age_us < sent_us)
    statement.lifted_us = sent_us - row->lifted_age_us;
  limit_apply (gateway, endpoint, &statement, NULL, peer);
  return endpoint;
}

void
ca_endpoint_limits_merge (ca_gateway_t *gateway, const ca_peer_t *peer,
                          const Camphor__Pulse *heartbeat)
{
  uint64_t sent_us = ca_peers_local_time (peer, heartbeat->stamp_us);

  for (size_t i = 0; i < heartbeat->n_limits; i++)
    limit_merge (gateway, heartbeat->limits[i], sent_us, peer->name);
}

/* Takes a token for a peer.  Without one, each further request adds to the
 * time that its sender is to wait, so that many entries do not ask at once. */
static bool
limit_grant (ca_endpoint_limit_t *limit, uint64_t *wait_us)
{
  if (!limit->coordinates)
    {
      *wait_us = PERMIT_RETRY_US;
      return false;
    }
  if (limit->tokens >= 1)
    {
      limit->tokens--;
      limit->denied = 0;
      return true;
    }
  *wait_us
      = limit_token_wait_us (limit)
        + (uint64_t)(limit->denied / limit_rate_per_s (limit) * CA_US_PER_S);
  limit->denied++;
  if (*wait_us > PERMIT_WAIT_MAX_US)
    *wait_us = PERMIT_WAIT_MAX_US;
  return false;
}

void
ca_endpoint_limit_answer_request (ca_gateway_t *gateway,
                                  const Camphor__Envelope *envelope)
{
  const Camphor__PermitWant *want = envelope->permit_want;
  const ca_peer_t *peer = ca_peers_find (gateway, envelope->from);
  Camphor__Envelope answer = CAMPHOR__ENVELOPE__INIT;
  Camphor__Permit permit = CAMPHOR__PERMIT__INIT;
  ca_gateway_endpoint_t *endpoint;

  if (peer == NULL || peer->received_us == 0 || want->limit == NULL)
    return;
  endpoint
      = limit_merge (gateway, want->limit,
                     ca_peers_local_time (peer, want->stamp_us), peer->name);
  permit.instance = want->limit->instance;
  permit.echo_us = want->stamp_us;
  permit.wait_us = PERMIT_RETRY_US;
  if (endpoint != NULL && ca_endpoint_limit_applies (endpoint))
    {
      limit_update (gateway, endpoint);
      permit.granted = limit_grant (&endpoint->limit, &permit.wait_us);
    }
  answer.body_case = CAMPHOR__ENVELOPE__BODY_PERMIT;
  answer.permit = &permit;
  ca_peers_send (gateway, &peer->address, &answer);
}

void
ca_endpoint_limit_apply_permit (ca_gateway_t *gateway,
                                const Camphor__Permit *permit)
{
  ca_gateway_endpoint_t *endpoint
      = ca_registry_find_instance (&gateway->registry, permit->instance);
  ca_endpoint_limit_t *limit;

  if (endpoint == NULL)
    return;
  limit = &endpoint->limit;
  limit->requested_us = 0;
  limit->next_request_us = gateway->now_us;
  if (permit->granted)
    {
      limit->has_permit = true;
      limit->permit_until_us
          = permit->echo_us
            + (limit->smooth ? PERMIT_SMOOTH_VALID_US : PERMIT_VALID_US);
    }
  else
    limit->next_request_us += permit->wait_us;
  ca_exchanges_dispatch_waiting (gateway);
}
