/* Limits of the HTTP server on clients outside them: the memory budget and its
 * victims, refusals from the head, answers that nobody reads, and the number of
 * connections. */
#include "http/server.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define LOOPBACK 0x7f000001u
#define FIRST_PORT 19400
#define LAST_PORT 19600
#define SECOND_US 1000000

#define BIG_ANSWER_BYTES 100000
#define SOME_ANSWER_BYTES 16000
#define MAX_CLIENTS 8

typedef struct
{
  struct event_base *base;
  ca_http_server_t server;
  ca_http_memory_t memory;
  uint16_t port;
  int requests;
  int dropped;       /* requests whose body was dropped */
  size_t body_bytes; /* of the latest request */
  int cut[CA_HTTP_CUT_REASONS];
  int clients[MAX_CLIENTS];
  int client_count;
  ca_http_server_request_t *held; /* to /held, not answered yet */
  int held_disconnects;
} fixture_t;

/* Admits requests to paths other than /refused. */
static bool
fixture_on_head (void *context, const ca_http_server_request_t *request)
{
  (void)context;
  return strcmp (request->head->target, "/refused") != 0;
}

static void
fixture_on_request (void *context, ca_http_server_request_t *request)
{
  static const char big[BIG_ANSWER_BYTES];
  fixture_t *fixture = context;

  fixture->requests++;
  fixture->dropped += request->body_dropped;
  fixture->body_bytes = evbuffer_get_length (request->body);
  if (strcmp (request->head->target, "/held") == 0)
    fixture->held = request;
  else if (strcmp (request->head->target, "/some") == 0)
    ca_http_respond (request, 200, NULL, big, SOME_ANSWER_BYTES);
  else if (strcmp (request->head->target, "/big") == 0)
    ca_http_respond (request, 200, NULL, big, sizeof big);
  else if (strcmp (request->head->target, "/refused") == 0)
    ca_http_respond (request, 404, NULL, "none", 4);
  else
    ca_http_respond (request, 200, NULL, "", 0);
}

static void
fixture_on_disconnect (void *context, ca_http_server_request_t *request)
{
  fixture_t *fixture = context;

  if (request != fixture->held)
    return;
  fixture->held = NULL;
  fixture->held_disconnects++;
}

static void
fixture_on_cut (void *context, ca_http_cut_t reason)
{
  ((fixture_t *)context)->cut[reason]++;
}

static void
fixture_start (fixture_t *fixture, size_t received_bytes, size_t unsent_bytes)
{
  ca_http_handler_t handler
      = { fixture_on_request, fixture_on_disconnect, NULL };
  const ca_http_limits_t limits = { 1024, 200000, 2000, 4000 };
  ca_address_t address = { .ip = LOOPBACK };
  ca_error_t error;

  memset (fixture, 0, sizeof *fixture);
  handler.context = fixture;
  fixture->base = event_base_new ();
  ca_http_memory_init (&fixture->memory, received_bytes, unsent_bytes);
  fixture->memory.on_cut = fixture_on_cut;
  fixture->memory.context = fixture;
  ca_error_init (&error);
  for (address.port = FIRST_PORT; address.port < LAST_PORT; address.port++)
    {
      if (ca_http_server_init (&fixture->server, fixture->base, &address,
                               &handler, &limits, &error))
        break;
    }
  assert_true (address.port < LAST_PORT);
  fixture->port = address.port;
  fixture->server.on_head = fixture_on_head;
  fixture->server.memory = &fixture->memory;
}

static void
fixture_run_ms (fixture_t *fixture, int ms)
{
  struct timeval wait = { ms / 1000, (suseconds_t)(ms % 1000) * 1000 };

  event_base_loopexit (fixture->base, &wait);
  event_base_dispatch (fixture->base);
}

/* Connects a client; returns its number. */
static int
fixture_connect (fixture_t *fixture)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (LOOPBACK),
                            .sin_port = htons (fixture->port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int receive_bytes = 4096;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  assert_int_equal (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  fixture->clients[fixture->client_count] = fd;
  fixture_run_ms (fixture, 20);
  return fixture->client_count++;
}

/* Sends a text and then a number of bytes. */
static void
fixture_send (fixture_t *fixture, int client, const char *text, size_t bytes)
{
  static const char block[1000];
  int fd = fixture->clients[client];

  send (fd, text, strlen (text), MSG_NOSIGNAL);
  while (bytes > 0)
    {
      size_t count = bytes < sizeof block ? bytes : sizeof block;
      ssize_t sent = send (fd, block, count, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (sent < 0 && errno != EAGAIN)
        return;
      if (sent > 0)
        bytes -= (size_t)sent;
      fixture_run_ms (fixture, 1);
    }
  fixture_run_ms (fixture, 50);
}

/* Reads what has arrived; true if the server has closed the connection. */
static bool
fixture_receive (fixture_t *fixture, int client, char *text, size_t size)
{
  ssize_t count = 0;
  size_t used = 0;

  fixture_run_ms (fixture, 50);
  while (used < size - 1
         && (count = recv (fixture->clients[client], text + used,
                           size - 1 - used, MSG_DONTWAIT))
                > 0)
    used += (size_t)count;
  text[used] = '\0';
  return count == 0 || (count < 0 && errno != EAGAIN);
}

/* Reads until the server closes the connection.  Returns the number of bytes, 0
 * if it was reset. */
static size_t
fixture_receive_all (fixture_t *fixture, int client)
{
  char bytes[4096];
  size_t total = 0;

  for (int i = 0; i < 10000; i++)
    {
      ssize_t count
          = recv (fixture->clients[client], bytes, sizeof bytes, MSG_DONTWAIT);

      if (count == 0)
        return total;
      if (count < 0 && errno != EAGAIN)
        return 0;
      if (count > 0)
        total += (size_t)count;
      fixture_run_ms (fixture, 1);
    }
  return 0;
}

static void
fixture_end (fixture_t *fixture)
{
  for (int i = 0; i < fixture->client_count; i++)
    close (fixture->clients[i]);
  fixture_run_ms (fixture, 50);
  assert_int_equal (fixture->server.open, 0);
  assert_int_equal (fixture->memory.received.held_bytes, 0);
  assert_int_equal (fixture->memory.unsent.held_bytes, 0);
  ca_http_server_finish (&fixture->server);
  event_base_free (fixture->base);
}

/* The share with the fewest bytes of the last second is cut, and of several the
 * oldest; bytes that arrived before do not count. */
static void
test_victim (void **state)
{
  ca_http_budget_t budget;
  ca_http_share_t shares[3];
  uint64_t now_us = 100 * (uint64_t)SECOND_US;

  (void)state;
  memset (shares, 0, sizeof shares);
  for (int i = 0; i < 3; i++)
    shares[i].may_cut = true;
  ca_http_budget_init (&budget, 1000);
  ca_http_budget_update (&budget, &shares[0], 5000, 5000, now_us);
  assert_null (ca_http_budget_victim (&budget, now_us)); /* alone */
  ca_http_budget_update (&budget, &shares[1], 300, 300, now_us);
  ca_http_budget_update (&budget, &shares[2], 300, 300, now_us);
  assert_ptr_equal (ca_http_budget_victim (&budget, now_us), &shares[1]);
  shares[1].may_cut = false;
  assert_ptr_equal (ca_http_budget_victim (&budget, now_us), &shares[2]);
  shares[1].may_cut = true;
  /* A second later all are equal but for what arrives then. */
  now_us += SECOND_US;
  assert_ptr_equal (ca_http_budget_victim (&budget, now_us), &shares[0]);
  ca_http_budget_update (&budget, &shares[0], 5001, 1, now_us);
  assert_ptr_equal (ca_http_budget_victim (&budget, now_us), &shares[1]);
  assert_int_equal (ca_http_share_recent_bytes (&shares[0], now_us), 1);
  ca_http_budget_update (&budget, &shares[0], 0, 0, now_us);
  assert_int_equal (budget.held_bytes, 600);
  assert_null (ca_http_budget_victim (&budget, now_us)); /* within it */
}

typedef struct
{
  const char *name;
  const char *request;
  size_t body_bytes;
  const char *answer; /* its start */
  bool closes;
  int handled;
} head_case_t;

static const head_case_t head_cases[] = {
  { "a small body is awaited and the connection kept",
    "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n", 20000,
    "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone", false, 1 },
  { "a chunked body, and a request after it",
    "POST /refused HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nhi\r\n0\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    0, "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone", false, 2 },
  { "a large announced body is not awaited",
    "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 150000\r\n\r\n", 100,
    "HTTP/1.1 404 Not Found\r\nConnection: close\r\n", true, 1 },
  { "a body that goes on is not read to its end",
    "POST /refused HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "20000\r\n",
    40000, "HTTP/1.1 404 Not Found\r\nConnection: close\r\n", true, 1 },
  { "a body that stops is not awaited for long",
    "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhi", 0,
    "HTTP/1.1 404 Not Found\r\nConnection: close\r\n", true, 1 },
  { "a client that asks first is not told to send",
    "POST /refused HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
    "Content-Length: 2\r\n\r\n",
    0, "HTTP/1.1 404 Not Found\r\nConnection: close\r\n", true, 1 },
  { "nor is one whose body is too large",
    "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
    "Content-Length: 200001\r\n\r\n",
    0, "HTTP/1.1 413 ", true, 0 },
  { "a length that no number holds",
    "POST /a HTTP/1.1\r\nHost: h\r\n"
    "Content-Length: 99999999999999999999999\r\n\r\n",
    0, "HTTP/1.1 400 ", true, 0 },
  { "a refused request without a body keeps its connection",
    "GET /refused HTTP/1.1\r\nHost: h\r\n\r\n", 0,
    "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone", false, 1 },
};

/* Refusals from the head keep nothing of the body, and answers to clients that
 * send small bodies are those that they would get after the body. */
static void
test_refused_heads (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof head_cases / sizeof head_cases[0]; i++)
    {
      const head_case_t *row = &head_cases[i];
      fixture_t fixture;
      char answer[1000];
      char rest[1000];

      fixture_start (&fixture, 1000000, 1000000);
      fixture_connect (&fixture);
      fixture_send (&fixture, 0, row->request, row->body_bytes);
      fixture_run_ms (&fixture, 1100);
      fixture_receive (&fixture, 0, answer, sizeof answer);
      if (strncmp (answer, row->answer, strlen (row->answer)) != 0)
        print_message ("%s: %s\n", row->name, answer);
      assert_memory_equal (answer, row->answer, strlen (row->answer));
      fixture_run_ms (&fixture, 1100);
      assert_int_equal (fixture_receive (&fixture, 0, rest, sizeof rest),
                        row->closes);
      assert_int_equal (fixture.requests, row->handled);
      assert_int_equal (fixture.body_bytes, 0);
      fixture_end (&fixture);
    }
}

/* A body that stands still is refused when others need the memory; one that is
 * complete is not. */
static void
test_memory (void **state)
{
  static const char head[]
      = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n";
  fixture_t fixture;
  char answer[1000];

  (void)state;
  fixture_start (&fixture, 300000, 1000000);
  for (int i = 0; i < 3; i++)
    {
      fixture_connect (&fixture);
      fixture_send (&fixture, i, head, 90000);
      if (i == 1)
        fixture_run_ms (&fixture, 1100);
    }
  assert_int_equal (fixture.cut[CA_HTTP_CUT_MEMORY], 1);
  assert_true (fixture.memory.received.held_bytes <= 300000);
  fixture_receive (&fixture, 0, answer, sizeof answer);
  assert_memory_equal (answer, "HTTP/1.1 503 ", 13);
  assert_non_null (strstr (answer, "Retry-After: 1\r\n"));
  fixture_send (&fixture, 2, "", 10000);
  assert_int_equal (fixture.requests, 1);
  assert_int_equal (fixture.body_bytes, 100000);
  fixture_end (&fixture);
}

/* One request alone is served whatever the budget is. */
static void
test_alone (void **state)
{
  fixture_t fixture;

  (void)state;
  fixture_start (&fixture, 1000, 1000);
  fixture_connect (&fixture);
  fixture_send (&fixture, 0,
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n",
                200000);
  assert_int_equal (fixture.requests, 1);
  assert_int_equal (fixture.body_bytes, 200000);
  fixture_end (&fixture);
}

/* Requests of a client that reads no answers wait, and answers that nobody
 * reads are given up when there are too many. */
static void
test_unread (void **state)
{
  fixture_t fixture;

  (void)state;
  fixture_start (&fixture, 1000000, 2 * BIG_ANSWER_BYTES);
  for (int i = 0; i < 4; i++)
    {
      fixture_connect (&fixture);
      for (int j = 0; j < 100; j++)
        fixture_send (&fixture, i, "GET /big HTTP/1.1\r\nHost: h\r\n\r\n", 0);
      /* What the sockets take, one answer, and what is left of another. */
      assert_true (fixture.requests < 100 * (i + 1));
    }
  assert_true (fixture.memory.unsent.held_bytes <= 2 * BIG_ANSWER_BYTES);
  fixture_end (&fixture);
}

/* Guards against a request that is answered after its connection was cut for
 * answers that nobody reads: its handler is told. */
static void
test_unread_with_request (void **state)
{
  fixture_t fixture;

  (void)state;
  fixture_start (&fixture, 1000000, 2 * SOME_ANSWER_BYTES);
  fixture_connect (&fixture);
  for (int i = 0; i < 1000 && fixture.memory.unsent.held_bytes == 0; i++)
    fixture_send (&fixture, 0, "GET /some HTTP/1.1\r\nHost: h\r\n\r\n", 0);
  fixture_send (&fixture, 0, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n", 0);
  assert_non_null (fixture.held);
  fixture_run_ms (&fixture, 1100);
  fixture_connect (&fixture);
  for (int i = 0; i < 100 && fixture.cut[CA_HTTP_CUT_UNREAD] == 0; i++)
    fixture_send (&fixture, 1, "GET /big HTTP/1.1\r\nHost: h\r\n\r\n", 0);
  assert_int_equal (fixture.cut[CA_HTTP_CUT_UNREAD], 1);
  assert_int_equal (fixture.held_disconnects, 1);
  assert_null (fixture.held);
  fixture_end (&fixture);
}

/* Guards against answers whose last bytes are dropped as idle connections are
 * closed: those of a stopped server. */
static void
test_close_idle_unsent (void **state)
{
  fixture_t fixture;

  (void)state;
  fixture_start (&fixture, 1000000, 100 * BIG_ANSWER_BYTES);
  fixture_connect (&fixture);
  while (fixture.memory.unsent.held_bytes == 0)
    fixture_send (&fixture, 0, "GET /big HTTP/1.1\r\nHost: h\r\n\r\n", 0);
  ca_http_server_close_idle (&fixture.server);
  assert_true (fixture_receive_all (&fixture, 0)
               > (size_t)fixture.requests * BIG_ANSWER_BYTES);
  fixture_end (&fixture);
}

/* At the limit, a new connection takes the place of the one that has been idle
 * for longest, else of one in the middle of a head or a body. */
static void
test_connections (void **state)
{
  fixture_t fixture;
  char answer[1000];

  (void)state;
  fixture_start (&fixture, 1000000, 1000000);
  fixture.server.max_open = 3;
  fixture_connect (&fixture);
  fixture_connect (&fixture);
  fixture_connect (&fixture);
  fixture_send (&fixture, 0, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0);
  fixture_send (&fixture, 1, "GET /a HT", 0);
  fixture_connect (&fixture);
  assert_int_equal (fixture.cut[CA_HTTP_CUT_IDLE], 1);
  assert_true (fixture_receive (&fixture, 2, answer, sizeof answer));
  assert_false (fixture_receive (&fixture, 0, answer, sizeof answer));
  fixture_send (&fixture, 0, "GET /a HT", 0);
  fixture_send (&fixture, 3,
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhi",
                0);
  fixture_connect (&fixture);
  assert_int_equal (fixture.cut[CA_HTTP_CUT_BUSY], 1);
  assert_true (fixture_receive (&fixture, 0, answer, sizeof answer)
               || fixture_receive (&fixture, 1, answer, sizeof answer));
  assert_false (fixture_receive (&fixture, 3, answer, sizeof answer));
  assert_int_equal (fixture.server.open, 3);
  fixture_send (&fixture, 4, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0);
  assert_int_equal (fixture.requests, 2);
  fixture_end (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_victim),
    cmocka_unit_test (test_refused_heads),
    cmocka_unit_test (test_memory),
    cmocka_unit_test (test_alone),
    cmocka_unit_test (test_unread),
    cmocka_unit_test (test_connections),
    cmocka_unit_test (test_unread_with_request),
    cmocka_unit_test (test_close_idle_unsent),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
