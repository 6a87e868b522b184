/* How much slower than its service one endpoint answers. */
#ifndef CA_GATEWAY_ENDPOINT_MODEL_H
#define CA_GATEWAY_ENDPOINT_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/* Measured from answers to all entries; zeroed for a new process.  Ratios are
 * kept as logarithms, so that twice as slow and twice as fast weigh the same.
 */
typedef struct
{
  double log_slowness; /* 0: as fast as the service is assumed to be */
  uint64_t updated_us; /* 0: nothing was measured */
  uint32_t known;      /* samples, up to the number that is enough */
  double samples;      /* that log_slowness is the mean of, up to a number */
  double sum;     /* logarithms of own samples in this round of heartbeats */
  uint32_t count; /* number of these */
  double round_ratio; /* mean of the round before, to be reported */
  uint32_t round_count;
} ca_endpoint_model_t;

/* Adds a sample of this entry: the ratio of the time that an answer took to the
 * time expected of an endpoint of the service's speed. */
void ca_endpoint_model_add (ca_endpoint_model_t *model, uint64_t now_us,
                            double ratio);

/* Adds the mean of a peer's samples. */
void ca_endpoint_model_merge (ca_endpoint_model_t *model, uint64_t now_us,
                              double ratio, uint32_t samples);

/* Begins a round of heartbeats, which report the own samples of the one before.
 */
void ca_endpoint_model_begin_round (ca_endpoint_model_t *model);

/* Factor by which the endpoint is slower, at `now_us`: 1 if unknown. */
double ca_endpoint_model_slowness (const ca_endpoint_model_t *model,
                                   uint64_t now_us);

/* True if enough was measured to compare the endpoint with others. */
bool ca_endpoint_model_is_known (const ca_endpoint_model_t *model);

/* Ratio between the 80th and the 20th percentile of `count` factors, which are
 * sorted; 1 if there are too few to tell. */
double ca_endpoint_model_spread (double *factors, uint32_t count);

#endif
