/* Cheapest mix of VMs of one pool over zones and over reclaimable and
 * on-demand machines.
 *
 * The mix holds `needed` replicas even after any one zone has lost all its
 * reclaimable VMs. */
#ifndef CA_CORE_PLACEMENT_H
#define CA_CORE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CA_PLACEMENT_MAX_ZONES 16

/* One zone's offer; prices are for one VM in any one unit. */
typedef struct
{
  double reclaimable_price;
  double on_demand_price;
  bool reclaimable_offered; /* starts are not being refused */
  bool on_demand_offered;
} ca_offer_t;

typedef struct
{
  uint32_t reclaimable;
  uint32_t on_demand;
} ca_mix_t;

/* Fills `mix` for `zones` offers; at most `reclaimable_percent` of the VMs are
 * reclaimable.  Returns the price of the mix, or a negative number if the
 * offers cannot hold what is needed. */
double ca_placement_choose (const ca_offer_t *offers, size_t zones,
                            uint32_t needed, uint32_t reclaimable_percent,
                            ca_mix_t *mix);

#endif
