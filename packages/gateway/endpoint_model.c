/* Model of the speed of one endpoint.
 *
 * Load: a service whose endpoints differ by a factor of 2.7, some of them
 * slowed further by other work on their machines.  With one speed for all, slow
 * ones get as many prompts as fast ones, and half of their answers are late. */
#include "gateway/endpoint_model.h"

#include "base/clock.h"

#include <math.h>
#include <stdlib.h>

/* A sample counts at most as this factor, so that one answer, or an entry that
 * measures wrongly, moves little. */
#define MODEL_RATIO_MAX 5.0

/* Weight of one of the first samples at most, so that one answer moves little.
 */
#define MODEL_SAMPLE_WEIGHT 0.15

/* Later samples weigh as in a mean of this many.  With a mean of some seven,
 * queues looked like slowness: 72 entries distinguished equal engines at 0.7 of
 * their capacity, and refused 0.015 of the requests (test_herding). */
#define MODEL_SAMPLES 30.0

/* Weight of one peer's samples at most. */
#define MODEL_PEER_WEIGHT_MAX 0.25

/* Without samples the model returns to the service's speed, so that an endpoint
 * that gets no requests is tried again. */
#define MODEL_DECAY_US (10.0 * CA_US_PER_S)

/* Samples after which an endpoint is compared with others, and endpoints that
 * such a comparison needs. */
#define MODEL_KNOWN_SAMPLES 5
#define MODEL_SPREAD_ENDPOINTS 5

static double
model_log (double ratio)
{
  double limit = log (MODEL_RATIO_MAX);
  double value = ratio > 0 ? log (ratio) : -limit;

  return fmax (-limit, fmin (limit, value));
}

/* Part of what was measured that still counts. */
static double
model_remainder (const ca_endpoint_model_t *model, uint64_t now_us)
{
  if (model->updated_us == 0)
    return 0;
  return exp (-(double)(now_us - model->updated_us) / MODEL_DECAY_US);
}

/* Adds the mean of `samples` samples, which has at most the weight `most`. */
static void
model_move (ca_endpoint_model_t *model, uint64_t now_us, double sample,
            double samples, double most)
{
  double remainder = model_remainder (model, now_us);
  double current = model->log_slowness * remainder;

  model->samples = fmin (model->samples * remainder + samples, MODEL_SAMPLES);
  model->log_slowness
      = current + (sample - current) * fmin (samples / model->samples, most);
  model->updated_us = now_us;
}

void
ca_endpoint_model_add (ca_endpoint_model_t *model, uint64_t now_us,
                       double ratio)
{
  double sample = model_log (ratio);

  model_move (model, now_us, sample, 1, MODEL_SAMPLE_WEIGHT);
  model->sum += sample;
  model->count++;
  if (model->known < MODEL_KNOWN_SAMPLES)
    model->known++;
}

void
ca_endpoint_model_merge (ca_endpoint_model_t *model, uint64_t now_us,
                         double ratio, uint32_t samples)
{
  if (samples == 0)
    return;
  model_move (model, now_us, model_log (ratio), samples,
              fmin (MODEL_SAMPLE_WEIGHT * samples, MODEL_PEER_WEIGHT_MAX));
  if (model->known < MODEL_KNOWN_SAMPLES)
    model->known++;
}

void
ca_endpoint_model_begin_round (ca_endpoint_model_t *model)
{
  model->round_ratio = model->count == 0 ? 0 : exp (model->sum / model->count);
  model->round_count = model->count;
  model->sum = 0;
  model->count = 0;
}

double
ca_endpoint_model_slowness (const ca_endpoint_model_t *model, uint64_t now_us)
{
  return exp (model->log_slowness * model_remainder (model, now_us));
}

bool
ca_endpoint_model_is_known (const ca_endpoint_model_t *model)
{
  return model->known >= MODEL_KNOWN_SAMPLES;
}

static int
model_compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

double
ca_endpoint_model_spread (double *factors, uint32_t count)
{
  if (count < MODEL_SPREAD_ENDPOINTS)
    return 1;
  qsort (factors, count, sizeof factors[0], model_compare);
  return factors[(count * 4) / 5] / factors[count / 5];
}
