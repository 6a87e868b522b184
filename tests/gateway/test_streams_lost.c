/* Guards against streams that are refused, while two versions of their
 * endpoints serve side by side, since all that knew which version began them
 * ended with their entry. */
#include "streaming_fleet.h"

static void
check_kills (streaming_fleet_t fleet)
{
  fleet.versions_fixed = true;
  fleet.kill_period_us = 4500 * CA_US_PER_MS;
  streaming_fleet_check (&fleet);
}

static void
test_two_versions_most_entries_killed (void **state)
{
  (void)state;
  check_kills ((streaming_fleet_t){ STREAMING_FLEET_SMALL, .kill_spares = 1 });
  check_kills ((streaming_fleet_t){ STREAMING_FLEET_LARGE, .kill_spares = 10 });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_two_versions_most_entries_killed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
