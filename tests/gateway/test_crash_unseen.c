/* Guards against crashes that no entry recognises, since each has little
 * traffic to the endpoint that ended. */
#include "crashing_fleet.h"

static void
test_small_fleet (void **state)
{
  static const crashing_fleet_t fleet = { CRASHING_FLEET_SMALL };

  (void)state;
  crashing_fleet_check (&fleet);
}

static void
test_large_fleet (void **state)
{
  static const crashing_fleet_t fleet = { CRASHING_FLEET_LARGE };

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
