/* A fleet that reads a configuration, in virtual time. */
#include "config_world.h"

#include "platform/config.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DELAY_US (2 * CA_US_PER_MS)
#define WALL_US UINT64_C (1700000000000000)

/* Bytes a second; the first two entries of each zone have wide links. */
#define NARROW 1250000.0
#define WIDE 25000000.0

/* Processor time of a build, 27 us a KB, at shares of 0.12 and 0.5 of a core.
 */
#define BUILD_US_PER_KB_NARROW 225
#define BUILD_US_PER_KB_WIDE 54

/* Share of a text that its encoding in the store adds. */
#define STORE_OVERHEAD 1.34

struct config_message
{
  uint64_t arrives_us;
  uint8_t *packed;
  size_t bytes;
  TAILQ_ENTRY (config_message) entries;
};

config_world_t config_world;

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
  config_entry_t *from = context;
  config_entry_t *entry = &config_world.entries[to->port];
  config_message_t *message;
  uint64_t sent_us;

  if (!entry->alive || erand48 (config_world.rng) < config_world.loss)
    return;
  message = calloc (1, sizeof *message);
  message->bytes = camphor__envelope__get_packed_size (envelope);
  message->packed = malloc (message->bytes);
  camphor__envelope__pack (envelope, message->packed);
  sent_us = link_pass (&from->up_free_us, config_world.now_us, message->bytes,
                       from->rate);
  message->arrives_us = DELAY_US
                        + link_pass (&entry->down_free_us, sent_us,
                                     message->bytes, entry->rate);
  if (message->arrives_us - config_world.now_us > config_world.longest_wait_us)
    config_world.longest_wait_us = message->arrives_us - config_world.now_us;
  config_world.sent_bytes += message->bytes;
  TAILQ_INSERT_TAIL (&entry->queue, message, entries);
}

static void
message_free (config_entry_t *entry, config_message_t *message)
{
  TAILQ_REMOVE (&entry->queue, message, entries);
  free (message->packed);
  free (message);
}

static void
receive (config_entry_t *entry)
{
  config_message_t *message;

  while ((message = TAILQ_FIRST (&entry->queue)) != NULL
         && message->arrives_us <= config_world.now_us)
    {
      Camphor__Envelope *envelope
          = camphor__envelope__unpack (NULL, message->bytes, message->packed);

      ca_gateway_envelope (&entry->gateway, config_world.now_us, envelope);
      camphor__envelope__free_unpacked (envelope, NULL);
      message_free (entry, message);
    }
}

/* Puts a configuration in force once it is built. */
static void
finish_build (config_entry_t *entry)
{
  ca_catalog_t *catalog = entry->built;

  if (catalog == NULL || config_world.now_us < entry->built_us)
    return;
  entry->built = NULL;
  ca_gateway_catalog (&entry->gateway, config_world.now_us, catalog);
}

/* Builds a text after the one in force. */
static void
apply (config_entry_t *entry, const char *text, size_t bytes)
{
  ca_config_build_t build;
  ca_error_t error;

  ca_error_init (&error);
  assert_true (ca_config_build_init (&build, text, bytes,
                                     entry->gateway.catalog, &error));
  assert_int_equal (ca_config_build_step (&build, build.row_count, &error),
                    CA_CONFIG_BUILD_DONE);
  if (entry->built != NULL)
    ca_catalog_unref (entry->built);
  entry->built = ca_config_build_take (&build);
  entry->built_us = config_world.now_us;
  if (config_world.builds_slowly)
    entry->built_us
        += bytes
           * (entry->is_wide ? BUILD_US_PER_KB_WIDE : BUILD_US_PER_KB_NARROW)
           / 1000;
  ca_config_build_finish (&build);
  finish_build (entry);
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
  config_entry_t *entry = context;
  ca_watch_t *watch = &entry->watch;

  ca_watch_hear (watch, config_world.now_us, update->arriving);
  if (update->n_rows == 0 && update->config_version != 0)
    {
      const ca_watch_named_t named = { .text_version = update->config_version,
                                       .until = update->until,
                                       .changed = update->after,
                                       .validated_us = validated_us };

      ca_watch_name_text (watch, &named);
      ca_watch_text_in_force (watch, entry->gateway.catalog->version);
      return;
    }
  if (update->arriving)
    return;
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
  config_entry_t *entry = context;

  entry->calls = true;
  entry->answered = false;
  entry->call_after = watch->listed ? watch->after : 0;
  entry->call_until_us
      = config_world.now_us
        + (watch->listed ? watch->call_wait_ms * CA_US_PER_MS : 0);
}

static void
on_cancel (void *context, ca_watch_t *watch)
{
  config_entry_t *entry = context;

  (void)watch;
  entry->calls = false;
  free (entry->answer_text);
  entry->answer_text = NULL;
}

/* The store answers with the text that it has now, if that is new. */
static void
store_answer (config_entry_t *entry)
{
  entry->answered = true;
  entry->answered_us = config_world.now_us;
  entry->answer_version = config_world.version;
  entry->answer_changed
      = config_world.changed > entry->call_after ? config_world.changed : 0;
  entry->answer_bytes = 0;
  if (entry->answer_changed == 0)
    return;
  entry->answer_bytes = (double)config_world.bytes * STORE_OVERHEAD;
  entry->answer_text_bytes = config_world.bytes;
  entry->answer_text = malloc (config_world.bytes);
  memcpy (entry->answer_text, config_world.text, config_world.bytes);
}

/* Answers a call to the store over the entry's link. */
static void
store_tick (config_entry_t *entry)
{
  uint64_t last_change_version = entry->watch.last_change_version;
  bool is_feed = entry->watch.listed;
  Camphor__TableRow row = CAMPHOR__TABLE_ROW__INIT;
  Camphor__TableRow *rows = &row;
  char *text;
  bool changed;

  if (!entry->calls || entry->store_cut)
    return;
  if (!entry->answered
      && (config_world.changed > entry->call_after
          || config_world.now_us >= entry->call_until_us))
    store_answer (entry);
  if (!entry->answered)
    return;
  if (entry->answer_bytes > 0)
    {
      /* Messages of peers pass between the pieces of an answer. */
      if (entry->down_free_us <= config_world.now_us)
        {
          double piece = entry->rate * CONFIG_WORLD_STEP_US / 1e6;

          link_pass (&entry->down_free_us, config_world.now_us, (size_t)piece,
                     entry->rate);
          entry->answer_bytes -= piece;
        }
      return;
    }
  entry->calls = false;
  text = entry->answer_text;
  entry->answer_text = NULL;
  changed = text != NULL;
  if (changed)
    {
      entry->texts_read++;
      apply (entry, text, entry->answer_text_bytes);
    }
  row.key = "config";
  row.value.data = (uint8_t *)text;
  row.value.len = entry->answer_text_bytes;
  ca_watch_done (&entry->watch, config_world.now_us, CA_WATCH_OK,
                 changed ? entry->answer_version : entry->watch.after, changed,
                 entry->answered_us);
  if (is_feed && changed)
    ca_relay_rows (&entry->gateway, config_world.now_us, &entry->watch,
                   last_change_version, &rows, 1);
  free (text);
}

/* Bytes that have arrived of a text from the store. */
static size_t
arrived_bytes (const config_entry_t *entry)
{
  double whole = (double)entry->answer_text_bytes * STORE_OVERHEAD;

  return entry->calls && entry->answered && entry->answer_changed != 0
                 && whole > entry->answer_bytes
             ? (size_t)(whole - entry->answer_bytes)
             : 0;
}

static void
entry_start (size_t index)
{
  config_entry_t *entry = &config_world.entries[index];
  ca_gateway_ports_t ports = { .context = entry,
                               .send_peer = on_send,
                               .apply_table_update = on_update,
                               .parse_catalog = on_parse,
                               .log = on_log };
  ca_gateway_options_t options;
  char zone[8];

  snprintf (zone, sizeof zone, "z%zu", index % CONFIG_WORLD_ZONES);
  cluster_options (&options, index, zone);
  options.bounds.propagation_ms = CONFIG_WORLD_BOUND_MS;
  options.bounds.usage_window_s = 5;
  options.bounds.retry_window_ms = 10000;
  memset (entry, 0, sizeof *entry);
  TAILQ_INIT (&entry->queue);
  entry->is_wide = index < 2 * CONFIG_WORLD_ZONES && !config_world.all_narrow;
  entry->rate = entry->is_wide ? WIDE : NARROW;
  entry->alive = true;
  ca_gateway_init (&entry->gateway, &options, &ports, config_world.now_us,
                   WALL_US + config_world.now_us + index);
  ca_watch_init (&entry->watch, "op", 0, 10000, 250, on_call, on_call, entry);
  entry->watch.holds_config = true;
  entry->watch.cancel = on_cancel;
  cluster_add_peers (&entry->gateway, config_world.count);
  apply (entry, config_world.text, config_world.bytes);
  ca_gateway_config_validated (&entry->gateway, config_world.now_us,
                               config_world.now_us, config_world.now_us);
}

void
config_entry_end (config_entry_t *entry)
{
  while (!TAILQ_EMPTY (&entry->queue))
    message_free (entry, TAILQ_FIRST (&entry->queue));
  if (entry->built != NULL)
    ca_catalog_unref (entry->built);
  entry->built = NULL;
  free (entry->answer_text);
  entry->answer_text = NULL;
  ca_gateway_finish (&entry->gateway);
  entry->alive = false;
}

void
config_world_run (uint64_t ms)
{
  uint64_t until_us = config_world.now_us + ms * CA_US_PER_MS;

  while (config_world.now_us < until_us)
    {
      config_world.now_us += CONFIG_WORLD_STEP_US;
      config_world.version++;
      for (size_t i = 0; i < config_world.count; i++)
        {
          config_entry_t *entry = &config_world.entries[i];

          if (!entry->alive || entry->paused)
            continue;
          receive (entry);
          store_tick (entry);
          finish_build (entry);
          if ((config_world.now_us / CONFIG_WORLD_STEP_US + i)
                  % (CA_GATEWAY_TICK_US / CONFIG_WORLD_STEP_US)
              != 0)
            continue;
          ca_watch_text_in_force (&entry->watch,
                                  entry->gateway.catalog->version);
          entry->watch.is_applying = entry->built != NULL;
          if (!entry->watch.is_applying)
            ca_gateway_config_newest (&entry->gateway,
                                      entry->watch.validated_us);
          entry->watch.arriving_bytes = arrived_bytes (entry);
          ca_relay_tick (&entry->gateway, config_world.now_us, &entry->watch);
          ca_watch_tick (&entry->watch, config_world.now_us);
          ca_gateway_tick (&entry->gateway, config_world.now_us,
                           WALL_US + config_world.now_us);
        }
    }
}

void
config_world_start (size_t count, bool all_narrow)
{
  memset (&config_world, 0, sizeof config_world);
  config_world.count = count;
  config_world.all_narrow = all_narrow;
  config_world.now_us = UINT64_C (1000000000);
  config_world.version = 1;
  config_world.changed = 1;
  config_world.text = configuration (1, 6, &config_world.bytes);
  for (size_t i = 0; i < count; i++)
    entry_start (i);
  config_world_run (12000);
}

void
config_world_end (void)
{
  for (size_t i = 0; i < config_world.count; i++)
    {
      if (config_world.entries[i].alive)
        config_entry_end (&config_world.entries[i]);
    }
  free (config_world.text);
}

config_entry_t *
config_world_reader (size_t zone)
{
  for (size_t i = zone; i < config_world.count; i += CONFIG_WORLD_ZONES)
    {
      if (config_world.entries[i].alive
          && config_world.entries[i].watch.role == CA_WATCH_READER)
        return &config_world.entries[i];
    }
  return NULL;
}

void
config_world_write (uint64_t version, size_t routes)
{
  free (config_world.text);
  config_world.text = configuration (version, routes, &config_world.bytes);
  config_world.changed = ++config_world.version;
}

bool
config_world_all_have (uint64_t version, size_t first)
{
  for (size_t i = first; i < config_world.count; i++)
    {
      const config_entry_t *entry = &config_world.entries[i];

      if (entry->alive && entry->gateway.catalog->version < version)
        return false;
    }
  return true;
}

uint64_t
config_world_propagate_ms (uint64_t version, size_t routes)
{
  uint64_t from_us = config_world.now_us;

  config_world_write (version, routes);
  while (!config_world_all_have (version, 0)
         && config_world.now_us - from_us < 20 * CA_US_PER_S)
    config_world_run (CONFIG_WORLD_STEP_US / CA_US_PER_MS);
  return (config_world.now_us - from_us) / CA_US_PER_MS;
}

void
config_entry_apply (config_entry_t *entry, uint64_t version, size_t routes)
{
  size_t bytes;
  char *text = configuration (version, routes, &bytes);

  apply (entry, text, bytes);
  ca_gateway_config_validated (&entry->gateway, config_world.now_us,
                               config_world.now_us, config_world.now_us);
  free (text);
}
