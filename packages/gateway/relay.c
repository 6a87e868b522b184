/* Tables that one entry of a zone reads for the others there.
 *
 * Calls to the store are priced and limited for all entries together, so
 * where a zone has several, the longest-lived reads and tells the others what
 * changed, and again and again how new its knowledge is.  The others read for
 * themselves as soon as that is too old: their bounds hold whether or not the
 * reader lives, reaches the store, or is heard. */
#include "gateway/private.h"
#include "gateway/watch.h"

#include <inttypes.h>

/* Fewer live entries in a zone than this read for themselves: a reader, which
 * asks again and again, would make more calls than it saves. */
#define RELAY_LEAST 5

/* Parts of the bound on propagation: the reader's wait at the store, the age
 * at which the others no longer trust its word, and the time between words.
 * What is left is for a call of their own. */
#define RELAY_WAIT_SHARE 0.4
#define RELAY_TRUST_SHARE 0.6
#define RELAY_WORD_SHARE 0.1

static uint64_t
relay_share_us (const ca_gateway_t *gateway, double share)
{
  return (uint64_t)(gateway->options.bounds.propagation_ms * share
                    * CA_US_PER_MS);
}

/* Sends to every entry of this zone that is heard. */
static void
relay_send (ca_gateway_t *gateway, Camphor__TableWord *word)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  ca_sibling_t *sibling;

  envelope.body_case = CAMPHOR__ENVELOPE__BODY_TABLE_WORD;
  envelope.table_word = word;
  for (sibling = gateway->siblings; sibling != NULL; sibling = sibling->hh.next)
    {
      if (ca_sibling_is_near (gateway, sibling))
        ca_sibling_send (gateway, &sibling->address, &envelope);
    }
}

static void
relay_fill (const ca_gateway_t *gateway, const ca_watch_t *watch,
            Camphor__TableWord *word)
{
  word->table = watch->number;
  word->until = watch->after;
  word->stamp_us = gateway->now_us;
  word->age_us = gateway->now_us - watch->proved_us;
}

static const char *const relay_roles[]
    = { [CA_WATCH_ALONE] = "this entry, for itself",
        [CA_WATCH_READER] = "this entry, for its zone",
        [CA_WATCH_FOLLOWER] = "the zone's longest-lived entry" };

/* Tells what has changed since the last look. */
static void
relay_note (ca_gateway_t *gateway, ca_watch_t *watch, ca_watch_role_t role,
            uint32_t near)
{
  uint64_t age_us = gateway->now_us - watch->proved_us;
  bool old
      = role == CA_WATCH_FOLLOWER && watch->listed && age_us >= watch->trust_us;

  if (watch->role != role)
    ca_gateway_log (gateway, CA_EVENT_STORE_READER, NULL, watch->table,
                    "%s; %u entries of the zone are heard and read the store",
                    relay_roles[role], near);
  if (old && !watch->word_old)
    ca_gateway_log (gateway, CA_EVENT_STORE_WORD_OLD, NULL, watch->table,
                    "proved %" PRIu64 " ms ago, trusted for %" PRIu64 " ms",
                    age_us / CA_US_PER_MS, watch->trust_us / CA_US_PER_MS);
  watch->role = role;
  watch->word_old = old;
}

void
ca_relay_tick (ca_gateway_t *gateway, uint64_t now_us, ca_watch_t *watch)
{
  Camphor__TableWord word = CAMPHOR__TABLE_WORD__INIT;
  ca_watch_role_t role;
  uint32_t near;
  uint32_t before;

  gateway->now_us = now_us;
  ca_siblings_near (gateway, &near, &before);
  watch->relay_wait_ms
      = (uint32_t)(relay_share_us (gateway, RELAY_WAIT_SHARE) / CA_US_PER_MS);
  watch->trust_us = relay_share_us (gateway, RELAY_TRUST_SHARE);
  if (near < RELAY_LEAST || gateway->stopping || gateway->store_down)
    role = CA_WATCH_ALONE;
  else
    role = before > 0 ? CA_WATCH_FOLLOWER : CA_WATCH_READER;
  relay_note (gateway, watch, role, near);
  if (watch->role != CA_WATCH_READER || !watch->listed
      || now_us < watch->word_us)
    return;
  watch->word_us = now_us + relay_share_us (gateway, RELAY_WORD_SHARE);
  relay_fill (gateway, watch, &word);
  word.after = watch->quiet_after;
  relay_send (gateway, &word);
}

void
ca_relay_rows (ca_gateway_t *gateway, uint64_t now_us, const ca_watch_t *watch,
               uint64_t after, Camphor__TableRow **rows, size_t count)
{
  Camphor__TableWord word = CAMPHOR__TABLE_WORD__INIT;

  gateway->now_us = now_us;
  if (watch->role != CA_WATCH_READER || count == 0)
    return;
  relay_fill (gateway, watch, &word);
  word.after = after;
  word.rows = rows;
  word.n_rows = count;
  relay_send (gateway, &word);
}

void
ca_relay_take (ca_gateway_t *gateway, const Camphor__Envelope *envelope)
{
  const Camphor__TableWord *word = envelope->table_word;
  ca_sibling_t *sibling = ca_sibling_find (gateway, envelope->from);
  int64_t proved_us;

  if (sibling == NULL || sibling->incarnation != envelope->incarnation)
    return;
  ca_sibling_stamp (gateway, sibling, word->stamp_us);
  proved_us = (int64_t)word->stamp_us - (int64_t)word->age_us
              + sibling->stamp_offset_us;
  if (proved_us > 0)
    gateway->ports.take_word (gateway->ports.context, word,
                              (uint64_t)proved_us);
}
