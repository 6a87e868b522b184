/* Requests during a rollout: which version side each attempt goes to, and the
 * outcomes that count as evidence on the target. */
#include "gateway/rollout_private.h"

#include <string.h>
#include <xxhash.h>

/* Share of the bound on exposure that canary requests use.  The rest covers
 * requests that are not counted, such as those of entries that end. */
#define CANARY_EXPOSURE 0.5

/* Bound on the share of requests that a bad version gets, unless the platform
 * sets it. */
#define EXPOSURE_SHARE_DEFAULT 0.1

/* Canary endpoints, and how often they are chosen again.  On days on which some
 * endpoints of every version fail, a fixed pair could contain one of them and
 * convict a good version. */
#define CANARY_ENDPOINTS_MIN 2
#define CANARY_ENDPOINTS_MAX 256
#define CANARY_EPOCH_US CA_US_PER_S

/* The ranks are computed again after this time, for endpoints that come and
 * go. */
#define CANARY_REFRESH_US CA_GATEWAY_TICK_US

/* Answers of an endpoint that was listed so recently do not count: its caches
 * are empty. */
#define EVIDENCE_COLD_US CA_US_PER_S

/* A first event that is predicted later than this fraction of the objective
 * would be late: an old endpoint may be in time. */
#define TRIAL_LATE_SHARE 0.85

/* Requests that an entry may catch up on if it has sent fewer to the target
 * than the share allows, as no stage was heard: a burst would overload the
 * canary endpoints. */
#define CREDIT_MAX 2.0

/* Prediction's fixed part, as in the selection. */
#define FIRST_EVENT_US (20 * CA_US_PER_MS)

/* Share of requests that canaries may take. */
static double
request_canary_share (const ca_gateway_t *gateway, const ca_rollout_t *rollout)
{
  double exposure = gateway->options.bounds.exposure_share;
  double ordered = rollout->share_permille / 1000.0;
  double share
      = CANARY_EXPOSURE * (exposure > 0 ? exposure : EXPOSURE_SHARE_DEFAULT);

  return ordered > 0 && ordered < share ? ordered : share;
}

/* Rank of an endpoint among the target's, the same at all entries. */
static uint64_t
request_canary_rank (const ca_rollout_t *rollout,
                     const ca_gateway_endpoint_t *endpoint)
{
  uint64_t key[] = { rollout->order, rollout->canary_epoch,
                     ca_gateway_endpoint_instance (endpoint) };

  return XXH3_64bits (key, sizeof key);
}

/* Inserts a rank into those kept in descending order, `max` at most. */
static uint32_t
request_keep_rank (uint64_t *ranks, uint32_t count, uint32_t max, uint64_t rank)
{
  uint32_t at;

  if (count == max && rank <= ranks[count - 1])
    return count;
  if (count < max)
    count++;
  for (at = count - 1; at > 0 && ranks[at - 1] < rank; at--)
    ranks[at] = ranks[at - 1];
  ranks[at] = rank;
  return count;
}

/* Chooses as many canary endpoints as carry the canary requests at the load
 * that the old endpoints have. */
static void
request_choose_canaries (const ca_gateway_t *gateway, ca_rollout_t *rollout)
{
  static uint64_t ranks[CANARY_ENDPOINTS_MAX];
  uint32_t wanted = (uint32_t)(ca_rollout_count_open (gateway, rollout, false)
                                   * request_canary_share (gateway, rollout)
                               + 0.5);
  uint64_t epoch
      = ca_gateway_wall_us (gateway, gateway->now_us) / CANARY_EPOCH_US;
  uint32_t count = 0;
  const ca_gateway_endpoint_t *endpoint;

  if (rollout->canaries_us != 0 && rollout->canary_epoch == epoch
      && gateway->now_us - rollout->canaries_us < CANARY_REFRESH_US)
    return;
  rollout->canaries_us = gateway->now_us;
  rollout->canary_epoch = epoch;
  if (wanted < CANARY_ENDPOINTS_MIN)
    wanted = CANARY_ENDPOINTS_MIN;
  if (wanted > CANARY_ENDPOINTS_MAX)
    wanted = CANARY_ENDPOINTS_MAX;
  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (ca_rollout_is_target (rollout, endpoint)
          && ca_gateway_endpoint_is_open (endpoint)
          && strcmp (endpoint->service, rollout->service) == 0)
        count = request_keep_rank (ranks, count, wanted,
                                   request_canary_rank (rollout, endpoint));
    }
  rollout->canary_rank_min = count == 0 ? UINT64_MAX : ranks[count - 1];
}

/* True if one more request may go to the target at this stage. */
static bool
request_is_within_share (const ca_gateway_t *gateway,
                         const ca_rollout_t *rollout)
{
  if (rollout->stage == CA_ROLLOUT_CANARY)
    return rollout->credit >= 1
           && rollout->sent_target + 1.0
                  <= request_canary_share (gateway, rollout) * rollout->sent;
  return rollout->credit + rollout->share_permille / 1000.0 >= 1;
}

/* Keeps the credit of the share in force, after a request was sent. */
static void
request_update_credit (const ca_gateway_t *gateway, ca_rollout_t *rollout,
                       bool at_target)
{
  rollout->credit += rollout->stage <= CA_ROLLOUT_CANARY
                         ? request_canary_share (gateway, rollout)
                         : rollout->share_permille / 1000.0;
  rollout->credit -= at_target ? 1 : 0;
  if (rollout->credit > CREDIT_MAX)
    rollout->credit = CREDIT_MAX;
  if (rollout->credit < -CREDIT_MAX)
    rollout->credit = -CREDIT_MAX;
}

/* The side for a request that is free to go to any version, while the target is
 * on trial. */
static ca_rollout_side_t
request_choose_exposed (const ca_gateway_t *gateway, ca_rollout_t *rollout,
                        const ca_exchange_t *exchange)
{
  switch (rollout->stage)
    {
    case CA_ROLLOUT_CANARY:
      if (exchange->sends > 0 || !request_is_within_share (gateway, rollout))
        return CA_ROLLOUT_SIDE_OLD;
      request_choose_canaries (gateway, rollout);
      return CA_ROLLOUT_SIDE_TRIAL;
    case CA_ROLLOUT_SHIFT:
      return request_is_within_share (gateway, rollout) ? CA_ROLLOUT_SIDE_TRIAL
                                                        : CA_ROLLOUT_SIDE_OLD;
    case CA_ROLLOUT_DRAIN:
      return CA_ROLLOUT_SIDE_TARGET;
    default:
      return CA_ROLLOUT_SIDE_OLD;
    }
}

static ca_rollout_side_t
request_choose_side (ca_gateway_t *gateway, ca_rollout_t *rollout,
                     const ca_exchange_t *exchange, bool old_listed)
{
  if (rollout->stage == CA_ROLLOUT_COMPLETED)
    return CA_ROLLOUT_SIDE_TARGET;
  if (rollout->stage == CA_ROLLOUT_REVERTED || rollout->withdrawn
      || ca_rollout_is_convicted (rollout))
    return CA_ROLLOUT_SIDE_OLD;
  /* A stream that goes on stays at the version that began it. */
  if (exchange->version != 0)
    return exchange->version == rollout->target_version ? CA_ROLLOUT_SIDE_TARGET
                                                        : CA_ROLLOUT_SIDE_OLD;
  if (!old_listed)
    return CA_ROLLOUT_SIDE_TARGET;
  if (!ca_rollout_is_exposed (gateway, rollout))
    return CA_ROLLOUT_SIDE_OLD;
  return request_choose_exposed (gateway, rollout, exchange);
}

/* True if an old endpoint is open. */
static bool
request_lists_old (const ca_gateway_t *gateway, const ca_rollout_t *rollout)
{
  const ca_gateway_endpoint_t *endpoint;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (ca_rollout_is_old (rollout, endpoint)
          && ca_gateway_endpoint_is_open (endpoint)
          && strcmp (endpoint->service, rollout->service) == 0)
        return true;
    }
  return false;
}

/* True if a selection at the target is worse than one at an old version may
 * be. */
static bool
request_is_better_old (const ca_exchange_t *exchange,
                       const ca_selection_t *selection)
{
  return selection->endpoint == NULL
         || (exchange->rollout_side == CA_ROLLOUT_SIDE_TRIAL
             && (double)selection->predicted_us
                    > (double)(exchange->route->target_ms * CA_US_PER_MS)
                          * TRIAL_LATE_SHARE);
}

ca_selection_t
ca_rollout_select (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  ca_rollout_t *rollout = ca_rollout_find (gateway, exchange->service->name);
  ca_selection_t selection;
  ca_selection_t at_old;
  ca_rollout_side_t side;
  bool old_listed;

  if (rollout == NULL)
    return ca_select_endpoint (gateway, exchange);
  old_listed = request_lists_old (gateway, rollout);
  side = request_choose_side (gateway, rollout, exchange, old_listed);
  exchange->rollout_side = side;
  selection = ca_select_endpoint (gateway, exchange);
  if (side == CA_ROLLOUT_SIDE_OLD || !old_listed || exchange->version != 0
      || rollout->stage == CA_ROLLOUT_COMPLETED
      || !request_is_better_old (exchange, &selection))
    return selection;
  exchange->rollout_side = CA_ROLLOUT_SIDE_OLD;
  at_old = ca_select_endpoint (gateway, exchange);
  if (selection.endpoint == NULL
      || (at_old.endpoint != NULL
          && at_old.predicted_us < selection.predicted_us))
    return at_old;
  exchange->rollout_side = side;
  return selection;
}

static bool
request_avoids (const ca_exchange_t *exchange,
                const ca_gateway_endpoint_t *endpoint)
{
  for (uint32_t i = 0; i < exchange->avoided_count; i++)
    {
      if (exchange->avoided[i] == endpoint->hash)
        return true;
    }
  return false;
}

/* True if the endpoint may take a request that an old one could serve. */
static bool
request_may_try (const ca_gateway_t *gateway, const ca_rollout_t *rollout,
                 const ca_exchange_t *exchange,
                 const ca_gateway_endpoint_t *endpoint)
{
  if (gateway->now_us < endpoint->ejected_until_us
      || request_avoids (exchange, endpoint)
      || (exchange->route->resumable && gateway->now_us < endpoint->settles_us))
    return false;
  return rollout->stage != CA_ROLLOUT_CANARY
         || request_canary_rank (rollout, endpoint) >= rollout->canary_rank_min;
}

bool
ca_rollout_permits (const ca_gateway_t *gateway, const ca_exchange_t *exchange,
                    const ca_gateway_endpoint_t *endpoint)
{
  const ca_rollout_t *rollout;

  if (gateway->rollouts == NULL)
    return true;
  rollout = ca_rollout_find (gateway, exchange->service->name);
  if (rollout == NULL)
    return true;
  if (!ca_rollout_is_target (rollout, endpoint))
    return exchange->rollout_side == CA_ROLLOUT_SIDE_OLD
           && rollout->stage != CA_ROLLOUT_COMPLETED
           && ca_rollout_is_old (rollout, endpoint);
  if (exchange->rollout_side == CA_ROLLOUT_SIDE_OLD
      || rollout->stage == CA_ROLLOUT_REVERTED)
    return false;
  return exchange->rollout_side == CA_ROLLOUT_SIDE_TARGET
         || request_may_try (gateway, rollout, exchange, endpoint);
}

void
ca_rollout_sent (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  ca_rollout_t *rollout = ca_rollout_find (gateway, exchange->service->name);
  bool at_target;

  exchange->rollout_order = 0;
  if (rollout == NULL)
    return;
  exchange->rollout_order = rollout->order;
  exchange->rollout_counted = false;
  exchange->predicted_us = exchange->service->is_engine
                               ? exchange->expected_us + FIRST_EVENT_US
                               : 0;
  at_target = ca_rollout_is_target (rollout, exchange->endpoint);
  rollout->sent++;
  rollout->sent_target += at_target ? 1 : 0;
  request_update_credit (gateway, rollout, at_target);
}

/* True if runs of the request, or of its copies, may have crashed endpoints. */
static bool
request_is_suspect (const ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  const ca_suspected_crash_t *suspect;

  if (ca_crash_tracker_check (gateway, exchange) != CA_REFUSE_COUNT)
    return true;
  TAILQ_FOREACH (suspect, &gateway->suspected_crashes, entries)
  {
    if (suspect->fingerprint == exchange->fingerprint)
      return true;
  }
  return false;
}

/* True if the endpoint has just been listed. */
static bool
request_is_cold (const ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  const ca_gateway_endpoint_t *endpoint = exchange->endpoint;

  return endpoint->added_us > gateway->first_list_us
         && exchange->sent_us - endpoint->added_us < EVIDENCE_COLD_US;
}

/* Times of the old versions on a route, which starts empty.  NULL if there are
 * too many routes. */
static ca_rollout_pace_t *
request_pace (ca_rollout_t *rollout, uint32_t route)
{
  for (uint32_t i = 0; i < rollout->pace_count; i++)
    {
      if (rollout->paces[i].route == route)
        return &rollout->paces[i];
    }
  if (rollout->pace_count == CA_ROLLOUT_ROUTES_MAX)
    return NULL;
  rollout->paces[rollout->pace_count].route = route;
  return &rollout->paces[rollout->pace_count++];
}

/* Number of a route in reports. */
static uint32_t
request_route (const ca_exchange_t *exchange)
{
  uint32_t route
      = XXH32 (exchange->route->name, strlen (exchange->route->name), 0);

  return route == CA_ROLLOUT_OTHER_ROUTES ? 1 : route;
}

static bool
request_is_slow (ca_rollout_t *rollout, const ca_exchange_t *exchange,
                 uint32_t route, uint64_t took_us, bool at_target)
{
  ca_rollout_pace_t *pace = request_pace (rollout, route);
  bool slow;

  if (pace == NULL)
    return false;
  slow = ca_rollout_is_slow (pace, took_us, exchange->predicted_us);
  if (!at_target)
    ca_rollout_pace_add (pace, took_us, exchange->predicted_us);
  return slow;
}

/* Adds one outcome to the sums of this entry and of all entries. */
static void
request_count (ca_gateway_t *gateway, ca_rollout_t *rollout, uint32_t route,
               bool at_target, const ca_rollout_tally_t *outcome)
{
  ca_rollout_row_t row = { .route = route };
  ca_rollout_sums_t sums = { .rows = &row, .count = 1 };

  if (at_target)
    row.target = *outcome;
  else
    row.old = *outcome;
  ca_rollout_sums_add (&rollout->own, &sums);
  ca_rollout_sums_add (&rollout->total, &sums);
  rollout->changed = true;
  if (!at_target)
    return;
  ca_counters_add (&gateway->counters, CA_COUNT_ROLLOUT_ANSWERS,
                   outcome->answers);
  ca_counters_add (&gateway->counters, CA_COUNT_ROLLOUT_BAD_ANSWERS,
                   ca_rollout_tally_bad (outcome));
}

void
ca_rollout_outcome (ca_gateway_t *gateway, ca_exchange_t *exchange,
                    ca_rollout_outcome_t outcome)
{
  ca_rollout_t *rollout = ca_rollout_find (gateway, exchange->service->name);
  ca_rollout_tally_t tally = { .answers = exchange->rollout_counted ? 0 : 1 };
  uint32_t route;
  bool at_target;

  if (rollout == NULL || exchange->rollout_order != rollout->order
      || (exchange->rollout_counted && outcome != CA_ROLLOUT_MALFORMED)
      || request_is_cold (gateway, exchange)
      || request_is_suspect (gateway, exchange))
    return;
  exchange->rollout_counted = true;
  route = request_route (exchange);
  at_target = ca_rollout_is_target (rollout, exchange->endpoint);
  if (outcome == CA_ROLLOUT_MALFORMED
      || (outcome == CA_ROLLOUT_ANSWER && exchange->facts.status >= 500))
    tally.failures = 1;
  else if (request_is_slow (rollout, exchange, route,
                            gateway->now_us - exchange->sent_us, at_target))
    tally.slow = 1;
  request_count (gateway, rollout, route, at_target, &tally);
}

uint32_t
ca_rollout_open_old (const ca_gateway_t *gateway, const ca_rollout_t *rollout)
{
  const ca_exchange_t *exchange;
  uint32_t count = 0;

  TAILQ_FOREACH (exchange, &gateway->exchanges, entries)
  {
    if (exchange->endpoint != NULL
        && !ca_rollout_is_target (rollout, exchange->endpoint)
        && strcmp (exchange->service->name, rollout->service) == 0)
      count++;
  }
  return count;
}
