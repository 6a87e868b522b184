/* Calls to HTTP servers by IP number, over kept connections where the call
 * may be repeated.
 *
 * A call never runs its callbacks from within the function that made it.  The
 * client tells whether any byte of a failed call may have left. */
#ifndef CA_ADAPTERS_HTTP_CLIENT_H
#define CA_ADAPTERS_HTTP_CLIENT_H

#include "base/settings.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

struct ca_http_call;
struct ca_http_idle;

typedef struct
{
  struct event_base *base; /* not owned */
  TAILQ_HEAD (ca_http_idles, ca_http_idle) idle;
  TAILQ_HEAD (ca_http_calls, ca_http_call) calls;
} ca_http_client_t;

typedef enum
{
  CA_HTTP_ANSWERED,   /* a whole answer came */
  CA_HTTP_NOT_SENT,   /* no connection: no byte left */
  CA_HTTP_INTERRUPTED /* some byte may have left; no whole answer came */
} ca_http_end_t;

typedef struct
{
  ca_http_end_t end;
  int status;       /* HTTP status, 0 if none */
  const char *body; /* of a call without `on_chunk`; not terminated */
  size_t body_bytes;
} ca_http_result_t;

typedef void (*ca_http_done_t) (void *context, const ca_http_result_t *result);
typedef void (*ca_http_chunk_t) (void *context, int status, const char *bytes,
                                 size_t count);

typedef struct
{
  ca_address_t address;
  enum evhttp_cmd_type method;
  const char *path;
  const char *body; /* NULL if none */
  size_t body_bytes;
  uint32_t timeout_ms;        /* 0: none */
  bool new_connection;        /* never on a kept connection */
  const char *const *headers; /* name, value, ..., NULL; may be NULL */
  ca_http_chunk_t on_chunk;   /* NULL: the body is collected */
  ca_http_done_t on_done;
  void (*on_drop) (void *context); /* of a call that gets no `on_done`; frees
                                      its context; may be NULL */
  void *context;
} ca_http_request_t;

typedef struct ca_http_call ca_http_call_t;

void ca_http_client_init (ca_http_client_t *client, struct event_base *base);

/* Drops every call; of their callbacks only `on_drop` is run. */
void ca_http_client_finish (ca_http_client_t *client);

/* Starts a call.  The handle is valid until `on_done` or a cancel. */
ca_http_call_t *ca_http_call_start (ca_http_client_t *client,
                                    const ca_http_request_t *request);

/* Closes the call's connection; of its callbacks only `on_drop` is run. */
void ca_http_call_cancel (ca_http_call_t *call);

#endif
