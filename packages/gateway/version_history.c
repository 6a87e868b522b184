/* The versions of services' software at which streams may have begun, since
 * when an entry knows them, and how one entry learns them from another.
 *
 * The leader records its history in the lease row, and in heartbeats once that
 * is done.  No entry begins a stream at a version that is not recorded before
 * VERSION_UNRECORDED_US, unless no other version serves.  An entry that starts
 * within VERSION_GAP_US of a history's end has therefore missed no version, and
 * knows as much as the entry that recorded it. */
#include "gateway/version_history.h"

#include "gateway/private.h"

#include <inttypes.h>
#include <string.h>

/* A version is used for new streams once it has been listed for so long, if
 * another one serves: by then all entries that read the list know of it. */
#define VERSION_SETTLE_US (2 * CA_US_PER_S)

/* The same for a version that the leader has not recorded.  It exceeds the
 * gap by what clocks and messages may differ. */
#define VERSION_UNRECORDED_US (8 * CA_US_PER_S)

/* Time between the end of a history and this entry's own first list, up to
 * which the history is taken over. */
#define VERSION_GAP_US (6 * CA_US_PER_S)

/* For so long after this entry first listed a version, no entry has begun
 * streams at it yet, even if this entry's list was late. */
#define VERSION_NEW_US (500 * CA_US_PER_MS)

/* Versions that were listed within this time of each other serve side by
 * side. */
#define VERSION_BESIDE_US (1500 * CA_US_PER_MS)

json_t *
ca_version_history_to_json (const ca_version_history_t *history,
                            int64_t offset_us)
{
  json_t *services;

  if (!history->exists)
    return NULL;
  services = json_object ();
  for (size_t i = 0; i < history->count; i++)
    {
      const ca_service_version_t *row = &history->rows[i];
      json_t *versions = json_object_get (services, row->service);

      if (versions == NULL)
        {
          versions = json_array ();
          json_object_set_new (services, row->service, versions);
        }
      json_array_append_new (
          versions, json_pack ("[I, I, I]", (json_int_t)row->version,
                               (json_int_t)row->first_us + offset_us,
                               (json_int_t)row->listed_us + offset_us));
    }
  return json_pack (
      "{s:b, s:I, s:I, s:o}", "from_start", history->from_start, "since_us",
      history->from_start ? (json_int_t)0
                          : (json_int_t)history->since_us + offset_us,
      "until_us", (json_int_t)history->until_us + offset_us, "services",
      services);
}

/* Adds a version; false if there are too many. */
static bool
history_add (ca_version_history_t *history, ca_service_version_t row)
{
  if (history->count == CA_VERSION_HISTORY_MAX)
    return false;
  history->rows[history->count++] = row;
  return true;
}

/* Decodes a time of the row. */
static uint64_t
history_time (const json_t *json, int64_t offset_us)
{
  int64_t time_us = json_integer_value (json) + offset_us;

  return time_us > 0 ? (uint64_t)time_us : 0;
}

/* Converts an age in a message. */
static uint64_t
history_time_of_age (const ca_gateway_t *gateway, uint64_t age_us)
{
  return age_us < gateway->now_us ? gateway->now_us - age_us : 0;
}

void
ca_version_history_from_json (ca_version_history_t *history, const json_t *json,
                              int64_t offset_us)
{
  const json_t *since = json_object_get (json, "since_us");
  const json_t *until = json_object_get (json, "until_us");
  json_t *services = json_object_get (json, "services");
  const char *service;
  json_t *versions;

  memset (history, 0, sizeof *history);
  if (!json_is_integer (since) || !json_is_integer (until)
      || !json_is_object (services))
    return;
  history->from_start = json_is_true (json_object_get (json, "from_start"));
  history->since_us = history_time (since, offset_us);
  history->until_us = history_time (until, offset_us);
  json_object_foreach (services, service, versions)
  {
    const json_t *row;
    size_t index;

    json_array_foreach (versions, index, row)
    {
      const json_t *version = json_array_get (row, 0);

      if (!json_is_integer (version)
          || !history_add (
              history, (ca_service_version_t){
                           service, (uint32_t)json_integer_value (version),
                           history_time (json_array_get (row, 1), offset_us),
                           history_time (json_array_get (row, 2), offset_us) }))
        return;
    }
  }
  history->exists = true;
}

/* What this entry knows. */

ca_software_version_t *
ca_version_history_find (ca_gateway_t *gateway, ca_service_stats_t *stats,
                         uint32_t version)
{
  ca_software_version_t *oldest = &stats->versions[0];

  for (size_t i = 0; i < CA_SOFTWARE_VERSIONS_MAX; i++)
    {
      ca_software_version_t *known = &stats->versions[i];

      if (known->version == version)
        return known;
      if (known->listed_us < oldest->listed_us)
        oldest = known;
    }
  /* What is forgotten may have begun streams. */
  if (oldest->listed_us != 0
      && gateway->now_us - oldest->listed_us < CA_STREAM_RETENTION_US)
    {
      gateway->history_from_start = false;
      gateway->history_since_us = gateway->now_us;
    }
  *oldest = (ca_software_version_t){ .version = version };
  return oldest;
}

bool
ca_version_history_is_complete (const ca_gateway_t *gateway)
{
  return gateway->history_from_start
         || gateway->now_us - gateway->history_since_us
                >= CA_STREAM_RETENTION_US;
}

/* True if another version of the service serves beside this one. */
static bool
history_serves_beside (const ca_gateway_t *gateway,
                       const ca_service_stats_t *stats, uint32_t version)
{
  for (size_t i = 0; i < CA_SOFTWARE_VERSIONS_MAX; i++)
    {
      const ca_software_version_t *other = &stats->versions[i];

      if (other->listed_us != 0 && other->version != version
          && gateway->now_us - other->listed_us < VERSION_BESIDE_US)
        return true;
    }
  return false;
}

static bool
history_is_recorded (const ca_gateway_t *gateway, uint32_t version)
{
  for (size_t i = 0; i < gateway->recorded_count; i++)
    {
      if (gateway->recorded_versions[i] == version)
        return true;
    }
  return false;
}

uint64_t
ca_version_history_settles_us (const ca_gateway_t *gateway,
                               const ca_service_stats_t *stats,
                               const ca_software_version_t *version)
{
  if (!history_serves_beside (gateway, stats, version->version))
    return 0;
  return version->first_us
         + (history_is_recorded (gateway, version->version)
                ? VERSION_SETTLE_US
                : VERSION_UNRECORDED_US);
}

bool
ca_version_history_may_have_begun (const ca_gateway_t *gateway,
                                   const ca_software_version_t *version)
{
  bool is_new = version->first_us > gateway->first_list_us
                && gateway->now_us - version->first_us < VERSION_NEW_US;

  return version->listed_us != 0
         && gateway->now_us - version->listed_us < CA_STREAM_RETENTION_US
         && (!is_new || history_is_recorded (gateway, version->version));
}

void
ca_version_history_fill (const ca_gateway_t *gateway,
                         ca_version_history_t *history)
{
  const ca_service_stats_t *stats;

  memset (history, 0, sizeof *history);
  if (!gateway->registry_known)
    return;
  history->from_start = gateway->history_from_start;
  history->since_us = gateway->history_since_us;
  history->until_us = gateway->list_validated_us;
  for (stats = gateway->services; stats != NULL; stats = stats->hh.next)
    {
      for (size_t i = 0; i < CA_SOFTWARE_VERSIONS_MAX; i++)
        {
          const ca_software_version_t *known = &stats->versions[i];

          if (known->listed_us != 0
              && gateway->now_us - known->listed_us < CA_STREAM_RETENTION_US
              && !history_add (
                  history,
                  (ca_service_version_t){ stats->name, known->version,
                                          known->first_us, known->listed_us }))
            return;
        }
    }
  history->exists = true;
}

bool
ca_version_history_lacks (const ca_gateway_t *gateway,
                          const ca_version_history_t *history)
{
  for (size_t i = 0; i < history->count; i++)
    {
      if (!history_is_recorded (gateway, history->rows[i].version))
        return true;
    }
  return false;
}

void
ca_version_history_recorded (ca_gateway_t *gateway,
                             const ca_version_history_t *history)
{
  if (!history->exists)
    return;
  gateway->recorded_count = history->count;
  for (size_t i = 0; i < history->count; i++)
    gateway->recorded_versions[i] = history->rows[i].version;
}

/* Adds the versions of a history to those that this entry has listed. */
static void
history_merge (ca_gateway_t *gateway, const ca_version_history_t *history)
{
  for (size_t i = 0; i < history->count; i++)
    {
      const ca_service_version_t *row = &history->rows[i];
      ca_software_version_t *version = ca_version_history_find (
          gateway, ca_service_stats (gateway, row->service), row->version);

      if (version->listed_us == 0 || row->first_us < version->first_us)
        version->first_us = row->first_us;
      if (version->listed_us < row->listed_us)
        version->listed_us = row->listed_us;
    }
}

void
ca_version_history_note_gap (ca_gateway_t *gateway)
{
  if (gateway->now_us - gateway->list_validated_us <= VERSION_GAP_US)
    return;
  /* What the leader has recorded meanwhile was in its heartbeats. */
  if (!gateway->leads
      && gateway->now_us - gateway->leader_heard_us < VERSION_GAP_US)
    return;
  gateway->history_from_start = false;
  gateway->history_since_us = gateway->now_us;
  gateway->first_list_us = gateway->now_us;
}

void
ca_version_history_take (ca_gateway_t *gateway,
                         const ca_version_history_t *history)
{
  if (!history->exists || gateway->history_from_start
      || (!history->from_start
          && history->since_us >= gateway->history_since_us)
      || !gateway->registry_known
      || history->until_us + VERSION_GAP_US < gateway->first_list_us)
    return;
  history_merge (gateway, history);
  gateway->history_from_start = history->from_start;
  gateway->history_since_us = history->since_us;
  ca_gateway_log (gateway, CA_EVENT_VERSIONS_KNOWN, NULL, NULL,
                  "%zu versions, %s, recorded %" PRIu64 " ms ago",
                  history->count,
                  history->from_start ? "all since the first start"
                                      : "all since the record begins",
                  (gateway->now_us - history->until_us) / CA_US_PER_MS);
}

/* In heartbeats. */

void
ca_version_history_to_message (const ca_gateway_t *gateway,
                               const ca_version_history_t *history,
                               ca_version_history_message_t *buffer)
{
  Camphor__VersionHistory *message = &buffer->message;

  camphor__version_history__init (message);
  for (size_t i = 0; i < history->count; i++)
    {
      buffer->services[i] = (char *)history->rows[i].service;
      buffer->versions[i] = history->rows[i].version;
      buffer->first_ages_us[i] = gateway->now_us - history->rows[i].first_us;
      buffer->listed_ages_us[i] = gateway->now_us - history->rows[i].listed_us;
    }
  message->from_start = history->from_start;
  message->since_age_us = gateway->now_us - history->since_us;
  message->until_age_us = gateway->now_us - history->until_us;
  message->services = buffer->services;
  message->versions = buffer->versions;
  message->first_ages_us = buffer->first_ages_us;
  message->listed_ages_us = buffer->listed_ages_us;
  message->n_services = message->n_versions = history->count;
  message->n_first_ages_us = message->n_listed_ages_us = history->count;
}

void
ca_version_history_receive (ca_gateway_t *gateway,
                            const Camphor__VersionHistory *message)
{
  ca_version_history_t history
      = { .exists = true, .from_start = message->from_start };

  if (message->n_services != message->n_versions
      || message->n_services != message->n_first_ages_us
      || message->n_services != message->n_listed_ages_us)
    return;
  for (size_t i = 0; i < message->n_services; i++)
    {
      if (!history_add (
              &history,
              (ca_service_version_t){
                  message->services[i], message->versions[i],
                  history_time_of_age (gateway, message->first_ages_us[i]),
                  history_time_of_age (gateway, message->listed_ages_us[i]) }))
        return;
    }
  history.since_us = history_time_of_age (gateway, message->since_age_us);
  history.until_us = history_time_of_age (gateway, message->until_age_us);
  ca_version_history_recorded (gateway, &history);
  ca_version_history_take (gateway, &history);
  history_merge (gateway, &history);
}
