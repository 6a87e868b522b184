/* Guards against streams that go on at another software version than the one
 * that began them, and against streams that are not taken up for no reason. */
#include "streaming_fleet.h"

/* Entries are killed, endpoints crash; versions come and go. */
static void
check_kills (streaming_fleet_t fleet)
{
  fleet.kill_period_us = 700 * CA_US_PER_MS;
  fleet.kill_count = fleet.entries < 30 ? 1 : fleet.entries / 20;
  fleet.crash_period_us = 500 * CA_US_PER_MS;
  streaming_fleet_check (&fleet);
}

static void
test_kills_8_entries (void **state)
{
  (void)state;
  check_kills ((streaming_fleet_t){ STREAMING_FLEET_SMALL });
}

static void
test_kills_82_entries (void **state)
{
  (void)state;
  check_kills ((streaming_fleet_t){ STREAMING_FLEET_LARGE });
}

static void
test_kills_300_entries (void **state)
{
  (void)state;
  check_kills ((streaming_fleet_t){ STREAMING_FLEET_HUGE });
}

static void
test_rolling_restart (void **state)
{
  static const streaming_fleet_t small
      = { STREAMING_FLEET_SMALL, .roll_period_us = 1500 * CA_US_PER_MS,
          .crash_period_us = 600 * CA_US_PER_MS };
  static const streaming_fleet_t large
      = { STREAMING_FLEET_LARGE, .roll_period_us = 200 * CA_US_PER_MS,
          .crash_period_us = 600 * CA_US_PER_MS };

  (void)state;
  streaming_fleet_check (&small);
  streaming_fleet_check (&large);
}

/* A quarter of the entries is cut off from the store and the others, while
 * versions come and go and entries are killed. */
static void
test_entries_cut_off (void **state)
{
  static const streaming_fleet_t small
      = { STREAMING_FLEET_SMALL, .cut_period_us = 9 * CA_US_PER_S,
          .kill_period_us = 700 * CA_US_PER_MS, .kill_count = 1,
          .crash_period_us = 500 * CA_US_PER_MS };
  static const streaming_fleet_t large
      = { STREAMING_FLEET_LARGE, .cut_period_us = 9 * CA_US_PER_S,
          .kill_period_us = 700 * CA_US_PER_MS, .kill_count = 4,
          .crash_period_us = 500 * CA_US_PER_MS };

  (void)state;
  streaming_fleet_check (&small);
  streaming_fleet_check (&large);
}

/* Within one answer: endpoints crash, entries stay. */
static void
test_endpoints_crash (void **state)
{
  static const streaming_fleet_t fleet
      = { STREAMING_FLEET_SMALL, .versions_fixed = true,
          .crash_period_us = 400 * CA_US_PER_MS };

  (void)state;
  streaming_fleet_check (&fleet);
}

/* Half of all entries are killed at once, again and again. */
static void
test_half_of_the_entries_killed (void **state)
{
  static const streaming_fleet_t small
      = { STREAMING_FLEET_SMALL, .versions_fixed = true,
          .kill_period_us = 4500 * CA_US_PER_MS, .kill_count = 4 };
  static const streaming_fleet_t large
      = { STREAMING_FLEET_LARGE, .versions_fixed = true,
          .kill_period_us = 4500 * CA_US_PER_MS, .kill_count = 41 };

  (void)state;
  streaming_fleet_check (&small);
  streaming_fleet_check (&large);
}

/* All entries at once, while versions come and go. */
static void
test_all_entries_killed (void **state)
{
  static const streaming_fleet_t fleet
      = { STREAMING_FLEET_SMALL, .run_us = 30 * CA_US_PER_S,
          .kill_period_us = 6 * CA_US_PER_S, .kill_count = 8,
          .crash_period_us = 900 * CA_US_PER_MS };

  (void)state;
  streaming_fleet_check (&fleet);
}

static void
test_all_entries_killed_two_versions (void **state)
{
  static const streaming_fleet_t fleet
      = { STREAMING_FLEET_SMALL,
          .run_us = 30 * CA_US_PER_S,
          .kill_period_us = 6 * CA_US_PER_S,
          .kill_count = 8,
          .versions_fixed = true,
          .crash_period_us = 900 * CA_US_PER_MS };

  (void)state;
  streaming_fleet_check (&fleet);
}

/* Guards against streams that are refused since all that knew which version
 * began them ended with their entry, though one version has served all the
 * time. */
static void
check_single_version (streaming_fleet_t fleet)
{
  fleet.single_version = true;
  fleet.checks_early = true;
  fleet.kill_period_us = 4500 * CA_US_PER_MS;
  fleet.crash_period_us = 2 * CA_US_PER_S;
  streaming_fleet_check (&fleet);
}

static void
test_one_version_most_entries_killed (void **state)
{
  (void)state;
  check_single_version (
      (streaming_fleet_t){ STREAMING_FLEET_SMALL, .kill_count = 1 });
  check_single_version (
      (streaming_fleet_t){ STREAMING_FLEET_SMALL, .kill_count = 4 });
  check_single_version (
      (streaming_fleet_t){ STREAMING_FLEET_SMALL, .kill_spares = 1 });
  check_single_version (
      (streaming_fleet_t){ STREAMING_FLEET_SMALL, .kills_zone = true });
  check_single_version (
      (streaming_fleet_t){ STREAMING_FLEET_LARGE, .kill_spares = 10 });
  check_single_version (
      (streaming_fleet_t){ STREAMING_FLEET_195, .kill_spares = 24 });
  check_single_version (
      (streaming_fleet_t){ STREAMING_FLEET_195, .kills_zone = true });
}

static void
test_one_version_all_entries_killed (void **state)
{
  (void)state;
  check_single_version (
      (streaming_fleet_t){ STREAMING_FLEET_SMALL, .kill_count = 8 });
  check_single_version (
      (streaming_fleet_t){ STREAMING_FLEET_LARGE, .kill_count = 82 });
  check_single_version (
      (streaming_fleet_t){ STREAMING_FLEET_195, .kill_count = 195 });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_entries_killed),
    cmocka_unit_test (test_all_entries_killed_two_versions),
    cmocka_unit_test (test_kills_8_entries),
    cmocka_unit_test (test_kills_82_entries),
    cmocka_unit_test (test_kills_300_entries),
    cmocka_unit_test (test_rolling_restart),
    cmocka_unit_test (test_entries_cut_off),
    cmocka_unit_test (test_endpoints_crash),
    cmocka_unit_test (test_half_of_the_entries_killed),
    cmocka_unit_test (test_one_version_most_entries_killed),
    cmocka_unit_test (test_one_version_all_entries_killed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
