/* Rollouts in heartbeats: the sums of each incarnation of each peer, and the
 * leader's stage. */
#include "gateway/rollout_private.h"

#include <stdlib.h>
#include <string.h>

/* Reports go on for this long after the decision, so that entries that do not
 * reach the store learn of it. */
#define REPORT_DECIDED_US (30 * CA_US_PER_S)

static ca_rollout_source_t *
report_source (ca_rollout_t *rollout, uint64_t peer, uint64_t incarnation)
{
  ca_rollout_source_key_t key = { peer, incarnation };
  ca_rollout_source_t *source = NULL;

  HASH_FIND (hh, rollout->sources, &key, sizeof key, source);
  if (source != NULL)
    return source;
  source = calloc (1, sizeof *source);
  source->key = key;
  HASH_ADD (hh, rollout->sources, key, sizeof source->key, source);
  return source;
}

static uint32_t
report_outcomes (const Camphor__RolloutReport *row)
{
  uint32_t outcomes = 0;

  for (size_t i = 0; i < row->n_counts; i++)
    outcomes += row->counts[i]->answers + row->counts[i]->failures;
  return outcomes;
}

static void
report_read_counts (ca_rollout_sums_t *sums, const Camphor__RolloutReport *row)
{
  for (size_t i = 0; i < row->n_counts; i++)
    {
      const Camphor__RolloutCount *count = row->counts[i];
      ca_rollout_row_t *sum = ca_rollout_sums_row (sums, count->route);
      ca_rollout_tally_t *tally = count->target ? &sum->target : &sum->old;

      tally->answers += count->answers;
      tally->failures += count->failures;
      tally->slow += count->slow;
    }
}

/* Replaces the sums of one incarnation of a peer by later ones. */
static void
report_take_sums (ca_gateway_t *gateway, ca_rollout_t *rollout, uint64_t peer,
                  uint64_t incarnation, const Camphor__RolloutReport *row)
{
  ca_rollout_source_t *source = report_source (rollout, peer, incarnation);
  uint32_t outcomes = report_outcomes (row);

  /* The sums only grow: messages may have overtaken each other. */
  if (row->sent < source->sent || outcomes < source->outcomes)
    return;
  source->sent = row->sent;
  source->received_us = gateway->now_us;
  if (outcomes == source->outcomes)
    return;
  source->outcomes = outcomes;
  ca_rollout_sums_subtract (&rollout->total, &source->sums);
  ca_rollout_sums_finish (&source->sums);
  report_read_counts (&source->sums, row);
  ca_rollout_sums_add (&rollout->total, &source->sums);
  rollout->changed = true;
}

void
ca_rollout_merge (ca_gateway_t *gateway, uint64_t peer, uint64_t incarnation,
                  const Camphor__Pulse *heartbeat)
{
  for (size_t i = 0; i < heartbeat->n_rollouts; i++)
    {
      const Camphor__RolloutReport *row = heartbeat->rollouts[i];
      ca_rollout_t *rollout = ca_rollout_find (gateway, row->service);

      if (rollout == NULL || row->order == 0
          || (row->order != rollout->order
              && row->order != rollout->former_order))
        continue;
      report_take_sums (gateway, rollout, peer, incarnation, row);
      /* A leader whose lease was taken over may not know it yet. */
      if (heartbeat->leads && heartbeat->lease_fence >= gateway->lease_fence)
        ca_rollout_hear_stage (gateway, rollout, (ca_rollout_stage_t)row->stage,
                               row->share_permille);
    }
}

/* Fills in the counts of one side of a route, if there are any. */
static void
report_fill_count (Camphor__RolloutReport *row, Camphor__RolloutCount *counts,
                   uint32_t route, const ca_rollout_tally_t *tally, bool target)
{
  Camphor__RolloutCount *count = &counts[row->n_counts];

  if (tally->answers == 0)
    return;
  camphor__rollout_count__init (count);
  count->route = route;
  count->target = target;
  count->answers = tally->answers;
  count->failures = tally->failures;
  count->slow = tally->slow;
  row->counts[row->n_counts++] = count;
}

static void
report_fill (ca_gateway_t *gateway, const ca_rollout_t *rollout,
             Camphor__RolloutReport *row, Camphor__RolloutCount *counts,
             Camphor__RolloutCount **count_rows)
{
  camphor__rollout_report__init (row);
  row->service = rollout->service;
  row->order = rollout->order;
  row->sent = rollout->sent;
  row->sent_target = rollout->sent_target;
  row->stage_seen = rollout->stage;
  if (gateway->leads && rollout->stage_is_own)
    {
      row->stage = rollout->stage;
      row->share_permille = rollout->share_permille;
    }
  row->open_old = ca_rollout_open_old (gateway, rollout);
  row->counts = count_rows;
  for (uint32_t i = 0; i < rollout->own.count; i++)
    {
      const ca_rollout_row_t *sum = &rollout->own.rows[i];

      report_fill_count (row, counts, sum->route, &sum->old, false);
      report_fill_count (row, counts, sum->route, &sum->target, true);
    }
}

void
ca_rollout_fill (ca_gateway_t *gateway, ca_rollout_message_t *message,
                 Camphor__Pulse *heartbeat)
{
  const ca_rollout_t *rollout = ca_rollout_next (gateway, NULL);

  heartbeat->rollouts = message->rows;
  while (rollout != NULL && heartbeat->n_rollouts < CA_ROLLOUT_REPORTS_MAX)
    {
      size_t at = heartbeat->n_rollouts;

      if (rollout->decided_us == 0
          || gateway->now_us - rollout->decided_us < REPORT_DECIDED_US)
        {
          report_fill (gateway, rollout, &message->reports[at],
                       message->counts[at], message->count_rows[at]);
          message->rows[at] = &message->reports[at];
          heartbeat->n_rollouts++;
        }
      rollout = ca_rollout_next (gateway, rollout);
    }
}
