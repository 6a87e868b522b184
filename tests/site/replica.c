/* Stand-in for one endpoint of the platform.
 *
 *   site-replica --id ID --service S --zone Z --port N --store N --runs FILE
 *                [--listed N] [--ends-on TEXT] [--ends-on-part ID]
 *                [--version V] [--event-ms N] [--work-ms N] [--slots N]
 *                [--brittle N]
 *
 * Registers itself in the store (with port --listed instead of --port, for a
 * proxy in front of it), responds as the users' pages specify, and appends a
 * line to FILE for each run that starts: "run ID REQUEST PATH WORKSPACE KEY".
 * A run whose path contains TEXT ends the process at its start; one with ID in
 * the parts of its prompt, but for the last, at its second event.  With
 * --version the pieces of streams name the version of its software.  With
 * --slots it rejects requests beyond these.  With --brittle it says in all
 * responses that it bears N rejections in a second, and ends if there are more.
 * On SIGTERM it reports draining, serves for another second, and exits.  POST
 * /control takes
 * {"fault": NAME, "next": N} for the next N requests: reject, error, fail (as
 * error, but for streams too), reset, cut, lost, encoded, unsigned, endless (a
 * body, or an event, that never ends), flood (events without end), big (a
 * whole body of 2 MB), swell (a body of 16 MB that does not end then), drip
 * (the same, a byte at a time), repeat (a request is rejected; if it comes
 * again on its connection it runs, and the rejection is written once more),
 * bare (it runs, and a rejection that names no request is written), copy (it
 * runs, and the latest whole answer is written in place of its own, without the
 * id of a request), with "every": N at one of so many requests only; or
 * {"leaving": true}, which all responses then say, {"brittle": N}, as
 * --brittle, except that it does not end in the first 3 s, {"pause": TEXT},
 * with which requests are turned away, "" for none, or {"limit": TEXT}, which
 * all responses then name as the limit on requests per second, "" for none. GET
 * /record returns the requests since then, and the most in a span of 4 s that
 * began 4 s or more after it: {"requests": N, "most": N, "open": N}, the last
 * of responses without end that still go on;
 * {"register": true} writes its record again. */
#include "tests/site/site.h"

#include "base/clock.h"
#include "base/clock_source.h"

#include <fcntl.h>
#include <resolv.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

#define REPLICA_EVENT_MS "4"
#define REPLICA_WORK_MS "3"
#define REPLICA_DRAIN_S 1
#define REPLICA_REGISTER_PERIOD_MS 500
#define REPLICA_EVENTS 6
#define REPLICA_LIMIT_BYTES 32
#define REPLICA_ENDLESS_BYTES (256 * 1024)
#define REPLICA_DRIP_MS 50
#define REPLICA_FLOOD_EVENTS 16
#define REPLICA_FLOOD_EVENT_BYTES 4096
#define REPLICA_SWELL_BYTES (16 * 1024 * 1024)
#define REPLICA_BIG_BYTES (2 * 1024 * 1024)

/* Spans over which limited requests are counted, and the time that the entries
 * have to learn of the limit. */
#define REPLICA_SPAN_US (4 * CA_US_PER_S)
#define REPLICA_CONTACT_US (4 * CA_US_PER_S)

/* Brittle endpoints bear this many rejections in a second at most, and bear
 * more until the entries have had time to learn of it. */
#define REPLICA_BRITTLE_MAX 31
#define REPLICA_BRITTLE_CONTACT_US (3 * CA_US_PER_S)

#define REPLICA_REPEATS 1024

/* Requests kept for the count; further ones are counted too. */
#define REPLICA_SPAN_MAX 1024

typedef struct
{
  site_t site;
  ca_http_pool_t pool;
  const char *id;
  const char *service;
  const char *zone;
  const char *version; /* "" if pieces do not name it */
  uint32_t event_ms;
  uint32_t work_ms;
  uint32_t slots; /* 0: it never rejects */
  uint32_t running;
  uint32_t brittle; /* rejections that it bears in a second; 0: any number */
  uint64_t weak_us; /* it ends after more from then on */
  uint64_t rejections;
  uint64_t rejected_us[REPLICA_BRITTLE_MAX + 1]; /* by number, the latest */
  const char *ends_on;
  const char *ends_on_part;
  uint16_t listed_port;
  uint16_t store;
  int runs_fd;
  bool draining;
  bool registered; /* the store accepted the current state */
  char fault[16];
  int faults_left;
  int fault_every; /* of so many requests one has the fault */
  int fault_requests;
  /* Latest request rejected by the fault "repeat", by a hash of its connection;
   * a request's address is that of its connection. */
  char rejected_ids[REPLICA_REPEATS][64];
  char answered_id[64];            /* latest plain request answered */
  char limit[REPLICA_LIMIT_BYTES]; /* named in responses; empty: none */
  char pause[REPLICA_LIMIT_BYTES]; /* asked for by all; empty: none */
  bool leaving;                    /* said in responses */
  uint64_t limit_since_us;
  uint64_t requests_us[REPLICA_SPAN_MAX]; /* by number, the latest */
  uint64_t requests;                      /* since the limit was set */
  uint64_t most;                          /* of them in a span */
  uint64_t open;                          /* responses that never end */
  struct event *register_timer;
  uint64_t born_ms;
} replica_t;

static replica_t replica;

/* A request in progress. */
typedef struct
{
  ca_http_server_request_t *request;
  struct event *timer;
  char id[64];
  char fault[16];
  uint32_t next;  /* number of the next event */
  uint32_t count; /* events to send; 0: a plain response */
  bool ends;      /* this process, as it sends its second event */
  bool started;
} run_t;

static ca_http_head_action_t
on_put_head (void *context, const ca_http_head_t *head)
{
  (void)context;
  if (head->status == 200)
    replica.registered = true;
  return CA_HTTP_HEAD_ACCEPT;
}

static bool
on_put_body (void *context, const char *bytes, size_t count)
{
  (void)context;
  (void)bytes;
  (void)count;
  return true;
}

static void
on_put_done (void *context, ca_http_outcome_t outcome)
{
  (void)context;
  (void)outcome;
}

/* Writes the endpoint's record to the store. */
static void
put_record (void)
{
  json_t *record
      = json_pack ("{s:s, s:o, s:s, s:s, s:i, s:s, s:i, s:i, s:I}", "service",
                   replica.service, "address",
                   json_sprintf ("127.0.0.1:%u", (unsigned)replica.listed_port),
                   "zone", replica.zone, "version",
                   replica.version[0] == '\0' ? "v1" : replica.version, "slots",
                   replica.slots > 0 ? (int)replica.slots : 8, "state",
                   replica.draining ? "draining" : "ready", "cold_remaining_ms",
                   0, "sequence", 1, "born", (json_int_t)replica.born_ms);
  char *text = json_dumps (record, JSON_COMPACT);
  char value[2048];
  json_t *root;
  char *body;

  b64_ntop ((const unsigned char *)text, strlen (text), value, sizeof value);
  root = json_pack ("{s:[], s:[{s:s, s:s, s:s, s:s}], s:[]}", "expect", "write",
                    "table_name", "servers", "part", "", "key", replica.id,
                    "value", value, "removals");
  body = json_dumps (root, JSON_COMPACT);
  ca_http_pool_call_options_t options
      = { .address = site_loopback (replica.store),
          .method = "POST",
          .target = "/v1/rows-tx",
          .body = body,
          .body_bytes = strlen (body),
          .connect_timeout_ms = 300,
          .timeout_ms = 400,
          .on_head = on_put_head,
          .on_body = on_put_body,
          .on_done = on_put_done };
  ca_http_pool_call_start (&replica.pool, &options);
  free (body);
  free (text);
  json_decref (root);
  json_decref (record);
}

static void
on_register_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
  if (!replica.registered)
    put_record ();
}

static const char *
header_of (const ca_http_server_request_t *request, const char *name)
{
  const char *value = ca_headers_find (&request->head->headers, name);

  return value == NULL ? "-" : value;
}

/* Appends the line of a run that starts. */
static void
log_run (const ca_http_server_request_t *request)
{
  char line[512];
  int bytes = snprintf (line, sizeof line, "run %s %s %s %s %s\n", replica.id,
                        header_of (request, "Camphorarch-Attempt-Id"),
                        request->head->target,
                        header_of (request, "Camphorarch-Tenant"),
                        header_of (request, "Authorization"));

  if (write (replica.runs_fd, line, (size_t)bytes) != bytes)
    abort ();
}

static void
run_free (run_t *run)
{
  replica.running--;
  event_free (run->timer);
  free (run);
}

/* Adds what this endpoint says about itself. */
static void
add_notices (ca_headers_t *headers)
{
  if (replica.leaving)
    ca_headers_add (headers, "Server-Leaving", "1");
  if (replica.limit[0] != '\0')
    ca_headers_add (headers, "Server-Limit", replica.limit);
  if (replica.brittle > 0)
    ca_headers_printf (headers, "Server-Brittle", "%u", replica.brittle);
}

/* Counts a request towards the limit. */
static void
count_request (void)
{
  uint64_t now_us = ca_clock_now_us ();
  uint64_t from_us = replica.limit_since_us + REPLICA_CONTACT_US;
  uint64_t in_span = 0;

  replica.requests_us[replica.requests++ % REPLICA_SPAN_MAX] = now_us;
  while (in_span < replica.requests && in_span < REPLICA_SPAN_MAX)
    {
      uint64_t at_us = replica.requests_us[(replica.requests - in_span - 1)
                                           % REPLICA_SPAN_MAX];

      if (at_us < from_us || at_us + REPLICA_SPAN_US <= now_us)
        break;
      in_span++;
    }
  if (in_span > replica.most)
    replica.most = in_span;
}

static void
run_headers (const run_t *run, ca_headers_t *headers)
{
  ca_headers_init (headers);
  add_notices (headers);
  ca_headers_add (headers, "Camphorarch-Attempt-Id", run->id);
  if (strcmp (run->fault, "unsigned") != 0)
    ca_headers_printf (headers, "Camphorarch-Replica-Signature", "%s.%s",
                       replica.id, run->id);
  if (strcmp (run->fault, "encoded") == 0)
    ca_headers_add (headers, "Content-Encoding", "gzip");
  if (run->count > 0)
    ca_headers_add (headers, "Content-Type", "text/event-stream");
}

static void
run_answer_plain (run_t *run)
{
  ca_headers_t headers;
  static char big[REPLICA_BIG_BYTES];
  char body[256];
  int bytes = snprintf (body, sizeof body, "answer to %s", run->id);
  bool is_big = strcmp (run->fault, "big") == 0;
  uint32_t status = strcmp (run->fault, "error") == 0 ? 500 : 200;

  strlcpy (replica.answered_id, run->id, sizeof replica.answered_id);
  run_headers (run, &headers);
  ca_http_respond (run->request, status, &headers, is_big ? big : body,
                   is_big ? sizeof big : (size_t)bytes);
  ca_headers_finish (&headers);
}

/* Sends one event of a stream, or its end; false once it has ended. */
static bool
run_step_stream (run_t *run)
{
  char event[256];
  int bytes;

  if (!run->started)
    {
      ca_headers_t headers;

      run_headers (run, &headers);
      ca_http_response_begin (run->request, 200, &headers);
      ca_headers_finish (&headers);
      run->started = true;
    }
  if (strcmp (run->fault, "cut") == 0 && run->next * 2 > run->count)
    {
      ca_http_response_abort (run->request);
      return false;
    }
  if (run->next > run->count)
    {
      ca_http_response_end (run->request);
      return false;
    }
  if (run->ends && run->next > 1)
    _exit (1);
  bytes = snprintf (event, sizeof event, "id: %u\ndata: %s piece %u%s%s\n\n",
                    run->next, run->id, run->next,
                    replica.version[0] == '\0' ? "" : " of ", replica.version);
  ca_http_response_write (run->request, event, (size_t)bytes);
  run->next++;
  return true;
}

/* Sends the next part of a response that never ends; false if it does. */
static bool
run_step_endless (run_t *run)
{
  static char bytes[REPLICA_ENDLESS_BYTES];
  bool drips = strcmp (run->fault, "drip") == 0;
  struct timeval wait = { 0, (drips ? REPLICA_DRIP_MS : 1) * 1000 };

  if (!drips && strcmp (run->fault, "endless") != 0)
    return false;
  if (!run->started)
    {
      ca_headers_t headers;

      memset (bytes, 'x', sizeof bytes);
      run_headers (run, &headers);
      ca_http_response_begin (run->request, 200, &headers);
      ca_headers_finish (&headers);
      run->started = true;
      replica.open++;
    }
  ca_http_response_write (run->request, bytes, drips ? 1 : sizeof bytes);
  event_add (run->timer, &wait);
  return true;
}

/* Sends events without end, as fast as they are read; false if the response is
 * another. */
static bool
run_step_flood (run_t *run)
{
  static char piece[REPLICA_FLOOD_EVENT_BYTES];
  struct timeval wait = { 0, 1000 };
  char id[32];

  if (strcmp (run->fault, "flood") != 0)
    return false;
  if (!run->started)
    {
      ca_headers_t headers;

      memset (piece, 'x', sizeof piece);
      run_headers (run, &headers);
      ca_http_response_begin (run->request, 200, &headers);
      ca_headers_finish (&headers);
      run->started = true;
      replica.open++;
    }
  for (size_t i = 0; i < REPLICA_FLOOD_EVENTS; i++)
    {
      ca_http_response_write (
          run->request, id,
          (size_t)snprintf (id, sizeof id, "id: %u\ndata: ", run->next++));
      ca_http_response_write (run->request, piece, sizeof piece);
      ca_http_response_write (run->request, "\n\n", 2);
    }
  event_add (run->timer, &wait);
  return true;
}

/* Sends a large body whose end never comes; false if the response is another.
 */
static bool
run_step_swell (run_t *run)
{
  ca_headers_t headers;
  char *bytes;

  if (strcmp (run->fault, "swell") != 0)
    return false;
  run_headers (run, &headers);
  ca_http_response_begin (run->request, 200, &headers);
  ca_headers_finish (&headers);
  run->started = true;
  replica.open++;
  bytes = calloc (1, REPLICA_SWELL_BYTES);
  ca_http_response_write (run->request, bytes, REPLICA_SWELL_BYTES);
  free (bytes);
  return true;
}

/* Sends the next part of a response; applies the faults that end it. */
static void
run_step (evutil_socket_t fd, short what, void *context)
{
  run_t *run = context;
  struct timeval wait = { 0, replica.event_ms * 1000 };

  (void)fd;
  (void)what;
  if (run_step_flood (run) || run_step_swell (run) || run_step_endless (run))
    return;
  if (strcmp (run->fault, "lost") == 0
      || (strcmp (run->fault, "cut") == 0 && run->count == 0))
    {
      ca_http_response_abort (run->request);
      run_free (run);
      return;
    }
  if (run->count > 0 && run_step_stream (run))
    {
      event_add (run->timer, &wait);
      return;
    }
  if (run->count == 0)
    run_answer_plain (run);
  run_free (run);
}

/* True if the part is in the prompt before the last one. */
static bool
has_part (const ca_http_server_request_t *request, const char *part)
{
  const char *prefix = header_of (request, "Camphorarch-Prompt-Prefix");
  const char *found = part[0] == '\0' ? NULL : strstr (prefix, part);

  return found != NULL && strchr (found, ',') != NULL;
}

static void
run_start (ca_http_server_request_t *request, const char *fault)
{
  run_t *run = calloc (1, sizeof *run);
  struct timeval wait = { 0, replica.work_ms * 1000 };
  const char *last = ca_headers_find (&request->head->headers, "Last-Event-Id");

  replica.running++;
  run->request = request;
  strlcpy (run->id, header_of (request, "Camphorarch-Attempt-Id"),
           sizeof run->id);
  strlcpy (run->fault, fault, sizeof run->fault);
  run->next = last == NULL ? 1 : (uint32_t)strtoul (last, NULL, 10) + 1;
  if (ca_headers_find (&request->head->headers, "Camphorarch-Token-Usage")
      != NULL)
    run->count = REPLICA_EVENTS;
  if (strcmp (fault, "fail") == 0)
    {
      strlcpy (run->fault, "error", sizeof run->fault);
      run->count = 0;
    }
  run->ends = has_part (request, replica.ends_on_part);
  run->timer = evtimer_new (replica.site.base, run_step, run);
  event_add (run->timer, &wait);
  request->user_data = run;
  log_run (request);
  if (replica.ends_on[0] != '\0'
      && strstr (request->head->target, replica.ends_on) != NULL)
    _exit (1);
}

/* Refuses a request as not executed. */
static void
reject (ca_http_server_request_t *request, uint32_t status)
{
  ca_headers_t headers;

  ca_headers_init (&headers);
  ca_headers_add (&headers, "Camphorarch-Attempt-Id",
                  header_of (request, "Camphorarch-Attempt-Id"));
  ca_headers_add (&headers, "Camphorarch-Not-Executed", "1");
  add_notices (&headers);
  if (replica.pause[0] != '\0')
    ca_headers_add (&headers, "Retry-After", replica.pause);
  ca_http_respond (request, status, &headers, "", 0);
  ca_headers_finish (&headers);
}

/* Rejects a request; one that comes again on its connection runs, too. */
static void
reject_repeatedly (ca_http_server_request_t *request)
{
  const char *id = header_of (request, "Camphorarch-Attempt-Id");
  char *rejected_id
      = replica.rejected_ids[((uintptr_t)request >> 4) % REPLICA_REPEATS];

  if (strcmp (rejected_id, id) == 0)
    log_run (request);
  strlcpy (rejected_id, id, sizeof replica.rejected_ids[0]);
  reject (request, 503);
}

/* Runs a request and rejects it without its id. */
static void
reject_bare (ca_http_server_request_t *request)
{
  ca_headers_t headers;

  log_run (request);
  ca_headers_init (&headers);
  ca_headers_add (&headers, "Camphorarch-Not-Executed", "1");
  ca_http_respond (request, 503, &headers, "", 0);
  ca_headers_finish (&headers);
}

/* Runs a request and writes the latest answer once more, without an id. */
static void
answer_again (ca_http_server_request_t *request)
{
  ca_headers_t headers;
  char body[256];
  int bytes = snprintf (body, sizeof body, "answer to %s", replica.answered_id);

  log_run (request);
  ca_headers_init (&headers);
  ca_headers_printf (&headers, "Camphorarch-Replica-Signature", "%s.%s",
                     replica.id, replica.answered_id);
  ca_http_respond (request, 200, &headers, body, (size_t)bytes);
  ca_headers_finish (&headers);
}

/* Rejects a request for want of room; ends if there were too many. */
static void
reject_full (ca_http_server_request_t *request)
{
  uint64_t now_us = ca_clock_now_us ();
  uint64_t first_us;

  reject (request, 503);
  replica.rejected_us[replica.rejections++ % (REPLICA_BRITTLE_MAX + 1)]
      = now_us;
  if (replica.brittle == 0 || now_us < replica.weak_us
      || replica.rejections <= replica.brittle)
    return;
  first_us = replica.rejected_us[(replica.rejections - replica.brittle - 1)
                                 % (REPLICA_BRITTLE_MAX + 1)];
  if (now_us - first_us >= CA_US_PER_S)
    return;
  fprintf (stderr, "%s fell over after %llu rejections\n", replica.id,
           (unsigned long long)replica.rejections);
  _exit (1);
}

static void
serve_control (ca_http_server_request_t *request)
{
  json_t *body = site_body (request);
  const char *fault = json_string_value (json_object_get (body, "fault"));
  const char *limit = json_string_value (json_object_get (body, "limit"));
  const char *pause = json_string_value (json_object_get (body, "pause"));

  if (limit != NULL)
    {
      strlcpy (replica.limit, limit, sizeof replica.limit);
      replica.limit_since_us = ca_clock_now_us ();
      replica.requests = 0;
      replica.most = 0;
    }
  if (json_object_get (body, "brittle") != NULL)
    {
      replica.brittle
          = (uint32_t)json_integer_value (json_object_get (body, "brittle"));
      replica.weak_us = ca_clock_now_us () + REPLICA_BRITTLE_CONTACT_US;
    }
  if (pause != NULL)
    strlcpy (replica.pause, pause, sizeof replica.pause);
  if (limit == NULL && pause != NULL)
    replica.requests = 0;
  replica.leaving = json_is_true (json_object_get (body, "leaving"));
  if (replica.leaving)
    replica.requests = 0;
  strlcpy (replica.fault, fault == NULL ? "" : fault, sizeof replica.fault);
  replica.faults_left
      = (int)json_integer_value (json_object_get (body, "next"));
  replica.fault_every
      = (int)json_integer_value (json_object_get (body, "every"));
  if (json_is_true (json_object_get (body, "register")))
    replica.registered = false;
  json_decref (body);
  site_respond (request, 200, json_object ());
}

static void
on_request (void *context, ca_http_server_request_t *request)
{
  const char *fault = "";

  (void)context;
  if (site_is_path (request, "/control"))
    {
      serve_control (request);
      return;
    }
  if (site_is_path (request, "/record"))
    {
      site_respond (request, 200,
                    json_pack ("{s:I, s:I, s:I}", "requests",
                               (json_int_t)replica.requests, "most",
                               (json_int_t)replica.most, "open",
                               (json_int_t)replica.open));
      return;
    }
  count_request ();
  if (strcmp (header_of (request, "Camphorarch-Expected-Replica"), replica.id)
      != 0)
    {
      reject (request, 421);
      return;
    }
  if (replica.faults_left > 0
      && (replica.fault_every == 0
          || ++replica.fault_requests % replica.fault_every == 0))
    {
      replica.faults_left--;
      fault = replica.fault;
    }
  if (strcmp (fault, "reject") == 0 || replica.pause[0] != '\0')
    reject (request, 503);
  else if (replica.slots > 0 && replica.running >= replica.slots)
    reject_full (request);
  else if (strcmp (fault, "repeat") == 0)
    reject_repeatedly (request);
  else if (strcmp (fault, "bare") == 0)
    reject_bare (request);
  else if (strcmp (fault, "copy") == 0)
    answer_again (request);
  else if (strcmp (fault, "reset") == 0)
    ca_http_response_abort (request);
  else
    run_start (request, fault);
}

static void
on_disconnect (void *context, ca_http_server_request_t *request)
{
  run_t *run = request->user_data;

  (void)context;
  if (run == NULL)
    return;
  if (run->started && run->next == 1)
    replica.open--;
  run_free (run);
}

/* Reports draining and exits after the drain time. */
static void
on_term (evutil_socket_t fd, short what, void *context)
{
  struct timeval wait = { REPLICA_DRAIN_S, 0 };

  (void)fd;
  (void)what;
  (void)context;
  replica.draining = true;
  replica.registered = false;
  put_record ();
  event_base_loopexit (replica.site.base, &wait);
}

int
main (int argc, char **argv)
{
  ca_http_handler_t handler = { on_request, on_disconnect, NULL };
  struct timeval period = { 0, REPLICA_REGISTER_PERIOD_MS * 1000 };
  struct timeval now;
  const char *port = site_argument (argc, argv, "port", "0");

  gettimeofday (&now, NULL);
  replica.born_ms = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_usec / 1000;
  replica.id = site_argument (argc, argv, "id", "e");
  replica.service = site_argument (argc, argv, "service", "s");
  replica.zone = site_argument (argc, argv, "zone", "z1");
  replica.version = site_argument (argc, argv, "version", "");
  replica.event_ms = (uint32_t)strtoul (
      site_argument (argc, argv, "event-ms", REPLICA_EVENT_MS), NULL, 10);
  replica.work_ms = (uint32_t)strtoul (
      site_argument (argc, argv, "work-ms", REPLICA_WORK_MS), NULL, 10);
  replica.slots
      = (uint32_t)strtoul (site_argument (argc, argv, "slots", "0"), NULL, 10);
  replica.brittle = (uint32_t)strtoul (
      site_argument (argc, argv, "brittle", "0"), NULL, 10);
  replica.ends_on = site_argument (argc, argv, "ends-on", "");
  replica.ends_on_part = site_argument (argc, argv, "ends-on-part", "");
  replica.listed_port = (uint16_t)strtoul (
      site_argument (argc, argv, "listed", port), NULL, 10);
  replica.store
      = (uint16_t)strtoul (site_argument (argc, argv, "store", "0"), NULL, 10);
  replica.runs_fd = open (site_argument (argc, argv, "runs", "/dev/null"),
                          O_WRONLY | O_APPEND | O_CREAT, 0600);
  site_init (&replica.site, (uint16_t)strtoul (port, NULL, 10), &handler);
  site_on_term (&replica.site, on_term, NULL);
  ca_http_pool_init (&replica.pool, replica.site.base);
  replica.register_timer
      = event_new (replica.site.base, -1, EV_PERSIST, on_register_timer, NULL);
  event_add (replica.register_timer, &period);
  put_record ();
  event_base_dispatch (replica.site.base);
  return 0;
}
