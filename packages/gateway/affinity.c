/* Per-endpoint lists of prompt parts, least recently used last. */
#include "gateway/affinity.h"

#include <stdlib.h>
#include <xxhash.h>

struct ca_affinity_part
{
  uint64_t chain;
  uint32_t tokens;
  TAILQ_ENTRY (ca_affinity_part) entries;
};

typedef struct ca_affinity_part affinity_part_t;

void
ca_prompt_add (ca_prompt_t *prompt, uint64_t id, uint32_t tokens)
{
  uint64_t chain[2] = { 0, id };

  if (prompt->count == CA_PARTS_MAX)
    return;
  if (prompt->count > 0)
    chain[0] = prompt->parts[prompt->count - 1].chain;
  prompt->parts[prompt->count].chain = XXH3_64bits (chain, sizeof chain);
  prompt->parts[prompt->count].tokens = tokens;
  prompt->count++;
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
ca_prompt_session (const ca_prompt_t *prompt)
{
  return prompt->count < 2 ? 0 : prompt->parts[prompt->count - 2].chain;
}

static affinity_part_t *
affinity_find (const ca_seat_t *seat, uint64_t chain)
{
  affinity_part_t *part;

  TAILQ_FOREACH (part, &seat->parts, entries)
  {
    if (part->chain == chain)
      return part;
  }
  return NULL;
}

static void
affinity_drop (ca_seat_t *seat, affinity_part_t *part)
{
  TAILQ_REMOVE (&seat->parts, part, entries);
  seat->part_tokens -= part->tokens;
  free (part);
}

static void
affinity_touch (ca_seat_t *seat, const ca_prompt_part_t *wanted)
{
  affinity_part_t *part = affinity_find (seat, wanted->chain);

  if (part != NULL)
    TAILQ_REMOVE (&seat->parts, part, entries);
  else
    {
      part = calloc (1, sizeof *part);
      part->chain = wanted->chain;
      part->tokens = wanted->tokens;
      seat->part_tokens += wanted->tokens;
    }
  TAILQ_INSERT_HEAD (&seat->parts, part, entries);
}

void
ca_affinity_note (ca_seat_t *seat, const ca_prompt_t *prompt,
                  uint64_t capacity_tokens)
{
  /* The last part is the request's own and is not asked for again. */
  for (uint32_t i = 0; i + 1 < prompt->count; i++)
    affinity_touch (seat, &prompt->parts[i]);
  while (seat->part_tokens > capacity_tokens && !TAILQ_EMPTY (&seat->parts))
    affinity_drop (seat, TAILQ_LAST (&seat->parts, ca_affinity_parts));
}

uint32_t
ca_affinity_known (const ca_seat_t *seat, const ca_prompt_t *prompt)
{
  uint32_t tokens = 0;

  for (uint32_t i = 0; i + 1 < prompt->count; i++)
    {
      if (affinity_find (seat, prompt->parts[i].chain) == NULL)
        break;
      tokens += prompt->parts[i].tokens;
    }
  return tokens;
}

uint64_t
ca_affinity_rank (const ca_seat_t *seat, uint64_t chain)
{
  uint64_t pair[2] = { seat->hash, chain };

  return XXH3_64bits (pair, sizeof pair);
}

void
ca_affinity_forget (ca_seat_t *seat)
{
  while (!TAILQ_EMPTY (&seat->parts))
    affinity_drop (seat, TAILQ_FIRST (&seat->parts));
}
