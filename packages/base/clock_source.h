/* System clocks. */
#ifndef CA_BASE_CLOCK_SOURCE_H
#define CA_BASE_CLOCK_SOURCE_H

#include <stdint.h>

/* Monotonic microseconds since an arbitrary start. */
uint64_t ca_clock_now_us (void);

/* Microseconds since boot, including time suspended. */
uint64_t ca_clock_boot_us (void);

/* Wall-clock microseconds since 1970. */
uint64_t ca_clock_wall_us (void);

#endif
