/* HTTP routes for operators. */
#include "adapters/operators.h"

#include "base/clock_source.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define PLAN_ID_BYTES 32

typedef struct ca_operator_call
{
  uint64_t call;
  ca_operators_t *operators;
  struct evhttp_request *in;
  UT_hash_handle hh;
} ca_operator_call_t;

typedef void (*ca_operator_handler_t) (ca_operators_t *operators,
                                       struct evhttp_request *in,
                                       const char *rest);

/* A route; its handler gets the part of the path after the prefix. */
typedef struct
{
  enum evhttp_cmd_type method;
  const char *prefix;
  bool exact; /* the path must equal the prefix */
  ca_operator_handler_t handler;
} ca_operator_route_t;

void
ca_operators_init (ca_operators_t *operators, ca_core_t *core,
                   ca_observer_t *observer)
{
  operators->core = core;
  operators->observer = observer;
  operators->calls = NULL;
  operators->next_call = 0;
}

static void
operators_call_free (ca_operator_call_t *call)
{
  HASH_DEL (call->operators->calls, call);
  free (call);
}

void
ca_operators_finish (ca_operators_t *operators)
{
  ca_operator_call_t *call;
  ca_operator_call_t *next;

  HASH_ITER (hh, operators->calls, call, next)
  operators_call_free (call);
}

static void
operators_send (struct evhttp_request *in, int status, const char *type,
                const char *body)
{
  struct evbuffer *out = evbuffer_new ();

  evhttp_add_header (evhttp_request_get_output_headers (in), "Content-Type",
                     type);
  evbuffer_add (out, body, strlen (body));
  evhttp_send_reply (in, status, NULL, out);
  evbuffer_free (out);
}

/* The operator disconnected; the core's reply will be dropped. */
static void
operators_on_disconnect (struct evhttp_connection *connection, void *context)
{
  ca_operator_call_t *call = context;

  (void)connection;
  call->in = NULL;
}

/* Registers a call that the core answers later. */
static ca_operator_call_t *
operators_call_new (ca_operators_t *operators, struct evhttp_request *in)
{
  ca_operator_call_t *call = calloc (1, sizeof *call);

  call->call = ++operators->next_call;
  call->operators = operators;
  call->in = in;
  HASH_ADD (hh, operators->calls, call, sizeof call->call, call);
  evhttp_connection_set_closecb (evhttp_request_get_connection (in),
                                 operators_on_disconnect, call);
  return call;
}

void
ca_operators_reply (ca_operators_t *operators, uint64_t number,
                    const ca_operator_reply_t *reply)
{
  ca_operator_call_t *call = NULL;

  HASH_FIND (hh, operators->calls, &number, sizeof number, call);
  if (call == NULL)
    return;
  if (call->in != NULL)
    {
      evhttp_connection_set_closecb (evhttp_request_get_connection (call->in),
                                     NULL, NULL);
      operators_send (call->in, (int)reply->http_status, "application/json",
                      reply->json);
    }
  operators_call_free (call);
}

static void
operators_plan (ca_operators_t *operators, struct evhttp_request *in,
                const char *rest)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (in);
  size_t bytes = evbuffer_get_length (body);
  char *intent = malloc (bytes + 1);
  ca_operator_call_t *call = operators_call_new (operators, in);

  (void)rest;
  evbuffer_copyout (body, intent, bytes);
  intent[bytes] = '\0';
  ca_core_plan (operators->core, ca_clock_now_us (), call->call, intent);
  free (intent);
}

static void
operators_confirm (ca_operators_t *operators, struct evhttp_request *in,
                   const char *rest)
{
  char plan[PLAN_ID_BYTES];
  const char *slash = strchr (rest, '/');
  ca_operator_call_t *call;
  size_t length = slash == NULL ? 0 : (size_t)(slash - rest);

  if (length == 0 || length >= sizeof plan || strcmp (slash, "/confirm") != 0)
    {
      operators_send (in, 404, "application/json",
                      "{\"kind\":\"not_found\",\"remedy\":\"POST "
                      "/v1/plans/PLAN/confirm\"}\n");
      return;
    }
  memcpy (plan, rest, length);
  plan[length] = '\0';
  call = operators_call_new (operators, in);
  ca_core_confirm (operators->core, ca_clock_now_us (), call->call, plan);
}

/* Sends a JSON response; steals the reference to `body`. */
static void
operators_send_json (struct evhttp_request *in, json_t *body)
{
  char *text = json_dumps (body, JSON_INDENT (1));

  operators_send (in, 200, "application/json", text);
  free (text);
  json_decref (body);
}

static void
operators_status (ca_operators_t *operators, struct evhttp_request *in,
                  const char *rest)
{
  (void)rest;
  operators_send_json (in, ca_core_status (operators->core));
}

/* Serves the timeline records whose stamp is above parameter `after`. */
static void
operators_timeline (ca_operators_t *operators, struct evhttp_request *in,
                    const char *rest)
{
  struct evkeyvalq query;
  const char *after;
  json_t *list;

  (void)rest;
  evhttp_parse_query_str (
      evhttp_uri_get_query (evhttp_request_get_evhttp_uri (in)), &query);
  after = evhttp_find_header (&query, "after");
  list = ca_timeline_to_json (&operators->observer->timeline,
                              operators->core->options.name,
                              after == NULL ? 0 : strtoull (after, NULL, 10));
  evhttp_clear_headers (&query);
  operators_send_json (in, json_pack ("{s:o}", "records", list));
}

static void
operators_metrics (ca_operators_t *operators, struct evhttp_request *in,
                   const char *rest)
{
  char *text = NULL;
  size_t bytes = 0;
  FILE *out = open_memstream (&text, &bytes);

  (void)rest;
  ca_counters_print (&operators->core->counters, out);
  fprintf (out,
           "# TYPE camphorarch_active_requests gauge\n"
           "camphorarch_active_requests %u\n",
           operators->core->active);
  fprintf (out,
           "# TYPE camphorarch_config_revision gauge\n"
           "camphorarch_config_revision %llu\n",
           (unsigned long long)operators->core->config.revision);
  fclose (out);
  operators_send (in, 200, "text/plain; version=0.0.4", text);
  free (text);
}

static void
operators_health (ca_operators_t *operators, struct evhttp_request *in,
                  const char *rest)
{
  (void)operators;
  (void)rest;
  operators_send (in, 200, "text/plain", "ok\n");
}

static void
operators_ready (ca_operators_t *operators, struct evhttp_request *in,
                 const char *rest)
{
  bool ready = ca_core_is_ready (operators->core);

  (void)rest;
  operators_send (in, ready ? 200 : 503, "text/plain",
                  ready ? "ready\n" : "not ready\n");
}

/* Starts a planned stop of this entry. */
static void
operators_drain (ca_operators_t *operators, struct evhttp_request *in,
                 const char *rest)
{
  (void)rest;
  ca_core_stop (operators->core, ca_clock_now_us ());
  operators_send (in, 200, "application/json", "{\"stopping\":true}\n");
}

static const ca_operator_route_t operator_routes[] = {
  { EVHTTP_REQ_POST, "/v1/plans", true, operators_plan },
  { EVHTTP_REQ_POST, "/v1/plans/", false, operators_confirm },
  { EVHTTP_REQ_GET, "/v1/status", true, operators_status },
  { EVHTTP_REQ_GET, "/v1/timeline", true, operators_timeline },
  { EVHTTP_REQ_GET, "/metrics", true, operators_metrics },
  { EVHTTP_REQ_GET, "/healthz", true, operators_health },
  { EVHTTP_REQ_GET, "/readyz", true, operators_ready },
  { EVHTTP_REQ_POST, "/v1/drain", true, operators_drain },
};

bool
ca_operators_serve (ca_operators_t *operators, struct evhttp_request *in)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (in));
  size_t count = sizeof operator_routes / sizeof operator_routes[0];

  for (size_t i = 0; path != NULL && i < count; i++)
    {
      const ca_operator_route_t *route = &operator_routes[i];
      size_t length = strlen (route->prefix);

      if (route->method != evhttp_request_get_command (in)
          || strncmp (path, route->prefix, length) != 0
          || (route->exact && path[length] != '\0'))
        continue;
      route->handler (operators, in, path + length);
      return true;
    }
  return false;
}
