/* Guards against levels that flap or outlive their pressure, shares that depend
 * on chance, and callers that return all at once. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/clock.h"
#include "gateway/admission.h"

#include <string.h>

#define TICK_US (25 * CA_US_PER_MS)
#define START_US (10 * CA_US_PER_S)
#define PERIOD_US (300 * CA_US_PER_MS)

static void
init (ca_admission_t *admission)
{
  ca_admission_rule_t rule;

  memset (&rule, 0, sizeof rule);
  ca_admission_rule_add (&rule, 2, 2000);
  ca_admission_rule_add (&rule, 0, 500);
  ca_admission_rule_add (&rule, 1, 800);
  ca_admission_init (admission, &rule, START_US);
}

/* Holds a pressure; returns the time of the first change of the level, or 0. */
static uint64_t
hold (ca_admission_t *admission, uint64_t *now_us, uint64_t span_us,
      double pressure)
{
  uint64_t end_us = *now_us + span_us;
  uint64_t changed_us = 0;

  for (; *now_us < end_us; *now_us += TICK_US)
    {
      if (ca_admission_tick (admission, *now_us, pressure, 0)
          && changed_us == 0)
        changed_us = *now_us;
    }
  return changed_us;
}

/* The present rule is right where the objectives are not tighter for the more
 * urgent. */
static void
test_rule_applies (void **state)
{
  ca_admission_rule_t rule;

  (void)state;
  memset (&rule, 0, sizeof rule);
  assert_false (ca_admission_rule_applies (&rule));
  ca_admission_rule_add (&rule, 0, 1000);
  ca_admission_rule_add (&rule, 1, 800);
  assert_false (ca_admission_rule_applies (&rule));
  ca_admission_rule_add (&rule, 2, 2399);
  assert_false (ca_admission_rule_applies (&rule));
  ca_admission_rule_add (&rule, 2, 2400);
  assert_true (ca_admission_rule_applies (&rule));
}

/* More priorities than are told apart were written beyond the table. */
static void
test_many_priorities (void **state)
{
  ca_admission_rule_t rule;

  (void)state;
  memset (&rule, 0, sizeof rule);
  for (uint32_t i = 40; i > 0; i--)
    ca_admission_rule_add (&rule, i, 100 * i);
  assert_int_equal (rule.count, CA_ADMISSION_RANKS_MAX);
  assert_int_equal (rule.kinds[0].priority, 1);
  assert_int_equal (rule.kinds[CA_ADMISSION_RANKS_MAX - 1].target_max_ms, 4000);
  assert_int_equal (ca_admission_rule_rank (&rule, 1), 0);
  assert_int_equal (ca_admission_rule_rank (&rule, 40),
                    CA_ADMISSION_RANKS_MAX - 1);
}

static void
test_level_steps (void **state)
{
  ca_admission_t admission;
  uint64_t now_us = START_US;

  (void)state;
  init (&admission);
  assert_int_equal (hold (&admission, &now_us, 175 * CA_US_PER_MS, 1.2), 0);
  assert_int_equal (hold (&admission, &now_us, TICK_US, 0.9), 0);
  assert_int_equal (hold (&admission, &now_us, 400 * CA_US_PER_MS, 1.2),
                    START_US + 400 * CA_US_PER_MS);
  assert_int_equal (hold (&admission, &now_us, 1 * CA_US_PER_S, 1.2),
                    START_US + 800 * CA_US_PER_MS);
  assert_int_equal (admission.level, 2);
  assert_int_equal (hold (&admission, &now_us, 5 * CA_US_PER_S, 1.2), 0);
  assert_int_equal (hold (&admission, &now_us, 5 * CA_US_PER_S, 0.8), 0);
  hold (&admission, &now_us, 1025 * CA_US_PER_MS, 0.6);
  assert_int_equal (admission.level, 1);
  hold (&admission, &now_us, 1000 * CA_US_PER_MS, 0.6);
  assert_int_equal (admission.level, 0);
}

/* Entries stayed at different levels while the pressure was between the limits.
 */
static void
test_level_of_peers (void **state)
{
  ca_admission_t admission;

  (void)state;
  init (&admission);
  assert_false (ca_admission_tick (&admission, START_US, 0.6, 2));
  assert_true (ca_admission_tick (&admission, START_US, 0.8, 2));
  assert_false (ca_admission_tick (&admission, START_US + TICK_US, 0.8, 2));
  assert_true (ca_admission_tick (&admission, START_US + CA_US_PER_S, 0.8, 2));
  assert_int_equal (admission.level, 2);
  assert_false (
      ca_admission_tick (&admission, START_US + 2 * CA_US_PER_S, 0.8, 0));
}

/* A lot for each request sheds too much or too little of a few. */
static void
test_quarter_is_every_fourth (void **state)
{
  ca_admission_t admission;
  ca_admission_request_t request
      = { .rank = 2, .tokens = 700, .has_endpoint = true, .idle = true };
  uint64_t now_us = START_US;

  (void)state;
  init (&admission);
  hold (&admission, &now_us, 300 * CA_US_PER_MS, 1.2);
  ca_admission_tick (&admission, now_us, 0.8, 0);
  assert_int_equal (admission.level, 1);
  assert_int_equal (ca_admission_quarters (&admission, 2), 1);
  assert_int_equal (ca_admission_quarters (&admission, 1), 0);
  for (uint32_t i = 1; i <= 40; i++)
    assert_int_equal (ca_admission_decide (&admission, now_us, &request),
                      i % 4 == 0 ? CA_ADMISSION_SHED_PRIORITY
                                 : CA_ADMISSION_SERVE);
}

/* A priority was shed completely while the more urgent were in time. */
static void
test_never_all_in_time (void **state)
{
  ca_admission_t admission;
  uint64_t now_us = START_US;

  (void)state;
  init (&admission);
  hold (&admission, &now_us, 1 * CA_US_PER_S, 1.2);
  assert_int_equal (ca_admission_quarters (&admission, 2), 4);
  assert_int_equal (ca_admission_quarters (&admission, 1), 4);
  assert_int_equal (ca_admission_quarters (&admission, 0), 0);
  ca_admission_tick (&admission, now_us, 0.99, 0);
  assert_int_equal (ca_admission_quarters (&admission, 2), 3);
  assert_int_equal (ca_admission_quarters (&admission, 1), 2);
}

static void
test_one_wrong_peer (void **state)
{
  ca_admission_peer_t peers[] = { { 0.5, 0 }, { 50, 0 }, { 0.6, 0 } };

  (void)state;
  assert_true (ca_admission_combine (0.4, peers, 3, PERIOD_US) < 0.61);
  /* Two values have no median that one of them does not move. */
  assert_true (ca_admission_combine (0.4, &peers[1], 1, PERIOD_US) < 0.41);
  assert_true (ca_admission_combine (0.4, NULL, 0, PERIOD_US) < 0.41);
}

/* Values of peers that are silent were used for ever. */
static void
test_silent_peers (void **state)
{
  ca_admission_peer_t peers[4];

  (void)state;
  for (size_t i = 0; i < 4; i++)
    peers[i] = (ca_admission_peer_t){ 1.5, 2 * PERIOD_US };
  assert_true (ca_admission_combine (0.2, peers, 4, PERIOD_US) > 1.49);
  for (size_t i = 0; i < 4; i++)
    peers[i].age_us = 2 * PERIOD_US + 2 * CA_US_PER_S;
  assert_true (ca_admission_combine (0.2, peers, 4, PERIOD_US) < 0.21);
}

/* Pressure without requests stayed, and with it the level. */
static void
test_pressure_decays (void **state)
{
  ca_admission_t admission;
  uint64_t now_us = START_US;

  (void)state;
  init (&admission);
  for (size_t i = 0; i < 100; i++, now_us += 20 * CA_US_PER_MS)
    ca_admission_sample (&admission, now_us, 9);
  assert_true (admission.own > 1.4 && admission.own <= 1.5);
  ca_admission_tick (&admission, now_us + 1 * CA_US_PER_S, 0, 0);
  assert_true (admission.own < 0.2);
}

/* Engines whose slots are permitted one by one looked overloaded while idle, as
 * each request first waits for its permit. */
static void
test_waits_for_permit (void **state)
{
  ca_admission_t admission;
  ca_admission_request_t request = { .rank = 0, .tokens = 9000, .waits = true };
  uint64_t now_us = START_US;

  (void)state;
  init (&admission);
  for (size_t i = 0; i < 100; i++, now_us += 20 * CA_US_PER_MS)
    ca_admission_decide (&admission, now_us, &request);
  assert_true (admission.own < 0.01);
  request.waits = false;
  for (size_t i = 0; i < 100; i++, now_us += 20 * CA_US_PER_MS)
    ca_admission_decide (&admission, now_us, &request);
  assert_true (admission.own > 1);
}

/* Endpoints were full while short queues were predicted. */
static void
test_rejections (void **state)
{
  ca_admission_t admission;
  ca_admission_request_t request
      = { .rank = 0, .tokens = 9000, .has_endpoint = true, .idle = true };
  uint64_t now_us = START_US;

  (void)state;
  init (&admission);
  for (size_t i = 0; i < 200; i++, now_us += 20 * CA_US_PER_MS)
    {
      ca_admission_decide (&admission, now_us, &request);
      if (i % 10 == 0)
        ca_admission_rejected (&admission, now_us);
    }
  assert_true (admission.own > 0.4 && admission.own < 0.6);
  for (size_t i = 0; i < 200; i++, now_us += 20 * CA_US_PER_MS)
    {
      ca_admission_decide (&admission, now_us, &request);
      if (i % 4 == 0)
        ca_admission_rejected (&admission, now_us);
    }
  assert_true (admission.own > 1);
}

/* Callers that are refused together returned together. */
static void
test_returns (void **state)
{
  ca_admission_t admission;
  uint64_t now_us = START_US;

  (void)state;
  init (&admission);
  hold (&admission, &now_us, 1 * CA_US_PER_S, 1.2);
  assert_int_equal (ca_admission_retry_after_us (&admission, 0, 3000, 0),
                    300 * CA_US_PER_MS);
  assert_int_equal (ca_admission_retry_after_us (&admission, 0, 3000, 1),
                    800 * CA_US_PER_MS);
  assert_int_equal (ca_admission_retry_after_us (&admission, 2, 12000, 0),
                    900 * CA_US_PER_MS);
  assert_int_equal (ca_admission_retry_after_us (&admission, 2, 12000, 1),
                    2900 * CA_US_PER_MS);
  assert_int_equal (ca_admission_retry_after_us (&admission, 2, 3000, 1),
                    1000 * CA_US_PER_MS);
}

/* More workspaces than there are rows, and reports of their work. */
static void
test_many_workspaces (void **state)
{
  ca_admission_t admission;
  ca_admission_work_t work[CA_ADMISSION_REPORT_MAX];
  ca_admission_request_t request
      = { .rank = 1, .has_endpoint = true, .idle = true };
  uint64_t now_us = START_US;

  (void)state;
  init (&admission);
  hold (&admission, &now_us, 300 * CA_US_PER_MS, 1.2);
  for (uint32_t i = 1; i <= 1000; i++)
    {
      request.workspace = i;
      request.tokens = i == 1 ? 100000 : 1000;
      ca_admission_decide (&admission, now_us, &request);
      ca_admission_add_peer (&admission, i, 10);
    }
  ca_admission_end_peers (&admission, now_us);
  assert_int_equal (admission.row_count, CA_ADMISSION_WORKSPACES_MAX);
  assert_int_equal (
      ca_admission_report (&admission, now_us, work, CA_ADMISSION_REPORT_MAX),
      CA_ADMISSION_REPORT_MAX);
  assert_int_equal (work[0].workspace, 1);
  assert_true (work[1].tokens_per_s <= work[0].tokens_per_s);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rule_applies),
    cmocka_unit_test (test_many_priorities),
    cmocka_unit_test (test_level_steps),
    cmocka_unit_test (test_level_of_peers),
    cmocka_unit_test (test_quarter_is_every_fourth),
    cmocka_unit_test (test_never_all_in_time),
    cmocka_unit_test (test_one_wrong_peer),
    cmocka_unit_test (test_silent_peers),
    cmocka_unit_test (test_pressure_decays),
    cmocka_unit_test (test_waits_for_permit),
    cmocka_unit_test (test_rejections),
    cmocka_unit_test (test_returns),
    cmocka_unit_test (test_many_workspaces),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
