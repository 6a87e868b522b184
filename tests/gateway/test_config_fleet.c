/* Guards against versions with many routes that come late, or hold up other
 * messages, in fleets of 8, 82 and 300 entries with narrow links.  Virtual
 * time; a link carries one message after the other, in each direction. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "cluster.h"
#include "gateway/watch.h"
#include "platform/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define MAX_ENTRIES 300
#define ZONES 4
#define BOUND_MS 3000
#define STEP_US (5 * CA_US_PER_MS)
#define DELAY_US (2 * CA_US_PER_MS)
#define WALL_US UINT64_C (1700000000000000)

/* Bytes a second; the first two entries of each zone have wide links. */
#define NARROW 1250000.0
#define WIDE 25000000.0

/* A link on which nothing is acknowledged for so long is closed. */
#define LINK_ACK_US (500 * CA_US_PER_MS)

/* Share of a text that its encoding in the store adds. */
#define STORE_OVERHEAD 1.34

typedef struct message
{
  uint64_t arrives_us;
  uint8_t *packed;
  size_t bytes;
  TAILQ_ENTRY (message) entries;
} message_t;

typedef struct
{
  ca_gateway_t gateway;
  ca_watch_t watch;
  bool alive;
  bool store_cut; /* its calls to the store bring nothing */
  double rate;
  uint64_t up_free_us;
  uint64_t down_free_us;
  TAILQ_HEAD (, message) queue;
  bool calls;
  uint64_t call_after;
  uint64_t call_until_us;
  bool answered;       /* the answer is on its way */
  double answer_bytes; /* that have not arrived */
  uint64_t answer_changed;
} entry_t;

static struct
{
  entry_t entries[MAX_ENTRIES];
  size_t count;
  bool all_narrow;
  double loss;
  uint64_t now_us;
  uint64_t version; /* of the store, raised by other tables too */
  uint64_t changed; /* the latest change of the configuration */
  char *text;
  size_t bytes;
  uint64_t longest_wait_us;
  uint64_t sent_bytes;
  unsigned short rng[3];
} world;

static char *
configuration (uint64_t version, size_t routes, size_t *bytes)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, bytes);

  fprintf (out, "{\"version\":%llu,\"routes\":[", (unsigned long long)version);
  for (size_t i = 0; i < routes; i++)
    fprintf (out,
             "%s{\"name\":\"r-%zx\",\"host\":\"h%zu.example\",\"prefix\":"
             "\"/p%zu/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1000,"
             "\"target_latency_ms\":150,\"priority\":2,\"service\":\"a\","
             "\"max_attempts\":2}",
             i == 0 ? "" : ",", i * 2654435761u, i % 100, i);
  fputs ("],\"services\":[{\"name\":\"a\"}]}", out);
  fclose (out);
  return text;
}

/* Time at which bytes sent now have left a link. */
static uint64_t
link_pass (uint64_t *free_us, uint64_t from_us, size_t bytes, double rate)
{
  uint64_t start_us = *free_us > from_us ? *free_us : from_us;

  *free_us = start_us + (uint64_t)((double)bytes / rate * 1e6);
  return *free_us;
}

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  entry_t *from = context;
  entry_t *entry = &world.entries[to->port];
  message_t *message;
  uint64_t sent_us;

  if (!entry->alive || erand48 (world.rng) < world.loss)
    return;
  message = calloc (1, sizeof *message);
  message->bytes = camphor__envelope__get_packed_size (envelope);
  message->packed = malloc (message->bytes);
  camphor__envelope__pack (envelope, message->packed);
  sent_us
      = link_pass (&from->up_free_us, world.now_us, message->bytes, from->rate);
  message->arrives_us = DELAY_US
                        + link_pass (&entry->down_free_us, sent_us,
                                     message->bytes, entry->rate);
  if (message->arrives_us - world.now_us > world.longest_wait_us)
    world.longest_wait_us = message->arrives_us - world.now_us;
  world.sent_bytes += message->bytes;
  TAILQ_INSERT_TAIL (&entry->queue, message, entries);
}

static void
message_free (entry_t *entry, message_t *message)
{
  TAILQ_REMOVE (&entry->queue, message, entries);
  free (message->packed);
  free (message);
}

static void
receive (entry_t *entry)
{
  message_t *message;

  while ((message = TAILQ_FIRST (&entry->queue)) != NULL
         && message->arrives_us <= world.now_us)
    {
      Camphor__Envelope *envelope
          = camphor__envelope__unpack (NULL, message->bytes, message->packed);

      ca_gateway_envelope (&entry->gateway, world.now_us, envelope);
      camphor__envelope__free_unpacked (envelope, NULL);
      message_free (entry, message);
    }
}

/* Builds a text after the one in force. */
static void
apply (entry_t *entry, const char *text, size_t bytes)
{
  ca_config_build_t build;
  ca_error_t error;

  ca_error_init (&error);
  assert_true (ca_config_build_init (&build, text, bytes,
                                     entry->gateway.catalog, &error));
  assert_int_equal (ca_config_build_step (&build, build.row_count, &error),
                    CA_CONFIG_BUILD_DONE);
  ca_gateway_catalog (&entry->gateway, world.now_us,
                      ca_config_build_take (&build));
  ca_config_build_finish (&build);
}

static void
on_parse (void *context, uint64_t version, const void *text, size_t bytes)
{
  (void)version;
  apply (context, text, bytes);
}

static void
on_update (void *context, const Camphor__TableWord *update,
           uint64_t validated_us)
{
  entry_t *entry = context;
  ca_watch_t *watch = &entry->watch;

  if (update->n_rows == 0 && update->config_version != 0)
    {
      if (entry->gateway.catalog->version >= update->config_version)
        ca_watch_apply_update (watch, 0, update->until, validated_us,
                               update->after > watch->last_change_version);
      return;
    }
  if (ca_watch_apply_update (watch, update->after, update->until, validated_us,
                             update->n_rows > 0))
    apply (entry, (char *)update->rows[0]->value.data,
           update->rows[0]->value.len);
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  (void)context;
  (void)event;
}

static void
on_call (void *context, ca_watch_t *watch)
{
  entry_t *entry = context;

  entry->calls = true;
  entry->answered = false;
  entry->call_after = watch->listed ? watch->after : 0;
  entry->call_until_us
      = world.now_us + (watch->listed ? watch->call_wait_ms * CA_US_PER_MS : 0);
}

static void
on_cancel (void *context, ca_watch_t *watch)
{
  (void)watch;
  ((entry_t *)context)->calls = false;
}

/* Answers a call to the store over the entry's link. */
static void
store_tick (entry_t *entry)
{
  uint64_t last_change_version = entry->watch.last_change_version;
  bool is_feed = entry->watch.listed;
  Camphor__TableRow row = CAMPHOR__TABLE_ROW__INIT;
  Camphor__TableRow *rows = &row;
  bool changed;

  if (!entry->calls || entry->store_cut)
    return;
  if (!entry->answered
      && (world.changed > entry->call_after
          || world.now_us >= entry->call_until_us))
    {
      entry->answered = true;
      entry->answer_changed
          = world.changed > entry->call_after ? world.changed : 0;
      entry->answer_bytes = entry->answer_changed == 0
                                ? 0
                                : (double)world.bytes * STORE_OVERHEAD;
    }
  if (!entry->answered)
    return;
  if (entry->answer_bytes > 0)
    {
      /* Messages of peers pass between the pieces of an answer. */
      if (entry->down_free_us <= world.now_us)
        {
          double piece = entry->rate * STEP_US / 1e6;

          link_pass (&entry->down_free_us, world.now_us, (size_t)piece,
                     entry->rate);
          entry->answer_bytes -= piece;
        }
      return;
    }
  entry->calls = false;
  changed
      = entry->answer_changed != 0 && entry->answer_changed == world.changed;
  if (changed)
    apply (entry, world.text, world.bytes);
  row.key = "config";
  row.value.data = (uint8_t *)world.text;
  row.value.len = world.bytes;
  ca_watch_done (&entry->watch, world.now_us, CA_WATCH_OK,
                 changed ? world.version : entry->watch.after, changed,
                 world.now_us);
  if (is_feed && changed)
    ca_relay_rows (&entry->gateway, world.now_us, &entry->watch,
                   last_change_version, &rows, 1);
}

static void
entry_start (size_t index)
{
  entry_t *entry = &world.entries[index];
  ca_gateway_ports_t ports = { .context = entry,
                               .send_peer = on_send,
                               .apply_table_update = on_update,
                               .parse_catalog = on_parse,
                               .log = on_log };
  ca_gateway_options_t options;
  char zone[8];

  snprintf (zone, sizeof zone, "z%zu", index % ZONES);
  cluster_options (&options, index, zone);
  options.bounds.propagation_ms = BOUND_MS;
  options.bounds.usage_window_s = 5;
  options.bounds.retry_window_ms = 10000;
  memset (entry, 0, sizeof *entry);
  TAILQ_INIT (&entry->queue);
  entry->rate = index < 2 * ZONES && !world.all_narrow ? WIDE : NARROW;
  entry->alive = true;
  ca_gateway_init (&entry->gateway, &options, &ports, world.now_us,
                   WALL_US + world.now_us + index);
  ca_watch_init (&entry->watch, "op", 0, 10000, 250, on_call, on_call, entry);
  entry->watch.holds_config = true;
  entry->watch.cancel = on_cancel;
  cluster_add_peers (&entry->gateway, world.count);
  apply (entry, world.text, world.bytes);
  ca_gateway_config_validated (&entry->gateway, world.now_us, world.now_us,
                               world.now_us);
}

static void
entry_end (entry_t *entry)
{
  while (!TAILQ_EMPTY (&entry->queue))
    message_free (entry, TAILQ_FIRST (&entry->queue));
  ca_gateway_finish (&entry->gateway);
  entry->alive = false;
}

static void
world_run (uint64_t ms)
{
  uint64_t until_us = world.now_us + ms * CA_US_PER_MS;

  while (world.now_us < until_us)
    {
      world.now_us += STEP_US;
      world.version++;
      for (size_t i = 0; i < world.count; i++)
        {
          entry_t *entry = &world.entries[i];

          if (!entry->alive)
            continue;
          receive (entry);
          store_tick (entry);
          if ((world.now_us / STEP_US + i) % (CA_GATEWAY_TICK_US / STEP_US)
              != 0)
            continue;
          ca_relay_tick (&entry->gateway, world.now_us, &entry->watch);
          ca_watch_tick (&entry->watch, world.now_us);
          ca_gateway_tick (&entry->gateway, world.now_us,
                           WALL_US + world.now_us);
        }
    }
}

static void
world_start (size_t count, bool all_narrow)
{
  memset (&world, 0, sizeof world);
  world.count = count;
  world.all_narrow = all_narrow;
  world.now_us = UINT64_C (1000000000);
  world.version = 1;
  world.changed = 1;
  world.text = configuration (1, 6, &world.bytes);
  for (size_t i = 0; i < count; i++)
    entry_start (i);
  world_run (12000);
}

static void
world_end (void)
{
  for (size_t i = 0; i < world.count; i++)
    {
      if (world.entries[i].alive)
        entry_end (&world.entries[i]);
    }
  free (world.text);
}

static entry_t *
reader_of (size_t zone)
{
  for (size_t i = zone; i < world.count; i += ZONES)
    {
      if (world.entries[i].alive
          && world.entries[i].watch.role == CA_WATCH_READER)
        return &world.entries[i];
    }
  return NULL;
}

/* Writes a version and returns the time until all entries have it in force. */
static uint64_t
time_to_propagate_ms (uint64_t version, size_t routes)
{
  uint64_t from_us = world.now_us;
  bool all = false;

  free (world.text);
  world.text = configuration (version, routes, &world.bytes);
  world.changed = ++world.version;
  while (!all && world.now_us - from_us < 20 * CA_US_PER_S)
    {
      world_run (STEP_US / CA_US_PER_MS);
      all = true;
      for (size_t i = 0; i < world.count; i++)
        all = all
              && (!world.entries[i].alive
                  || world.entries[i].gateway.catalog->version >= version);
    }
  return (world.now_us - from_us) / CA_US_PER_MS;
}

/* Writes versions that grow, and one more of each size, in quick series. */
static void
check_versions (size_t count, bool all_narrow, double loss, size_t step)
{
  uint64_t version = 1;

  world_start (count, all_narrow);
  world.loss = loss;
  world.longest_wait_us = 0;
  for (size_t routes = step; routes <= 3 * step; routes += step)
    {
      for (int i = 0; i < 2; i++)
        {
          uint64_t before = world.sent_bytes;
          uint64_t took_ms = time_to_propagate_ms (++version, routes);

          printf ("%zu entries%s%s, %zu routes%s: %llu ms, %llu KB between "
                  "entries, a message under way for up to %llu ms\n",
                  count, all_narrow ? ", all narrow" : "",
                  loss > 0 ? ", losses" : "", routes, i > 0 ? " again" : "",
                  (unsigned long long)took_ms,
                  (unsigned long long)(world.sent_bytes - before) / 1000,
                  (unsigned long long)world.longest_wait_us / 1000);
          assert_true (took_ms <= BOUND_MS);
          assert_true (world.longest_wait_us < LINK_ACK_US);
        }
    }
  world_end ();
}

static void
test_8_entries (void **state)
{
  (void)state;
  check_versions (8, false, 0, 1400);
}

static void
test_82_entries (void **state)
{
  (void)state;
  check_versions (82, false, 0, 1400);
}

static void
test_82_entries_all_narrow (void **state)
{
  (void)state;
  check_versions (82, true, 0, 1400);
}

static void
test_82_entries_lose_messages (void **state)
{
  (void)state;
  check_versions (82, false, 0.02, 700);
}

static void
test_300_entries (void **state)
{
  (void)state;
  check_versions (300, false, 0, 700);
}

/* The readers end while their peers request parts. */
static void
test_readers_end (void **state)
{
  uint64_t took_ms;

  (void)state;
  world_start (82, true);
  free (world.text);
  world.text = configuration (2, 2800, &world.bytes);
  world.changed = ++world.version;
  for (size_t zone = 0; zone < ZONES; zone++)
    {
      entry_t *reader = reader_of (zone);

      assert_non_null (reader);
      while (reader->gateway.catalog->version < 2)
        world_run (STEP_US / CA_US_PER_MS);
      world_run (STEP_US / CA_US_PER_MS);
      entry_end (reader);
    }
  took_ms = time_to_propagate_ms (3, 2800);
  printf ("readers end: %llu ms\n", (unsigned long long)took_ms);
  assert_true (took_ms <= BOUND_MS);
  world_end ();
}

/* Gives an entry a version that no message brought. */
static void
apply_version (entry_t *entry, uint64_t version, size_t routes)
{
  size_t bytes;
  char *text = configuration (version, routes, &bytes);

  apply (entry, text, bytes);
  ca_gateway_config_validated (&entry->gateway, world.now_us, world.now_us,
                               world.now_us);
  free (text);
}

/* An entry gets the version before by another way as it requests parts. */
static void
test_version_between_parts (void **state)
{
  entry_t *sender = &world.entries[0];
  entry_t *receiver = &world.entries[1];
  uint64_t from_us;

  (void)state;
  world_start (2, true);
  sender->store_cut = true;
  receiver->store_cut = true;
  apply_version (sender, 2, 4000);
  apply_version (sender, 3, 8000);
  from_us = world.now_us;
  while (receiver->gateway.config_transfer.received_bytes == 0
         && world.now_us - from_us < 5 * CA_US_PER_S)
    world_run (STEP_US / CA_US_PER_MS);
  assert_true (receiver->gateway.config_transfer.received_bytes > 0);
  apply_version (receiver, 2, 4000);
  from_us = world.now_us;
  while (receiver->gateway.catalog->version < 3
         && world.now_us - from_us < 20 * CA_US_PER_S)
    world_run (STEP_US / CA_US_PER_MS);
  printf ("version between parts: %llu ms\n",
          (unsigned long long)(world.now_us - from_us) / CA_US_PER_MS);
  assert_true (world.now_us - from_us <= BOUND_MS * CA_US_PER_MS);
  world_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_8_entries),
    cmocka_unit_test (test_82_entries),
    cmocka_unit_test (test_82_entries_all_narrow),
    cmocka_unit_test (test_82_entries_lose_messages),
    cmocka_unit_test (test_300_entries),
    cmocka_unit_test (test_readers_end),
    cmocka_unit_test (test_version_between_parts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
