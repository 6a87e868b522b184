/* Status report of an entry: its zones, members and endpoints. */
#include "core/private.h"

#include <string.h>

/* Reports the state of one zone.  A revision is not yet in force in a zone with
 * a suspect member, which may be alive and serving an older one. */
static json_t *
status_zone (const ca_core_t *core, const char *zone)
{
  uint64_t lowest = UINT64_MAX;
  int live = 0;
  int unreachable = 0;
  bool has_suspect = false;
  ca_member_t *member;
  ca_member_t *next;

  HASH_ITER (hh, core->members, member, next)
  {
    uint64_t revision = member->id == core->id ? core->config.revision
                                               : member->config_revision;

    if (strcmp (member->zone, zone) != 0)
      continue;
    if (member->state == CA_MEMBER_DEAD || member->state == CA_MEMBER_SUSPECT)
      {
        unreachable++;
        has_suspect |= member->state == CA_MEMBER_SUSPECT;
        continue;
      }
    live++;
    if (revision < lowest)
      lowest = revision;
  }
  if (live == 0)
    return json_pack ("{s:s, s:i, s:i, s:b}", "zone", zone, "entries", 0,
                      "unreachable", unreachable, "in_force", 0);
  return json_pack ("{s:s, s:i, s:i, s:I, s:b}", "zone", zone, "entries", live,
                    "unreachable", unreachable, "revision", (json_int_t)lowest,
                    "in_force",
                    !has_suspect && lowest >= core->config.revision);
}

static void
status_add_zone (const ca_core_t *core, json_t *zones, const char *zone)
{
  size_t index;
  json_t *row;

  json_array_foreach (zones, index, row)
  {
    if (strcmp (json_string_value (json_object_get (row, "zone")), zone) == 0)
      return;
  }
  json_array_append_new (zones, status_zone (core, zone));
}

json_t *
ca_core_status (const ca_core_t *core)
{
  json_t *zones = json_array ();
  json_t *members = json_array ();
  json_t *endpoints = json_array ();
  static const char *const member_states[]
      = { "alive", "suspect", "leaving", "dead" };
  static const char *const endpoint_states[] = { "up", "leaving", "gone" };
  ca_member_t *member;
  ca_member_t *next_member;
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next_endpoint;

  for (size_t i = 0; i < core->config.pool_count; i++)
    {
      const ca_pool_t *pool = &core->config.pools[i];

      for (uint32_t z = 0; z < pool->zone_count; z++)
        status_add_zone (core, zones, pool->zones[z].zone);
    }
  HASH_ITER (hh, core->members, member, next_member)
  {
    status_add_zone (core, zones, member->zone);
    json_array_append_new (
        members,
        json_pack ("{s:s, s:s, s:s, s:I}", "name", member->name, "zone",
                   member->zone, "state", member_states[member->state],
                   "caller_port", (json_int_t)member->caller_port));
  }
  HASH_ITER (hh, core->endpoints, endpoint, next_endpoint)
  {
    char address[CA_ADDRESS_BYTES];

    ca_address_print (&endpoint->address, address);
    json_array_append_new (
        endpoints,
        json_pack ("{s:s, s:s, s:s, s:s, s:i, s:f}", "address", address, "zone",
                   endpoint->zone, "pool", endpoint->pool, "state",
                   endpoint_states[endpoint->state], "in_flight",
                   (int)endpoint->in_flight, "limit", endpoint->limit));
  }
  return json_pack ("{s:s, s:s, s:I, s:i, s:b, s:b, s:o, s:o, s:o}", "entry",
                    core->options.name, "zone", core->options.zone, "revision",
                    (json_int_t)core->config.revision, "active",
                    (int)core->active, "stopping", core->stopping, "store_down",
                    core->store.down, "zones", zones, "members", members,
                    "endpoints", endpoints);
}
