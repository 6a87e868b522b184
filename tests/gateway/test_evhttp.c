/* Limits of evhttp that led to a separate HTTP parser for callers and endpoints
 * (docs/design/0012-platform.md).  If a later evhttp lifts one, its test fails
 * and the choice can be reviewed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct
{
  struct event_base *base;
  const char *answer;
  bool reset;
  bool answered;
  bool done;
  bool complete;
  int status;
} exchange_t;

static void
on_written (struct bufferevent *stream, void *context)
{
  exchange_t *exchange = context;
  struct linger now = { 1, 0 };

  if (!exchange->answered)
    return;
  if (exchange->reset)
    setsockopt (bufferevent_getfd (stream), SOL_SOCKET, SO_LINGER, &now,
                sizeof now);
  bufferevent_free (stream);
}

static void
on_read (struct bufferevent *stream, void *context)
{
  exchange_t *exchange = context;

  bufferevent_disable (stream, EV_READ);
  exchange->answered = true;
  bufferevent_write (stream, exchange->answer, strlen (exchange->answer));
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *from, int length, void *context)
{
  exchange_t *exchange = context;
  struct bufferevent *stream
      = bufferevent_socket_new (exchange->base, fd, BEV_OPT_CLOSE_ON_FREE);

  (void)listener;
  (void)from;
  (void)length;
  bufferevent_setcb (stream, on_read, on_written, NULL, exchange);
  bufferevent_enable (stream, EV_READ | EV_WRITE);
}

static void
on_done (struct evhttp_request *request, void *context)
{
  exchange_t *exchange = context;

  exchange->done = true;
  exchange->status
      = request == NULL ? 0 : evhttp_request_get_response_code (request);
  exchange->complete = exchange->status != 0;
  event_base_loopbreak (exchange->base);
}

/* Makes one call to a server that responds with these bytes. */
static void
run_exchange (exchange_t *exchange, const char *answer, bool reset)
{
  struct sockaddr_in at;
  socklen_t bytes = sizeof at;
  struct evconnlistener *listener;
  struct evhttp_connection *connection;

  memset (exchange, 0, sizeof *exchange);
  exchange->base = event_base_new ();
  exchange->answer = answer;
  exchange->reset = reset;
  memset (&at, 0, sizeof at);
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = evconnlistener_new_bind (exchange->base, on_accept, exchange,
                                      LEV_OPT_CLOSE_ON_FREE, -1,
                                      (struct sockaddr *)&at, sizeof at);
  getsockname (evconnlistener_get_fd (listener), (struct sockaddr *)&at,
               &bytes);
  connection = evhttp_connection_base_new (exchange->base, NULL, "127.0.0.1",
                                           ntohs (at.sin_port));
  evhttp_make_request (connection, evhttp_request_new (on_done, exchange),
                       EVHTTP_REQ_GET, "/");
  while (!exchange->done)
    event_base_loop (exchange->base, EVLOOP_ONCE);
  evhttp_connection_free (connection);
  evconnlistener_free (listener);
  event_base_free (exchange->base);
}

static bool
is_accepted_as_complete (const char *answer, bool reset)
{
  exchange_t exchange;

  run_exchange (&exchange, answer, reset);
  return exchange.complete;
}

/* evhttp distinguishes an unframed response that ended in order from one that
 * was reset. */
static void
test_unframed_ends (void **state)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\n\r\nhi";

  (void)state;
  assert_true (is_accepted_as_complete (answer, false));
  assert_false (is_accepted_as_complete (answer, true));
}

/* A late response to an earlier call arrives before the expected one: evhttp
 * accepts the first and cannot skip it. */
static void
test_late_answer_is_taken (void **state)
{
  exchange_t exchange;

  (void)state;
  run_exchange (&exchange,
                "HTTP/1.1 201 OK\r\nX-Id: old\r\nContent-Length: 2\r\n\r\nno"
                "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 2\r\n\r\nhi",
                false);
  assert_int_equal (exchange.status, 201);
}

static void
on_close (struct evhttp_connection *connection, void *context)
{
  int *closes = context;

  (void)connection;
  (*closes)++;
}

static void
on_request (struct evhttp_request *request, void *context)
{
  /* Leaves the request unanswered. */
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_close, context);
}

/* evhttp does not report a client that closes while its request is pending. */
static void
test_close_while_waiting (void **state)
{
  static const char bytes[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  struct event_base *base = event_base_new ();
  struct evhttp *server = evhttp_new (base);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (server, "127.0.0.1", 0);
  struct sockaddr_in at;
  socklen_t length = sizeof at;
  int closes = 0;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  (void)state;
  evhttp_set_gencb (server, on_request, &closes);
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&at,
               &length);
  assert_int_equal (connect (fd, (struct sockaddr *)&at, sizeof at), 0);
  assert_int_equal (write (fd, bytes, sizeof bytes - 1), sizeof bytes - 1);
  for (int i = 0; i < 20; i++)
    {
      struct timeval step = { 0, 5000 };

      if (i == 10)
        close (fd);
      event_base_loopexit (base, &step);
      event_base_dispatch (base);
    }
  assert_int_equal (closes, 0);
  evhttp_free (server);
  event_base_free (base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_unframed_ends),
    cmocka_unit_test (test_late_answer_is_taken),
    cmocka_unit_test (test_close_while_waiting),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
