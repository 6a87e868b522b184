/* Quarantine of requests that crash endpoints.
 *
 * A request whose endpoint was lost without notice becomes a suspect and then
 * needs an endpoint to itself.  If that endpoint is lost too, the request's
 * fingerprint is quarantined at every entry.  Endpoints lost in a reclaim wave
 * make no suspects. */
#include "core/private.h"

#include <stdlib.h>

#define SUSPECT_RETENTION_US (600 * CA_US_PER_S)
#define QUARANTINE_RETENTION_US (3600 * CA_US_PER_S)

/* Endpoints lost within CA_CRASH_CLASSIFY_DELAY_US that count as a reclaim
 * wave. */
#define RECLAIM_WAVE_ENDPOINTS 3

static ca_suspect_t *
suspect_find (const ca_core_t *core, uint64_t fingerprint)
{
  ca_suspect_t *suspect = NULL;

  HASH_FIND (hh, core->suspects, &fingerprint, sizeof fingerprint, suspect);
  return suspect;
}

uint32_t
ca_suspect_level (const ca_core_t *core, uint64_t fingerprint)
{
  const ca_suspect_t *suspect = suspect_find (core, fingerprint);

  return suspect == NULL ? 0 : suspect->level;
}

/* Raises the level of a fingerprint; false if it already had that level. */
static bool
suspect_raise (ca_core_t *core, uint64_t fingerprint, uint32_t level)
{
  ca_suspect_t *suspect = suspect_find (core, fingerprint);

  if (suspect == NULL)
    {
      suspect = calloc (1, sizeof *suspect);
      suspect->fingerprint = fingerprint;
      HASH_ADD (hh, core->suspects, fingerprint, sizeof suspect->fingerprint,
                suspect);
    }
  if (suspect->level >= level)
    return false;
  suspect->level = level;
  suspect->since_us = core->now_us;
  suspect->sends_left = ca_gossip_transmit_count (core);
  if (level >= CA_QUARANTINED)
    {
      ca_counters_add (&core->counters, CA_COUNT_QUARANTINED, 1);
      ca_trace (core, CA_EVENT_REQUEST_QUARANTINED, NULL, 0,
                "fingerprint %016llx", (unsigned long long)fingerprint);
    }
  else
    ca_trace (core, CA_EVENT_REQUEST_SUSPECT, NULL, 0, "fingerprint %016llx",
              (unsigned long long)fingerprint);
  ca_gossip_push (core);
  return true;
}

void
ca_suspect_update (ca_core_t *core, const Camphor__FingerprintUpdate *update)
{
  if (update->level == 0 || update->level > CA_QUARANTINED)
    return;
  suspect_raise (core, update->fingerprint, update->level);
}

/* Number of other endpoints, up to RECLAIM_WAVE_ENDPOINTS, that were lost at
 * about the same time as that of `crash`. */
static uint32_t
suspect_other_losses (const ca_core_t *core, const ca_crash_t *crash)
{
  const ca_crash_t *other;
  uint64_t seen[RECLAIM_WAVE_ENDPOINTS];
  uint32_t count = 0;

  TAILQ_FOREACH (other, &core->crashes, entries)
  {
    bool counted = other->endpoint == crash->endpoint;

    /* Several endpoints crashed by the same request are not a wave. */
    if (other->fingerprint == crash->fingerprint)
      continue;
    for (uint32_t i = 0; i < count && !counted; i++)
      counted = seen[i] == other->endpoint;
    if (!counted && count < RECLAIM_WAVE_ENDPOINTS)
      seen[count++] = other->endpoint;
  }
  return count;
}

static bool
suspect_is_platform_loss (const ca_core_t *core, const ca_crash_t *crash)
{
  if (ca_endpoint_is_leaving (core, crash->endpoint, crash->boot))
    return true;
  return suspect_other_losses (core, crash) + 1 >= RECLAIM_WAVE_ENDPOINTS;
}

bool
ca_suspect_record_crash (ca_core_t *core, const ca_request_t *request)
{
  ca_crash_t *crash = calloc (1, sizeof *crash);

  crash->fingerprint = request->fingerprint;
  crash->endpoint = request->attempt.endpoint;
  crash->boot = request->boot;
  crash->at_us = core->now_us;
  crash->exclusive = request->exclusive;
  TAILQ_INSERT_TAIL (&core->crashes, crash, entries);
  return !suspect_is_platform_loss (core, crash);
}

/* The platform caused the loss: requests with this fingerprint no longer need
 * an endpoint to themselves. */
static void
suspect_clear (ca_core_t *core, const ca_crash_t *crash)
{
  ca_request_t *request;
  ca_request_t *next;

  HASH_ITER (hh, core->requests, request, next)
  {
    if (request->fingerprint == crash->fingerprint
        && ca_suspect_level (core, request->fingerprint) == 0)
      request->exclusive = false;
  }
}

void
ca_suspect_tick (ca_core_t *core)
{
  ca_crash_t *crash;
  ca_suspect_t *suspect;
  ca_suspect_t *next;

  while ((crash = TAILQ_FIRST (&core->crashes)) != NULL
         && core->now_us - crash->at_us >= CA_CRASH_CLASSIFY_DELAY_US)
    {
      if (suspect_is_platform_loss (core, crash))
        suspect_clear (core, crash);
      else
        suspect_raise (core, crash->fingerprint,
                       crash->exclusive ? CA_QUARANTINED : 1);
      TAILQ_REMOVE (&core->crashes, crash, entries);
      free (crash);
    }
  HASH_ITER (hh, core->suspects, suspect, next)
  {
    uint64_t retention_us = suspect->level >= CA_QUARANTINED
                                ? QUARANTINE_RETENTION_US
                                : SUSPECT_RETENTION_US;

    if (core->now_us - suspect->since_us < retention_us)
      continue;
    HASH_DEL (core->suspects, suspect);
    free (suspect);
  }
}

void
ca_suspect_finish (ca_core_t *core)
{
  ca_suspect_t *suspect;
  ca_suspect_t *next;
  ca_crash_t *crash;

  HASH_ITER (hh, core->suspects, suspect, next)
  {
    HASH_DEL (core->suspects, suspect);
    free (suspect);
  }
  while ((crash = TAILQ_FIRST (&core->crashes)) != NULL)
    {
      TAILQ_REMOVE (&core->crashes, crash, entries);
      free (crash);
    }
}
