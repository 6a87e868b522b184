/* Fleet controller: starts and stops VMs.  One entry at a time runs it, under a
 * lease in the table service with an increasing fencing token.
 *
 * The holder measures the lease on its own monotonic clock from before the
 * write that acquired it, and checks it before each order.  Other entries take
 * the lease over only if its row has not changed for longer than the lease, on
 * their own clocks.  A delayed start can create a surplus VM, which is counted
 * and retired.  A stop names one boot of one address and is sent only after the
 * time allowed for moving its requests. */
#include "core/placement.h"
#include "core/private.h"

#include <stdlib.h>
#include <string.h>

#define LEASE_KEY "fleet/lease"
#define LEASE_US (10 * CA_US_PER_S)
#define LEASE_TAKE_OVER_US (14 * CA_US_PER_S)
#define LEASE_PERIOD_US (3 * CA_US_PER_S)

/* Minimum time left on the lease when an order is sent. */
#define LEASE_MARGIN_US (2 * CA_US_PER_S)
#define PLAN_PERIOD_US (2 * CA_US_PER_S)

/* A start counts as a pending VM for this long or until the VM is listed. */
#define START_PENDING_US (60 * CA_US_PER_S)
#define BACKOFF_MIN_US (5 * CA_US_PER_S)
#define BACKOFF_MAX_US (120 * CA_US_PER_S)

/* Maximum orders per pool and planning round. */
#define ORDERS_PER_ROUND 4

/* A surplus, or a mix that could be cheaper, must persist this long before the
 * controller acts on it. */
#define REBALANCE_DELAY_US (30 * CA_US_PER_S)

/* The work of a retired VM is moved within the notice; the VM is stopped after
 * it. */
#define RETIRE_NOTICE_US (20 * CA_US_PER_S)
#define RETIRE_STOP_US (40 * CA_US_PER_S)

/* Lease. */

/* True while the lease is held with enough time left for an order. */
static bool
fleet_holds_lease (const ca_core_t *core)
{
  return core->fleet.lease_held
         && core->now_us + LEASE_MARGIN_US < core->fleet.lease_until_us;
}

static void
fleet_lose_lease (ca_core_t *core)
{
  core->fleet.lease_held = false;
}

static bool
fleet_parse_lease (const ca_row_t *row, uint64_t *fence)
{
  json_t *value = json_loads (row->value, 0, NULL);
  const json_t *number = json_object_get (value, "fence");
  bool parsed = json_is_integer (number);

  *fence = (uint64_t)json_integer_value (number);
  json_decref (value);
  return parsed;
}

static void
fleet_lease_written (ca_core_t *core, uint64_t subject,
                     const ca_table_result_t *result)
{
  ca_fleet_t *fleet = &core->fleet;

  (void)subject;
  fleet->lease_pending = false;
  if (result->status == CA_TABLE_CONFLICT)
    fleet_lose_lease (core);
  if (result->status != CA_TABLE_OK)
    return;
  if (!fleet->lease_held)
    ca_trace (core, CA_EVENT_FLEET_LEADER, NULL, 0, "fence %llu",
              (unsigned long long)fleet->fence);
  fleet->lease_held = true;
  fleet->version = result->version;
  fleet->lease_until_us = fleet->lease_written_us + LEASE_US;
}

/* Acquires or renews the lease, provided that its row has not changed. */
static void
fleet_write_lease (ca_core_t *core, uint64_t version, uint64_t fence)
{
  ca_fleet_t *fleet = &core->fleet;
  char value[128];
  ca_table_op_t op = { LEASE_KEY, version, value };

  snprintf (value, sizeof value, "{\"holder\":\"%s\",\"fence\":%llu}",
            core->options.name, (unsigned long long)fence);
  fleet->fence = fence;
  fleet->lease_written_us = core->now_us;
  fleet->lease_pending = ca_store_write (core, 0, &op, 1, fleet_lease_written);
}

static void
fleet_lease_read (ca_core_t *core, uint64_t subject,
                  const ca_table_result_t *result)
{
  ca_fleet_t *fleet = &core->fleet;
  uint64_t fence = 0;

  (void)subject;
  fleet->lease_pending = false;
  if (result->status != CA_TABLE_OK)
    return;
  if (result->row_count == 0)
    {
      fleet_write_lease (core, CA_ROW_ABSENT, 1);
      return;
    }
  if (!fleet_parse_lease (&result->rows[0], &fence))
    {
      ca_trace (core, CA_EVENT_STORE_BAD_ROW, NULL, 0, LEASE_KEY);
      return;
    }
  if (result->rows[0].version != fleet->lease_seen_version)
    {
      fleet->lease_seen_version = result->rows[0].version;
      fleet->lease_seen_us = core->now_us;
      return;
    }
  if (core->now_us - fleet->lease_seen_us >= LEASE_TAKE_OVER_US)
    fleet_write_lease (core, fleet->lease_seen_version, fence + 1);
}

/* Only the live entry with the highest hash tries to acquire the lease. */
static bool
fleet_is_candidate (const ca_core_t *core)
{
  const ca_member_t *best = ca_member_by_hash (core, "fleet");

  return best != NULL && best->id == core->id;
}

static void
fleet_lease_tick (ca_core_t *core)
{
  ca_fleet_t *fleet = &core->fleet;

  if (fleet->lease_held && core->now_us >= fleet->lease_until_us)
    fleet_lose_lease (core);
  if (fleet->lease_pending || core->now_us < fleet->next_lease_us)
    return;
  fleet->next_lease_us = core->now_us + LEASE_PERIOD_US;
  if (fleet->lease_held && !core->stopping)
    fleet_write_lease (core, fleet->version, fleet->fence);
  else if (!fleet->lease_held && !core->stopping && fleet_is_candidate (core))
    fleet->lease_pending = ca_store_read (core, 0, LEASE_KEY, fleet_lease_read);
}

/* Prices. */

static ca_price_t *
fleet_find_price (ca_core_t *core, const char *zone)
{
  for (size_t i = 0; i < core->fleet.price_count; i++)
    {
      if (strcmp (core->fleet.prices[i].zone, zone) == 0)
        return &core->fleet.prices[i];
    }
  return NULL;
}

void
ca_core_set_price (ca_core_t *core, uint64_t now_us, const char *zone,
                   double reclaimable, double on_demand)
{
  ca_price_t *price = fleet_find_price (core, zone);

  ca_core_begin_event (core, now_us);
  if (price == NULL && core->fleet.price_count < CA_PLACEMENT_MAX_ZONES)
    {
      price = &core->fleet.prices[core->fleet.price_count++];
      strlcpy (price->zone, zone, sizeof price->zone);
    }
  if (price != NULL)
    {
      price->reclaimable = reclaimable;
      price->on_demand = on_demand;
    }
  ca_core_end_event (core);
}

/* Orders. */

static void
fleet_order_free (ca_core_t *core, ca_order_t *order)
{
  TAILQ_REMOVE (&core->fleet.orders, order, entries);
  free (order);
}

static void
fleet_start_vm (ca_core_t *core, const char *zone, const char *pool,
                bool reclaimable)
{
  ca_order_t *order = calloc (1, sizeof *order);
  const ca_address_t none = { 0, 0 };

  CA_INVARIANT (core, fleet_holds_lease (core), "VM orders require the lease");
  order->number = ca_core_new_request_id (core);
  order->sent_us = core->now_us;
  order->reclaimable = reclaimable;
  strlcpy (order->zone, zone, sizeof order->zone);
  strlcpy (order->pool, pool, sizeof order->pool);
  TAILQ_INSERT_TAIL (&core->fleet.orders, order, entries);
  ca_trace (core, CA_EVENT_FLEET_START, NULL, 0, "%s zone %s %s", pool, zone,
            reclaimable ? "reclaimable" : "on demand");
  core->ports.order_vm (core->ports.context, order->number, core->fleet.fence,
                        true, zone, pool, reclaimable, &none, 0);
}

static void
fleet_stop_vm (ca_core_t *core, const ca_endpoint_t *endpoint)
{
  CA_INVARIANT (core, fleet_holds_lease (core), "VM orders require the lease");
  CA_INVARIANT (core, endpoint->state != CA_ENDPOINT_UP,
                "only endpoints out of service are stopped");
  ca_trace (core, CA_EVENT_FLEET_STOP, NULL, endpoint->id, "%s zone %s",
            endpoint->pool, endpoint->zone);
  core->ports.order_vm (core->ports.context, 0, core->fleet.fence, false,
                        endpoint->zone, endpoint->pool, endpoint->reclaimable,
                        &endpoint->address, endpoint->boot);
}

/* Blocks starts of this kind of VM in the zone after a refusal, with
 * exponential backoff. */
static void
fleet_back_off (ca_core_t *core, const ca_order_t *order)
{
  ca_price_t *price = fleet_find_price (core, order->zone);
  int price_index = order->reclaimable ? 1 : 0;

  if (price == NULL)
    return;
  if (price->backoff_us[price_index] < BACKOFF_MIN_US)
    price->backoff_us[price_index] = BACKOFF_MIN_US;
  else
    price->backoff_us[price_index] *= 2;
  if (price->backoff_us[price_index] > BACKOFF_MAX_US)
    price->backoff_us[price_index] = BACKOFF_MAX_US;
  price->blocked_until_us[price_index]
      = core->now_us + price->backoff_us[price_index] / 2
        + ca_random_below (core, price->backoff_us[price_index]);
  ca_trace (core, CA_EVENT_FLEET_REFUSED, NULL, 0, "%s zone %s %s", order->pool,
            order->zone, order->reclaimable ? "reclaimable" : "on demand");
}

void
ca_core_order_result (ca_core_t *core, uint64_t now_us, uint64_t number,
                      ca_order_status_t status)
{
  ca_order_t *order;

  ca_core_begin_event (core, now_us);
  TAILQ_FOREACH (order, &core->fleet.orders, entries)
  {
    if (order->number != number)
      continue;
    if (status == CA_ORDER_DONE)
      {
        ca_price_t *price = fleet_find_price (core, order->zone);

        if (price != NULL)
          price->backoff_us[order->reclaimable ? 1 : 0] = 0;
      }
    /* A start without an answer stays pending until it expires. */
    if (status == CA_ORDER_REFUSED)
      {
        fleet_back_off (core, order);
        fleet_order_free (core, order);
      }
    break;
  }
  ca_core_end_event (core);
}

/* Drops pending starts whose VM was not listed in time. */
static void
fleet_expire_orders (ca_core_t *core)
{
  ca_order_t *order = TAILQ_FIRST (&core->fleet.orders);

  while (order != NULL)
    {
      ca_order_t *next = TAILQ_NEXT (order, entries);

      if (core->now_us - order->sent_us >= START_PENDING_US)
        fleet_order_free (core, order);
      order = next;
    }
}

void
ca_fleet_vm_listed (ca_core_t *core, const ca_endpoint_t *endpoint)
{
  ca_order_t *order;

  TAILQ_FOREACH (order, &core->fleet.orders, entries)
  {
    if (order->reclaimable == endpoint->reclaimable
        && strcmp (order->zone, endpoint->zone) == 0
        && strcmp (order->pool, endpoint->pool) == 0)
      {
        fleet_order_free (core, order);
        return;
      }
  }
}

/* Planning rounds. */

/* Counts the pool's VMs of one kind in the zone, both in service and
 * pending. */
static uint32_t
fleet_count (const ca_core_t *core, const char *pool, const char *zone,
             bool reclaimable)
{
  const ca_order_t *order;
  uint32_t count = 0;
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    if (endpoint->state == CA_ENDPOINT_UP
        && endpoint->reclaimable == reclaimable
        && strcmp (endpoint->pool, pool) == 0
        && strcmp (endpoint->zone, zone) == 0)
      count++;
  }
  TAILQ_FOREACH (order, &core->fleet.orders, entries)
  {
    if (order->reclaimable == reclaimable && strcmp (order->pool, pool) == 0
        && strcmp (order->zone, zone) == 0)
      count++;
  }
  return count;
}

/* Fills in prices per zone, and which kinds of VM may be started. */
static void
fleet_fill_offers (ca_core_t *core, const ca_pool_t *pool, ca_offer_t *offers)
{
  for (uint32_t i = 0; i < pool->zone_count; i++)
    {
      const ca_price_t *price = fleet_find_price (core, pool->zones[i].zone);

      memset (&offers[i], 0, sizeof offers[i]);
      if (price == NULL)
        continue;
      offers[i].reclaimable_price = price->reclaimable;
      offers[i].on_demand_price = price->on_demand;
      offers[i].reclaimable_offered
          = core->now_us >= price->blocked_until_us[1];
      offers[i].on_demand_offered = core->now_us >= price->blocked_until_us[0];
    }
}

static uint32_t
fleet_needed (const ca_pool_t *pool)
{
  uint32_t needed = 0;

  for (uint32_t i = 0; i < pool->zone_count; i++)
    needed += pool->zones[i].replicas;
  return needed;
}

/* Retires one VM of the pool in the zone. */
static void
fleet_retire_vm (ca_core_t *core, const char *pool, const char *zone,
                 bool reclaimable)
{
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    if (endpoint->state != CA_ENDPOINT_UP
        || endpoint->reclaimable != reclaimable
        || strcmp (endpoint->pool, pool) != 0
        || strcmp (endpoint->zone, zone) != 0)
      continue;
    endpoint->retired = true;
    ca_endpoint_retire (core, endpoint, RETIRE_NOTICE_US);
    return;
  }
}

static uint32_t
fleet_count_all (const ca_core_t *core, const ca_pool_t *pool)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < pool->zone_count; i++)
    count += fleet_count (core, pool->name, pool->zones[i].zone, true)
             + fleet_count (core, pool->name, pool->zones[i].zone, false);
  return count;
}

/* Starts up to `max_starts` VMs that the mix has and the fleet lacks. */
static void
fleet_start_missing (ca_core_t *core, const ca_pool_t *pool,
                     const ca_mix_t *mix, uint32_t max_starts)
{
  uint32_t sent = 0;

  for (uint32_t i = 0; i < pool->zone_count; i++)
    for (int reclaimable = 0; reclaimable < 2; reclaimable++)
      {
        const char *zone = pool->zones[i].zone;
        uint32_t target = reclaimable ? mix[i].reclaimable : mix[i].on_demand;
        uint32_t current = fleet_count (core, pool->name, zone, reclaimable);

        for (; current < target && sent < max_starts; current++, sent++)
          fleet_start_vm (core, zone, pool->name, reclaimable);
      }
}

/* Retires one VM of a zone and kind of which the fleet has more than the
 * mix. */
static void
fleet_retire_surplus (ca_core_t *core, const ca_pool_t *pool,
                      const ca_mix_t *mix)
{
  for (uint32_t i = 0; i < pool->zone_count; i++)
    for (int reclaimable = 0; reclaimable < 2; reclaimable++)
      {
        uint32_t target = reclaimable ? mix[i].reclaimable : mix[i].on_demand;

        if (fleet_count (core, pool->name, pool->zones[i].zone, reclaimable)
            <= target)
          continue;
        fleet_retire_vm (core, pool->name, pool->zones[i].zone, reclaimable);
        return;
      }
}

static bool
fleet_mix_reached (const ca_core_t *core, const ca_pool_t *pool,
                   const ca_mix_t *mix)
{
  for (uint32_t i = 0; i < pool->zone_count; i++)
    {
      const char *zone = pool->zones[i].zone;

      if (fleet_count (core, pool->name, zone, true) != mix[i].reclaimable
          || fleet_count (core, pool->name, zone, false) != mix[i].on_demand)
        return false;
    }
  return true;
}

static ca_fleet_pool_t *
fleet_pool_state (ca_core_t *core, const char *name)
{
  ca_fleet_pool_t *state = NULL;

  HASH_FIND_STR (core->fleet.pools, name, state);
  if (state != NULL)
    return state;
  state = calloc (1, sizeof *state);
  strlcpy (state->name, name, sizeof state->name);
  state->last_no_surplus_us = core->now_us;
  state->last_balanced_us = core->now_us;
  HASH_ADD_STR (core->fleet.pools, name, state);
  return state;
}

/* Moves the fleet of a pool toward the mix.  Missing VMs are started
 * immediately.  A surplus VM is retired, or a VM that the mix lacks is started
 * in a fleet of the right size, only after the difference has persisted for
 * REBALANCE_DELAY_US. */
static void
fleet_reconcile (ca_core_t *core, const ca_pool_t *pool, const ca_mix_t *mix,
                 uint32_t target)
{
  ca_fleet_pool_t *state = fleet_pool_state (core, pool->name);
  uint32_t current = fleet_count_all (core, pool);

  if (current <= target)
    state->last_no_surplus_us = core->now_us;
  if (current != target || fleet_mix_reached (core, pool, mix))
    state->last_balanced_us = core->now_us;
  if (current < target)
    {
      uint32_t missing = target - current;

      fleet_start_missing (core, pool, mix,
                           missing < ORDERS_PER_ROUND ? missing
                                                      : ORDERS_PER_ROUND);
    }
  else if (core->now_us - state->last_no_surplus_us >= REBALANCE_DELAY_US)
    {
      state->last_no_surplus_us = core->now_us;
      fleet_retire_surplus (core, pool, mix);
    }
  else if (core->now_us - state->last_balanced_us >= REBALANCE_DELAY_US)
    {
      state->last_balanced_us = core->now_us;
      fleet_start_missing (core, pool, mix, 1);
    }
}

static void
fleet_plan_pool (ca_core_t *core, const ca_pool_t *pool)
{
  ca_offer_t offers[CA_PLACEMENT_MAX_ZONES];
  ca_mix_t mix[CA_PLACEMENT_MAX_ZONES];
  uint32_t target_total = 0;

  fleet_fill_offers (core, pool, offers);
  if (ca_placement_choose (offers, pool->zone_count, fleet_needed (pool),
                           pool->reclaimable_percent, mix)
      < 0)
    return;
  for (uint32_t i = 0; i < pool->zone_count; i++)
    target_total += mix[i].reclaimable + mix[i].on_demand;
  fleet_reconcile (core, pool, mix, target_total);
}

/* Stops retired VMs once there was enough time to move their requests. */
static void
fleet_stop_retired (ca_core_t *core)
{
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    if (!endpoint->retired || endpoint->state == CA_ENDPOINT_UP
        || core->now_us - endpoint->state_since_us < RETIRE_STOP_US)
      continue;
    endpoint->retired = false;
    fleet_stop_vm (core, endpoint);
  }
}

void
ca_fleet_tick (ca_core_t *core)
{
  fleet_lease_tick (core);
  fleet_expire_orders (core);
  if (!fleet_holds_lease (core) || core->now_us < core->fleet.next_plan_us)
    return;
  core->fleet.next_plan_us = core->now_us + PLAN_PERIOD_US;
  /* Without prices the fleet is left unchanged. */
  if (core->fleet.price_count == 0)
    return;
  for (size_t i = 0; i < core->config.pool_count; i++)
    fleet_plan_pool (core, &core->config.pools[i]);
  fleet_stop_retired (core);
}

void
ca_fleet_finish (ca_core_t *core)
{
  ca_fleet_pool_t *state;
  ca_fleet_pool_t *next;

  while (!TAILQ_EMPTY (&core->fleet.orders))
    fleet_order_free (core, TAILQ_FIRST (&core->fleet.orders));
  HASH_ITER (hh, core->fleet.pools, state, next)
  {
    HASH_DEL (core->fleet.pools, state);
    free (state);
  }
}
