/* Stand-in for one replica of the platform, as the users' pages specify it.
 *
 *   server --id ID --service S --zone Z --port N --store N --runs FILE
 *          [--events N] [--event-ms N] [--version V] [--listed N]
 *
 * Registers in the store with `ready`, with the port --listed if it is given,
 * and appends a line to FILE for each run that begins: "run ID REQUEST PATH".
 * A request with Camphorarch-Token-Usage is answered with a stream: --events
 * events, all runs together in one step each
 * --event-ms, as an engine that works in batches does; an event holds V or the
 * request's id. A stream goes on after Last-Event-Id.  Another one is answered
 * whole: after N ms if its path holds "work-N", with N bytes if it holds
 * "size-N".  A request for another replica is answered 421.  A run ends when
 * its channel closes. */
#include "tests/site/site.h"

#include "base/clock_source.h"

#include <fcntl.h>
#include <resolv.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/time.h>
#include <unistd.h>

/* Until the store has accepted the first entry, and between those that follow.
 */
#define SERVER_REGISTER_MS 100
#define SERVER_BEAT_MS 1200
#define SERVER_MAX_BYTES (8 * 1024 * 1024)

typedef struct run
{
  ca_http_server_request_t *request;
  struct event *timer; /* of a whole answer; NULL for a stream */
  char id[64];
  uint32_t next; /* event */
  bool has_begun;
  size_t bytes;
  TAILQ_ENTRY (run) entries;
} run_t;

static struct
{
  site_t site;
  ca_http_pool_t pool;
  const char *id;
  const char *service;
  const char *zone;
  uint16_t port;
  uint16_t listed; /* port in the entry, of a proxy maybe */
  uint16_t store;
  uint32_t events;
  uint32_t event_ms;
  const char *version; /* of the software; "" if events don't hold it */
  int runs_fd;
  uint32_t sequence;   /* of the entry */
  uint64_t written_us; /* when the store accepted it; 0 if it did not */
  uint64_t born_ms;
  TAILQ_HEAD (, run) streams;
} server;

static ca_http_head_action_t
server_on_put_head (void *context, const ca_http_head_t *head)
{
  (void)context;
  if (head->status == 200)
    server.written_us = ca_clock_boot_us ();
  return CA_HTTP_HEAD_ACCEPT;
}

static bool
server_on_put_body (void *context, const char *bytes, size_t count)
{
  (void)context;
  (void)bytes;
  (void)count;
  return true;
}

static void
server_on_put_done (void *context, ca_http_outcome_t outcome)
{
  (void)context;
  (void)outcome;
}

/* Writes the replica's entry until the store has accepted it, and again with
 * each liveness report. */
static void
server_register (evutil_socket_t fd, short what, void *context)
{
  char text[512];
  char value[1024];
  char body[2048];
  int bytes;

  (void)fd;
  (void)what;
  (void)context;
  if (server.written_us != 0)
    {
      /* Replicas that start together don't report together. */
      uint64_t wait_ms = server.sequence == 1
                             ? server.port * 997u % SERVER_BEAT_MS
                             : SERVER_BEAT_MS;

      if (ca_clock_boot_us () - server.written_us < wait_ms * 1000)
        return;
      server.written_us = 0;
    }
  bytes = snprintf (
      text, sizeof text,
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
      "\"version\":\"%s\",\"slots\":64,\"state\":\"ready\","
      "\"cold_remaining_ms\":0,\"sequence\":%u,\"born\":%llu}",
      server.service, (unsigned)server.listed, server.zone,
      server.version[0] == '\0' ? "v1" : server.version,
      (unsigned)++server.sequence, (unsigned long long)server.born_ms);
  b64_ntop ((const unsigned char *)text, (size_t)bytes, value, sizeof value);
  bytes = snprintf (body, sizeof body,
                    "{\"expect\":[],\"write\":[{\"table_name\":\"servers\","
                    "\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\"}],"
                    "\"removals\":[]}",
                    server.id, value);
  ca_http_pool_call_options_t options
      = { .address = site_loopback (server.store),
          .method = "POST",
          .target = "/v1/rows-tx",
          .body = body,
          .body_bytes = (size_t)bytes,
          .connect_timeout_ms = 300,
          .timeout_ms = 400,
          .on_head = server_on_put_head,
          .on_body = server_on_put_body,
          .on_done = server_on_put_done };
  ca_http_pool_call_start (&server.pool, &options);
}

static const char *
server_header (const ca_http_server_request_t *request, const char *name)
{
  const char *value = ca_headers_find (&request->head->headers, name);

  return value == NULL ? "-" : value;
}

/* Number after a word in the path; 0 if it is missing. */
static size_t
server_path_number (const ca_http_server_request_t *request, const char *word)
{
  const char *found = strstr (request->head->target, word);

  return found == NULL ? 0 : strtoul (found + strlen (word), NULL, 10);
}

static void
server_log_run (const ca_http_server_request_t *request)
{
  char line[512];
  int bytes = snprintf (line, sizeof line, "run %s %s %s\n", server.id,
                        server_header (request, "Camphorarch-Attempt-Id"),
                        request->head->target);

  if (write (server.runs_fd, line, (size_t)bytes) != bytes)
    abort ();
}

static void
run_fill_headers (const run_t *run, ca_headers_t *headers)
{
  ca_headers_init (headers);
  ca_headers_add (headers, "Camphorarch-Attempt-Id", run->id);
  ca_headers_printf (headers, "Camphorarch-Replica-Signature", "%s.%s",
                     server.id, run->id);
}

static void
run_free (run_t *run)
{
  if (run->timer != NULL)
    event_free (run->timer);
  else
    TAILQ_REMOVE (&server.streams, run, entries);
  free (run);
}

/* Answers a run whole. */
static void
run_answer (evutil_socket_t fd, short what, void *context)
{
  static char bytes[SERVER_MAX_BYTES];
  run_t *run = context;
  ca_headers_t headers;

  (void)fd;
  (void)what;
  memset (bytes, 'x', run->bytes);
  run_fill_headers (run, &headers);
  ca_http_respond (run->request, 200, &headers, bytes, run->bytes);
  ca_headers_finish (&headers);
  run_free (run);
}

/* Sends the next event of a stream, or its end. */
static void
run_step (run_t *run)
{
  char event[128];
  int bytes;

  if (!run->has_begun)
    {
      ca_headers_t headers;

      run->has_begun = true;
      run_fill_headers (run, &headers);
      ca_headers_add (&headers, "Content-Type", "text/event-stream");
      ca_http_response_begin (run->request, 200, &headers);
      ca_headers_finish (&headers);
    }
  if (run->next > server.events)
    {
      ca_http_response_end (run->request);
      run_free (run);
      return;
    }
  bytes = snprintf (event, sizeof event, "id: %u\ndata: %s\n\n", run->next,
                    server.version[0] == '\0' ? run->id : server.version);
  ca_http_response_write (run->request, event, (size_t)bytes);
  run->next++;
}

static void
server_step (evutil_socket_t fd, short what, void *context)
{
  run_t *run = TAILQ_FIRST (&server.streams);

  (void)fd;
  (void)what;
  (void)context;
  while (run != NULL)
    {
      run_t *next = TAILQ_NEXT (run, entries);

      run_step (run);
      run = next;
    }
}

static void
server_reject (ca_http_server_request_t *request)
{
  ca_headers_t headers;

  ca_headers_init (&headers);
  ca_headers_add (&headers, "Camphorarch-Attempt-Id",
                  server_header (request, "Camphorarch-Attempt-Id"));
  ca_headers_add (&headers, "Camphorarch-Not-Executed", "1");
  ca_http_respond (request, 421, &headers, "", 0);
  ca_headers_finish (&headers);
}

static void
server_on_request (void *context, ca_http_server_request_t *request)
{
  size_t work_ms = server_path_number (request, "work-");
  size_t bytes = server_path_number (request, "size-");
  struct timeval wait
      = { (time_t)(work_ms / 1000), (suseconds_t)(work_ms % 1000) * 1000 };
  run_t *run;

  (void)context;
  if (strcmp (server_header (request, "Camphorarch-Expected-Replica"),
              server.id)
      != 0)
    {
      server_reject (request);
      return;
    }
  run = calloc (1, sizeof *run);
  run->request = request;
  run->next
      = (uint32_t)strtoul (server_header (request, "Last-Event-Id"), NULL, 10)
        + 1;
  run->bytes = bytes == 0 ? 16 : bytes;
  if (run->bytes > SERVER_MAX_BYTES)
    run->bytes = SERVER_MAX_BYTES;
  strlcpy (run->id, server_header (request, "Camphorarch-Attempt-Id"),
           sizeof run->id);
  request->user_data = run;
  server_log_run (request);
  if (ca_headers_find (&request->head->headers, "Camphorarch-Token-Usage")
      != NULL)
    {
      TAILQ_INSERT_TAIL (&server.streams, run, entries);
      return;
    }
  run->timer = evtimer_new (server.site.base, run_answer, run);
  event_add (run->timer, &wait);
}

static void
server_on_disconnect (void *context, ca_http_server_request_t *request)
{
  (void)context;
  if (request->user_data != NULL)
    run_free (request->user_data);
}

static void
server_start_timer (event_callback_fn on_timer, uint32_t period_ms)
{
  struct timeval period
      = { period_ms / 1000, (suseconds_t)(period_ms % 1000) * 1000 };

  event_add (event_new (server.site.base, -1, EV_PERSIST, on_timer, NULL),
             &period);
}

int
main (int argc, char **argv)
{
  ca_http_handler_t handler = { server_on_request, server_on_disconnect, NULL };
  struct timeval now;

  gettimeofday (&now, NULL);
  server.born_ms = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_usec / 1000;
  server.id = site_argument (argc, argv, "id", "i-1");
  server.service = site_argument (argc, argv, "service", "api");
  server.zone = site_argument (argc, argv, "zone", "z1");
  server.port = (uint16_t)atoi (site_argument (argc, argv, "port", "0"));
  server.listed = (uint16_t)atoi (site_argument (
      argc, argv, "listed", site_argument (argc, argv, "port", "0")));
  server.store = (uint16_t)atoi (site_argument (argc, argv, "store", "0"));
  server.events = (uint32_t)atoi (site_argument (argc, argv, "events", "8"));
  server.event_ms
      = (uint32_t)atoi (site_argument (argc, argv, "event-ms", "25"));
  server.version = site_argument (argc, argv, "version", "");
  server.runs_fd = open (site_argument (argc, argv, "runs", "/dev/null"),
                         O_WRONLY | O_APPEND | O_CREAT, 0600);
  TAILQ_INIT (&server.streams);
  site_init (&server.site, server.port, &handler);
  ca_http_pool_init (&server.pool, server.site.base);
  server_register (-1, 0, NULL);
  server_start_timer (server_register, SERVER_REGISTER_MS);
  server_start_timer (server_step, server.event_ms);
  site_run (&server.site);
  return 0;
}
