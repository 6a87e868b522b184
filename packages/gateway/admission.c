/* Pressure, level, and shares of what is shed, of one service. */
#include "gateway/admission_shares.h"

#include "base/clock.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* An objective that is tighter by this factor makes the rule apply.  With 1.5
 * it did where the present rule serves the urgent kind well: more was refused
 * of each kind. */
#define ADMISSION_TARGET_RATIO 3.0

/* Time constant of the pressure, and the longest time that one sample stands
 * for, so that a single one cannot set the pressure. */
#define ADMISSION_SMOOTHING_US (250.0 * CA_US_PER_MS)
#define ADMISSION_SAMPLE_MAX_US (100.0 * CA_US_PER_MS)

/* Without samples for so many mean intervals, within these bounds, the pressure
 * decays. */
#define ADMISSION_HOLD_INTERVALS 3
#define ADMISSION_HOLD_MIN_US (200.0 * CA_US_PER_MS)
#define ADMISSION_HOLD_MAX_US (1000.0 * CA_US_PER_MS)
#define ADMISSION_INTERVAL_WEIGHT 0.1
#define ADMISSION_READ_WEIGHT 0.1

/* The pressure is 1 if the first event of the most urgent kind is predicted at
 * this part of its objective: predictions are uncertain. */
#define ADMISSION_LATE_SHARE 0.85

/* Smallest part of the objective that counts as room for queues, where idle
 * endpoints already need most of it. */
#define ADMISSION_ROOM_MIN 0.25

/* Pressure if endpoints reject as many requests as arrive: it is 1 if they
 * reject a fifth.  With many entries the loads that they know are old, so that
 * endpoints are full although short queues are predicted.  One rejection says
 * little, so at least some requests are assumed. */
#define ADMISSION_REJECTION_PRESSURE 5.0
#define ADMISSION_REJECTION_MIN_REQUESTS 4.0

/* Pressure of a request that finds no endpoint. */
#define ADMISSION_NO_ENDPOINT CA_ADMISSION_PRESSURE_MAX

/* Rules of the level: it rises above the first pressure and falls below the
 * second, each after a time, and never twice within the step time. */
#define ADMISSION_RISE_PRESSURE 1.0
#define ADMISSION_FALL_PRESSURE 0.7
#define ADMISSION_RISE_US (200 * CA_US_PER_MS)
#define ADMISSION_FALL_US (1000 * CA_US_PER_MS)
#define ADMISSION_STEP_US (400 * CA_US_PER_MS)

/* Pressures from which on one quarter more is shed at the same level. */
#define ADMISSION_SECOND_QUARTER 0.85
#define ADMISSION_THIRD_QUARTER 1.0
#define ADMISSION_FOURTH_QUARTER 1.15

/* A less urgent rank may be served more than a more urgent one by this share;
 * checked once so many requests were counted. */
#define ADMISSION_ORDER_SLACK 0.05
#define ADMISSION_ORDER_MIN_REQUESTS 4.0
#define ADMISSION_COUNT_US (1.0 * CA_US_PER_S)

/* The first event of the most urgent kind may be predicted this late, as a part
 * of its objective, while less urgent requests can still be shed to make room,
 * and once none can. */
#define ADMISSION_LIMIT_RISING 1.5
#define ADMISSION_LIMIT_FULL 1.0

/* Less urgent requests are refused at this part of that time in a queue, so
 * that chance does not serve more of them. */
#define ADMISSION_LESS_URGENT_SHARE 0.92

/* If some ask for more than their share, these are cut first.  All are shed
 * once the pressure has been above 1 for this long at the same level. */
#define ADMISSION_EXCESS_TRIAL_US (1500 * CA_US_PER_MS)

/* Fewer values than this have no median that one wrong value cannot move. */
#define ADMISSION_MEDIAN_MIN 3
#define ADMISSION_PEERS_MAX 1024
#define ADMISSION_PEER_PERIODS 2

/* Retry-After: the shortest, which grows with the rank, and the span, which
 * doubles with the level except for the most urgent kind. */
#define ADMISSION_RETRY_US (300 * CA_US_PER_MS)
#define ADMISSION_RETRY_SPAN_US (500 * CA_US_PER_MS)
#define ADMISSION_RETRY_TIMEOUT_SHARE 3

/* Widens a kind's objectives by those of another. */
static void
admission_kind_merge (ca_admission_kind_t *kind,
                      const ca_admission_kind_t *other)
{
  if (other->target_min_ms < kind->target_min_ms)
    kind->target_min_ms = other->target_min_ms;
  if (other->target_max_ms > kind->target_max_ms)
    kind->target_max_ms = other->target_max_ms;
}

void
ca_admission_rule_add (ca_admission_rule_t *rule, uint32_t priority,
                       uint32_t target_ms)
{
  ca_admission_kind_t added = { priority, target_ms, target_ms };
  uint32_t i = 0;

  while (i < rule->count && rule->kinds[i].priority < priority)
    i++;
  if (i < rule->count && rule->kinds[i].priority == priority)
    {
      admission_kind_merge (&rule->kinds[i], &added);
      return;
    }
  memmove (&rule->kinds[i + 1], &rule->kinds[i],
           (rule->count - i) * sizeof rule->kinds[0]);
  rule->kinds[i] = added;
  if (rule->count < CA_ADMISSION_RANKS_MAX)
    rule->count++;
  else
    admission_kind_merge (&rule->kinds[CA_ADMISSION_RANKS_MAX - 1],
                          &rule->kinds[CA_ADMISSION_RANKS_MAX]);
}

bool
ca_admission_rule_applies (const ca_admission_rule_t *rule)
{
  for (uint32_t i = 0; i < rule->count; i++)
    {
      for (uint32_t j = i + 1; j < rule->count; j++)
        {
          if (rule->kinds[i].target_min_ms * ADMISSION_TARGET_RATIO
              <= rule->kinds[j].target_max_ms)
            return true;
        }
    }
  return false;
}

uint32_t
ca_admission_rule_rank (const ca_admission_rule_t *rule, uint32_t priority)
{
  uint32_t rank = 0;

  while (rank + 1 < rule->count && rule->kinds[rank + 1].priority <= priority)
    rank++;
  return rank;
}

void
ca_admission_init (ca_admission_t *admission, const ca_admission_rule_t *rule,
                   uint64_t now_us)
{
  memset (admission, 0, sizeof *admission);
  admission->rule = *rule;
  admission->interval_us = ADMISSION_HOLD_MAX_US;
  admission->counted_us = now_us;
}

/* Decays the own pressure if samples have ceased. */
static void
admission_decay (ca_admission_t *admission, uint64_t now_us)
{
  double hold_us = admission->interval_us * ADMISSION_HOLD_INTERVALS;
  uint64_t from_us;

  hold_us = fmin (fmax (hold_us, ADMISSION_HOLD_MIN_US), ADMISSION_HOLD_MAX_US);
  from_us = admission->sampled_us + (uint64_t)hold_us;
  if (admission->decayed_us > from_us)
    from_us = admission->decayed_us;
  if (now_us <= from_us)
    return;
  admission->own *= exp (-(double)(now_us - from_us) / ADMISSION_SMOOTHING_US);
  admission->decayed_us = now_us;
}

void
ca_admission_sample (ca_admission_t *admission, uint64_t now_us,
                     double pressure)
{
  double since_us = (double)(now_us - admission->sampled_us);

  admission_decay (admission, now_us);
  since_us = fmin (since_us, ADMISSION_HOLD_MAX_US);
  admission->interval_us
      += (since_us - admission->interval_us) * ADMISSION_INTERVAL_WEIGHT;
  since_us = fmin (since_us, ADMISSION_SAMPLE_MAX_US);
  pressure = fmin (fmax (pressure, 0), CA_ADMISSION_PRESSURE_MAX);
  admission->own += (pressure - admission->own)
                    * (1 - exp (-since_us / ADMISSION_SMOOTHING_US));
  admission->sampled_us = now_us;
}

static double
admission_objective_us (const ca_admission_t *admission)
{
  return (double)admission->rule.kinds[0].target_min_ms * CA_US_PER_MS;
}

/* Time that the most urgent kind may wait in a queue if its first event may
 * come after `share` of its objective.  Some room is left where reading its
 * prompts takes, or is taken to take, most of the objective. */
static double
admission_room_us (const ca_admission_t *admission, double share)
{
  double objective_us = admission_objective_us (admission);
  double read_us
      = fmin (admission->read_us,
              objective_us * (ADMISSION_LATE_SHARE - ADMISSION_ROOM_MIN));

  return objective_us * share - read_us;
}

static uint32_t
admission_level_max (const ca_admission_t *admission)
{
  return admission->rule.count - 1;
}

/* Decays the counts of requests. */
static void
admission_decay_counts (ca_admission_t *admission, uint64_t now_us)
{
  double factor
      = exp (-(double)(now_us - admission->counted_us) / ADMISSION_COUNT_US);

  admission->counted_us = now_us;
  admission->rejections *= factor;
  for (uint32_t i = 0; i < admission->rule.count; i++)
    {
      admission->ranks[i].asked *= factor;
      admission->ranks[i].refused *= factor;
    }
}

void
ca_admission_rejected (ca_admission_t *admission, uint64_t now_us)
{
  admission_decay_counts (admission, now_us);
  admission->rejections += 1;
}

/* Part of the pressure that follows from rejections. */
static double
admission_rejection_pressure (const ca_admission_t *admission)
{
  double asked = 0;

  for (uint32_t i = 0; i < admission->rule.count; i++)
    asked += admission->ranks[i].asked;
  return ADMISSION_REJECTION_PRESSURE * admission->rejections
         / fmax (asked, ADMISSION_REJECTION_MIN_REQUESTS);
}

void
ca_admission_refused (ca_admission_t *admission, uint64_t now_us, uint32_t rank)
{
  admission_decay_counts (admission, now_us);
  admission->ranks[rank].refused += 1;
}

/* Part of the rank's requests that was served lately; 1 if too few have come to
 * tell. */
static double
admission_served (const ca_admission_t *admission, uint32_t rank)
{
  const ca_admission_rank_t *counts = &admission->ranks[rank];

  return counts->asked < ADMISSION_ORDER_MIN_REQUESTS
             ? 1
             : 1 - counts->refused / counts->asked;
}

/* Smallest part of the requests of any more urgent rank that was served. */
static double
admission_served_before (const ca_admission_t *admission, uint32_t rank)
{
  double served = 1;

  for (uint32_t i = 0; i < rank; i++)
    served = fmin (served, admission_served (admission, i));
  return served;
}

/* True if only workspaces that ask for more than their share are shed: there
 * are some, and the pressure has not stayed although they are cut. */
static bool
admission_cuts_first (const ca_admission_t *admission)
{
  uint64_t since_us = admission->above_us > admission->changed_us
                          ? admission->above_us
                          : admission->changed_us;
  bool any = false;

  for (uint32_t i = 0; i < admission->rule.count; i++)
    any = any || admission->ranks[i].excess > 0;
  return any
         && (admission->above_us == 0
             || admission->ticked_us - since_us < ADMISSION_EXCESS_TRIAL_US);
}

uint32_t
ca_admission_quarters (const ca_admission_t *admission, uint32_t rank)
{
  uint32_t first = admission->rule.count - admission->level;
  uint32_t quarters = 0;

  if (admission->level == 0 || rank < first)
    return 0;
  if (!admission_cuts_first (admission))
    quarters = rank - first + 1
               + (admission->pressure >= ADMISSION_SECOND_QUARTER)
               + (admission->pressure >= ADMISSION_THIRD_QUARTER)
               + (admission->pressure >= ADMISSION_FOURTH_QUARTER);
  /* Nothing is shed completely while the more urgent are in time. */
  if (quarters > 3)
    quarters = admission->pressure >= ADMISSION_RISE_PRESSURE ? 4 : 3;
  return quarters;
}

/* Part of the rank's requests that is kept, whoever asks: no more than of more
 * urgent ones. */
static double
admission_kept (const ca_admission_t *admission, uint32_t rank)
{
  double kept = 1 - ca_admission_quarters (admission, rank) / 4.0;
  double before = admission_served_before (admission, rank);

  if (rank < admission->rule.count - admission->level)
    return 1;
  if (admission_served (admission, rank) > before + ADMISSION_ORDER_SLACK / 2)
    return fmin (kept, before);
  return kept;
}

/* Part of what exceeds the equal share that is cut. */
static double
admission_cut (const ca_admission_t *admission)
{
  return (2.0 + (admission->pressure >= ADMISSION_SECOND_QUARTER)
          + (admission->pressure >= ADMISSION_FOURTH_QUARTER))
         / 4;
}

/* True if requests other than those of the most urgent kind within equal shares
 * are not all shed yet as far as the pressure calls for. */
static bool
admission_can_shed_more (const ca_admission_t *admission)
{
  return admission->level < admission_level_max (admission)
         || admission_cuts_first (admission);
}

/* True if the most urgent kind would come after `share` of its objective behind
 * the same queue. */
static bool
admission_waits_beyond (const ca_admission_t *admission,
                        const ca_admission_request_t *request, double share)
{
  return request->has_endpoint && !request->idle
         && (double)request->queue_us
                > admission_room_us (admission, share)
                      * (request->rank == 0 ? 1 : ADMISSION_LESS_URGENT_SHARE);
}

bool
ca_admission_is_late (const ca_admission_t *admission,
                      const ca_admission_request_t *request)
{
  return admission_waits_beyond (admission, request,
                                 admission_can_shed_more (admission)
                                     ? ADMISSION_LIMIT_RISING
                                     : ADMISSION_LIMIT_FULL);
}

/* Takes the sample that a request gives of the pressure. */
static void
admission_observe (ca_admission_t *admission, uint64_t now_us,
                   const ca_admission_request_t *request)
{
  double pressure;

  if (request->waits)
    return;
  if (!request->has_endpoint)
    {
      ca_admission_sample (admission, now_us, ADMISSION_NO_ENDPOINT);
      return;
    }
  if (request->rank == 0)
    admission->read_us
        += ((double)request->read_us - admission->read_us)
           * (admission->read_us > 0 ? ADMISSION_READ_WEIGHT : 1);
  pressure = admission_rejection_pressure (admission);
  if (!request->idle)
    pressure += (double)request->queue_us
                / admission_room_us (admission, ADMISSION_LATE_SHARE);
  ca_admission_sample (admission, now_us, pressure);
}

/* True if this request is to be shed for a share of its rank to be: adds up the
 * shares, so that a quarter is exactly every fourth. */
static bool
admission_draw (ca_admission_rank_t *rank, double share)
{
  rank->debt += share;
  /* Sums of shares that are no binary fractions fall short of 1 by a little. */
  if (rank->debt < 1 - 1e-9)
    return false;
  rank->debt -= 1;
  return true;
}

/* What workspaces ask for beyond equal shares is cut at any level above 0 and
 * of all ranks alike: if a single rank were cut, less urgent ones would be
 * served more. */
static ca_admission_decision_t
admission_shed (ca_admission_t *admission,
                const ca_admission_request_t *request,
                const ca_admission_row_t *row)
{
  ca_admission_rank_t *rank = &admission->ranks[request->rank];
  double work = ca_admission_excess_work (admission, row, request->rank);
  bool exceeds = work > 0;
  double kept;

  if (admission->level == 0)
    return CA_ADMISSION_SERVE;
  if (exceeds
      && admission_waits_beyond (admission, request, ADMISSION_LATE_SHARE))
    return CA_ADMISSION_SHED_SHARE;
  kept = admission_kept (admission, request->rank);
  if (exceeds)
    kept *= 1 - admission_cut (admission) * (1 - rank->equal_tokens / work);
  if (kept >= 1 || !admission_draw (rank, 1 - kept))
    return CA_ADMISSION_SERVE;
  return exceeds ? CA_ADMISSION_SHED_SHARE : CA_ADMISSION_SHED_PRIORITY;
}

ca_admission_decision_t
ca_admission_decide (ca_admission_t *admission, uint64_t now_us,
                     const ca_admission_request_t *request)
{
  ca_admission_rank_t *rank = &admission->ranks[request->rank];
  const ca_admission_row_t *row
      = ca_admission_count_work (admission, now_us, request);
  ca_admission_decision_t decision;

  admission_observe (admission, now_us, request);
  admission_decay_counts (admission, now_us);
  decision = admission_shed (admission, request, row);
  /* The order of priorities is kept among requests within equal shares. */
  if (decision == CA_ADMISSION_SHED_SHARE)
    return decision;
  rank->asked += 1;
  if (decision == CA_ADMISSION_SERVE
      && ca_admission_is_late (admission, request))
    decision
        = request->rank == 0 ? CA_ADMISSION_LATE : CA_ADMISSION_SHED_PRIORITY;
  if (decision != CA_ADMISSION_SERVE)
    rank->refused += 1;
  return decision;
}

double
ca_admission_combine (double own, const ca_admission_peer_t *peers,
                      size_t count, uint64_t heartbeat_period_us)
{
  double values[ADMISSION_PEERS_MAX];
  uint64_t recent_us = ADMISSION_PEER_PERIODS * heartbeat_period_us;

  if (count > ADMISSION_PEERS_MAX - 1)
    count = ADMISSION_PEERS_MAX - 1;
  if (count + 1 < ADMISSION_MEDIAN_MIN)
    return own;
  for (size_t i = 0; i < count; i++)
    {
      double value = fmin (peers[i].pressure, CA_ADMISSION_PEER_MAX);
      uint64_t age_us = peers[i].age_us;

      if (age_us > recent_us)
        value = own
                + (value - own)
                      * exp (-(double)(age_us - recent_us)
                             / ADMISSION_SMOOTHING_US);
      values[i] = value;
    }
  values[count] = own;
  qsort (values, count + 1, sizeof values[0], ca_admission_compare);
  return values[count / 2];
}

/* Notes since when a condition has held. */
static void
admission_note (uint64_t *since_us, bool holds, uint64_t now_us)
{
  if (!holds)
    *since_us = 0;
  else if (*since_us == 0)
    *since_us = now_us;
}

bool
ca_admission_tick (ca_admission_t *admission, uint64_t now_us, double pressure,
                   uint32_t peers_level)
{
  uint32_t level = admission->level;
  bool rises;

  admission_decay (admission, now_us);
  admission_decay_counts (admission, now_us);
  admission->ticked_us = now_us;
  admission->pressure = pressure;
  admission_note (&admission->above_us, pressure > ADMISSION_RISE_PRESSURE,
                  now_us);
  admission_note (&admission->below_us, pressure < ADMISSION_FALL_PRESSURE,
                  now_us);
  if (admission->changed_us != 0
      && now_us - admission->changed_us < ADMISSION_STEP_US)
    return false;
  rises = admission->above_us != 0
          && now_us - admission->above_us >= ADMISSION_RISE_US;
  /* Between the two pressures, entries would stay at different levels. */
  if (pressure >= ADMISSION_FALL_PRESSURE && peers_level > level)
    rises = true;
  if (rises && level < admission_level_max (admission))
    admission->level++;
  else if (admission->below_us != 0
           && now_us - admission->below_us >= ADMISSION_FALL_US && level > 0)
    {
      admission->level--;
      admission->below_us = now_us;
    }
  if (admission->level == level)
    return false;
  admission->changed_us = now_us;
  return true;
}

uint64_t
ca_admission_retry_after_us (const ca_admission_t *admission, uint32_t rank,
                             uint32_t timeout_ms, double random)
{
  uint64_t limit_us = timeout_ms * CA_US_PER_MS / ADMISSION_RETRY_TIMEOUT_SHARE;
  uint64_t span_us = ADMISSION_RETRY_SPAN_US
                     << (rank == 0 ? 0 : admission->level);
  uint64_t start_us = ADMISSION_RETRY_US * (rank + 1);

  if (limit_us < ADMISSION_RETRY_US)
    limit_us = ADMISSION_RETRY_US;
  if (start_us > limit_us)
    start_us = limit_us;
  if (span_us > limit_us - start_us)
    span_us = limit_us - start_us;
  return start_us + (uint64_t)(random * (double)span_us);
}
