/* Guards against versions and requests that cost the more processor time the
 * more routes a configuration has. */
#include "platform/records.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

/* The users' target: 92,000 requests and 1.08 changes a second with 760
 * entries, at most 2.4 % of a core for control: 22 ms a change.  A tenth of
 * that for look-ups, at 121 requests a second: 20 us a request. */
#define CHANGE_MAX_US 22000
#define LOOK_UP_MAX_US 20

#define LOOK_UPS 2000
#define VERSIONS 10

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
  catalog = ca_records_parse_catalog (text, bytes, &error);
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
  catalog = ca_records_parse_catalog (text, sizeof text - 1, &error);
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
          ca_error_t error;
          ca_catalog_t *next;

          ca_error_init (&error);
          next = ca_records_parse_catalog (text, bytes, &error);
          assert_non_null (next);
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
    cmocka_unit_test (test_next_version_is_cheap),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
