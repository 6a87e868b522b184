/* Finds the cheapest mix by trying every cap on the reclaimable VMs of one zone
 * and filling up with the cheapest offers under that cap. */
#include "core/placement.h"

#include <string.h>

/* Index of the cheapest on-demand offer; `zones` if there is none. */
static size_t
placement_cheapest_on_demand (const ca_offer_t *offers, size_t zones)
{
  size_t best = zones;

  for (size_t i = 0; i < zones; i++)
    {
      if (offers[i].on_demand_offered
          && (best == zones
              || offers[i].on_demand_price < offers[best].on_demand_price))
        best = i;
    }
  return best;
}

/* Index of the cheapest reclaimable offer in a zone below the cap; `zones` if
 * there is none. */
static size_t
placement_cheapest_reclaimable (const ca_offer_t *offers, size_t zones,
                                const ca_mix_t *mix, uint32_t cap)
{
  size_t best = zones;

  for (size_t i = 0; i < zones; i++)
    {
      if (offers[i].reclaimable_offered && mix[i].reclaimable < cap
          && (best == zones
              || offers[i].reclaimable_price < offers[best].reclaimable_price))
        best = i;
    }
  return best;
}

/* Fills the mix so that no zone has more than `cap` reclaimable VMs.  It has
 * `cap` VMs more than needed, so that it survives the loss of any zone's
 * reclaimable VMs.  Returns its price, or -1 if the offers do not suffice. */
static double
placement_fill (const ca_offer_t *offers, size_t zones, uint32_t needed,
                uint32_t cap, uint32_t reclaimable_percent, ca_mix_t *mix)
{
  uint32_t total = needed + cap;
  uint32_t reclaimable_left = total * reclaimable_percent / 100;
  size_t on_demand = placement_cheapest_on_demand (offers, zones);
  double price = 0;

  memset (mix, 0, zones * sizeof *mix);
  for (uint32_t i = 0; i < total; i++)
    {
      size_t zone = zones;

      if (reclaimable_left > 0)
        zone = placement_cheapest_reclaimable (offers, zones, mix, cap);
      if (zone < zones
          && (on_demand == zones
              || offers[zone].reclaimable_price
                     < offers[on_demand].on_demand_price))
        {
          mix[zone].reclaimable++;
          reclaimable_left--;
          price += offers[zone].reclaimable_price;
        }
      else if (on_demand < zones)
        {
          mix[on_demand].on_demand++;
          price += offers[on_demand].on_demand_price;
        }
      else
        return -1;
    }
  return price;
}

double
ca_placement_choose (const ca_offer_t *offers, size_t zones, uint32_t needed,
                     uint32_t reclaimable_percent, ca_mix_t *mix)
{
  double best = -1;

  memset (mix, 0, zones * sizeof *mix);
  for (uint32_t cap = 0; cap <= needed; cap++)
    {
      ca_mix_t candidate[CA_PLACEMENT_MAX_ZONES];
      double price = placement_fill (offers, zones, needed, cap,
                                     reclaimable_percent, candidate);

      if (price < 0 || (best >= 0 && price >= best))
        continue;
      best = price;
      memcpy (mix, candidate, zones * sizeof *mix);
    }
  return best;
}
