/* Token bucket whose rate and depth may change. */
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

/* Starts full. */
void ca_bucket_init (ca_bucket_t *bucket, uint64_t now_us, double rate_per_s,
                     double depth);

/* Changes rate and depth; the level keeps its part of the depth. */
void ca_bucket_set (ca_bucket_t *bucket, uint64_t now_us, double rate_per_s,
                    double depth);

/* Takes `amount` if it is there.  An amount above the depth is taken from a
 * full bucket, which then owes the rest. */
bool ca_bucket_take (ca_bucket_t *bucket, uint64_t now_us, double amount);

/* Gives back what was taken and not used. */
void ca_bucket_return (ca_bucket_t *bucket, double amount);

/* Time until `amount` is there. */
uint64_t ca_bucket_wait_us (const ca_bucket_t *bucket, double amount);

#endif
