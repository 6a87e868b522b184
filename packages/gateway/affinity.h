/* Tracks which prompt prefixes each endpoint has cached.
 *
 * A cached part is of use only after all parts before it, so each part is
 * identified by a hash of the whole prefix.  An entry records what it has
 * sent itself.  For prompts sent by other entries it relies on rendezvous
 * hashing, by which all entries map a prefix to the same home endpoint. */
#ifndef CA_GATEWAY_AFFINITY_H
#define CA_GATEWAY_AFFINITY_H

#include "gateway/registry.h"

/* Maximum number of prompt parts; further ones are ignored. */
#define CA_PROMPT_PARTS_MAX 8

typedef struct
{
  uint64_t id;          /* on the wire */
  uint64_t prefix_hash; /* of this part and all parts before it */
  uint32_t tokens;
} ca_prompt_part_t;

typedef struct
{
  ca_prompt_part_t parts[CA_PROMPT_PARTS_MAX];
  uint32_t count;
  uint32_t tokens;        /* of the whole prompt */
  uint32_t output_tokens; /* maximum number generated */
} ca_prompt_t;

/* Appends a part, given its id on the wire. */
void ca_prompt_add (ca_prompt_t *prompt, uint64_t id, uint32_t tokens);

/* Ids of all parts of a prompt in hexadecimal, with commas. */
#define CA_PROMPT_TEXT_BYTES (CA_PROMPT_PARTS_MAX * 17 + 1)

/* Writes the ids of the parts that other requests may share as a list, "none"
 * if there are none. */
void ca_prompt_print_shared (const ca_prompt_t *prompt,
                             char text[CA_PROMPT_TEXT_BYTES]);

/* Number of parts that other requests may share: all but the last. */
uint32_t ca_prompt_shared_parts (const ca_prompt_t *prompt);

/* Tokens of the parts that other requests may share: all but the last. */
uint32_t ca_prompt_shared_tokens (const ca_prompt_t *prompt);

/* Prefix hash of the last shared part; 0 if there is none. */
uint64_t ca_prompt_shared_hash (const ca_prompt_t *prompt);

/* Records that the prompt was sent there.  The least recently used parts are
 * dropped above `capacity_tokens`, the assumed size of the endpoint's cache. */
void ca_affinity_record (ca_gateway_endpoint_t *endpoint,
                         const ca_prompt_t *prompt, uint64_t capacity_tokens);

/* Leading prompt tokens that this entry has sent to the endpoint before. */
uint32_t ca_affinity_cached_tokens (const ca_gateway_endpoint_t *endpoint,
                                    const ca_prompt_t *prompt);

/* Rendezvous rank of an endpoint for a prefix; the highest is its home. */
uint64_t ca_affinity_rank (const ca_gateway_endpoint_t *endpoint,
                           uint64_t prefix_hash);

/* Drops all records of the endpoint. */
void ca_affinity_clear (ca_gateway_endpoint_t *endpoint);

#endif
