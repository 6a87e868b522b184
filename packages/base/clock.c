/* The hybrid logical clock. */
#include "base/clock.h"

/* Remote stamps further ahead than this come from a wrong clock and are
 * ignored. */
#define HLC_MAX_AHEAD_US (60 * CA_US_PER_S)

void
ca_hlc_init (ca_hlc_t *hlc)
{
  hlc->last = 0;
}

uint64_t
ca_hlc_now (ca_hlc_t *hlc, uint64_t wall_us)
{
  uint64_t wall = wall_us << CA_HLC_COUNTER_BITS;

  hlc->last = wall > hlc->last ? wall : hlc->last + 1;
  return hlc->last;
}

void
ca_hlc_observe (ca_hlc_t *hlc, uint64_t stamp, uint64_t wall_us)
{
  uint64_t limit = (wall_us + HLC_MAX_AHEAD_US) << CA_HLC_COUNTER_BITS;

  if (stamp > hlc->last && stamp < limit)
    hlc->last = stamp;
}

uint64_t
ca_hlc_wall_us (uint64_t stamp)
{
  return stamp >> CA_HLC_COUNTER_BITS;
}
