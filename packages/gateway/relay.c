/* Tables of the store that one entry of a group reads for the others.
 *
 * Calls to the store cost money and share one rate limit.  A group is a zone,
 * or all zones with few entries together: the entry that started first reads
 * the tables.  It sends the others each change, and at short intervals the age
 * of its copy.
 *
 * If it is silent, or its copy old, its deputies ask the store, one after the
 * other, and send the others what they learn: a large configuration would fill
 * the links of a zone if all received it from the store.  The others ask when
 * their copies' age exceeds a limit, so the bound holds also if nobody reads
 * for them. */
#include "gateway/private.h"
#include "gateway/watch.h"

#include <inttypes.h>

/* A zone with fewer live entries is small: together with other small zones it
 * has one reader. */
#define RELAY_ZONE_MIN_ENTRIES 5

/* A larger configuration is not sent in an update: peers request the version
 * that the update names (config_transfer.c). */
#define RELAY_MAX_ROW_BYTES (16 * 1024)

/* The bound within which changes of the table must be known. */
static uint32_t
relay_bound_ms (const ca_gateway_t *gateway, const ca_watch_t *watch)
{
  const ca_bounds_t *bounds = &gateway->options.bounds;

  return watch->holds_config || bounds->drain_ms == 0 ? bounds->propagation_ms
                                                      : bounds->drain_ms;
}

/* Sends an update to every live peer of the group. */
static void
relay_send (ca_gateway_t *gateway, Camphor__TableWord *update)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  ca_peer_t *peer;

  envelope.body_case = CAMPHOR__ENVELOPE__BODY_TABLE_WORD;
  envelope.table_word = update;
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (ca_peers_in_reading_group (gateway, peer))
        ca_peers_send (gateway, &peer->address, &envelope);
    }
}

/* Fills in the version and age of this entry's copy. */
static void
relay_fill (const ca_gateway_t *gateway, const ca_watch_t *watch,
            Camphor__TableWord *update)
{
  update->table = watch->number;
  update->era = gateway->store_era;
  update->until = watch->after;
  update->stamp_us = gateway->now_us;
  update->age_us = gateway->now_us - watch->validated_us;
  if (watch->holds_config && gateway->catalog != NULL)
    update->config_version = gateway->catalog->version;
}

static const char *const relay_roles[]
    = { [CA_WATCH_INDEPENDENT] = "this entry, for itself only",
        [CA_WATCH_READER] = "this entry, for its zone",
        [CA_WATCH_FOLLOWER] = "the longest-lived entry" };

/* Logs a change of role, and when a reader's updates become too old. */
static void
relay_log_changes (ca_gateway_t *gateway, ca_watch_t *watch,
                   ca_watch_role_t role, uint32_t group)
{
  uint64_t age_us = gateway->now_us - watch->validated_us;
  bool is_stale = role == CA_WATCH_FOLLOWER && watch->listed
                  && age_us >= watch->times.max_age_ms * CA_US_PER_MS;

  if (watch->role != role)
    ca_gateway_log (gateway, CA_EVENT_STORE_READER, NULL, watch->table,
                    "read by %s; %u live entries %s can read the store",
                    relay_roles[role], group,
                    gateway->zone_is_small ? "of small zones" : "of the zone");
  if (is_stale && !watch->update_is_stale)
    ca_gateway_log (gateway, CA_EVENT_STORE_WORD_OLD, NULL, watch->table,
                    "validated %" PRIu64 " ms ago, limit %u ms",
                    age_us / CA_US_PER_MS, (unsigned)watch->times.max_age_ms);
  watch->role = role;
  watch->update_is_stale = is_stale;
}

/* True if a newer configuration arrives at this entry, or is built, for others
 * to wait for.  What has stopped to arrive does not count. */
static bool
relay_is_arriving (ca_watch_t *watch)
{
  size_t noticed = watch->noticed_bytes;

  watch->noticed_bytes = watch->arriving_bytes;
  if (!watch->holds_config || watch->role == CA_WATCH_INDEPENDENT
      || watch->rank > CA_WATCH_DEPUTIES)
    return false;
  return watch->is_applying
         || (watch->arriving_bytes > RELAY_MAX_ROW_BYTES
             && watch->arriving_bytes != noticed);
}

/* Sends the group notice that a newer configuration arrives here, and which one
 * is in force meanwhile: versions may follow each other without a pause. */
static void
relay_send_notice (ca_gateway_t *gateway, ca_watch_t *watch)
{
  Camphor__TableWord notice = CAMPHOR__TABLE_WORD__INIT;

  watch->next_update_us
      = gateway->now_us + watch->times.update_ms * CA_US_PER_MS;
  notice.table = watch->number;
  notice.era = gateway->store_era;
  notice.stamp_us = gateway->now_us;
  notice.arriving = true;
  /* While one is built, the watch is ahead of what is in force. */
  if (!watch->is_applying)
    {
      relay_fill (gateway, watch, &notice);
      notice.after = watch->last_change_version;
    }
  relay_send (gateway, &notice);
}

/* Sends the group the version and age of this entry's copy. */
static void
relay_send_age (ca_gateway_t *gateway, ca_watch_t *watch)
{
  Camphor__TableWord update = CAMPHOR__TABLE_WORD__INIT;

  watch->next_update_us
      = gateway->now_us + watch->times.update_ms * CA_US_PER_MS;
  relay_fill (gateway, watch, &update);
  update.after = watch->last_change_version;
  relay_send (gateway, &update);
}

void
ca_relay_tick (ca_gateway_t *gateway, uint64_t now_us, ca_watch_t *watch)
{
  ca_watch_role_t role;
  uint32_t group;
  uint32_t senior;

  gateway->now_us = now_us;
  ca_peers_count_reading_group (gateway, RELAY_ZONE_MIN_ENTRIES, &group,
                                &senior);
  ca_watch_times_init (&watch->times, relay_bound_ms (gateway, watch));
  if (group < 2 || gateway->stopping || gateway->store_down)
    role = CA_WATCH_INDEPENDENT;
  else
    role = senior > 0 ? CA_WATCH_FOLLOWER : CA_WATCH_READER;
  watch->may_refresh = gateway->zone_is_small;
  watch->rank = senior;
  relay_log_changes (gateway, watch, role, group);
  if (!watch->listed || now_us < watch->next_update_us)
    return;
  if (relay_is_arriving (watch))
    relay_send_notice (gateway, watch);
  else if (ca_watch_reads_for_group (watch) && !watch->is_applying)
    relay_send_age (gateway, watch);
}

static size_t
relay_row_bytes (Camphor__TableRow **rows, size_t count)
{
  size_t bytes = 0;

  for (size_t i = 0; i < count; i++)
    bytes += rows[i]->value.len;
  return bytes;
}

void
ca_relay_rows (ca_gateway_t *gateway, uint64_t now_us, ca_watch_t *watch,
               uint64_t after, Camphor__TableRow **rows, size_t count)
{
  Camphor__TableWord update = CAMPHOR__TABLE_WORD__INIT;

  gateway->now_us = now_us;
  if (!ca_watch_reads_for_group (watch) || count == 0)
    return;
  if (watch->holds_config
      && relay_row_bytes (rows, count) > RELAY_MAX_ROW_BYTES)
    {
      watch->next_update_us = now_us;
      return;
    }
  relay_fill (gateway, watch, &update);
  update.after = after;
  update.rows = rows;
  update.n_rows = count;
  relay_send (gateway, &update);
}

void
ca_relay_row (ca_gateway_t *gateway, uint64_t now_us, const ca_watch_t *watch,
              uint32_t table, Camphor__TableRow *row, uint64_t version)
{
  Camphor__TableWord update = CAMPHOR__TABLE_WORD__INIT;

  gateway->now_us = now_us;
  if (!ca_watch_reads_for_group (watch))
    return;
  update.table = table;
  update.era = gateway->store_era;
  update.until = version;
  update.stamp_us = now_us;
  update.rows = &row;
  update.n_rows = 1;
  relay_send (gateway, &update);
}

void
ca_relay_receive (ca_gateway_t *gateway, const Camphor__Envelope *envelope)
{
  const Camphor__TableWord *update = envelope->table_word;
  ca_peer_t *peer = ca_peers_find (gateway, envelope->from);
  int64_t validated_us;

  if (peer == NULL || peer->incarnation != envelope->incarnation)
    return;
  ca_peers_update_clock_offset (gateway, peer, update->stamp_us);
  ca_state_sync_peer_era (gateway, update->era);
  if (update->era != gateway->store_era)
    return;
  ca_state_sync_name_version (gateway, update->config_version);
  validated_us = (int64_t)update->stamp_us - (int64_t)update->age_us
                 + peer->clock_offset_us;
  if (validated_us > 0)
    gateway->ports.apply_table_update (gateway->ports.context, update,
                                       (uint64_t)validated_us);
  ca_config_transfer_start (gateway, peer, update->config_version);
}
