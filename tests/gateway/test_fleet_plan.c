/* Planned number of endpoints for a given load. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "gateway/fleet_plan.h"

#include <string.h>

static ca_fleet_state_t
three_zones (void)
{
  ca_fleet_state_t state;

  memset (&state, 0, sizeof state);
  state.slots = 64;
  state.cache_tokens = 300000;
  state.min_endpoints = 1;
  state.max_endpoints = 8;
  state.reclaimable_price = 0.22;
  state.traffic_known = true;
  state.zone_count = 3;
  state.zones[0].price = 0.85;
  state.zones[1].price = 1.2;
  state.zones[2].price = 1.0;
  return state;
}

/* Planned endpoints in all zones, without the reclaimable ones of one zone. */
static uint32_t
total (const ca_fleet_target_t *targets, uint32_t without)
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < 3; i++)
    sum += targets[i].on_demand + (i == without ? 0 : targets[i].reclaimable);
  return sum;
}

/* The loss of one zone's reclaimable endpoints leaves enough for any need. */
static void
test_survives_the_loss_of_a_zone (void **state)
{
  ca_fleet_state_t fleet = three_zones ();
  ca_fleet_target_t targets[CA_FLEET_MAX_ZONES];

  (void)state;
  for (uint32_t need = 1; need <= 14; need++)
    {
      ca_fleet_plan (&fleet, need, targets);
      for (uint32_t lost = 0; lost < 3; lost++)
        assert_true (total (targets, lost) >= need);
      assert_int_equal (targets[1].on_demand, 0);
    }
}

/* With no reclaimable endpoints available, on-demand ones cover the rest. */
static void
test_on_demand_fills_in (void **state)
{
  ca_fleet_state_t fleet = three_zones ();
  ca_fleet_target_t targets[CA_FLEET_MAX_ZONES];

  (void)state;
  for (uint32_t i = 0; i < 3; i++)
    fleet.zones[i].reclaimable_unavailable = true;
  fleet.zones[2].reclaimable = 2;
  ca_fleet_plan (&fleet, 6, targets);
  /* The two running may be reclaimed next, so on-demand ones cover the need. */
  assert_int_equal (total (targets, 3), 8);
  assert_int_equal (targets[2].reclaimable, 2);
  assert_true (targets[0].on_demand >= 1);
}

/* A reclaim wave may take three zones within 7 s, which once left 5 of 150
 * endpoints.  During a wave a third of the need is met without any reclaimable
 * endpoints, and all of it without those of one more zone. */
static void
test_survives_a_wave (void **state)
{
  ca_fleet_state_t fleet = three_zones ();
  ca_fleet_target_t targets[CA_FLEET_MAX_ZONES];

  (void)state;
  fleet.max_endpoints = 95;
  fleet.zones[1].reclaimable_unavailable = true;
  for (uint32_t need = 1; need <= 90; need++)
    {
      uint32_t on_demand = 0;

      ca_fleet_plan (&fleet, need, targets);
      for (uint32_t i = 0; i < 3; i++)
        {
          on_demand += targets[i].on_demand;
          assert_true (total (targets, i) >= need);
        }
      assert_true (on_demand * 3 >= need);
    }
}

/* Each zone has at least the minimum and at most the maximum of endpoints. */
static void
test_respects_the_bounds (void **state)
{
  ca_fleet_state_t fleet = three_zones ();
  ca_fleet_target_t targets[CA_FLEET_MAX_ZONES];

  (void)state;
  for (uint32_t need = 0; need <= 60; need++)
    {
      ca_fleet_plan (&fleet, need, targets);
      for (uint32_t i = 0; i < 3; i++)
        {
          assert_true (targets[i].on_demand + targets[i].reclaimable >= 1);
          assert_true (targets[i].on_demand + targets[i].reclaimable <= 8);
        }
    }
}

/* Time, slots and memory can each determine the need. */
static void
test_need (void **state)
{
  ca_fleet_state_t fleet = three_zones ();

  (void)state;
  assert_int_equal (ca_fleet_need (&fleet), 1);
  fleet.busy = 3.0;
  assert_int_equal (ca_fleet_need (&fleet), 5);
  fleet.open = 64 * 4;
  assert_int_equal (ca_fleet_need (&fleet), 8);
  fleet.held_tokens = 300000.0 * 5;
  assert_int_equal (ca_fleet_need (&fleet), 10);
}

/* Before traffic is known, a quarter of the maximum is planned. */
static void
test_initial_need (void **state)
{
  ca_fleet_state_t fleet = three_zones ();

  (void)state;
  fleet.traffic_known = false;
  assert_int_equal (ca_fleet_need (&fleet), 6);
}

/* An endpoint that limits its requests counts for the part of the load that it
 * takes. */
static void
test_replaces_limited_endpoints (void **state)
{
  ca_fleet_state_t fleet = three_zones ();

  (void)state;
  fleet.busy = 3.0;
  fleet.requests_per_s = 50;
  assert_int_equal (ca_fleet_need (&fleet), 5);
  fleet.limited = 2;
  fleet.limited_per_s = 2.6;
  assert_int_equal (ca_fleet_need (&fleet), 7);
  fleet.limited_per_s = 10;
  assert_int_equal (ca_fleet_need (&fleet), 6);
  fleet.limited_per_s = 100;
  assert_int_equal (ca_fleet_need (&fleet), 5);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_survives_the_loss_of_a_zone),
    cmocka_unit_test (test_on_demand_fills_in),
    cmocka_unit_test (test_survives_a_wave),
    cmocka_unit_test (test_respects_the_bounds),
    cmocka_unit_test (test_need),
    cmocka_unit_test (test_initial_need),
    cmocka_unit_test (test_replaces_limited_endpoints),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
