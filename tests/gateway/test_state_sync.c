/* Freshness of stored data, watched tables, invalid records and configurations,
 * and settings. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "gateway/freshness.h"
#include "gateway/watch.h"
#include "platform/config.h"
#include "platform/records.h"
#include "platform/settings.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MS CA_US_PER_MS

/* A validation is never newer than the time at which the store read its clock,
 * whatever the network delays. */
static void
test_validation_is_never_too_new (void **state)
{
  ca_freshness_t freshness;
  uint64_t ours = UINT64_C (50000000);

  (void)state;
  ca_freshness_init (&freshness);
  srand (3);
  for (int i = 0; i < 2000; i++)
    {
      uint64_t sent = ours;
      uint64_t read = sent + (uint64_t)(rand () % 400) * MS;

      ours = read + (uint64_t)(rand () % 400) * MS;
      ca_freshness_from_store (&freshness, sent, read + 777 * CA_US_PER_S);
      assert_true (ca_freshness_age_us (&freshness, ours) >= ours - read);
      assert_true (ca_freshness_age_us (&freshness, ours) <= ours - sent);
      ours += (uint64_t)(rand () % 100) * MS;
    }
}

/* After the store's clock was reset, a validation is no newer than the call. */
static void
test_validation_after_a_clock_reset (void **state)
{
  ca_freshness_t freshness;

  (void)state;
  ca_freshness_init (&freshness);
  ca_freshness_from_store (&freshness, 10000 * MS, 900000 * MS);
  ca_freshness_from_store (&freshness, 20000 * MS, 50 * MS);
  assert_int_equal (ca_freshness_age_us (&freshness, 20100 * MS), 100 * MS);
}

static void
test_validation_from_a_peer (void **state)
{
  ca_freshness_t freshness;

  (void)state;
  ca_freshness_init (&freshness);
  ca_freshness_from_peer (&freshness, 5000 * MS, 100 * MS);
  assert_false (freshness.known);
  ca_freshness_from_store (&freshness, 1000 * MS, 1000 * MS);
  ca_freshness_from_peer (&freshness, 5000 * MS, 700 * MS);
  assert_int_equal (ca_freshness_age_us (&freshness, 6000 * MS), 1700 * MS);
  ca_freshness_from_peer (&freshness, 5000 * MS, 2000 * MS);
  assert_int_equal (ca_freshness_age_us (&freshness, 6000 * MS), 1700 * MS);
}

typedef struct
{
  int lists;
  int feeds;
  int cancelled;
} calls_t;

static void
on_list (void *context, ca_watch_t *watch)
{
  (void)watch;
  ((calls_t *)context)->lists++;
}

static void
on_feed (void *context, ca_watch_t *watch)
{
  (void)watch;
  ((calls_t *)context)->feeds++;
}

static void
test_watch (void **state)
{
  calls_t calls = { 0, 0, 0 };
  ca_watch_t watch;

  (void)state;
  ca_watch_init (&watch, "t", 0, 10000, 250, on_list, on_feed, &calls);
  ca_watch_tick (&watch, 0);
  assert_int_equal (calls.lists, 1);
  ca_watch_done (&watch, 0, CA_WATCH_OK, 7, true, 0);
  ca_watch_tick (&watch, 100 * MS);
  assert_int_equal (calls.feeds, 0);
  ca_watch_tick (&watch, 250 * MS);
  assert_int_equal (calls.feeds, 1);
  assert_int_equal (watch.call_wait_ms, 10000);
  ca_watch_done (&watch, 300 * MS, CA_WATCH_OK, 5, false, 0);
  assert_int_equal (watch.after, 7);
  assert_int_equal (calls.feeds, 2);
  /* The history is compacted, so the whole list is read again. */
  ca_watch_done (&watch, 400 * MS, CA_WATCH_COMPACTED, 0, false, 0);
  ca_watch_tick (&watch, 400 * MS);
  assert_int_equal (calls.lists, 2);
}

/* Versions of a store that came back from an older copy are lower, and a change
 * at one that was known before is not missed. */
static void
test_watch_restarts_from_an_older_copy (void **state)
{
  calls_t calls = { 0, 0, 0 };
  ca_watch_t watch;

  (void)state;
  ca_watch_init (&watch, "t", 0, 10000, 250, on_list, on_feed, &calls);
  ca_watch_tick (&watch, 0);
  ca_watch_done (&watch, 0, CA_WATCH_OK, 100, true, 0);
  ca_watch_tick (&watch, 250 * MS);
  assert_true (watch.busy);
  ca_watch_restart (&watch, 300 * MS);
  ca_watch_tick (&watch, 299 * MS);
  assert_false (watch.busy);
  assert_false (ca_watch_apply_update (&watch, 90, 120, 0, true));
  ca_watch_tick (&watch, 300 * MS);
  assert_int_equal (calls.lists, 2);
  ca_watch_done (&watch, 310 * MS, CA_WATCH_OK, 60, true, 0);
  assert_int_equal (watch.after, 60);
  assert_true (ca_watch_apply_update (&watch, 60, 61, 0, true));
}

/* A call in flight must not delay the detection of the store's recovery: with
 * its full timeout an entry noticed it 3 s late. */
static void
test_watch_notices_recovery_soon (void **state)
{
  calls_t calls = { 0, 0, 0 };
  ca_watch_t watch;
  uint64_t now_us = 0;
  uint64_t longest_us = 0;

  (void)state;
  ca_watch_init (&watch, "t", 0, 10000, 250, on_list, on_feed, &calls);
  ca_watch_tick (&watch, now_us);
  ca_watch_done (&watch, now_us, CA_WATCH_OK, 1, false, 0);
  for (int i = 0; i < 20; i++)
    {
      uint64_t begun_us;

      ca_watch_done (&watch, now_us, CA_WATCH_FAILED, 0, false, 0);
      now_us = watch.next_us;
      ca_watch_tick (&watch, now_us);
      begun_us = now_us;
      assert_int_equal (watch.call_wait_ms, 0);
      now_us += watch.call_timeout_ms * MS;
      if (i % 2 == 0 && now_us - begun_us > longest_us)
        longest_us = now_us - begun_us;
    }
  assert_true (ca_watch_is_down (&watch));
  assert_true (longest_us <= 700 * MS);
}

static void
on_cancel (void *context, ca_watch_t *watch)
{
  (void)watch;
  ((calls_t *)context)->cancelled++;
}

/* A late reader's update, which is older than a follower's call, must not end
 * it. */
static void
test_watch_keeps_call_newer_than_update (void **state)
{
  calls_t calls = { 0, 0, 0 };
  ca_watch_t watch;

  (void)state;
  ca_watch_init (&watch, "t", 0, 10000, 250, on_list, on_feed, &calls);
  watch.cancel = on_cancel;
  ca_watch_tick (&watch, 0);
  ca_watch_done (&watch, 0, CA_WATCH_OK, 7, true, 0);
  watch.role = CA_WATCH_FOLLOWER;
  ca_watch_tick (&watch, 5000 * MS);
  assert_true (watch.busy);
  ca_watch_apply_update (&watch, 7, 7, 4000 * MS, false);
  assert_true (watch.busy);
  assert_int_equal (calls.cancelled, 0);
  ca_watch_apply_update (&watch, 7, 7, 5001 * MS, false);
  assert_false (watch.busy);
  assert_int_equal (calls.cancelled, 1);
}

static bool
record_is_valid (const char *text)
{
  json_t *json = json_loads (text, JSON_DECODE_ANY, NULL);
  ca_endpoint_record_t record;
  bool result = json != NULL && ca_records_parse_endpoint ("id", json, &record);

  json_decref (json);
  return result;
}

static void
test_endpoint_records (void **state)
{
  (void)state;
  assert_true (
      record_is_valid ("{\"service\":\"s\",\"zone\":\"z\",\"address\":"
                       "\"10.0.0.1:80\",\"state\":\"ready\",\"born\":5}"));
  assert_true (
      record_is_valid ("{\"service\":\"s\",\"zone\":\"z\",\"address\":"
                       "\"10.0.0.1:80\",\"state\":\"draining\",\"slots\":8}"));
  assert_false (record_is_valid (
      "{\"service\":\"s\",\"zone\":\"z\",\"address\":"
      "\"10.0.0.1:80\",\"state\":\"draining\",\"slots\":\"x\"}"));
  assert_false (
      record_is_valid ("{\"service\":\"s\",\"zone\":\"z\",\"address\":"
                       "\"10.0.0.1:80\",\"state\":\"asleep\"}"));
  assert_false (record_is_valid ("{\"service\":\"s\",\"state\":\"ready\"}"));
  assert_false (record_is_valid ("{\"service\":7,\"zone\":\"z\",\"address\":"
                                 "\"10.0.0.1:80\",\"state\":\"ready\"}"));
  assert_false (record_is_valid ("{\"service\":\"s\",\"address\":\"nowhere\","
                                 "\"state\":\"ready\"}"));
  assert_false (record_is_valid ("[1,2]"));
  assert_false (record_is_valid ("\"ready\""));
}

static void
test_config_that_cannot_be_read (void **state)
{
  static const char *const texts[]
      = { "", "{", "[]", "{\"version\":\"7\"}", "{\"routes\":[]}" };
  ca_error_t error;

  (void)state;
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      ca_error_init (&error);
      assert_null (ca_config_parse (texts[i], strlen (texts[i]), &error));
      assert_int_equal (error.kind, CA_ERROR_BAD_INTENT);
    }
}

static const char settings_text[]
    = "node_name=frontend-1\nzone=z1\nip_address=10.1.0.14\n"
      "internal_port_range=7600,7615\n"
      "listen_addresses.frontend_addr=10.1.0.14:8221\n"
      "listen_addresses.ready=10.1.0.14:8224\n"
      "platform.address=10.200.1.7:8225\ncloud_api.address=10.200.0.35:8225\n"
      "cloud_api.duties=usage_reporting,autoscaling\n"
      "bounds.config_propagation_ms=2000\nbounds.grace_period_s=8\n"
      "bounds.retry_window_s=10\nunknown.field=x\n";

static bool
read_settings (const char *text, ca_platform_settings_t *settings,
               ca_error_t *error)
{
  char path[] = "/tmp/camphorarch-settings-XXXXXX";
  int fd = mkstemp (path);
  bool result;

  assert_true (fd >= 0);
  assert_int_equal (write (fd, text, strlen (text)), strlen (text));
  close (fd);
  ca_error_init (error);
  result = ca_platform_settings_read (settings, path, error);
  unlink (path);
  return result;
}

static void
test_settings (void **state)
{
  ca_platform_settings_t settings;
  ca_error_t error;

  (void)state;
  assert_true (read_settings (settings_text, &settings, &error));
  assert_string_equal (settings.name, "frontend-1");
  assert_int_equal (settings.peers.port, 7600);
  assert_int_equal (settings.callers.port, 8221);
  assert_int_equal (settings.bounds.grace_ms, 8000);
  assert_int_equal (settings.bounds.retry_window_ms, 10000);
  assert_true (settings.reports_usage && settings.orders_scale);
}

/* All errors in the settings are reported in one run. */
static void
test_settings_faults (void **state)
{
  ca_platform_settings_t settings;
  ca_error_t error;

  (void)state;
  assert_false (
      read_settings ("zone=z1\nplatform.address=here\n", &settings, &error));
  assert_int_equal (error.kind, CA_ERROR_BAD_SETTING);
  assert_non_null (strstr (error.message, "node_name: missing"));
  assert_non_null (strstr (error.message, "platform.address: 'here'"));
  ca_error_init (&error);
  assert_false (ca_platform_settings_read (&settings, NULL, &error));
  assert_non_null (strstr (error.message, "CAMPHORARCH_BOOT"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_validation_is_never_too_new),
    cmocka_unit_test (test_validation_after_a_clock_reset),
    cmocka_unit_test (test_validation_from_a_peer),
    cmocka_unit_test (test_watch),
    cmocka_unit_test (test_watch_restarts_from_an_older_copy),
    cmocka_unit_test (test_watch_notices_recovery_soon),
    cmocka_unit_test (test_watch_keeps_call_newer_than_update),
    cmocka_unit_test (test_endpoint_records),
    cmocka_unit_test (test_config_that_cannot_be_read),
    cmocka_unit_test (test_settings),
    cmocka_unit_test (test_settings_faults),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
