/* Reports of usage: each window once, recorded with the lease before it is
 * sent. */
#include "gateway/duties_private.h"

#include <inttypes.h>

/* A window is reported this long after its end, when every pulse with its
 * counts has come. */
#define USAGE_SETTLE_US (3 * CA_US_PER_S)
#define USAGE_RETRY_US (400 * CA_US_PER_MS)

static uint64_t
usage_window_us (const ca_duties_t *duties)
{
  return duties->gateway->options.bounds.usage_window_s * CA_US_PER_S;
}

/* Latest window whose counts are all in. */
static uint64_t
usage_latest_settled (const ca_duties_t *duties)
{
  uint64_t wall_us
      = ca_gateway_wall_us (duties->gateway, duties->gateway->now_us);

  return (wall_us - USAGE_SETTLE_US) / usage_window_us (duties) - 1;
}

void
ca_duties_usage_total (const ca_duties_t *duties, uint64_t window,
                       struct ca_usage_rows *total)
{
  ca_usage_total (duties->gateway, window, total);
  ca_usage_raise (total, &duties->least, window);
}

/* Begins the report of the next window: it goes into the row first. */
static void
usage_begin (ca_duties_t *duties)
{
  uint64_t settled = usage_latest_settled (duties);
  uint64_t oldest = settled
                    - duties->gateway->options.bounds.usage_delay_s
                          / duties->gateway->options.bounds.usage_window_s;

  if (duties->reported >= settled)
    return;
  if (duties->reported < oldest)
    duties->reported = oldest;
  if (duties->reported >= settled)
    return;
  duties->window = duties->reported + 1;
  ca_usage_rows_finish (&duties->counts);
  ca_duties_usage_total (duties, duties->window, &duties->counts);
  duties->recorded = false;
  duties->next_us = 0;
}

void
ca_usage_report_tick (ca_duties_t *duties)
{
  uint64_t now_us = duties->gateway->now_us;

  if (!duties->reports || !ca_lease_is_valid (duties) || duties->reporting)
    return;
  if (duties->window == 0)
    usage_begin (duties);
  if (duties->window == 0 || !duties->recorded || now_us < duties->report_us)
    return;
  duties->reporting = true;
  duties->report_us = now_us + USAGE_RETRY_US;
  duties->ports.report_usage (duties->ports.context, duties->fence,
                              duties->window, &duties->counts);
}

void
ca_duties_usage_done (ca_duties_t *duties, uint64_t now_us, uint64_t window,
                      ca_call_status_t status)
{
  duties->gateway->now_us = now_us;
  duties->reporting = false;
  if (status == CA_CALL_CONFLICT)
    {
      ca_lease_is_outdated (duties);
      return;
    }
  if (status != CA_CALL_OK || window != duties->window)
    return;
  ca_gateway_log (duties->gateway, CA_EVENT_USAGE_REPORTED, NULL, NULL,
                  "window %" PRIu64 " under lease %" PRIu64, window,
                  duties->fence);
  duties->reported = window;
  duties->window = 0;
  ca_usage_rows_finish (&duties->counts);
}
