/* Growable buffer for the text of a request's tokens. */
#ifndef CA_CORE_TOKENS_H
#define CA_CORE_TOKENS_H

#include "ports/ports.h"

void ca_tokens_init (ca_tokens_t *tokens);
void ca_tokens_finish (ca_tokens_t *tokens);

/* Appends a copy of one token. */
void ca_tokens_add (ca_tokens_t *tokens, const char *text, size_t bytes);

/* Returns the text of token `index`, which must exist, and its length; the text
 * is not terminated and belongs to the buffer. */
const char *ca_tokens_get (const ca_tokens_t *tokens, uint32_t index,
                           size_t *bytes);

/* Total length of the text in bytes. */
size_t ca_tokens_bytes (const ca_tokens_t *tokens);

#endif
