/* Limits that all entries enforce together: workspace quotas and the retry
 * budget.
 *
 * Each entry keeps one token bucket per workspace for all entries together.
 * It immediately subtracts what it admits itself; it subtracts what its peers
 * admit when their heartbeats report it.  From the rest it regularly grants
 * itself a share equal to its share of the demand, so that what one entry does
 * not use is available to the others.  An entry that has just started grants
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

#define SHARE_PERIOD_US (100 * CA_US_PER_MS)

/* Growth limit of an entry's share between two grants.  Its own demand is
 * current, that of its peers one round old.  Without the limit, when demand
 * grows everywhere, each entry would overestimate its share several times
 * over. */
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

/* Largest fraction of the bucket held back for late reports. */
#define QUOTA_LAG_MAX 0.5

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

/* True if the bucket can cover the request beyond this entry's grant.  Never
 * true while peers have not reported yet or too many are unreachable, since the
 * level is then uncertain. */
static bool
quota_allows_overdraft (const ca_quota_t *quota, double cost)
{
  double depth = quota->bucket.depth;

  if (quota->peers_expected || quota->unreachable_share > QUOTA_UNREACHABLE_MAX
      || (quota->overdraft > 0
          && quota->overdraft + cost > quota->overdraft_max))
    return false;
  if (cost > depth * (1 - QUOTA_SURPLUS))
    return quota->available >= depth * QUOTA_FULL;
  return quota->available >= cost + depth * QUOTA_SURPLUS;
}

bool
ca_quota_take (ca_gateway_t *gateway, const ca_catalog_workspace_t *workspace,
               double cost, uint64_t *wait_us)
{
  ca_quota_t *quota;
  double wait_s;

  if (workspace->rate_per_s <= 0)
    return true;
  quota = quota_get (gateway, workspace);
  ca_window_add (&quota->requested, gateway->now_us, cost);
  if (cost <= quota->granted || quota_allows_overdraft (quota, cost))
    {
      if (cost > quota->granted)
        quota->overdraft += cost;
      quota->granted -= cost;
      quota->admitted += cost;
      quota->bucket.level -= cost;
      quota->available -= cost;
      return true;
    }
  ca_gateway_log (gateway, CA_EVENT_QUOTA_SHORT, NULL, workspace->name,
                  "quota exceeded: request costs %.0f, grant has %.0f left, "
                  "bucket %.0f of %.0f, share %.3f, demand of peers %.0f/s and "
                  "of this entry %.0f/s, rate %.0f/s",
                  cost, quota->granted, quota->bucket.level,
                  quota->bucket.depth, quota->share, quota->peer_demand_per_s,
                  ca_quota_demand_per_s (gateway, quota),
                  workspace->rate_per_s);
  wait_s = (cost - quota->granted) / (workspace->rate_per_s * quota->share);
  /* Without a share of the quota it is infinite. */
  if (wait_s * CA_US_PER_S >= (double)QUOTA_WAIT_MAX_US)
    *wait_us = QUOTA_WAIT_MAX_US;
  else
    *wait_us = (uint64_t)(wait_s * CA_US_PER_S);
  if (*wait_us < QUOTA_WAIT_MIN_US)
    *wait_us = QUOTA_WAIT_MIN_US;
  return false;
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

/* Total admissions for a workspace that a heartbeat reports; 0 without one. */
static double
quota_admitted (const Camphor__Pulse *heartbeat, const char *workspace)
{
  for (size_t i = 0; heartbeat != NULL && i < heartbeat->n_demands; i++)
    {
      if (strcmp (heartbeat->demands[i]->workspace, workspace) == 0)
        return heartbeat->demands[i]->admitted;
    }
  return 0;
}

void
ca_quota_take_heartbeat (ca_gateway_t *gateway, const Camphor__Pulse *before,
                         const Camphor__Pulse *now)
{
  for (size_t i = 0; i < now->n_demands; i++)
    {
      const Camphor__WorkspaceDemand *demand = now->demands[i];
      ca_quota_t *quota = NULL;

      HASH_FIND (hh, gateway->quotas, demand->workspace,
                 strlen (demand->workspace), quota);
      if (quota != NULL)
        quota->bucket.level
            -= demand->admitted - quota_admitted (before, demand->workspace);
    }
}

/* Demand per second for a workspace in the peer's latest heartbeat. */
static double
quota_peer_demand (const ca_peer_t *peer, const char *workspace)
{
  for (size_t i = 0; i < peer->heartbeat->n_demands; i++)
    {
      if (strcmp (peer->heartbeat->demands[i]->workspace, workspace) == 0)
        return peer->heartbeat->demands[i]->asked_per_s;
    }
  return 0;
}

/* An entry that has been silent for this long, two heartbeat periods, may be
 * partitioned. */
static uint64_t
quota_unreachable_after_us (const ca_gateway_t *gateway)
{
  return 2 * gateway->heartbeat_period_us + DEMAND_LATENCY_US;
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
quota_update_share (ca_gateway_t *gateway, ca_quota_t *quota, double rate)
{
  double even = 1.0 / ca_peers_possible_count (gateway);
  double floor = rate * DEMAND_FLOOR * even;
  double own = ca_quota_demand_per_s (gateway, quota);
  double others = 0;
  double unreachable = 0;
  double share_max;
  bool peers_were_expected = quota->peers_expected;
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
      demand = quota_peer_demand (peer, quota->workspace);
      quota->peer_demand_per_s += demand;
      demand = demand > floor ? demand : floor;
      if (quota_is_unreachable (gateway, peer, gateway->now_us))
        unreachable += demand;
      else
        others += demand;
    }
  if (unreachable <= 0)
    quota->total_demand_per_s = own + others;
  quota->unreachable_share = quota_demand_share (quota, unreachable);
  if (quota->unreachable_share > 1)
    quota->unreachable_share = 1;
  share_max = quota->share * SHARE_GROWTH_MAX;
  if (share_max < even)
    share_max = even;
  quota->share = own / (own + others) * (1 - quota->unreachable_share);
  /* The first share that follows from all peers' demand is not limited. */
  if (quota->share > share_max && !peers_were_expected)
    quota->share = share_max;
}

/* What unreachable entries are assumed to have used since the shares were
 * last updated, or since their last heartbeat if they were still counted as
 * reachable then. */
static double
quota_unreachable_use (const ca_gateway_t *gateway, const ca_quota_t *quota,
                       double rate, uint64_t since_us)
{
  const ca_peer_t *peer;
  double used = 0;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      uint64_t from_us = since_us;

      if (!quota_is_unreachable (gateway, peer, gateway->now_us))
        continue;
      if (!quota_is_unreachable (gateway, peer, since_us))
        from_us = peer->received_us;
      used += quota_demand_share (quota,
                                  quota_peer_demand (peer, quota->workspace))
              * rate * (double)(gateway->now_us - from_us) / CA_US_PER_S;
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

/* Updates a workspace's share, bucket and grant for the next round. */
static void
quota_update (ca_gateway_t *gateway, const ca_catalog_workspace_t *workspace,
              uint64_t since_us)
{
  const ca_bounds_t *bounds = &gateway->options.bounds;
  ca_quota_t *quota;
  double rate;
  double depth;

  if (workspace->rate_per_s <= 0)
    return;
  quota = quota_get (gateway, workspace);
  quota_update_share (gateway, quota, workspace->rate_per_s);
  rate = workspace->rate_per_s
         * (1 + bounds->quota_overrun * QUOTA_OVERRUN_USED);
  depth
      = workspace->burst
        + (workspace->by_tokens ? bounds->quota_allowance * QUOTA_ALLOWANCE_USED
                                : 0);
  quota->overdraft_max = depth * QUOTA_SURPLUS * QUOTA_OVERDRAFT
                         / ca_peers_possible_count (gateway);
  depth -= quota_lag_reserve (gateway, rate, depth);
  ca_bucket_set (&quota->bucket, gateway->now_us, rate, depth);
  quota->bucket.level -= quota_unreachable_use (gateway, quota, rate, since_us);
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
    quota_update (gateway, &gateway->catalog->workspaces[i], since_us);
}

bool
ca_retry_budget_take (ca_gateway_t *gateway, const char *service)
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
  if (ca_window_sum (&stats->retries, gateway->now_us) + 1 > budget)
    return false;
  ca_window_add (&stats->retries, gateway->now_us, 1);
  ca_counters_add (&gateway->counters, CA_COUNT_RETRIES, 1);
  return true;
}
