/* Measures latency, requests and tokens per second of real processes.
 *
 * path MODE IP:PORT COUNT CONCURRENCY TOKENS
 *   direct          starts runs at an engine
 *   entry           sends requests to an entry
 *   service-direct  calls a plain service
 *   service         calls a plain service through an entry
 *   echo            requests a short answer from a bare evhttp server
 *   serve-echo      runs that server until it is killed
 * Prints one line of results. */
#include "adapters/http_client.h"
#include "base/clock_source.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

typedef struct
{
  struct event_base *base;
  ca_http_client_t http;
  const char *mode;
  ca_address_t address;
  uint32_t count;
  uint32_t tokens;
  uint32_t sent;
  uint32_t done;
  uint32_t failed;
  uint64_t *times_us;
  uint64_t run_prefix;
} path_t;

typedef struct
{
  path_t *path;
  uint64_t start_us;
} path_call_t;

static void path_send_request (path_t *path);

/* Discards streamed tokens: the rate is computed from the number requested. */
static void
path_discard_chunk (void *context, int status, const char *bytes, size_t count)
{
  (void)context;
  (void)status;
  (void)bytes;
  (void)count;
}

static void
path_on_done (void *context, const ca_http_result_t *result)
{
  path_call_t *call = context;
  path_t *path = call->path;

  if (result->end != CA_HTTP_ANSWERED || result->status != 200)
    path->failed++;
  path->times_us[path->done++] = ca_clock_now_us () - call->start_us;
  free (call);
  if (path->sent < path->count)
    path_send_request (path);
  else if (path->done == path->count)
    event_base_loopexit (path->base, NULL);
}

static void
path_send_request (path_t *path)
{
  static const char *const headers[]
      = { "X-Workspace", "taller-cusco", "X-Request-Class", "quick-check",
          NULL };
  static const char *const service_headers[]
      = { "X-Workspace", "taller-cusco", "X-Request-Class", "catalogue-lookup",
          NULL };
  bool service = strncmp (path->mode, "service", 7) == 0;
  bool direct = strcmp (path->mode, "direct") == 0;
  bool echo = strcmp (path->mode, "echo") == 0;
  path_call_t *call = calloc (1, sizeof *call);
  ca_http_request_t request;
  char body[256];

  call->path = path;
  call->start_us = ca_clock_now_us ();
  memset (&request, 0, sizeof request);
  if (direct)
    snprintf (body, sizeof body,
              "{\"run\":\"%" PRIu64 "-%u\",\"prompt\":\"p\",\"version\":"
              "\"v3\",\"max_tokens\":%u,\"tokens\":[]}",
              path->run_prefix, path->sent, path->tokens);
  else
    snprintf (body, sizeof body,
              "{\"prompt\":\"p\",\"max_tokens\":%u,\"stream\":true}",
              path->tokens);
  request.address = path->address;
  request.method = EVHTTP_REQ_POST;
  request.path = direct ? "/v1/runs" : echo ? "/" : "/v1/completions";
  if (service)
    request.path = strcmp (path->mode, "service") == 0
                       ? "/services/member-portal/x"
                       : "/x";
  request.body = body;
  request.body_bytes = strlen (body);
  request.headers = service ? service_headers : headers;
  request.on_chunk = echo || service ? NULL : path_discard_chunk;
  request.on_done = path_on_done;
  request.context = call;
  path->sent++;
  ca_http_call_start (&path->http, &request);
}

static int
path_compare (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return left < right ? -1 : left > right;
}

static void
path_reply_ok (struct evhttp_request *in, void *context)
{
  struct evbuffer *out = evbuffer_new ();

  (void)context;
  evbuffer_add_printf (out, "ok\n");
  evhttp_send_reply (in, 200, NULL, out);
  evbuffer_free (out);
}

/* Runs the bare evhttp server; returns only on failure. */
static int
path_serve_echo (const ca_address_t *address)
{
  struct event_base *base = event_base_new ();
  struct evhttp *http = evhttp_new (base);

  evhttp_set_gencb (http, path_reply_ok, NULL);
  if (evhttp_bind_socket (http, "127.0.0.1", address->port) != 0)
    return 1;
  return event_base_dispatch (base);
}

static void
path_print (path_t *path, uint64_t elapsed_us)
{
  uint32_t median_index = path->done / 2;

  qsort (path->times_us, path->done, sizeof *path->times_us, path_compare);
  printf ("%s requests=%u failed=%u p50_us=%" PRIu64 " p95_us=%" PRIu64
          " per_s=%.0f tokens_per_s=%.0f\n",
          path->mode, path->done, path->failed, path->times_us[median_index],
          path->times_us[(uint64_t)path->done * 95 / 100],
          (double)path->done * 1e6 / (double)elapsed_us,
          (double)path->done * path->tokens * 1e6 / (double)elapsed_us);
}

int
main (int argc, char **argv)
{
  static path_t path;
  uint32_t concurrency;
  uint64_t start_us;

  if (argc < 6 || !ca_address_parse (argv[2], &path.address))
    {
      fprintf (stderr, "usage: path MODE IP:PORT COUNT CONCURRENCY TOKENS\n");
      return 2;
    }
  if (strcmp (argv[1], "serve-echo") == 0)
    return path_serve_echo (&path.address);
  path.mode = argv[1];
  path.count = (uint32_t)strtoul (argv[3], NULL, 10);
  concurrency = (uint32_t)strtoul (argv[4], NULL, 10);
  path.tokens = (uint32_t)strtoul (argv[5], NULL, 10);
  path.run_prefix = ca_clock_wall_us ();
  path.times_us = calloc (path.count, sizeof *path.times_us);
  path.base = event_base_new ();
  ca_http_client_init (&path.http, path.base);
  start_us = ca_clock_now_us ();
  while (path.sent < concurrency && path.sent < path.count)
    path_send_request (&path);
  event_base_dispatch (path.base);
  path_print (&path, ca_clock_now_us () - start_us);
  return 0;
}
