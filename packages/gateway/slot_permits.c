/* Slots of brittle engines, handed out one by one.
 *
 * Requests at an engine last longer than what entries know of each other's
 * requests is valid, so all of them may take the same slot for free.  While a
 * service's engines are brittle, one entry coordinates each engine: the one
 * that all entries rank first for it among those of its zone.  The others ask
 * it for a permit for each request, and report when one has ended.
 *
 * The coordinator hands out as many slots as its window has.  A window starts
 * small, as nobody knows what room an engine has that has just started, and
 * grows while it is used up.  If the engine rejects a request, as its memory
 * may be full before its slots are, the window shrinks, and grows slowly from
 * there on.  A permit that is not used at once is returned. */
#include "gateway/private.h"

#include <stdlib.h>
#include <string.h>

/* Interval at which the coordinator of an engine is determined anew. */
#define SLOT_COORDINATOR_PERIOD_US (100 * CA_US_PER_MS)

/* A new coordinator grants nothing for this long: permits of the former one may
 * be on their way, and the others report what they use. */
#define SLOT_TAKEOVER_US (150 * CA_US_PER_MS)

/* Longest wait of a request for a permit in the coordinator's queue, and
 * allowed slots per request in that queue. */
#define SLOT_QUEUE_US (100 * CA_US_PER_MS)
#define SLOT_PER_QUEUED 8

/* A permit request without an answer for this long has failed; another one may
 * be sent after the second time. */
#define SLOT_TIMEOUT_US (150 * CA_US_PER_MS)
#define SLOT_RETRY_US (500 * CA_US_PER_MS)

/* Average pause after a denied permit request. */
#define SLOT_DENIED_US (100 * CA_US_PER_MS)

/* Permit requests for one request. */
#define SLOT_REQUESTS_MAX 2

/* A permit may be used for this long after it was requested.  One that has been
 * granted counts as used until its receiver has reported it, or has reported
 * anything later than it could use it. */
#define SLOT_PERMIT_US (200 * CA_US_PER_MS)
#define SLOT_TRANSIT_US (250 * CA_US_PER_MS)

/* Growth of a window that is used up, per second: as a multiple of itself, at
 * most this many times the rejections that the engine bears.  Above the size at
 * which a request was rejected it grows by this fraction of itself, and slots.
 */
#define SLOT_GROWTH 3.0
#define SLOT_GROWTH_PER_REJECTION 10.0
#define SLOT_GROWTH_SLOW 0.06
#define SLOT_GROWTH_SLOW_MIN 1.0
#define SLOT_GROWTH_STEP_US (100 * CA_US_PER_MS)

/* Part of what was in use at a rejection that is safe again. */
#define SLOT_SAFE_SHARE 0.9

/* Share of the rejections that an engine bears in a second after which the
 * coordinator grants nothing until the second is over. */
#define SLOT_REJECTIONS_SHARE 0.5
#define SLOT_REJECTIONS_MAX 8
#define SLOT_LIMIT_MAX (SLOT_REJECTIONS_MAX / SLOT_REJECTIONS_SHARE)
#define SLOT_REJECTIONS_US (1 * CA_US_PER_S)

/* What the coordinator knows of another entry's use of the engine. */
typedef struct
{
  uint64_t peer;
  uint64_t incarnation;
  uint32_t open;        /* as last reported */
  uint64_t reported_us; /* then, on the peer's clock */
  uint32_t granted;     /* number of the latest permit */
  uint32_t seen;        /* of the latest one that the report includes */
  uint64_t granted_us;
  UT_hash_handle hh;
} slot_user_t;

/* A permit request that waits for a slot. */
typedef struct slot_request
{
  uint64_t peer;     /* 0: this entry */
  uint64_t stamp_us; /* on the peer's clock */
  uint64_t expires_us;
  STAILQ_ENTRY (slot_request) entries;
} slot_request_t;

struct ca_slot_permits
{
  ca_gateway_endpoint_t *endpoint;
  uint64_t determined_us; /* when the coordinator was; 0 if never */
  uint64_t coordinator;   /* number of the peer; 0 if there is none */
  bool coordinates;       /* this entry is the coordinator */
  double share;           /* of the slots that the coordinator may use */
  /* At the coordinator. */
  slot_user_t *users;
  STAILQ_HEAD (, slot_request) queue;
  uint32_t queued;
  uint64_t ready_us;  /* grants nothing before */
  double window;      /* requests that may be open at once */
  double safe_window; /* it grows slowly above; 0 if nothing was rejected */
  uint64_t grown_us;
  uint64_t rejected_us[SLOT_REJECTIONS_MAX]; /* by number, the latest */
  uint64_t rejections;
  /* At all entries. */
  uint32_t permits; /* to be used now */
  uint32_t seen;    /* number of the latest one */
  uint64_t next_request_us;
  bool report_due;
  bool rejected; /* since the last report */
  bool failed;
  LIST_ENTRY (ca_slot_permits) entries;
};

static uint64_t
slot_instance (const ca_slot_permits_t *slots)
{
  return ca_gateway_endpoint_instance (slots->endpoint);
}

static void
slot_forget_users (ca_slot_permits_t *slots)
{
  slot_user_t *user;
  slot_user_t *next;

  HASH_ITER (hh, slots->users, user, next)
  {
    HASH_DEL (slots->users, user);
    free (user);
  }
}

static void
slot_pop_request (ca_slot_permits_t *slots)
{
  slot_request_t *request = STAILQ_FIRST (&slots->queue);

  STAILQ_REMOVE_HEAD (&slots->queue, entries);
  slots->queued--;
  free (request);
}

void
ca_slot_permits_free (ca_slot_permits_t *slots)
{
  if (slots == NULL)
    return;
  slot_forget_users (slots);
  while (!STAILQ_EMPTY (&slots->queue))
    slot_pop_request (slots);
  LIST_REMOVE (slots, entries);
  free (slots);
}

/* The state of an engine's slots, created if there is none. */
static ca_slot_permits_t *
slot_state (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint)
{
  ca_slot_permits_t *slots = endpoint->slot_permits;

  if (slots != NULL)
    return slots;
  slots = calloc (1, sizeof *slots);
  slots->endpoint = endpoint;
  STAILQ_INIT (&slots->queue);
  LIST_INSERT_HEAD (&gateway->slot_permits, slots, entries);
  endpoint->slot_permits = slots;
  return slots;
}

/* The peer's use of the engine, created if there is none. */
static slot_user_t *
slot_user (ca_slot_permits_t *slots, const ca_peer_t *peer)
{
  slot_user_t *user = NULL;

  HASH_FIND (hh, slots->users, &peer->id, sizeof peer->id, user);
  /* What an earlier process of the peer had open has ended with it. */
  if (user != NULL && user->incarnation != peer->incarnation)
    {
      HASH_DEL (slots->users, user);
      free (user);
      user = NULL;
    }
  if (user != NULL)
    return user;
  user = calloc (1, sizeof *user);
  user->peer = peer->id;
  user->incarnation = peer->incarnation;
  HASH_ADD (hh, slots->users, peer, sizeof user->peer, user);
  return user;
}

/* Requests that are open at the engine, or permitted. */
static double
slot_used (const ca_slot_permits_t *slots)
{
  const slot_user_t *user;
  double used = slots->endpoint->own_load.open + slots->permits;

  for (user = slots->users; user != NULL; user = user->hh.next)
    used += user->open + (user->granted - user->seen);
  return used;
}

/* Takes what a peer has reported of its use as of `stamp_us` on its clock.
 * `seen` is the number of the latest permit that this includes. */
static void
slot_take_report (const ca_peer_t *peer, slot_user_t *user, uint32_t open,
                  uint64_t stamp_us, uint32_t seen)
{
  bool settled = ca_peers_local_time (peer, stamp_us)
                 >= user->granted_us + SLOT_TRANSIT_US;

  if (stamp_us < user->reported_us)
    return;
  user->reported_us = stamp_us;
  user->open = open;
  if (settled)
    user->seen = user->granted;
  else if (seen > user->seen && seen <= user->granted)
    user->seen = seen;
}

/* Requests of a peer that are open at the engine, according to its latest
 * heartbeat. */
static uint32_t
slot_open_in_heartbeat (const ca_peer_t *peer,
                        const ca_gateway_endpoint_t *endpoint)
{
  const Camphor__Pulse *heartbeat = peer->heartbeat;

  for (size_t i = 0; i < heartbeat->n_loads; i++)
    {
      if (strcmp (heartbeat->loads[i]->seat, endpoint->id) == 0)
        return heartbeat->loads[i]->open;
    }
  return 0;
}

/* A heartbeat does not name the permits that it includes, so it counts only if
 * none can be under way. */
static void
slot_take_heartbeat (ca_slot_permits_t *slots, const ca_peer_t *peer)
{
  uint32_t open = slot_open_in_heartbeat (peer, slots->endpoint);
  slot_user_t *user = NULL;

  HASH_FIND (hh, slots->users, &peer->id, sizeof peer->id, user);
  if (user == NULL && open == 0)
    return;
  user = slot_user (slots, peer);
  if (user->granted == user->seen
      || ca_peers_local_time (peer, peer->stamp_us)
             >= user->granted_us + SLOT_TRANSIT_US)
    slot_take_report (peer, user, open, peer->stamp_us, user->granted);
}

/* Rejections in a second with which the coordinator reckons: at least one, and
 * no more than it keeps the times of. */
static double
slot_limit (ca_gateway_t *gateway, const ca_slot_permits_t *slots)
{
  double limit = ca_brittle_limit (gateway, slots->endpoint->service);

  if (!(limit > 1))
    return 1;
  return limit < SLOT_LIMIT_MAX ? limit : SLOT_LIMIT_MAX;
}

/* The window has room for one request at least, and for no more than the slots.
 */
static void
slot_bound_window (ca_slot_permits_t *slots)
{
  uint32_t listed = slots->endpoint->slots;

  if (listed > 0 && slots->window > listed)
    slots->window = listed;
  if (slots->window < 1)
    slots->window = 1;
}

/* This entry becomes the coordinator. */
static void
slot_take_over (ca_gateway_t *gateway, ca_slot_permits_t *slots)
{
  const ca_peer_t *peer;

  slot_forget_users (slots);
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer->loads_counted)
        slot_take_heartbeat (slots, peer);
    }
  slots->window
      = slot_used (slots) + slot_limit (gateway, slots) * SLOT_REJECTIONS_SHARE;
  slot_bound_window (slots);
  slots->safe_window = 0;
  slots->grown_us = gateway->now_us;
  slots->ready_us = gateway->now_us + SLOT_TAKEOVER_US;
}

/* Brings the coordinator up to date. */
static void
slot_update (ca_gateway_t *gateway, ca_slot_permits_t *slots)
{
  const ca_gateway_endpoint_t *endpoint = slots->endpoint;
  const ca_peer_t *peer;
  uint64_t former = slots->coordinator;
  bool is_self;

  if (slots->determined_us != 0
      && gateway->now_us - slots->determined_us < SLOT_COORDINATOR_PERIOD_US)
    return;
  slots->determined_us = gateway->now_us;
  peer = ca_peers_slot_coordinator (
      gateway, endpoint->zone, slot_instance (slots), &is_self, &slots->share);
  is_self = is_self && ca_peers_are_known (gateway);
  if (is_self && !slots->coordinates)
    slot_take_over (gateway, slots);
  slots->coordinates = is_self;
  slots->coordinator = peer == NULL ? 0 : peer->id;
  if (slots->coordinator == former)
    return;
  slots->seen = 0;
  slots->report_due = endpoint->own_load.open > 0;
  gateway->slots_changed = true;
}

/* True if the engine has rejected so many requests lately that the next one
 * might end it. */
static bool
slot_is_paused (ca_gateway_t *gateway, const ca_slot_permits_t *slots)
{
  uint64_t max
      = (uint64_t)(slot_limit (gateway, slots) * SLOT_REJECTIONS_SHARE + 0.5);

  if (slots->rejections < max)
    return false;
  return gateway->now_us
             - slots->rejected_us[(slots->rejections - max)
                                  % SLOT_REJECTIONS_MAX]
         < SLOT_REJECTIONS_US;
}

/* Grows a window that is used up. */
static void
slot_grow (ca_gateway_t *gateway, ca_slot_permits_t *slots)
{
  double rate_per_s = slots->window * SLOT_GROWTH;
  double max_per_s = slot_limit (gateway, slots) * SLOT_GROWTH_PER_REJECTION;
  uint64_t elapsed_us = gateway->now_us - slots->grown_us;
  bool is_slow = slots->safe_window > 0 && slots->window >= slots->safe_window;

  if (rate_per_s > max_per_s)
    rate_per_s = max_per_s;
  if (is_slow)
    rate_per_s = slots->window * SLOT_GROWTH_SLOW + SLOT_GROWTH_SLOW_MIN;
  if (elapsed_us > SLOT_GROWTH_STEP_US)
    elapsed_us = SLOT_GROWTH_STEP_US;
  slots->window += rate_per_s * (double)elapsed_us / CA_US_PER_S;
  if (is_slow)
    slots->safe_window = slots->window;
  else if (slots->safe_window > 0 && slots->window > slots->safe_window)
    slots->window = slots->safe_window;
  slot_bound_window (slots);
}

/* True if the coordinator may send the engine one more request, or permit one.
 */
static bool
slot_has_room (ca_gateway_t *gateway, ca_slot_permits_t *slots)
{
  double used = slot_used (slots);
  double capacity;

  if (gateway->now_us < slots->ready_us)
    return false;
  if (slot_is_paused (gateway, slots))
    {
      /* What has ended meanwhile is not to be replaced all at once. */
      if (slots->window > used + 1)
        slots->window = used + 1;
      return false;
    }
  if (used + 1 > slots->window)
    slot_grow (gateway, slots);
  slots->grown_us = gateway->now_us;
  capacity = slots->window * slots->share;
  return used + 1 <= (capacity < 1 ? 1 : capacity);
}

/* Fits the window to what the engine has shown. */
static void
slot_note_failures (const ca_gateway_t *gateway, ca_slot_permits_t *slots,
                    bool rejected, bool failed)
{
  double used = slot_used (slots);

  if (rejected)
    {
      slots->rejected_us[slots->rejections++ % SLOT_REJECTIONS_MAX]
          = gateway->now_us;
      if (used * SLOT_SAFE_SHARE < slots->window)
        slots->window = used * SLOT_SAFE_SHARE;
      slot_bound_window (slots);
      slots->safe_window = slots->window;
    }
  /* It may have ended, and is to be tried out when it is back. */
  if (failed)
    slots->window = 1;
}

ca_slot_permission_t
ca_slot_permits_check (ca_gateway_t *gateway, const ca_service_t *service,
                       ca_gateway_endpoint_t *endpoint)
{
  ca_slot_permits_t *slots;

  if (!service->is_engine || !ca_brittle_applies (gateway, service->name))
    return CA_SLOT_PERMITTED;
  slots = slot_state (gateway, endpoint);
  slot_update (gateway, slots);
  if (slots->permits > 0
      || (slots->coordinates && slots->queued == 0
          && slot_has_room (gateway, slots)))
    return CA_SLOT_PERMITTED;
  return gateway->now_us < slots->next_request_us ? CA_SLOT_DENIED
                                                  : CA_SLOT_TO_REQUEST;
}

void
ca_slot_permits_take (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint)
{
  if (endpoint->slot_permits == NULL)
    return;
  ca_counters_add (&gateway->counters, CA_COUNT_LIMITED_ATTEMPTS, 1);
  if (endpoint->slot_permits->permits > 0)
    endpoint->slot_permits->permits--;
}

static void
slot_send_report (ca_gateway_t *gateway, ca_slot_permits_t *slots, bool wants)
{
  const ca_peer_t *coordinator = ca_peers_find (gateway, slots->coordinator);
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__SlotReport report = CAMPHOR__SLOT_REPORT__INIT;

  if (coordinator == NULL)
    return;
  report.instance = slot_instance (slots);
  report.stamp_us = gateway->now_us;
  report.open = slots->endpoint->own_load.open;
  report.seen = slots->seen;
  report.wants = wants;
  report.rejected = slots->rejected;
  report.failed = slots->failed;
  slots->report_due = slots->rejected = slots->failed = false;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_SLOT_REPORT;
  envelope.slot_report = &report;
  ca_peers_send (gateway, &coordinator->address, &envelope);
}

/* Answers a permit request; `user` is NULL if it is denied. */
static void
slot_send_permit (ca_gateway_t *gateway, const ca_peer_t *peer,
                  uint64_t instance, uint64_t echo_us, slot_user_t *user)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__SlotPermit permit = CAMPHOR__SLOT_PERMIT__INIT;

  permit.instance = instance;
  permit.echo_us = echo_us;
  if (user != NULL)
    {
      permit.number = ++user->granted;
      user->granted_us = gateway->now_us;
    }
  else
    permit.wait_us
        = (uint64_t)(2 * ca_gateway_random (gateway) * (double)SLOT_DENIED_US);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_SLOT_PERMIT;
  envelope.slot_permit = &permit;
  ca_peers_send (gateway, &peer->address, &envelope);
}

/* Queues a permit request; false if too many wait. */
static bool
slot_queue (const ca_gateway_t *gateway, ca_slot_permits_t *slots,
            uint64_t peer, uint64_t stamp_us)
{
  slot_request_t *request;

  if (gateway->now_us < slots->ready_us
      || slots->queued > slots->window / SLOT_PER_QUEUED)
    return false;
  request = calloc (1, sizeof *request);
  request->peer = peer;
  request->stamp_us = stamp_us;
  request->expires_us = gateway->now_us + SLOT_QUEUE_US;
  STAILQ_INSERT_TAIL (&slots->queue, request, entries);
  slots->queued++;
  return true;
}

/* The first exchange that waits for a permit for the engine has its answer. */
static void
slot_answered (ca_gateway_t *gateway, uint64_t instance)
{
  ca_exchange_t *exchange;

  TAILQ_FOREACH (exchange, &gateway->exchanges, entries)
  {
    if (exchange->slot_requested != instance)
      continue;
    exchange->slot_requested = 0;
    return;
  }
}

bool
ca_slot_permits_request (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  ca_gateway_endpoint_t *endpoint;

  if (exchange->slot_requested != 0)
    {
      if (gateway->now_us - exchange->slot_requested_us < SLOT_TIMEOUT_US)
        return true;
      endpoint = ca_registry_find_instance (&gateway->registry,
                                            exchange->slot_requested);
      if (endpoint != NULL)
        slot_state (gateway, endpoint)->next_request_us
            = gateway->now_us + SLOT_RETRY_US;
      exchange->slot_requested = 0;
    }
  while ((exchange->slot_requests < SLOT_REQUESTS_MAX || exchange->head_sent)
         && (endpoint = ca_select_to_request (gateway, exchange)) != NULL)
    {
      ca_slot_permits_t *slots = slot_state (gateway, endpoint);

      exchange->slot_requests++;
      if (slots->coordinates ? slot_queue (gateway, slots, 0, gateway->now_us)
                             : slots->coordinator != 0)
        {
          exchange->slot_requested = slot_instance (slots);
          exchange->slot_requested_us = gateway->now_us;
          if (!slots->coordinates)
            slot_send_report (gateway, slots, true);
          return true;
        }
      slots->next_request_us = gateway->now_us + SLOT_DENIED_US;
    }
  return false;
}

/* Grants what waits while there is room; true if this entry got a permit. */
static bool
slot_grant_queued (ca_gateway_t *gateway, ca_slot_permits_t *slots)
{
  bool own = false;

  while (!STAILQ_EMPTY (&slots->queue))
    {
      slot_request_t request = *STAILQ_FIRST (&slots->queue);
      const ca_peer_t *peer = ca_peers_find (gateway, request.peer);
      bool expired
          = gateway->now_us >= request.expires_us || !slots->coordinates;

      if (!expired && !slot_has_room (gateway, slots))
        break;
      slot_pop_request (slots);
      if (peer != NULL)
        slot_send_permit (gateway, peer, slot_instance (slots),
                          request.stamp_us,
                          expired ? NULL : slot_user (slots, peer));
      else if (request.peer == 0)
        {
          own = true;
          slot_answered (gateway, slot_instance (slots));
          if (!expired)
            slots->permits++;
        }
    }
  return own;
}

/* Uses permits that have just arrived; the rest is returned. */
static void
slot_use_permits (ca_gateway_t *gateway)
{
  ca_slot_permits_t *slots;

  ca_exchanges_dispatch_waiting (gateway);
  LIST_FOREACH (slots, &gateway->slot_permits, entries)
  {
    if (slots->permits == 0)
      continue;
    slots->permits = 0;
    slots->report_due = true;
    gateway->slots_changed = true;
  }
}

void
ca_slot_permits_serve (ca_gateway_t *gateway)
{
  ca_slot_permits_t *slots;
  bool own = false;

  if (!gateway->slots_changed)
    return;
  gateway->slots_changed = false;
  LIST_FOREACH (slots, &gateway->slot_permits, entries)
  {
    if (slots->report_due && slots->coordinates)
      {
        slot_note_failures (gateway, slots, slots->rejected, slots->failed);
        slots->report_due = slots->rejected = slots->failed = false;
      }
    else if (slots->report_due)
      slot_send_report (gateway, slots, false);
    own |= slot_grant_queued (gateway, slots);
  }
  if (own)
    slot_use_permits (gateway);
}

void
ca_slot_permits_ended (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint,
                       bool rejected, bool failed)
{
  ca_slot_permits_t *slots = endpoint->slot_permits;

  if (slots == NULL)
    return;
  slots->report_due = true;
  slots->rejected |= rejected;
  slots->failed |= failed;
  gateway->slots_changed = true;
}

/* Drops the users that this entry has not heard from for a while. */
static void
slot_expire_users (ca_gateway_t *gateway, ca_slot_permits_t *slots)
{
  slot_user_t *user;
  slot_user_t *next;

  HASH_ITER (hh, slots->users, user, next)
  {
    const ca_peer_t *peer = ca_peers_find (gateway, user->peer);

    if (peer != NULL && ca_peers_in_close_contact (gateway, peer))
      continue;
    HASH_DEL (slots->users, user);
    free (user);
  }
}

void
ca_slot_permits_tick (ca_gateway_t *gateway)
{
  ca_slot_permits_t *slots = LIST_FIRST (&gateway->slot_permits);

  while (slots != NULL)
    {
      ca_slot_permits_t *next = LIST_NEXT (slots, entries);

      if (ca_brittle_needs_slots (gateway, slots->endpoint->service)
          && slots->endpoint->state != CA_GATEWAY_ENDPOINT_GONE)
        {
          slot_update (gateway, slots);
          slot_expire_users (gateway, slots);
        }
      else
        {
          slots->endpoint->slot_permits = NULL;
          ca_slot_permits_free (slots);
        }
      slots = next;
    }
  gateway->slots_changed = true;
  ca_slot_permits_serve (gateway);
}

void
ca_slot_permits_merge (ca_gateway_t *gateway, const ca_peer_t *peer)
{
  ca_slot_permits_t *slots;

  LIST_FOREACH (slots, &gateway->slot_permits, entries)
  {
    if (slots->coordinates)
      slot_take_heartbeat (slots, peer);
  }
}

void
ca_slot_permits_receive_report (ca_gateway_t *gateway,
                                const Camphor__Envelope *envelope)
{
  const Camphor__SlotReport *report = envelope->slot_report;
  const ca_peer_t *peer = ca_peers_find (gateway, envelope->from);
  ca_gateway_endpoint_t *endpoint
      = ca_registry_find_instance (&gateway->registry, report->instance);
  ca_slot_permits_t *slots = NULL;
  slot_user_t *user;

  if (peer == NULL || peer->received_us == 0
      || peer->incarnation != envelope->incarnation)
    return;
  if (endpoint != NULL && ca_brittle_needs_slots (gateway, endpoint->service))
    {
      slots = slot_state (gateway, endpoint);
      slot_update (gateway, slots);
    }
  if (slots == NULL || !slots->coordinates)
    {
      if (report->wants)
        slot_send_permit (gateway, peer, report->instance, report->stamp_us,
                          NULL);
      return;
    }
  user = slot_user (slots, peer);
  slot_take_report (peer, user, report->open, report->stamp_us, report->seen);
  slot_note_failures (gateway, slots, report->rejected, report->failed);
  if (report->wants && slots->queued == 0 && slot_has_room (gateway, slots))
    slot_send_permit (gateway, peer, report->instance, report->stamp_us, user);
  else if (report->wants
           && !slot_queue (gateway, slots, peer->id, report->stamp_us))
    slot_send_permit (gateway, peer, report->instance, report->stamp_us, NULL);
  gateway->slots_changed = true;
  ca_slot_permits_serve (gateway);
}

void
ca_slot_permits_apply_permit (ca_gateway_t *gateway,
                              const Camphor__SlotPermit *permit)
{
  ca_gateway_endpoint_t *endpoint
      = ca_registry_find_instance (&gateway->registry, permit->instance);
  ca_slot_permits_t *slots;

  if (endpoint == NULL || endpoint->slot_permits == NULL)
    return;
  slots = endpoint->slot_permits;
  slot_answered (gateway, permit->instance);
  if (permit->number == 0)
    slots->next_request_us = gateway->now_us + permit->wait_us;
  else
    {
      slots->seen = permit->number;
      /* The coordinator may no longer count one that is later. */
      if (gateway->now_us - permit->echo_us < SLOT_PERMIT_US)
        slots->permits++;
      else
        ca_slot_permits_ended (gateway, endpoint, false, false);
    }
  slot_use_permits (gateway);
  ca_slot_permits_serve (gateway);
}
