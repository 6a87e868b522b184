/* HTTP client for model engines and plain services
 * (docs/interfaces/engine.md and service.md). */
#ifndef CA_ADAPTERS_ENGINE_H
#define CA_ADAPTERS_ENGINE_H

#include "adapters/http_client.h"
#include "core/core.h"

struct ca_engine_attempt;

typedef struct
{
  ca_core_t *core;        /* not owned */
  ca_http_client_t *http; /* not owned */
  struct ca_engine_attempt *attempts;
} ca_engine_t;

void ca_engine_init (ca_engine_t *engine, ca_core_t *core,
                     ca_http_client_t *http);
void ca_engine_finish (ca_engine_t *engine);

/* Starts an attempt, or reattaches to a run.  Its events are passed to the
 * ca_core_attempt_* functions. */
void ca_engine_dispatch (ca_engine_t *engine, const ca_dispatch_t *dispatch);

/* Closes the attempt's connection; the core gets no further events of it. */
void ca_engine_abandon (ca_engine_t *engine, const ca_run_attempt_t *attempt);

/* Stops a run; the result is passed to ca_core_run_stopped(). */
void ca_engine_stop_run (ca_engine_t *engine, const ca_stop_order_t *order);

/* Reads an endpoint's health, which is passed to ca_core_endpoint_health();
 * NULL is passed if the probe failed. */
void ca_engine_probe (ca_engine_t *engine, uint64_t endpoint,
                      const ca_address_t *address, bool service,
                      uint64_t cache_seq);

#endif
