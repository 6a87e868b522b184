/* Requests that this entry cannot serve, since it reaches no endpoint, are
 * delegated to another entry that does.  That entry serves them as those of its
 * own callers, but for the quota, which was charged here; it does not delegate
 * them further. */
#include "gateway/private.h"

#include <string.h>

/* An entry that could not serve a request gets no others for this long.  If all
 * that were tried could not, requests of the service are not delegated. */
#define DELEGATION_REFUSED_US (500 * CA_US_PER_MS)

static bool
delegation_is_lost_at (const ca_peer_t *peer, uint64_t service)
{
  for (size_t i = 0; i < peer->lost_count; i++)
    {
      if (peer->lost_services[i] == service)
        return true;
    }
  return false;
}

/* True if the peer may serve the request. */
static bool
delegation_is_candidate (const ca_gateway_t *gateway,
                         const ca_exchange_t *exchange, const ca_peer_t *peer,
                         uint64_t service)
{
  if (peer->delegate_port == 0 || peer->leaving
      || !ca_peers_in_close_contact (gateway, peer)
      || delegation_is_lost_at (peer, service)
      || (peer->refused_us != 0
          && gateway->now_us - peer->refused_us < DELEGATION_REFUSED_US))
    return false;
  for (uint32_t i = 0; i < exchange->delegations; i++)
    {
      if (exchange->delegates[i] == peer->id)
        return false;
    }
  return true;
}

/* Requests that the peer has open at endpoints, by its latest heartbeat. */
static uint32_t
delegation_load (const ca_peer_t *peer)
{
  uint32_t open = peer->delegated;

  for (size_t i = 0; i < peer->heartbeat->n_loads; i++)
    open += peer->heartbeat->loads[i]->open;
  return open;
}

/* The less loaded of two random candidates: if all chose the least loaded one,
 * it would get everything until its next heartbeat. */
static ca_peer_t *
delegation_choose (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  uint64_t service = ca_reach_service_number (exchange->service->name);
  ca_peer_t *chosen[2] = { NULL, NULL };
  ca_peer_t *peer;
  size_t seen = 0;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      size_t at = seen;

      if (!delegation_is_candidate (gateway, exchange, peer, service))
        continue;
      if (seen++ >= 2)
        at = (size_t)(ca_gateway_random (gateway) * (double)seen);
      if (at < 2)
        chosen[at] = peer;
    }
  if (chosen[1] == NULL)
    return chosen[0];
  return delegation_load (chosen[1]) < delegation_load (chosen[0]) ? chosen[1]
                                                                   : chosen[0];
}

bool
ca_delegation_start (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  ca_service_stats_t *stats
      = ca_service_stats (gateway, exchange->service->name);
  ca_peer_t *peer;
  ca_attempt_t attempt;

  if (exchange->delegated || exchange->delegations == CA_DELEGATION_TRIES_MAX
      || gateway->now_us < stats->reach.futile_until_us)
    return false;
  peer = delegation_choose (gateway, exchange);
  if (peer == NULL
      || (exchange->sends > 0
          && !ca_retry_budget_take (gateway, stats->name,
                                    ca_exchange_goes_on (exchange))))
    return false;
  memset (&attempt, 0, sizeof attempt);
  memset (&exchange->facts, 0, sizeof exchange->facts);
  exchange->delegate = peer->id;
  exchange->delegates[exchange->delegations++] = peer->id;
  exchange->phase = CA_EXCHANGE_SENT;
  exchange->phase_us = gateway->now_us;
  exchange->sent_us = gateway->now_us;
  peer->delegated++;
  attempt.remaining_ms
      = (uint32_t)((exchange->deadline_us - gateway->now_us) / CA_US_PER_MS);
  attempt.resumes = exchange->has_event;
  attempt.last_event = exchange->last_event;
  attempt.delegate = peer;
  ca_counters_add (&gateway->counters, CA_COUNT_DELEGATED, 1);
  ca_gateway_log (gateway, CA_EVENT_REQUEST_DELEGATED, exchange->id, peer->name,
                  "%u entries tried before, %u sends to endpoints, %u failed "
                  "connections",
                  exchange->delegations - 1, exchange->sends,
                  exchange->connect_failures);
  gateway->ports.attempt (gateway->ports.context, exchange, &attempt);
  return true;
}

void
ca_delegation_release (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  ca_peer_t *peer = ca_peers_find (gateway, exchange->delegate);

  exchange->delegate = 0;
  if (peer != NULL && peer->delegated > 0)
    peer->delegated--;
}

void
ca_delegation_failed (ca_gateway_t *gateway, ca_exchange_t *exchange,
                      const char *reason)
{
  ca_peer_t *peer = ca_peers_find (gateway, exchange->delegate);

  ca_gateway_log (gateway, CA_EVENT_DELEGATION_FAILED, exchange->id,
                  peer == NULL ? NULL : peer->name, "%s: status %u", reason,
                  exchange->facts.status);
  if (peer != NULL)
    peer->refused_us = gateway->now_us;
  if (exchange->delegations == CA_DELEGATION_TRIES_MAX)
    ca_service_stats (gateway, exchange->service->name)->reach.futile_until_us
        = gateway->now_us + DELEGATION_REFUSED_US;
  ca_delegation_release (gateway, exchange);
}
