/* Guards against brittle engines that fall over again and again, as entries
 * send them more streams than they have room for. */
#include "streaming_fleet.h"

#define BRITTLE_FLEET                                                          \
  .versions_fixed = true, .brittle_limit = 3, .run_us = 21 * CA_US_PER_S

/* Of what half of the load is, nine tenths. */
#define HALF_LOAD_SERVED 0.45

static void
test_8_entries (void **state)
{
  static const streaming_fleet_t fleet = { .entries = 8,
                                           .endpoints = 4,
                                           .streams_per_s = 36,
                                           .engine_slots = 4,
                                           BRITTLE_FLEET };

  (void)state;
  streaming_fleet_check_brittle (&fleet);
}

static void
test_five_times_the_load (void **state)
{
  static const streaming_fleet_t fleet = { .entries = 8,
                                           .endpoints = 4,
                                           .streams_per_s = 72,
                                           .engine_slots = 4,
                                           BRITTLE_FLEET };

  (void)state;
  streaming_fleet_check_brittle (&fleet);
}

/* Half of the load that they take: nearly all of it is served. */
static void
test_half_of_the_load (void **state)
{
  static const streaming_fleet_t small = { .entries = 8,
                                           .endpoints = 4,
                                           .streams_per_s = 30,
                                           .engine_slots = 16,
                                           .served_share = HALF_LOAD_SERVED,
                                           BRITTLE_FLEET };
  static const streaming_fleet_t large = { .entries = 82,
                                           .endpoints = 9,
                                           .streams_per_s = 270,
                                           .engine_slots = 64,
                                           .served_share = HALF_LOAD_SERVED,
                                           BRITTLE_FLEET };

  (void)state;
  streaming_fleet_check_brittle (&small);
  streaming_fleet_check_brittle (&large);
}

/* Engines return under the ids that they had. */
static void
test_same_ids (void **state)
{
  static const streaming_fleet_t fleet = { .entries = 8,
                                           .endpoints = 4,
                                           .streams_per_s = 36,
                                           .engine_slots = 4,
                                           .same_ids = true,
                                           .crash_period_us = 3 * CA_US_PER_S,
                                           BRITTLE_FLEET };

  (void)state;
  streaming_fleet_check_brittle (&fleet);
}

/* Engines whose memory takes fewer streams than they have slots. */
static void
test_less_room_than_slots (void **state)
{
  static const streaming_fleet_t fleet = { .entries = 8,
                                           .endpoints = 4,
                                           .streams_per_s = 250,
                                           .engine_slots = 64,
                                           .engine_room = 25,
                                           BRITTLE_FLEET };

  (void)state;
  streaming_fleet_check_brittle (&fleet);
}

static void
test_entries_killed (void **state)
{
  static const streaming_fleet_t fleet = { .entries = 8,
                                           .endpoints = 4,
                                           .streams_per_s = 36,
                                           .engine_slots = 4,
                                           .kill_period_us = 2 * CA_US_PER_S,
                                           .kill_count = 1,
                                           BRITTLE_FLEET };

  (void)state;
  streaming_fleet_check_brittle (&fleet);
}

/* Their requests are delegated to the others. */
static void
test_entries_cut_off_from_engines (void **state)
{
  static const streaming_fleet_cut_t cuts[]
      = { STREAMING_FLEET_HANGING, STREAMING_FLEET_RESET,
          STREAMING_FLEET_NO_NEW };

  (void)state;
  for (size_t i = 0; i < sizeof cuts / sizeof cuts[0]; i++)
    {
      streaming_fleet_t fleet = { .entries = 8,
                                  .endpoints = 4,
                                  .streams_per_s = 36,
                                  .engine_slots = 4,
                                  .cut_how = cuts[i],
                                  .cut_entries = 3,
                                  .brittle_start_us = 4 * CA_US_PER_S,
                                  BRITTLE_FLEET };

      streaming_fleet_check_brittle (&fleet);
    }
}

/* Some entries lose the others and the store, and others are killed. */
static void
test_entries_cut_off_from_each_other (void **state)
{
  static const streaming_fleet_t small = { .entries = 8,
                                           .endpoints = 4,
                                           .streams_per_s = 36,
                                           .engine_slots = 4,
                                           .cut_period_us = 9 * CA_US_PER_S,
                                           .kill_period_us = 3 * CA_US_PER_S,
                                           .kill_count = 1,
                                           BRITTLE_FLEET };
  static const streaming_fleet_t large = { .entries = 82,
                                           .endpoints = 9,
                                           .streams_per_s = 680,
                                           .engine_slots = 32,
                                           .cut_period_us = 9 * CA_US_PER_S,
                                           .kill_period_us = 1 * CA_US_PER_S,
                                           .kill_count = 2,
                                           .crash_period_us = 2 * CA_US_PER_S,
                                           BRITTLE_FLEET };

  (void)state;
  streaming_fleet_check_brittle (&small);
  streaming_fleet_check_brittle (&large);
}

static void
test_limit_beyond_any_integer (void **state)
{
  static const streaming_fleet_t fleet = { .entries = 8,
                                           .endpoints = 4,
                                           .streams_per_s = 36,
                                           .engine_slots = 4,
                                           .named_limit = 1e300,
                                           BRITTLE_FLEET };

  (void)state;
  streaming_fleet_check_brittle (&fleet);
}

static void
test_engines_and_plain_endpoints (void **state)
{
  static const streaming_fleet_t fleet = { .entries = 40,
                                           .endpoints = 12,
                                           .streams_per_s = 1500,
                                           .plain_share = 0.9,
                                           .engine_slots = 8,
                                           BRITTLE_FLEET };

  (void)state;
  streaming_fleet_check_brittle (&fleet);
}

static void
test_82_entries (void **state)
{
  static const streaming_fleet_t fleet = { .entries = 82,
                                           .endpoints = 9,
                                           .streams_per_s = 1350,
                                           .engine_slots = 64,
                                           BRITTLE_FLEET };

  (void)state;
  streaming_fleet_check_brittle (&fleet);
}

static void
test_300_entries (void **state)
{
  static const streaming_fleet_t fleet = { .entries = 300,
                                           .endpoints = 12,
                                           .streams_per_s = 900,
                                           .engine_slots = 32,
                                           BRITTLE_FLEET };

  (void)state;
  streaming_fleet_check_brittle (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_8_entries),
    cmocka_unit_test (test_five_times_the_load),
    cmocka_unit_test (test_half_of_the_load),
    cmocka_unit_test (test_same_ids),
    cmocka_unit_test (test_less_room_than_slots),
    cmocka_unit_test (test_entries_killed),
    cmocka_unit_test (test_entries_cut_off_from_engines),
    cmocka_unit_test (test_entries_cut_off_from_each_other),
    cmocka_unit_test (test_limit_beyond_any_integer),
    cmocka_unit_test (test_engines_and_plain_endpoints),
    cmocka_unit_test (test_82_entries),
    cmocka_unit_test (test_300_entries),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
