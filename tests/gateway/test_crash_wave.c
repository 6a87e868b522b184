/* Guards against sound requests that are blocked because endpoints that ran
 * them ended in a wave of crashes. */
#include "crashing_fleet.h"

static void
test_small_fleet (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_SMALL, .hot_share = 0.2,
          .wave_period_us = 7 * CA_US_PER_S, .wave_share = 0.4, .sound = true };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_large_fleet (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_LARGE, .hot_share = 0.05,
          .wave_period_us = 7 * CA_US_PER_S, .wave_share = 0.25,
          .sound = true };

  (void)state;
  crashing_fleet_check (&fleet);
}

/* The waves must not hide a request that does end endpoints. */
static void
test_crashing_request_among_waves (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_MEDIUM, .hot_share = 0.05,
          .wave_period_us = 7 * CA_US_PER_S, .wave_share = 0.25 };

  (void)state;
  crashing_fleet_check (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_small_fleet),
    cmocka_unit_test (test_large_fleet),
    cmocka_unit_test (test_crashing_request_among_waves),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
