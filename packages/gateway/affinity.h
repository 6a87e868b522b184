/* Which endpoint holds which parts of prompts.
 *
 * A part counts only with all parts before it, so each is named by the hash of
 * its chain.  Every process knows what it has sent itself; what others sent
 * is guessed by homes: the endpoint that rendezvous hashing gives a chain is
 * the same for all. */
#ifndef CA_GATEWAY_AFFINITY_H
#define CA_GATEWAY_AFFINITY_H

#include "gateway/registry.h"

/* Most parts of a prompt that are looked at. */
#define CA_PROMPT_PARTS_MAX 8

typedef struct
{
  uint64_t prefix_hash; /* hash of this part and all before it */
  uint32_t tokens;
} ca_prompt_part_t;

typedef struct
{
  ca_prompt_part_t parts[CA_PROMPT_PARTS_MAX];
  uint32_t count;
  uint32_t tokens;        /* of the whole prompt */
  uint32_t output_tokens; /* most that are made */
} ca_prompt_t;

/* Adds a part by the id on the wire. */
void ca_prompt_add (ca_prompt_t *prompt, uint64_t id, uint32_t tokens);

/* Tokens of the parts that other requests share. */
uint32_t ca_prompt_shared_tokens (const ca_prompt_t *prompt);

/* Chain of the last shared part; 0 if nothing is shared. */
uint64_t ca_prompt_session (const ca_prompt_t *prompt);

/* Remembers that the prompt was read there; `capacity_tokens` bounds what the
 * endpoint is thought to keep. */
void ca_affinity_record (ca_gateway_endpoint_t *endpoint,
                         const ca_prompt_t *prompt, uint64_t capacity_tokens);

/* Tokens at the front of the prompt that this process has sent there. */
uint32_t ca_affinity_cached_tokens (const ca_gateway_endpoint_t *endpoint,
                                    const ca_prompt_t *prompt);

/* Rank of an endpoint for a chain; the highest is its home. */
uint64_t ca_affinity_rank (const ca_gateway_endpoint_t *endpoint,
                           uint64_t prefix_hash);

/* Forgets all of an endpoint's parts. */
void ca_affinity_clear (ca_gateway_endpoint_t *endpoint);

#endif
