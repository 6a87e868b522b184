/* Guards against versions that come late, or are read whole by most entries,
 * since the entries that read for their zones stand still. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "config_world.h"

#include <stdio.h>

#define SETTLE_MS 6000
#define MAX_WAIT_US (20 * CA_US_PER_S)
#define ROUTES 5600
#define INCIDENT_ROUTES 4200

/* Time from the version at the readers to their pause, in which the first parts
 * are sent. */
#define SENDING_MS 60

/* Lengths of a pause: shorter and longer than the bound. */
static const uint64_t pauses_ms[] = { 1200, 4000 };

/* Moments of the write, from the pause's beginning on. */
#define MOMENT_STEP_MS 200

/* Entries of a zone that may receive the whole text from the store. */
#define MAX_READERS 4

/* Pauses the entries of each zone that started first, or resumes all. */
static void
pause_first (size_t of_a_zone)
{
  for (size_t i = 0; i < config_world.count; i++)
    config_world.entries[i].paused = i < of_a_zone * CONFIG_WORLD_ZONES;
}

static uint32_t
texts_read (size_t zone)
{
  uint32_t sum = 0;

  for (size_t i = zone; i < config_world.count; i += CONFIG_WORLD_ZONES)
    sum += config_world.entries[i].texts_read;
  return sum;
}

/* Writes a version a while after the first entries of each zone have paused;
 * these do not count. */
static void
check_moment (size_t of_a_zone, uint64_t version, uint64_t pause_ms,
              uint64_t after_ms)
{
  uint32_t before[CONFIG_WORLD_ZONES];
  uint64_t from_us;
  uint64_t took_ms;
  uint32_t most = 0;

  for (size_t zone = 0; zone < CONFIG_WORLD_ZONES; zone++)
    before[zone] = texts_read (zone);
  pause_first (of_a_zone);
  config_world_run (after_ms);
  from_us = config_world.now_us;
  config_world_write (version, ROUTES);
  while (!config_world_all_have (version, of_a_zone * CONFIG_WORLD_ZONES)
         && config_world.now_us - from_us < MAX_WAIT_US)
    {
      if (config_world.now_us - from_us >= (pause_ms - after_ms) * CA_US_PER_MS)
        pause_first (0);
      config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
    }
  took_ms = (config_world.now_us - from_us) / CA_US_PER_MS;
  pause_first (0);
  config_world_run (SETTLE_MS);
  for (size_t zone = 0; zone < CONFIG_WORLD_ZONES; zone++)
    {
      uint32_t read = texts_read (zone) - before[zone];

      most = read > most ? read : most;
    }
  printf ("%zu entries, %zu of each zone pause for %llu ms, written after %llu"
          " ms: in force after %llu ms, read whole by %u of a zone\n",
          config_world.count, of_a_zone, (unsigned long long)pause_ms,
          (unsigned long long)after_ms, (unsigned long long)took_ms, most);
  assert_true (took_ms <= CONFIG_WORLD_BOUND_MS);
  assert_true (most <= MAX_READERS);
}

static void
check_pauses (size_t count, bool all_narrow, size_t of_a_zone, uint64_t moments)
{
  uint64_t version = 1;

  config_world_start (count, all_narrow);
  config_world.builds_slowly = true;
  for (size_t i = 0; i < sizeof pauses_ms / sizeof pauses_ms[0]; i++)
    {
      for (uint64_t k = 0; k < moments; k++)
        check_moment (of_a_zone, ++version, pauses_ms[i], k * MOMENT_STEP_MS);
    }
  config_world_end ();
}

static void
test_8_entries (void **state)
{
  (void)state;
  check_pauses (8, false, 1, 2);
}

static void
test_84_entries (void **state)
{
  (void)state;
  check_pauses (84, false, 1, 4);
}

static void
test_84_entries_both_wide_pause (void **state)
{
  (void)state;
  check_pauses (84, false, 2, 4);
}

static void
test_84_entries_all_narrow (void **state)
{
  (void)state;
  check_pauses (84, true, 1, 4);
}

static void
test_300_entries (void **state)
{
  (void)state;
  check_pauses (300, false, 1, 2);
}

/* The readers have a version, and pause as their peers request its parts. */
static void
test_senders_pause (void **state)
{
  uint64_t from_us;
  uint64_t took_ms;

  (void)state;
  config_world_start (84, true);
  config_world.builds_slowly = true;
  from_us = config_world.now_us;
  config_world_write (2, ROUTES);
  while (config_world_reader (0)->gateway.catalog->version < 2)
    config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
  config_world_run (SENDING_MS);
  pause_first (1);
  while (!config_world_all_have (2, CONFIG_WORLD_ZONES)
         && config_world.now_us - from_us < MAX_WAIT_US)
    config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
  took_ms = (config_world.now_us - from_us) / CA_US_PER_MS;
  printf ("84 entries, readers pause while they send: in force after %llu ms\n",
          (unsigned long long)took_ms);
  assert_true (took_ms <= CONFIG_WORLD_BOUND_MS);
  config_world_end ();
}

/* The readers' calls hang, and they go on telling how old their copies are. */
static void
test_readers_lose_the_store (void **state)
{
  uint64_t from_us;
  uint64_t took_ms;

  (void)state;
  config_world_start (84, true);
  config_world.builds_slowly = true;
  for (size_t zone = 0; zone < CONFIG_WORLD_ZONES; zone++)
    config_world_reader (zone)->store_cut = true;
  from_us = config_world.now_us;
  config_world_write (2, INCIDENT_ROUTES);
  while (!config_world_all_have (2, CONFIG_WORLD_ZONES)
         && config_world.now_us - from_us < MAX_WAIT_US)
    config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
  took_ms = (config_world.now_us - from_us) / CA_US_PER_MS;
  printf ("84 entries, readers' calls hang: in force after %llu ms\n",
          (unsigned long long)took_ms);
  assert_true (took_ms <= CONFIG_WORLD_BOUND_MS);
  config_world_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_8_entries),
    cmocka_unit_test (test_84_entries),
    cmocka_unit_test (test_84_entries_both_wide_pause),
    cmocka_unit_test (test_84_entries_all_narrow),
    cmocka_unit_test (test_300_entries),
    cmocka_unit_test (test_senders_pause),
    cmocka_unit_test (test_readers_lose_the_store),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
