/* One entry of a zone reads a table for the others: which entries call the
 * store, and how soon all apply a change, while the reader dies, loses the
 * store or the others, or a follower is paused.  Virtual time, a table in
 * memory. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "cluster.h"
#include "gateway/gateway.h"
#include "gateway/watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES 6
#define BOUND_MS 3000
#define STEP_US CA_GATEWAY_TICK_US
#define WALL_US UINT64_C (1700000000000000)
#define QUEUE 64
#define ROW_TABLE 2

typedef struct
{
  bool out;
  bool is_list;
  uint64_t after;
  uint64_t until_us;   /* answered then if there is no change */
  uint64_t timeout_us; /* fails then if it hangs */
} call_t;

typedef struct
{
  ca_gateway_t gateway;
  ca_watch_t watch;
  bool alive;
  bool frozen;
  bool store_cut;     /* its calls to the store hang */
  bool drops_updates; /* updates to it are lost */
  call_t call;
  uint32_t calls;
  uint32_t cancelled;       /* calls that were ended */
  uint64_t applied_version; /* latest version that it has */
  uint64_t row_version;     /* of the latest row sent on its own */
  uint8_t *queue[QUEUE];
  size_t queue_bytes[QUEUE];
  size_t queued;
} entry_t;

static struct
{
  entry_t entries[ENTRIES];
  uint64_t now_us;
  uint64_t version; /* also rises with other tables */
  uint64_t changed; /* version of the table's latest change */
  bool zones_cut;   /* from each other */
} world;

static void
on_list (void *context, ca_watch_t *watch)
{
  entry_t *entry = context;

  entry->calls++;
  entry->call
      = (call_t){ .out = true,
                  .is_list = true,
                  .until_us = world.now_us,
                  .timeout_us
                  = world.now_us + watch->call_timeout_ms * CA_US_PER_MS };
}

static void
on_feed (void *context, ca_watch_t *watch)
{
  entry_t *entry = context;

  entry->calls++;
  entry->call
      = (call_t){ .out = true,
                  .after = watch->after,
                  .until_us = world.now_us + watch->call_wait_ms * CA_US_PER_MS,
                  .timeout_us
                  = world.now_us + watch->call_timeout_ms * CA_US_PER_MS };
}

static void
on_cancel (void *context, ca_watch_t *watch)
{
  entry_t *entry = context;

  (void)watch;
  entry->call.out = false;
  entry->cancelled++;
}

static void
answer (entry_t *entry)
{
  bool changed = world.changed > entry->call.after;
  uint64_t last_change_version = entry->watch.last_change_version;
  Camphor__TableRow row = CAMPHOR__TABLE_ROW__INIT;
  Camphor__TableRow *rows = &row;

  row.key = "k";
  entry->call.out = false;
  if (world.version >= entry->watch.after)
    entry->applied_version = world.changed;
  ca_watch_done (&entry->watch, world.now_us, CA_WATCH_OK, world.version,
                 changed, world.now_us);
  if (!entry->call.is_list && changed)
    ca_relay_rows (&entry->gateway, world.now_us, &entry->watch,
                   last_change_version, &rows, 1);
}

static void
store_tick (entry_t *entry)
{
  call_t *call = &entry->call;

  if (!call->out)
    return;
  if (entry->store_cut)
    {
      if (world.now_us < call->timeout_us)
        return;
      call->out = false;
      ca_watch_done (&entry->watch, world.now_us, CA_WATCH_FAILED, 0, false, 0);
      ca_gateway_store_state (&entry->gateway, world.now_us,
                              ca_watch_is_down (&entry->watch), false);
      return;
    }
  if (call->is_list || world.changed > call->after
      || world.now_us >= call->until_us)
    answer (entry);
}

static void
on_update (void *context, const Camphor__TableWord *update,
           uint64_t validated_us)
{
  entry_t *entry = context;

  if (update->table == ROW_TABLE)
    {
      assert_int_equal (update->n_rows, 1);
      entry->row_version = update->until;
      return;
    }
  ca_watch_hear (&entry->watch, world.now_us, update->arriving);
  if (ca_watch_apply_update (&entry->watch, update->after, update->until,
                             validated_us, update->n_rows > 0))
    entry->applied_version = update->until;
}

static void
on_log (void *context, const ca_log_event_t *note)
{
  (void)context;
  (void)note;
}

/* Queues a message; a frozen entry receives it later. */
static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  const entry_t *from = context;
  entry_t *entry = &world.entries[to->port];
  size_t bytes = camphor__envelope__get_packed_size (envelope);

  if (!entry->alive || entry->queued == QUEUE
      || (world.zones_cut
          && strcmp (from->gateway.options.zone, entry->gateway.options.zone)
                 != 0)
      || (entry->drops_updates
          && envelope->body_case == CAMPHOR__ENVELOPE__BODY_TABLE_WORD))
    return;
  entry->queue[entry->queued] = malloc (bytes);
  entry->queue_bytes[entry->queued] = bytes;
  camphor__envelope__pack (envelope, entry->queue[entry->queued]);
  entry->queued++;
}

static void
receive_queued (entry_t *entry)
{
  for (size_t i = 0; i < entry->queued; i++)
    {
      Camphor__Envelope *envelope = camphor__envelope__unpack (
          NULL, entry->queue_bytes[i], entry->queue[i]);

      ca_gateway_envelope (&entry->gateway, world.now_us, envelope);
      camphor__envelope__free_unpacked (envelope, NULL);
      free (entry->queue[i]);
    }
  entry->queued = 0;
}

static void
entry_start (size_t index, const char *zone)
{
  entry_t *entry = &world.entries[index];
  ca_gateway_ports_t ports = { .context = entry,
                               .send_peer = on_send,
                               .apply_table_update = on_update,
                               .log = on_log };
  ca_gateway_options_t options;

  cluster_options (&options, index, zone);
  options.bounds.propagation_ms = BOUND_MS;
  options.bounds.usage_window_s = 5;
  options.bounds.retry_window_ms = 10000;
  memset (entry, 0, sizeof *entry);
  ca_gateway_init (&entry->gateway, &options, &ports, world.now_us,
                   WALL_US + world.now_us + index);
  ca_watch_init (&entry->watch, "t", 1, 10000, 600, on_list, on_feed, entry);
  entry->watch.cancel = on_cancel;
  cluster_add_peers (&entry->gateway, ENTRIES);
  entry->alive = true;
}

static void
entry_end (size_t index)
{
  entry_t *entry = &world.entries[index];

  receive_queued (entry);
  ca_gateway_finish (&entry->gateway);
  entry->alive = false;
}

static void
world_run (uint64_t ms)
{
  uint64_t until_us = world.now_us + ms * CA_US_PER_MS;

  while (world.now_us < until_us)
    {
      world.now_us += STEP_US;
      world.version++;
      for (size_t i = 0; i < ENTRIES; i++)
        {
          entry_t *entry = &world.entries[i];

          if (!entry->alive || entry->frozen)
            continue;
          receive_queued (entry);
          store_tick (entry);
          ca_relay_tick (&entry->gateway, world.now_us, &entry->watch);
          ca_watch_tick (&entry->watch, world.now_us);
          ca_gateway_tick (&entry->gateway, world.now_us,
                           WALL_US + world.now_us);
        }
    }
}

static void
world_start (size_t in_zone)
{
  memset (&world, 0, sizeof world);
  world.now_us = UINT64_C (1000000000);
  world.version = 1;
  world.changed = 1;
  for (size_t i = 0; i < ENTRIES; i++)
    entry_start (i, i < in_zone ? "z1" : "z2");
  world_run (20000);
}

static void
world_end (void)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (world.entries[i].alive)
        entry_end (i);
    }
}

/* Changes the table and returns the time until all live entries that reach the
 * store have applied the change. */
static uint64_t
time_to_propagate_ms (void)
{
  uint64_t from_us = world.now_us;
  bool all = false;

  world.changed = ++world.version;
  while (!all)
    {
      world_run (STEP_US / CA_US_PER_MS);
      all = true;
      for (size_t i = 0; i < ENTRIES; i++)
        {
          const entry_t *entry = &world.entries[i];

          if (entry->alive && !entry->frozen && !entry->store_cut)
            all = all && entry->applied_version >= world.changed;
        }
      assert_true (world.now_us - from_us < 20 * CA_US_PER_S);
    }
  return (world.now_us - from_us) / CA_US_PER_MS;
}

/* Returns the entry that reads for its zone; ENTRIES if there is none. */
static size_t
reader (void)
{
  size_t found = ENTRIES;

  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (world.entries[i].alive
          && world.entries[i].watch.role == CA_WATCH_READER)
        {
          assert_int_equal (found, ENTRIES);
          found = i;
        }
    }
  return found;
}

static void
test_single_reader (void **state)
{
  uint32_t before[ENTRIES];
  size_t first;

  (void)state;
  world_start (ENTRIES);
  first = reader ();
  assert_true (first < ENTRIES);
  for (size_t i = 0; i < ENTRIES; i++)
    before[i] = world.entries[i].calls;
  for (int i = 0; i < 20; i++)
    {
      assert_true (time_to_propagate_ms () <= 800); /* pause, delivery */
      world_run (700);
    }
  world_run (10000); /* only other tables change */
  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (i != first)
        assert_int_equal (world.entries[i].calls, before[i]);
    }
  world_end ();
}

/* Zones with few entries have one reader together. */
static void
test_small_zones_share_a_reader (void **state)
{
  uint32_t before[ENTRIES];
  size_t first;

  (void)state;
  world_start (4);
  first = reader ();
  assert_true (first < ENTRIES);
  for (size_t i = 0; i < ENTRIES; i++)
    before[i] = world.entries[i].calls;
  for (int i = 0; i < 20; i++)
    {
      assert_true (time_to_propagate_ms () <= 800);
      world_run (700);
    }
  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (i != first)
        assert_int_equal (world.entries[i].calls, before[i]);
    }
  world.entries[first].frozen = true;
  assert_true (time_to_propagate_ms () < BOUND_MS);
  world.entries[first].frozen = false;
  entry_end (first);
  assert_true (time_to_propagate_ms () < BOUND_MS);
  world_run (5000);
  assert_true (reader () < ENTRIES && reader () != first);
  world_end ();
}

/* The zones are cut off from each other: each still knows changes in time, and
 * has a reader of its own soon. */
static void
test_small_zones_are_cut_off (void **state)
{
  (void)state;
  world_start (4);
  world.zones_cut = true;
  for (int i = 0; i < 10; i++)
    {
      assert_true (time_to_propagate_ms () < BOUND_MS);
      world_run (300);
    }
  world_run (5000);
  for (size_t zone = 0; zone < 2; zone++)
    {
      uint32_t readers = 0;

      for (size_t i = zone == 0 ? 0 : 4; i < (zone == 0 ? 4 : ENTRIES); i++)
        readers += world.entries[i].watch.role == CA_WATCH_READER;
      assert_int_equal (readers, 1);
    }
  world.zones_cut = false;
  world_run (5000);
  assert_true (reader () < ENTRIES);
  assert_true (time_to_propagate_ms () <= 800);
  world_end ();
}

static void
test_reader_dies (void **state)
{
  size_t first;

  (void)state;
  world_start (ENTRIES);
  first = reader ();
  entry_end (first);
  assert_true (time_to_propagate_ms () < BOUND_MS);
  world_run (5000);
  assert_true (reader () < ENTRIES && reader () != first);
  assert_true (time_to_propagate_ms () <= 800);
  world_end ();
}

/* The reader's calls hang without an error, so its updates become too old. */
static void
test_reader_loses_the_store (void **state)
{
  size_t first;

  (void)state;
  world_start (ENTRIES);
  first = reader ();
  world.entries[first].store_cut = true;
  for (int i = 0; i < 10; i++)
    {
      assert_true (time_to_propagate_ms () < BOUND_MS);
      world_run (700);
    }
  assert_true (reader () != first);
  world_end ();
}

static void
test_reader_freezes (void **state)
{
  size_t first;

  (void)state;
  world_start (ENTRIES);
  first = reader ();
  for (int i = 0; i < 10; i++)
    {
      world.entries[first].frozen = !world.entries[first].frozen;
      assert_true (time_to_propagate_ms () < BOUND_MS);
      world_run (200);
    }
  world_end ();
}

/* Updates to one follower are lost. */
static void
test_updates_are_lost (void **state)
{
  size_t follower;

  (void)state;
  world_start (ENTRIES);
  follower = (reader () + 1) % ENTRIES;
  world.entries[follower].drops_updates = true;
  for (int i = 0; i < 10; i++)
    assert_true (time_to_propagate_ms () < BOUND_MS);
  world.entries[follower].drops_updates = false;
  assert_true (time_to_propagate_ms () < BOUND_MS);
  world_run (5000);
  assert_true (time_to_propagate_ms () <= 800);
  world_end ();
}

/* Pauses the reader and `deputies` of the next entries; the store answers
 * nobody else. */
static void
pause_readers (size_t deputies)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      world.entries[i].frozen = world.entries[i].watch.rank <= deputies;
      world.entries[i].store_cut = world.entries[i].watch.rank > 0;
    }
}

/* True if all followers that are not paused have asked the store. */
static bool
followers_call (void)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (!world.entries[i].frozen && !world.entries[i].call.out)
        return false;
    }
  return true;
}

/* The reader is paused until followers ask the store, whose answers take long;
 * its update makes them needless. */
static void
check_update_ends_calls (size_t deputies)
{
  bool called[ENTRIES];
  uint64_t until_us;

  world_start (ENTRIES);
  pause_readers (deputies);
  until_us = world.now_us + BOUND_MS * CA_US_PER_MS;
  if (deputies == 0)
    {
      /* The first deputy asks for all. */
      while (world.entries[1].call.out == false && world.now_us < until_us)
        world_run (STEP_US / CA_US_PER_MS);
    }
  else
    {
      while (!followers_call () && world.now_us < until_us)
        world_run (STEP_US / CA_US_PER_MS);
      assert_true (followers_call ());
    }
  for (size_t i = 0; i < ENTRIES; i++)
    {
      called[i] = !world.entries[i].frozen && world.entries[i].call.out;
      world.entries[i].frozen = false;
    }
  assert_true (time_to_propagate_ms () <= 800);
  world_run (500);
  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (world.entries[i].watch.rank == 0)
        continue;
      assert_int_equal (world.entries[i].cancelled, called[i]);
      assert_false (world.entries[i].call.out);
      assert_int_equal (world.entries[i].watch.failures, 0);
    }
  world_end ();
}

static void
test_update_ends_own_calls (void **state)
{
  (void)state;
  check_update_ends_calls (0);
  check_update_ends_calls (CA_WATCH_DEPUTIES);
}

/* Updates that queue up while a follower is paused must not count as new. */
static void
test_follower_freezes (void **state)
{
  size_t follower;

  (void)state;
  world_start (ENTRIES);
  follower = (reader () + 1) % ENTRIES;
  for (int i = 0; i < 10; i++)
    {
      world.entries[follower].frozen = true;
      world_run (500);
      for (size_t k = 0; k < ENTRIES; k++)
        world.entries[k].store_cut = k != follower; /* no new changes */
      world.changed = ++world.version;
      world_run (2000);
      world.entries[follower].frozen = false;
      world_run (500);
      assert_true (world.entries[follower].applied_version >= world.changed);
      for (size_t k = 0; k < ENTRIES; k++)
        world.entries[k].store_cut = false;
      world_run (10000);
    }
  world_end ();
}

/* A row that is sent on its own reaches all followers with its version, without
 * a change of what they have of the table; only the reader sends it. */
static void
test_single_row (void **state)
{
  Camphor__TableRow row = CAMPHOR__TABLE_ROW__INIT;
  uint64_t version;
  size_t first;

  (void)state;
  world_start (ENTRIES);
  row.key = "k";
  first = reader ();
  version = world.entries[(first + 1) % ENTRIES].watch.after + 1000;
  for (size_t i = 0; i < ENTRIES; i++)
    ca_relay_row (&world.entries[i].gateway, world.now_us,
                  &world.entries[i].watch, ROW_TABLE, &row,
                  i == first ? version : 1);
  world_run (100);
  for (size_t i = 0; i < ENTRIES; i++)
    {
      assert_int_equal (world.entries[i].row_version, i == first ? 0 : version);
      assert_true (world.entries[i].watch.after < version);
    }
  world_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_single_reader),
    cmocka_unit_test (test_small_zones_share_a_reader),
    cmocka_unit_test (test_small_zones_are_cut_off),
    cmocka_unit_test (test_reader_dies),
    cmocka_unit_test (test_reader_loses_the_store),
    cmocka_unit_test (test_reader_freezes),
    cmocka_unit_test (test_updates_are_lost),
    cmocka_unit_test (test_update_ends_own_calls),
    cmocka_unit_test (test_follower_freezes),
    cmocka_unit_test (test_single_row),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
