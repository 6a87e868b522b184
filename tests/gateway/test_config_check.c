/* Findings about configurations: what the entries would refuse, read otherwise
 * than written, or never use; and texts that are damaged anywhere. */
#include "platform/config_check.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#define FUZZ_ROUNDS 4000
#define MANY_ROUTES 100000

/* The target is a second in the shipped build. */
#ifdef __SANITIZE_ADDRESS__
#define MANY_MAX_MS 10000
#else
#define MANY_MAX_MS 1000
#endif

#define ROUTE(more)                                                            \
  "{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\",\"route_kind\":"          \
  "\"idempotent\",\"service\":\"s\"" more "}"
#define SERVICES "\"services\":[{\"name\":\"s\"}]"
#define TENANTS "\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k\"]}]"
#define WITH_ROUTES(rows)                                                      \
  "{\"version\":1,\n\"routes\":[\n" rows "],\n" SERVICES ",\n" TENANTS "}"
#define WITH_SERVICES(rows)                                                    \
  "{\"version\":1,\"routes\":[" ROUTE ("") "],\n\"services\":[\n" rows         \
                                           "],\n" TENANTS "}"
#define WITH_TENANTS(rows)                                                     \
  "{\"version\":1,\"routes\":[" ROUTE ("") "],\n" SERVICES                     \
                                           ",\n\"tenants\":[\n" rows "]}"

typedef struct
{
  const char *text;
  int status;
  size_t line;         /* of the first finding */
  const char *finding; /* part of it; NULL: none */
} check_case_t;

static const check_case_t cases[] = {
  { WITH_ROUTES (ROUTE ("")), 0, 0, NULL },
  /* Refused by the entry. */
  { "", 2, 1, "not valid" },
  { "[]", 2, 0, "not valid" },
  { "{\"version\":1,\n\"routes\":[\n{\"name\":}]}", 2, 3, "not valid" },
  { "{\"version\":1,\n\"routes\":[]", 2, 2, "not valid" },
  { "{\"routes\":[]}", 2, 0, "no version" },
  { "{\"version\":-1}", 2, 0, "no version" },
  /* Read otherwise than written. */
  { WITH_ROUTES (ROUTE ("") ",\n7"), 2, 4, "no object is ignored" },
  { WITH_ROUTES (ROUTE (",\"timeout_ms\":\"5\"")), 2, 3, "timeout_ms" },
  { WITH_ROUTES (ROUTE (",\"priority\":-1")), 2, 3, "priority" },
  { WITH_ROUTES (ROUTE (",\"public\":1")), 2, 3, "true or false" },
  { WITH_ROUTES ("{\"route_kind\":\"stream\",\"service\":\"s\"}"), 2, 3,
    "counts as non_idempotent" },
  { WITH_ROUTES ("{\"service\":\"s\"}"), 2, 3, "without route_kind" },
  { WITH_TENANTS ("{\"name\":\"w\",\"api_keys\":[\"k\",7]}"), 2, 4,
    "key 2 of workspace 'w' is ignored" },
  { WITH_SERVICES ("{\"name\":\"s\"},\n7"), 2, 4, "service that is no object" },
  { "{\"version\":1,\n\"limits\":7}", 2, 2, "limits" },
  /* Never matches. */
  { WITH_ROUTES (ROUTE ("") ",\n" ROUTE (",\"priority\":1")), 1, 4,
    "never matches: line 3" },
  { WITH_ROUTES (ROUTE (",\"traffic_split\":[{\"service\":\"x\",\"weight\":1},"
                        "{\"service\":\"s\",\"weight\":1}]")),
    1, 3, "service 'x', which does not exist" },
  { WITH_ROUTES (ROUTE (",\"traffic_split\":[{\"service\":\"s\","
                        "\"weight\":0}]")),
    1, 3, "the weight 0" },
  { WITH_ROUTES ("{\"name\":\"a\",\"route_kind\":\"streaming\"}"), 1, 3,
    "no service that exists" },
  { WITH_TENANTS ("{\"name\":\"w\"}"), 1, 4, "has no key" },
  { WITH_TENANTS ("{\"name\":\"w\",\"api_keys\":[\"k\"]},\n{\"name\":\"x\","
                  "\"api_keys\":[\"k\"]}"),
    1, 0, "is also one of workspace" },
  { WITH_SERVICES ("{\"name\":\"s\"},\n{\"name\":\"s\"}"), 1, 4,
    "never used: line 3" },
  /* Limits that contradict each other. */
  { WITH_ROUTES (ROUTE (",\"timeout_ms\":100,\"target_latency_ms\":200")), 1, 3,
    "timeout_ms 100 is below target_latency_ms 200" },
  { WITH_ROUTES (ROUTE (",\"max_attempts\":0")), 1, 3, "max_attempts is 0" },
  { WITH_SERVICES (
        "{\"name\":\"s\",\"scaling\":{\"minimum\":3,\"maximum\":2}}"),
    1, 3, "minimum 3 is above maximum 2" },
  { WITH_TENANTS ("{\"name\":\"w\",\"api_keys\":[\"k\"],\"unit\":\"tokens\","
                  "\"uncached_tokens\":200,\"rate_per_s\":10,"
                  "\"burst_size\":100}"),
    1, 4, "smaller than one request's" },
  { "{\"version\":1,\n\"limits\":{\"max_header_bytes\":0}}", 1, 2,
    "max_header_bytes is 0" },
};

static void
test_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const check_case_t *row = &cases[i];
      ca_findings_t findings;

      ca_findings_init (&findings);
      ca_config_check (&findings, row->text, strlen (row->text));
      if (ca_findings_status (&findings) != row->status
          || (row->finding != NULL
              && strstr (findings.items[0].text, row->finding) == NULL))
        {
          print_message ("%s\n", row->text);
          ca_findings_print (&findings, "case", stdout);
        }
      assert_int_equal (ca_findings_status (&findings), row->status);
      if (row->finding == NULL)
        assert_int_equal (findings.count, 0);
      else
        {
          assert_non_null (strstr (findings.items[0].text, row->finding));
          if (row->line > 0)
            assert_int_equal (findings.items[0].line, row->line);
        }
      ca_findings_finish (&findings);
    }
}

/* True if some finding has the text. */
static bool
has_finding (const ca_findings_t *findings, const char *text)
{
  for (size_t i = 0; i < findings->count; i++)
    {
      if (strcmp (findings->items[i].text, text) == 0)
        return true;
    }
  return false;
}

static void
test_differences (void **state)
{
  static const char former[] = "{\"version\":1,\"routes\":[" ROUTE (
      "") ",{\"name\":\"b\",\"host\":\"h\",\"prefix\":\"/b/\"}],"
          "\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}]," TENANTS "}";
  static const char text[] = "{\"version\":2,\"routes\":[" ROUTE (
      ",\"priority\":1") ",{\"name\":\"c\",\"host\":\"h\",\"prefix\":"
                         "\"/c/\"}],\"limits\":{\"max_body_bytes\":9},"
                         "\"services\":[{\"name\":\"s\","
                         "\"health_path\":\"/x\"}]," TENANTS "}";
  static const char *const expected[] = { "version is 2, was 1",
                                          "route 'c' is new",
                                          "route 'b' is removed",
                                          "route 'a' changes",
                                          "service 's' changes",
                                          "service 't' is removed",
                                          "max_body_bytes is 9, was 4194304" };
  ca_findings_t findings;

  (void)state;
  ca_findings_init (&findings);
  ca_config_compare (&findings, text, strlen (text), former, strlen (former));
  for (size_t i = 0; i < sizeof expected / sizeof expected[0]; i++)
    assert_true (has_finding (&findings, expected[i]));
  assert_int_equal (findings.count, sizeof expected / sizeof expected[0]);
  assert_int_equal (ca_findings_status (&findings), 0);
  ca_config_compare (&findings, text, strlen (text), text, strlen (text));
  assert_int_equal (findings.count, sizeof expected / sizeof expected[0]);
  ca_findings_finish (&findings);
}

/* Keys do not show in the output. */
static void
test_keys_are_not_printed (void **state)
{
  static const char text[]
      = WITH_TENANTS ("{\"name\":\"w\",\"api_keys\":[\"hidden-1\"]},"
                      "{\"name\":\"x\",\"api_keys\":[\"hidden-1\",7]}");
  char *printed = NULL;
  size_t bytes = 0;
  FILE *out = open_memstream (&printed, &bytes);
  ca_findings_t findings;

  (void)state;
  ca_findings_init (&findings);
  ca_config_check (&findings, text, strlen (text));
  ca_findings_print (&findings, "file", out);
  ca_findings_print_json (&findings, out);
  fclose (out);
  assert_int_equal (findings.count, 2);
  assert_null (strstr (printed, "hidden"));
  assert_non_null (strstr (printed, "\"warnings\": 1"));
  free (printed);
  ca_findings_finish (&findings);
}

/* A text with bytes changed, removed and doubled is read or refused, and its
 * findings are printed. */
static void
test_damaged_texts (void **state)
{
  static const char bytes_to_put[] = "\"{}[]:,0-9.e\\\n\0\xff\x80 u";
  unsigned short seed[3] = { 25, 4, 12 };
  FILE *out = fopen ("/dev/null", "w");

  (void)state;
  for (int round = 0; round < FUZZ_ROUNDS; round++)
    {
      const char *from
          = cases[(size_t)nrand48 (seed) % (sizeof cases / sizeof cases[0])]
                .text;
      size_t bytes = strlen (from);
      char *text = malloc (2 * bytes + 1);
      ca_findings_t findings;

      strlcpy (text, from, bytes + 1);
      for (long i = nrand48 (seed) % 4; bytes > 1 && i >= 0; i--)
        {
          size_t at = (size_t)nrand48 (seed) % bytes;
          size_t count = 1 + (size_t)nrand48 (seed) % (bytes - at);

          switch (nrand48 (seed) % 3)
            {
            case 0:
              text[at] = bytes_to_put[(size_t)nrand48 (seed)
                                      % (sizeof bytes_to_put - 1)];
              break;
            case 1:
              memmove (text + at, text + at + count, bytes - at - count);
              bytes -= count;
              break;
            default:
              if (bytes + count > 2 * strlen (from))
                break;
              memmove (text + at + count, text + at, bytes - at);
              bytes += count;
              break;
            }
        }
      ca_findings_init (&findings);
      ca_config_check (&findings, text, bytes);
      ca_config_compare (&findings, text, bytes, from, strlen (from));
      ca_findings_print (&findings, "file", out);
      ca_findings_print_json (&findings, out);
      assert_in_range (ca_findings_status (&findings), 0, 2);
      ca_findings_finish (&findings);
      free (text);
    }
  fclose (out);
}

/* Target of the page: 100,000 routes in under a second. */
static void
test_many_routes (void **state)
{
  char *text = NULL;
  size_t bytes = 0;
  FILE *out = open_memstream (&text, &bytes);
  ca_findings_t findings;
  clock_t begin;
  long ms;

  (void)state;
  fputs ("{\"version\":1,\"routes\":[\n", out);
  for (int i = 0; i < MANY_ROUTES; i++)
    fprintf (out,
             "%s{\"name\":\"r-%d\",\"host\":\"h%d.example\",\"prefix\":\"/p%d/"
             "\",\"route_kind\":\"idempotent\",\"timeout_ms\":1000,"
             "\"target_latency_ms\":150,\"priority\":2,\"service\":\"s\","
             "\"max_attempts\":2}\n",
             i == 0 ? "" : ",", i, i / 2 % 100, i / 2);
  fputs ("]," SERVICES "," TENANTS "}", out);
  fclose (out);
  ca_findings_init (&findings);
  begin = clock ();
  ca_config_check (&findings, text, bytes);
  ms = (long)((clock () - begin) * 1000 / CLOCKS_PER_SEC);
  print_message ("%d routes: %ld ms of processor time, %zu findings\n",
                 MANY_ROUTES, ms, findings.count);
  assert_int_equal (findings.count, MANY_ROUTES / 2); /* never match */
  assert_true (ms < MANY_MAX_MS);
  ca_findings_finish (&findings);
  free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_differences),
    cmocka_unit_test (test_keys_are_not_printed),
    cmocka_unit_test (test_damaged_texts),
    cmocka_unit_test (test_many_routes),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
