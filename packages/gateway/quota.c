/* Limits that all entries keep together: quotas of workspaces, and the budget
 * for repeats.
 *
 * A quota is divided by demand: each entry tells its peers what its callers
 * ask, and takes its part of the sum.  An entry that is not heard keeps its
 * last demand for a while, as it may be cut off and go on.  The budget for
 * repeats needs no exchange: each entry keeps to its own requests' part. */
#include "gateway/private.h"

#include <stdlib.h>
#include <string.h>

#define SHARE_PERIOD_US (250 * CA_US_PER_MS)

/* Demand that every entry is taken to have, as a part of the rate: a first
 * request must find something. */
#define DEMAND_FLOOR 0.02

/* An unheard entry may still be serving for this long. */
#define DEMAND_KEPT_US (10 * CA_US_PER_S)

/* Part of the tolerance that shares may use; the rest is for their lag. */
#define QUOTA_TOLERANCE_USED 0.6

/* Part of the budget for repeats that is used; the rest is for windows that
 * do not line up and for entries that restart. */
#define RETRY_RATIO_USED 0.8
#define RETRY_ALLOWANCE_USED 0.7
#define RETRY_ENTRIES_MIN 4

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
  quota->share = 1.0 / ca_siblings_live (gateway);
  ca_window_init (&quota->asked, CA_DEMAND_SPAN_S * CA_US_PER_S);
  ca_bucket_init (&quota->bucket, gateway->now_us,
                  workspace->rate_per_s * quota->share,
                  workspace->burst * quota->share);
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

bool
ca_quota_take (ca_gateway_t *gateway, const ca_catalog_workspace_t *workspace,
               double cost, uint64_t *wait_us)
{
  ca_quota_t *quota;

  if (workspace->rate_per_s <= 0)
    return true;
  quota = quota_get (gateway, workspace);
  ca_window_add (&quota->asked, gateway->now_us, cost);
  if (ca_bucket_take (&quota->bucket, gateway->now_us, cost))
    return true;
  *wait_us = ca_bucket_wait_us (&quota->bucket, cost);
  return false;
}

void
ca_quota_return (ca_gateway_t *gateway, const ca_catalog_workspace_t *workspace,
                 double cost)
{
  if (workspace->rate_per_s > 0)
    ca_bucket_return (&quota_get (gateway, workspace)->bucket, cost);
}

static double
quota_peer_demand (const ca_sibling_t *sibling, const char *workspace)
{
  for (size_t i = 0; i < sibling->pulse->n_demands; i++)
    {
      if (strcmp (sibling->pulse->demands[i]->workspace, workspace) == 0)
        return sibling->pulse->demands[i]->asked_per_s;
    }
  return 0;
}

/* This entry's part of what all ask. */
static double
quota_share (ca_gateway_t *gateway, ca_quota_t *quota, double floor)
{
  double own
      = ca_window_sum (&quota->asked, gateway->now_us) / CA_DEMAND_SPAN_S;
  double sum;
  ca_sibling_t *sibling;

  own = own > floor ? own : floor;
  sum = own;
  for (sibling = gateway->siblings; sibling != NULL; sibling = sibling->hh.next)
    {
      double demand;

      if (sibling->pulse == NULL || sibling->heard_us == 0
          || gateway->now_us - sibling->heard_us > DEMAND_KEPT_US)
        continue;
      demand = quota_peer_demand (sibling, quota->workspace);
      sum += demand > floor ? demand : floor;
    }
  return own / sum;
}

static void
quota_update (ca_gateway_t *gateway, const ca_catalog_workspace_t *workspace)
{
  const ca_bounds_t *bounds = &gateway->options.bounds;
  ca_quota_t *quota;
  double rate;
  double depth;

  if (workspace->rate_per_s <= 0)
    return;
  quota = quota_get (gateway, workspace);
  quota->share
      = quota_share (gateway, quota, workspace->rate_per_s * DEMAND_FLOOR);
  rate = workspace->rate_per_s
         * (1 + bounds->quota_overrun * QUOTA_TOLERANCE_USED);
  depth = workspace->burst
          + bounds->quota_allowance * QUOTA_TOLERANCE_USED
                * (workspace->by_tokens ? 1 : 0);
  ca_bucket_set (&quota->bucket, gateway->now_us, rate * quota->share,
                 depth * quota->share);
}

void
ca_quota_tick (ca_gateway_t *gateway)
{
  if (gateway->now_us < gateway->share_us || gateway->catalog == NULL)
    return;
  gateway->share_us = gateway->now_us + SHARE_PERIOD_US;
  for (uint32_t i = 0; i < gateway->catalog->workspace_count; i++)
    quota_update (gateway, &gateway->catalog->workspaces[i]);
}

bool
ca_retry_take (ca_gateway_t *gateway, const char *service)
{
  const ca_bounds_t *bounds = &gateway->options.bounds;
  ca_service_stats_t *stats = ca_service_stats (gateway, service);
  uint32_t entries = ca_siblings_live (gateway);
  double most;

  if (entries < RETRY_ENTRIES_MIN)
    entries = RETRY_ENTRIES_MIN;
  most = bounds->retry_ratio * RETRY_RATIO_USED
             * ca_window_sum (&stats->requests, gateway->now_us)
         + bounds->retry_allowance * RETRY_ALLOWANCE_USED / entries;
  if (ca_window_sum (&stats->repeats, gateway->now_us) + 1 > most)
    return false;
  ca_window_add (&stats->repeats, gateway->now_us, 1);
  ca_counters_add (&gateway->counters, CA_COUNT_RETRIES, 1);
  return true;
}
