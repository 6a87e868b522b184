/* Reads the system clocks. */
#include "base/clock_source.h"

#include "base/clock.h"

#include <time.h>

static uint64_t
clock_read_us (clockid_t which)
{
  struct timespec now;

  clock_gettime (which, &now);
  return (uint64_t)now.tv_sec * CA_US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

uint64_t
ca_clock_now_us (void)
{
  return clock_read_us (CLOCK_MONOTONIC);
}

uint64_t
ca_clock_boot_us (void)
{
  return clock_read_us (CLOCK_BOOTTIME);
}

uint64_t
ca_clock_wall_us (void)
{
  return clock_read_us (CLOCK_REALTIME);
}
