/* The lease under which one entry leads: reports usage and orders endpoints. */
#include "gateway/leader_private.h"
#include "gateway/rollout_order.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* The lease lasts this much longer than the bound after which a former holder
 * must no longer act. */
#define LEASE_EXTRA_US (500 * CA_US_PER_MS)

/* A holder stops this long before its lease ends, since the store's clock is
 * estimated only to within the delay of a call. */
#define LEASE_MARGIN_US (700 * CA_US_PER_MS)
#define LEASE_RENEW_US (1500 * CA_US_PER_MS)

/* An entry that has received nothing from a leader for this long, and longer
 * for each entry senior to it, reads the lease row. */
#define LEASE_VACANT_US (1200 * CA_US_PER_MS)
#define LEASE_SENIORITY_US (400 * CA_US_PER_MS)
#define LEASE_RETRY_US (500 * CA_US_PER_MS)

/* Time between writes of the row for versions of endpoints that it lacks. */
#define LEASE_VERSIONS_US (300 * CA_US_PER_MS)

/* A new entry does not take over an existing lease within this time after its
 * start, which exceeds the heartbeat period with 90 entries.  Until then it may
 * have received neither the holder's heartbeat nor the others' counts. */
#define LEASE_STARTUP_DELAY_US CA_US_PER_S

/* Each era of the store has fencing tokens of its own, so that one that the
 * store has forgotten is not given out again. */
#define LEASE_TOKENS_PER_ERA UINT64_C (1000000)

/* A lease row that names times further ahead than this is not one. */
#define LEASE_AHEAD_S 3600

/* Windows before the current one whose counts are stored with the lease, in
 * case all entries restart. */
#define USAGE_RECORDED_WINDOWS 3

void
ca_leader_init (ca_leader_t *leader, ca_gateway_t *gateway,
                const ca_leader_ports_t *ports, bool reports, bool scales)
{
  memset (leader, 0, sizeof *leader);
  leader->gateway = gateway;
  leader->started_us = gateway->now_us;
  leader->ports = *ports;
  leader->reports = reports;
  leader->scales = scales;
  TAILQ_INIT (&leader->counts);
  TAILQ_INIT (&leader->min_counts);
  TAILQ_INIT (&leader->orders);
  ca_rollout_orders_init (leader);
}

void
ca_leader_finish (ca_leader_t *leader)
{
  ca_usage_rows_finish (&leader->counts);
  ca_usage_rows_finish (&leader->min_counts);
  ca_rollout_orders_finish (leader);
  while (!TAILQ_EMPTY (&leader->orders))
    {
      ca_order_row_t *row = TAILQ_FIRST (&leader->orders);

      TAILQ_REMOVE (&leader->orders, row, entries);
      free (row->service);
      free (row->zone);
      free (row);
    }
}

/* Returns how long a lease lasts after it was written. */
static uint64_t
lease_duration_us (const ca_leader_t *leader)
{
  return leader->gateway->options.bounds.lease_ms * CA_US_PER_MS
         + LEASE_EXTRA_US;
}

/* Stops acting as the leader. */
static void
lease_drop (ca_leader_t *leader, const char *why)
{
  if (leader->held)
    ca_gateway_log (leader->gateway, CA_EVENT_FLEET_LEADER, NULL, NULL,
                    "lease %" PRIu64 " no longer held: %s", leader->fence, why);
  leader->held = false;
  leader->gateway->leads = false;
  leader->recorded = false;
}

bool
ca_lease_is_valid (const ca_leader_t *leader)
{
  return leader->held && !leader->given_up
         && leader->gateway->now_us < leader->valid_until_us;
}

/* Upper bound of the store's clock, estimated from its answers. */
static uint64_t
lease_store_us (const ca_leader_t *leader)
{
  const ca_freshness_t *freshness = &leader->gateway->config_freshness;

  return (uint64_t)((int64_t)leader->gateway->now_us + freshness->offset_us);
}

/* The store's clock minus the local one. */
static int64_t
lease_clock_offset_us (const ca_leader_t *leader)
{
  return leader->gateway->config_freshness.offset_us;
}

/* Counts of the window that is being reported. */
static json_t *
lease_counts_json (const ca_leader_t *leader)
{
  json_t *counts = json_object ();
  const ca_usage_row_t *row;

  TAILQ_FOREACH (row, &leader->counts, entries)
  json_object_set_new (counts, row->workspace, json_integer (row->count));
  return counts;
}

/* Counts of all entries that were not reported yet, by window. */
static json_t *
lease_recent_json (const ca_leader_t *leader)
{
  uint64_t last = ca_usage_window (leader->gateway, leader->gateway->now_us);
  json_t *recent = json_object ();

  for (uint64_t window
       = last > USAGE_RECORDED_WINDOWS ? last - USAGE_RECORDED_WINDOWS : 0;
       window <= last; window++)
    {
      struct ca_usage_rows total;
      const ca_usage_row_t *row;
      json_t *counts = json_object ();
      char name[32];

      if (window <= leader->reported)
        {
          json_decref (counts);
          continue;
        }
      TAILQ_INIT (&total);
      ca_leader_usage_total (leader, window, &total);
      TAILQ_FOREACH (row, &total, entries)
      json_object_set_new (counts, row->workspace, json_integer (row->count));
      ca_usage_rows_finish (&total);
      snprintf (name, sizeof name, "%" PRIu64, window);
      json_object_set_new (recent, name, counts);
    }
  return recent;
}

/* Returns a fencing token that no holder has used. */
static uint64_t
lease_next_token (const ca_leader_t *leader)
{
  const ca_gateway_t *gateway = leader->gateway;
  uint64_t before_era = gateway->store_era * LEASE_TOKENS_PER_ERA;

  return (gateway->lease_fence > before_era ? gateway->lease_fence : before_era)
         + 1;
}

/* Renews or takes the lease.  The row also stores the counts to report. */
static void
lease_write (ca_leader_t *leader, uint64_t fence)
{
  json_t *row = json_pack (
      "{s:s, s:I, s:I, s:I, s:b, s:I, s:I, s:I, s:o, s:I, s:o}", "holder",
      leader->gateway->options.name, "life",
      (json_int_t)leader->gateway->incarnation, "era",
      (json_int_t)leader->gateway->store_era, "fence", (json_int_t)fence,
      "given_up", leader->gateway->stopping, "at_us",
      (json_int_t)lease_store_us (leader), "reported",
      (json_int_t)leader->reported, "window", (json_int_t)leader->window,
      "counts", lease_counts_json (leader), "wall_us",
      (json_int_t)ca_gateway_wall_us (leader->gateway, leader->gateway->now_us),
      "recent", lease_recent_json (leader));
  json_t *history;
  char *text;

  ca_version_history_fill (leader->gateway, &leader->attempt_history);
  history = ca_version_history_to_json (&leader->attempt_history,
                                        lease_clock_offset_us (leader));
  if (history != NULL)
    json_object_set_new (row, "versions", history);
  text = json_dumps (row, JSON_COMPACT);
  leader->busy = true;
  leader->given_up = leader->gateway->stopping;
  leader->sent_us = leader->gateway->now_us;
  leader->attempt_fence = fence;
  leader->attempt_us = leader->gateway->now_us;
  leader->attempt_window = leader->window;
  leader->next_call_us = leader->gateway->now_us + LEASE_RENEW_US;
  leader->ports.write_lease (leader->ports.context, leader->version, text);
  free (text);
  json_decref (row);
}

/* Records a fencing token that was given out. */
static void
lease_note_fence (ca_leader_t *leader, uint64_t fence)
{
  if (fence > leader->gateway->lease_fence)
    leader->gateway->lease_fence = fence;
}

/* True if the row was written in the store's present era.  One that was not may
 * be an older copy, or an entry of an older build wrote it. */
static bool
lease_is_current (const ca_leader_t *leader, const json_t *row)
{
  return (uint64_t)json_integer_value (json_object_get (row, "era"))
         == leader->gateway->store_era;
}

/* True while a holder that this entry does not know may act under a lease that
 * it took or renewed before the store lost its row. */
static bool
lease_may_be_held (const ca_leader_t *leader)
{
  return leader->gateway->now_us
         < leader->gateway->store_era_us + lease_duration_us (leader);
}

/* Marks the lease as held; it was written at `since_us`. */
static void
lease_hold (ca_leader_t *leader, uint64_t since_us)
{
  bool acquired = !leader->held;

  leader->held = true;
  leader->gateway->leads = true;
  leader->fence = leader->attempt_fence;
  lease_note_fence (leader, leader->fence);
  ca_gateway_hear_leader (leader->gateway);
  leader->valid_until_us
      = since_us + lease_duration_us (leader) - LEASE_MARGIN_US;
  if (!acquired)
    return;
  ca_gateway_log (leader->gateway, CA_EVENT_FLEET_LEADER, NULL, NULL,
                  "acquired lease %" PRIu64, leader->fence);
  leader->next_plan_us = 0;
  for (ca_order_row_t *row = TAILQ_FIRST (&leader->orders); row != NULL;
       row = TAILQ_NEXT (row, entries))
    {
      row->sent = false;
      row->busy = false;
    }
}

/* True if a version of endpoints is not in the row yet. */
static bool
lease_lacks_version (const ca_leader_t *leader)
{
  ca_version_history_t history;

  if (leader->gateway->now_us < leader->attempt_us + LEASE_VERSIONS_US)
    return false;
  ca_version_history_fill (leader->gateway, &history);
  return history.exists && ca_version_history_lacks (leader->gateway, &history);
}

static void
lease_read (ca_leader_t *leader)
{
  leader->busy = true;
  leader->sent_us = leader->gateway->now_us;
  leader->next_call_us = leader->gateway->now_us + LEASE_RETRY_US;
  leader->ports.read_lease (leader->ports.context);
}

/* Renews a held lease, or reads the row when no entry seems to lead. */
static void
lease_tick (ca_leader_t *leader)
{
  uint64_t now_us = leader->gateway->now_us;

  if (leader->held && now_us >= leader->valid_until_us)
    lease_drop (leader, "expired before it was renewed");
  if (leader->busy || !leader->gateway->config_freshness.has_offset)
    return;
  if (leader->held && leader->rewrites)
    {
      if (now_us >= leader->next_call_us)
        lease_read (leader);
      return;
    }
  if (leader->held)
    {
      /* A planned stop releases the lease together with the latest counts. */
      if (now_us >= leader->next_call_us || lease_lacks_version (leader)
          || (leader->gateway->stopping && !leader->given_up))
        lease_write (leader, leader->fence);
      return;
    }
  if (leader->gateway->stopping || leader->gateway->store_down
      || now_us < leader->blocked_until_us
      || ca_peers_have_leader (leader->gateway))
    {
      leader->vacant_since_us = now_us;
      return;
    }
  if (now_us - leader->vacant_since_us
          < LEASE_VACANT_US
                + LEASE_SENIORITY_US * ca_peers_seniority (leader->gateway)
      || now_us < leader->next_call_us)
    return;
  lease_read (leader);
}

/* Takes the counts in the row as the minimum of each window.  If every entry
 * started after the row was written, no other entry has these counts, and those
 * counted since must be added to them: this entry then adds them to its own,
 * once. */
static void
lease_inherit_usage (ca_leader_t *leader, const json_t *row)
{
  uint64_t wall_us
      = (uint64_t)json_integer_value (json_object_get (row, "wall_us"));
  bool adopt = !leader->usage_inherited
               && ca_peers_all_started_after (leader->gateway, wall_us);
  const char *window;
  const char *workspace;
  json_t *counts;
  json_t *count;

  ca_usage_rows_finish (&leader->min_counts);
  json_object_foreach (json_object_get (row, "recent"), window, counts)
  {
    json_object_foreach (counts, workspace, count)
        ca_usage_add (adopt ? &leader->gateway->usage : &leader->min_counts,
                      strtoull (window, NULL, 10), workspace,
                      (uint32_t)json_integer_value (count));
  }
  if (!adopt)
    return;
  leader->usage_inherited = true;
  ca_gateway_log (
      leader->gateway, CA_EVENT_USAGE_INHERITED, NULL, NULL,
      "took over %zu windows from a lease row older than all entries",
      json_object_size (json_object_get (row, "recent")));
}

/* Treats each window as reported that a holder may have reported, if neither
 * the store nor this entry knows which ones were. */
static void
lease_skip_usage (ca_leader_t *leader)
{
  uint64_t settled = ca_usage_latest_settled (leader);

  if (leader->gateway->reports_known || leader->gateway->store_era == 0
      || settled <= leader->reported)
    return;
  if (leader->reported != 0)
    ca_gateway_log (leader->gateway, CA_EVENT_USAGE_SKIPPED, NULL, NULL,
                    "windows %" PRIu64 " to %" PRIu64
                    " may have been reported before era %" PRIu64,
                    leader->reported + 1, settled, leader->gateway->store_era);
  leader->reported = settled;
}

/* Makes the windows known to the other entries that this one takes for
 * reported as it takes the lease. */
static void
lease_publish_reported (ca_leader_t *leader)
{
  if (leader->reported > leader->gateway->usage_reported)
    leader->gateway->usage_reported = leader->reported;
}

/* Takes over what the row's writer knew of versions of endpoints. */
static void
lease_take_history (ca_leader_t *leader, const json_t *row)
{
  ca_version_history_t history;

  if (!lease_is_current (leader, row))
    return;
  ca_version_history_from_json (&history, json_object_get (row, "versions"),
                                -lease_clock_offset_us (leader));
  ca_version_history_recorded (leader->gateway, &history);
  ca_version_history_take (leader->gateway, &history);
}

/* Takes the lease over no row, or one that cannot be used. */
static void
lease_take_without_row (ca_leader_t *leader)
{
  ca_usage_rows_finish (&leader->counts);
  ca_usage_rows_finish (&leader->min_counts);
  leader->window = 0;
  leader->recorded = false;
  if (leader->gateway->usage_reported > leader->reported)
    leader->reported = leader->gateway->usage_reported;
  lease_skip_usage (leader);
  lease_publish_reported (leader);
  lease_write (leader, lease_next_token (leader));
}

/* Takes over the report that the row contains. */
static void
lease_restore_usage (ca_leader_t *leader, const json_t *row)
{
  const char *workspace;
  json_t *count;

  ca_usage_rows_finish (&leader->counts);
  lease_inherit_usage (leader, row);
  leader->reported
      = (uint64_t)json_integer_value (json_object_get (row, "reported"));
  leader->window
      = (uint64_t)json_integer_value (json_object_get (row, "window"));
  /* A row of an older copy lacks what has been reported since.  The counts of
   * such a window are lost, and others must not be reported for it. */
  if (leader->gateway->usage_reported > leader->reported
      && leader->gateway->usage_reported != leader->window)
    {
      leader->reported = leader->gateway->usage_reported;
      leader->window = 0;
    }
  if (!lease_is_current (leader, row))
    lease_skip_usage (leader);
  lease_publish_reported (leader);
  leader->recorded = leader->window != 0;
  if (leader->window == 0)
    return;
  json_object_foreach (json_object_get (row, "counts"), workspace, count)
      ca_usage_add (&leader->counts, leader->window, workspace,
                    (uint32_t)json_integer_value (count));
}

/* Number in a row, from 0 to `max`; false if it is none. */
static bool
lease_is_number (const json_t *row, const char *name, uint64_t max)
{
  const json_t *value = json_object_get (row, name);

  return json_is_integer (value) && json_integer_value (value) >= 0
         && (uint64_t)json_integer_value (value) <= max;
}

/* True if the row is one that an entry may have written, not another writer's.
 */
static bool
lease_is_row (const ca_leader_t *leader, const json_t *row, uint64_t store_us)
{
  const ca_gateway_t *gateway = leader->gateway;
  uint64_t max_window
      = ca_usage_window (gateway, gateway->now_us)
        + LEASE_AHEAD_S / gateway->options.bounds.usage_window_s;

  return json_is_string (json_object_get (row, "holder"))
         && lease_is_number (row, "life", INT64_MAX)
         && lease_is_number (row, "fence", INT64_MAX / 2)
         && lease_is_number (row, "at_us",
                             store_us == 0
                                 ? INT64_MAX / 2
                                 : store_us + LEASE_AHEAD_S * CA_US_PER_S)
         && lease_is_number (row, "reported", max_window)
         && lease_is_number (row, "window", max_window);
}

/* Takes the lease over a row that is none.  Each take-over was a transaction,
 * so no era has given out more fencing tokens than the row's version. */
static void
lease_replace_row (ca_leader_t *leader)
{
  ca_gateway_log (leader->gateway, CA_EVENT_STORE_BAD_ROW, NULL, NULL,
                  "the lease row is not one that an entry writes");
  if (leader->gateway->now_us - leader->started_us < LEASE_STARTUP_DELAY_US)
    {
      leader->vacant_since_us = leader->gateway->now_us;
      return;
    }
  lease_note_fence (leader, leader->gateway->store_era * LEASE_TOKENS_PER_ERA
                                + leader->version);
  lease_take_without_row (leader);
}

/* Decides whether to take the lease, from the row that was read. */
static void
lease_evaluate (ca_leader_t *leader, const json_t *row, uint64_t store_us)
{
  const char *holder = json_string_value (json_object_get (row, "holder"));
  uint64_t incarnation
      = (uint64_t)json_integer_value (json_object_get (row, "life"));
  uint64_t at_us
      = (uint64_t)json_integer_value (json_object_get (row, "at_us"));
  uint64_t fence
      = (uint64_t)json_integer_value (json_object_get (row, "fence"));
  bool same_entry
      = holder != NULL && strcmp (holder, leader->gateway->options.name) == 0;
  bool own_row = same_entry && incarnation == leader->gateway->incarnation;
  bool given_up = json_is_true (json_object_get (row, "given_up"));

  if (own_row && fence == leader->attempt_fence && leader->attempt_fence != 0
      && lease_is_current (leader, row))
    {
      /* This entry's own write, whose answer was lost. */
      if (given_up)
        {
          lease_drop (leader, "released for a planned stop");
          return;
        }
      lease_restore_usage (leader, row);
      lease_hold (leader, leader->attempt_us);
      if (!ca_lease_is_valid (leader))
        lease_write (leader, leader->fence);
      return;
    }
  if (leader->gateway->now_us - leader->started_us < LEASE_STARTUP_DELAY_US)
    {
      leader->vacant_since_us = leader->gateway->now_us;
      return;
    }
  if (!lease_is_current (leader, row) && lease_may_be_held (leader))
    {
      leader->next_call_us
          = leader->gateway->store_era_us + lease_duration_us (leader)
            + LEASE_SENIORITY_US * ca_peers_seniority (leader->gateway);
      return;
    }
  /* A former incarnation of this entry has ended, so its lease is void. */
  if (!same_entry && !given_up && store_us < at_us + lease_duration_us (leader))
    return;
  lease_restore_usage (leader, row);
  lease_note_fence (leader, fence);
  lease_write (leader, lease_next_token (leader));
}

/* Writes the lease again over a row of an older copy.  False if another entry
 * has taken the lease meanwhile. */
static bool
lease_rewrite (ca_leader_t *leader, const json_t *row)
{
  uint64_t fence
      = (uint64_t)json_integer_value (json_object_get (row, "fence"));

  leader->rewrites = false;
  if (!leader->held || fence > leader->fence)
    {
      lease_drop (leader, "another entry has taken it since the store's drill");
      return false;
    }
  lease_write (leader, leader->fence);
  return true;
}

void
ca_leader_store_restored (ca_leader_t *leader, uint64_t now_us)
{
  leader->gateway->now_us = now_us;
  leader->rewrites = leader->held;
  leader->recorded = false;
  leader->next_call_us = now_us;
}

void
ca_leader_lease_read (ca_leader_t *leader, uint64_t now_us,
                      ca_call_status_t status, uint64_t version,
                      const char *text, uint64_t store_us)
{
  json_t *row;

  leader->gateway->now_us = now_us;
  leader->busy = false;
  if (status != CA_CALL_OK)
    return;
  leader->version = version;
  if (text == NULL)
    {
      if (leader->rewrites && lease_rewrite (leader, NULL))
        return;
      /* No entry has led yet: before the store first came back from a copy it
       * has lost nothing, and no peer knows a token. */
      if (leader->gateway->store_era <= CA_STORE_FIRST_ERA
          && leader->gateway->lease_fence == 0)
        leader->gateway->history_from_start = true;
      lease_take_without_row (leader);
      return;
    }
  row = json_loads (text, 0, NULL);
  if (lease_is_row (leader, row, store_us))
    lease_take_history (leader, row);
  if (!lease_is_row (leader, row, store_us))
    lease_replace_row (leader);
  else if (!leader->rewrites || !lease_rewrite (leader, row))
    lease_evaluate (leader, row, store_us);
  json_decref (row);
}

void
ca_leader_lease_written (ca_leader_t *leader, uint64_t now_us,
                         ca_call_status_t status, uint64_t version)
{
  leader->gateway->now_us = now_us;
  leader->busy = false;
  switch (status)
    {
    case CA_CALL_OK:
      leader->version = version;
      if (leader->given_up)
        {
          lease_drop (leader, "released for a planned stop");
          return;
        }
      lease_hold (leader, leader->sent_us);
      ca_version_history_recorded (leader->gateway, &leader->attempt_history);
      /* A report that was begun meanwhile is not in the row. */
      leader->recorded
          = leader->window != 0 && leader->window == leader->attempt_window;
      return;
    case CA_CALL_CONFLICT:
      lease_drop (leader, "another entry wrote the row");
      leader->vacant_since_us = now_us;
      return;
    case CA_CALL_REFUSED:
    case CA_CALL_UNKNOWN:
      /* Reading the row later shows whether the write was done; until then
       * the lease is unchanged. */
      leader->next_call_us = now_us + LEASE_RETRY_US;
      if (status == CA_CALL_UNKNOWN && leader->held)
        {
          leader->busy = true;
          leader->ports.read_lease (leader->ports.context);
        }
      return;
    }
}

void
ca_lease_superseded (ca_leader_t *leader)
{
  lease_drop (leader,
              "a call was refused because a higher fencing token was used");
  leader->blocked_until_us
      = leader->gateway->now_us + lease_duration_us (leader);
}

void
ca_leader_tick (ca_leader_t *leader, uint64_t now_us)
{
  leader->gateway->now_us = now_us;
  lease_tick (leader);
  ca_usage_report_tick (leader);
  ca_rollout_orders_tick (leader);
  ca_fleet_orders_tick (leader);
}
