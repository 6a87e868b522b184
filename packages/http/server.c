/* Server connections and their answers. */
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

/* A connection that is being closed is read for this long, so that the
 * client's last bytes do not reset what was sent to it. */
#define SERVER_LINGER_MS 1000

/* Input held back while a request is being answered. */
#define SERVER_READ_AHEAD_BYTES (64 * 1024)

/* Client connections whose peer no longer acknowledges are given up after
 * this; longer than the cut of a link that a stream may outlast. */
#define SERVER_SILENT_MS 8000

typedef enum
{
  PEER_READING,   /* a request, or the wait for one */
  PEER_WAITING,   /* the handler has the request */
  PEER_ANSWERING, /* the head of a piecewise answer was sent */
  PEER_LINGERING  /* the last answer was sent; input is thrown away */
} peer_state_t;

typedef struct ca_http_peer
{
  ca_http_inbound_t request; /* first: handlers hold a pointer to it */
  ca_http_server_t *server;
  struct bufferevent *stream;
  struct event *timer;
  struct event *again; /* reads a pipelined request in its own turn */
  peer_state_t state;
  ca_http_reader_t reader;
  bool last;    /* the connection closes after this answer */
  bool no_body; /* the answer is to a HEAD request */
  TAILQ_ENTRY (ca_http_peer) entries;
} ca_http_peer_t;

static void
peer_free (ca_http_peer_t *peer)
{
  TAILQ_REMOVE (&peer->server->peers, peer, entries);
  peer->server->open--;
  event_free (peer->timer);
  event_free (peer->again);
  bufferevent_free (peer->stream);
  evbuffer_free (peer->request.body);
  ca_http_reader_finish (&peer->reader);
  free (peer);
}

static void
peer_set_timer (ca_http_peer_t *peer, uint32_t wait_ms)
{
  struct timeval wait
      = { wait_ms / 1000, (suseconds_t)(wait_ms % 1000) * 1000 };

  event_add (peer->timer, &wait);
}

/* Sends what is left, then closes in both directions. */
static void
peer_linger (ca_http_peer_t *peer)
{
  peer->state = PEER_LINGERING;
  peer_set_timer (peer, SERVER_LINGER_MS);
  if (evbuffer_get_length (bufferevent_get_output (peer->stream)) == 0)
    shutdown (bufferevent_getfd (peer->stream), SHUT_WR);
}

static void
peer_reset (ca_http_peer_t *peer)
{
  struct linger now = { 1, 0 };

  setsockopt (bufferevent_getfd (peer->stream), SOL_SOCKET, SO_LINGER, &now,
              sizeof now);
  peer_free (peer);
}

/* --- Answers --- */

static bool
peer_is_framing (const char *name)
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

static void
peer_write_head (ca_http_peer_t *peer, uint32_t status,
                 const ca_headers_t *headers)
{
  struct evbuffer *out = bufferevent_get_output (peer->stream);

  if (peer->server->closing)
    peer->last = true;
  evbuffer_add_printf (out, "HTTP/1.1 %u %s\r\n", (unsigned)status,
                       http_status_str ((enum http_status)status));
  for (uint32_t i = 0; headers != NULL && i < headers->count; i++)
    {
      if (!peer_is_framing (headers->items[i].name))
        evbuffer_add_printf (out, "%s: %s\r\n", headers->items[i].name,
                             headers->items[i].value);
    }
  if (peer->last)
    evbuffer_add_printf (out, "Connection: close\r\n");
}

/* Readies the connection for its next request. */
static void
peer_next (ca_http_peer_t *peer)
{
  struct timeval now = { 0, 0 };

  peer->request.handler = NULL;
  if (peer->last)
    {
      peer_linger (peer);
      return;
    }
  evbuffer_drain (peer->request.body, evbuffer_get_length (peer->request.body));
  ca_http_reader_next (&peer->reader);
  peer->state = PEER_READING;
  peer_set_timer (peer, peer->server->limits.idle_ms);
  if (evbuffer_get_length (bufferevent_get_input (peer->stream)) > 0)
    event_add (peer->again, &now);
}

void
ca_http_answer (ca_http_inbound_t *request, uint32_t status,
                const ca_headers_t *headers, const void *body, size_t bytes)
{
  ca_http_peer_t *peer = (ca_http_peer_t *)request;
  struct evbuffer *out = bufferevent_get_output (peer->stream);

  peer_write_head (peer, status, headers);
  evbuffer_add_printf (out, "Content-Length: %zu\r\n\r\n", bytes);
  if (!peer->no_body)
    evbuffer_add (out, body, bytes);
  peer_next (peer);
}

void
ca_http_answer_begin (ca_http_inbound_t *request, uint32_t status,
                      const ca_headers_t *headers)
{
  ca_http_peer_t *peer = (ca_http_peer_t *)request;

  peer_write_head (peer, status, headers);
  evbuffer_add_printf (bufferevent_get_output (peer->stream),
                       "Transfer-Encoding: chunked\r\n\r\n");
  peer->state = PEER_ANSWERING;
}

void
ca_http_answer_piece (ca_http_inbound_t *request, const void *bytes,
                      size_t count)
{
  ca_http_peer_t *peer = (ca_http_peer_t *)request;
  struct evbuffer *out = bufferevent_get_output (peer->stream);

  if (count == 0 || peer->no_body)
    return;
  evbuffer_add_printf (out, "%zx\r\n", count);
  evbuffer_add (out, bytes, count);
  evbuffer_add (out, "\r\n", 2);
}

void
ca_http_answer_end (ca_http_inbound_t *request)
{
  ca_http_peer_t *peer = (ca_http_peer_t *)request;

  if (!peer->no_body)
    evbuffer_add (bufferevent_get_output (peer->stream), "0\r\n\r\n", 5);
  peer_next (peer);
}

void
ca_http_answer_break (ca_http_inbound_t *request)
{
  peer_reset ((ca_http_peer_t *)request);
}

/* An answer of the server's own, after which the connection closes. */
static void
peer_refuse (ca_http_peer_t *peer, uint32_t status)
{
  peer->last = true;
  ca_http_answer (&peer->request, status, NULL, "", 0);
}

/* --- Reading --- */

static void
peer_on_body (void *context, const char *bytes, size_t count)
{
  ca_http_peer_t *peer = context;

  evbuffer_add (peer->request.body, bytes, count);
}

static void
peer_on_head (void *context)
{
  ca_http_peer_t *peer = context;

  if (ca_headers_has_token (&peer->reader.head.headers, "Expect",
                            "100-continue"))
    evbuffer_add_printf (bufferevent_get_output (peer->stream),
                         "HTTP/1.1 100 Continue\r\n\r\n");
}

static void
peer_read_message (ca_http_peer_t *peer)
{
  peer->state = PEER_WAITING;
  event_del (peer->timer);
  peer->request.head = &peer->reader.head;
  peer->last = !peer->reader.head.keep_alive;
  peer->no_body = strcmp (peer->reader.head.method, "HEAD") == 0;
  peer->server->handler.on_request (peer->server->handler.context,
                                    &peer->request);
}

static void
peer_read (ca_http_peer_t *peer)
{
  const ca_http_limits_t *limits = &peer->server->limits;
  struct evbuffer *input = bufferevent_get_input (peer->stream);
  bool had_begun = peer->reader.begun;

  if (evbuffer_get_length (input) == 0)
    return;
  switch (ca_http_reader_feed (&peer->reader, input))
    {
    case CA_READ_BROKEN:
      peer_refuse (peer, peer->reader.too_large ? 431 : 400);
      return;
    case CA_READ_MESSAGE:
      if (evbuffer_get_length (peer->request.body) > limits->body_bytes)
        peer_refuse (peer, 413);
      else
        peer_read_message (peer);
      return;
    case CA_READ_MORE:
      break;
    }
  if (evbuffer_get_length (peer->request.body) > limits->body_bytes)
    {
      peer_refuse (peer, 413);
      return;
    }
  if (!peer->reader.head_done)
    {
      if (!had_begun)
        peer_set_timer (peer, limits->head_ms);
    }
  else
    peer_set_timer (peer, limits->idle_ms);
}

static void
peer_readable (struct bufferevent *stream, void *context)
{
  ca_http_peer_t *peer = context;
  struct evbuffer *input = bufferevent_get_input (stream);

  if (peer->state == PEER_READING)
    peer_read (peer);
  else if (peer->state == PEER_LINGERING)
    evbuffer_drain (input, evbuffer_get_length (input));
}

static void
peer_again (evutil_socket_t fd, short what, void *context)
{
  ca_http_peer_t *peer = context;

  (void)fd;
  (void)what;
  if (peer->state == PEER_READING)
    peer_read (peer);
}

static void
peer_written (struct bufferevent *stream, void *context)
{
  ca_http_peer_t *peer = context;

  if (peer->state == PEER_LINGERING)
    shutdown (bufferevent_getfd (stream), SHUT_WR);
}

static void
peer_event (struct bufferevent *stream, short what, void *context)
{
  ca_http_peer_t *peer = context;

  (void)stream;
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  if (peer->state == PEER_WAITING || peer->state == PEER_ANSWERING)
    peer->server->handler.on_gone (peer->server->handler.context,
                                   &peer->request);
  peer_free (peer);
}

static void
peer_timeout (evutil_socket_t fd, short what, void *context)
{
  ca_http_peer_t *peer = context;

  (void)fd;
  (void)what;
  if (peer->state == PEER_READING && peer->reader.begun)
    {
      peer_refuse (peer, 408);
      return;
    }
  if (peer->state == PEER_READING || peer->state == PEER_LINGERING)
    peer_free (peer);
}

/* --- Listening --- */

static void
server_accept (struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *from, int length, void *context)
{
  ca_http_server_t *server = context;
  ca_http_peer_t *peer = calloc (1, sizeof *peer);
  unsigned int silent_ms = SERVER_SILENT_MS;
  int on = 1;

  (void)listener;
  (void)from;
  (void)length;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
  peer->server = server;
  peer->stream
      = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);
  peer->timer = evtimer_new (server->base, peer_timeout, peer);
  peer->again = evtimer_new (server->base, peer_again, peer);
  peer->request.body = evbuffer_new ();
  ca_http_reader_init (&peer->reader, false, server->limits.head_bytes);
  peer->reader.on_body = peer_on_body;
  peer->reader.on_head = peer_on_head;
  peer->reader.context = peer;
  TAILQ_INSERT_TAIL (&server->peers, peer, entries);
  server->open++;
  bufferevent_setcb (peer->stream, peer_readable, peer_written, peer_event,
                     peer);
  bufferevent_setwatermark (peer->stream, EV_READ, 0, SERVER_READ_AHEAD_BYTES);
  bufferevent_enable (peer->stream, EV_READ | EV_WRITE);
  peer_set_timer (peer, server->limits.idle_ms);
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
  TAILQ_INIT (&server->peers);
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
                "port %u cannot be listened on; choose another or stop what "
                "holds it",
                (unsigned)listen->port);
  return false;
}

void
ca_http_server_finish (ca_http_server_t *server)
{
  if (server->listener == NULL)
    return;
  evconnlistener_free (server->listener);
  while (!TAILQ_EMPTY (&server->peers))
    peer_free (TAILQ_FIRST (&server->peers));
}

void
ca_http_server_close_soon (ca_http_server_t *server)
{
  server->closing = true;
}

void
ca_http_server_close_idle (ca_http_server_t *server)
{
  ca_http_peer_t *peer = TAILQ_FIRST (&server->peers);

  while (peer != NULL)
    {
      ca_http_peer_t *next = TAILQ_NEXT (peer, entries);

      if (peer->state == PEER_READING && !peer->reader.begun
          && evbuffer_get_length (bufferevent_get_input (peer->stream)) == 0)
        peer_free (peer);
      peer = next;
    }
}
