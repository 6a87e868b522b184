/* Times of the calls and updates that keep the copy of a table recent, as parts
 * of the bound within which an entry must know a change. */
#ifndef CA_GATEWAY_WATCH_TIMES_H
#define CA_GATEWAY_WATCH_TIMES_H

#include <stdint.h>

typedef struct
{
  uint32_t hold_ms;    /* for which the store may hold a call for a change */
  uint32_t answer_ms;  /* after that, until the answer counts as lost */
  uint32_t pause_ms;   /* at most, after an answer with changes */
  uint32_t update_ms;  /* between a reader's updates to its followers */
  uint32_t max_age_ms; /* of a copy whose follower asks the store itself */
} ca_watch_times_t;

/* Derives all times from a bound. */
void ca_watch_times_init (ca_watch_times_t *times, uint32_t bound_ms);

/* The longest time until an entry that calls the store itself knows a change,
 * if the answer that brings it is lost. */
uint32_t ca_watch_times_call_ms (const ca_watch_times_t *times);

/* The same for a follower whose reader falls silent. */
uint32_t ca_watch_times_follow_ms (const ca_watch_times_t *times);

#endif
