/* The leader's lease, usage reports and scale orders with one to three entries,
 * in virtual time. */
#include "lease_world.h"

#include <stdio.h>
#include <string.h>

static void
test_one_holder (void **state)
{
  (void)state;
  world_start (TWO_ENTRIES);
  world_run (3000);
  assert_true (leader () < ENTRIES);
  world_run (30000);
  assert_true (leader () < ENTRIES);
  world_end ();
}

/* When the holder dies, the other entry takes over after the lease has ended
 * and not before. */
static void
test_holder_dies (void **state)
{
  size_t first;

  (void)state;
  world_start (TWO_ENTRIES);
  world_run (10000);
  first = leader ();
  entry_end (first);
  world_run (1500);
  assert_int_equal (leader (), ENTRIES);
  world_run (6000);
  assert_int_equal (leader (), 1 - first);
  world_end ();
}

/* The most senior of the remaining entries takes over: it has received most of
 * the counts of the windows to be reported. */
static void
test_most_senior_takes_over (void **state)
{
  (void)state;
  for (size_t order = 1; order <= 2; order++)
    {
      size_t first;
      size_t older;
      size_t younger;

      world_start (ENTRIES);
      world_run (3000);
      first = leader ();
      older = (first + order) % ENTRIES;
      younger = ENTRIES - first - older;
      entry_end (older);
      world_run (3000);
      entry_start (older);
      entry_end (younger);
      world_run (3000);
      entry_start (younger);
      world_run (3000);
      entry_end (first);
      world_run (8000);
      assert_int_equal (leader (), older);
      world_end ();
    }
}

/* A holder that stops releases its lease and passes its latest counts on;
 * without that there was no leader for 4.3 s. */
static void
test_holder_stops (void **state)
{
  uint64_t window;
  size_t first;

  (void)state;
  world_start (TWO_ENTRIES);
  world_run (10000);
  first = leader ();
  window = current_window ();
  ca_gateway_stop (&world.entries[first].gateway, world.now_us);
  world_run (300);
  assert_int_equal (leader (), ENTRIES);
  ca_usage_add (&world.entries[first].gateway.usage, window, "w", 7);
  world_run (2000);
  assert_int_equal (leader (), 1 - first);
  entry_end (first);
  world_run (10000);
  assert_int_equal (reported_count (window), 7);
  world_end ();
}

/* A restarted holder takes the lease again without waiting for the end of the
 * lease of its former incarnation. */
static void
test_holder_restarts (void **state)
{
  (void)state;
  world_start (1);
  world_run (5000);
  assert_int_equal (leader (), 0);
  entry_end (0);
  world_run (100);
  entry_start (0);
  world_run (900);
  assert_int_equal (leader (), ENTRIES); /* startup delay */
  world_run (600);
  assert_int_equal (leader (), 0);
  assert_int_equal (world.entries[0].leader.fence, 2);
  world_end ();
}

/* A holder that is paused for longer than its lease does not act when it
 * resumes. */
static void
test_holder_pauses (void **state)
{
  size_t first;

  (void)state;
  world_start (TWO_ENTRIES);
  world_run (10000);
  first = leader ();
  world.entries[first].frozen = true;
  world_run (8000);
  world.entries[first].frozen = false;
  world_run (2000);
  assert_int_equal (leader (), 1 - first);
  world_run (20000);
  world_end ();
}

/* Writes of the lease take effect but their answers are lost repeatedly. */
static void
test_lost_answers (void **state)
{
  (void)state;
  world_start (TWO_ENTRIES);
  for (int i = 0; i < 12; i++)
    {
      world.write_answers_to_lose = 1;
      world_run (1700);
      leader ();
    }
  world_run (5000);
  assert_true (leader () < ENTRIES);
  world_end ();
}

/* After a restart of all entries, earlier counts exist only in the lease row
 * and must still be reported. */
static void
test_usage_after_a_restart_of_all (void **state)
{
  uint64_t window;

  (void)state;
  world_start (TWO_ENTRIES);
  world_run (7000);
  window = current_window ();
  for (int i = 0; i < 40; i++)
    ca_usage_add (&world.entries[i % 2].gateway.usage, window, "w", 10);
  world_run (2500);
  entry_end (0);
  entry_end (1);
  world_run (600);
  entry_start (0);
  entry_start (1);
  world_run (20000);
  assert_int_equal (reported_count (window), 400);
  world_end ();
}

/* Guards against a report that is sent before the lease row has its counts: if
 * all entries end then, a later leader reports the window with other counts.
 * The store is slow, so that a renewal is in flight as the window settles. */
static void
test_report_is_in_the_row_first (void **state)
{
  (void)state;
  for (uint64_t delay_ms = 100; delay_ms < 1400; delay_ms += 100)
    {
      size_t reports;

      world_start (TWO_ENTRIES);
      world_run_with_usage (7000);
      world.write_delay_us = delay_ms * CA_US_PER_MS;
      world_run_with_usage (10000);
      reports = world.reports;
      while (world.reports == reports)
        world_run (STEP_US / CA_US_PER_MS);
      entry_end (0);
      entry_end (1);
      world_run (500);
      entry_start (0);
      entry_start (1);
      world_run_with_usage (12000);
      world_end ();
    }
}

/* After a rolling restart no incarnation has received all counts of the window.
 * Those in the lease row must be reported too. */
static void
test_usage_after_a_rolling_restart (void **state)
{
  uint64_t window;
  size_t first;

  (void)state;
  world_start (TWO_ENTRIES);
  world_run (7000);
  first = leader ();
  window = current_window ();
  for (int i = 0; i < 40; i++)
    ca_usage_add (&world.entries[i % 2].gateway.usage, window, "w", 10);
  world_run (2500);
  entry_end (1 - first);
  world_run (1000);
  entry_start (1 - first);
  world_run (2000);
  entry_end (first);
  world_run (20000);
  assert_int_equal (reported_count (window), 400);
  world_end ();
}

/* An entry that starts while there is no leader has received no counts yet.  It
 * waits, and leaves the lease to the entry that has received all of them. */
static void
test_new_entry_waits (void **state)
{
  uint64_t window;
  size_t first;
  size_t second;
  size_t third;

  (void)state;
  world_start (ENTRIES);
  world_run (6000);
  first = leader ();
  second = (first + 1) % ENTRIES;
  third = ENTRIES - first - second;
  entry_end (third);
  entry_end (first); /* its lease lasts about 3 s more */
  world_run (1000);
  window = current_window ();
  ca_usage_add (&world.entries[second].gateway.usage, window, "w", 300);
  world_run (600);
  entry_start (first);
  world_run (12000);
  assert_int_equal (leader (), second);
  assert_int_equal (reported_count (window), 300);
  world_end ();
}

/* Every window is reported within the permitted delay. */
static void
test_every_window (void **state)
{
  uint64_t first;

  (void)state;
  world_start (TWO_ENTRIES);
  world_run (5000);
  first = current_window ();
  world_run (60000);
  for (uint64_t window = first; window < first + 10; window++)
    {
      assert_true (is_reported (window));
    }
  world_end ();
}

/* Adds an endpoint to the list of the first entry. */
static void
list_endpoint (const char *id, const char *zone, bool reclaimable)
{
  ca_endpoint_record_t record;

  memset (&record, 0, sizeof record);
  record.id = id;
  record.service = "s";
  record.zone = zone;
  record.reclaimable = reclaimable;
  ca_gateway_endpoint_listed (&world.entries[0].gateway, world.now_us, &record);
}

/* Latest number ordered of a kind in a zone; UINT32_MAX if none was. */
static uint32_t
ordered (const char *zone, bool reclaimable)
{
  uint32_t count = UINT32_MAX;

  for (size_t i = 0; i < world.order_count && i < ORDERS; i++)
    {
      if (strcmp (world.orders[i].zone, zone) == 0
          && world.orders[i].reclaimable == reclaimable)
        count = world.orders[i].count;
    }
  return count;
}

/* Lists all reclaimable endpoints that were ordered. */
static void
list_reclaimable (void)
{
  static const char *const zones[] = { "z1", "z2", "z3" };
  char id[32];

  for (size_t z = 0; z < 3; z++)
    {
      for (uint32_t i = 0; i < ordered (zones[z], true); i++)
        {
          snprintf (id, sizeof id, "%s-%u", zones[z], i);
          list_endpoint (id, zones[z], true);
        }
    }
}

/* The reclaimable endpoints of a zone are reclaimed and no new ones are
 * available.  On-demand endpoints must not be given up while their replacements
 * do not start.  There is no load. */
static void
test_unmet_order (void **state)
{
  uint32_t on_demand = 0;
  size_t sent;

  (void)state;
  world_start (1);
  world_run (1000);
  list_reclaimable ();
  world_run (6000);
  world.reclaimable_unavailable = true;
  for (uint32_t i = 0; i < ordered ("z2", true); i++)
    {
      char id[32];

      snprintf (id, sizeof id, "z2-%u", i);
      ca_gateway_endpoint_removed (&world.entries[0].gateway, world.now_us, id);
    }
  world_run (1000);
  on_demand
      = ordered ("z1", false) + ordered ("z2", false) + ordered ("z3", false);
  assert_true (on_demand >= 3);
  sent = world.order_count;
  world_run (15000);
  assert_true (world.order_count > sent); /* repeated */
  assert_true (ordered ("z1", false) + ordered ("z2", false)
                   + ordered ("z3", false)
               >= on_demand);
  /* Reclaimable endpoints start again, so the on-demand ones are given up. */
  world.reclaimable_unavailable = false;
  world_run (5000);
  list_reclaimable ();
  world_run (15000);
  assert_true (ordered ("z1", false) + ordered ("z2", false)
                   + ordered ("z3", false)
               < on_demand);
  world_end ();
}

static uint32_t
ordered_on_demand (void)
{
  return ordered ("z1", false) + ordered ("z2", false) + ordered ("z3", false);
}

/* On-demand endpoints must not be given up when reclaimable replacements are
 * ordered, since these take 4 s to start.  The load is ten busy endpoints, then
 * none, so that six are needed. */
static void
test_replacements_start_first (void **state)
{
  static const char *const zones[] = { "z1", "z2", "z3" };
  ca_gateway_t *gateway = &world.entries[0].gateway;

  (void)state;
  world_start (1);
  world.reclaimable_unavailable = true;
  for (int i = 0; i < 90; i++)
    {
      ca_window_add (&ca_service_stats (gateway, "s")->busy, world.now_us,
                     10.0 * 100 * CA_US_PER_MS);
      world_run (100);
    }
  assert_true (ordered_on_demand () >= 10);
  for (size_t z = 0; z < 3; z++)
    {
      for (uint32_t i = 0; i < ordered (zones[z], false); i++)
        {
          char id[32];

          snprintf (id, sizeof id, "d%s-%u", zones[z], i);
          list_endpoint (id, zones[z], false);
        }
    }
  world.reclaimable_unavailable = false;
  for (int i = 0; i < 300; i++)
    {
      world_run (100);
      assert_true (ordered_on_demand () >= 6);
    }
  list_reclaimable ();
  world_run (15000);
  assert_true (ordered_on_demand () <= 2);
  world_end ();
}

/* A zone that has just been cut off must not give up endpoints: requests in
 * flight at that time would reach them while they drain.  The load is that of
 * the test before, with reclaimable endpoints. */
static void
test_partitioned_zone_keeps_its_endpoints (void **state)
{
  ca_gateway_t *gateway = &world.entries[0].gateway;
  uint32_t most;

  (void)state;
  world_start (1);
  for (int i = 0; i < 90; i++)
    {
      ca_window_add (&ca_service_stats (gateway, "s")->busy, world.now_us,
                     10.0 * 100 * CA_US_PER_MS);
      world_run (100);
    }
  list_reclaimable ();
  most = ordered ("z2", true);
  assert_true (most > 3);
  world_run (3000);
  ca_gateway_endpoint_failed (ca_registry_find (&gateway->registry, "z2-0"),
                              world.now_us, true);
  world_run (7500);
  assert_int_equal (ordered ("z1", true), 3);
  assert_int_equal (ordered ("z2", true), most);
  world_run (6000);
  assert_int_equal (ordered ("z2", true), 3);
  world_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_holder),
    cmocka_unit_test (test_holder_dies),
    cmocka_unit_test (test_most_senior_takes_over),
    cmocka_unit_test (test_holder_stops),
    cmocka_unit_test (test_holder_restarts),
    cmocka_unit_test (test_holder_pauses),
    cmocka_unit_test (test_lost_answers),
    cmocka_unit_test (test_usage_after_a_restart_of_all),
    cmocka_unit_test (test_report_is_in_the_row_first),
    cmocka_unit_test (test_usage_after_a_rolling_restart),
    cmocka_unit_test (test_new_entry_waits),
    cmocka_unit_test (test_every_window),
    cmocka_unit_test (test_unmet_order),
    cmocka_unit_test (test_replacements_start_first),
    cmocka_unit_test (test_partitioned_zone_keeps_its_endpoints),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
