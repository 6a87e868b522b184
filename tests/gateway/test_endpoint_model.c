/* Speeds of endpoints: the model of one, and the work that entries give to
 * engines of different speed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "engine_fleet.h"
#include "gateway/endpoint_model.h"

#include <math.h>
#include <stdio.h>

#define START_US (5 * CA_US_PER_S)
#define WARM_US (6 * CA_US_PER_S)
#define RUN_US (10 * CA_US_PER_S)

#define SPEED_SLOW 0.6
#define SPEED_FAST 1.6

/* A slow endpoint's measured factor must approach the real one, or the
 * selection goes on with a wrong time for its prompts. */
static void
test_model_follows (void **state)
{
  ca_endpoint_model_t model = { .known = 0 };
  uint64_t now_us = START_US;

  (void)state;
  assert_true (ca_endpoint_model_slowness (&model, now_us) == 1);
  for (int i = 0; i < 8; i++)
    {
      assert_int_equal (ca_endpoint_model_is_known (&model), i >= 5);
      now_us += 250 * CA_US_PER_MS;
      ca_endpoint_model_add (&model, now_us, 2.5);
    }
  assert_true (ca_endpoint_model_slowness (&model, now_us) > 1.7);
  assert_true (ca_endpoint_model_slowness (&model, now_us) < 2.5);
}

/* One answer or one peer that is wrong by a factor of 10 must not turn the
 * work away from an endpoint. */
static void
test_wrong_sample (void **state)
{
  ca_endpoint_model_t model = { .known = 0 };

  (void)state;
  ca_endpoint_model_add (&model, START_US, 10);
  assert_true (ca_endpoint_model_slowness (&model, START_US) < 1.3);
  ca_endpoint_model_merge (&model, START_US, 0.1, 1000);
  assert_true (ca_endpoint_model_slowness (&model, START_US) > 0.6);
  ca_endpoint_model_add (&model, START_US, 0);
  assert_true (isfinite (ca_endpoint_model_slowness (&model, START_US)));
}

/* A wrong peer among several that agree. */
static void
test_wrong_peer (void **state)
{
  ca_endpoint_model_t model = { .known = 0 };
  uint64_t now_us = START_US;

  (void)state;
  for (int round = 0; round < 20; round++)
    {
      now_us += 300 * CA_US_PER_MS;
      for (int peer = 0; peer < 7; peer++)
        ca_endpoint_model_merge (&model, now_us, peer == 6 ? 10 : 1, 100);
      ca_endpoint_model_add (&model, now_us, 1);
    }
  /* Less than the spread at which endpoints are distinguished. */
  assert_true (ca_endpoint_model_slowness (&model, now_us) < 1.8);
}

/* An endpoint that gets no requests must be tried again: its factor returns to
 * 1 with a time constant of 10 s. */
static void
test_returns_to_normal (void **state)
{
  ca_endpoint_model_t model = { .known = 0 };

  (void)state;
  for (int i = 0; i < 40; i++)
    ca_endpoint_model_add (&model, START_US, 4);
  assert_true (ca_endpoint_model_slowness (&model, START_US) > 3.5);
  assert_true (ca_endpoint_model_slowness (&model, START_US + 10 * CA_US_PER_S)
               < 1.8);
  assert_true (ca_endpoint_model_slowness (&model, START_US + 40 * CA_US_PER_S)
               < 1.1);
}

/* Each sample is reported once, in the round after the one in which it was
 * taken. */
static void
test_rounds (void **state)
{
  ca_endpoint_model_t model = { .known = 0 };

  (void)state;
  ca_endpoint_model_add (&model, START_US, 2);
  ca_endpoint_model_add (&model, START_US, 2);
  ca_endpoint_model_begin_round (&model);
  assert_int_equal (model.round_count, 2);
  assert_true (fabs (model.round_ratio - 2) < 1e-9);
  ca_endpoint_model_begin_round (&model);
  assert_int_equal (model.round_count, 0);
}

static void
test_spread (void **state)
{
  double factors[] = { 1.67, 0.6, 1, 1.67, 0.6, 1, 1.67, 0.6, 1, 0.6 };
  double equal[] = { 1, 1.1, 0.9, 1, 1, 5 };

  (void)state;
  assert_true (ca_endpoint_model_spread (factors, 10) > 1.8);
  assert_true (ca_endpoint_model_spread (equal, 6) < 1.4);
  assert_true (ca_endpoint_model_spread (factors, 4) == 1);
}

static void
prepare (size_t entries, bool uneven)
{
  fleet_options_t options
      = { .entries = entries, .engines = 60, .slots = 32, .load = 0.6 };

  fleet_prepare (&options);
  for (size_t i = 0; uneven && i < options.engines; i++)
    fleet.engine[i].speed = i % 3 == 0   ? SPEED_SLOW
                            : i % 3 == 1 ? 1
                                         : SPEED_FAST;
  fleet_start ();
  fleet_run_for (WARM_US);
  fleet_reset_counts ();
}

/* With one speed for all, the slow third of the engines gets a third of the
 * work, and much of that is late.  In proportion to its speed it gets 0.1875
 * of it. */
static void
check_uneven (size_t entries)
{
  double proportional = SPEED_SLOW / (SPEED_SLOW + 1 + SPEED_FAST);
  double share;

  prepare (entries, true);
  fleet_run_for (RUN_US);
  share = fleet_token_share (0, 3);
  print_message ("%zu entries: slow engines get %.3f of the tokens, late there "
                 "%.3f, at all %.3f; refused %.4f\n",
                 entries, share, fleet_late_share (0, 3),
                 fleet_late_share (0, 1),
                 (double)fleet.refused / (double)fleet.requested);
  assert_true (share < 1.25 * proportional);
  assert_true (share > 0.25 * proportional);
  assert_true (fleet_late_share (0, 3) < 0.25);
  /* As of unequal plain endpoints in test_herding. */
  assert_true (fleet_late_share (0, 1) <= 0.05);
  assert_true (fleet.refused == 0);
  fleet_finish ();
}

static void
test_uneven_engines (void **state)
{
  (void)state;
  check_uneven (8);
  check_uneven (84);
}

/* Queues make equal engines look different for moments; telling them apart by
 * that would send work back and forth. */
static void
test_equal_engines (void **state)
{
  static const size_t counts[] = { 8, 84 };

  (void)state;
  for (size_t i = 0; i < 2; i++)
    {
      prepare (counts[i], false);
      fleet_run_for (RUN_US);
      print_message ("%zu entries: equal engines told apart %lu times, late "
                     "%.3f\n",
                     counts[i], (unsigned long)fleet.uneven_events,
                     fleet_late_share (0, 1));
      assert_int_equal (fleet.uneven_events, 0);
      for (size_t k = 0; k < counts[i]; k++)
        assert_false (fleet.gateways[k].services->speeds_differ);
      fleet_finish ();
    }
}

/* An entry that measures ten times too long must not turn the other entries
 * away from the engines that it uses. */
static void
test_wrong_entry (void **state)
{
  double sum = 0;

  (void)state;
  prepare (8, true);
  fleet.wrong_entry = 3;
  fleet.wrong_factor = 10;
  fleet_run_for (RUN_US);
  for (size_t i = 1; i < 60; i += 3)
    sum += log (ca_endpoint_model_slowness (&fleet_endpoint (0, i)->model,
                                            fleet.now_us));
  print_message ("one entry wrong: engines of speed 1 count as %.2f times "
                 "slower, late %.3f\n",
                 exp (sum / 20), fleet_late_share (0, 1));
  assert_true (exp (sum / 20) < 2);
  assert_true (fleet_late_share (0, 1) < 0.1);
  fleet_finish ();
}

/* What was measured of a process says nothing of the next one under its id,
 * also if late heartbeats still report it. */
static void
test_restart_forgets (void **state)
{
  (void)state;
  prepare (8, true);
  fleet_run_for (2 * CA_US_PER_S);
  assert_true (
      ca_endpoint_model_slowness (&fleet_endpoint (0, 0)->model, fleet.now_us)
      > 1.3);
  fleet.engine[0].speed = 1;
  fleet_list (0);
  assert_true (
      ca_endpoint_model_slowness (&fleet_endpoint (0, 0)->model, fleet.now_us)
      == 1);
  assert_false (ca_endpoint_model_is_known (&fleet_endpoint (0, 0)->model));
  fleet_finish ();
}

/* An engine that was so slow that it got no more requests must be tried again
 * and get its share back. */
static void
test_slow_engine_recovers (void **state)
{
  (void)state;
  prepare (8, true);
  fleet.engine[1].cold_slowness = 10;
  fleet.engine[1].cold_until_us = fleet.now_us + 6 * CA_US_PER_S;
  fleet_run_for (6 * CA_US_PER_S);
  fleet_reset_counts ();
  fleet_run_for (24 * CA_US_PER_S);
  print_message ("an engine that was slow gets %.2f of the others' tokens in "
                 "the next 24 s, ",
                 fleet_token_share (1, 60) * 20 / fleet_token_share (1, 3));
  fleet_reset_counts ();
  fleet_run_for (6 * CA_US_PER_S);
  print_message ("then %.2f\n",
                 fleet_token_share (1, 60) * 20 / fleet_token_share (1, 3));
  assert_true (fleet_token_share (1, 60) * 20 > 0.5 * fleet_token_share (1, 3));
  fleet_finish ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_model_follows),
    cmocka_unit_test (test_wrong_sample),
    cmocka_unit_test (test_wrong_peer),
    cmocka_unit_test (test_returns_to_normal),
    cmocka_unit_test (test_rounds),
    cmocka_unit_test (test_spread),
    cmocka_unit_test (test_uneven_engines),
    cmocka_unit_test (test_equal_engines),
    cmocka_unit_test (test_wrong_entry),
    cmocka_unit_test (test_restart_forgets),
    cmocka_unit_test (test_slow_engine_recovers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
