/* The lease, under which the duties are done. */
#include "gateway/leader_private.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* The lease lasts this much longer than the bound within which a former
 * holder must not act again. */
#define LEASE_EXTRA_US (500 * CA_US_PER_MS)

/* A holder stops this long before its lease ends: the store's clock is known
 * to within the way there. */
#define LEASE_MARGIN_US (700 * CA_US_PER_MS)
#define LEASE_RENEW_US (1500 * CA_US_PER_MS)

/* Without word of a leader for this long, and longer by rank, the row is
 * read. */
#define LEASE_VACANT_US (1200 * CA_US_PER_MS)
#define LEASE_SENIORITY_US (400 * CA_US_PER_MS)
#define LEASE_RETRY_US (500 * CA_US_PER_MS)

/* An entry that has just begun leaves a lease that was held before alone for
 * this, more than the period of pulses with 90 entries: until then it knows
 * neither a holder nor the counts of the others. */
#define LEASE_STARTUP_DELAY_US CA_US_PER_S

/* Windows before the present one whose counts are kept with the lease, for a
 * restart of all entries. */
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
}

void
ca_leader_finish (ca_leader_t *leader)
{
  ca_usage_rows_finish (&leader->counts);
  ca_usage_rows_finish (&leader->min_counts);
  while (!TAILQ_EMPTY (&leader->orders))
    {
      ca_order_row_t *row = TAILQ_FIRST (&leader->orders);

      TAILQ_REMOVE (&leader->orders, row, entries);
      free (row->service);
      free (row->zone);
      free (row);
    }
}

/* --- The lease --- */

static uint64_t
lease_duration_us (const ca_leader_t *leader)
{
  return leader->gateway->options.bounds.lease_ms * CA_US_PER_MS
         + LEASE_EXTRA_US;
}

static void
lease_drop (ca_leader_t *leader, const char *why)
{
  if (leader->held)
    ca_gateway_log (leader->gateway, CA_EVENT_FLEET_LEADER, NULL, NULL,
                    "lease %" PRIu64 " is no longer held: %s", leader->fence,
                    why);
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

/* The store's clock, at most, by what its answers told. */
static uint64_t
lease_store_us (const ca_leader_t *leader)
{
  const ca_freshness_t *freshness = &leader->gateway->config_freshness;

  return (uint64_t)((int64_t)leader->gateway->now_us + freshness->offset_us);
}

static json_t *
lease_counts_json (const ca_leader_t *leader)
{
  json_t *counts = json_object ();
  const ca_usage_row_t *row;

  TAILQ_FOREACH (row, &leader->counts, entries)
  json_object_set_new (counts, row->workspace, json_integer (row->count));
  return counts;
}

/* What all entries have counted and nobody has reported, by window. */
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

/* Renews or takes the lease, with what is to be reported. */
static void
lease_write (ca_leader_t *leader, uint64_t fence)
{
  json_t *row = json_pack (
      "{s:s, s:I, s:I, s:b, s:I, s:I, s:I, s:o, s:I, s:o}", "holder",
      leader->gateway->options.name, "life",
      (json_int_t)leader->gateway->incarnation, "fence", (json_int_t)fence,
      "given_up", leader->gateway->stopping, "at_us",
      (json_int_t)lease_store_us (leader), "reported",
      (json_int_t)leader->reported, "window", (json_int_t)leader->window,
      "counts", lease_counts_json (leader), "wall_us",
      (json_int_t)ca_gateway_wall_us (leader->gateway, leader->gateway->now_us),
      "recent", lease_recent_json (leader));
  char *text = json_dumps (row, JSON_COMPACT);

  leader->busy = true;
  leader->given_up = leader->gateway->stopping;
  leader->sent_us = leader->gateway->now_us;
  leader->attempt_fence = fence;
  leader->attempt_us = leader->gateway->now_us;
  leader->next_call_us = leader->gateway->now_us + LEASE_RENEW_US;
  leader->ports.write_lease (leader->ports.context, leader->version, text);
  free (text);
  json_decref (row);
}

static void
lease_hold (ca_leader_t *leader, uint64_t since_us)
{
  bool new = !leader->held;

  leader->held = true;
  leader->gateway->leads = true;
  leader->fence = leader->attempt_fence;
  leader->valid_until_us
      = since_us + lease_duration_us (leader) - LEASE_MARGIN_US;
  if (!new)
    return;
  ca_gateway_log (leader->gateway, CA_EVENT_FLEET_LEADER, NULL, NULL,
                  "lease %" PRIu64 " is held", leader->fence);
  leader->next_plan_us = 0;
  for (ca_order_row_t *row = TAILQ_FIRST (&leader->orders); row != NULL;
       row = TAILQ_NEXT (row, entries))
    {
      row->sent = false;
      row->busy = false;
    }
}

static void
lease_tick (ca_leader_t *leader)
{
  uint64_t now_us = leader->gateway->now_us;

  if (leader->held && now_us >= leader->valid_until_us)
    lease_drop (leader, "it ended before it was renewed");
  if (leader->busy || !leader->gateway->config_freshness.has_offset)
    return;
  if (leader->held)
    {
      /* A planned stop hands it on with all that was counted. */
      if (now_us >= leader->next_call_us
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
  leader->busy = true;
  leader->sent_us = now_us;
  leader->next_call_us = now_us + LEASE_RETRY_US;
  leader->ports.read_lease (leader->ports.context);
}

/* Takes the counts that the row holds as the least that each window has.  Where
 * every entry began after the row was written, nobody else has the counts of
 * before, and what was counted since is to be added: this entry counts them as
 * its own, once. */
static void
lease_inherit_usage (ca_leader_t *leader, const json_t *row)
{
  uint64_t wall_us
      = (uint64_t)json_integer_value (json_object_get (row, "wall_us"));
  bool own = !leader->usage_inherited
             && ca_peers_all_started_after (leader->gateway, wall_us);
  const char *window;
  const char *workspace;
  json_t *counts;
  json_t *count;

  ca_usage_rows_finish (&leader->min_counts);
  json_object_foreach (json_object_get (row, "recent"), window, counts)
  {
    json_object_foreach (counts, workspace, count)
        ca_usage_add (own ? &leader->gateway->usage : &leader->min_counts,
                      strtoull (window, NULL, 10), workspace,
                      (uint32_t)json_integer_value (count));
  }
  if (!own)
    return;
  leader->usage_inherited = true;
  ca_gateway_log (leader->gateway, CA_EVENT_USAGE_INHERITED, NULL, NULL,
                  "%zu windows of a lease written before all entries began",
                  json_object_size (json_object_get (row, "recent")));
}

/* Takes over the report that the row holds. */
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
  leader->recorded = leader->window != 0;
  json_object_foreach (json_object_get (row, "counts"), workspace, count)
      ca_usage_add (&leader->counts, leader->window, workspace,
                    (uint32_t)json_integer_value (count));
}

/* Decides on a row that was read. */
static void
lease_evaluate (ca_leader_t *leader, const json_t *row, uint64_t store_us)
{
  const char *holder = json_string_value (json_object_get (row, "holder"));
  uint64_t life = (uint64_t)json_integer_value (json_object_get (row, "life"));
  uint64_t at_us
      = (uint64_t)json_integer_value (json_object_get (row, "at_us"));
  uint64_t fence
      = (uint64_t)json_integer_value (json_object_get (row, "fence"));
  bool here
      = holder != NULL && strcmp (holder, leader->gateway->options.name) == 0;
  bool ours = here && life == leader->gateway->incarnation;
  bool given_up = json_is_true (json_object_get (row, "given_up"));

  if (ours && fence == leader->attempt_fence && leader->attempt_fence != 0)
    {
      /* Our own write, whose answer was lost. */
      if (given_up)
        {
          lease_drop (leader, "given up before a planned stop");
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
  /* A former life of this machine has ended, whatever its lease says. */
  if (!here && !given_up && store_us < at_us + lease_duration_us (leader))
    return;
  lease_restore_usage (leader, row);
  lease_write (leader, fence + 1);
}

void
ca_leader_lease_read (ca_leader_t *leader, uint64_t now_us,
                      ca_call_status_t status, uint64_t version,
                      const char *text, uint64_t store_us)
{
  json_error_t error;
  json_t *row;

  leader->gateway->now_us = now_us;
  leader->busy = false;
  if (status != CA_CALL_OK)
    return;
  leader->version = version;
  if (text == NULL)
    {
      lease_write (leader, 1);
      return;
    }
  row = json_loads (text, 0, &error);
  if (row == NULL)
    {
      ca_gateway_log (leader->gateway, CA_EVENT_STORE_BAD_ROW, NULL, NULL,
                      "the lease does not parse: %s", error.text);
      return;
    }
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
          lease_drop (leader, "given up before a planned stop");
          return;
        }
      lease_hold (leader, leader->sent_us);
      leader->recorded = leader->window != 0;
      return;
    case CA_CALL_CONFLICT:
      lease_drop (leader, "another entry wrote it");
      leader->vacant_since_us = now_us;
      return;
    case CA_CALL_REFUSED:
    case CA_CALL_UNKNOWN:
      /* The row tells later whether it was written; until then the lease
       * stands as it was. */
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
  lease_drop (leader, "a call met a higher fencing token");
  leader->blocked_until_us
      = leader->gateway->now_us + lease_duration_us (leader);
}

void
ca_leader_tick (ca_leader_t *leader, uint64_t now_us)
{
  leader->gateway->now_us = now_us;
  lease_tick (leader);
  ca_usage_report_tick (leader);
  ca_fleet_orders_tick (leader);
}
