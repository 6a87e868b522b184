/* The other entries: pulses to and from each, and what follows from them. */
#include "gateway/private.h"

#include <stdlib.h>
#include <string.h>

/* From this number of other entries on the period of pulses grows with it, so
 * that one entry's messages a second stay bounded. */
#define PULSE_ENTRIES 30

/* The part of a period over which one round of pulses is sent: in a burst they
 * would hold up callers' answers on a slow link (71 pulses of 4 KB take 0.23 s
 * at 10 Mbit/s).  Not more, since quotas are granted anew at each round. */
#define PULSE_SPREAD 0.35

/* Counts of usage are most of a pulse.  Of many entries each has a small part,
 * so that one's death loses little: they are told this often, in time for the
 * report that follows a window's end by 3 s. */
#define PULSE_USAGE_US (2200 * CA_US_PER_MS)

/* An entry that is not heard is sent a pulse this often. */
#define PULSE_SILENT_US (2 * CA_US_PER_S)

/* What is known of an entry that is not heard is kept for this long. */
#define SIBLING_KEPT_US (40 * CA_US_PER_S)

/* Windows of usage told in each pulse. */
#define PULSE_USAGE_ROWS 256
#define PULSE_LOADS 256
#define PULSE_DEMANDS 128
#define PULSE_LEFT 128
#define PULSE_STRIKES 64
#define PULSE_SERVICES 32

/* Rows of a pulse that is being built. */
typedef struct
{
  Camphor__Pulse pulse;
  Camphor__SeatLoad loads[PULSE_LOADS];
  Camphor__SeatLoad *load_rows[PULSE_LOADS];
  Camphor__WorkspaceDemand demands[PULSE_DEMANDS];
  Camphor__WorkspaceDemand *demand_rows[PULSE_DEMANDS];
  Camphor__UsageCount usage[PULSE_USAGE_ROWS];
  Camphor__UsageCount *usage_rows[PULSE_USAGE_ROWS];
  Camphor__ServiceWork work[PULSE_SERVICES];
  Camphor__ServiceWork *work_rows[PULSE_SERVICES];
  Camphor__Strike strikes[PULSE_STRIKES];
  Camphor__Strike *strike_rows[PULSE_STRIKES];
  uint64_t left[PULSE_LEFT];
} sibling_draft_t;

/* --- Rows --- */

ca_sibling_t *
ca_sibling_find (const ca_gateway_t *gateway, uint64_t id)
{
  ca_sibling_t *sibling = NULL;

  HASH_FIND (hh, gateway->siblings, &id, sizeof id, sibling);
  return sibling;
}

static ca_sibling_t *
sibling_add (ca_gateway_t *gateway, uint64_t id, const char *name)
{
  ca_sibling_t *sibling = calloc (1, sizeof *sibling);

  sibling->id = id;
  sibling->name = strdup (name);
  sibling->zone = strdup ("");
  sibling->met_us = gateway->now_us;
  TAILQ_INIT (&sibling->usage);
  HASH_ADD (hh, gateway->siblings, id, sizeof sibling->id, sibling);
  return sibling;
}

/* Adds what the peer has open to its endpoints, or takes it off again. */
static void
sibling_count_loads (ca_gateway_t *gateway, ca_sibling_t *sibling, bool add)
{
  const Camphor__Pulse *pulse = sibling->pulse;

  if (pulse == NULL || sibling->loads_counted == add)
    return;
  sibling->loads_counted = add;
  for (size_t i = 0; i < pulse->n_loads; i++)
    {
      const Camphor__SeatLoad *load = pulse->loads[i];
      ca_gateway_endpoint_t *endpoint
          = ca_registry_find (&gateway->registry, load->seat);
      ca_gateway_endpoint_load_t *sum;

      if (endpoint == NULL)
        continue;
      sum = &endpoint->peers;
      if (add)
        {
          sum->open += load->open;
          sum->unread_tokens += load->unread_tokens;
          sum->held_tokens += load->held_tokens;
          continue;
        }
      /* The endpoint may have begun a new life since. */
      sum->open -= sum->open < load->open ? sum->open : load->open;
      sum->unread_tokens -= sum->unread_tokens < load->unread_tokens
                                ? sum->unread_tokens
                                : load->unread_tokens;
      sum->held_tokens -= sum->held_tokens < load->held_tokens
                              ? sum->held_tokens
                              : load->held_tokens;
    }
}

static void
sibling_free (ca_gateway_t *gateway, ca_sibling_t *sibling)
{
  sibling_count_loads (gateway, sibling, false);
  HASH_DEL (gateway->siblings, sibling);
  if (sibling->pulse != NULL)
    camphor__pulse__free_unpacked (sibling->pulse, NULL);
  ca_usage_rows_finish (&sibling->usage);
  free (sibling->name);
  free (sibling->zone);
  free (sibling);
}

void
ca_siblings_finish (ca_gateway_t *gateway)
{
  ca_sibling_t *sibling;
  ca_sibling_t *next;

  HASH_ITER (hh, gateway->siblings, sibling, next)
  sibling_free (gateway, sibling);
}

static bool
sibling_is_live (const ca_gateway_t *gateway, const ca_sibling_t *sibling)
{
  return sibling->heard_us != 0
         && gateway->now_us - sibling->heard_us < CA_SIBLING_LIVE_US;
}

/* True if it can read the store for others, or act for all. */
static bool
sibling_is_able (const ca_gateway_t *gateway, const ca_sibling_t *sibling)
{
  return sibling_is_live (gateway, sibling) && sibling->reads_store
         && !sibling->leaving;
}

bool
ca_sibling_is_near (const ca_gateway_t *gateway, const ca_sibling_t *sibling)
{
  return sibling_is_live (gateway, sibling)
         && strcmp (sibling->zone, gateway->options.zone) == 0;
}

void
ca_sibling_stamp (const ca_gateway_t *gateway, ca_sibling_t *sibling,
                  uint64_t stamp_us)
{
  int64_t offset_us = (int64_t)gateway->now_us - (int64_t)stamp_us;

  /* The quickest message tells it best. */
  if (!sibling->has_stamp_offset || offset_us < sibling->stamp_offset_us)
    sibling->stamp_offset_us = offset_us;
  sibling->has_stamp_offset = true;
}

bool
ca_siblings_have_leader (const ca_gateway_t *gateway)
{
  const ca_sibling_t *sibling;

  for (sibling = gateway->siblings; sibling != NULL; sibling = sibling->hh.next)
    {
      if (sibling->leads && sibling_is_live (gateway, sibling))
        return true;
    }
  return false;
}

bool
ca_siblings_all_began_after (const ca_gateway_t *gateway, uint64_t wall_us)
{
  const ca_sibling_t *sibling;

  for (sibling = gateway->siblings; sibling != NULL; sibling = sibling->hh.next)
    {
      if (sibling_is_live (gateway, sibling) && sibling->incarnation <= wall_us)
        return false;
    }
  return gateway->incarnation > wall_us;
}

static bool
sibling_is_older (const ca_gateway_t *gateway, const ca_sibling_t *sibling)
{
  if (sibling->incarnation != gateway->incarnation)
    return sibling->incarnation < gateway->incarnation;
  return sibling->id < gateway->id;
}

void
ca_siblings_near (const ca_gateway_t *gateway, uint32_t *near, uint32_t *before)
{
  const ca_sibling_t *sibling;

  *near = gateway->store_down ? 0 : 1;
  *before = 0;
  for (sibling = gateway->siblings; sibling != NULL; sibling = sibling->hh.next)
    {
      if (!sibling_is_able (gateway, sibling)
          || !ca_sibling_is_near (gateway, sibling))
        continue;
      (*near)++;
      if (sibling_is_older (gateway, sibling))
        (*before)++;
    }
}

uint32_t
ca_siblings_rank (const ca_gateway_t *gateway)
{
  const ca_sibling_t *sibling;
  uint32_t rank = 0;

  for (sibling = gateway->siblings; sibling != NULL; sibling = sibling->hh.next)
    {
      if (sibling_is_able (gateway, sibling)
          && sibling_is_older (gateway, sibling))
        rank++;
    }
  return rank;
}

const ca_sibling_t *
ca_siblings_prover (const ca_gateway_t *gateway, uint32_t k, bool *is_self)
{
  const ca_sibling_t *best = NULL;
  uint64_t after = 0;

  /* Few are asked for: one pass for each is cheap. */
  for (uint32_t i = 0; i <= k; i++)
    {
      const ca_sibling_t *sibling;

      best = NULL;
      for (sibling = gateway->siblings; sibling != NULL;
           sibling = sibling->hh.next)
        {
          if (sibling_is_able (gateway, sibling) && sibling->id > after
              && (best == NULL || sibling->id < best->id))
            best = sibling;
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
ca_siblings_work (ca_gateway_t *gateway, const char *service,
                  ca_service_work_t *work)
{
  const ca_sibling_t *sibling;
  ca_service_stats_t *stats = ca_service_stats (gateway, service);

  work->busy = ca_service_busy_share (gateway, stats);
  work->held_tokens = stats->held_tokens;
  work->requests_per_s = ca_service_requests_per_s (gateway, stats);
  for (sibling = gateway->siblings; sibling != NULL; sibling = sibling->hh.next)
    {
      for (size_t i = 0;
           sibling_is_live (gateway, sibling) && i < sibling->pulse->n_work;
           i++)
        {
          const Camphor__ServiceWork *row = sibling->pulse->work[i];

          if (strcmp (row->service, service) != 0)
            continue;
          work->busy += row->busy_share;
          work->held_tokens += row->held_tokens;
          work->requests_per_s += row->requests_per_s;
        }
    }
}

uint32_t
ca_siblings_live (const ca_gateway_t *gateway)
{
  const ca_sibling_t *sibling;
  uint32_t count = 1;

  for (sibling = gateway->siblings; sibling != NULL; sibling = sibling->hh.next)
    {
      if (sibling_is_live (gateway, sibling))
        count++;
    }
  return count;
}

void
ca_gateway_sibling (ca_gateway_t *gateway, const char *name,
                    const ca_address_t *address)
{
  uint64_t id = ca_gateway_id (name);
  ca_sibling_t *sibling = ca_sibling_find (gateway, id);

  if (id == gateway->id)
    return;
  if (sibling == NULL)
    sibling = sibling_add (gateway, id, name);
  if (sibling->heard_us == 0)
    sibling->address = *address;
}

/* --- Sending --- */

void
ca_sibling_send (ca_gateway_t *gateway, const ca_address_t *to,
                 Camphor__Envelope *envelope)
{
  envelope->version = 1;
  envelope->from = gateway->id;
  envelope->incarnation = gateway->incarnation;
  gateway->ports.send_peer (gateway->ports.context, to, envelope);
}

/* --- Pulses --- */

static void
sibling_draft_loads (const ca_gateway_t *gateway, sibling_draft_t *draft)
{
  const ca_gateway_endpoint_t *endpoint;
  Camphor__Pulse *pulse = &draft->pulse;

  pulse->loads = draft->load_rows;
  pulse->left_lives = draft->left;
  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (endpoint->state == CA_GATEWAY_ENDPOINT_DRAINING
          && pulse->n_left_lives < PULSE_LEFT)
        draft->left[pulse->n_left_lives++]
            = endpoint->hash ^ endpoint->started_ms;
      if (endpoint->own.open == 0 || pulse->n_loads == PULSE_LOADS)
        continue;
      draft->load_rows[pulse->n_loads] = &draft->loads[pulse->n_loads];
      camphor__seat_load__init (&draft->loads[pulse->n_loads]);
      draft->loads[pulse->n_loads].seat = endpoint->id;
      draft->loads[pulse->n_loads].open = endpoint->own.open;
      draft->loads[pulse->n_loads].unread_tokens = endpoint->own.unread_tokens;
      draft->loads[pulse->n_loads].held_tokens = endpoint->own.held_tokens;
      pulse->n_loads++;
    }
}

static void
sibling_draft_demands (ca_gateway_t *gateway, sibling_draft_t *draft)
{
  ca_quota_t *quota;
  Camphor__Pulse *pulse = &draft->pulse;

  pulse->demands = draft->demand_rows;
  for (quota = gateway->quotas;
       quota != NULL && pulse->n_demands < PULSE_DEMANDS;
       quota = quota->hh.next)
    {
      Camphor__WorkspaceDemand *row = &draft->demands[pulse->n_demands];

      draft->demand_rows[pulse->n_demands++] = row;
      camphor__workspace_demand__init (row);
      row->workspace = quota->workspace;
      row->asked_per_s = ca_window_sum (&quota->requested, gateway->now_us)
                         / CA_DEMAND_SPAN_S;
      row->admitted = quota->admitted;
    }
}

static void
sibling_draft_usage (ca_gateway_t *gateway, sibling_draft_t *draft)
{
  const ca_bounds_t *bounds = &gateway->options.bounds;
  uint64_t now = ca_usage_window (gateway, gateway->now_us);
  /* Windows that may still be reported. */
  uint64_t before = bounds->usage_delay_s / bounds->usage_window_s + 1;
  ca_usage_row_t *row;
  Camphor__Pulse *pulse = &draft->pulse;

  pulse->usage = draft->usage_rows;
  TAILQ_FOREACH (row, &gateway->usage, entries)
  {
    Camphor__UsageCount *count = &draft->usage[pulse->n_usage];

    if (pulse->n_usage == PULSE_USAGE_ROWS)
      break;
    if (row->window + before < now)
      continue;
    draft->usage_rows[pulse->n_usage++] = count;
    camphor__usage_count__init (count);
    count->window = row->window;
    count->workspace = row->workspace;
    count->count = row->count;
  }
}

static void
sibling_draft_work (ca_gateway_t *gateway, sibling_draft_t *draft)
{
  ca_service_stats_t *stats;
  Camphor__Pulse *pulse = &draft->pulse;

  pulse->work = draft->work_rows;
  for (stats = gateway->services;
       stats != NULL && pulse->n_work < PULSE_SERVICES; stats = stats->hh.next)
    {
      Camphor__ServiceWork *row = &draft->work[pulse->n_work];

      draft->work_rows[pulse->n_work++] = row;
      camphor__service_work__init (row);
      row->service = stats->name;
      row->busy_share = ca_service_busy_share (gateway, stats);
      row->held_tokens = stats->held_tokens;
      row->requests_per_s = ca_service_requests_per_s (gateway, stats);
    }
}

static void
sibling_draft_strikes (const ca_gateway_t *gateway, sibling_draft_t *draft)
{
  const ca_crash_record_t *crash_record;
  Camphor__Pulse *pulse = &draft->pulse;

  pulse->strikes = draft->strike_rows;
  for (crash_record = gateway->crash_records;
       crash_record != NULL && pulse->n_strikes < PULSE_STRIKES;
       crash_record = crash_record->hh.next)
    {
      Camphor__Strike *row = &draft->strikes[pulse->n_strikes];

      draft->strike_rows[pulse->n_strikes++] = row;
      camphor__strike__init (row);
      row->fingerprint = crash_record->fingerprint;
      row->count = crash_record->count;
    }
}

static void
sibling_draft (ca_gateway_t *gateway, uint64_t wall_us, sibling_draft_t *draft)
{
  Camphor__Pulse *pulse = &draft->pulse;

  camphor__pulse__init (pulse);
  pulse->name = gateway->options.name;
  pulse->zone = gateway->options.zone;
  pulse->ip = gateway->options.peers.ip;
  pulse->port = gateway->options.peers.port;
  pulse->stamp_us = gateway->now_us;
  pulse->wall_ms = wall_us / CA_US_PER_MS;
  pulse->leaving = gateway->stopping;
  pulse->reads_store = !gateway->store_down;
  pulse->leads = gateway->leads;
  if (gateway->catalog != NULL && gateway->config_freshness.known)
    {
      pulse->config_known = true;
      pulse->config_version = gateway->catalog->version;
      pulse->config_age_us
          = ca_freshness_age_us (&gateway->config_freshness, gateway->now_us);
    }
  sibling_draft_loads (gateway, draft);
  sibling_draft_demands (gateway, draft);
  sibling_draft_usage (gateway, draft);
  sibling_draft_work (gateway, draft);
  sibling_draft_strikes (gateway, draft);
}

/* True if the sibling is yet to be sent a pulse in this round. */
static bool
sibling_is_due (const ca_gateway_t *gateway, const ca_sibling_t *sibling)
{
  if (sibling_is_live (gateway, sibling))
    return sibling->pulsed_us < gateway->round_us;
  return gateway->now_us - sibling->pulsed_us >= PULSE_SILENT_US;
}

static void
sibling_pulse (ca_gateway_t *gateway, ca_sibling_t *sibling,
               sibling_draft_t *draft)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__Pulse pulse = draft->pulse;
  uint64_t rounds = PULSE_USAGE_US / gateway->pulse_period_us;

  pulse.echo_us = sibling->stamp_us;
  /* To some in each round. */
  pulse.omits_usage = HASH_COUNT (gateway->siblings) > PULSE_ENTRIES
                      && rounds > 1 && !gateway->pulse_all
                      && (gateway->rounds + sibling->id) % rounds != 0;
  if (pulse.omits_usage)
    pulse.n_usage = 0;
  sibling->pulsed_us = gateway->now_us;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_PULSE;
  envelope.pulse = &pulse;
  ca_sibling_send (gateway, &sibling->address, &envelope);
}

/* Sends the pulses that are due, a few at a time. */
static void
sibling_pulse_due (ca_gateway_t *gateway, uint64_t wall_us)
{
  static sibling_draft_t draft; /* rebuilt at each use; large */
  uint64_t most
      = (uint64_t)(HASH_COUNT (gateway->siblings) * (double)CA_GATEWAY_TICK_US
                   / (gateway->pulse_period_us * PULSE_SPREAD))
        + 1;
  bool drafted = false;
  ca_sibling_t *sibling;

  if (gateway->pulse_all)
    most = UINT64_MAX;
  for (sibling = gateway->siblings; sibling != NULL && most > 0;
       sibling = sibling->hh.next)
    {
      if (!gateway->pulse_all && !sibling_is_due (gateway, sibling))
        continue;
      if (!drafted)
        {
          sibling_draft (gateway, wall_us, &draft);
          drafted = true;
        }
      sibling_pulse (gateway, sibling, &draft);
      most--;
    }
  gateway->pulse_all = false;
}

/* --- Time of day --- */

static int
sibling_compare_offsets (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return left < right ? -1 : left > right;
}

/* The median of all entries' offsets: one machine's clock may jump. */
static void
sibling_agree_wall (ca_gateway_t *gateway)
{
  int64_t offsets[PULSE_LOADS];
  size_t count = 0;
  const ca_sibling_t *sibling;

  offsets[count++] = gateway->own_wall_offset_us;
  for (sibling = gateway->siblings; sibling != NULL && count < PULSE_LOADS;
       sibling = sibling->hh.next)
    {
      if (sibling_is_live (gateway, sibling))
        offsets[count++] = sibling->wall_offset_us;
    }
  if (count < 3)
    {
      /* Too few to outvote a jump: the offset that was agreed stays. */
      if (!gateway->wall_agreed)
        gateway->wall_offset_us = gateway->own_wall_offset_us;
      return;
    }
  qsort (offsets, count, sizeof offsets[0], sibling_compare_offsets);
  gateway->wall_offset_us = offsets[count / 2];
  gateway->wall_agreed = true;
}

/* --- Time --- */

void
ca_siblings_tick (ca_gateway_t *gateway, uint64_t wall_us)
{
  ca_sibling_t *sibling;
  ca_sibling_t *next;
  uint32_t entries = HASH_COUNT (gateway->siblings);

  gateway->own_wall_offset_us = (int64_t)wall_us - (int64_t)gateway->now_us;
  gateway->pulse_period_us
      = CA_PULSE_PERIOD_US * (entries > PULSE_ENTRIES ? entries : PULSE_ENTRIES)
        / PULSE_ENTRIES;
  if (gateway->now_us < gateway->round_us + gateway->pulse_period_us)
    {
      sibling_pulse_due (gateway, wall_us);
      return;
    }
  gateway->round_us = gateway->now_us;
  gateway->rounds++;
  HASH_ITER (hh, gateway->siblings, sibling, next)
  {
    uint64_t since_us
        = sibling->heard_us > 0 ? sibling->heard_us : sibling->met_us;

    if (!sibling_is_live (gateway, sibling))
      sibling_count_loads (gateway, sibling, false);
    if (gateway->now_us - since_us > SIBLING_KEPT_US)
      sibling_free (gateway, sibling);
  }
  sibling_agree_wall (gateway);
  sibling_pulse_due (gateway, wall_us);
}

/* --- Receiving --- */

/* A former life's counts stay. */
static void
sibling_new_life (ca_sibling_t *sibling)
{
  for (size_t i = 0; sibling->pulse != NULL && i < sibling->pulse->n_usage; i++)
    ca_usage_add (&sibling->usage, sibling->pulse->usage[i]->window,
                  sibling->pulse->usage[i]->workspace,
                  sibling->pulse->usage[i]->count);
}

/* The counts that the latest pulse with any had go into a new one without. */
static void
sibling_keep_usage (ca_sibling_t *sibling, Camphor__Pulse *pulse)
{
  Camphor__Pulse *before = sibling->pulse;

  if (before == NULL || pulse->n_usage > 0)
    return;
  pulse->usage = before->usage;
  pulse->n_usage = before->n_usage;
  before->usage = NULL;
  before->n_usage = 0;
}

/* Endpoints that the peer knows to be leaving get nothing from here either. */
static void
sibling_take_left (ca_gateway_t *gateway, const Camphor__Pulse *pulse)
{
  ca_gateway_endpoint_t *endpoint;

  for (size_t i = 0; i < pulse->n_left_lives; i++)
    {
      for (endpoint = gateway->registry.endpoints; endpoint != NULL;
           endpoint = endpoint->hh.next)
        {
          if (endpoint->state != CA_GATEWAY_ENDPOINT_READY
              || (endpoint->hash ^ endpoint->started_ms)
                     != pulse->left_lives[i])
            continue;
          endpoint->state = CA_GATEWAY_ENDPOINT_DRAINING;
          ca_gateway_log (gateway, CA_EVENT_ENDPOINT_LEAVING, NULL,
                          endpoint->id, "told by %s", pulse->name);
        }
    }
}

/* The pulse is the sibling's from then on. */
static void
sibling_take_pulse (ca_gateway_t *gateway, const Camphor__Envelope *envelope,
                    Camphor__Pulse *pulse)
{
  ca_sibling_t *sibling = ca_sibling_find (gateway, envelope->from);

  if (sibling == NULL)
    sibling = sibling_add (gateway, envelope->from, pulse->name);
  if (sibling->heard_us == 0)
    ca_gateway_log (gateway, CA_EVENT_MEMBER_JOINED, NULL, pulse->name,
                    "zone %s", pulse->zone);
  sibling_count_loads (gateway, sibling, false);
  /* What it admitted before it was first heard here is not known to be new. */
  if (sibling->pulse != NULL)
    ca_quota_take_heartbeat (
        gateway,
        sibling->incarnation == envelope->incarnation ? sibling->pulse : NULL,
        pulse);
  if (pulse->omits_usage && sibling->incarnation == envelope->incarnation)
    sibling_keep_usage (sibling, pulse);
  if (sibling->incarnation != envelope->incarnation)
    {
      sibling_new_life (sibling);
      sibling->has_stamp_offset = false;
    }
  ca_sibling_stamp (gateway, sibling, pulse->stamp_us);
  if (sibling->pulse != NULL)
    camphor__pulse__free_unpacked (sibling->pulse, NULL);
  sibling->pulse = pulse;
  sibling->incarnation = envelope->incarnation;
  if (strcmp (sibling->zone, pulse->zone) != 0)
    {
      free (sibling->zone);
      sibling->zone = strdup (pulse->zone);
    }
  sibling->address.ip = pulse->ip;
  sibling->address.port = (uint16_t)pulse->port;
  sibling->heard_us = gateway->now_us;
  sibling->stamp_us = pulse->stamp_us;
  sibling->leaving = pulse->leaving;
  sibling->reads_store = pulse->reads_store;
  sibling->leads = pulse->leads;
  sibling->wall_offset_us
      = (int64_t)(pulse->wall_ms * CA_US_PER_MS) - (int64_t)gateway->now_us;
  sibling_count_loads (gateway, sibling, true);
  sibling_take_left (gateway, pulse);
  if (pulse->config_known && gateway->catalog != NULL && pulse->echo_us > 0
      && pulse->echo_us <= gateway->now_us
      && pulse->config_version == gateway->catalog->version)
    ca_freshness_peer (&gateway->config_freshness, pulse->echo_us,
                       pulse->config_age_us);
}

static void
sibling_answer_want (ca_gateway_t *gateway, const Camphor__Envelope *envelope)
{
  const ca_sibling_t *sibling = ca_sibling_find (gateway, envelope->from);
  Camphor__Envelope answer = CAMPHOR__ENVELOPE__INIT;
  Camphor__CatalogText text = CAMPHOR__CATALOG_TEXT__INIT;

  if (sibling == NULL || gateway->catalog == NULL
      || gateway->catalog->version <= envelope->catalog_want->have_version)
    return;
  text.version = gateway->catalog->version;
  text.text.data = (uint8_t *)gateway->catalog->text;
  text.text.len = gateway->catalog->text_bytes;
  answer.body_case = CAMPHOR__ENVELOPE__BODY_CATALOG_TEXT;
  answer.catalog_text = &text;
  ca_sibling_send (gateway, &sibling->address, &answer);
}

void
ca_gateway_envelope (ca_gateway_t *gateway, uint64_t now_us,
                     Camphor__Envelope *envelope)
{
  Camphor__Pulse *pulse;

  gateway->now_us = now_us;
  if (envelope->from == gateway->id)
    return;
  switch (envelope->body_case)
    {
    case CAMPHOR__ENVELOPE__BODY_PULSE:
      pulse = envelope->pulse;
      envelope->pulse = NULL;
      envelope->body_case = CAMPHOR__ENVELOPE__BODY__NOT_SET;
      sibling_take_pulse (gateway, envelope, pulse);
      return;
    case CAMPHOR__ENVELOPE__BODY_PROOF_WANT:
      ca_knowledge_answer_proof (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_PROOF:
      ca_knowledge_take_proof (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_TABLE_WORD:
      ca_relay_take (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_CATALOG_WANT:
      sibling_answer_want (gateway, envelope);
      return;
    case CAMPHOR__ENVELOPE__BODY_CATALOG_TEXT:
      gateway->ports.parse_catalog (
          gateway->ports.context, envelope->catalog_text->version,
          envelope->catalog_text->text.data, envelope->catalog_text->text.len);
      return;
    default:
      return;
    }
}
