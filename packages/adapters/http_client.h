/* HTTP client for servers given by IP address.  Idle connections are reused
 * unless the request asks for a new one.
 *
 * Callbacks never run from within ca_http_call_start().  The result of a failed
 * call says whether any byte of the request may have been sent. */
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
  CA_HTTP_ANSWERED,   /* a complete response was received */
  CA_HTTP_NOT_SENT,   /* not connected: no byte was sent */
  CA_HTTP_INTERRUPTED /* some bytes may have been sent, but no complete
                         response was received */
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
  uint32_t timeout_ms;        /* 0: no timeout */
  bool new_connection;        /* do not reuse an idle connection */
  const char *const *headers; /* name, value, ..., NULL; may be NULL */
  ca_http_chunk_t on_chunk;   /* NULL: `on_done` gets the whole body */
  ca_http_done_t on_done;
  void (*on_drop) (void *context); /* frees the context of a cancelled call,
                                      instead of `on_done`; may be NULL */
  void *context;
} ca_http_request_t;

typedef struct ca_http_call ca_http_call_t;

void ca_http_client_init (ca_http_client_t *client, struct event_base *base);

/* Cancels every call; of their callbacks only `on_drop` runs. */
void ca_http_client_finish (ca_http_client_t *client);

/* Starts a call; path, headers and body are copied.  The handle is valid until
 * `on_done` runs or the call is cancelled. */
ca_http_call_t *ca_http_call_start (ca_http_client_t *client,
                                    const ca_http_request_t *request);

/* Cancels a call and closes its connection; of its callbacks only `on_drop`
 * runs. */
void ca_http_call_cancel (ca_http_call_t *call);

#endif
