/* Size and rate of the heartbeats that one of many entries sends, and the usage
 * counts that the others receive in them.  Runs in virtual time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "cluster.h"
#include "gateway/gateway.h"
#include "gateway/private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES 72
#define WORKSPACES 16
#define WALL_US UINT64_C (1700000000000000)

/* The smallest VMs send 10 Mbit/s.  Heartbeats may take a fourth of that at any
 * time, so that they delay answers little. */
#define LINK_BYTES_PER_S 1250000
#define LINK_SHARE 0.25

static struct
{
  ca_gateway_t gateways[ENTRIES];
  uint64_t now_us;
  uint64_t tick_bytes; /* sent by the first entry */
  uint64_t max_bytes;
  uint64_t sent_bytes;
} world;

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  size_t bytes = camphor__envelope__get_packed_size (envelope);

  if ((uintptr_t)context == 0)
    {
      world.tick_bytes += bytes;
      world.sent_bytes += bytes;
    }
  cluster_deliver (&world.gateways[to->port], world.now_us, envelope);
}

static void
on_log (void *context, const ca_log_event_t *note)
{
  (void)context;
  (void)note;
}

static void
entry_start (size_t index)
{
  ca_gateway_ports_t ports = { .context = (void *)(uintptr_t)index,
                               .send_peer = on_send,
                               .log = on_log };
  ca_gateway_options_t options;

  cluster_options (&options, index, "z");
  options.bounds.usage_window_s = 5;
  options.bounds.usage_delay_s = 10;
  options.bounds.retry_window_ms = 10000;
  ca_gateway_init (&world.gateways[index], &options, &ports, world.now_us,
                   WALL_US + world.now_us + index);
  cluster_add_peers (&world.gateways[index], ENTRIES);
}

/* Runs all entries; at each of them one request of every workspace begins per
 * second. */
static void
world_run (uint32_t seconds)
{
  for (uint32_t tick = 0; tick < seconds * 40; tick++)
    {
      world.now_us += CA_GATEWAY_TICK_US;
      world.tick_bytes = 0;
      for (size_t i = 0; i < ENTRIES; i++)
        {
          for (size_t k = 0; tick % 40 == i % 40 && k < WORKSPACES; k++)
            {
              char name[16];

              snprintf (name, sizeof name, "space%zu", k);
              ca_usage_count (&world.gateways[i], name, world.now_us);
            }
          ca_gateway_tick (&world.gateways[i], world.now_us,
                           WALL_US + world.now_us);
        }
      if (world.tick_bytes > world.max_bytes)
        world.max_bytes = world.tick_bytes;
    }
}

/* Adds up what an entry has received of one window. */
static uint32_t
usage_count (size_t index, uint64_t window)
{
  struct ca_usage_rows total;
  const ca_usage_row_t *row;
  uint32_t sum = 0;

  TAILQ_INIT (&total);
  ca_usage_total (&world.gateways[index], window, &total);
  TAILQ_FOREACH (row, &total, entries)
  sum += row->count;
  ca_usage_rows_finish (&total);
  return sum;
}

/* Heartbeats must not be sent in a burst: a round of 71 occupied the link of a
 * slow VM for 0.2 s and delayed the answers queued behind it. */
static void
test_heartbeat_bytes (void **state)
{
  (void)state;
  memset (&world, 0, sizeof world);
  world.now_us = UINT64_C (1000000000);
  for (size_t i = 0; i < ENTRIES; i++)
    entry_start (i);
  world_run (20);
  world.max_bytes = 0;
  world.sent_bytes = 0;
  world_run (20);
  print_message ("%.1f KB a second, at most %.1f KB in a tick of 25 ms\n",
                 (double)world.sent_bytes / 20 / 1000,
                 (double)world.max_bytes / 1000);
  assert_true ((double)world.max_bytes <= LINK_SHARE * LINK_BYTES_PER_S
                                              * CA_GATEWAY_TICK_US
                                              / CA_US_PER_S);
}

/* Usage counts are sent less often than the rest, but arrive in time for the
 * report, which follows the end of a window by 3 s. */
static void
test_usage_in_time (void **state)
{
  uint64_t window = ca_usage_window (&world.gateways[0], world.now_us);

  (void)state;
  while (ca_usage_window (&world.gateways[0], world.now_us) == window)
    world_run (1);
  world_run (2);
  for (size_t i = 0; i < ENTRIES; i++)
    assert_int_equal (usage_count (i, window), 5 * ENTRIES * WORKSPACES);
  for (size_t i = 0; i < ENTRIES; i++)
    ca_gateway_finish (&world.gateways[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_heartbeat_bytes),
    cmocka_unit_test (test_usage_in_time),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
