/* Sums of outcomes, classification of answers, and the verdict. */
#include "gateway/rollout_evidence.h"

#include "base/clock.h"

#include <math.h>
#include <stdlib.h>

/* Bad answers before the shares of bad answers are compared, over all routes
 * and on one route. */
#define VERDICT_BAD_MIN 10
#define VERDICT_BAD_MIN_ROUTE 6

/* With more bad answers than this at the old versions, some endpoints fail, and
 * one route needs as many bad answers as all together. */
#define VERDICT_CALM_SHARE 0.01

/* The target is bad if its share of bad answers is above this multiple of the
 * old one plus a margin, and above the old one by this many standard errors.
 * The margin lets a version pass that is as good as the old ones on days on
 * which a tenth of all endpoints fails. */
#define VERDICT_FACTOR 2.0
#define VERDICT_MARGIN 0.04
#define VERDICT_ERRORS 3.0

/* Bad answers come in clusters if some endpoints fail two of five requests: the
 * variance of their number is larger by 1 + (m - 1) * r, with m = 5 answers of
 * a canary endpoint in a second and r = 0.375, the part of the variance that is
 * between endpoints if a tenth of them fails. */
#define VERDICT_CLUSTERING 2.5

/* With many bad answers, a smaller difference convicts. */
#define VERDICT_BAD_MANY 40
#define VERDICT_FACTOR_MANY 1.5
#define VERDICT_MARGIN_MANY 0.01

/* Answers from the target before it counts as good: over all routes, and on
 * each route that has had many at the old versions. */
#define VERDICT_GOOD_MIN 60
#define VERDICT_GOOD_MIN_ROUTE 8
#define VERDICT_ROUTE_BUSY 100
#define VERDICT_GOOD_MIN_LATE 5

/* Near the deadline, with few answers: a good version that runs at failing
 * endpoints, too, has some bad answers. */
#define VERDICT_GOOD_MIN_LATE_BAD 20

/* A slow answer takes more than this multiple of the time of the old versions,
 * and this much longer than predicted. */
#define SLOW_FACTOR 3.0
#define SLOW_MIN_US (150 * CA_US_PER_MS)

/* Weight of the assumption that predictions are right, in samples, and the
 * bounds of one sample. */
#define PACE_PRIOR_SAMPLES 2.0
#define PACE_RATIO_MAX 5.0

/* Answers whose mean may stand for a prediction. */
#define PACE_SAMPLES_MIN 3

void
ca_rollout_sums_finish (ca_rollout_sums_t *sums)
{
  free (sums->rows);
  sums->rows = NULL;
  sums->count = 0;
}

static ca_rollout_row_t *
evidence_find (ca_rollout_sums_t *sums, uint32_t route)
{
  for (uint32_t i = 0; i < sums->count; i++)
    {
      if (sums->rows[i].route == route)
        return &sums->rows[i];
    }
  return NULL;
}

ca_rollout_row_t *
ca_rollout_sums_row (ca_rollout_sums_t *sums, uint32_t route)
{
  ca_rollout_row_t *row = evidence_find (sums, route);

  if (row != NULL)
    return row;
  if (sums->count + 1 >= CA_ROLLOUT_ROUTES_MAX
      && route != CA_ROLLOUT_OTHER_ROUTES)
    return ca_rollout_sums_row (sums, CA_ROLLOUT_OTHER_ROUTES);
  sums->rows = realloc (sums->rows, (sums->count + 1) * sizeof *sums->rows);
  row = &sums->rows[sums->count++];
  *row = (ca_rollout_row_t){ .route = route };
  return row;
}

/* The counts are unsigned, so adding with the sign -1 subtracts them. */
static void
evidence_add_tally (ca_rollout_tally_t *sum, const ca_rollout_tally_t *tally,
                    uint32_t sign)
{
  sum->answers += sign * tally->answers;
  sum->failures += sign * tally->failures;
  sum->slow += sign * tally->slow;
}

static void
evidence_add (ca_rollout_sums_t *sums, const ca_rollout_sums_t *other,
              uint32_t sign)
{
  for (uint32_t i = 0; i < other->count; i++)
    {
      ca_rollout_row_t *row = ca_rollout_sums_row (sums, other->rows[i].route);

      evidence_add_tally (&row->old, &other->rows[i].old, sign);
      evidence_add_tally (&row->target, &other->rows[i].target, sign);
    }
}

void
ca_rollout_sums_add (ca_rollout_sums_t *sums, const ca_rollout_sums_t *other)
{
  evidence_add (sums, other, 1);
}

void
ca_rollout_sums_subtract (ca_rollout_sums_t *sums,
                          const ca_rollout_sums_t *other)
{
  evidence_add (sums, other, UINT32_MAX);
}

ca_rollout_row_t
ca_rollout_sums_total (const ca_rollout_sums_t *sums)
{
  ca_rollout_row_t total = { .route = 0 };

  for (uint32_t i = 0; i < sums->count; i++)
    {
      evidence_add_tally (&total.old, &sums->rows[i].old, 1);
      evidence_add_tally (&total.target, &sums->rows[i].target, 1);
    }
  return total;
}

uint32_t
ca_rollout_tally_bad (const ca_rollout_tally_t *tally)
{
  uint32_t bad = tally->failures + tally->slow;

  /* A slow answer may turn out to be malformed, too. */
  return bad < tally->answers ? bad : tally->answers;
}

static double
evidence_bad_share (const ca_rollout_tally_t *tally)
{
  return tally->answers == 0
             ? 0
             : (double)ca_rollout_tally_bad (tally) / tally->answers;
}

/* Standard error of the difference of the two shares if both versions were
 * equal.  Without answers from the old versions, that of the target's share. */
static double
evidence_standard_error (const ca_rollout_row_t *row)
{
  double old = row->old.answers;
  double target = row->target.answers;
  double share
      = (ca_rollout_tally_bad (&row->old) + ca_rollout_tally_bad (&row->target))
        / (old + target);

  return sqrt (VERDICT_CLUSTERING * share * (1 - share)
               * (1 / target + (old > 0 ? 1 / old : 0)));
}

/* The same row with failures as its only bad answers. */
static ca_rollout_row_t
evidence_failures (const ca_rollout_row_t *row)
{
  ca_rollout_row_t failures = *row;

  failures.old.slow = 0;
  failures.target.slow = 0;
  return failures;
}

static bool
evidence_bad_convict (const ca_rollout_row_t *row, uint32_t bad_min)
{
  uint32_t bad = ca_rollout_tally_bad (&row->target);
  double old_share = evidence_bad_share (&row->old);
  double share = evidence_bad_share (&row->target);

  if (old_share > VERDICT_CALM_SHARE)
    bad_min = VERDICT_BAD_MIN;
  if (bad < bad_min
      || share - old_share <= VERDICT_ERRORS * evidence_standard_error (row))
    return false;
  return share > VERDICT_FACTOR * old_share + VERDICT_MARGIN
         || (bad >= VERDICT_BAD_MANY
             && share > VERDICT_FACTOR_MANY * old_share + VERDICT_MARGIN_MANY);
}

/* True if the bad answers convict the target, or its failures alone: under load
 * a fifth of the old versions' answers are slow, which would hide them. */
static bool
evidence_convicts (const ca_rollout_row_t *row, uint32_t bad_min)
{
  ca_rollout_row_t failures = evidence_failures (row);

  return evidence_bad_convict (row, bad_min)
         || evidence_bad_convict (&failures, bad_min);
}

/* True if there are enough answers on each route. */
static bool
evidence_covers_routes (const ca_rollout_sums_t *sums)
{
  for (uint32_t i = 0; i < sums->count; i++)
    {
      if (sums->rows[i].old.answers >= VERDICT_ROUTE_BUSY
          && sums->rows[i].target.answers < VERDICT_GOOD_MIN_ROUTE)
        return false;
    }
  return true;
}

/* True if the bad answers are at most three standard deviations, and one, more
 * than expected of an equal version. */
static bool
evidence_bad_plausible (const ca_rollout_row_t *row)
{
  double share = evidence_bad_share (&row->old);
  double expected = share * row->target.answers;
  double deviation = sqrt (VERDICT_CLUSTERING * expected * (1 - share));

  return ca_rollout_tally_bad (&row->target)
         <= expected + VERDICT_ERRORS * deviation + 1;
}

/* True if the target's bad answers, and its failures, are so few that equal
 * versions explain them. */
static bool
evidence_is_plausible (const ca_rollout_row_t *row)
{
  ca_rollout_row_t failures = evidence_failures (row);

  return evidence_bad_plausible (row) && evidence_bad_plausible (&failures);
}

/* True if the answers suffice near the deadline. */
static bool
evidence_suffices_late (const ca_rollout_sums_t *sums,
                        const ca_rollout_row_t *total)
{
  if (ca_rollout_tally_bad (&total->target) == 0)
    return total->target.answers >= VERDICT_GOOD_MIN_LATE;
  if (total->target.answers < VERDICT_GOOD_MIN_LATE_BAD
      || !evidence_is_plausible (total))
    return false;
  for (uint32_t i = 0; i < sums->count; i++)
    {
      if (!evidence_is_plausible (&sums->rows[i]))
        return false;
    }
  return true;
}

ca_rollout_verdict_t
ca_rollout_verdict (const ca_rollout_sums_t *sums, bool late)
{
  ca_rollout_row_t total = ca_rollout_sums_total (sums);

  if (evidence_convicts (&total, VERDICT_BAD_MIN))
    return CA_ROLLOUT_BAD;
  for (uint32_t i = 0; i < sums->count; i++)
    {
      if (evidence_convicts (&sums->rows[i], VERDICT_BAD_MIN_ROUTE))
        return CA_ROLLOUT_BAD;
    }
  if (total.target.answers >= VERDICT_GOOD_MIN && evidence_covers_routes (sums))
    return CA_ROLLOUT_GOOD;
  if (late && evidence_suffices_late (sums, &total))
    return CA_ROLLOUT_GOOD;
  return CA_ROLLOUT_UNDECIDED;
}

static double
evidence_ratio (uint64_t took_us, uint64_t predicted_us)
{
  return predicted_us == 0 ? 1 : (double)took_us / (double)predicted_us;
}

void
ca_rollout_pace_add (ca_rollout_pace_t *pace, uint64_t took_us,
                     uint64_t predicted_us)
{
  double ratio = evidence_ratio (took_us, predicted_us);

  pace->samples++;
  pace->ratio_sum += ratio < PACE_RATIO_MAX ? ratio : PACE_RATIO_MAX;
  pace->took_sum_us += (double)took_us;
}

bool
ca_rollout_is_slow (const ca_rollout_pace_t *pace, uint64_t took_us,
                    uint64_t predicted_us)
{
  double mean_ratio = 1;

  if (predicted_us != 0)
    mean_ratio = (pace->ratio_sum + PACE_PRIOR_SAMPLES)
                 / (pace->samples + PACE_PRIOR_SAMPLES);
  else if (pace->samples >= PACE_SAMPLES_MIN)
    predicted_us = (uint64_t)(pace->took_sum_us / pace->samples);
  else
    return false;
  return took_us >= predicted_us + SLOW_MIN_US
         && evidence_ratio (took_us, predicted_us) > SLOW_FACTOR * mean_ratio;
}
