/* How many endpoints of each kind a service should have in each zone.
 *
 * A pure function of what is asked and what is there.  Reclaimable endpoints
 * carry the load, spread so that the others bear the loss of any one zone's;
 * on-demand ones are the floor, and fill in while reclaimable ones are not to
 * be had. */
#ifndef CA_GATEWAY_FLEET_PLAN_H
#define CA_GATEWAY_FLEET_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#define CA_FLEET_MAX_ZONES 16

typedef struct
{
  uint32_t on_demand; /* endpoints that take requests */
  uint32_t reclaimable;
  bool reclaimable_unavailable; /* refused, or lost to a reclaim, a short while
                                   ago */
  double price;                 /* of an on-demand endpoint a second */
} ca_fleet_zone_t;

typedef struct
{
  double busy;        /* endpoints' worth of reading prompts */
  double open;        /* requests open at endpoints */
  double held_tokens; /* prompt and output of these */
  uint32_t slots;
  uint64_t cache_tokens;
  uint32_t min_endpoints; /* a zone, both kinds */
  uint32_t max_endpoints;
  double reclaimable_price; /* 0: none are to be had */
  bool traffic_known;       /* for long enough to size by it */
  uint32_t zone_count;
  ca_fleet_zone_t zones[CA_FLEET_MAX_ZONES];
} ca_fleet_state_t;

typedef struct
{
  uint32_t on_demand;
  uint32_t reclaimable;
} ca_fleet_target_t;

/* True while reclaimable endpoints are not to be had in some zone. */
bool ca_fleet_is_wave (const ca_fleet_state_t *state);

/* Endpoints that the load needs, in all. */
uint32_t ca_fleet_need (const ca_fleet_state_t *state);

/* Fills a row a zone. */
void ca_fleet_plan (const ca_fleet_state_t *state, uint32_t need,
                    ca_fleet_target_t *targets);

#endif
