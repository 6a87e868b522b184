/* Guards against reports of a completed run that entries pass on for ever, each
 * time a little later, so that later crashes are refuted, and against records
 * of a wave of crashes that keep others out of the heartbeats.  Runs in virtual
 * time, with a delay of messages. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "cluster.h"
#include "gateway/gateway.h"
#include "gateway/private.h"

#include <string.h>

#define ENTRIES 8
#define WALL_US UINT64_C (1700000000000000)
#define DELAY_TICKS 2
#define TICKS_PER_S (CA_US_PER_S / CA_GATEWAY_TICK_US)
#define FINGERPRINT 77
#define WAVE_RECORDS 100
#define MESSAGES_MAX 256
#define MESSAGE_BYTES 8192

typedef struct
{
  uint16_t to;
  size_t bytes;
  uint8_t packed[MESSAGE_BYTES];
} message_t;

static struct
{
  ca_gateway_t gateways[ENTRIES];
  uint64_t now_us;
  uint64_t tick;
  message_t messages[DELAY_TICKS + 1][MESSAGES_MAX];
  size_t counts[DELAY_TICKS + 1];
  uint64_t reports; /* heartbeats with crash records */
} world;

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  size_t slot = (world.tick + DELAY_TICKS) % (DELAY_TICKS + 1);
  message_t *message = &world.messages[slot][world.counts[slot]++];

  (void)context;
  assert_true (world.counts[slot] < MESSAGES_MAX);
  message->to = to->port;
  message->bytes = camphor__envelope__get_packed_size (envelope);
  assert_true (message->bytes <= MESSAGE_BYTES);
  camphor__envelope__pack (envelope, message->packed);
  if (envelope->body_case == CAMPHOR__ENVELOPE__BODY_PULSE
      && envelope->pulse->n_strikes > 0)
    world.reports++;
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  (void)context;
  (void)event;
}

static void
deliver_messages (void)
{
  size_t slot = world.tick % (DELAY_TICKS + 1);

  for (size_t i = 0; i < world.counts[slot]; i++)
    {
      const message_t *message = &world.messages[slot][i];
      Camphor__Envelope *envelope
          = camphor__envelope__unpack (NULL, message->bytes, message->packed);

      ca_gateway_envelope (&world.gateways[message->to], world.now_us,
                           envelope);
      camphor__envelope__free_unpacked (envelope, NULL);
    }
  world.counts[slot] = 0;
}

static void
world_run (uint64_t seconds)
{
  for (uint64_t i = 0; i < seconds * TICKS_PER_S; i++)
    {
      world.now_us += CA_GATEWAY_TICK_US;
      world.tick++;
      deliver_messages ();
      for (size_t k = 0; k < ENTRIES; k++)
        ca_gateway_tick (&world.gateways[k], world.now_us,
                         WALL_US + world.now_us);
    }
}

static void
entry_start (size_t index)
{
  ca_gateway_ports_t ports = { .send_peer = on_send, .log = on_log };
  ca_gateway_options_t options;

  cluster_options (&options, index, "z");
  options.bounds.usage_window_s = 5;
  options.bounds.usage_delay_s = 10;
  options.bounds.retry_window_ms = 10000;
  ca_gateway_init (&world.gateways[index], &options, &ports, world.now_us,
                   WALL_US + world.now_us + index);
  cluster_add_peers (&world.gateways[index], ENTRIES);
}

static void
run_completed (size_t entry, uint64_t fingerprint)
{
  const ca_exchange_t exchange = { .fingerprint = fingerprint };

  ca_crash_tracker_completed (&world.gateways[entry], &exchange);
}

static bool
is_blocked (size_t entry, uint64_t fingerprint)
{
  const ca_exchange_t exchange = { .fingerprint = fingerprint };

  return ca_crash_tracker_check (&world.gateways[entry], &exchange)
         == CA_REFUSE_QUARANTINED;
}

static void
world_start (void)
{
  memset (&world, 0, sizeof world);
  world.now_us = UINT64_C (1000000000);
  for (size_t i = 0; i < ENTRIES; i++)
    entry_start (i);
}

static void
world_finish (void)
{
  for (size_t i = 0; i < ENTRIES; i++)
    ca_gateway_finish (&world.gateways[i]);
}

/* Tells one entry of crashes, as a peer does. */
static void
report_crashes (size_t index, uint64_t fingerprint, uint64_t first_process,
                size_t count)
{
  uint64_t processes[CA_CRASHES_MAX];
  uint32_t ages_ms[CA_CRASHES_MAX] = { 0 };
  Camphor__Strike row = CAMPHOR__STRIKE__INIT;
  Camphor__Strike *rows[] = { &row };
  Camphor__Pulse heartbeat = CAMPHOR__PULSE__INIT;

  for (size_t i = 0; i < count; i++)
    processes[i] = first_process + i;
  row.fingerprint = fingerprint;
  row.instances = processes;
  row.n_instances = count;
  row.ages_ms = ages_ms;
  row.n_ages_ms = count;
  heartbeat.strikes = rows;
  heartbeat.n_strikes = 1;
  ca_crash_tracker_merge (&world.gateways[index], 1, &heartbeat);
}

static void
test_completed_run_is_forgotten (void **state)
{
  (void)state;
  world_start ();
  world_run (5);
  report_crashes (0, FINGERPRINT, 1, 2);
  world_run (3);
  run_completed (1, FINGERPRINT);
  world_run (20);
  world.reports = 0;
  world_run (10);
  assert_int_equal (world.reports, 0);
  report_crashes (2, FINGERPRINT, 11, CA_CRASHES_MAX);
  world_run (3);
  for (size_t i = 0; i < ENTRIES; i++)
    assert_true (is_blocked (i, FINGERPRINT));
  world_finish ();
}

static void
test_completed_run_clears_everywhere (void **state)
{
  (void)state;
  world_start ();
  world_run (5);
  report_crashes (0, FINGERPRINT, 1, 2);
  world_run (3);
  run_completed (1, FINGERPRINT);
  world_run (3);
  report_crashes (3, FINGERPRINT, 21, 1);
  world_run (3);
  for (size_t i = 0; i < ENTRIES; i++)
    assert_false (is_blocked (i, FINGERPRINT));
  world_finish ();
}

/* A wave leaves many requests with two crashes each. */
static void
test_records_of_a_wave (void **state)
{
  (void)state;
  world_start ();
  world_run (5);
  for (size_t i = 0; i < WAVE_RECORDS; i++)
    report_crashes (i % ENTRIES, 1000 + i, 100 + 2 * i, 2);
  world_run (3);
  report_crashes (2, FINGERPRINT, 11, CA_CRASHES_MAX);
  world_run (3);
  for (size_t i = 0; i < ENTRIES; i++)
    assert_true (is_blocked (i, FINGERPRINT));
  world_finish ();
}

/* Their witnesses know of them, also when they have stopped reporting them. */
static void
test_restarted_entry_learns_of_a_wave (void **state)
{
  (void)state;
  world_start ();
  world_run (5);
  for (size_t i = 0; i < WAVE_RECORDS; i++)
    report_crashes (i % ENTRIES, 1000 + i, 100 + 2 * i, 2);
  world_run (20);
  ca_gateway_finish (&world.gateways[5]);
  entry_start (5);
  world_run (4);
  for (size_t i = 0; i < WAVE_RECORDS; i++)
    {
      report_crashes (5, 1000 + i, 1000 + i, 1);
      assert_true (is_blocked (5, 1000 + i));
    }
  world_finish ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_completed_run_is_forgotten),
    cmocka_unit_test (test_completed_run_clears_everywhere),
    cmocka_unit_test (test_records_of_a_wave),
    cmocka_unit_test (test_restarted_entry_learns_of_a_wave),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
