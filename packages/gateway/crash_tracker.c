/* Detects requests that crash the endpoints that run them.
 *
 * An interrupted run counts as a crash only once the endpoint is also found
 * to be unreachable, since a lost response alone proves nothing.  The entry
 * tries a connection for that, as its other requests may go elsewhere.  Entries
 * add up their counts through heartbeats; a request with too many crashes is
 * not sent again. */
#include "gateway/private.h"

#include <inttypes.h>
#include <stdlib.h>

/* Crashed endpoints before a fingerprint is blocked. */
#define CRASHES_MAX 3

/* Crash records expire after this, which is longer than callers keep
 * repeating a crashing request. */
#define CRASH_RETENTION_US (120 * CA_US_PER_S)

/* An endpoint found unreachable this soon after an interrupted run is taken
 * to have crashed during it. */
#define CRASH_CONFIRM_US (1500 * CA_US_PER_MS)

/* Delay of the connection that is tried after an interrupted run.  A process
 * that ends may close its connections before it stops listening. */
#define CRASH_CHECK_DELAY_US (100 * CA_US_PER_MS)

static ca_crash_record_t *
crash_tracker_find (const ca_gateway_t *gateway, uint64_t fingerprint)
{
  ca_crash_record_t *record = NULL;

  HASH_FIND (hh, gateway->crash_records, &fingerprint, sizeof fingerprint,
             record);
  return record;
}

/* Crashes reported in the latest heartbeats of all peers. */
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
  const ca_crash_record_t *record = crash_tracker_find (gateway, fingerprint);
  uint32_t own = record == NULL ? 0 : record->count;

  return own + crash_tracker_peer_count (gateway, fingerprint) >= CRASHES_MAX;
}

/* Counts a crash of an endpoint instance, once per fingerprint. */
static void
crash_tracker_count (ca_gateway_t *gateway, uint64_t fingerprint,
                     const ca_gateway_endpoint_t *endpoint)
{
  uint64_t instance = ca_gateway_endpoint_instance (endpoint);
  ca_crash_record_t *record = crash_tracker_find (gateway, fingerprint);

  if (record == NULL)
    {
      record = calloc (1, sizeof *record);
      record->fingerprint = fingerprint;
      HASH_ADD (hh, gateway->crash_records, fingerprint,
                sizeof record->fingerprint, record);
    }
  record->latest_us = gateway->now_us;
  for (uint32_t i = 0; i < record->count && i < CRASHES_MAX; i++)
    {
      if (record->instances[i] == instance)
        return;
    }
  if (record->count < CRASHES_MAX)
    record->instances[record->count] = instance;
  record->count++;
  ca_counters_add (&gateway->counters, CA_COUNT_CRASHES_COUNTED, 1);
  ca_gateway_log (gateway, CA_EVENT_CRASH_COUNTED, NULL, endpoint->id,
                  "fingerprint %016" PRIx64
                  ": %u endpoints seen by this entry, %u reported by peers",
                  fingerprint, record->count,
                  crash_tracker_peer_count (gateway, fingerprint));
  if (record->count == CRASHES_MAX)
    ca_gateway_log (gateway, CA_EVENT_REQUEST_QUARANTINED, NULL, NULL,
                    "fingerprint %016" PRIx64
                    " blocked after it crashed %u endpoints",
                    fingerprint, record->count);
}

/* Drops a suspected crash and its reference to the endpoint. */
static void
crash_tracker_drop (ca_gateway_t *gateway, ca_suspected_crash_t *suspect)
{
  TAILQ_REMOVE (&gateway->suspected_crashes, suspect, entries);
  ca_gateway_endpoint_release (&gateway->registry, suspect->endpoint);
  free (suspect);
}

void
ca_crash_tracker_suspect (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  ca_suspected_crash_t *suspect = calloc (1, sizeof *suspect);

  suspect->fingerprint = exchange->fingerprint;
  suspect->endpoint = exchange->endpoint;
  suspect->at_us = gateway->now_us;
  ca_gateway_endpoint_acquire (suspect->endpoint);
  TAILQ_INSERT_TAIL (&gateway->suspected_crashes, suspect, entries);
  ca_counters_add (&gateway->counters, CA_COUNT_CRASHES_SUSPECTED, 1);
}

void
ca_crash_tracker_confirm (ca_gateway_t *gateway,
                          const ca_gateway_endpoint_t *endpoint)
{
  ca_suspected_crash_t *suspect = TAILQ_FIRST (&gateway->suspected_crashes);

  while (suspect != NULL)
    {
      ca_suspected_crash_t *next = TAILQ_NEXT (suspect, entries);

      if (suspect->endpoint == endpoint)
        {
          crash_tracker_count (gateway, suspect->fingerprint, endpoint);
          crash_tracker_drop (gateway, suspect);
        }
      suspect = next;
    }
}

/* Tries one connection to the endpoint for all runs interrupted there. */
static void
crash_tracker_check (ca_gateway_t *gateway, ca_suspected_crash_t *suspect)
{
  ca_gateway_endpoint_t *endpoint = suspect->endpoint;

  for (; suspect != NULL; suspect = TAILQ_NEXT (suspect, entries))
    {
      if (suspect->endpoint == endpoint)
        suspect->checked = true;
    }
  ca_counters_add (&gateway->counters, CA_COUNT_PROBES, 1);
  gateway->ports.check_endpoint (gateway->ports.context, endpoint);
}

void
ca_gateway_endpoint_checked (ca_gateway_t *gateway, uint64_t now_us,
                             uint64_t instance, bool reachable)
{
  ca_suspected_crash_t *suspect;

  gateway->now_us = now_us;
  if (reachable)
    return;
  TAILQ_FOREACH (suspect, &gateway->suspected_crashes, entries)
  {
    ca_gateway_endpoint_t *endpoint = suspect->endpoint;

    if (ca_gateway_endpoint_instance (endpoint) != instance)
      continue;
    ca_gateway_endpoint_failed (endpoint, now_us, true);
    ca_crash_tracker_confirm (gateway, endpoint);
    return;
  }
}

void
ca_crash_tracker_clear (ca_gateway_t *gateway, uint64_t fingerprint)
{
  ca_crash_record_t *record = crash_tracker_find (gateway, fingerprint);

  if (record == NULL)
    return;
  ca_gateway_log (gateway, CA_EVENT_CRASHES_CLEARED, NULL, NULL,
                  "fingerprint %016" PRIx64 ": %u endpoints", fingerprint,
                  record->count);
  HASH_DEL (gateway->crash_records, record);
  free (record);
}

void
ca_crash_tracker_tick (ca_gateway_t *gateway)
{
  ca_suspected_crash_t *suspect;
  ca_crash_record_t *record;
  ca_crash_record_t *next;

  while ((suspect = TAILQ_FIRST (&gateway->suspected_crashes)) != NULL
         && gateway->now_us - suspect->at_us > CRASH_CONFIRM_US)
    {
      ca_counters_add (&gateway->counters, CA_COUNT_CRASHES_UNCONFIRMED, 1);
      ca_gateway_log (gateway, CA_EVENT_CRASH_UNCONFIRMED, NULL,
                      suspect->endpoint->id,
                      "fingerprint %016" PRIx64
                      ": no connection failed within %" PRIu64 " ms",
                      suspect->fingerprint,
                      (gateway->now_us - suspect->at_us) / CA_US_PER_MS);
      crash_tracker_drop (gateway, suspect);
    }
  TAILQ_FOREACH (suspect, &gateway->suspected_crashes, entries)
  {
    if (!suspect->checked
        && gateway->now_us - suspect->at_us >= CRASH_CHECK_DELAY_US)
      crash_tracker_check (gateway, suspect);
  }
  HASH_ITER (hh, gateway->crash_records, record, next)
  {
    if (gateway->now_us - record->latest_us > CRASH_RETENTION_US)
      {
        HASH_DEL (gateway->crash_records, record);
        free (record);
      }
  }
}

void
ca_crash_tracker_finish (ca_gateway_t *gateway)
{
  ca_crash_record_t *record;
  ca_crash_record_t *next;

  while (!TAILQ_EMPTY (&gateway->suspected_crashes))
    crash_tracker_drop (gateway, TAILQ_FIRST (&gateway->suspected_crashes));
  HASH_ITER (hh, gateway->crash_records, record, next)
  {
    HASH_DEL (gateway->crash_records, record);
    free (record);
  }
}
