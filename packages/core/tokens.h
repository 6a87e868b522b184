/* Growable text of a request's tokens. */
#ifndef CA_CORE_TOKENS_H
#define CA_CORE_TOKENS_H

#include "ports/ports.h"

void ca_tokens_init (ca_tokens_t *tokens);
void ca_tokens_finish (ca_tokens_t *tokens);

/* Appends one token. */
void ca_tokens_add (ca_tokens_t *tokens, const char *text, size_t bytes);

/* Start and length in bytes of token `index`, which must exist. */
const char *ca_tokens_get (const ca_tokens_t *tokens, uint32_t index,
                           size_t *bytes);

/* Bytes of the whole text. */
size_t ca_tokens_bytes (const ca_tokens_t *tokens);

#endif
