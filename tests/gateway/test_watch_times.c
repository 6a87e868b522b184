/* Guards against waits and time limits whose sum exceeds the bound that they
 * serve. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "gateway/gateway.h"
#include "gateway/validation_times.h"
#include "gateway/watch_times.h"

/* Bounds of the sites' sheets, and shorter and longer ones. */
static const uint32_t bounds_ms[] = { 1000, 2000, 3000, 6000 };

#define BOUNDS (sizeof bounds_ms / sizeof bounds_ms[0])

/* A request that is being connected is taken back with the next tick. */
#define TAKE_BACK_MS (CA_GATEWAY_TICK_US / CA_US_PER_MS)

static void
test_lost_answer (void **state)
{
  (void)state;
  for (size_t i = 0; i < BOUNDS; i++)
    {
      ca_watch_times_t times;

      ca_watch_times_init (&times, bounds_ms[i]);
      assert_true (ca_watch_times_call_ms (&times) + TAKE_BACK_MS
                   <= bounds_ms[i]);
    }
}

static void
test_silent_reader (void **state)
{
  (void)state;
  for (size_t i = 0; i < BOUNDS; i++)
    {
      ca_watch_times_t times;

      ca_watch_times_init (&times, bounds_ms[i]);
      assert_true (ca_watch_times_follow_ms (&times) + TAKE_BACK_MS
                   <= bounds_ms[i]);
    }
}

/* Deputies ask one after the other, before the others, and in time. */
static void
test_deputies (void **state)
{
  (void)state;
  for (size_t i = 0; i < BOUNDS; i++)
    {
      ca_watch_times_t times;

      ca_watch_times_init (&times, bounds_ms[i]);
      assert_true (ca_watch_times_deputy_ms (&times) + TAKE_BACK_MS
                   <= bounds_ms[i]);
      assert_true (ca_watch_times_silence_ms (&times, 1)
                   >= 2 * times.update_ms);
      for (uint32_t rank = 1; rank < CA_WATCH_DEPUTIES; rank++)
        {
          assert_true (ca_watch_times_silence_ms (&times, rank)
                       < ca_watch_times_silence_ms (&times, rank + 1));
          assert_true (ca_watch_times_max_age_ms (&times, rank)
                       < ca_watch_times_max_age_ms (&times, rank + 1));
        }
      assert_true (ca_watch_times_max_age_ms (&times, CA_WATCH_DEPUTIES + 1)
                   >= ca_watch_times_max_age_ms (&times, CA_WATCH_DEPUTIES));
      assert_true (times.hold_ms + times.update_ms / 2
                   < ca_watch_times_max_age_ms (&times, 1));
    }
}

/* A reader whose call is held to its end is not taken for silent. */
static void
test_held_call_is_recent (void **state)
{
  (void)state;
  for (size_t i = 0; i < BOUNDS; i++)
    {
      ca_watch_times_t times;

      ca_watch_times_init (&times, bounds_ms[i]);
      assert_true (times.hold_ms + times.update_ms < times.max_age_ms);
    }
}

/* The sheets' bound on the revocation of keys. */
#define REVOCATION_US (5000 * CA_US_PER_MS)

/* A lost answer does not let requests with a key be refused. */
static void
test_validation_is_renewed_in_time (void **state)
{
  (void)state;
  assert_true (CA_VALIDATION_LATE_US + CA_VALIDATION_MARGIN_US
               <= REVOCATION_US);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lost_answer),
    cmocka_unit_test (test_silent_reader),
    cmocka_unit_test (test_deputies),
    cmocka_unit_test (test_held_call_is_recent),
    cmocka_unit_test (test_validation_is_renewed_in_time),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
