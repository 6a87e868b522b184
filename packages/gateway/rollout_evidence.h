/* Outcomes of requests during a rollout, summed by route and version side, and
 * the verdict on the new version.  Pure functions. */
#ifndef CA_GATEWAY_ROLLOUT_EVIDENCE_H
#define CA_GATEWAY_ROLLOUT_EVIDENCE_H

#include "gateway/rollout.h"

/* Routes that are distinguished; further ones share a row.  Limits the length
 * of heartbeats. */
#define CA_ROLLOUT_ROUTES_MAX 12

/* Number of the row that the further routes share. */
#define CA_ROLLOUT_OTHER_ROUTES 0

typedef struct
{
  uint32_t answers; /* all that count, good and bad */
  uint32_t failures;
  uint32_t slow;
} ca_rollout_tally_t;

typedef struct
{
  uint32_t route; /* hash of its name */
  ca_rollout_tally_t old;
  ca_rollout_tally_t target;
} ca_rollout_row_t;

/* Zero-initialised. */
typedef struct
{
  ca_rollout_row_t *rows;
  uint32_t count;
} ca_rollout_sums_t;

void ca_rollout_sums_finish (ca_rollout_sums_t *sums);

/* The row of a route, created on first use. */
ca_rollout_row_t *ca_rollout_sums_row (ca_rollout_sums_t *sums, uint32_t route);

/* Adds all rows of `other`, or subtracts them again. */
void ca_rollout_sums_add (ca_rollout_sums_t *sums,
                          const ca_rollout_sums_t *other);
void ca_rollout_sums_subtract (ca_rollout_sums_t *sums,
                               const ca_rollout_sums_t *other);

/* Sum over all routes; its `route` is 0. */
ca_rollout_row_t ca_rollout_sums_total (const ca_rollout_sums_t *sums);

uint32_t ca_rollout_tally_bad (const ca_rollout_tally_t *tally);

/* The verdict by the sums of all entries; `late` if the deadline is near, when
 * fewer answers suffice. */
ca_rollout_verdict_t ca_rollout_verdict (const ca_rollout_sums_t *sums,
                                         bool late);

/* Times of answers at the old versions on one route, relative to those
 * predicted. */
typedef struct
{
  uint32_t route;
  uint32_t samples;
  double ratio_sum;
  double took_sum_us;
} ca_rollout_pace_t;

void ca_rollout_pace_add (ca_rollout_pace_t *pace, uint64_t took_us,
                          uint64_t predicted_us);

/* True if an answer took so much longer than predicted, compared with those of
 * the old versions, that it counts as bad.  `predicted_us` is 0 if there is no
 * prediction but the mean of the old versions. */
bool ca_rollout_is_slow (const ca_rollout_pace_t *pace, uint64_t took_us,
                         uint64_t predicted_us);

#endif
