/* Sends messages to peers, with pending updates piggybacked on each. */
#include "core/private.h"

#include "wire/frame.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define GOSSIP_MEMBERS 6
#define GOSSIP_ENDPOINTS 8
#define GOSSIP_FINGERPRINTS 4

/* An update is transmitted this many times log2 of the group size. */
#define GOSSIP_REPEAT_FACTOR 3

/* Members that an entry notifies immediately of a leaving endpoint or a new
 * suspect. */
#define GOSSIP_FANOUT 3

/* Storage for the updates of one message. */
typedef struct
{
  Camphor__MemberUpdate members[GOSSIP_MEMBERS];
  Camphor__MemberUpdate *member_list[GOSSIP_MEMBERS];
  Camphor__EndpointUpdate endpoints[GOSSIP_ENDPOINTS];
  Camphor__EndpointUpdate *endpoint_list[GOSSIP_ENDPOINTS];
  Camphor__FingerprintUpdate fingerprints[GOSSIP_FINGERPRINTS];
  Camphor__FingerprintUpdate *fingerprint_list[GOSSIP_FINGERPRINTS];
} ca_gossip_buffer_t;

uint32_t
ca_gossip_transmit_count (const ca_core_t *core)
{
  double members = (double)HASH_COUNT (core->members) + 1;

  return (uint32_t)ceil (GOSSIP_REPEAT_FACTOR * log2 (members + 1));
}

void
ca_envelope_init (ca_core_t *core, Camphor__Envelope *envelope)
{
  camphor__envelope__init (envelope);
  envelope->version = CA_WIRE_VERSION;
  envelope->from = core->id;
  envelope->incarnation = core->incarnation;
  envelope->hlc = ca_hlc_now (&core->hlc, core->now_us + core->wall_offset_us);
}

static void
gossip_add_member (ca_gossip_buffer_t *buffer, Camphor__Envelope *envelope,
                   const ca_member_t *member)
{
  size_t i = envelope->n_members++;

  ca_member_fill_update (member, &buffer->members[i]);
  buffer->member_list[i] = &buffer->members[i];
}

static bool
gossip_contains (const ca_gossip_buffer_t *buffer, size_t count, uint64_t id)
{
  for (size_t i = 0; i < count; i++)
    {
      if (buffer->members[i].id == id)
        return true;
    }
  return false;
}

/* Returns the member with the latest change that is still to be gossiped and
 * not in `buffer` yet; NULL if there is none. */
static ca_member_t *
gossip_next_member (const ca_core_t *core, const ca_gossip_buffer_t *buffer,
                    size_t count, const ca_member_t *target)
{
  ca_member_t *best = NULL;
  ca_member_t *member;
  ca_member_t *next;

  HASH_ITER (hh, core->members, member, next)
  {
    if (member->sends_left == 0 || member == target
        || gossip_contains (buffer, count, member->id))
      continue;
    if (best == NULL || member->since_us > best->since_us
        || (member->since_us == best->since_us
            && member->sends_left > best->sends_left))
      best = member;
  }
  return best;
}

/* Pings and acknowledgements carry the sender's row.  The receiver gets its own
 * row if it is suspect or dead, so that it can refute; then come the pending
 * updates. */
static void
gossip_fill_members (ca_core_t *core, uint64_t to, Camphor__Envelope *envelope,
                     ca_gossip_buffer_t *buffer)
{
  ca_member_t *target = ca_member_find (core, to);
  ca_member_t *member;

  envelope->members = buffer->member_list;
  if (envelope->body_case == CAMPHOR__ENVELOPE__BODY_PING
      || envelope->body_case == CAMPHOR__ENVELOPE__BODY_ACK)
    gossip_add_member (buffer, envelope, ca_member_find (core, core->id));
  if (target != NULL
      && (target->state == CA_MEMBER_SUSPECT
          || target->state == CA_MEMBER_DEAD))
    gossip_add_member (buffer, envelope, target);
  while (envelope->n_members < GOSSIP_MEMBERS)
    {
      member = gossip_next_member (core, buffer, envelope->n_members, target);
      if (member == NULL)
        return;
      member->sends_left--;
      gossip_add_member (buffer, envelope, member);
    }
}

static void
gossip_fill_endpoints (ca_core_t *core, Camphor__Envelope *envelope,
                       ca_gossip_buffer_t *buffer)
{
  ca_endpoint_t *endpoint;
  ca_endpoint_t *next;

  envelope->endpoints = buffer->endpoint_list;
  HASH_ITER (hh, core->endpoints, endpoint, next)
  {
    size_t i = envelope->n_endpoints;

    if (i == GOSSIP_ENDPOINTS)
      break;
    if (endpoint->sends_left == 0)
      continue;
    endpoint->sends_left--;
    camphor__endpoint_update__init (&buffer->endpoints[i]);
    buffer->endpoints[i].id = endpoint->id;
    buffer->endpoints[i].boot = endpoint->boot;
    buffer->endpoints[i].state = endpoint->state;
    if (endpoint->leaving_at_us > core->now_us)
      buffer->endpoints[i].notice_us = endpoint->leaving_at_us - core->now_us;
    buffer->endpoint_list[i] = &buffer->endpoints[i];
    envelope->n_endpoints++;
  }
}

static void
gossip_fill_fingerprints (ca_core_t *core, Camphor__Envelope *envelope,
                          ca_gossip_buffer_t *buffer)
{
  ca_suspect_t *suspect;
  ca_suspect_t *next;

  envelope->fingerprints = buffer->fingerprint_list;
  HASH_ITER (hh, core->suspects, suspect, next)
  {
    size_t i = envelope->n_fingerprints;

    if (i == GOSSIP_FINGERPRINTS)
      break;
    if (suspect->sends_left == 0)
      continue;
    suspect->sends_left--;
    camphor__fingerprint_update__init (&buffer->fingerprints[i]);
    buffer->fingerprints[i].fingerprint = suspect->fingerprint;
    buffer->fingerprints[i].level = suspect->level;
    buffer->fingerprint_list[i] = &buffer->fingerprints[i];
    envelope->n_fingerprints++;
  }
}

/* Queues a copy of the message for this entry itself. */
static void
gossip_send_local (ca_core_t *core, const Camphor__Envelope *envelope)
{
  size_t bytes = camphor__envelope__get_packed_size (envelope);
  uint8_t *packed = malloc (bytes);
  ca_local_message_t *local_messages = calloc (1, sizeof *local_messages);

  camphor__envelope__pack (envelope, packed);
  local_messages->envelope = camphor__envelope__unpack (NULL, bytes, packed);
  free (packed);
  TAILQ_INSERT_TAIL (&core->local_messages, local_messages, entries);
}

/* Adds pending updates to a message and sends it. */
static void
gossip_send (ca_core_t *core, uint64_t to, const ca_address_t *address,
             Camphor__Envelope *envelope)
{
  ca_gossip_buffer_t buffer;

  gossip_fill_members (core, to, envelope, &buffer);
  gossip_fill_endpoints (core, envelope, &buffer);
  gossip_fill_fingerprints (core, envelope, &buffer);
  ca_counters_add (&core->counters, CA_COUNT_PEER_MESSAGES, 1);
  ca_counters_add (&core->counters, CA_COUNT_PEER_BYTES,
                   ca_frame_bytes (envelope));
  core->ports.send_peer (core->ports.context, to, address, envelope);
}

void
ca_peer_send (ca_core_t *core, uint64_t to, Camphor__Envelope *envelope)
{
  const ca_member_t *member;

  if (to == core->id)
    {
      gossip_send_local (core, envelope);
      return;
    }
  member = ca_member_find (core, to);
  if (member != NULL)
    gossip_send (core, to, &member->address, envelope);
}

void
ca_peer_send_address (ca_core_t *core, const ca_address_t *address,
                      Camphor__Envelope *envelope)
{
  gossip_send (core, ca_address_id (address), address, envelope);
}

void
ca_gossip_receive (ca_core_t *core, const Camphor__Envelope *envelope)
{
  /* The rows of a whole membership table are not gossiped further: the other
   * members have them already. */
  bool whole_table = envelope->n_members > GOSSIP_MEMBERS;

  for (size_t i = 0; i < envelope->n_members; i++)
    ca_member_update (core, envelope->members[i], !whole_table);
  for (size_t i = 0; i < envelope->n_endpoints; i++)
    ca_endpoint_update (core, envelope->endpoints[i]);
  for (size_t i = 0; i < envelope->n_fingerprints; i++)
    ca_suspect_update (core, envelope->fingerprints[i]);
}

void
ca_gossip_push (ca_core_t *core)
{
  for (int i = 0; i < GOSSIP_FANOUT; i++)
    {
      ca_member_t *member = ca_member_random (core, core->options.zone);
      Camphor__Envelope envelope;

      if (member == NULL)
        return;
      ca_envelope_init (core, &envelope);
      ca_peer_send (core, member->id, &envelope);
    }
}
