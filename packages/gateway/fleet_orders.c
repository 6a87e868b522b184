/* Orders that bring services to the size of the fleet's plan. */
#include "gateway/duties_private.h"
#include "gateway/fleet_plan.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

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

/* A zone in which an endpoint could not be reached gives none back for this
 * long: what was on the way when it was cut off may come through for some
 * seconds after, and must not meet endpoints that are leaving. */
#define ZONE_HOLD_US (8 * CA_US_PER_S)

/* What a wave of reclaims leaves behind, lines and cold caches, looks like more
 * demand: while it is under way the need is at most this much above that of
 * calm times, smoothed so at each look. */
#define WAVE_GROWTH 1.3
#define CALM_SMOOTHING 0.3

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
fleet_order (ca_duties_t *duties, ca_order_row_t *row, uint32_t count,
             const ca_fleet_state_t *state, const ca_fleet_zone_t *zone)
{
  uint64_t now_us = duties->gateway->now_us;
  ca_scale_order_t order
      = { row->service, row->zone, row->reclaimable, count, duties->fence };

  if (row->busy || !ca_lease_is_valid (duties))
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
  ca_gateway_log (duties->gateway, CA_EVENT_FLEET_START, NULL, row->service,
                  "%u %s in %s under lease %" PRIu64
                  ", %u before; need %u: %.1f busy, %.0f open, %.0f tokens "
                  "held; there in the zone %u reclaimable%s and %u on demand",
                  count, row->reclaimable ? "reclaimable" : "on demand",
                  row->zone, duties->fence, row->before, ca_fleet_need (state),
                  state->busy, state->open, state->held_tokens,
                  zone->reclaimable, zone->reclaimable_out ? " (out)" : "",
                  zone->on_demand);
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
  ca_gateway_log (duties->gateway, CA_EVENT_FLEET_REFUSED, NULL, order->service,
                  "%u %s in %s", order->count,
                  order->reclaimable ? "reclaimable" : "on demand",
                  order->zone);
  if (status == CA_CALL_CONFLICT && order->fence == duties->fence)
    row->out_us = now_us + ORDER_OUT_US;
}

static bool
fleet_was_cut (const ca_duties_t *duties, const ca_order_row_t *row)
{
  uint64_t now_us = duties->gateway->now_us;
  const ca_gateway_endpoint_t *endpoint;

  for (endpoint = duties->gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (endpoint->connect_failed_us != 0
          && now_us - endpoint->connect_failed_us < ZONE_HOLD_US
          && strcmp (endpoint->service, row->service) == 0
          && strcmp (endpoint->zone, row->zone) == 0)
        return true;
    }
  return false;
}

/* Less only after less has done for a while; more at once. */
static uint32_t
fleet_steady (ca_duties_t *duties, ca_order_row_t *row, uint32_t want)
{
  uint64_t now_us = duties->gateway->now_us;

  if (row->sent && want < row->ordered && fleet_was_cut (duties, row))
    return row->ordered;
  if (!row->sent || want >= row->ordered)
    {
      row->surplus_us = 0;
      return want;
    }
  if (row->surplus_us == 0)
    row->surplus_us = now_us;
  return now_us - row->surplus_us < SURPLUS_US ? row->ordered : want;
}

/* Of those that are there, the ones that are not already given back. */
static uint32_t
fleet_kept (const ca_order_row_t *row, uint32_t there)
{
  return row->sent && row->ordered < there ? row->ordered : there;
}

/* On-demand endpoints are given back only when what then runs carries the need:
 * those ordered in their place take seconds to start. */
static uint32_t
fleet_replaced (const ca_order_row_t *row, uint32_t want, uint32_t there,
                uint32_t need, uint32_t *running)
{
  uint32_t kept = fleet_kept (row, there);
  uint32_t fewer = kept > want ? kept - want : 0;

  if (!row->sent || want >= row->ordered)
    return want;
  if (*running < need + fewer)
    return want > kept ? want : kept;
  *running -= fewer;
  return want;
}

static void
fleet_count (const ca_duties_t *duties, const ca_service_t *service,
             const char *zone, ca_fleet_zone_t *counts, double *open)
{
  const ca_gateway_endpoint_t *endpoint;
  uint32_t there;

  for (endpoint = duties->gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (!ca_gateway_endpoint_is_open (endpoint)
          || strcmp (endpoint->service, service->name) != 0
          || strcmp (endpoint->zone, zone) != 0)
        continue;
      /* Those in line are there since there are too few now, not by their
       * number. */
      there = endpoint->own.open + endpoint->peers.open;
      *open += service->slots > 0 && there > service->slots ? service->slots
                                                            : there;
      if (endpoint->reclaimable)
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

/* The need, as far as it is not the work of a wave. */
static uint32_t
fleet_calm (ca_service_stats_t *stats, const ca_fleet_state_t *state)
{
  uint32_t need = ca_fleet_need (state);
  double most;

  if (!ca_fleet_is_wave (state))
    {
      stats->baseline_need += (need - stats->baseline_need)
                              * (stats->baseline_need > 0 ? CALM_SMOOTHING : 1);
      return need;
    }
  most = stats->baseline_need * WAVE_GROWTH;
  return most > 0 && need > most ? (uint32_t)most + 1 : need;
}

static void
fleet_service (ca_duties_t *duties, const ca_service_t *service)
{
  ca_fleet_state_t state;
  ca_fleet_want_t wants[CA_FLEET_ZONES];
  ca_service_work_t work;
  uint32_t need;
  uint32_t running = 0;
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
      fleet_count (duties, service, service->prices[i].zone, zone, &state.open);
      running += zone->reclaimable
                 + fleet_kept (fleet_row (duties, service->name,
                                          service->prices[i].zone, false),
                               zone->on_demand);
      fleet_look (duties, service, row, zone);
    }
  if (state.zone_count == 0)
    return;
  fleet_adopt (duties, service, &state);
  need = fleet_calm (ca_service_stats (duties->gateway, service->name), &state);
  ca_fleet_plan (&state, need, wants);
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
                         : fleet_steady (duties, spot, wants[i].reclaimable),
                     &state, &state.zones[i]);
      fleet_order (duties, fixed,
                   fleet_replaced (
                       fixed, fleet_steady (duties, fixed, wants[i].on_demand),
                       state.zones[i].on_demand, need, &running),
                   &state, &state.zones[i]);
    }
}

void
ca_fleet_orders_tick (ca_duties_t *duties)
{
  const ca_catalog_t *catalog = duties->gateway->catalog;

  if (!duties->scales || !ca_lease_is_valid (duties) || catalog == NULL
      || duties->gateway->now_us < duties->plan_us)
    return;
  duties->plan_us = duties->gateway->now_us + PLAN_PERIOD_US;
  for (uint32_t i = 0; i < catalog->service_count; i++)
    {
      if (catalog->services[i].scales)
        fleet_service (duties, &catalog->services[i]);
    }
}
