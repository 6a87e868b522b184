/* Guards against endpoints that entries use after the store has removed them,
 * since these entries were cut off from the store meanwhile; and against
 * endpoints that are dropped since the store was away. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "cluster.h"

#include <stdio.h>
#include <string.h>

#define ENTRIES_MAX 300
#define WALL_US UINT64_C (1700000000000000)
#define BOUND_MS 2000
#define CUT_MS 5000

/* Time in which the platform restores the records of endpoints that run. */
#define RESTORE_MS 2000

/* Time of the first answer after a cut; the entry is bound 3 s after its end.
 */
#define RECONNECT_MS 1100
#define CONTACT_MS 3000

static struct
{
  size_t count;
  size_t
      cut; /* the first ones are cut off from the others and from the store */
  ca_gateway_t gateways[ENTRIES_MAX];
  uint64_t now_us;
} world;

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  size_t from = (size_t)(uintptr_t)context;

  if (from >= world.cut && to->port >= world.cut)
    cluster_post (to->port, envelope);
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  (void)context;
  (void)event;
}

/* The whole list, without any endpoint. */
static void
read_empty_list (ca_gateway_t *gateway)
{
  ca_gateway_list_begin (gateway, world.now_us);
  ca_gateway_list_end (gateway, world.now_us);
}

static void
world_run (uint64_t ms)
{
  uint64_t until_us = world.now_us + ms * CA_US_PER_MS;

  while (world.now_us < until_us)
    {
      world.now_us += CA_GATEWAY_TICK_US;
      for (size_t i = 0; i < world.count; i++)
        {
          ca_gateway_t *gateway = &world.gateways[i];

          if (!gateway->store_down)
            ca_gateway_list_validated (gateway, world.now_us);
          ca_gateway_tick (gateway, world.now_us, WALL_US + world.now_us);
        }
      cluster_deliver_posted (world.gateways, world.now_us);
    }
}

static void
world_start (size_t count)
{
  const ca_endpoint_record_t record
      = { .id = "e1", .service = "s", .zone = "z", .slots = 1 };

  memset (&world, 0, sizeof world);
  world.count = count;
  world.now_us = UINT64_C (1000000000);
  for (size_t i = 0; i < count; i++)
    {
      ca_gateway_t *gateway = &world.gateways[i];
      ca_gateway_ports_t ports = { .context = (void *)(uintptr_t)i,
                                   .send_peer = on_send,
                                   .log = on_log };
      ca_gateway_options_t options;

      cluster_options (&options, i, "z");
      options.bounds.usage_window_s = 5;
      options.bounds.retry_window_ms = 10000;
      options.bounds.propagation_ms = BOUND_MS;
      ca_gateway_init (gateway, &options, &ports, world.now_us,
                       WALL_US + world.now_us + i);
      cluster_add_peers (gateway, count);
      cluster_configure (gateway, world.now_us,
                         "{\"version\":1,\"routes\":[],\"services\":[]}");
      read_empty_list (gateway);
      ca_gateway_endpoint_listed (gateway, world.now_us, &record);
    }
  world_run (10000);
}

static void
world_end (void)
{
  for (size_t i = 0; i < world.count; i++)
    ca_gateway_finish (&world.gateways[i]);
}

/* The store stops to answer the first entries, or answers them again. */
static void
set_store (size_t count, bool answers)
{
  for (size_t i = 0; i < count; i++)
    {
      ca_gateway_store_state (&world.gateways[i], world.now_us, !answers,
                              !answers);
      if (answers)
        read_empty_list (&world.gateways[i]);
    }
}

/* Number of the first entries that have the endpoint. */
static size_t
knowing (size_t count)
{
  size_t known = 0;

  for (size_t i = 0; i < count; i++)
    known += ca_registry_find (&world.gateways[i].registry, "e1") != NULL;
  return known;
}

/* Entries are cut off for a while, in which the store removes the endpoint. */
static void
check_cut (size_t count)
{
  size_t cut = count / 3;
  uint64_t healed_us;

  world_start (count);
  world.cut = cut;
  set_store (cut, false);
  world_run (CUT_MS);
  world.cut = 0;
  healed_us = world.now_us;
  world_run (RECONNECT_MS);
  set_store (cut, true);
  while (knowing (cut) > 0
         && world.now_us - healed_us < 2 * CONTACT_MS * CA_US_PER_MS)
    world_run (CA_GATEWAY_TICK_US / CA_US_PER_MS);
  printf ("%zu of %zu entries cut off: the endpoint is used for %llu ms more\n",
          cut, count, (unsigned long long)(world.now_us - healed_us) / 1000);
  assert_true (world.now_us - healed_us < CONTACT_MS * CA_US_PER_MS);
  world_end ();
}

static void
test_cut_off (void **state)
{
  (void)state;
  check_cut (8);
  check_cut (84);
  check_cut (300);
}

/* The store is away for all, and its list misses an endpoint that runs. */
static void
test_store_away (void **state)
{
  (void)state;
  world_start (8);
  set_store (8, false);
  world_run (CUT_MS);
  set_store (7, true);
  world_run (RECONNECT_MS);
  set_store (8, true);
  world_run (RESTORE_MS - RECONNECT_MS);
  assert_int_equal (knowing (8), 8);
  /* The last one answers for the others' time, too. */
  world_run (CONTACT_MS - RESTORE_MS);
  assert_int_equal (knowing (8), 0);
  world_end ();
}

/* The store comes back from an older copy, without the endpoint's row. */
static void
on_restored (void *context)
{
  (void)context;
}

static void
test_store_restored (void **state)
{
  (void)state;
  world_start (8);
  for (size_t i = 0; i < 8; i++)
    {
      ca_gateway_t *gateway = &world.gateways[i];

      gateway->ports.store_restored = on_restored;
      ca_gateway_store_era (gateway, world.now_us, CA_ERA_NAMED, 1);
    }
  world_run (5000);
  for (size_t i = 0; i < 8; i++)
    {
      ca_gateway_store_era (&world.gateways[i], world.now_us, CA_ERA_NAMED, 2);
      read_empty_list (&world.gateways[i]);
    }
  world_run (RESTORE_MS);
  assert_int_equal (knowing (8), 8);
  world_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cut_off),
    cmocka_unit_test (test_store_away),
    cmocka_unit_test (test_store_restored),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
