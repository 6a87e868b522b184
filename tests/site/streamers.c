/* Callers of streams that take interrupted ones up at other entries.
 *
 *   site-streamers --entries PORT,PORT,... --seconds N --rate N --seed N
 *                  [--retry-ms N]
 *
 * Endpoints must name their version in each piece (site-replica --version).
 * Prints how many streams hold pieces of two versions, miss a piece or have one
 * twice, and how many new streams began and interrupted ones went on. */
#include "tests/site/site.h"

#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

#define STREAMERS_MAX_ENTRIES 64
#define STREAMERS_TRIES_MAX 4
#define STREAMERS_VERSION_BYTES 16
#define STREAMERS_PIECE_BYTES 256

typedef struct
{
  char id[32];     /* of the current try */
  char origin[32]; /* of the try that brought the first piece */
  uint32_t number;
  uint32_t tries;
  size_t entry;
  uint32_t pieces;
  uint32_t pieces_before; /* the current try */
  char version[STREAMERS_VERSION_BYTES];
  bool mixed;
  bool misplaced;
  uint32_t status; /* of the current try; 0: none */
  char buffer[STREAMERS_PIECE_BYTES];
  size_t buffered;
  struct event *timer;
} stream_t;

static struct
{
  struct event_base *base;
  ca_http_pool_t pool;
  uint16_t entries[STREAMERS_MAX_ENTRIES];
  size_t entry_count;
  uint64_t sent;
  uint64_t limit;
  unsigned long retry_ms; /* pause before the next try */
  uint64_t open;
  uint64_t begun;
  uint64_t taken_up;
  uint64_t gone_on;
  uint64_t complete;
  uint64_t mixed;
  uint64_t misplaced;
  struct event *timer;
} streamers;

static ca_http_head_action_t
on_head (void *context, const ca_http_head_t *head)
{
  stream_t *stream = context;

  stream->status = head->status;
  return CA_HTTP_HEAD_ACCEPT;
}

/* Takes one event, "id: N\ndata: ID piece N of VERSION\n\n". */
static void
stream_piece (stream_t *stream, const char *event)
{
  unsigned number;
  char version[STREAMERS_VERSION_BYTES];

  if (sscanf (event, "id: %u data: %*s piece %*u of %15s", &number, version)
      != 2)
    return;
  if (number != stream->pieces + 1 && !stream->misplaced)
    {
      stream->misplaced = true;
      streamers.misplaced++;
    }
  if (stream->pieces == 0)
    {
      strlcpy (stream->version, version, sizeof stream->version);
      strlcpy (stream->origin, stream->id, sizeof stream->origin);
      streamers.begun++;
    }
  else if (stream->pieces == stream->pieces_before)
    streamers.gone_on++;
  if (strcmp (version, stream->version) != 0 && !stream->mixed)
    {
      stream->mixed = true;
      streamers.mixed++;
      printf ("%s began at %s and goes on at %s\n", stream->origin,
              stream->version, version);
    }
  stream->pieces = number;
}

static bool
on_body (void *context, const char *bytes, size_t count)
{
  stream_t *stream = context;
  char *end;

  if (stream->buffered + count >= sizeof stream->buffer)
    return true;
  memcpy (stream->buffer + stream->buffered, bytes, count);
  stream->buffered += count;
  stream->buffer[stream->buffered] = '\0';
  while ((end = strstr (stream->buffer, "\n\n")) != NULL)
    {
      size_t used = (size_t)(end + 2 - stream->buffer);

      *end = '\0';
      stream_piece (stream, stream->buffer);
      stream->buffered -= used;
      memmove (stream->buffer, stream->buffer + used, stream->buffered + 1);
    }
  return true;
}

static void
stream_end (stream_t *stream)
{
  event_free (stream->timer);
  free (stream);
  if (--streamers.open == 0 && streamers.sent >= streamers.limit)
    event_base_loopbreak (streamers.base);
}

static void
on_done (void *context, ca_http_outcome_t outcome)
{
  stream_t *stream = context;
  struct timeval wait = { (time_t)(streamers.retry_ms / 1000),
                          (suseconds_t)(streamers.retry_ms % 1000 * 1000) };

  /* A try that reached no entry is none. */
  if (stream->pieces_before > 0 && outcome != CA_HTTP_OUTCOME_NOT_SENT)
    streamers.taken_up++;
  if (stream->status == 200 && stream->pieces == stream->pieces_before
      && outcome == CA_HTTP_OUTCOME_COMPLETE)
    streamers.gone_on++;
  if (stream->status == 200 && outcome == CA_HTTP_OUTCOME_COMPLETE)
    streamers.complete++;
  else if (stream->tries < STREAMERS_TRIES_MAX)
    {
      event_add (stream->timer, &wait);
      return;
    }
  stream_end (stream);
}

static void
stream_try (stream_t *stream)
{
  ca_headers_t headers;
  ca_http_pool_call_options_t options = { .headers = &headers,
                                          .method = "POST",
                                          .target = "/resume/x",
                                          .body = "x",
                                          .body_bytes = 1,
                                          .connect_timeout_ms = 1000,
                                          .timeout_ms = 8000,
                                          .on_head = on_head,
                                          .on_body = on_body,
                                          .on_done = on_done,
                                          .context = stream };

  stream->entry = (stream->entry + 1 + (size_t)rand ()) % streamers.entry_count;
  options.address = site_loopback (streamers.entries[stream->entry]);
  snprintf (stream->id, sizeof stream->id, "s%u.%u.%08x", stream->number,
            stream->tries++, (unsigned)rand ());
  stream->pieces_before = stream->pieces;
  stream->buffered = 0;
  stream->status = 0;
  ca_headers_init (&headers);
  ca_headers_add (&headers, "Host", "host.example");
  ca_headers_add (&headers, "Camphorarch-Attempt-Id", stream->id);
  ca_headers_add (&headers, "Authorization", "Bearer k1");
  ca_headers_add (&headers, "Camphorarch-Deadline-Remaining", "4000");
  ca_headers_add (&headers, "Camphorarch-Model", "m");
  ca_headers_add (&headers, "Camphorarch-Token-Usage", "40,24");
  ca_headers_printf (&headers, "Camphorarch-Prompt-Prefix", "a:10,%x:10",
                     (unsigned)rand ());
  if (stream->pieces > 0)
    {
      ca_headers_add (&headers, "Resumes", stream->origin);
      ca_headers_printf (&headers, "Last-Event-Id", "%u",
                         (unsigned)stream->pieces);
    }
  ca_http_pool_call_start (&streamers.pool, &options);
  ca_headers_finish (&headers);
}

static void
on_retry (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  stream_try (context);
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  stream_t *stream;

  (void)fd;
  (void)what;
  (void)context;
  if (streamers.sent >= streamers.limit)
    {
      event_del (streamers.timer);
      return;
    }
  stream = calloc (1, sizeof *stream);
  stream->number = (uint32_t)streamers.sent++;
  stream->timer = evtimer_new (streamers.base, on_retry, stream);
  streamers.open++;
  stream_try (stream);
}

static void
parse_entries (const char *list)
{
  char *copy = strdup (list);
  char *rest = copy;
  char *part;

  while ((part = strsep (&rest, ",")) != NULL
         && streamers.entry_count < STREAMERS_MAX_ENTRIES)
    streamers.entries[streamers.entry_count++]
        = (uint16_t)strtoul (part, NULL, 10);
  free (copy);
}

int
main (int argc, char **argv)
{
  unsigned long seconds
      = strtoul (site_argument (argc, argv, "seconds", "5"), NULL, 10);
  unsigned long rate
      = strtoul (site_argument (argc, argv, "rate", "30"), NULL, 10);
  struct timeval period = { 0, (suseconds_t)(1000000 / rate) };

  setvbuf (stdout, NULL, _IOLBF, 0);
  srand ((unsigned)strtoul (site_argument (argc, argv, "seed", "1"), NULL, 10));
  streamers.retry_ms
      = strtoul (site_argument (argc, argv, "retry-ms", "50"), NULL, 10);
  parse_entries (site_argument (argc, argv, "entries", ""));
  streamers.limit = seconds * rate;
  streamers.base = event_base_new ();
  ca_http_pool_init (&streamers.pool, streamers.base);
  streamers.timer = event_new (streamers.base, -1, EV_PERSIST, on_timer, NULL);
  event_add (streamers.timer, &period);
  event_base_dispatch (streamers.base);
  printf ("sent %llu begun %llu complete %llu taken-up %llu gone-on %llu "
          "misplaced %llu mixed %llu\n",
          (unsigned long long)streamers.sent,
          (unsigned long long)streamers.begun,
          (unsigned long long)streamers.complete,
          (unsigned long long)streamers.taken_up,
          (unsigned long long)streamers.gone_on,
          (unsigned long long)streamers.misplaced,
          (unsigned long long)streamers.mixed);
  return 0;
}
