/* The leader's lease and usage reports when the store comes back from an older
 * copy, in virtual time. */
#include "lease_world.h"

/* The n-th token of the first era. */
#define TOKEN(n) (1000000 + (n))

/* Starts entries before a store that names its era, whose copy has the lease of
 * an entry that has ended since.  Returns the later leader. */
static size_t
world_start_with_old_copy (void)
{
  size_t first;
  size_t second;

  world_start (0);
  world.era = 1;
  for (size_t i = 0; i < ENTRIES; i++)
    entry_start (i);
  world_run (3000);
  store_copy ();
  first = leader ();
  assert_true (first < ENTRIES);
  entry_end (first);
  world_run (12000);
  second = leader ();
  assert_true (second < ENTRIES && second != first);
  assert_int_equal (world.entries[second].leader.fence, TOKEN (2));
  return second;
}

/* The holder of the lease keeps it, and its token, though the store lost its
 * row. */
static void
test_holder_keeps_lease_that_the_store_lost (void **state)
{
  size_t second;

  (void)state;
  second = world_start_with_old_copy ();
  world_run_with_usage (7000);
  store_restore ();
  world_run_with_usage (1000);
  assert_int_equal (leader (), second);
  store_restore ();
  world_run_with_usage (20000);
  assert_int_equal (leader (), second);
  assert_int_equal (world.entries[second].leader.fence, TOKEN (2));
  world_end ();
}

/* A token that the store has forgotten is not given out again, and a window
 * that was reported is not reported with other counts. */
static void
test_holder_ends_as_the_store_loses_its_row (void **state)
{
  size_t second;

  (void)state;
  second = world_start_with_old_copy ();
  world_run_with_usage (12000);
  entry_end (second);
  store_restore ();
  world_run_with_usage (20000);
  assert_true (leader () < ENTRIES);
  assert_true (world.entries[leader ()].leader.fence > TOKEN (2));
  world_end ();
}

/* Whom a disruption ends. */
typedef enum
{
  END_NOBODY,
  END_LEADER,
  END_OTHERS,
  END_ALL
} victims_t;

typedef enum
{
  CUT_NONE,
  CUT_LEADER,           /* from its peers */
  CUT_LEADER_AND_STORE, /* also from the store */
  CUT_OTHERS_AND_STORE  /* from the leader and the store */
} cut_t;

typedef struct
{
  const char *name;
  victims_t victims;     /* end in the disruption and start again */
  unsigned drills;       /* times that the store comes back from the copy */
  uint64_t no_leader_ms; /* the leader ended so long before */
  cut_t cut;             /* from before the disruption until after it */
  bool all_end_before;   /* and start again, without a drill */
  bool older_build;      /* rows name no era */
  bool may_lose_windows; /* those that were due when entries were ended */
} disruption_t;

/* How far windows and reports are moved between runs. */
#define DRILL_STEP_MS 500
#define DRILL_DOWN_MS 500

/* A cut lasts so long before a disruption, and after it. */
#define CUT_BEFORE_MS 5000
#define CUT_AFTER_MS 2000

static void
end_victims (victims_t victims, size_t first)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (victims == END_ALL || (victims == END_LEADER && i == first)
          || (victims == END_OTHERS && i != first))
        entry_end (i);
    }
}

static void
start_missing (void)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (!world.entries[i].alive)
        entry_start (i);
    }
}

static void
cut_entries (cut_t cut, size_t first)
{
  if (cut == CUT_NONE)
    return;
  world.entries[first].cut_off = true;
  for (size_t i = 0; i < ENTRIES && cut == CUT_OTHERS_AND_STORE; i++)
    world.entries[i].no_store = i != first;
  world_run_with_usage (CUT_BEFORE_MS);
  world.entries[first].no_store = cut == CUT_LEADER_AND_STORE;
}

/* Plays a disruption `after_ms` after the store's copy, which is made
 * `phase_ms` after the start of a window. */
static void
play_disruption (const disruption_t *disruption, uint64_t phase_ms,
                 uint64_t after_ms)
{
  uint64_t first_window;
  uint64_t restart_window;
  size_t first;

  world_start (0);
  world.era = 1;
  world.rows_lack_era = disruption->older_build;
  for (size_t i = 0; i < ENTRIES; i++)
    entry_start (i);
  first_window = current_window () + 1;
  world_run_with_usage (20000 + phase_ms);
  store_copy ();
  world_run_with_usage (after_ms);
  if (disruption->all_end_before)
    {
      end_victims (END_ALL, 0);
      start_missing ();
      world_run_with_usage (3000);
    }
  first = leader ();
  assert_true (first < ENTRIES);
  if (disruption->no_leader_ms > 0)
    {
      entry_end (first);
      world_run_with_usage (disruption->no_leader_ms);
    }
  cut_entries (disruption->cut, first);
  end_victims (disruption->victims, first);
  world_run_with_usage (DRILL_DOWN_MS);
  if (disruption->drills > 0)
    store_restore ();
  restart_window = current_window ();
  start_missing ();
  for (unsigned i = 1; i < disruption->drills; i++)
    {
      world_run_with_usage (2 * DRILL_STEP_MS);
      store_restore ();
    }
  if (disruption->cut != CUT_NONE)
    world_run_with_usage (CUT_AFTER_MS);
  store_reach_all ();
  world_run_with_usage (25000);
  assert_true (leader () < ENTRIES);
  for (uint64_t window
       = disruption->may_lose_windows ? restart_window + 1 : first_window;
       window < current_window () - 2; window++)
    {
      if (!is_reported (window))
        fail_msg ("%s, copy after %d ms, disruption after %d ms: window %d of "
                  "%d to %d was not reported",
                  disruption->name, (int)phase_ms, (int)after_ms,
                  (int)(window - first_window), 0,
                  (int)(current_window () - first_window));
    }
  if (world.counts_differ || world.fence_reused || world.two_leaders)
    fail_msg ("%s, copy after %d ms, disruption after %d ms: %s",
              disruption->name, (int)phase_ms, (int)after_ms,
              world.counts_differ  ? "a window was reported twice"
              : world.fence_reused ? "two entries used one token"
                                   : "two entries led");
  world_end ();
}

/* Guards against a usage window that is reported twice, and a token given out
 * twice, as an entry believes a lease row of an older copy; and against windows
 * that are given up though nothing was lost. */
static void
test_disruptions_with_drills (void **state)
{
  static const disruption_t disruptions[] = {
    { .name = "nothing" },
    { .name = "all end", .victims = END_ALL },
    { .name = "the leader ends", .victims = END_LEADER },
    { .name = "a drill", .drills = 1 },
    { .name = "a drill, the leader ends", .victims = END_LEADER, .drills = 1 },
    { .name = "a drill, the others end", .victims = END_OTHERS, .drills = 1 },
    { .name = "a drill, all end",
      .victims = END_ALL,
      .drills = 1,
      .may_lose_windows = true },
    { .name = "two drills", .drills = 2 },
    { .name = "two drills, the leader ends",
      .victims = END_LEADER,
      .drills = 2 },
    { .name = "two drills, all end",
      .victims = END_ALL,
      .drills = 2,
      .may_lose_windows = true },
    { .name = "a drill while nobody leads", .drills = 1, .no_leader_ms = 2000 },
    { .name = "a drill, a leader ends that its peers did not hear",
      .victims = END_LEADER,
      .drills = 1,
      .cut = CUT_LEADER,
      .may_lose_windows = true },
    { .name = "a drill, a leader goes on that reaches nobody",
      .drills = 1,
      .cut = CUT_LEADER_AND_STORE,
      .may_lose_windows = true },
    { .name = "a drill, a leader ends that alone reached the store",
      .victims = END_LEADER,
      .drills = 1,
      .cut = CUT_OTHERS_AND_STORE,
      .may_lose_windows = true },
    { .name = "all end, later a drill, the new leader ends",
      .victims = END_LEADER,
      .drills = 1,
      .all_end_before = true,
      .may_lose_windows = true },
    { .name = "older build, the leader ends",
      .victims = END_LEADER,
      .older_build = true },
    { .name = "older build, a drill, the leader ends",
      .victims = END_LEADER,
      .drills = 1,
      .older_build = true },
    { .name = "older build, a drill, all end",
      .victims = END_ALL,
      .drills = 1,
      .older_build = true,
      .may_lose_windows = true }
  };

  (void)state;
  for (size_t i = 0; i < sizeof disruptions / sizeof disruptions[0]; i++)
    {
      for (uint64_t phase_ms = 0; phase_ms < USAGE_WINDOW_S * 1000;
           phase_ms += DRILL_STEP_MS)
        {
          for (uint64_t after_ms = DRILL_STEP_MS; after_ms <= 8000;
               after_ms += DRILL_STEP_MS)
            play_disruption (&disruptions[i], phase_ms, after_ms);
        }
    }
}

/* Answers that name no era, a malformed or an earlier one change nothing. */
static void
test_bad_eras (void **state)
{
  ca_gateway_t *gateway;

  (void)state;
  world_start (1);
  gateway = &world.entries[0].gateway;
  assert_true (ca_gateway_store_era (gateway, world.now_us, CA_ERA_MISSING, 0));
  assert_true (
      ca_gateway_store_era (gateway, world.now_us, CA_ERA_MALFORMED, 0));
  assert_true (ca_gateway_store_era (gateway, world.now_us, CA_ERA_NAMED, 4));
  assert_false (
      ca_gateway_store_era (gateway, world.now_us, CA_ERA_MISSING, 0));
  assert_false (
      ca_gateway_store_era (gateway, world.now_us, CA_ERA_MALFORMED, 0));
  assert_false (ca_gateway_store_era (gateway, world.now_us, CA_ERA_NAMED, 3));
  assert_int_equal (gateway->counters.counts[CA_COUNT_STORE_RESTORES], 0);
  assert_true (ca_gateway_store_era (gateway, world.now_us, CA_ERA_NAMED, 5));
  assert_int_equal (gateway->counters.counts[CA_COUNT_STORE_RESTORES], 1);
  assert_int_equal (gateway->store_era, 5);
  world_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_holder_keeps_lease_that_the_store_lost),
    cmocka_unit_test (test_holder_ends_as_the_store_loses_its_row),
    cmocka_unit_test (test_disruptions_with_drills),
    cmocka_unit_test (test_bad_eras),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
