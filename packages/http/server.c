/* HTTP server connections and responses. */
#include "http/server.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Connections waiting to be accepted. */
#define SERVER_BACKLOG 512

/* A connection being closed is still read for this long.  Closing it with
 * unread input would reset it, and the client could lose the response. */
#define SERVER_LINGER_MS 1000

/* Maximum pipelined input buffered while a request is handled. */
#define SERVER_READ_AHEAD_BYTES (64 * 1024)

/* A client that acknowledges nothing for this long is disconnected.  Must
 * exceed the link interruptions that a stream should survive. */
#define SERVER_UNACKED_MS 8000

typedef enum
{
  CONNECTION_READING,    /* reading a request, or waiting for one */
  CONNECTION_HANDLING,   /* the handler has the request */
  CONNECTION_RESPONDING, /* the head of a streamed response was sent */
  CONNECTION_LINGERING   /* the last response was sent; input is discarded */
} connection_state_t;

/* Connection of one client. */
typedef struct ca_http_connection
{
  ca_http_server_request_t request; /* must be first: cast back to this */
  ca_http_server_t *server;
  struct bufferevent *stream;
  struct event *timer;
  struct event *pipelined_event; /* reads a pipelined request */
  connection_state_t state;
  ca_http_reader_t reader;
  bool close_after; /* close the connection after this response */
  bool no_body;     /* HEAD request: the response has no body */
  TAILQ_ENTRY (ca_http_connection) entries;
} ca_http_connection_t;

static void
connection_free (ca_http_connection_t *connection)
{
  TAILQ_REMOVE (&connection->server->connections, connection, entries);
  connection->server->open--;
  event_free (connection->timer);
  event_free (connection->pipelined_event);
  bufferevent_free (connection->stream);
  evbuffer_free (connection->request.body);
  ca_http_reader_finish (&connection->reader);
  free (connection);
}

static void
connection_set_timer (ca_http_connection_t *connection, uint32_t wait_ms)
{
  struct timeval wait
      = { wait_ms / 1000, (suseconds_t)(wait_ms % 1000) * 1000 };

  event_add (connection->timer, &wait);
}

/* Flushes the output, shuts down writing and waits for the client to close. */
static void
connection_linger (ca_http_connection_t *connection)
{
  connection->state = CONNECTION_LINGERING;
  connection_set_timer (connection, SERVER_LINGER_MS);
  if (evbuffer_get_length (bufferevent_get_output (connection->stream)) == 0)
    shutdown (bufferevent_getfd (connection->stream), SHUT_WR);
}

/* Closes with a TCP reset instead of an orderly end. */
static void
connection_reset (ca_http_connection_t *connection)
{
  struct linger now = { 1, 0 };

  setsockopt (bufferevent_getfd (connection->stream), SOL_SOCKET, SO_LINGER,
              &now, sizeof now);
  connection_free (connection);
}

/* True for header fields that the server sets itself. */
static bool
connection_is_framing_header (const char *name)
{
  static const char *const names[]
      = { "content-length",  "transfer-encoding", "connection",
          "keep-alive",      "trailer",           "upgrade",
          "proxy-connection" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      if (strcasecmp (name, names[i]) == 0)
        return true;
    }
  return false;
}

/* Writes the status line and header fields, except framing. */
static void
connection_write_head (ca_http_connection_t *connection, uint32_t status,
                       const ca_headers_t *headers)
{
  struct evbuffer *out = bufferevent_get_output (connection->stream);

  if (connection->server->closing)
    connection->close_after = true;
  evbuffer_add_printf (out, "HTTP/1.1 %u %s\r\n", (unsigned)status,
                       http_status_str ((enum http_status)status));
  for (uint32_t i = 0; headers != NULL && i < headers->count; i++)
    {
      if (!connection_is_framing_header (headers->items[i].name))
        evbuffer_add_printf (out, "%s: %s\r\n", headers->items[i].name,
                             headers->items[i].value);
    }
  if (connection->close_after)
    evbuffer_add_printf (out, "Connection: close\r\n");
}

/* Prepares the connection for its next request. */
static void
connection_next_request (ca_http_connection_t *connection)
{
  struct timeval now = { 0, 0 };

  connection->request.user_data = NULL;
  if (connection->close_after)
    {
      connection_linger (connection);
      return;
    }
  evbuffer_drain (connection->request.body,
                  evbuffer_get_length (connection->request.body));
  ca_http_reader_reset (&connection->reader);
  connection->state = CONNECTION_READING;
  connection_set_timer (connection, connection->server->limits.idle_ms);
  if (evbuffer_get_length (bufferevent_get_input (connection->stream)) > 0)
    event_add (connection->pipelined_event, &now);
}

void
ca_http_respond (ca_http_server_request_t *request, uint32_t status,
                 const ca_headers_t *headers, const void *body, size_t bytes)
{
  ca_http_connection_t *connection = (ca_http_connection_t *)request;
  struct evbuffer *out = bufferevent_get_output (connection->stream);

  connection_write_head (connection, status, headers);
  evbuffer_add_printf (out, "Content-Length: %zu\r\n\r\n", bytes);
  if (!connection->no_body)
    evbuffer_add (out, body, bytes);
  connection_next_request (connection);
}

void
ca_http_response_begin (ca_http_server_request_t *request, uint32_t status,
                        const ca_headers_t *headers)
{
  ca_http_connection_t *connection = (ca_http_connection_t *)request;

  connection_write_head (connection, status, headers);
  evbuffer_add_printf (bufferevent_get_output (connection->stream),
                       "Transfer-Encoding: chunked\r\n\r\n");
  connection->state = CONNECTION_RESPONDING;
}

size_t
ca_http_response_unsent (const ca_http_server_request_t *request)
{
  const ca_http_connection_t *connection
      = (const ca_http_connection_t *)request;

  return evbuffer_get_length (bufferevent_get_output (connection->stream));
}

void
ca_http_response_write (ca_http_server_request_t *request, const void *bytes,
                        size_t count)
{
  ca_http_connection_t *connection = (ca_http_connection_t *)request;
  struct evbuffer *out = bufferevent_get_output (connection->stream);

  if (count == 0 || connection->no_body)
    return;
  evbuffer_add_printf (out, "%zx\r\n", count);
  evbuffer_add (out, bytes, count);
  evbuffer_add (out, "\r\n", 2);
}

void
ca_http_response_end (ca_http_server_request_t *request)
{
  ca_http_connection_t *connection = (ca_http_connection_t *)request;

  if (!connection->no_body)
    evbuffer_add (bufferevent_get_output (connection->stream), "0\r\n\r\n", 5);
  connection_next_request (connection);
}

void
ca_http_response_abort (ca_http_server_request_t *request)
{
  connection_reset ((ca_http_connection_t *)request);
}

/* Responds without calling the handler, and closes the connection. */
static void
connection_refuse (ca_http_connection_t *connection, uint32_t status)
{
  connection->close_after = true;
  ca_http_respond (&connection->request, status, NULL, "", 0);
}

static bool
connection_on_body (void *context, const char *bytes, size_t count)
{
  ca_http_connection_t *connection = context;

  evbuffer_add (connection->request.body, bytes, count);
  return true;
}

/* Answers Expect: 100-continue. */
static void
connection_on_head (void *context)
{
  ca_http_connection_t *connection = context;

  if (ca_headers_has_token (&connection->reader.head.headers, "Expect",
                            "100-continue"))
    evbuffer_add_printf (bufferevent_get_output (connection->stream),
                         "HTTP/1.1 100 Continue\r\n\r\n");
}

/* Passes a complete request to the handler. */
static void
connection_handle_request (ca_http_connection_t *connection)
{
  connection->state = CONNECTION_HANDLING;
  event_del (connection->timer);
  connection->request.head = &connection->reader.head;
  connection->close_after = !connection->reader.head.keep_alive;
  connection->no_body = strcmp (connection->reader.head.method, "HEAD") == 0;
  connection->server->handler.on_request (connection->server->handler.context,
                                          &connection->request);
}

/* Parses input and enforces the limits on size and time. */
static void
connection_read (ca_http_connection_t *connection)
{
  const ca_http_limits_t *limits = &connection->server->limits;
  struct evbuffer *input = bufferevent_get_input (connection->stream);
  bool had_started = connection->reader.started;

  if (evbuffer_get_length (input) == 0)
    return;
  switch (ca_http_reader_feed (&connection->reader, input))
    {
    case CA_HTTP_READ_MALFORMED:
      connection_refuse (connection,
                         connection->reader.head_too_large ? 431 : 400);
      return;
    case CA_HTTP_READ_COMPLETE:
      if (evbuffer_get_length (connection->request.body) > limits->body_bytes)
        connection_refuse (connection, 413);
      else
        connection_handle_request (connection);
      return;
    case CA_HTTP_READ_INCOMPLETE:
      break;
    }
  if (evbuffer_get_length (connection->request.body) > limits->body_bytes)
    {
      connection_refuse (connection, 413);
      return;
    }
  if (!connection->reader.head_complete)
    {
      if (!had_started)
        connection_set_timer (connection, limits->head_ms);
    }
  else
    connection_set_timer (connection, limits->idle_ms);
}

static void
connection_on_readable (struct bufferevent *stream, void *context)
{
  ca_http_connection_t *connection = context;
  struct evbuffer *input = bufferevent_get_input (stream);

  if (connection->state == CONNECTION_READING)
    connection_read (connection);
  else if (connection->state == CONNECTION_LINGERING)
    evbuffer_drain (input, evbuffer_get_length (input));
}

/* Reads input that arrived during the last request. */
static void
connection_on_pipelined (evutil_socket_t fd, short what, void *context)
{
  ca_http_connection_t *connection = context;

  (void)fd;
  (void)what;
  if (connection->state == CONNECTION_READING)
    connection_read (connection);
}

/* Shuts down writing once the last response was flushed. */
static void
connection_on_written (struct bufferevent *stream, void *context)
{
  ca_http_connection_t *connection = context;

  if (connection->state == CONNECTION_LINGERING)
    shutdown (bufferevent_getfd (stream), SHUT_WR);
}

static void
connection_on_event (struct bufferevent *stream, short what, void *context)
{
  ca_http_connection_t *connection = context;

  (void)stream;
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  if (connection->state == CONNECTION_HANDLING
      || connection->state == CONNECTION_RESPONDING)
    connection->server->handler.on_disconnect (
        connection->server->handler.context, &connection->request);
  connection_free (connection);
}

/* Refuses a request that is too slow, or closes the connection. */
static void
connection_on_timeout (evutil_socket_t fd, short what, void *context)
{
  ca_http_connection_t *connection = context;

  (void)fd;
  (void)what;
  if (connection->state == CONNECTION_READING && connection->reader.started)
    {
      connection_refuse (connection, 408);
      return;
    }
  if (connection->state == CONNECTION_READING
      || connection->state == CONNECTION_LINGERING)
    connection_free (connection);
}

static void
server_accept (struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *from, int length, void *context)
{
  ca_http_server_t *server = context;
  ca_http_connection_t *connection = calloc (1, sizeof *connection);
  unsigned int unacked_ms = SERVER_UNACKED_MS;
  int on = 1;

  (void)listener;
  (void)from;
  (void)length;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
              sizeof unacked_ms);
  connection->server = server;
  connection->stream
      = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->timer
      = evtimer_new (server->base, connection_on_timeout, connection);
  connection->pipelined_event
      = evtimer_new (server->base, connection_on_pipelined, connection);
  connection->request.body = evbuffer_new ();
  ca_http_reader_init (&connection->reader, false, server->limits.head_bytes);
  connection->reader.on_body = connection_on_body;
  connection->reader.on_head = connection_on_head;
  connection->reader.context = connection;
  TAILQ_INSERT_TAIL (&server->connections, connection, entries);
  server->open++;
  bufferevent_setcb (connection->stream, connection_on_readable,
                     connection_on_written, connection_on_event, connection);
  bufferevent_setwatermark (connection->stream, EV_READ, 0,
                            SERVER_READ_AHEAD_BYTES);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
  connection_set_timer (connection, server->limits.idle_ms);
}

bool
ca_http_server_init (ca_http_server_t *server, struct event_base *base,
                     const ca_address_t *listen,
                     const ca_http_handler_t *handler,
                     const ca_http_limits_t *limits, ca_error_t *error)
{
  struct sockaddr_in at;

  memset (server, 0, sizeof *server);
  server->base = base;
  server->handler = *handler;
  server->limits = *limits;
  TAILQ_INIT (&server->connections);
  memset (&at, 0, sizeof at);
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl (listen->ip);
  at.sin_port = htons (listen->port);
  server->listener = evconnlistener_new_bind (
      base, server_accept, server, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      SERVER_BACKLOG, (struct sockaddr *)&at, sizeof at);
  if (server->listener != NULL)
    return true;
  ca_error_set (error, CA_ERROR_IO,
                "cannot listen on port %u; choose another port or stop the "
                "process that uses it",
                (unsigned)listen->port);
  return false;
}

void
ca_http_server_finish (ca_http_server_t *server)
{
  if (server->listener == NULL)
    return;
  evconnlistener_free (server->listener);
  while (!TAILQ_EMPTY (&server->connections))
    connection_free (TAILQ_FIRST (&server->connections));
}

void
ca_http_server_close_soon (ca_http_server_t *server)
{
  server->closing = true;
}

void
ca_http_server_close_idle (ca_http_server_t *server)
{
  ca_http_connection_t *connection = TAILQ_FIRST (&server->connections);

  while (connection != NULL)
    {
      ca_http_connection_t *next = TAILQ_NEXT (connection, entries);

      if (connection->state == CONNECTION_READING && !connection->reader.started
          && evbuffer_get_length (bufferevent_get_input (connection->stream))
                 == 0)
        connection_free (connection);
      connection = next;
    }
}
