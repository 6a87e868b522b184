/* State machine of one entry.  The caller feeds it events with a timestamp, and
 * it acts through the callbacks in ca_ports_t.
 *
 * An instance does no I/O, reads no clock and has no globals, so one process
 * can hold several.  `now_us` comes from any monotonic clock and must never
 * decrease.  Every function may call ports; a port must not call back into the
 * core. */
#ifndef CA_CORE_CORE_H
#define CA_CORE_CORE_H

#include "core/state.h"

#include <jansson.h>

/* Interval at which the caller must call ca_core_tick. */
#define CA_TICK_US (50 * CA_US_PER_MS)

/* Once any entry of its zone has detected that an endpoint is leaving, the
 * endpoint may get new work for at most this time. */
#define CA_LEAVING_NOTICED_MAX_US (3 * CA_US_PER_S)

/* Initialises memory owned by the caller.  `wall_us` is the wall-clock time at
 * `now_us`.  Release with ca_core_finish. */
void ca_core_init (ca_core_t *core, const ca_core_options_t *options,
                   const ca_ports_t *ports, uint64_t now_us, uint64_t wall_us);
void ca_core_finish (ca_core_t *core);

/* Runs all timers that are due. */
void ca_core_tick (ca_core_t *core, uint64_t now_us);

/* Peers. */

/* Adds the address of an entry to join the group through.  Ignored if it is
 * this entry's own, a duplicate, or if the list is full. */
void ca_core_add_seed (ca_core_t *core, const ca_address_t *address);

/* Handles a message from a peer.  The caller keeps ownership of `envelope`. */
void ca_core_peer_message (ca_core_t *core, uint64_t now_us,
                           const Camphor__Envelope *envelope);

/* Platform. */

typedef enum
{
  CA_VM_ENGINE,
  CA_VM_SERVICE,
  CA_VM_ENTRY
} ca_vm_kind_t;

/* One row of the VM list, or one reclaim notice. */
typedef struct
{
  ca_vm_kind_t kind;
  ca_address_t address;
  const char *zone;
  const char *pool;
  uint64_t boot;
  bool reclaimable;
  bool leaving;
  uint64_t notice_us; /* time left until the reclaim; 0 if unknown */
} ca_vm_t;

/* Handles a complete VM list.  Endpoints that stay missing from it are
 * marked as gone; entries in it become seeds. */
void ca_core_vm_list (ca_core_t *core, uint64_t now_us, const ca_vm_t *vms,
                      size_t count);

/* Handles a reclaim notice, which may arrive before the VM list shows it.
 * Ignored for a VM that was never listed. */
void ca_core_reclaim_notice (ca_core_t *core, uint64_t now_us,
                             const ca_vm_t *vm);

/* Handles the answer to a table call; an unknown `call_id` is ignored. */
void ca_core_table_result (ca_core_t *core, uint64_t now_us, uint64_t call_id,
                           const ca_table_result_t *result);

/* Sets the prices of one VM in a zone.  Any unit will do, as long as it is the
 * same for all zones. */
void ca_core_set_price (ca_core_t *core, uint64_t now_us, const char *zone,
                        double reclaimable, double on_demand);

typedef enum
{
  CA_ORDER_DONE,
  CA_ORDER_REFUSED, /* no VM was started */
  CA_ORDER_UNKNOWN  /* no answer; a VM may have been started */
} ca_order_status_t;

/* Handles the cloud's answer to a VM start requested through `order_vm`. */
void ca_core_order_result (ca_core_t *core, uint64_t now_us, uint64_t number,
                           ca_order_status_t status);

/* Endpoints. */

typedef struct
{
  uint64_t boot;
  bool leaving;
  uint64_t notice_us;
  uint32_t max_batch;
  uint32_t cache_blocks;
  uint64_t cache_seq;     /* sequence number of the last cache event reported */
  bool cache_events_lost; /* the prefix index must be cleared */
  const uint64_t *evicted; /* blocks evicted from the cache */
  size_t evicted_count;
} ca_health_t;

/* Handles the result of a probe; `health` is NULL if none arrived. */
void ca_core_endpoint_health (ca_core_t *core, uint64_t now_us, uint64_t id,
                              const ca_health_t *health);

typedef enum
{
  CA_FAILURE_NOT_SENT, /* no bytes were sent to the endpoint */
  CA_FAILURE_REFUSED,  /* the endpoint reports that it did not start the run */
  CA_FAILURE_INTERRUPTED, /* the connection closed before the answer ended */
  CA_FAILURE_BAD_ANSWER,  /* malformed, or an answer to another request */
  CA_FAILURE_UNKNOWN_RUN, /* reattach: the endpoint has no such run */
  CA_FAILURE_PERMANENT    /* the endpoint rejects this request permanently */
} ca_failure_t;

/* Handles token `index` of a run.  A token that was received before must repeat
 * the same text. */
void ca_core_attempt_token (ca_core_t *core, uint64_t now_us,
                            const ca_run_attempt_t *attempt, uint32_t index,
                            const char *text, size_t bytes);

/* The endpoint is still working on the run but has no new token. */
void ca_core_attempt_progress (ca_core_t *core, uint64_t now_us,
                               const ca_run_attempt_t *attempt);

/* The run finished with `tokens` tokens in total.  `recomputed` counts the
 * tokens that the endpoint had to compute although they had been computed
 * before. */
void ca_core_attempt_end (ca_core_t *core, uint64_t now_us,
                          const ca_run_attempt_t *attempt, uint32_t tokens,
                          uint32_t recomputed);
void ca_core_attempt_failed (ca_core_t *core, uint64_t now_us,
                             const ca_run_attempt_t *attempt,
                             ca_failure_t failure);

typedef enum
{
  CA_RUN_NO_ANSWER,     /* the stop request got no answer */
  CA_RUN_NEVER_STARTED, /* nor will it: the endpoint now rejects the id */
  CA_RUN_STOPPED,
  CA_RUN_FINISHED
} ca_run_state_t;

typedef struct
{
  ca_run_state_t state;
  uint64_t boot;
  uint32_t first;            /* index of tokens[0] */
  const char *const *tokens; /* text of each token */
  size_t token_count;
  uint64_t kv; /* handle of the exported KV cache; 0 if none */
} ca_stop_result_t;

/* Handles the answer to a stop request. */
void ca_core_run_stopped (ca_core_t *core, uint64_t now_us,
                          const ca_run_attempt_t *attempt,
                          const ca_stop_result_t *stopped);

/* Callers. */

typedef struct
{
  uint64_t id;
  const char *workspace;
  const char *class_name;
  const char *key;  /* idempotency key; NULL if none was sent */
  const char *path; /* URL path of a service call; NULL for a model */
  const char *body;
  size_t body_bytes;
  uint32_t max_tokens;
  bool non_idempotent; /* set by the caller */
  bool stream;
  uint64_t deadline_us; /* relative to now; 0: use the class's deadline */
} ca_request_spec_t;

/* Returns a unique, non-zero id for ca_request_spec_t. */
uint64_t ca_core_new_request_id (ca_core_t *core);

/* Accepts a request, or answers it with an error through `reply_error`.  `spec`
 * is copied. */
void ca_core_request (ca_core_t *core, uint64_t now_us,
                      const ca_request_spec_t *spec);

/* The caller's connection closed; it may reconnect with
 * ca_core_attach. */
void ca_core_caller_disconnected (ca_core_t *core, uint64_t now_us,
                                  uint64_t id);

/* A caller reconnects to receive the answer from token `from` on. */
void ca_core_attach (ca_core_t *core, uint64_t now_us, uint64_t id,
                     uint32_t from, bool stream);

/* Returns the tokens of a request held by this entry, or NULL. The core keeps
 * ownership. */
const ca_tokens_t *ca_core_tokens (const ca_core_t *core, uint64_t request);

/* Operators. */

/* Both are answered through `reply_operator` with the same call number. */
void ca_core_plan (ca_core_t *core, uint64_t now_us, uint64_t call,
                   const char *intent);
void ca_core_confirm (ca_core_t *core, uint64_t now_us, uint64_t call,
                      const char *plan_id);

/* Returns a new JSON object; the caller owns the reference. */
json_t *ca_core_status (const ca_core_t *core);

/* Shutdown. */

/* Begins a planned stop: running requests may finish here until the drain
 * limit, then they are handed over. */
void ca_core_stop (ca_core_t *core, uint64_t now_us);

/* This entry's VM will be reclaimed in `notice_us`.  Stops the entry and hands
 * over what still runs after half of the notice. */
void ca_core_reclaimed (ca_core_t *core, uint64_t now_us, uint64_t notice_us);

/* True once a planned stop is complete and the process may exit. */
bool ca_core_is_stopped (const ca_core_t *core);

/* True while the balancer should send requests to this entry. */
bool ca_core_is_ready (const ca_core_t *core);

#endif
