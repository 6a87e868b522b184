/* HTTP client over evhttp connections. */
#include "adapters/http_client.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

/* Maximum idle connections of one client, over all addresses. */
#define IDLE_CONNECTIONS_MAX 256

typedef struct ca_http_idle
{
  struct evhttp_connection *connection;
  ca_address_t address;
  ca_http_client_t *client;
  TAILQ_ENTRY (ca_http_idle) entries;
} ca_http_idle_t;

struct ca_http_call
{
  ca_http_client_t *client;
  ca_http_request_t request;
  char *path;
  char *body;
  char **headers;
  struct evhttp_connection *connection;
  struct evhttp_request *out;
  struct event *start_event;
  struct event *timeout_event;
  struct event *cancel_event; /* set once the call is cancelled */
  struct evbuffer *collected;
  bool sent;
  bool failed;
  TAILQ_ENTRY (ca_http_call) entries;
};

void
ca_http_client_init (ca_http_client_t *client, struct event_base *base)
{
  client->base = base;
  TAILQ_INIT (&client->idle);
  TAILQ_INIT (&client->calls);
}

static void
http_idle_remove (ca_http_idle_t *idle)
{
  TAILQ_REMOVE (&idle->client->idle, idle, entries);
  evhttp_connection_set_closecb (idle->connection, NULL, NULL);
}

static void
http_idle_on_close (struct evhttp_connection *connection, void *context)
{
  ca_http_idle_t *idle = context;

  (void)connection;
  http_idle_remove (idle);
  evhttp_connection_free_on_completion (idle->connection);
  free (idle);
}

/* Returns an idle connection to the address, or NULL. */
static struct evhttp_connection *
http_idle_take (ca_http_client_t *client, const ca_address_t *address)
{
  ca_http_idle_t *idle;
  struct evhttp_connection *connection;

  TAILQ_FOREACH (idle, &client->idle, entries)
  {
    if (idle->address.ip == address->ip && idle->address.port == address->port)
      break;
  }
  if (idle == NULL)
    return NULL;
  connection = idle->connection;
  http_idle_remove (idle);
  free (idle);
  return connection;
}

/* Keeps the connection for later calls, or frees it if too many are idle. */
static void
http_idle_add (ca_http_client_t *client, const ca_address_t *address,
               struct evhttp_connection *connection)
{
  ca_http_idle_t *idle;
  uint32_t count = 0;

  TAILQ_FOREACH (idle, &client->idle, entries)
  count++;
  if (count >= IDLE_CONNECTIONS_MAX)
    {
      evhttp_connection_free (connection);
      return;
    }
  idle = calloc (1, sizeof *idle);
  idle->client = client;
  idle->address = *address;
  idle->connection = connection;
  TAILQ_INSERT_HEAD (&client->idle, idle, entries);
  evhttp_connection_set_closecb (connection, http_idle_on_close, idle);
}

static void
http_call_free (ca_http_call_t *call)
{
  TAILQ_REMOVE (&call->client->calls, call, entries);
  if (call->start_event != NULL)
    event_free (call->start_event);
  if (call->timeout_event != NULL)
    event_free (call->timeout_event);
  if (call->cancel_event != NULL)
    event_free (call->cancel_event);
  if (call->collected != NULL)
    evbuffer_free (call->collected);
  for (size_t i = 0; call->headers != NULL && call->headers[i] != NULL; i++)
    free (call->headers[i]);
  free (call->headers);
  free (call->path);
  free (call->body);
  free (call);
}

/* Frees the call, then reports its result. */
static void
http_call_finish (ca_http_call_t *call, ca_http_end_t end, int status)
{
  ca_http_result_t result;
  ca_http_done_t done = call->request.on_done;
  void *context = call->request.context;
  struct evbuffer *collected = call->collected;

  memset (&result, 0, sizeof result);
  result.end = end;
  result.status = status;
  if (collected != NULL)
    {
      result.body_bytes = evbuffer_get_length (collected);
      result.body = (const char *)evbuffer_pullup (collected, -1);
    }
  call->collected = NULL;
  http_call_free (call);
  done (context, &result);
  if (collected != NULL)
    evbuffer_free (collected);
}

/* evhttp fills the output buffer only once it is connected, so from now on
 * some bytes of the request may have been sent. */
static void
http_on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
                void *context)
{
  ca_http_call_t *call = context;

  (void)buffer;
  if (info->n_added > 0)
    call->sent = true;
}

static void
http_watch_output (ca_http_call_t *call, bool watch)
{
  struct bufferevent *stream
      = evhttp_connection_get_bufferevent (call->connection);
  struct evbuffer *output = bufferevent_get_output (stream);

  if (watch)
    evbuffer_add_cb (output, http_on_output, call);
  else
    evbuffer_remove_cb (output, http_on_output, call);
}

static void
http_free_connection_later (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  evhttp_connection_free (context);
}

/* Frees the connection from the event loop, since this function may run in
 * one of the connection's callbacks. */
static void
http_drop_connection (ca_http_call_t *call)
{
  struct timeval now = { 0, 0 };

  if (call->connection == NULL)
    return;
  http_watch_output (call, false);
  evhttp_connection_set_closecb (call->connection, NULL, NULL);
  event_base_once (call->client->base, -1, EV_TIMEOUT,
                   http_free_connection_later, call->connection, &now);
  call->connection = NULL;
}

static void
http_on_request_error (enum evhttp_request_error error, void *context)
{
  ca_http_call_t *call = context;

  (void)error;
  call->failed = true;
}

static void
http_on_chunk (struct evhttp_request *in, void *context)
{
  ca_http_call_t *call = context;
  struct evbuffer *input = evhttp_request_get_input_buffer (in);
  size_t bytes = evbuffer_get_length (input);

  if (call->request.on_chunk != NULL && call->cancel_event == NULL)
    call->request.on_chunk (call->request.context,
                            evhttp_request_get_response_code (in),
                            (const char *)evbuffer_pullup (input, -1), bytes);
}

/* True unless the response has the header "Connection: close". */
static bool
http_is_keep_alive (struct evhttp_request *in)
{
  const char *value = evhttp_find_header (evhttp_request_get_input_headers (in),
                                          "Connection");

  return value == NULL || evutil_ascii_strcasecmp (value, "close") != 0;
}

static void
http_on_request_done (struct evhttp_request *in, void *context)
{
  ca_http_call_t *call = context;
  int status = in == NULL ? 0 : evhttp_request_get_response_code (in);

  call->out = NULL;
  if (call->cancel_event != NULL)
    return;
  if (in == NULL || status == 0 || call->failed)
    {
      http_drop_connection (call);
      http_call_finish (call,
                        call->sent ? CA_HTTP_INTERRUPTED : CA_HTTP_NOT_SENT, 0);
      return;
    }
  if (call->request.on_chunk == NULL)
    {
      call->collected = evbuffer_new ();
      evbuffer_add_buffer (call->collected,
                           evhttp_request_get_input_buffer (in));
    }
  if (http_is_keep_alive (in) && call->request.on_chunk == NULL)
    {
      http_watch_output (call, false);
      http_idle_add (call->client, &call->request.address, call->connection);
      call->connection = NULL;
    }
  else
    http_drop_connection (call);
  http_call_finish (call, CA_HTTP_ANSWERED, status);
}

static void
http_call_on_timeout (evutil_socket_t fd, short what, void *context)
{
  ca_http_call_t *call = context;
  bool sent = call->sent;

  (void)fd;
  (void)what;
  if (call->cancel_event != NULL)
    return;
  if (call->out != NULL)
    evhttp_cancel_request (call->out);
  call->out = NULL;
  /* evhttp_cancel_request() frees the request but not the connection. */
  http_drop_connection (call);
  http_call_finish (call, sent ? CA_HTTP_INTERRUPTED : CA_HTTP_NOT_SENT, 0);
}

static void
http_connect (ca_http_call_t *call)
{
  const ca_address_t *address = &call->request.address;
  char host[CA_ADDRESS_BYTES];

  if (!call->request.new_connection)
    call->connection = http_idle_take (call->client, address);
  if (call->connection == NULL)
    {
      ca_address_print (address, host);
      *strchr (host, ':') = '\0';
      call->connection = evhttp_connection_base_new (call->client->base, NULL,
                                                     host, address->port);
    }
  http_watch_output (call, true);
}

static void
http_add_headers (ca_http_call_t *call)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (call->out);
  char host[CA_ADDRESS_BYTES];

  ca_address_print (&call->request.address, host);
  evhttp_add_header (headers, "Host", host);
  for (size_t i = 0; call->headers != NULL && call->headers[i] != NULL; i += 2)
    evhttp_add_header (headers, call->headers[i], call->headers[i + 1]);
}

static void
http_call_on_start (evutil_socket_t fd, short what, void *context)
{
  ca_http_call_t *call = context;

  (void)fd;
  (void)what;
  if (call->cancel_event != NULL)
    return;
  http_connect (call);
  call->out = evhttp_request_new (http_on_request_done, call);
  evhttp_request_set_error_cb (call->out, http_on_request_error);
  if (call->request.on_chunk != NULL)
    evhttp_request_set_chunked_cb (call->out, http_on_chunk);
  http_add_headers (call);
  if (call->body != NULL)
    evbuffer_add (evhttp_request_get_output_buffer (call->out), call->body,
                  call->request.body_bytes);
  if (evhttp_make_request (call->connection, call->out, call->request.method,
                           call->path)
      != 0)
    {
      call->out = NULL;
      http_drop_connection (call);
      http_call_finish (call, CA_HTTP_NOT_SENT, 0);
    }
}

static char **
http_copy_headers (const char *const *headers)
{
  size_t count = 0;
  char **copy;

  if (headers == NULL)
    return NULL;
  while (headers[count] != NULL)
    count++;
  copy = calloc (count + 1, sizeof *copy);
  for (size_t i = 0; i < count; i++)
    copy[i] = strdup (headers[i]);
  return copy;
}

ca_http_call_t *
ca_http_call_start (ca_http_client_t *client, const ca_http_request_t *request)
{
  ca_http_call_t *call = calloc (1, sizeof *call);
  struct timeval now = { 0, 0 };
  struct timeval limit;

  call->client = client;
  call->request = *request;
  call->path = strdup (request->path);
  call->headers = http_copy_headers (request->headers);
  if (request->body != NULL)
    {
      call->body = malloc (request->body_bytes + 1);
      memcpy (call->body, request->body, request->body_bytes);
    }
  TAILQ_INSERT_TAIL (&client->calls, call, entries);
  call->start_event = evtimer_new (client->base, http_call_on_start, call);
  evtimer_add (call->start_event, &now);
  if (request->timeout_ms > 0)
    {
      limit.tv_sec = request->timeout_ms / 1000;
      limit.tv_usec = (request->timeout_ms % 1000) * 1000;
      call->timeout_event
          = evtimer_new (client->base, http_call_on_timeout, call);
      evtimer_add (call->timeout_event, &limit);
    }
  return call;
}

/* Frees the call without a result. */
static void
http_call_discard (ca_http_call_t *call)
{
  if (call->out != NULL)
    evhttp_cancel_request (call->out);
  call->out = NULL;
  if (call->request.on_drop != NULL)
    call->request.on_drop (call->request.context);
  http_drop_connection (call);
  http_call_free (call);
}

static void
http_call_on_cancel (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  http_call_discard (context);
}

/* Frees the call from the event loop, since it may be cancelled from within
 * its own callbacks. */
void
ca_http_call_cancel (ca_http_call_t *call)
{
  struct timeval now = { 0, 0 };

  if (call->cancel_event != NULL)
    return;
  call->cancel_event
      = evtimer_new (call->client->base, http_call_on_cancel, call);
  evtimer_add (call->cancel_event, &now);
}

/* Connections of open calls are freed with the event base. */
void
ca_http_client_finish (ca_http_client_t *client)
{
  while (!TAILQ_EMPTY (&client->calls))
    http_call_discard (TAILQ_FIRST (&client->calls));
  while (!TAILQ_EMPTY (&client->idle))
    {
      ca_http_idle_t *idle = TAILQ_FIRST (&client->idle);

      http_idle_remove (idle);
      evhttp_connection_free (idle->connection);
      free (idle);
    }
}
