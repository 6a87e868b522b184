/* HTTP client and server against raw bytes over loopback: how the client
 * reports each response, and which requests the server accepts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/clock_source.h"
#include "http/client.h"
#include "http/server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOOPBACK 0x7f000001

/* Connections that the raw server keeps open. */
#define RAW_MAX_OPEN 16

#define RAW_FILL_BYTES 16384

/* What the raw server does with a connection after its response. */
typedef enum
{
  AFTER_KEEP_OPEN,
  AFTER_CLOSE,
  AFTER_RESET
} after_response_t;

typedef struct
{
  struct event_base *base;
  struct evconnlistener *listener;
  ca_address_t address;
  const char *answers[2]; /* to the first request and to later ones */
  const char *filler;     /* sent after the response without end, or NULL */
  size_t filled;          /* bytes of it */
  struct ev_token_bucket_cfg *rate; /* of its responses; NULL: no limit */
  after_response_t after;
  int requests;
  char got[4096];
  struct bufferevent *open[RAW_MAX_OPEN];
} raw_server_t;

static void
raw_free (raw_server_t *server, struct bufferevent *stream)
{
  for (size_t i = 0; i < RAW_MAX_OPEN; i++)
    {
      if (server->open[i] == stream)
        server->open[i] = NULL;
    }
  bufferevent_free (stream);
}

static void
raw_event (struct bufferevent *stream, short what, void *context)
{
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    raw_free (context, stream);
}

/* Sends some more of a response that never ends. */
static void
raw_fill (raw_server_t *server, struct bufferevent *stream)
{
  size_t bytes = strlen (server->filler);

  for (size_t sent = 0; sent < RAW_FILL_BYTES; sent += bytes)
    {
      bufferevent_write (stream, server->filler, bytes);
      server->filled += bytes;
    }
}

static void
raw_written (struct bufferevent *stream, void *context)
{
  raw_server_t *server = context;
  struct linger now = { 1, 0 };

  if (server->filler != NULL && server->requests > 0)
    {
      raw_fill (server, stream);
      return;
    }
  if (server->after == AFTER_KEEP_OPEN || server->requests == 0)
    return;
  if (server->after == AFTER_RESET)
    setsockopt (bufferevent_getfd (stream), SOL_SOCKET, SO_LINGER, &now,
                sizeof now);
  raw_free (server, stream);
}

static void
raw_read (struct bufferevent *stream, void *context)
{
  raw_server_t *server = context;
  struct evbuffer *input = bufferevent_get_input (stream);
  size_t bytes = evbuffer_get_length (input);
  const char *answer;

  if (evbuffer_search (input, "\r\n\r\n", 4, NULL).pos < 0)
    return;
  if (bytes > sizeof server->got - 1)
    bytes = sizeof server->got - 1;
  evbuffer_remove (input, server->got, bytes);
  server->got[bytes] = '\0';
  answer = server->answers[server->requests++ > 0];
  bufferevent_write (stream, answer, strlen (answer));
}

static void
raw_accept (struct evconnlistener *listener, evutil_socket_t fd,
            struct sockaddr *from, int length, void *context)
{
  raw_server_t *server = context;
  struct bufferevent *stream
      = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);

  (void)listener;
  (void)from;
  (void)length;
  for (size_t i = 0; i < RAW_MAX_OPEN; i++)
    {
      if (server->open[i] == NULL)
        {
          server->open[i] = stream;
          break;
        }
    }
  if (server->rate != NULL)
    bufferevent_set_rate_limit (stream, server->rate);
  bufferevent_setcb (stream, raw_read, raw_written, raw_event, server);
  bufferevent_enable (stream, EV_READ | EV_WRITE);
}

static void
raw_start (raw_server_t *server, const char *answer, after_response_t after)
{
  struct sockaddr_in at;
  socklen_t bytes = sizeof at;

  memset (server, 0, sizeof *server);
  memset (&at, 0, sizeof at);
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl (LOOPBACK);
  server->base = event_base_new ();
  server->answers[0] = answer;
  server->answers[1] = answer;
  server->after = after;
  server->listener = evconnlistener_new_bind (
      server->base, raw_accept, server, LEV_OPT_CLOSE_ON_FREE, -1,
      (struct sockaddr *)&at, sizeof at);
  getsockname (evconnlistener_get_fd (server->listener), (struct sockaddr *)&at,
               &bytes);
  server->address.ip = LOOPBACK;
  server->address.port = ntohs (at.sin_port);
}

static void
raw_end (raw_server_t *server)
{
  evconnlistener_free (server->listener);
  for (size_t i = 0; i < RAW_MAX_OPEN; i++)
    {
      if (server->open[i] != NULL)
        bufferevent_free (server->open[i]);
    }
  /* Freed connections are released in the event loop. */
  event_base_loop (server->base, EVLOOP_NONBLOCK);
  event_base_free (server->base);
}

/* Result of one call. */
typedef struct
{
  struct event_base *base;
  bool done;
  ca_http_outcome_t outcome;
  uint32_t status;
  char body[1024];
  size_t bytes;
  const char *skip_id; /* skip responses with another id */
} call_result_t;

static ca_http_head_action_t
result_on_head (void *context, const ca_http_head_t *head)
{
  call_result_t *result = context;
  const char *id = ca_headers_find (&head->headers, "X-Id");

  result->status = head->status;
  return result->skip_id != NULL && id != NULL
                 && strcmp (id, result->skip_id) != 0
             ? CA_HTTP_HEAD_SKIP
             : CA_HTTP_HEAD_ACCEPT;
}

static bool
result_on_body (void *context, const char *bytes, size_t count)
{
  call_result_t *result = context;

  if (result->bytes + count >= sizeof result->body)
    return false;
  memcpy (result->body + result->bytes, bytes, count);
  result->bytes += count;
  return true;
}

static void
result_on_done (void *context, ca_http_outcome_t outcome)
{
  call_result_t *result = context;

  result->done = true;
  result->outcome = outcome;
  event_base_loopbreak (result->base);
}

static call_result_t
make_call (raw_server_t *server, ca_http_pool_t *pool, const char *skip_id)
{
  call_result_t result = { .base = server->base, .skip_id = skip_id };
  ca_http_pool_call_options_t options = { .address = server->address,
                                          .method = "GET",
                                          .target = "/x",
                                          .connect_timeout_ms = 1000,
                                          .timeout_ms = 2000,
                                          .max_idle_ms = 1000,
                                          .on_head = result_on_head,
                                          .on_body = result_on_body,
                                          .on_done = result_on_done,
                                          .context = &result };

  ca_http_pool_call_start (pool, &options);
  while (!result.done)
    event_base_loop (server->base, EVLOOP_ONCE);
  return result;
}

/* Starts a call whose loss is taken for that of the kept connections, too. */
static void
start_call (raw_server_t *server, ca_http_pool_t *pool, uint32_t timeout_ms,
            call_result_t *result)
{
  ca_http_pool_call_options_t options = { .address = server->address,
                                          .method = "GET",
                                          .target = "/x",
                                          .connect_timeout_ms = 1000,
                                          .timeout_ms = timeout_ms,
                                          .max_idle_ms = 1000,
                                          .timeout_closes_idle = true,
                                          .on_head = result_on_head,
                                          .on_body = result_on_body,
                                          .on_done = result_on_done,
                                          .context = result };

  *result = (call_result_t){ .base = server->base };
  ca_http_pool_call_start (pool, &options);
}

static void
finish_call (const call_result_t *result)
{
  while (!result->done)
    event_base_loop (result->base, EVLOOP_ONCE);
}

typedef struct
{
  const char *name;
  const char *answer;
  after_response_t after;
  ca_http_outcome_t outcome;
  const char *body;
} answer_case_t;

#define HEAD "HTTP/1.1 200 OK\r\n"

static const answer_case_t answer_cases[] = {
  { "complete, with Content-Length", HEAD "Content-Length: 2\r\n\r\nhi",
    AFTER_KEEP_OPEN, CA_HTTP_OUTCOME_COMPLETE, "hi" },
  { "complete, chunked",
    HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    AFTER_KEEP_OPEN, CA_HTTP_OUTCOME_COMPLETE, "hi" },
  { "shorter than Content-Length, closed", HEAD "Content-Length: 3\r\n\r\nhi",
    AFTER_CLOSE, CA_HTTP_OUTCOME_INTERRUPTED, "hi" },
  { "shorter than Content-Length, reset", HEAD "Content-Length: 3\r\n\r\nhi",
    AFTER_RESET, CA_HTTP_OUTCOME_INTERRUPTED, NULL },
  { "chunked without the last chunk, closed",
    HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", AFTER_CLOSE,
    CA_HTTP_OUTCOME_INTERRUPTED, "hi" },
  { "unframed, closed", HEAD "\r\nhi", AFTER_CLOSE, CA_HTTP_OUTCOME_COMPLETE,
    "hi" },
  { "unframed, reset", HEAD "\r\nhi", AFTER_RESET, CA_HTTP_OUTCOME_INTERRUPTED,
    NULL },
  { "incomplete head", "HTTP/1.1 20", AFTER_CLOSE, CA_HTTP_OUTCOME_INTERRUPTED,
    "" },
  { "no response in time", "", AFTER_KEEP_OPEN, CA_HTTP_OUTCOME_INTERRUPTED,
    "" },
  { "not an HTTP response", "\x01\x02garbage\r\n\r\n", AFTER_KEEP_OPEN,
    CA_HTTP_OUTCOME_MALFORMED, "" },
  { "Content-Length and chunked",
    HEAD "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
         "0\r\n\r\n",
    AFTER_KEEP_OPEN, CA_HTTP_OUTCOME_MALFORMED, "" },
  { "interim response first",
    "HTTP/1.1 100 Continue\r\n\r\n" HEAD "Content-Length: 2\r\n\r\nhi",
    AFTER_KEEP_OPEN, CA_HTTP_OUTCOME_COMPLETE, "hi" },
};

/* Status lines, with what follows them, and what the client makes of it. */
typedef struct
{
  const char *status;
  const char *rest;
  ca_http_outcome_t outcome;
} status_case_t;

#define BODY "\r\nContent-Length: 2\r\n\r\nhi"
#define FINAL "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

static const status_case_t status_cases[] = {
  /* Final responses. */
  { "200 OK", BODY, CA_HTTP_OUTCOME_COMPLETE },
  { "200", BODY, CA_HTTP_OUTCOME_COMPLETE },
  { "299 Odd", BODY, CA_HTTP_OUTCOME_COMPLETE },
  { "404 Not Found", BODY, CA_HTTP_OUTCOME_COMPLETE },
  { "599 Odd", BODY, CA_HTTP_OUTCOME_COMPLETE },
  /* Interim ones, before a final one. */
  { "100 Continue", "\r\n\r\n" FINAL, CA_HTTP_OUTCOME_COMPLETE },
  { "102 Processing", "\r\n\r\n" FINAL, CA_HTTP_OUTCOME_COMPLETE },
  { "103 Early Hints", "\r\nLink: x\r\n\r\n" FINAL, CA_HTTP_OUTCOME_COMPLETE },
  { "199 Odd", "\r\n\r\n" FINAL, CA_HTTP_OUTCOME_COMPLETE },
  /* No responses. */
  { "000 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "000 OK", "\r\n\r\nhi", CA_HTTP_OUTCOME_MALFORMED },
  { "001 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "020 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "099 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "600 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "999 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "1000 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "2 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "20 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "0200 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "2000 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "-200 OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "2xx OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "OK", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "", BODY, CA_HTTP_OUTCOME_MALFORMED },
  /* A switch of protocols is never asked for, and interim responses have no
   * body. */
  { "101 Switching Protocols", "\r\n\r\n" FINAL, CA_HTTP_OUTCOME_MALFORMED },
  { "101 Switching Protocols", "\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    CA_HTTP_OUTCOME_MALFORMED },
  { "100 Continue", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "150 Odd", BODY, CA_HTTP_OUTCOME_MALFORMED },
  { "150 Odd", "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    CA_HTTP_OUTCOME_MALFORMED },
};

/* Longest time until a response that is none ends its call, whose timeout is
 * 2 s. */
#define REFUSED_MAX_US (500 * 1000)

/* Guards against calls that wait for their timeout after a response that is
 * none, and against callers that get its status. */
static void
test_statuses (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof status_cases / sizeof status_cases[0]; i++)
    {
      const status_case_t *row = &status_cases[i];
      uint64_t started_us = ca_clock_boot_us ();
      char answer[512];
      raw_server_t server;
      ca_http_pool_t pool;
      call_result_t result;

      snprintf (answer, sizeof answer, "HTTP/1.1 %s%s", row->status, row->rest);
      raw_start (&server, answer, AFTER_KEEP_OPEN);
      ca_http_pool_init (&pool, server.base);
      result = make_call (&server, &pool, NULL);
      print_message ("%s: outcome %d, status %u, after %llu ms\n", row->status,
                     (int)result.outcome, result.status,
                     (unsigned long long)(ca_clock_boot_us () - started_us)
                         / 1000);
      assert_int_equal (result.outcome, row->outcome);
      assert_true (ca_clock_boot_us () - started_us < REFUSED_MAX_US);
      assert_true (row->outcome == CA_HTTP_OUTCOME_COMPLETE
                   || result.status == 0);
      ca_http_pool_finish (&pool);
      raw_end (&server);
    }
}

static void
test_answers (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof answer_cases / sizeof answer_cases[0]; i++)
    {
      const answer_case_t *row = &answer_cases[i];
      raw_server_t server;
      ca_http_pool_t pool;
      call_result_t result;

      raw_start (&server, row->answer, row->after);
      ca_http_pool_init (&pool, server.base);
      result = make_call (&server, &pool, NULL);
      if (result.outcome != row->outcome)
        print_message ("%s\n", row->name);
      assert_int_equal (result.outcome, row->outcome);
      if (row->body != NULL)
        assert_string_equal (result.body, row->body);
      ca_http_pool_finish (&pool);
      raw_end (&server);
    }
}

/* Bytes that may be sent of a response without end: what may be discarded, and
 * the buffers of the sockets. */
#define ENDLESS_MAX_BYTES (32 * 1024 * 1024)

typedef struct
{
  const char *name;
  const char *answer;
  const char *filler;
} endless_case_t;

static const endless_case_t endless_cases[] = {
  { "field value", HEAD "X-A: ", "aaaaaaaaaaaaaaaa" },
  { "field lines", HEAD, "X-A: b\r\n" },
  { "status line", "HTTP/1.1 200 ", "aaaaaaaaaaaaaaaa" },
  { "blank lines", "\r\n", "\r\n" },
  { "bytes that are no response", "garbage", "garbage" },
  { "interim responses", "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n" },
  { "unframed body", HEAD "\r\n", "aaaaaaaaaaaaaaaa" },
  { "chunks", HEAD "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n" },
  { "chunk extension", HEAD "Transfer-Encoding: chunked\r\n\r\n5;",
    "aaaaaaaaaaaaaaaa" },
  { "trailer", HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n" },
  { "responses to other requests",
    HEAD "X-Id: old\r\nContent-Length: 2\r\n\r\nno",
    HEAD "X-Id: old\r\nContent-Length: 2\r\n\r\nno" },
  { "unframed body of a response to another request", HEAD "X-Id: old\r\n\r\n",
    "aaaaaaaaaaaaaaaa" },
};

/* Bytes without end are given up long before the call's timeout. */
static void
test_answers_without_end (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof endless_cases / sizeof endless_cases[0]; i++)
    {
      const endless_case_t *row = &endless_cases[i];
      raw_server_t server;
      ca_http_pool_t pool;
      call_result_t result;

      raw_start (&server, row->answer, AFTER_KEEP_OPEN);
      server.filler = row->filler;
      ca_http_pool_init (&pool, server.base);
      result = make_call (&server, &pool, "new");
      if (result.outcome != CA_HTTP_OUTCOME_MALFORMED
          || server.filled > ENDLESS_MAX_BYTES)
        print_message ("%s: outcome %d, %zu bytes sent\n", row->name,
                       (int)result.outcome, server.filled);
      assert_int_equal (result.outcome, CA_HTTP_OUTCOME_MALFORMED);
      assert_true (server.filled <= ENDLESS_MAX_BYTES);
      ca_http_pool_finish (&pool);
      raw_end (&server);
    }
}

/* A second response after the first: the connection is not reused. */
static void
test_extra_answer (void **state)
{
  raw_server_t server;
  ca_http_pool_t pool;

  (void)state;
  raw_start (&server,
             HEAD "Content-Length: 2\r\n\r\nhi" HEAD
                  "Content-Length: 2\r\n\r\nno",
             AFTER_KEEP_OPEN);
  ca_http_pool_init (&pool, server.base);
  assert_string_equal (make_call (&server, &pool, NULL).body, "hi");
  assert_string_equal (make_call (&server, &pool, NULL).body, "hi");
  assert_int_equal (pool.opened, 2);
  ca_http_pool_finish (&pool);
  raw_end (&server);
}

/* A late response to an earlier call arrives before the expected one. */
static void
test_late_answer (void **state)
{
  raw_server_t server;
  ca_http_pool_t pool;
  call_result_t result;

  (void)state;
  raw_start (&server,
             HEAD "X-Id: old\r\nContent-Length: 2\r\n\r\nno" HEAD
                  "X-Id: new\r\nContent-Length: 2\r\n\r\nhi",
             AFTER_KEEP_OPEN);
  ca_http_pool_init (&pool, server.base);
  result = make_call (&server, &pool, "new");
  assert_int_equal (result.outcome, CA_HTTP_OUTCOME_COMPLETE);
  assert_string_equal (result.body, "hi");
  ca_http_pool_finish (&pool);
  raw_end (&server);
}

#define LARGE_BYTES 100000
#define LARGE_TIMEOUT_MS 200

/* Counts a body without keeping it. */
static bool
count_body (void *context, const char *bytes, size_t count)
{
  call_result_t *result = context;

  (void)bytes;
  result->bytes += count;
  return true;
}

/* Makes a call whose timeout is extended while the response arrives, at so many
 * bytes each 10 ms. */
static call_result_t
make_large_call (size_t bytes_per_tick)
{
  const struct timeval tick = { 0, 10000 };
  char *answer = malloc (LARGE_BYTES + 128);
  int head = sprintf (answer, HEAD "Content-Length: %d\r\n\r\n", LARGE_BYTES);
  raw_server_t server;
  ca_http_pool_t pool;
  call_result_t result = { .done = false };
  ca_http_pool_call_options_t options = { .method = "GET",
                                          .target = "/x",
                                          .connect_timeout_ms = 1000,
                                          .timeout_ms = LARGE_TIMEOUT_MS,
                                          .stall_timeout_ms = LARGE_TIMEOUT_MS,
                                          .on_head = result_on_head,
                                          .on_body = count_body,
                                          .on_done = result_on_done,
                                          .context = &result };

  memset (answer + head, 'x', LARGE_BYTES);
  answer[head + LARGE_BYTES] = '\0';
  raw_start (&server, answer, AFTER_KEEP_OPEN);
  server.rate = ev_token_bucket_cfg_new (EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX,
                                         bytes_per_tick, bytes_per_tick, &tick);
  ca_http_pool_init (&pool, server.base);
  result.base = server.base;
  options.address = server.address;
  ca_http_pool_call_start (&pool, &options);
  while (!result.done)
    event_base_loop (server.base, EVLOOP_ONCE);
  ca_http_pool_finish (&pool);
  raw_end (&server);
  ev_token_bucket_cfg_free (server.rate);
  free (answer);
  return result;
}

/* A large response arrives for longer than the call's timeout. */
static void
test_large_answer_outlasts_timeout (void **state)
{
  call_result_t result = make_large_call (1500);

  (void)state;
  assert_int_equal (result.outcome, CA_HTTP_OUTCOME_COMPLETE);
  assert_int_equal (result.bytes, LARGE_BYTES);
}

/* A trickle extends the timeout by next to nothing. */
static void
test_trickling_answer_times_out (void **state)
{
  call_result_t result = make_large_call (16);

  (void)state;
  assert_int_equal (result.outcome, CA_HTTP_OUTCOME_INTERRUPTED);
  assert_true (result.bytes < LARGE_BYTES / 2);
}

static void
test_kept_connection (void **state)
{
  raw_server_t server;
  ca_http_pool_t pool;

  (void)state;
  raw_start (&server, HEAD "Content-Length: 2\r\n\r\nhi", AFTER_KEEP_OPEN);
  ca_http_pool_init (&pool, server.base);
  make_call (&server, &pool, NULL);
  make_call (&server, &pool, NULL);
  assert_int_equal (pool.opened, 1);
  assert_int_equal (server.requests, 2);
  server.answers[1] = HEAD "Connection: close\r\nContent-Length: 2\r\n\r\nhi";
  make_call (&server, &pool, NULL);
  make_call (&server, &pool, NULL);
  assert_int_equal (pool.opened, 2);
  ca_http_pool_finish (&pool);
  raw_end (&server);
}

/* Several kept connections fall silent, and stay open: one call is lost, not
 * one for each of them. */
static void
test_silent_kept_connections (void **state)
{
  raw_server_t server;
  ca_http_pool_t pool;
  call_result_t results[3];

  (void)state;
  raw_start (&server, HEAD "Content-Length: 2\r\n\r\nhi", AFTER_KEEP_OPEN);
  ca_http_pool_init (&pool, server.base);
  for (size_t i = 0; i < 3; i++)
    start_call (&server, &pool, 2000, &results[i]);
  for (size_t i = 0; i < 3; i++)
    finish_call (&results[i]);
  assert_int_equal (pool.opened, 3);
  for (size_t i = 0; i < RAW_MAX_OPEN; i++)
    {
      if (server.open[i] != NULL)
        bufferevent_disable (server.open[i], EV_READ);
    }
  start_call (&server, &pool, 100, &results[0]);
  finish_call (&results[0]);
  assert_int_equal (results[0].outcome, CA_HTTP_OUTCOME_INTERRUPTED);
  start_call (&server, &pool, 100, &results[0]);
  finish_call (&results[0]);
  assert_int_equal (results[0].outcome, CA_HTTP_OUTCOME_COMPLETE);
  ca_http_pool_finish (&pool);
  raw_end (&server);
}

static void
test_no_listener (void **state)
{
  raw_server_t server;
  ca_http_pool_t pool;
  call_result_t result;

  (void)state;
  raw_start (&server, "", AFTER_KEEP_OPEN);
  evconnlistener_free (server.listener);
  ca_http_pool_init (&pool, server.base);
  result = make_call (&server, &pool, NULL);
  assert_int_equal (result.outcome, CA_HTTP_OUTCOME_NOT_SENT);
  ca_http_pool_finish (&pool);
  event_base_free (server.base);
}

/* Opens a port of which the kernel accepts connections, and nobody reads. */
static int
open_unread_port (ca_address_t *address)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t size = sizeof at;
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  at.sin_addr.s_addr = htonl (LOOPBACK);
  assert_int_equal (bind (listener, (struct sockaddr *)&at, sizeof at), 0);
  assert_int_equal (listen (listener, 1), 0);
  getsockname (listener, (struct sockaddr *)&at, &size);
  address->ip = LOOPBACK;
  address->port = ntohs (at.sin_port);
  return listener;
}

/* Guards against a request that timed out while its endpoint was unreachable,
 * but arrived 6 s later, when the endpoint was leaving: the kernel kept
 * retransmitting after the close.  Bytes that the peer has not received must be
 * discarded. */
static void
test_timeout_discards_unsent (void **state)
{
  static char body[8 * 1024 * 1024];
  struct event_base *base = event_base_new ();
  call_result_t result = { .base = base };
  ca_http_pool_t pool;
  ca_http_pool_call_options_t options = { .method = "POST",
                                          .target = "/x",
                                          .body = body,
                                          .body_bytes = sizeof body,
                                          .has_body = true,
                                          .connect_timeout_ms = 1000,
                                          .timeout_ms = 200,
                                          .on_head = result_on_head,
                                          .on_body = result_on_body,
                                          .on_done = result_on_done,
                                          .context = &result };
  int listener = open_unread_port (&options.address);
  char received[65536];
  ssize_t bytes;
  int peer;

  (void)state;
  ca_http_pool_init (&pool, base);
  ca_http_pool_call_start (&pool, &options);
  while (!result.done)
    event_base_loop (base, EVLOOP_ONCE);
  assert_int_equal (result.outcome, CA_HTTP_OUTCOME_INTERRUPTED);
  event_base_loop (base, EVLOOP_NONBLOCK);
  peer = accept (listener, NULL, NULL);
  do
    bytes = read (peer, received, sizeof received);
  while (bytes > 0);
  assert_int_equal (bytes, -1);
  assert_int_equal (errno, ECONNRESET);
  close (peer);
  close (listener);
  ca_http_pool_finish (&pool);
  event_base_free (base);
}

/* A call is connecting until its connection is established, not longer. */
static void
test_call_is_connecting (void **state)
{
  struct event_base *base = event_base_new ();
  call_result_t result = { .base = base };
  ca_http_pool_t pool;
  ca_http_pool_call_options_t options = { .method = "GET",
                                          .target = "/x",
                                          .connect_timeout_ms = 1000,
                                          .timeout_ms = 1000,
                                          .on_head = result_on_head,
                                          .on_body = result_on_body,
                                          .on_done = result_on_done,
                                          .context = &result };
  ca_http_pool_call_t *call;
  int listener = open_unread_port (&options.address);

  (void)state;
  ca_http_pool_init (&pool, base);
  call = ca_http_pool_call_start (&pool, &options);
  assert_true (ca_http_pool_call_is_connecting (call));
  while (!result.done && pool.opened == 0)
    event_base_loop (base, EVLOOP_ONCE);
  assert_false (result.done);
  assert_false (ca_http_pool_call_is_connecting (call));
  ca_http_pool_call_cancel (call);
  close (listener);
  ca_http_pool_finish (&pool);
  event_base_free (base);
}

typedef struct
{
  struct event_base *base;
  ca_http_server_t server;
  ca_http_server_request_t *pending; /* request to /wait, not answered */
  int requests;
  int disconnects;
  char targets[256]; /* of all requests, in order */
} fixture_t;

static void
fixture_on_request (void *context, ca_http_server_request_t *request)
{
  fixture_t *fixture = context;

  fixture->requests++;
  strlcat (fixture->targets, request->head->target, sizeof fixture->targets);
  strlcat (fixture->targets, " ", sizeof fixture->targets);
  if (strcmp (request->head->target, "/wait") == 0)
    fixture->pending = request;
  else
    ca_http_respond (request, 200, NULL, evbuffer_pullup (request->body, -1),
                     evbuffer_get_length (request->body));
}

static void
fixture_on_disconnect (void *context, ca_http_server_request_t *request)
{
  fixture_t *fixture = context;

  assert_ptr_equal (request, fixture->pending);
  fixture->disconnects++;
}

static void
fixture_start (fixture_t *fixture, ca_address_t *address)
{
  ca_http_handler_t handler
      = { fixture_on_request, fixture_on_disconnect, fixture };
  ca_http_limits_t limits = { 1024, 4096, 200, 400 };
  ca_error_t error;

  memset (fixture, 0, sizeof *fixture);
  fixture->base = event_base_new ();
  ca_error_init (&error);
  address->ip = LOOPBACK;
  for (address->port = 19200; address->port < 19400; address->port++)
    {
      if (ca_http_server_init (&fixture->server, fixture->base, address,
                               &handler, &limits, &error))
        return;
    }
  fail ();
}

/* Sends bytes and reads until the server closes or the time is up; closes the
 * connection first if `close_early` is set. */
static void
send_and_receive (fixture_t *fixture, const ca_address_t *address,
                  const char *bytes, size_t count, bool close_early,
                  char *answer, size_t answer_size)
{
  struct sockaddr_in to;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  size_t used = 0;

  memset (&to, 0, sizeof to);
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl (address->ip);
  to.sin_port = htons (address->port);
  assert_int_equal (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  assert_int_equal (write (fd, bytes, count), count);
  for (int i = 0; i < 80; i++)
    {
      struct timeval step = { 0, 10000 };
      ssize_t got;

      event_base_loopexit (fixture->base, &step);
      event_base_dispatch (fixture->base);
      if (close_early && i == 5)
        break;
      got = recv (fd, answer + used, answer_size - used - 1, MSG_DONTWAIT);
      if (got == 0)
        break;
      if (got > 0)
        used += (size_t)got;
    }
  answer[used] = '\0';
  close (fd);
  for (int i = 0; i < 5; i++)
    {
      struct timeval step = { 0, 10000 };

      event_base_loopexit (fixture->base, &step);
      event_base_dispatch (fixture->base);
    }
}

typedef struct
{
  const char *name;
  const char *bytes;
  const char *answer; /* expected start of the response */
  const char *targets;
} request_case_t;

static const request_case_t request_cases[] = {
  { "one request", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200",
    "/a " },
  { "two pipelined requests",
    "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
    "HTTP/1.1 200", "/a /b " },
  { "chunked body",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nhi\r\n0\r\n\r\n",
    "HTTP/1.1 200", "/a " },
  { "a request inside a body is not parsed",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 27\r\n\r\n"
    "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
    "HTTP/1.1 200", "/a " },
  { "Content-Length and chunked",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
    "HTTP/1.1 400", "" },
  { "two Content-Length fields",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
    "Content-Length: 5\r\n\r\nabcde",
    "HTTP/1.1 400", "" },
  { "not an HTTP request", "\x01\x02\x03\r\n\r\n", "HTTP/1.1 400", "" },
  { "incomplete head, then silence", "GET /a HTTP/1.1\r\nHo", "HTTP/1.1 408",
    "" },
  { "upgrade request",
    "GET /a HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\n"
    "Upgrade: h2c\r\n\r\n",
    "HTTP/1.1 ", NULL },
  { "Expect: 100-continue",
    "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
    "Content-Length: 2\r\n\r\nhi",
    "HTTP/1.1 100", "/a " },
};

static void
test_requests (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof request_cases / sizeof request_cases[0]; i++)
    {
      const request_case_t *row = &request_cases[i];
      ca_address_t address;
      fixture_t fixture;
      char answer[4096];

      fixture_start (&fixture, &address);
      send_and_receive (&fixture, &address, row->bytes, strlen (row->bytes),
                        false, answer, sizeof answer);
      if (strncmp (answer, row->answer, strlen (row->answer)) != 0)
        print_message ("%s: %s\n", row->name, answer);
      assert_memory_equal (answer, row->answer, strlen (row->answer));
      if (row->targets != NULL)
        assert_string_equal (fixture.targets, row->targets);
      ca_http_server_finish (&fixture.server);
      event_base_free (fixture.base);
    }
}

static void
test_too_large (void **state)
{
  ca_address_t address;
  fixture_t fixture;
  char answer[4096];
  char request[8192];
  size_t bytes;

  (void)state;
  fixture_start (&fixture, &address);
  bytes = (size_t)snprintf (request, sizeof request,
                            "GET /a HTTP/1.1\r\nX: %04000d\r\n\r\n", 1);
  send_and_receive (&fixture, &address, request, bytes, false, answer,
                    sizeof answer);
  assert_memory_equal (answer, "HTTP/1.1 431", 12);
  bytes = (size_t)snprintf (request, sizeof request,
                            "POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"
                            "%05000d",
                            1);
  send_and_receive (&fixture, &address, request, bytes, false, answer,
                    sizeof answer);
  assert_memory_equal (answer, "HTTP/1.1 413", 12);
  assert_int_equal (fixture.requests, 0);
  ca_http_server_finish (&fixture.server);
  event_base_free (fixture.base);
}

/* A disconnect is noticed while the client's request is pending. */
static void
test_client_disconnects (void **state)
{
  static const char request[] = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n";
  ca_address_t address;
  fixture_t fixture;
  char answer[4096];

  (void)state;
  fixture_start (&fixture, &address);
  send_and_receive (&fixture, &address, request, sizeof request - 1, true,
                    answer, sizeof answer);
  assert_int_equal (fixture.disconnects, 1);
  assert_int_equal (fixture.server.open, 0);
  ca_http_server_finish (&fixture.server);
  event_base_free (fixture.base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_answers),
    cmocka_unit_test (test_statuses),
    cmocka_unit_test (test_answers_without_end),
    cmocka_unit_test (test_extra_answer),
    cmocka_unit_test (test_late_answer),
    cmocka_unit_test (test_large_answer_outlasts_timeout),
    cmocka_unit_test (test_trickling_answer_times_out),
    cmocka_unit_test (test_kept_connection),
    cmocka_unit_test (test_silent_kept_connections),
    cmocka_unit_test (test_no_listener),
    cmocka_unit_test (test_timeout_discards_unsent),
    cmocka_unit_test (test_call_is_connecting),
    cmocka_unit_test (test_requests),
    cmocka_unit_test (test_too_large),
    cmocka_unit_test (test_client_disconnects),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
