/* HTTP/1.1 client by IP number: one exchange at a time on a connection, kept
 * connections, and an exact word on how far a failed exchange got.
 *
 * A call never runs its callbacks from within the function that started or
 * cancelled it. */
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
  uint64_t opened; /* connections made, for the counters */
} ca_http_pool_t;

typedef enum
{
  CA_HTTP_OUTCOME_COMPLETE,    /* a whole answer came */
  CA_HTTP_OUTCOME_NOT_SENT,    /* no connection was made: no byte left */
  CA_HTTP_OUTCOME_INTERRUPTED, /* some byte may have left; no whole answer came
                                */
  CA_HTTP_OUTCOME_MALFORMED    /* what came is no answer */
} ca_http_outcome_t;

typedef enum
{
  CA_HTTP_HEAD_ACCEPT, /* the answer to this call */
  CA_HTTP_HEAD_SKIP    /* an answer to an earlier call: read past it */
} ca_http_head_action_t;

typedef struct
{
  ca_address_t address;
  const char *method;
  const char *target;
  const ca_headers_t *headers; /* NULL if none; copied */
  const void *body;
  size_t body_bytes;
  bool has_body;               /* a length is sent even if it is 0 */
  uint32_t connect_timeout_ms; /* for the connection to be made */
  uint32_t timeout_ms;         /* for the whole call; 0: none */
  uint32_t max_idle_ms; /* oldest kept connection that may be used; 0: a new
                           one is made */
  ca_http_head_action_t (*on_head) (void *context, const ca_http_head_t *head);
  void (*on_body) (void *context, const char *bytes, size_t count);
  void (*on_done) (void *context, ca_http_outcome_t outcome);
  void *context;
} ca_http_pool_call_options_t;

typedef struct ca_http_pool_call ca_http_pool_call_t;

void ca_http_pool_init (ca_http_pool_t *pool, struct event_base *base);

/* Drops every call without a callback. */
void ca_http_pool_finish (ca_http_pool_t *pool);

/* Starts a call; the handle is valid until on_done or a cancel. */
ca_http_pool_call_t *
ca_http_pool_call_start (ca_http_pool_t *pool,
                         const ca_http_pool_call_options_t *options);

/* Closes the call's connection; no callback of it is run any more. */
void ca_http_pool_call_cancel (ca_http_pool_call_t *call);

#endif
