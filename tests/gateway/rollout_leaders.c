/* Entries that lead rollouts, and the store that they write to. */
#include "rollout_leaders.h"

#include <stdlib.h>
#include <string.h>

rollout_leaders_t world;

static entry_t *
entry_of (const ca_gateway_t *gateway)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (&world.entries[i].gateway == gateway)
        return &world.entries[i];
    }
  fail_msg ("not a gateway of the test");
  return NULL;
}

ca_rollout_t *__wrap_ca_rollout_next (const ca_gateway_t *gateway,
                                      const ca_rollout_t *rollout);
ca_rollout_t *__wrap_ca_rollout_find (const ca_gateway_t *gateway,
                                      const char *service);
void __wrap_ca_rollout_progress (ca_gateway_t *gateway,
                                 const ca_rollout_t *rollout,
                                 ca_rollout_progress_t *progress);
void __wrap_ca_rollout_set_stage (ca_gateway_t *gateway, ca_rollout_t *rollout,
                                  ca_rollout_stage_t stage,
                                  uint32_t share_permille);
void __wrap_ca_gateway_rollout_status (ca_gateway_t *gateway, uint64_t now_us,
                                       const char *service,
                                       const ca_rollout_status_t *status);

ca_rollout_t *
__wrap_ca_rollout_next (const ca_gateway_t *gateway,
                        const ca_rollout_t *rollout)
{
  entry_t *entry = entry_of (gateway);

  return rollout == NULL && entry->rollout.exists ? &entry->rollout : NULL;
}

ca_rollout_t *
__wrap_ca_rollout_find (const ca_gateway_t *gateway, const char *service)
{
  entry_t *entry = entry_of (gateway);

  return entry->rollout.exists && strcmp (service, SERVICE) == 0
             ? &entry->rollout
             : NULL;
}

void
__wrap_ca_rollout_progress (ca_gateway_t *gateway, const ca_rollout_t *rollout,
                            ca_rollout_progress_t *progress)
{
  (void)gateway;
  *progress = rollout->progress;
}

void
__wrap_ca_rollout_set_stage (ca_gateway_t *gateway, ca_rollout_t *rollout,
                             ca_rollout_stage_t stage, uint32_t share_permille)
{
  entry_t *leader = entry_of (gateway);

  leader->stages_set++;
  for (size_t i = 0; i < ENTRIES; i++)
    {
      ca_rollout_progress_t *progress = &world.entries[i].rollout.progress;

      if ((leader->cut_off || world.entries[i].cut_off)
          && &world.entries[i].rollout != rollout)
        continue;
      progress->stage = stage;
      progress->share_permille = share_permille;
    }
}

void
__wrap_ca_gateway_rollout_status (ca_gateway_t *gateway, uint64_t now_us,
                                  const char *service,
                                  const ca_rollout_status_t *status)
{
  entry_t *entry = entry_of (gateway);

  (void)now_us;
  assert_string_equal (service, SERVICE);
  entry->status_rows++;
  entry->status_stage
      = status == NULL ? CA_ROLLOUT_STAGE_UNKNOWN : status->stage;
}

/* Puts a row into the store; checks that an outcome stays. */
static void
store_put (const row_t *row)
{
  bool same = world.row.exists && world.row.status.order == row->status.order
              && strcmp (world.row.target, row->target) == 0;

  if (same && world.row.status.stage >= CA_ROLLOUT_COMPLETED
      && row->status.stage != world.row.status.stage)
    world.outcome_changed = true;
  world.row = *row;
  world.row.exists = true;
  world.row.version = ++world.version;
  world.row.status.target = world.row.target;
  world.writes++;
}

/* Carries out a call that is due, and answers it. */
static void
store_carry_out (const call_t *call)
{
  ca_leader_t *leader = &world.entries[call->entry].leader;
  uint64_t version = world.row.exists ? world.row.version : 0;

  if (!call->is_write)
    {
      ca_rollout_status_read (leader, world.now_us, SERVICE, CA_CALL_OK,
                              version,
                              world.row.exists ? &world.row.status : NULL);
      return;
    }
  if (call->expected != version)
    {
      world.conflicts++;
      if (call->answers)
        ca_rollout_status_written (leader, world.now_us, SERVICE,
                                   CA_CALL_CONFLICT, 0);
      return;
    }
  store_put (&call->row);
  if (call->answers)
    ca_rollout_status_written (leader, world.now_us, SERVICE, CA_CALL_OK,
                               world.version);
}

static void
store_call (const call_t *call)
{
  if (call->due_us <= world.now_us)
    {
      store_carry_out (call);
      return;
    }
  assert_true (world.call_count < WRITES_MAX);
  world.calls[world.call_count++] = *call;
}

static void
store_tick (void)
{
  for (size_t i = 0; i < world.call_count;)
    {
      call_t call = world.calls[i];

      if (call.due_us > world.now_us)
        {
          i++;
          continue;
        }
      world.calls[i] = world.calls[--world.call_count];
      store_carry_out (&call);
    }
}

static size_t
index_of (void *context)
{
  return (size_t)((entry_t *)context - world.entries);
}

static void
read_rollout (void *context, const char *service)
{
  entry_t *entry = context;
  call_t call = { .entry = index_of (context),
                  .due_us = world.now_us + world.delay_us };

  if (world.mode == STORE_DOWN)
    ca_rollout_status_read (&entry->leader, world.now_us, service,
                            CA_CALL_UNKNOWN, 0, NULL);
  else
    store_call (&call);
}

static void
write_rollout (void *context, const char *service, uint64_t version,
               const ca_rollout_status_t *row)
{
  entry_t *entry = context;
  call_t call = { .entry = index_of (context),
                  .is_write = true,
                  .answers = world.mode == STORE_OK,
                  .due_us = world.now_us + world.delay_us,
                  .expected = version };

  if (world.mode == STORE_DOWN)
    {
      ca_rollout_status_written (&entry->leader, world.now_us, service,
                                 CA_CALL_REFUSED, 0);
      return;
    }
  if (world.mode == STORE_APPLIES_LATE)
    call.due_us += 2 * CA_US_PER_S;
  call.row.status = *row;
  strlcpy (call.row.target, row->target, sizeof call.row.target);
  store_call (&call);
  if (!call.answers)
    ca_rollout_status_written (&entry->leader, world.now_us, service,
                               CA_CALL_UNKNOWN, 0);
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  (void)context;
  if (getenv ("NOTES") != NULL)
    print_message ("%.3f %d %s\n", (double)(world.now_us - START_US) / 1e6,
                   (int)event->event, event->detail);
}

void
order_put (uint64_t order, const char *target)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      struct ca_rollout *rollout = &world.entries[i].rollout;

      rollout->exists = true;
      rollout->progress
          = (ca_rollout_progress_t){ .service = SERVICE,
                                     .target = target,
                                     .order = order,
                                     .duration_s = DURATION_S,
                                     .learned_us = world.now_us,
                                     .old_endpoints = 6,
                                     .target_endpoints = 6,
                                     .open_old = 4,
                                     .entries = ENTRIES,
                                     .entries_at_stage = ENTRIES };
    }
}

static void
entry_start (size_t index)
{
  static const ca_gateway_ports_t ports = { .log = on_log };
  ca_leader_ports_t leader_ports
      = { .read_rollout = read_rollout, .write_rollout = write_rollout };
  entry_t *entry = &world.entries[index];
  ca_gateway_options_t options;

  cluster_options (&options, index, "z1");
  options.bounds.exposure_share = 0.1;
  leader_ports.context = entry;
  ca_gateway_init (&entry->gateway, &options, &ports, world.now_us,
                   world.now_us);
  ca_freshness_from_store (&entry->gateway.config_freshness, world.now_us,
                           world.now_us);
  entry->gateway.store_era = world.era;
  ca_leader_init (&entry->leader, &entry->gateway, &leader_ports, false, false);
}

void
world_start (void)
{
  memset (&world, 0, sizeof world);
  world.now_us = START_US;
  world.era = 1;
  for (size_t i = 0; i < ENTRIES; i++)
    entry_start (i);
  order_put (7, "v2");
}

void
lead (size_t index, uint64_t fence)
{
  ca_leader_t *leader = &world.entries[index].leader;

  leader->held = true;
  leader->fence = fence;
  leader->valid_until_us = UINT64_MAX;
}

void
lead_no_more (size_t index)
{
  world.entries[index].leader.held = false;
}

void
world_run (uint64_t ms)
{
  uint64_t end_us = world.now_us + ms * CA_US_PER_MS;

  while (world.now_us < end_us)
    {
      world.now_us += STEP_US;
      store_tick ();
      for (size_t i = 0; i < ENTRIES; i++)
        {
          world.entries[i].gateway.now_us = world.now_us;
          ca_rollout_orders_tick (&world.entries[i].leader);
        }
    }
}

void
world_end (void)
{
  assert_false (world.outcome_changed);
  for (size_t i = 0; i < ENTRIES; i++)
    {
      ca_leader_finish (&world.entries[i].leader);
      ca_gateway_finish (&world.entries[i].gateway);
    }
}

void
set_verdict (ca_rollout_verdict_t verdict)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      world.entries[i].rollout.progress.verdict = verdict;
      world.entries[i].rollout.progress.late_verdict = verdict;
    }
}

void
set_open_old (uint32_t open)
{
  for (size_t i = 0; i < ENTRIES; i++)
    world.entries[i].rollout.progress.open_old = open;
}

void
set_era (uint64_t era)
{
  world.era = era;
  for (size_t i = 0; i < ENTRIES; i++)
    world.entries[i].gateway.store_era = era;
}

const ca_rollout_progress_t *
progress_of (size_t index)
{
  return &world.entries[index].rollout.progress;
}
