/* Callers that check the promises of the users' pages.
 *
 *   site-callers --entries PORT,PORT,... --seconds N --rate N --seed N
 *                --runs FILE [--calm 1]
 *
 * Sends requests of every kind, some through kept connections, and checks each
 * answer: whole, one's own, streams without a gap or a double.  At the end it
 * reads the endpoints' runs: a request that may run once has run once at most,
 * and one answered with "not run" never has; the key has reached nobody, and
 * the workspace is the key's.  With --calm every request must be served.
 * Prints a line a breach, then the counts; exit status 1 if there was one. */
#include "tests/site/site.h"

#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

#define CALLERS_ENTRIES 64
#define CALLERS_BREACHES 20

typedef enum
{
  KIND_ONCE,
  KIND_AGAIN,
  KIND_CHAT,
  KIND_RESUME,
  KINDS
} kind_t;

static const char *const kind_paths[KINDS]
    = { "/once/x", "/again/x", "/chat/x", "/resume/x" };

/* Events of a whole stream, as the stand-in of an endpoint makes them. */
#define STREAM_EVENTS 6

typedef struct
{
  char id[32];
  kind_t kind;
  uint32_t status; /* 0: none */
  ca_sent_t sent;
  bool is_signed;
  bool other_id;
  char body[2048];
  size_t bytes;
  uint32_t runs;
  UT_hash_handle hh;
} ask_t;

typedef struct
{
  struct event_base *base;
  ca_http_pool_t pool;
  uint16_t entries[CALLERS_ENTRIES];
  size_t entry_count;
  ask_t *asks;
  uint64_t sent;
  uint64_t open;
  uint64_t limit;
  uint64_t breaches;
  uint64_t counts[6]; /* 2xx, 429 and 503, other 5xx, 4xx, cut, unreachable */
  bool calm;
  struct event *timer;
} callers_t;

static callers_t callers;

static void
breach (const ask_t *ask, const char *what)
{
  if (callers.breaches++ < CALLERS_BREACHES)
    printf ("breach: %s %s: %s; status %u, %zu bytes, runs %u: %.200s\n",
            ask->id, kind_paths[ask->kind], what, (unsigned)ask->status,
            ask->bytes, (unsigned)ask->runs, ask->body);
}

/* --- Answers --- */

static ca_head_verdict_t
on_head (void *context, const ca_http_head_t *head)
{
  ask_t *ask = context;
  const char *id = ca_headers_find (&head->headers, "Camphorarch-Attempt-Id");

  ask->status = head->status;
  ask->is_signed
      = ca_headers_find (&head->headers, "Camphorarch-Replica-Signature")
        != NULL;
  ask->other_id = id != NULL && strcmp (id, ask->id) != 0;
  return CA_HEAD_TAKE;
}

static void
on_body (void *context, const char *bytes, size_t count)
{
  ask_t *ask = context;

  if (ask->bytes + count >= sizeof ask->body)
    count = sizeof ask->body - 1 - ask->bytes;
  memcpy (ask->body + ask->bytes, bytes, count);
  ask->bytes += count;
}

/* What the answer must hold if it is whole. */
static void
expected_body (const ask_t *ask, char *text, size_t bytes)
{
  size_t used = 0;

  if (ask->kind < KIND_CHAT)
    {
      snprintf (text, bytes, "answer to %s", ask->id);
      return;
    }
  for (unsigned i = 1; i <= STREAM_EVENTS; i++)
    used += (size_t)snprintf (text + used, bytes - used,
                              "id: %u\ndata: %s piece %u\n\n", i, ask->id, i);
}

static void
check_answer (const ask_t *ask)
{
  char expected[2048];

  if (ask->other_id)
    breach (ask, "an answer to another request");
  if (ask->status / 100 != 2)
    {
      if (callers.calm)
        breach (ask, "not served on a calm day");
      return;
    }
  expected_body (ask, expected, sizeof expected);
  if (!ask->is_signed)
    breach (ask, "a success without a signature");
  if (ask->sent == CA_SENT_WHOLE && strcmp (ask->body, expected) != 0)
    breach (ask, "a whole answer that is not the endpoint's");
  if (ask->sent != CA_SENT_WHOLE
      && strncmp (ask->body, expected, ask->bytes) != 0)
    breach (ask, "part of an answer that is not the endpoint's");
  if (ask->sent != CA_SENT_WHOLE && callers.calm)
    breach (ask, "cut on a calm day");
}

static void
count_answer (const ask_t *ask)
{
  size_t which = 4;

  if (ask->sent == CA_SENT_NOT)
    which = 5;
  else if (ask->sent != CA_SENT_WHOLE)
    which = 4;
  else if (ask->status / 100 == 2)
    which = 0;
  else if (ask->status == 429 || ask->status == 503)
    which = 1;
  else
    which = ask->status >= 500 ? 2 : 3;
  callers.counts[which]++;
}

static void
on_done (void *context, ca_sent_t sent)
{
  ask_t *ask = context;

  ask->sent = sent;
  if (sent == CA_SENT_NOT)
    ask->status = 0;
  callers.open--;
  check_answer (ask);
  count_answer (ask);
  if (callers.open == 0 && callers.sent >= callers.limit)
    event_base_loopbreak (callers.base);
}

/* --- Requests --- */

static void
send_ask (void)
{
  ask_t *ask = calloc (1, sizeof *ask);
  uint16_t port = callers.entries[(size_t)rand () % callers.entry_count];
  ca_headers_t headers;
  char body[600];
  ca_http_send_t send = { .address = site_loopback (port),
                          .headers = &headers,
                          .body = body,
                          .connect_ms = 1000,
                          .timeout_ms = 12000,
                          .max_idle_ms = rand () % 3 == 0 ? 0 : 5000,
                          .on_head = on_head,
                          .on_body = on_body,
                          .on_done = on_done,
                          .context = ask };

  snprintf (ask->id, sizeof ask->id, "%08x%08llx", (unsigned)rand (),
            (unsigned long long)callers.sent);
  ask->kind = (kind_t)(rand () % KINDS);
  send.method = ask->kind == KIND_AGAIN ? "GET" : "POST";
  send.target = kind_paths[ask->kind];
  if (ask->kind != KIND_AGAIN)
    send.body_bytes = (size_t)snprintf (body, sizeof body, "%s%0*d", ask->id,
                                        1 + rand () % 500, 1);
  ca_headers_init (&headers);
  ca_headers_add (&headers, "Host", "host.example");
  ca_headers_add (&headers, "Camphorarch-Attempt-Id", ask->id);
  ca_headers_add (&headers, "Authorization", "Bearer k1");
  ca_headers_add (&headers, "Camphorarch-Tenant", "forged");
  ca_headers_add (&headers, "Camphorarch-Deadline-Remaining",
                  ask->kind < KIND_CHAT ? "1000" : "8000");
  if (ask->kind >= KIND_CHAT)
    {
      ca_headers_add (&headers, "Camphorarch-Model", "m");
      ca_headers_add (&headers, "Camphorarch-Token-Usage", "40,24");
      ca_headers_printf (&headers, "Camphorarch-Prompt-Prefix",
                         "a:10,%x:20,%x:10", (unsigned)rand () % 8,
                         (unsigned)rand ());
    }
  HASH_ADD_STR (callers.asks, id, ask);
  callers.sent++;
  callers.open++;
  ca_http_send (&callers.pool, &send);
  ca_headers_finish (&headers);
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
  if (callers.sent < callers.limit)
    send_ask ();
  else
    event_del (callers.timer);
}

/* --- The endpoints' word --- */

static void
check_run (char *line)
{
  char endpoint[64];
  char id[64];
  char path[64];
  char workspace[64];
  char key[64];
  ask_t *ask = NULL;

  if (sscanf (line, "run %63s %63s %63s %63s %63s", endpoint, id, path,
              workspace, key)
      != 5)
    return;
  HASH_FIND_STR (callers.asks, id, ask);
  if (ask == NULL)
    {
      printf ("breach: a run that nobody asked for: %s", line);
      callers.breaches++;
      return;
    }
  ask->runs++;
  if (strcmp (path, kind_paths[ask->kind]) != 0)
    breach (ask, "run with another path");
  if (strcmp (workspace, "w1") != 0)
    breach (ask, "run for another workspace");
  if (strcmp (key, "-") != 0)
    breach (ask, "run with the caller's key");
}

static void
check_runs (const char *path)
{
  FILE *file = fopen (path, "r");
  char line[512];
  ask_t *ask;

  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    check_run (line);
  if (file != NULL)
    fclose (file);
  for (ask = callers.asks; ask != NULL; ask = ask->hh.next)
    {
      bool once = ask->kind == KIND_ONCE || ask->kind == KIND_CHAT;
      bool promised = ask->status == 429 || ask->status == 503
                      || ask->status == 408 || ask->status == 421;

      if (once && ask->runs > 1)
        breach (ask, "ran more than once");
      if (once && ask->runs > 0 && promised && !ask->is_signed)
        breach (ask, "said not to have run, though it had");
      if (ask->runs > 2)
        breach (ask, "ran at more endpoints than its route allows");
    }
}

static void
parse_entries (const char *list)
{
  char *copy = strdup (list);
  char *rest = copy;
  char *part;

  while ((part = strsep (&rest, ",")) != NULL
         && callers.entry_count < CALLERS_ENTRIES)
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
  callers.calm = strcmp (site_argument (argc, argv, "calm", "0"), "1") == 0;
  callers.limit = seconds * rate;
  callers.base = event_base_new ();
  ca_http_pool_init (&callers.pool, callers.base);
  callers.timer = event_new (callers.base, -1, EV_PERSIST, on_timer, NULL);
  event_add (callers.timer, &period);
  event_base_dispatch (callers.base);
  check_runs (site_argument (argc, argv, "runs", ""));
  printf (
      "asked %llu: served %llu, refused %llu, 5xx %llu, 4xx %llu, cut %llu, "
      "unreachable %llu; breaches %llu\n",
      (unsigned long long)callers.sent, (unsigned long long)callers.counts[0],
      (unsigned long long)callers.counts[1],
      (unsigned long long)callers.counts[2],
      (unsigned long long)callers.counts[3],
      (unsigned long long)callers.counts[4],
      (unsigned long long)callers.counts[5],
      (unsigned long long)callers.breaches);
  return callers.breaches > 0;
}
