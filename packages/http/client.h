/* HTTP/1.1 client that connects to IP addresses.  A connection carries one call
 * at a time and is reused; a failed call reports how far its request got.
 *
 * Callbacks never run from within the function that starts or cancels their
 * call. */
#ifndef CA_HTTP_CLIENT_H
#define CA_HTTP_CLIENT_H

#include "base/settings.h"
#include "http/reader.h"

#include <event2/event.h>
#include <sys/queue.h>
#include <uthash.h>

struct ca_http_pool_call;
struct ca_http_host;

typedef struct
{
  struct event_base *base; /* not owned */
  struct ca_http_host *hosts;
  TAILQ_HEAD (ca_http_pool_calls, ca_http_pool_call) busy;
  uint64_t opened; /* connections established, for the metrics */
} ca_http_pool_t;

/* Outcome of a call. */
typedef enum
{
  CA_HTTP_OUTCOME_COMPLETE,    /* the complete response was received */
  CA_HTTP_OUTCOME_NOT_SENT,    /* no connection: no byte was sent */
  CA_HTTP_OUTCOME_INTERRUPTED, /* bytes may have been sent; the response is
                                  incomplete */
  CA_HTTP_OUTCOME_MALFORMED,   /* what was received is not a valid response */
  CA_HTTP_OUTCOME_EMBEDDED     /* the response holds another one */
} ca_http_outcome_t;

/* Returned by a call's on_head. */
typedef enum
{
  CA_HTTP_HEAD_ACCEPT, /* the response to this call */
  CA_HTTP_HEAD_SKIP,   /* the response to an earlier call: discard it */
  CA_HTTP_HEAD_REJECT  /* not a valid response: the outcome is
                          CA_HTTP_OUTCOME_MALFORMED */
} ca_http_head_action_t;

typedef struct
{
  ca_address_t address;
  const char *method;
  const char *target;
  const ca_headers_t *headers; /* NULL if none; copied */
  const void *body;
  size_t body_bytes;
  bool has_body;               /* send Content-Length even if it is 0 */
  uint32_t connect_timeout_ms; /* to establish the connection */
  uint32_t timeout_ms;         /* for the whole call; 0: none */
  /* While the response's body arrives, the timeout is extended to this long
   * after its latest bytes, if they come fast enough on average.  0: never. */
  uint32_t stall_timeout_ms;
  /* If the call ends at its timeout, idle connections to the address that were
   * not used since it was sent are closed: they may have been lost with its
   * own. */
  bool timeout_closes_idle;
  uint32_t max_idle_ms; /* maximum idle time of a reused connection; 0: open a
                           new one */
  /* Use an idle connection that was established by then; if there is none, the
   * outcome is CA_HTTP_OUTCOME_NOT_SENT.  0: use any, or a new one. */
  uint64_t connected_by_us;
  /* Value of an identity field: a connection that has carried a call with it is
   * not used if `connected_by_us` is set.  NULL: none. */
  const char *not_carried;
  /* Names of header fields that tell one response on a connection from another,
   * in requests or responses; ends with NULL.  NULL: there are none. */
  const char *const *identity_fields;
  ca_http_head_action_t (*on_head) (void *context, const ca_http_head_t *head);
  /* If false, the response is not wanted: its connection is closed, and the
   * outcome is CA_HTTP_OUTCOME_MALFORMED. */
  bool (*on_body) (void *context, const char *bytes, size_t count);
  void (*on_done) (void *context, ca_http_outcome_t outcome);
  void *context;
} ca_http_pool_call_options_t;

typedef struct ca_http_pool_call ca_http_pool_call_t;

void ca_http_pool_init (ca_http_pool_t *pool, struct event_base *base);

/* Frees the pool; calls in progress end without a callback. */
void ca_http_pool_finish (ca_http_pool_t *pool);

/* Starts a call; the handle is valid until on_done or a cancel. */
ca_http_pool_call_t *
ca_http_pool_call_start (ca_http_pool_t *pool,
                         const ca_http_pool_call_options_t *options);

/* True if a connection to the address is open. */
bool ca_http_pool_is_connected (const ca_http_pool_t *pool,
                                const ca_address_t *address);

/* True if the connection has carried another call before, a response to which
 * may arrive late. */
bool ca_http_pool_call_is_reused (const ca_http_pool_call_t *call);

/* Time at which the call's connection was established, by the boot clock; 0 if
 * it has not been. */
uint64_t ca_http_pool_call_connected_us (const ca_http_pool_call_t *call);

/* True if an idle connection can carry a call with these options. */
bool ca_http_pool_has_idle (const ca_http_pool_t *pool,
                            const ca_http_pool_call_options_t *options);

/* True while the connection is being established: no byte has been sent. */
bool ca_http_pool_call_is_connecting (const ca_http_pool_call_t *call);

/* Closes the call's connection; none of its callbacks run afterwards. */
void ca_http_pool_call_cancel (ca_http_pool_call_t *call);

#endif
