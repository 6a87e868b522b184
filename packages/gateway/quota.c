/* Limits that all entries enforce together: workspace quotas and the retry
 * budget.
 *
 * Each entry keeps one token bucket per workspace for all entries together.
 * It immediately subtracts what it admits itself, and once in a round what its
 * peers are assumed to admit, which their next heartbeats settle.  From the
 * rest it grants itself a share equal to its share of the demand, so that what
 * one entry does not use is available to the others; within the round it
 * borrows of that (quota_loans.c).  An entry that has just started grants
 * itself nothing until it knows how many others there are.  A peer that has
 * become unreachable is assumed to keep using its share for a while, as it may
 * be partitioned and still serving.
 *
 * The retry budget needs no communication: each entry applies the ratio to
 * its own requests, and takes an equal part of the allowance.  An entry that is
 * not heard from keeps its part, as it may be partitioned and still serving. */
#include "gateway/private.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define SHARE_PERIOD_US (100 * CA_US_PER_MS)

/* Growth limit of an entry's share between two grants.  Its own demand is
 * current, that of its peers one round old.  Without the limit, when demand
 * grows everywhere, each entry would overestimate its share several times
 * over.  Below an even share it shrinks no faster than it grows: of a few
 * requests at each entry, the shares would otherwise add up to much less than
 * the quota. */
#define SHARE_GROWTH_MAX 1.5

/* Minimum demand assumed for all entries together, as a fraction of the rate
 * and split evenly, so that a first request finds some quota. */
#define DEMAND_FLOOR 0.15

/* Shortest time over which the demand is averaged after a start. */
#define DEMAND_SPAN_MIN_US (200 * CA_US_PER_MS)

/* An unreachable entry is assumed to be serving for this long. */
#define DEMAND_RETENTION_US (30 * CA_US_PER_S)

/* Network delay of a heartbeat.  Its report may be older than this by one
 * heartbeat period. */
#define DEMAND_LATENCY_US (50 * CA_US_PER_MS)

/* Heartbeat periods after which the next heartbeat of a peer is overdue. */
#define QUOTA_LATE_PERIODS 1.25

/* Largest fraction of the bucket held back for late reports. */
#define QUOTA_LAG_MAX 0.5

/* Heartbeat periods up to which the overrun is used in full, and from which on
 * it is not used at all. */
#define QUOTA_OVERRUN_PERIOD_US 1e6
#define QUOTA_EXACT_PERIOD_US 3e6

/* Fractions of the permitted overrun and allowance that are used; the rest
 * covers reports that are late. */
#define QUOTA_OVERRUN_USED 0.4
#define QUOTA_ALLOWANCE_USED 0.6

/* Initial fill level, since earlier admissions are not visible to an entry that
 * starts. */
#define QUOTA_INITIAL_LEVEL 0.3

/* A request may exceed its entry's grant if the fraction QUOTA_SURPLUS of the
 * bucket is left after it, or, if it is too large for that, while the bucket is
 * filled to QUOTA_FULL.  Never while a larger part of the demand than
 * QUOTA_UNREACHABLE_MAX is at unreachable entries. */
#define QUOTA_SURPLUS 0.5
#define QUOTA_UNREACHABLE_MAX 0.1
#define QUOTA_FULL 0.9

/* Total overdraft of all entries in one round, relative to the surplus: more
 * than that might not be available. */
#define QUOTA_OVERDRAFT 2.0
#define QUOTA_WAIT_MIN_US (100 * CA_US_PER_MS)
#define QUOTA_WAIT_MAX_US (5 * CA_US_PER_S)

/* Fractions of the retry budget that are used; the rest covers windows that
 * are not aligned and entries that restart.  The allowance is split over at
 * least RETRY_ENTRIES_MIN entries. */
#define RETRY_RATIO_USED 0.8
#define RETRY_ALLOWANCE_USED 0.7
#define RETRY_ENTRIES_MIN 4

/* Fraction of the budget for requests that have brought nothing yet.  A caller
 * whose stream broke off has lost more than one whose stream has not begun. */
#define RETRY_NEW_SHARE 0.75

double
ca_quota_demand_per_s (ca_gateway_t *gateway, ca_quota_t *quota)
{
  uint64_t span_us = CA_DEMAND_SPAN_S * CA_US_PER_S;
  uint64_t running_us = gateway->now_us - gateway->started_us;

  if (running_us < DEMAND_SPAN_MIN_US)
    running_us = DEMAND_SPAN_MIN_US;
  if (running_us < span_us)
    span_us = running_us;
  return ca_window_sum (&quota->requested, gateway->now_us) * CA_US_PER_S
         / (double)span_us;
}

/* Returns the workspace's quota; it is created on first use. */
static ca_quota_t *
quota_get (ca_gateway_t *gateway, const ca_catalog_workspace_t *workspace)
{
  ca_quota_t *quota = NULL;

  HASH_FIND (hh, gateway->quotas, workspace->name, strlen (workspace->name),
             quota);
  if (quota != NULL)
    return quota;
  quota = calloc (1, sizeof *quota);
  quota->workspace = strdup (workspace->name);
  quota->share = 1.0 / ca_peers_possible_count (gateway);
  ca_window_init (&quota->requested, CA_DEMAND_SPAN_S * CA_US_PER_S);
  ca_bucket_init (&quota->bucket, gateway->now_us, workspace->rate_per_s,
                  workspace->burst);
  quota->bucket.level *= QUOTA_INITIAL_LEVEL;
  if (ca_peers_are_discovered (gateway))
    quota->granted = quota->bucket.level * quota->share;
  HASH_ADD_KEYPTR (hh, gateway->quotas, quota->workspace,
                   strlen (quota->workspace), quota);
  return quota;
}

void
ca_quota_finish (ca_gateway_t *gateway)
{
  ca_quota_t *quota;
  ca_quota_t *next;

  HASH_ITER (hh, gateway->quotas, quota, next)
  {
    HASH_DEL (gateway->quotas, quota);
    free (quota->workspace);
    free (quota);
  }
}

/* True if the request is within this entry's part of what all entries may
 * overdraw in a round.  A first request that is larger is admitted by lot, at
 * so many entries that all of them stay within the whole. */
static bool
quota_has_overdraft (const ca_gateway_t *gateway, const ca_quota_t *quota,
                     double cost)
{
  double draw = (double)XXH3_64bits_withSeed (&gateway->id, sizeof gateway->id,
                                              gateway->next_share_us)
                / (double)UINT64_MAX;

  return quota->overdraft + cost <= quota->overdraft_max
         || (quota->overdraft <= 0
             && (quota->demand_per_s <= quota->bucket.rate_per_s
                 || draw * cost <= quota->overdraft_max));
}

/* True if the bucket can cover the request beyond this entry's grant.  Never
 * true while peers have not reported yet or too many are unreachable, since the
 * level is then uncertain. */
static bool
quota_allows_overdraft (const ca_gateway_t *gateway, const ca_quota_t *quota,
                        double cost)
{
  double depth = quota->bucket.depth;

  if (quota->peers_expected || quota->unreachable_share > QUOTA_UNREACHABLE_MAX
      || !quota_has_overdraft (gateway, quota, cost))
    return false;
  if (cost > depth * (1 - QUOTA_SURPLUS))
    return quota->available >= depth * QUOTA_FULL;
  return quota->available >= cost + depth * QUOTA_SURPLUS;
}

void
ca_quota_count_demand (ca_gateway_t *gateway,
                       const ca_catalog_workspace_t *workspace, double cost)
{
  if (workspace->rate_per_s > 0)
    ca_window_add (&quota_get (gateway, workspace)->requested, gateway->now_us,
                   cost);
}

bool
ca_quota_take (ca_gateway_t *gateway, const ca_catalog_workspace_t *workspace,
               double cost)
{
  ca_quota_t *quota;

  if (workspace->rate_per_s <= 0)
    return true;
  quota = quota_get (gateway, workspace);
  if (cost > quota->granted && !quota_allows_overdraft (gateway, quota, cost))
    return false;
  if (cost > quota->granted)
    quota->overdraft += cost;
  quota->granted -= cost;
  quota->admitted += cost;
  quota->bucket.level -= cost;
  quota->available -= cost;
  return true;
}

uint64_t
ca_quota_refuse (ca_gateway_t *gateway, const ca_catalog_workspace_t *workspace,
                 double cost)
{
  ca_quota_t *quota = quota_get (gateway, workspace);
  double wait_s;

  ca_gateway_log (gateway, CA_EVENT_QUOTA_SHORT, NULL, workspace->name,
                  "quota exceeded: request costs %.0f, grant has %.0f left, "
                  "bucket %.0f of %.0f, share %.3f, demand of peers %.0f/s and "
                  "of this entry %.0f/s, rate %.0f/s, %u requests for loans in "
                  "vain",
                  cost, quota->granted, quota->bucket.level,
                  quota->bucket.depth, quota->share, quota->peer_demand_per_s,
                  ca_quota_demand_per_s (gateway, quota), workspace->rate_per_s,
                  quota->loan.futile);
  wait_s = (cost - quota->granted) / (workspace->rate_per_s * quota->share);
  /* Without a share of the quota it is infinite. */
  if (wait_s * CA_US_PER_S >= (double)QUOTA_WAIT_MAX_US)
    return QUOTA_WAIT_MAX_US;
  if (wait_s * CA_US_PER_S < (double)QUOTA_WAIT_MIN_US)
    return QUOTA_WAIT_MIN_US;
  return (uint64_t)(wait_s * CA_US_PER_S);
}

void
ca_quota_return (ca_gateway_t *gateway, const ca_catalog_workspace_t *workspace,
                 double cost)
{
  ca_quota_t *quota;

  if (workspace->rate_per_s <= 0)
    return;
  quota = quota_get (gateway, workspace);
  quota->granted += cost;
  quota->admitted -= cost;
  ca_bucket_return (&quota->bucket, cost);
}

/* Row of a workspace in a heartbeat, -1 if it has none.  Rows have the same
 * order in most heartbeats, so `hint` is tried first. */
static int
quota_row (const Camphor__Pulse *heartbeat, const char *workspace, size_t hint)
{
  if (hint < heartbeat->n_demands
      && strcmp (heartbeat->demands[hint]->workspace, workspace) == 0)
    return (int)hint;
  for (size_t i = 0; i < heartbeat->n_demands; i++)
    {
      if (strcmp (heartbeat->demands[i]->workspace, workspace) == 0)
        return (int)i;
    }
  return -1;
}

/* Subtracts from a quota what the peer admitted of it beyond what was assumed,
 * or adds what it did not. */
static void
quota_settle (ca_gateway_t *gateway, const char *workspace, double amount)
{
  ca_quota_t *quota = NULL;

  HASH_FIND (hh, gateway->quotas, workspace, strlen (workspace), quota);
  if (quota != NULL)
    ca_bucket_return (&quota->bucket, -amount);
}

void
ca_quota_take_heartbeat (ca_gateway_t *gateway, ca_peer_t *peer,
                         const Camphor__Pulse *heartbeat, uint64_t incarnation)
{
  const Camphor__Pulse *before = peer->heartbeat;
  ca_quota_use_t *use = calloc (heartbeat->n_demands + 1, sizeof *use);
  bool is_same = before != NULL && peer->incarnation == incarnation
                 && heartbeat->stamp_us > before->stamp_us;

  /* What a peer admitted before its first heartbeat here may be old, so it is
   * not subtracted. */
  for (size_t i = 0; before != NULL && i < heartbeat->n_demands; i++)
    {
      const Camphor__WorkspaceDemand *demand = heartbeat->demands[i];
      int row = is_same ? quota_row (before, demand->workspace, i) : -1;
      double admitted = demand->admitted;
      double assumed = 0;

      if (row >= 0)
        {
          admitted -= before->demands[row]->admitted;
          assumed = peer->quota_use[row].assumed;
        }
      quota_settle (gateway, demand->workspace, admitted - assumed);
      if (is_same && admitted > 0)
        use[i].per_s = admitted * CA_US_PER_S
                       / (double)(heartbeat->stamp_us - before->stamp_us);
    }
  free (peer->quota_use);
  peer->quota_use = use;
}

/* Demand per second for a workspace in the peer's latest heartbeat. */
static double
quota_peer_demand (const ca_peer_t *peer, const char *workspace, size_t hint)
{
  int row = quota_row (peer->heartbeat, workspace, hint);

  return row < 0 ? 0 : peer->heartbeat->demands[row]->asked_per_s;
}

/* An entry that has been silent for this long, two heartbeat periods, may be
 * partitioned. */
static uint64_t
quota_unreachable_after_us (const ca_gateway_t *gateway)
{
  return 2 * gateway->heartbeat_period_us + DEMAND_LATENCY_US;
}

/* True if the peer's next heartbeat is overdue: it may turn out to be
 * unreachable, so that its demand is not comparable with this entry's. */
static bool
quota_is_late (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  return !peer->leaving
         && gateway->now_us - peer->received_us
                > (uint64_t)(QUOTA_LATE_PERIODS
                             * (double)gateway->heartbeat_period_us)
                      + DEMAND_LATENCY_US;
}

/* Fraction of the total demand when all entries were last reachable. */
static double
quota_demand_share (const ca_quota_t *quota, double demand)
{
  return quota->total_demand_per_s > 0 ? demand / quota->total_demand_per_s : 0;
}

/* True if the entry is unreachable but its demand still counts.  An entry
 * that announced its stop is not counted. */
static bool
quota_is_unreachable (const ca_gateway_t *gateway, const ca_peer_t *peer,
                      uint64_t now_us)
{
  uint64_t silence_us = now_us - peer->received_us;

  return peer->heartbeat != NULL && peer->received_us != 0 && !peer->leaving
         && peer->received_us < now_us && silence_us <= DEMAND_RETENTION_US
         && silence_us > quota_unreachable_after_us (gateway);
}

/* Updates this entry's share of the demand, and the peers' demand.  Peers that
 * are about to send their first heartbeat are assumed to have as much demand as
 * this entry.
 * Unreachable entries keep the share they had when all were reachable, since
 * their demand may have grown like that of the others. */
static void
quota_update_share (ca_gateway_t *gateway, ca_quota_t *quota, size_t hint,
                    double rate)
{
  double even = 1.0 / ca_peers_possible_count (gateway);
  double floor = rate * DEMAND_FLOOR / ca_peers_known_count (gateway);
  double own = ca_quota_demand_per_s (gateway, quota);
  double others = 0;
  double unreachable = 0;
  double share_max;
  double share_min;
  bool peers_were_expected = quota->peers_expected;
  bool is_comparable = true;
  ca_peer_t *peer;

  quota->peers_expected = false;
  own = own > floor ? own : floor;
  quota->peer_demand_per_s = 0;
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      double demand;

      if (ca_peers_is_expected (gateway, peer))
        {
          quota->peers_expected = true;
          others += own;
        }
      if (peer->heartbeat == NULL || peer->received_us == 0
          || gateway->now_us - peer->received_us > DEMAND_RETENTION_US)
        continue;
      demand = quota_peer_demand (peer, quota->workspace, hint);
      quota->peer_demand_per_s += demand;
      demand = demand > floor ? demand : floor;
      if (quota_is_unreachable (gateway, peer, gateway->now_us))
        unreachable += demand;
      else
        others += demand;
      if (quota_is_late (gateway, peer))
        is_comparable = false;
    }
  quota->demand_per_s = own + others + unreachable;
  if (is_comparable || quota->total_demand_per_s <= 0)
    quota->total_demand_per_s = own + others;
  quota->unreachable_share = quota_demand_share (quota, unreachable);
  if (quota->unreachable_share > 1)
    quota->unreachable_share = 1;
  share_max = quota->share * SHARE_GROWTH_MAX;
  if (share_max < even)
    share_max = even;
  share_min = quota->share / SHARE_GROWTH_MAX;
  if (share_min > even * (1 - quota->unreachable_share))
    share_min = even * (1 - quota->unreachable_share);
  quota->share = own / (own + others) * (1 - quota->unreachable_share);
  /* The first share that follows from all peers' demand is not limited. */
  if (quota->share > share_max && !peers_were_expected)
    quota->share = share_max;
  if (quota->share < share_min && !peers_were_expected)
    quota->share = share_min;
}

/* What the peer is assumed to use per second: what it admitted between its
 * latest heartbeats, or all of its share once it is unreachable. */
static double
quota_assumed_per_s (const ca_gateway_t *gateway, const ca_quota_t *quota,
                     const ca_peer_t *peer, int row, double rate)
{
  if (quota_is_unreachable (gateway, peer, gateway->now_us))
    return rate
           * quota_demand_share (quota,
                                 peer->heartbeat->demands[row]->asked_per_s);
  if (gateway->now_us - peer->received_us
      > quota_unreachable_after_us (gateway))
    return 0;
  return peer->quota_use[row].per_s;
}

/* What the peers are assumed to have used since their last heartbeats, or since
 * the last update.  Their next heartbeats settle it. */
static double
quota_assume_use (ca_gateway_t *gateway, const ca_quota_t *quota, size_t hint,
                  double rate, uint64_t since_us)
{
  ca_peer_t *peer;
  double used = 0;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      uint64_t from_us
          = peer->received_us > since_us ? peer->received_us : since_us;
      double amount;
      int row;

      if (peer->heartbeat == NULL || from_us >= gateway->now_us)
        continue;
      row = quota_row (peer->heartbeat, quota->workspace, hint);
      if (row < 0)
        continue;
      amount = quota_assumed_per_s (gateway, quota, peer, row, rate)
               * (double)(gateway->now_us - from_us) / CA_US_PER_S;
      peer->quota_use[row].assumed += amount;
      used += amount;
    }
  return used;
}

/* What the bucket has available for all entries until the next update.
 *
 * Peers may have used their demand since their last heartbeat, but no more
 * than they had granted themselves.  The inflow until the next update can
 * always be granted, because the shares add up to it; otherwise higher demand
 * would lead to smaller grants. */
static double
quota_available (const ca_gateway_t *gateway, const ca_quota_t *quota,
                 double rate)
{
  double lag_s = (double)(gateway->heartbeat_period_us + DEMAND_LATENCY_US)
                 / CA_US_PER_S;
  double level = quota->bucket.level;
  double unreported = quota->peer_demand_per_s * lag_s;
  double peers_granted = quota->last_available * (1 - quota->share);
  double inflow = rate * gateway->heartbeat_period_us / CA_US_PER_S;
  double surplus = quota->bucket.depth * QUOTA_SURPLUS;

  if (level <= 0)
    return 0;
  if (unreported > peers_granted)
    unreported = peers_granted;
  if (level < surplus)
    inflow *= level / surplus;
  return level - unreported > inflow ? level - unreported : inflow;
}

/* Part of the bucket that is held back.  The longer the heartbeat period, the
 * more can be admitted before it is reported to all entries.  At the shortest
 * period the tolerances already cover this. */
static double
quota_lag_reserve (const ca_gateway_t *gateway, double rate, double depth)
{
  double lag;

  if (gateway->heartbeat_period_us <= CA_HEARTBEAT_PERIOD_US)
    return 0;
  lag = rate * (double)(gateway->heartbeat_period_us - CA_HEARTBEAT_PERIOD_US)
        / CA_US_PER_S;
  return lag < depth * QUOTA_LAG_MAX ? lag : depth * QUOTA_LAG_MAX;
}

/* Part of the permitted overrun that is used: the longer the heartbeat period,
 * the more of it is needed for what is reported late. */
static double
quota_overrun (const ca_gateway_t *gateway)
{
  double period_us = (double)gateway->heartbeat_period_us;
  double used = gateway->options.bounds.quota_overrun * QUOTA_OVERRUN_USED;

  if (period_us <= QUOTA_OVERRUN_PERIOD_US)
    return used;
  if (period_us >= QUOTA_EXACT_PERIOD_US)
    return 0;
  return used * (QUOTA_EXACT_PERIOD_US - period_us)
         / (QUOTA_EXACT_PERIOD_US - QUOTA_OVERRUN_PERIOD_US);
}

/* Updates a workspace's share, bucket and grant for the next round. */
static void
quota_update (ca_gateway_t *gateway, uint32_t index, uint64_t since_us)
{
  const ca_catalog_workspace_t *workspace
      = &gateway->catalog->workspaces[index];
  const ca_bounds_t *bounds = &gateway->options.bounds;
  ca_quota_t *quota;
  double rate;
  double depth;

  if (workspace->rate_per_s <= 0)
    return;
  quota = quota_get (gateway, workspace);
  quota_update_share (gateway, quota, index, workspace->rate_per_s);
  rate = workspace->rate_per_s * (1 + quota_overrun (gateway));
  depth
      = workspace->burst
        + (workspace->by_tokens ? bounds->quota_allowance * QUOTA_ALLOWANCE_USED
                                : 0);
  depth -= quota_lag_reserve (gateway, rate, depth);
  quota->overdraft_max = depth * QUOTA_SURPLUS * QUOTA_OVERDRAFT
                         / ca_peers_possible_count (gateway);
  quota->bucket.level
      -= quota_assume_use (gateway, quota, index, rate, since_us);
  ca_bucket_set (&quota->bucket, gateway->now_us, rate, depth);
  if (!ca_peers_are_discovered (gateway))
    {
      quota->available = 0;
      quota->granted = 0;
      return;
    }
  quota->available = quota_available (gateway, quota, rate);
  quota->last_available = quota->available;
  quota->granted = quota->available * quota->share;
  quota->overdraft = 0;
  quota->loan.futile = 0;
}

uint64_t
ca_quota_round_left_us (const ca_gateway_t *gateway)
{
  return gateway->next_share_us > gateway->now_us
             ? gateway->next_share_us - gateway->now_us
             : 0;
}

void
ca_quota_tick (ca_gateway_t *gateway)
{
  uint64_t since_us = gateway->last_share_us;

  if (gateway->now_us < gateway->next_share_us || gateway->catalog == NULL)
    return;
  if (since_us == 0)
    since_us = gateway->now_us;
  gateway->last_share_us = gateway->now_us;
  /* Wait until the peers have reported what they used of the same bucket. */
  gateway->next_share_us = gateway->now_us
                           + (gateway->heartbeat_period_us > SHARE_PERIOD_US
                                  ? gateway->heartbeat_period_us
                                  : SHARE_PERIOD_US);
  for (uint32_t i = 0; i < gateway->catalog->workspace_count; i++)
    quota_update (gateway, i, since_us);
}

bool
ca_retry_budget_take (ca_gateway_t *gateway, const char *service, bool goes_on)
{
  const ca_bounds_t *bounds = &gateway->options.bounds;
  ca_service_stats_t *stats = ca_service_stats (gateway, service);
  uint32_t entries = ca_peers_known_count (gateway);
  double budget;

  if (entries < RETRY_ENTRIES_MIN)
    entries = RETRY_ENTRIES_MIN;
  budget = bounds->retry_ratio * RETRY_RATIO_USED
               * ca_window_sum (&stats->requests, gateway->now_us)
           + bounds->retry_allowance * RETRY_ALLOWANCE_USED / entries;
  if (!goes_on)
    budget *= RETRY_NEW_SHARE;
  if (ca_window_sum (&stats->retries, gateway->now_us) + 1 > budget)
    return false;
  ca_window_add (&stats->retries, gateway->now_us, 1);
  ca_counters_add (&gateway->counters, CA_COUNT_RETRIES, 1);
  return true;
}
