/* Token bucket with adjustable rate and depth. */
#ifndef CA_GATEWAY_BUCKET_H
#define CA_GATEWAY_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double rate_per_s;
  double depth;
  double level;
  uint64_t filled_us;
} ca_bucket_t;

/* Initialises a full bucket. */
void ca_bucket_init (ca_bucket_t *bucket, uint64_t now_us, double rate_per_s,
                     double depth);

/* Changes rate and depth, keeping the relative fill level. */
void ca_bucket_set (ca_bucket_t *bucket, uint64_t now_us, double rate_per_s,
                    double depth);

/* Returns tokens that were taken but not used. */
void ca_bucket_return (ca_bucket_t *bucket, double amount);

#endif
