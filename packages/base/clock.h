/* Time units, and the hybrid logical clock that orders timeline events.
 *
 * Nothing here reads the system clock: the daemon does, once per event, and
 * passes the time in. */
#ifndef CA_BASE_CLOCK_H
#define CA_BASE_CLOCK_H

#include <stdint.h>

#define CA_US_PER_MS UINT64_C (1000)
#define CA_US_PER_S UINT64_C (1000000)

/* Hybrid logical clock: wall-clock microseconds in the upper 52 bits, and in
 * the lower 12 a counter that orders events of the same microsecond. */
typedef struct
{
  uint64_t last;
} ca_hlc_t;

#define CA_HLC_COUNTER_BITS 12

void ca_hlc_init (ca_hlc_t *hlc);

/* Returns the stamp of a local event at wall time `wall_us`, greater than all
 * earlier stamps. */
uint64_t ca_hlc_now (ca_hlc_t *hlc, uint64_t wall_us);

/* Advances the clock to a stamp received from another process, so that later
 * local stamps are greater. */
void ca_hlc_observe (ca_hlc_t *hlc, uint64_t stamp, uint64_t wall_us);

/* Wall-clock microseconds of a stamp. */
uint64_t ca_hlc_wall_us (uint64_t stamp);

#endif
