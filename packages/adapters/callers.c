/* HTTP server for callers: parses requests and writes responses. */
#include "adapters/callers.h"

#include "base/clock_source.h"
#include "core/tokens.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define HEAD_MAX_BYTES (16 * 1024)
#define KEY_MAX_BYTES 128
#define MAX_TOKENS_DEFAULT 256
#define MAX_TOKENS_MAX 1000000

/* A connection without an open request is closed after this time. */
#define IDLE_TIMEOUT_S 60

/* Maximum unsent bytes in one caller's connection.  Further tokens stay in the
 * request's token buffer until the buffered bytes are sent. */
#define CALLER_BUFFER_MAX_BYTES (64 * 1024)

typedef struct ca_caller
{
  uint64_t request;
  ca_callers_t *callers;
  struct evhttp_request *in;
  bool stream;
  bool chat;
  bool service;
  bool head_sent;
  bool paused;          /* no writes until the buffered bytes are sent */
  bool complete;        /* the core has delivered the last token */
  uint32_t sent_tokens; /* tokens written to the connection */
  UT_hash_handle hh;
} ca_caller_t;

/* Fields of a request body that the core uses. */
typedef struct
{
  char *prompt; /* owned */
  uint32_t max_tokens;
  bool stream;
} ca_caller_body_t;

static ca_caller_t *
callers_find (const ca_callers_t *callers, uint64_t request)
{
  ca_caller_t *caller = NULL;

  HASH_FIND (hh, callers->callers, &request, sizeof request, caller);
  return caller;
}

static void
callers_free (ca_caller_t *caller)
{
  HASH_DEL (caller->callers->callers, caller);
  free (caller);
}

size_t
ca_callers_open (const ca_callers_t *callers)
{
  return HASH_COUNT (callers->callers);
}

/* The caller closed its connection before the response was complete. */
static void
callers_on_disconnect (struct evhttp_connection *connection, void *context)
{
  ca_caller_t *caller = context;
  ca_core_t *core = caller->callers->core;
  uint64_t request = caller->request;

  (void)connection;
  callers_free (caller);
  ca_core_caller_disconnected (core, ca_clock_now_us (), request);
}

/* Limits how long a connection may be idle, but not how long a request may
 * take. */
static void
callers_set_timeout (struct evhttp_request *in, bool idle)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (in);
  struct bufferevent *stream = evhttp_connection_get_bufferevent (connection);
  struct timeval limit = { IDLE_TIMEOUT_S, 0 };

  bufferevent_set_timeouts (stream, idle ? &limit : NULL, NULL);
}

static void
callers_add_id (struct evhttp_request *in, uint64_t request)
{
  char id[24];

  snprintf (id, sizeof id, "%016" PRIx64, request);
  evhttp_add_header (evhttp_request_get_output_headers (in), "X-Request-Id",
                     id);
}

/* Sends a complete response and frees the caller. */
static void
callers_send (ca_caller_t *caller, int status, const char *type,
              const char *body, size_t bytes)
{
  struct evbuffer *out = evbuffer_new ();

  evhttp_connection_set_closecb (evhttp_request_get_connection (caller->in),
                                 NULL, NULL);
  callers_set_timeout (caller->in, true);
  callers_add_id (caller->in, caller->request);
  evhttp_add_header (evhttp_request_get_output_headers (caller->in),
                     "Content-Type", type);
  evbuffer_add (out, body, bytes);
  evhttp_send_reply (caller->in, status, NULL, out);
  evbuffer_free (out);
  callers_free (caller);
}

/* Sends a JSON response; steals the reference to `body`. */
static void
callers_send_json (ca_caller_t *caller, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  const char *type
      = status >= 400 ? "application/problem+json" : "application/json";

  callers_send (caller, status, type, text, strlen (text));
  free (text);
  json_decref (body);
}

/* Starts an event stream unless that was done before. */
static void
callers_send_head (ca_caller_t *caller)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (caller->in);

  if (caller->head_sent)
    return;
  caller->head_sent = true;
  callers_add_id (caller->in, caller->request);
  evhttp_add_header (headers, "Content-Type", "text/event-stream");
  evhttp_add_header (headers, "Cache-Control", "no-store");
  evhttp_send_reply_start (caller->in, 200, NULL);
}

/* Writes one server-sent event; `event` and `id` may be NULL. */
static void
callers_send_event (ca_caller_t *caller, const char *event, const char *id,
                    const char *data)
{
  struct evbuffer *out = evbuffer_new ();

  if (event != NULL)
    evbuffer_add_printf (out, "event: %s\n", event);
  if (id != NULL)
    evbuffer_add_printf (out, "id: %s\n", id);
  evbuffer_add_printf (out, "data: %s\n\n", data);
  evhttp_send_reply_chunk (caller->in, out);
  evbuffer_free (out);
}

static void
callers_end_stream (ca_caller_t *caller)
{
  evhttp_connection_set_closecb (evhttp_request_get_connection (caller->in),
                                 NULL, NULL);
  callers_set_timeout (caller->in, true);
  evhttp_send_reply_end (caller->in);
  callers_free (caller);
}

/* Bytes that wait in the output buffer of the caller's connection. */
static size_t
callers_buffered_bytes (const ca_caller_t *caller)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (caller->in);

  return evbuffer_get_length (
      bufferevent_get_output (evhttp_connection_get_bufferevent (connection)));
}

/* Returns the JSON data of one token's event; free() it. */
static char *
callers_token_data (const ca_caller_t *caller, const char *text, size_t bytes)
{
  char id[24];
  json_t *choice;
  json_t *body;
  char *data;

  snprintf (id, sizeof id, "%016" PRIx64, caller->request);
  choice = caller->chat
               ? json_pack ("{s:i, s:{s:s%}}", "index", 0, "delta", "content",
                            text, bytes)
               : json_pack ("{s:i, s:s%}", "index", 0, "text", text, bytes);
  body = json_pack ("{s:s, s:s, s:[o]}", "id", id, "object",
                    caller->chat ? "chat.completion.chunk" : "text_completion",
                    "choices", choice);
  data = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return data;
}

static void
callers_send_token (ca_caller_t *caller, const char *text, size_t bytes)
{
  char *data = callers_token_data (caller, text, bytes);
  char id[16];

  callers_send_head (caller);
  snprintf (id, sizeof id, "%u", caller->sent_tokens);
  callers_send_event (caller, NULL, id, data == NULL ? "{}" : data);
  caller->sent_tokens++;
  free (data);
}

static void
callers_finish_stream (ca_caller_t *caller)
{
  callers_send_head (caller);
  callers_send_event (caller, NULL, NULL, "[DONE]");
  callers_end_stream (caller);
}

/* Resumes a paused response with the tokens that arrived meanwhile. */
static void
callers_on_buffer_sent (struct evhttp_connection *connection, void *context)
{
  ca_caller_t *caller = context;
  const ca_tokens_t *tokens
      = ca_core_tokens (caller->callers->core, caller->request);

  (void)connection;
  caller->paused = false;
  while (tokens != NULL && caller->sent_tokens < tokens->count
         && callers_buffered_bytes (caller) < CALLER_BUFFER_MAX_BYTES)
    {
      size_t bytes;
      const char *text = ca_tokens_get (tokens, caller->sent_tokens, &bytes);

      callers_send_token (caller, text, bytes);
    }
  if (tokens != NULL && caller->sent_tokens < tokens->count)
    {
      struct evbuffer *comment = evbuffer_new ();

      caller->paused = true;
      evbuffer_add_printf (comment, ":\n\n");
      evhttp_send_reply_chunk_with_cb (caller->in, comment,
                                       callers_on_buffer_sent, caller);
      evbuffer_free (comment);
    }
  else if (caller->complete)
    callers_finish_stream (caller);
}

/* Sends one token and pauses the response until the buffered bytes are
 * sent. */
static void
callers_pause (ca_caller_t *caller, const char *text, size_t bytes)
{
  char *data = callers_token_data (caller, text, bytes);
  struct evbuffer *out = evbuffer_new ();

  caller->paused = true;
  evbuffer_add_printf (out, "id: %u\ndata: %s\n\n", caller->sent_tokens,
                       data == NULL ? "{}" : data);
  caller->sent_tokens++;
  evhttp_send_reply_chunk_with_cb (caller->in, out, callers_on_buffer_sent,
                                   caller);
  evbuffer_free (out);
  free (data);
}

void
ca_callers_token (ca_callers_t *callers, uint64_t request, uint32_t index,
                  const char *text, size_t bytes)
{
  ca_caller_t *caller = callers_find (callers, request);

  if (caller == NULL || caller->paused || index != caller->sent_tokens)
    return;
  if (caller->head_sent
      && callers_buffered_bytes (caller) >= CALLER_BUFFER_MAX_BYTES)
    callers_pause (caller, text, bytes);
  else
    callers_send_token (caller, text, bytes);
}

static json_t *
callers_response_json (const ca_caller_t *caller, const ca_answer_t *answer)
{
  char id[24];
  json_t *choice;

  snprintf (id, sizeof id, "%016" PRIx64, caller->request);
  choice
      = caller->chat
            ? json_pack ("{s:i, s:{s:s, s:s%}, s:s}", "index", 0, "message",
                         "role", "assistant", "content", answer->text,
                         answer->text_bytes, "finish_reason", "stop")
            : json_pack ("{s:i, s:s%, s:s}", "index", 0, "text", answer->text,
                         answer->text_bytes, "finish_reason", "stop");
  return json_pack ("{s:s, s:s, s:b, s:[o], s:{s:I}}", "id", id, "object",
                    caller->chat ? "chat.completion" : "text_completion",
                    "replayed", answer->replayed, "choices", choice, "usage",
                    "completion_tokens", (json_int_t)answer->tokens);
}

void
ca_callers_end (ca_callers_t *callers, uint64_t request,
                const ca_answer_t *answer)
{
  ca_caller_t *caller = callers_find (callers, request);

  if (caller == NULL)
    return;
  caller->complete = true;
  if (caller->stream && caller->paused)
    return;
  if (caller->stream)
    callers_finish_stream (caller);
  else if (caller->service)
    callers_send (caller, 200, "application/json", answer->text,
                  answer->text_bytes);
  else
    callers_send_json (caller, 200, callers_response_json (caller, answer));
}

static json_t *
callers_refusal_json (uint64_t request, const ca_refusal_t *refusal)
{
  static const char *const outcomes[] = { "not_run", "ran", "unknown" };
  const ca_error_info_t *info = ca_error_info (refusal->kind);
  char id[24];

  snprintf (id, sizeof id, "%016" PRIx64, request);
  return json_pack ("{s:s, s:s, s:s, s:I, s:s, s:s}", "request", id, "kind",
                    info->name, "outcome", outcomes[refusal->outcome],
                    "retry_after_ms",
                    (json_int_t)(refusal->retry_after_us / CA_US_PER_MS),
                    "message", refusal->message, "remedy", info->remedy);
}

/* Adds a Retry-After header, rounded up to whole seconds. */
static void
callers_add_retry (ca_caller_t *caller, uint64_t retry_after_us)
{
  char seconds[24];

  if (retry_after_us == 0)
    return;
  snprintf (seconds, sizeof seconds, "%" PRIu64,
            (retry_after_us + CA_US_PER_S - 1) / CA_US_PER_S);
  evhttp_add_header (evhttp_request_get_output_headers (caller->in),
                     "Retry-After", seconds);
}

void
ca_callers_error (ca_callers_t *callers, uint64_t request,
                  const ca_refusal_t *refusal)
{
  ca_caller_t *caller = callers_find (callers, request);
  json_t *body;
  char *text;

  if (caller == NULL)
    return;
  body = callers_refusal_json (request, refusal);
  if (!caller->head_sent)
    {
      callers_add_retry (caller, refusal->retry_after_us);
      callers_send_json (caller,
                         (int)ca_error_info (refusal->kind)->http_status, body);
      return;
    }
  text = json_dumps (body, JSON_COMPACT);
  callers_send_event (caller, "error", NULL, text);
  free (text);
  json_decref (body);
  callers_end_stream (caller);
}

void
ca_callers_moved (ca_callers_t *callers, uint64_t request)
{
  ca_caller_t *caller = callers_find (callers, request);
  json_t *body;
  char *text;

  if (caller == NULL)
    return;
  body = json_pack ("{s:o, s:o, s:i}", "request",
                    json_sprintf ("%016" PRIx64, request), "location",
                    json_sprintf ("/v1/requests/%016" PRIx64, request),
                    "retry_after_ms", 100);
  if (!caller->head_sent)
    {
      callers_send_json (caller, 202, body);
      return;
    }
  text = json_dumps (body, JSON_COMPACT);
  callers_send_event (caller, "moved", NULL, text);
  free (text);
  json_decref (body);
  callers_end_stream (caller);
}

/* Registers the caller of a request; its connection has no timeout until the
 * response is sent. */
static ca_caller_t *
callers_new (ca_callers_t *callers, struct evhttp_request *in, uint64_t id)
{
  ca_caller_t *caller = calloc (1, sizeof *caller);

  caller->request = id;
  caller->callers = callers;
  caller->in = in;
  HASH_ADD (hh, callers->callers, request, sizeof caller->request, caller);
  callers_set_timeout (in, false);
  evhttp_connection_set_closecb (evhttp_request_get_connection (in),
                                 callers_on_disconnect, caller);
  return caller;
}

static void
callers_reject (ca_caller_t *caller, ca_error_kind_t kind, const char *message)
{
  ca_refusal_t refusal;

  memset (&refusal, 0, sizeof refusal);
  refusal.kind = kind;
  refusal.outcome = CA_OUTCOME_NOT_RUN;
  refusal.message = message;
  ca_callers_error (caller->callers, caller->request, &refusal);
}

/* Returns a header's value or NULL; sets `error` if the header is repeated. */
static const char *
callers_find_header (struct evhttp_request *in, const char *name,
                     ca_error_t *error)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (in);
  struct evkeyval *header;
  const char *value = NULL;

  for (header = headers->tqh_first; header != NULL;
       header = header->next.tqe_next)
    {
      if (evutil_ascii_strcasecmp (header->key, name) != 0)
        continue;
      if (value != NULL)
        ca_error_set (error, CA_ERROR_BAD_REQUEST,
                      "header %s is repeated: send it once", name);
      value = header->value;
    }
  return value;
}

/* Checks the name of a workspace or class, or an idempotency key: no slash,
 * space or unprintable character. */
static bool
callers_is_valid_name (const char *text, size_t max_length)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:-";
  size_t length = strlen (text);

  return length > 0 && length <= max_length && strspn (text, allowed) == length;
}

/* Fills the fields of the spec that are sent as headers. */
static void
callers_parse_headers (struct evhttp_request *in, ca_request_spec_t *spec,
                       ca_error_t *error)
{
  const char *deadline = callers_find_header (in, "X-Deadline-Ms", error);
  const char *idempotent = callers_find_header (in, "X-Idempotent", error);
  const char *range_error = NULL;

  spec->workspace = callers_find_header (in, "X-Workspace", error);
  spec->class_name = callers_find_header (in, "X-Request-Class", error);
  spec->key = callers_find_header (in, "Idempotency-Key", error);
  if (spec->workspace == NULL
      || !callers_is_valid_name (spec->workspace, CA_NAME_BYTES - 1))
    ca_error_set (error, CA_ERROR_BAD_REQUEST,
                  "header X-Workspace is missing or invalid: send the "
                  "workspace's name");
  if (spec->class_name == NULL
      || !callers_is_valid_name (spec->class_name, CA_NAME_BYTES - 1))
    ca_error_set (error, CA_ERROR_BAD_REQUEST,
                  "header X-Request-Class is missing or invalid: send the "
                  "request class's name");
  if (spec->key != NULL && !callers_is_valid_name (spec->key, KEY_MAX_BYTES))
    ca_error_set (error, CA_ERROR_BAD_REQUEST,
                  "header Idempotency-Key: must be 1 to %d characters of "
                  "A-Z a-z 0-9 ._:-",
                  KEY_MAX_BYTES);
  if (deadline != NULL)
    spec->deadline_us = (uint64_t)strtonum (deadline, 1, 86400000, &range_error)
                        * CA_US_PER_MS;
  if (range_error != NULL)
    ca_error_set (error, CA_ERROR_BAD_REQUEST,
                  "header X-Deadline-Ms: must be a number from 1 to 86400000");
  if (idempotent != NULL && strcmp (idempotent, "false") != 0
      && strcmp (idempotent, "true") != 0)
    ca_error_set (error, CA_ERROR_BAD_REQUEST,
                  "header X-Idempotent: must be true or false");
  spec->non_idempotent
      = idempotent != NULL && strcmp (idempotent, "false") == 0;
}

/* Joins the messages of a chat into one prompt; NULL if they are malformed.
 * free() the result. */
static char *
callers_join_messages (const json_t *messages)
{
  char *text = NULL;
  size_t bytes = 0;
  FILE *out;
  size_t index;
  json_t *message;
  bool valid = json_is_array (messages) && json_array_size (messages) > 0;

  out = open_memstream (&text, &bytes);
  json_array_foreach (messages, index, message)
  {
    const char *role = json_string_value (json_object_get (message, "role"));
    const char *content
        = json_string_value (json_object_get (message, "content"));

    if (role == NULL || content == NULL)
      valid = false;
    else
      fprintf (out, "%s: %s\n", role, content);
  }
  fclose (out);
  if (valid)
    return text;
  free (text);
  return NULL;
}

/* Parses the body of a completion; false with `error` set if a field is invalid
 * or an error was set before.  free() the prompt in either case. */
static bool
callers_parse_body (struct evhttp_request *in, bool chat,
                    ca_caller_body_t *body, ca_error_t *error)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (in);
  size_t bytes = evbuffer_get_length (input);
  json_error_t fault;
  json_t *object = json_loadb ((const char *)evbuffer_pullup (input, -1), bytes,
                               JSON_REJECT_DUPLICATES, &fault);
  const json_t *max_tokens = json_object_get (object, "max_tokens");
  const json_t *stream = json_object_get (object, "stream");

  memset (body, 0, sizeof *body);
  body->max_tokens = MAX_TOKENS_DEFAULT;
  if (!json_is_object (object))
    ca_error_set (error, CA_ERROR_BAD_REQUEST, "body: %s",
                  object == NULL ? fault.text : "must be one JSON object");
  else if (chat)
    body->prompt = callers_join_messages (json_object_get (object, "messages"));
  else if (json_is_string (json_object_get (object, "prompt")))
    body->prompt
        = strdup (json_string_value (json_object_get (object, "prompt")));
  if (body->prompt == NULL)
    ca_error_set (
        error, CA_ERROR_BAD_REQUEST,
        chat ? "messages: must be a list of one or more {role, content}"
             : "prompt: must be a string");
  if (max_tokens != NULL
      && (!json_is_integer (max_tokens) || json_integer_value (max_tokens) < 1
          || json_integer_value (max_tokens) > MAX_TOKENS_MAX))
    ca_error_set (error, CA_ERROR_BAD_REQUEST,
                  "max_tokens: must be an integer from 1 to %d",
                  MAX_TOKENS_MAX);
  else if (max_tokens != NULL)
    body->max_tokens = (uint32_t)json_integer_value (max_tokens);
  if (stream != NULL && !json_is_boolean (stream))
    ca_error_set (error, CA_ERROR_BAD_REQUEST, "stream: must be true or false");
  body->stream = json_is_true (stream);
  json_decref (object);
  return error->kind == CA_ERROR_NONE;
}

static void
callers_serve_completion (ca_callers_t *callers, struct evhttp_request *in,
                          bool chat)
{
  uint64_t id = ca_core_new_request_id (callers->core);
  ca_caller_t *caller = callers_new (callers, in, id);
  ca_request_spec_t spec;
  ca_caller_body_t body;
  ca_error_t error;

  ca_error_init (&error);
  memset (&spec, 0, sizeof spec);
  callers_parse_headers (in, &spec, &error);
  if (!callers_parse_body (in, chat, &body, &error))
    callers_reject (caller, error.kind, error.message);
  else
    {
      caller->chat = chat;
      caller->stream = body.stream;
      spec.id = id;
      spec.body = body.prompt;
      spec.body_bytes = strlen (body.prompt);
      spec.max_tokens = body.max_tokens;
      spec.stream = body.stream;
      ca_core_request (callers->core, ca_clock_now_us (), &spec);
    }
  free (body.prompt);
}

/* Serves POST /services/POOL/PATH, a call of a plain service. */
static void
callers_serve_service (ca_callers_t *callers, struct evhttp_request *in,
                       const char *rest)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (in);
  uint64_t id = ca_core_new_request_id (callers->core);
  ca_caller_t *caller = callers_new (callers, in, id);
  const char *path = strchr (rest, '/');
  ca_request_spec_t spec;
  ca_error_t error;

  ca_error_init (&error);
  memset (&spec, 0, sizeof spec);
  callers_parse_headers (in, &spec, &error);
  if (error.kind != CA_ERROR_NONE)
    {
      callers_reject (caller, error.kind, error.message);
      return;
    }
  caller->service = true;
  spec.id = id;
  spec.path = path == NULL ? "/" : path;
  spec.body_bytes = evbuffer_get_length (input);
  spec.body
      = spec.body_bytes == 0 ? "" : (const char *)evbuffer_pullup (input, -1);
  spec.max_tokens = 1;
  ca_core_request (callers->core, ca_clock_now_us (), &spec);
}

/* Serves GET /v1/requests/ID: attaches the caller to an earlier request. */
static void
callers_serve_attach (ca_callers_t *callers, struct evhttp_request *in,
                      const char *rest)
{
  ca_error_t error;
  const char *last_event_id;
  const char *accept;
  char *end = NULL;
  uint64_t id = strtoull (rest, &end, 16);
  ca_caller_t *caller;

  ca_error_init (&error);
  if (id == 0 || *end != '\0' || callers_find (callers, id) != NULL)
    {
      caller
          = callers_new (callers, in, ca_core_new_request_id (callers->core));
      callers_reject (caller, CA_ERROR_NOT_FOUND,
                      "the request does not exist, or another connection is "
                      "reading it");
      return;
    }
  last_event_id = callers_find_header (in, "Last-Event-ID", &error);
  accept = callers_find_header (in, "Accept", &error);
  caller = callers_new (callers, in, id);
  caller->stream
      = accept != NULL && strstr (accept, "text/event-stream") != NULL;
  if (last_event_id != NULL)
    caller->sent_tokens = (uint32_t)strtoul (last_event_id, NULL, 10) + 1;
  ca_core_attach (callers->core, ca_clock_now_us (), id, caller->sent_tokens,
                  caller->stream);
}

static void
callers_on_request (struct evhttp_request *in, void *context)
{
  static const char requests[] = "/v1/requests/";
  static const char services[] = "/services/";
  ca_callers_t *callers = context;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (in));
  enum evhttp_cmd_type method = evhttp_request_get_command (in);

  if (ca_operators_serve (&callers->operators, in))
    return;
  if (path == NULL)
    path = "";
  if (method == EVHTTP_REQ_POST && strcmp (path, "/v1/completions") == 0)
    callers_serve_completion (callers, in, false);
  else if (method == EVHTTP_REQ_POST
           && strcmp (path, "/v1/chat/completions") == 0)
    callers_serve_completion (callers, in, true);
  else if (method == EVHTTP_REQ_GET
           && strncmp (path, requests, sizeof requests - 1) == 0)
    callers_serve_attach (callers, in, path + sizeof requests - 1);
  else if (method == EVHTTP_REQ_POST
           && strncmp (path, services, sizeof services - 1) == 0)
    callers_serve_service (callers, in, path + sizeof services - 1);
  else
    {
      ca_caller_t *caller
          = callers_new (callers, in, ca_core_new_request_id (callers->core));

      callers_reject (caller, CA_ERROR_NOT_FOUND,
                      "the path does not exist: "
                      "see docs/interfaces/callers.md");
    }
}

bool
ca_callers_init (ca_callers_t *callers, ca_core_t *core,
                 ca_observer_t *observer, struct event_base *base,
                 const ca_address_t *listen, size_t max_body_bytes,
                 ca_error_t *error)
{
  char host[CA_ADDRESS_BYTES];

  memset (callers, 0, sizeof *callers);
  callers->core = core;
  callers->base = base;
  callers->max_body_bytes = max_body_bytes;
  ca_operators_init (&callers->operators, core, observer);
  callers->http = evhttp_new (base);
  evhttp_set_max_headers_size (callers->http, HEAD_MAX_BYTES);
  evhttp_set_max_body_size (callers->http, (ev_ssize_t)max_body_bytes);
  evhttp_set_timeout (callers->http, IDLE_TIMEOUT_S);
  evhttp_set_gencb (callers->http, callers_on_request, callers);
  ca_address_print (listen, host);
  *strchr (host, ':') = '\0';
  callers->socket
      = evhttp_bind_socket_with_handle (callers->http, host, listen->port);
  if (callers->socket != NULL)
    return true;
  ca_error_set (error, CA_ERROR_IO,
                "--callers: cannot listen on the address; choose another or "
                "stop the process that uses it");
  return false;
}

void
ca_callers_stop_listening (ca_callers_t *callers)
{
  if (callers->socket != NULL)
    evhttp_del_accept_socket (callers->http, callers->socket);
  callers->socket = NULL;
}

void
ca_callers_finish (ca_callers_t *callers)
{
  ca_caller_t *caller;
  ca_caller_t *next;

  if (callers->http == NULL)
    return;
  HASH_ITER (hh, callers->callers, caller, next)
  {
    evhttp_connection_set_closecb (evhttp_request_get_connection (caller->in),
                                   NULL, NULL);
    callers_free (caller);
  }
  ca_operators_finish (&callers->operators);
  evhttp_free (callers->http);
}
