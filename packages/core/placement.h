/* Cheapest mix of a pool's VMs over zones, and over reclaimable and on-demand
 * VMs.
 *
 * The mix still has the needed number of VMs after any one zone has lost all
 * its reclaimable VMs. */
#ifndef CA_CORE_PLACEMENT_H
#define CA_CORE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CA_PLACEMENT_MAX_ZONES 16

/* Offer of one zone.  Prices are per VM, in the same unit for all zones. */
typedef struct
{
  double reclaimable_price;
  double on_demand_price;
  bool reclaimable_offered; /* false while the cloud refuses starts */
  bool on_demand_offered;
} ca_offer_t;

typedef struct
{
  uint32_t reclaimable;
  uint32_t on_demand;
} ca_mix_t;

/* Computes the mix for `needed` VMs from the offers of `zones` zones; at most
 * `reclaimable_percent` of the VMs are reclaimable.  `mix` has one element per
 * zone.  Returns its price, or a negative number if the offers do not
 * suffice. */
double ca_placement_choose (const ca_offer_t *offers, size_t zones,
                            uint32_t needed, uint32_t reclaimable_percent,
                            ca_mix_t *mix);

#endif
