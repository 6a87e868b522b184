/* State of one table of the store that is watched for changes. */
#include "gateway/watch.h"

#include "base/clock.h"

#include <string.h>

/* Pauses after failures.  Calls cost money, and entries must not all call a
 * store that is down or slow at the same time. */
#define WATCH_RETRY_MIN_US (150 * CA_US_PER_MS)
#define WATCH_RETRY_MAX_US (600 * CA_US_PER_MS)
#define WATCH_DOWN_FAILURES 2

/* Timeouts of a call.  After a failure every other call has the short one, so
 * that the store's recovery is noticed soon; the long ones succeed while the
 * store is slow. */
#define WATCH_TIMEOUT_MS 2000
#define WATCH_SHORT_TIMEOUT_MS 600

/* Time for an answer beyond the time for which the store holds the call, at
 * most, and in terms of the time that the latest answer took. */
#define WATCH_MAX_ANSWER_MS 1000
#define WATCH_ANSWER_FACTOR 2

void
ca_watch_init (ca_watch_t *watch, const char *table, uint32_t number,
               uint32_t wait_ms, uint32_t pause_ms,
               void (*list) (void *context, ca_watch_t *watch),
               void (*feed) (void *context, ca_watch_t *watch), void *context)
{
  memset (watch, 0, sizeof *watch);
  watch->table = table;
  watch->number = number;
  watch->wait_ms = wait_ms;
  watch->pause_ms = pause_ms;
  watch->list = list;
  watch->feed = feed;
  watch->context = context;
}

void
ca_watch_restart (ca_watch_t *watch, uint64_t at_us)
{
  watch->busy = false;
  watch->is_refreshing = false;
  watch->listed = false;
  watch->named_count = 0;
  watch->after = 0;
  watch->last_change_version = 0;
  watch->next_us = at_us;
}

/* How long the store may hold the next call back for a change.  A reader's wait
 * is short, since each answer also shows its followers' copies to be recent. */
static uint32_t
watch_wait_ms (const ca_watch_t *watch, uint64_t now_us)
{
  uint64_t age_ms = (now_us - watch->validated_us) / CA_US_PER_MS;
  uint32_t wait_ms = watch->wait_ms;

  if (watch->failures > 0 || watch->is_refreshing
      || (watch->role == CA_WATCH_FOLLOWER && watch->listed))
    return 0;
  if (watch->times.hold_ms > 0 && watch->times.hold_ms < wait_ms)
    wait_ms = watch->times.hold_ms;
  if (watch->role == CA_WATCH_READER)
    return age_ms < wait_ms ? wait_ms - (uint32_t)age_ms : 0;
  return watch->max_wait_ms > 0 && watch->max_wait_ms < wait_ms
             ? watch->max_wait_ms
             : wait_ms;
}

/* Time for an answer beyond the call's wait: longer while the store is slow. */
static uint32_t
watch_answer_ms (const ca_watch_t *watch)
{
  uint32_t slow_ms = WATCH_ANSWER_FACTOR * watch->answer_ms;
  uint32_t answer_ms = watch->times.answer_ms;

  if (answer_ms == 0 || answer_ms > WATCH_MAX_ANSWER_MS
      || slow_ms > WATCH_MAX_ANSWER_MS)
    return WATCH_MAX_ANSWER_MS;
  return slow_ms > answer_ms ? slow_ms : answer_ms;
}

static uint32_t
watch_pause_ms (const ca_watch_t *watch)
{
  return watch->times.pause_ms > 0 && watch->times.pause_ms < watch->pause_ms
             ? watch->times.pause_ms
             : watch->pause_ms;
}

/* True if all who read for this deputy have been silent for its time. */
static bool
watch_readers_are_silent (const ca_watch_t *watch, uint64_t now_us)
{
  uint64_t known_us = watch->heard_us > watch->validated_us
                          ? watch->heard_us
                          : watch->validated_us;

  return watch->rank <= CA_WATCH_DEPUTIES
         && now_us
                >= known_us
                       + ca_watch_times_silence_ms (&watch->times, watch->rank)
                             * CA_US_PER_MS;
}

/* True if one who reads for this follower has had notice of late that a newer
 * configuration arrives there. */
static bool
watch_text_arrives (const ca_watch_t *watch, uint64_t now_us)
{
  return now_us < watch->arriving_us + watch->times.silence_ms * CA_US_PER_MS;
}

/* True if a text has been arriving for long, and this deputy has not asked
 * since: who receives it may be lost meanwhile. */
static bool
watch_should_hedge (const ca_watch_t *watch, uint64_t now_us)
{
  return watch->own_validated_us < watch->arrives_since_us
         && now_us >= watch->arrives_since_us
                          + watch->times.update_ms * CA_US_PER_MS;
}

/* True if this follower needs no call of its own yet. */
static bool
watch_may_rely_on_readers (const ca_watch_t *watch, uint64_t now_us)
{
  if (watch->role != CA_WATCH_FOLLOWER || !watch->listed || watch->failures > 0
      || watch->is_refreshing)
    return false;
  if (watch_text_arrives (watch, now_us))
    return watch->rank > 1 || !watch_should_hedge (watch, now_us);
  return !watch_readers_are_silent (watch, now_us)
         && now_us
                < watch->validated_us
                      + ca_watch_times_max_age_ms (&watch->times, watch->rank)
                            * CA_US_PER_MS;
}

void
ca_watch_hear (ca_watch_t *watch, uint64_t now_us, bool arriving)
{
  watch->heard_us = now_us;
  if (!arriving)
    return;
  if (!watch_text_arrives (watch, now_us))
    watch->arrives_since_us = now_us;
  watch->arriving_us = now_us;
}

bool
ca_watch_reads_for_group (const ca_watch_t *watch)
{
  if (watch->role == CA_WATCH_READER)
    return true;
  return watch->role == CA_WATCH_FOLLOWER && watch->rank <= CA_WATCH_DEPUTIES
         && watch->own_validated_us != 0
         && watch->own_validated_us == watch->validated_us;
}

void
ca_watch_tick (ca_watch_t *watch, uint64_t now_us)
{
  if (watch->busy || now_us < watch->next_us
      || watch_may_rely_on_readers (watch, now_us))
    return;
  watch->busy = true;
  watch->is_hedge = watch->role == CA_WATCH_FOLLOWER && watch->listed
                    && watch->failures == 0
                    && watch_text_arrives (watch, now_us);
  watch->called_us = now_us;
  watch->call_wait_ms = watch_wait_ms (watch, now_us);
  watch->call_timeout_ms = watch->failures == 0 && watch->listed
                               ? watch->call_wait_ms + watch_answer_ms (watch)
                               : WATCH_TIMEOUT_MS;
  if (watch->failures % 2 == 1)
    watch->call_timeout_ms = WATCH_SHORT_TIMEOUT_MS;
  if (watch->listed)
    watch->feed (watch->context, watch);
  else
    watch->list (watch->context, watch);
}

void
ca_watch_refresh (ca_watch_t *watch, uint64_t now_us, uint64_t max_age_us)
{
  bool is_waiting = watch->busy ? watch->call_wait_ms > 0
                                : watch->role == CA_WATCH_FOLLOWER;

  if (!watch->listed || !is_waiting || watch->is_refreshing
      || watch->failures > 0
      || (watch->role != CA_WATCH_INDEPENDENT && !watch->may_refresh)
      || watch->cancel == NULL || now_us < watch->validated_us + max_age_us)
    return;
  if (watch->busy)
    watch->cancel (watch->context, watch);
  watch->busy = false;
  watch->is_refreshing = true;
  watch->next_us = now_us;
}

/* Notes the time that an answer took beyond the call's wait. */
static void
watch_note_answer (ca_watch_t *watch, uint64_t now_us)
{
  uint64_t took_ms = (now_us - watch->called_us) / CA_US_PER_MS;

  watch->answer_ms = took_ms > watch->call_wait_ms
                         ? (uint32_t)took_ms - watch->call_wait_ms
                         : 0;
}

void
ca_watch_done (ca_watch_t *watch, uint64_t now_us, ca_watch_status_t status,
               uint64_t version, bool changed, uint64_t validated_us)
{
  uint64_t pause_us = WATCH_RETRY_MIN_US;

  watch->busy = false;
  watch->is_refreshing = false;
  if (status == CA_WATCH_FAILED || status == CA_WATCH_UNANSWERED)
    {
      watch->failures++;
      if (status == CA_WATCH_UNANSWERED && watch->failures == 1)
        pause_us = 0; /* it may just have been the connection */
      for (uint32_t i = 1; i < watch->failures && pause_us < WATCH_RETRY_MAX_US;
           i++)
        pause_us *= 2;
      watch->next_us = now_us + pause_us;
      return;
    }
  watch->failures = 0;
  watch->next_us
      = now_us + (changed ? watch_pause_ms (watch) * CA_US_PER_MS : 0);
  if (!changed && watch->listed)
    watch_note_answer (watch, now_us);
  if (status == CA_WATCH_COMPACTED)
    {
      watch->listed = false;
      return;
    }
  if ((changed || !watch->listed) && version > watch->last_change_version)
    watch->last_change_version = version;
  watch->listed = true;
  if (version > watch->after)
    watch->after = version;
  if (validated_us > watch->validated_us)
    {
      watch->validated_us = validated_us;
      watch->own_validated_us = validated_us;
    }
  watch->next_update_us = now_us;
  ca_watch_tick (watch, now_us);
}

/* True if an update brings what the call in flight would bring. */
static bool
watch_update_replaces_call (const ca_watch_t *watch, uint64_t until,
                            uint64_t validated_us, bool changed)
{
  if (!watch->busy || watch->role != CA_WATCH_FOLLOWER || watch->cancel == NULL)
    return false;
  return validated_us >= watch->called_us
         || (watch->is_hedge && changed && until > watch->after);
}

bool
ca_watch_apply_update (ca_watch_t *watch, uint64_t after, uint64_t until,
                       uint64_t validated_us, bool changed)
{
  /* While our own calls fail, only they may apply changes: after an outage of
   * the store, rows may be missing just because of it. */
  if (!watch->listed || watch->failures > 0 || after > watch->after
      || until < watch->after)
    return false;
  if (validated_us > watch->validated_us)
    watch->validated_us = validated_us;
  if (watch_update_replaces_call (watch, until, validated_us, changed))
    {
      watch->cancel (watch->context, watch);
      watch->busy = false;
      watch->is_refreshing = false;
    }
  if (until == watch->after)
    return false;
  watch->after = until;
  if (changed)
    watch->last_change_version = until;
  return changed;
}

/* Number of the named configurations up to a version. */
static uint32_t
watch_count_named (const ca_watch_t *watch, uint64_t version)
{
  uint32_t count = 0;

  while (count < watch->named_count
         && watch->named[count].text_version <= version)
    count++;
  return count;
}

/* Drops the oldest named configurations. */
static void
watch_drop_named (ca_watch_t *watch, uint32_t count)
{
  watch->named_count -= count;
  memmove (watch->named, watch->named + count,
           watch->named_count * sizeof watch->named[0]);
}

void
ca_watch_name_text (ca_watch_t *watch, const ca_watch_named_t *named)
{
  uint32_t at = watch_count_named (watch, named->text_version);

  if (at > 0 && watch->named[at - 1].text_version == named->text_version)
    {
      if (named->validated_us > watch->named[at - 1].validated_us)
        watch->named[at - 1] = *named;
      return;
    }
  if (watch->named_count == CA_WATCH_NAMED_MAX)
    {
      watch_drop_named (watch, 1);
      at = at > 0 ? at - 1 : 0;
    }
  memmove (watch->named + at + 1, watch->named + at,
           (watch->named_count - at) * sizeof watch->named[0]);
  watch->named[at] = *named;
  watch->named_count++;
}

void
ca_watch_text_in_force (ca_watch_t *watch, uint64_t version)
{
  uint32_t count = watch_count_named (watch, version);
  ca_watch_named_t named;

  if (count == 0)
    return;
  named = watch->named[count - 1];
  watch_drop_named (watch, count);
  ca_watch_apply_update (watch, 0, named.until, named.validated_us,
                         named.changed > watch->last_change_version);
}

bool
ca_watch_is_down (const ca_watch_t *watch)
{
  return watch->failures >= WATCH_DOWN_FAILURES;
}
