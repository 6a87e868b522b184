/* Joins admission control to the gateway: which services it applies to, the
 * requests that it decides about, and the heartbeats that carry its inputs. */
#include "gateway/admission.h"
#include "gateway/private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Period at which the shares of workspaces are computed. */
#define GATE_SHARES_PERIOD_US (200 * CA_US_PER_MS)

#define GATE_PEERS_MAX 1024

/* Peers' levels count for so many heartbeat periods, of this many peers at
 * least. */
#define GATE_LEVEL_PERIODS 2
#define GATE_LEVEL_PEERS_MIN 3

/* Times that an endpoint is selected before a request counts as late: the
 * selection looks at a sample of many endpoints. */
#define GATE_SELECTIONS_MAX 6

typedef struct ca_admission_gate
{
  ca_admission_t admission;
  uint64_t next_shares_us;
  uint32_t workspaces[CA_ADMISSION_REPORT_MAX]; /* rows of a heartbeat */
  uint32_t work[CA_ADMISSION_REPORT_MAX];
} ca_admission_gate_t;

/* What peers say of the pressure. */
typedef struct
{
  ca_admission_peer_t *values;
  size_t count;
  uint64_t oldest_us;
} gate_peers_t;

void
ca_admission_free (ca_service_stats_t *stats)
{
  free (stats->admission);
  stats->admission = NULL;
}

/* True if the route sends requests to the service. */
static bool
gate_route_uses (const ca_route_t *route, uint32_t service)
{
  for (uint32_t i = 0; i < route->target_count; i++)
    {
      if (route->targets[i].service == service && route->targets[i].weight > 0)
        return true;
    }
  return false;
}

/* Finds the priorities of an engine's routes; none for other services. */
static void
gate_find_rule (const ca_catalog_t *catalog, const char *name,
                ca_admission_rule_t *rule)
{
  int32_t service = ca_catalog_find_service (catalog, name);

  memset (rule, 0, sizeof *rule);
  if (service < 0 || !catalog->services[service].is_engine)
    return;
  for (uint32_t i = 0; i < catalog->route_count; i++)
    {
      const ca_route_t *route = catalog->routes[i].route;

      if (gate_route_uses (route, (uint32_t)service))
        ca_admission_rule_add (rule, route->priority, route->target_ms);
    }
}

/* The service's admission control, as the configuration calls for it; NULL if
 * it does not. */
static ca_admission_gate_t *
gate_find (const ca_gateway_t *gateway, ca_service_stats_t *stats)
{
  const ca_catalog_t *catalog = gateway->catalog;
  ca_admission_rule_t rule;

  if (catalog == stats->admission_catalog
      && (catalog == NULL || catalog->version == stats->admission_version))
    return stats->admission;
  stats->admission_catalog = catalog;
  stats->admission_version = catalog == NULL ? 0 : catalog->version;
  memset (&rule, 0, sizeof rule);
  if (catalog != NULL)
    gate_find_rule (catalog, stats->name, &rule);
  if (!ca_admission_rule_applies (&rule))
    {
      ca_admission_free (stats);
      return NULL;
    }
  if (stats->admission != NULL
      && memcmp (&stats->admission->admission.rule, &rule, sizeof rule) == 0)
    return stats->admission;
  if (stats->admission == NULL)
    stats->admission = calloc (1, sizeof *stats->admission);
  ca_admission_init (&stats->admission->admission, &rule, gateway->now_us);
  return stats->admission;
}

static ca_admission_gate_t *
gate_of_exchange (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  if (!exchange->service->is_engine)
    return NULL;
  return gate_find (gateway,
                    ca_service_stats (gateway, exchange->service->name));
}

static uint32_t
gate_rank (const ca_admission_gate_t *gate, const ca_exchange_t *exchange)
{
  uint32_t priority = exchange->route->priority;

  if (exchange->workspace != NULL && exchange->workspace->has_priority)
    priority += exchange->workspace->priority;
  return ca_admission_rule_rank (&gate->admission.rule, priority);
}

bool
ca_admission_is_most_urgent (ca_gateway_t *gateway,
                             const ca_exchange_t *exchange)
{
  const ca_admission_gate_t *gate = gate_of_exchange (gateway, exchange);

  return gate != NULL && gate_rank (gate, exchange) == 0;
}

/* True if the request may be shed: nothing of it has been sent anywhere. */
static bool
gate_may_shed (const ca_exchange_t *exchange)
{
  return !exchange->admission_counted && !exchange->delegated
         && exchange->sends == 0 && exchange->runs == 0
         && exchange->prior_runs == 0 && exchange->resumes[0] == '\0'
         && !exchange->has_event && !exchange->head_sent;
}

/* Number of the request's workspace; all requests without a key share one. */
static uint32_t
gate_workspace (const ca_exchange_t *exchange)
{
  const char *name
      = exchange->workspace == NULL ? "" : exchange->workspace->name;

  return (uint32_t)XXH3_64bits (name, strlen (name));
}

static ca_admission_request_t
gate_describe (ca_gateway_t *gateway, const ca_admission_gate_t *gate,
               const ca_exchange_t *exchange, const ca_selection_t *selection)
{
  const ca_service_stats_t *stats
      = ca_service_stats (gateway, exchange->service->name);
  ca_admission_request_t request = { .rank = gate_rank (gate, exchange) };

  request.workspace = gate_workspace (exchange);
  request.tokens = exchange->prompt.tokens + exchange->prompt.output_tokens;
  request.has_endpoint = selection->endpoint != NULL;
  request.waits = !request.has_endpoint && selection->any_limited;
  request.idle = selection->endpoint_idle;
  request.read_us = (uint64_t)(selection->prefill_tokens
                               / stats->prefill_tokens_per_ms * CA_US_PER_MS);
  if (selection->predicted_us > request.read_us)
    request.queue_us = selection->predicted_us - request.read_us;
  return request;
}

/* Describes the request for the selected endpoint, or a better one if it would
 * be late there. */
static ca_admission_request_t
gate_select (ca_gateway_t *gateway, const ca_admission_gate_t *gate,
             const ca_exchange_t *exchange, ca_selection_t *selection)
{
  ca_admission_request_t request
      = gate_describe (gateway, gate, exchange, selection);

  for (uint32_t i = 1; i < GATE_SELECTIONS_MAX
                       && ca_admission_is_late (&gate->admission, &request);
       i++)
    {
      ca_selection_t other = ca_select_endpoint (gateway, exchange);

      if (other.endpoint == NULL
          || other.predicted_us >= selection->predicted_us)
        continue;
      *selection = other;
      request = gate_describe (gateway, gate, exchange, selection);
    }
  return request;
}

static void
gate_log_decision (ca_gateway_t *gateway, const ca_admission_t *admission,
                   const ca_exchange_t *exchange,
                   const ca_admission_request_t *request,
                   ca_admission_decision_t decision)
{
  static const char *const rules[]
      = { [CA_ADMISSION_SERVE] = "served",
          [CA_ADMISSION_LATE] = "most urgent, but late",
          [CA_ADMISSION_SHED_PRIORITY] = "less urgent",
          [CA_ADMISSION_SHED_SHARE] = "workspace beyond its equal share" };

  ca_gateway_log (
      gateway, CA_EVENT_REQUEST_SHED, exchange->id,
      exchange->workspace == NULL ? NULL : exchange->workspace->name,
      "%s: service %s, rank %u of %u, level %u, pressure %.2f, %u of 4 "
      "quarters of the rank shed, %s, %" PRIu64 " ms in a queue predicted",
      rules[decision], exchange->service->name, request->rank,
      admission->rule.count, admission->level, admission->pressure,
      ca_admission_quarters (admission, request->rank),
      request->has_endpoint ? "endpoint found" : "no endpoint",
      request->queue_us / CA_US_PER_MS);
}

ca_gateway_refusal_t
ca_admission_check (ca_gateway_t *gateway, ca_exchange_t *exchange,
                    ca_selection_t *selection, uint64_t *wait_us)
{
  ca_admission_gate_t *gate = gate_of_exchange (gateway, exchange);
  ca_admission_request_t request;
  ca_admission_decision_t decision;

  if (gate == NULL || !gate_may_shed (exchange))
    return CA_REFUSE_COUNT;
  request = gate_select (gateway, gate, exchange, selection);
  decision = ca_admission_decide (&gate->admission, gateway->now_us, &request);
  if (decision == CA_ADMISSION_SERVE)
    {
      exchange->admission_counted = true;
      return CA_REFUSE_COUNT;
    }
  gate_log_decision (gateway, &gate->admission, exchange, &request, decision);
  *wait_us = ca_admission_retry_after_us (&gate->admission, request.rank,
                                          exchange->route->timeout_ms,
                                          ca_gateway_random (gateway));
  if (decision == CA_ADMISSION_LATE)
    return CA_REFUSE_OVERLOADED;
  ca_counters_add (&gateway->counters,
                   decision == CA_ADMISSION_SHED_SHARE ? CA_COUNT_SHED_SHARE
                                                       : CA_COUNT_SHED_PRIORITY,
                   1);
  return CA_REFUSE_SHED;
}

void
ca_admission_note_rejection (ca_gateway_t *gateway,
                             const ca_exchange_t *exchange)
{
  ca_admission_gate_t *gate = gate_of_exchange (gateway, exchange);

  if (gate != NULL)
    ca_admission_rejected (&gate->admission, gateway->now_us);
}

void
ca_admission_note_refusal (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  ca_admission_gate_t *gate;

  if (!exchange->admission_counted || exchange->runs > 0)
    return;
  exchange->admission_counted = false;
  gate = gate_of_exchange (gateway, exchange);
  if (gate == NULL)
    return;
  ca_admission_refused (&gate->admission, gateway->now_us,
                        gate_rank (gate, exchange));
  if (exchange->sends == 0)
    ca_admission_rejected (&gate->admission, gateway->now_us);
}

static uint32_t
gate_to_uint32 (double value)
{
  return value >= UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

void
ca_admission_fill (ca_gateway_t *gateway, ca_service_stats_t *stats,
                   Camphor__ServiceWork *row)
{
  ca_admission_gate_t *gate = gate_find (gateway, stats);
  ca_admission_work_t work[CA_ADMISSION_REPORT_MAX];
  size_t count;

  if (gate == NULL)
    return;
  row->pressure_permille = (uint32_t)(gate->admission.own * 1000 + 0.5);
  row->shed_level = gate->admission.level;
  count = ca_admission_report (&gate->admission, gateway->now_us, work,
                               CA_ADMISSION_REPORT_MAX);
  for (size_t i = 0; i < count; i++)
    {
      gate->workspaces[i] = work[i].workspace;
      gate->work[i] = gate_to_uint32 (work[i].tokens_per_s);
    }
  row->workspaces = gate->workspaces;
  row->n_workspaces = count;
  row->workspace_work = gate->work;
  row->n_workspace_work = count;
}

/* The service's row in the peer's latest heartbeat, if the peer is live and
 * gets requests for the service; else NULL. */
static const Camphor__ServiceWork *
gate_peer_row (const ca_gateway_t *gateway, const ca_peer_t *peer,
               const char *service)
{
  if (peer->heartbeat == NULL || peer->received_us == 0 || peer->leaving
      || gateway->now_us - peer->received_us >= ca_peers_contact_us (gateway))
    return NULL;
  for (size_t i = 0; i < peer->heartbeat->n_work; i++)
    {
      const Camphor__ServiceWork *row = peer->heartbeat->work[i];

      if (row->requests_per_s > 0 && strcmp (row->service, service) == 0)
        return row;
    }
  return NULL;
}

/* Time since the peer sent its latest heartbeat, which may have been late. */
static uint64_t
gate_peer_age_us (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  uint64_t sent_us = ca_peers_local_time (peer, peer->stamp_us);

  return sent_us < gateway->now_us ? gateway->now_us - sent_us : 0;
}

/* Collects the pressure of the peers of this zone, or of all. */
static void
gate_collect_peers (const ca_gateway_t *gateway, const char *service,
                    bool all_zones, gate_peers_t *peers)
{
  const ca_peer_t *peer;

  peers->count = 0;
  peers->oldest_us = 0;
  for (peer = gateway->peers; peer != NULL && peers->count < GATE_PEERS_MAX;
       peer = peer->hh.next)
    {
      const Camphor__ServiceWork *row = gate_peer_row (gateway, peer, service);
      ca_admission_peer_t *value = &peers->values[peers->count];

      if (row == NULL || (!all_zones && !ca_peers_in_same_zone (gateway, peer)))
        continue;
      value->pressure = row->pressure_permille / 1000.0;
      value->age_us = gate_peer_age_us (gateway, peer);
      if (value->age_us > peers->oldest_us)
        peers->oldest_us = value->age_us;
      peers->count++;
    }
}

/* Highest level that more than half of the peers report, of all zones; 0 if
 * there are too few for one wrong report not to matter. */
static uint32_t
gate_peers_level (const ca_gateway_t *gateway, const char *service)
{
  uint32_t counts[CA_ADMISSION_RANKS_MAX + 1] = { 0 };
  uint32_t level = CA_ADMISSION_RANKS_MAX;
  uint32_t total = 0;
  uint32_t above;
  const ca_peer_t *peer;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      const Camphor__ServiceWork *row = gate_peer_row (gateway, peer, service);

      if (row == NULL
          || gate_peer_age_us (gateway, peer)
                 > GATE_LEVEL_PERIODS * gateway->heartbeat_period_us)
        continue;
      counts[row->shed_level < level ? row->shed_level : level]++;
      total++;
    }
  above = counts[level];
  while (level > 0 && above * 2 <= total)
    above += counts[--level];
  return total < GATE_LEVEL_PEERS_MIN ? 0 : level;
}

/* Computes the shares of workspaces from the work at all entries. */
static void
gate_update_shares (const ca_gateway_t *gateway, const char *service,
                    ca_admission_gate_t *gate)
{
  const ca_peer_t *peer;

  gate->next_shares_us = gateway->now_us + GATE_SHARES_PERIOD_US;
  ca_admission_begin_peers (&gate->admission);
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      const Camphor__ServiceWork *row = gate_peer_row (gateway, peer, service);

      for (size_t i = 0;
           row != NULL && i < row->n_workspaces && i < row->n_workspace_work;
           i++)
        ca_admission_add_peer (&gate->admission, row->workspaces[i],
                               row->workspace_work[i]);
    }
  ca_admission_end_peers (&gate->admission, gateway->now_us);
}

static void
gate_log_level (ca_gateway_t *gateway, const ca_service_stats_t *stats,
                const ca_admission_t *admission, uint32_t former,
                const gate_peers_t *peers)
{
  const ca_admission_rank_t *urgent = &admission->ranks[0];

  ca_gateway_log (
      gateway, CA_EVENT_SHEDDING_LEVEL, NULL, stats->name,
      "level %u after %u of %u: pressure %.2f, this entry's %.2f, latest "
      "sample %u ms ago, of %zu peers, oldest value %u ms ago; most urgent: "
      "%.0f of %.0f requests refused lately",
      admission->level, former, admission->rule.count - 1, admission->pressure,
      admission->own,
      (uint32_t)((gateway->now_us - admission->sampled_us) / CA_US_PER_MS),
      peers->count, (uint32_t)(peers->oldest_us / CA_US_PER_MS),
      urgent->refused, urgent->asked);
}

static void
gate_tick (ca_gateway_t *gateway, ca_service_stats_t *stats,
           ca_admission_gate_t *gate)
{
  static ca_admission_peer_t values[GATE_PEERS_MAX];
  ca_admission_t *admission = &gate->admission;
  gate_peers_t peers = { .values = values };
  uint32_t former = admission->level;
  double pressure;

  gate_collect_peers (gateway, stats->name, false, &peers);
  /* A zone with fewer than three entries has no median that one wrong value
   * does not move. */
  if (peers.count < 2)
    gate_collect_peers (gateway, stats->name, true, &peers);
  pressure = ca_admission_combine (admission->own, values, peers.count,
                                   gateway->heartbeat_period_us);
  if (ca_admission_tick (admission, gateway->now_us, pressure,
                         gate_peers_level (gateway, stats->name)))
    {
      gate_log_level (gateway, stats, admission, former, &peers);
      gate->next_shares_us = gateway->now_us;
    }
  if (admission->level > 0 && gateway->now_us >= gate->next_shares_us)
    gate_update_shares (gateway, stats->name, gate);
}

void
ca_admissions_tick (ca_gateway_t *gateway)
{
  ca_service_stats_t *stats;

  for (stats = gateway->services; stats != NULL; stats = stats->hh.next)
    {
      ca_admission_gate_t *gate = gate_find (gateway, stats);

      if (gate != NULL)
        gate_tick (gateway, stats, gate);
    }
}
