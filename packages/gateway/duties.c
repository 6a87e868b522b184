/* The lease, under which the duties are done. */
#include "gateway/duties_private.h"

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
#define LEASE_RANK_US (400 * CA_US_PER_MS)
#define LEASE_RETRY_US (500 * CA_US_PER_MS)

/* An entry that has just begun leaves a lease that was held before alone for
 * this, more than the period of pulses with 90 entries: until then it knows
 * neither a holder nor the counts of the others. */
#define LEASE_LISTEN_US CA_US_PER_S

/* Windows before the present one whose counts are kept with the lease, for a
 * restart of all entries. */
#define USAGE_RECORDED 3

void
ca_duties_init (ca_duties_t *duties, ca_gateway_t *gateway,
                const ca_duty_ports_t *ports, bool reports, bool scales)
{
  memset (duties, 0, sizeof *duties);
  duties->gateway = gateway;
  duties->began_us = gateway->now_us;
  duties->ports = *ports;
  duties->reports = reports;
  duties->scales = scales;
  TAILQ_INIT (&duties->counts);
  TAILQ_INIT (&duties->least);
  TAILQ_INIT (&duties->orders);
}

void
ca_duties_finish (ca_duties_t *duties)
{
  ca_usage_rows_finish (&duties->counts);
  ca_usage_rows_finish (&duties->least);
  while (!TAILQ_EMPTY (&duties->orders))
    {
      ca_order_row_t *row = TAILQ_FIRST (&duties->orders);

      TAILQ_REMOVE (&duties->orders, row, entries);
      free (row->service);
      free (row->zone);
      free (row);
    }
}

/* --- The lease --- */

static uint64_t
lease_length_us (const ca_duties_t *duties)
{
  return duties->gateway->options.bounds.lease_ms * CA_US_PER_MS
         + LEASE_EXTRA_US;
}

static void
lease_lose (ca_duties_t *duties, const char *why)
{
  if (duties->held)
    ca_gateway_log (duties->gateway, CA_EVENT_FLEET_LEADER, NULL, NULL,
                    "lease %" PRIu64 " is no longer held: %s", duties->fence,
                    why);
  duties->held = false;
  duties->gateway->leads = false;
  duties->recorded = false;
}

bool
ca_lease_is_valid (const ca_duties_t *duties)
{
  return duties->held && !duties->given_up
         && duties->gateway->now_us < duties->until_us;
}

/* The store's clock, at most, by what its answers told. */
static uint64_t
lease_store_us (const ca_duties_t *duties)
{
  const ca_freshness_t *freshness = &duties->gateway->config_freshness;

  return (uint64_t)((int64_t)duties->gateway->now_us + freshness->offset_us);
}

static json_t *
lease_counts_json (const ca_duties_t *duties)
{
  json_t *counts = json_object ();
  const ca_usage_row_t *row;

  TAILQ_FOREACH (row, &duties->counts, entries)
  json_object_set_new (counts, row->workspace, json_integer (row->count));
  return counts;
}

/* What all entries have counted and nobody has reported, by window. */
static json_t *
lease_recent_json (const ca_duties_t *duties)
{
  uint64_t last = ca_usage_window (duties->gateway, duties->gateway->now_us);
  json_t *recent = json_object ();

  for (uint64_t window = last > USAGE_RECORDED ? last - USAGE_RECORDED : 0;
       window <= last; window++)
    {
      struct ca_usage_rows total;
      const ca_usage_row_t *row;
      json_t *counts = json_object ();
      char name[32];

      if (window <= duties->reported)
        {
          json_decref (counts);
          continue;
        }
      TAILQ_INIT (&total);
      ca_duties_usage_total (duties, window, &total);
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
lease_write (ca_duties_t *duties, uint64_t fence)
{
  json_t *row = json_pack (
      "{s:s, s:I, s:I, s:b, s:I, s:I, s:I, s:o, s:I, s:o}", "holder",
      duties->gateway->options.name, "life",
      (json_int_t)duties->gateway->incarnation, "fence", (json_int_t)fence,
      "given_up", duties->gateway->stopping, "at_us",
      (json_int_t)lease_store_us (duties), "reported",
      (json_int_t)duties->reported, "window", (json_int_t)duties->window,
      "counts", lease_counts_json (duties), "wall_us",
      (json_int_t)ca_gateway_wall_us (duties->gateway, duties->gateway->now_us),
      "recent", lease_recent_json (duties));
  char *text = json_dumps (row, JSON_COMPACT);

  duties->busy = true;
  duties->given_up = duties->gateway->stopping;
  duties->sent_us = duties->gateway->now_us;
  duties->attempt_fence = fence;
  duties->attempt_us = duties->gateway->now_us;
  duties->next_us = duties->gateway->now_us + LEASE_RENEW_US;
  duties->ports.write_lease (duties->ports.context, duties->version, text);
  free (text);
  json_decref (row);
}

static void
lease_hold (ca_duties_t *duties, uint64_t since_us)
{
  bool new = !duties->held;

  duties->held = true;
  duties->gateway->leads = true;
  duties->fence = duties->attempt_fence;
  duties->until_us = since_us + lease_length_us (duties) - LEASE_MARGIN_US;
  if (!new)
    return;
  ca_gateway_log (duties->gateway, CA_EVENT_FLEET_LEADER, NULL, NULL,
                  "lease %" PRIu64 " is held", duties->fence);
  duties->plan_us = 0;
  for (ca_order_row_t *row = TAILQ_FIRST (&duties->orders); row != NULL;
       row = TAILQ_NEXT (row, entries))
    {
      row->sent = false;
      row->busy = false;
    }
}

static void
lease_tick (ca_duties_t *duties)
{
  uint64_t now_us = duties->gateway->now_us;

  if (duties->held && now_us >= duties->until_us)
    lease_lose (duties, "it ended before it was renewed");
  if (duties->busy || !duties->gateway->config_freshness.has_offset)
    return;
  if (duties->held)
    {
      /* A planned stop hands it on with all that was counted. */
      if (now_us >= duties->next_us
          || (duties->gateway->stopping && !duties->given_up))
        lease_write (duties, duties->fence);
      return;
    }
  if (duties->gateway->stopping || duties->gateway->store_down
      || now_us < duties->barred_us
      || ca_siblings_have_leader (duties->gateway))
    {
      duties->vacant_us = now_us;
      return;
    }
  if (now_us - duties->vacant_us
          < LEASE_VACANT_US + LEASE_RANK_US * ca_siblings_rank (duties->gateway)
      || now_us < duties->next_us)
    return;
  duties->busy = true;
  duties->sent_us = now_us;
  duties->next_us = now_us + LEASE_RETRY_US;
  duties->ports.read_lease (duties->ports.context);
}

/* Takes the counts that the row holds as the least that each window has.  Where
 * every entry began after the row was written, nobody else has the counts of
 * before, and what was counted since is to be added: this entry counts them as
 * its own, once. */
static void
lease_inherit_usage (ca_duties_t *duties, const json_t *row)
{
  uint64_t wall_us
      = (uint64_t)json_integer_value (json_object_get (row, "wall_us"));
  bool own = !duties->inherited
             && ca_siblings_all_began_after (duties->gateway, wall_us);
  const char *window;
  const char *workspace;
  json_t *counts;
  json_t *count;

  ca_usage_rows_finish (&duties->least);
  json_object_foreach (json_object_get (row, "recent"), window, counts)
  {
    json_object_foreach (counts, workspace, count)
        ca_usage_add (own ? &duties->gateway->usage : &duties->least,
                      strtoull (window, NULL, 10), workspace,
                      (uint32_t)json_integer_value (count));
  }
  if (!own)
    return;
  duties->inherited = true;
  ca_gateway_log (duties->gateway, CA_EVENT_USAGE_INHERITED, NULL, NULL,
                  "%zu windows of a lease written before all entries began",
                  json_object_size (json_object_get (row, "recent")));
}

/* Takes over the report that the row holds. */
static void
lease_take_usage (ca_duties_t *duties, const json_t *row)
{
  const char *workspace;
  json_t *count;

  ca_usage_rows_finish (&duties->counts);
  lease_inherit_usage (duties, row);
  duties->reported
      = (uint64_t)json_integer_value (json_object_get (row, "reported"));
  duties->window
      = (uint64_t)json_integer_value (json_object_get (row, "window"));
  duties->recorded = duties->window != 0;
  json_object_foreach (json_object_get (row, "counts"), workspace, count)
      ca_usage_add (&duties->counts, duties->window, workspace,
                    (uint32_t)json_integer_value (count));
}

/* Decides on a row that was read. */
static void
lease_look (ca_duties_t *duties, const json_t *row, uint64_t store_us)
{
  const char *holder = json_string_value (json_object_get (row, "holder"));
  uint64_t life = (uint64_t)json_integer_value (json_object_get (row, "life"));
  uint64_t at_us
      = (uint64_t)json_integer_value (json_object_get (row, "at_us"));
  uint64_t fence
      = (uint64_t)json_integer_value (json_object_get (row, "fence"));
  bool here
      = holder != NULL && strcmp (holder, duties->gateway->options.name) == 0;
  bool ours = here && life == duties->gateway->incarnation;
  bool given_up = json_is_true (json_object_get (row, "given_up"));

  if (ours && fence == duties->attempt_fence && duties->attempt_fence != 0)
    {
      /* Our own write, whose answer was lost. */
      if (given_up)
        {
          lease_lose (duties, "given up before a planned stop");
          return;
        }
      lease_take_usage (duties, row);
      lease_hold (duties, duties->attempt_us);
      if (!ca_lease_is_valid (duties))
        lease_write (duties, duties->fence);
      return;
    }
  if (duties->gateway->now_us - duties->began_us < LEASE_LISTEN_US)
    {
      duties->vacant_us = duties->gateway->now_us;
      return;
    }
  /* A former life of this machine has ended, whatever its lease says. */
  if (!here && !given_up && store_us < at_us + lease_length_us (duties))
    return;
  lease_take_usage (duties, row);
  lease_write (duties, fence + 1);
}

void
ca_duties_lease_read (ca_duties_t *duties, uint64_t now_us,
                      ca_call_status_t status, uint64_t version,
                      const char *text, uint64_t store_us)
{
  json_error_t error;
  json_t *row;

  duties->gateway->now_us = now_us;
  duties->busy = false;
  if (status != CA_CALL_OK)
    return;
  duties->version = version;
  if (text == NULL)
    {
      lease_write (duties, 1);
      return;
    }
  row = json_loads (text, 0, &error);
  if (row == NULL)
    {
      ca_gateway_log (duties->gateway, CA_EVENT_STORE_BAD_ROW, NULL, NULL,
                      "the lease does not parse: %s", error.text);
      return;
    }
  lease_look (duties, row, store_us);
  json_decref (row);
}

void
ca_duties_lease_written (ca_duties_t *duties, uint64_t now_us,
                         ca_call_status_t status, uint64_t version)
{
  duties->gateway->now_us = now_us;
  duties->busy = false;
  switch (status)
    {
    case CA_CALL_OK:
      duties->version = version;
      if (duties->given_up)
        {
          lease_lose (duties, "given up before a planned stop");
          return;
        }
      lease_hold (duties, duties->sent_us);
      duties->recorded = duties->window != 0;
      return;
    case CA_CALL_CONFLICT:
      lease_lose (duties, "another entry wrote it");
      duties->vacant_us = now_us;
      return;
    case CA_CALL_REFUSED:
    case CA_CALL_UNKNOWN:
      /* The row tells later whether it was written; until then the lease
       * stands as it was. */
      duties->next_us = now_us + LEASE_RETRY_US;
      if (status == CA_CALL_UNKNOWN && duties->held)
        {
          duties->busy = true;
          duties->ports.read_lease (duties->ports.context);
        }
      return;
    }
}

void
ca_lease_is_outdated (ca_duties_t *duties)
{
  lease_lose (duties, "a call met a higher fencing token");
  duties->barred_us = duties->gateway->now_us + lease_length_us (duties);
}

void
ca_duties_tick (ca_duties_t *duties, uint64_t now_us)
{
  duties->gateway->now_us = now_us;
  lease_tick (duties);
  ca_usage_report_tick (duties);
  ca_fleet_orders_tick (duties);
}
