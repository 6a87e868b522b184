/* Times of the calls and updates that keep the copy of a table recent, as parts
 * of the bound within which an entry must know a change. */
#ifndef CA_GATEWAY_WATCH_TIMES_H
#define CA_GATEWAY_WATCH_TIMES_H

#include <stdint.h>

typedef struct
{
  uint32_t hold_ms;   /* for which the store may hold a call for a change */
  uint32_t answer_ms; /* after that, until the answer counts as lost */
  uint32_t pause_ms;  /* at most, after an answer with changes */
  uint32_t update_ms; /* between a reader's updates to its followers */
  uint32_t
      silence_ms;   /* of the reader, until the first deputy asks the store */
  uint32_t rank_ms; /* by which each deputy asks later than the one before */
  uint32_t max_age_ms; /* of a copy whose follower asks the store itself */
} ca_watch_times_t;

/* Followers that ask the store early, for all others, if the reader is silent
 * or its copy old. */
#define CA_WATCH_DEPUTIES 3

/* Derives all times from a bound. */
void ca_watch_times_init (ca_watch_times_t *times, uint32_t bound_ms);

/* The longest time until an entry that calls the store itself knows a change,
 * if the answer that brings it is lost. */
uint32_t ca_watch_times_call_ms (const ca_watch_times_t *times);

/* Age of a copy at which the follower of a rank, 1 for the first, asks. */
uint32_t ca_watch_times_max_age_ms (const ca_watch_times_t *times,
                                    uint32_t rank);

/* Silence of all who read for it at which a deputy asks. */
uint32_t ca_watch_times_silence_ms (const ca_watch_times_t *times,
                                    uint32_t rank);

/* As ca_watch_times_call_ms, for the first deputy of a reader that falls silent
 * and for a follower of which all that read for it do. */
uint32_t ca_watch_times_deputy_ms (const ca_watch_times_t *times);
uint32_t ca_watch_times_follow_ms (const ca_watch_times_t *times);

#endif
