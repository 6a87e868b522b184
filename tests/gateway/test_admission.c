/* Guards against overload that hits the most urgent requests first, or one
 * workspace's load that costs the others their service. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "admission_world.h"

static void
check_levels (uint64_t return_us)
{
  for (size_t i = 0; i < world.scenario->entries; i++)
    assert_int_equal (world.levels[i], 0);
  assert_true (world.returned_us
               <= LOAD_FROM_US + world.scenario->load_us + return_us);
  assert_true (world.shortest_step_us >= LEVEL_STEP_US);
  assert_int_equal (world.shed_wrongly, 0);
}

/* The most urgent kind was refused first: its objective is the tightest. */
static void
test_overload (void **state)
{
  static const scenario_t scenarios[]
      = { { .entries = 8, .overload = 1.5, .load_us = 4 * CA_US_PER_S },
          { .entries = 8, .overload = 2.5, .load_us = 4 * CA_US_PER_S } };

  (void)state;
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    {
      world_run (&scenarios[i]);
      world_print ("overload");
      assert_true (world_worst_order () <= ORDER_SLACK);
      assert_int_equal (world.level_max, KINDS - 1);
      check_levels (RETURN_US);
    }
}

/* Share of each kind's requests of the other workspaces that was served while
 * the first one sent `flood` times its share. */
static void
serve_others (const scenario_t *scenario, double flood, double shares[KINDS])
{
  scenario_t played = *scenario;

  for (size_t kind = 0; kind < KINDS; kind++)
    {
      if (played.flood[kind] > 0)
        played.flood[kind] = flood;
    }
  world_run (&played);
  world_print (flood > 1 ? "flood" : "no flood");
  for (size_t kind = 0; kind < KINDS; kind++)
    shares[kind] = world_share (
        world_sum (LOAD_FROM_US, LOAD_FROM_US + scenario->load_us, kind, 1));
}

/* What an entry has delegated, or a caller takes up, was refused twice. */
static void
test_not_new (void **state)
{
  static const scenario_t scenario = { .entries = 8,
                                       .overload = 2.5,
                                       .load_us = 4 * CA_US_PER_S,
                                       .some_not_new = true };

  (void)state;
  world_run (&scenario);
  world_print ("some delegated or taken up");
  assert_int_equal (world.level_max, KINDS - 1);
  assert_true (world.refusals[CA_REFUSE_SHED] > 0);
  assert_int_equal (world.shed_wrongly, 0);
}

/* Service was first come, first served: whoever sends most got most of it. */
static void
test_flood (void **state)
{
  static const scenario_t scenarios[] = { { .entries = 8,
                                            .overload = 0.85,
                                            .load_us = 8 * CA_US_PER_S,
                                            .flood = { 1, 1, 1 },
                                            .flood_only = true },
                                          { .entries = 8,
                                            .overload = 0.85,
                                            .load_us = 8 * CA_US_PER_S,
                                            .flood = { 0, 1, 1 },
                                            .flood_only = true } };

  (void)state;
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    {
      double without[KINDS];
      double with[KINDS];

      serve_others (&scenarios[i], 1, without);
      serve_others (&scenarios[i], 7.5, with);
      for (size_t kind = 0; kind < KINDS; kind++)
        assert_true (with[kind] >= without[kind] - OTHERS_SLACK);
    }
}

/* One wrong value moved the level of all. */
static void
test_lying_peer (void **state)
{
  static const scenario_t scenario = { .entries = 8,
                                       .overload = 0.8,
                                       .load_us = 4 * CA_US_PER_S,
                                       .flood_only = true,
                                       .first_lies = true };

  (void)state;
  world_run (&scenario);
  world_print ("lying peer");
  assert_int_equal (world.level_max, 0);
}

/* An entry that hears nobody shed nothing, or never stopped. */
static void
test_entry_cut_off (void **state)
{
  static const scenario_t scenario = {
    .entries = 8, .overload = 2.5, .load_us = 4 * CA_US_PER_S, .first_cut = true
  };

  (void)state;
  world_run (&scenario);
  world_print ("first entry cut off");
  assert_int_equal (world.first_level_max, KINDS - 1);
  assert_true (world_share (world.first_entry[2])
               <= world_share (world.first_entry[0]) + ORDER_SLACK);
  check_levels (RETURN_US);
}

/* Old values in late or repeated heartbeats, or missing ones, moved levels. */
static void
test_bad_links (void **state)
{
  static const scenario_t scenarios[] = { { .entries = 8,
                                            .overload = 1.5,
                                            .load_us = 4 * CA_US_PER_S,
                                            .lost = 0.3,
                                            .late = 0.2,
                                            .repeated = 0.2 },
                                          { .entries = 8,
                                            .overload = 2.5,
                                            .load_us = 4 * CA_US_PER_S,
                                            .lost = 0.3,
                                            .late = 0.2,
                                            .repeated = 0.2 } };

  (void)state;
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    {
      world_run (&scenarios[i]);
      world_print ("bad links");
      assert_true (world_worst_order () <= ORDER_SLACK);
      /* Values of peers count for two periods without a heartbeat. */
      check_levels (RETURN_US + 2 * HEARTBEAT_US);
    }
}

/* Entries that shed at different levels treat callers by where they arrive. */
static void
test_agreement (void **state)
{
  static const scenario_t scenarios[]
      = { { .entries = 8, .overload = 2.5, .load_us = 10 * CA_US_PER_S },
          { .entries = 84, .overload = 2.5, .load_us = 10 * CA_US_PER_S },
          { .entries = 300, .overload = 2.5, .load_us = 10 * CA_US_PER_S } };

  (void)state;
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    {
      uint64_t period_us;

      world_run (&scenarios[i]);
      world_print ("agreement");
      period_us = world.gateways[0].heartbeat_period_us;
      assert_int_equal (world.level_max, KINDS - 1);
      assert_true (world.shortest_step_us >= LEVEL_STEP_US);
      assert_true (world.disagree_max_us
                   <= 2 * period_us + MESSAGE_US + CA_GATEWAY_TICK_US);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_overload),      cmocka_unit_test (test_not_new),
    cmocka_unit_test (test_flood),         cmocka_unit_test (test_lying_peer),
    cmocka_unit_test (test_entry_cut_off), cmocka_unit_test (test_bad_links),
    cmocka_unit_test (test_agreement),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
