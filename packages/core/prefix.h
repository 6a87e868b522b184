/* Index of the prompt prefixes that an endpoint's cache probably holds.
 *
 * A prompt is split into blocks.  The hash of a block covers all blocks before
 * it, so it identifies a whole prefix. */
#ifndef CA_CORE_PREFIX_H
#define CA_CORE_PREFIX_H

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/* Estimate used where a prompt has not been tokenized. */
#define CA_BYTES_PER_TOKEN 4

#define CA_PREFIX_BLOCK_BYTES 256
#define CA_PREFIX_BLOCK_TOKENS (CA_PREFIX_BLOCK_BYTES / CA_BYTES_PER_TOKEN)

/* Blocks hashed per prompt; the rest of a longer prompt is ignored. */
#define CA_PREFIX_MAX_BLOCKS 32

/* Endpoints that are remembered as excluded for a request after failures. */
#define CA_MAX_EXCLUDED 4

/* Maximum number of blocks in the index of one endpoint. */
#define CA_PREFIX_INDEX_MAX_BLOCKS 8192

typedef struct
{
  uint64_t hash;
  UT_hash_handle hh;
} ca_prefix_row_t;

/* Rows are in LRU order, the least recently used first. */
typedef struct
{
  ca_prefix_row_t *rows;
  uint32_t capacity;
} ca_prefix_index_t;

/* Hashes the complete blocks of a prompt; returns their number, at most
 * CA_PREFIX_MAX_BLOCKS. */
uint32_t ca_prefix_hash (const char *body, size_t bytes,
                         uint64_t hashes[CA_PREFIX_MAX_BLOCKS]);

void ca_prefix_index_init (ca_prefix_index_t *index);
void ca_prefix_index_finish (ca_prefix_index_t *index);

/* Removes all blocks, e.g. after a restart of the endpoint. */
void ca_prefix_index_clear (ca_prefix_index_t *index);

/* Sets the capacity to what the endpoint reported, in blocks; 0 if unknown. */
void ca_prefix_index_resize (ca_prefix_index_t *index, uint32_t blocks);

/* Adds the blocks of a prompt that was sent to the endpoint. */
void ca_prefix_index_add (ca_prefix_index_t *index, const uint64_t *hashes,
                          uint32_t count);

/* Removes one block that the endpoint reported as evicted. */
void ca_prefix_index_remove (ca_prefix_index_t *index, uint64_t hash);

/* Number of leading blocks of the prompt that are in the index. */
uint32_t ca_prefix_index_match (const ca_prefix_index_t *index,
                                const uint64_t *hashes, uint32_t count);

#endif
