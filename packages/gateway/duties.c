/* The lease, and the two duties under it. */
#include "gateway/duties.h"

#include "gateway/fleet_plan.h"
#include "gateway/private.h"

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

/* A window is reported this long after its end, when every pulse with its
 * counts has come. */
#define USAGE_SETTLE_US (3 * CA_US_PER_S)
/* Windows before the present one whose counts are kept with the lease, for a
 * restart of all entries. */
#define USAGE_RECORDED 3
#define USAGE_RETRY_US (400 * CA_US_PER_MS)

/* Sizes are looked at this often; an order without an answer may be carried
 * out up to 12 s later, and is repeated. */
#define PLAN_PERIOD_US (500 * CA_US_PER_MS)
#define ORDER_RETRY_US (1500 * CA_US_PER_MS)
#define ORDER_LATE_US (13 * CA_US_PER_S)

/* An order counts like endpoints until they have started, and this much
 * longer. */
#define ORDER_BOOT_EXTRA_US (1500 * CA_US_PER_MS)

/* None of a kind were to be had: asked again after this. */
#define ORDER_OUT_US (4 * CA_US_PER_S)

/* Fewer endpoints are ordered only when fewer have done for this long. */
#define SURPLUS_US (6 * CA_US_PER_S)

void
ca_duties_init (ca_duties_t *duties, ca_gateway_t *gateway,
                const ca_duty_ports_t *ports, bool reports, bool scales)
{
  memset (duties, 0, sizeof *duties);
  duties->gateway = gateway;
  duties->ports = *ports;
  duties->reports = reports;
  duties->scales = scales;
  TAILQ_INIT (&duties->counts);
  TAILQ_INIT (&duties->orders);
}

void
ca_duties_finish (ca_duties_t *duties)
{
  ca_usage_rows_finish (&duties->counts);
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
    ca_gateway_note (duties->gateway, CA_EVENT_FLEET_LEADER, NULL, NULL,
                     "lease %" PRIu64 " is no longer held: %s", duties->fence,
                     why);
  duties->held = false;
  duties->gateway->leads = false;
  duties->recorded = false;
}

/* True if a call may go out under the lease. */
static bool
lease_is_valid (const ca_duties_t *duties)
{
  return duties->held && duties->gateway->now_us < duties->until_us;
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
      ca_usage_total (duties->gateway, window, &total);
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
      "{s:s, s:I, s:I, s:I, s:I, s:I, s:o, s:I, s:o}", "holder",
      duties->gateway->options.name, "life",
      (json_int_t)duties->gateway->incarnation, "fence", (json_int_t)fence,
      "at_us", (json_int_t)lease_store_us (duties), "reported",
      (json_int_t)duties->reported, "window", (json_int_t)duties->window,
      "counts", lease_counts_json (duties), "wall_us",
      (json_int_t)ca_gateway_wall_us (duties->gateway, duties->gateway->now_us),
      "recent", lease_recent_json (duties));
  char *text = json_dumps (row, JSON_COMPACT);

  duties->busy = true;
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
  ca_gateway_note (duties->gateway, CA_EVENT_FLEET_LEADER, NULL, NULL,
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
      if (now_us >= duties->next_us && !duties->gateway->stopping)
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

/* Where every entry began after the row was written, nobody has the counts of
 * before but the row: this entry counts them as its own, once. */
static void
lease_inherit_usage (ca_duties_t *duties, const json_t *row)
{
  uint64_t wall_us
      = (uint64_t)json_integer_value (json_object_get (row, "wall_us"));
  const char *window;
  const char *workspace;
  json_t *counts;
  json_t *count;

  if (duties->inherited
      || !ca_siblings_all_began_after (duties->gateway, wall_us))
    return;
  duties->inherited = true;
  json_object_foreach (json_object_get (row, "recent"), window, counts)
  {
    json_object_foreach (counts, workspace, count)
        ca_usage_add (&duties->gateway->usage, strtoull (window, NULL, 10),
                      workspace, (uint32_t)json_integer_value (count));
  }
  ca_gateway_note (duties->gateway, CA_EVENT_USAGE_INHERITED, NULL, NULL,
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

  duties->holder_fence = fence;
  if (ours && fence == duties->attempt_fence && duties->attempt_fence != 0)
    {
      /* Our own write, whose answer was lost. */
      lease_take_usage (duties, row);
      lease_hold (duties, duties->attempt_us);
      if (!lease_is_valid (duties))
        lease_write (duties, duties->fence);
      return;
    }
  /* A former life of this machine has ended, whatever its lease says. */
  if (!here && store_us < at_us + lease_length_us (duties))
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
      ca_gateway_note (duties->gateway, CA_EVENT_STORE_BAD_ROW, NULL, NULL,
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

/* A call was refused since a higher token is about. */
static void
lease_is_outdated (ca_duties_t *duties)
{
  lease_lose (duties, "a call met a higher fencing token");
  duties->barred_us = duties->gateway->now_us + lease_length_us (duties);
}

/* --- Usage --- */

static uint64_t
usage_window_us (const ca_duties_t *duties)
{
  return duties->gateway->options.bounds.usage_window_s * CA_US_PER_S;
}

/* Latest window whose counts are all in. */
static uint64_t
usage_latest_settled (const ca_duties_t *duties)
{
  uint64_t wall_us
      = ca_gateway_wall_us (duties->gateway, duties->gateway->now_us);

  return (wall_us - USAGE_SETTLE_US) / usage_window_us (duties) - 1;
}

/* Begins the report of the next window: it goes into the row first. */
static void
usage_begin (ca_duties_t *duties)
{
  uint64_t settled = usage_latest_settled (duties);
  uint64_t oldest = settled
                    - duties->gateway->options.bounds.usage_delay_s
                          / duties->gateway->options.bounds.usage_window_s;

  if (duties->reported >= settled)
    return;
  if (duties->reported < oldest)
    duties->reported = oldest;
  if (duties->reported >= settled)
    return;
  duties->window = duties->reported + 1;
  ca_usage_rows_finish (&duties->counts);
  ca_usage_total (duties->gateway, duties->window, &duties->counts);
  duties->recorded = false;
  duties->next_us = 0;
}

static void
usage_tick (ca_duties_t *duties)
{
  uint64_t now_us = duties->gateway->now_us;

  if (!duties->reports || !lease_is_valid (duties) || duties->reporting)
    return;
  if (duties->window == 0)
    usage_begin (duties);
  if (duties->window == 0 || !duties->recorded || now_us < duties->report_us)
    return;
  duties->reporting = true;
  duties->report_us = now_us + USAGE_RETRY_US;
  duties->ports.report_usage (duties->ports.context, duties->fence,
                              duties->window, &duties->counts);
}

void
ca_duties_usage_done (ca_duties_t *duties, uint64_t now_us, uint64_t window,
                      ca_call_status_t status)
{
  duties->gateway->now_us = now_us;
  duties->reporting = false;
  if (status == CA_CALL_CONFLICT)
    {
      lease_is_outdated (duties);
      return;
    }
  if (status != CA_CALL_OK || window != duties->window)
    return;
  ca_gateway_note (duties->gateway, CA_EVENT_USAGE_REPORTED, NULL, NULL,
                   "window %" PRIu64 " under lease %" PRIu64, window,
                   duties->fence);
  duties->reported = window;
  duties->window = 0;
  ca_usage_rows_finish (&duties->counts);
}

/* --- Fleet --- */

static ca_order_row_t *
fleet_row (ca_duties_t *duties, const char *service, const char *zone,
           bool reclaimable)
{
  ca_order_row_t *row;

  TAILQ_FOREACH (row, &duties->orders, entries)
  {
    if (row->reclaimable == reclaimable && strcmp (row->service, service) == 0
        && strcmp (row->zone, zone) == 0)
      return row;
  }
  row = calloc (1, sizeof *row);
  row->service = strdup (service);
  row->zone = strdup (zone);
  row->reclaimable = reclaimable;
  TAILQ_INSERT_TAIL (&duties->orders, row, entries);
  return row;
}

/* Sends an order if it is due. */
static void
fleet_order (ca_duties_t *duties, ca_order_row_t *row, uint32_t count)
{
  uint64_t now_us = duties->gateway->now_us;
  ca_scale_order_t order
      = { row->service, row->zone, row->reclaimable, count, duties->fence };

  if (row->busy || !lease_is_valid (duties))
    return;
  if (row->sent && row->ordered == count
      && (row->unsure_us < now_us || now_us < row->again_us))
    return;
  row->busy = true;
  row->sent = true;
  row->before = row->ordered;
  row->ordered = count;
  row->ordered_us = now_us;
  row->again_us = now_us + ORDER_RETRY_US;
  ca_gateway_note (duties->gateway, CA_EVENT_FLEET_START, NULL, row->service,
                   "%u %s in %s under lease %" PRIu64, count,
                   row->reclaimable ? "reclaimable" : "on demand", row->zone,
                   duties->fence);
  duties->ports.order_scale (duties->ports.context, &order);
}

void
ca_duties_scaled (ca_duties_t *duties, uint64_t now_us,
                  const ca_scale_order_t *order, ca_call_status_t status)
{
  ca_order_row_t *row
      = fleet_row (duties, order->service, order->zone, order->reclaimable);

  duties->gateway->now_us = now_us;
  row->busy = false;
  if (status == CA_CALL_OK)
    {
      /* New ones are to come: what was lost before is made up for. */
      row->lost = false;
      return;
    }
  row->sent = false;
  if (status == CA_CALL_UNKNOWN)
    {
      row->sent = true;
      row->unsure_us = now_us + ORDER_LATE_US;
      return;
    }
  row->ordered = row->before;
  ca_gateway_note (duties->gateway, CA_EVENT_FLEET_REFUSED, NULL,
                   order->service, "%u %s in %s", order->count,
                   order->reclaimable ? "reclaimable" : "on demand",
                   order->zone);
  if (status == CA_CALL_CONFLICT && order->fence == duties->fence)
    row->out_us = now_us + ORDER_OUT_US;
}

/* Less only after less has done for a while; more at once. */
static uint32_t
fleet_steady (ca_duties_t *duties, ca_order_row_t *row, uint32_t want)
{
  uint64_t now_us = duties->gateway->now_us;

  if (!row->sent || want >= row->ordered)
    {
      row->surplus_us = 0;
      return want;
    }
  if (row->surplus_us == 0)
    row->surplus_us = now_us;
  return now_us - row->surplus_us < SURPLUS_US ? row->ordered : want;
}

static void
fleet_count (const ca_duties_t *duties, const char *service, const char *zone,
             ca_fleet_zone_t *counts, double *open)
{
  const ca_seat_t *seat;

  for (seat = duties->gateway->roster.seats; seat != NULL; seat = seat->hh.next)
    {
      if (!ca_seat_is_open (seat) || strcmp (seat->service, service) != 0
          || strcmp (seat->zone, zone) != 0)
        continue;
      *open += (double)seat->own.open + seat->peers.open;
      if (seat->reclaimable)
        counts->reclaimable++;
      else
        counts->on_demand++;
    }
}

/* A new holder finds what a former one ordered, and goes on from there. */
static void
fleet_adopt (ca_duties_t *duties, const ca_service_t *service,
             const ca_fleet_state_t *state)
{
  uint32_t reclaimable = 0;

  for (uint32_t i = 0; i < state->zone_count; i++)
    reclaimable += state->zones[i].reclaimable;
  for (uint32_t i = 0; reclaimable > 0 && i < state->zone_count; i++)
    {
      const char *zone = service->prices[i].zone;
      ca_order_row_t *spot = fleet_row (duties, service->name, zone, true);
      ca_order_row_t *fixed = fleet_row (duties, service->name, zone, false);

      if (!spot->sent)
        spot->ordered = state->zones[i].reclaimable;
      if (!fixed->sent)
        fixed->ordered = state->zones[i].on_demand;
      spot->sent = true;
      fixed->sent = true;
    }
}

/* What has become of the order for reclaimable endpoints in a zone.  An order
 * is short when its endpoints should have started and are not there: they were
 * reclaimed, or never came.  It is sent again, and until it is met the zone
 * counts for what is there. */
static void
fleet_look (ca_duties_t *duties, const ca_service_t *service,
            ca_order_row_t *row, ca_fleet_zone_t *zone)
{
  uint64_t now_us = duties->gateway->now_us;
  uint64_t boot_us = service->boot_ms * CA_US_PER_MS + ORDER_BOOT_EXTRA_US;
  bool booting = now_us - row->ordered_us < boot_us;

  /* Fewer than before without an order: a reclaim. */
  if (row->sent && zone->reclaimable < row->seen
      && zone->reclaimable < row->ordered)
    {
      row->out_us = now_us + ORDER_OUT_US;
      row->lost = true;
    }
  row->seen = zone->reclaimable;
  if (zone->reclaimable >= row->ordered)
    row->lost = false;
  row->is_short = row->ordered_us != 0 && zone->reclaimable < row->ordered
                  && (row->lost || !booting);
  zone->reclaimable_out = now_us < row->out_us || row->is_short;
  if (row->is_short && now_us >= row->out_us
      && now_us - row->ordered_us > ORDER_OUT_US)
    row->sent = false;
  if (!row->is_short && booting && zone->reclaimable < row->ordered)
    zone->reclaimable = row->ordered;
}

static void
fleet_service (ca_duties_t *duties, const ca_service_t *service)
{
  ca_fleet_state_t state;
  ca_fleet_want_t wants[CA_FLEET_ZONES];
  ca_service_work_t work;
  uint64_t now_us = duties->gateway->now_us;

  memset (&state, 0, sizeof state);
  memset (wants, 0, sizeof wants);
  ca_siblings_work (duties->gateway, service->name, &work);
  if (work.requests_per_s > 0 && duties->traffic_us == 0)
    duties->traffic_us = now_us;
  state.busy = work.busy;
  state.held_tokens = work.held_tokens;
  state.slots = service->slots;
  state.cache_tokens = service->cache_tokens;
  state.min_endpoints = service->min_endpoints;
  state.max_endpoints = service->max_endpoints;
  state.reclaimable_price = service->reclaimable_price;
  state.traffic_known
      = duties->traffic_us != 0
        && now_us - duties->traffic_us > 2 * CA_WORK_SPAN_S * CA_US_PER_S;
  for (uint32_t i = 0;
       i < service->price_count && state.zone_count < CA_FLEET_ZONES; i++)
    {
      ca_fleet_zone_t *zone = &state.zones[state.zone_count++];
      ca_order_row_t *row
          = fleet_row (duties, service->name, service->prices[i].zone, true);

      zone->price = service->prices[i].price;
      fleet_count (duties, service->name, service->prices[i].zone, zone,
                   &state.open);
      fleet_look (duties, service, row, zone);
    }
  if (state.zone_count == 0)
    return;
  fleet_adopt (duties, service, &state);
  ca_fleet_plan (&state, ca_fleet_need (&state), wants);
  for (uint32_t i = 0; i < state.zone_count; i++)
    {
      ca_order_row_t *spot
          = fleet_row (duties, service->name, service->prices[i].zone, true);
      ca_order_row_t *fixed
          = fleet_row (duties, service->name, service->prices[i].zone, false);

      if (now_us >= spot->out_us && state.reclaimable_price > 0)
        fleet_order (duties, spot,
                     spot->is_short
                         ? spot->ordered
                         : fleet_steady (duties, spot, wants[i].reclaimable));
      fleet_order (duties, fixed,
                   fleet_steady (duties, fixed, wants[i].on_demand));
    }
}

static void
fleet_tick (ca_duties_t *duties)
{
  const ca_catalog_t *catalog = duties->gateway->catalog;

  if (!duties->scales || !lease_is_valid (duties) || catalog == NULL
      || duties->gateway->now_us < duties->plan_us)
    return;
  duties->plan_us = duties->gateway->now_us + PLAN_PERIOD_US;
  for (uint32_t i = 0; i < catalog->service_count; i++)
    {
      if (catalog->services[i].scales)
        fleet_service (duties, &catalog->services[i]);
    }
}

void
ca_duties_tick (ca_duties_t *duties, uint64_t now_us)
{
  duties->gateway->now_us = now_us;
  lease_tick (duties);
  usage_tick (duties);
  fleet_tick (duties);
}
