/* Guards against a fleet planner that ends endpoints which a rollout needs: in
 * the middle of it, when the endpoints of both versions look like a surplus, or
 * after its end, when orders for endpoints of the former version look met.
 * Virtual time; the entries' part is replaced by one rollout. */
#include "gateway/rollout_order.h"

#include "cluster.h"
#include "gateway/leader_private.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define START_US (1000 * CA_US_PER_S)
#define SERVICE "s"
#define ZONES 3
#define KINDS 2 /* on demand, reclaimable */

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":"
      "\"/\",\"route_kind\":\"streaming\",\"timeout_ms\":1000,"
      "\"target_latency_ms\":1000,\"service\":\"s\",\"max_attempts\":1}],"
      "\"services\":[{\"name\":\"s\",\"inference_engine\":{\"slots\":64,"
      "\"kv_cache_tokens\":300000},\"scaling\":{\"minimum\":1,\"maximum\":8,"
      "\"boot_time_s\":4.0,\"spot_price\":0.2,\"zone_prices\":{\"z1\":1.0,"
      "\"z2\":1.2,\"z3\":1.1}}}],\"tenants\":[{\"name\":\"w\",\"api_keys\":"
      "[\"k\"]}]}";

static struct
{
  uint64_t now_us;
  ca_gateway_t gateway;
  ca_leader_t leader;
  ca_rollout_progress_t progress;
  bool has_rollout;
  uint32_t running[ZONES][KINDS]; /* listed endpoints, of all versions */
  uint32_t ordered[ZONES][KINDS];
  bool has_order[ZONES][KINDS];
  uint32_t reductions[KINDS]; /* orders for fewer than run or were ordered */
  uint32_t orders;
} world;

static char rollout; /* stands for the rollout */

ca_rollout_t *__wrap_ca_rollout_next (const ca_gateway_t *gateway,
                                      const ca_rollout_t *previous);
ca_rollout_t *__wrap_ca_rollout_find (const ca_gateway_t *gateway,
                                      const char *service);
void __wrap_ca_rollout_progress (ca_gateway_t *gateway,
                                 const ca_rollout_t *found,
                                 ca_rollout_progress_t *progress);

ca_rollout_t *
__wrap_ca_rollout_next (const ca_gateway_t *gateway,
                        const ca_rollout_t *previous)
{
  (void)gateway;
  (void)previous;
  return NULL;
}

ca_rollout_t *
__wrap_ca_rollout_find (const ca_gateway_t *gateway, const char *service)
{
  (void)gateway;
  return world.has_rollout && strcmp (service, SERVICE) == 0
             ? (ca_rollout_t *)&rollout
             : NULL;
}

void
__wrap_ca_rollout_progress (ca_gateway_t *gateway, const ca_rollout_t *found,
                            ca_rollout_progress_t *progress)
{
  (void)gateway;
  (void)found;
  *progress = world.progress;
}

static void
order_scale (void *context, const ca_scale_order_t *order)
{
  size_t zone = (size_t)(order->zone[1] - '1');
  size_t kind = order->reclaimable;

  (void)context;
  if (order->count < world.running[zone][kind]
      || (world.has_order[zone][kind]
          && order->count < world.ordered[zone][kind]))
    world.reductions[kind]++;
  world.ordered[zone][kind] = order->count;
  world.has_order[zone][kind] = true;
  world.orders++;
  ca_leader_order_done (&world.leader, world.now_us, order, CA_CALL_OK);
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  (void)context;
  if (getenv ("NOTES") != NULL)
    print_message ("%.3f %d %s\n", (double)(world.now_us - START_US) / 1e6,
                   (int)event->event, event->detail);
}

/* Lists endpoints of a kind, of numbers `first` to `end` - 1 in each zone, or
 * removes them. */
static void
list_numbers (const char *version, bool reclaimable, uint32_t first,
              uint32_t end, bool listed)
{
  for (uint32_t i = ZONES * first; i < ZONES * end; i++)
    {
      char id[32];
      char zone[] = "z1";
      ca_endpoint_record_t record = { .id = id,
                                      .service = SERVICE,
                                      .zone = zone,
                                      .version = version,
                                      .reclaimable = reclaimable,
                                      .slots = 64,
                                      .started_ms = 1 };

      zone[1] = (char)('1' + i % ZONES);
      snprintf (id, sizeof id, "%s-%d-%u", version, (int)reclaimable,
                (unsigned)i);
      ca_address_parse ("127.0.0.1:80", &record.address);
      if (listed)
        ca_gateway_endpoint_listed (&world.gateway, world.now_us, &record);
      else
        ca_gateway_endpoint_removed (&world.gateway, world.now_us, id);
      world.running[i % ZONES][reclaimable] += listed ? 1 : -1U;
    }
}

/* The same for the first `count` in each zone. */
static void
list_endpoints (const char *version, bool reclaimable, uint32_t count,
                bool listed)
{
  list_numbers (version, reclaimable, 0, count, listed);
}

static void
world_run (uint64_t ms)
{
  uint64_t end_us = world.now_us + ms * CA_US_PER_MS;

  while (world.now_us < end_us)
    {
      world.now_us += CA_GATEWAY_TICK_US;
      world.gateway.now_us = world.now_us;
      ca_fleet_orders_tick (&world.leader);
    }
}

/* Starts with three reclaimable endpoints, the last one ordered by the leader,
 * and one on demand in each zone, and lets `ms` go by. */
static void
world_start (uint64_t ms)
{
  static const ca_gateway_ports_t ports = { .log = on_log };
  const ca_leader_ports_t leader_ports = { .order_scale = order_scale };
  ca_gateway_options_t options;

  memset (&world, 0, sizeof world);
  world.now_us = START_US;
  cluster_options (&options, 0, "z1");
  options.bounds.retry_window_ms = 10000;
  ca_gateway_init (&world.gateway, &options, &ports, world.now_us,
                   world.now_us);
  cluster_configure (&world.gateway, world.now_us, config);
  ca_leader_init (&world.leader, &world.gateway, &leader_ports, false, true);
  world.leader.held = true;
  world.leader.fence = 1;
  world.leader.valid_until_us = UINT64_MAX;
  list_endpoints ("v1", true, 2, true);
  list_endpoints ("v1", false, 1, true);
  world_run (1000);
  list_numbers ("v1", true, 2, 3, true);
  world_run (ms);
  memset (world.reductions, 0, sizeof world.reductions);
}

static void
rollout_start (void)
{
  world.has_rollout = true;
  world.progress = (ca_rollout_progress_t){ .service = SERVICE,
                                            .target = "v2",
                                            .stage = CA_ROLLOUT_CANARY,
                                            .share_permille = 50 };
}

static void
rollout_stage (ca_rollout_stage_t stage, uint32_t share_permille)
{
  world.progress.stage = stage;
  world.progress.share_permille = share_permille;
}

static void
world_end (void)
{
  ca_leader_finish (&world.leader);
  ca_gateway_finish (&world.gateway);
}

/* A surplus is ended, but not while a rollout runs. */
static void
test_running (void **state)
{
  (void)state;
  for (int runs = 0; runs <= 1; runs++)
    {
      /* The surplus on demand has not lasted for long enough yet. */
      world_start (3000);
      if (runs)
        rollout_start ();
      list_endpoints ("v2", false, 4, true);
      world_run (20000);
      rollout_stage (CA_ROLLOUT_SHIFT, 250);
      world_run (10000);
      rollout_stage (CA_ROLLOUT_SHIFT, 1000);
      world_run (10000);
      rollout_stage (CA_ROLLOUT_DRAIN, 1000);
      world_run (10000);
      assert_int_equal (world.reductions[0] + world.reductions[1] == 0, runs);
      world_end ();
    }
}

/* After the end the target's endpoints, all on demand, are kept until
 * reclaimable ones run in their place. */
static void
test_completed (void **state)
{
  uint32_t reclaimable = 0;

  (void)state;
  world_start (20000);
  rollout_start ();
  list_endpoints ("v2", false, 4, true);
  world_run (6000);
  rollout_stage (CA_ROLLOUT_DRAIN, 1000);
  world_run (5000);
  rollout_stage (CA_ROLLOUT_COMPLETED, 1000);
  world_run (500);
  list_endpoints ("v1", true, 3, false);
  list_endpoints ("v1", false, 1, false);
  memset (world.reductions, 0, sizeof world.reductions);
  world_run (3000);
  assert_int_equal (world.reductions[0], 0);
  for (size_t i = 0; i < ZONES; i++)
    reclaimable += world.ordered[i][1];
  assert_true (reclaimable > 0);
  list_endpoints ("v2", true, 3, true);
  world_run (30000);
  assert_true (world.reductions[0] > 0);
  world_end ();
}

/* After a target was reverted its endpoints do not count, so that the
 * reclaimable ones of the old version are kept. */
static void
test_reverted (void **state)
{
  (void)state;
  world_start (20000);
  rollout_start ();
  list_endpoints ("v2", false, 4, true);
  world_run (6000);
  rollout_stage (CA_ROLLOUT_REVERTED, 0);
  world_run (30000);
  assert_int_equal (world.reductions[1], 0);
  world_end ();
}

/* More endpoints are ordered while a rollout runs: those that were reclaimed
 * are replaced. */
static void
test_replaced (void **state)
{
  uint32_t before;

  (void)state;
  world_start (20000);
  rollout_start ();
  list_endpoints ("v2", false, 4, true);
  world_run (1000);
  before = world.orders;
  list_endpoints ("v1", true, 3, false);
  world_run (15000);
  assert_true (world.orders > before);
  assert_int_equal (world.reductions[0] + world.reductions[1], 0);
  world_end ();
}

/* The versions that the planner counts at each stage. */
static void
test_carrying (void **state)
{
  static const struct
  {
    ca_rollout_stage_t stage;
    uint32_t share_permille;
    bool runs;
    bool at_target;
  } rows[] = {
    { CA_ROLLOUT_STAGE_UNKNOWN, 0, true, false },
    { CA_ROLLOUT_CANARY, 50, true, false },
    { CA_ROLLOUT_SHIFT, 250, true, false },
    { CA_ROLLOUT_SHIFT, 500, true, false },
    { CA_ROLLOUT_SHIFT, 1000, true, true },
    { CA_ROLLOUT_DRAIN, 1000, true, true },
    { CA_ROLLOUT_COMPLETED, 1000, false, true },
    { CA_ROLLOUT_REVERTED, 0, false, false },
  };
  char v1[] = "v1";
  char v2[] = "v2";
  const ca_gateway_endpoint_t old = { .version = v1 };
  const ca_gateway_endpoint_t target = { .version = v2 };
  ca_rollout_traffic_t traffic;

  (void)state;
  memset (&world, 0, sizeof world);
  ca_rollout_traffic (&world.gateway, SERVICE, &traffic);
  assert_true (ca_rollout_carries (&traffic, &old));
  assert_true (ca_rollout_carries (&traffic, &target));
  rollout_start ();
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      rollout_stage (rows[i].stage, rows[i].share_permille);
      ca_rollout_traffic (&world.gateway, SERVICE, &traffic);
      assert_int_equal (traffic.runs, rows[i].runs);
      assert_int_equal (ca_rollout_carries (&traffic, &old),
                        !rows[i].at_target);
      assert_int_equal (ca_rollout_carries (&traffic, &target),
                        rows[i].at_target);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_carrying),  cmocka_unit_test (test_running),
    cmocka_unit_test (test_completed), cmocka_unit_test (test_reverted),
    cmocka_unit_test (test_replaced),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
