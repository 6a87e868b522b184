/* Growable buffer for the text of a request's tokens. */
#include "core/tokens.h"

#include <stdlib.h>
#include <string.h>

#define TOKENS_INITIAL 32
#define TOKENS_INITIAL_BYTES 256

void
ca_tokens_init (ca_tokens_t *tokens)
{
  memset (tokens, 0, sizeof *tokens);
}

void
ca_tokens_finish (ca_tokens_t *tokens)
{
  free (tokens->text);
  free (tokens->ends);
  ca_tokens_init (tokens);
}

size_t
ca_tokens_bytes (const ca_tokens_t *tokens)
{
  return tokens->count == 0 ? 0 : tokens->ends[tokens->count - 1];
}

static void
tokens_reserve (ca_tokens_t *tokens, size_t bytes)
{
  if (tokens->count == tokens->capacity)
    {
      tokens->capacity
          = tokens->capacity ? tokens->capacity * 2 : TOKENS_INITIAL;
      tokens->ends
          = reallocarray (tokens->ends, tokens->capacity, sizeof *tokens->ends);
    }
  if (bytes > tokens->text_capacity)
    {
      while (tokens->text_capacity < bytes)
        tokens->text_capacity = tokens->text_capacity
                                    ? tokens->text_capacity * 2
                                    : TOKENS_INITIAL_BYTES;
      tokens->text = realloc (tokens->text, tokens->text_capacity);
    }
}

void
ca_tokens_add (ca_tokens_t *tokens, const char *text, size_t bytes)
{
  size_t used = ca_tokens_bytes (tokens);

  tokens_reserve (tokens, used + bytes);
  if (bytes > 0)
    memcpy (tokens->text + used, text, bytes);
  tokens->ends[tokens->count++] = (uint32_t)(used + bytes);
}

const char *
ca_tokens_get (const ca_tokens_t *tokens, uint32_t index, size_t *bytes)
{
  size_t start = index == 0 ? 0 : tokens->ends[index - 1];

  *bytes = tokens->ends[index] - start;
  return tokens->text + start;
}
