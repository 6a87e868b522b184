/* Runs an event loop for the duration of one call. */
#include "ctl/client.h"

#include <stdlib.h>
#include <string.h>

static void
client_on_done (void *context, const ca_http_result_t *result)
{
  ca_reply_t *reply = context;

  reply->status = result->end == CA_HTTP_ANSWERED ? result->status : 0;
  if (result->body != NULL)
    reply->text = strndup (result->body, result->body_bytes);
}

void
ca_client_call (const ca_address_t *entry, enum evhttp_cmd_type method,
                const char *path, const char *body, uint32_t timeout_ms,
                ca_reply_t *reply)
{
  struct event_base *base = event_base_new ();
  ca_http_client_t client;
  ca_http_request_t request;

  memset (reply, 0, sizeof *reply);
  memset (&request, 0, sizeof request);
  ca_http_client_init (&client, base);
  request.address = *entry;
  request.method = method;
  request.path = path;
  request.body = body;
  request.body_bytes = body == NULL ? 0 : strlen (body);
  request.timeout_ms = timeout_ms;
  request.on_done = client_on_done;
  request.context = reply;
  ca_http_call_start (&client, &request);
  while (!TAILQ_EMPTY (&client.calls)
         && event_base_loop (base, EVLOOP_ONCE) == 0)
    ;
  ca_http_client_finish (&client);
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_free (base);
}

void
ca_reply_finish (ca_reply_t *reply)
{
  free (reply->text);
  reply->text = NULL;
}
