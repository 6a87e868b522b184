/* HTTP client for engines and services: attempts, stop requests, probes. */
#include "adapters/engine.h"

#include "base/clock_source.h"
#include "core/tokens.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define STOP_TIMEOUT_MS 1500
#define PROBE_TIMEOUT_MS 1000

/* Maximum line length of an engine's stream. */
#define LINE_MAX_BYTES (1024 * 1024)

/* Maximum evicted cache blocks taken from one health response. */
#define EVICTED_MAX 4096
#define RUN_ID_BYTES 48

typedef struct
{
  uint64_t request;
  uint32_t leg;
  uint32_t padding; /* explicit and 0, since the whole key is hashed */
} ca_engine_key_t;

typedef struct ca_engine_attempt
{
  ca_engine_key_t key;
  ca_engine_t *engine;
  ca_run_attempt_t attempt;
  bool service;
  bool reattach;
  bool completed; /* the core gets no further events of this attempt */
  char run[RUN_ID_BYTES];
  ca_http_call_t *call;
  struct evbuffer *line;
  UT_hash_handle hh;
} ca_engine_attempt_t;

/* Formats the id of a run that endpoints see; all its attempts share it. */
static void
engine_format_run_id (const ca_run_attempt_t *attempt, char name[RUN_ID_BYTES])
{
  snprintf (name, RUN_ID_BYTES, "%016" PRIx64 "-%u", attempt->request,
            attempt->run);
}

void
ca_engine_init (ca_engine_t *engine, ca_core_t *core, ca_http_client_t *http)
{
  engine->core = core;
  engine->http = http;
  engine->attempts = NULL;
}

static void
engine_attempt_free (ca_engine_attempt_t *attempt)
{
  HASH_DEL (attempt->engine->attempts, attempt);
  evbuffer_free (attempt->line);
  free (attempt);
}

static ca_engine_attempt_t *
engine_attempt_find (const ca_engine_t *engine, const ca_run_attempt_t *attempt)
{
  ca_engine_key_t key = { attempt->request, attempt->leg, 0 };
  ca_engine_attempt_t *found = NULL;

  HASH_FIND (hh, engine->attempts, &key, sizeof key, found);
  return found;
}

void
ca_engine_abandon (ca_engine_t *engine, const ca_run_attempt_t *attempt)
{
  ca_engine_attempt_t *found = engine_attempt_find (engine, attempt);

  if (found == NULL)
    return;
  found->completed = true;
  /* Cancelling is safe even from within one of the call's own callbacks. */
  if (found->call != NULL)
    ca_http_call_cancel (found->call);
  found->call = NULL;
  engine_attempt_free (found);
}

void
ca_engine_finish (ca_engine_t *engine)
{
  ca_engine_attempt_t *attempt;
  ca_engine_attempt_t *next;

  HASH_ITER (hh, engine->attempts, attempt, next)
  {
    if (attempt->call != NULL)
      ca_http_call_cancel (attempt->call);
    engine_attempt_free (attempt);
  }
}

/* Handles one line of the stream; false if it ends the attempt. */
static bool
engine_handle_line (ca_engine_attempt_t *attempt, const char *text,
                    size_t bytes)
{
  ca_core_t *core = attempt->engine->core;
  uint64_t now_us = ca_clock_now_us ();
  ca_run_attempt_t attempt_id = attempt->attempt;
  json_t *line = json_loadb (text, bytes, 0, NULL);
  const char *run = json_string_value (json_object_get (line, "run"));
  const json_t *token = json_object_get (line, "t");
  const json_t *index = json_object_get (line, "i");

  if (run == NULL || strcmp (run, attempt->run) != 0)
    {
      json_decref (line);
      ca_core_attempt_failed (core, now_us, &attempt_id, CA_FAILURE_BAD_ANSWER);
      return false;
    }
  if (json_is_true (json_object_get (line, "done")))
    {
      uint32_t tokens
          = (uint32_t)json_integer_value (json_object_get (line, "tokens"));
      uint32_t recomputed
          = (uint32_t)json_integer_value (json_object_get (line, "recomputed"));

      json_decref (line);
      ca_core_attempt_end (core, now_us, &attempt_id, tokens, recomputed);
      return false;
    }
  if (json_is_string (token) && json_is_integer (index))
    ca_core_attempt_token (
        core, now_us, &attempt_id, (uint32_t)json_integer_value (index),
        json_string_value (token), json_string_length (token));
  else
    ca_core_attempt_progress (core, now_us, &attempt_id);
  json_decref (line);
  return true;
}

/* True if the attempt exists and has not completed: the core may have
 * abandoned it while a line was handled. */
static bool
engine_attempt_is_open (ca_engine_t *engine, const ca_run_attempt_t *attempt_id)
{
  const ca_engine_attempt_t *attempt = engine_attempt_find (engine, attempt_id);

  return attempt != NULL && !attempt->completed;
}

/* Splits the response into lines; the core may abandon the attempt while one is
 * handled. */
static void
engine_attempt_on_chunk (void *context, int status, const char *bytes,
                         size_t count)
{
  ca_engine_attempt_t *attempt = context;
  ca_engine_t *engine = attempt->engine;
  ca_run_attempt_t attempt_id = attempt->attempt;
  size_t length;
  char *line;

  evbuffer_add (attempt->line, bytes, count);
  if (status != 200)
    return;
  while (engine_attempt_is_open (engine, &attempt_id)
         && (line = evbuffer_readln (attempt->line, &length, EVBUFFER_EOL_LF))
                != NULL)
    {
      if (!engine_handle_line (attempt, line, length)
          && engine_attempt_is_open (engine, &attempt_id))
        attempt->completed = true;
      free (line);
    }
  if (engine_attempt_is_open (engine, &attempt_id)
      && evbuffer_get_length (attempt->line) > LINE_MAX_BYTES)
    {
      attempt->completed = true;
      ca_core_attempt_failed (engine->core, ca_clock_now_us (), &attempt_id,
                              CA_FAILURE_BAD_ANSWER);
    }
}

/* Maps an HTTP status other than 200 to a failure of the run. */
static ca_failure_t
engine_failure_from_status (const ca_engine_attempt_t *attempt, int status)
{
  if (attempt->reattach)
    return status == 404 ? CA_FAILURE_UNKNOWN_RUN : CA_FAILURE_INTERRUPTED;
  if (status == 503 || status == 429)
    return CA_FAILURE_REFUSED;
  if (status == 400 || status == 422)
    return CA_FAILURE_PERMANENT;
  return CA_FAILURE_INTERRUPTED;
}

/* The connection is closed: reports a failure unless the attempt completed. */
static void
engine_attempt_on_done (void *context, const ca_http_result_t *result)
{
  ca_engine_attempt_t *attempt = context;
  ca_core_t *core = attempt->engine->core;
  ca_run_attempt_t attempt_id = attempt->attempt;
  bool completed = attempt->completed;
  ca_failure_t failure = CA_FAILURE_INTERRUPTED;

  if (result->end == CA_HTTP_NOT_SENT)
    failure = CA_FAILURE_NOT_SENT;
  else if (result->end == CA_HTTP_ANSWERED && result->status != 200)
    failure = engine_failure_from_status (attempt, result->status);
  attempt->call = NULL;
  engine_attempt_free (attempt);
  if (!completed)
    ca_core_attempt_failed (core, ca_clock_now_us (), &attempt_id, failure);
}

/* Maps a failed service call: 503 and 429 mean that it was not executed, any
 * other 4xx that the request is invalid.  In all other cases it may have been
 * executed. */
static ca_failure_t
engine_failure_from_service (const ca_http_result_t *result)
{
  if (result->end == CA_HTTP_NOT_SENT)
    return CA_FAILURE_NOT_SENT;
  if (result->end == CA_HTTP_INTERRUPTED)
    return CA_FAILURE_INTERRUPTED;
  if (result->status == 503 || result->status == 429)
    return CA_FAILURE_REFUSED;
  if (result->status >= 400 && result->status < 500)
    return CA_FAILURE_PERMANENT;
  return CA_FAILURE_INTERRUPTED;
}

/* Delivers a service's response body as the request's only token. */
static void
engine_service_on_done (void *context, const ca_http_result_t *result)
{
  ca_engine_attempt_t *attempt = context;
  ca_core_t *core = attempt->engine->core;
  ca_run_attempt_t attempt_id = attempt->attempt;
  uint64_t now_us = ca_clock_now_us ();
  bool completed = attempt->completed;

  attempt->call = NULL;
  engine_attempt_free (attempt);
  if (completed)
    return;
  if (result->end != CA_HTTP_ANSWERED || result->status != 200)
    {
      ca_core_attempt_failed (core, now_us, &attempt_id,
                              engine_failure_from_service (result));
      return;
    }
  ca_core_attempt_token (core, now_us, &attempt_id, 0, result->body,
                         result->body_bytes);
  ca_core_attempt_end (core, now_us, &attempt_id, 1, 0);
}

/* Returns the JSON body that starts a run; free() it. */
static char *
engine_start_body (const ca_dispatch_t *dispatch, const char *run)
{
  json_t *tokens = json_array ();
  json_t *body;
  char *text;

  for (uint32_t i = 0; i < dispatch->tokens->count; i++)
    {
      size_t bytes;
      const char *token = ca_tokens_get (dispatch->tokens, i, &bytes);

      json_array_append_new (tokens, json_stringn (token, bytes));
    }
  body = json_pack ("{s:s, s:s, s:s, s:o, s:I, s:I, s:o}", "run", run, "model",
                    dispatch->pool, "version", dispatch->version, "prompt",
                    json_stringn (dispatch->body, dispatch->body_bytes),
                    "max_tokens", (json_int_t)dispatch->max_tokens, "priority",
                    (json_int_t)dispatch->priority, "tokens", tokens);
  if (dispatch->kv.handle != 0)
    {
      char address[CA_ADDRESS_BYTES];

      ca_address_print (&dispatch->kv.address, address);
      json_object_set_new (body, "kv",
                           json_pack ("{s:I, s:s}", "handle",
                                      (json_int_t)dispatch->kv.handle,
                                      "address", address));
    }
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

static ca_engine_attempt_t *
engine_attempt_new (ca_engine_t *engine, const ca_dispatch_t *dispatch)
{
  ca_engine_attempt_t *attempt = calloc (1, sizeof *attempt);

  attempt->key.request = dispatch->attempt.request;
  attempt->key.leg = dispatch->attempt.leg;
  attempt->engine = engine;
  attempt->attempt = dispatch->attempt;
  attempt->service = dispatch->service;
  attempt->reattach = dispatch->reattach;
  attempt->line = evbuffer_new ();
  engine_format_run_id (&dispatch->attempt, attempt->run);
  HASH_ADD (hh, engine->attempts, key, sizeof attempt->key, attempt);
  return attempt;
}

static void
engine_dispatch_service (ca_engine_attempt_t *attempt,
                         const ca_dispatch_t *dispatch)
{
  const char *headers[]
      = { "X-Run-Id", attempt->run, "X-Workspace", dispatch->workspace, NULL };
  ca_http_request_t request;

  memset (&request, 0, sizeof request);
  request.address = dispatch->attempt.address;
  request.method = EVHTTP_REQ_POST;
  request.path = dispatch->path == NULL ? "/" : dispatch->path;
  request.body = dispatch->body;
  request.body_bytes = dispatch->body_bytes;
  request.headers = headers;
  request.new_connection = !dispatch->idempotent;
  request.on_done = engine_service_on_done;
  request.context = attempt;
  attempt->call = ca_http_call_start (attempt->engine->http, &request);
}

static void
engine_dispatch_run (ca_engine_attempt_t *attempt,
                     const ca_dispatch_t *dispatch)
{
  ca_http_request_t request;
  char path[128];
  char *body = NULL;

  memset (&request, 0, sizeof request);
  request.address = dispatch->attempt.address;
  request.new_connection = true;
  request.on_chunk = engine_attempt_on_chunk;
  request.on_done = engine_attempt_on_done;
  request.context = attempt;
  request.path = "/v1/runs";
  request.method = EVHTTP_REQ_POST;
  if (dispatch->reattach)
    {
      snprintf (path, sizeof path, "/v1/runs/%s?from=%u", attempt->run,
                dispatch->tokens->count);
      request.path = path;
      request.method = EVHTTP_REQ_GET;
    }
  else
    {
      body = engine_start_body (dispatch, attempt->run);
      request.body = body;
      request.body_bytes = strlen (body);
    }
  attempt->call = ca_http_call_start (attempt->engine->http, &request);
  free (body);
}

void
ca_engine_dispatch (ca_engine_t *engine, const ca_dispatch_t *dispatch)
{
  ca_engine_attempt_t *attempt = engine_attempt_new (engine, dispatch);

  if (dispatch->service)
    engine_dispatch_service (attempt, dispatch);
  else
    engine_dispatch_run (attempt, dispatch);
}

typedef struct
{
  ca_engine_t *engine;
  ca_run_attempt_t attempt;
} ca_engine_stop_t;

/* Parses the state of a stopped run; CA_RUN_NO_ANSWER if unknown. */
static ca_run_state_t
engine_parse_state (const char *text)
{
  if (text == NULL)
    return CA_RUN_NO_ANSWER;
  if (strcmp (text, "never_started") == 0)
    return CA_RUN_NEVER_STARTED;
  if (strcmp (text, "stopped") == 0)
    return CA_RUN_STOPPED;
  if (strcmp (text, "finished") == 0)
    return CA_RUN_FINISHED;
  return CA_RUN_NO_ANSWER;
}

static void
engine_stop_on_done (void *context, const ca_http_result_t *result)
{
  ca_engine_stop_t *stop = context;
  json_t *body = NULL;
  json_t *list;
  const char **tokens;
  ca_stop_result_t stopped;
  size_t index;
  json_t *token;

  if (result->end == CA_HTTP_ANSWERED && result->status == 200)
    body = json_loadb (result->body, result->body_bytes, 0, NULL);
  memset (&stopped, 0, sizeof stopped);
  list = json_object_get (body, "tokens");
  tokens = calloc (json_array_size (list) + 1, sizeof *tokens);
  json_array_foreach (list, index, token)
  {
    if (json_is_string (token))
      tokens[stopped.token_count++] = json_string_value (token);
  }
  stopped.state = engine_parse_state (
      json_string_value (json_object_get (body, "state")));
  stopped.boot = (uint64_t)json_integer_value (json_object_get (body, "boot"));
  stopped.first
      = (uint32_t)json_integer_value (json_object_get (body, "first"));
  stopped.kv = (uint64_t)json_integer_value (json_object_get (body, "kv"));
  stopped.tokens = tokens;
  ca_core_run_stopped (stop->engine->core, ca_clock_now_us (), &stop->attempt,
                       &stopped);
  free (tokens);
  json_decref (body);
  free (stop);
}

void
ca_engine_stop_run (ca_engine_t *engine, const ca_stop_order_t *order)
{
  ca_engine_stop_t *stop = calloc (1, sizeof *stop);
  char run[RUN_ID_BYTES];
  char path[128];
  ca_http_request_t request;

  stop->engine = engine;
  stop->attempt = order->attempt;
  engine_format_run_id (&order->attempt, run);
  snprintf (path, sizeof path, "/v1/runs/%s/stop?from=%u&export=%d", run,
            order->from, order->export_kv ? 1 : 0);
  memset (&request, 0, sizeof request);
  request.address = order->attempt.address;
  request.method = EVHTTP_REQ_POST;
  request.path = path;
  request.body = "{}";
  request.body_bytes = 2;
  request.timeout_ms = STOP_TIMEOUT_MS;
  request.new_connection = true;
  request.on_done = engine_stop_on_done;
  request.on_drop = free;
  request.context = stop;
  ca_http_call_start (engine->http, &request);
}

typedef struct
{
  ca_engine_t *engine;
  uint64_t endpoint;
} ca_engine_probe_t;

/* Parses a health response; `evicted` has room for EVICTED_MAX blocks. */
static void
engine_parse_health (const json_t *body, ca_health_t *health, uint64_t *evicted)
{
  const json_t *cache = json_object_get (body, "cache");
  size_t index;
  json_t *item;

  memset (health, 0, sizeof *health);
  health->boot = (uint64_t)json_integer_value (json_object_get (body, "boot"));
  health->leaving = json_is_true (json_object_get (body, "leaving"));
  health->notice_us
      = (uint64_t)json_integer_value (json_object_get (body, "notice_ms"))
        * 1000;
  health->max_batch
      = (uint32_t)json_integer_value (json_object_get (body, "max_batch"));
  if (health->max_batch == 0)
    health->max_batch = 1;
  health->cache_blocks
      = (uint32_t)json_integer_value (json_object_get (cache, "blocks"));
  health->cache_seq
      = (uint64_t)json_integer_value (json_object_get (cache, "seq"));
  health->cache_events_lost = json_is_true (json_object_get (cache, "gap"));
  json_array_foreach (json_object_get (cache, "dropped"), index, item)
  {
    const char *text = json_string_value (item);

    if (text != NULL && health->evicted_count < EVICTED_MAX)
      evicted[health->evicted_count++] = strtoull (text, NULL, 16);
  }
  health->evicted = evicted;
}

static void
engine_probe_on_done (void *context, const ca_http_result_t *result)
{
  ca_engine_probe_t *probe = context;
  json_t *body = NULL;
  uint64_t *evicted = calloc (EVICTED_MAX, sizeof *evicted);
  ca_health_t health;

  if (result->end == CA_HTTP_ANSWERED && result->status == 200)
    body = json_loadb (result->body, result->body_bytes, 0, NULL);
  if (json_is_object (body))
    engine_parse_health (body, &health, evicted);
  ca_core_endpoint_health (probe->engine->core, ca_clock_now_us (),
                           probe->endpoint,
                           json_is_object (body) ? &health : NULL);
  free (evicted);
  json_decref (body);
  free (probe);
}

void
ca_engine_probe (ca_engine_t *engine, uint64_t endpoint,
                 const ca_address_t *address, bool service, uint64_t cache_seq)
{
  ca_engine_probe_t *probe = calloc (1, sizeof *probe);
  char path[64];
  ca_http_request_t request;

  probe->engine = engine;
  probe->endpoint = endpoint;
  snprintf (path, sizeof path, "/v1/health?cache_seq=%" PRIu64,
            service ? 0 : cache_seq);
  memset (&request, 0, sizeof request);
  request.address = *address;
  request.method = EVHTTP_REQ_GET;
  request.path = path;
  request.timeout_ms = PROBE_TIMEOUT_MS;
  request.on_done = engine_probe_on_done;
  request.on_drop = free;
  request.context = probe;
  ca_http_call_start (engine->http, &request);
}
