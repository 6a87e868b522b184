/* Choice of the endpoint for a slot request, by cached prefix and load, and
 * reservation of endpoints for requests that need one to themselves. */
#include "core/private.h"

#include <xxhash.h>

/* Added to the score of a fully loaded endpoint; in prompt tokens. */
#define LOAD_PENALTY_TOKENS 512.0

/* Subtracted from the score of the preferred endpoint; in prompt tokens. */
#define PREFERRED_BONUS_TOKENS 512.0

static bool
choose_is_excluded (const ca_slot_request_t *slot_request, uint64_t endpoint)
{
  for (uint32_t i = 0; i < slot_request->excluded_count; i++)
    {
      if (slot_request->excluded[i] == endpoint)
        return true;
    }
  return false;
}

static bool
choose_has_slot (const ca_endpoint_t *endpoint,
                 const ca_slot_request_t *slot_request)
{
  if (endpoint->exclusive_request != 0)
    return endpoint->exclusive_request == slot_request->request
           && endpoint->in_flight == 0;
  if (slot_request->exclusive)
    return endpoint->in_flight == 0;
  return endpoint->in_flight + 1 <= endpoint->limit;
}

/* The preferred endpoint depends on the prompt's first block, so that prompts
 * with the same beginning stay on few endpoints even if none has cached it. */
static bool
choose_is_preferred (const ca_endpoint_t *endpoint,
                     const ca_slot_request_t *slot_request)
{
  return slot_request->preferred == endpoint->id;
}

/* Score of the endpoint for the request, in tokens: prompt tokens that are not
 * cached there, plus a penalty for its load, minus the bonus of the preferred
 * endpoint.  The endpoint with the lowest score is chosen. */
static double
choose_score (const ca_core_t *core, const ca_endpoint_t *endpoint,
              const ca_slot_request_t *slot_request, uint64_t *cached_tokens)
{
  const ca_core_options_t *options = &core->options;
  uint32_t blocks = ca_prefix_index_match (
      &endpoint->prefixes, slot_request->prefix, slot_request->prefix_count);
  double load = (double)endpoint->in_flight / endpoint->limit;
  uint64_t missing;

  *cached_tokens = (uint64_t)blocks * CA_PREFIX_BLOCK_TOKENS;
  missing = slot_request->prompt_tokens - *cached_tokens;
  if (options->score != NULL)
    return options->score (options->score_context, endpoint->id, load, missing);
  return (double)missing + LOAD_PENALTY_TOKENS * load
         - (choose_is_preferred (endpoint, slot_request)
                ? PREFERRED_BONUS_TOKENS
                : 0);
}

/* Id of the usable endpoint with the highest rendezvous hash for the prompt's
 * first block; 0 for a short prompt. */
static uint64_t
choose_preferred (const ca_core_t *core, const ca_shard_t *shard,
                  const ca_slot_request_t *slot_request)
{
  uint64_t best = 0;
  uint64_t best_hash = 0;
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  if (slot_request->prefix_count == 0)
    return 0;
  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    uint64_t hash;

    if (!ca_endpoint_in_shard (core, endpoint, shard->pool, shard->number)
        || !ca_endpoint_usable (core, endpoint))
      continue;
    hash = XXH64 (&slot_request->prefix[0], sizeof slot_request->prefix[0],
                  endpoint->id);
    if (hash >= best_hash)
      {
        best = endpoint->id;
        best_hash = hash;
      }
  }
  return best;
}

ca_endpoint_t *
ca_choose_endpoint (ca_core_t *core, const ca_shard_t *shard,
                    ca_slot_request_t *slot_request, uint64_t *cached_tokens)
{
  ca_endpoint_t *best = NULL;
  double best_score = 0;
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  slot_request->preferred = choose_preferred (core, shard, slot_request);
  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    uint64_t cached;
    double score;

    if (!ca_endpoint_in_shard (core, endpoint, shard->pool, shard->number)
        || !ca_endpoint_usable (core, endpoint)
        || choose_is_excluded (slot_request, endpoint->id)
        || !choose_has_slot (endpoint, slot_request))
      continue;
    score = choose_score (core, endpoint, slot_request, &cached);
    if (best == NULL || score < best_score)
      {
        best = endpoint;
        best_score = score;
        *cached_tokens = cached;
      }
  }
  return best;
}

/* Reserves the least loaded endpoint for a request that needs one to itself.
 * At most half of the endpoints are reserved; the others stay available
 * to all requests. */
void
ca_choose_reserve (ca_core_t *core, const ca_shard_t *shard,
                   const ca_slot_request_t *slot_request)
{
  ca_endpoint_t *best = NULL;
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;
  uint32_t usable = 0;
  uint32_t reserved = 0;

  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    if (!ca_endpoint_in_shard (core, endpoint, shard->pool, shard->number)
        || !ca_endpoint_usable (core, endpoint)
        || choose_is_excluded (slot_request, endpoint->id))
      continue;
    if (endpoint->exclusive_request == slot_request->request)
      return;
    usable++;
    reserved += endpoint->exclusive_request != 0;
    if (endpoint->exclusive_request == 0
        && (best == NULL || endpoint->in_flight < best->in_flight))
      best = endpoint;
  }
  if (best != NULL && reserved < (usable + 1) / 2)
    best->exclusive_request = slot_request->request;
}

void
ca_choose_unreserve (ca_core_t *core, uint64_t request)
{
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    if (endpoint->exclusive_request == request)
      endpoint->exclusive_request = 0;
  }
}
