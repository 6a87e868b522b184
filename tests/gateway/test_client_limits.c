/* Limits on clients' connections, derived from those of the machine, and the
 * check of these settings. */
#include "platform/client_limits.h"
#include "platform/ingress.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cmocka.h>

#define MB ((size_t)1024 * 1024)
#define FILES 200

/* Sizes of the machines, and one without settings. */
static const struct
{
  uint32_t memory_mb;
  uint32_t file_descriptors;
  size_t received_mb;
  size_t answers_mb;
} machines[] = {
  { 120, 3075, 30, 30 },   { 160, 3075, 40, 40 },   { 260, 4100, 65, 64 },
  { 400, 10250, 100, 64 }, { 512, 10250, 128, 64 }, { 0, 0, 64, 64 },
};

static void
ignore_cut (void *context, const char *detail)
{
  (void)context;
  (void)detail;
}

/* All that is bounded together leaves an eighth of the memory; a body that is
 * being sent to an endpoint counts twice. */
static void
test_machines (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof machines / sizeof machines[0]; i++)
    {
      const ca_http_limits_t request = { 16384, 4 * MB, 3000, 15000 };
      ca_platform_settings_t settings;
      ca_peer_transport_t peers;
      ca_client_limits_t limits;
      ca_http_server_t servers[4];
      ca_counters_t counters;
      size_t memory = machines[i].memory_mb * MB;
      uint32_t open;

      memset (&settings, 0, sizeof settings);
      memset (&peers, 0, sizeof peers);
      memset (servers, 0, sizeof servers);
      settings.memory_mb = machines[i].memory_mb;
      settings.file_descriptors = machines[i].file_descriptors;
      ca_client_limits_init (&limits, &settings, &counters, ignore_cut, NULL);
      ca_client_limits_apply (&limits, &request);
      ca_client_limits_callers (&limits, &servers[0]);
      ca_client_limits_delegated (&limits, &servers[1]);
      ca_client_limits_internal (&limits, &servers[2]);
      ca_client_limits_internal (&limits, &servers[3]);
      ca_client_limits_peers (&limits, &peers, 87);
      assert_int_equal (limits.memory.received.max_bytes,
                        machines[i].received_mb * MB);
      assert_int_equal (limits.max_buffered_bytes, machines[i].answers_mb * MB);
      if (memory > 0)
        assert_true (2 * limits.memory.received.max_bytes
                         + limits.max_buffered_bytes
                         + peers.limits.max_input_bytes
                     <= memory - memory / 8);
      open = peers.limits.max_links;
      for (int j = 0; j < 4; j++)
        open += servers[j].max_open;
      assert_true (servers[0].max_open >= 64);
      if (settings.file_descriptors > 0)
        assert_true (open <= settings.file_descriptors - FILES);
    }
}

/* A request inside the limits always fits, and one answer if the memory is not
 * tiny; peers keep their links. */
static void
test_floors (void **state)
{
  const ca_http_limits_t request = { 16384, 64 * MB, 3000, 15000 };
  ca_platform_settings_t settings;
  ca_peer_transport_t peers;
  ca_client_limits_t limits;
  ca_counters_t counters;

  (void)state;
  memset (&settings, 0, sizeof settings);
  memset (&peers, 0, sizeof peers);
  settings.memory_mb = 60;
  settings.file_descriptors = 256;
  ca_client_limits_init (&limits, &settings, &counters, ignore_cut, NULL);
  ca_client_limits_apply (&limits, &request);
  ca_client_limits_peers (&limits, &peers, 300);
  assert_true (limits.memory.received.max_bytes
               >= ca_http_body_taken_bytes (64 * MB));
  assert_int_equal (limits.max_buffered_bytes, CA_INGRESS_MAX_RESPONSE_BYTES);
  assert_int_equal (peers.limits.max_links, 600);
}

static const struct
{
  const char *line;
  const char *error; /* part of it; NULL: none */
} settings_cases[] = {
  { "limits.memory_mb=120", NULL },
  { "limits.memory_mb=", NULL },
  { "limits.memory_mb=15",
    "limits.memory_mb: '15' is not valid; give a number from 16 to 1048576" },
  { "limits.memory_mb=much", "limits.memory_mb: 'much' is not valid" },
  { "limits.memory_mb=-1", "limits.memory_mb: '-1' is not valid" },
  { "limits.file_descriptors=3075", NULL },
  { "limits.file_descriptors=255",
    "limits.file_descriptors: '255' is not valid; give a number from 256 to "
    "16777216" },
};

static void
test_settings (void **state)
{
  static const char required[]
      = "node_name=n\nzone=z\nip_address=127.0.0.1\ninternal_port_range=1,2\n"
        "listen_addresses.frontend_addr=127.0.0.1:3\n"
        "listen_addresses.ready=127.0.0.1:4\nplatform.address=127.0.0.1:5\n"
        "bounds.config_propagation_ms=1\nbounds.grace_period_s=1\n";

  (void)state;
  for (size_t i = 0; i < sizeof settings_cases / sizeof settings_cases[0]; i++)
    {
      ca_platform_settings_t settings;
      ca_error_t error;
      char path[64];
      int fd = memfd_create ("settings", 0);

      dprintf (fd, "%s%s\n", required, settings_cases[i].line);
      snprintf (path, sizeof path, "/proc/self/fd/%d", fd);
      ca_error_init (&error);
      assert_int_equal (ca_platform_settings_read (&settings, path, &error),
                        settings_cases[i].error == NULL);
      if (settings_cases[i].error != NULL)
        assert_non_null (strstr (error.message, settings_cases[i].error));
      close (fd);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_machines),
    cmocka_unit_test (test_floors),
    cmocka_unit_test (test_settings),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
