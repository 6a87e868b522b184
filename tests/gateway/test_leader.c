/* The leader's lease, usage reports and scale orders with one to three entries,
 * in virtual time, against a store row and a cloud in memory. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "cluster.h"
#include "gateway/leader.h"
#include "gateway/private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES 3
#define TWO_ENTRIES 2
#define STEP_US CA_GATEWAY_TICK_US
#define WALL_US UINT64_C (1700000000000000)
#define ORDERS 64

typedef struct
{
  char service[32];
  char zone[32];
  bool reclaimable;
  uint32_t count;
  uint64_t at_us;
} order_t;

typedef struct
{
  ca_gateway_t gateway;
  ca_leader_t leader;
  bool alive;
  bool frozen;
} entry_t;

typedef struct
{
  entry_t entries[ENTRIES];
  uint64_t now_us;
  /* The lease row in the store. */
  char row[CA_LEASE_BYTES];
  uint64_t version; /* 0: there is no row */
  uint64_t era;     /* 0: the store names none */
  char row_copy[CA_LEASE_BYTES];
  uint64_t version_copy;
  int write_answers_to_lose; /* writes that are done but not answered */
  /* The cloud. */
  uint64_t usage_fence;
  uint64_t windows[256]; /* one per report */
  uint32_t counts[256];
  size_t reports;
  bool counts_differ;           /* a window was reported with two different
                                    counts */
  bool reclaimable_unavailable; /* orders for them are refused */
  order_t orders[ORDERS];
  size_t order_count;
  uint64_t holders[256]; /* entry that used a token, plus 1 */
  bool fence_reused;
} world_t;

static world_t world;

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":"
      "\"/\",\"route_kind\":\"streaming\",\"timeout_ms\":1000,"
      "\"target_latency_ms\":1000,\"service\":\"s\",\"max_attempts\":1}],"
      "\"services\":[{\"name\":\"s\",\"inference_engine\":{\"slots\":64,"
      "\"kv_cache_tokens\":300000},\"scaling\":{\"minimum\":1,\"maximum\":8,"
      "\"boot_time_s\":4.0,\"spot_price\":0.2,\"zone_prices\":{\"z1\":1.0,"
      "\"z2\":1.2,\"z3\":1.1}}}],\"tenants\":[{\"name\":\"w\",\"api_keys\":"
      "[\"k\"]}]}";

static entry_t *
entry_of (void *context)
{
  return context;
}

static void
read_lease (void *context)
{
  entry_t *entry = entry_of (context);

  ca_leader_lease_read (&entry->leader, world.now_us, CA_CALL_OK, world.version,
                        world.version == 0 ? NULL : world.row, world.now_us);
}

static void
write_lease (void *context, uint64_t version, const char *text)
{
  entry_t *entry = entry_of (context);

  if (version != world.version)
    {
      ca_leader_lease_written (&entry->leader, world.now_us, CA_CALL_CONFLICT,
                               0);
      return;
    }
  world.version++;
  strlcpy (world.row, text, sizeof world.row);
  if (world.write_answers_to_lose > 0)
    {
      world.write_answers_to_lose--;
      ca_leader_lease_written (&entry->leader, world.now_us, CA_CALL_UNKNOWN,
                               0);
      return;
    }
  ca_leader_lease_written (&entry->leader, world.now_us, CA_CALL_OK,
                           world.version);
}

static void
record_holder (const entry_t *entry, uint64_t fence)
{
  uint64_t number = (uint64_t)(entry - world.entries) + 1;

  assert_true (fence < 256);
  if (world.holders[fence] != 0 && world.holders[fence] != number)
    world.fence_reused = true;
  world.holders[fence] = number;
}

static void
report_usage (void *context, uint64_t fence, uint64_t window,
              const struct ca_usage_rows *counts)
{
  entry_t *entry = entry_of (context);
  const ca_usage_row_t *row = TAILQ_FIRST (counts);
  uint32_t count = row == NULL ? 0 : row->count;

  record_holder (entry, fence);
  if (fence < world.usage_fence)
    {
      ca_leader_usage_reported (&entry->leader, world.now_us, window,
                                CA_CALL_CONFLICT);
      return;
    }
  world.usage_fence = fence;
  for (size_t i = 0; i < world.reports; i++)
    {
      if (world.windows[i] == window && world.counts[i] != count)
        world.counts_differ = true;
    }
  world.windows[world.reports] = window;
  world.counts[world.reports++] = count;
  ca_leader_usage_reported (&entry->leader, world.now_us, window, CA_CALL_OK);
}

static void
order_scale (void *context, const ca_scale_order_t *order)
{
  entry_t *entry = entry_of (context);
  order_t *row = &world.orders[world.order_count++ % ORDERS];

  record_holder (entry, order->fence);
  strlcpy (row->service, order->service, sizeof row->service);
  strlcpy (row->zone, order->zone, sizeof row->zone);
  row->reclaimable = order->reclaimable;
  row->count = order->count;
  row->at_us = world.now_us;
  ca_leader_order_done (&entry->leader, world.now_us, order,
                        world.reclaimable_unavailable && order->reclaimable
                                && order->count > 0
                            ? CA_CALL_CONFLICT
                            : CA_CALL_OK);
}

static void
on_exchange (void *context, ca_exchange_t *exchange)
{
  (void)context;
  (void)exchange;
}

static void
on_log (void *context, const ca_log_event_t *note)
{
  (void)context;
  if (getenv ("NOTES") != NULL)
    print_message ("%.3f %d %s\n", (double)(world.now_us - 1000000000) / 1e6,
                   (int)note->event, note->detail);
}

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  entry_t *entry = &world.entries[to->port];

  if (entry->alive && !entry->frozen && !entry_of (context)->frozen)
    cluster_deliver (&entry->gateway, world.now_us, envelope);
}

static void
on_restored (void *context)
{
  ca_leader_store_restored (&entry_of (context)->leader, world.now_us);
}

/* Passes the store's era to an entry, as an answer does. */
static void
entry_learn_era (size_t index)
{
  if (world.era != 0 && world.entries[index].alive)
    assert_true (ca_gateway_store_era (&world.entries[index].gateway,
                                       world.now_us, CA_ERA_NAMED, world.era));
}

static void
store_copy (void)
{
  strlcpy (world.row_copy, world.row, sizeof world.row_copy);
  world.version_copy = world.version;
}

/* The store comes back from its copy. */
static void
store_restore (void)
{
  strlcpy (world.row, world.row_copy, sizeof world.row);
  world.version = world.version_copy;
  world.era++;
  for (size_t i = 0; i < ENTRIES; i++)
    entry_learn_era (i);
}

static void
entry_start (size_t index)
{
  entry_t *entry = &world.entries[index];
  ca_gateway_ports_t ports = { .context = entry,
                               .cancel = on_exchange,
                               .send_peer = on_send,
                               .store_restored = on_restored,
                               .log = on_log };
  ca_leader_ports_t leader_ports
      = { entry, read_lease, write_lease, report_usage, order_scale };
  ca_gateway_options_t options;

  cluster_options (&options, index, "z1");
  options.bounds.lease_ms = 3000;
  options.bounds.usage_window_s = 5;
  options.bounds.usage_delay_s = 10;
  options.bounds.retry_window_ms = 10000;
  ca_gateway_init (&entry->gateway, &options, &ports, world.now_us,
                   WALL_US + world.now_us);
  ca_leader_init (&entry->leader, &entry->gateway, &leader_ports, true, true);
  cluster_configure (&entry->gateway, world.now_us, config);
  cluster_add_peers (&entry->gateway, ENTRIES);
  entry->alive = true;
  entry_learn_era (index);
}

static void
entry_end (size_t index)
{
  entry_t *entry = &world.entries[index];

  if (!entry->alive)
    return;
  ca_leader_finish (&entry->leader);
  ca_gateway_finish (&entry->gateway);
  entry->alive = false;
}

static void
world_start (size_t entries)
{
  memset (&world, 0, sizeof world);
  world.now_us = UINT64_C (1000000000);
  for (size_t i = 0; i < entries; i++)
    entry_start (i);
}

static void
world_run (uint64_t ms)
{
  uint64_t until_us = world.now_us + ms * CA_US_PER_MS;

  while (world.now_us < until_us)
    {
      world.now_us += STEP_US;
      for (size_t i = 0; i < ENTRIES; i++)
        {
          entry_t *entry = &world.entries[i];

          if (!entry->alive || entry->frozen)
            continue;
          ca_gateway_tick (&entry->gateway, world.now_us,
                           WALL_US + world.now_us);
          ca_leader_tick (&entry->leader, world.now_us);
        }
    }
}

static void
world_end (void)
{
  assert_false (world.fence_reused);
  assert_false (world.counts_differ);
  for (size_t i = 0; i < ENTRIES; i++)
    entry_end (i);
}

static size_t
leader (void)
{
  size_t found = ENTRIES;

  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (world.entries[i].alive && world.entries[i].leader.held)
        {
          assert_int_equal (found, ENTRIES);
          found = i;
        }
    }
  return found;
}

static uint32_t
reported_count (uint64_t window)
{
  uint32_t count = 0;

  for (size_t i = 0; i < world.reports; i++)
    {
      if (world.windows[i] == window)
        count = world.counts[i];
    }
  return count;
}

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
  window = (WALL_US + world.now_us) / (5 * CA_US_PER_S);
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
  window = (WALL_US + world.now_us) / (5 * CA_US_PER_S);
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
  window = (WALL_US + world.now_us) / (5 * CA_US_PER_S);
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
  window = (WALL_US + world.now_us) / (5 * CA_US_PER_S);
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
  first = (WALL_US + world.now_us) / (5 * CA_US_PER_S);
  world_run (60000);
  for (uint64_t window = first; window < first + 10; window++)
    {
      bool reported = false;

      for (size_t i = 0; i < world.reports; i++)
        reported = reported || world.windows[i] == window;
      assert_true (reported);
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

/* Counts a request at each entry, so that windows differ from each other. */
static void
world_run_with_usage (uint64_t ms)
{
  for (uint64_t i = 0; i < ms; i += 100)
    {
      for (size_t k = 0; k < ENTRIES; k++)
        {
          if (world.entries[k].alive)
            ca_usage_count (&world.entries[k].gateway, "w", world.now_us);
        }
      world_run (100);
    }
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
    cmocka_unit_test (test_one_holder),
    cmocka_unit_test (test_holder_dies),
    cmocka_unit_test (test_most_senior_takes_over),
    cmocka_unit_test (test_holder_stops),
    cmocka_unit_test (test_holder_restarts),
    cmocka_unit_test (test_holder_pauses),
    cmocka_unit_test (test_lost_answers),
    cmocka_unit_test (test_usage_after_a_restart_of_all),
    cmocka_unit_test (test_usage_after_a_rolling_restart),
    cmocka_unit_test (test_new_entry_waits),
    cmocka_unit_test (test_every_window),
    cmocka_unit_test (test_unmet_order),
    cmocka_unit_test (test_replacements_start_first),
    cmocka_unit_test (test_partitioned_zone_keeps_its_endpoints),
    cmocka_unit_test (test_holder_keeps_lease_that_the_store_lost),
    cmocka_unit_test (test_holder_ends_as_the_store_loses_its_row),
    cmocka_unit_test (test_bad_eras),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
