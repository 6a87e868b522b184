/* Sound callers that read their answers.
 *
 *   callers --ports N,N,... --count N --burst N --spread-ms N --paths P,P,...
 *           --streams 0|1 --key K --budget-ms N --read-kb-s N --then PORT
 *           --leave-ms N --tag T
 *
 * --count callers at each port begin in bursts of --burst, spread over
 * --spread-ms.  Each opens a channel and asks for the paths on it, one after
 * the other; with --streams 1 the last one is a streaming request.  With
 * --read-kb-s it reads no faster than that.  With --then, a stream that is cut
 * after an event is taken up at that port; with --leave-ms callers leave their
 * channels so long after the start and do the same.  Prints a
 * line for each request once it has ended: "ID PORT SENT STATUS EVENTS OUTCOME
 * AT DATA", times in ms since the start.  OUTCOME is complete, cut (the channel
 * ended in the middle of the answer) or none (it ended without an answer). DATA
 * joins what the events of the stream held so far, each text once. */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CALLERS_MAX_PATHS 4
#define CALLERS_LINE_BYTES 256
#define CALLERS_DATA_BYTES 512

typedef struct
{
  char id[64];
  uint16_t port;
  size_t asked; /* requests sent */
  uint64_t sent_ms;
  uint32_t events;
  char line[CALLERS_LINE_BYTES]; /* of an event, so far */
  size_t line_bytes;
  uint64_t event; /* that is being read */
  uint64_t last_event;
  char origin[80]; /* request that brought the first event */
  char data[CALLERS_DATA_BYTES];
  bool taken_up;
  bool has_head;
  bool ended;
  http_parser parser;
  struct bufferevent *stream;
  struct event *timer;
} caller_t;

static struct
{
  struct event_base *base;
  char *paths[CALLERS_MAX_PATHS];
  size_t path_count;
  bool streams;
  const char *key;
  const char *tag;
  uint16_t then;     /* 0: no stream is taken up */
  uint32_t leave_ms; /* 0: never */
  unsigned budget_ms;
  struct ev_token_bucket_cfg *read_rate; /* NULL: unlimited */
  uint64_t started_ms;
  size_t open;
} callers;

static const char *
callers_argument (int argc, char **argv, const char *name, const char *value)
{
  for (int i = 1; i + 1 < argc; i += 2)
    {
      if (strncmp (argv[i], "--", 2) == 0 && strcmp (argv[i] + 2, name) == 0)
        return argv[i + 1];
    }
  return value;
}

static uint64_t
callers_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000
         - callers.started_ms;
}

static void
caller_print (const caller_t *caller, const char *outcome)
{
  printf ("%s-%zu %u %llu %u %u %s %llu %s\n", caller->id, caller->asked,
          (unsigned)caller->port, (unsigned long long)caller->sent_ms,
          caller->has_head ? (unsigned)caller->parser.status_code : 0,
          (unsigned)caller->events, outcome,
          (unsigned long long)callers_now_ms (),
          caller->data[0] == '\0' ? "-" : caller->data);
  fflush (stdout);
}

static void
caller_end (caller_t *caller)
{
  if (caller->ended)
    return;
  caller->ended = true;
  bufferevent_disable (caller->stream, EV_READ | EV_WRITE);
  if (--callers.open == 0)
    event_base_loopexit (callers.base, NULL);
}

/* Sends the next request. */
static void
caller_ask (caller_t *caller)
{
  const char *path
      = callers
            .paths[caller->taken_up ? callers.path_count - 1 : caller->asked];
  bool streams
      = callers.streams
        && (caller->taken_up || caller->asked + 1 == callers.path_count);
  char resumes[160] = "";

  caller->asked++;
  if (caller->taken_up)
    snprintf (resumes, sizeof resumes, "Last-Event-Id: %llu\r\nResumes: %s\r\n",
              (unsigned long long)caller->last_event, caller->origin);

  caller->sent_ms = callers_now_ms ();
  caller->has_head = false;
  caller->events = 0;
  caller->line_bytes = 0;
  caller->event = 0;
  http_parser_init (&caller->parser, HTTP_RESPONSE);
  evbuffer_add_printf (
      bufferevent_get_output (caller->stream),
      "POST %s HTTP/1.1\r\nHost: host.example\r\n"
      "Authorization: Bearer %s\r\nCamphorarch-Attempt-Id: %s-%zu\r\n"
      "Camphorarch-Deadline-Remaining: %u\r\n%s%sContent-Length: 1\r\n\r\nx",
      path, callers.key, caller->id, caller->asked, callers.budget_ms,
      streams ? "Camphorarch-Model: m\r\nCamphorarch-Token-Usage: 40,200\r\n"
              : "",
      resumes);
}

static int
caller_on_head (http_parser *parser)
{
  ((caller_t *)parser->data)->has_head = true;
  return 0;
}

/* Adds a text to the data of the stream, unless it is there. */
static void
caller_add_data (caller_t *caller, const char *text)
{
  size_t used = strlen (caller->data);

  if (strstr (caller->data, text) == NULL)
    snprintf (caller->data + used, sizeof caller->data - used, "%s%s",
              used > 0 ? "+" : "", text);
}

/* Takes a line of an event.  An empty one ends it. */
static void
caller_take_line (caller_t *caller)
{
  if (strncmp (caller->line, "id: ", 4) == 0)
    caller->event = strtoull (caller->line + 4, NULL, 10);
  else if (strncmp (caller->line, "data: ", 6) == 0)
    caller_add_data (caller, caller->line + 6);
  else if (caller->line_bytes == 0 && caller->event > 0)
    {
      if (caller->last_event == 0)
        snprintf (caller->origin, sizeof caller->origin, "%s-%zu", caller->id,
                  caller->asked);
      caller->last_event = caller->event;
      caller->event = 0;
      caller->events++;
    }
}

static int
caller_on_body (http_parser *parser, const char *bytes, size_t count)
{
  caller_t *caller = parser->data;

  for (size_t i = 0; i < count; i++)
    {
      if (bytes[i] == '\n')
        {
          caller->line[caller->line_bytes] = '\0';
          caller_take_line (caller);
          caller->line_bytes = 0;
        }
      else if (caller->line_bytes + 1 < sizeof caller->line)
        caller->line[caller->line_bytes++] = bytes[i];
    }
  return 0;
}

static int
caller_on_end (http_parser *parser)
{
  caller_t *caller = parser->data;

  caller_print (caller, "complete");
  if (caller->asked >= callers.path_count)
    caller_end (caller);
  else
    caller_ask (caller);
  return 0;
}

static const http_parser_settings caller_settings
    = { .on_headers_complete = caller_on_head,
        .on_body = caller_on_body,
        .on_message_complete = caller_on_end };

static void
caller_on_readable (struct bufferevent *stream, void *context)
{
  caller_t *caller = context;
  char bytes[4096];
  size_t count;

  while ((count = bufferevent_read (stream, bytes, sizeof bytes)) > 0)
    http_parser_execute (&caller->parser, &caller_settings, bytes, count);
}

static void caller_begin (evutil_socket_t fd, short what, void *context);

/* Takes the stream up at the other port; false if it can't be. */
static bool
caller_take_up (caller_t *caller)
{
  if (callers.then == 0 || caller->last_event == 0 || caller->taken_up)
    return false;
  bufferevent_free (caller->stream);
  caller->taken_up = true;
  caller->port = callers.then;
  caller_begin (-1, 0, caller);
  return true;
}

static void
caller_leave (evutil_socket_t fd, short what, void *context)
{
  caller_t *caller = context;

  (void)fd;
  (void)what;
  if (caller->ended || caller->taken_up || caller->stream == NULL)
    return;
  caller_print (caller, "left");
  if (!caller_take_up (caller))
    caller_end (caller);
}

static void
caller_on_event (struct bufferevent *stream, short what, void *context)
{
  caller_t *caller = context;

  (void)stream;
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) || caller->ended)
    return;
  caller_print (caller, caller->has_head ? "cut" : "none");
  if (!caller_take_up (caller))
    caller_end (caller);
}

static void
caller_begin (evutil_socket_t fd, short what, void *context)
{
  caller_t *caller = context;
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                            .sin_port = htons (caller->port) };

  (void)fd;
  (void)what;
  caller->parser.data = caller;
  caller->stream
      = bufferevent_socket_new (callers.base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (caller->stream, caller_on_readable, NULL, caller_on_event,
                     caller);
  if (callers.read_rate != NULL)
    bufferevent_set_rate_limit (caller->stream, callers.read_rate);
  bufferevent_enable (caller->stream, EV_READ | EV_WRITE);
  caller_ask (caller);
  bufferevent_socket_connect (caller->stream, (struct sockaddr *)&to,
                              sizeof to);
}

static void
caller_start (caller_t *caller, uint16_t port, size_t number, uint64_t wait_ms)
{
  struct timeval wait
      = { (time_t)(wait_ms / 1000), (suseconds_t)(wait_ms % 1000) * 1000 };
  struct timeval leave = { callers.leave_ms / 1000,
                           (suseconds_t)(callers.leave_ms % 1000) * 1000 };

  snprintf (caller->id, sizeof caller->id, "%s-%u-%zu", callers.tag,
            (unsigned)port, number);
  caller->port = port;
  caller->timer = evtimer_new (callers.base, caller_begin, caller);
  event_add (caller->timer, &wait);
  if (callers.leave_ms > 0)
    event_add (evtimer_new (callers.base, caller_leave, caller), &leave);
  callers.open++;
}

static size_t
callers_number (int argc, char **argv, const char *name, const char *value)
{
  return strtoul (callers_argument (argc, argv, name, value), NULL, 10);
}

int
main (int argc, char **argv)
{
  char *ports = strdup (callers_argument (argc, argv, "ports", "0"));
  char *paths = strdup (callers_argument (argc, argv, "paths", "/again/x"));
  size_t count = callers_number (argc, argv, "count", "1");
  size_t burst = callers_number (argc, argv, "burst", "1");
  size_t spread_ms = callers_number (argc, argv, "spread-ms", "0");
  size_t read_kb_s = callers_number (argc, argv, "read-kb-s", "0");

  callers.base = event_base_new ();
  while (paths != NULL && callers.path_count < CALLERS_MAX_PATHS)
    callers.paths[callers.path_count++] = strsep (&paths, ",");
  callers.streams = callers_number (argc, argv, "streams", "0") != 0;
  callers.key = callers_argument (argc, argv, "key", "k1");
  callers.then = (uint16_t)callers_number (argc, argv, "then", "0");
  callers.leave_ms = (uint32_t)callers_number (argc, argv, "leave-ms", "0");
  callers.tag = callers_argument (argc, argv, "tag", "c");
  callers.budget_ms
      = (unsigned)callers_number (argc, argv, "budget-ms", "8000");
  if (read_kb_s > 0)
    callers.read_rate
        = ev_token_bucket_cfg_new (read_kb_s * 1024, read_kb_s * 1024,
                                   EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, NULL);
  callers.started_ms = callers_now_ms ();
  while (ports != NULL)
    {
      const char *port = strsep (&ports, ",");
      caller_t *group = calloc (count, sizeof *group);

      for (size_t i = 0; i < count; i++)
        caller_start (&group[i], (uint16_t)atoi (port), i,
                      spread_ms * (i / burst * burst) / count);
    }
  event_base_dispatch (callers.base);
  return 0;
}
