/* HTTP server connections and responses. */
#include "http/connection.h"

#include "base/clock_source.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Connections waiting to be accepted. */
#define SERVER_BACKLOG 512

/* A connection being closed is still read for this long after its last
 * response was sent.  Closing it with unread input would reset it, and the
 * client could lose the response. */
#define SERVER_LINGER_MS 1000

/* Maximum input buffered, and while a request is handled: one read. */
#define SERVER_READ_AHEAD_BYTES (64 * 1024)
#define SERVER_PIPELINED_BYTES (16 * 1024)

/* A pipelined request is read once the client has read earlier responses up to
 * this many bytes. */
#define SERVER_MAX_UNREAD_BYTES (64 * 1024)

/* Maximum bytes discarded of a refused request before its response, and again
 * after it: 64 KB in all. */
#define SERVER_MAX_DISCARDED_BYTES (32 * 1024)

/* Maximum time for which the rest of a refused request is awaited. */
#define SERVER_DISCARD_MS 1000

/* Responses are queued in pieces of this size, with the buffer's own header a
 * power of two.  A piece is freed once it was sent; a response in one piece
 * would keep its memory until its last byte was. */
#define SERVER_PIECE_BYTES (16 * 1024 - 64)

/* Retry-After of a request that is refused for memory. */
#define SERVER_RETRY_AFTER "1"

/* A client that acknowledges nothing for this long is disconnected.  Must
 * exceed the link interruptions that a stream should survive. */
#define SERVER_UNACKED_MS 8000

static void
connection_free (ca_http_connection_t *connection)
{
  ca_http_connection_count_none (connection);
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

  connection->unsent_at_timer
      = evbuffer_get_length (bufferevent_get_output (connection->stream));
  event_add (connection->timer, &wait);
}

/* True if the client has read some of its responses since the timer was set,
 * but not all. */
static bool
connection_is_being_read (const ca_http_connection_t *connection)
{
  size_t unsent
      = evbuffer_get_length (bufferevent_get_output (connection->stream));

  return unsent > 0 && unsent < connection->unsent_at_timer;
}

/* Ends the output, and awaits the client's end of the connection. */
static void
connection_shut_down (ca_http_connection_t *connection)
{
  connection_set_timer (connection, SERVER_LINGER_MS);
  shutdown (bufferevent_getfd (connection->stream), SHUT_WR);
}

/* Discards what was read of a request. */
static void
connection_discard (ca_http_connection_t *connection)
{
  struct evbuffer *body = connection->request.body;

  evbuffer_drain (body, evbuffer_get_length (body));
  ca_http_reader_reset (&connection->reader);
  connection->request.body_dropped = false;
  connection->discarded_bytes = 0;
}

/* Discards input after the last response; false if the connection was closed
 * since there was too much. */
static bool
connection_discard_input (ca_http_connection_t *connection)
{
  struct evbuffer *input = bufferevent_get_input (connection->stream);
  size_t bytes = evbuffer_get_length (input);

  evbuffer_drain (input, bytes);
  connection->discarded_bytes += bytes;
  ca_http_connection_count_received (connection, 0);
  if (connection->discarded_bytes <= SERVER_MAX_DISCARDED_BYTES)
    return true;
  ca_http_server_report_cut (connection->server, CA_HTTP_CUT_AFTER_END);
  connection_free (connection);
  return false;
}

/* Flushes the output, shuts down writing and waits for the client to close. */
static void
connection_linger (ca_http_connection_t *connection)
{
  connection->state = CONNECTION_LINGERING;
  connection_discard (connection);
  evbuffer_drain (
      bufferevent_get_input (connection->stream),
      evbuffer_get_length (bufferevent_get_input (connection->stream)));
  ca_http_connection_count_received (connection, 0);
  if (evbuffer_get_length (bufferevent_get_output (connection->stream)) == 0)
    connection_shut_down (connection);
  else
    connection_set_timer (connection, connection->server->limits.idle_ms);
}

/* Takes the request in progress, if there is one, from the handler. */
static void
connection_withdraw_request (ca_http_connection_t *connection)
{
  if (connection->state == CONNECTION_HANDLING
      || connection->state == CONNECTION_RESPONDING)
    connection->server->handler.on_disconnect (
        connection->server->handler.context, &connection->request);
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

/* Queues a part of a response. */
static void
connection_queue (ca_http_connection_t *connection, const char *bytes,
                  size_t count)
{
  struct evbuffer *out = bufferevent_get_output (connection->stream);

  while (count > 0)
    {
      size_t piece = count < SERVER_PIECE_BYTES ? count : SERVER_PIECE_BYTES;

      evbuffer_add (out, bytes, piece);
      bytes += piece;
      count -= piece;
    }
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
  ca_http_server_t *server = connection->server;
  struct timeval now = { 0, 0 };

  connection->request.user_data = NULL;
  if (connection->close_after)
    connection_linger (connection);
  else
    connection->state = CONNECTION_READING;
  ca_http_connection_count_unsent (connection, 0);
  /* Connections are not cut here: the caller may still use this one. */
  if (server->memory != NULL
      && ca_http_budget_victim (&server->memory->unsent, ca_clock_boot_us ())
             != NULL)
    event_active (server->unread_event, EV_TIMEOUT, 0);
  if (connection->close_after)
    return;
  connection_discard (connection);
  connection->received.may_cut = true;
  ca_http_connection_count_received (connection, 0);
  TAILQ_REMOVE (&server->connections, connection, entries);
  TAILQ_INSERT_TAIL (&server->connections, connection, entries);
  bufferevent_setwatermark (connection->stream, EV_READ, 0,
                            SERVER_READ_AHEAD_BYTES);
  connection_set_timer (connection, server->limits.idle_ms);
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
    connection_queue (connection, body, bytes);
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
  connection_queue (connection, bytes, count);
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
  ca_headers_t headers;

  connection->close_after = true;
  ca_headers_init (&headers);
  if (status == 503)
    ca_headers_add (&headers, "Retry-After", SERVER_RETRY_AFTER);
  ca_http_respond (&connection->request, status, &headers, "", 0);
  ca_headers_finish (&headers);
}

/* Ends a connection that is reading, to free its memory. */
static void
connection_cut (ca_http_connection_t *connection, ca_http_cut_t reason)
{
  ca_http_server_report_cut (connection->server, reason);
  if (connection->reader.started)
    connection_refuse (connection, 503);
  else
    connection_free (connection);
}

/* Cuts connections until what was received is within the budget.  False if
 * `connection` was cut.  Its request is cut last if it is complete. */
static bool
connection_keep_budget (ca_http_connection_t *connection, bool complete)
{
  ca_http_memory_t *memory = connection->server->memory;
  ca_http_share_t *victim;

  if (memory == NULL)
    return true;
  connection->received.may_cut = !complete;
  while (
      (victim = ca_http_budget_victim (&memory->received, ca_clock_boot_us ()))
      != NULL)
    {
      bool is_own = victim == &connection->received;

      connection_cut (victim->owner, CA_HTTP_CUT_MEMORY);
      if (is_own)
        return false;
    }
  if (!complete || memory->received.held_bytes <= memory->received.max_bytes
      || ca_http_budget_is_alone (&memory->received, &connection->received))
    return true;
  connection_cut (connection, CA_HTTP_CUT_MEMORY);
  return false;
}

static bool
connection_on_body (void *context, const char *bytes, size_t count)
{
  ca_http_connection_t *connection = context;

  if (connection->request.body_dropped)
    {
      connection->discarded_bytes += count;
      return connection->discarded_bytes <= SERVER_MAX_DISCARDED_BYTES;
    }
  evbuffer_add (connection->request.body, bytes, count);
  return true;
}

/* Decides from the head whether the body is read and kept.  The rest of a small
 * body that is not kept is awaited, so that the client gets its answer and may
 * go on to use the connection.  Answers Expect: 100-continue. */
static bool
connection_on_head (void *context)
{
  ca_http_connection_t *connection = context;
  const ca_http_server_t *server = connection->server;
  const ca_http_reader_t *reader = &connection->reader;
  uint64_t announced_bytes = ca_http_reader_announced_bytes (reader);
  bool expects
      = ca_headers_has_token (&reader->head.headers, "Expect", "100-continue");

  if (announced_bytes > server->limits.body_bytes)
    return false;
  if (reader->head.has_framing && server->on_head != NULL
      && !server->on_head (server->handler.context, &connection->request))
    {
      connection->request.body_dropped = true;
      connection_set_timer (connection, SERVER_DISCARD_MS);
      return !expects && announced_bytes <= SERVER_MAX_DISCARDED_BYTES;
    }
  if (expects)
    evbuffer_add_printf (bufferevent_get_output (connection->stream),
                         "HTTP/1.1 100 Continue\r\n\r\n");
  return true;
}

/* Passes a request to the handler: complete, or one that it will refuse. */
static void
connection_handle_request (ca_http_connection_t *connection)
{
  const ca_http_reader_t *reader = &connection->reader;

  connection->state = CONNECTION_HANDLING;
  connection->received.may_cut = false;
  event_del (connection->timer);
  bufferevent_setwatermark (connection->stream, EV_READ, 0,
                            SERVER_PIPELINED_BYTES);
  connection->close_after
      = !reader->head.keep_alive || !reader->message_complete;
  connection->no_body = strcmp (reader->head.method, "HEAD") == 0;
  connection->server->handler.on_request (connection->server->handler.context,
                                          &connection->request);
}

/* Acts on the result of parsing, and sets the timer of an incomplete request.
 */
static void
connection_after_read (ca_http_connection_t *connection, ca_http_read_t read,
                       bool had_started)
{
  const ca_http_limits_t *limits = &connection->server->limits;
  const ca_http_reader_t *reader = &connection->reader;
  bool is_incomplete = read == CA_HTTP_READ_INCOMPLETE;

  if (connection->request.body_dropped && !is_incomplete
      && (read != CA_HTTP_READ_MALFORMED
          || connection->discarded_bytes > SERVER_MAX_DISCARDED_BYTES))
    {
      connection_handle_request (connection);
      return;
    }
  if (read == CA_HTTP_READ_MALFORMED)
    {
      connection_refuse (connection, reader->head_too_large ? 431 : 400);
      return;
    }
  if (read == CA_HTTP_READ_STOPPED
      || evbuffer_get_length (connection->request.body) > limits->body_bytes)
    {
      connection_refuse (connection, 413);
      return;
    }
  if (!connection_keep_budget (connection, !is_incomplete))
    return;
  if (!is_incomplete)
    connection_handle_request (connection);
  else if (!reader->head_complete && !had_started)
    connection_set_timer (connection, limits->head_ms);
  else if (reader->head_complete && !connection->request.body_dropped)
    connection_set_timer (connection, limits->idle_ms);
}

/* Parses input and enforces the limits on size, time and memory.  Input waits
 * while the client does not read earlier responses. */
static void
connection_read (ca_http_connection_t *connection)
{
  struct evbuffer *input = bufferevent_get_input (connection->stream);
  size_t bytes = evbuffer_get_length (input);
  bool had_started = connection->reader.started;
  ca_http_read_t read;

  if (bytes == 0)
    return;
  if (evbuffer_get_length (bufferevent_get_output (connection->stream))
      > SERVER_MAX_UNREAD_BYTES)
    {
      ca_http_connection_count_received (connection, 0);
      connection_keep_budget (connection, false);
      return;
    }
  read = ca_http_reader_feed (&connection->reader, input);
  ca_http_connection_count_received (connection, bytes);
  connection_after_read (connection, read, had_started);
}

static void
connection_on_readable (struct bufferevent *stream, void *context)
{
  ca_http_connection_t *connection = context;

  (void)stream;
  if (connection->state == CONNECTION_READING)
    connection_read (connection);
  else if (connection->state == CONNECTION_LINGERING)
    connection_discard_input (connection);
  else
    ca_http_connection_count_received (connection, 0);
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

/* Counts responses as they are queued and as the client reads them: a new one
 * is not cut before the client had a second to read. */
static void
connection_on_output (struct evbuffer *output,
                      const struct evbuffer_cb_info *info, void *context)
{
  (void)output;
  ca_http_connection_count_unsent (context, info->n_added + info->n_deleted);
}

/* Cuts connections that do not read their responses until these are within the
 * budget.  Such a client may have sent its next request. */
static void
server_on_unread (evutil_socket_t fd, short what, void *context)
{
  ca_http_server_t *server = context;
  ca_http_share_t *victim;

  (void)fd;
  (void)what;
  while ((victim = ca_http_budget_victim (&server->memory->unsent,
                                          ca_clock_boot_us ()))
         != NULL)
    {
      ca_http_server_report_cut (server, CA_HTTP_CUT_UNREAD);
      connection_withdraw_request (victim->owner);
      connection_reset (victim->owner);
    }
}

/* Once all responses were flushed, shuts down writing after the last one, or
 * reads a request that waits for that. */
static void
connection_on_written (struct bufferevent *stream, void *context)
{
  ca_http_connection_t *connection = context;

  (void)stream;
  if (connection->state == CONNECTION_LINGERING)
    connection_shut_down (connection);
  else if (connection->state == CONNECTION_READING)
    connection_read (connection);
}

static void
connection_on_event (struct bufferevent *stream, short what, void *context)
{
  ca_http_connection_t *connection = context;

  (void)stream;
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  connection_withdraw_request (connection);
  connection_free (connection);
}

/* Refuses a request that is too slow, or closes the connection. */
static void
connection_on_timeout (evutil_socket_t fd, short what, void *context)
{
  ca_http_connection_t *connection = context;

  (void)fd;
  (void)what;
  if (connection->state == CONNECTION_READING
      && connection->request.body_dropped)
    {
      connection_handle_request (connection);
      return;
    }
  if (connection->state == CONNECTION_READING && connection->reader.started)
    {
      connection_refuse (connection, 408);
      return;
    }
  if (connection->state != CONNECTION_READING
      && connection->state != CONNECTION_LINGERING)
    return;
  if (connection_is_being_read (connection))
    connection_set_timer (connection, connection->server->limits.idle_ms);
  else
    connection_free (connection);
}

/* Closes a connection for a new one; false if none can be closed. */
static bool
server_make_room (ca_http_server_t *server)
{
  ca_http_cut_t reason;
  ca_http_connection_t *connection
      = ca_http_server_find_closable (server, &reason);

  if (connection == NULL)
    return false;
  ca_http_server_report_cut (server, reason);
  if (connection->state == CONNECTION_READING && connection->reader.started)
    {
      connection_refuse (connection, 503);
      /* At once, as far as the socket takes it; the stream keeps its output
       * from other writers. */
      evbuffer_unfreeze (bufferevent_get_output (connection->stream), 1);
      evbuffer_write (bufferevent_get_output (connection->stream),
                      bufferevent_getfd (connection->stream));
    }
  connection_free (connection);
  return true;
}

static void
server_accept (struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *from, int length, void *context)
{
  ca_http_server_t *server = context;
  ca_http_connection_t *connection;
  unsigned int unacked_ms = SERVER_UNACKED_MS;
  int on = 1;

  (void)listener;
  (void)from;
  (void)length;
  if (server->max_open > 0 && server->open >= server->max_open
      && !server_make_room (server))
    {
      ca_http_server_report_cut (server, CA_HTTP_CUT_NO_ROOM);
      evutil_closesocket (fd);
      return;
    }
  connection = calloc (1, sizeof *connection);
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
  connection->request.head = &connection->reader.head;
  connection->received.owner = connection;
  connection->received.may_cut = true;
  connection->unsent.owner = connection;
  connection->unsent.may_cut = true;
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
  evbuffer_add_cb (bufferevent_get_output (connection->stream),
                   connection_on_output, connection);
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
    {
      server->unread_event = evtimer_new (base, server_on_unread, server);
      return true;
    }
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
  event_free (server->unread_event);
  while (!TAILQ_EMPTY (&server->connections))
    connection_free (TAILQ_FIRST (&server->connections));
}

bool
ca_http_server_is_sending (const ca_http_server_t *server)
{
  const ca_http_connection_t *connection;

  TAILQ_FOREACH (connection, &server->connections, entries)
  {
    if (evbuffer_get_length (bufferevent_get_output (connection->stream)) > 0)
      return true;
  }
  return false;
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

      /* Its latest answer may not have been sent to its end. */
      if (connection->state == CONNECTION_READING && !connection->reader.started
          && evbuffer_get_length (bufferevent_get_input (connection->stream))
                 == 0)
        connection_linger (connection);
      connection = next;
    }
}
