/* What an endpoint says about itself in its responses: that it leaves, or that
 * it wants no requests from this entry for a time. */
#include "gateway/private.h"

#include <inttypes.h>

/* Longest pause that an endpoint gets; a faulty one may ask for a year. */
#define NOTICE_MAX_PAUSE_US (60 * CA_US_PER_S)

static void
notice_leaving (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint,
                const char *request)
{
  if (endpoint->state != CA_GATEWAY_ENDPOINT_READY)
    return;
  endpoint->state = CA_GATEWAY_ENDPOINT_DRAINING;
  ca_gateway_log (gateway, CA_EVENT_ENDPOINT_LEAVING, request, endpoint->id,
                  "named in its response");
}

static void
notice_pause (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint,
              const char *request, uint64_t pause_us)
{
  uint64_t until_us;

  if (pause_us > NOTICE_MAX_PAUSE_US)
    pause_us = NOTICE_MAX_PAUSE_US;
  until_us = gateway->now_us + pause_us;
  if (until_us <= endpoint->paused_until_us)
    return;
  endpoint->paused_until_us = until_us;
  ca_endpoint_start_paused (gateway, endpoint);
  ca_gateway_log (gateway, CA_EVENT_ENDPOINT_PAUSED, request, endpoint->id,
                  "for %" PRIu64 " ms", pause_us / CA_US_PER_MS);
}

bool
ca_endpoint_notice_is_genuine (const ca_answer_facts_t *facts)
{
  return !facts->wrong_endpoint && (facts->is_signed || facts->not_run);
}

void
ca_endpoint_notice_observe (ca_gateway_t *gateway,
                            const ca_exchange_t *exchange,
                            const ca_answer_facts_t *facts)
{
  if (!ca_endpoint_notice_is_genuine (facts))
    return;
  if (facts->leaving)
    notice_leaving (gateway, exchange->endpoint, exchange->id);
  if (facts->pause_us > 0)
    notice_pause (gateway, exchange->endpoint, exchange->id, facts->pause_us);
}
