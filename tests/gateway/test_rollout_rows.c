/* Guards against rows of rollouts that are carried out although a field is
 * missing, of another type or out of range, and against messages that do not
 * name the field. */
#include "platform/rollout_rows.h"

#include "platform/config.h"
#include "platform/settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define KEY "rollout/s"

/* A usable row but for one field, which replaces the last one of the same
 * name. */
#define ORDER(field)                                                           \
  "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":12" field "}"
#define STATUS(field)                                                          \
  "{\"state\":\"in_progress\",\"target\":\"v2\",\"order\":7,"                  \
  "\"began_ms\":1000,\"era\":2" field "}"

typedef struct
{
  const char *text;
  const char *message; /* part of it; NULL if the row is usable */
} row_case_t;

static json_t *
load (const char *text)
{
  return json_loads (text, JSON_ALLOW_NUL, NULL);
}

static void
check_message (const row_case_t *row, bool usable, const ca_error_t *error)
{
  if (row->message == NULL)
    {
      if (!usable)
        fail_msg ("%s: %s", row->text, error->message);
      assert_int_equal (error->kind, CA_ERROR_NONE);
      return;
    }
  if (usable || strstr (error->message, row->message) == NULL)
    fail_msg ("%s: %s", row->text, usable ? "usable" : error->message);
  assert_int_equal (error->kind, CA_ERROR_BAD_INTENT);
}

static void
test_orders (void **state)
{
  static const row_case_t rows[] = {
    { ORDER (""), NULL },
    { ORDER (",\"duration_s\":1"), NULL },
    { ORDER (",\"duration_s\":86400"), NULL },
    { ORDER (",\"duration_s\":12.0"), NULL },
    { ORDER (",\"more\":[1e300]"), NULL },
    { "", "not a JSON object" },
    { "[]", "not a JSON object" },
    { "{}", "service is missing" },
    { "{\"target\":\"v2\",\"duration_s\":12}", "service is missing" },
    { "{\"service\":\"s\",\"duration_s\":12}", "target is missing" },
    { "{\"service\":\"s\",\"target\":\"v2\"}", "duration_s is missing" },
    { ORDER (",\"service\":7"), "service is not a text" },
    { ORDER (",\"service\":null"), "service is not a text" },
    { ORDER (",\"service\":\"\""), "service is empty" },
    { ORDER (",\"service\":\"t\""), "service is 't', but the row's key names" },
    { ORDER (",\"service\":\"s\\u0000\""), "service has a NUL" },
    { ORDER (",\"target\":2"), "target is not a text" },
    { ORDER (",\"target\":[\"v2\"]"), "target is not a text" },
    { ORDER (",\"target\":\"\""), "target is empty" },
    { ORDER (",\"duration_s\":\"12\""), "duration_s is not a number" },
    { ORDER (",\"duration_s\":null"), "duration_s is not a number" },
    { ORDER (",\"duration_s\":true"), "duration_s is not a number" },
    { ORDER (",\"duration_s\":0"), "duration_s is 0, allowed: 1 to 86400" },
    { ORDER (",\"duration_s\":0.9"), "allowed: 1 to 86400" },
    { ORDER (",\"duration_s\":-12"), "allowed: 1 to 86400" },
    { ORDER (",\"duration_s\":86401"), "allowed: 1 to 86400" },
    { ORDER (",\"duration_s\":86400.5"), "allowed: 1 to 86400" },
    { ORDER (",\"duration_s\":1e300"), "allowed: 1 to 86400" },
  };

  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      json_t *row = load (rows[i].text);
      ca_rollout_order_t order;
      ca_error_t error;

      ca_error_init (&error);
      check_message (&rows[i],
                     ca_rollout_rows_parse_order (KEY, row, &order, &error),
                     &error);
      if (rows[i].message == NULL)
        {
          assert_string_equal (order.service, "s");
          assert_string_equal (order.target, "v2");
          assert_in_range (order.duration_s, 1, 86400);
        }
      json_decref (row);
    }
}

static void
test_keys (void **state)
{
  (void)state;
  assert_string_equal (ca_rollout_rows_service (KEY), "s");
  assert_string_equal (ca_rollout_rows_service ("rollout/"), "");
  assert_null (ca_rollout_rows_service ("rollout"));
  assert_null (ca_rollout_rows_service ("config"));
  assert_null (ca_rollout_rows_service ("Rollout/s"));
}

static void
test_unknown_service (void **state)
{
  static const char config[]
      = "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\"}],"
        "\"tenants\":[]}";
  ca_rollout_order_t order = { .service = "s", .target = "v2" };
  ca_catalog_t *catalog;
  ca_error_t error;

  (void)state;
  ca_error_init (&error);
  catalog = ca_config_parse (config, sizeof config - 1, &error);
  assert_non_null (catalog);
  assert_true (ca_rollout_rows_check_service (&order, catalog, &error));
  order.service = "t";
  assert_false (ca_rollout_rows_check_service (&order, catalog, &error));
  assert_non_null (strstr (error.message, "service 't' is not in the"));
  ca_catalog_unref (catalog);
}

static void
test_statuses (void **state)
{
  static const row_case_t rows[] = {
    { STATUS (""), NULL },
    { "{\"state\":\"reverted\",\"target\":\"v2\"}", NULL },
    { STATUS (",\"more\":{}"), NULL },
    { "[1]", "not a JSON object" },
    { "{\"target\":\"v2\"}", "state is missing" },
    { "{\"state\":\"completed\"}", "target is missing" },
    { STATUS (",\"state\":1"), "state is not a text" },
    { STATUS (",\"state\":\"done\""), "state 'done' is not one of" },
    { STATUS (",\"state\":\"Completed\""), "state 'Completed' is not one of" },
    { STATUS (",\"target\":null"), "target is not a text" },
    { STATUS (",\"order\":\"7\""), "order is not a whole number" },
    { STATUS (",\"order\":-1"), "order is not a whole number" },
    { STATUS (",\"began_ms\":1.5"), "began_ms is not a whole number" },
    { STATUS (",\"era\":[]"), "era is not a whole number" },
  };

  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      json_t *row = load (rows[i].text);
      ca_rollout_status_t status;
      ca_error_t error;

      ca_error_init (&error);
      check_message (&rows[i],
                     ca_rollout_rows_parse_status (row, &status, &error),
                     &error);
      json_decref (row);
    }
}

/* What is printed is read again as the same. */
static void
test_status_text (void **state)
{
  static const ca_rollout_stage_t stages[]
      = { CA_ROLLOUT_CANARY, CA_ROLLOUT_COMPLETED, CA_ROLLOUT_REVERTED };

  (void)state;
  for (size_t i = 0; i < sizeof stages / sizeof stages[0]; i++)
    {
      const ca_rollout_status_t status
          = { stages[i], "v\"2", UINT64_C (123456789012), 5000, 3 };
      char *text = ca_rollout_rows_print_status (&status);
      json_t *row = load (text);
      ca_rollout_status_t parsed;

      assert_true (ca_rollout_rows_parse_status (row, &parsed, NULL));
      assert_int_equal (parsed.stage, status.stage);
      assert_string_equal (parsed.target, status.target);
      assert_int_equal (parsed.order, status.order);
      assert_int_equal (parsed.began_ms, status.began_ms);
      assert_int_equal (parsed.era, status.era);
      json_decref (row);
      free (text);
    }
}

/* Reads the settings with some lines more; false if they are refused. */
static bool
read_settings (const char *lines, ca_platform_settings_t *settings,
               ca_error_t *error)
{
  static const char required[]
      = "node_name=e\nzone=z\nip_address=127.0.0.1\n"
        "internal_port_range=1000,1001\n"
        "listen_addresses.frontend_addr=127.0.0.1:1\n"
        "listen_addresses.ready=127.0.0.1:2\nplatform.address=127.0.0.1:3\n"
        "bounds.config_propagation_ms=2000\nbounds.grace_period_s=8\n";
  char path[] = "/tmp/test_rollout_rows.XXXXXX";
  int fd = mkstemp (path);
  FILE *file = fdopen (fd, "w");
  bool valid;

  assert_non_null (file);
  fprintf (file, "%s%s", required, lines);
  fclose (file);
  ca_error_init (error);
  valid = ca_platform_settings_read (settings, path, error);
  unlink (path);
  return valid;
}

static void
test_settings (void **state)
{
  static const row_case_t rows[] = {
    { "bounds.exposure_share=0.001", NULL },
    { "bounds.exposure_share=1", NULL },
    { "bounds.exposure_share=1.01", "bounds.exposure_share: '1.01' is not "
                                    "valid (allowed: above 0, up to 1)" },
    { "bounds.exposure_share=0", "(allowed: above 0, up to 1)" },
    { "bounds.exposure_share=-0.1", "(allowed: above 0, up to 1)" },
    { "bounds.exposure_share=many", "(allowed: above 0, up to 1)" },
    { "bounds.exposure_allowance=-1", "(allowed: 0 to 4294967295)" },
    { "bounds.rollback_ms=5 s",
      "bounds.rollback_ms: '5 s' is not valid (allowed: 0 to 4294967295)" },
  };
  ca_platform_settings_t settings;
  ca_error_t error;

  (void)state;
  assert_true (read_settings ("", &settings, &error));
  assert_true (settings.bounds.exposure_share == 0.1);
  assert_int_equal (settings.bounds.exposure_allowance, 50);
  assert_int_equal (settings.bounds.rollback_ms, 5000);
  assert_true (read_settings ("bounds.exposure_share=0.05\n"
                              "bounds.exposure_allowance=20\n"
                              "bounds.rollback_ms=3000\n",
                              &settings, &error));
  assert_true (settings.bounds.exposure_share == 0.05);
  assert_int_equal (settings.bounds.exposure_allowance, 20);
  assert_int_equal (settings.bounds.rollback_ms, 3000);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      bool valid = read_settings (rows[i].text, &settings, &error);

      assert_int_equal (valid, rows[i].message == NULL);
      if (rows[i].message != NULL
          && strstr (error.message, rows[i].message) == NULL)
        fail_msg ("%s: %s", rows[i].text, error.message);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_orders),          cmocka_unit_test (test_keys),
    cmocka_unit_test (test_unknown_service), cmocka_unit_test (test_statuses),
    cmocka_unit_test (test_status_text),     cmocka_unit_test (test_settings),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
