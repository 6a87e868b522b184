/* State of one followed table. */
#include "gateway/watch.h"

#include "base/clock.h"

#include <string.h>

/* Pauses after failures: calls are priced, and a store that is down or slow
 * must not be asked by all at once. */
#define WATCH_RETRY_FIRST_US (150 * CA_US_PER_MS)
#define WATCH_RETRY_MOST_US (600 * CA_US_PER_MS)
#define WATCH_DOWN_FAILURES 2

void
ca_watch_init (ca_watch_t *watch, const char *table, uint32_t wait_ms,
               void (*list) (void *context, ca_watch_t *watch),
               void (*feed) (void *context, ca_watch_t *watch, uint64_t after),
               void *context)
{
  memset (watch, 0, sizeof *watch);
  watch->table = table;
  watch->wait_ms = wait_ms;
  watch->list = list;
  watch->feed = feed;
  watch->context = context;
}

void
ca_watch_tick (ca_watch_t *watch, uint64_t now_us)
{
  if (watch->busy || now_us < watch->next_us)
    return;
  watch->busy = true;
  if (watch->listed)
    watch->feed (watch->context, watch, watch->after);
  else
    watch->list (watch->context, watch);
}

void
ca_watch_done (ca_watch_t *watch, uint64_t now_us, ca_watch_status_t status,
               uint64_t version)
{
  uint64_t pause_us = WATCH_RETRY_FIRST_US;

  watch->busy = false;
  if (status == CA_WATCH_FAILED)
    {
      watch->failures++;
      for (uint32_t i = 1;
           i < watch->failures && pause_us < WATCH_RETRY_MOST_US; i++)
        pause_us *= 2;
      watch->next_us = now_us + pause_us;
      return;
    }
  watch->failures = 0;
  watch->next_us = now_us;
  if (status == CA_WATCH_FORGOTTEN)
    {
      watch->listed = false;
      return;
    }
  watch->listed = true;
  if (version > watch->after)
    watch->after = version;
  ca_watch_tick (watch, now_us);
}

bool
ca_watch_is_down (const ca_watch_t *watch)
{
  return watch->failures >= WATCH_DOWN_FAILURES;
}
