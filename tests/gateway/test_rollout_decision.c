/* The decision on a rollout's next stage, as a table.  Guards against a bad
 * version that is completed, a good one that is not, and a canary stage that is
 * skipped. */
#include "rollout_leaders.h"

typedef struct
{
  const char *name;
  ca_rollout_stage_t stage;
  uint32_t share;
  ca_rollout_verdict_t verdict;
  ca_rollout_verdict_t late_verdict;
  uint32_t elapsed_ms; /* of 12 s */
  uint32_t step_ms;
  uint32_t old_endpoints;
  uint32_t target_endpoints;
  uint32_t needed;
  uint32_t open_old;
  uint32_t entries_at_stage; /* of 3 */
  bool withdrawn;
  ca_rollout_stage_t expected;
  uint32_t expected_share;
} decision_case_t;

static const decision_case_t decision_cases[] = {
  /* The start: always the canary stage, however late. */
  { "first", UNKNOWN, 0, NONE, NONE, 0, 0, 6, 0, 0, 0, 3, false, CANARY, 50 },
  { "taken over late", UNKNOWN, 0, GOOD, GOOD, 9000, 9000, 6, 6, 0, 0, 3, false,
    CANARY, 50 },
  { "taken over at the end", UNKNOWN, 0, GOOD, GOOD, 11500, 11500, 6, 6, 0, 0,
    3, false, CANARY, 50 },
  { "first and bad", UNKNOWN, 0, BAD, BAD, 0, 0, 6, 6, 0, 0, 3, false, REVERTED,
    0 },
  /* Canary. */
  { "good, too early", CANARY, 50, GOOD, GOOD, 5999, 5999, 6, 6, 0, 9, 3, false,
    CANARY, 50 },
  { "good at half", CANARY, 50, GOOD, GOOD, 6000, 6000, 6, 6, 0, 9, 3, false,
    SHIFT, 250 },
  { "undecided at half", CANARY, 50, NONE, GOOD, 6000, 6000, 6, 6, 0, 9, 3,
    false, CANARY, 50 },
  { "late verdict too early", CANARY, 50, NONE, GOOD, 8399, 8399, 6, 6, 0, 9, 3,
    false, CANARY, 50 },
  { "late verdict", CANARY, 50, NONE, GOOD, 8400, 8400, 6, 6, 0, 9, 3, false,
    SHIFT, 250 },
  { "late verdict bad", CANARY, 50, NONE, BAD, 8400, 8400, 6, 6, 0, 9, 3, false,
    REVERTED, 0 },
  { "to be reverted", SHIFT, 0, GOOD, GOOD, 7000, 7000, 6, 6, 0, 9, 3, false,
    REVERTED, 0 },
  { "just taken over", CANARY, 50, GOOD, GOOD, 8000, 300, 6, 6, 0, 9, 3, false,
    CANARY, 50 },
  { "four of six", CANARY, 50, GOOD, GOOD, 7000, 7000, 6, 4, 0, 9, 3, false,
    CANARY, 50 },
  { "five of six", CANARY, 50, GOOD, GOOD, 7000, 7000, 6, 5, 0, 9, 3, false,
    SHIFT, 250 },
  { "four of six suffice", CANARY, 50, GOOD, GOOD, 7000, 7000, 6, 4, 4, 9, 3,
    false, SHIFT, 250 },
  { "no target", CANARY, 50, GOOD, GOOD, 7000, 7000, 0, 0, 0, 0, 3, false,
    CANARY, 50 },
  { "no old", CANARY, 50, GOOD, GOOD, 7000, 7000, 0, 1, 0, 0, 3, false, SHIFT,
    250 },
  { "bad at once", CANARY, 50, BAD, BAD, 900, 900, 6, 6, 0, 9, 3, false,
    REVERTED, 0 },
  { "withdrawn", CANARY, 50, GOOD, GOOD, 900, 900, 6, 6, 0, 9, 3, true,
    REVERTED, 0 },
  /* Shift. */
  { "25, step not over", SHIFT, 250, GOOD, GOOD, 6700, 700, 6, 6, 0, 9, 3,
    false, SHIFT, 250 },
  { "25 to 50", SHIFT, 250, GOOD, GOOD, 6750, 750, 6, 6, 0, 9, 3, false, SHIFT,
    500 },
  { "50 to 100", SHIFT, 500, GOOD, GOOD, 7500, 750, 6, 6, 0, 9, 3, false, SHIFT,
    1000 },
  { "100 to drain", SHIFT, 1000, GOOD, GOOD, 8250, 750, 6, 6, 0, 9, 3, false,
    DRAIN, 1000 },
  { "another share to the next", SHIFT, 333, GOOD, GOOD, 8250, 750, 6, 6, 0, 9,
    3, false, SHIFT, 500 },
  { "shorter steps near the end", SHIFT, 250, GOOD, GOOD, 10000, 260, 6, 6, 0,
    9, 3, false, SHIFT, 500 },
  { "no longer good", SHIFT, 250, NONE, NONE, 6750, 750, 6, 6, 0, 9, 3, false,
    SHIFT, 250 },
  { "endpoints lost", SHIFT, 500, GOOD, GOOD, 7500, 750, 6, 3, 0, 9, 3, false,
    SHIFT, 500 },
  { "bad in the shift", SHIFT, 1000, BAD, BAD, 8000, 100, 6, 6, 0, 9, 3, false,
    REVERTED, 0 },
  /* Drain. */
  { "requests open", DRAIN, 1000, GOOD, GOOD, 9800, 800, 6, 6, 0, 1, 3, false,
    DRAIN, 1000 },
  { "an entry behind", DRAIN, 1000, GOOD, GOOD, 9800, 800, 6, 6, 0, 0, 2, false,
    DRAIN, 1000 },
  { "step not over", DRAIN, 1000, GOOD, GOOD, 9100, 100, 6, 6, 0, 0, 3, false,
    DRAIN, 1000 },
  { "drained", DRAIN, 1000, GOOD, GOOD, 9800, 800, 6, 6, 0, 0, 3, false,
    COMPLETED, 1000 },
  { "drained, undecided", DRAIN, 1000, NONE, NONE, 9800, 800, 6, 6, 0, 0, 3,
    false, DRAIN, 1000 },
  { "bad in the drain", DRAIN, 1000, BAD, BAD, 9800, 800, 6, 6, 0, 0, 3, false,
    REVERTED, 0 },
  /* The end, at 11.04 s. */
  { "before the end", DRAIN, 1000, GOOD, GOOD, 11039, 2000, 6, 6, 0, 9, 3,
    false, DRAIN, 1000 },
  { "good at the end", DRAIN, 1000, GOOD, GOOD, 11040, 2000, 6, 6, 0, 9, 3,
    false, COMPLETED, 1000 },
  { "few answers, none bad", CANARY, 50, NONE, GOOD, 11040, 11040, 6, 6, 0, 9,
    3, false, COMPLETED, 1000 },
  { "undecided at the end", CANARY, 50, NONE, NONE, 11040, 11040, 6, 6, 0, 9, 3,
    false, REVERTED, 0 },
  { "too few at the end", DRAIN, 1000, GOOD, GOOD, 11040, 2000, 6, 4, 0, 9, 3,
    false, REVERTED, 0 },
  { "none at the end", CANARY, 50, GOOD, GOOD, 11040, 2000, 0, 0, 0, 0, 3,
    false, REVERTED, 0 },
  { "just taken over at the end", CANARY, 50, GOOD, GOOD, 11100, 100, 6, 6, 0,
    9, 3, false, CANARY, 50 },
  { "taken over at the last moment", CANARY, 50, GOOD, GOOD, 11800, 50, 6, 6, 0,
    9, 3, false, COMPLETED, 1000 },
  { "long after the end", CANARY, 50, GOOD, GOOD, 90000, 800, 6, 6, 0, 9, 3,
    false, COMPLETED, 1000 },
  /* Outcomes stay. */
  { "completed, then bad", COMPLETED, 1000, BAD, BAD, 11500, 9, 0, 6, 0, 0, 3,
    false, COMPLETED, 1000 },
  { "completed, then withdrawn", COMPLETED, 1000, GOOD, GOOD, 11500, 9, 0, 6, 0,
    0, 3, true, COMPLETED, 1000 },
  { "reverted, then good", REVERTED, 0, GOOD, GOOD, 11500, 9, 6, 6, 0, 0, 3,
    false, REVERTED, 0 },
};

static void
test_decision (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof decision_cases / sizeof decision_cases[0]; i++)
    {
      const decision_case_t *row = &decision_cases[i];
      const ca_rollout_progress_t progress
          = { .service = SERVICE,
              .target = "v2",
              .duration_s = DURATION_S,
              .withdrawn = row->withdrawn,
              .stage = row->stage,
              .share_permille = row->share,
              .verdict = row->verdict,
              .late_verdict = row->late_verdict,
              .old_endpoints = row->old_endpoints,
              .target_endpoints = row->target_endpoints,
              .open_old = row->open_old,
              .entries = 3,
              .entries_at_stage = row->entries_at_stage };
      const ca_rollout_conditions_t conditions
          = { row->elapsed_ms * CA_US_PER_MS, row->step_ms * CA_US_PER_MS,
              row->needed, 50 };
      ca_rollout_decision_t decision
          = ca_rollout_decide (&progress, &conditions);

      if (decision.stage != row->expected
          || decision.share_permille != row->expected_share)
        fail_msg ("%s: stage %d at %u, expected %d at %u", row->name,
                  (int)decision.stage, (unsigned)decision.share_permille,
                  (int)row->expected, (unsigned)row->expected_share);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_decision) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
