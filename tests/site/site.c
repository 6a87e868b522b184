/* HTTP server, arguments and JSON of the stand-ins. */
#include "tests/site/site.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SITE_HEAD_BYTES 65536
#define SITE_BODY_BYTES (64 * 1024 * 1024)
#define SITE_TIMEOUT_MS 60000

ca_address_t
site_loopback (uint16_t port)
{
  ca_address_t address = { 0x7f000001, port };

  return address;
}

static void
site_on_sigterm (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  event_base_loopexit (((site_t *)context)->base, NULL);
}

void
site_on_term (site_t *site, event_callback_fn on_term, void *context)
{
  event_free (site->term);
  site->term = evsignal_new (site->base, SIGTERM, on_term, context);
  event_add (site->term, NULL);
}

void
site_listen (site_t *site, ca_http_server_t *server, uint16_t port,
             const ca_http_handler_t *handler)
{
  ca_http_limits_t limits
      = { SITE_HEAD_BYTES, SITE_BODY_BYTES, SITE_TIMEOUT_MS, SITE_TIMEOUT_MS };
  ca_address_t address = site_loopback (port);
  ca_error_t error;

  ca_error_init (&error);
  if (!ca_http_server_init (server, site->base, &address, handler, &limits,
                            &error))
    {
      fprintf (stderr, "%s\n", error.message);
      exit (1);
    }
}

void
site_init (site_t *site, uint16_t port, const ca_http_handler_t *handler)
{
  signal (SIGPIPE, SIG_IGN);
  site->base = event_base_new ();
  site_listen (site, &site->server, port, handler);
  site->term = evsignal_new (site->base, SIGTERM, site_on_sigterm, site);
  event_add (site->term, NULL);
}

void
site_run (site_t *site)
{
  event_base_dispatch (site->base);
  event_free (site->term);
  ca_http_server_finish (&site->server);
  event_base_free (site->base);
}

const char *
site_argument (int argc, char **argv, const char *name,
               const char *default_value)
{
  for (int i = 1; i + 1 < argc; i++)
    {
      if (strncmp (argv[i], "--", 2) == 0 && strcmp (argv[i] + 2, name) == 0)
        return argv[i + 1];
    }
  return default_value;
}

void
site_respond (ca_http_server_request_t *request, uint32_t status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  ca_http_respond (request, status, NULL, text, strlen (text));
  free (text);
  json_decref (body);
}

json_t *
site_body (const ca_http_server_request_t *request)
{
  return json_loadb ((const char *)evbuffer_pullup (request->body, -1),
                     evbuffer_get_length (request->body), 0, NULL);
}

bool
site_query (const ca_http_server_request_t *request, const char *name,
            char *value, size_t bytes)
{
  const char *at = strchr (request->head->target, '?');
  size_t length = strlen (name);

  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          size_t count = strcspn (at + length + 1, "&");

          if (count >= bytes)
            count = bytes - 1;
          memcpy (value, at + length + 1, count);
          value[count] = '\0';
          return true;
        }
      at = strchr (at, '&');
    }
  return false;
}

bool
site_is_path (const ca_http_server_request_t *request, const char *path)
{
  size_t bytes = strcspn (request->head->target, "?");

  return strlen (path) == bytes
         && strncmp (request->head->target, path, bytes) == 0;
}
