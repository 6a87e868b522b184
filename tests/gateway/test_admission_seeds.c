/* Guards against bounds of test_admission that hold for its seed only: other
 * seeds, and the bounds of the same target. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "admission_world.h"

/* Chance in the first second, at level 0, served the least urgent more. */
static void
test_order (void **state)
{
  static const scenario_t scenario = {
    .entries = 8, .seed = 8, .overload = 2.5, .load_us = 4 * CA_US_PER_S
  };

  (void)state;
  world_run (&scenario);
  world_print ("order");
  assert_true (world_worst_order () <= ORDER_SLACK);
}

/* The least urgent of the other workspaces lost while the flood was not cut. */
static void
test_flood (void **state)
{
  static const scenario_t scenario = { .entries = 8,
                                       .seed = 8,
                                       .overload = 0.85,
                                       .load_us = 8 * CA_US_PER_S,
                                       .flood = { 7.5, 7.5, 7.5 },
                                       .flood_only = true };
  scenario_t calm = scenario;
  double without[KINDS];

  (void)state;
  calm.flood[0] = calm.flood[1] = calm.flood[2] = 1;
  world_run (&calm);
  for (size_t kind = 0; kind < KINDS; kind++)
    without[kind] = world_share (
        world_sum (LOAD_FROM_US, LOAD_FROM_US + calm.load_us, kind, 1));
  world_run (&scenario);
  world_print ("flood");
  for (size_t kind = 0; kind < KINDS; kind++)
    assert_true (world_share (world_sum (
                     LOAD_FROM_US, LOAD_FROM_US + scenario.load_us, kind, 1))
                 >= without[kind] - OTHERS_SLACK);
}

/* Zones rose to the second level at times that are heartbeats apart. */
static void
test_agreement (void **state)
{
  static const scenario_t scenarios[] = {
    { .entries = 84, .seed = 8, .overload = 2.5, .load_us = 10 * CA_US_PER_S },
    { .entries = 300, .seed = 9, .overload = 2.5, .load_us = 10 * CA_US_PER_S }
  };
  bool agree = true;

  (void)state;
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    {
      world_run (&scenarios[i]);
      world_print ("agreement");
      agree = agree
              && world.disagree_max_us
                     <= 2 * world.gateways[0].heartbeat_period_us + MESSAGE_US
                            + CA_GATEWAY_TICK_US;
    }
  assert_true (agree);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_order),
    cmocka_unit_test (test_flood),
    cmocka_unit_test (test_agreement),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
