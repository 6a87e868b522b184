/* HTTP routes for operators: plans and their confirmation, status, timeline,
 * metrics, health and drain. */
#ifndef CA_ADAPTERS_OPERATORS_H
#define CA_ADAPTERS_OPERATORS_H

#include "adapters/observer.h"
#include "core/core.h"

#include <event2/http.h>

struct ca_operator_call;

typedef struct
{
  ca_core_t *core;         /* not owned */
  ca_observer_t *observer; /* not owned */
  struct ca_operator_call *calls;
  uint64_t next_call;
} ca_operators_t;

void ca_operators_init (ca_operators_t *operators, ca_core_t *core,
                        ca_observer_t *observer);

/* Calls still open get no response. */
void ca_operators_finish (ca_operators_t *operators);

/* Handles a request for an operator route; false if it is for another path. */
bool ca_operators_serve (ca_operators_t *operators, struct evhttp_request *in);

/* Port of the core: responds to a plan or confirm call.  `number` is the one
 * that was passed to ca_core_plan() or ca_core_confirm(). */
void ca_operators_reply (ca_operators_t *operators, uint64_t number,
                         const ca_operator_reply_t *reply);

#endif
