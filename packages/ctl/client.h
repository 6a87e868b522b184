/* Synchronous HTTP calls to an entry. */
#ifndef CA_CTL_CLIENT_H
#define CA_CTL_CLIENT_H

#include "adapters/http_client.h"

#include <jansson.h>

typedef struct
{
  int status; /* HTTP status; 0 if the entry did not respond */
  char *text; /* owned; NULL if none */
} ca_reply_t;

/* Sends a request and waits up to `timeout_ms` for the response.  Free `reply`
 * with ca_reply_finish(). */
void ca_client_call (const ca_address_t *entry, enum evhttp_cmd_type method,
                     const char *path, const char *body, uint32_t timeout_ms,
                     ca_reply_t *reply);
void ca_reply_finish (ca_reply_t *reply);

#endif
