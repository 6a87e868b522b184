/* Index of the prompt prefixes that an endpoint's cache is thought to hold.
 *
 * A prompt is cut into blocks; each block's hash covers all blocks before it,
 * so a hash stands for a whole prefix. */
#ifndef CA_CORE_PREFIX_H
#define CA_CORE_PREFIX_H

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#define CA_BYTES_PER_TOKEN 4
#define CA_PREFIX_BLOCK_BYTES 256
#define CA_PREFIX_BLOCK_TOKENS (CA_PREFIX_BLOCK_BYTES / CA_BYTES_PER_TOKEN)

/* Blocks of a prompt that are looked at; a longer prompt's tail is not. */
#define CA_PREFIX_MAX_BLOCKS 32

/* Endpoints that a request may refuse to be sent to again. */
#define CA_MAX_EXCLUDED 4

/* Most blocks remembered for one endpoint. */
#define CA_PREFIX_INDEX_MAX_BLOCKS 8192

typedef struct
{
  uint64_t hash;
  UT_hash_handle hh;
} ca_prefix_row_t;

/* Rows stand in order of use, the least recently used first. */
typedef struct
{
  ca_prefix_row_t *rows;
  uint32_t capacity;
} ca_prefix_index_t;

/* Hashes the blocks of a prompt; returns how many, at most
 * CA_PREFIX_MAX_BLOCKS. */
uint32_t ca_prefix_hash (const char *body, size_t bytes,
                         uint64_t hashes[CA_PREFIX_MAX_BLOCKS]);

void ca_prefix_index_init (ca_prefix_index_t *index);
void ca_prefix_index_finish (ca_prefix_index_t *index);

/* Forgets everything, as a restarted endpoint does. */
void ca_prefix_index_clear (ca_prefix_index_t *index);

/* Bounds the index to what the endpoint says it can hold. */
void ca_prefix_index_resize (ca_prefix_index_t *index, uint32_t blocks);

/* Notes that a prompt was sent to the endpoint. */
void ca_prefix_index_add (ca_prefix_index_t *index, const uint64_t *hashes,
                          uint32_t count);

/* Takes back one block that the endpoint says it dropped. */
void ca_prefix_index_remove (ca_prefix_index_t *index, uint64_t hash);

/* Leading blocks of the prompt thought to be cached. */
uint32_t ca_prefix_index_match (const ca_prefix_index_t *index,
                                const uint64_t *hashes, uint32_t count);

#endif
