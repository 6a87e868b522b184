/* The writes of the status row against a store in memory that loses answers,
 * carries writes out late, or is down.  Guards against a version that is
 * completed although it is bad, a good one that is not completed in time, and a
 * status row that goes from one outcome to the other. */
#include "rollout_leaders.h"

#include <string.h>

/* A duration of one second, or of a day, leaves time for all steps. */
static void
test_durations (void **state)
{
  static const uint32_t durations_s[] = { 1, 2, 12, 600, 86400 };

  (void)state;
  for (size_t i = 0; i < sizeof durations_s / sizeof durations_s[0]; i++)
    {
      world_start ();
      for (size_t j = 0; j < ENTRIES; j++)
        world.entries[j].rollout.progress.duration_s = durations_s[i];
      lead (0, 1);
      set_verdict (GOOD);
      world_run (durations_s[i] * UINT64_C (850));
      assert_int_equal (progress_of (0)->stage, DRAIN);
      set_open_old (0);
      world_run (durations_s[i] * UINT64_C (100));
      assert_int_equal (world.row.status.stage, COMPLETED);
      world_end ();
    }
}

static void
test_good_version (void **state)
{
  (void)state;
  world_start ();
  lead (0, 1);
  world_run (100);
  assert_int_equal (world.row.status.stage, CANARY);
  assert_int_equal (world.row.status.order, 7);
  assert_int_equal (world.row.status.era, 1);
  assert_in_range (world.row.status.began_ms, START_US / CA_US_PER_MS,
                   START_US / CA_US_PER_MS + 100);
  assert_int_equal (progress_of (2)->stage, CANARY);
  assert_int_equal (progress_of (2)->share_permille, 50);
  set_verdict (GOOD);
  world_run (5700);
  assert_int_equal (progress_of (0)->stage, CANARY);
  world_run (4000);
  assert_int_equal (progress_of (0)->stage, DRAIN);
  assert_int_equal (world.row.status.stage, CANARY);
  set_open_old (0);
  world_run (1000);
  assert_int_equal (world.row.status.stage, COMPLETED);
  assert_int_equal (progress_of (2)->stage, COMPLETED);
  assert_int_equal (world.writes, 2);
  set_verdict (BAD);
  world_run (5000);
  assert_int_equal (world.writes, 2);
  assert_int_equal (world.row.status.stage, COMPLETED);
  world_end ();
}

static void
test_bad_version (void **state)
{
  (void)state;
  world_start ();
  lead (0, 1);
  world_run (3000);
  set_verdict (BAD);
  world_run (50);
  assert_int_equal (world.row.status.stage, REVERTED);
  assert_int_equal (progress_of (1)->stage, REVERTED);
  assert_int_equal (progress_of (1)->share_permille, 0);
  set_verdict (GOOD);
  world_run (15000);
  assert_int_equal (world.row.status.stage, REVERTED);
  world_end ();
}

/* Target endpoints that crash at their start answer nothing. */
static void
test_no_endpoints (void **state)
{
  (void)state;
  world_start ();
  for (size_t i = 0; i < ENTRIES; i++)
    world.entries[i].rollout.progress.target_endpoints = 0;
  lead (0, 1);
  world_run (11000);
  assert_int_equal (world.row.status.stage, CANARY);
  world_run (200);
  assert_int_equal (world.row.status.stage, REVERTED);
  world_end ();
}

/* Runs one rollout with the store in a mode from `from_ms` for `ms`, and
 * returns the outcome. */
static ca_rollout_stage_t
outcome_with_store (ca_rollout_verdict_t verdict, store_mode_t mode,
                    uint64_t delay_ms, uint64_t from_ms, uint64_t ms)
{
  ca_rollout_stage_t stage;

  world_start ();
  lead (0, 1);
  world_run (from_ms);
  world.mode = mode;
  world.delay_us = delay_ms * CA_US_PER_MS;
  if (from_ms >= 2000)
    set_verdict (verdict);
  set_open_old (0);
  world_run (ms);
  world.mode = STORE_OK;
  set_verdict (verdict);
  world_run (12000 - from_ms - ms + 4000);
  stage = world.row.status.stage;
  assert_int_equal (progress_of (0)->stage, stage);
  world_end ();
  return stage;
}

/* Answers that are lost, writes that are carried out late, a slow store and one
 * that is down, from each time on. */
static void
test_store_troubles (void **state)
{
  (void)state;
  for (int mode = STORE_OK; mode <= STORE_DOWN; mode++)
    {
      for (uint64_t delay_ms = 0; delay_ms <= 600; delay_ms += 300)
        {
          for (uint64_t from_ms = 0; from_ms <= 11000; from_ms += 275)
            {
              assert_int_equal (outcome_with_store (GOOD, (store_mode_t)mode,
                                                    delay_ms, from_ms, 900),
                                COMPLETED);
              assert_int_equal (outcome_with_store (BAD, (store_mode_t)mode,
                                                    delay_ms, from_ms, 900),
                                REVERTED);
            }
        }
    }
}

/* While the store is down the stages go on, and a bad target gets nothing. */
static void
test_store_down_long (void **state)
{
  (void)state;
  world_start ();
  lead (0, 1);
  world_run (1000);
  world.mode = STORE_DOWN;
  set_verdict (GOOD);
  world_run (6500);
  assert_int_equal (progress_of (1)->stage, SHIFT);
  set_verdict (BAD);
  world_run (100);
  assert_int_equal (progress_of (1)->share_permille, 0);
  assert_int_not_equal (progress_of (1)->stage, REVERTED);
  assert_int_equal (world.row.status.stage, CANARY);
  world_run (20000);
  assert_int_equal (progress_of (1)->share_permille, 0);
  world.mode = STORE_OK;
  world_run (1000);
  assert_int_equal (world.row.status.stage, REVERTED);
  assert_int_equal (progress_of (1)->stage, REVERTED);
  world_end ();
}

/* Fewer endpoints than the old versions have suffice if the fleet plan needs no
 * more, but not by a plan from before this lease. */
static void
test_needed (void **state)
{
  (void)state;
  world_start ();
  for (size_t i = 0; i < ENTRIES; i++)
    world.entries[i].rollout.progress.target_endpoints = 4;
  world.entries[0].leader.scales = true;
  ca_service_stats (&world.entries[0].gateway, SERVICE)->baseline_need = 3.5;
  lead (0, 1);
  set_verdict (GOOD);
  world_run (7000);
  assert_int_equal (progress_of (0)->stage, CANARY);
  world.entries[0].leader.next_plan_us = world.now_us;
  world_run (100);
  assert_int_equal (progress_of (0)->stage, SHIFT);
  ca_service_stats (&world.entries[0].gateway, SERVICE)->baseline_need = 4.5;
  world_run (5000);
  assert_int_equal (world.row.status.stage, REVERTED);
  world_end ();
}

/* An entry that takes the lease reads the row first, keeps its time base, and
 * begins with the canary stage if it has heard no other. */
static void
test_take_over (void **state)
{
  uint64_t began_ms;

  (void)state;
  world_start ();
  world.entries[1].cut_off = true;
  lead (0, 1);
  set_verdict (GOOD);
  world_run (7500);
  began_ms = world.row.status.began_ms;
  assert_int_equal (progress_of (0)->stage, SHIFT);
  lead_no_more (0);
  world.entries[1].cut_off = false;
  world.entries[1].rollout.progress.learned_us = world.now_us;
  world.mode = STORE_DOWN;
  lead (1, 2);
  world_run (500);
  assert_int_equal (progress_of (1)->stage, UNKNOWN);
  world.mode = STORE_OK;
  world_run (400);
  assert_int_equal (progress_of (1)->stage, CANARY);
  set_open_old (0);
  world_run (3000);
  assert_int_equal (world.row.status.stage, COMPLETED);
  assert_int_equal (world.row.status.began_ms, began_ms);
  world_end ();
}

/* A stage that the new leader has heard of the former one goes on, and is that
 * of the new one at once: entries hear a leader's stages only from the entry
 * that set them. */
static void
test_take_over_stage (void **state)
{
  (void)state;
  world_start ();
  lead (0, 1);
  set_verdict (GOOD);
  world_run (7000);
  assert_int_equal (progress_of (1)->stage, SHIFT);
  lead_no_more (0);
  lead (1, 2);
  world_run (100);
  assert_int_equal (world.entries[1].stages_set, 1);
  assert_int_equal (progress_of (1)->stage, SHIFT);
  /* The same lease is lost and held again. */
  lead_no_more (1);
  world_run (100);
  lead (1, 2);
  world_run (100);
  assert_int_equal (world.entries[1].stages_set, 2);
  set_open_old (0);
  world_run (5000);
  assert_int_equal (world.row.status.stage, COMPLETED);
  world_end ();
}

/* A leader that ends between its decision to revert and the row: the next one
 * carries it out, though the target would be good for it. */
static void
test_take_over_decision (void **state)
{
  (void)state;
  world_start ();
  lead (0, 1);
  world_run (3000);
  world.mode = STORE_DOWN;
  set_verdict (BAD);
  world_run (100);
  lead_no_more (0);
  set_verdict (GOOD);
  world.mode = STORE_OK;
  lead (1, 2);
  world_run (300);
  assert_int_equal (world.row.status.stage, REVERTED);
  world_end ();
}

/* An entry that leads for a second time reads the row again before it acts:
 * another entry has reverted the target meanwhile. */
static void
test_lease_again (void **state)
{
  (void)state;
  world_start ();
  lead (0, 1);
  world_run (2000);
  lead_no_more (0);
  world.entries[0].cut_off = true;
  lead (1, 2);
  world.entries[1].rollout.progress.verdict = BAD;
  world_run (1000);
  assert_int_equal (world.row.status.stage, REVERTED);
  lead_no_more (1);
  world.entries[0].rollout.progress.verdict = GOOD;
  world.mode = STORE_DOWN;
  lead (0, 3);
  world_run (9000);
  assert_int_equal (progress_of (0)->stage, CANARY);
  world.mode = STORE_OK;
  world_run (1000);
  assert_int_equal (progress_of (0)->stage, REVERTED);
  assert_int_equal (world.row.status.stage, REVERTED);
  world_end ();
}

/* Two take-overs, each in the middle of a write that is carried out late: the
 * row keeps the outcome that it had first. */
static void
test_two_take_overs (void **state)
{
  (void)state;
  for (uint64_t at_ms = 0; at_ms <= 3000; at_ms += 100)
    {
      world_start ();
      lead (0, 1);
      world_run (8000);
      world.mode = STORE_APPLIES_LATE;
      set_verdict (BAD);
      world_run (100);
      lead_no_more (0);
      /* The second leader has not heard of the bad answers. */
      world.entries[1].rollout.progress.verdict = GOOD;
      world.entries[1].rollout.progress.late_verdict = GOOD;
      world.entries[1].cut_off = true;
      set_open_old (0);
      lead (1, 2);
      world.mode = STORE_OK;
      world_run (at_ms);
      lead_no_more (1);
      lead (2, 3);
      world_run (6000);
      assert_true (world.row.status.stage >= COMPLETED);
      for (size_t i = 0; i < ENTRIES; i++)
        world.entries[i].cut_off = false;
      world_run (2000);
      assert_int_equal (progress_of (2)->stage, world.row.status.stage);
      world_end ();
    }
}

/* Two entries that believe that they lead, with different verdicts. */
static void
test_two_leaders (void **state)
{
  (void)state;
  for (uint64_t delay_ms = 0; delay_ms <= 500; delay_ms += 50)
    {
      world_start ();
      world.entries[1].cut_off = true;
      lead (0, 1);
      lead (1, 2);
      world_run (8000);
      world.delay_us = delay_ms * CA_US_PER_MS;
      set_open_old (0);
      world.entries[0].rollout.progress.verdict = BAD;
      world.entries[1].rollout.progress.verdict = GOOD;
      world.entries[1].rollout.progress.late_verdict = GOOD;
      world_run (8000);
      assert_int_equal (world.row.status.stage, REVERTED);
      assert_int_equal (progress_of (0)->stage, REVERTED);
      assert_int_equal (progress_of (1)->stage, REVERTED);
      world_end ();
    }
}

static void
test_withdrawn (void **state)
{
  (void)state;
  world_start ();
  lead (0, 1);
  set_verdict (GOOD);
  world_run (7000);
  for (size_t i = 0; i < ENTRIES; i++)
    world.entries[i].rollout.progress.withdrawn = true;
  world_run (100);
  assert_int_equal (world.row.status.stage, REVERTED);
  assert_int_equal (progress_of (0)->stage, REVERTED);
  world_end ();
}

/* A completed order that is withdrawn stays completed. */
static void
test_withdrawn_late (void **state)
{
  (void)state;
  world_start ();
  lead (0, 1);
  set_verdict (GOOD);
  set_open_old (0);
  world_run (11500);
  assert_int_equal (world.row.status.stage, COMPLETED);
  for (size_t i = 0; i < ENTRIES; i++)
    world.entries[i].rollout.progress.withdrawn = true;
  world_run (5000);
  assert_int_equal (world.row.status.stage, COMPLETED);
  world_end ();
}

/* An order that replaces another starts afresh, also while a write of the
 * former one is on its way. */
static void
test_replaced (void **state)
{
  (void)state;
  for (uint64_t delay_ms = 0; delay_ms <= 600; delay_ms += 150)
    {
      for (int mode = STORE_OK; mode <= STORE_APPLIES_LATE; mode++)
        {
          world_start ();
          lead (0, 1);
          world_run (3000);
          world.delay_us = delay_ms * CA_US_PER_MS;
          world.mode = (store_mode_t)mode;
          set_verdict (BAD);
          world_run (100);
          world.mode = STORE_OK;
          order_put (9, "v3");
          world_run (5000);
          assert_string_equal (world.row.target, "v3");
          assert_int_equal (world.row.status.order, 9);
          assert_int_equal (world.row.status.stage, CANARY);
          assert_int_equal (progress_of (1)->stage, CANARY);
          set_verdict (GOOD);
          set_open_old (0);
          world_run (8000);
          assert_int_equal (world.row.status.stage, COMPLETED);
          world_end ();
        }
    }
}

/* The same target may be ordered again after it was reverted. */
static void
test_ordered_again (void **state)
{
  (void)state;
  world_start ();
  lead (0, 1);
  set_verdict (BAD);
  world_run (1000);
  assert_int_equal (world.row.status.stage, REVERTED);
  order_put (8, "v2");
  set_verdict (GOOD);
  world_run (3000);
  assert_int_equal (world.row.status.stage, CANARY);
  assert_int_equal (world.row.status.order, 8);
  world_end ();
}

/* The store came back from a copy that lacks the outcome: it is written again,
 * and nothing else is decided. */
static void
test_era_lost_outcome (void **state)
{
  static const ca_rollout_verdict_t verdicts[] = { GOOD, BAD };

  (void)state;
  for (size_t i = 0; i < 2; i++)
    {
      ca_rollout_stage_t outcome;
      row_t copy;

      world_start ();
      lead (0, 1);
      world_run (1000);
      copy = world.row;
      set_verdict (verdicts[i]);
      set_open_old (0);
      world_run (10500);
      outcome = world.row.status.stage;
      assert_int_equal (outcome, i == 0 ? COMPLETED : REVERTED);
      world.row = copy;
      world.row.status.target = world.row.target;
      set_era (2);
      set_verdict (verdicts[1 - i]);
      world_run (1000);
      assert_int_equal (world.row.status.stage, outcome);
      /* The copy may lack the row itself, and another entry lead. */
      world.row.exists = false;
      set_era (3);
      lead_no_more (0);
      lead (1, 2);
      world_run (1000);
      assert_true (world.row.exists);
      assert_int_equal (world.row.status.stage, outcome);
      world_end ();
    }
}

/* After the store came back from an older copy, the same target and duration
 * are the same order under another version: its time goes on. */
static void
test_era_same_order (void **state)
{
  uint64_t began_ms;

  (void)state;
  world_start ();
  lead (0, 1);
  world_run (5000);
  began_ms = world.row.status.began_ms;
  set_era (2);
  world_run (500);
  for (size_t i = 0; i < ENTRIES; i++)
    world.entries[i].rollout.progress.order = 5;
  set_verdict (GOOD);
  set_open_old (0);
  world_run (6500);
  assert_int_equal (world.row.status.stage, COMPLETED);
  assert_int_equal (world.row.status.order, 5);
  assert_int_equal (world.row.status.began_ms, began_ms);
  world_end ();
}

/* A row that cannot be decoded, or that another order left, is replaced. */
static void
test_odd_rows (void **state)
{
  static const ca_rollout_stage_t stages[]
      = { UNKNOWN, CANARY, COMPLETED, REVERTED };

  (void)state;
  for (size_t i = 0; i < sizeof stages / sizeof stages[0]; i++)
    {
      world_start ();
      world.row
          = (row_t){ .exists = true,
                     .version = ++world.version,
                     .status = { .stage = stages[i], .order = 3, .era = 1 } };
      strlcpy (world.row.target, i == 0 ? "" : "v2", sizeof world.row.target);
      world.row.status.target = world.row.target;
      lead (0, 1);
      world_run (500);
      assert_int_equal (world.row.status.order, 7);
      assert_int_equal (world.row.status.stage, CANARY);
      world_end ();
    }
}

/* After the store came back from an older copy, a row in progress with the same
 * target is that of the order, unless its time is over: a new order must not
 * end with it. */
static void
test_era_unknown_order (void **state)
{
  static const struct
  {
    uint32_t age_s;
    uint64_t era;
    bool same;
  } rows[]
      = { { 5, 1, true }, { 13, 1, false }, { 5, 2, false }, { 5, 0, false } };

  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      uint64_t began_ms;

      world_start ();
      set_era (2);
      began_ms = world.now_us / CA_US_PER_MS - rows[i].age_s * UINT64_C (1000);
      world.row = (row_t){ .exists = true,
                           .version = ++world.version,
                           .status = { .stage = CANARY,
                                       .order = 3,
                                       .began_ms = began_ms,
                                       .era = rows[i].era },
                           .target = "v2" };
      world.row.status.target = world.row.target;
      lead (0, 1);
      world_run (500);
      assert_int_equal (progress_of (0)->stage, CANARY);
      assert_int_equal (world.row.status.began_ms == began_ms, rows[i].same);
      world_end ();
    }
}

/* Entries that hear no leader read the row once a second while the rollout
 * runs, and an outcome is handed over. */
static void
test_no_leader (void **state)
{
  uint32_t reads;

  (void)state;
  world_start ();
  world_run (10000);
  reads = world.entries[1].status_rows;
  assert_in_range (reads, 9, 11);
  assert_int_equal (world.writes, 0);
  world.row = (row_t){ .exists = true,
                       .version = 20,
                       .status = { .stage = COMPLETED, .order = 7, .era = 1 },
                       .target = "v2" };
  world.row.status.target = world.row.target;
  world_run (1100);
  assert_int_equal (world.entries[1].status_stage, COMPLETED);
  world.entries[1].rollout.progress.stage = COMPLETED;
  reads = world.entries[1].status_rows;
  world_run (5000);
  assert_int_equal (world.entries[1].status_rows, reads);
  world_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_durations),
    cmocka_unit_test (test_good_version),
    cmocka_unit_test (test_bad_version),
    cmocka_unit_test (test_no_endpoints),
    cmocka_unit_test (test_store_troubles),
    cmocka_unit_test (test_store_down_long),
    cmocka_unit_test (test_needed),
    cmocka_unit_test (test_take_over),
    cmocka_unit_test (test_take_over_stage),
    cmocka_unit_test (test_take_over_decision),
    cmocka_unit_test (test_lease_again),
    cmocka_unit_test (test_two_take_overs),
    cmocka_unit_test (test_two_leaders),
    cmocka_unit_test (test_withdrawn),
    cmocka_unit_test (test_withdrawn_late),
    cmocka_unit_test (test_replaced),
    cmocka_unit_test (test_ordered_again),
    cmocka_unit_test (test_era_lost_outcome),
    cmocka_unit_test (test_era_same_order),
    cmocka_unit_test (test_era_unknown_order),
    cmocka_unit_test (test_odd_rows),
    cmocka_unit_test (test_no_leader),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
