/* Stand-in for an endpoint in trouble, which answers before it has read the
 * request, or with an odd status.
 *
 *   site-early --port N
 *
 * The last part of the path names what it does with a connection: "reset" and
 * "close" send a part of a body without a length and end with a reset, by
 * itself or as the request is unread; "events" does so after an event; "whole"
 * reads the request and ends in order; "length" sends a body with its length
 * and then resets; "status-TEXT" answers with that status, an interim one
 * followed by 200.  "torn-PLACE-NEXT" stops in its answer, within a field's
 * "value", the "body", a "chunk" or an "event", and goes on with the "late"
 * answer to the connection's earlier request, once more, or with a "refusal" of
 * that one; on a new connection the answer is whole.  All else is answered with
 * 200.  Prints a line for each request. */
#include "tests/site/site.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* So that the rest of an upload stays with its sender. */
#define EARLY_RECEIVE_BYTES 4096
#define EARLY_WAIT_MS 50
#define EARLY_BODY_BYTES 500
#define EARLY_TEXT_BYTES 128
#define EARLY_ANSWER_BYTES 1024
#define EARLY_TORN_BODY                                                        \
  "a body that is longer than the answer to another request: %0250d"

typedef struct
{
  struct event_base *base;
  struct bufferevent *stream;
  struct event *timer;
  char id[EARLY_TEXT_BYTES];
  char form[EARLY_TEXT_BYTES];
  bool answered;
  uint64_t unread;                   /* bytes of the request */
  char earlier_id[EARLY_TEXT_BYTES]; /* of the connection's latest request */
} early_t;

static void
early_free (early_t *early)
{
  bufferevent_free (early->stream);
  event_free (early->timer);
  free (early);
}

static bool
early_is (const early_t *early, const char *form)
{
  return strcmp (early->form, form) == 0;
}

/* Writes a head without a length. */
static void
early_write_head (early_t *early, const char *status, const char *more)
{
  evbuffer_add_printf (bufferevent_get_output (early->stream),
                       "HTTP/1.1 %s\r\nCamphorarch-Attempt-Id: %s\r\n"
                       "Camphorarch-Replica-Signature: s.%s\r\n"
                       "Camphorarch-Replica-Id: i-1\r\n%s\r\n",
                       status, early->id, early->id, more);
}

static void
early_write_body (early_t *early, size_t count)
{
  char body[EARLY_BODY_BYTES];

  memset (body, 'x', sizeof body);
  bufferevent_write (early->stream, body, count);
}

/* Writes what follows the torn part of an answer. */
static void
early_write_next (early_t *early)
{
  struct evbuffer *output = bufferevent_get_output (early->stream);

  if (strstr (early->form, "-refusal") != NULL)
    evbuffer_add_printf (output,
                         "HTTP/1.1 503 Service Unavailable\r\n"
                         "Camphorarch-Attempt-Id: %s\r\n"
                         "Camphorarch-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n",
                         early->earlier_id);
  else
    evbuffer_add_printf (output,
                         "HTTP/1.1 200 OK\r\nCamphorarch-Attempt-Id: %s\r\n"
                         "Camphorarch-Replica-Signature: s.%s\r\n"
                         "Content-Length: 5\r\n\r\nLATE!",
                         early->earlier_id, early->earlier_id);
}

static void
early_on_timer (evutil_socket_t fd, short what, void *context)
{
  early_t *early = context;
  struct linger now = { 1, 0 };

  (void)fd;
  (void)what;
  if (strncmp (early->form, "torn-", strlen ("torn-")) == 0)
    {
      early_write_next (early);
      return;
    }
  if (!early_is (early, "close") && !early_is (early, "whole"))
    setsockopt (bufferevent_getfd (early->stream), SOL_SOCKET, SO_LINGER, &now,
                sizeof now);
  early_free (early);
}

/* Writes an answer that stops in the place that the form names, or a whole one
 * on a connection that has carried no other. */
static void
early_answer_torn (early_t *early)
{
  struct timeval wait = { 0, EARLY_WAIT_MS * 1000 };
  bool is_event = strncmp (early->form, "torn-event-", 11) == 0;
  bool is_chunk = strncmp (early->form, "torn-chunk-", 11) == 0;
  char body[EARLY_ANSWER_BYTES];
  char fields[EARLY_TEXT_BYTES];
  char framed[EARLY_ANSWER_BYTES + EARLY_TEXT_BYTES];
  int bytes = snprintf (body, sizeof body,
                        is_event ? "id: 1\ndata: a\n\nid: 2\ndata: %0250d\n\n"
                                 : EARLY_TORN_BODY,
                        7);

  snprintf (fields, sizeof fields, "Content-Type: text/%s\r\n%s",
            is_event ? "event-stream" : "plain",
            is_chunk ? "Transfer-Encoding: chunked\r\n" : "");
  if (!is_chunk)
    snprintf (fields + strlen (fields), sizeof fields - strlen (fields),
              "Content-Length: %d\r\n", bytes);
  if (is_chunk)
    snprintf (framed, sizeof framed, "%x\r\n%s\r\n0\r\n\r\n", (unsigned)bytes,
              body);
  else
    strlcpy (framed, body, sizeof framed);
  if (early->earlier_id[0] == '\0')
    {
      early_write_head (early, "200 OK", fields);
      bufferevent_write (early->stream, framed, strlen (framed));
      return;
    }
  if (strncmp (early->form, "torn-value-", 11) == 0)
    evbuffer_add_printf (bufferevent_get_output (early->stream),
                         "HTTP/1.1 200 OK\r\nCamphorarch-Attempt-Id: %s\r\n"
                         "Camphorarch-Replica-Signature: s.%s\r\nDate: Mon, ",
                         early->id, early->id);
  else
    {
      early_write_head (early, "200 OK", fields);
      bufferevent_write (early->stream, framed, is_event ? 30 : 10);
    }
  event_add (early->timer, &wait);
}

static void
early_answer_status (early_t *early, const char *text)
{
  char status[EARLY_TEXT_BYTES];

  if (strcmp (text, "100") == 0 || strcmp (text, "103") == 0)
    evbuffer_add_printf (bufferevent_get_output (early->stream),
                         "HTTP/1.1 %s Interim\r\n\r\n", text);
  snprintf (status, sizeof status, "%.20s OK",
            strcmp (text, "100") == 0 || strcmp (text, "103") == 0 ? "200"
                                                                   : text);
  early_write_head (early, status, "Content-Length: 2\r\n");
  bufferevent_write (early->stream, "hi", 2);
}

static void
early_answer (early_t *early)
{
  struct timeval wait = { 0, EARLY_WAIT_MS * 1000 };

  early->answered = true;
  if (strncmp (early->form, "status-", strlen ("status-")) == 0)
    {
      early_answer_status (early, early->form + strlen ("status-"));
      return;
    }
  if (strncmp (early->form, "torn-", strlen ("torn-")) == 0)
    {
      early_answer_torn (early);
      return;
    }
  if (early_is (early, "length"))
    early_write_head (early, "200 OK", "Content-Length: 500\r\n");
  else if (early_is (early, "events"))
    early_write_head (early, "200 OK", "Content-Type: text/event-stream\r\n");
  else if (early_is (early, "reset") || early_is (early, "close")
           || early_is (early, "whole"))
    early_write_head (early, "200 OK", "");
  else
    {
      early_write_head (early, "200 OK", "Content-Length: 0\r\n");
      return;
    }
  if (early_is (early, "events"))
    bufferevent_write (early->stream, "id: 1\ndata: a\n\n", 15);
  else
    early_write_body (early, EARLY_BODY_BYTES);
  event_add (early->timer, &wait);
}

/* Copies the text between `before` and one of `ends`. */
static void
early_copy (const char *head, const char *before, const char *ends, char *out)
{
  const char *start = strstr (head, before);
  size_t count;

  out[0] = '\0';
  if (start == NULL)
    return;
  start += strlen (before);
  count = strcspn (start, ends);
  if (count >= EARLY_TEXT_BYTES)
    count = EARLY_TEXT_BYTES - 1;
  memcpy (out, start, count);
  out[count] = '\0';
}

/* Takes what the answer depends on from the head. */
static void
early_parse (early_t *early, const char *head)
{
  char path[EARLY_TEXT_BYTES];
  char length[EARLY_TEXT_BYTES];
  const char *last;

  early_copy (head, " ", " \r", path);
  strlcpy (early->earlier_id, early->id, sizeof early->earlier_id);
  early_copy (head, "Camphorarch-Attempt-Id: ", "\r", early->id);
  printf ("request %s\n", early->id);
  early_copy (head, "Content-Length: ", "\r", length);
  last = strrchr (path, '/');
  strlcpy (early->form, last == NULL ? path : last + 1, sizeof early->form);
  early->unread = strtoull (length, NULL, 10);
}

static void
early_on_readable (struct bufferevent *stream, void *context)
{
  early_t *early = context;
  struct evbuffer *input = bufferevent_get_input (stream);
  struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
  size_t got;

  if (early->unread == 0)
    {
      size_t count;
      char *head;

      if (end.pos < 0)
        return;
      count = (size_t)end.pos + 4;
      head = calloc (1, count + 1);
      evbuffer_remove (input, head, count);
      early_parse (early, head);
      free (head);
      early->answered = false;
    }
  got = evbuffer_get_length (input);
  if (early_is (early, "whole") && got < early->unread)
    {
      early->unread -= got;
      evbuffer_drain (input, got);
      return;
    }
  if (early_is (early, "reset") || early_is (early, "close")
      || early_is (early, "length") || early_is (early, "events"))
    bufferevent_disable (stream, EV_READ);
  else
    {
      early->unread = 0;
      evbuffer_drain (input, got);
    }
  if (!early->answered)
    early_answer (early);
}

static void
early_on_event (struct bufferevent *stream, short what, void *context)
{
  (void)stream;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    early_free (context);
}

static void
early_on_accept (struct evconnlistener *listener, evutil_socket_t fd,
                 struct sockaddr *from, int length, void *context)
{
  early_t *early = calloc (1, sizeof *early);

  (void)listener;
  (void)from;
  (void)length;
  early->base = context;
  early->stream
      = bufferevent_socket_new (early->base, fd, BEV_OPT_CLOSE_ON_FREE);
  early->timer = evtimer_new (early->base, early_on_timer, early);
  bufferevent_setwatermark (early->stream, EV_READ, 0, EARLY_RECEIVE_BYTES);
  bufferevent_setcb (early->stream, early_on_readable, NULL, early_on_event,
                     early);
  bufferevent_enable (early->stream, EV_READ | EV_WRITE);
}

int
main (int argc, char **argv)
{
  struct event_base *base = event_base_new ();
  struct sockaddr_in at = { .sin_family = AF_INET };
  struct evconnlistener *listener;
  int bytes = EARLY_RECEIVE_BYTES;

  setvbuf (stdout, NULL, _IOLBF, 0);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  at.sin_port = htons (
      (uint16_t)strtoul (site_argument (argc, argv, "port", "0"), NULL, 10));
  listener = evconnlistener_new_bind (base, early_on_accept, base,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                      -1, (struct sockaddr *)&at, sizeof at);
  if (listener == NULL)
    {
      perror ("site-early");
      return 1;
    }
  setsockopt (evconnlistener_get_fd (listener), SOL_SOCKET, SO_RCVBUF, &bytes,
              sizeof bytes);
  event_base_dispatch (base);
  return 0;
}
