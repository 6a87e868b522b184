/* Per-endpoint lists of prompt parts, most recently used first. */
#include "gateway/affinity.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

struct ca_affinity_part
{
  uint64_t prefix_hash;
  uint32_t tokens;
  TAILQ_ENTRY (ca_affinity_part) entries;
};

typedef struct ca_affinity_part affinity_part_t;

void
ca_prompt_add (ca_prompt_t *prompt, uint64_t id, uint32_t tokens)
{
  uint64_t chained[2] = { 0, id };

  if (prompt->count == CA_PROMPT_PARTS_MAX)
    return;
  if (prompt->count > 0)
    chained[0] = prompt->parts[prompt->count - 1].prefix_hash;
  prompt->parts[prompt->count].id = id;
  prompt->parts[prompt->count].prefix_hash
      = XXH3_64bits (chained, sizeof chained);
  prompt->parts[prompt->count].tokens = tokens;
  prompt->count++;
}

uint32_t
ca_prompt_shared_parts (const ca_prompt_t *prompt)
{
  return prompt->count == 0 ? 0 : prompt->count - 1;
}

void
ca_prompt_print_shared (const ca_prompt_t *prompt,
                        char text[CA_PROMPT_TEXT_BYTES])
{
  size_t used = 0;

  snprintf (text, CA_PROMPT_TEXT_BYTES, "none");
  for (uint32_t i = 0; i < ca_prompt_shared_parts (prompt); i++)
    used += (size_t)snprintf (text + used, CA_PROMPT_TEXT_BYTES - used,
                              "%s%" PRIx64, i == 0 ? "" : ",",
                              prompt->parts[i].id);
}

uint32_t
ca_prompt_shared_tokens (const ca_prompt_t *prompt)
{
  uint32_t tokens = 0;

  for (uint32_t i = 0; i + 1 < prompt->count; i++)
    tokens += prompt->parts[i].tokens;
  return tokens;
}

uint64_t
ca_prompt_shared_hash (const ca_prompt_t *prompt)
{
  return prompt->count < 2 ? 0 : prompt->parts[prompt->count - 2].prefix_hash;
}

static affinity_part_t *
affinity_find (const ca_gateway_endpoint_t *endpoint, uint64_t prefix_hash)
{
  affinity_part_t *part;

  TAILQ_FOREACH (part, &endpoint->parts, entries)
  {
    if (part->prefix_hash == prefix_hash)
      return part;
  }
  return NULL;
}

static void
affinity_drop (ca_gateway_endpoint_t *endpoint, affinity_part_t *part)
{
  TAILQ_REMOVE (&endpoint->parts, part, entries);
  endpoint->part_tokens -= part->tokens;
  free (part);
}

/* Moves a part to the front of the endpoint's list, or adds it there. */
static void
affinity_touch (ca_gateway_endpoint_t *endpoint,
                const ca_prompt_part_t *prompt_part)
{
  affinity_part_t *part = affinity_find (endpoint, prompt_part->prefix_hash);

  if (part != NULL)
    TAILQ_REMOVE (&endpoint->parts, part, entries);
  else
    {
      part = calloc (1, sizeof *part);
      part->prefix_hash = prompt_part->prefix_hash;
      part->tokens = prompt_part->tokens;
      endpoint->part_tokens += prompt_part->tokens;
    }
  TAILQ_INSERT_HEAD (&endpoint->parts, part, entries);
}

void
ca_affinity_record (ca_gateway_endpoint_t *endpoint, const ca_prompt_t *prompt,
                    uint64_t capacity_tokens)
{
  /* The last part is unique to the request and is never reused. */
  for (uint32_t i = 0; i + 1 < prompt->count; i++)
    affinity_touch (endpoint, &prompt->parts[i]);
  while (endpoint->part_tokens > capacity_tokens
         && !TAILQ_EMPTY (&endpoint->parts))
    affinity_drop (endpoint, TAILQ_LAST (&endpoint->parts, ca_affinity_parts));
}

uint32_t
ca_affinity_cached_tokens (const ca_gateway_endpoint_t *endpoint,
                           const ca_prompt_t *prompt)
{
  uint32_t tokens = 0;

  for (uint32_t i = 0; i + 1 < prompt->count; i++)
    {
      if (affinity_find (endpoint, prompt->parts[i].prefix_hash) == NULL)
        break;
      tokens += prompt->parts[i].tokens;
    }
  return tokens;
}

uint64_t
ca_affinity_rank (const ca_gateway_endpoint_t *endpoint, uint64_t prefix_hash)
{
  uint64_t pair[2] = { endpoint->hash, prefix_hash };

  return XXH3_64bits (pair, sizeof pair);
}

void
ca_affinity_clear (ca_gateway_endpoint_t *endpoint)
{
  while (!TAILQ_EMPTY (&endpoint->parts))
    affinity_drop (endpoint, TAILQ_FIRST (&endpoint->parts));
}
