/* Number of endpoints of each kind that a service should have in each zone.
 *
 * A pure function of the load and the running endpoints.  Reclaimable endpoints
 * carry the load, spread so that the loss of any one zone leaves enough.  A
 * minimum of on-demand endpoints always runs, and more replace reclaimable ones
 * while these are unavailable. */
#ifndef CA_GATEWAY_FLEET_PLAN_H
#define CA_GATEWAY_FLEET_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#define CA_FLEET_MAX_ZONES 16

/* One zone: its running endpoints, availability and price. */
typedef struct
{
  uint32_t on_demand; /* endpoints that take requests */
  uint32_t reclaimable;
  bool reclaimable_unavailable; /* refused or reclaimed recently */
  double price;                 /* of an on-demand endpoint per second */
} ca_fleet_zone_t;

/* Load, limits and zones of a service. */
typedef struct
{
  double busy;        /* endpoints kept busy by prompts */
  double open;        /* requests open at endpoints, at most the slots */
  double held_tokens; /* prompt and output tokens of all requests */
  double requests_per_s;
  uint32_t limited;     /* running endpoints that limit their requests */
  double limited_per_s; /* requests that these take together */
  uint32_t slots;
  uint64_t cache_tokens;
  uint32_t min_endpoints; /* per zone, both kinds together */
  uint32_t max_endpoints;
  double reclaimable_price; /* 0: no reclaimable endpoints exist */
  bool traffic_known;       /* observed for long enough to plan by it */
  uint32_t zone_count;
  ca_fleet_zone_t zones[CA_FLEET_MAX_ZONES];
} ca_fleet_state_t;

/* Planned number of endpoints in one zone. */
typedef struct
{
  uint32_t on_demand;
  uint32_t reclaimable;
} ca_fleet_target_t;

/* True while reclaimable endpoints are unavailable in some zone. */
bool ca_fleet_is_wave (const ca_fleet_state_t *state);

/* Returns the number of endpoints that the load needs in all zones, with
 * replacements for what limited ones do not take. */
uint32_t ca_fleet_need (const ca_fleet_state_t *state);

/* Fills `targets`, one per zone of `state`. */
void ca_fleet_plan (const ca_fleet_state_t *state, uint32_t need,
                    ca_fleet_target_t *targets);

#endif
