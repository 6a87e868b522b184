/* Guards against a request that ends endpoints and is let through while a
 * disruption keeps the entries from learning of it. */
#include "crashing_fleet.h"

static void
test_cut_zones_small_fleet (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_SMALL, .cut_period_us = 11 * CA_US_PER_S };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_cut_zones (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_MEDIUM, .cut_period_us = 11 * CA_US_PER_S };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_cut_zones_and_restarts (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_MEDIUM, .cut_period_us = 11 * CA_US_PER_S,
          .restart_period_us = 1300 * CA_US_PER_MS, .restart_count = 2 };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_silent_endpoints (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_MEDIUM, .silent = true };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_quick_restarts_of_endpoints (void **state)
{
  static const crashing_fleet_t fleet = { .entries = 40,
                                          .endpoints = 45,
                                          .requests_per_s = 300,
                                          .down_us = 50 * CA_US_PER_MS };

  (void)state;
  crashing_fleet_check (&fleet);
}

/* Nothing outlives all entries; those in touch have learnt again. */
static void
test_restarts_of_all_entries (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_MEDIUM, .restart_period_us = 12 * CA_US_PER_S,
          .restart_count = 40, .only_in_touch = true };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_restarts_of_half_the_entries_in_waves (void **state)
{
  static const crashing_fleet_t fleet = { CRASHING_FLEET_MEDIUM,
                                          .hot_share = 0.05,
                                          .restart_period_us = 5 * CA_US_PER_S,
                                          .restart_count = 22,
                                          .wave_period_us = 7 * CA_US_PER_S,
                                          .wave_share = 0.25 };

  (void)state;
  crashing_fleet_check (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cut_zones_small_fleet),
    cmocka_unit_test (test_cut_zones),
    cmocka_unit_test (test_cut_zones_and_restarts),
    cmocka_unit_test (test_silent_endpoints),
    cmocka_unit_test (test_quick_restarts_of_endpoints),
    cmocka_unit_test (test_restarts_of_all_entries),
    cmocka_unit_test (test_restarts_of_half_the_entries_in_waves),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
