/* Guards against whole responses that are cut while their client still reads
 * them, more slowly than the server's time-outs: as it closes the connection,
 * as this is idle, and as the process stops. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "http/server.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOOPBACK 0x7f000001
#define IDLE_MS 400

/* More than the kernel's buffers hold, read at so many bytes each turn: for
 * longer than all time-outs. */
#define BODY_BYTES (12 * 1024 * 1024)
#define TURN_BYTES (64 * 1024)
#define TURN_MS 15
#define RECEIVE_BYTES (32 * 1024)
#define SEGMENT_BYTES 1460

typedef struct
{
  struct event_base *base;
  ca_http_server_t server;
  ca_address_t address;
  char *body;
} world_t;

static world_t world;

static void
on_request (void *context, ca_http_server_request_t *request)
{
  (void)context;
  ca_http_respond (request, 200, NULL, world.body, BODY_BYTES);
}

static void
on_disconnect (void *context, ca_http_server_request_t *request)
{
  (void)context;
  (void)request;
}

static void
world_start (void)
{
  ca_http_handler_t handler = { on_request, on_disconnect, NULL };
  ca_http_limits_t limits = { 1024, 4096, 200, IDLE_MS };
  ca_error_t error;

  memset (&world, 0, sizeof world);
  world.base = event_base_new ();
  world.body = calloc (1, BODY_BYTES);
  world.address.ip = LOOPBACK;
  ca_error_init (&error);
  for (world.address.port = 19400; world.address.port < 19600;
       world.address.port++)
    {
      if (ca_http_server_init (&world.server, world.base, &world.address,
                               &handler, &limits, &error))
        return;
    }
  fail ();
}

static void
world_end (void)
{
  ca_http_server_finish (&world.server);
  event_base_free (world.base);
  free (world.body);
}

static void
run_server (unsigned run_ms)
{
  struct timeval step = { 0, (suseconds_t)run_ms * 1000 };

  event_base_loopexit (world.base, &step);
  event_base_dispatch (world.base);
}

static int
client_connect (void)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int receive_bytes = RECEIVE_BYTES;
  int segment_bytes = SEGMENT_BYTES;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
              sizeof segment_bytes);
  to.sin_addr.s_addr = htonl (LOOPBACK);
  to.sin_port = htons (world.address.port);
  assert_int_equal (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  return fd;
}

/* Sends a request and reads the response slowly; returns its bytes, with the
 * head.  Stops the server's connections after the first turn if asked to. */
static size_t
read_slowly (const char *request, bool stops)
{
  static char bytes[TURN_BYTES];
  int fd = client_connect ();
  size_t total = 0;

  assert_int_equal (write (fd, request, strlen (request)), strlen (request));
  for (unsigned turn = 0; total < BODY_BYTES; turn++)
    {
      ssize_t got;

      run_server (TURN_MS);
      if (stops && turn > 0)
        ca_http_server_close_idle (&world.server);
      got = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
      if (got == 0 || (got < 0 && turn > 0 && world.server.open == 0))
        break;
      if (got > 0)
        total += (size_t)got;
    }
  close (fd);
  run_server (TURN_MS);
  return total;
}

static void
check_whole (const char *request, bool stops)
{
  size_t bytes;

  world_start ();
  bytes = read_slowly (request, stops);
  print_message ("%zu of %d bytes\n", bytes, BODY_BYTES);
  assert_true (bytes >= BODY_BYTES);
  world_end ();
}

static void
test_closing_connection (void **state)
{
  (void)state;
  check_whole ("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
               false);
}

static void
test_idle_connection (void **state)
{
  (void)state;
  check_whole ("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", false);
}

static void
test_stopping_process (void **state)
{
  (void)state;
  check_whole ("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", true);
}

/* A client that reads nothing does not keep its connection. */
static void
test_client_that_stops_reading (void **state)
{
  static const char request[]
      = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  int fd;

  (void)state;
  world_start ();
  fd = client_connect ();
  assert_int_equal (write (fd, request, sizeof request - 1),
                    sizeof request - 1);
  for (unsigned turn = 0; turn == 0 || world.server.open > 0; turn++)
    run_server (TURN_MS);
  close (fd);
  world_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_closing_connection),
    cmocka_unit_test (test_idle_connection),
    cmocka_unit_test (test_stopping_process),
    cmocka_unit_test (test_client_that_stops_reading),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
