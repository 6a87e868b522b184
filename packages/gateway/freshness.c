/* Tracks when a copy of stored data was last validated. */
#include "gateway/freshness.h"

#include <string.h>

void
ca_freshness_init (ca_freshness_t *freshness)
{
  memset (freshness, 0, sizeof *freshness);
}

/* Records a validation; an older one changes nothing. */
static void
freshness_validate (ca_freshness_t *freshness, uint64_t at_us)
{
  if (!freshness->known || at_us > freshness->validated_us)
    freshness->validated_us = at_us;
  freshness->known = true;
}

void
ca_freshness_from_store (ca_freshness_t *freshness, uint64_t sent_us,
                         uint64_t store_us)
{
  int64_t offset_us = (int64_t)store_us - (int64_t)sent_us;
  /* A store clock that decreased was reset: the old offset is void. */
  if (store_us < freshness->store_us)
    freshness->has_offset = false;
  if (!freshness->has_offset || offset_us < freshness->offset_us)
    freshness->offset_us = offset_us;
  freshness->has_offset = true;
  freshness->store_us = store_us;
  freshness_validate (freshness,
                      ca_freshness_answer_us (freshness, sent_us, store_us));
}

uint64_t
ca_freshness_answer_us (const ca_freshness_t *freshness, uint64_t sent_us,
                        uint64_t store_us)
{
  int64_t at_us = (int64_t)store_us - freshness->offset_us;

  if (!freshness->has_offset || at_us < (int64_t)sent_us)
    return sent_us;
  return (uint64_t)at_us;
}

void
ca_freshness_from_peer (ca_freshness_t *freshness, uint64_t echo_us,
                        uint64_t age_us)
{
  if (freshness->known && age_us < echo_us)
    freshness_validate (freshness, echo_us - age_us);
}

uint64_t
ca_freshness_age_us (const ca_freshness_t *freshness, uint64_t now_us)
{
  if (!freshness->known)
    return UINT64_MAX;
  return now_us > freshness->validated_us ? now_us - freshness->validated_us
                                          : 0;
}
