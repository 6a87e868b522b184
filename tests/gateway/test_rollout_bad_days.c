/* Days on which a tenth of the endpoints of both versions fails two of five
 * requests, at seeds at which the good version was reverted: the failing
 * endpoints happen to get most of the canary requests. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "rollout_world.h"

static void
check (size_t entries, uint32_t endpoints, double requests_per_s, uint64_t seed)
{
  rollout_case_t setup = { .entries = entries,
                           .endpoints = endpoints,
                           .requests_per_s = requests_per_s,
                           .failing_endpoints = 0.1,
                           .seed = seed };
  rollout_result_t result;

  rollout_world_run (&setup, &result);
  print_message ("%zu entries, seed %d: stage %d, %d of %d at the target\n",
                 entries, (int)seed, result.stage, (int)result.sent_target,
                 (int)result.sent);
  assert_int_equal (result.stage, CA_ROLLOUT_COMPLETED);
}

static void
test_8_entries (void **state)
{
  (void)state;
  check (8, 12, 120, 38);
}

static void
test_84_entries (void **state)
{
  (void)state;
  check (84, 100, 500, 18);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_8_entries),
    cmocka_unit_test (test_84_entries),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
