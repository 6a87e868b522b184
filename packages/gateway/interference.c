/* What a request costs the others at an engine.
 *
 * Load: a prompt of 9,190 tokens, which takes 240 ms to read and 400 ms at a
 * slow engine, beside streams that are late if a single pause exceeds 400 ms.
 */
#include "gateway/interference.h"

#include "base/clock.h"

#include <math.h>

/* Pauses from this part of the allowed gap on count, in proportion, since a
 * second prompt may follow at once. */
#define INTERFERENCE_GAP_SHARE 0.5

/* Prompts interfere if reading them takes more than this part of the gap.  By
 * the longest prompt, a service was taken for one whose streams suffer where
 * they do not, and sessions left the engines that had them cached. */
#define INTERFERENCE_LIKELY_SHARE 0.55

/* Time between two events of a stream when no prompt is read. */
#define INTERFERENCE_EVENT_US (20.0 * CA_US_PER_MS)

/* Time over which the tokens that an engine reads are averaged. */
#define INTERFERENCE_RATE_US (2.0 * CA_US_PER_S)

/* Each stream that the prompt stops for too long costs one allowed gap, and so
 * does a stream that prompts will stop, at most. */
double
ca_interference_cost_us (const ca_interference_place_t *place,
                         const ca_interference_request_t *request,
                         double gap_us)
{
  double tolerated_us = gap_us * INTERFERENCE_GAP_SHARE;
  double part;
  double delay_us;

  if (gap_us <= 0)
    return 0;
  part = (request->read_us - tolerated_us) / (gap_us - tolerated_us);
  delay_us = request->events * INTERFERENCE_EVENT_US
             * fmin (place->reading_share, 1);
  return place->streams * gap_us * fmax (0, fmin (part, 1))
         + fmin (delay_us, gap_us);
}

bool
ca_interference_is_likely (double long_read_us, double gap_us)
{
  return gap_us > 0 && long_read_us > gap_us * INTERFERENCE_LIKELY_SHARE;
}

void
ca_interference_rate_add (ca_interference_rate_t *rate, uint64_t now_us,
                          double amount)
{
  rate->per_s = ca_interference_rate (rate, now_us)
                + amount / (INTERFERENCE_RATE_US / CA_US_PER_S);
  rate->updated_us = now_us;
}

double
ca_interference_rate (const ca_interference_rate_t *rate, uint64_t now_us)
{
  if (rate->updated_us == 0)
    return 0;
  return rate->per_s
         * exp (-(double)(now_us - rate->updated_us) / INTERFERENCE_RATE_US);
}
