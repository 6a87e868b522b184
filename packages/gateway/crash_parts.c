/* Decides which prompt parts crash endpoints.
 *
 * When an endpoint crashes, each part of all prompts that ran there is a
 * candidate, with the set of crashes under requests that had it.  Sound parts
 * are soon refuted by a run that completes.  Of the others, the one with most
 * crashes explains them; those that share its crashes merely ran beside it.
 * Parts of which no run is known to have completed are considered first: a part
 * that most prompts have is in most crashes, too. */
#include "gateway/private.h"

#include <inttypes.h>
#include <stdlib.h>

/* Crashes that are needed to block a part, and those that are needed if other
 * parts have as many: a further crash tells them apart. */
#define PART_CRASHES_MIN 3
#define PART_CRASHES_TIE 5

/* Crashes that are needed to block a part of which a run has completed before
 * them. */
#define PART_CRASHES_ONCE_SOUND 8

/* Crashes closer together than this count as one: many endpoints that end at
 * once do so for another reason than their requests. */
#define PART_WAVE_US (100 * CA_US_PER_MS)

/* Maximum number of parts that are considered. */
#define PARTS_MAX 256

typedef struct
{
  ca_crash_record_t *records[PARTS_MAX];
  uint32_t unexplained[PARTS_MAX]; /* crashes */
  bool chosen[PARTS_MAX];          /* to be blocked */
  size_t count;
} crash_parts_t;

static int
part_compare_times (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left > right) - (left < right);
}

/* Number of crashes at different times. */
static uint32_t
part_count_times (uint64_t *times_us, size_t count)
{
  uint32_t distinct = 0;
  uint64_t last_us = 0;

  qsort (times_us, count, sizeof times_us[0], part_compare_times);
  for (size_t i = 0; i < count; i++)
    {
      if (distinct > 0 && times_us[i] - last_us < PART_WAVE_US)
        continue;
      distinct++;
      last_us = times_us[i];
    }
  return distinct;
}

static bool
part_has_crash (const ca_crash_record_t *record, uint64_t process)
{
  for (uint32_t i = 0; i < record->count; i++)
    {
      if (record->crashes[i].process == process)
        return true;
    }
  return false;
}

/* True if a chosen part explains the crash. */
static bool
part_is_explained (const crash_parts_t *parts, uint64_t process)
{
  for (size_t i = 0; i < parts->count; i++)
    {
      if (parts->chosen[i] && part_has_crash (parts->records[i], process))
        return true;
    }
  return false;
}

static void
part_update_unexplained (crash_parts_t *parts, size_t index)
{
  const ca_crash_record_t *record = parts->records[index];
  uint64_t times_us[CA_PART_CRASHES_MAX];
  size_t count = 0;

  for (uint32_t i = 0; i < record->count; i++)
    {
      if (!part_is_explained (parts, record->crashes[i].process))
        times_us[count++] = record->crashes[i].at_us;
    }
  parts->unexplained[index] = part_count_times (times_us, count);
}

static void
part_collect (const ca_gateway_t *gateway, crash_parts_t *parts)
{
  ca_crash_record_t *record;

  parts->count = 0;
  for (record = gateway->crash_records;
       record != NULL && parts->count < PARTS_MAX; record = record->hh.next)
    {
      if (!record->is_part || record->count < PART_CRASHES_MIN)
        continue;
      parts->records[parts->count] = record;
      parts->chosen[parts->count] = false;
      parts->count++;
    }
}

/* Chooses the parts with most unexplained crashes, of those that have completed
 * a run or of the others.  False if these are too few, or do not tell parts
 * apart. */
static bool
part_choose (crash_parts_t *parts, bool once_sound)
{
  uint32_t most = 0;
  size_t ties = 0;

  for (size_t i = 0; i < parts->count; i++)
    {
      if (parts->chosen[i]
          || (parts->records[i]->completed_us != 0) != once_sound)
        continue;
      part_update_unexplained (parts, i);
      if (parts->unexplained[i] > most)
        {
          most = parts->unexplained[i];
          ties = 0;
        }
      if (parts->unexplained[i] == most)
        ties++;
    }
  if (most < (once_sound ? PART_CRASHES_ONCE_SOUND
              : ties > 1 ? PART_CRASHES_TIE
                         : PART_CRASHES_MIN))
    return false;
  for (size_t i = 0; i < parts->count; i++)
    {
      if ((parts->records[i]->completed_us != 0) == once_sound
          && parts->unexplained[i] == most)
        parts->chosen[i] = true;
    }
  return true;
}

/* Blocks or releases a part. */
static void
part_set_blocked (ca_gateway_t *gateway, ca_crash_record_t *record,
                  bool blocked)
{
  if (record->blocked == blocked)
    return;
  record->blocked = blocked;
  record->changed_us = gateway->now_us;
  ca_gateway_log (
      gateway, blocked ? CA_EVENT_PART_QUARANTINED : CA_EVENT_PART_RELEASED,
      NULL, NULL, "part %" PRIx64 ": %u endpoints crashed",
      record->fingerprint ^ CA_PART_FINGERPRINT_MASK, record->count);
}

void
ca_crash_parts_decide (ca_gateway_t *gateway)
{
  crash_parts_t parts;
  ca_crash_record_t *record;

  if (!gateway->part_crashes_changed)
    return;
  gateway->part_crashes_changed = false;
  part_collect (gateway, &parts);
  while (part_choose (&parts, false))
    continue;
  while (part_choose (&parts, true))
    continue;
  gateway->blocked_parts = 0;
  for (size_t i = 0; i < parts.count; i++)
    {
      part_set_blocked (gateway, parts.records[i], parts.chosen[i]);
      if (parts.chosen[i])
        gateway->blocked_parts++;
    }
  for (record = gateway->crash_records; record != NULL;
       record = record->hh.next)
    {
      if (record->is_part && record->count < PART_CRASHES_MIN)
        part_set_blocked (gateway, record, false);
    }
}
