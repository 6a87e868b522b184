/* Parts of the bound on the age of a copy. */
#include "gateway/watch_times.h"

#include "base/clock.h"
#include "gateway/gateway.h"

#define TIMES_HOLD_SHARE 0.4
#define TIMES_ANSWER_SHARE 0.2
#define TIMES_PAUSE_SHARE 0.2
#define TIMES_UPDATE_SHARE 0.1
#define TIMES_SILENCE_SHARE 0.2
#define TIMES_RANK_SHARE 0.05
#define TIMES_MAX_AGE_SHARE 0.6

/* A call that follows a lost one: a connection, the answer, and the tick. */
#define TIMES_REPEAT_SHARE 0.1
#define TIMES_TICK_MS (CA_GATEWAY_TICK_US / CA_US_PER_MS)

static uint32_t
times_part (uint32_t bound_ms, double share)
{
  return (uint32_t)(bound_ms * share);
}

void
ca_watch_times_init (ca_watch_times_t *times, uint32_t bound_ms)
{
  times->hold_ms = times_part (bound_ms, TIMES_HOLD_SHARE);
  times->answer_ms = times_part (bound_ms, TIMES_ANSWER_SHARE);
  times->pause_ms = times_part (bound_ms, TIMES_PAUSE_SHARE);
  times->update_ms = times_part (bound_ms, TIMES_UPDATE_SHARE);
  times->silence_ms = times_part (bound_ms, TIMES_SILENCE_SHARE);
  times->rank_ms = times_part (bound_ms, TIMES_RANK_SHARE);
  times->max_age_ms = times_part (bound_ms, TIMES_MAX_AGE_SHARE);
}

/* Time of a call that repeats a lost one. */
static uint32_t
times_repeat_ms (const ca_watch_times_t *times)
{
  return (uint32_t)(times->answer_ms * TIMES_REPEAT_SHARE / TIMES_ANSWER_SHARE)
         + (uint32_t)TIMES_TICK_MS;
}

uint32_t
ca_watch_times_call_ms (const ca_watch_times_t *times)
{
  return times->pause_ms + times->hold_ms + times->answer_ms
         + times_repeat_ms (times);
}

uint32_t
ca_watch_times_max_age_ms (const ca_watch_times_t *times, uint32_t rank)
{
  return rank < CA_WATCH_DEPUTIES
             ? times->max_age_ms - (CA_WATCH_DEPUTIES - rank) * times->rank_ms
             : times->max_age_ms;
}

uint32_t
ca_watch_times_silence_ms (const ca_watch_times_t *times, uint32_t rank)
{
  return times->silence_ms + (rank - 1) * 2 * times->rank_ms;
}

uint32_t
ca_watch_times_deputy_ms (const ca_watch_times_t *times)
{
  return times->hold_ms + ca_watch_times_silence_ms (times, 1)
         + (uint32_t)TIMES_TICK_MS + times_repeat_ms (times);
}

uint32_t
ca_watch_times_follow_ms (const ca_watch_times_t *times)
{
  return times->max_age_ms + (uint32_t)TIMES_TICK_MS + times->answer_ms
         + times_repeat_ms (times);
}
