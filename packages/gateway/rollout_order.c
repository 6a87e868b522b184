/* Decides on the stages of rollouts and writes their status rows. */
#include "gateway/rollout_order.h"

#include "gateway/leader_private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Shares of the rollout's duration: the canary stage lasts at least until the
 * first, fewer answers suffice for a verdict from the second on, and the
 * outcome is written at the third, which leaves time for a lost answer. */
#define ROLLOUT_SHIFT_PERCENT 50
#define ROLLOUT_LATE_PERCENT 70
#define ROLLOUT_END_PERCENT 92

/* A step of the shift lasts this part of the duration, or less if that is
 * needed to take all steps before the end. */
#define ROLLOUT_STEP_PARTS 16

/* A leader that takes over between the end and the deadline waits for this part
 * of the time left. */
#define ROLLOUT_LAST_PARTS 4

/* The target may take all traffic with this percentage of the endpoints that
 * the old versions have. */
#define ROLLOUT_CAPACITY_PERCENT 80

/* Shares of requests for the target, in order. */
static const uint32_t rollout_shares_permille[] = { 250, 500, 1000 };
#define ROLLOUT_SHARES                                                         \
  (sizeof rollout_shares_permille / sizeof rollout_shares_permille[0])

/* The share of requests in the canary stage, as a part of the share that a bad
 * version may get: the rest is a reserve. */
#define ROLLOUT_CANARY_PART 0.5

#define ROLLOUT_RETRY_US (300 * CA_US_PER_MS)

/* Time between reads of the row at an entry that hears no leader. */
#define ROLLOUT_POLL_US (1 * CA_US_PER_S)

/* An entry that learns of a rollout within this time after its start may have
 * started in the middle of it, so it reads the row. */
#define ROLLOUT_STARTUP_US (10 * CA_US_PER_S)

static const char *const rollout_stage_names[] = {
  [CA_ROLLOUT_STAGE_UNKNOWN] = "unknown", [CA_ROLLOUT_CANARY] = "canary",
  [CA_ROLLOUT_SHIFT] = "shift",           [CA_ROLLOUT_DRAIN] = "drain",
  [CA_ROLLOUT_COMPLETED] = "completed",   [CA_ROLLOUT_REVERTED] = "reverted",
};

static const char *const rollout_verdict_names[]
    = { [CA_ROLLOUT_UNDECIDED] = "undecided",
        [CA_ROLLOUT_GOOD] = "good",
        [CA_ROLLOUT_BAD] = "bad" };

/* The order of a service as this entry knows it, and its status row. */
typedef struct ca_rollout_task
{
  char *service;
  char *target;
  uint64_t order;
  uint64_t former_order; /* its version before the store's era rose; 0: none */
  uint32_t duration_s;
  uint64_t era;        /* of the store, as `order` was seen */
  bool is_listed;      /* the service has a rollout, only in a tick */
  bool busy;           /* a call is open */
  bool is_current;     /* the row was read or written after any doubt of it */
  bool was_read;       /* at least once for this order, under `read_fence` */
  bool was_polled;     /* at least once for this order */
  uint64_t sent_fence; /* lease under which the open call was sent; 0: none */
  uint64_t sent_order; /* order for which it was sent */
  uint64_t read_fence;
  uint64_t stage_fence;         /* lease under which the stage was set */
  uint64_t learned_us;          /* when this entry learned of the order */
  uint64_t version;             /* of the row; 0: there is none */
  ca_rollout_stage_t row_stage; /* UNKNOWN if the row is not of this order */
  uint64_t began_ms;            /* store's clock; 0 if unknown */
  ca_rollout_stage_t attempt;   /* stage of the latest write */
  uint64_t attempt_began_ms;
  ca_rollout_stage_t decided; /* COMPLETED, REVERTED, or else UNKNOWN */
  const char *reason;
  uint64_t step_since_us; /* since when the stage and the share apply */
  uint64_t next_call_us;
  uint64_t next_poll_us; /* while it does not lead */
  TAILQ_ENTRY (ca_rollout_task) entries;
} ca_rollout_task_t;

static bool
rollout_is_terminal (ca_rollout_stage_t stage)
{
  return stage == CA_ROLLOUT_COMPLETED || stage == CA_ROLLOUT_REVERTED;
}

/* True if the listed endpoints of the target can carry all traffic. */
static bool
rollout_target_suffices (const ca_rollout_progress_t *progress, uint32_t needed)
{
  uint64_t target = progress->target_endpoints;

  return target > 0
         && (100 * target
                 >= (uint64_t)ROLLOUT_CAPACITY_PERCENT * progress->old_endpoints
             || (needed > 0 && target >= needed));
}

/* Number of steps from the stage to the end of the drain. */
static uint64_t
rollout_steps_left (const ca_rollout_progress_t *progress)
{
  if (progress->stage == CA_ROLLOUT_DRAIN)
    return 1;
  if (progress->stage != CA_ROLLOUT_SHIFT)
    return ROLLOUT_SHARES + 2;
  for (size_t i = 0; i < ROLLOUT_SHARES; i++)
    {
      if (progress->share_permille <= rollout_shares_permille[i])
        return ROLLOUT_SHARES - i + 1;
    }
  return 2;
}

/* Length of the present step. */
static uint64_t
rollout_step_us (const ca_rollout_progress_t *progress, uint64_t elapsed_us)
{
  uint64_t duration_us = progress->duration_s * CA_US_PER_S;
  uint64_t end_us = duration_us / 100 * ROLLOUT_END_PERCENT;
  uint64_t step_us = duration_us / ROLLOUT_STEP_PARTS;
  uint64_t left_us;

  if (elapsed_us >= duration_us)
    return step_us;
  if (elapsed_us >= end_us)
    left_us = (duration_us - elapsed_us) / ROLLOUT_LAST_PARTS;
  else
    left_us = (end_us - elapsed_us) / rollout_steps_left (progress);
  return left_us < step_us ? left_us : step_us;
}

static ca_rollout_decision_t
rollout_keep (const ca_rollout_progress_t *progress)
{
  return (ca_rollout_decision_t){ progress->stage, progress->share_permille,
                                  "unchanged" };
}

static ca_rollout_decision_t
rollout_revert (const char *reason)
{
  return (ca_rollout_decision_t){ CA_ROLLOUT_REVERTED, 0, reason };
}

static ca_rollout_decision_t
rollout_complete (const char *reason)
{
  return (ca_rollout_decision_t){ CA_ROLLOUT_COMPLETED, 1000, reason };
}

/* The outcome when the time is up. */
static ca_rollout_decision_t
rollout_decide_end (const ca_rollout_progress_t *progress,
                    const ca_rollout_conditions_t *conditions,
                    ca_rollout_verdict_t verdict)
{
  if (progress->target_endpoints == 0)
    return rollout_revert ("the target has no endpoint near the deadline");
  if (verdict != CA_ROLLOUT_GOOD)
    return rollout_revert ("too few answers for a verdict near the deadline");
  if (!rollout_target_suffices (progress, conditions->needed))
    return rollout_revert ("the target has too few endpoints near the "
                           "deadline");
  return rollout_complete ("the target is good and the deadline is near");
}

/* The step that follows the present one. */
static ca_rollout_decision_t
rollout_decide_step (const ca_rollout_progress_t *progress,
                     const ca_rollout_conditions_t *conditions)
{
  uint64_t duration_us = progress->duration_s * CA_US_PER_S;

  if (progress->stage == CA_ROLLOUT_DRAIN)
    return progress->open_old == 0
                   && progress->entries_at_stage >= progress->entries
               ? rollout_complete ("no request is open at an old version")
               : rollout_keep (progress);
  if (progress->stage == CA_ROLLOUT_CANARY)
    return conditions->elapsed_us >= duration_us / 100 * ROLLOUT_SHIFT_PERCENT
               ? (ca_rollout_decision_t){ CA_ROLLOUT_SHIFT,
                                          rollout_shares_permille[0],
                                          "the target is good" }
               : rollout_keep (progress);
  for (size_t i = 0; i < ROLLOUT_SHARES; i++)
    {
      if (rollout_shares_permille[i] > progress->share_permille)
        return (ca_rollout_decision_t){ CA_ROLLOUT_SHIFT,
                                        rollout_shares_permille[i],
                                        "the target is still good" };
    }
  return (ca_rollout_decision_t){ CA_ROLLOUT_DRAIN, 1000,
                                  "the target has all new requests" };
}

ca_rollout_decision_t
ca_rollout_decide (const ca_rollout_progress_t *progress,
                   const ca_rollout_conditions_t *conditions)
{
  uint64_t elapsed_us = conditions->elapsed_us;
  uint64_t duration_us = progress->duration_s * CA_US_PER_S;
  ca_rollout_verdict_t verdict = progress->verdict;
  bool step_ended
      = conditions->step_us >= rollout_step_us (progress, elapsed_us);

  if (rollout_is_terminal (progress->stage))
    return rollout_keep (progress);
  if (progress->withdrawn)
    return rollout_revert ("the order was withdrawn");
  if (verdict == CA_ROLLOUT_UNDECIDED
      && elapsed_us >= duration_us / 100 * ROLLOUT_LATE_PERCENT)
    verdict = progress->late_verdict;
  if (verdict == CA_ROLLOUT_BAD)
    return rollout_revert ("the target is bad");
  /* What a leader sets between its decision to revert and the row. */
  if (progress->stage == CA_ROLLOUT_SHIFT && progress->share_permille == 0)
    return rollout_revert ("a former leader has decided to revert");
  if (progress->stage == CA_ROLLOUT_STAGE_UNKNOWN)
    return (ca_rollout_decision_t){ CA_ROLLOUT_CANARY,
                                    conditions->canary_permille,
                                    "no stage is known" };
  /* An entry that has just taken over waits for one step, in which it receives
   * the others' sums. */
  if (elapsed_us >= duration_us / 100 * ROLLOUT_END_PERCENT)
    return step_ended || verdict != CA_ROLLOUT_GOOD
               ? rollout_decide_end (progress, conditions, verdict)
               : rollout_keep (progress);
  if (verdict != CA_ROLLOUT_GOOD || !step_ended
      || !rollout_target_suffices (progress, conditions->needed))
    return rollout_keep (progress);
  return rollout_decide_step (progress, conditions);
}

void
ca_rollout_orders_init (ca_leader_t *leader)
{
  TAILQ_INIT (&leader->rollouts);
}

static void
rollout_task_free (ca_leader_t *leader, ca_rollout_task_t *task)
{
  TAILQ_REMOVE (&leader->rollouts, task, entries);
  free (task->service);
  free (task->target);
  free (task);
}

void
ca_rollout_orders_finish (ca_leader_t *leader)
{
  while (!TAILQ_EMPTY (&leader->rollouts))
    rollout_task_free (leader, TAILQ_FIRST (&leader->rollouts));
}

static ca_rollout_task_t *
rollout_task_find (const ca_leader_t *leader, const char *service)
{
  ca_rollout_task_t *task;

  TAILQ_FOREACH (task, &leader->rollouts, entries)
  {
    if (strcmp (task->service, service) == 0)
      return task;
  }
  return NULL;
}

static ca_rollout_task_t *
rollout_task_new (ca_leader_t *leader, const char *service)
{
  ca_rollout_task_t *task = calloc (1, sizeof *task);

  task->service = strdup (service);
  task->target = strdup ("");
  TAILQ_INSERT_TAIL (&leader->rollouts, task, entries);
  return task;
}

/* Starts afresh with an order.  A call that is open is still answered. */
static void
rollout_task_begin (ca_leader_t *leader, ca_rollout_task_t *task,
                    const ca_rollout_progress_t *progress)
{
  free (task->target);
  task->target = strdup (progress->target);
  task->order = progress->order;
  task->former_order = 0;
  task->duration_s = progress->duration_s;
  task->learned_us = progress->learned_us;
  task->era = leader->gateway->store_era;
  task->is_current = false;
  task->was_read = false;
  task->was_polled = false;
  task->row_stage = CA_ROLLOUT_STAGE_UNKNOWN;
  task->began_ms = 0;
  task->decided = CA_ROLLOUT_STAGE_UNKNOWN;
  task->reason = "";
  task->step_since_us = leader->gateway->now_us;
  task->next_call_us = 0;
  task->next_poll_us = 0;
}

/* Compares the task with the order in force.  After the store came back from
 * an older copy the entries' part takes an order with the same target and
 * duration for the same under another version: it was learned before. */
static void
rollout_task_update (ca_leader_t *leader, ca_rollout_task_t *task,
                     const ca_rollout_progress_t *progress)
{
  uint64_t era = leader->gateway->store_era;

  if (task->order != progress->order
      || strcmp (task->target, progress->target) != 0)
    {
      if (task->learned_us != progress->learned_us
          || task->duration_s != progress->duration_s
          || strcmp (task->target, progress->target) != 0)
        {
          rollout_task_begin (leader, task, progress);
          return;
        }
      task->former_order = task->order;
      task->order = progress->order;
      task->is_current = false;
    }
  /* The store may have lost the row. */
  if (era > task->era)
    task->is_current = false;
  task->era = era;
}

/* The store's clock, estimated from its answers; 0 if none is known. */
static uint64_t
rollout_store_us (const ca_leader_t *leader, uint64_t at_us)
{
  const ca_freshness_t *freshness = &leader->gateway->config_freshness;
  int64_t store_us = (int64_t)at_us + freshness->offset_us;

  return freshness->has_offset && store_us > 0 ? (uint64_t)store_us : 0;
}

/* Time since the order was first seen: by the entry that wrote the row, or by
 * this one. */
static uint64_t
rollout_elapsed_us (const ca_leader_t *leader, const ca_rollout_task_t *task,
                    const ca_rollout_progress_t *progress)
{
  uint64_t now_us = leader->gateway->now_us;
  uint64_t store_us = rollout_store_us (leader, now_us);
  uint64_t own_us
      = now_us > progress->learned_us ? now_us - progress->learned_us : 0;
  uint64_t row_us = 0;

  if (task->began_ms != 0 && store_us / CA_US_PER_MS > task->began_ms)
    row_us = store_us - task->began_ms * CA_US_PER_MS;
  return row_us > own_us ? row_us : own_us;
}

static void
rollout_send_read (ca_leader_t *leader, ca_rollout_task_t *task)
{
  task->busy = true;
  task->sent_fence = ca_lease_is_valid (leader) ? leader->fence : 0;
  task->sent_order = task->order;
  task->next_call_us = leader->gateway->now_us + ROLLOUT_RETRY_US;
  leader->ports.read_rollout (leader->ports.context, task->service);
}

/* Writes the row, or reads it first if its version is in doubt. */
static void
rollout_send_write (ca_leader_t *leader, ca_rollout_task_t *task,
                    const ca_rollout_progress_t *progress,
                    ca_rollout_stage_t stage)
{
  ca_rollout_status_t row = { .stage = stage,
                              .target = task->target,
                              .order = task->order,
                              .began_ms = task->began_ms,
                              .era = leader->gateway->store_era };

  if (task->busy || leader->gateway->now_us < task->next_call_us)
    return;
  if (!task->is_current)
    {
      rollout_send_read (leader, task);
      return;
    }
  if (row.began_ms == 0)
    row.began_ms
        = rollout_store_us (leader, progress->learned_us) / CA_US_PER_MS;
  task->busy = true;
  task->sent_fence = leader->fence;
  task->sent_order = task->order;
  task->attempt = stage;
  task->attempt_began_ms = row.began_ms;
  task->next_call_us = leader->gateway->now_us + ROLLOUT_RETRY_US;
  leader->ports.write_rollout (leader->ports.context, task->service,
                               task->version, &row);
}

static void
rollout_log_decision (ca_leader_t *leader,
                      const ca_rollout_progress_t *progress,
                      const ca_rollout_decision_t *decision,
                      uint64_t elapsed_us)
{
  ca_gateway_log (
      leader->gateway, CA_EVENT_ROLLOUT_DECIDED, NULL, progress->service,
      "%s: %s at %u permille after %" PRIu64 " ms of %u s: %s; verdict %s, "
      "near the deadline %s; %u old and %u target endpoints; %u requests open "
      "at old versions; stage %s at %u of %u entries",
      progress->target, rollout_stage_names[decision->stage],
      (unsigned)decision->share_permille, elapsed_us / CA_US_PER_MS,
      (unsigned)progress->duration_s, decision->reason,
      rollout_verdict_names[progress->verdict],
      rollout_verdict_names[progress->late_verdict],
      (unsigned)progress->old_endpoints, (unsigned)progress->target_endpoints,
      (unsigned)progress->open_old, rollout_stage_names[progress->stage],
      (unsigned)progress->entries_at_stage, (unsigned)progress->entries);
}

static void
rollout_set_stage (ca_leader_t *leader, ca_rollout_task_t *task,
                   ca_rollout_t *rollout, ca_rollout_stage_t stage,
                   uint32_t share_permille)
{
  task->step_since_us = leader->gateway->now_us;
  task->stage_fence = leader->fence;
  ca_rollout_set_stage (leader->gateway, rollout, stage, share_permille);
}

/* True if a decision that has not been accepted stands: one to revert does for
 * good, one to complete unless the target turns out to be bad. */
static bool
rollout_decision_stands (const ca_rollout_task_t *task,
                         const ca_rollout_progress_t *progress)
{
  if (rollout_is_terminal (progress->stage))
    return task->decided == progress->stage;
  if (task->decided == CA_ROLLOUT_COMPLETED)
    return progress->verdict != CA_ROLLOUT_BAD && !progress->withdrawn;
  return task->decided == CA_ROLLOUT_REVERTED;
}

/* Endpoints that the service needs by the fleet plan; 0 if there was no plan
 * under this lease: the need of an earlier one may be out of date. */
static uint32_t
rollout_needed (ca_leader_t *leader, const char *service)
{
  double need;

  if (!leader->scales || leader->next_plan_us == 0)
    return 0;
  need = ca_service_stats (leader->gateway, service)->baseline_need;
  return (uint32_t)need + (need > (uint32_t)need);
}

static ca_rollout_decision_t
rollout_decide_now (ca_leader_t *leader, ca_rollout_task_t *task,
                    const ca_rollout_progress_t *progress, uint64_t elapsed_us)
{
  const ca_gateway_t *gateway = leader->gateway;
  ca_rollout_conditions_t conditions
      = { .elapsed_us = elapsed_us,
          .step_us = gateway->now_us - task->step_since_us,
          .needed = rollout_needed (leader, progress->service),
          .canary_permille
          = (uint32_t)(1000 * ROLLOUT_CANARY_PART
                       * gateway->options.bounds.exposure_share) };

  return ca_rollout_decide (progress, &conditions);
}

/* Applies a decision.  A stage applies at once; an outcome does when the store
 * has accepted it, but no more requests go to a target that is reverted. */
static void
rollout_apply (ca_leader_t *leader, ca_rollout_task_t *task,
               ca_rollout_t *rollout, const ca_rollout_progress_t *progress,
               const ca_rollout_decision_t *decision, uint64_t elapsed_us)
{
  bool is_new = decision->stage != progress->stage
                || decision->share_permille != progress->share_permille;

  if (!rollout_is_terminal (decision->stage))
    {
      if (!is_new)
        return;
      rollout_log_decision (leader, progress, decision, elapsed_us);
      rollout_set_stage (leader, task, rollout, decision->stage,
                         decision->share_permille);
      return;
    }
  if (task->decided != decision->stage)
    rollout_log_decision (leader, progress, decision, elapsed_us);
  task->decided = decision->stage;
  task->reason = decision->reason;
  if (decision->stage == CA_ROLLOUT_REVERTED
      && progress->stage != CA_ROLLOUT_REVERTED
      && (progress->stage != CA_ROLLOUT_SHIFT || progress->share_permille != 0))
    rollout_set_stage (leader, task, rollout, CA_ROLLOUT_SHIFT, 0);
}

/* Leads one rollout. */
static void
rollout_lead (ca_leader_t *leader, ca_rollout_task_t *task,
              ca_rollout_t *rollout, const ca_rollout_progress_t *progress)
{
  uint64_t elapsed_us;
  ca_rollout_decision_t decision;

  if (!task->was_read || task->read_fence != leader->fence)
    {
      task->step_since_us = leader->gateway->now_us;
      if (!task->busy && leader->gateway->now_us >= task->next_call_us)
        rollout_send_read (leader, task);
      return;
    }
  if (task->is_current && rollout_is_terminal (task->row_stage))
    {
      if (progress->stage != task->row_stage)
        rollout_set_stage (leader, task, rollout, task->row_stage,
                           task->row_stage == CA_ROLLOUT_COMPLETED ? 1000 : 0);
      return;
    }
  /* A stage that was heard of a former leader is this one's from now on. */
  if (task->stage_fence != leader->fence
      && progress->stage != CA_ROLLOUT_STAGE_UNKNOWN)
    rollout_set_stage (leader, task, rollout, progress->stage,
                       progress->share_permille);
  elapsed_us = rollout_elapsed_us (leader, task, progress);
  if (!rollout_decision_stands (task, progress))
    {
      if (task->decided == CA_ROLLOUT_COMPLETED
          && !rollout_is_terminal (progress->stage))
        decision = rollout_revert ("the target is bad or withdrawn");
      else
        decision = rollout_decide_now (leader, task, progress, elapsed_us);
      rollout_apply (leader, task, rollout, progress, &decision, elapsed_us);
    }
  if (task->decided != CA_ROLLOUT_STAGE_UNKNOWN)
    rollout_send_write (leader, task, progress, task->decided);
  else if (task->row_stage == CA_ROLLOUT_STAGE_UNKNOWN || !task->is_current)
    rollout_send_write (leader, task, progress, CA_ROLLOUT_CANARY);
}

/* Reads the row of a rollout that this entry does not lead, if nobody seems to
 * lead it, or if it may have begun before this entry started. */
static void
rollout_poll (ca_leader_t *leader, ca_rollout_task_t *task,
              const ca_rollout_progress_t *progress)
{
  const ca_gateway_t *gateway = leader->gateway;
  bool is_starting
      = !task->was_polled
        && progress->learned_us < gateway->started_us + ROLLOUT_STARTUP_US;

  task->stage_fence = 0;
  if (rollout_is_terminal (progress->stage) || task->busy
      || gateway->now_us < task->next_poll_us
      || (!is_starting && ca_peers_have_leader (gateway)))
    return;
  rollout_send_read (leader, task);
  task->next_poll_us = gateway->now_us + ROLLOUT_POLL_US;
}

/* Handles a rollout in a tick. */
static void
rollout_tick (ca_leader_t *leader, ca_rollout_t *rollout)
{
  ca_rollout_progress_t progress;
  ca_rollout_task_t *task;

  memset (&progress, 0, sizeof progress);
  ca_rollout_progress (leader->gateway, rollout, &progress);
  task = rollout_task_find (leader, progress.service);
  if (task == NULL)
    {
      task = rollout_task_new (leader, progress.service);
      rollout_task_begin (leader, task, &progress);
    }
  task->is_listed = true;
  rollout_task_update (leader, task, &progress);
  if (ca_lease_is_valid (leader))
    rollout_lead (leader, task, rollout, &progress);
  else
    rollout_poll (leader, task, &progress);
}

void
ca_rollout_orders_tick (ca_leader_t *leader)
{
  ca_rollout_t *rollout;
  ca_rollout_task_t *task;
  ca_rollout_task_t *next;

  if (leader->ports.read_rollout == NULL)
    return;
  TAILQ_FOREACH (task, &leader->rollouts, entries)
  task->is_listed = false;
  for (rollout = ca_rollout_next (leader->gateway, NULL); rollout != NULL;
       rollout = ca_rollout_next (leader->gateway, rollout))
    rollout_tick (leader, rollout);
  for (task = TAILQ_FIRST (&leader->rollouts); task != NULL; task = next)
    {
      next = TAILQ_NEXT (task, entries);
      if (!task->is_listed && !task->busy)
        rollout_task_free (leader, task);
    }
}

/* True if the row may be that of the task's order under the version that this
 * had before the store came back from an older copy: it has the same target, is
 * in progress, and the order's time is not over. */
static bool
rollout_row_is_former (const ca_leader_t *leader, const ca_rollout_task_t *task,
                       const ca_rollout_status_t *row)
{
  uint64_t store_us = rollout_store_us (leader, leader->gateway->now_us);

  return row->stage == CA_ROLLOUT_CANARY && row->era != 0
         && row->era < leader->gateway->store_era
         && row->began_ms < UINT64_MAX / CA_US_PER_MS / 2
         && store_us
                < row->began_ms * CA_US_PER_MS + task->duration_s * CA_US_PER_S;
}

/* True if the row was written for the task's order. */
static bool
rollout_row_answers (const ca_leader_t *leader, const ca_rollout_task_t *task,
                     const ca_rollout_status_t *row)
{
  if (row == NULL || row->stage == CA_ROLLOUT_STAGE_UNKNOWN
      || strcmp (row->target, task->target) != 0)
    return false;
  if (row->order == task->order)
    return true;
  if (row->order != 0 && row->order == task->former_order)
    return true;
  return rollout_row_is_former (leader, task, row);
}

/* Notes the row that was read, or the latest write that was accepted. */
static void
rollout_note_row (ca_rollout_task_t *task, uint64_t version,
                  ca_rollout_stage_t stage, uint64_t began_ms)
{
  task->version = version;
  task->row_stage = stage;
  /* The order was first seen when the earliest of its rows says so; a row that
   * the store lost does not make it younger. */
  if (began_ms != 0 && (task->began_ms == 0 || began_ms < task->began_ms))
    task->began_ms = began_ms;
  task->is_current = true;
}

/* Sets the stage that the row names. */
static void
rollout_set_outcome (ca_leader_t *leader, ca_rollout_task_t *task)
{
  ca_rollout_t *rollout = ca_rollout_find (leader->gateway, task->service);

  if (rollout != NULL)
    rollout_set_stage (leader, task, rollout, task->row_stage,
                       task->row_stage == CA_ROLLOUT_COMPLETED ? 1000 : 0);
}

void
ca_rollout_status_read (ca_leader_t *leader, uint64_t now_us,
                        const char *service, ca_call_status_t status,
                        uint64_t version, const ca_rollout_status_t *row)
{
  ca_rollout_task_t *task = rollout_task_find (leader, service);
  bool answers;

  leader->gateway->now_us = now_us;
  if (task == NULL)
    return;
  task->busy = false;
  if (status != CA_CALL_OK || task->sent_order != task->order)
    return;
  answers = rollout_row_answers (leader, task, row);
  rollout_note_row (task, version,
                    answers ? row->stage : CA_ROLLOUT_STAGE_UNKNOWN,
                    answers ? row->began_ms : 0);
  task->was_polled = true;
  if (task->sent_fence != 0)
    {
      task->was_read = true;
      task->read_fence = task->sent_fence;
      task->next_call_us = now_us;
      /* Before the row, so that heartbeats carry the outcome. */
      if (rollout_is_terminal (task->row_stage))
        rollout_set_outcome (leader, task);
    }
  ca_gateway_rollout_status (
      leader->gateway, now_us, service,
      row == NULL || row->stage == CA_ROLLOUT_STAGE_UNKNOWN ? NULL : row);
}

/* Logs an accepted write. */
static void
rollout_log_written (ca_leader_t *leader, const ca_rollout_task_t *task)
{
  bool is_outcome = rollout_is_terminal (task->attempt);

  ca_counters_add (&leader->gateway->counters, CA_COUNT_ROLLOUT_WRITES, 1);
  ca_gateway_log (
      leader->gateway, CA_EVENT_ROLLOUT_STATUS_WRITTEN, NULL, task->service,
      "%s %s for order %" PRIu64 ", as version %" PRIu64 " under lease %" PRIu64
      "%s%s",
      task->target,
      is_outcome ? rollout_stage_names[task->attempt] : "in progress",
      task->order, task->version, leader->fence, is_outcome ? ": " : "",
      is_outcome ? task->reason : "");
}

void
ca_rollout_status_written (ca_leader_t *leader, uint64_t now_us,
                           const char *service, ca_call_status_t status,
                           uint64_t version)
{
  ca_rollout_task_t *task = rollout_task_find (leader, service);

  leader->gateway->now_us = now_us;
  if (task == NULL)
    return;
  task->busy = false;
  /* Only a read shows what a conflict or a missing answer means. */
  if (status != CA_CALL_OK || task->sent_order != task->order)
    {
      task->is_current = false;
      return;
    }
  task->next_call_us = now_us;
  rollout_note_row (task, version, task->attempt, task->attempt_began_ms);
  rollout_log_written (leader, task);
  if (rollout_is_terminal (task->row_stage))
    rollout_set_outcome (leader, task);
}
