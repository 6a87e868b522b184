/* Requests that crash the endpoints that run them.
 *
 * A cut run is a strike only once the endpoint cannot be reached either: a
 * lost answer alone says nothing.  Entries add their strikes up through their
 * pulses; a request with too many is not sent again. */
#include "gateway/private.h"

#include <stdlib.h>

/* Endpoints that a request may have ended before it is barred. */
#define CRASHES_MAX 3

/* A strike counts for this long: longer than a crashing caller keeps coming
 * back in a day of the users' bench. */
#define CRASH_RETENTION_US (120 * CA_US_PER_S)

/* An endpoint that cannot be reached within this of a cut ended then. */
#define CRASH_CONFIRM_US (1500 * CA_US_PER_MS)

static ca_crash_record_t *
crash_tracker_find (const ca_gateway_t *gateway, uint64_t fingerprint)
{
  ca_crash_record_t *crash_record = NULL;

  HASH_FIND (hh, gateway->crash_records, &fingerprint, sizeof fingerprint,
             crash_record);
  return crash_record;
}

static uint32_t
crash_tracker_peer_count (const ca_gateway_t *gateway, uint64_t fingerprint)
{
  const ca_peer_t *peer;
  uint32_t count = 0;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      for (size_t i = 0;
           peer->heartbeat != NULL && i < peer->heartbeat->n_strikes; i++)
        {
          if (peer->heartbeat->strikes[i]->fingerprint == fingerprint)
            count += peer->heartbeat->strikes[i]->count;
        }
    }
  return count;
}

bool
ca_crash_tracker_is_blocked (const ca_gateway_t *gateway, uint64_t fingerprint)
{
  const ca_crash_record_t *crash_record
      = crash_tracker_find (gateway, fingerprint);
  uint32_t own = crash_record == NULL ? 0 : crash_record->count;

  return own + crash_tracker_peer_count (gateway, fingerprint) >= CRASHES_MAX;
}

static void
crash_tracker_count (ca_gateway_t *gateway, uint64_t fingerprint,
                     uint64_t endpoint)
{
  ca_crash_record_t *crash_record = crash_tracker_find (gateway, fingerprint);

  if (crash_record == NULL)
    {
      crash_record = calloc (1, sizeof *crash_record);
      crash_record->fingerprint = fingerprint;
      HASH_ADD (hh, gateway->crash_records, fingerprint,
                sizeof crash_record->fingerprint, crash_record);
    }
  crash_record->latest_us = gateway->now_us;
  for (uint32_t i = 0; i < crash_record->count && i < CRASHES_MAX; i++)
    {
      if (crash_record->instances[i] == endpoint)
        return;
    }
  if (crash_record->count < CRASHES_MAX)
    crash_record->instances[crash_record->count] = endpoint;
  crash_record->count++;
  if (crash_record->count == CRASHES_MAX)
    ca_gateway_log (gateway, CA_EVENT_REQUEST_QUARANTINED, NULL, NULL,
                    "fingerprint %016llx ended %u endpoints",
                    (unsigned long long)fingerprint, crash_record->count);
}

void
ca_crash_tracker_suspect (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  ca_suspected_crash_t *suspect = calloc (1, sizeof *suspect);

  suspect->fingerprint = exchange->fingerprint;
  suspect->endpoint = exchange->endpoint->hash ^ exchange->endpoint->started_ms;
  suspect->at_us = gateway->now_us;
  TAILQ_INSERT_TAIL (&gateway->suspected_crashes, suspect, entries);
}

void
ca_crash_tracker_confirm (ca_gateway_t *gateway,
                          const ca_gateway_endpoint_t *endpoint)
{
  uint64_t instance = endpoint->hash ^ endpoint->started_ms;
  ca_suspected_crash_t *suspect = TAILQ_FIRST (&gateway->suspected_crashes);

  while (suspect != NULL)
    {
      ca_suspected_crash_t *next = TAILQ_NEXT (suspect, entries);

      if (suspect->endpoint == instance)
        {
          crash_tracker_count (gateway, suspect->fingerprint, instance);
          TAILQ_REMOVE (&gateway->suspected_crashes, suspect, entries);
          free (suspect);
        }
      suspect = next;
    }
}

void
ca_crash_tracker_clear (ca_gateway_t *gateway, uint64_t fingerprint)
{
  ca_crash_record_t *crash_record = crash_tracker_find (gateway, fingerprint);

  if (crash_record == NULL)
    return;
  HASH_DEL (gateway->crash_records, crash_record);
  free (crash_record);
}

void
ca_crash_tracker_tick (ca_gateway_t *gateway)
{
  ca_suspected_crash_t *suspect;
  ca_crash_record_t *crash_record;
  ca_crash_record_t *next;

  while ((suspect = TAILQ_FIRST (&gateway->suspected_crashes)) != NULL
         && gateway->now_us - suspect->at_us > CRASH_CONFIRM_US)
    {
      TAILQ_REMOVE (&gateway->suspected_crashes, suspect, entries);
      free (suspect);
    }
  HASH_ITER (hh, gateway->crash_records, crash_record, next)
  {
    if (gateway->now_us - crash_record->latest_us > CRASH_RETENTION_US)
      {
        HASH_DEL (gateway->crash_records, crash_record);
        free (crash_record);
      }
  }
}

void
ca_crash_tracker_finish (ca_gateway_t *gateway)
{
  ca_crash_record_t *crash_record;
  ca_crash_record_t *next;

  while (!TAILQ_EMPTY (&gateway->suspected_crashes))
    {
      ca_suspected_crash_t *suspect = TAILQ_FIRST (&gateway->suspected_crashes);

      TAILQ_REMOVE (&gateway->suspected_crashes, suspect, entries);
      free (suspect);
    }
  HASH_ITER (hh, gateway->crash_records, crash_record, next)
  {
    HASH_DEL (gateway->crash_records, crash_record);
    free (crash_record);
  }
}
