/* Guards against parts of answers that are taken for whole ones: a server that
 * answers an upload before it has read it, sends a part of the body and resets
 * the connection, in many orders of events. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "http/client.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define LOOPBACK 0x7f000001
#define ROUNDS 25
#define UPLOAD_BYTES (4 * 1024 * 1024)
#define SMALL_BYTES 3000
#define READ_CHUNK_BYTES 4096
#define BUSY_MS 20
#define ORDER_RESET_MS 5
#define HEAD "HTTP/1.1 200 OK\r\nX-Signature: s\r\n"

/* How the server ends the connection after its answer. */
typedef enum
{
  END_RESET,        /* at once, whatever has been read */
  END_CLOSE,        /* with the rest of the upload unread: a reset */
  END_SHUTDOWN,     /* orderly, and reads the rest */
  END_ORDER_RESET,  /* orderly, then a reset, while the client is busy */
  END_CHUNKS_RESET, /* a reset after a pause between parts of the body */
} end_t;

typedef struct
{
  const char *name;
  const char *head;
  const char *tail; /* after the body */
  size_t body_bytes;
  size_t read_bytes; /* of the upload before the answer */
  unsigned wait_ms;  /* between the answer and the end */
  end_t end;
  size_t upload_bytes;
  bool is_whole;
} answer_case_t;

static const answer_case_t cases[] = {
  /* A part of an answer without a length. */
  { "reset after 50 ms", HEAD "\r\n", "", 500, 0, 50, END_RESET, UPLOAD_BYTES,
    false },
  { "reset after 5 ms", HEAD "\r\n", "", 500, 0, 5, END_RESET, UPLOAD_BYTES,
    false },
  { "reset at once", HEAD "\r\n", "", 500, 0, 0, END_RESET, UPLOAD_BYTES,
    false },
  { "reset, 64 KB read", HEAD "\r\n", "", 500, 65536, 5, END_RESET,
    UPLOAD_BYTES, false },
  { "reset, 70,000 bytes answered", HEAD "\r\n", "", 70000, 0, 5, END_RESET,
    UPLOAD_BYTES, false },
  { "closed with the upload unread", HEAD "\r\n", "", 500, 0, 5, END_CLOSE,
    UPLOAD_BYTES, false },
  { "closed at once with the upload unread", HEAD "\r\n", "", 500, 0, 0,
    END_CLOSE, UPLOAD_BYTES, false },
  { "reset between two parts", HEAD "\r\n", "", 500, 4096, 5, END_CHUNKS_RESET,
    UPLOAD_BYTES, false },
  { "events, reset between two of them",
    HEAD "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", "", 0,
    4096, 5, END_RESET, UPLOAD_BYTES, false },
  { "head alone, reset", HEAD "\r\n", "", 0, 0, 5, END_RESET, UPLOAD_BYTES,
    false },
  { "a small request, reset", HEAD "\r\n", "", 500, SMALL_BYTES, 5, END_RESET,
    SMALL_BYTES, false },
  { "a part of a length, reset", HEAD "Content-Length: 600\r\n\r\n", "", 500, 0,
    5, END_RESET, UPLOAD_BYTES, false },
  { "no last chunk, reset", HEAD "Transfer-Encoding: chunked\r\n\r\n1f4\r\n",
    "\r\n", 500, 0, 5, END_RESET, UPLOAD_BYTES, false },
  /* Whole answers. */
  { "ended in order, the upload read", HEAD "\r\n", "", 500, 0, 5, END_SHUTDOWN,
    UPLOAD_BYTES, true },
  { "ended in order, 70,000 bytes", HEAD "\r\n", "", 70000, 65536, 0,
    END_SHUTDOWN, UPLOAD_BYTES, true },
  { "a length, then a reset", HEAD "Content-Length: 500\r\n\r\n", "", 500, 0,
    50, END_RESET, UPLOAD_BYTES, true },
  { "the last chunk, then a reset",
    HEAD "Transfer-Encoding: chunked\r\n\r\n1f4\r\n", "\r\n0\r\n\r\n", 500, 0,
    50, END_RESET, UPLOAD_BYTES, true },
  { "ended in order, then reset, the client busy", HEAD "\r\n", "", 500, 65536,
    0, END_ORDER_RESET, UPLOAD_BYTES, true },
  { "a length, then closed", HEAD "Content-Length: 500\r\n\r\n", "", 500, 0, 50,
    END_CLOSE, UPLOAD_BYTES, true },
};

typedef struct
{
  int listener;
  uint16_t port;
  const answer_case_t *row;
  pthread_t thread;
} early_server_t;

static void
pause_ms (unsigned wait_ms)
{
  struct timespec wait = { wait_ms / 1000, (long)(wait_ms % 1000) * 1000000 };

  nanosleep (&wait, NULL);
}

static void
send_all (int fd, const char *bytes, size_t count)
{
  while (count > 0)
    {
      ssize_t sent = send (fd, bytes, count, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      bytes += sent;
      count -= (size_t)sent;
    }
}

/* Reads some of the upload; all of it if `count` is SIZE_MAX. */
static void
read_some (int fd, size_t count)
{
  char chunk[READ_CHUNK_BYTES];
  ssize_t got = 1;

  for (size_t total = 0; total < count && got > 0; total += (size_t)got)
    got = recv (fd, chunk, sizeof chunk, 0);
}

static void
serve (int fd, const answer_case_t *row)
{
  char *body = malloc (row->body_bytes + 1);
  struct linger now = { 1, 0 };

  memset (body, 'x', row->body_bytes);
  read_some (fd, row->read_bytes);
  send_all (fd, row->head, strlen (row->head));
  send_all (fd, body, row->body_bytes / 2);
  if (row->end == END_CHUNKS_RESET)
    pause_ms (row->wait_ms);
  send_all (fd, body, row->body_bytes - row->body_bytes / 2);
  send_all (fd, row->tail, strlen (row->tail));
  pause_ms (row->wait_ms);
  if (row->end == END_SHUTDOWN)
    {
      shutdown (fd, SHUT_WR);
      read_some (fd, SIZE_MAX);
    }
  /* The kernel ends a connection in order if nothing is unread at its close. */
  if (row->end == END_CLOSE)
    recv (fd, body, 1, MSG_PEEK);
  if (row->end == END_ORDER_RESET)
    {
      shutdown (fd, SHUT_WR);
      pause_ms (ORDER_RESET_MS);
    }
  if (row->end != END_CLOSE && row->end != END_SHUTDOWN)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
  free (body);
}

static void *
server_run (void *context)
{
  early_server_t *server = context;

  for (int i = 0; i < ROUNDS; i++)
    {
      int fd = accept (server->listener, NULL, NULL);

      if (fd < 0)
        break;
      serve (fd, server->row);
    }
  return NULL;
}

static void
server_start (early_server_t *server, const answer_case_t *row)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t bytes = sizeof at;

  at.sin_addr.s_addr = htonl (LOOPBACK);
  server->row = row;
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (server->listener, (struct sockaddr *)&at, sizeof at),
                    0);
  assert_int_equal (listen (server->listener, ROUNDS), 0);
  getsockname (server->listener, (struct sockaddr *)&at, &bytes);
  server->port = ntohs (at.sin_port);
  assert_int_equal (pthread_create (&server->thread, NULL, server_run, server),
                    0);
}

static void
server_end (early_server_t *server)
{
  pthread_join (server->thread, NULL);
  close (server->listener);
}

typedef struct
{
  struct event_base *base;
  bool done;
  ca_http_outcome_t outcome;
  uint32_t status;
  size_t bytes;
  bool is_busy; /* at the head */
} result_t;

static ca_http_head_action_t
on_head (void *context, const ca_http_head_t *head)
{
  result_t *result = context;

  result->status = head->status;
  if (result->is_busy)
    pause_ms (BUSY_MS);
  return CA_HTTP_HEAD_ACCEPT;
}

static bool
on_body (void *context, const char *bytes, size_t count)
{
  (void)bytes;
  ((result_t *)context)->bytes += count;
  return true;
}

static void
on_done (void *context, ca_http_outcome_t outcome)
{
  result_t *result = context;

  result->done = true;
  result->outcome = outcome;
  event_base_loopbreak (result->base);
}

static result_t
upload (ca_http_pool_t *pool, const early_server_t *server)
{
  static char body[UPLOAD_BYTES];
  result_t result
      = { .base = pool->base, .is_busy = server->row->end == END_ORDER_RESET };
  const ca_http_pool_call_options_t options
      = { .address = { LOOPBACK, server->port },
          .method = "POST",
          .target = "/x",
          .body = body,
          .body_bytes = server->row->upload_bytes,
          .connect_timeout_ms = 1000,
          .timeout_ms = 2000,
          .on_head = on_head,
          .on_body = on_body,
          .on_done = on_done,
          .context = &result };

  ca_http_pool_call_start (pool, &options);
  while (!result.done)
    event_base_loop (pool->base, EVLOOP_ONCE);
  return result;
}

static void
check_case (const answer_case_t *row)
{
  struct event_base *base = event_base_new ();
  early_server_t server;
  ca_http_pool_t pool;
  unsigned whole = 0;
  struct timespec started;
  struct timespec ended;

  server_start (&server, row);
  ca_http_pool_init (&pool, base);
  clock_gettime (CLOCK_MONOTONIC, &started);
  for (int i = 0; i < ROUNDS; i++)
    {
      result_t result = upload (&pool, &server);

      whole += result.outcome == CA_HTTP_OUTCOME_COMPLETE;
      if (row->is_whole)
        assert_int_equal (result.bytes, row->body_bytes);
    }
  clock_gettime (CLOCK_MONOTONIC, &ended);
  ca_http_pool_finish (&pool);
  /* Freed connections are released in the event loop. */
  event_base_loop (base, EVLOOP_NONBLOCK);
  server_end (&server);
  event_base_free (base);
  print_message ("%s: %u of %d complete\n", row->name, whole, ROUNDS);
  assert_int_equal (whole, row->is_whole ? ROUNDS : 0);
  /* None waits for its deadline. */
  assert_true (ended.tv_sec - started.tv_sec < ROUNDS);
}

static void
test_parts (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      if (!cases[i].is_whole)
        check_case (&cases[i]);
    }
}

static void
test_whole_answers (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      if (cases[i].is_whole)
        check_case (&cases[i]);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_parts),
    cmocka_unit_test (test_whole_answers),
  };

  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
