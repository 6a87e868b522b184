/* HTTP/1.1 server: one request at a time per connection, read completely, and
 * answered with a whole response or a stream.
 *
 * A connection frees itself and its request.  The handler may use the pointer
 * until it completes the response or on_disconnect is called. */
#ifndef CA_HTTP_SERVER_H
#define CA_HTTP_SERVER_H

#include "base/error.h"
#include "base/settings.h"
#include "http/reader.h"

#include <event2/event.h>
#include <sys/queue.h>

struct ca_http_connection;

/* Limits on the size and duration of requests. */
typedef struct
{
  uint32_t head_bytes;
  uint32_t body_bytes;
  uint32_t head_ms; /* from the first byte of a head to its end */
  uint32_t idle_ms; /* without a byte, between requests or within a body */
} ca_http_limits_t;

/* One request; the fields are valid until its response is complete. */
typedef struct
{
  const ca_http_head_t *head;
  struct evbuffer *body;
  void *user_data; /* for the handler's own use */
} ca_http_server_request_t;

typedef struct
{
  /* A complete request was read. */
  void (*on_request) (void *context, ca_http_server_request_t *request);
  /* The client disconnected before its response was complete. */
  void (*on_disconnect) (void *context, ca_http_server_request_t *request);
  void *context;
} ca_http_handler_t;

typedef struct ca_http_server
{
  struct event_base *base; /* not owned */
  ca_http_handler_t handler;
  ca_http_limits_t limits;
  struct evconnlistener *listener;
  bool closing; /* responses ask the client to close */
  uint32_t open;
  TAILQ_HEAD (, ca_http_connection) connections;
} ca_http_server_t;

/* Listens; false and an error if the address cannot be bound.  The limits may
 * be changed at any time. */
bool ca_http_server_init (ca_http_server_t *server, struct event_base *base,
                          const ca_address_t *listen,
                          const ca_http_handler_t *handler,
                          const ca_http_limits_t *limits, ca_error_t *error);
void ca_http_server_finish (ca_http_server_t *server);

/* All further responses close their connection. */
void ca_http_server_close_soon (ca_http_server_t *server);

/* Closes connections that have neither a request in progress nor input. */
void ca_http_server_close_idle (ca_http_server_t *server);

/* Sends a complete response, including the framing header fields. */
void ca_http_respond (ca_http_server_request_t *request, uint32_t status,
                      const ca_headers_t *headers, const void *body,
                      size_t bytes);

/* Bytes of responses that the client has not read yet. */
size_t ca_http_response_unsent (const ca_http_server_request_t *request);

/* Streamed response: head, any number of parts, end. */
void ca_http_response_begin (ca_http_server_request_t *request, uint32_t status,
                             const ca_headers_t *headers);
void ca_http_response_write (ca_http_server_request_t *request,
                             const void *bytes, size_t count);
void ca_http_response_end (ca_http_server_request_t *request);

/* Resets the connection, so that the response cannot look complete. */
void ca_http_response_abort (ca_http_server_request_t *request);

#endif
