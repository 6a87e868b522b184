/* Guards against entries that serve nobody while they reach no endpoint but
 * other entries do. */
#include "streaming_fleet.h"

static void
check_cut (streaming_fleet_t fleet, size_t cut_entries,
           streaming_fleet_cut_t how)
{
  fleet.cut_entries = cut_entries;
  fleet.plain_share = 0.3;
  fleet.versions_fixed = true;
  fleet.run_us = 17 * CA_US_PER_S;
  fleet.cut_how = how;
  streaming_fleet_check_cut (&fleet);
}

/* The first tries of streams and plain requests, by how the connections of some
 * entries to all endpoints fail. */
static void
check_cuts (streaming_fleet_t fleet, size_t cut_entries)
{
  check_cut (fleet, cut_entries, STREAMING_FLEET_HANGING);
  check_cut (fleet, cut_entries, STREAMING_FLEET_RESET);
  check_cut (fleet, cut_entries, STREAMING_FLEET_NO_NEW);
}

static void
test_8_entries_two_cut_off (void **state)
{
  (void)state;
  check_cuts ((streaming_fleet_t){ STREAMING_FLEET_SMALL }, 2);
}

static void
test_8_entries_seven_cut_off (void **state)
{
  (void)state;
  check_cuts ((streaming_fleet_t){ STREAMING_FLEET_SMALL }, 7);
}

static void
test_82_entries_a_zone_cut_off (void **state)
{
  (void)state;
  check_cuts ((streaming_fleet_t){ STREAMING_FLEET_LARGE }, 21);
}

static void
test_82_entries_nearly_all_cut_off (void **state)
{
  (void)state;
  check_cut ((streaming_fleet_t){ STREAMING_FLEET_LARGE }, 74,
             STREAMING_FLEET_NO_NEW);
}

static void
test_300_entries_a_zone_cut_off (void **state)
{
  (void)state;
  check_cut ((streaming_fleet_t){ STREAMING_FLEET_HUGE }, 75,
             STREAMING_FLEET_HANGING);
}

static void
test_300_entries_nearly_all_cut_off (void **state)
{
  (void)state;
  check_cut ((streaming_fleet_t){ STREAMING_FLEET_HUGE }, 270,
             STREAMING_FLEET_RESET);
}

/* Entries are killed and endpoints crash beside the cut. */
static void
test_kills_and_crashes_beside (void **state)
{
  streaming_fleet_t fleet = { STREAMING_FLEET_LARGE };

  (void)state;
  fleet.kill_period_us = 900 * CA_US_PER_MS;
  fleet.kill_count = 2;
  fleet.crash_period_us = 500 * CA_US_PER_MS;
  check_cut (fleet, 21, STREAMING_FLEET_HANGING);
}

/* An endpoint that is silent for a second is sound. */
static void
test_silent_endpoints_keep_their_traffic (void **state)
{
  static const streaming_fleet_t small
      = { STREAMING_FLEET_SMALL, .plain_share = 0.3, .versions_fixed = true,
          .silent_period_us = 1300 * CA_US_PER_MS };
  static const streaming_fleet_t large
      = { STREAMING_FLEET_LARGE, .plain_share = 0.3, .versions_fixed = true,
          .silent_period_us = 200 * CA_US_PER_MS };

  (void)state;
  streaming_fleet_check_silent (&small);
  streaming_fleet_check_silent (&large);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_8_entries_two_cut_off),
    cmocka_unit_test (test_8_entries_seven_cut_off),
    cmocka_unit_test (test_82_entries_a_zone_cut_off),
    cmocka_unit_test (test_82_entries_nearly_all_cut_off),
    cmocka_unit_test (test_300_entries_a_zone_cut_off),
    cmocka_unit_test (test_300_entries_nearly_all_cut_off),
    cmocka_unit_test (test_kills_and_crashes_beside),
    cmocka_unit_test (test_silent_endpoints_keep_their_traffic),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
