/* Endpoints that fall over if they must reject too many requests in a second.
 *
 * They say so in their responses, with the number that they can bear.  Plain
 * endpoints then get requests at a rate that they can serve, kept by all
 * entries together like a limit that they name (endpoint_limit.c); of engines,
 * whose requests last longer, the slots are handed out (slot_permits.c).
 *
 * A statement holds for all endpoints of the service until a request that was
 * sent later is answered without it.  Entries report only what responses to
 * themselves say. */
#include "gateway/private.h"

#include <inttypes.h>
#include <string.h>

/* Part of its slots that a plain endpoint is kept busy with. */
#define BRITTLE_BUSY_SHARE 0.75

/* Latency assumed until one has been measured. */
#define BRITTLE_LATENCY_DEFAULT_US (100 * CA_US_PER_MS)

/* How long an entry stays away from a plain endpoint after a rejection, on
 * average. */
#define BRITTLE_PAUSE_US (500 * CA_US_PER_MS)

static ca_brittle_t *
brittle_of (ca_gateway_t *gateway, const char *service)
{
  return &ca_service_stats (gateway, service)->brittle;
}

static bool
brittle_holds (const ca_brittle_t *brittle)
{
  return brittle->known.named_us != 0
         && brittle->known.named_us >= brittle->known.lifted_us;
}

/* Merges a statement into what is known of the service, and logs a change. */
static void
brittle_apply (ca_gateway_t *gateway, const char *service,
               const ca_brittle_statement_t *statement, const char *source)
{
  ca_brittle_t *brittle = brittle_of (gateway, service);
  ca_gateway_endpoint_t *endpoint;
  bool held = brittle_holds (brittle);

  if (statement->named_us > brittle->known.named_us)
    {
      brittle->known.named_us = statement->named_us;
      brittle->known.limit = statement->limit;
    }
  if (statement->lifted_us > brittle->known.lifted_us)
    brittle->known.lifted_us = statement->lifted_us;
  if (brittle_holds (brittle) == held)
    return;
  if (held)
    {
      ca_gateway_log (gateway, CA_EVENT_ENDPOINTS_NOT_BRITTLE, NULL, service,
                      "named by %s", source);
      return;
    }
  ca_gateway_log (gateway, CA_EVENT_ENDPOINTS_BRITTLE, NULL, service,
                  "they bear %.1f rejections a second, named by %s",
                  brittle->known.limit, source);
  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (strcmp (endpoint->service, service) == 0)
        ca_brittle_listed (gateway, endpoint);
    }
}

void
ca_brittle_observe (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                    const ca_answer_facts_t *facts)
{
  ca_brittle_statement_t *own;

  if (!ca_endpoint_notice_is_genuine (facts))
    return;
  own = &brittle_of (gateway, exchange->service->name)->own;
  if (facts->is_brittle)
    {
      own->limit = facts->brittle_limit;
      own->named_us = gateway->now_us;
    }
  else if (exchange->sent_us > own->lifted_us)
    own->lifted_us = exchange->sent_us;
  brittle_apply (gateway, exchange->service->name, own, exchange->endpoint->id);
}

double
ca_brittle_rate_per_s (const ca_gateway_endpoint_t *endpoint)
{
  double latency_us = endpoint->latency_us > 0
                          ? endpoint->latency_us
                          : (double)BRITTLE_LATENCY_DEFAULT_US;

  return BRITTLE_BUSY_SHARE * (endpoint->slots > 0 ? endpoint->slots : 1)
         * CA_US_PER_S / latency_us;
}

bool
ca_brittle_applies (ca_gateway_t *gateway, const char *service)
{
  return brittle_holds (brittle_of (gateway, service));
}

double
ca_brittle_limit (ca_gateway_t *gateway, const char *service)
{
  return brittle_of (gateway, service)->known.limit;
}

/* The service in the current configuration; NULL if it is not there. */
static const ca_service_t *
brittle_find_service (const ca_gateway_t *gateway, const char *name)
{
  int32_t service = gateway->catalog == NULL
                        ? -1
                        : ca_catalog_find_service (gateway->catalog, name);

  return service < 0 ? NULL : &gateway->catalog->services[service];
}

bool
ca_brittle_needs_slots (ca_gateway_t *gateway, const char *name)
{
  const ca_service_t *service = brittle_find_service (gateway, name);

  return service != NULL && service->is_engine
         && ca_brittle_applies (gateway, name);
}

/* Age of the oldest heartbeat in which a live peer reported its load. */
static uint64_t
brittle_load_age_us (const ca_gateway_t *gateway)
{
  const ca_peer_t *peer;
  uint64_t age_us = 0;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer->loads_counted && gateway->now_us - peer->received_us > age_us)
        age_us = gateway->now_us - peer->received_us;
    }
  return age_us;
}

void
ca_brittle_rejected (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  ca_gateway_endpoint_t *endpoint = exchange->endpoint;

  if (!ca_brittle_applies (gateway, endpoint->service))
    return;
  ca_gateway_log (
      gateway, CA_EVENT_BRITTLE_REJECTION, exchange->id, endpoint->id,
      "%u of %u slots in use by this entry, %u by peers, known for "
      "up to %" PRIu64 " ms; the endpoint for %" PRIu64 " ms",
      endpoint->own_load.open, endpoint->slots, endpoint->peer_load.open,
      brittle_load_age_us (gateway) / CA_US_PER_MS,
      (gateway->now_us - endpoint->added_us) / CA_US_PER_MS);
  if (!exchange->service->is_engine)
    endpoint->full_until_us
        = gateway->now_us
          + (uint64_t)(BRITTLE_PAUSE_US * (0.5 + ca_gateway_random (gateway)));
}

size_t
ca_brittle_report (const ca_gateway_t *gateway, Camphor__BrittleService *rows,
                   size_t max)
{
  const ca_service_stats_t *stats;
  size_t count = 0;

  for (stats = gateway->services; stats != NULL && count < max;
       stats = stats->hh.next)
    {
      const ca_brittle_statement_t *own = &stats->brittle.own;

      if (own->named_us == 0)
        continue;
      camphor__brittle_service__init (&rows[count]);
      rows[count].service = stats->name;
      rows[count].limit = own->limit;
      rows[count].age_us = gateway->now_us - own->named_us;
      rows[count].lifted = own->lifted_us != 0;
      if (rows[count].lifted)
        rows[count].lifted_age_us = gateway->now_us - own->lifted_us;
      count++;
    }
  return count;
}

void
ca_brittle_merge (ca_gateway_t *gateway, const ca_peer_t *peer,
                  const Camphor__Pulse *heartbeat)
{
  uint64_t sent_us = ca_peers_local_time (peer, heartbeat->stamp_us);

  for (size_t i = 0; i < heartbeat->n_brittle; i++)
    {
      const Camphor__BrittleService *row = heartbeat->brittle[i];
      ca_brittle_statement_t statement = { .limit = row->limit };

      if (row->age_us < sent_us)
        statement.named_us = sent_us - row->age_us;
      if (row->lifted && row->lifted_age_us < sent_us)
        statement.lifted_us = sent_us - row->lifted_age_us;
      brittle_apply (gateway, row->service, &statement, peer->name);
    }
}

void
ca_brittle_listed (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint)
{
  const ca_brittle_t *brittle = brittle_of (gateway, endpoint->service);
  const ca_service_t *service
      = brittle_find_service (gateway, endpoint->service);

  if (endpoint->limit.known.named_us != 0 || !brittle_holds (brittle)
      || service == NULL || service->is_engine)
    return;
  endpoint->limit.known.named_us = brittle->known.named_us;
  endpoint->limit.known.per_s = ca_brittle_rate_per_s (endpoint);
  endpoint->limit.smooth = true;
}
