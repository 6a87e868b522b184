/* Number of requests that all entries together keep open at an endpoint that
 * starts.
 *
 * Load: an endpoint that has just started, or returns, has no load and looks
 * cheapest to all entries at once, while it may still be several times slower
 * than it will be. */
#include "gateway/start_pace.h"

#include "base/clock.h"

#include <math.h>

/* Part of the slots that the first window is. */
#define PACE_FIRST_SHARE 4

/* An answer in time, and a slow one. */
#define PACE_RATIO_IN_TIME 1.5
#define PACE_RATIO_SLOW 3.0

/* Answers that differ from the service's by less than a third. */
#define PACE_RATIO_USUAL (4.0 / 3)

/* An endpoint whose speed has not changed for this long is not starting; its
 * speed is a matter for the model. */
#define PACE_STEADY_US (4 * CA_US_PER_S)
#define PACE_STEADY_RATIO 1.5
#define PACE_SMOOTHING 0.3

/* An endpoint that gets too few requests to show anything is not limited for
 * longer than this after the start, or after its window was last halved. */
#define PACE_UNSEEN_US (10 * CA_US_PER_S)

/* A single peer's samples add at most this part of the slots to the window. */
#define PACE_PEER_SHARE 4

void
ca_start_pace_begin (ca_start_pace_t *pace, uint64_t now_us)
{
  uint32_t slots = pace->slots;

  *pace = (ca_start_pace_t){ .starting = true,
                             .hindered_us = now_us,
                             .earliest_us = pace->earliest_us,
                             .ended_us = pace->ended_us };
  ca_start_pace_set_slots (pace, slots);
}

void
ca_start_pace_set_slots (ca_start_pace_t *pace, uint32_t slots)
{
  pace->slots = slots;
  pace->window = slots / PACE_FIRST_SHARE;
  if (pace->window == 0 && slots > 0)
    pace->window = 1;
}

static void
pace_grow (ca_start_pace_t *pace, uint32_t answers)
{
  pace->window += answers;
  if (pace->window > pace->slots)
    pace->window = pace->slots;
}

static void
pace_halve (ca_start_pace_t *pace, uint64_t now_us)
{
  pace->window = pace->window > 1 ? pace->window / 2 : 1;
  pace->growth /= 2;
  pace->hindered_us = now_us;
}

/* Follows the speed, and notes since when it has been the same. */
static void
pace_measure (ca_start_pace_t *pace, uint64_t now_us, double ratio)
{
  double sample = log (fmax (ratio, 0.01));

  pace->log_ratio
      = pace->steady_us == 0
            ? sample
            : pace->log_ratio + (sample - pace->log_ratio) * PACE_SMOOTHING;
  if (pace->steady_us != 0
      && fabs (pace->log_ratio - pace->steady_ratio) < log (PACE_STEADY_RATIO))
    return;
  pace->steady_ratio = pace->log_ratio;
  pace->steady_us = now_us;
}

static void
pace_count (ca_start_pace_t *pace, uint64_t now_us, double ratio,
            uint32_t answers)
{
  pace_measure (pace, now_us, ratio);
  if (ratio < PACE_RATIO_USUAL && ratio > 1 / PACE_RATIO_USUAL)
    pace->usual += answers;
  if (ratio <= PACE_RATIO_IN_TIME)
    pace_grow (pace, answers);
  else if (ratio > PACE_RATIO_SLOW)
    pace_halve (pace, now_us);
}

void
ca_start_pace_answered (ca_start_pace_t *pace, uint64_t now_us, double ratio)
{
  uint32_t window = pace->window;

  pace_count (pace, now_us, ratio, 1);
  if (pace->window > window)
    pace->growth++;
}

void
ca_start_pace_heard (ca_start_pace_t *pace, uint64_t now_us, double ratio,
                     uint32_t samples)
{
  uint32_t most = pace->slots / PACE_PEER_SHARE + 1;

  if (samples > 0)
    pace_count (pace, now_us, ratio, samples < most ? samples : most);
}

void
ca_start_pace_failed (ca_start_pace_t *pace, uint64_t now_us)
{
  pace_halve (pace, now_us);
}

void
ca_start_pace_follow (ca_start_pace_t *pace, uint64_t now_us, uint32_t window)
{
  if (pace->follows_peer || window >= pace->window / 2)
    return;
  pace->follows_peer = true;
  pace_halve (pace, now_us);
}

void
ca_start_pace_begin_round (ca_start_pace_t *pace)
{
  pace->growth = 0;
  pace->follows_peer = false;
}

uint32_t
ca_start_pace_allowance (const ca_start_pace_t *pace, uint32_t entries,
                         uint32_t rank)
{
  uint32_t shared = pace->window - pace->growth;

  return shared / entries + (rank < shared % entries) + pace->growth;
}

bool
ca_start_pace_is_over (const ca_start_pace_t *pace, uint64_t now_us)
{
  if (now_us < pace->earliest_us || pace->slots == 0)
    return false;
  return pace->window >= pace->slots || pace->usual >= pace->slots
         || (pace->steady_us != 0 && now_us >= pace->steady_us + PACE_STEADY_US)
         || now_us >= pace->hindered_us + PACE_UNSEEN_US;
}

void
ca_start_pace_end (ca_start_pace_t *pace, uint64_t now_us)
{
  pace->starting = false;
  pace->ended_us = now_us;
}
