/* Guards against rows of another writer that end an entry, or name an endpoint
 * that is none. */
#include "platform/config.h"
#include "platform/records.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define NESTED_LEVELS 60000

/* A usable row but for one field, which replaces the last one of the same
 * name. */
#define ENDPOINT_ROW(field)                                                    \
  "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\","            \
  "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"born\":1700000000000," \
  "\"leaves_ms\":0," field "}"

static bool
is_usable (const char *id, const char *text)
{
  json_t *row = json_loads (text, 0, NULL);
  ca_endpoint_record_t record;
  bool usable = row != NULL && ca_records_parse_endpoint (id, row, &record);

  json_decref (row);
  return usable;
}

static void
test_usable_endpoints (void **state)
{
  static const char *const rows[] = {
    "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"state\":\"ready\"}",
    ENDPOINT_ROW ("\"sequence\":1"),
    ENDPOINT_ROW ("\"slots\":4294967295"),
    ENDPOINT_ROW ("\"slots\":8.0"),
    ENDPOINT_ROW ("\"leaves_ms\":1500.5"),
    ENDPOINT_ROW ("\"state\":\"draining\""),
    ENDPOINT_ROW ("\"unknown\":{\"a\":[1e300]}"),
  };

  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      if (!is_usable ("i-1", rows[i]))
        fail_msg ("not usable: %s", rows[i]);
    }
}

static void
test_odd_endpoints (void **state)
{
  static const char *const rows[] = {
    "[]",
    "{}",
    ENDPOINT_ROW ("\"slots\":4294967376"),
    ENDPOINT_ROW ("\"slots\":18446744073709551617"),
    ENDPOINT_ROW ("\"slots\":1e300"),
    ENDPOINT_ROW ("\"slots\":1e999"),
    ENDPOINT_ROW ("\"slots\":-1"),
    ENDPOINT_ROW ("\"slots\":\"8\""),
    ENDPOINT_ROW ("\"leaves_ms\":1e300"),
    ENDPOINT_ROW ("\"leaves_ms\":[]"),
    ENDPOINT_ROW ("\"born\":-1"),
    ENDPOINT_ROW ("\"born\":1e300"),
    ENDPOINT_ROW ("\"born\":\"now\""),
    ENDPOINT_ROW ("\"address\":\"127.0.0.1:99999\""),
    ENDPOINT_ROW ("\"address\":\"127.0.0.1:-1\""),
    ENDPOINT_ROW ("\"address\":\"127.0.0.1:4294967376\""),
    ENDPOINT_ROW ("\"address\":\"127.0.0.1:0\""),
    ENDPOINT_ROW ("\"address\":{\"ip\":1}"),
    ENDPOINT_ROW ("\"state\":\"resting\""),
    ENDPOINT_ROW ("\"service\":7"),
    ENDPOINT_ROW ("\"version\":7"),
    ENDPOINT_ROW ("\"zone\":[\"z\"]"),
  };
  static const char *const ids[] = {
    "", "a b", "a\r\nHost: b", "a\tb", "a\x7f", "\xc3\xa9",
  };

  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      if (is_usable ("i-1", rows[i]))
        fail_msg ("usable: %s", rows[i]);
    }
  for (size_t i = 0; i < sizeof ids / sizeof ids[0]; i++)
    {
      if (is_usable (ids[i], ENDPOINT_ROW ("\"sequence\":1")))
        fail_msg ("usable as \"%s\"", ids[i]);
    }
}

static void
test_nested_endpoint (void **state)
{
  char *text = malloc (2 * NESTED_LEVELS + 64);
  char *at = text + sprintf (text, "{\"service\":");

  (void)state;
  memset (at, '[', NESTED_LEVELS);
  memset (at + NESTED_LEVELS, ']', NESTED_LEVELS);
  memcpy (at + 2 * (size_t)NESTED_LEVELS, "}", sizeof "}");
  assert_false (is_usable ("i-1", text));
  free (text);
}

/* Numbers that do not fit are read as the largest or the default. */
static void
test_odd_configuration (void **state)
{
  static const char text[]
      = "{\"version\":3,\"services\":[{\"name\":\"s\",\"inference_engine\":"
        "{\"slots\":1e300,\"kv_cache_tokens\":4294967296,\"link_mbps\":-1},"
        "\"scaling\":{\"minimum\":-5,\"maximum\":1e300,\"boot_time_s\":1e300,"
        "\"zone_prices\":{\"z\":\"x\"}}},{\"name\":\"t\",\"scaling\":"
        "{\"boot_time_s\":-1}}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"prefix\":\"/\",\"service\":\"s\",\"timeout_ms\":1e300,"
        "\"target_latency_ms\":\"x\",\"priority\":4294967296}],\"tenants\":"
        "[{\"name\":\"w\",\"api_keys\":[7,\"k\"],\"uncached_tokens\":1e20}],"
        "\"limits\":{\"max_body_bytes\":1e300}}";
  ca_error_t error;
  ca_catalog_t *catalog;

  (void)state;
  ca_error_init (&error);
  catalog = ca_config_parse (text, sizeof text - 1, &error);
  assert_non_null (catalog);
  assert_int_equal (catalog->services[0].slots, UINT32_MAX);
  assert_int_equal (catalog->services[0].cache_tokens, UINT32_MAX);
  assert_int_equal (catalog->services[0].min_endpoints, 1);
  assert_int_equal (catalog->services[0].max_endpoints, UINT32_MAX);
  assert_int_equal (catalog->services[0].boot_ms, UINT32_MAX);
  assert_int_equal (catalog->services[1].boot_ms, 0);
  assert_int_equal (catalog->routes[0].route->timeout_ms, UINT32_MAX);
  assert_int_equal (catalog->routes[0].route->target_ms, 1000);
  assert_int_equal (catalog->routes[0].route->priority, UINT32_MAX);
  assert_int_equal (catalog->workspaces[0].default_cost, UINT32_MAX);
  assert_int_equal (catalog->body_bytes, UINT32_MAX);
  ca_catalog_unref (catalog);
}

static void
test_negative_version (void **state)
{
  static const char text[] = "{\"version\":-1,\"routes\":[]}";
  ca_error_t error;

  (void)state;
  ca_error_init (&error);
  assert_null (ca_config_parse (text, sizeof text - 1, &error));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_usable_endpoints),
    cmocka_unit_test (test_odd_endpoints),
    cmocka_unit_test (test_nested_endpoint),
    cmocka_unit_test (test_odd_configuration),
    cmocka_unit_test (test_negative_version),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
