/* Guards against a response that is put together from two: a server stops at
 * any byte of a response on a connection that has carried another one, and goes
 * on with a second response, with other bytes or with none.
 *
 * Each byte of several forms of response is combined with each continuation and
 * each end of the connection.  Nothing depends on time: a call that has not
 * ended when no more bytes are under way is waiting. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "http/client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LOOPBACK 0x7f000001
#define TEXT_BYTES 2048
#define LONG_BODY_BYTES 700
#define EVENTS 8

/* Turns of the event loop without an event after which no byte is under way. */
#define IDLE_TURNS 3

#define MAX_PRINTED 10

/* Bytes from one tear of a long response to the next. */
#define LONG_STEP 29

typedef enum
{
  FRAMING_LENGTH,
  FRAMING_CHUNKS,
  FRAMING_END /* of the connection */
} framing_t;

typedef enum
{
  BODY_SHORT,
  BODY_LONG,
  BODY_EVENTS,
  BODIES
} body_t;

/* What follows the part of the response. */
typedef enum
{
  NEXT_EARLIER,         /* the response to the request before */
  NEXT_EARLIER_REFUSAL, /* one that says that a request did not run */
  NEXT_COPY,            /* the response itself, whole */
  NEXT_EARLIER_UNNAMED, /* the one before, without the id */
  NEXT_UNNAMED_REFUSAL, /* a refusal that names no request */
  NEXT_OTHER_BYTES,     /* that are no response */
  NEXT_NOTHING,
  NEXTS
} next_t;

typedef enum
{
  END_SILENCE,
  END_ORDERLY,
  END_RESET,
  ENDS
} end_t;

typedef struct
{
  framing_t framing;
  body_t body;
  size_t tear; /* bytes of the response that are sent */
  next_t next;
  size_t split; /* bytes of what follows that are sent with them */
  end_t end;
} torn_case_t;

typedef struct
{
  char text[TEXT_BYTES];
  size_t bytes;
  size_t head_bytes;
  char body[TEXT_BYTES];
  size_t whole_bytes; /* up to the end of the body's last byte */
} response_t;

/* State of one case. */
typedef struct
{
  struct event_base *base;
  struct evconnlistener *listener;
  ca_address_t address;
  ca_http_pool_t pool;
  torn_case_t row;
  const char *quoting; /* sent in place of the torn response, or NULL */
  struct bufferevent *streams[4];
  size_t stream_count;
  struct bufferevent *torn; /* the connection of the torn response */
  char rest[TEXT_BYTES];    /* to be sent there */
  size_t rest_bytes;
  /* The call in progress. */
  const char *id;
  bool done;
  ca_http_outcome_t outcome;
  uint32_t status;
  bool not_run;
  char body[2 * TEXT_BYTES];
  size_t bytes;
} world_t;

static world_t world;
static unsigned failures;
static unsigned cases;

static void
make_body (char *text, body_t kind, const char *id)
{
  size_t used = 0;

  switch (kind)
    {
    case BODY_EVENTS:
      for (unsigned i = 1; i <= EVENTS; i++)
        used += (size_t)sprintf (text + used,
                                 "id: %u\ndata: %s piece %u of a longer text "
                                 "with some more words\n\n",
                                 i, id, i);
      break;
    case BODY_LONG:
      used = (size_t)sprintf (text, "answer to %s ", id);
      memset (text + used, 'x', LONG_BODY_BYTES - used);
      text[LONG_BODY_BYTES] = '\0';
      break;
    default:
      sprintf (text, "answer to %s", id);
      break;
    }
}

/* Writes the body as two chunks. */
static size_t
make_chunks (char *text, const char *body)
{
  int bytes = (int)strlen (body);
  int first = bytes / 8;

  return (size_t)sprintf (text, "%x\r\n%.*s\r\n%x;part=2\r\n%s\r\n",
                          (unsigned)first, first, body,
                          (unsigned)(bytes - first), body + first);
}

static void
make_response (response_t *response, framing_t framing, body_t body,
               const char *id)
{
  char *text = response->text;
  size_t used;

  make_body (response->body, body, id);
  used = (size_t)sprintf (text,
                          "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s.%s\r\n"
                          "Content-Type: text/%s\r\nDate: Mon, 07 Dec 2026\r\n",
                          id, id,
                          body == BODY_EVENTS ? "event-stream" : "plain");
  if (framing == FRAMING_LENGTH)
    used += (size_t)sprintf (text + used, "Content-Length: %zu\r\n",
                             strlen (response->body));
  else if (framing == FRAMING_CHUNKS)
    used += (size_t)sprintf (text + used, "Transfer-Encoding: chunked\r\n");
  used += (size_t)sprintf (text + used, "\r\n");
  response->head_bytes = used;
  if (framing == FRAMING_CHUNKS)
    used += make_chunks (text + used, response->body);
  else
    used += (size_t)sprintf (text + used, "%s", response->body);
  response->whole_bytes = used;
  if (framing == FRAMING_CHUNKS)
    used += (size_t)sprintf (text + used, "0\r\n\r\n");
  response->bytes = used;
}

static void
make_next (response_t *next, const torn_case_t *row)
{
  switch (row->next)
    {
    case NEXT_EARLIER:
      make_response (next, FRAMING_LENGTH, BODY_SHORT, "first");
      return;
    case NEXT_COPY:
      make_response (next, row->framing, row->body, "second");
      return;
    case NEXT_EARLIER_REFUSAL:
      strcpy (next->text, "HTTP/1.1 503 Service Unavailable\r\nX-Id: first\r\n"
                          "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      break;
    case NEXT_EARLIER_UNNAMED:
      strcpy (next->text, "HTTP/1.1 200 OK\r\nX-Signature: s.first\r\n"
                          "Content-Length: 5\r\n\r\nother");
      break;
    case NEXT_UNNAMED_REFUSAL:
      strcpy (next->text, "HTTP/1.1 503 Service Unavailable\r\n"
                          "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      break;
    case NEXT_OTHER_BYTES:
      strcpy (next->text, "\x01some bytes that are no response at all\x02");
      break;
    default:
      next->text[0] = '\0';
      break;
    }
  next->bytes = strlen (next->text);
}

/* Runs the event loop until nothing happens any more. */
static void
settle (void)
{
  for (unsigned idle = 0; idle < IDLE_TURNS; idle++)
    event_base_loop (world.base, EVLOOP_NONBLOCK);
}

/* Writes bytes of a response; the client may have closed the connection. */
static void
server_write (struct bufferevent *stream, const char *bytes, size_t count)
{
  ssize_t sent;

  if (count == 0)
    return;
  sent = send (bufferevent_getfd (stream), bytes, count, MSG_NOSIGNAL);
  assert_true (sent == (ssize_t)count || errno == EPIPE || errno == ECONNRESET);
}

/* Ends the connection of the torn response as the case says. */
static void
server_end_connection (void)
{
  struct bufferevent *stream = world.torn;
  struct linger now = { 1, 0 };
  evutil_socket_t fd = bufferevent_getfd (stream);

  if (world.row.end == END_ORDERLY)
    shutdown (fd, SHUT_WR);
  else if (world.row.end == END_RESET)
    {
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      for (size_t i = 0; i < world.stream_count; i++)
        {
          if (world.streams[i] == stream)
            world.streams[i] = NULL;
        }
      bufferevent_free (stream);
    }
}

/* Sends the torn response of the case. */
static void
server_tear (struct bufferevent *stream)
{
  const torn_case_t *row = &world.row;
  response_t own;
  response_t next;
  char joined[2 * TEXT_BYTES];

  make_response (&own, row->framing, row->body, "second");
  make_next (&next, row);
  memcpy (joined, own.text, row->tear);
  memcpy (joined + row->tear, next.text, next.bytes);
  server_write (stream, joined, row->tear + row->split);
  world.torn = stream;
  world.rest_bytes = next.bytes - row->split;
  memcpy (world.rest, next.text + row->split, world.rest_bytes);
}

static void
server_read (struct bufferevent *stream, void *context)
{
  struct evbuffer *input = bufferevent_get_input (stream);
  char request[TEXT_BYTES] = "";
  response_t response;

  (void)context;
  if (evbuffer_search (input, "\r\n\r\n", 4, NULL).pos < 0)
    return;
  evbuffer_remove (input, request, sizeof request - 1);
  if (strstr (request, "X-Id: second") != NULL)
    {
      if (world.quoting != NULL)
        server_write (stream, world.quoting, strlen (world.quoting));
      else
        server_tear (stream);
      return;
    }
  make_response (&response, FRAMING_LENGTH, BODY_SHORT,
                 strstr (request, "X-Id: first") != NULL ? "first" : "third");
  server_write (stream, response.text, response.bytes);
}

static void
server_accept (struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *from, int length, void *context)
{
  int on = 1;
  struct bufferevent *stream
      = bufferevent_socket_new (world.base, fd, BEV_OPT_CLOSE_ON_FREE);

  (void)listener;
  (void)from;
  (void)length;
  (void)context;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  assert_true (world.stream_count
               < sizeof world.streams / sizeof world.streams[0]);
  world.streams[world.stream_count++] = stream;
  bufferevent_setcb (stream, server_read, NULL, NULL, NULL);
  bufferevent_enable (stream, EV_READ | EV_WRITE);
}

static ca_http_head_action_t
on_head (void *context, const ca_http_head_t *head)
{
  const char *id = ca_headers_find (&head->headers, "X-Id");

  (void)context;
  if (id == NULL || strcmp (id, world.id) != 0)
    return CA_HTTP_HEAD_SKIP;
  world.status = head->status;
  world.not_run = ca_headers_find (&head->headers, "X-Not-Run") != NULL;
  return CA_HTTP_HEAD_ACCEPT;
}

static bool
on_body (void *context, const char *bytes, size_t count)
{
  (void)context;
  assert_true (world.bytes + count < sizeof world.body);
  memcpy (world.body + world.bytes, bytes, count);
  world.bytes += count;
  world.body[world.bytes] = '\0';
  return true;
}

static void
on_done (void *context, ca_http_outcome_t outcome)
{
  (void)context;
  world.done = true;
  world.outcome = outcome;
}

static ca_http_pool_call_t *
start_call (const char *id)
{
  static const char *const identity_fields[] = { "X-Id", "X-Signature", NULL };
  ca_headers_t headers;
  ca_http_pool_call_t *call;
  ca_http_pool_call_options_t options = { .address = world.address,
                                          .method = "POST",
                                          .target = "/x",
                                          .headers = &headers,
                                          .connect_timeout_ms = 5000,
                                          .max_idle_ms = 10000,
                                          .identity_fields = identity_fields,
                                          .on_head = on_head,
                                          .on_body = on_body,
                                          .on_done = on_done };

  world.id = id;
  world.done = false;
  world.status = 0;
  world.not_run = false;
  world.bytes = 0;
  world.body[0] = '\0';
  ca_headers_init (&headers);
  ca_headers_add (&headers, "X-Id", id);
  call = ca_http_pool_call_start (&world.pool, &options);
  ca_headers_finish (&headers);
  return call;
}

/* Makes a call; it is cancelled if it does not end. */
static void
make_call (const char *id)
{
  ca_http_pool_call_t *call = start_call (id);

  settle ();
  if (world.torn != NULL && strcmp (id, "second") == 0)
    {
      server_write (world.torn, world.rest, world.rest_bytes);
      settle ();
      server_end_connection ();
      settle ();
    }
  if (!world.done)
    ca_http_pool_call_cancel (call);
}

static void
fail_case (const char *what)
{
  static const char *const framings[] = { "length", "chunks", "to the end" };
  static const char *const bodies[] = { "short", "long", "events" };
  static const char *const nexts[] = { "the earlier response",
                                       "a refusal of the earlier request",
                                       "the response itself",
                                       "the earlier response without its id",
                                       "a refusal without id",
                                       "other bytes",
                                       "nothing" };
  static const char *const ends[] = { "silence", "an end", "a reset" };
  const torn_case_t *row = &world.row;

  if (failures++ < MAX_PRINTED)
    print_message ("%s: body %s, by %s, %zu bytes of it, then %zu bytes and "
                   "the rest of %s, then %s; outcome %d, status %u, body %s\n",
                   what, bodies[row->body], framings[row->framing], row->tear,
                   row->split, nexts[row->next], ends[row->end],
                   world.done ? (int)world.outcome : -1, world.status,
                   world.body);
}

/* True if no bytes show that the response is not whole: what fills its body
 * names no response of the connection, or goes on where only the end of the
 * connection would end it. */
static bool
is_indistinguishable (const torn_case_t *row, const response_t *own,
                      const response_t *next)
{
  bool has_end = row->framing != FRAMING_END;

  if (row->next < NEXT_UNNAMED_REFUSAL || row->tear < own->head_bytes)
    return false;
  if (row->tear >= own->whole_bytes)
    return !has_end && row->next != NEXT_NOTHING;
  return row->next != NEXT_UNNAMED_REFUSAL || !has_end
         || row->tear + next->bytes <= own->whole_bytes;
}

/* Number of the response's events that a reader of the body passes on; -1 if it
 * passes on anything else. */
static int
count_events (const response_t *own)
{
  size_t used = 0;
  int events = 0;

  for (;;)
    {
      const char *lf = strstr (world.body + used, "\n\n");
      const char *crlf = strstr (world.body + used, "\r\n\r\n");
      size_t end;

      if (lf == NULL && crlf == NULL)
        return events;
      if (lf != NULL && (crlf == NULL || lf < crlf))
        end = (size_t)(lf - world.body) + 2;
      else
        end = (size_t)(crlf - world.body) + 4;
      if (strncmp (own->body + used, world.body + used, end - used) != 0)
        return -1;
      used = end;
      events++;
    }
}

/* True if the bytes end the call, whatever comes after them: more than nothing
 * of the response, and then the head of one that is named. */
static bool
must_end (const torn_case_t *row, const response_t *own)
{
  return row->tear > 0 && row->tear < own->whole_bytes
         && row->next <= NEXT_EARLIER_UNNAMED;
}

static void
check_case (void)
{
  const torn_case_t *row = &world.row;
  response_t own;
  response_t next;
  bool is_whole;

  make_response (&own, row->framing, row->body, "second");
  make_next (&next, row);
  is_whole = world.done && world.outcome == CA_HTTP_OUTCOME_COMPLETE;
  if (world.done && world.not_run && is_whole)
    fail_case ("a refusal of another request");
  if (is_whole && strcmp (world.body, own.body) != 0
      && !is_indistinguishable (row, &own, &next))
    fail_case ("a body of two responses");
  if (row->body == BODY_EVENTS && count_events (&own) < 0
      && !is_indistinguishable (row, &own, &next))
    fail_case ("an event of two responses");
  if (must_end (row, &own) && (is_whole || !world.done))
    fail_case (is_whole ? "a whole response" : "no end");
  if (row->tear >= own.bytes && !is_whole && row->framing != FRAMING_END)
    fail_case ("no whole response");
}

/* The connection of a torn response, or with bytes left on it, carries no other
 * call. */
static void
check_next_call (void)
{
  const torn_case_t *row = &world.row;
  response_t own;
  response_t next;
  bool is_used_up;
  bool is_clean;

  make_response (&own, row->framing, row->body, "second");
  make_next (&next, row);
  is_used_up = row->tear + next.bytes <= own.bytes;
  is_clean = world.done && world.outcome == CA_HTTP_OUTCOME_COMPLETE
             && row->end == END_SILENCE && is_used_up;
  make_call ("third");
  if (!world.done || world.outcome != CA_HTTP_OUTCOME_COMPLETE
      || strcmp (world.body, "answer to third") != 0)
    fail_case ("the next call");
  if (!is_clean && world.pool.opened != 2)
    fail_case ("the next call's connection");
}

static void
run_case (const torn_case_t *row)
{
  cases++;
  world.row = *row;
  world.stream_count = 0;
  world.torn = NULL;
  ca_http_pool_init (&world.pool, world.base);
  make_call ("first");
  assert_true (world.done);
  make_call ("second");
  check_case ();
  check_next_call ();
  ca_http_pool_finish (&world.pool);
  for (size_t i = 0; i < world.stream_count; i++)
    {
      if (world.streams[i] != NULL)
        bufferevent_free (world.streams[i]);
    }
}

static void
world_start (void)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t bytes = sizeof at;

  at.sin_addr.s_addr = htonl (LOOPBACK);
  world.base = event_base_new ();
  world.listener = evconnlistener_new_bind (world.base, server_accept, NULL,
                                            LEV_OPT_CLOSE_ON_FREE, -1,
                                            (struct sockaddr *)&at, sizeof at);
  getsockname (evconnlistener_get_fd (world.listener), (struct sockaddr *)&at,
               &bytes);
  world.address = (ca_address_t){ LOOPBACK, ntohs (at.sin_port) };
  failures = 0;
  cases = 0;
}

static void
world_end (void)
{
  evconnlistener_free (world.listener);
  event_base_free (world.base);
  print_message ("%u failed checks in %u cases\n", failures, cases);
  assert_int_equal (failures, 0);
}

/* Each place at which a response may stop, with each continuation and end. */
static void
test_each_tear (void **state)
{
  (void)state;
  world_start ();
  for (framing_t framing = 0; framing <= FRAMING_END; framing++)
    for (body_t body = 0; body < BODIES; body++)
      {
        response_t own;

        make_response (&own, framing, body, "second");
        for (size_t tear = 0; tear <= own.bytes; tear++)
          for (next_t next = 0; next < NEXTS; next++)
            for (end_t end = 0; end < ENDS; end++)
              {
                torn_case_t row = { framing, body, tear, next, 0, end };
                response_t rest;

                make_next (&rest, &row);
                row.split = rest.bytes;
                run_case (&row);
              }
      }
  world_end ();
}

/* What follows arrives in two parts, split at each byte from the first that
 * shows another response to begin. */
static void
split_at_each_byte (framing_t framing, body_t body, size_t step)
{
  response_t own;

  make_response (&own, framing, body, "second");
  for (size_t tear = 1; tear < own.bytes; tear += step)
    for (next_t next = 0; next <= NEXT_EARLIER_UNNAMED; next++)
      {
        torn_case_t row = { framing, body, tear, next, 0, END_SILENCE };
        response_t rest;

        make_next (&rest, &row);
        for (row.split = sizeof "HTTP/" - 1; row.split < rest.bytes;
             row.split++)
          run_case (&row);
      }
}

static void
test_each_split (void **state)
{
  (void)state;
  world_start ();
  split_at_each_byte (FRAMING_LENGTH, BODY_SHORT, 1);
  split_at_each_byte (FRAMING_LENGTH, BODY_LONG, LONG_STEP);
  split_at_each_byte (FRAMING_CHUNKS, BODY_SHORT, LONG_STEP);
  split_at_each_byte (FRAMING_CHUNKS, BODY_EVENTS, LONG_STEP);
  world_end ();
}

#define QUOTED_HEAD "HTTP/1.1 200 OK\r\nX-Id: second\r\nX-Signature: s\r\n"
#define STATUS_LINE "HTTP/1.1 200 OK\r\n"

typedef struct
{
  const char *response;
  const char *body;
} quoting_case_t;

/* Whole responses whose bodies quote others; some with bytes after them. */
static const quoting_case_t quoting_cases[] = {
  { QUOTED_HEAD "Content-Length: 17\r\n\r\n" STATUS_LINE, STATUS_LINE },
  { QUOTED_HEAD "Content-Length: 15\r\n\r\nHTTP/1.1 200 OK",
    "HTTP/1.1 200 OK" },
  { QUOTED_HEAD "Content-Length: 5\r\n\r\nHTTP/", "HTTP/" },
  { QUOTED_HEAD "Content-Length: 15\r\n\r\nHTTP/1.1 200 OK" QUOTED_HEAD
                "Content-Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK" },
  { QUOTED_HEAD "Content-Length: 15\r\n\r\nHTTP/1.1 200 OK\x01 other bytes\r\n",
    "HTTP/1.1 200 OK" },
  { QUOTED_HEAD "Content-Length: 49\r\n\r\n" STATUS_LINE
                "X-Id: of another connection\r\n\r\n\r",
    STATUS_LINE "X-Id: of another connection\r\n\r\n\r" },
  { QUOTED_HEAD "Content-Length: 29\r\n\r\n" STATUS_LINE "X-Id: second",
    STATUS_LINE "X-Id: second" },
  { QUOTED_HEAD
    "Content-Length: 35\r\n\r\nGET /x HTTP/1.1\r\nX-Id: second\r\n\r\n"
    "\r\n",
    "GET /x HTTP/1.1\r\nX-Id: second\r\n\r\n\r\n" },
  { QUOTED_HEAD
    "Transfer-Encoding: chunked\r\n\r\n"
    "1b\r\nid: 1\ndata: HTTP/1.1 200 OK\r\n13\r\n\ndata: X-Id: second"
    "\r\n2\r\n\n\n\r\n0\r\n\r\n",
    "id: 1\ndata: HTTP/1.1 200 OK\ndata: X-Id: second\n\n" },
};

/* Guards against whole responses that are taken for two. */
static void
test_quoting_responses (void **state)
{
  (void)state;
  world_start ();
  for (size_t i = 0; i < sizeof quoting_cases / sizeof quoting_cases[0]; i++)
    {
      const quoting_case_t *row = &quoting_cases[i];

      world.quoting = row->response;
      world.stream_count = 0;
      world.torn = NULL;
      ca_http_pool_init (&world.pool, world.base);
      make_call ("first");
      start_call ("second");
      while (!world.done)
        event_base_loop (world.base, EVLOOP_ONCE);
      if (world.outcome != CA_HTTP_OUTCOME_COMPLETE
          || strcmp (world.body, row->body) != 0)
        {
          failures++;
          print_message ("case %zu: outcome %d, body %s\n", i,
                         (int)world.outcome, world.body);
        }
      cases++;
      ca_http_pool_finish (&world.pool);
      for (size_t k = 0; k < world.stream_count; k++)
        bufferevent_free (world.streams[k]);
    }
  world.quoting = NULL;
  world_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_each_tear),
    cmocka_unit_test (test_each_split),
    cmocka_unit_test (test_quoting_responses),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
