/* Requests that crash the endpoints that run them.
 *
 * A cut run is a strike only once the endpoint cannot be reached either: a
 * lost answer alone says nothing.  Entries add their strikes up through their
 * pulses; a request with too many is not sent again. */
#include "gateway/private.h"

#include <stdlib.h>

/* Endpoints that a request may have ended before it is barred. */
#define STRIKES_MAX 3

/* A strike counts for this long: longer than a crashing caller keeps coming
 * back in a day of the users' bench. */
#define STRIKE_KEPT_US (120 * CA_US_PER_S)

/* An endpoint that cannot be reached within this of a cut ended then. */
#define STRIKE_CONFIRM_US (1500 * CA_US_PER_MS)

static ca_strike_t *
strike_find (const ca_gateway_t *gateway, uint64_t fingerprint)
{
  ca_strike_t *strike = NULL;

  HASH_FIND (hh, gateway->strikes, &fingerprint, sizeof fingerprint, strike);
  return strike;
}

static uint32_t
strike_told (const ca_gateway_t *gateway, uint64_t fingerprint)
{
  const ca_sibling_t *sibling;
  uint32_t count = 0;

  for (sibling = gateway->siblings; sibling != NULL; sibling = sibling->hh.next)
    {
      for (size_t i = 0;
           sibling->pulse != NULL && i < sibling->pulse->n_strikes; i++)
        {
          if (sibling->pulse->strikes[i]->fingerprint == fingerprint)
            count += sibling->pulse->strikes[i]->count;
        }
    }
  return count;
}

bool
ca_strike_is_barred (const ca_gateway_t *gateway, uint64_t fingerprint)
{
  const ca_strike_t *strike = strike_find (gateway, fingerprint);
  uint32_t own = strike == NULL ? 0 : strike->count;

  return own + strike_told (gateway, fingerprint) >= STRIKES_MAX;
}

static void
strike_count (ca_gateway_t *gateway, uint64_t fingerprint, uint64_t seat)
{
  ca_strike_t *strike = strike_find (gateway, fingerprint);

  if (strike == NULL)
    {
      strike = calloc (1, sizeof *strike);
      strike->fingerprint = fingerprint;
      HASH_ADD (hh, gateway->strikes, fingerprint, sizeof strike->fingerprint,
                strike);
    }
  strike->latest_us = gateway->now_us;
  for (uint32_t i = 0; i < strike->count && i < STRIKES_MAX; i++)
    {
      if (strike->seats[i] == seat)
        return;
    }
  if (strike->count < STRIKES_MAX)
    strike->seats[strike->count] = seat;
  strike->count++;
  if (strike->count == STRIKES_MAX)
    ca_gateway_note (gateway, CA_EVENT_REQUEST_QUARANTINED, NULL, NULL,
                     "fingerprint %016llx ended %u endpoints",
                     (unsigned long long)fingerprint, strike->count);
}

void
ca_strike_add (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  ca_cut_t *cut = calloc (1, sizeof *cut);

  cut->fingerprint = exchange->fingerprint;
  cut->seat = exchange->seat->hash ^ exchange->seat->born_ms;
  cut->at_us = gateway->now_us;
  TAILQ_INSERT_TAIL (&gateway->cuts, cut, entries);
}

void
ca_strike_confirm (ca_gateway_t *gateway, const ca_seat_t *seat)
{
  uint64_t life = seat->hash ^ seat->born_ms;
  ca_cut_t *cut = TAILQ_FIRST (&gateway->cuts);

  while (cut != NULL)
    {
      ca_cut_t *next = TAILQ_NEXT (cut, entries);

      if (cut->seat == life)
        {
          strike_count (gateway, cut->fingerprint, life);
          TAILQ_REMOVE (&gateway->cuts, cut, entries);
          free (cut);
        }
      cut = next;
    }
}

void
ca_strike_clear (ca_gateway_t *gateway, uint64_t fingerprint)
{
  ca_strike_t *strike = strike_find (gateway, fingerprint);

  if (strike == NULL)
    return;
  HASH_DEL (gateway->strikes, strike);
  free (strike);
}

void
ca_strikes_tick (ca_gateway_t *gateway)
{
  ca_cut_t *cut;
  ca_strike_t *strike;
  ca_strike_t *next;

  while ((cut = TAILQ_FIRST (&gateway->cuts)) != NULL
         && gateway->now_us - cut->at_us > STRIKE_CONFIRM_US)
    {
      TAILQ_REMOVE (&gateway->cuts, cut, entries);
      free (cut);
    }
  HASH_ITER (hh, gateway->strikes, strike, next)
  {
    if (gateway->now_us - strike->latest_us > STRIKE_KEPT_US)
      {
        HASH_DEL (gateway->strikes, strike);
        free (strike);
      }
  }
}

void
ca_strikes_finish (ca_gateway_t *gateway)
{
  ca_strike_t *strike;
  ca_strike_t *next;

  while (!TAILQ_EMPTY (&gateway->cuts))
    {
      ca_cut_t *cut = TAILQ_FIRST (&gateway->cuts);

      TAILQ_REMOVE (&gateway->cuts, cut, entries);
      free (cut);
    }
  HASH_ITER (hh, gateway->strikes, strike, next)
  {
    HASH_DEL (gateway->strikes, strike);
    free (strike);
  }
}
