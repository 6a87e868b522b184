/* Model engines and plain services over HTTP (docs/interfaces/engine.md and
 * service.md). */
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

void ca_engine_dispatch (ca_engine_t *engine, const ca_dispatch_t *dispatch);

/* Closes the leg's connection; nothing more is told of it. */
void ca_engine_abandon (ca_engine_t *engine, const ca_run_attempt_t *attempt);
void ca_engine_stop_run (ca_engine_t *engine, const ca_stop_order_t *order);
void ca_engine_probe (ca_engine_t *engine, uint64_t endpoint,
                      const ca_address_t *address, bool service,
                      uint64_t cache_seq);

#endif
