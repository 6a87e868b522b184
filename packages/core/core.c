/* Creation and destruction of a core instance, its clock, and the dispatch of
 * incoming messages. */
#include "core/private.h"

#include "base/timeline.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void
ca_core_init (ca_core_t *core, const ca_core_options_t *options,
              const ca_ports_t *ports, uint64_t now_us, uint64_t wall_us)
{
  memset (core, 0, sizeof *core);
  core->options = *options;
  core->ports = *ports;
  core->now_us = now_us;
  core->wall_offset_us = wall_us - now_us;
  core->rng[0] = (unsigned short)options->seed;
  core->rng[1] = (unsigned short)(options->seed >> 16);
  core->rng[2] = (unsigned short)options->peers.port;
  core->id = ca_address_id (&options->peers);
  core->incarnation = options->incarnation;
  core->retry_tokens = CA_RETRY_BUDGET_MAX;
  core->store.write_tokens = options->store_writes_per_s;
  core->store.refill_us = now_us;
  TAILQ_INIT (&core->local_messages);
  TAILQ_INIT (&core->relays);
  TAILQ_INIT (&core->shards);
  TAILQ_INIT (&core->pending_writes);
  TAILQ_INIT (&core->crashes);
  TAILQ_INIT (&core->fleet.orders);
  ca_hlc_init (&core->hlc);
  ca_counters_init (&core->counters);
  ca_config_init (&core->config);
  ca_member_init (core);
}

void
ca_core_finish (ca_core_t *core)
{
  ca_local_message_t *local_messages;

  while ((local_messages = TAILQ_FIRST (&core->local_messages)) != NULL)
    {
      TAILQ_REMOVE (&core->local_messages, local_messages, entries);
      camphor__envelope__free_unpacked (local_messages->envelope, NULL);
      free (local_messages);
    }
  ca_request_finish_all (core);
  ca_handover_finish (core);
  ca_sched_finish (core);
  ca_endpoint_finish (core);
  ca_pending_write_finish (core);
  ca_store_finish (core);
  ca_suspect_finish (core);
  ca_fleet_finish (core);
  ca_revision_finish (core);
  ca_member_finish (core);
  ca_config_finish (&core->config);
}

void
ca_invariant_failed (ca_core_t *core, const char *name)
{
  ca_trace (core, CA_EVENT_INVARIANT, NULL, 0, "%s", name);
  abort ();
}

double
ca_random (ca_core_t *core)
{
  return erand48 (core->rng);
}

uint64_t
ca_random_below (ca_core_t *core, uint64_t limit)
{
  return (uint64_t)(ca_random (core) * (double)limit);
}

void
ca_trace (ca_core_t *core, ca_event_number_t number,
          const ca_request_t *request, uint64_t endpoint, const char *format,
          ...)
{
  char detail[CA_TIMELINE_DETAIL_BYTES];
  va_list args;

  va_start (args, format);
  vsnprintf (detail, sizeof detail, format, args);
  va_end (args);
  core->ports.trace (core->ports.context, number, request ? request->id : 0,
                     endpoint, request ? request->workspace : "", detail);
}

/* Dispatches a message to the handler for its body type. */
static void
core_handle_envelope (ca_core_t *core, const Camphor__Envelope *envelope)
{
  switch (envelope->body_case)
    {
    case CAMPHOR__ENVELOPE__BODY_PING:
      ca_member_ping (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_ACK:
      ca_member_ack (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_PING_REQUEST:
      ca_member_ping_request (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_ASK:
      ca_sched_slot_request (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_ASK_ACK:
      ca_request_slot_ack (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_GRANT:
      ca_request_grant (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_REJECT:
      ca_request_reject (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_RELEASE:
      ca_sched_release (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_HOLDS:
      ca_sched_holds (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_CONFIG_WANT:
      ca_revision_config_want (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_CONFIG_DELTA:
      ca_revision_config_delta (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_HAND_OVER:
      ca_handover_receive (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_HAND_OVER_ACK:
      ca_handover_ack (core, envelope);
      break;
    case CAMPHOR__ENVELOPE__BODY_FIND_REQUEST:
      ca_handover_find (core, envelope);
      break;
    default: /* updates only, or a body type of a newer version */
      break;
    }
}

/* Delivers the messages that this entry queued for itself. */
static void
core_dispatch_local (ca_core_t *core)
{
  ca_local_message_t *local_messages;

  while ((local_messages = TAILQ_FIRST (&core->local_messages)) != NULL)
    {
      TAILQ_REMOVE (&core->local_messages, local_messages, entries);
      core_handle_envelope (core, local_messages->envelope);
      camphor__envelope__free_unpacked (local_messages->envelope, NULL);
      free (local_messages);
    }
}

void
ca_core_begin_event (ca_core_t *core, uint64_t now_us)
{
  CA_INVARIANT (core, now_us >= core->now_us, "time never runs backwards");
  core->now_us = now_us;
}

void
ca_core_end_event (ca_core_t *core)
{
  core_dispatch_local (core);
}

void
ca_core_tick (ca_core_t *core, uint64_t now_us)
{
  ca_core_begin_event (core, now_us);
  ca_member_tick (core);
  ca_endpoint_tick (core);
  ca_sched_tick (core);
  ca_drain_tick (core);
  ca_request_tick (core);
  ca_suspect_tick (core);
  ca_pending_write_tick (core);
  ca_revision_tick (core);
  ca_handover_tick (core);
  ca_fleet_tick (core);
  ca_core_end_event (core);
}

void
ca_core_peer_message (ca_core_t *core, uint64_t now_us,
                      const Camphor__Envelope *envelope)
{
  ca_core_begin_event (core, now_us);
  ca_hlc_observe (&core->hlc, envelope->hlc, now_us + core->wall_offset_us);
  ca_gossip_receive (core, envelope);
  ca_member_received (core, envelope);
  core_handle_envelope (core, envelope);
  ca_core_end_event (core);
}

void
ca_core_add_seed (ca_core_t *core, const ca_address_t *address)
{
  size_t max_seeds = sizeof core->seeds / sizeof core->seeds[0];

  if (ca_address_id (address) == core->id)
    return;
  for (size_t i = 0; i < core->seed_count; i++)
    {
      if (core->seeds[i].ip == address->ip
          && core->seeds[i].port == address->port)
        return;
    }
  if (core->seed_count < max_seeds)
    core->seeds[core->seed_count++] = *address;
}

uint64_t
ca_core_new_request_id (ca_core_t *core)
{
  uint64_t parts[3] = { core->id, core->options.incarnation, ++core->next_id };
  uint64_t id = XXH64 (parts, sizeof parts, core->options.seed);

  return id == 0 ? 1 : id;
}

void
ca_core_stop (ca_core_t *core, uint64_t now_us)
{
  ca_core_begin_event (core, now_us);
  if (!core->stopping)
    {
      core->stopping = true;
      core->stop_us = now_us;
      core->handover_at_us = now_us + core->options.drain_limit_us;
      ca_member_leave (core);
      ca_sched_return_queued (core);
    }
  ca_core_end_event (core);
}

void
ca_core_reclaimed (ca_core_t *core, uint64_t now_us, uint64_t notice_us)
{
  uint64_t move_us = now_us + notice_us / 2;

  ca_core_stop (core, now_us);
  if (move_us < core->handover_at_us)
    core->handover_at_us = move_us;
}

bool
ca_core_is_stopped (const ca_core_t *core)
{
  uint64_t idle_since_us = core->last_request_us > core->stop_us
                               ? core->last_request_us
                               : core->stop_us;

  if (!core->stopping || core->active > 0 || core->lookups != NULL)
    return false;
  if (core->now_us < core->stop_us + core->options.lame_duck_us)
    return core->now_us >= core->handover_at_us;
  if (ca_pending_write_exists (core) && core->now_us < core->handover_at_us)
    return false;
  return core->now_us >= idle_since_us + CA_TICK_US;
}

bool
ca_core_is_ready (const ca_core_t *core)
{
  return !core->stopping && core->config.revision > 0;
}

const ca_tokens_t *
ca_core_tokens (const ca_core_t *core, uint64_t request)
{
  const ca_request_t *row = ca_request_find (core, request);

  return row == NULL ? NULL : &row->tokens;
}
