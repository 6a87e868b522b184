/* Guards against a flood of requests with a prompt part that ends endpoints, at
 * entries that hear nothing of those in other zones. */
#include "crashing_fleet.h"

static void
test_small_fleet (void **state)
{
  static const crashing_fleet_t fleet
      = { CRASHING_FLEET_SMALL, .by_part = true,
          .by_part_period_us = 30 * CA_US_PER_MS,
          .cut_period_us = 40 * CA_US_PER_S };

  (void)state;
  crashing_fleet_check (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_small_fleet),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
