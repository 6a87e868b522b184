/* Endpoints that fall over if they must reject too many requests in a second.
 *
 * They say so in their responses, with the number that they can bear.  Plain
 * endpoints then get requests at a rate that they can serve, kept by all
 * entries together like a limit that they name (endpoint_limit.c).  Requests at
 * engines last longer than the interval of heartbeats, so entries know of each
 * other's, and send an engine no more than it has slots for.  An entry that was
 * rejected stays away for as long as keeps the rejections of all entries within
 * the number that an endpoint can bear. */
#include "gateway/private.h"

#include <inttypes.h>
#include <string.h>

/* A statement holds for this long after it was last made. */
#define BRITTLE_RETENTION_US (5 * CA_US_PER_S)

/* Part of its slots that a plain endpoint is kept busy with. */
#define BRITTLE_BUSY_SHARE 0.75

/* Latency assumed until one has been measured. */
#define BRITTLE_LATENCY_DEFAULT_US (100 * CA_US_PER_MS)

/* Requests of one entry at an engine, as a multiple of its even share of the
 * slots; one is always allowed. */
#define BRITTLE_SHARE_FACTOR 2.0

/* Part of the rejections that an endpoint can bear which entries may cause. */
#define BRITTLE_REJECTIONS_USED 0.5

/* Bounds of the time for which an entry stays away after a rejection. */
#define BRITTLE_PAUSE_MIN_US (500 * CA_US_PER_MS)
#define BRITTLE_PAUSE_MAX_US (10 * CA_US_PER_S)

static ca_brittle_t *
brittle_of (ca_gateway_t *gateway, const char *service)
{
  return &ca_service_stats (gateway, service)->brittle;
}

static bool
brittle_holds (const ca_gateway_t *gateway, const ca_brittle_t *brittle)
{
  return brittle->named_us != 0
         && gateway->now_us - brittle->named_us < BRITTLE_RETENTION_US;
}

/* Limits all endpoints of a service that has become brittle. */
static void
brittle_limit_all (ca_gateway_t *gateway, const char *service)
{
  ca_gateway_endpoint_t *endpoint;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (strcmp (endpoint->service, service) == 0)
        ca_brittle_listed (gateway, endpoint);
    }
}

static void
brittle_name (ca_gateway_t *gateway, const char *service, double limit,
              uint64_t named_us, const char *source)
{
  ca_brittle_t *brittle = brittle_of (gateway, service);
  bool held = brittle_holds (gateway, brittle);

  if (named_us <= brittle->named_us || named_us <= brittle->lifted_us)
    return;
  brittle->limit = limit;
  brittle->named_us = named_us;
  if (held)
    return;
  ca_gateway_log (gateway, CA_EVENT_ENDPOINTS_BRITTLE, NULL, service,
                  "they bear %.1f rejections a second, named by %s", limit,
                  source);
  brittle_limit_all (gateway, service);
}

void
ca_brittle_observe (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                    const ca_answer_facts_t *facts)
{
  ca_brittle_t *brittle;

  if (!ca_endpoint_notice_is_genuine (facts))
    return;
  brittle = brittle_of (gateway, exchange->service->name);
  if (facts->is_brittle)
    brittle_name (gateway, exchange->service->name, facts->brittle_limit,
                  gateway->now_us, exchange->endpoint->id);
  else if (brittle->named_us != 0 && exchange->sent_us > brittle->named_us)
    {
      if (brittle_holds (gateway, brittle))
        ca_gateway_log (gateway, CA_EVENT_ENDPOINTS_NOT_BRITTLE, exchange->id,
                        exchange->service->name, "as %s answers",
                        exchange->endpoint->id);
      brittle->named_us = 0;
      brittle->lifted_us = exchange->sent_us;
    }
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
  return brittle_holds (gateway, brittle_of (gateway, service));
}

bool
ca_brittle_allows (ca_gateway_t *gateway, const ca_service_t *service,
                   const ca_gateway_endpoint_t *endpoint)
{
  double share;

  if (!service->is_engine || endpoint->slots == 0
      || !brittle_holds (gateway, brittle_of (gateway, endpoint->service)))
    return true;
  share = BRITTLE_SHARE_FACTOR * endpoint->slots
          / (HASH_COUNT (gateway->peers) + 1);
  return endpoint->own_load.open + endpoint->peer_load.open < endpoint->slots
         && (endpoint->own_load.open == 0 || endpoint->own_load.open < share);
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
ca_brittle_rejected (ca_gateway_t *gateway, const ca_service_t *service,
                     const ca_exchange_t *exchange)
{
  ca_gateway_endpoint_t *endpoint = exchange->endpoint;
  const ca_brittle_t *brittle = brittle_of (gateway, endpoint->service);
  double pause_us = BRITTLE_PAUSE_MIN_US;

  if (!brittle_holds (gateway, brittle))
    return;
  ca_gateway_log (gateway, CA_EVENT_BRITTLE_REJECTION, exchange->id,
                  endpoint->id,
                  "%u of %u slots in use by this entry, %u by peers, known for "
                  "up to %" PRIu64 " ms; the endpoint for %" PRIu64 " ms",
                  endpoint->own_load.open, endpoint->slots,
                  endpoint->peer_load.open,
                  brittle_load_age_us (gateway) / CA_US_PER_MS,
                  (gateway->now_us - endpoint->added_us) / CA_US_PER_MS);
  if (service->is_engine)
    pause_us = (HASH_COUNT (gateway->peers) + 1) * (double)CA_US_PER_S
               / (BRITTLE_REJECTIONS_USED
                  * (brittle->limit > 1 ? brittle->limit : 1));
  if (pause_us < BRITTLE_PAUSE_MIN_US)
    pause_us = BRITTLE_PAUSE_MIN_US;
  if (pause_us > BRITTLE_PAUSE_MAX_US)
    pause_us = BRITTLE_PAUSE_MAX_US;
  endpoint->full_until_us
      = gateway->now_us
        + (uint64_t)(pause_us * (0.5 + ca_gateway_random (gateway)));
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
      if (!brittle_holds (gateway, &stats->brittle))
        continue;
      camphor__brittle_service__init (&rows[count]);
      rows[count].service = stats->name;
      rows[count].limit = stats->brittle.limit;
      rows[count++].age_us = gateway->now_us - stats->brittle.named_us;
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

      if (row->age_us < sent_us)
        brittle_name (gateway, row->service, row->limit, sent_us - row->age_us,
                      peer->name);
    }
}

/* True if the service's endpoints are plain ones. */
static bool
brittle_is_plain (const ca_gateway_t *gateway, const char *name)
{
  int32_t service = gateway->catalog == NULL
                        ? -1
                        : ca_catalog_find_service (gateway->catalog, name);

  return service >= 0 && !gateway->catalog->services[service].is_engine;
}

void
ca_brittle_listed (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint)
{
  const ca_brittle_t *brittle = brittle_of (gateway, endpoint->service);

  if (endpoint->limit.known.named_us != 0 || !brittle_holds (gateway, brittle)
      || !brittle_is_plain (gateway, endpoint->service))
    return;
  endpoint->limit.known.named_us = brittle->named_us;
  endpoint->limit.known.per_s = ca_brittle_rate_per_s (endpoint);
  endpoint->limit.smooth = true;
}
