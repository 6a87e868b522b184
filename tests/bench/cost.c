/* Price and shortage of VM placements under random prices and reclaims. */
#include "bench.h"

#include "core/placement.h"

#include <stdlib.h>
#include <string.h>

#define COST_ZONES 3
#define COST_HOURS 720
#define COST_SEED 11

/* Probability per hour that a zone loses all its reclaimable VMs. */
#define COST_RECLAIM_PROBABILITY 0.04

typedef enum
{
  COST_PLACEMENT,
  COST_ON_DEMAND,
  COST_CHEAPEST_FIRST /* reclaimable VMs in the cheapest zone only */
} cost_policy_t;

typedef struct
{
  double price_per_hour; /* mean */
  double shortage_share; /* of hours in which too few VMs remained */
} cost_result_t;

static void
cost_choose (cost_policy_t policy, const ca_offer_t *offers, uint32_t needed,
             uint32_t percent, ca_mix_t *mix)
{
  size_t best = 0;

  memset (mix, 0, COST_ZONES * sizeof *mix);
  if (policy == COST_PLACEMENT)
    {
      ca_placement_choose (offers, COST_ZONES, needed, percent, mix);
      return;
    }
  for (size_t i = 1; i < COST_ZONES; i++)
    {
      double candidate_price = policy == COST_ON_DEMAND
                                   ? offers[i].on_demand_price
                                   : offers[i].reclaimable_price;
      double best_price = policy == COST_ON_DEMAND
                              ? offers[best].on_demand_price
                              : offers[best].reclaimable_price;

      if (candidate_price < best_price)
        best = i;
    }
  if (policy == COST_ON_DEMAND)
    mix[best].on_demand = needed;
  else
    mix[best].reclaimable = needed;
}

static cost_result_t
cost_run (cost_policy_t policy, uint32_t needed, uint32_t percent)
{
  unsigned short rng[3] = { COST_SEED, 0, 0 };
  cost_result_t result = { 0, 0 };

  for (int hour = 0; hour < COST_HOURS; hour++)
    {
      ca_offer_t offers[COST_ZONES];
      ca_mix_t mix[COST_ZONES];
      uint32_t remaining = 0;

      for (int i = 0; i < COST_ZONES; i++)
        {
          offers[i].on_demand_price = 10 + erand48 (rng);
          offers[i].reclaimable_price = 2.5 + 3 * erand48 (rng);
          offers[i].reclaimable_offered = true;
          offers[i].on_demand_offered = true;
        }
      cost_choose (policy, offers, needed, percent, mix);
      for (int i = 0; i < COST_ZONES; i++)
        {
          result.price_per_hour
              += mix[i].reclaimable * offers[i].reclaimable_price
                 + mix[i].on_demand * offers[i].on_demand_price;
          remaining += mix[i].on_demand;
          if (erand48 (rng) >= COST_RECLAIM_PROBABILITY)
            remaining += mix[i].reclaimable;
        }
      result.shortage_share += remaining < needed;
    }
  result.price_per_hour /= COST_HOURS;
  result.shortage_share /= COST_HOURS;
  return result;
}

static void
cost_rows (const char *deployment, uint32_t needed, uint32_t percent)
{
  cost_result_t placement = cost_run (COST_PLACEMENT, needed, percent);
  cost_result_t on_demand = cost_run (COST_ON_DEMAND, needed, percent);
  cost_result_t cheapest = cost_run (COST_CHEAPEST_FIRST, needed, percent);
  char variant[64];

  snprintf (variant, sizeof variant, "%s to on demand", deployment);
  bench_row ("price an hour", variant, "units", placement.price_per_hour,
             on_demand.price_per_hour);
  snprintf (variant, sizeof variant, "%s to cheapest", deployment);
  bench_row ("price an hour", variant, "units", placement.price_per_hour,
             cheapest.price_per_hour);
  bench_row ("hours below the need", variant, "share", placement.shortage_share,
             cheapest.shortage_share);
}

void
bench_cost (void)
{
  cost_rows ("sizing 12", 12, 60);
  cost_rows ("credit 9", 9, 50);
}
