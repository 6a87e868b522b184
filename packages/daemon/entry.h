/* An entry: the core and its adapters on one event loop. */
#ifndef CA_DAEMON_ENTRY_H
#define CA_DAEMON_ENTRY_H

#include "adapters/callers.h"
#include "adapters/engine.h"
#include "adapters/observer.h"
#include "adapters/peer_transport.h"
#include "adapters/platform.h"

typedef struct
{
  struct event_base *base;
  struct event *tick;
  struct event *signals[2];
  ca_core_t core;
  ca_observer_t observer;
  ca_http_client_t http;
  ca_peer_transport_t peers;
  ca_platform_t platform;
  ca_engine_t engine;
  ca_callers_t callers;
  uint64_t stop_started_us; /* start of the planned stop; 0 if none */
  uint64_t idle_since_us;   /* since when nothing is open during a planned
                               stop; 0 if not idle */
  uint64_t lame_duck_us;
} ca_entry_t;

/* Initialises an entry from validated settings and starts to listen; false with
 * `error` set if it cannot. */
bool ca_entry_init (ca_entry_t *entry, const ca_settings_t *settings,
                    ca_error_t *error);

/* Runs the event loop until a planned stop is complete. */
void ca_entry_run (ca_entry_t *entry);
void ca_entry_finish (ca_entry_t *entry);

#endif
