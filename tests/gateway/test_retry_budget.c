/* Guards against entries that together retry more than the platform allows in
 * any window, while every request asks for a retry.  Runs in virtual time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "cluster.h"
#include "gateway/gateway.h"
#include "gateway/private.h"

#include <string.h>

#define ENTRIES_MAX 82
#define ZONES 4
#define WALL_US UINT64_C (1700000000000000)
#define RUN_S 60
#define TICKS_PER_S (CA_US_PER_S / CA_GATEWAY_TICK_US)
#define TICKS (RUN_S * TICKS_PER_S)
#define REQUEST_TICKS 5 /* between two requests at one entry */
#define RETRY_RATIO 0.2
#define WINDOW_TICKS (10 * TICKS_PER_S)

/* What happens to the entries while they serve. */
typedef struct
{
  size_t entries;
  double allowance;       /* retries in a window besides the ratio */
  uint32_t restart_ticks; /* between restarts of entries; 0: none */
  size_t restart_count;
  uint32_t cut_from; /* ticks: every zone is cut off from the others */
  uint32_t cut_until;
} fleet_t;

/* Sizes of the users' deployments, with their allowances. */
#define SMALL_FLEET .entries = 8, .allowance = 56
#define LARGE_FLEET .entries = 82, .allowance = 204

static struct
{
  const fleet_t *fleet;
  ca_gateway_t gateways[ENTRIES_MAX];
  uint64_t now_us;
  uint32_t tick;
  size_t next_restart;
  uint32_t requests[TICKS];
  uint32_t retries[TICKS];
} world;

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  size_t from = (size_t)(uintptr_t)context;

  if (world.tick >= world.fleet->cut_from && world.tick < world.fleet->cut_until
      && from % ZONES != to->port % ZONES)
    return;
  cluster_deliver (&world.gateways[to->port], world.now_us, envelope);
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  (void)context;
  (void)event;
}

static void
entry_start (size_t index)
{
  ca_gateway_ports_t ports = { .context = (void *)(uintptr_t)index,
                               .send_peer = on_send,
                               .log = on_log };
  ca_gateway_options_t options;

  cluster_options (&options, index, "z");
  options.bounds.retry_ratio = RETRY_RATIO;
  options.bounds.retry_allowance = world.fleet->allowance;
  options.bounds.retry_window_ms = 10000;
  options.bounds.usage_window_s = 5;
  options.bounds.usage_delay_s = 10;
  ca_gateway_init (&world.gateways[index], &options, &ports, world.now_us,
                   WALL_US + world.now_us + index);
  cluster_add_peers (&world.gateways[index], world.fleet->entries);
}

static void
entry_request (size_t index)
{
  ca_gateway_t *gateway = &world.gateways[index];

  ca_window_add (&ca_service_stats (gateway, "e")->requests, world.now_us, 1);
  world.requests[world.tick]++;
  if (ca_retry_budget_take (gateway, "e", true))
    world.retries[world.tick]++;
}

static void
restart_entries (void)
{
  if (world.fleet->restart_ticks == 0
      || world.tick % world.fleet->restart_ticks != 0)
    return;
  for (size_t i = 0; i < world.fleet->restart_count; i++)
    {
      ca_gateway_finish (&world.gateways[world.next_restart]);
      entry_start (world.next_restart);
      if (++world.next_restart == world.fleet->entries)
        world.next_restart = 0;
    }
}

static uint32_t
window_sum (const uint32_t *counts, uint32_t from)
{
  uint32_t sum = 0;

  for (uint32_t i = from; i < from + WINDOW_TICKS && i < TICKS; i++)
    sum += counts[i];
  return sum;
}

/* Requests of the window, the one before it or half before it. */
static uint32_t
window_requests (uint32_t from)
{
  uint32_t most = window_sum (world.requests, from);

  for (uint32_t back = WINDOW_TICKS / 2; back <= WINDOW_TICKS && back <= from;
       back += WINDOW_TICKS / 2)
    {
      uint32_t sum = window_sum (world.requests, from - back);

      if (sum > most)
        most = sum;
    }
  return most;
}

/* Largest number of retries in a window, relative to the bound. */
static double
worst_window (const fleet_t *fleet)
{
  double worst = 0;

  memset (&world, 0, sizeof world);
  world.fleet = fleet;
  world.now_us = UINT64_C (1000000000);
  for (size_t i = 0; i < fleet->entries; i++)
    entry_start (i);
  for (; world.tick < TICKS; world.tick++)
    {
      world.now_us += CA_GATEWAY_TICK_US;
      for (size_t i = 0; i < fleet->entries; i++)
        {
          ca_gateway_tick (&world.gateways[i], world.now_us,
                           WALL_US + world.now_us);
          if ((world.tick + i) % REQUEST_TICKS == 0)
            entry_request (i);
        }
      if (world.tick > 0)
        restart_entries ();
    }
  for (size_t i = 0; i < fleet->entries; i++)
    ca_gateway_finish (&world.gateways[i]);
  for (uint32_t from = 0; from + WINDOW_TICKS <= TICKS; from++)
    {
      double share
          = window_sum (world.retries, from)
            / (RETRY_RATIO * window_requests (from) + fleet->allowance);

      if (share > worst)
        worst = share;
    }
  print_message ("%zu entries: at most %.2f of the bound\n", fleet->entries,
                 worst);
  return worst;
}

static void
check_fleets (const fleet_t *small, const fleet_t *large)
{
  double worst_small = worst_window (small);
  double worst_large = worst_window (large);

  assert_true (worst_small <= 1);
  assert_true (worst_large <= 1);
}

static void
test_undisturbed (void **state)
{
  static const fleet_t small = { SMALL_FLEET };
  static const fleet_t large = { LARGE_FLEET };

  (void)state;
  check_fleets (&small, &large);
}

static void
test_restarts_in_turn (void **state)
{
  static const fleet_t small
      = { SMALL_FLEET, .restart_ticks = 52, .restart_count = 1 };
  static const fleet_t large
      = { LARGE_FLEET, .restart_ticks = 52, .restart_count = 4 };

  (void)state;
  check_fleets (&small, &large);
}

static void
test_restart_of_all (void **state)
{
  static const fleet_t small
      = { SMALL_FLEET, .restart_ticks = 1000, .restart_count = 8 };
  static const fleet_t large
      = { LARGE_FLEET, .restart_ticks = 1000, .restart_count = 82 };

  (void)state;
  check_fleets (&small, &large);
}

static void
test_zones_cut (void **state)
{
  static const fleet_t small
      = { SMALL_FLEET, .cut_from = 1000, .cut_until = 1400 };
  static const fleet_t large
      = { LARGE_FLEET, .cut_from = 1000, .cut_until = 1400 };

  (void)state;
  check_fleets (&small, &large);
}

#define BURST_REQUESTS 400

/* Number of retries that an entry grants after a burst of requests. */
static uint32_t
retries_of_burst (bool new_requests_first)
{
  static const fleet_t fleet = { SMALL_FLEET };
  ca_gateway_t *gateway = &world.gateways[0];
  uint32_t retries = 0;
  uint32_t of_new;

  memset (&world, 0, sizeof world);
  world.fleet = &fleet;
  world.now_us = UINT64_C (1000000000);
  entry_start (0);
  ca_window_add (&ca_service_stats (gateway, "e")->requests, world.now_us,
                 BURST_REQUESTS);
  while (new_requests_first && ca_retry_budget_take (gateway, "e", false))
    retries++;
  of_new = retries;
  while (ca_retry_budget_take (gateway, "e", true))
    retries++;
  print_message ("%u retries, %u of them for new requests\n", retries, of_new);
  assert_true (retries > of_new);
  ca_gateway_finish (gateway);
  return retries;
}

/* Guards against streams that break off and do not go on, since new requests
 * have used up the budget. */
static void
test_streams_that_have_begun (void **state)
{
  (void)state;
  assert_int_equal (retries_of_burst (true), retries_of_burst (false));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_undisturbed),
    cmocka_unit_test (test_restarts_in_turn),
    cmocka_unit_test (test_restart_of_all),
    cmocka_unit_test (test_zones_cut),
    cmocka_unit_test (test_streams_that_have_begun),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
