/* Orders that scale services to their planned number of endpoints. */
#include "gateway/fleet_plan.h"
#include "gateway/leader_private.h"
#include "gateway/rollout_order.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* The plan is computed at this interval.  An order without an answer is
 * repeated, since it may take effect up to 12 s later or not at all. */
#define PLAN_PERIOD_US (500 * CA_US_PER_MS)
#define ORDER_RETRY_US (1500 * CA_US_PER_MS)
#define ORDER_LATE_US (13 * CA_US_PER_S)

/* Ordered endpoints count as running until their boot time has passed, and this
 * much longer. */
#define ORDER_BOOT_EXTRA_US (1500 * CA_US_PER_MS)

/* Delay before a kind that was unavailable is ordered again. */
#define ORDER_UNAVAILABLE_US (4 * CA_US_PER_S)

/* Fewer endpoints are ordered only after fewer have sufficed for this long. */
#define SURPLUS_DELAY_US (6 * CA_US_PER_S)

/* After an endpoint could not be reached, no fewer are ordered in its zone for
 * this long.  Requests in flight when the zone was cut off may still arrive
 * some seconds later, and must not reach endpoints that are draining. */
#define ZONE_HOLD_US (8 * CA_US_PER_S)

/* The queues and cold caches that a reclaim wave leaves behind look like more
 * demand.  During a wave the need is at most this multiple of the baseline
 * need, which is smoothed with this weight at each plan. */
#define WAVE_MAX_GROWTH 1.3
#define BASELINE_SMOOTHING 0.3

/* Returns the order for one kind in a zone, created on first use. */
static ca_order_row_t *
fleet_find_order (ca_leader_t *leader, const char *service, const char *zone,
                  bool reclaimable)
{
  ca_order_row_t *row;

  TAILQ_FOREACH (row, &leader->orders, entries)
  {
    if (row->reclaimable == reclaimable && strcmp (row->service, service) == 0
        && strcmp (row->zone, zone) == 0)
      return row;
  }
  row = calloc (1, sizeof *row);
  row->service = strdup (service);
  row->zone = strdup (zone);
  row->reclaimable = reclaimable;
  TAILQ_INSERT_TAIL (&leader->orders, row, entries);
  return row;
}

/* Sends an order if it is due. */
static void
fleet_order (ca_leader_t *leader, ca_order_row_t *row, uint32_t count,
             const ca_fleet_state_t *state, const ca_fleet_zone_t *zone)
{
  uint64_t now_us = leader->gateway->now_us;
  ca_scale_order_t order
      = { row->service, row->zone, row->reclaimable, count, leader->fence };

  if (row->busy || !ca_lease_is_valid (leader)
      || ca_rollout_blocks_order (leader, row, count))
    return;
  if (row->sent && row->ordered == count
      && (row->unconfirmed_until_us < now_us || now_us < row->retry_us))
    return;
  row->busy = true;
  row->sent = true;
  row->previous = row->ordered;
  row->ordered = count;
  row->ordered_us = now_us;
  row->retry_us = now_us + ORDER_RETRY_US;
  ca_gateway_log (
      leader->gateway, CA_EVENT_FLEET_START, NULL, row->service,
      "ordered %u %s in %s under lease %" PRIu64
      ", previously %u; need %u: %.1f busy, %.0f requests open, %.0f tokens "
      "held; running in the zone %u reclaimable%s and %u on demand",
      count, row->reclaimable ? "reclaimable" : "on demand", row->zone,
      leader->fence, row->previous, ca_fleet_need (state), state->busy,
      state->open, state->held_tokens, zone->reclaimable,
      zone->reclaimable_unavailable ? " (unavailable)" : "", zone->on_demand);
  leader->ports.order_scale (leader->ports.context, &order);
}

void
ca_leader_order_done (ca_leader_t *leader, uint64_t now_us,
                      const ca_scale_order_t *order, ca_call_status_t status)
{
  ca_order_row_t *row = fleet_find_order (leader, order->service, order->zone,
                                          order->reclaimable);

  leader->gateway->now_us = now_us;
  row->busy = false;
  if (status == CA_CALL_OK)
    {
      /* New endpoints will start, so those reclaimed before are replaced. */
      row->reclaimed = false;
      return;
    }
  row->sent = false;
  if (status == CA_CALL_UNKNOWN)
    {
      row->sent = true;
      row->unconfirmed_until_us = now_us + ORDER_LATE_US;
      return;
    }
  row->ordered = row->previous;
  ca_gateway_log (leader->gateway, CA_EVENT_FLEET_REFUSED, NULL, order->service,
                  "order for %u %s in %s", order->count,
                  order->reclaimable ? "reclaimable" : "on demand",
                  order->zone);
  if (status == CA_CALL_CONFLICT && order->fence == leader->fence)
    row->unavailable_until_us = now_us + ORDER_UNAVAILABLE_US;
}

/* True if an endpoint of the zone was unreachable within ZONE_HOLD_US. */
static bool
fleet_zone_failed_recently (const ca_leader_t *leader,
                            const ca_order_row_t *row)
{
  uint64_t now_us = leader->gateway->now_us;
  const ca_gateway_endpoint_t *endpoint;

  for (endpoint = leader->gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (endpoint->connect_failed_us != 0
          && now_us - endpoint->connect_failed_us < ZONE_HOLD_US
          && strcmp (endpoint->service, row->service) == 0
          && strcmp (endpoint->zone, row->zone) == 0)
        return true;
    }
  return false;
}

/* Orders more endpoints immediately, but fewer only after a delay. */
static uint32_t
fleet_delay_shrinking (ca_leader_t *leader, ca_order_row_t *row,
                       uint32_t target)
{
  uint64_t now_us = leader->gateway->now_us;

  if (row->sent && target < row->ordered
      && fleet_zone_failed_recently (leader, row))
    return row->ordered;
  if (!row->sent || target >= row->ordered)
    {
      row->surplus_since_us = 0;
      return target;
    }
  if (row->surplus_since_us == 0)
    row->surplus_since_us = now_us;
  return now_us - row->surplus_since_us < SURPLUS_DELAY_US ? row->ordered
                                                           : target;
}

/* Number of running endpoints that no order has given up yet. */
static uint32_t
fleet_count_retained (const ca_order_row_t *row, uint32_t running)
{
  return row->sent && row->ordered < running ? row->ordered : running;
}

/* Gives up on-demand endpoints only when the remaining ones cover the need,
 * since their replacements take seconds to start. */
static uint32_t
fleet_delay_replacement (const ca_order_row_t *row, uint32_t target,
                         uint32_t on_demand, uint32_t need, uint32_t *running)
{
  uint32_t retained = fleet_count_retained (row, on_demand);
  uint32_t surplus = retained > target ? retained - target : 0;

  if (!row->sent || target >= row->ordered)
    return target;
  if (*running < need + surplus)
    return target > retained ? target : retained;
  *running -= surplus;
  return target;
}

/* Counts the open endpoints of a zone that carry the traffic, and adds up their
 * open requests and limits. */
static void
fleet_count_endpoints (const ca_leader_t *leader, const ca_service_t *service,
                       const char *zone, const ca_rollout_traffic_t *traffic,
                       ca_fleet_zone_t *counts, ca_fleet_state_t *state)
{
  const ca_gateway_endpoint_t *endpoint;
  uint32_t requests;

  for (endpoint = leader->gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (!ca_gateway_endpoint_is_open (endpoint)
          || strcmp (endpoint->service, service->name) != 0
          || strcmp (endpoint->zone, zone) != 0
          || !ca_rollout_carries (traffic, endpoint))
        continue;
      /* Queued requests show that endpoints are missing, not how many. */
      requests = endpoint->own_load.open + endpoint->peer_load.open;
      state->open += service->slots > 0 && requests > service->slots
                         ? service->slots
                         : requests;
      if (ca_endpoint_limit_applies (endpoint))
        {
          state->limited++;
          state->limited_per_s += endpoint->limit.known.per_s;
        }
      if (endpoint->reclaimable)
        counts->reclaimable++;
      else
        counts->on_demand++;
    }
}

/* Adopts running endpoints as orders, since a former leader ordered them, or
 * the platform started them for a rollout. */
static void
fleet_adopt (ca_leader_t *leader, const ca_service_t *service,
             const ca_fleet_state_t *state, bool had_rollout)
{
  uint32_t reclaimable = 0;

  for (uint32_t i = 0; i < state->zone_count; i++)
    reclaimable += state->zones[i].reclaimable;
  for (uint32_t i = 0;
       (reclaimable > 0 || had_rollout) && i < state->zone_count; i++)
    {
      const char *zone = service->prices[i].zone;
      ca_order_row_t *reclaimable_order
          = fleet_find_order (leader, service->name, zone, true);
      ca_order_row_t *on_demand_order
          = fleet_find_order (leader, service->name, zone, false);

      if (!reclaimable_order->sent)
        reclaimable_order->ordered = state->zones[i].reclaimable;
      if (!on_demand_order->sent)
        on_demand_order->ordered = state->zones[i].on_demand;
      reclaimable_order->sent = true;
      on_demand_order->sent = true;
    }
}

/* Checks the order for reclaimable endpoints in a zone.  An order is unmet when
 * its endpoints should have started but do not run: they were reclaimed or
 * never started.  It is sent again, and until it is met only running endpoints
 * count. */
static void
fleet_check_order (ca_leader_t *leader, const ca_service_t *service,
                   ca_order_row_t *row, ca_fleet_zone_t *zone)
{
  uint64_t now_us = leader->gateway->now_us;
  uint64_t boot_us = service->boot_ms * CA_US_PER_MS + ORDER_BOOT_EXTRA_US;
  bool booting = now_us - row->ordered_us < boot_us;

  /* Fewer than before without an order: some were reclaimed. */
  if (row->sent && zone->reclaimable < row->last_count
      && zone->reclaimable < row->ordered)
    {
      row->unavailable_until_us = now_us + ORDER_UNAVAILABLE_US;
      row->reclaimed = true;
    }
  row->last_count = zone->reclaimable;
  if (zone->reclaimable >= row->ordered)
    row->reclaimed = false;
  row->is_unmet = row->ordered_us != 0 && zone->reclaimable < row->ordered
                  && (row->reclaimed || !booting);
  zone->reclaimable_unavailable
      = now_us < row->unavailable_until_us || row->is_unmet;
  if (row->is_unmet && now_us >= row->unavailable_until_us
      && now_us - row->ordered_us > ORDER_UNAVAILABLE_US)
    row->sent = false;
  if (!row->is_unmet && booting && zone->reclaimable < row->ordered)
    zone->reclaimable = row->ordered;
}

/* Returns the need, limited during a reclaim wave. */
static uint32_t
fleet_limit_need (ca_service_stats_t *stats, const ca_fleet_state_t *state)
{
  uint32_t need = ca_fleet_need (state);
  double max_need;

  if (!ca_fleet_is_wave (state))
    {
      stats->baseline_need
          += (need - stats->baseline_need)
             * (stats->baseline_need > 0 ? BASELINE_SMOOTHING : 1);
      return need;
    }
  max_need = stats->baseline_need * WAVE_MAX_GROWTH;
  return max_need > 0 && need > max_need ? (uint32_t)max_need + 1 : need;
}

/* Plans one service and sends the orders that follow. */
static void
fleet_scale_service (ca_leader_t *leader, const ca_service_t *service)
{
  ca_fleet_state_t state;
  ca_fleet_target_t targets[CA_FLEET_MAX_ZONES];
  ca_service_stats_t *stats = ca_service_stats (leader->gateway, service->name);
  ca_service_work_t work;
  uint32_t need;
  uint32_t running = 0;
  uint64_t now_us = leader->gateway->now_us;
  ca_rollout_traffic_t traffic;

  ca_rollout_traffic (leader->gateway, service->name, &traffic);
  ca_rollout_renew_orders (leader, service->name, &traffic);
  memset (&state, 0, sizeof state);
  memset (targets, 0, sizeof targets);
  ca_peers_service_work (leader->gateway, service->name, &work);
  if (work.requests_per_s > 0 && leader->first_traffic_us == 0)
    leader->first_traffic_us = now_us;
  state.busy = work.busy * ca_endpoint_speed_mean_slowness (stats);
  state.held_tokens = work.held_tokens;
  state.requests_per_s = work.requests_per_s;
  state.slots = service->slots;
  state.cache_tokens = service->cache_tokens;
  state.min_endpoints = service->min_endpoints;
  state.max_endpoints = service->max_endpoints;
  state.reclaimable_price = service->reclaimable_price;
  state.traffic_known
      = leader->first_traffic_us != 0
        && now_us - leader->first_traffic_us > 2 * CA_WORK_SPAN_S * CA_US_PER_S;
  for (uint32_t i = 0;
       i < service->price_count && state.zone_count < CA_FLEET_MAX_ZONES; i++)
    {
      ca_fleet_zone_t *zone = &state.zones[state.zone_count++];
      ca_order_row_t *row = fleet_find_order (leader, service->name,
                                              service->prices[i].zone, true);

      zone->price = service->prices[i].price;
      fleet_count_endpoints (leader, service, service->prices[i].zone, &traffic,
                             zone, &state);
      running += zone->reclaimable
                 + fleet_count_retained (
                     fleet_find_order (leader, service->name,
                                       service->prices[i].zone, false),
                     zone->on_demand);
      fleet_check_order (leader, service, row, zone);
    }
  if (state.zone_count == 0)
    return;
  fleet_adopt (leader, service, &state, traffic.target != NULL);
  need = fleet_limit_need (stats, &state);
  ca_fleet_plan (&state, need, targets);
  for (uint32_t i = 0; i < state.zone_count; i++)
    {
      ca_order_row_t *reclaimable_order = fleet_find_order (
          leader, service->name, service->prices[i].zone, true);
      ca_order_row_t *on_demand_order = fleet_find_order (
          leader, service->name, service->prices[i].zone, false);

      if (now_us >= reclaimable_order->unavailable_until_us
          && state.reclaimable_price > 0)
        fleet_order (leader, reclaimable_order,
                     reclaimable_order->is_unmet
                         ? reclaimable_order->ordered
                         : fleet_delay_shrinking (leader, reclaimable_order,
                                                  targets[i].reclaimable),
                     &state, &state.zones[i]);
      fleet_order (leader, on_demand_order,
                   fleet_delay_replacement (
                       on_demand_order,
                       fleet_delay_shrinking (leader, on_demand_order,
                                              targets[i].on_demand),
                       state.zones[i].on_demand, need, &running),
                   &state, &state.zones[i]);
    }
}

void
ca_fleet_orders_tick (ca_leader_t *leader)
{
  const ca_catalog_t *catalog = leader->gateway->catalog;

  if (!leader->scales || !ca_lease_is_valid (leader) || catalog == NULL
      || leader->gateway->now_us < leader->next_plan_us)
    return;
  leader->next_plan_us = leader->gateway->now_us + PLAN_PERIOD_US;
  for (uint32_t i = 0; i < catalog->service_count; i++)
    {
      if (catalog->services[i].scales)
        fleet_scale_service (leader, &catalog->services[i]);
    }
}
