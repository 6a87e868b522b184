/* Endpoints that start: the window of one, and entries that share the windows
 * of many, in virtual time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "engine_fleet.h"
#include "gateway/start_pace.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define START_US (5 * CA_US_PER_S)
#define WARM_US (6 * CA_US_PER_S)
#define SLOTS 32
#define FIRST_WINDOW (SLOTS / 4)

#define COLD_MS 3000
#define COLD_SLOWNESS 5

static ca_start_pace_t
started (void)
{
  ca_start_pace_t pace = { .starting = false };

  ca_start_pace_begin (&pace, START_US);
  ca_start_pace_set_slots (&pace, SLOTS);
  return pace;
}

/* The window must follow how the endpoint answers, or a cold one is flooded. */
static void
test_window (void **state)
{
  ca_start_pace_t pace = started ();

  (void)state;
  assert_int_equal (pace.window, FIRST_WINDOW);
  ca_start_pace_answered (&pace, START_US, 1.4);
  assert_int_equal (pace.window, FIRST_WINDOW + 1);
  ca_start_pace_answered (&pace, START_US, 2);
  assert_int_equal (pace.window, FIRST_WINDOW + 1);
  ca_start_pace_answered (&pace, START_US, 3.1);
  assert_int_equal (pace.window, (FIRST_WINDOW + 1) / 2);
  for (int i = 0; i < 10; i++)
    ca_start_pace_failed (&pace, START_US);
  assert_int_equal (pace.window, 1);
  ca_start_pace_set_slots (&pace, 2);
  assert_int_equal (pace.window, 1);
}

static void
test_ends_by_answers (void **state)
{
  ca_start_pace_t pace = started ();

  (void)state;
  for (int i = 0; i < SLOTS - FIRST_WINDOW; i++)
    {
      assert_false (ca_start_pace_is_over (&pace, START_US));
      ca_start_pace_answered (&pace, START_US, 0.4);
    }
  assert_true (ca_start_pace_is_over (&pace, START_US));
  pace = started ();
  pace.earliest_us = START_US + 3 * CA_US_PER_S;
  for (int i = 0; i < SLOTS; i++)
    ca_start_pace_answered (&pace, START_US, 1);
  assert_false (ca_start_pace_is_over (&pace, START_US));
  assert_true (ca_start_pace_is_over (&pace, pace.earliest_us));
}

/* An endpoint that is slow for good must not stay limited. */
static void
test_ends_at_steady_speed (void **state)
{
  ca_start_pace_t pace = started ();
  uint64_t now_us = START_US;

  (void)state;
  for (int i = 0; i < 20; i++)
    {
      now_us += 200 * CA_US_PER_MS;
      assert_false (ca_start_pace_is_over (&pace, now_us));
      ca_start_pace_answered (&pace, now_us, i % 2 == 0 ? 3.6 : 4.4);
    }
  assert_int_equal (pace.window, 1);
  assert_true (ca_start_pace_is_over (&pace, now_us + 200 * CA_US_PER_MS));
  pace = started ();
  for (int i = 0; i < 10; i++)
    ca_start_pace_answered (&pace, START_US + 200 * CA_US_PER_MS, 5);
  for (int i = 0; i < 10; i++)
    ca_start_pace_answered (&pace, START_US + 3 * CA_US_PER_S, 1.6);
  assert_false (ca_start_pace_is_over (&pace, START_US + 5 * CA_US_PER_S));
}

/* An endpoint without requests must not stay limited. */
static void
test_ends_unseen (void **state)
{
  ca_start_pace_t pace = started ();

  (void)state;
  assert_false (ca_start_pace_is_over (&pace, START_US + 9 * CA_US_PER_S));
  assert_true (ca_start_pace_is_over (&pace, START_US + 10 * CA_US_PER_S));
}

/* If the parts of the entries added up to more, the window would mean
 * nothing. */
static void
test_parts_add_up (void **state)
{
  static const uint32_t counts[] = { 1, 8, 84, 300 };

  (void)state;
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      for (uint32_t window = 1; window <= SLOTS; window++)
        {
          ca_start_pace_t pace = { .window = window };
          uint32_t sum = 0;

          for (uint32_t rank = 0; rank < counts[i]; rank++)
            sum += ca_start_pace_allowance (&pace, counts[i], rank);
          assert_int_equal (sum, window);
        }
    }
}

/* An own answer adds to this entry's part at once, and to the shared window
 * with the next round, when the others hear of it. */
static void
test_growth_is_shared_later (void **state)
{
  ca_start_pace_t pace = started ();

  (void)state;
  assert_int_equal (ca_start_pace_allowance (&pace, 84, 83), 0);
  ca_start_pace_answered (&pace, START_US, 1);
  assert_int_equal (ca_start_pace_allowance (&pace, 84, 83), 1);
  assert_int_equal (ca_start_pace_allowance (&pace, 84, FIRST_WINDOW), 1);
  ca_start_pace_begin_round (&pace);
  assert_int_equal (ca_start_pace_allowance (&pace, 84, 83), 0);
  assert_int_equal (ca_start_pace_allowance (&pace, 84, FIRST_WINDOW), 1);
}

/* One peer that is wrong must neither open the window nor close it. */
static void
test_wrong_peer (void **state)
{
  ca_start_pace_t pace = started ();

  (void)state;
  ca_start_pace_heard (&pace, START_US, 0.1, 100000);
  assert_in_range (pace.window, FIRST_WINDOW, 2 * FIRST_WINDOW + 1);
  pace = started ();
  for (int i = 0; i < 5; i++)
    ca_start_pace_follow (&pace, START_US, 1);
  assert_int_equal (pace.window, FIRST_WINDOW / 2);
}

/* Engines of different speed, of which the first `starting` are listed after
 * the others have been in use. */
static void
prepare (size_t entries, size_t starting, double load, uint32_t sessions)
{
  fleet_options_t options = { .entries = entries,
                              .engines = 60,
                              .slots = SLOTS,
                              .load = load,
                              .sessions = sessions };

  fleet_prepare (&options);
  for (size_t i = 0; i < options.engines; i++)
    {
      fleet.engine[i].speed = i % 3 == 0 ? 1 : i % 3 == 1 ? 0.6 : 1.6;
      fleet.engine[i].listed = i >= starting;
    }
  fleet_start ();
  fleet_run_for (WARM_US);
  fleet_reset_counts ();
}

static void
list_first (size_t starting)
{
  for (size_t i = 0; i < starting; i++)
    fleet_list (i);
}

static size_t
count_starting (size_t engine)
{
  size_t count = 0;

  for (size_t i = 0; i < fleet.options.entries; i++)
    count += fleet_endpoint (i, engine)->start.starting;
  return count;
}

/* Tokens of the engines that started, as a part of what the others of the same
 * speed got, from 2 s after the start on. */
static double
starters_share (size_t starting)
{
  double part = 0;
  double others = 0;
  size_t counted = 0;

  for (size_t i = 0; i < starting; i++)
    part += (double)fleet.engine[i].tokens;
  for (size_t i = 0; i < starting; i++)
    {
      double sum = 0;
      size_t count = 0;

      for (size_t k = starting; k < fleet.options.engines; k++)
        {
          if (fleet.engine[k].speed != fleet.engine[i].speed)
            continue;
          sum += (double)fleet.engine[k].tokens;
          count++;
        }
      others += sum / (double)count;
      counted++;
    }
  return counted == 0 ? 0 : part / others;
}

/* Engines that answer like the others from the start must get their share
 * within 2 s, and no request may be refused meanwhile. */
static void
check_fast_starts (size_t entries, size_t starting)
{
  double load = 0.5 * (double)(60 - starting) / 60;
  double share;
  uint64_t refused;

  prepare (entries, starting, load, 0);
  list_first (starting);
  fleet_run_for (2 * CA_US_PER_S);
  refused = fleet.refused;
  assert_true (fleet.started_events >= entries / 2);
  fleet_reset_counts ();
  fleet_run_for (4 * CA_US_PER_S);
  share = starters_share (starting);
  print_message ("%3zu entries, %2zu of 60 engines start: %.2f of the others' "
                 "work from 2 to 6 s, refused %lu, late %.3f\n",
                 entries, starting, share,
                 (unsigned long)(refused + fleet.refused),
                 fleet_late_share (0, 1));
  assert_int_equal (refused + fleet.refused, 0);
  assert_true (share > 0.6);
  fleet_finish ();
}

static void
test_fast_starts (void **state)
{
  static const size_t counts[] = { 8, 84, 300 };
  static const size_t starting[] = { 1, 6, 30 };

  (void)state;
  for (size_t i = 0; i < 3; i++)
    {
      for (size_t k = 0; k < 3; k++)
        {
          if (counts[i] < 300 || starting[k] < 30)
            check_fast_starts (counts[i], starting[k]);
        }
    }
}

static void
test_half_start_at_300_entries (void **state)
{
  (void)state;
  check_fast_starts (300, 30);
}

/* If all endpoints of a service start at once, there is no other: the limits
 * must not refuse requests. */
static void
test_all_start (void **state)
{
  static const size_t counts[] = { 8, 84, 300 };

  (void)state;
  for (size_t i = 0; i < 3; i++)
    {
      fleet_options_t options
          = { .entries = counts[i], .engines = 60, .slots = SLOTS };

      fleet_prepare (&options);
      for (size_t k = 0; k < 60; k++)
        {
          fleet.engine[k].listed = false;
          fleet.engine[k].cold_ms = COLD_MS;
          fleet.engine[k].cold_slowness = COLD_SLOWNESS;
        }
      fleet_start ();
      fleet_run_for (WARM_US);
      list_first (60);
      for (size_t k = 0; k < 60; k++)
        fleet.engine[k].cold_until_us = fleet.now_us + COLD_MS * CA_US_PER_MS;
      fleet_set_load (0.1);
      fleet_run_for (5 * CA_US_PER_S);
      print_message (
          "%3zu entries, all engines start: refused %lu of %lu, late "
          "%.3f\n",
          counts[i], (unsigned long)fleet.refused,
          (unsigned long)fleet.requested, fleet_late_share (0, 1));
      assert_true (fleet.started_events >= counts[i] / 2);
      assert_int_equal (fleet.refused, 0);
      fleet_finish ();
    }
}

/* What may be open at the first engine after a request was sent there: the
 * largest window that an entry knew within the last heartbeat period, and one
 * request for each answer in that period, which only the entry that got it
 * knows of. */
static struct
{
  uint32_t window[64]; /* by slice of the period */
  uint64_t answered[64];
  uint64_t excess; /* sends that made it more */
  uint32_t open;   /* in the step before */
  uint32_t open_max;
} watched;

static void
watch_window (uint64_t slice)
{
  uint32_t window = 0;

  for (size_t i = 0; i < fleet.options.entries; i++)
    {
      uint32_t known = fleet_endpoint (i, 0)->start.window;

      window = known > window ? known : window;
    }
  watched.window[slice % 64] = window;
  watched.answered[slice % 64] = fleet.engine[0].answered;
}

static void
watch (void)
{
  uint64_t slice_us = fleet.gateways[0].heartbeat_period_us / 63;
  uint64_t slice = fleet.now_us / slice_us;
  uint32_t open = fleet.engine[0].open;
  uint64_t most = 0;

  if (fleet.now_us >= fleet.engine[0].cold_until_us)
    return;
  if (slice != (fleet.now_us - FLEET_STEP_US) / slice_us)
    watch_window (slice);
  for (size_t i = 0; i < 64; i++)
    most = watched.window[i] > most ? watched.window[i] : most;
  most += fleet.engine[0].answered - watched.answered[(slice + 1) % 64];
  watched.excess += open > watched.open && open > most;
  watched.open = open;
  watched.open_max = open > watched.open_max ? open : watched.open_max;
}

/* An engine that is five times slower in its first 3 s must not get more than
 * its window and what one heartbeat's time adds. */
static void
check_cold_start (size_t entries, size_t starting, uint32_t sessions,
                  double loss, uint64_t lag_us)
{
  /* Of a session's prompts, a fifth is read. */
  double load = (sessions > 0 ? 1.2 : 0.5) * (double)(60 - starting) / 60;
  uint64_t cold_late;
  uint64_t refused;

  watched.excess = 0;
  watched.open_max = 0;
  watched.open = 0;
  for (size_t i = 0; i < 64; i++)
    {
      watched.window[i] = FIRST_WINDOW;
      watched.answered[i] = 0;
    }
  prepare (entries, starting, load, sessions);
  fleet.options.loss = loss;
  fleet.options.lag_us = lag_us;
  for (size_t i = 0; i < starting; i++)
    {
      fleet.engine[i].cold_ms = COLD_MS;
      fleet.engine[i].cold_slowness = COLD_SLOWNESS;
      fleet.engine[i].cold_until_us = fleet.now_us + COLD_MS * CA_US_PER_MS;
    }
  list_first (starting);
  fleet.watch = watch;
  fleet_run_for (COLD_MS * CA_US_PER_MS);
  cold_late = fleet.engine[0].late;
  fleet_run_for (2 * CA_US_PER_S);
  refused = fleet.refused;
  fleet_reset_counts ();
  fleet_run_for (4 * CA_US_PER_S);
  refused += fleet.refused;
  print_message (
      "%3zu entries, %2zu engines start cold, %u sessions, heartbeats lost "
      "%.1f, "
      "late by up to %lu ms: at most %u open there, %lu late; %.2f of "
      "the others' work from 5 to 9 s, refused %lu\n",
      entries, starting, sessions, loss, (unsigned long)(lag_us / CA_US_PER_MS),
      watched.open_max, (unsigned long)cold_late, starters_share (starting),
      (unsigned long)refused);
  assert_int_equal (watched.excess, 0);
  assert_true (watched.open_max <= 2 * FIRST_WINDOW);

  assert_int_equal (refused, 0);
  fleet_finish ();
}

static void
test_cold_start (void **state)
{
  static const size_t counts[] = { 8, 84, 300 };

  (void)state;
  for (size_t i = 0; i < 3; i++)
    {
      check_cold_start (counts[i], 1, 0, 0, 0);
      check_cold_start (counts[i], 1, 400, 0, 0);
      check_cold_start (counts[i], 6, 400, 0, 0);
      check_cold_start (counts[i], 6, 400, 0.3, 0);
      check_cold_start (counts[i], 6, 400, 0, 2 * CA_US_PER_S);
    }
}

/* An engine that is slow for good must leave the start, and get the work that
 * the model gives it. */
static void
test_slow_for_good (void **state)
{
  static const size_t counts[] = { 8, 84 };

  (void)state;
  for (size_t i = 0; i < 2; i++)
    {
      prepare (counts[i], 1, 0.5, 0);
      fleet.engine[0].speed = 0.25;
      list_first (1);
      fleet_run_for (14 * CA_US_PER_S);
      print_message ("%zu entries: one engine four times slower, starting "
                     "after 14 s for %zu\n",
                     counts[i], count_starting (0));
      assert_int_equal (count_starting (0), 0);
      assert_true (fleet.engine[0].answered > 0);
      fleet_finish ();
    }
}

/* Where the engines are equally fast and no record names a cold start, nothing
 * may change. */
static void
test_not_in_force (void **state)
{
  fleet_options_t options
      = { .entries = 8, .engines = 60, .slots = SLOTS, .load = 0.5 };

  (void)state;
  fleet_prepare (&options);
  fleet.engine[0].listed = false;
  fleet_start ();
  fleet_run_for (WARM_US);
  fleet_list (0);
  fleet_run_for (2 * CA_US_PER_S);
  assert_int_equal (fleet.started_events, 0);
  for (size_t i = 0; i < 8; i++)
    assert_int_equal (
        fleet.gateways[i].counters.counts[CA_COUNT_ENDPOINTS_PACED], 0);
  fleet_finish ();
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest half[]
      = { cmocka_unit_test (test_half_start_at_300_entries) };
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_window),
    cmocka_unit_test (test_ends_by_answers),
    cmocka_unit_test (test_ends_at_steady_speed),
    cmocka_unit_test (test_ends_unseen),
    cmocka_unit_test (test_parts_add_up),
    cmocka_unit_test (test_growth_is_shared_later),
    cmocka_unit_test (test_wrong_peer),
    cmocka_unit_test (test_fast_starts),
    cmocka_unit_test (test_all_start),
    cmocka_unit_test (test_cold_start),
    cmocka_unit_test (test_slow_for_good),
    cmocka_unit_test (test_not_in_force),
  };

  /* It is known to fail, so it has a program of its own. */
  if (argc > 0 && strstr (argv[0], "half") != NULL)
    return cmocka_run_group_tests (half, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
