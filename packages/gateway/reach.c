/* Whether this entry reaches the endpoints of a service.
 *
 * The loss of a single endpoint is the endpoint's; if connections to several
 * fail and no byte arrives from any, this entry is cut off from them. */
#include "gateway/private.h"

#include <inttypes.h>
#include <string.h>

/* Endpoints that must be unreachable, or all of a service with fewer, and how
 * recently. */
#define REACH_FAILED_MIN 3
#define REACH_FAILED_US (3 * CA_US_PER_S)

static ca_reach_t *
reach_of (ca_gateway_t *gateway, const ca_gateway_endpoint_t *endpoint)
{
  return &ca_service_stats (gateway, endpoint->service)->reach;
}

/* True if enough endpoints of the service are unreachable, and nothing has
 * arrived from any since. */
static bool
reach_has_failed (const ca_gateway_t *gateway, const char *service,
                  const ca_reach_t *reach)
{
  const ca_gateway_endpoint_t *endpoint;
  uint32_t open = 0;
  uint32_t failed = 0;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (!ca_gateway_endpoint_is_open (endpoint)
          || strcmp (endpoint->service, service) != 0)
        continue;
      open++;
      if (endpoint->connect_failed_us > reach->heard_us
          && gateway->now_us - endpoint->connect_failed_us < REACH_FAILED_US)
        failed++;
    }
  return failed > 0 && (failed >= REACH_FAILED_MIN || failed == open);
}

void
ca_reach_heard (ca_gateway_t *gateway, const ca_gateway_endpoint_t *endpoint)
{
  ca_reach_t *reach = reach_of (gateway, endpoint);

  reach->heard_us = gateway->now_us;
  if (!reach->lost)
    return;
  reach->lost = false;
  ca_gateway_log (gateway, CA_EVENT_ENDPOINTS_REACHED, NULL, endpoint->service,
                  "endpoint %s responds after %" PRIu64 " ms", endpoint->id,
                  (gateway->now_us - reach->lost_us) / CA_US_PER_MS);
}

void
ca_reach_failed (ca_gateway_t *gateway, const ca_gateway_endpoint_t *endpoint)
{
  ca_reach_t *reach = reach_of (gateway, endpoint);

  if (reach->lost || !reach_has_failed (gateway, endpoint->service, reach))
    return;
  reach->lost = true;
  reach->lost_us = gateway->now_us;
  ca_gateway_log (gateway, CA_EVENT_ENDPOINTS_LOST, NULL, endpoint->service,
                  "no connection to endpoint %s or others, last byte from any "
                  "%" PRIu64 " ms ago",
                  endpoint->id,
                  (gateway->now_us - reach->heard_us) / CA_US_PER_MS);
}
