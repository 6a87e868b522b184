/* Ports of the core: callbacks with a context pointer through which it sends
 * messages and starts I/O.
 *
 * A callback must not call into the core; results are delivered later as events
 * (core/core.h).  Pointers passed to a callback are valid only during it. */
#ifndef CA_PORTS_PORTS_H
#define CA_PORTS_PORTS_H

#include "base/counters.h"
#include "base/error.h"
#include "base/events.h"
#include "base/settings.h"
#include "wire/peer.pb-c.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Outcome of a request that ended without an answer. */
typedef enum
{
  CA_OUTCOME_NOT_RUN, /* no endpoint ran any part of it, and none will */
  CA_OUTCOME_RAN,     /* it ran to completion */
  CA_OUTCOME_UNKNOWN  /* some endpoint may have run it */
} ca_outcome_t;

/* One attempt: one connection to the endpoint of a run.  A run is one start of
 * a request at an engine; several attempts may connect to it. */
typedef struct
{
  uint64_t request;
  uint32_t run;
  uint32_t leg; /* number of the attempt within the request */
  uint64_t endpoint;
  ca_address_t address;
} ca_run_attempt_t;

/* Text of the tokens of a request: token i is text[ends[i-1]..ends[i]). */
typedef struct
{
  char *text;
  uint32_t *ends;
  uint32_t count;
  uint32_t capacity;
  size_t text_capacity;
} ca_tokens_t;

/* KV cache that a stopped run exported at its endpoint. */
typedef struct
{
  uint64_t handle; /* 0 if none */
  ca_address_t address;
} ca_kv_t;

typedef struct
{
  ca_run_attempt_t attempt;
  bool service;  /* a plain service, not a model engine */
  bool reattach; /* connect to the existing run; never start one */
  bool idempotent;
  const char *pool;
  const char *version;
  const char *workspace;
  const char *path; /* of a service call */
  const char *body;
  size_t body_bytes;
  uint32_t max_tokens;
  uint32_t priority;
  const ca_tokens_t *tokens; /* already received; the run continues them */
  ca_kv_t kv;
} ca_dispatch_t;

/* Order to an endpoint to stop a run permanently and return its tokens. */
typedef struct
{
  ca_run_attempt_t attempt;
  uint32_t from; /* index of the first token to return */
  bool export_kv;
} ca_stop_order_t;

/* Expected versions: the row must not exist, or may have any version. */
#define CA_ROW_ABSENT UINT64_C (0)
#define CA_ROW_ANY UINT64_MAX

typedef struct
{
  const char *key;
  uint64_t version;  /* expected before the write */
  const char *value; /* NULL: only check the version */
} ca_table_op_t;

typedef struct
{
  const char *key;
  uint64_t version;
  const char *value;
} ca_row_t;

typedef enum
{
  CA_TABLE_OK,
  CA_TABLE_CONFLICT,   /* rows[0] is the current row, if it exists */
  CA_TABLE_UNKNOWN,    /* no answer; a write may have taken effect */
  CA_TABLE_UNAVAILABLE /* refused before it took effect */
} ca_table_status_t;

typedef struct
{
  ca_table_status_t status;
  uint64_t version; /* of all rows written by the transaction */
  const ca_row_t *rows;
  size_t row_count;
} ca_table_result_t;

typedef struct
{
  const char *text;
  size_t text_bytes;
  uint32_t tokens;
  bool replayed; /* stored by an earlier request; not run again */
} ca_answer_t;

typedef struct
{
  ca_error_kind_t kind;
  ca_outcome_t outcome;
  uint64_t retry_after_us; /* 0 if a retry will not help */
  const char *message;
} ca_refusal_t;

/* Response to an operator's call. */
typedef struct
{
  uint32_t http_status;
  const char *json;
} ca_operator_reply_t;

typedef struct
{
  void *context;

  /* Peers.  `to` is a member id; the message may be dropped. */
  void (*send_peer) (void *context, uint64_t to, const ca_address_t *address,
                     const Camphor__Envelope *envelope);

  /* Endpoints. */
  void (*dispatch) (void *context, const ca_dispatch_t *dispatch);
  void (*abandon) (void *context, const ca_run_attempt_t *attempt);
  void (*stop_run) (void *context, const ca_stop_order_t *stop);
  void (*probe) (void *context, uint64_t endpoint, const ca_address_t *address,
                 bool service, uint64_t cache_seq);

  /* The table service; answered by ca_core_table_result. */
  void (*table_read) (void *context, uint64_t call, const char *key);
  void (*table_scan) (void *context, uint64_t call, const char *prefix);
  void (*table_write) (void *context, uint64_t call, const ca_table_op_t *ops,
                       size_t count);

  /* Callers and operators. */
  void (*reply_token) (void *context, uint64_t request, uint32_t index,
                       const char *text, size_t bytes);
  void (*reply_end) (void *context, uint64_t request,
                     const ca_answer_t *answer);
  void (*reply_error) (void *context, uint64_t request,
                       const ca_refusal_t *refusal);
  void (*reply_moved) (void *context, uint64_t request);
  void (*reply_operator) (void *context, uint64_t call,
                          const ca_operator_reply_t *reply);

  /* Fleet orders to the cloud; a start is answered by ca_core_order_result.
   * A stop applies only to the VM with boot number `boot` at the address. */
  void (*order_vm) (void *context, uint64_t number, uint64_t fence, bool start,
                    const char *zone, const char *pool, bool reclaimable,
                    const ca_address_t *address, uint64_t boot);

  /* Observability. */
  void (*trace) (void *context, ca_event_number_t number, uint64_t request,
                 uint64_t endpoint, const char *workspace, const char *detail);
} ca_ports_t;

#endif
