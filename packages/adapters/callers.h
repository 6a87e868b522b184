/* HTTP server for callers: completions, chats, service calls, and
 * reattachment to an earlier request. */
#ifndef CA_ADAPTERS_CALLERS_H
#define CA_ADAPTERS_CALLERS_H

#include "adapters/operators.h"
#include "core/core.h"

#include <event2/event.h>
#include <event2/http.h>

struct ca_caller;

typedef struct
{
  ca_core_t *core;         /* not owned */
  struct event_base *base; /* not owned */
  struct evhttp *http;
  struct evhttp_bound_socket *socket;
  struct ca_caller *callers;
  ca_operators_t operators;
  size_t max_body_bytes;
} ca_callers_t;

/* Starts to listen; false with `error` set if the address cannot be bound. */
bool ca_callers_init (ca_callers_t *callers, ca_core_t *core,
                      ca_observer_t *observer, struct event_base *base,
                      const ca_address_t *listen, size_t max_body_bytes,
                      ca_error_t *error);
void ca_callers_finish (ca_callers_t *callers);

/* Closes the listening socket; open connections are served to completion. */
void ca_callers_stop_listening (ca_callers_t *callers);

/* Number of connections whose response is incomplete. */
size_t ca_callers_open (const ca_callers_t *callers);

/* Ports of the core.  A call for a request without a connection is ignored. */
void ca_callers_token (ca_callers_t *callers, uint64_t request, uint32_t index,
                       const char *text, size_t bytes);
void ca_callers_end (ca_callers_t *callers, uint64_t request,
                     const ca_answer_t *answer);
void ca_callers_error (ca_callers_t *callers, uint64_t request,
                       const ca_refusal_t *refusal);
void ca_callers_moved (ca_callers_t *callers, uint64_t request);

#endif
