/* Whether this entry reaches the endpoints of a service.
 *
 * The loss of a single endpoint is the endpoint's.  If connections to several
 * fail and no byte arrives from any, this entry is cut off from them, and its
 * requests are delegated to other entries (delegation.c).  Silence alone proves
 * nothing, but makes this entry try connections. */
#include "gateway/private.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Endpoints that must be unreachable, or all of a service with fewer, and how
 * recently. */
#define REACH_FAILED_MIN 3
#define REACH_FAILED_US (3 * CA_US_PER_S)

/* Silence of all endpoints that owe a response after which connections are
 * tried: of several, and of a single one, which may just be busy. */
#define REACH_SILENT_US (500 * CA_US_PER_MS)
#define REACH_SILENT_SINGLE_US (1000 * CA_US_PER_MS)

/* Without a byte for this long, a failed connection makes this entry try
 * others. */
#define REACH_QUIET_US (150 * CA_US_PER_MS)

/* Interval between rounds of connections that are tried, and their number, one
 * once the endpoints are lost. */
#define REACH_PROBE_PERIOD_US (400 * CA_US_PER_MS)
#define REACH_PROBED_WELL_US (1 * CA_US_PER_S) /* after one that succeeded */
#define REACH_PROBES REACH_FAILED_MIN

/* A run without a byte for this long is given up when the endpoints are lost
 * and a connection to its own has failed; before that its response may be on
 * its way. */
#define REACH_STALLED_US (250 * CA_US_PER_MS)

uint64_t
ca_reach_service_number (const char *service)
{
  return XXH3_64bits (service, strlen (service));
}

static ca_reach_t *
reach_of (ca_gateway_t *gateway, const ca_gateway_endpoint_t *endpoint)
{
  return &ca_service_stats (gateway, endpoint->service)->reach;
}

static bool
reach_is_open (const ca_gateway_endpoint_t *endpoint, const char *service)
{
  return ca_gateway_endpoint_is_open (endpoint)
         && strcmp (endpoint->service, service) == 0;
}

static bool
reach_is_unreachable (ca_gateway_t *gateway,
                      const ca_gateway_endpoint_t *endpoint)
{
  return ca_gateway_endpoint_is_open (endpoint)
         && endpoint->connect_failed_us > reach_of (gateway, endpoint)->heard_us
         && gateway->now_us - endpoint->connect_failed_us < REACH_FAILED_US;
}

/* True if all endpoints of the service seem to be lost: several are
 * unreachable, and nothing has arrived from any since.  If the service has
 * fewer, those of other services count, too, as long as all of its own are
 * unreachable. */
static bool
reach_has_failed (ca_gateway_t *gateway, const char *service)
{
  const ca_gateway_endpoint_t *endpoint;
  uint32_t open = 0;
  uint32_t failed = 0;
  uint32_t failed_others = 0;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      bool own = reach_is_open (endpoint, service);

      open += own;
      if (!reach_is_unreachable (gateway, endpoint))
        continue;
      failed += own;
      failed_others += !own;
    }
  return failed >= REACH_FAILED_MIN
         || (failed > 0 && failed == open
             && failed + failed_others >= REACH_FAILED_MIN);
}

size_t
ca_reach_report (const ca_gateway_t *gateway, uint64_t *services, size_t max)
{
  const ca_service_stats_t *stats;
  size_t count = 0;

  for (stats = gateway->services; stats != NULL && count < max;
       stats = stats->hh.next)
    {
      if (stats->reach.lost)
        services[count++] = ca_reach_service_number (stats->name);
    }
  return count;
}

/* Tells all peers which services' endpoints this entry does not reach. */
static void
reach_announce (ca_gateway_t *gateway)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__ReachNotice notice = CAMPHOR__REACH_NOTICE__INIT;
  uint64_t services[CA_LOST_SERVICES_MAX];
  const ca_peer_t *peer;

  notice.n_lost_services
      = ca_reach_report (gateway, services, CA_LOST_SERVICES_MAX);
  notice.lost_services = services;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_REACH_NOTICE;
  envelope.reach_notice = &notice;
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (ca_peers_in_close_contact (gateway, peer))
        ca_peers_send (gateway, &peer->address, &envelope);
    }
}

/* The endpoints were not at fault: they take requests again at once. */
static void
reach_forgive (ca_gateway_t *gateway, const char *service)
{
  ca_gateway_endpoint_t *endpoint;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (strcmp (endpoint->service, service) != 0)
        continue;
      endpoint->failures = 0;
      endpoint->ejected_until_us = 0;
      endpoint->connect_failed_us = 0;
    }
}

void
ca_reach_heard (ca_gateway_t *gateway, const ca_gateway_endpoint_t *endpoint)
{
  ca_reach_t *reach = reach_of (gateway, endpoint);

  reach->heard_us = gateway->now_us;
  if (!reach->lost)
    return;
  reach->lost = false;
  ca_gateway_log (gateway, CA_EVENT_ENDPOINTS_REACHED, NULL, endpoint->service,
                  "endpoint %s responds after %" PRIu64 " ms", endpoint->id,
                  (gateway->now_us - reach->lost_us) / CA_US_PER_MS);
  reach_forgive (gateway, endpoint->service);
  reach_announce (gateway);
}

void
ca_reach_failed (ca_gateway_t *gateway, const ca_gateway_endpoint_t *endpoint)
{
  ca_reach_t *reach = reach_of (gateway, endpoint);

  if (reach->lost)
    return;
  reach->suspect = true;
  if (!reach_has_failed (gateway, endpoint->service))
    return;
  reach->lost = true;
  reach->lost_us = gateway->now_us;
  ca_gateway_log (gateway, CA_EVENT_ENDPOINTS_LOST, NULL, endpoint->service,
                  "no connection to endpoint %s or others, last byte from any "
                  "%" PRIu64 " ms ago",
                  endpoint->id,
                  (gateway->now_us - reach->heard_us) / CA_US_PER_MS);
  reach_announce (gateway);
}

void
ca_reach_probed (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint,
                 bool reachable)
{
  if (reachable)
    {
      reach_of (gateway, endpoint)->next_probe_us
          = gateway->now_us + REACH_PROBED_WELL_US;
      ca_reach_heard (gateway, endpoint);
      return;
    }
  endpoint->connect_failed_us = gateway->now_us;
  ca_reach_failed (gateway, endpoint);
}

bool
ca_reach_blames_endpoint (ca_gateway_t *gateway,
                          const ca_gateway_endpoint_t *endpoint,
                          uint64_t interrupted_us)
{
  const ca_reach_t *reach = reach_of (gateway, endpoint);

  return !reach->lost && reach->heard_us > interrupted_us;
}

static void
reach_probe_endpoint (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint)
{
  endpoint->probed_us = gateway->now_us;
  ca_counters_add (&gateway->counters, CA_COUNT_PROBES, 1);
  gateway->ports.check_endpoint (gateway->ports.context, endpoint);
}

/* Tries connections to the service's endpoints that owe a response for long and
 * have not failed since: that others have failed is no reason to give up what
 * they work on. */
static void
reach_probe_debtors (ca_gateway_t *gateway, const char *service)
{
  const ca_exchange_t *exchange;

  TAILQ_FOREACH (exchange, &gateway->exchanges, entries)
  {
    ca_gateway_endpoint_t *endpoint = exchange->endpoint;

    if (endpoint != NULL && strcmp (endpoint->service, service) == 0
        && gateway->now_us - exchange->sent_us >= REACH_STALLED_US
        && endpoint->connect_failed_us < exchange->sent_us
        && gateway->now_us - endpoint->probed_us >= REACH_PROBE_PERIOD_US)
      reach_probe_endpoint (gateway, endpoint);
  }
}

/* Tries connections to `count` of the service's endpoints: those that were
 * tried least recently. */
static void
reach_probe (ca_gateway_t *gateway, const char *service, size_t count)
{
  while (count-- > 0)
    {
      ca_gateway_endpoint_t *chosen = NULL;
      ca_gateway_endpoint_t *endpoint;

      for (endpoint = gateway->registry.endpoints; endpoint != NULL;
           endpoint = endpoint->hh.next)
        {
          if (reach_is_open (endpoint, service)
              && endpoint->probed_us < gateway->now_us
              && (chosen == NULL || endpoint->probed_us < chosen->probed_us))
            chosen = endpoint;
        }
      if (chosen == NULL)
        return;
      reach_probe_endpoint (gateway, chosen);
    }
}

/* Notes which services' endpoints owe responses, since when, and whether there
 * are several. */
static void
reach_survey (ca_gateway_t *gateway)
{
  ca_service_stats_t *stats;
  const ca_exchange_t *exchange;

  for (stats = gateway->services; stats != NULL; stats = stats->hh.next)
    stats->reach.debtor = NULL;
  TAILQ_FOREACH (exchange, &gateway->exchanges, entries)
  {
    ca_reach_t *reach;

    if (exchange->endpoint == NULL)
      continue;
    reach = reach_of (gateway, exchange->endpoint);
    if (reach->debtor == NULL)
      {
        reach->debtor = exchange->endpoint;
        reach->owed_us = exchange->sent_us;
        reach->several = false;
      }
    else if (reach->debtor != exchange->endpoint)
      reach->several = true;
    if (exchange->sent_us < reach->owed_us)
      reach->owed_us = exchange->sent_us;
  }
}

static bool
reach_is_silent (const ca_gateway_t *gateway, const ca_reach_t *reach)
{
  uint64_t since_us
      = reach->owed_us > reach->heard_us ? reach->owed_us : reach->heard_us;

  return reach->debtor != NULL
         && gateway->now_us - since_us
                >= (reach->several ? REACH_SILENT_US : REACH_SILENT_SINGLE_US);
}

/* True if a connection failed, and nothing arrives from other endpoints. */
static bool
reach_is_suspect (const ca_gateway_t *gateway, const ca_reach_t *reach)
{
  return reach->suspect && gateway->now_us - reach->heard_us >= REACH_QUIET_US;
}

void
ca_reach_tick (ca_gateway_t *gateway)
{
  ca_service_stats_t *stats;

  reach_survey (gateway);
  for (stats = gateway->services; stats != NULL; stats = stats->hh.next)
    {
      ca_reach_t *reach = &stats->reach;

      if (reach->lost)
        {
          ca_crash_tracker_forgive (gateway, stats->name);
          ca_exchanges_give_up_stalled (gateway, stats->name,
                                        gateway->now_us - REACH_STALLED_US);
          reach_probe_debtors (gateway, stats->name);
        }
      if (gateway->now_us < reach->next_probe_us
          || (!reach->lost && !reach_is_suspect (gateway, reach)
              && !reach_is_silent (gateway, reach)))
        continue;
      reach->suspect = false;
      reach->next_probe_us = gateway->now_us + REACH_PROBE_PERIOD_US;
      reach_probe (gateway, stats->name, reach->lost ? 1 : REACH_PROBES);
    }
}
