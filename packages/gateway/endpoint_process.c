/* Which process of an endpoint a connection leads to.
 *
 * An endpoint may start again under its id and at its address, with other
 * software, before its new record is read.  A connection leads to one process
 * for its whole life, so what is known of the listed process holds for
 * connections: each endpoint has a time, `verified_us`, and connections that
 * were established by then lead to the listed process, or to one that has ended
 * and runs nothing.  Two observations move it on:
 *
 * - A list that names the process.  One that had taken its place long enough
 *   before would have been listed.
 * - A response on such a connection.  The process lived when the request was
 *   sent, so no other one had accepted connections until then.
 *
 * An interrupted response may be due to the end of the process.  From then on
 * the endpoint is in doubt, until it is verified to have lived later; meanwhile
 * only verified connections lead to the listed process for sure.  Endpoints
 * that merely reset requests are verified by the next response on such a
 * connection. */
#include "gateway/private.h"

#include <inttypes.h>

/* Time after the start of a process within which its record is read. */
#define PROCESS_LISTED_US (3 * CA_US_PER_S)

uint64_t
ca_endpoint_process_verified_us (const ca_gateway_t *gateway,
                                 const ca_gateway_endpoint_t *endpoint)
{
  uint64_t listed_us = 0;

  if (endpoint->missing_since_us == 0
      && gateway->list_validated_us > PROCESS_LISTED_US)
    listed_us = gateway->list_validated_us - PROCESS_LISTED_US;
  return listed_us > endpoint->verified_us ? listed_us : endpoint->verified_us;
}

void
ca_endpoint_process_answered (ca_gateway_t *gateway,
                              const ca_exchange_t *exchange,
                              const ca_answer_facts_t *facts)
{
  ca_gateway_endpoint_t *endpoint = exchange->endpoint;
  bool was_in_doubt;

  if (!facts->names_request || facts->wrong_endpoint
      || exchange->sent_us <= endpoint->verified_us
      || !ca_endpoint_process_is_verified (gateway, exchange, facts))
    return;
  was_in_doubt = ca_endpoint_process_is_in_doubt (gateway, endpoint);
  endpoint->verified_us = exchange->sent_us;
  if (was_in_doubt && !ca_endpoint_process_is_in_doubt (gateway, endpoint))
    ca_gateway_log (gateway, CA_EVENT_ENDPOINT_VERIFIED, exchange->id,
                    endpoint->id,
                    "answered a request sent %" PRIu64
                    " ms ago, after the latest interruption, on a connection "
                    "established %" PRIu64 " ms ago",
                    (gateway->now_us - exchange->sent_us) / CA_US_PER_MS,
                    (gateway->now_us - facts->connected_us) / CA_US_PER_MS);
  ca_stream_versions_verified (gateway, endpoint);
}

void
ca_endpoint_process_interrupted (ca_gateway_t *gateway,
                                 ca_gateway_endpoint_t *endpoint)
{
  bool was_in_doubt = ca_endpoint_process_is_in_doubt (gateway, endpoint);

  endpoint->interrupted_us = gateway->now_us;
  /* It shows soon if another process has taken the endpoint's place. */
  gateway->list_wanted = true;
  if (!was_in_doubt)
    ca_gateway_log (
        gateway, CA_EVENT_ENDPOINT_IN_DOUBT, NULL, endpoint->id,
        "response interrupted, list validated %" PRIu64
        " ms ago, connections verified to lead to the listed "
        "process if older than %" PRIu64 " ms",
        (gateway->now_us - gateway->list_validated_us) / CA_US_PER_MS,
        (gateway->now_us - ca_endpoint_process_verified_us (gateway, endpoint))
            / CA_US_PER_MS);
}

bool
ca_endpoint_process_is_verified (const ca_gateway_t *gateway,
                                 const ca_exchange_t *exchange,
                                 const ca_answer_facts_t *facts)
{
  return facts->connected_us != 0
         && facts->connected_us <= ca_endpoint_process_verified_us (
                gateway, exchange->endpoint);
}

bool
ca_endpoint_process_is_in_doubt (ca_gateway_t *gateway,
                                 const ca_gateway_endpoint_t *endpoint)
{
  if (endpoint->interrupted_us < endpoint->listed_us
      || endpoint->interrupted_us
             <= ca_endpoint_process_verified_us (gateway, endpoint))
    return false;
  /* An old list is renewed. */
  gateway->list_wanted
      = gateway->list_wanted
        || gateway->now_us >= endpoint->interrupted_us + PROCESS_LISTED_US;
  return true;
}

bool
ca_endpoint_process_has_connection (const ca_gateway_t *gateway,
                                    const ca_exchange_t *exchange,
                                    const ca_gateway_endpoint_t *endpoint)
{
  const ca_gateway_ports_t *ports = &gateway->ports;

  return ports->has_connection != NULL
         && ports->has_connection (
             ports->context, exchange, endpoint,
             ca_endpoint_process_verified_us (gateway, endpoint));
}
