/* Prefix index: a bounded set of block hashes with LRU eviction. */
#include "core/prefix.h"

#include <stdlib.h>
#include <xxhash.h>

uint32_t
ca_prefix_hash (const char *body, size_t bytes,
                uint64_t hashes[CA_PREFIX_MAX_BLOCKS])
{
  uint64_t chain = 0;
  uint32_t count = 0;

  while (count < CA_PREFIX_MAX_BLOCKS
         && (size_t)(count + 1) * CA_PREFIX_BLOCK_BYTES <= bytes)
    {
      chain = XXH64 (body + (size_t)count * CA_PREFIX_BLOCK_BYTES,
                     CA_PREFIX_BLOCK_BYTES, chain);
      hashes[count++] = chain;
    }
  return count;
}

void
ca_prefix_index_init (ca_prefix_index_t *index)
{
  index->rows = NULL;
  index->capacity = CA_PREFIX_INDEX_MAX_BLOCKS;
}

static void
prefix_drop (ca_prefix_index_t *index, ca_prefix_row_t *row)
{
  HASH_DEL (index->rows, row);
  free (row);
}

void
ca_prefix_index_clear (ca_prefix_index_t *index)
{
  ca_prefix_row_t *row;
  ca_prefix_row_t *next;

  HASH_ITER (hh, index->rows, row, next)
  prefix_drop (index, row);
}

void
ca_prefix_index_finish (ca_prefix_index_t *index)
{
  ca_prefix_index_clear (index);
}

static void
prefix_evict (ca_prefix_index_t *index)
{
  while (HASH_COUNT (index->rows) > index->capacity)
    prefix_drop (index, index->rows);
}

void
ca_prefix_index_resize (ca_prefix_index_t *index, uint32_t blocks)
{
  if (blocks == 0 || blocks > CA_PREFIX_INDEX_MAX_BLOCKS)
    blocks = CA_PREFIX_INDEX_MAX_BLOCKS;
  index->capacity = blocks;
  prefix_evict (index);
}

static void
prefix_touch (ca_prefix_index_t *index, uint64_t hash)
{
  ca_prefix_row_t *row = NULL;

  HASH_FIND (hh, index->rows, &hash, sizeof hash, row);
  if (row == NULL)
    {
      row = calloc (1, sizeof *row);
      row->hash = hash;
    }
  else
    HASH_DEL (index->rows, row);
  HASH_ADD (hh, index->rows, hash, sizeof row->hash, row);
}

void
ca_prefix_index_add (ca_prefix_index_t *index, const uint64_t *hashes,
                     uint32_t count)
{
  /* Later blocks are added first, so that they are evicted first: caches evict
   * the end of a prefix before its start. */
  for (uint32_t i = count; i > 0; i--)
    prefix_touch (index, hashes[i - 1]);
  prefix_evict (index);
}

void
ca_prefix_index_remove (ca_prefix_index_t *index, uint64_t hash)
{
  ca_prefix_row_t *row = NULL;

  HASH_FIND (hh, index->rows, &hash, sizeof hash, row);
  if (row != NULL)
    prefix_drop (index, row);
}

uint32_t
ca_prefix_index_match (const ca_prefix_index_t *index, const uint64_t *hashes,
                       uint32_t count)
{
  uint32_t matched = 0;

  while (matched < count)
    {
      ca_prefix_row_t *row = NULL;

      HASH_FIND (hh, index->rows, &hashes[matched], sizeof hashes[matched],
                 row);
      if (row == NULL)
        break;
      matched++;
    }
  return matched;
}
