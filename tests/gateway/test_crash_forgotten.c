/* Guards against crashes that are forgotten when the entry that saw them
 * restarts. */
#include "crashing_fleet.h"

static void
test_small_fleet (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_SMALL, .restart_period_us = 1300 * CA_US_PER_MS,
          .restart_count = 1 };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_large_fleet (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_LARGE, .restart_period_us = 1300 * CA_US_PER_MS,
          .restart_count = 4 };

  (void)state;
  crashing_fleet_check (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_small_fleet),
    cmocka_unit_test (test_large_fleet),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
