/* Limits the requests of this entry to engines that start, see start_pace.c. */
#include "gateway/private.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* This entry's rank among the live ones is computed again after this long. */
#define START_RANK_US (500 * CA_US_PER_MS)

/* An entry goes on reporting the window for so long after the start: its
 * answers still count for entries that have not seen the end. */
#define START_REPORT_US (5 * CA_US_PER_S)

/* Rounds of heartbeats for which samples of an endpoint's former process may
 * arrive. */
#define START_STALE_ROUNDS 2

/* Requests open at an engine whose slots are unknown are not limited. */
static uint32_t
start_slots (const ca_gateway_t *gateway, const ca_gateway_endpoint_t *endpoint)
{
  int32_t service;

  if (endpoint->slots > 0 || gateway->catalog == NULL)
    return endpoint->slots;
  service = ca_catalog_find_service (gateway->catalog, endpoint->service);
  return service < 0 ? 0 : gateway->catalog->services[service].slots;
}

static bool
start_is_engine (const ca_gateway_t *gateway,
                 const ca_gateway_endpoint_t *endpoint)
{
  int32_t service
      = gateway->catalog == NULL
            ? -1
            : ca_catalog_find_service (gateway->catalog, endpoint->service);

  return service >= 0 && gateway->catalog->services[service].is_engine;
}

/* Looks up the service of an engine that starts; selections need it often. */
static void
start_find_service (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint)
{
  if (endpoint->start_service == NULL && start_is_engine (gateway, endpoint))
    endpoint->start_service = ca_service_stats (gateway, endpoint->service);
}

/* True if the endpoint starts and the limit applies: its record named a cold
 * start. Limits for all that start, where engines differ in speed, took
 * sessions from their endpoints for longer than the start lasts: more late
 * answers, not fewer. */
static bool
start_is_in_force (const ca_gateway_endpoint_t *endpoint)
{
  return endpoint->start.starting && endpoint->start_service != NULL
         && endpoint->start.earliest_us != 0;
}

/* Prepares the limit when it first applies. */
static void
start_announce (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint)
{
  ca_start_pace_t *pace = &endpoint->start;

  if (pace->slots == 0)
    ca_start_pace_set_slots (pace, start_slots (gateway, endpoint));
  if (endpoint->start_announced)
    return;
  endpoint->start_announced = true;
  ca_counters_add (&gateway->counters, CA_COUNT_ENDPOINT_STARTS, 1);
  ca_gateway_log (gateway, CA_EVENT_ENDPOINT_STARTING, NULL, endpoint->id,
                  "all entries keep at most %u of %u slots in use",
                  pace->window, pace->slots);
}

static void
start_end (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint)
{
  ca_start_pace_end (&endpoint->start, gateway->now_us);
  if (!endpoint->start_announced)
    return;
  endpoint->start_announced = false;
  ca_gateway_log (gateway, CA_EVENT_ENDPOINT_STARTED, NULL, endpoint->id,
                  "window %u of %u slots, %u answers about as fast as the "
                  "service's",
                  endpoint->start.window, endpoint->start.slots,
                  endpoint->start.usual);
}

/* Position of an entry in the order in which the parts of the window of this
 * process are given out. */
static uint64_t
start_order (uint64_t entry, uint64_t instance)
{
  uint64_t key[] = { entry, instance };

  return XXH3_64bits (key, sizeof key);
}

/* Ranks this entry among those that share the window. */
static void
start_rank (const ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint)
{
  uint64_t instance = ca_gateway_endpoint_instance (endpoint);
  uint64_t own = start_order (gateway->id, instance);
  uint64_t contact_us = ca_peers_contact_us (gateway);
  const ca_peer_t *peer;

  if (endpoint->start_ranked_us != 0
      && gateway->now_us - endpoint->start_ranked_us < START_RANK_US)
    return;
  endpoint->start_ranked_us = gateway->now_us;
  endpoint->start_entries = 1;
  endpoint->start_rank = 0;
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer->received_us == 0 || peer->leaving
          || gateway->now_us - peer->received_us >= contact_us)
        continue;
      endpoint->start_entries++;
      if (start_order (peer->id, instance) < own)
        endpoint->start_rank++;
    }
}

bool
ca_endpoint_start_allows (ca_gateway_t *gateway,
                          ca_gateway_endpoint_t *endpoint)
{
  if (!start_is_in_force (endpoint))
    return true;
  start_announce (gateway, endpoint);
  if (endpoint->start.slots == 0)
    return true;
  start_rank (gateway, endpoint);
  return endpoint->own_load.open + endpoint->peer_load.open
             < endpoint->start.window
         && endpoint->own_load.open < ca_start_pace_allowance (
                &endpoint->start, endpoint->start_entries,
                endpoint->start_rank);
}

double
ca_endpoint_start_sample_factor (const ca_gateway_endpoint_t *endpoint)
{
  if (!endpoint->start_announced || endpoint->start_entries == 0
      || endpoint->start.window >= endpoint->start_entries)
    return 1;
  return (double)endpoint->start_entries / endpoint->start.window;
}

static void
start_begin (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint,
             uint64_t at_us)
{
  start_find_service (gateway, endpoint);
  ca_start_pace_begin (&endpoint->start, at_us);
  ca_start_pace_set_slots (&endpoint->start, start_slots (gateway, endpoint));
}

void
ca_endpoint_start_listed (ca_gateway_t *gateway,
                          const ca_endpoint_record_t *record)
{
  ca_gateway_endpoint_t *endpoint
      = ca_registry_find (&gateway->registry, record->id);
  bool is_new = gateway->registry_known && endpoint->added_us == gateway->now_us
                && endpoint->listed_us == gateway->now_us
                && !endpoint->start.starting && endpoint->start.ended_us == 0;

  if (record->cold_remaining_ms > 0)
    endpoint->start.earliest_us
        = gateway->now_us + record->cold_remaining_ms * CA_US_PER_MS;
  if (is_new || (record->cold_remaining_ms > 0 && !endpoint->start.starting))
    start_begin (gateway, endpoint, gateway->now_us);
}

void
ca_endpoint_start_paused (ca_gateway_t *gateway,
                          ca_gateway_endpoint_t *endpoint)
{
  start_begin (gateway, endpoint, endpoint->paused_until_us);
}

void
ca_endpoint_start_failed (ca_gateway_t *gateway,
                          ca_gateway_endpoint_t *endpoint)
{
  if (gateway->now_us < endpoint->ejected_until_us)
    start_begin (gateway, endpoint, endpoint->ejected_until_us);
  else if (endpoint->start.starting)
    ca_start_pace_failed (&endpoint->start, gateway->now_us);
}

void
ca_endpoint_start_answered (ca_gateway_t *gateway,
                            const ca_exchange_t *exchange, uint64_t fixed_us)
{
  ca_gateway_endpoint_t *endpoint = exchange->endpoint;

  if (!endpoint->start.starting)
    return;
  ca_start_pace_answered (&endpoint->start, gateway->now_us,
                          (double)(gateway->now_us - exchange->sent_us)
                              / (double)(exchange->expected_us + fixed_us));
  if (ca_start_pace_is_over (&endpoint->start, gateway->now_us))
    start_end (gateway, endpoint);
}

uint32_t
ca_endpoint_start_window (const ca_gateway_t *gateway,
                          const ca_gateway_endpoint_t *endpoint)
{
  const ca_start_pace_t *pace = &endpoint->start;

  if (pace->starting)
    return pace->window;
  return pace->ended_us != 0
                 && gateway->now_us - pace->ended_us < START_REPORT_US
             ? pace->slots
             : 0;
}

/* True if the row may be of an endpoint's former process: one whose window the
 * peer names is starting there, too. */
static bool
start_is_stale (const ca_gateway_t *gateway,
                const ca_gateway_endpoint_t *endpoint,
                const Camphor__SeatLoad *row)
{
  return row->window == 0
         && gateway->now_us - endpoint->added_us
                <= START_STALE_ROUNDS * gateway->heartbeat_period_us;
}

void
ca_endpoint_start_merge (ca_gateway_t *gateway, const Camphor__Pulse *heartbeat)
{
  for (size_t i = 0; i < heartbeat->n_loads; i++)
    {
      const Camphor__SeatLoad *row = heartbeat->loads[i];
      ca_gateway_endpoint_t *endpoint
          = ca_registry_find (&gateway->registry, row->seat);

      if (endpoint == NULL || !endpoint->start.starting
          || start_is_stale (gateway, endpoint, row))
        continue;
      ca_start_pace_heard (&endpoint->start, gateway->now_us,
                           row->slowness_permille / 1000.0, row->samples);
      if (row->window > 0)
        ca_start_pace_follow (&endpoint->start, gateway->now_us, row->window);
    }
}

void
ca_endpoint_start_begin_round (ca_gateway_t *gateway)
{
  ca_gateway_endpoint_t *endpoint;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    ca_start_pace_begin_round (&endpoint->start);
}

void
ca_endpoint_start_tick (ca_gateway_t *gateway)
{
  ca_gateway_endpoint_t *endpoint;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (!endpoint->start.starting)
        continue;
      start_find_service (gateway, endpoint);
      if (ca_start_pace_is_over (&endpoint->start, gateway->now_us))
        start_end (gateway, endpoint);
    }
}
