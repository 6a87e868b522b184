/* Shared by the stand-ins for the users' platform: a loopback HTTP server with
 * JSON that exits on SIGTERM, and arguments of the form --name value. */
#ifndef CA_TESTS_SITE_SITE_H
#define CA_TESTS_SITE_SITE_H

#include "http/client.h"
#include "http/server.h"

#include <jansson.h>

typedef struct
{
  struct event_base *base;
  ca_http_server_t server;
  struct event *term;
} site_t;

/* Listens on 127.0.0.1; exits with a message on failure. */
void site_init (site_t *site, uint16_t port, const ca_http_handler_t *handler);

/* Listens at one more port; exits with a message on failure. */
void site_listen (site_t *site, ca_http_server_t *server, uint16_t port,
                  const ca_http_handler_t *handler);

/* Runs until SIGTERM, or until a handler set by site_on_term ends the loop. */
void site_run (site_t *site);

/* Replaces the SIGTERM handler. */
void site_on_term (site_t *site, event_callback_fn on_term, void *context);

/* Value of the argument --name, or `default_value` if it is missing. */
const char *site_argument (int argc, char **argv, const char *name,
                           const char *default_value);

/* Responds with JSON and releases the reference. */
void site_respond (ca_http_server_request_t *request, uint32_t status,
                   json_t *body);

/* Parsed body, or NULL; the caller owns the reference. */
json_t *site_body (const ca_http_server_request_t *request);

/* Value of a query parameter, not decoded; false if it is missing. */
bool site_query (const ca_http_server_request_t *request, const char *name,
                 char *value, size_t bytes);

/* True if the path without its query equals `path`. */
bool site_is_path (const ca_http_server_request_t *request, const char *path);

ca_address_t site_loopback (uint16_t port);

#endif
