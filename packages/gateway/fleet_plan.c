/* Number of endpoints that a service needs, and their kinds and zones. */
#include "gateway/fleet_plan.h"

#include <math.h>

/* Target utilisation of an endpoint: time for prompts (more would delay the
 * tokens of running requests), slots and memory. */
#define FLEET_BUSY_SHARE 0.6
#define FLEET_SLOT_SHARE 0.5
#define FLEET_MEMORY_SHARE 0.5

/* On-demand endpoints that always run, since they cannot be reclaimed. */
#define FLEET_MIN_ON_DEMAND 1

/* Share of the need covered by on-demand endpoints during a reclaim wave, which
 * may reach all zones in turn faster than endpoints start.  A larger share
 * costs more than it saves when a wave reaches only one or two zones. */
#define FLEET_WAVE_ON_DEMAND 0.35

/* Share of the maximum number of endpoints that is ordered before any traffic
 * is known. */
#define FLEET_INITIAL_SHARE 0.25

/* Number of endpoints that would take the requests that limited ones do not,
 * if the load needs `need` of them. */
static double
fleet_replacements (const ca_fleet_state_t *state, double need)
{
  double endpoint_per_s = state->requests_per_s / need;

  if (endpoint_per_s <= 0)
    return 0;
  return fmax (state->limited - state->limited_per_s / endpoint_per_s, 0);
}

uint32_t
ca_fleet_need (const ca_fleet_state_t *state)
{
  double need = state->busy / FLEET_BUSY_SHARE;

  if (state->slots > 0)
    need = fmax (need, state->open / (state->slots * FLEET_SLOT_SHARE));
  if (state->cache_tokens > 0)
    need
        = fmax (need, state->held_tokens
                          / ((double)state->cache_tokens * FLEET_MEMORY_SHARE));
  if (!state->traffic_known)
    need = fmax (need, FLEET_INITIAL_SHARE * state->max_endpoints
                           * state->zone_count);
  need = fmax (need, 1.0);
  return (uint32_t)ceil (need + fleet_replacements (state, need));
}

/* Number of zones in which reclaimable endpoints are available. */
static uint32_t
fleet_open_zones (const ca_fleet_state_t *state)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < state->zone_count; i++)
    {
      if (!state->zones[i].reclaimable_unavailable)
        count++;
    }
  return state->reclaimable_price > 0 ? count : 0;
}

bool
ca_fleet_is_wave (const ca_fleet_state_t *state)
{
  return state->reclaimable_price > 0
         && fleet_open_zones (state) < state->zone_count;
}

static uint32_t
fleet_min (uint32_t count, uint32_t max)
{
  return count < max ? count : max;
}

/* Endpoints per zone such that all zones but one cover the need. */
static uint32_t
fleet_per_zone (uint32_t need, uint32_t zones)
{
  uint32_t carrying = zones > 1 ? zones - 1 : 1;

  return (need + carrying - 1) / carrying;
}

/* Minimum number of on-demand endpoints, however many reclaimable ones run. */
static uint32_t
fleet_on_demand (const ca_fleet_state_t *state, uint32_t need)
{
  if (!ca_fleet_is_wave (state))
    return FLEET_MIN_ON_DEMAND;
  return (uint32_t)ceil (need * FLEET_WAVE_ON_DEMAND);
}

/* Index of the zone with the lowest on-demand price. */
static uint32_t
fleet_cheapest (const ca_fleet_state_t *state)
{
  uint32_t best = 0;

  for (uint32_t i = 1; i < state->zone_count; i++)
    {
      if (state->zones[i].price < state->zones[best].price)
        best = i;
    }
  return best;
}

/* Number of endpoints that a reclaim wave may take next: those of the zone with
 * most of them.  0 if there is no wave. */
static uint32_t
fleet_at_risk (const ca_fleet_state_t *state, const ca_fleet_target_t *targets)
{
  uint32_t max = 0;

  if (!ca_fleet_is_wave (state))
    return 0;
  for (uint32_t i = 0; i < state->zone_count; i++)
    {
      if (targets[i].reclaimable > max)
        max = targets[i].reclaimable;
    }
  return max;
}

void
ca_fleet_plan (const ca_fleet_state_t *state, uint32_t need,
               ca_fleet_target_t *targets)
{
  uint32_t open_zones = fleet_open_zones (state);
  uint32_t on_demand = fleet_on_demand (state, need);
  uint32_t per_zone = (on_demand + state->zone_count - 1) / state->zone_count;
  uint32_t cheapest = fleet_cheapest (state);
  uint32_t planned = 0;
  uint32_t next = 0;

  for (uint32_t k = 0; k < state->zone_count; k++)
    {
      uint32_t i = (cheapest + k) % state->zone_count;
      const ca_fleet_zone_t *zone = &state->zones[i];
      ca_fleet_target_t *target = &targets[i];

      target->on_demand = fleet_min (fleet_min (per_zone, on_demand - planned),
                                     state->max_endpoints);
      planned += target->on_demand;
      /* Running endpoints of a kind that is unavailable are kept. */
      target->reclaimable = zone->reclaimable;
      if (!zone->reclaimable_unavailable && state->reclaimable_price > 0)
        target->reclaimable = fleet_per_zone (
            need > on_demand ? need - on_demand : 1, open_zones);
      target->reclaimable = fleet_min (
          target->reclaimable, state->max_endpoints - target->on_demand);
      if (target->on_demand + target->reclaimable < state->min_endpoints)
        target->on_demand = state->min_endpoints - target->reclaimable;
    }
  planned = 0;
  for (uint32_t i = 0; i < state->zone_count; i++)
    planned += targets[i].on_demand + targets[i].reclaimable;
  need += fleet_at_risk (state, targets);
  /* On-demand endpoints cover the rest, starting with the cheapest zone. */
  while (planned < need && next < state->zone_count * state->max_endpoints)
    {
      ca_fleet_target_t *target
          = &targets[(cheapest + next++) % state->zone_count];

      if (target->on_demand + target->reclaimable >= state->max_endpoints)
        continue;
      target->on_demand++;
      planned++;
    }
}
