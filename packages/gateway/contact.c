/* Which peers this entry is in contact with, and the ranking by which all
 * entries agree on one of them without messages. */
#include "gateway/private.h"

#include <string.h>
#include <xxhash.h>

/* A peer is in contact if it has sent a heartbeat within this many periods and
 * the network delay, or within the timeout of peers if that is longer. */
#define CONTACT_PERIODS 2

/* Periods after which a peer is no longer in close contact: one heartbeat may
 * be late. */
#define CONTACT_CLOSE_PERIODS 3
#define CONTACT_LATENCY_US (50 * CA_US_PER_MS)

uint64_t
ca_peers_contact_us (const ca_gateway_t *gateway)
{
  uint64_t contact_us
      = CONTACT_PERIODS * gateway->heartbeat_period_us + CONTACT_LATENCY_US;

  return contact_us > CA_PEER_TIMEOUT_US ? contact_us : CA_PEER_TIMEOUT_US;
}

bool
ca_peers_in_close_contact (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  return peer->received_us != 0
         && gateway->now_us - peer->received_us
                < CONTACT_CLOSE_PERIODS * gateway->heartbeat_period_us
                      + CONTACT_LATENCY_US;
}

bool
ca_peers_are_known (const ca_gateway_t *gateway)
{
  return gateway->now_us - gateway->started_us >= ca_peers_contact_us (gateway);
}

bool
ca_peers_are_discovered (const ca_gateway_t *gateway)
{
  return gateway->entries_listed || ca_peers_are_known (gateway);
}

bool
ca_peers_is_expected (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  return peer->received_us == 0
         && gateway->now_us - peer->discovered_us
                < ca_peers_contact_us (gateway);
}

bool
ca_peers_all_heard (const ca_gateway_t *gateway)
{
  const ca_peer_t *peer;

  if (!ca_peers_are_discovered (gateway))
    return false;
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (ca_peers_is_expected (gateway, peer))
        return false;
    }
  return true;
}

uint32_t
ca_peers_possible_count (const ca_gateway_t *gateway)
{
  const ca_peer_t *peer;
  uint32_t count = ca_peers_live_count (gateway);

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (ca_peers_is_expected (gateway, peer))
        count++;
    }
  return count;
}

/* True if the peer's heartbeats show that it receives those of this entry: they
 * echo the latest stamp that it has received. */
static bool
peer_receives (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  uint64_t echo_us = peer->heartbeat->echo_us;

  return echo_us != 0 && echo_us <= gateway->now_us
         && gateway->now_us - echo_us
                < ca_peers_contact_us (gateway)
                      + CONTACT_PERIODS * gateway->heartbeat_period_us;
}

uint64_t
ca_peers_rank (uint64_t id, uint64_t key)
{
  return XXH3_64bits_withSeed (&id, sizeof id, key);
}

/* As ca_peers_coordinator, among the entries of a zone, of all zones if it is
 * NULL, with `for_slots` among those that grant slots.  Returns the number of
 * those known. */
static uint32_t
peer_find_coordinator (const ca_gateway_t *gateway, const char *zone,
                       uint64_t key, bool for_slots,
                       const ca_peer_t **coordinator, bool *is_self,
                       double *share)
{
  uint32_t known = 0;
  uint32_t in_contact = 0;
  uint64_t best = 0;
  const ca_peer_t *peer;

  *coordinator = NULL;
  *is_self = !gateway->stopping
             && (zone == NULL || strcmp (gateway->options.zone, zone) == 0);
  if (*is_self)
    {
      known = in_contact = 1;
      best = ca_peers_rank (gateway->id, key);
    }
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer->received_us == 0 || peer->leaving
          || (for_slots && !peer->grants_slots)
          || (zone != NULL && strcmp (peer->zone, zone) != 0))
        continue;
      known++;
      if (gateway->now_us - peer->received_us >= ca_peers_contact_us (gateway))
        continue;
      if (peer_receives (gateway, peer))
        in_contact++;
      if (ca_peers_rank (peer->id, key) <= best)
        continue;
      best = ca_peers_rank (peer->id, key);
      *coordinator = peer;
      *is_self = false;
    }
  *share = known == 0 ? 0 : (double)in_contact / known;
  return known;
}

static const ca_peer_t *
peer_coordinator (const ca_gateway_t *gateway, const char *zone, uint64_t key,
                  bool for_slots, bool *is_self, double *share)
{
  const ca_peer_t *coordinator;

  if (peer_find_coordinator (gateway, zone, key, for_slots, &coordinator,
                             is_self, share)
      == 0)
    peer_find_coordinator (gateway, NULL, key, for_slots, &coordinator, is_self,
                           share);
  return coordinator;
}

const ca_peer_t *
ca_peers_coordinator (const ca_gateway_t *gateway, const char *zone,
                      uint64_t key, bool *is_self, double *share)
{
  return peer_coordinator (gateway, zone, key, false, is_self, share);
}

const ca_peer_t *
ca_peers_slot_coordinator (const ca_gateway_t *gateway, const char *zone,
                           uint64_t key, bool *is_self, double *share)
{
  return peer_coordinator (gateway, zone, key, true, is_self, share);
}

size_t
ca_peers_ranked (const ca_gateway_t *gateway, uint64_t key, bool in_contact,
                 const ca_peer_t **peers, size_t max)
{
  uint64_t ranks[CA_PEERS_RANKED_MAX];
  const ca_peer_t *peer;
  size_t count = 0;

  if (max > CA_PEERS_RANKED_MAX)
    max = CA_PEERS_RANKED_MAX;
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      uint64_t rank = ca_peers_rank (peer->id, key);
      size_t at = count;

      if (in_contact
          && (peer->leaving || !ca_peers_in_close_contact (gateway, peer)))
        continue;
      while (at > 0 && rank > ranks[at - 1])
        at--;
      if (at == max)
        continue;
      if (count < max)
        count++;
      for (size_t i = count - 1; i > at; i--)
        {
          peers[i] = peers[i - 1];
          ranks[i] = ranks[i - 1];
        }
      peers[at] = peer;
      ranks[at] = rank;
    }
  return count;
}
