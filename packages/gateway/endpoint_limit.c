/* Limits that endpoints in need name for the requests of all entries together.
 *
 * A limit applies from the first response that names it until a request that
 * was sent later is answered without one. */
#include "gateway/private.h"

bool
ca_endpoint_limit_applies (const ca_gateway_endpoint_t *endpoint)
{
  return endpoint->limit.named_us > endpoint->limit.lifted_us;
}

/* True if the response is known to be the endpoint's own. */
static bool
limit_is_from_endpoint (const ca_answer_facts_t *facts)
{
  return !facts->wrong_endpoint && (facts->is_signed || facts->not_run);
}

void
ca_endpoint_limit_observe (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                           const ca_answer_facts_t *facts)
{
  ca_gateway_endpoint_t *endpoint = exchange->endpoint;
  ca_endpoint_limit_t *limit = &endpoint->limit;
  bool applied = ca_endpoint_limit_applies (endpoint);

  if (!limit_is_from_endpoint (facts))
    return;
  if (facts->bad_limit != NULL)
    {
      ca_gateway_log (gateway, CA_EVENT_ENDPOINT_BAD_LIMIT, exchange->id,
                      endpoint->id, "\"%.64s\"", facts->bad_limit);
      return;
    }
  if (facts->has_limit)
    {
      if (!applied || limit->per_s != facts->limit_per_s)
        ca_gateway_log (gateway, CA_EVENT_ENDPOINT_LIMIT_NAMED, exchange->id,
                        endpoint->id, "%.2f requests per second",
                        facts->limit_per_s);
      limit->per_s = facts->limit_per_s;
      limit->named_us = gateway->now_us;
      return;
    }
  if (exchange->sent_us > limit->lifted_us)
    limit->lifted_us = exchange->sent_us;
  if (applied && !ca_endpoint_limit_applies (endpoint))
    ca_gateway_log (gateway, CA_EVENT_ENDPOINT_LIMIT_LIFTED, exchange->id,
                    endpoint->id, "after %.2f requests per second",
                    limit->per_s);
}
