/* Tests of settings, addresses, clocks, errors, counters and events. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/counters.h"
#include "base/events.h"
#include "base/settings.h"

#include <stdlib.h>
#include <string.h>

static void
test_every_bad_setting_is_reported (void **state)
{
  ca_settings_t settings;
  ca_error_t error;

  (void)state;
  ca_error_init (&error);
  ca_settings_init (&settings);
  ca_settings_set (&settings, CA_SETTING_CALLERS, "localhost", CA_SOURCE_FLAG);
  ca_settings_set (&settings, CA_SETTING_MAX_REQUESTS, "0", CA_SOURCE_FLAG);
  ca_settings_set (&settings, CA_SETTING_LOG_LEVEL, "loud", CA_SOURCE_FLAG);
  assert_false (ca_settings_check (&settings, &error));
  assert_int_equal (error.kind, CA_ERROR_BAD_SETTING);
  assert_non_null (strstr (error.message, "--name is missing"));
  assert_non_null (strstr (error.message, "--callers: 'localhost'"));
  assert_non_null (strstr (error.message, "--max-requests: '0'"));
  assert_non_null (strstr (error.message, "--log-level: 'loud'"));
}

static void
test_flag_overrides_environment (void **state)
{
  ca_settings_t settings;

  (void)state;
  setenv ("CAMPHORARCH_ZONE", "from-environment", 1);
  ca_settings_init (&settings);
  unsetenv ("CAMPHORARCH_ZONE");
  assert_string_equal (ca_settings_text (&settings, CA_SETTING_ZONE),
                       "from-environment");
  ca_settings_set (&settings, CA_SETTING_ZONE, "from-flag", CA_SOURCE_FLAG);
  assert_string_equal (ca_settings_text (&settings, CA_SETTING_ZONE),
                       "from-flag");
}

static void
test_address_parse_and_print (void **state)
{
  static const char *const invalid[]
      = { "",           ":1",          "127.0.0.1",
          "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
          "host:80",    "1.2.3.4.5:6" };
  ca_address_t address;
  char text[CA_ADDRESS_BYTES];

  (void)state;
  for (size_t i = 0; i < sizeof invalid / sizeof invalid[0]; i++)
    assert_false (ca_address_parse (invalid[i], &address));
  assert_true (ca_address_parse ("10.1.2.3:8100", &address));
  ca_address_print (&address, text);
  assert_string_equal (text, "10.1.2.3:8100");
}

static void
test_clock_is_monotonic (void **state)
{
  ca_hlc_t hlc;
  uint64_t first;
  uint64_t second;

  (void)state;
  ca_hlc_init (&hlc);
  first = ca_hlc_now (&hlc, 1000);
  second = ca_hlc_now (&hlc, 900);
  assert_true (second > first);
  ca_hlc_observe (&hlc, ca_hlc_now (&hlc, 5000) + 10, 1000);
  assert_true (ca_hlc_wall_us (ca_hlc_now (&hlc, 1000)) >= 5000);
}

static void
test_clock_ignores_stamp_far_ahead (void **state)
{
  ca_hlc_t hlc;

  (void)state;
  ca_hlc_init (&hlc);
  ca_hlc_observe (&hlc, UINT64_MAX / 2, 1000);
  assert_int_equal (ca_hlc_wall_us (ca_hlc_now (&hlc, 1000)), 1000);
}

static void
test_first_error_is_kept (void **state)
{
  ca_error_t error;

  (void)state;
  ca_error_init (&error);
  ca_error_set (&error, CA_ERROR_IO, "first");
  ca_error_set (&error, CA_ERROR_DEADLINE, "second");
  assert_int_equal (error.kind, CA_ERROR_IO);
  assert_string_equal (error.message, "first");
}

static void
test_histogram_counts_every_observation (void **state)
{
  ca_counters_t counters;
  uint64_t total = 0;

  (void)state;
  ca_counters_init (&counters);
  ca_counters_observe (&counters, CA_LATENCY_FIRST_TOKEN, 1);
  ca_counters_observe (&counters, CA_LATENCY_FIRST_TOKEN, 1500);
  ca_counters_observe (&counters, CA_LATENCY_FIRST_TOKEN, UINT64_MAX / 2);
  for (size_t i = 0; i < CA_HISTOGRAM_BUCKETS; i++)
    total += counters.latencies[CA_LATENCY_FIRST_TOKEN].buckets[i];
  assert_int_equal (total, 3);
}

static void
test_event_is_found_by_number (void **state)
{
  (void)state;
  assert_string_equal (ca_event_info (CA_EVENT_STORE_DOWN)->name, "store_down");
  assert_null (ca_event_info ((ca_event_number_t)1));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_every_bad_setting_is_reported),
    cmocka_unit_test (test_flag_overrides_environment),
    cmocka_unit_test (test_address_parse_and_print),
    cmocka_unit_test (test_clock_is_monotonic),
    cmocka_unit_test (test_clock_ignores_stamp_far_ahead),
    cmocka_unit_test (test_first_error_is_kept),
    cmocka_unit_test (test_histogram_counts_every_observation),
    cmocka_unit_test (test_event_is_found_by_number),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
