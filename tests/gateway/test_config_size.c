/* Guards against versions and requests that cost the more processor time the
 * more routes a configuration has. */
#include "platform/answer.h"
#include "platform/config_loader.h"

#include <resolv.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <time.h>
#include <unistd.h>

#include <cmocka.h>

/* The users' target: 92,000 requests and 1.08 changes a second with 760
 * entries, at most 2.4 % of a core for control: 22 ms a change.  A tenth of
 * that for look-ups, at 121 requests a second: 20 us a request. */
#define CHANGE_MAX_US (22000 * BUILD_FACTOR)
#define LOOK_UP_MAX_US (20 * BUILD_FACTOR)

/* The target is that of the shipped build; sanitizers take several times the
 * processor time. */
#ifdef __SANITIZE_ADDRESS__
#define BUILD_FACTOR 5
#else
#define BUILD_FACTOR 1
#endif

#define LOOK_UPS 2000
#define VERSIONS 10
#define STEP_ROWS 100

static uint64_t
processor_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

/* Returns a configuration; its route `moved` has another service than the
 * others.  The caller frees it. */
static char *
configuration (uint64_t version, size_t routes, size_t moved, size_t *bytes)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, bytes);

  fprintf (out, "{\"version\":%llu,\"routes\":[", (unsigned long long)version);
  for (size_t i = 0; i < routes; i++)
    fprintf (out,
             "%s{\"name\":\"r-%zu\",\"host\":\"h%zu.example\",\"prefix\":"
             "\"/p%zu/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1000,"
             "\"target_latency_ms\":150,\"priority\":2,\"service\":\"%s\","
             "\"max_attempts\":2}",
             i == 0 ? "" : ",", i, i % 100, i, i == moved ? "b" : "a");
  fputs ("],\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}],\"tenants\":"
         "[{\"name\":\"w\",\"api_keys\":[\"k\"]}]}",
         out);
  fclose (out);
  return text;
}

static ca_catalog_t *
build (uint64_t version, size_t routes, size_t moved)
{
  size_t bytes;
  char *text = configuration (version, routes, moved, &bytes);
  ca_error_t error;
  ca_catalog_t *catalog;

  ca_error_init (&error);
  catalog = ca_config_parse (text, bytes, &error);
  free (text);
  assert_non_null (catalog);
  return catalog;
}

/* Looks each of some routes up, and as many paths that have none. */
static uint64_t
look_up_all (const ca_catalog_t *catalog, size_t routes)
{
  uint64_t started_us = processor_us ();

  for (size_t i = 0; i < LOOK_UPS; i++)
    {
      size_t k = (i * 7919) % routes;
      char host[64];
      char path[64];
      const ca_route_t *route;

      snprintf (host, sizeof host, "H%zu.example:80", k % 100);
      snprintf (path, sizeof path, "/p%zu/x/y", k);
      route = ca_catalog_find_route (catalog, host, path);
      assert_non_null (route);
      assert_int_equal (strncmp (path, route->prefix, strlen (route->prefix)),
                        0);
      assert_null (ca_catalog_find_route (catalog, host, "/none/x"));
    }
  return processor_us () - started_us;
}

static void
test_look_up_costs_the_same_with_many_routes (void **state)
{
  static const size_t sizes[] = { 1, 1000, 10000, 100000 };

  (void)state;
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      ca_catalog_t *catalog = build (1, sizes[i], sizes[i]);
      double each_us = (double)look_up_all (catalog, sizes[i]) / (2 * LOOK_UPS);

      printf ("%zu routes: %.3f us a look-up\n", sizes[i], each_us);
      ca_catalog_unref (catalog);
      if (each_us > LOOK_UP_MAX_US)
        fail_msg ("%zu routes: %.1f us a look-up", sizes[i], each_us);
    }
}

static void
test_longest_prefix_matches (void **state)
{
  static const char text[]
      = "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":["
        "{\"name\":\"all\",\"host\":\"Host\",\"prefix\":\"/"
        "\",\"service\":\"s\"},"
        "{\"name\":\"a\",\"host\":\"host\",\"prefix\":\"/a/"
        "\",\"service\":\"s\"},"
        "{\"name\":\"b\",\"host\":\"host\",\"prefix\":\"/a/b/\",\"service\":"
        "\"s\"},{\"name\":\"second\",\"host\":\"host\",\"prefix\":\"/a/\","
        "\"service\":\"s\"},7,"
        "{\"name\":\"other\",\"host\":\"other\",\"prefix\":\"/b/\",\"service\":"
        "\"s\"}]}";
  static const struct
  {
    const char *host;
    const char *path;
    const char *name;
  } cases[] = {
    { "host", "/", "all" },           { "host", "/a", "all" },
    { "host", "/a/", "a" },           { "HOST:8080", "/a/x", "a" },
    { "host", "/a/b", "a" },          { "host", "/a/b/", "b" },
    { "host", "/a/b/c/d/e", "b" },    { "host", "/ab/", "all" },
    { "host", "a/", NULL },           { "host", "", NULL },
    { "other", "/b/", "other" },      { "other", "/", NULL },
    { "other.example", "/b/", NULL }, { "", "/b/", NULL },
  };
  ca_error_t error;
  ca_catalog_t *catalog;

  (void)state;
  ca_error_init (&error);
  catalog = ca_config_parse (text, sizeof text - 1, &error);
  assert_non_null (catalog);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const ca_route_t *route
          = ca_catalog_find_route (catalog, cases[i].host, cases[i].path);

      if (route == NULL ? cases[i].name != NULL
                        : cases[i].name == NULL
                              || strcmp (route->name, cases[i].name) != 0)
        fail_msg ("%s%s: route %s", cases[i].host, cases[i].path,
                  route == NULL ? "none" : route->name);
    }
  ca_catalog_unref (catalog);
}

/* Builds a version after another one, as an entry does. */
static ca_catalog_t *
build_after (ca_catalog_t *former, const char *text, size_t bytes)
{
  ca_config_build_t build;
  ca_config_build_status_t status;
  ca_error_t error;
  ca_catalog_t *catalog;

  ca_error_init (&error);
  assert_true (ca_config_build_init (&build, text, bytes, former, &error));
  do
    status = ca_config_build_step (&build, STEP_ROWS, &error);
  while (status == CA_CONFIG_BUILD_MORE);
  assert_int_equal (status, CA_CONFIG_BUILD_DONE);
  catalog = ca_config_build_take (&build);
  ca_config_build_finish (&build);
  return catalog;
}

/* A version after another one is the same as if it were the first. */
static void
test_next_version_equals_first (void **state)
{
  ca_catalog_t *former = build (1, 50, 7);
  size_t bytes;
  char *text = configuration (2, 60, 9, &bytes);
  ca_catalog_t *next = build_after (former, text, bytes);

  (void)state;
  ca_catalog_retire (former);
  ca_catalog_unref (former);
  assert_int_equal (next->version, 2);
  assert_int_equal (next->route_count, 60);
  for (size_t i = 0; i < 60; i++)
    {
      char host[64];
      char path[64];
      const ca_route_t *route;

      snprintf (host, sizeof host, "h%zu.example", i);
      snprintf (path, sizeof path, "/p%zu/", i);
      route = ca_catalog_find_route (next, host, path);
      assert_non_null (route);
      assert_int_equal (route->targets[0].service, i == 9);
    }
  /* A service more in front moves the place of all others. */
  free (text);
  text = strdup ("{\"version\":3,\"services\":[{\"name\":\"new\"},"
                 "{\"name\":\"a\"},{\"name\":\"b\"}],\"routes\":[{\"name\":"
                 "\"r-0\",\"host\":\"h0.example\",\"prefix\":\"/p0/\","
                 "\"route_kind\":\"idempotent\",\"timeout_ms\":1000,"
                 "\"target_latency_ms\":150,\"priority\":2,\"service\":\"a\","
                 "\"max_attempts\":2}]}");
  former = next;
  next = build_after (former, text, strlen (text));
  assert_int_equal (
      ca_catalog_find_route (next, "h0.example", "/p0/")->targets[0].service,
      1);
  ca_catalog_unref (former);
  ca_catalog_unref (next);
  free (text);
}

/* Texts that end early, or hold something else, are refused; an entry keeps the
 * version that it has. */
static void
test_malformed_texts (void **state)
{
  static const char *const texts[] = {
    "",
    "{",
    "[]",
    "7",
    "{\"version\":1,\"routes\":[{\"name\":\"a\"}",
    "{\"version\":1,\"routes\":[{\"name\":\"a\"}]",
    "{\"version\":1,\"routes\":[{\"name\":\"a\"},]}",
    "{\"version\":1,\"routes\":[,{\"name\":\"a\"}]}",
    "{\"version\":1,\"routes\":[{\"name\":\"a\"]}]}",
    "{\"version\":1,\"routes\":[{\"name\"}]}",
    "{\"version\":1,\"routes\":[{\"name\":\"a\"}{\"name\":\"b\"}]}",
    "{\"version\":1,\"routes\":[]}x",
    "{\"version\":1 \"routes\":[]}",
    "{\"version\":1,\"routes\":[\"\\\"]}",
    "{version:1}",
    "{\"version\":1,}",
    "{\"version\":1,\"limits\":{]}",
    "{\"version\":-1}",
    "{\"version\":1.5}",
    "{\"version\":\"1\"}",
  };
  ca_error_t error;

  (void)state;
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      ca_error_init (&error);
      if (ca_config_parse (texts[i], strlen (texts[i]), &error) != NULL)
        fail_msg ("taken: %s", texts[i]);
      assert_int_equal (error.kind, CA_ERROR_BAD_INTENT);
    }
}

/* An answer of the store with one row, whose value is the text. */
static char *
store_answer (const char *text, size_t bytes, size_t *answer_bytes)
{
  size_t room = 2 * bytes + 4;
  char *value = malloc (room);
  char *answer = NULL;
  FILE *out = open_memstream (&answer, answer_bytes);

  b64_ntop ((const unsigned char *)text, bytes, value, room);
  fprintf (out,
           "{\"rows\":[{\"table_name\":\"op\",\"part\":\"\",\"key\":"
           "\"config\",\"row_version\":7,\"value\":\"%s\"}],\"row_version\":"
           "9}",
           value);
  fclose (out);
  free (value);
  return answer;
}

/* What the entry that reads the store does for a version, up to its build. */
static void
test_answer_of_the_store_is_cheap (void **state)
{
  size_t bytes;
  char *text = configuration (2, 7000, 7000, &bytes);
  uint64_t spent_us = 0;

  (void)state;
  for (int i = 0; i < VERSIONS; i++)
    {
      size_t body_bytes;
      char *body = store_answer (text, bytes, &body_bytes);
      uint64_t started_us = processor_us ();
      ca_answer_t answer;

      assert_true (ca_answer_parse (&answer, body, body_bytes));
      spent_us += processor_us () - started_us;
      assert_int_equal (answer.row_count, 1);
      assert_string_equal (answer.rows[0].key, "config");
      assert_int_equal (answer.rows[0].version, 7);
      assert_int_equal (answer.rows[0].bytes, bytes);
      assert_memory_equal (answer.rows[0].value, text, bytes);
      assert_int_equal (
          json_integer_value (json_object_get (answer.root, "row_version")), 9);
      ca_answer_finish (&answer);
      free (body);
    }
  free (text);
  printf ("7000 routes: %.1f ms to decode an answer\n",
          (double)spent_us / VERSIONS / 1e3);
  if (spent_us / VERSIONS > CHANGE_MAX_US)
    fail_msg ("%.1f ms to decode an answer", (double)spent_us / VERSIONS / 1e3);
}

static void
test_odd_answers (void **state)
{
  static const struct
  {
    const char *text;
    int rows; /* -1: refused */
    const char *key;
    const char *value; /* of the first row, or NULL */
  } cases[] = {
    { "{}", 0, NULL, NULL },
    { "{\"rows\":[]}", 0, NULL, NULL },
    { "{\"rows\":7}", 0, NULL, NULL },
    { "{\"rows\":[{\"key\":\"a\",\"value\":\"aGk=\"},{}]}", 2, "a", "hi" },
    { "{\"rows\":[{\"key\":\"a\",\"value\":\"Pz8\\/\"}]}", 1, "a", "???" },
    { "{\"rows\":[{\"key\":\"a\\u0000b\",\"value\":\"aGk=\"}]}", 1, "", NULL },
    { "{\"rows\":[{\"key\":\"a\",\"value\":7}]}", 1, "a", NULL },
    { "{\"rows\":[{\"key\":\"a\",\"value\":\"%\"}]}", 1, "a", NULL },
    { "{\"rows\":[{\"key\":7,\"value\":\"aGk=\"}]}", 1, "", NULL },
    { "", -1, NULL, NULL },
    { "[]", -1, NULL, NULL },
    { "{\"rows\":[{\"key\":\"a\"}", -1, NULL, NULL },
    { "{\"rows\":[7]}", 1, "", NULL },
    { "{\"rows\":[{\"key\":\"a\",\"value\":\"aGk=}]}", -1, NULL, NULL },
    { "{\"row_version\":}", -1, NULL, NULL },
    { "{\"rows\":[]}{", -1, NULL, NULL },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      char *body = strdup (cases[i].text);
      ca_answer_t answer;
      bool valid = ca_answer_parse (&answer, body, strlen (body));

      if (valid != (cases[i].rows >= 0)
          || (valid && answer.row_count != (size_t)cases[i].rows))
        fail_msg ("%s: %s", cases[i].text, valid ? "taken" : "refused");
      if (valid && cases[i].key != NULL)
        assert_string_equal (answer.rows[0].key, cases[i].key);
      if (valid && cases[i].value != NULL)
        assert_memory_equal (answer.rows[0].value, cases[i].value,
                             strlen (cases[i].value));
      else if (valid && answer.row_count > 0)
        assert_null (answer.rows[0].value);
      if (valid)
        ca_answer_finish (&answer);
      free (body);
    }
}

/* Catalogs that a loader has built, and events handled meanwhile. */
typedef struct
{
  ca_catalog_t *current;
  uint64_t versions[8];
  size_t built;
  size_t refused;
  size_t other_events;
  struct event *other;
} loading_t;

static ca_catalog_t *
on_current (void *context)
{
  return ((loading_t *)context)->current;
}

static void
on_built (void *context, ca_catalog_t *catalog)
{
  loading_t *loading = context;

  ca_catalog_unref (loading->current);
  loading->current = catalog;
  loading->versions[loading->built++] = catalog->version;
}

static void
on_refused (void *context, const char *message)
{
  (void)message;
  ((loading_t *)context)->refused++;
}

static void
on_other_event (evutil_socket_t fd, short what, void *context)
{
  const struct timeval now = { 0, 0 };
  loading_t *loading = context;

  (void)fd;
  (void)what;
  loading->other_events++;
  if (loading->built < 2)
    event_add (loading->other, &now);
}

static void
load (ca_config_loader_t *loader, uint64_t version, size_t routes)
{
  size_t bytes;
  char *text = configuration (version, routes, routes, &bytes);

  ca_config_loader_load (loader, "a test", text, bytes);
  free (text);
}

/* Events are handled while a large version is built; of those that arrive
 * meanwhile the newest is built next. */
static void
test_large_version_holds_up_nothing (void **state)
{
  const struct timeval now = { 0, 0 };
  loading_t loading = { .current = NULL };
  const ca_config_loader_handler_t handler
      = { on_current, on_built, on_refused, &loading };
  struct event_base *base = event_base_new ();
  ca_config_loader_t loader;

  (void)state;
  loading.other = evtimer_new (base, on_other_event, &loading);
  event_add (loading.other, &now);
  ca_config_loader_init (&loader, base, &handler);
  load (&loader, 2, 50000);
  assert_true (ca_config_loader_is_busy (&loader));
  load (&loader, 3, 100);
  load (&loader, 5, 100);
  load (&loader, 4, 100);
  ca_config_loader_load (&loader, "a test", "{\"version\":-1}", 14);
  load (&loader, 1, 100);
  event_base_dispatch (base);
  assert_int_equal (loading.built, 2);
  assert_int_equal (loading.versions[0], 2);
  assert_int_equal (loading.versions[1], 5);
  assert_int_equal (loading.refused, 1);
  assert_true (loading.other_events >= 5);
  load (&loader, 5, 100);
  assert_int_equal (loading.built, 2);
  ca_config_loader_load (&loader, "a test", "{", 1);
  assert_int_equal (loading.refused, 2);
  ca_config_loader_finish (&loader);
  ca_catalog_unref (loading.current);
  event_free (loading.other);
  event_base_free (base);
}

/* A text that ends within its version is read no further than it goes: what
 * follows it cannot be read. */
static void
test_version_at_the_end (void **state)
{
  static const char text[] = "{\"version\":12";
  size_t page = (size_t)sysconf (_SC_PAGESIZE);
  char *pages = mmap (NULL, 2 * page, PROT_READ | PROT_WRITE,
                      MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  char *exact = pages + page - (sizeof text - 1);

  (void)state;
  assert_true (pages != MAP_FAILED);
  assert_int_equal (mprotect (pages + page, page, PROT_NONE), 0);
  memcpy (exact, text, sizeof text - 1);
  assert_int_equal (ca_config_read_version (exact, sizeof text - 1), 12);
  munmap (pages, 2 * page);
}

/* Versions that move one route each. */
static void
test_next_version_is_cheap (void **state)
{
  static const size_t sizes[] = { 1, 1000, 7000 };

  (void)state;
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      ca_catalog_t *former = build (1, sizes[i], sizes[i]);
      uint64_t spent_us = 0;

      for (uint64_t version = 2; version < 2 + VERSIONS; version++)
        {
          size_t bytes;
          char *text = configuration (version, sizes[i],
                                      (size_t)version % sizes[i], &bytes);
          uint64_t started_us = processor_us ();
          ca_catalog_t *next;

          next = build_after (former, text, bytes);
          ca_catalog_retire (former);
          ca_catalog_unref (former);
          former = next;
          spent_us += processor_us () - started_us;
          free (text);
        }
      ca_catalog_unref (former);
      printf ("%zu routes: %.1f ms a version\n", sizes[i],
              (double)spent_us / VERSIONS / 1e3);
      if (spent_us / VERSIONS > CHANGE_MAX_US)
        fail_msg ("%zu routes: %.1f ms a version", sizes[i],
                  (double)spent_us / VERSIONS / 1e3);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_longest_prefix_matches),
    cmocka_unit_test (test_look_up_costs_the_same_with_many_routes),
    cmocka_unit_test (test_next_version_equals_first),
    cmocka_unit_test (test_malformed_texts),
    cmocka_unit_test (test_version_at_the_end),
    cmocka_unit_test (test_answer_of_the_store_is_cheap),
    cmocka_unit_test (test_odd_answers),
    cmocka_unit_test (test_large_version_holds_up_nothing),
    cmocka_unit_test (test_next_version_is_cheap),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
