/* One HTTP call at a time to an entry, waited for. */
#ifndef CA_CTL_CLIENT_H
#define CA_CTL_CLIENT_H

#include "adapters/http_client.h"

#include <jansson.h>

typedef struct
{
  int status; /* HTTP status, 0 if the entry did not answer */
  char *text; /* owned; NULL if none */
} ca_reply_t;

/* Calls and waits, at most `timeout_ms`. */
void ca_client_call (const ca_address_t *entry, enum evhttp_cmd_type method,
                     const char *path, const char *body, uint32_t timeout_ms,
                     ca_reply_t *reply);
void ca_reply_finish (ca_reply_t *reply);

#endif
