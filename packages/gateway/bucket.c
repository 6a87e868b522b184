/* Token bucket. */
#include "gateway/bucket.h"

#define BUCKET_US_PER_S 1e6

static void
bucket_fill (ca_bucket_t *bucket, uint64_t now_us)
{
  if (now_us <= bucket->filled_us)
    return;
  bucket->level += (double)(now_us - bucket->filled_us) * bucket->rate_per_s
                   / BUCKET_US_PER_S;
  if (bucket->level > bucket->depth)
    bucket->level = bucket->depth;
  bucket->filled_us = now_us;
}

void
ca_bucket_init (ca_bucket_t *bucket, uint64_t now_us, double rate_per_s,
                double depth)
{
  bucket->rate_per_s = rate_per_s;
  bucket->depth = depth;
  bucket->level = depth;
  bucket->filled_us = now_us;
}

void
ca_bucket_set (ca_bucket_t *bucket, uint64_t now_us, double rate_per_s,
               double depth)
{
  bucket_fill (bucket, now_us);
  if (bucket->depth > 0)
    bucket->level *= depth / bucket->depth;
  bucket->rate_per_s = rate_per_s;
  bucket->depth = depth;
}

void
ca_bucket_return (ca_bucket_t *bucket, double amount)
{
  bucket->level += amount;
  if (bucket->level > bucket->depth)
    bucket->level = bucket->depth;
}
