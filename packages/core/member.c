/* Membership and failure detection in the manner of SWIM.  Every second an
 * entry probes one random member of its zone and one of any zone, first
 * directly and then through other members.  Changes are piggybacked on its
 * messages.  The cost per entry does not grow with the size of the group. */
#include "core/private.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define PROBE_PERIOD_US (1 * CA_US_PER_S)
#define PROBE_DIRECT_TIMEOUT_US (300 * CA_US_PER_MS)
#define PROBE_TIMEOUT_US (900 * CA_US_PER_MS)
#define PROBE_RELAY_COUNT 3
#define SUSPECT_TIMEOUT_US (2 * CA_US_PER_S)
#define JOIN_PERIOD_US (2 * CA_US_PER_S)
#define DEAD_RETENTION_US (600 * CA_US_PER_S)
#define RELAY_TIMEOUT_US (2 * CA_US_PER_S)

/* Up to this group size, entries gossip each configuration revision they
 * apply. */
#define PUBLISH_REVISION_MAX_MEMBERS 32

ca_member_t *
ca_member_find (const ca_core_t *core, uint64_t id)
{
  ca_member_t *member = NULL;

  HASH_FIND (hh, core->members, &id, sizeof id, member);
  return member;
}

static ca_member_t *
member_add (ca_core_t *core, uint64_t id)
{
  ca_member_t *member = calloc (1, sizeof *member);

  member->id = id;
  HASH_ADD (hh, core->members, id, sizeof member->id, member);
  return member;
}

static void
member_set_state (ca_core_t *core, ca_member_t *member, ca_member_state_t state)
{
  core->epoch++;
  member->state = state;
  member->since_us = core->now_us;
  member->sends_left = ca_gossip_transmit_count (core);
}

void
ca_member_init (ca_core_t *core)
{
  ca_member_t *self = member_add (core, core->id);

  self->address = core->options.peers;
  self->caller_port = core->options.caller_port;
  self->incarnation = core->incarnation;
  strlcpy (self->zone, core->options.zone, sizeof self->zone);
  strlcpy (self->name, core->options.name, sizeof self->name);
  member_set_state (core, self, CA_MEMBER_ALIVE);
}

void
ca_member_finish (ca_core_t *core)
{
  ca_member_t *member;
  ca_member_t *next;
  ca_relay_t *relay;

  HASH_ITER (hh, core->members, member, next)
  {
    HASH_DEL (core->members, member);
    free (member);
  }
  while ((relay = TAILQ_FIRST (&core->relays)) != NULL)
    {
      TAILQ_REMOVE (&core->relays, relay, entries);
      free (relay);
    }
}

void
ca_member_fill_update (const ca_member_t *member, Camphor__MemberUpdate *update)
{
  camphor__member_update__init (update);
  update->id = member->id;
  update->ip = member->address.ip;
  update->peer_port = member->address.port;
  update->caller_port = member->caller_port;
  update->zone = (char *)member->zone;
  update->name = (char *)member->name;
  update->state = member->state;
  update->incarnation = member->incarnation;
  update->config_revision = member->config_revision;
}

void
ca_member_publish_self (ca_core_t *core)
{
  ca_member_t *self = ca_member_find (core, core->id);

  self->incarnation = core->incarnation;
  self->config_revision = core->config.revision;
  if (HASH_COUNT (core->members) <= PUBLISH_REVISION_MAX_MEMBERS)
    self->sends_left = ca_gossip_transmit_count (core);
}

void
ca_member_leave (ca_core_t *core)
{
  ca_member_t *self = ca_member_find (core, core->id);
  ca_member_t *member;
  ca_member_t *next;

  core->leaving = true;
  self->incarnation = ++core->incarnation;
  member_set_state (core, self, CA_MEMBER_LEAVING);
  ca_trace (core, CA_EVENT_MEMBER_LEAVING, NULL, 0, "%s", self->name);
  /* Shards change owner, so members of the zone are notified immediately. */
  HASH_ITER (hh, core->members, member, next)
  {
    Camphor__Envelope envelope;

    if (member == self || strcmp (member->zone, self->zone) != 0
        || member->state == CA_MEMBER_DEAD)
      continue;
    self->sends_left++;
    ca_envelope_init (core, &envelope);
    ca_peer_send (core, member->id, &envelope);
  }
}

/* Refutes a wrong report about this entry by raising its incarnation. */
static void
member_refute (ca_core_t *core, const Camphor__MemberUpdate *update)
{
  ca_member_t *self = ca_member_find (core, core->id);

  if (update->incarnation < core->incarnation)
    return;
  if (update->incarnation == core->incarnation
      && update->state == (uint32_t)self->state)
    return;
  core->incarnation = update->incarnation + 1;
  self->incarnation = core->incarnation;
  member_set_state (core, self, self->state);
}

/* Logs a member's state if it is new or changed. */
static void
member_trace_state (ca_core_t *core, const ca_member_t *member, bool existed,
                    ca_member_state_t before)
{
  static const ca_event_number_t events[]
      = { CA_EVENT_MEMBER_JOINED, CA_EVENT_MEMBER_SUSPECT,
          CA_EVENT_MEMBER_LEAVING, CA_EVENT_MEMBER_DEAD };

  if (!existed || before != member->state)
    ca_trace (core, events[member->state], NULL, 0, "%s zone %s", member->name,
              member->zone);
}

static void
member_apply (ca_core_t *core, ca_member_t *member,
              const Camphor__MemberUpdate *update)
{
  member->address.ip = update->ip;
  member->address.port = (uint16_t)update->peer_port;
  member->caller_port = (uint16_t)update->caller_port;
  member->incarnation = update->incarnation;
  strlcpy (member->zone, update->zone, sizeof member->zone);
  strlcpy (member->name, update->name, sizeof member->name);
  member_set_state (core, member, (ca_member_state_t)update->state);
}

void
ca_member_update (ca_core_t *core, const Camphor__MemberUpdate *update,
                  bool pass_on)
{
  ca_member_t *member = ca_member_find (core, update->id);
  ca_member_state_t before = CA_MEMBER_DEAD;
  bool existed = member != NULL;
  bool newer;

  if (update->state > CA_MEMBER_DEAD)
    return;
  if (update->id == core->id)
    {
      member_refute (core, update);
      return;
    }
  if (!existed && update->state == CA_MEMBER_DEAD)
    return;
  if (!existed)
    member = member_add (core, update->id);
  else
    before = member->state;
  newer = !existed || update->incarnation > member->incarnation
          || (update->incarnation == member->incarnation
              && update->state > (uint32_t)member->state);
  if (newer)
    {
      member_apply (core, member, update);
      if (!pass_on)
        member->sends_left = 0;
      member_trace_state (core, member, existed, before);
      if (member->state == CA_MEMBER_DEAD && before != CA_MEMBER_DEAD)
        ca_sched_coordinator_dead (core, member->id);
    }
  if (update->config_revision > member->config_revision
      && update->incarnation >= member->incarnation)
    {
      member->config_revision = update->config_revision;
      if (HASH_COUNT (core->members) <= PUBLISH_REVISION_MAX_MEMBERS)
        member->sends_left = ca_gossip_transmit_count (core);
    }
}

/* Sends the whole membership table to a member that has just joined. */
static void
member_send_all (ca_core_t *core, uint64_t to)
{
  ca_member_t *member;
  ca_member_t *next;
  size_t count = HASH_COUNT (core->members);
  Camphor__MemberUpdate *rows = calloc (count, sizeof *rows);
  Camphor__MemberUpdate **list = calloc (count, sizeof *list);
  const ca_member_t *target = ca_member_find (core, to);
  Camphor__Envelope envelope;
  size_t used = 0;

  HASH_ITER (hh, core->members, member, next)
  {
    if (member->state == CA_MEMBER_DEAD)
      continue;
    ca_member_fill_update (member, &rows[used]);
    list[used] = &rows[used];
    used++;
  }
  ca_envelope_init (core, &envelope);
  envelope.n_members = used;
  envelope.members = list;
  core->ports.send_peer (core->ports.context, to, &target->address, &envelope);
  free (rows);
  free (list);
}

void
ca_member_received (ca_core_t *core, const Camphor__Envelope *envelope)
{
  ca_member_t *member = ca_member_find (core, envelope->from);

  if (member == NULL)
    return;
  member->received_us = core->now_us;
  ca_revision_reported (core, member->id, member->config_revision);
}

static void
member_send_ping (ca_core_t *core, uint64_t to, uint64_t seq)
{
  Camphor__Envelope envelope;
  Camphor__Ping ping = CAMPHOR__PING__INIT;

  ping.seq = seq;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_PING;
  envelope.ping = &ping;
  ca_peer_send (core, to, &envelope);
}

static void
member_send_ack (ca_core_t *core, uint64_t to, uint64_t seq, uint64_t subject)
{
  Camphor__Envelope envelope;
  Camphor__Ack ack = CAMPHOR__ACK__INIT;

  ack.seq = seq;
  ack.subject = subject;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_ACK;
  envelope.ack = &ack;
  ca_peer_send (core, to, &envelope);
}

void
ca_member_ping (ca_core_t *core, const Camphor__Envelope *envelope)
{
  if (envelope->ping->join && ca_member_find (core, envelope->from) != NULL)
    member_send_all (core, envelope->from);
  member_send_ack (core, envelope->from, envelope->ping->seq, core->id);
}

void
ca_member_ping_request (ca_core_t *core, const Camphor__Envelope *envelope)
{
  ca_relay_t *relay = calloc (1, sizeof *relay);

  relay->seq = ++core->probe_seq;
  relay->requester = envelope->from;
  relay->requester_seq = envelope->ping_request->seq;
  relay->sent_us = core->now_us;
  TAILQ_INSERT_TAIL (&core->relays, relay, entries);
  member_send_ping (core, envelope->ping_request->target, relay->seq);
}

/* Forwards an acknowledgement to the requester of an indirect ping. */
static void
member_ack_relay (ca_core_t *core, uint64_t seq, uint64_t subject)
{
  ca_relay_t *relay;

  TAILQ_FOREACH (relay, &core->relays, entries)
  {
    if (relay->seq != seq)
      continue;
    member_send_ack (core, relay->requester, relay->requester_seq, subject);
    TAILQ_REMOVE (&core->relays, relay, entries);
    free (relay);
    return;
  }
}

void
ca_member_ack (ca_core_t *core, const Camphor__Envelope *envelope)
{
  const Camphor__Ack *ack = envelope->ack;

  for (size_t i = 0; i < 2; i++)
    {
      ca_probe_t *probe = &core->probes[i];

      if (probe->waiting && probe->seq == ack->seq
          && probe->target == ack->subject)
        probe->waiting = false;
    }
  member_ack_relay (core, ack->seq, ack->subject);
}

/* True if the member is not dead, is not this entry, and is in `zone` or `zone`
 * is NULL. */
static bool
member_is_peer (const ca_core_t *core, const ca_member_t *member,
                const char *zone)
{
  if (member->id == core->id || member->state == CA_MEMBER_DEAD)
    return false;
  return zone == NULL || strcmp (member->zone, zone) == 0;
}

ca_member_t *
ca_member_random (ca_core_t *core, const char *zone)
{
  ca_member_t *chosen = NULL;
  ca_member_t *member;
  ca_member_t *next;
  uint64_t candidates = 0;

  HASH_ITER (hh, core->members, member, next)
  {
    if (!member_is_peer (core, member, zone))
      continue;
    candidates++;
    if (ca_random_below (core, candidates) == 0)
      chosen = member;
  }
  return chosen;
}

/* Asks random members to ping the target on this entry's behalf. */
static void
member_probe_indirectly (ca_core_t *core, ca_probe_t *probe)
{
  for (int i = 0; i < PROBE_RELAY_COUNT; i++)
    {
      ca_member_t *relay = ca_member_random (core, NULL);
      Camphor__PingRequest request = CAMPHOR__PING_REQUEST__INIT;
      Camphor__Envelope envelope;

      if (relay == NULL || relay->id == probe->target)
        continue;
      request.seq = probe->seq;
      request.target = probe->target;
      ca_envelope_init (core, &envelope);
      envelope.body_case = CAMPHOR__ENVELOPE__BODY_PING_REQUEST;
      envelope.ping_request = &request;
      ca_peer_send (core, relay->id, &envelope);
    }
}

static void
member_mark_dead (ca_core_t *core, ca_member_t *member)
{
  ca_member_state_t before = member->state;

  member_set_state (core, member, CA_MEMBER_DEAD);
  member_trace_state (core, member, true, before);
  ca_sched_coordinator_dead (core, member->id);
}

/* Handles a probe that got neither a direct nor an indirect acknowledgement. */
static void
member_probe_failed (ca_core_t *core, ca_probe_t *probe)
{
  ca_member_t *member = ca_member_find (core, probe->target);

  probe->waiting = false;
  if (member == NULL)
    return;
  if (member->state == CA_MEMBER_ALIVE)
    {
      member_set_state (core, member, CA_MEMBER_SUSPECT);
      member_trace_state (core, member, true, CA_MEMBER_ALIVE);
    }
  else if (member->state == CA_MEMBER_LEAVING)
    member_mark_dead (core, member);
}

static void
member_probe_tick (ca_core_t *core, ca_probe_t *probe)
{
  uint64_t age_us = core->now_us - probe->sent_us;

  if (!probe->waiting)
    return;
  if (age_us >= PROBE_TIMEOUT_US)
    member_probe_failed (core, probe);
  else if (age_us >= PROBE_DIRECT_TIMEOUT_US && !probe->indirect)
    {
      probe->indirect = true;
      member_probe_indirectly (core, probe);
    }
}

static void
member_probe_start (ca_core_t *core, ca_probe_t *probe, const char *zone)
{
  ca_member_t *target = ca_member_random (core, zone);

  if (target == NULL)
    return;
  probe->waiting = true;
  probe->indirect = false;
  probe->target = target->id;
  probe->seq = ++core->probe_seq;
  probe->sent_us = core->now_us;
  member_send_ping (core, target->id, probe->seq);
}

/* Declares suspects dead that did not refute in time, and removes dead members
 * after their retention time. */
static void
member_expire (ca_core_t *core)
{
  ca_member_t *member;
  ca_member_t *next;

  HASH_ITER (hh, core->members, member, next)
  {
    uint64_t age_us = core->now_us - member->since_us;

    if (member->id == core->id)
      continue;
    if (member->state == CA_MEMBER_SUSPECT && age_us >= SUSPECT_TIMEOUT_US)
      member_mark_dead (core, member);
    else if (member->state == CA_MEMBER_DEAD && age_us >= DEAD_RETENTION_US)
      {
        HASH_DEL (core->members, member);
        free (member);
      }
  }
}

static void
member_expire_relays (ca_core_t *core)
{
  ca_relay_t *relay = TAILQ_FIRST (&core->relays);

  while (relay != NULL && core->now_us - relay->sent_us > RELAY_TIMEOUT_US)
    {
      TAILQ_REMOVE (&core->relays, relay, entries);
      free (relay);
      relay = TAILQ_FIRST (&core->relays);
    }
}

/* Pings the seeds that are not live members, and sometimes a dead member, so
 * that groups split by a network partition merge again. */
static void
member_join (ca_core_t *core)
{
  Camphor__Envelope envelope;
  Camphor__Ping ping = CAMPHOR__PING__INIT;
  ca_member_t *member;
  ca_member_t *next;

  core->next_join_us = core->now_us + JOIN_PERIOD_US;
  ping.join = HASH_COUNT (core->members) <= core->seed_count;
  for (size_t i = 0; i < core->seed_count; i++)
    {
      member = ca_member_find (core, ca_address_id (&core->seeds[i]));
      if (member != NULL && member->state != CA_MEMBER_DEAD)
        continue;
      ca_envelope_init (core, &envelope);
      envelope.body_case = CAMPHOR__ENVELOPE__BODY_PING;
      envelope.ping = &ping;
      ca_peer_send_address (core, &core->seeds[i], &envelope);
    }
  HASH_ITER (hh, core->members, member, next)
  {
    if (member->state == CA_MEMBER_DEAD && ca_random_below (core, 4) == 0)
      {
        member_send_ping (core, member->id, 0);
        break;
      }
  }
}

void
ca_member_tick (ca_core_t *core)
{
  for (size_t i = 0; i < 2; i++)
    member_probe_tick (core, &core->probes[i]);
  member_expire (core);
  member_expire_relays (core);
  if (core->now_us >= core->next_join_us)
    member_join (core);
  if (core->now_us < core->next_probe_us)
    return;
  core->next_probe_us = core->now_us + PROBE_PERIOD_US
                        + ca_random_below (core, PROBE_PERIOD_US / 10);
  member_probe_start (core, &core->probes[0], core->options.zone);
  member_probe_start (core, &core->probes[1], NULL);
}

/* Rendezvous hashing: the members with the highest hashes own the shard. */
static uint64_t
member_rendezvous_hash (uint64_t member, const char *zone, const char *pool,
                        uint32_t shard)
{
  uint64_t hash = XXH64 (zone, strlen (zone), member);

  hash = XXH64 (pool, strlen (pool), hash);
  return XXH64 (&shard, sizeof shard, hash);
}

ca_member_t *
ca_member_owner (const ca_core_t *core, const char *zone, const char *pool,
                 uint32_t shard, uint32_t rank)
{
  uint64_t upper_hash = UINT64_MAX;
  ca_member_t *best = NULL;

  /* Each pass finds the highest hash below that of the previous rank. */
  for (uint32_t i = 0; i <= rank; i++)
    {
      uint64_t best_hash = 0;
      ca_member_t *member;
      ca_member_t *next;

      best = NULL;
      HASH_ITER (hh, core->members, member, next)
      {
        uint64_t hash;

        if (member->state != CA_MEMBER_ALIVE
            || strcmp (member->zone, zone) != 0)
          continue;
        hash = member_rendezvous_hash (member->id, zone, pool, shard);
        if (hash < upper_hash && hash >= best_hash)
          {
            best = member;
            best_hash = hash;
          }
      }
      if (best == NULL)
        return NULL;
      upper_hash = best_hash;
    }
  return best;
}

ca_member_t *
ca_member_by_hash (const ca_core_t *core, const char *name)
{
  uint64_t best_hash = 0;
  ca_member_t *best = NULL;
  ca_member_t *member;
  ca_member_t *next;

  HASH_ITER (hh, core->members, member, next)
  {
    uint64_t hash = member_rendezvous_hash (member->id, "", name, 0);

    if (member->state == CA_MEMBER_ALIVE && hash >= best_hash)
      {
        best = member;
        best_hash = hash;
      }
  }
  return best;
}

ca_member_t *
ca_member_handover_target (const ca_core_t *core, uint64_t request,
                           uint32_t rank)
{
  const char *zone = core->options.zone;
  uint32_t shard = (uint32_t)request;
  uint32_t skipped = 0;

  /* A leaving entry does not count itself as live. */
  if (ca_member_live_count (core, zone) <= (core->leaving ? 0 : 1))
    {
      ca_member_t *member;
      ca_member_t *next;

      HASH_ITER (hh, core->members, member, next)
      {
        if (member->id != core->id && member->state == CA_MEMBER_ALIVE
            && skipped++ == rank)
          return member;
      }
      return NULL;
    }
  for (uint32_t i = 0;; i++)
    {
      ca_member_t *member = ca_member_owner (core, zone, "request", shard, i);

      if (member == NULL)
        return NULL;
      if (member->id != core->id && skipped++ == rank)
        return member;
    }
}

size_t
ca_member_live_count (const ca_core_t *core, const char *zone)
{
  ca_member_t *member;
  ca_member_t *next;
  size_t count = 0;

  HASH_ITER (hh, core->members, member, next)
  {
    if (member->state == CA_MEMBER_ALIVE
        && (zone == NULL || strcmp (member->zone, zone) == 0))
      count++;
  }
  return count;
}
