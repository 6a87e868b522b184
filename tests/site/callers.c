/* Load generator that checks the guarantees of the users' pages.
 *
 *   site-callers --entries PORT,PORT,... --seconds N --rate N --seed N
 *                --runs FILE [--calm 1]
 *
 * Sends requests of every kind, some on reused connections, and checks each
 * response: it must be complete, belong to the request, and stream without gaps
 * or duplicates.  At the end it reads the runs that the endpoints logged: a
 * non-idempotent request ran at most once, a request refused as not executed
 * never ran, the caller's key was not forwarded, and the workspace is the one
 * of the key.  With --calm every request must be served.  Prints one line for
 * each violation, then the counts; exit status 1 if there was a violation. */
#include "tests/site/site.h"

#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

#define CALLERS_MAX_ENTRIES 64
#define CALLERS_MAX_PRINTED 20

typedef enum
{
  KIND_NON_IDEMPOTENT,
  KIND_IDEMPOTENT,
  KIND_STREAMING,
  KIND_RESUMABLE,
  KINDS
} kind_t;

static const char *const kind_paths[KINDS]
    = { "/once/x", "/again/x", "/chat/x", "/resume/x" };

/* Events of a complete stream, as sent by site-replica. */
#define STREAM_EVENTS 6

/* A request, its response, and the number of its runs. */
typedef struct
{
  char id[32];
  kind_t kind;
  uint32_t status; /* 0: none */
  ca_http_outcome_t outcome;
  bool is_signed;
  bool other_id;
  char body[2048];
  size_t bytes;
  uint32_t runs;
  UT_hash_handle hh;
} request_t;

typedef struct
{
  struct event_base *base;
  ca_http_pool_t pool;
  uint16_t entries[CALLERS_MAX_ENTRIES];
  size_t entry_count;
  request_t *requests;
  uint64_t sent;
  uint64_t open;
  uint64_t limit;
  uint64_t violations;
  uint64_t counts[6]; /* 2xx, 429 and 503, other 5xx, 4xx, interrupted,
                         unreachable */
  bool expect_served;
  struct event *timer;
} callers_t;

static callers_t callers;

/* Counts a violation and prints the first ones. */
static void
violation (const request_t *request, const char *what)
{
  if (callers.violations++ < CALLERS_MAX_PRINTED)
    printf ("breach: %s %s: %s; status %u, %zu bytes, runs %u: %.200s\n",
            request->id, kind_paths[request->kind], what,
            (unsigned)request->status, request->bytes, (unsigned)request->runs,
            request->body);
}

static ca_http_head_action_t
on_head (void *context, const ca_http_head_t *head)
{
  request_t *request = context;
  const char *id = ca_headers_find (&head->headers, "Camphorarch-Attempt-Id");

  request->status = head->status;
  request->is_signed
      = ca_headers_find (&head->headers, "Camphorarch-Replica-Signature")
        != NULL;
  request->other_id = id != NULL && strcmp (id, request->id) != 0;
  return CA_HTTP_HEAD_ACCEPT;
}

static bool
on_body (void *context, const char *bytes, size_t count)
{
  request_t *request = context;

  if (request->bytes + count >= sizeof request->body)
    count = sizeof request->body - 1 - request->bytes;
  memcpy (request->body + request->bytes, bytes, count);
  request->bytes += count;
  return true;
}

/* Expected body of a complete response. */
static void
expected_body (const request_t *request, char *text, size_t bytes)
{
  size_t used = 0;

  if (request->kind < KIND_STREAMING)
    {
      snprintf (text, bytes, "answer to %s", request->id);
      return;
    }
  for (unsigned i = 1; i <= STREAM_EVENTS; i++)
    used += (size_t)snprintf (text + used, bytes - used,
                              "id: %u\ndata: %s piece %u\n\n", i, request->id,
                              i);
}

/* Checks the response to one request. */
static void
check_answer (const request_t *request)
{
  char expected[2048];

  if (request->other_id)
    violation (request, "the response belongs to another request");
  if (request->status / 100 != 2)
    {
      if (callers.expect_served)
        violation (request, "not served with --calm");
      return;
    }
  expected_body (request, expected, sizeof expected);
  if (!request->is_signed)
    violation (request, "success without a signature");
  if (request->outcome == CA_HTTP_OUTCOME_COMPLETE
      && strcmp (request->body, expected) != 0)
    violation (request, "complete response differs from the endpoint's");
  if (request->outcome != CA_HTTP_OUTCOME_COMPLETE
      && strncmp (request->body, expected, request->bytes) != 0)
    violation (request, "partial response differs from the endpoint's");
  if (request->outcome != CA_HTTP_OUTCOME_COMPLETE && callers.expect_served)
    violation (request, "interrupted with --calm");
}

/* Counts the response by its class. */
static void
count_answer (const request_t *request)
{
  size_t class = 4;

  if (request->outcome == CA_HTTP_OUTCOME_NOT_SENT)
    class = 5;
  else if (request->outcome != CA_HTTP_OUTCOME_COMPLETE)
    class = 4;
  else if (request->status / 100 == 2)
    class = 0;
  else if (request->status == 429 || request->status == 503)
    class = 1;
  else
    class = request->status >= 500 ? 2 : 3;
  callers.counts[class]++;
}

static void
on_done (void *context, ca_http_outcome_t outcome)
{
  request_t *request = context;

  request->outcome = outcome;
  if (outcome == CA_HTTP_OUTCOME_NOT_SENT)
    request->status = 0;
  callers.open--;
  check_answer (request);
  count_answer (request);
  if (callers.open == 0 && callers.sent >= callers.limit)
    event_base_loopbreak (callers.base);
}

/* Sends a request of a random kind to a random entry. */
static void
send_request (void)
{
  request_t *request = calloc (1, sizeof *request);
  uint16_t port = callers.entries[(size_t)rand () % callers.entry_count];
  ca_headers_t headers;
  char body[600];
  ca_http_pool_call_options_t options
      = { .address = site_loopback (port),
          .headers = &headers,
          .body = body,
          .connect_timeout_ms = 1000,
          .timeout_ms = 12000,
          .max_idle_ms = rand () % 3 == 0 ? 0 : 5000,
          .on_head = on_head,
          .on_body = on_body,
          .on_done = on_done,
          .context = request };

  snprintf (request->id, sizeof request->id, "%08x%08llx", (unsigned)rand (),
            (unsigned long long)callers.sent);
  request->kind = (kind_t)(rand () % KINDS);
  options.method = request->kind == KIND_IDEMPOTENT ? "GET" : "POST";
  options.target = kind_paths[request->kind];
  if (request->kind != KIND_IDEMPOTENT)
    options.body_bytes = (size_t)snprintf (body, sizeof body, "%s%0*d",
                                           request->id, 1 + rand () % 500, 1);
  ca_headers_init (&headers);
  ca_headers_add (&headers, "Host", "host.example");
  ca_headers_add (&headers, "Camphorarch-Attempt-Id", request->id);
  ca_headers_add (&headers, "Authorization", "Bearer k1");
  ca_headers_add (&headers, "Camphorarch-Tenant", "forged");
  ca_headers_add (&headers, "Camphorarch-Deadline-Remaining",
                  request->kind < KIND_STREAMING ? "1000" : "8000");
  if (request->kind >= KIND_STREAMING)
    {
      ca_headers_add (&headers, "Camphorarch-Model", "m");
      ca_headers_add (&headers, "Camphorarch-Token-Usage", "40,24");
      ca_headers_printf (&headers, "Camphorarch-Prompt-Prefix",
                         "a:10,%x:20,%x:10", (unsigned)rand () % 8,
                         (unsigned)rand ());
    }
  HASH_ADD_STR (callers.requests, id, request);
  callers.sent++;
  callers.open++;
  ca_http_pool_call_start (&callers.pool, &options);
  ca_headers_finish (&headers);
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
  if (callers.sent < callers.limit)
    send_request ();
  else
    event_del (callers.timer);
}

/* Checks one run that an endpoint logged. */
static void
check_run (char *line)
{
  char endpoint[64];
  char id[64];
  char path[64];
  char workspace[64];
  char key[64];
  request_t *request = NULL;

  if (sscanf (line, "run %63s %63s %63s %63s %63s", endpoint, id, path,
              workspace, key)
      != 5)
    return;
  HASH_FIND_STR (callers.requests, id, request);
  if (request == NULL)
    {
      printf ("breach: run of an unknown request: %s", line);
      callers.violations++;
      return;
    }
  request->runs++;
  if (strcmp (path, kind_paths[request->kind]) != 0)
    violation (request, "run with another path");
  if (strcmp (workspace, "w1") != 0)
    violation (request, "run for another workspace");
  if (strcmp (key, "-") != 0)
    violation (request, "run with the caller's key");
}

/* Checks the logged runs and how often each request ran. */
static void
check_runs (const char *path)
{
  FILE *file = fopen (path, "r");
  char line[512];
  request_t *request;

  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    check_run (line);
  if (file != NULL)
    fclose (file);
  for (request = callers.requests; request != NULL; request = request->hh.next)
    {
      bool at_most_once = request->kind == KIND_NON_IDEMPOTENT
                          || request->kind == KIND_STREAMING;
      bool not_executed = request->status == 429 || request->status == 503
                          || request->status == 408 || request->status == 421;

      if (at_most_once && request->runs > 1)
        violation (request, "ran more than once");
      if (at_most_once && request->runs > 0 && not_executed
          && !request->is_signed)
        violation (request, "refused as not executed, but ran");
      if (request->runs > 2)
        violation (request, "ran at more endpoints than its route allows");
    }
}

static void
parse_entries (const char *list)
{
  char *copy = strdup (list);
  char *rest = copy;
  char *part;

  while ((part = strsep (&rest, ",")) != NULL
         && callers.entry_count < CALLERS_MAX_ENTRIES)
    callers.entries[callers.entry_count++] = (uint16_t)strtoul (part, NULL, 10);
  free (copy);
}

int
main (int argc, char **argv)
{
  unsigned long seconds
      = strtoul (site_argument (argc, argv, "seconds", "5"), NULL, 10);
  unsigned long rate
      = strtoul (site_argument (argc, argv, "rate", "50"), NULL, 10);
  struct timeval period = { 0, (suseconds_t)(1000000 / rate) };

  setvbuf (stdout, NULL, _IOLBF, 0);
  srand ((unsigned)strtoul (site_argument (argc, argv, "seed", "1"), NULL, 10));
  parse_entries (site_argument (argc, argv, "entries", ""));
  callers.expect_served
      = strcmp (site_argument (argc, argv, "calm", "0"), "1") == 0;
  callers.limit = seconds * rate;
  callers.base = event_base_new ();
  ca_http_pool_init (&callers.pool, callers.base);
  callers.timer = event_new (callers.base, -1, EV_PERSIST, on_timer, NULL);
  event_add (callers.timer, &period);
  event_base_dispatch (callers.base);
  check_runs (site_argument (argc, argv, "runs", ""));
  printf ("sent %llu: served %llu, refused %llu, 5xx %llu, 4xx %llu, "
          "interrupted %llu, unreachable %llu; breaches %llu\n",
          (unsigned long long)callers.sent,
          (unsigned long long)callers.counts[0],
          (unsigned long long)callers.counts[1],
          (unsigned long long)callers.counts[2],
          (unsigned long long)callers.counts[3],
          (unsigned long long)callers.counts[4],
          (unsigned long long)callers.counts[5],
          (unsigned long long)callers.violations);
  return callers.violations > 0;
}
