/* Stand-in for an endpoint that resets part of its requests.
 *
 *   grey-replica --id ID --service S --zone Z --version V --port N --store N
 *                --event-ms N --events N
 *
 * Registers itself in the store once, and answers each request with a stream
 * of events, which goes on after the one that Last-Event-Id names.  POST
 * /control takes {"share": X}: from then on that part of the requests, evenly
 * spread, is reset as soon as it was read.  GET /record returns the numbers of
 * requests and of those that were reset since then. */
#include "tests/site/site.h"

#include <resolv.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  site_t site;
  ca_http_pool_t pool;
  const char *id;
  const char *version;
  uint32_t event_ms;
  uint32_t events;
  double share;
  double debt;
  uint64_t requests;
  uint64_t resets;
} replica_t;

static replica_t replica;

/* A stream in progress. */
typedef struct
{
  ca_http_server_request_t *request;
  struct event *timer;
  char id[64];
  uint32_t next;
  bool started;
} run_t;

static ca_http_head_action_t
on_put_head (void *context, const ca_http_head_t *head)
{
  (void)context;
  (void)head;
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
  if (outcome != CA_HTTP_OUTCOME_COMPLETE)
    exit (1);
}

/* Writes the endpoint's record to the store. */
static void
put_record (int argc, char **argv, uint16_t port, uint16_t store)
{
  char record[512];
  char value[1024];
  char body[2048];
  ca_http_pool_call_options_t options = { .address = site_loopback (store),
                                          .method = "POST",
                                          .target = "/v1/rows-tx",
                                          .body = body,
                                          .connect_timeout_ms = 1000,
                                          .timeout_ms = 1000,
                                          .on_head = on_put_head,
                                          .on_body = on_put_body,
                                          .on_done = on_put_done };
  int bytes = snprintf (
      record, sizeof record,
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
      "\"version\":\"%s\",\"slots\":64,\"state\":\"ready\","
      "\"cold_remaining_ms\":0,\"sequence\":1}",
      site_argument (argc, argv, "service", "llm"), (unsigned)port,
      site_argument (argc, argv, "zone", "z1"), replica.version);

  b64_ntop ((const unsigned char *)record, (size_t)bytes, value, sizeof value);
  options.body_bytes = (size_t)snprintf (
      body, sizeof body,
      "{\"expect\":[],\"write\":[{\"table_name\":\"servers\",\"part\":\"\","
      "\"key\":\"%s\",\"value\":\"%s\"}],\"removals\":[]}",
      replica.id, value);
  ca_http_pool_call_start (&replica.pool, &options);
}

static void
run_free (run_t *run)
{
  event_free (run->timer);
  free (run);
}

/* Sends the next event, or the end of the stream. */
static void
on_event (evutil_socket_t fd, short what, void *context)
{
  run_t *run = context;
  struct timeval wait = { 0, (suseconds_t)replica.event_ms * 1000 };
  char event[256];

  (void)fd;
  (void)what;
  if (!run->started)
    {
      ca_headers_t headers;

      ca_headers_init (&headers);
      ca_headers_add (&headers, "Camphorarch-Attempt-Id", run->id);
      ca_headers_printf (&headers, "Camphorarch-Replica-Signature", "%s.%s",
                         replica.id, run->id);
      ca_headers_add (&headers, "Content-Type", "text/event-stream");
      ca_http_response_begin (run->request, 200, &headers);
      ca_headers_finish (&headers);
      run->started = true;
    }
  if (run->next > replica.events)
    {
      ca_http_response_end (run->request);
      run_free (run);
      return;
    }
  ca_http_response_write (
      run->request, event,
      (size_t)snprintf (
          event, sizeof event, "id: %u\ndata: %s piece %u of %s\n\n",
          (unsigned)run->next, run->id, (unsigned)run->next, replica.version));
  run->next++;
  event_add (run->timer, &wait);
}

static void
run_start (ca_http_server_request_t *request, const char *id)
{
  const char *last = ca_headers_find (&request->head->headers, "Last-Event-Id");
  struct timeval first = { 0, 3000 };
  run_t *run = calloc (1, sizeof *run);

  run->request = request;
  snprintf (run->id, sizeof run->id, "%s", id);
  run->next = last == NULL ? 1 : (uint32_t)strtoul (last, NULL, 10) + 1;
  run->timer = evtimer_new (replica.site.base, on_event, run);
  event_add (run->timer, &first);
  request->user_data = run;
}

static void
serve_control (ca_http_server_request_t *request)
{
  json_t *body = site_body (request);

  replica.share = json_number_value (json_object_get (body, "share"));
  replica.debt = 0;
  replica.requests = 0;
  replica.resets = 0;
  json_decref (body);
  site_respond (request, 200, json_object ());
}

/* True if this request is one of those to be reset. */
static bool
is_reset (void)
{
  replica.requests++;
  replica.debt += replica.share;
  if (replica.debt < 1)
    return false;
  replica.debt -= 1;
  replica.resets++;
  return true;
}

static void
on_request (void *context, ca_http_server_request_t *request)
{
  const char *expected = ca_headers_find (&request->head->headers,
                                          "Camphorarch-Expected-Replica");
  const char *id
      = ca_headers_find (&request->head->headers, "Camphorarch-Attempt-Id");

  (void)context;
  request->user_data = NULL;
  if (site_is_path (request, "/control"))
    serve_control (request);
  else if (site_is_path (request, "/record"))
    site_respond (request, 200,
                  json_pack ("{s:I, s:I}", "requests",
                             (json_int_t)replica.requests, "resets",
                             (json_int_t)replica.resets));
  else if (id == NULL || expected == NULL || strcmp (expected, replica.id) != 0)
    site_respond (request, 421, json_object ());
  else if (is_reset ())
    ca_http_response_abort (request);
  else
    run_start (request, id);
}

static void
on_disconnect (void *context, ca_http_server_request_t *request)
{
  (void)context;
  if (request->user_data != NULL)
    run_free (request->user_data);
}

static uint32_t
number_argument (int argc, char **argv, const char *name)
{
  return (uint32_t)strtoul (site_argument (argc, argv, name, "0"), NULL, 10);
}

int
main (int argc, char **argv)
{
  ca_http_handler_t handler = { on_request, on_disconnect, NULL };
  uint16_t port = (uint16_t)number_argument (argc, argv, "port");

  replica.id = site_argument (argc, argv, "id", "i-1");
  replica.version = site_argument (argc, argv, "version", "v1");
  replica.event_ms = number_argument (argc, argv, "event-ms");
  replica.events = number_argument (argc, argv, "events");
  site_init (&replica.site, port, &handler);
  ca_http_pool_init (&replica.pool, replica.site.base);
  put_record (argc, argv, port,
              (uint16_t)number_argument (argc, argv, "store"));
  site_run (&replica.site);
  return 0;
}
