/* Usage reports.  Each window is reported once, and its counts are written to
 * the lease row before they are sent. */
#include "gateway/leader_private.h"

#include <inttypes.h>

/* Delay between the end of a window and its report, in which the heartbeats
 * with its counts arrive. */
#define USAGE_SETTLE_US (3 * CA_US_PER_S)
#define USAGE_RETRY_US (400 * CA_US_PER_MS)

/* Returns the length of a window. */
static uint64_t
usage_window_us (const ca_leader_t *leader)
{
  return leader->gateway->options.bounds.usage_window_s * CA_US_PER_S;
}

uint64_t
ca_usage_latest_settled (const ca_leader_t *leader)
{
  uint64_t wall_us
      = ca_gateway_wall_us (leader->gateway, leader->gateway->now_us);

  return (wall_us - USAGE_SETTLE_US) / usage_window_us (leader) - 1;
}

void
ca_leader_usage_total (const ca_leader_t *leader, uint64_t window,
                       struct ca_usage_rows *total)
{
  ca_usage_total (leader->gateway, window, total);
  ca_usage_raise_to (total, &leader->min_counts, window);
}

/* Starts the next window's report.  Its counts go to the lease row first. */
static void
usage_begin (ca_leader_t *leader)
{
  uint64_t settled = ca_usage_latest_settled (leader);
  uint64_t oldest = settled
                    - leader->gateway->options.bounds.usage_delay_s
                          / leader->gateway->options.bounds.usage_window_s;

  if (leader->reported >= settled)
    return;
  if (leader->reported < oldest)
    leader->reported = oldest;
  if (leader->reported >= settled)
    return;
  leader->window = leader->reported + 1;
  ca_usage_rows_finish (&leader->counts);
  ca_leader_usage_total (leader, leader->window, &leader->counts);
  leader->recorded = false;
  leader->next_call_us = 0;
}

void
ca_usage_report_tick (ca_leader_t *leader)
{
  uint64_t now_us = leader->gateway->now_us;

  if (!leader->reports || !ca_lease_is_valid (leader) || leader->reporting)
    return;
  if (leader->window == 0)
    usage_begin (leader);
  if (leader->window == 0 || !leader->recorded
      || now_us < leader->next_report_us)
    return;
  leader->reporting = true;
  if (leader->gateway->store_era != 0)
    ca_peers_announce_report (leader->gateway, leader->window);
  leader->next_report_us = now_us + USAGE_RETRY_US;
  leader->ports.report_usage (leader->ports.context, leader->fence,
                              leader->window, &leader->counts);
}

void
ca_leader_usage_reported (ca_leader_t *leader, uint64_t now_us, uint64_t window,
                          ca_call_status_t status)
{
  leader->gateway->now_us = now_us;
  leader->reporting = false;
  if (status == CA_CALL_CONFLICT)
    {
      ca_lease_superseded (leader);
      return;
    }
  if (status != CA_CALL_OK || window != leader->window)
    return;
  ca_gateway_log (leader->gateway, CA_EVENT_USAGE_REPORTED, NULL, NULL,
                  "reported window %" PRIu64 " under lease %" PRIu64, window,
                  leader->fence);
  /* Later windows are skipped if they may have been reported. */
  if (window > leader->reported)
    leader->reported = window;
  leader->window = 0;
  ca_usage_rows_finish (&leader->counts);
}
