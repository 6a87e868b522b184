/* Registry of endpoints and their health. */
#include "gateway/registry.h"

#include "base/clock.h"
#include "gateway/affinity.h"
#include "gateway/stream_versions.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Consecutive failures before an endpoint is ejected, and the duration of the
 * ejection, which doubles from the minimum to the maximum. */
#define REGISTRY_EJECT_FAILURES 3
#define REGISTRY_EJECT_MIN_US (500 * CA_US_PER_MS)
#define REGISTRY_EJECT_MAX_US (4 * CA_US_PER_S)

/* An endpoint that leaves serves for some seconds more.  If the store comes
 * back from an older copy meanwhile, that may hold its record as it was before.
 */
#define REGISTRY_DEPARTED_US (60 * CA_US_PER_S)

/* Weight of the newest response in the averages. */
#define REGISTRY_SMOOTHING 0.15

void
ca_registry_init (ca_registry_t *registry)
{
  memset (registry, 0, sizeof *registry);
}

static void
registry_free_endpoint (ca_gateway_endpoint_t *endpoint)
{
  ca_slot_permits_free (endpoint->slot_permits);
  ca_affinity_clear (endpoint);
  free (endpoint->id);
  free (endpoint->service);
  free (endpoint->zone);
  free (endpoint->version);
  free (endpoint);
}

void
ca_registry_finish (ca_registry_t *registry)
{
  ca_gateway_endpoint_t *endpoint;
  ca_gateway_endpoint_t *next;
  ca_departed_endpoint_t *departed;
  ca_departed_endpoint_t *following;

  HASH_ITER (hh, registry->departed, departed, following)
  {
    HASH_DEL (registry->departed, departed);
    free (departed);
  }
  HASH_ITER (hh, registry->endpoints, endpoint, next)
  {
    HASH_DEL (registry->endpoints, endpoint);
    registry_free_endpoint (endpoint);
  }
  while ((endpoint = registry->retired) != NULL)
    {
      registry->retired = endpoint->next_retired;
      registry_free_endpoint (endpoint);
    }
}

ca_gateway_endpoint_t *
ca_registry_find (const ca_registry_t *registry, const char *id)
{
  ca_gateway_endpoint_t *endpoint = NULL;

  HASH_FIND (hh, registry->endpoints, id, strlen (id), endpoint);
  return endpoint;
}

ca_gateway_endpoint_t *
ca_registry_find_instance (const ca_registry_t *registry, uint64_t instance)
{
  ca_gateway_endpoint_t *endpoint = registry->endpoints;

  while (endpoint != NULL
         && ca_gateway_endpoint_instance (endpoint) != instance)
    endpoint = endpoint->hh.next;
  return endpoint;
}

/* Records that an instance was leaving when it was removed, and forgets those
 * that are gone by now. */
static void
registry_note_departed (ca_registry_t *registry, uint64_t now_us,
                        const ca_gateway_endpoint_t *endpoint)
{
  uint64_t instance = ca_gateway_endpoint_instance (endpoint);
  ca_departed_endpoint_t *departed;

  while ((departed = registry->departed) != NULL
         && now_us - departed->removed_us >= REGISTRY_DEPARTED_US)
    {
      HASH_DEL (registry->departed, departed);
      free (departed);
    }
  HASH_FIND (hh, registry->departed, &instance, sizeof instance, departed);
  if (departed != NULL)
    HASH_DEL (registry->departed, departed);
  else
    departed = calloc (1, sizeof *departed);
  departed->instance = instance;
  departed->removed_us = now_us;
  HASH_ADD (hh, registry->departed, instance, sizeof instance, departed);
}

static bool
registry_has_departed (const ca_registry_t *registry, uint64_t now_us,
                       const ca_gateway_endpoint_t *endpoint)
{
  uint64_t instance = ca_gateway_endpoint_instance (endpoint);
  const ca_departed_endpoint_t *departed;

  HASH_FIND (hh, registry->departed, &instance, sizeof instance, departed);
  return departed != NULL
         && now_us - departed->removed_us < REGISTRY_DEPARTED_US;
}

/* Removes an instance from the registry; its memory is kept while exchanges
 * refer to it. */
static void
registry_retire (ca_registry_t *registry, uint64_t now_us,
                 ca_gateway_endpoint_t *endpoint)
{
  if (endpoint->state == CA_GATEWAY_ENDPOINT_DRAINING)
    registry_note_departed (registry, now_us, endpoint);
  HASH_DEL (registry->endpoints, endpoint);
  endpoint->state = CA_GATEWAY_ENDPOINT_GONE;
  if (endpoint->references == 0)
    {
      registry_free_endpoint (endpoint);
      return;
    }
  endpoint->next_retired = registry->retired;
  registry->retired = endpoint;
}

static ca_gateway_endpoint_t *
registry_add (ca_registry_t *registry, const ca_endpoint_record_t *record)
{
  ca_gateway_endpoint_t *endpoint = calloc (1, sizeof *endpoint);

  endpoint->id = strdup (record->id);
  endpoint->service = strdup (record->service);
  endpoint->zone = strdup (record->zone);
  endpoint->version = strdup (record->version == NULL ? "" : record->version);
  endpoint->version_number
      = ca_stream_version (endpoint->service, endpoint->version);
  endpoint->address = record->address;
  endpoint->started_ms = record->started_ms;
  endpoint->hash = XXH3_64bits (record->id, strlen (record->id));
  TAILQ_INIT (&endpoint->parts);
  HASH_ADD_KEYPTR (hh, registry->endpoints, endpoint->id, strlen (endpoint->id),
                   endpoint);
  return endpoint;
}

/* The same id with another start time, address, service or version is a new
 * instance. */
static bool
registry_is_same_instance (const ca_gateway_endpoint_t *endpoint,
                           const ca_endpoint_record_t *record)
{
  return endpoint->started_ms == record->started_ms
         && endpoint->address.ip == record->address.ip
         && endpoint->address.port == record->address.port
         && strcmp (endpoint->service, record->service) == 0
         && strcmp (endpoint->version,
                    record->version == NULL ? "" : record->version)
                == 0;
}

const ca_gateway_endpoint_t *
ca_registry_replaced (const ca_registry_t *registry,
                      const ca_endpoint_record_t *record)
{
  const ca_gateway_endpoint_t *endpoint
      = ca_registry_find (registry, record->id);

  if (endpoint == NULL || endpoint->started_ms == 0
      || record->started_ms <= endpoint->started_ms)
    return NULL;
  return endpoint;
}

bool
ca_registry_is_outdated (const ca_registry_t *registry,
                         const ca_endpoint_record_t *record)
{
  const ca_gateway_endpoint_t *endpoint
      = ca_registry_find (registry, record->id);

  return endpoint != NULL && record->started_ms != 0
         && record->started_ms < endpoint->started_ms;
}

bool
ca_registry_put (ca_registry_t *registry, uint64_t now_us,
                 const ca_endpoint_record_t *record)
{
  ca_gateway_endpoint_t *endpoint = ca_registry_find (registry, record->id);
  ca_gateway_endpoint_state_t state = record->draining
                                          ? CA_GATEWAY_ENDPOINT_DRAINING
                                          : CA_GATEWAY_ENDPOINT_READY;
  bool changed = false;

  if (ca_registry_is_outdated (registry, record))
    {
      endpoint->missing_since_us = 0;
      return false;
    }
  if (endpoint != NULL && !registry_is_same_instance (endpoint, record))
    {
      registry_retire (registry, now_us, endpoint);
      endpoint = NULL;
    }
  if (endpoint == NULL)
    {
      endpoint = registry_add (registry, record);
      endpoint->added_us = now_us;
      if (registry_has_departed (registry, now_us, endpoint))
        endpoint->state = CA_GATEWAY_ENDPOINT_DRAINING;
      changed = true;
    }
  /* An instance that is draining never becomes ready again. */
  if (endpoint->state != CA_GATEWAY_ENDPOINT_DRAINING
      && endpoint->state != state)
    {
      endpoint->state = state;
      changed = true;
    }
  endpoint->reclaimable = record->reclaimable;
  endpoint->slots = record->slots;
  endpoint->missing_since_us = 0;
  endpoint->listed_us = now_us;
  if (record->leaves_ms > 0)
    endpoint->leaves_at_us = now_us + record->leaves_ms * CA_US_PER_MS;
  return changed;
}

void
ca_registry_remove (ca_registry_t *registry, uint64_t now_us, const char *id,
                    bool confirmed)
{
  ca_gateway_endpoint_t *endpoint = ca_registry_find (registry, id);

  if (endpoint == NULL)
    return;
  if (confirmed)
    registry_retire (registry, now_us, endpoint);
  else if (endpoint->missing_since_us == 0)
    endpoint->missing_since_us = now_us;
}

void
ca_registry_expire (ca_registry_t *registry, uint64_t now_us, uint64_t wait_us)
{
  ca_gateway_endpoint_t *endpoint;
  ca_gateway_endpoint_t *next;

  HASH_ITER (hh, registry->endpoints, endpoint, next)
  {
    if (endpoint->missing_since_us != 0
        && now_us - endpoint->missing_since_us >= wait_us)
      registry_retire (registry, now_us, endpoint);
  }
}

void
ca_registry_mark_missing (ca_registry_t *registry, uint64_t now_us)
{
  ca_gateway_endpoint_t *endpoint;
  ca_gateway_endpoint_t *next;

  HASH_ITER (hh, registry->endpoints, endpoint, next)
  {
    if (endpoint->missing_since_us == 0)
      endpoint->missing_since_us = now_us;
  }
}

bool
ca_gateway_endpoint_is_open (const ca_gateway_endpoint_t *endpoint)
{
  return endpoint->state == CA_GATEWAY_ENDPOINT_READY;
}

uint64_t
ca_gateway_endpoint_instance (const ca_gateway_endpoint_t *endpoint)
{
  return endpoint->hash ^ endpoint->started_ms;
}

void
ca_gateway_endpoint_acquire (ca_gateway_endpoint_t *endpoint)
{
  endpoint->references++;
}

void
ca_gateway_endpoint_release (ca_registry_t *registry,
                             ca_gateway_endpoint_t *endpoint)
{
  ca_gateway_endpoint_t *other;
  ca_gateway_endpoint_t **link = &registry->retired;

  if (--endpoint->references > 0 || endpoint->state != CA_GATEWAY_ENDPOINT_GONE)
    return;
  while ((other = *link) != NULL && other != endpoint)
    link = &other->next_retired;
  if (other == NULL)
    return;
  *link = endpoint->next_retired;
  registry_free_endpoint (endpoint);
}

void
ca_gateway_endpoint_succeeded (ca_gateway_endpoint_t *endpoint,
                               uint64_t latency_us)
{
  endpoint->failures = 0;
  endpoint->ejected_until_us = 0;
  endpoint->error_share *= 1 - REGISTRY_SMOOTHING;
  if (latency_us == 0)
    return;
  if (endpoint->latency_us <= 0)
    endpoint->latency_us = (double)latency_us;
  endpoint->latency_us
      += ((double)latency_us - endpoint->latency_us) * REGISTRY_SMOOTHING;
}

void
ca_gateway_endpoint_failed (ca_gateway_endpoint_t *endpoint, uint64_t now_us,
                            bool unreachable)
{
  uint64_t eject_us = REGISTRY_EJECT_MIN_US;

  endpoint->failures++;
  endpoint->error_share += (1 - endpoint->error_share) * REGISTRY_SMOOTHING;
  if (unreachable)
    endpoint->connect_failed_us = now_us;
  if (!unreachable && endpoint->failures < REGISTRY_EJECT_FAILURES)
    return;
  for (uint32_t i = REGISTRY_EJECT_FAILURES;
       i < endpoint->failures && eject_us < REGISTRY_EJECT_MAX_US; i++)
    eject_us *= 2;
  endpoint->ejected_until_us = now_us + eject_us;
}
