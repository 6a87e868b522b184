/* The decision core of one entry: events with a time in, port calls out.
 *
 * An instance does no I/O, reads no clock and has no globals; any number run
 * in one process.  `now_us` is monotonic time of the caller's choice.  Every
 * function may call ports; none may be called from within a port. */
#ifndef CA_CORE_CORE_H
#define CA_CORE_CORE_H

#include "core/state.h"

#include <jansson.h>

/* How often ca_core_tick is to be called. */
#define CA_TICK_US (50 * CA_US_PER_MS)

/* A leaving endpoint gets no new work later than this after the first sign of
 * its leaving reached any entry of its zone. */
#define CA_LEAVING_MAX_DELAY_US (3 * CA_US_PER_S)

/* Initialises caller-owned memory; `wall_us` is the wall clock at `now_us`. */
void ca_core_init (ca_core_t *core, const ca_core_options_t *options,
                   const ca_ports_t *ports, uint64_t now_us, uint64_t wall_us);
void ca_core_finish (ca_core_t *core);

/* Passes time. */
void ca_core_tick (ca_core_t *core, uint64_t now_us);

/* --- Peers --- */

/* Adds an address to join through. */
void ca_core_add_seed (ca_core_t *core, const ca_address_t *address);
void ca_core_peer_message (ca_core_t *core, uint64_t now_us,
                           const Camphor__Envelope *envelope);

/* --- Platform --- */

typedef enum
{
  CA_VM_ENGINE,
  CA_VM_SERVICE,
  CA_VM_ENTRY
} ca_vm_kind_t;

/* One row of the VM list or one reclaim notice. */
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

void ca_core_vm_list (ca_core_t *core, uint64_t now_us, const ca_vm_t *vms,
                      size_t count);

/* One reclaim notice, ahead of the list. */
void ca_core_reclaim_notice (ca_core_t *core, uint64_t now_us,
                             const ca_vm_t *vm);

void ca_core_table_result (ca_core_t *core, uint64_t now_us, uint64_t call_id,
                           const ca_table_result_t *result);

/* Price of one VM in a zone, in any one unit for all zones. */
void ca_core_set_price (ca_core_t *core, uint64_t now_us, const char *zone,
                        double reclaimable, double on_demand);

typedef enum
{
  CA_ORDER_DONE,
  CA_ORDER_REFUSED, /* nothing was started */
  CA_ORDER_UNKNOWN  /* no answer; it may have been carried out */
} ca_order_status_t;

/* Answer to a start ordered through the port. */
void ca_core_order_result (ca_core_t *core, uint64_t now_us, uint64_t number,
                           ca_order_status_t status);

/* --- Endpoints --- */

typedef struct
{
  uint64_t boot;
  bool leaving;
  uint64_t notice_us;
  uint32_t max_batch;
  uint32_t cache_blocks;
  uint64_t cache_seq;      /* of the last cache event told */
  bool cache_events_lost;  /* events were lost: forget the index */
  const uint64_t *evicted; /* blocks that left the cache */
  size_t evicted_count;
} ca_health_t;

/* Answer to a probe; NULL if there was none. */
void ca_core_endpoint_health (ca_core_t *core, uint64_t now_us, uint64_t id,
                              const ca_health_t *health);

typedef enum
{
  CA_FAILURE_NOT_SENT,    /* no byte left for the endpoint */
  CA_FAILURE_REFUSED,     /* the endpoint says that it did not start */
  CA_FAILURE_INTERRUPTED, /* the connection ended early */
  CA_FAILURE_BAD_ANSWER,  /* the answer does not parse or is another's */
  CA_FAILURE_UNKNOWN_RUN, /* reattach: the endpoint knows no such run */
  CA_FAILURE_PERMANENT    /* the endpoint refuses this request for good */
} ca_failure_t;

void ca_core_attempt_token (ca_core_t *core, uint64_t now_us,
                            const ca_run_attempt_t *attempt, uint32_t index,
                            const char *text, size_t bytes);

/* A sign of life without a token. */
void ca_core_attempt_progress (ca_core_t *core, uint64_t now_us,
                               const ca_run_attempt_t *attempt);

/* The endpoint says that the answer has `tokens` tokens in all, and that it
 * computed `recomputed` tokens that had been computed before. */
void ca_core_attempt_end (ca_core_t *core, uint64_t now_us,
                          const ca_run_attempt_t *attempt, uint32_t tokens,
                          uint32_t recomputed);
void ca_core_attempt_failed (ca_core_t *core, uint64_t now_us,
                             const ca_run_attempt_t *attempt,
                             ca_failure_t failure);

typedef enum
{
  CA_RUN_NO_ANSWER,     /* the stop order got no answer */
  CA_RUN_NEVER_STARTED, /* and never will: the id is refused from now on */
  CA_RUN_STOPPED,
  CA_RUN_FINISHED
} ca_run_state_t;

typedef struct
{
  ca_run_state_t state;
  uint64_t boot;
  uint32_t first;            /* index of tokens[0] */
  const char *const *tokens; /* text of each */
  size_t token_count;
  uint64_t kv; /* handle of the exported cache, 0 if none */
} ca_stop_result_t;

void ca_core_run_stopped (ca_core_t *core, uint64_t now_us,
                          const ca_run_attempt_t *attempt,
                          const ca_stop_result_t *stopped);

/* --- Callers --- */

typedef struct
{
  uint64_t id;
  const char *workspace;
  const char *class_name;
  const char *key;  /* NULL if none was sent */
  const char *path; /* of a service call; NULL for a model */
  const char *body;
  size_t body_bytes;
  uint32_t max_tokens;
  bool non_idempotent; /* marked so by the caller */
  bool stream;
  uint64_t deadline_us; /* time from now; 0: the class's */
} ca_request_spec_t;

/* A number no other request has, for ca_request_spec_t. */
uint64_t ca_core_new_request_id (ca_core_t *core);

void ca_core_request (ca_core_t *core, uint64_t now_us,
                      const ca_request_spec_t *spec);
void ca_core_caller_disconnected (ca_core_t *core, uint64_t now_us,
                                  uint64_t id);

/* A caller comes back for the answer from token `from` on. */
void ca_core_attach (ca_core_t *core, uint64_t now_us, uint64_t id,
                     uint32_t from, bool stream);

/* Tokens of a request held here, or NULL. */
const ca_tokens_t *ca_core_tokens (const ca_core_t *core, uint64_t request);

/* --- Operators --- */

/* Both are answered through reply_operator with the same call number. */
void ca_core_plan (ca_core_t *core, uint64_t now_us, uint64_t call,
                   const char *intent);
void ca_core_confirm (ca_core_t *core, uint64_t now_us, uint64_t call,
                      const char *plan_id);

/* New JSON object; the caller owns the reference. */
json_t *ca_core_status (const ca_core_t *core);

/* --- Stop --- */

/* Begins a planned stop. */
void ca_core_stop (ca_core_t *core, uint64_t now_us);

/* This entry's VM is taken away in `notice_us`. */
void ca_core_reclaimed (ca_core_t *core, uint64_t now_us, uint64_t notice_us);

/* True once a planned stop has nothing left to do. */
bool ca_core_is_stopped (const ca_core_t *core);

/* True while the balancer should send work here. */
bool ca_core_is_ready (const ca_core_t *core);

#endif
