/* Rollouts at one entry: the operator's orders, the status in the store, the
 * stage as the leader sets it, and what is known of the target. */
#include "gateway/rollout_private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Permission to send requests to the target ends if no leader's stage was heard
 * for this long, or for this many heartbeat intervals if that is longer. */
#define ROLLOUT_STAGE_US (2500 * CA_US_PER_MS)
#define ROLLOUT_STAGE_PERIODS 3

ca_rollout_t *
ca_rollout_next (const struct ca_gateway *gateway, const ca_rollout_t *rollout)
{
  return rollout == NULL ? gateway->rollouts : rollout->next;
}

ca_rollout_t *
ca_rollout_find (const struct ca_gateway *gateway, const char *service)
{
  ca_rollout_t *rollout = gateway->rollouts;

  while (rollout != NULL && strcmp (rollout->service, service) != 0)
    rollout = rollout->next;
  return rollout;
}

bool
ca_rollout_is_target (const ca_rollout_t *rollout,
                      const ca_gateway_endpoint_t *endpoint)
{
  return endpoint->version_number == rollout->target_version;
}

bool
ca_rollout_is_old (const ca_rollout_t *rollout,
                   const ca_gateway_endpoint_t *endpoint)
{
  if (ca_rollout_is_target (rollout, endpoint)
      || (rollout->only_old != 0
          && endpoint->version_number != rollout->only_old))
    return false;
  for (uint32_t i = 0; i < rollout->excluded_count; i++)
    {
      if (endpoint->version_number == rollout->excluded[i])
        return false;
    }
  return true;
}

uint32_t
ca_rollout_count_open (const ca_gateway_t *gateway, const ca_rollout_t *rollout,
                       bool target)
{
  const ca_gateway_endpoint_t *endpoint;
  uint32_t count = 0;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if ((target ? ca_rollout_is_target (rollout, endpoint)
                  : ca_rollout_is_old (rollout, endpoint))
          && ca_gateway_endpoint_is_open (endpoint)
          && strcmp (endpoint->service, rollout->service) == 0)
        count++;
    }
  return count;
}

static void
rollout_forget_evidence (ca_rollout_t *rollout)
{
  ca_rollout_source_t *source;
  ca_rollout_source_t *next;

  HASH_ITER (hh, rollout->sources, source, next)
  {
    HASH_DEL (rollout->sources, source);
    ca_rollout_sums_finish (&source->sums);
    free (source);
  }
  ca_rollout_sums_finish (&rollout->own);
  ca_rollout_sums_finish (&rollout->total);
}

static void
rollout_free (ca_rollout_t *rollout)
{
  rollout_forget_evidence (rollout);
  free (rollout->service);
  free (rollout->target);
  free (rollout);
}

void
ca_rollouts_finish (ca_gateway_t *gateway)
{
  while (gateway->rollouts != NULL)
    {
      ca_rollout_t *rollout = gateway->rollouts;

      gateway->rollouts = rollout->next;
      rollout_free (rollout);
    }
}

static bool
rollout_is_decided (const ca_rollout_t *rollout)
{
  return rollout->stage == CA_ROLLOUT_COMPLETED
         || rollout->stage == CA_ROLLOUT_REVERTED;
}

static void
rollout_exclude (ca_rollout_t *rollout, uint32_t version)
{
  if (version == rollout->target_version
      || rollout->excluded_count == CA_ROLLOUT_EXCLUDED_MAX)
    return;
  rollout->excluded[rollout->excluded_count++] = version;
}

/* Keeps what an earlier order of the service has decided on versions. */
static void
rollout_inherit (ca_rollout_t *rollout, const ca_rollout_t *former)
{
  if (former->stage == CA_ROLLOUT_COMPLETED)
    {
      if (former->target_version != rollout->target_version)
        rollout->only_old = former->target_version;
      return;
    }
  rollout->only_old
      = former->only_old == rollout->target_version ? 0 : former->only_old;
  for (uint32_t i = 0; i < former->excluded_count; i++)
    rollout_exclude (rollout, former->excluded[i]);
  rollout_exclude (rollout, former->target_version);
}

/* Adds a rollout in place of an earlier one of the service. */
static ca_rollout_t *
rollout_add (ca_gateway_t *gateway, const char *service, const char *target,
             uint64_t order)
{
  ca_rollout_t *rollout = calloc (1, sizeof *rollout);
  ca_rollout_t **link = &gateway->rollouts;

  rollout->service = strdup (service);
  rollout->target = strdup (target);
  rollout->target_version = ca_stream_version (service, target);
  rollout->order = order;
  rollout->era = gateway->store_era;
  rollout->learned_us = gateway->now_us;
  while (*link != NULL && strcmp ((*link)->service, service) != 0)
    link = &(*link)->next;
  if (*link != NULL)
    {
      ca_rollout_t *former = *link;

      rollout_inherit (rollout, former);
      rollout->next = former->next;
      rollout_free (former);
    }
  *link = rollout;
  return rollout;
}

/* True if the order is the same as that of the rollout.  The versions of rows
 * differ after the store came back from an older copy. */
static bool
rollout_is_same (const ca_gateway_t *gateway, const ca_rollout_t *rollout,
                 const ca_rollout_order_t *order)
{
  if (strcmp (rollout->target, order->target) != 0)
    return false;
  return rollout->order == order->order
         || (gateway->store_era > rollout->era
             && rollout->duration_s == order->duration_s);
}

/* True if the order was replaced by that of the rollout: an entry that lags
 * behind may still pass on its row. */
static bool
rollout_is_stale (const ca_gateway_t *gateway, const ca_rollout_t *rollout,
                  uint64_t order)
{
  return order < rollout->order && gateway->store_era <= rollout->era;
}

void
ca_gateway_rollout_order (struct ca_gateway *gateway, uint64_t now_us,
                          const ca_rollout_order_t *order)
{
  ca_rollout_t *rollout = ca_rollout_find (gateway, order->service);

  gateway->now_us = now_us;
  if (rollout != NULL && rollout_is_same (gateway, rollout, order))
    {
      if (rollout->order != order->order)
        rollout->former_order = rollout->order;
      rollout->order = order->order;
      rollout->era = gateway->store_era;
      rollout->duration_s = order->duration_s;
      rollout->withdrawn = false;
      return;
    }
  if (rollout != NULL && rollout_is_stale (gateway, rollout, order->order))
    return;
  rollout = rollout_add (gateway, order->service, order->target, order->order);
  rollout->duration_s = order->duration_s;
  ca_gateway_log (gateway, CA_EVENT_ROLLOUT_LEARNED, NULL, rollout->service,
                  "order %" PRIu64 ": to version %s within %u s; %u endpoints "
                  "of old versions, %u of the target",
                  rollout->order, rollout->target, rollout->duration_s,
                  ca_rollout_count_open (gateway, rollout, false),
                  ca_rollout_count_open (gateway, rollout, true));
}

void
ca_gateway_rollout_withdrawn (struct ca_gateway *gateway, uint64_t now_us,
                              const char *service)
{
  ca_rollout_t *rollout = ca_rollout_find (gateway, service);

  gateway->now_us = now_us;
  if (rollout != NULL && !rollout_is_decided (rollout))
    rollout->withdrawn = true;
}

/* Time since the oldest of the latest reports of peers in contact. */
static uint64_t
rollout_sums_age_us (const ca_gateway_t *gateway, const ca_rollout_t *rollout)
{
  const ca_rollout_source_t *source;
  uint64_t age_us = 0;

  for (source = rollout->sources; source != NULL; source = source->hh.next)
    {
      uint64_t since_us = gateway->now_us - source->received_us;

      if (since_us < ca_peers_contact_us (gateway) && since_us > age_us)
        age_us = since_us;
    }
  return age_us;
}

static void
rollout_log_state (ca_gateway_t *gateway, const ca_rollout_t *rollout,
                   ca_event_number_t event, const char *state)
{
  ca_rollout_row_t total = ca_rollout_sums_total (&rollout->total);

  ca_gateway_log (
      gateway, event, NULL, rollout->service,
      "order %" PRIu64 ", version %s: %s, %u permille; target: %u answers, %u "
      "failures, %u slow; old versions: %u answers, %u failures, %u slow; sums "
      "of %u other entries, up to %" PRIu64 " ms old; this entry sent %u of %u "
      "requests to the target",
      rollout->order, rollout->target, state, rollout->share_permille,
      total.target.answers, total.target.failures, total.target.slow,
      total.old.answers, total.old.failures, total.old.slow,
      HASH_COUNT (rollout->sources),
      rollout_sums_age_us (gateway, rollout) / CA_US_PER_MS,
      rollout->sent_target, rollout->sent);
}

static const char *
rollout_stage_name (ca_rollout_stage_t stage)
{
  static const char *const names[]
      = { "unknown", "canary", "shift", "drain", "completed", "reverted" };

  return names[stage];
}

/* Changes the stage or its share. */
static void
rollout_enter_stage (ca_gateway_t *gateway, ca_rollout_t *rollout,
                     ca_rollout_stage_t stage, uint32_t share_permille)
{
  if (rollout->stage == stage && rollout->share_permille == share_permille)
    return;
  rollout->stage = stage;
  rollout->share_permille = share_permille;
  if (stage != CA_ROLLOUT_CANARY)
    rollout->credit = 0;
  if (rollout_is_decided (rollout) && rollout->decided_us == 0)
    rollout->decided_us = gateway->now_us;
  rollout_log_state (gateway, rollout, CA_EVENT_ROLLOUT_STAGE,
                     rollout_stage_name (stage));
}

void
ca_gateway_rollout_status (struct ca_gateway *gateway, uint64_t now_us,
                           const char *service,
                           const ca_rollout_status_t *status)
{
  ca_rollout_t *rollout = ca_rollout_find (gateway, service);

  gateway->now_us = now_us;
  if (status == NULL
      || (status->stage != CA_ROLLOUT_COMPLETED
          && status->stage != CA_ROLLOUT_REVERTED))
    return;
  /* The row of an order that was carried out before this entry started. */
  if (rollout == NULL)
    rollout = rollout_add (gateway, service, status->target, status->order);
  else if (strcmp (rollout->target, status->target) != 0
           || (status->order != 0 && status->order != rollout->order
               && status->order != rollout->former_order))
    return;
  rollout->decided_by_row = true;
  rollout_enter_stage (gateway, rollout, status->stage,
                       status->stage == CA_ROLLOUT_COMPLETED ? 1000 : 0);
}

void
ca_rollout_hear_stage (ca_gateway_t *gateway, ca_rollout_t *rollout,
                       ca_rollout_stage_t stage, uint32_t share_permille)
{
  /* Only the row replaces a decision. */
  if (rollout_is_decided (rollout) || stage <= CA_ROLLOUT_STAGE_UNKNOWN
      || stage > CA_ROLLOUT_REVERTED)
    return;
  rollout->stage_is_own = false;
  rollout->stage_heard_us = gateway->now_us;
  rollout_enter_stage (gateway, rollout, stage, share_permille);
}

void
ca_rollout_set_stage (struct ca_gateway *gateway, ca_rollout_t *rollout,
                      ca_rollout_stage_t stage, uint32_t share_permille)
{
  if (rollout->decided_by_row)
    return;
  rollout->stage_is_own = true;
  rollout->stage_heard_us = gateway->now_us;
  rollout_enter_stage (gateway, rollout, stage, share_permille);
}

/* Decides on the verdict again after the sums have changed. */
static void
rollout_judge (ca_rollout_t *rollout)
{
  if (!rollout->changed || rollout->verdict == CA_ROLLOUT_BAD)
    return;
  rollout->changed = false;
  rollout->verdict = ca_rollout_verdict (&rollout->total, false);
  rollout->late_verdict = ca_rollout_verdict (&rollout->total, true);
}

bool
ca_rollout_is_convicted (ca_rollout_t *rollout)
{
  rollout_judge (rollout);
  return rollout->verdict == CA_ROLLOUT_BAD;
}

/* True if a leader's stage was heard lately, or this entry leads. */
static bool
rollout_is_renewed (const ca_gateway_t *gateway, ca_rollout_t *rollout)
{
  uint64_t limit_us = ROLLOUT_STAGE_PERIODS * gateway->heartbeat_period_us;

  if (rollout->stage_is_own)
    {
      rollout->stage_is_own = gateway->leads;
      if (gateway->leads)
        rollout->stage_heard_us = gateway->now_us;
    }
  if (limit_us < ROLLOUT_STAGE_US)
    limit_us = ROLLOUT_STAGE_US;
  return rollout->stage_heard_us != 0
         && gateway->now_us - rollout->stage_heard_us < limit_us;
}

bool
ca_rollout_is_exposed (ca_gateway_t *gateway, ca_rollout_t *rollout)
{
  return !rollout->withdrawn && !ca_rollout_is_convicted (rollout)
         && rollout_is_renewed (gateway, rollout);
}

/* Logs when this entry stops sending requests to the target on its own. */
static void
rollout_check_brake (ca_gateway_t *gateway, ca_rollout_t *rollout)
{
  bool braked = !ca_rollout_is_exposed (gateway, rollout);

  if (rollout->stage == CA_ROLLOUT_STAGE_UNKNOWN || braked == rollout->braked)
    return;
  rollout->braked = braked;
  if (braked)
    rollout_log_state (gateway, rollout, CA_EVENT_ROLLOUT_BRAKED,
                       ca_rollout_is_convicted (rollout)
                           ? "the sums convict the target"
                       : rollout->withdrawn ? "order withdrawn"
                                            : "no leader's stage heard");
}

void
ca_rollouts_tick (ca_gateway_t *gateway)
{
  ca_rollout_t *rollout;

  for (rollout = gateway->rollouts; rollout != NULL; rollout = rollout->next)
    {
      if (!rollout_is_decided (rollout))
        rollout_check_brake (gateway, rollout);
    }
}

/* The latest report of a peer on the rollout; NULL if there is none. */
static const Camphor__RolloutReport *
rollout_report_of (const ca_rollout_t *rollout, const ca_peer_t *peer)
{
  for (size_t i = 0; i < peer->heartbeat->n_rollouts; i++)
    {
      const Camphor__RolloutReport *row = peer->heartbeat->rollouts[i];

      if (row->order == rollout->order
          && strcmp (row->service, rollout->service) == 0)
        return row;
    }
  return NULL;
}

/* Adds what the peers in contact report. */
static void
rollout_survey_peers (const ca_gateway_t *gateway, const ca_rollout_t *rollout,
                      ca_rollout_progress_t *progress)
{
  const ca_peer_t *peer;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      const Camphor__RolloutReport *row;

      if (peer->received_us == 0
          || gateway->now_us - peer->received_us
                 >= ca_peers_contact_us (gateway))
        continue;
      progress->entries++;
      row = rollout_report_of (rollout, peer);
      if (row == NULL)
        continue;
      progress->open_old += row->open_old;
      if (row->stage_seen >= (uint32_t)rollout->stage)
        progress->entries_at_stage++;
    }
}

void
ca_rollout_progress (struct ca_gateway *gateway, const ca_rollout_t *rollout,
                     ca_rollout_progress_t *progress)
{
  ca_rollout_t *judged = ca_rollout_find (gateway, rollout->service);

  if (judged != NULL)
    rollout_judge (judged);
  *progress = (ca_rollout_progress_t){
    .service = rollout->service,
    .target = rollout->target,
    .order = rollout->order,
    .duration_s = rollout->duration_s,
    .learned_us = rollout->learned_us,
    .withdrawn = rollout->withdrawn,
    .stage = rollout->stage,
    .share_permille = rollout->share_permille,
    .verdict = rollout->verdict,
    .late_verdict = rollout->verdict == CA_ROLLOUT_BAD ? CA_ROLLOUT_BAD
                                                       : rollout->late_verdict,
    .old_endpoints = ca_rollout_count_open (gateway, rollout, false),
    .target_endpoints = ca_rollout_count_open (gateway, rollout, true),
    .open_old = ca_rollout_open_old (gateway, rollout),
    .entries = 1,
    .entries_at_stage = 1,
  };
  rollout_survey_peers (gateway, rollout, progress);
}
