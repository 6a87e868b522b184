/* Guards against requests with one prompt part that end endpoint after
 * endpoint, no two of them alike, and against sound requests that are blocked
 * since they share other parts with them. */
#include "crashing_fleet.h"

static void
test_small_fleet (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_SMALL, .by_part = true };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_small_fleet_of_renamed_endpoints (void **state)
{
  static const crashing_fleet_t fleet = { CRASHING_FLEET_SMALL, .by_part = true,
                                          .breaks_off = true, .renamed = true };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_large_fleet (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_LARGE, .by_part = true, .breaks_off = true };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_huge_fleet (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_HUGE, .by_part = true };

  (void)state;
  crashing_fleet_check (&fleet);
}

/* The platform leaves out entries that have just started. */
static void
test_small_fleet_with_restarts (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_SMALL, .by_part = true,
          .breaks_off = true,   .restart_period_us = 2 * CA_US_PER_S,
          .restart_count = 1,   .only_in_touch = true };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_large_fleet_with_restarts (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_LARGE, .by_part = true,
          .restart_period_us = 700 * CA_US_PER_MS, .restart_count = 8,
          .only_in_touch = true };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_small_fleet_with_cut_zones (void **state)
{
  static const crashing_fleet_t fleet = { CRASHING_FLEET_SMALL, .by_part = true,
                                          .cut_period_us = 11 * CA_US_PER_S };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_large_fleet_with_cut_zones (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_LARGE, .by_part = true, .breaks_off = true,
          .cut_period_us = 11 * CA_US_PER_S };

  (void)state;
  crashing_fleet_check (&fleet);
}

/* The cut begins before the first crash and ends after the bound begins. */
static void
test_small_fleet_with_a_zone_that_hears_nothing (void **state)
{
  static const crashing_fleet_t fleet = { CRASHING_FLEET_SMALL, .by_part = true,
                                          .cut_period_us = 40 * CA_US_PER_S };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_large_fleet_with_a_zone_that_hears_nothing (void **state)
{
  static const crashing_fleet_t fleet = { CRASHING_FLEET_LARGE, .by_part = true,
                                          .cut_period_us = 40 * CA_US_PER_S };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_small_fleet_among_waves (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_SMALL, .by_part = true,
          .wave_period_us = 7 * CA_US_PER_S, .wave_share = 0.4 };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_large_fleet_among_waves (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_LARGE, .by_part = true,
          .wave_period_us = 7 * CA_US_PER_S, .wave_share = 0.25 };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_small_fleet_in_a_flood (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_SMALL, .by_part = true,
          .by_part_period_us = 30 * CA_US_PER_MS };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_large_fleet_in_a_flood (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_LARGE, .by_part = true, .breaks_off = true,
          .by_part_period_us = 30 * CA_US_PER_MS };

  (void)state;
  crashing_fleet_check (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_small_fleet),
    cmocka_unit_test (test_small_fleet_of_renamed_endpoints),
    cmocka_unit_test (test_large_fleet),
    cmocka_unit_test (test_huge_fleet),
    cmocka_unit_test (test_small_fleet_with_restarts),
    cmocka_unit_test (test_large_fleet_with_restarts),
    cmocka_unit_test (test_small_fleet_with_cut_zones),
    cmocka_unit_test (test_large_fleet_with_cut_zones),
    cmocka_unit_test (test_small_fleet_with_a_zone_that_hears_nothing),
    cmocka_unit_test (test_large_fleet_with_a_zone_that_hears_nothing),
    cmocka_unit_test (test_small_fleet_among_waves),
    cmocka_unit_test (test_large_fleet_among_waves),
    cmocka_unit_test (test_small_fleet_in_a_flood),
    cmocka_unit_test (test_large_fleet_in_a_flood),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
