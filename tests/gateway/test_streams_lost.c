/* Guards against streams that are refused, while several versions of their
 * endpoints serve side by side, since all that knew which version began them
 * ended with their entry. */
#include "streaming_fleet.h"

/* Without the store's table of streams. */
static void
check_kills (streaming_fleet_t fleet)
{
  fleet.versions_fixed = true;
  fleet.kill_period_us = 4500 * CA_US_PER_MS;
  streaming_fleet_check (&fleet);
}

static void
check_kills_with_store (streaming_fleet_t fleet)
{
  fleet.stores_streams = true;
  check_kills (fleet);
}

static void
test_two_versions_most_entries_killed (void **state)
{
  (void)state;
  check_kills ((streaming_fleet_t){ STREAMING_FLEET_SMALL, .kill_spares = 1 });
  check_kills ((streaming_fleet_t){ STREAMING_FLEET_LARGE, .kill_spares = 10 });
}

static void
test_huge_fleet_most_entries_killed (void **state)
{
  (void)state;
  check_kills ((streaming_fleet_t){ STREAMING_FLEET_HUGE, .kill_spares = 30 });
}

static void
test_store_away_most_entries_killed (void **state)
{
  (void)state;
  check_kills ((streaming_fleet_t){
      STREAMING_FLEET_SMALL, .stores_streams = true,
      .store_away_us = 3 * CA_US_PER_S, .kill_spares = 1 });
  check_kills ((streaming_fleet_t){
      STREAMING_FLEET_LARGE, .stores_streams = true,
      .store_away_us = 3 * CA_US_PER_S, .kill_spares = 8 });
}

static void
test_shares_killed (void **state)
{
  (void)state;
  check_kills_with_store (
      (streaming_fleet_t){ STREAMING_FLEET_SMALL, .kill_count = 1 });
  check_kills_with_store (
      (streaming_fleet_t){ STREAMING_FLEET_SMALL, .kill_count = 4 });
  check_kills_with_store (
      (streaming_fleet_t){ STREAMING_FLEET_SMALL, .kill_spares = 1 });
  check_kills_with_store (
      (streaming_fleet_t){ STREAMING_FLEET_SMALL, .kills_zone = true });
  check_kills_with_store (
      (streaming_fleet_t){ STREAMING_FLEET_LARGE, .kills_zone = true });
  check_kills_with_store (
      (streaming_fleet_t){ STREAMING_FLEET_LARGE, .kill_spares = 1 });
  check_kills_with_store (
      (streaming_fleet_t){ STREAMING_FLEET_HUGE, .kill_spares = 1 });
}

static void
test_three_versions (void **state)
{
  (void)state;
  check_kills_with_store ((streaming_fleet_t){
      STREAMING_FLEET_SMALL, .version_count = 3, .kill_spares = 1 });
  check_kills_with_store ((streaming_fleet_t){
      STREAMING_FLEET_LARGE, .version_count = 3, .kill_spares = 8 });
}

/* Nothing but the store knows of the streams, which are taken up at entries
 * that have just started. */
static void
test_all_entries_killed (void **state)
{
  (void)state;
  check_kills_with_store ((streaming_fleet_t){
      STREAMING_FLEET_SMALL, .kill_count = 8, .checks_early = true });
  check_kills_with_store ((streaming_fleet_t){
      STREAMING_FLEET_LARGE, .kill_count = 82, .checks_early = true });
  check_kills_with_store ((streaming_fleet_t){
      STREAMING_FLEET_HUGE, .kill_count = 300, .checks_early = true });
}

/* Versions join and end while entries are killed. */
static void
test_versions_come_and_go (void **state)
{
  static const streaming_fleet_t small
      = { STREAMING_FLEET_SMALL, .stores_streams = true,
          .kill_period_us = 4500 * CA_US_PER_MS, .kill_spares = 1 };
  static const streaming_fleet_t large
      = { STREAMING_FLEET_LARGE, .stores_streams = true,
          .kill_period_us = 4500 * CA_US_PER_MS, .kill_spares = 8 };
  static const streaming_fleet_t cut
      = { STREAMING_FLEET_SMALL,
          .stores_streams = true,
          .cut_period_us = 9 * CA_US_PER_S,
          .kill_period_us = 700 * CA_US_PER_MS,
          .kill_count = 1,
          .crash_period_us = 500 * CA_US_PER_MS };

  (void)state;
  streaming_fleet_check (&small);
  streaming_fleet_check (&large);
  streaming_fleet_check (&cut);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_two_versions_most_entries_killed),
    cmocka_unit_test (test_huge_fleet_most_entries_killed),
    cmocka_unit_test (test_store_away_most_entries_killed),
    cmocka_unit_test (test_shares_killed),
    cmocka_unit_test (test_three_versions),
    cmocka_unit_test (test_all_entries_killed),
    cmocka_unit_test (test_versions_come_and_go),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
