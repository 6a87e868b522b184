/* HTTP/1.1 server: one request at a time per connection, read completely unless
 * its head shows that it is refused, and answered with a whole response or a
 * stream.
 *
 * A connection frees itself and its request.  The handler may use the pointer
 * until it completes the response or on_disconnect is called. */
#ifndef CA_HTTP_SERVER_H
#define CA_HTTP_SERVER_H

#include "base/error.h"
#include "base/settings.h"
#include "http/budget.h"
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

/* Why a connection was closed, or its request refused. */
typedef enum
{
  CA_HTTP_CUT_MEMORY,    /* the budget for what is read was spent */
  CA_HTTP_CUT_UNREAD,    /* the budget for answers that nobody reads */
  CA_HTTP_CUT_IDLE,      /* idle, for a new connection */
  CA_HTTP_CUT_BUSY,      /* in the middle of a request, for a new connection */
  CA_HTTP_CUT_NO_ROOM,   /* a new connection for which there was no room */
  CA_HTTP_CUT_AFTER_END, /* went on to send after its request was refused */
  CA_HTTP_CUT_REASONS
} ca_http_cut_t;

/* Memory that the connections of several servers may occupy. */
typedef struct
{
  ca_http_budget_t received; /* read and not passed on */
  ca_http_budget_t unsent;   /* complete responses that clients have not read */
  /* Called for each connection that is cut; may be NULL. */
  void (*on_cut) (void *context, ca_http_cut_t reason);
  void *context;
} ca_http_memory_t;

void ca_http_memory_init (ca_http_memory_t *memory, size_t max_received_bytes,
                          size_t max_unsent_bytes);

/* One request; the fields are valid until its response is complete. */
typedef struct
{
  const ca_http_head_t *head;
  struct evbuffer *body;
  bool body_dropped; /* on_head refused the request: the body is not kept */
  void *user_data;   /* for the handler's own use */
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
  /* The head of a request with a body was read.  False if the request will be
   * refused whatever the body is: on_request is then called without the body.
   * Must not answer.  Gets the handler's context; may be NULL. */
  bool (*on_head) (void *context, const ca_http_server_request_t *request);
  ca_http_limits_t limits;
  struct evconnlistener *listener;
  struct event *unread_event; /* enforces the budget for unsent responses */
  bool closing;               /* responses ask the client to close */
  uint32_t open;
  uint32_t max_open;        /* 0: no limit; may be changed at any time */
  ca_http_memory_t *memory; /* not owned; NULL: not limited */
  /* By the time since which they wait for a request, or were accepted. */
  TAILQ_HEAD (, ca_http_connection) connections;
} ca_http_server_t;

/* Listens; false and an error if the address cannot be bound.  The limits may
 * be changed at any time. */
bool ca_http_server_init (ca_http_server_t *server, struct event_base *base,
                          const ca_address_t *listen,
                          const ca_http_handler_t *handler,
                          const ca_http_limits_t *limits, ca_error_t *error);
void ca_http_server_finish (ca_http_server_t *server);

/* True if clients have not read all of their responses. */
bool ca_http_server_is_sending (const ca_http_server_t *server);

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
