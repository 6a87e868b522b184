/* HTTP server, faults and helpers of the stand-ins. */
#include "common.h"

#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* A delayed reply. */
typedef struct
{
  standin_t *standin;
  struct evhttp_request *in;
  int status;
  json_t *body;
} standin_delayed_t;

uint64_t
standin_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static void
standin_on_signal (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  event_base_loopexit (context, NULL);
}

void
standin_init (standin_t *standin, int port,
              void (*serve) (struct evhttp_request *, void *), void *context)
{
  memset (standin, 0, sizeof *standin);
  signal (SIGPIPE, SIG_IGN);
  standin->base = event_base_new ();
  standin->http = evhttp_new (standin->base);
  evhttp_set_gencb (standin->http, serve, context);
  if (evhttp_bind_socket (standin->http, "127.0.0.1", (ev_uint16_t)port) == 0)
    return;
  fprintf (stderr, "cannot listen on port %d\n", port);
  exit (1);
}

void
standin_run (standin_t *standin)
{
  struct event *term
      = evsignal_new (standin->base, SIGTERM, standin_on_signal, standin->base);

  event_add (term, NULL);
  event_base_dispatch (standin->base);
  event_free (term);
  evhttp_free (standin->http);
  event_base_free (standin->base);
}

json_t *
standin_body (struct evhttp_request *in)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (in);
  size_t bytes = evbuffer_get_length (input);

  if (bytes == 0)
    return NULL;
  return json_loadb ((const char *)evbuffer_pullup (input, -1), bytes, 0, NULL);
}

int64_t
standin_query (struct evhttp_request *in, const char *name,
               int64_t default_value)
{
  const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (in));
  struct evkeyvalq list;
  const char *value;
  int64_t number = default_value;

  if (query == NULL || evhttp_parse_query_str (query, &list) != 0)
    return default_value;
  value = evhttp_find_header (&list, name);
  if (value != NULL)
    number = strtoll (value, NULL, 10);
  evhttp_clear_headers (&list);
  return number;
}

const char *
standin_path (struct evhttp_request *in)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (in));

  return path == NULL ? "" : path;
}

static void
standin_send (struct evhttp_request *in, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  struct evbuffer *out = evbuffer_new ();

  evhttp_add_header (evhttp_request_get_output_headers (in), "Content-Type",
                     "application/json");
  evbuffer_add (out, text, strlen (text));
  evhttp_send_reply (in, status, NULL, out);
  evbuffer_free (out);
  free (text);
  json_decref (body);
}

static void
standin_send_delayed (evutil_socket_t fd, short what, void *context)
{
  standin_delayed_t *delayed = context;

  (void)fd;
  (void)what;
  if (evhttp_request_get_connection (delayed->in) != NULL)
    standin_send (delayed->in, delayed->status, delayed->body);
  free (delayed);
}

void
standin_reply (standin_t *standin, struct evhttp_request *in, int status,
               json_t *body)
{
  uint32_t slow_ms = standin->faults.slow_ms;
  struct timeval delay = { slow_ms / 1000, (slow_ms % 1000) * 1000 };
  standin_delayed_t *delayed;

  if (slow_ms == 0)
    {
      standin_send (in, status, body);
      return;
    }
  delayed = calloc (1, sizeof *delayed);
  delayed->standin = standin;
  delayed->in = in;
  delayed->status = status;
  delayed->body = body;
  evhttp_request_own (in);
  event_base_once (standin->base, -1, EV_TIMEOUT, standin_send_delayed, delayed,
                   &delay);
}

static void
standin_free_connection (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  evhttp_connection_free (context);
}

void
standin_reply_effect (standin_t *standin, struct evhttp_request *in, int status,
                      json_t *body)
{
  struct timeval now = { 0, 0 };

  if (standin->faults.lose_answers == 0)
    {
      standin_reply (standin, in, status, body);
      return;
    }
  standin->faults.lose_answers--;
  json_decref (body);
  event_base_once (standin->base, -1, EV_TIMEOUT, standin_free_connection,
                   evhttp_request_get_connection (in), &now);
}

bool
standin_is_faulty (standin_t *standin, struct evhttp_request *in)
{
  if (standin->faults.frozen)
    return true;
  if (!standin->faults.down)
    return false;
  standin_send (in, 503, json_pack ("{s:s}", "error", "down"));
  return true;
}

void
standin_control (standin_t *standin, const json_t *body)
{
  const json_t *value;

  if ((value = json_object_get (body, "down")) != NULL)
    standin->faults.down = json_is_true (value);
  if ((value = json_object_get (body, "frozen")) != NULL)
    standin->faults.frozen = json_is_true (value);
  if ((value = json_object_get (body, "slow_ms")) != NULL)
    standin->faults.slow_ms = (uint32_t)json_integer_value (value);
  if ((value = json_object_get (body, "lose_answers")) != NULL)
    standin->faults.lose_answers = (uint32_t)json_integer_value (value);
  if ((value = json_object_get (body, "refuse_starts")) != NULL)
    standin->faults.refuse_starts = json_is_true (value);
}

const char *
standin_flag (int argc, char **argv, const char *name,
              const char *default_value)
{
  for (int i = 1; i + 1 < argc; i++)
    {
      if (strncmp (argv[i], "--", 2) == 0 && strcmp (argv[i] + 2, name) == 0)
        return argv[i + 1];
    }
  return default_value;
}
