/* Guards against less urgent kinds that earn more of their value than the most
 * urgent one, since it is served late. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "admission_world.h"

/* Of the value that a kind asks for; an answer counts if it is in time. */
#define VALUE_SLACK 0.15

static double
value (size_t kind)
{
  count_t sum = world_sum (LOAD_FROM_US, LOAD_FROM_US + world.scenario->load_us,
                           kind, -1);

  return sum.in_time / sum.asked;
}

static void
check (double overload)
{
  scenario_t scenario
      = { .entries = 8, .overload = overload, .load_us = 4 * CA_US_PER_S };

  world_run (&scenario);
  world_print ("value");
  for (size_t i = 0; i < KINDS; i++)
    {
      for (size_t j = i + 1; j < KINDS; j++)
        assert_true (value (j) <= value (i) + VALUE_SLACK);
    }
}

static void
test_value_short (void **state)
{
  (void)state;
  check (1.5);
}

static void
test_value_very_short (void **state)
{
  (void)state;
  check (2.5);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_value_short),
    cmocka_unit_test (test_value_very_short),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
