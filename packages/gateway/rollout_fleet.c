/* Keeps the fleet planner from changing a service's endpoints while its rollout
 * runs. */
#include "gateway/rollout_order.h"

#include "gateway/leader_private.h"

#include <string.h>

void
ca_rollout_traffic (ca_gateway_t *gateway, const char *service,
                    ca_rollout_traffic_t *traffic)
{
  const ca_rollout_t *rollout = ca_rollout_find (gateway, service);
  ca_rollout_progress_t progress;

  memset (traffic, 0, sizeof *traffic);
  if (rollout == NULL)
    return;
  memset (&progress, 0, sizeof progress);
  ca_rollout_progress (gateway, rollout, &progress);
  traffic->target = progress.target;
  switch (progress.stage)
    {
    case CA_ROLLOUT_COMPLETED:
      traffic->at_target = true;
      return;
    case CA_ROLLOUT_REVERTED:
      return;
    default:
      traffic->runs = true;
      traffic->at_target = progress.stage == CA_ROLLOUT_DRAIN
                           || (progress.stage == CA_ROLLOUT_SHIFT
                               && progress.share_permille >= 1000);
    }
}

bool
ca_rollout_carries (const ca_rollout_traffic_t *traffic,
                    const ca_gateway_endpoint_t *endpoint)
{
  return traffic->target == NULL
         || (strcmp (endpoint->version, traffic->target) == 0)
                == traffic->at_target;
}

/* Forgets what was ordered and observed of a kind of endpoints. */
static void
rollout_renew_order (ca_order_row_t *row)
{
  row->ordered = 0;
  row->sent = false;
  row->previous = 0;
  row->ordered_us = 0;
  row->reclaimed = false;
  row->is_unmet = false;
  row->unconfirmed_until_us = 0;
  row->unavailable_until_us = 0;
  row->surplus_since_us = 0;
  row->last_count = 0;
}

void
ca_rollout_renew_orders (ca_leader_t *leader, const char *service,
                         const ca_rollout_traffic_t *traffic)
{
  ca_order_row_t *row;

  TAILQ_FOREACH (row, &leader->orders, entries)
  {
    if (strcmp (row->service, service) != 0)
      continue;
    if (row->rollout_ran && !traffic->runs)
      rollout_renew_order (row);
    row->rollout_ran = traffic->runs;
  }
}

/* Number of open endpoints that an order counts, of all versions: the platform
 * may end any of those that exceed it. */
static uint32_t
rollout_count_kind (const ca_gateway_t *gateway, const ca_order_row_t *row)
{
  const ca_gateway_endpoint_t *endpoint;
  uint32_t count = 0;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    count += ca_gateway_endpoint_is_open (endpoint)
             && endpoint->reclaimable == row->reclaimable
             && strcmp (endpoint->service, row->service) == 0
             && strcmp (endpoint->zone, row->zone) == 0;
  return count;
}

bool
ca_rollout_blocks_order (const ca_leader_t *leader, const ca_order_row_t *row,
                         uint32_t count)
{
  ca_rollout_traffic_t traffic;

  ca_rollout_traffic (leader->gateway, row->service, &traffic);
  return traffic.runs
         && ((row->sent && count < row->ordered)
             || count < rollout_count_kind (leader->gateway, row));
}
