/* Other entries: the heartbeats sent to and received from each of them. */
#include "gateway/private.h"
#include "gateway/rollout_private.h"

#include <stdlib.h>
#include <string.h>

/* With more peers than this the heartbeat period grows in proportion, which
 * bounds the messages that one entry sends per second. */
#define HEARTBEAT_BASE_ENTRIES 30

/* Share of a period over which one round of heartbeats is sent.  A burst would
 * delay callers' responses on a slow link: 71 heartbeats of 4 KB take 0.23 s at
 * 10 Mbit/s.  A longer spread would delay the quota grants, which are renewed
 * in each round. */
#define HEARTBEAT_SPREAD 0.35

/* Interval of usage counts, the largest part of a heartbeat, with more than
 * HEARTBEAT_BASE_ENTRIES peers.  Each entry then has a small share of the
 * counts, so that its failure loses few.  The interval is shorter than the 3 s
 * between the end of a window and its report. */
#define HEARTBEAT_USAGE_US (2200 * CA_US_PER_MS)

/* Heartbeat interval towards a peer that is not live. */
#define HEARTBEAT_SILENT_PEER_US (2 * CA_US_PER_S)

/* Interval at which the entries of zones are counted. */
#define PEER_ZONE_SURVEY_US (100 * CA_US_PER_MS)

/* A peer that has sent nothing for this long is removed. */
#define PEER_RETENTION_US (40 * CA_US_PER_S)

/* Maximum number of rows of each kind in one heartbeat. */
#define HEARTBEAT_MAX_USAGE_ROWS 256
#define HEARTBEAT_MAX_LOADS 256
#define HEARTBEAT_MAX_DEMANDS 128
#define HEARTBEAT_MAX_DRAINING 128
#define HEARTBEAT_MAX_CRASH_RECORDS 64
#define HEARTBEAT_MAX_SERVICES 32
#define HEARTBEAT_MAX_LIMITS 128
#define HEARTBEAT_MAX_BRITTLE 16

/* A heartbeat under construction and the storage of its rows. */
typedef struct
{
  Camphor__Pulse heartbeat;
  Camphor__SeatLoad loads[HEARTBEAT_MAX_LOADS];
  Camphor__SeatLoad *load_rows[HEARTBEAT_MAX_LOADS];
  Camphor__WorkspaceDemand demands[HEARTBEAT_MAX_DEMANDS];
  Camphor__WorkspaceDemand *demand_rows[HEARTBEAT_MAX_DEMANDS];
  Camphor__UsageCount usage[HEARTBEAT_MAX_USAGE_ROWS];
  Camphor__UsageCount *usage_rows[HEARTBEAT_MAX_USAGE_ROWS];
  Camphor__ServiceWork work[HEARTBEAT_MAX_SERVICES];
  Camphor__ServiceWork *work_rows[HEARTBEAT_MAX_SERVICES];
  ca_crash_row_t crash_rows[HEARTBEAT_MAX_CRASH_RECORDS];
  Camphor__Strike *strike_rows[HEARTBEAT_MAX_CRASH_RECORDS];
  Camphor__EndpointLimit limits[HEARTBEAT_MAX_LIMITS];
  Camphor__EndpointLimit *limit_rows[HEARTBEAT_MAX_LIMITS];
  uint64_t draining[HEARTBEAT_MAX_DRAINING];
  uint64_t lost_services[CA_LOST_SERVICES_MAX];
  Camphor__BrittleService brittle[HEARTBEAT_MAX_BRITTLE];
  Camphor__BrittleService *brittle_rows[HEARTBEAT_MAX_BRITTLE];
  ca_version_history_message_t history;
  ca_rollout_message_t rollouts;
} peer_heartbeat_buffer_t;

ca_peer_t *
ca_peers_find (const ca_gateway_t *gateway, uint64_t id)
{
  ca_peer_t *peer = NULL;

  HASH_FIND (hh, gateway->peers, &id, sizeof id, peer);
  return peer;
}

static ca_peer_t *
peer_add (ca_gateway_t *gateway, uint64_t id, const char *name)
{
  ca_peer_t *peer = calloc (1, sizeof *peer);

  peer->id = id;
  peer->name = strdup (name);
  peer->zone = strdup ("");
  peer->discovered_us = gateway->now_us;
  TAILQ_INIT (&peer->usage);
  HASH_ADD (hh, gateway->peers, id, sizeof peer->id, peer);
  return peer;
}

static void
peer_free (ca_gateway_t *gateway, ca_peer_t *peer)
{
  ca_peer_loads_count (gateway, peer, false);
  HASH_DEL (gateway->peers, peer);
  if (peer->heartbeat != NULL)
    camphor__pulse__free_unpacked (peer->heartbeat, NULL);
  ca_usage_rows_finish (&peer->usage);
  free (peer->quota_use);
  free (peer->name);
  free (peer->zone);
  free (peer);
}

void
ca_peers_finish (ca_gateway_t *gateway)
{
  ca_peer_t *peer;
  ca_peer_t *next;

  HASH_ITER (hh, gateway->peers, peer, next)
  peer_free (gateway, peer);
}

/* True if the peer's next heartbeat is not long overdue. */
static bool
peer_is_live (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  return peer->received_us != 0
         && gateway->now_us - peer->received_us < ca_peers_contact_us (gateway);
}

/* True if the peer can read the store for others or become the leader. */
static bool
peer_is_eligible (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  return peer_is_live (gateway, peer) && peer->reads_store && !peer->leaving;
}

bool
ca_peers_in_same_zone (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  return peer_is_live (gateway, peer)
         && strcmp (peer->zone, gateway->options.zone) == 0;
}

void
ca_peers_update_clock_offset (const ca_gateway_t *gateway, ca_peer_t *peer,
                              uint64_t stamp_us)
{
  int64_t offset_us = (int64_t)gateway->now_us - (int64_t)stamp_us;

  /* The fastest message gives the closest estimate. */
  if (!peer->has_clock_offset || offset_us < peer->clock_offset_us)
    peer->clock_offset_us = offset_us;
  peer->has_clock_offset = true;
}

uint64_t
ca_peers_local_time (const ca_peer_t *peer, uint64_t stamp_us)
{
  return (uint64_t)((int64_t)stamp_us + peer->clock_offset_us);
}

void
ca_gateway_entries_listed (ca_gateway_t *gateway)
{
  gateway->entries_listed = true;
}

bool
ca_peers_have_leader (const ca_gateway_t *gateway)
{
  const ca_peer_t *peer;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer->leads && peer_is_live (gateway, peer))
        return true;
    }
  return false;
}

bool
ca_peers_all_started_after (const ca_gateway_t *gateway, uint64_t wall_us)
{
  const ca_peer_t *peer;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer_is_live (gateway, peer) && peer->incarnation <= wall_us)
        return false;
    }
  return gateway->incarnation > wall_us;
}

/* True if the peer started before this entry; equal times go by number. */
static bool
peer_is_senior (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  if (peer->incarnation != gateway->incarnation)
    return peer->incarnation < gateway->incarnation;
  return peer->id < gateway->id;
}

/* Number of live entries of a zone that can read the store. */
static uint32_t
peer_count_readers (const ca_gateway_t *gateway, const char *zone)
{
  uint32_t count
      = !gateway->store_down && strcmp (gateway->options.zone, zone) == 0;
  const ca_peer_t *peer;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    count += peer_is_eligible (gateway, peer) && strcmp (peer->zone, zone) == 0;
  return count;
}

/* Notes at intervals which zones are too small for a reader of their own. */
static void
peer_survey_zones (ca_gateway_t *gateway, uint32_t min_entries)
{
  ca_peer_t *peer;

  if (gateway->now_us < gateway->next_zone_survey_us)
    return;
  gateway->next_zone_survey_us = gateway->now_us + PEER_ZONE_SURVEY_US;
  gateway->zone_is_small
      = peer_count_readers (gateway, gateway->options.zone) < min_entries;
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    peer->zone_is_small
        = gateway->zone_is_small
          && peer_count_readers (gateway, peer->zone) < min_entries;
}

bool
ca_peers_in_reading_group (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  return gateway->zone_is_small
             ? peer_is_live (gateway, peer) && peer->zone_is_small
             : ca_peers_in_same_zone (gateway, peer);
}

void
ca_peers_count_reading_group (ca_gateway_t *gateway, uint32_t min_entries,
                              uint32_t *count, uint32_t *senior)
{
  const ca_peer_t *peer;

  peer_survey_zones (gateway, min_entries);
  *count = gateway->store_down ? 0 : 1;
  *senior = 0;
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (!peer_is_eligible (gateway, peer)
          || !ca_peers_in_reading_group (gateway, peer))
        continue;
      (*count)++;
      if (peer_is_senior (gateway, peer))
        (*senior)++;
    }
}

uint32_t
ca_peers_seniority (const ca_gateway_t *gateway)
{
  const ca_peer_t *peer;
  uint32_t rank = 0;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer_is_eligible (gateway, peer) && peer_is_senior (gateway, peer))
        rank++;
    }
  return rank;
}

const ca_peer_t *
ca_peers_validator (const ca_gateway_t *gateway, uint32_t k, bool *is_self)
{
  const ca_peer_t *best = NULL;
  uint64_t after = 0;

  /* k is small, so one pass per step is cheap. */
  for (uint32_t i = 0; i <= k; i++)
    {
      const ca_peer_t *peer;

      best = NULL;
      for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
        {
          if (peer_is_eligible (gateway, peer) && peer->id > after
              && (best == NULL || peer->id < best->id))
            best = peer;
        }
      if (!gateway->store_down && !gateway->stopping && gateway->id > after
          && (best == NULL || gateway->id < best->id))
        {
          best = NULL;
          after = gateway->id;
          *is_self = true;
          if (i == k)
            return NULL;
          continue;
        }
      *is_self = false;
      if (best == NULL)
        return NULL;
      after = best->id;
    }
  return best;
}

void
ca_peers_service_work (ca_gateway_t *gateway, const char *service,
                       ca_service_work_t *work)
{
  const ca_peer_t *peer;
  ca_service_stats_t *stats = ca_service_stats (gateway, service);

  work->busy = ca_service_busy_share (gateway, stats);
  work->held_tokens = stats->held_tokens;
  work->requests_per_s = ca_service_requests_per_s (gateway, stats);
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      for (size_t i = 0;
           peer_is_live (gateway, peer) && i < peer->heartbeat->n_work; i++)
        {
          const Camphor__ServiceWork *row = peer->heartbeat->work[i];

          if (strcmp (row->service, service) != 0)
            continue;
          work->busy += row->busy_share;
          work->held_tokens += row->held_tokens;
          work->requests_per_s += row->requests_per_s;
        }
    }
}

uint32_t
ca_peers_live_count (const ca_gateway_t *gateway)
{
  const ca_peer_t *peer;
  uint32_t count = 1;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer_is_live (gateway, peer))
        count++;
    }
  return count;
}

uint32_t
ca_peers_known_count (const ca_gateway_t *gateway)
{
  return HASH_COUNT (gateway->peers) + 1;
}

void
ca_gateway_add_peer (ca_gateway_t *gateway, const char *name,
                     const ca_address_t *address)
{
  uint64_t id = ca_gateway_id (name);
  ca_peer_t *peer = ca_peers_find (gateway, id);

  if (id == gateway->id)
    return;
  if (peer == NULL)
    peer = peer_add (gateway, id, name);
  if (peer->received_us == 0)
    peer->address = *address;
}

void
ca_peers_send (ca_gateway_t *gateway, const ca_address_t *to,
               Camphor__Envelope *envelope)
{
  envelope->version = 1;
  envelope->from = gateway->id;
  envelope->incarnation = gateway->incarnation;
  gateway->ports.send_peer (gateway->ports.context, to, envelope);
}

void
ca_peers_announce_report (ca_gateway_t *gateway, uint64_t window)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__LeaseNotice notice = CAMPHOR__LEASE_NOTICE__INIT;
  ca_peer_t *peer;

  if (window > gateway->usage_reported)
    gateway->usage_reported = window;
  notice.fence = gateway->lease_fence;
  notice.window = window;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_LEASE_NOTICE;
  envelope.lease_notice = &notice;
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer_is_live (gateway, peer))
        ca_peers_send (gateway, &peer->address, &envelope);
    }
}

/* Records what a peer knows of the lease and of reported windows. */
static void
peer_note_lease (ca_gateway_t *gateway, uint64_t fence, uint64_t window)
{
  if (fence > gateway->lease_fence)
    gateway->lease_fence = fence;
  if (window > gateway->usage_reported)
    gateway->usage_reported = window;
}

/* Fills in this entry's load at one endpoint, and its measured speed. */
static void
peer_fill_load (ca_gateway_t *gateway, const ca_gateway_endpoint_t *endpoint,
                Camphor__SeatLoad *row)
{
  ca_peer_loads_fill (endpoint, row);
  row->samples = endpoint->model.round_count;
  row->slowness_permille = (uint32_t)(endpoint->model.round_ratio * 1000 + 0.5);
  row->window = ca_endpoint_start_window (gateway, endpoint);
  ca_interference_fill (gateway, endpoint, row);
}

/* Fills in this entry's load per endpoint, and the draining endpoints. */
static void
peer_fill_loads (ca_gateway_t *gateway, peer_heartbeat_buffer_t *buffer)
{
  const ca_gateway_endpoint_t *endpoint;
  Camphor__Pulse *heartbeat = &buffer->heartbeat;

  heartbeat->loads = buffer->load_rows;
  heartbeat->left_lives = buffer->draining;
  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (endpoint->state == CA_GATEWAY_ENDPOINT_DRAINING
          && heartbeat->n_left_lives < HEARTBEAT_MAX_DRAINING)
        buffer->draining[heartbeat->n_left_lives++]
            = ca_gateway_endpoint_instance (endpoint);
      if ((endpoint->own_load.open == 0 && endpoint->model.round_count == 0)
          || heartbeat->n_loads == HEARTBEAT_MAX_LOADS)
        continue;
      peer_fill_load (gateway, endpoint, &buffer->loads[heartbeat->n_loads]);
      buffer->load_rows[heartbeat->n_loads]
          = &buffer->loads[heartbeat->n_loads];
      heartbeat->n_loads++;
    }
}

/* Fills in the demand for each quota and what was admitted under it. */
static void
peer_fill_demands (ca_gateway_t *gateway, peer_heartbeat_buffer_t *buffer)
{
  ca_quota_t *quota;
  Camphor__Pulse *heartbeat = &buffer->heartbeat;

  heartbeat->demands = buffer->demand_rows;
  for (quota = gateway->quotas;
       quota != NULL && heartbeat->n_demands < HEARTBEAT_MAX_DEMANDS;
       quota = quota->hh.next)
    {
      Camphor__WorkspaceDemand *row = &buffer->demands[heartbeat->n_demands];

      buffer->demand_rows[heartbeat->n_demands++] = row;
      camphor__workspace_demand__init (row);
      row->workspace = quota->workspace;
      row->asked_per_s = ca_quota_demand_per_s (gateway, quota);
      row->admitted = quota->admitted;
    }
}

/* Fills in this entry's usage counts. */
static void
peer_fill_usage (ca_gateway_t *gateway, peer_heartbeat_buffer_t *buffer)
{
  const ca_bounds_t *bounds = &gateway->options.bounds;
  uint64_t current = ca_usage_window (gateway, gateway->now_us);
  /* Earlier windows can no longer be reported. */
  uint64_t reportable = bounds->usage_delay_s / bounds->usage_window_s + 1;
  ca_usage_row_t *row;
  Camphor__Pulse *heartbeat = &buffer->heartbeat;

  heartbeat->usage = buffer->usage_rows;
  TAILQ_FOREACH (row, &gateway->usage, entries)
  {
    Camphor__UsageCount *count = &buffer->usage[heartbeat->n_usage];

    if (heartbeat->n_usage == HEARTBEAT_MAX_USAGE_ROWS)
      break;
    if (row->window + reportable < current)
      continue;
    buffer->usage_rows[heartbeat->n_usage++] = count;
    camphor__usage_count__init (count);
    count->window = row->window;
    count->workspace = row->workspace;
    count->count = row->count;
  }
}

/* Fills in the work that this entry's callers cause for each service. */
static void
peer_fill_work (ca_gateway_t *gateway, peer_heartbeat_buffer_t *buffer)
{
  ca_service_stats_t *stats;
  Camphor__Pulse *heartbeat = &buffer->heartbeat;

  heartbeat->work = buffer->work_rows;
  for (stats = gateway->services;
       stats != NULL && heartbeat->n_work < HEARTBEAT_MAX_SERVICES;
       stats = stats->hh.next)
    {
      Camphor__ServiceWork *row = &buffer->work[heartbeat->n_work];

      buffer->work_rows[heartbeat->n_work++] = row;
      camphor__service_work__init (row);
      row->service = stats->name;
      row->busy_share = ca_service_busy_share (gateway, stats);
      row->held_tokens = stats->held_tokens;
      row->requests_per_s = ca_service_requests_per_s (gateway, stats);
      ca_admission_fill (gateway, stats, row);
    }
}

/* Fills in the requests that were open at endpoints when these crashed. */
static void
peer_fill_crash_records (const ca_gateway_t *gateway,
                         peer_heartbeat_buffer_t *buffer)
{
  Camphor__Pulse *heartbeat = &buffer->heartbeat;

  heartbeat->strikes = buffer->strike_rows;
  heartbeat->n_strikes = ca_crash_tracker_report (gateway, buffer->crash_rows,
                                                  HEARTBEAT_MAX_CRASH_RECORDS);
  for (size_t i = 0; i < heartbeat->n_strikes; i++)
    buffer->strike_rows[i] = &buffer->crash_rows[i].row;
}

/* Fills in the limits that endpoints named to this entry. */
static void
peer_fill_limits (const ca_gateway_t *gateway, peer_heartbeat_buffer_t *buffer)
{
  Camphor__Pulse *heartbeat = &buffer->heartbeat;

  heartbeat->limits = buffer->limit_rows;
  heartbeat->n_limits = ca_endpoint_limits_report (gateway, buffer->limits,
                                                   HEARTBEAT_MAX_LIMITS);
  for (size_t i = 0; i < heartbeat->n_limits; i++)
    buffer->limit_rows[i] = &buffer->limits[i];
}

/* Fills in the services whose endpoints bear few rejections. */
static void
peer_fill_brittle (const ca_gateway_t *gateway, peer_heartbeat_buffer_t *buffer)
{
  Camphor__Pulse *heartbeat = &buffer->heartbeat;

  heartbeat->brittle = buffer->brittle_rows;
  heartbeat->n_brittle
      = ca_brittle_report (gateway, buffer->brittle, HEARTBEAT_MAX_BRITTLE);
  for (size_t i = 0; i < heartbeat->n_brittle; i++)
    buffer->brittle_rows[i] = &buffer->brittle[i];
}

/* Fills in the leader's history of versions, once all of it is recorded. */
static void
peer_fill_history (const ca_gateway_t *gateway, peer_heartbeat_buffer_t *buffer)
{
  ca_version_history_t history;

  if (!gateway->leads)
    return;
  ca_version_history_fill (gateway, &history);
  if (!history.exists || ca_version_history_lacks (gateway, &history))
    return;
  ca_version_history_to_message (gateway, &history, &buffer->history);
  buffer->heartbeat.history = &buffer->history.message;
}

/* Builds the heartbeat that is the same for all peers. */
static void
peer_build_heartbeat (ca_gateway_t *gateway, uint64_t wall_us,
                      peer_heartbeat_buffer_t *buffer)
{
  Camphor__Pulse *heartbeat = &buffer->heartbeat;

  camphor__pulse__init (heartbeat);
  heartbeat->name = gateway->options.name;
  heartbeat->zone = gateway->options.zone;
  heartbeat->ip = gateway->options.peers.ip;
  heartbeat->port = gateway->options.peers.port;
  heartbeat->stamp_us = gateway->now_us;
  heartbeat->wall_ms = wall_us / CA_US_PER_MS;
  heartbeat->leaving = gateway->stopping;
  heartbeat->reads_store = !gateway->store_down;
  heartbeat->leads = gateway->leads;
  heartbeat->store_era = gateway->store_era;
  heartbeat->lease_fence = gateway->lease_fence;
  heartbeat->usage_reported = gateway->usage_reported;
  heartbeat->reports_known = gateway->reports_known;
  heartbeat->delegate_port = gateway->options.delegate_port;
  heartbeat->grants_slots = true;
  heartbeat->lends_quota = true;
  heartbeat->stores_streams = gateway->ports.write_streams != NULL;
  heartbeat->lost_services = buffer->lost_services;
  heartbeat->n_lost_services
      = ca_reach_report (gateway, buffer->lost_services, CA_LOST_SERVICES_MAX);
  if (gateway->catalog != NULL && gateway->config_freshness.known)
    {
      heartbeat->config_known = true;
      heartbeat->config_version = gateway->catalog->version;
      heartbeat->config_age_us
          = ca_freshness_age_us (&gateway->config_freshness, gateway->now_us);
    }
  peer_fill_loads (gateway, buffer);
  peer_fill_demands (gateway, buffer);
  peer_fill_usage (gateway, buffer);
  peer_fill_work (gateway, buffer);
  peer_fill_crash_records (gateway, buffer);
  peer_fill_limits (gateway, buffer);
  peer_fill_brittle (gateway, buffer);
  peer_fill_history (gateway, buffer);
  ca_rollout_fill (gateway, &buffer->rollouts, heartbeat);
}

/* True if the peer is still to be sent a heartbeat in this round. */
static bool
peer_is_due (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  if (peer_is_live (gateway, peer))
    return peer->heartbeat_sent_us < gateway->round_started_us;
  return gateway->now_us - peer->heartbeat_sent_us >= HEARTBEAT_SILENT_PEER_US;
}

/* Sends one peer the heartbeat, with the echo of that peer's stamp. */
static void
peer_send_heartbeat (ca_gateway_t *gateway, ca_peer_t *peer,
                     peer_heartbeat_buffer_t *buffer)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__Pulse heartbeat = buffer->heartbeat;
  uint64_t rounds = HEARTBEAT_USAGE_US / gateway->heartbeat_period_us;

  heartbeat.echo_us = peer->stamp_us;
  /* In each round some of the peers receive the usage counts. */
  heartbeat.omits_usage = HASH_COUNT (gateway->peers) > HEARTBEAT_BASE_ENTRIES
                          && rounds > 1 && !gateway->heartbeat_all_due
                          && (gateway->rounds + peer->id) % rounds != 0;
  if (heartbeat.omits_usage)
    heartbeat.n_usage = 0;
  peer->heartbeat_sent_us = gateway->now_us;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_PULSE;
  envelope.pulse = &heartbeat;
  ca_peers_send (gateway, &peer->address, &envelope);
}

/* Sends the heartbeats that are due: a few per tick, or all of them as a
 * planned stop begins. */
static void
peer_send_due_heartbeats (ca_gateway_t *gateway, uint64_t wall_us)
{
  static peer_heartbeat_buffer_t buffer; /* large; rebuilt on each use */
  uint64_t budget
      = (uint64_t)(HASH_COUNT (gateway->peers) * (double)CA_GATEWAY_TICK_US
                   / (gateway->heartbeat_period_us * HEARTBEAT_SPREAD))
        + 1;
  bool built = false;
  ca_peer_t *peer;

  if (gateway->heartbeat_all_due)
    budget = UINT64_MAX;
  for (peer = gateway->peers; peer != NULL && budget > 0; peer = peer->hh.next)
    {
      if (!gateway->heartbeat_all_due && !peer_is_due (gateway, peer))
        continue;
      if (!built)
        {
          peer_build_heartbeat (gateway, wall_us, &buffer);
          built = true;
        }
      peer_send_heartbeat (gateway, peer, &buffer);
      budget--;
    }
  gateway->heartbeat_all_due = false;
}

static int
peer_compare_offsets (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return left < right ? -1 : left > right;
}

/* Sets the agreed wall clock offset to the median of the live entries': the
 * clock of a single machine may jump. */
static void
peer_agree_wall_offset (ca_gateway_t *gateway)
{
  int64_t offsets[HEARTBEAT_MAX_LOADS];
  size_t count = 0;
  const ca_peer_t *peer;

  offsets[count++] = gateway->own_wall_offset_us;
  for (peer = gateway->peers; peer != NULL && count < HEARTBEAT_MAX_LOADS;
       peer = peer->hh.next)
    {
      if (peer_is_live (gateway, peer))
        offsets[count++] = peer->wall_offset_us;
    }
  if (count < 3)
    {
      /* Too few to outvote a clock that jumped: keep the agreed offset. */
      if (!gateway->wall_agreed)
        gateway->wall_offset_us = gateway->own_wall_offset_us;
      return;
    }
  qsort (offsets, count, sizeof offsets[0], peer_compare_offsets);
  gateway->wall_offset_us = offsets[count / 2];
  gateway->wall_agreed = true;
}

void
ca_peers_tick (ca_gateway_t *gateway, uint64_t wall_us)
{
  ca_peer_t *peer;
  ca_peer_t *next;
  uint32_t entries = HASH_COUNT (gateway->peers);

  gateway->own_wall_offset_us = (int64_t)wall_us - (int64_t)gateway->now_us;
  gateway->heartbeat_period_us
      = CA_HEARTBEAT_PERIOD_US
        * (entries > HEARTBEAT_BASE_ENTRIES ? entries : HEARTBEAT_BASE_ENTRIES)
        / HEARTBEAT_BASE_ENTRIES;
  if (gateway->now_us
      < gateway->round_started_us + gateway->heartbeat_period_us)
    {
      peer_send_due_heartbeats (gateway, wall_us);
      return;
    }
  gateway->round_started_us = gateway->now_us;
  gateway->rounds++;
  ca_endpoint_speed_begin_round (gateway);
  ca_endpoint_start_begin_round (gateway);
  HASH_ITER (hh, gateway->peers, peer, next)
  {
    uint64_t since_us
        = peer->received_us > 0 ? peer->received_us : peer->discovered_us;

    if (!peer_is_live (gateway, peer))
      ca_peer_loads_count (gateway, peer, false);
    if (gateway->now_us - since_us > PEER_RETENTION_US)
      peer_free (gateway, peer);
  }
  /* No entry can lead unheard while all are in contact. */
  if (ca_peers_live_count (gateway) == ca_peers_known_count (gateway))
    gateway->leader_heard_us = gateway->now_us;
  peer_agree_wall_offset (gateway);
  peer_send_due_heartbeats (gateway, wall_us);
}

/* Keeps the usage counts of a peer's former incarnation. */
static void
peer_keep_former_usage (ca_peer_t *peer)
{
  for (size_t i = 0; peer->heartbeat != NULL && i < peer->heartbeat->n_usage;
       i++)
    ca_usage_add (&peer->usage, peer->heartbeat->usage[i]->window,
                  peer->heartbeat->usage[i]->workspace,
                  peer->heartbeat->usage[i]->count);
}

/* Moves the usage counts of the previous heartbeat into one that omits them. */
static void
peer_carry_over_usage (ca_peer_t *peer, Camphor__Pulse *heartbeat)
{
  Camphor__Pulse *previous = peer->heartbeat;

  if (previous == NULL || heartbeat->n_usage > 0)
    return;
  heartbeat->usage = previous->usage;
  heartbeat->n_usage = previous->n_usage;
  previous->usage = NULL;
  previous->n_usage = 0;
}

/* Marks as draining the endpoints that the peer reports as draining. */
static void
peer_apply_draining (ca_gateway_t *gateway, const Camphor__Pulse *heartbeat)
{
  ca_gateway_endpoint_t *endpoint;

  for (size_t i = 0; i < heartbeat->n_left_lives; i++)
    {
      for (endpoint = gateway->registry.endpoints; endpoint != NULL;
           endpoint = endpoint->hh.next)
        {
          if (endpoint->state != CA_GATEWAY_ENDPOINT_READY
              || ca_gateway_endpoint_instance (endpoint)
                     != heartbeat->left_lives[i])
            continue;
          endpoint->state = CA_GATEWAY_ENDPOINT_DRAINING;
          ca_gateway_log (gateway, CA_EVENT_ENDPOINT_LEAVING, NULL,
                          endpoint->id, "reported by entry %s",
                          heartbeat->name);
        }
    }
}

/* Records which services' endpoints a peer does not reach. */
static void
peer_apply_lost_services (ca_peer_t *peer, const uint64_t *services,
                          size_t count)
{
  peer->lost_count
      = count < CA_LOST_SERVICES_MAX ? count : CA_LOST_SERVICES_MAX;
  if (count > 0)
    memcpy (peer->lost_services, services,
            peer->lost_count * sizeof services[0]);
}

static void
peer_receive_reach_notice (ca_gateway_t *gateway,
                           const Camphor__Envelope *envelope)
{
  ca_peer_t *peer = ca_peers_find (gateway, envelope->from);

  if (peer != NULL)
    peer_apply_lost_services (peer, envelope->reach_notice->lost_services,
                              envelope->reach_notice->n_lost_services);
}

/* Applies a heartbeat and takes ownership of it. */
static void
peer_receive_heartbeat (ca_gateway_t *gateway,
                        const Camphor__Envelope *envelope,
                        Camphor__Pulse *heartbeat)
{
  ca_peer_t *peer = ca_peers_find (gateway, envelope->from);

  if (peer == NULL)
    peer = peer_add (gateway, envelope->from, heartbeat->name);
  if (peer->received_us == 0)
    ca_gateway_log (gateway, CA_EVENT_MEMBER_JOINED, NULL, heartbeat->name,
                    "zone %s", heartbeat->zone);
  if (!peer_is_live (gateway, peer)
      || peer->incarnation != envelope->incarnation)
    ca_crash_tracker_report_again (gateway);
  ca_crash_tracker_merge (gateway, envelope->from, heartbeat);
  ca_peer_loads_count (gateway, peer, false);
  ca_quota_take_heartbeat (gateway, peer, heartbeat, envelope->incarnation);
  if (heartbeat->omits_usage && peer->incarnation == envelope->incarnation)
    peer_carry_over_usage (peer, heartbeat);
  if (peer->incarnation != envelope->incarnation)
    {
      peer_keep_former_usage (peer);
      peer->has_clock_offset = false;
    }
  ca_peers_update_clock_offset (gateway, peer, heartbeat->stamp_us);
  ca_endpoint_limits_merge (gateway, peer, heartbeat);
  ca_brittle_merge (gateway, peer, heartbeat);
  ca_rollout_merge (gateway, peer->id, envelope->incarnation, heartbeat);
  if (peer->heartbeat != NULL)
    camphor__pulse__free_unpacked (peer->heartbeat, NULL);
  peer->heartbeat = heartbeat;
  peer->incarnation = envelope->incarnation;
  if (strcmp (peer->zone, heartbeat->zone) != 0)
    {
      free (peer->zone);
      peer->zone = strdup (heartbeat->zone);
    }
  peer->address.ip = heartbeat->ip;
  peer->address.port = (uint16_t)heartbeat->port;
  peer->received_us = gateway->now_us;
  peer->stamp_us = heartbeat->stamp_us;
  peer->leaving = heartbeat->leaving;
  peer->reads_store = heartbeat->reads_store;
  peer->leads = heartbeat->leads;
  peer->delegate_port = (uint16_t)heartbeat->delegate_port;
  peer->grants_slots = heartbeat->grants_slots;
  peer->stores_streams = heartbeat->stores_streams;
  peer_apply_lost_services (peer, heartbeat->lost_services,
                            heartbeat->n_lost_services);
  peer->wall_offset_us
      = (int64_t)(heartbeat->wall_ms * CA_US_PER_MS) - (int64_t)gateway->now_us;
  ca_peer_loads_count (gateway, peer, true);
  ca_endpoint_speed_merge (gateway, heartbeat);
  ca_endpoint_start_merge (gateway, heartbeat);
  ca_slot_permits_merge (gateway, peer);
  peer_apply_draining (gateway, heartbeat);
  ca_state_sync_peer_era (gateway, heartbeat->store_era);
  peer_note_lease (gateway, heartbeat->lease_fence, heartbeat->usage_reported);
  if (heartbeat->history != NULL)
    ca_version_history_receive (gateway, heartbeat->history);
  if (peer->leads)
    ca_gateway_hear_leader (gateway);
  else if (heartbeat->reports_known
           && heartbeat->store_era == gateway->store_era)
    gateway->reports_known = true;
  if (heartbeat->config_known)
    ca_state_sync_name_version (gateway, heartbeat->config_version);
  if (heartbeat->config_known && gateway->catalog != NULL
      && heartbeat->echo_us > 0 && heartbeat->echo_us <= gateway->now_us
      && heartbeat->config_version == gateway->catalog->version)
    ca_freshness_from_peer (&gateway->config_freshness, heartbeat->echo_us,
                            heartbeat->config_age_us);
}

void
ca_gateway_envelope (ca_gateway_t *gateway, uint64_t now_us,
                     Camphor__Envelope *envelope)
{
  Camphor__Pulse *heartbeat;

  gateway->now_us = now_us;
  if (envelope->from == gateway->id)
    return;
  switch (envelope->body_case)
    {
    case CAMPHOR__ENVELOPE__BODY_PULSE:
      heartbeat = envelope->pulse;
      envelope->pulse = NULL;
      envelope->body_case = CAMPHOR__ENVELOPE__BODY__NOT_SET;
      peer_receive_heartbeat (gateway, envelope, heartbeat);
      return;
    case CAMPHOR__ENVELOPE__BODY_PROOF_WANT:
      ca_state_sync_answer_validation (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_PROOF:
      ca_state_sync_apply_validation (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_TABLE_WORD:
      ca_relay_receive (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_LEASE_NOTICE:
      peer_note_lease (gateway, envelope->lease_notice->fence,
                       envelope->lease_notice->window);
      return;
    case CAMPHOR__ENVELOPE__BODY_PERMIT_WANT:
      ca_endpoint_limit_answer_request (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_PERMIT:
      ca_endpoint_limit_apply_permit (gateway, envelope->permit);
      return;
    case CAMPHOR__ENVELOPE__BODY_SLOT_REPORT:
      ca_slot_permits_receive_report (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_SLOT_PERMIT:
      ca_slot_permits_apply_permit (gateway, envelope->slot_permit);
      return;
    case CAMPHOR__ENVELOPE__BODY_QUOTA_WANT:
      ca_quota_loan_answer (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_QUOTA_LOAN:
      ca_quota_loan_receive (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_LOAD_NOTICE:
      ca_peer_loads_receive (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_REACH_NOTICE:
      peer_receive_reach_notice (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_STREAM_VERSIONS:
      ca_stream_versions_apply (gateway, envelope->stream_versions);
      return;
    case CAMPHOR__ENVELOPE__BODY_STREAM_WANT:
      ca_stream_versions_answer (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_CATALOG_WANT:
      ca_config_transfer_answer (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_CATALOG_TEXT:
      ca_config_transfer_receive (gateway, envelope);
      return;
    default:
      return;
    }
}
