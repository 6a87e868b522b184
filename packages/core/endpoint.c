/* The endpoint table, kept from the VM list, reclaim notices, peer updates and
 * probes.
 *
 * A boot of an endpoint is identified by address and boot number.  Leaving is
 * final for a boot; the address returns to service only with a higher number.
 */
#include "core/private.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* The owner of a shard probes its endpoints in this period, or in a longer one
 * to stay within PROBES_PER_S.  The next in rank probes PROBE_STANDBY_FACTOR
 * times less often. */
#define PROBE_PERIOD_US (500 * CA_US_PER_MS)
#define PROBES_PER_S 12
#define PROBE_PERIOD_MAX_US (CA_LEAVING_NOTICED_MAX_US / 3)
#define PROBE_STANDBY_FACTOR 5
#define PROBE_RANKS 2

/* Interval at which an entry checks whether it must probe an endpoint. */
#define RANK_PERIOD_US (1 * CA_US_PER_S)
#define EJECT_FAILURES 3
#define EJECT_MIN_US (1 * CA_US_PER_S)
#define EJECT_MAX_US (30 * CA_US_PER_S)

/* An endpoint is marked as gone when a successful read of the VM list shows
 * that it has not been listed for this long. */
#define UNLISTED_TIMEOUT_US (10 * CA_US_PER_S)
#define GONE_RETENTION_US (60 * CA_US_PER_S)
#define INITIAL_LIMIT 4.0
#define EJECTED_LIMIT 1.0

ca_endpoint_t *
ca_endpoint_find (const ca_core_t *core, uint64_t id)
{
  ca_endpoint_t *endpoint = NULL;

  HASH_FIND (hh, core->endpoints, &id, sizeof id, endpoint);
  return endpoint;
}

bool
ca_endpoint_is_leaving (const ca_core_t *core, uint64_t id, uint64_t boot)
{
  const ca_endpoint_t *endpoint = ca_endpoint_find (core, id);

  if (endpoint == NULL || endpoint->boot < boot)
    return false;
  return endpoint->boot > boot || endpoint->state != CA_ENDPOINT_UP;
}

uint32_t
ca_endpoint_shard (const ca_core_t *core, const ca_endpoint_t *endpoint)
{
  const ca_pool_t *pool = ca_config_find_pool (&core->config, endpoint->pool);

  if (pool == NULL || pool->shards <= 1)
    return 0;
  return (uint32_t)(XXH64 (&endpoint->id, sizeof endpoint->id, 0)
                    % pool->shards);
}

bool
ca_endpoint_in_shard (const ca_core_t *core, const ca_endpoint_t *endpoint,
                      const char *pool, uint32_t shard)
{
  return strcmp (endpoint->zone, core->options.zone) == 0
         && strcmp (endpoint->pool, pool) == 0
         && ca_endpoint_shard (core, endpoint) == shard;
}

bool
ca_endpoint_usable (const ca_core_t *core, const ca_endpoint_t *endpoint)
{
  return endpoint->state == CA_ENDPOINT_UP && endpoint->healthy
         && core->now_us >= endpoint->ejected_until_us;
}

/* Resets the state of an endpoint for a new boot. */
static void
endpoint_begin_boot (ca_core_t *core, ca_endpoint_t *endpoint, uint64_t boot)
{
  endpoint->boot = boot;
  endpoint->state = CA_ENDPOINT_UP;
  endpoint->state_since_us = core->now_us;
  endpoint->leaving_at_us = 0;
  endpoint->healthy = false;
  endpoint->failures = 0;
  endpoint->next_probe_us = 0;
  endpoint->next_rank_us = 0;
  endpoint->ejected_until_us = 0;
  endpoint->eject_backoff_us = EJECT_MIN_US;
  endpoint->cache_seq = 0;
  endpoint->limit = INITIAL_LIMIT;
  endpoint->in_flight = 0;
  endpoint->exclusive_request = 0;
  endpoint->sends_left = 0;
  endpoint->retired = false;
  ca_prefix_index_clear (&endpoint->prefixes);
}

static ca_endpoint_t *
endpoint_add (ca_core_t *core, const ca_vm_t *vm)
{
  ca_endpoint_t *endpoint = calloc (1, sizeof *endpoint);

  endpoint->id = ca_address_id (&vm->address);
  endpoint->address = vm->address;
  endpoint->service = vm->kind == CA_VM_SERVICE;
  endpoint->max_batch = 1;
  strlcpy (endpoint->zone, vm->zone, sizeof endpoint->zone);
  strlcpy (endpoint->pool, vm->pool, sizeof endpoint->pool);
  ca_prefix_index_init (&endpoint->prefixes);
  HASH_ADD (hh, core->endpoints, id, sizeof endpoint->id, endpoint);
  endpoint_begin_boot (core, endpoint, vm->boot);
  ca_trace (core, CA_EVENT_ENDPOINT_ADDED, NULL, endpoint->id,
            "%s zone %s boot %llu", endpoint->pool, endpoint->zone,
            (unsigned long long)endpoint->boot);
  return endpoint;
}

/* Marks the current boot as leaving or gone and gossips the change. */
static void
endpoint_set_state (ca_core_t *core, ca_endpoint_t *endpoint,
                    ca_endpoint_state_t state, uint64_t notice_us)
{
  if (notice_us != 0 && endpoint->leaving_at_us == 0)
    endpoint->leaving_at_us = core->now_us + notice_us;
  if (state <= endpoint->state)
    return;
  endpoint->state = state;
  endpoint->state_since_us = core->now_us;
  endpoint->sends_left = ca_gossip_transmit_count (core);
  ca_trace (core,
            state == CA_ENDPOINT_LEAVING ? CA_EVENT_ENDPOINT_LEAVING
                                         : CA_EVENT_ENDPOINT_GONE,
            NULL, endpoint->id, "%s zone %s boot %llu", endpoint->pool,
            endpoint->zone, (unsigned long long)endpoint->boot);
  ca_gossip_push (core);
}

void
ca_endpoint_retire (ca_core_t *core, ca_endpoint_t *endpoint,
                    uint64_t notice_us)
{
  endpoint_set_state (core, endpoint, CA_ENDPOINT_LEAVING, notice_us);
}

/* Resets the endpoint if `boot` is new.  Returns false if the report is about
 * an earlier boot. */
static bool
endpoint_observe_boot (ca_core_t *core, ca_endpoint_t *endpoint, uint64_t boot)
{
  if (boot < endpoint->boot)
    return false;
  if (boot > endpoint->boot)
    endpoint_begin_boot (core, endpoint, boot);
  return true;
}

static void
endpoint_apply_vm (ca_core_t *core, const ca_vm_t *vm, bool add)
{
  ca_endpoint_t *endpoint
      = ca_endpoint_find (core, ca_address_id (&vm->address));

  if (endpoint == NULL && !add)
    return;
  if (endpoint == NULL)
    {
      endpoint = endpoint_add (core, vm);
      endpoint->reclaimable = vm->reclaimable;
      ca_fleet_vm_listed (core, endpoint);
    }
  else if (vm->boot > endpoint->boot)
    ca_fleet_vm_listed (core, endpoint);
  if (!endpoint_observe_boot (core, endpoint, vm->boot))
    return;
  endpoint->listed_us = core->now_us;
  endpoint->reclaimable = vm->reclaimable;
  if (vm->leaving)
    endpoint_set_state (core, endpoint, CA_ENDPOINT_LEAVING, vm->notice_us);
}

void
ca_core_vm_list (ca_core_t *core, uint64_t now_us, const ca_vm_t *vms,
                 size_t count)
{
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  ca_core_begin_event (core, now_us);
  for (size_t i = 0; i < count; i++)
    {
      if (vms[i].kind == CA_VM_ENTRY)
        ca_core_add_seed (core, &vms[i].address);
      else
        endpoint_apply_vm (core, &vms[i], true);
    }
  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    if (endpoint->state != CA_ENDPOINT_GONE
        && now_us - endpoint->listed_us >= UNLISTED_TIMEOUT_US)
      endpoint_set_state (core, endpoint, CA_ENDPOINT_GONE, 0);
  }
  ca_core_end_event (core);
}

void
ca_core_reclaim_notice (ca_core_t *core, uint64_t now_us, const ca_vm_t *vm)
{
  ca_core_begin_event (core, now_us);
  endpoint_apply_vm (core, vm, false);
  ca_core_end_event (core);
}

void
ca_endpoint_update (ca_core_t *core, const Camphor__EndpointUpdate *update)
{
  ca_endpoint_t *endpoint = ca_endpoint_find (core, update->id);

  if (endpoint == NULL || update->state > CA_ENDPOINT_GONE)
    return;
  if (!endpoint_observe_boot (core, endpoint, update->boot))
    return;
  endpoint_set_state (core, endpoint, (ca_endpoint_state_t)update->state,
                      update->notice_us);
}

/* Takes a failing endpoint out of service, for twice as long each time. */
static void
endpoint_eject (ca_core_t *core, ca_endpoint_t *endpoint)
{
  endpoint->ejected_until_us
      = core->now_us + endpoint->eject_backoff_us
        + ca_random_below (core, endpoint->eject_backoff_us / 4 + 1);
  endpoint->eject_backoff_us *= 2;
  if (endpoint->eject_backoff_us > EJECT_MAX_US)
    endpoint->eject_backoff_us = EJECT_MAX_US;
  endpoint->failures = 1;
  endpoint->limit = EJECTED_LIMIT;
  ca_trace (core, CA_EVENT_ENDPOINT_EJECTED, NULL, endpoint->id, "%s",
            endpoint->pool);
}

void
ca_endpoint_failed (ca_core_t *core, ca_endpoint_t *endpoint)
{
  endpoint->failures++;
  if (endpoint->failures >= EJECT_FAILURES)
    endpoint_eject (core, endpoint);
}

/* Brings the prefix index up to date with the endpoint's cache. */
static void
endpoint_apply_cache_events (ca_endpoint_t *endpoint, const ca_health_t *health)
{
  ca_prefix_index_resize (&endpoint->prefixes, health->cache_blocks);
  if (health->cache_events_lost)
    ca_prefix_index_clear (&endpoint->prefixes);
  for (size_t i = 0; i < health->evicted_count; i++)
    ca_prefix_index_remove (&endpoint->prefixes, health->evicted[i]);
  endpoint->cache_seq = health->cache_seq;
}

static void
endpoint_apply_health (ca_core_t *core, ca_endpoint_t *endpoint,
                       const ca_health_t *health)
{
  bool was_healthy = endpoint->healthy;

  if (!endpoint_observe_boot (core, endpoint, health->boot))
    return;
  endpoint->healthy = true;
  endpoint->failures = 0;
  endpoint->max_batch = health->max_batch;
  if (endpoint->limit > health->max_batch)
    endpoint->limit = health->max_batch;
  endpoint_apply_cache_events (endpoint, health);
  if (health->leaving)
    endpoint_set_state (core, endpoint, CA_ENDPOINT_LEAVING, health->notice_us);
  if (!was_healthy && endpoint->state == CA_ENDPOINT_UP)
    ca_trace (core, CA_EVENT_ENDPOINT_RETURNED, NULL, endpoint->id, "%s",
              endpoint->pool);
  ca_sched_serve_endpoint (core, endpoint);
}

static void
endpoint_probe_failed (ca_core_t *core, ca_endpoint_t *endpoint)
{
  endpoint->failures++;
  if (!endpoint->healthy || endpoint->failures < EJECT_FAILURES)
    return;
  endpoint->healthy = false;
  endpoint_eject (core, endpoint);
}

void
ca_core_endpoint_health (ca_core_t *core, uint64_t now_us, uint64_t id,
                         const ca_health_t *health)
{
  ca_endpoint_t *endpoint = ca_endpoint_find (core, id);

  ca_core_begin_event (core, now_us);
  if (endpoint != NULL)
    {
      endpoint->probing = false;
      if (health != NULL)
        endpoint_apply_health (core, endpoint, health);
      else
        endpoint_probe_failed (core, endpoint);
    }
  ca_core_end_event (core);
}

/* Returns this entry's rank for the endpoint: 0 for the shard's owner, 1 for
 * the next member, which is asked if the owner does not answer, and PROBE_RANKS
 * for any other. */
static uint32_t
endpoint_rank (const ca_core_t *core, const ca_endpoint_t *endpoint)
{
  uint32_t shard = ca_endpoint_shard (core, endpoint);

  for (uint32_t probe_rank = 0; probe_rank < PROBE_RANKS; probe_rank++)
    {
      const ca_member_t *owner = ca_member_owner (
          core, endpoint->zone, endpoint->pool, shard, probe_rank);

      if (owner != NULL && owner->id == core->id)
        return probe_rank;
    }
  return PROBE_RANKS;
}

/* Updates this entry's rank for the endpoint.  The hash rank is computed again
 * only if the group or the configuration changed.  An entry without a rank that
 * has slot requests queued for the shard probes as the owner does. */
static void
endpoint_update_rank (ca_core_t *core, ca_endpoint_t *endpoint)
{
  endpoint->next_rank_us = core->now_us + RANK_PERIOD_US;
  if (strcmp (endpoint->zone, core->options.zone) != 0)
    {
      endpoint->probe_rank = PROBE_RANKS;
      return;
    }
  if (endpoint->rank_epoch != core->epoch)
    endpoint->hash_rank = endpoint_rank (core, endpoint);
  endpoint->rank_epoch = core->epoch;
  endpoint->probe_rank = endpoint->hash_rank;
  if (endpoint->probe_rank == PROBE_RANKS
      && ca_sched_has_queued (core, endpoint->pool,
                              ca_endpoint_shard (core, endpoint)))
    endpoint->probe_rank = 0;
}

static void
endpoint_probe (ca_core_t *core, ca_endpoint_t *endpoint, uint64_t period_us)
{
  endpoint->probing = true;
  endpoint->next_probe_us
      = core->now_us
        + (endpoint->probe_rank == 0 ? period_us
                                     : period_us * PROBE_STANDBY_FACTOR);
  ca_counters_add (&core->counters, CA_COUNT_PROBES, 1);
  core->ports.probe (core->ports.context, endpoint->id, &endpoint->address,
                     endpoint->service, endpoint->cache_seq);
}

static void
endpoint_free (ca_core_t *core, ca_endpoint_t *endpoint)
{
  HASH_DEL (core->endpoints, endpoint);
  ca_prefix_index_finish (&endpoint->prefixes);
  free (endpoint);
}

void
ca_endpoint_tick (ca_core_t *core)
{
  uint64_t period_us = core->primary_endpoints * CA_US_PER_S / PROBES_PER_S;
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  if (period_us < PROBE_PERIOD_US)
    period_us = PROBE_PERIOD_US;
  if (period_us > PROBE_PERIOD_MAX_US)
    period_us = PROBE_PERIOD_MAX_US;
  core->primary_endpoints = 0;
  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    if (endpoint->state == CA_ENDPOINT_GONE)
      {
        if (core->now_us - endpoint->state_since_us >= GONE_RETENTION_US)
          endpoint_free (core, endpoint);
        continue;
      }
    if (core->now_us >= endpoint->next_rank_us)
      endpoint_update_rank (core, endpoint);
    core->primary_endpoints += endpoint->probe_rank == 0;
    if (endpoint->probe_rank < PROBE_RANKS && !endpoint->probing
        && core->now_us >= endpoint->next_probe_us)
      endpoint_probe (core, endpoint, period_us);
  }
}

void
ca_endpoint_finish (ca_core_t *core)
{
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  HASH_ITER (hh, core->endpoints, endpoint, next)
  endpoint_free (core, endpoint);
}
