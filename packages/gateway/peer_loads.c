/* What other entries have open at the endpoints: from their heartbeats and, in
 * this zone, from notices between these.
 *
 * Load: 66 entries before 60 engines with 680 prompts a second.  An engine gets
 * 11 of them a second, each of some 60 ms, while heartbeats are up to 0.66 s
 * old: entries that choose by these alone send prompts where others have just
 * sent theirs. */
#include "gateway/private.h"

#include <stdlib.h>
#include <string.h>

/* Interval of notices.  A prompt takes about as long to be read. */
#define LOADS_NOTICE_US (100 * CA_US_PER_MS)

/* Notices are sent if engines differ in speed and the tightest objective of
 * their routes is shorter than this part of the interval of heartbeats, which
 * then are too old to meet it. */
#define LOADS_OBJECTIVE_SHARE 0.8

#define LOADS_NOTICE_ROWS 64

void
ca_peer_loads_fill (const ca_gateway_endpoint_t *endpoint,
                    Camphor__SeatLoad *row)
{
  camphor__seat_load__init (row);
  row->seat = endpoint->id;
  row->open = endpoint->own_load.open;
  row->unread_tokens = endpoint->own_load.unread_tokens;
  row->held_tokens = endpoint->own_load.held_tokens;
}

/* The sums of an endpoint that has restarted may be smaller than a part. */
static void
loads_subtract (uint32_t *sum, uint32_t part)
{
  *sum -= *sum < part ? *sum : part;
}

static void
loads_add_row (ca_gateway_endpoint_t *endpoint, const Camphor__SeatLoad *row,
               bool is_near)
{
  endpoint->peer_load.open += row->open;
  endpoint->peer_load.unread_tokens += row->unread_tokens;
  endpoint->peer_load.held_tokens += row->held_tokens;
  endpoint->peer_load.streams += row->streams;
  endpoint->peer_load.read_tokens += row->read_tokens;
  if (is_near)
    endpoint->near_unread_tokens += row->unread_tokens;
}

static void
loads_subtract_row (ca_gateway_endpoint_t *endpoint,
                    const Camphor__SeatLoad *row, bool is_near)
{
  loads_subtract (&endpoint->peer_load.open, row->open);
  loads_subtract (&endpoint->peer_load.unread_tokens, row->unread_tokens);
  loads_subtract (&endpoint->peer_load.held_tokens, row->held_tokens);
  loads_subtract (&endpoint->peer_load.streams, row->streams);
  loads_subtract (&endpoint->peer_load.read_tokens, row->read_tokens);
  if (is_near)
    loads_subtract (&endpoint->near_unread_tokens, row->unread_tokens);
}

static bool
loads_are_near (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  return strcmp (peer->zone, gateway->options.zone) == 0;
}

void
ca_peer_loads_count (ca_gateway_t *gateway, ca_peer_t *peer, bool add)
{
  const Camphor__Pulse *heartbeat = peer->heartbeat;
  bool is_near = loads_are_near (gateway, peer);

  if (heartbeat == NULL || peer->loads_counted == add)
    return;
  peer->loads_counted = add;
  for (size_t i = 0; i < heartbeat->n_loads; i++)
    {
      ca_gateway_endpoint_t *endpoint
          = ca_registry_find (&gateway->registry, heartbeat->loads[i]->seat);

      if (endpoint == NULL)
        continue;
      if (add)
        loads_add_row (endpoint, heartbeat->loads[i], is_near);
      else
        loads_subtract_row (endpoint, heartbeat->loads[i], is_near);
    }
}

static Camphor__SeatLoad *
loads_find_row (const Camphor__Pulse *heartbeat, const char *id)
{
  for (size_t i = 0; i < heartbeat->n_loads; i++)
    {
      if (strcmp (heartbeat->loads[i]->seat, id) == 0)
        return heartbeat->loads[i];
    }
  return NULL;
}

/* Adds an empty row, which is freed with the heartbeat. */
static Camphor__SeatLoad *
loads_append_row (Camphor__Pulse *heartbeat, const char *id)
{
  Camphor__SeatLoad *row = calloc (1, sizeof *row);

  camphor__seat_load__init (row);
  row->seat = strdup (id);
  heartbeat->loads = realloc (
      heartbeat->loads, (heartbeat->n_loads + 1) * sizeof heartbeat->loads[0]);
  heartbeat->loads[heartbeat->n_loads++] = row;
  return row;
}

/* Replaces a row of the peer's latest heartbeat. */
static void
loads_apply_row (ca_gateway_t *gateway, ca_peer_t *peer,
                 const Camphor__SeatLoad *from)
{
  ca_gateway_endpoint_t *endpoint
      = ca_registry_find (&gateway->registry, from->seat);
  bool is_near = loads_are_near (gateway, peer);
  Camphor__SeatLoad *row = loads_find_row (peer->heartbeat, from->seat);

  if (endpoint == NULL)
    return;
  if (row == NULL)
    row = loads_append_row (peer->heartbeat, from->seat);
  if (peer->loads_counted)
    loads_subtract_row (endpoint, row, is_near);
  row->open = from->open;
  row->unread_tokens = from->unread_tokens;
  row->held_tokens = from->held_tokens;
  if (peer->loads_counted)
    loads_add_row (endpoint, row, is_near);
}

void
ca_peer_loads_receive (ca_gateway_t *gateway, const Camphor__Envelope *envelope)
{
  const Camphor__LoadNotice *notice = envelope->load_notice;
  ca_peer_t *peer = ca_peers_find (gateway, envelope->from);

  if (peer == NULL || peer->heartbeat == NULL
      || peer->incarnation != envelope->incarnation)
    return;
  for (size_t i = 0; i < notice->n_loads && i < LOADS_NOTICE_ROWS; i++)
    loads_apply_row (gateway, peer, notice->loads[i]);
}

bool
ca_peer_loads_are_fresh (const ca_gateway_t *gateway)
{
  const ca_catalog_t *catalog = gateway->catalog;

  return gateway->speeds_differ && catalog != NULL
         && catalog->engine_target_ms > 0
         && catalog->engine_target_ms * CA_US_PER_MS
                < LOADS_OBJECTIVE_SHARE * (double)gateway->heartbeat_period_us;
}

static bool
loads_have_changed (const ca_gateway_endpoint_t *endpoint)
{
  return endpoint->own_load.unread_tokens != endpoint->noticed_unread_tokens
         || endpoint->own_load.open != endpoint->noticed_open;
}

/* Fills in the loads that have changed, and marks them as reported. */
static size_t
loads_fill_changed (ca_gateway_t *gateway, Camphor__SeatLoad *rows)
{
  ca_gateway_endpoint_t *endpoint;
  size_t count = 0;

  for (endpoint = gateway->registry.endpoints;
       endpoint != NULL && count < LOADS_NOTICE_ROWS;
       endpoint = endpoint->hh.next)
    {
      if (!loads_have_changed (endpoint))
        continue;
      ca_peer_loads_fill (endpoint, &rows[count++]);
      endpoint->noticed_open = endpoint->own_load.open;
      endpoint->noticed_unread_tokens = endpoint->own_load.unread_tokens;
    }
  return count;
}

void
ca_peer_loads_tick (ca_gateway_t *gateway)
{
  Camphor__SeatLoad rows[LOADS_NOTICE_ROWS];
  Camphor__SeatLoad *pointers[LOADS_NOTICE_ROWS];
  Camphor__LoadNotice notice = CAMPHOR__LOAD_NOTICE__INIT;
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  const ca_peer_t *peer;

  if (gateway->now_us < gateway->next_load_notice_us
      || !ca_peer_loads_are_fresh (gateway))
    return;
  gateway->next_load_notice_us = gateway->now_us + LOADS_NOTICE_US;
  notice.n_loads = loads_fill_changed (gateway, rows);
  if (notice.n_loads == 0)
    return;
  for (size_t i = 0; i < notice.n_loads; i++)
    pointers[i] = &rows[i];
  notice.loads = pointers;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_LOAD_NOTICE;
  envelope.load_notice = &notice;
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (ca_peers_in_same_zone (gateway, peer))
        ca_peers_send (gateway, &peer->address, &envelope);
    }
}

uint64_t
ca_peer_loads_near_age_us (const ca_gateway_t *gateway)
{
  return (ca_peer_loads_are_fresh (gateway) ? LOADS_NOTICE_US
                                            : gateway->heartbeat_period_us)
         / 2;
}
