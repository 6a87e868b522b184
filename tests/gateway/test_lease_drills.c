/* The leader's lease and usage reports when the store comes back from an older
 * copy, in virtual time. */
#include "lease_world.h"

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
  assert_int_equal (world.entries[second].leader.fence, 2);
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
  assert_int_equal (world.entries[second].leader.fence, 2);
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
  assert_int_equal (world.entries[leader ()].leader.fence, 3);
  world_end ();
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
    cmocka_unit_test (test_bad_eras),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
