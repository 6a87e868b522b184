/* Guards against versions with many routes that come late, or hold up other
 * messages, in fleets of 8, 82 and 300 entries with narrow links. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "config_world.h"
#include "gateway/private.h"

#include <stdio.h>

/* A link on which nothing is acknowledged for so long is closed. */
#define LINK_ACK_US (500 * CA_US_PER_MS)

/* Writes versions that grow, and one more of each size, in quick series. */
static void
check_versions (size_t count, bool all_narrow, double loss, size_t step)
{
  uint64_t version = 1;

  config_world_start (count, all_narrow);
  config_world.loss = loss;
  config_world.longest_wait_us = 0;
  for (size_t routes = step; routes <= 3 * step; routes += step)
    {
      for (int i = 0; i < 2; i++)
        {
          uint64_t before = config_world.sent_bytes;
          uint64_t took_ms = config_world_propagate_ms (++version, routes);

          printf ("%zu entries%s%s, %zu routes%s: %llu ms, %llu KB between "
                  "entries, a message under way for up to %llu ms\n",
                  count, all_narrow ? ", all narrow" : "",
                  loss > 0 ? ", losses" : "", routes, i > 0 ? " again" : "",
                  (unsigned long long)took_ms,
                  (unsigned long long)(config_world.sent_bytes - before) / 1000,
                  (unsigned long long)config_world.longest_wait_us / 1000);
          assert_true (took_ms <= CONFIG_WORLD_BOUND_MS);
          assert_true (config_world.longest_wait_us < LINK_ACK_US);
        }
    }
  config_world_end ();
}

static void
test_8_entries (void **state)
{
  (void)state;
  check_versions (8, false, 0, 1400);
}

static void
test_82_entries (void **state)
{
  (void)state;
  check_versions (82, false, 0, 1400);
}

static void
test_82_entries_all_narrow (void **state)
{
  (void)state;
  check_versions (82, true, 0, 1400);
}

static void
test_82_entries_lose_messages (void **state)
{
  (void)state;
  check_versions (82, false, 0.02, 700);
}

static void
test_300_entries (void **state)
{
  (void)state;
  check_versions (300, false, 0, 700);
}

/* The readers end while their peers request parts. */
static void
test_readers_end (void **state)
{
  uint64_t took_ms;

  (void)state;
  config_world_start (82, true);
  config_world_write (2, 2800);
  for (size_t zone = 0; zone < CONFIG_WORLD_ZONES; zone++)
    {
      config_entry_t *reader = config_world_reader (zone);

      assert_non_null (reader);
      while (reader->gateway.catalog->version < 2)
        config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
      config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
      config_entry_end (reader);
    }
  took_ms = config_world_propagate_ms (3, 2800);
  printf ("readers end: %llu ms\n", (unsigned long long)took_ms);
  assert_true (took_ms <= CONFIG_WORLD_BOUND_MS);
  config_world_end ();
}

/* An entry gets the version before by another way as it requests parts. */
static void
test_version_between_parts (void **state)
{
  config_entry_t *sender = &config_world.entries[0];
  config_entry_t *receiver = &config_world.entries[1];
  uint64_t from_us;

  (void)state;
  config_world_start (2, true);
  sender->store_cut = true;
  receiver->store_cut = true;
  config_entry_apply (sender, 2, 4000);
  config_entry_apply (sender, 3, 8000);
  from_us = config_world.now_us;
  while (receiver->gateway.config_transfer.received_bytes == 0
         && config_world.now_us - from_us < 5 * CA_US_PER_S)
    config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
  assert_true (receiver->gateway.config_transfer.received_bytes > 0);
  config_entry_apply (receiver, 2, 4000);
  from_us = config_world.now_us;
  while (receiver->gateway.catalog->version < 3
         && config_world.now_us - from_us < 20 * CA_US_PER_S)
    config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
  printf ("version between parts: %llu ms\n",
          (unsigned long long)(config_world.now_us - from_us) / CA_US_PER_MS);
  assert_true (config_world.now_us - from_us
               <= CONFIG_WORLD_BOUND_MS * CA_US_PER_MS);
  config_world_end ();
}

/* The only sender falls silent between two parts; another entry has the
 * version. */
static void
test_sender_falls_silent (void **state)
{
  config_entry_t *sender = &config_world.entries[0];
  config_entry_t *receiver = &config_world.entries[1];
  config_entry_t *other = &config_world.entries[2];
  uint64_t from_us;

  (void)state;
  config_world_start (3, true);
  for (size_t i = 0; i < 3; i++)
    config_world.entries[i].store_cut = true;
  config_entry_apply (sender, 2, 8000);
  from_us = config_world.now_us;
  while (receiver->gateway.config_transfer.received_bytes == 0
         && config_world.now_us - from_us < 5 * CA_US_PER_S)
    config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
  assert_true (receiver->gateway.config_transfer.received_bytes > 0);
  sender->paused = true;
  config_entry_apply (other, 2, 8000);
  from_us = config_world.now_us;
  while (receiver->gateway.catalog->version < 2
         && config_world.now_us - from_us < 20 * CA_US_PER_S)
    config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
  printf ("sender falls silent: %llu ms\n",
          (unsigned long long)(config_world.now_us - from_us) / CA_US_PER_MS);
  assert_true (config_world.now_us - from_us
               <= CONFIG_WORLD_BOUND_MS * CA_US_PER_MS);
  config_world_end ();
}

/* True if an entry receives the newest text from the store although it has it.
 */
static bool
receives_needlessly (const config_entry_t *entry, uint64_t version)
{
  return entry->gateway.catalog->version >= version && entry->calls
         && entry->answered && entry->answer_changed == config_world.changed;
}

/* Guards against deputies that go on receiving a text that they have. */
static void
test_deputies_stop_receiving (void **state)
{
  uint64_t since_us[CONFIG_WORLD_MAX_ENTRIES] = { 0 };
  uint64_t longest_us = 0;
  uint64_t until_us;

  (void)state;
  config_world_start (84, true);
  config_world_write (2, 5600);
  until_us = config_world.now_us + 2 * CONFIG_WORLD_BOUND_MS * CA_US_PER_MS;
  while (config_world.now_us < until_us)
    {
      config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
      for (size_t i = 0; i < config_world.count; i++)
        {
          if (!receives_needlessly (&config_world.entries[i], 2))
            since_us[i] = config_world.now_us;
          else if (config_world.now_us - since_us[i] > longest_us)
            longest_us = config_world.now_us - since_us[i];
        }
    }
  printf ("an entry receives a text that it has for up to %llu ms\n",
          (unsigned long long)longest_us / CA_US_PER_MS);
  assert_true (config_world_all_have (2, 0));
  assert_true (longest_us <= CA_GATEWAY_TICK_US);
  config_world_end ();
}

#define SERIES 20
#define SERIES_STEP_MS 300

/* How long ago a version was written that replaced the one in force; 0 if none
 * has. */
static uint64_t
replaced_since_us (const config_entry_t *entry, const uint64_t *written_us,
                   uint64_t newest)
{
  uint64_t version = entry->gateway.catalog->version;

  return version >= newest ? 0 : config_world.now_us - written_us[version + 1];
}

/* Guards against needless, and missing, refusals in a series of versions. */
static void
test_series_of_versions (void **state)
{
  uint64_t written_us[SERIES + 2] = { 0 };
  uint64_t latest_us = 0;
  size_t needless = 0;
  size_t overdue = 0;

  (void)state;
  config_world_start (84, true);
  config_world.builds_slowly = true;
  for (uint64_t version = 2; version <= SERIES; version++)
    {
      config_world_write (version, 2800 + version);
      written_us[version] = config_world.now_us;
      for (uint64_t ms = 0; ms < SERIES_STEP_MS; ms += 5)
        {
          config_world_run (5);
          for (size_t i = 0; i < config_world.count; i++)
            {
              const config_entry_t *entry = &config_world.entries[i];
              uint64_t since_us
                  = replaced_since_us (entry, written_us, version);
              bool refuses = ca_state_sync_config_is_overdue (&entry->gateway);

              latest_us = since_us > latest_us ? since_us : latest_us;
              needless += refuses && since_us < 2 * CA_US_PER_S;
              overdue += !refuses
                         && since_us > CONFIG_WORLD_BOUND_MS * CA_US_PER_MS;
            }
        }
    }
  printf (
      "series of versions: replaced for up to %llu ms, refuses needlessly in "
      "%zu steps, does not in %zu\n",
      (unsigned long long)latest_us / CA_US_PER_MS, needless, overdue);
  assert_int_equal (needless, 0);
  assert_int_equal (overdue, 0);
  config_world_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_8_entries),
    cmocka_unit_test (test_82_entries),
    cmocka_unit_test (test_82_entries_all_narrow),
    cmocka_unit_test (test_82_entries_lose_messages),
    cmocka_unit_test (test_300_entries),
    cmocka_unit_test (test_readers_end),
    cmocka_unit_test (test_version_between_parts),
    cmocka_unit_test (test_sender_falls_silent),
    cmocka_unit_test (test_deputies_stop_receiving),
    cmocka_unit_test (test_series_of_versions),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
