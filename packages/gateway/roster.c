/* The list of endpoints and their health. */
#include "gateway/roster.h"

#include "base/clock.h"
#include "gateway/affinity.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Failures in a row that take an endpoint out, and for how long: from the
 * first figure, doubled each time, to the second. */
#define ROSTER_EJECT_FAILURES 3
#define ROSTER_EJECT_FIRST_US (500 * CA_US_PER_MS)
#define ROSTER_EJECT_MOST_US (4 * CA_US_PER_S)

/* Weight of the newest answer in smoothed figures. */
#define ROSTER_SMOOTHING 0.15

void
ca_roster_init (ca_roster_t *roster)
{
  memset (roster, 0, sizeof *roster);
}

static void
roster_free_seat (ca_seat_t *seat)
{
  ca_affinity_forget (seat);
  free (seat->id);
  free (seat->service);
  free (seat->zone);
  free (seat);
}

void
ca_roster_finish (ca_roster_t *roster)
{
  ca_seat_t *seat;
  ca_seat_t *next;

  HASH_ITER (hh, roster->seats, seat, next)
  {
    HASH_DEL (roster->seats, seat);
    roster_free_seat (seat);
  }
  while ((seat = roster->retired) != NULL)
    {
      roster->retired = seat->next_retired;
      roster_free_seat (seat);
    }
}

ca_seat_t *
ca_roster_find (const ca_roster_t *roster, const char *id)
{
  ca_seat_t *seat = NULL;

  HASH_FIND (hh, roster->seats, id, strlen (id), seat);
  return seat;
}

/* Lets a life go; its memory stays while exchanges point to it. */
static void
roster_retire (ca_roster_t *roster, ca_seat_t *seat)
{
  HASH_DEL (roster->seats, seat);
  seat->state = CA_SEAT_GONE;
  if (seat->open == 0)
    {
      roster_free_seat (seat);
      return;
    }
  seat->next_retired = roster->retired;
  roster->retired = seat;
}

static ca_seat_t *
roster_add (ca_roster_t *roster, const ca_seat_entry_t *entry)
{
  ca_seat_t *seat = calloc (1, sizeof *seat);

  seat->id = strdup (entry->id);
  seat->service = strdup (entry->service);
  seat->zone = strdup (entry->zone);
  seat->address = entry->address;
  seat->born_ms = entry->born_ms;
  seat->hash = XXH3_64bits (entry->id, strlen (entry->id));
  TAILQ_INIT (&seat->parts);
  HASH_ADD_KEYPTR (hh, roster->seats, seat->id, strlen (seat->id), seat);
  return seat;
}

/* The same id with another start, address or service is another life. */
static bool
roster_is_same_life (const ca_seat_t *seat, const ca_seat_entry_t *entry)
{
  return seat->born_ms == entry->born_ms
         && seat->address.ip == entry->address.ip
         && seat->address.port == entry->address.port
         && strcmp (seat->service, entry->service) == 0;
}

bool
ca_roster_put (ca_roster_t *roster, uint64_t now_us,
               const ca_seat_entry_t *entry)
{
  ca_seat_t *seat = ca_roster_find (roster, entry->id);
  ca_seat_state_t state = entry->draining ? CA_SEAT_DRAINING : CA_SEAT_READY;
  bool changed = false;

  if (seat != NULL && !roster_is_same_life (seat, entry))
    {
      roster_retire (roster, seat);
      seat = NULL;
    }
  if (seat == NULL)
    {
      seat = roster_add (roster, entry);
      changed = true;
    }
  changed = changed || seat->state != state;
  /* A life that has begun to leave does not come back. */
  if (seat->state != CA_SEAT_DRAINING)
    seat->state = state;
  seat->reclaimable = entry->reclaimable;
  seat->slots = entry->slots;
  seat->missing_us = 0;
  if (entry->leaves_ms > 0)
    seat->leaves_at_us = now_us + entry->leaves_ms * CA_US_PER_MS;
  return changed;
}

void
ca_roster_remove (ca_roster_t *roster, uint64_t now_us, const char *id,
                  bool sure)
{
  ca_seat_t *seat = ca_roster_find (roster, id);

  if (seat == NULL)
    return;
  if (sure)
    roster_retire (roster, seat);
  else if (seat->missing_us == 0)
    seat->missing_us = now_us;
}

void
ca_roster_expire (ca_roster_t *roster, uint64_t now_us, uint64_t wait_us)
{
  ca_seat_t *seat;
  ca_seat_t *next;

  HASH_ITER (hh, roster->seats, seat, next)
  {
    if (seat->missing_us != 0 && now_us - seat->missing_us >= wait_us)
      roster_retire (roster, seat);
  }
}

void
ca_roster_mark (ca_roster_t *roster, uint64_t now_us)
{
  ca_seat_t *seat;
  ca_seat_t *next;

  HASH_ITER (hh, roster->seats, seat, next)
  {
    if (seat->missing_us == 0)
      seat->missing_us = now_us;
  }
}

bool
ca_seat_is_open (const ca_seat_t *seat)
{
  return seat->state == CA_SEAT_READY;
}

void
ca_seat_hold (ca_seat_t *seat)
{
  seat->open++;
}

void
ca_seat_release (ca_roster_t *roster, ca_seat_t *seat)
{
  ca_seat_t *at;
  ca_seat_t **link = &roster->retired;

  if (--seat->open > 0 || seat->state != CA_SEAT_GONE)
    return;
  while ((at = *link) != NULL && at != seat)
    link = &at->next_retired;
  if (at == NULL)
    return;
  *link = seat->next_retired;
  roster_free_seat (seat);
}

void
ca_seat_succeeded (ca_seat_t *seat, uint64_t latency_us)
{
  seat->failures = 0;
  seat->ejected_until_us = 0;
  seat->error_share *= 1 - ROSTER_SMOOTHING;
  if (latency_us == 0)
    return;
  if (seat->latency_us <= 0)
    seat->latency_us = (double)latency_us;
  seat->latency_us
      += ((double)latency_us - seat->latency_us) * ROSTER_SMOOTHING;
}

void
ca_seat_failed (ca_seat_t *seat, uint64_t now_us, bool unreachable)
{
  uint64_t eject_us = ROSTER_EJECT_FIRST_US;

  seat->failures++;
  seat->error_share += (1 - seat->error_share) * ROSTER_SMOOTHING;
  if (unreachable)
    seat->failed_us = now_us;
  if (!unreachable && seat->failures < ROSTER_EJECT_FAILURES)
    return;
  for (uint32_t i = ROSTER_EJECT_FAILURES;
       i < seat->failures && eject_us < ROSTER_EJECT_MOST_US; i++)
    eject_us *= 2;
  seat->ejected_until_us = now_us + eject_us;
}
