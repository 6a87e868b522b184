/* The cost of a request to the others at an engine. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/clock.h"
#include "gateway/interference.h"

#include <math.h>

#define MS(n) ((n) * (double)CA_US_PER_MS)
#define GAP MS (400)

static double
cost (double streams, double reading_share, double read_us, double events)
{
  ca_interference_place_t place = { streams, reading_share };
  ca_interference_request_t request = { read_us, events };

  return ca_interference_cost_us (&place, &request, GAP);
}

/* A long prompt must not look as cheap beside ten streams as at an engine
 * without any, and the slower engine must cost more. */
static void
test_long_prompt (void **state)
{
  (void)state;
  assert_true (cost (0, 0, MS (400), 0) == 0);
  assert_true (fabs (cost (10, 0, MS (400), 0) - 10 * GAP) < 1);
  assert_true (cost (10, 0, MS (240), 0) < cost (10, 0, MS (400), 0) / 2);
  assert_true (cost (10, 0, MS (240), 0) > cost (3, 0, MS (240), 0));
  assert_true (cost (1, 0, MS (4000), 0) <= GAP);
}

/* Short prompts stop no stream: chats must go where they did before. */
static void
test_short_prompt (void **state)
{
  (void)state;
  assert_true (cost (30, 0, MS (60), 0) == 0);
  assert_true (cost (30, 0, 0, 0) == 0);
}

/* A long stream must avoid engines that read much; the cost is bounded, so that
 * it is not sent to one whose queue makes it late for certain. */
static void
test_long_stream (void **state)
{
  (void)state;
  assert_true (cost (0, 0.6, 0, 56) > cost (0, 0.1, 0, 56));
  assert_true (cost (0, 0.6, 0, 56) > cost (0, 0.6, 0, 5));
  assert_true (cost (0, 0, 0, 56) == 0);
  assert_true (cost (0, 5, 0, 100000) <= GAP);
}

static void
test_condition (void **state)
{
  ca_interference_place_t place = { 10, 0.5 };
  ca_interference_request_t request = { MS (400), 56 };

  (void)state;
  assert_true (ca_interference_is_likely (MS (240), GAP));
  assert_false (ca_interference_is_likely (MS (190), GAP));
  assert_false (ca_interference_is_likely (MS (240), 0));
  assert_true (ca_interference_cost_us (&place, &request, 0) == 0);
}

/* The rate must settle at what is read, and fade when nothing is. */
static void
test_rate (void **state)
{
  ca_interference_rate_t rate = { .per_s = 0 };
  uint64_t now_us = CA_US_PER_S;

  (void)state;
  assert_true (ca_interference_rate (&rate, now_us) == 0);
  for (int i = 0; i < 100; i++)
    {
      now_us += 100 * CA_US_PER_MS;
      ca_interference_rate_add (&rate, now_us, 900);
    }
  assert_true (fabs (ca_interference_rate (&rate, now_us) - 9000) < 600);
  assert_true (ca_interference_rate (&rate, now_us + 10 * CA_US_PER_S) < 100);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_long_prompt), cmocka_unit_test (test_short_prompt),
    cmocka_unit_test (test_long_stream), cmocka_unit_test (test_condition),
    cmocka_unit_test (test_rate),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
