/* Long randomised runs: requests and faults generated from a seed, with the
 * core's invariants enabled and every answer checked. */
#include "world.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define ZONES 3
#define ENTRIES_PER_ZONE 3
#define ENGINES_PER_ZONE 3
#define EVENTS_DEFAULT 1000000
#define FAULT_PERIOD_US (400 * CA_US_PER_MS)
#define REQUEST_PERIOD_US (12 * CA_US_PER_MS)

/* Time without new requests or faults at the end, in which every request must
 * finish. */
#define SETTLE_US (800 * CA_US_PER_S)

typedef struct
{
  uint32_t first;
  uint32_t seeds;
  uint64_t events;
  uint32_t faults; /* bit set of the fault kinds to inject */
  bool trace;
} soak_options_t;

typedef struct
{
  world_t world;
  uint64_t requests;
  uint64_t keys;
  uint32_t faults;
  bool settling;
  char *intent;
} soak_t;

static const char *const soak_zones[ZONES] = { "z1", "z2", "z3" };
static const char *const soak_workspaces[] = { "w1", "w2", "w3" };
static const char *const soak_classes[]
    = { "quick", "review", "long", "ping", "order" };

static int
soak_random_entry (soak_t *soak)
{
  return (int)world_random_below (&soak->world,
                                  (uint64_t)soak->world.entry_count);
}

static int
soak_random_endpoint (soak_t *soak)
{
  return (int)world_random_below (&soak->world,
                                  (uint64_t)soak->world.endpoint_count);
}

/* Ending faults. */

typedef struct
{
  soak_t *soak;
  void (*undo) (soak_t *soak, int which);
  int which;
} soak_undo_t;

static void
soak_run_undo (world_t *world, world_event_t *event)
{
  soak_undo_t *undo = event->data;

  (void)world;
  undo->undo (undo->soak, undo->which);
}

static void
soak_undo_later (soak_t *soak, uint64_t max_us,
                 void (*undo) (soak_t *soak, int which), int which)
{
  soak_undo_t *data = calloc (1, sizeof *data);
  world_event_t *event;

  data->soak = soak;
  data->undo = undo;
  data->which = which;
  event = world_schedule (&soak->world,
                          1 + world_random_below (&soak->world, max_us),
                          soak_run_undo, -1);
  event->data = data;
  event->free_data = free;
}

static void
soak_undo_entry (soak_t *soak, int which)
{
  world_resume (&soak->world, which);
  world_start (&soak->world, which);
}

static void
soak_undo_endpoint (soak_t *soak, int which)
{
  world_restart (&soak->world, which);
}

static void
soak_undo_store (soak_t *soak, int which)
{
  (void)which;
  soak->world.table.down = false;
  soak->world.table.frozen = false;
  soak->world.table.latency_us = 2 * CA_US_PER_MS;
}

static void
soak_undo_partition (soak_t *soak, int which)
{
  (void)which;
  world_heal (&soak->world);
}

static void
soak_undo_platform (soak_t *soak, int which)
{
  (void)which;
  soak->world.platform_down = false;
  soak->world.list_lag_us = 0;
}

static void
soak_undo_loss (soak_t *soak, int which)
{
  (void)which;
  soak->world.message_loss_rate = 0;
  soak->world.table.answer_loss_rate = 0;
}

/* Faults. */

static void
fault_kill (soak_t *soak)
{
  int entry = soak_random_entry (soak);

  world_kill (&soak->world, entry);
  soak_undo_later (soak, 5 * CA_US_PER_S, soak_undo_entry, entry);
}

static void
fault_pause (soak_t *soak)
{
  int entry = soak_random_entry (soak);

  world_pause (&soak->world, entry);
  soak_undo_later (soak, 8 * CA_US_PER_S, soak_undo_entry, entry);
}

static void
fault_stop (soak_t *soak)
{
  int entry = soak_random_entry (soak);

  if (!soak->world.entries[entry].alive || soak->world.entries[entry].paused)
    return;
  ca_core_stop (&soak->world.entries[entry].core, soak->world.now_us);
  soak_undo_later (soak, 30 * CA_US_PER_S, soak_undo_entry, entry);
}

static void
fault_reclaim_entry (soak_t *soak)
{
  int entry = soak_random_entry (soak);

  if (!soak->world.entries[entry].alive || soak->world.entries[entry].paused)
    return;
  ca_core_reclaimed (&soak->world.entries[entry].core, soak->world.now_us,
                     3 * CA_US_PER_S);
  soak_undo_later (soak, 10 * CA_US_PER_S, soak_undo_entry, entry);
}

static void
fault_reclaim (soak_t *soak)
{
  int endpoint = soak_random_endpoint (soak);

  world_reclaim (&soak->world, endpoint,
                 CA_US_PER_S
                     + world_random_below (&soak->world, 5 * CA_US_PER_S));
  soak_undo_later (soak, 15 * CA_US_PER_S, soak_undo_endpoint, endpoint);
}

static void
fault_reclaim_zone (soak_t *soak)
{
  const char *zone = soak_zones[world_random_below (&soak->world, ZONES)];

  for (int i = 0; i < soak->world.endpoint_count; i++)
    {
      if (strcmp (soak->world.endpoints[i].zone, zone) != 0)
        continue;
      world_reclaim (&soak->world, i, 4 * CA_US_PER_S);
      soak_undo_later (soak, 15 * CA_US_PER_S, soak_undo_endpoint, i);
    }
}

static void
fault_crash (soak_t *soak)
{
  int endpoint = soak_random_endpoint (soak);

  world_crash (&soak->world, endpoint);
  soak_undo_later (soak, 4 * CA_US_PER_S, soak_undo_endpoint, endpoint);
}

static void
fault_silence (soak_t *soak)
{
  world_silence (&soak->world, soak_random_endpoint (soak));
}

static void
fault_store_down (soak_t *soak)
{
  soak->world.table.down = true;
  soak_undo_later (soak, 6 * CA_US_PER_S, soak_undo_store, 0);
}

static void
fault_store_frozen (soak_t *soak)
{
  soak->world.table.frozen = true;
  soak_undo_later (soak, 6 * CA_US_PER_S, soak_undo_store, 0);
}

static void
fault_store_slow (soak_t *soak)
{
  soak->world.table.latency_us = 300 * CA_US_PER_MS;
  soak_undo_later (soak, 6 * CA_US_PER_S, soak_undo_store, 0);
}

static void
fault_lose_messages (soak_t *soak)
{
  soak->world.message_loss_rate = 0.05;
  soak->world.table.answer_loss_rate = 0.2;
  soak_undo_later (soak, 5 * CA_US_PER_S, soak_undo_loss, 0);
}

static void
fault_partition (soak_t *soak)
{
  uint64_t zone = world_random_below (&soak->world, ZONES);

  world_partition (&soak->world, soak_zones[zone],
                   soak_zones[(zone + 1) % ZONES]);
  if (world_random_below (&soak->world, 2) == 0)
    world_partition (&soak->world, soak_zones[zone], "platform");
  soak_undo_later (soak, 8 * CA_US_PER_S, soak_undo_partition, 0);
}

static void
fault_platform (soak_t *soak)
{
  soak->world.platform_down = world_random_below (&soak->world, 2) == 0;
  soak->world.list_lag_us = 5 * CA_US_PER_S;
  soak_undo_later (soak, 10 * CA_US_PER_S, soak_undo_platform, 0);
}

typedef struct
{
  const char *name;
  void (*run) (soak_t *soak);
} soak_fault_t;

static const soak_fault_t soak_faults[] = {
  { "kill entry", fault_kill },
  { "pause entry", fault_pause },
  { "stop entry", fault_stop },
  { "reclaim entry", fault_reclaim_entry },
  { "reclaim endpoint", fault_reclaim },
  { "reclaim zone", fault_reclaim_zone },
  { "crash endpoint", fault_crash },
  { "stalled connections", fault_silence },
  { "store down", fault_store_down },
  { "store frozen", fault_store_frozen },
  { "store slow", fault_store_slow },
  { "lost messages and answers", fault_lose_messages },
  { "partitioned zones", fault_partition },
  { "platform list down or late", fault_platform },
};

#define FAULT_KINDS (sizeof soak_faults / sizeof soak_faults[0])

static void
soak_inject_fault (world_t *world, world_event_t *event)
{
  soak_t *soak = event->data;
  size_t which = (size_t)world_random_below (world, FAULT_KINDS);

  if (soak->settling)
    return;
  if (soak->faults & (1u << which))
    {
      if (world->trace != NULL)
        fprintf (world->trace, "%.6f fault: %s\n", (double)world->now_us / 1e6,
                 soak_faults[which].name);
      soak_faults[which].run (soak);
    }
  world_schedule (world, world_random_below (world, 2 * FAULT_PERIOD_US),
                  soak_inject_fault, -1)
      ->data
      = soak;
}

/* Requests. */

/* Picks a key.  One in three repeats one of the last 20, so that the same
 * request is sent again through any entry. */
static void
soak_pick_key (soak_t *soak, char key[CA_NAME_BYTES], char prompt[64])
{
  uint64_t number;

  if (soak->keys > 0 && world_random_below (&soak->world, 3) == 0)
    number = soak->keys
             - world_random_below (&soak->world,
                                   soak->keys < 20 ? soak->keys : 20);
  else
    number = ++soak->keys;
  snprintf (key, CA_NAME_BYTES, "k%llu", (unsigned long long)number);
  snprintf (prompt, 64, "prompt of key %llu", (unsigned long long)number);
}

static void
soak_send_request (soak_t *soak)
{
  world_t *world = &soak->world;
  int entry = soak_random_entry (soak);
  const char *class_name = soak_classes[world_random_below (world, 5)];
  char name[WORLD_NAME_BYTES];
  char key[CA_NAME_BYTES];
  char prompt[64];
  bool has_key
      = strcmp (class_name, "review") == 0 || strcmp (class_name, "order") == 0;
  uint64_t number;
  uint32_t tokens = 4 + (uint32_t)world_random_below (world, 60);

  if (!world->entries[entry].alive || world->entries[entry].paused
      || world->entries[entry].core.stopping)
    return;
  snprintf (name, sizeof name, "r%llu", (unsigned long long)++soak->requests);
  if (has_key)
    {
      soak_pick_key (soak, key, prompt);
      number = strtoull (key + 1, NULL, 10);
      class_name = number % 2 == 0 ? "review" : "order";
      tokens = 4 + (uint32_t)(number % 60);
    }
  else
    snprintf (prompt, sizeof prompt, "%s %llu",
              world_random_below (world, 3000) == 0 ? "poison" : "plain",
              (unsigned long long)world_random_below (world, 500));
  world_request (world, name, entry,
                 soak_workspaces[has_key ? 0 : world_random_below (world, 3)],
                 class_name, has_key ? key : NULL, prompt, tokens,
                 world_random_below (world, 2) == 0);
}

static void
soak_next_request (world_t *world, world_event_t *event)
{
  soak_t *soak = event->data;

  if (soak->settling)
    return;
  soak_send_request (soak);
  world_schedule (world, world_random_below (world, 2 * REQUEST_PERIOD_US),
                  soak_next_request, -1)
      ->data
      = soak;
}

/* Running one seed. */

static void
soak_build (soak_t *soak)
{
  char name[WORLD_NAME_BYTES];

  for (int z = 0; z < ZONES; z++)
    {
      for (int i = 0; i < ENTRIES_PER_ZONE; i++)
        {
          snprintf (name, sizeof name, "%s-%d", soak_zones[z], i);
          world_add_entry (&soak->world, name, soak_zones[z]);
        }
      for (int i = 0; i < ENGINES_PER_ZONE; i++)
        {
          snprintf (name, sizeof name, "e%d-%d", z, i);
          world_add_endpoint (&soak->world, name, soak_zones[z], "chat", false);
        }
      snprintf (name, sizeof name, "s%d", z);
      world_add_endpoint (&soak->world, name, soak_zones[z], "orders", true);
    }
}

static void
soak_clear_faults (soak_t *soak)
{
  soak->settling = true;
  soak_undo_store (soak, 0);
  soak_undo_partition (soak, 0);
  soak_undo_platform (soak, 0);
  soak_undo_loss (soak, 0);
  for (int i = 0; i < soak->world.entry_count; i++)
    soak_undo_entry (soak, i);
  for (int i = 0; i < soak->world.endpoint_count; i++)
    soak_undo_endpoint (soak, i);
}

typedef struct
{
  uint64_t violations;
  uint64_t events;
  uint64_t answered;
  uint64_t refused;
  uint64_t lost;
  uint64_t peak_writes;
  uint64_t peak_reads;
  char first_violation[256];
} soak_result_t;

static void
soak_count (const soak_t *soak, soak_result_t *result)
{
  const world_request_t *request;

  for (request = soak->world.requests; request != NULL;
       request = (const world_request_t *)request->hh.next)
    {
      result->answered += request->status == WORLD_ANSWERED;
      result->refused += request->status == WORLD_REFUSED;
      result->lost += request->status == WORLD_LOST;
    }
  result->violations = soak->world.violations;
  result->events = soak->world.events_run;
  result->peak_writes = soak->world.table.peak_writes;
  result->peak_reads = soak->world.table.peak_reads;
  memcpy (result->first_violation, soak->world.first_violation,
          sizeof result->first_violation);
}

static void
soak_run_seed (uint32_t seed, const soak_options_t *options, const char *intent,
               soak_result_t *result)
{
  soak_t *soak = calloc (1, sizeof *soak);

  memset (result, 0, sizeof *result);
  world_init (&soak->world, seed, ZONES * ENTRIES_PER_ZONE);
  soak->faults = options->faults;
  if (options->trace)
    soak->world.trace = stderr;
  soak_build (soak);
  world_run_until (&soak->world, 5 * CA_US_PER_S);
  if (!world_configure (&soak->world, 0, intent))
    world_violation (&soak->world, "the first intent was not confirmed");
  world_run_until (&soak->world, soak->world.now_us + 5 * CA_US_PER_S);
  world_schedule (&soak->world, 0, soak_next_request, -1)->data = soak;
  world_schedule (&soak->world, 0, soak_inject_fault, -1)->data = soak;
  while (soak->world.events_run < options->events)
    world_run_until (&soak->world, soak->world.now_us + CA_US_PER_S);
  soak_clear_faults (soak);
  world_run_until (&soak->world, soak->world.now_us + SETTLE_US);
  world_check (&soak->world);
  soak_count (soak, result);
  world_finish (&soak->world);
  free (soak);
}

/* Removes one kind of fault after another as long as the seed still fails. */
static uint32_t
soak_shrink (uint32_t seed, const soak_options_t *options, const char *intent)
{
  soak_options_t trial = *options;

  for (size_t i = 0; i < FAULT_KINDS; i++)
    {
      soak_result_t result;
      uint32_t before = trial.faults;

      if (!(before & (1u << i)))
        continue;
      trial.faults = before & ~(1u << i);
      soak_run_seed (seed, &trial, intent, &result);
      if (result.violations == 0)
        trial.faults = before;
    }
  return trial.faults;
}

static void
soak_report_failure (uint32_t seed, const soak_options_t *options,
                     const char *intent, const soak_result_t *result)
{
  uint32_t kinds;

  printf ("seed %u FAILED: %s\n", seed, result->first_violation);
  if (options->trace)
    return;
  kinds = soak_shrink (seed, options, intent);
  printf ("  faults needed (--faults %u):", kinds);
  for (size_t i = 0; i < FAULT_KINDS; i++)
    {
      if (kinds & (1u << i))
        printf (" [%s]", soak_faults[i].name);
    }
  printf ("\n");
}

static const struct argp_option soak_argp_options[] = {
  { "first", 'f', "SEED", 0, "first seed (1)", 0 },
  { "seeds", 's', "N", 0, "number of seeds (1)", 0 },
  { "events", 'e', "N", 0, "events per seed (1000000)", 0 },
  { "faults", 'k', "BITS", 0, "bit set of the fault kinds to inject (all)", 0 },
  { "trace", 't', NULL, 0, "print every event", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
soak_parse (int key, char *value, struct argp_state *state)
{
  soak_options_t *options = state->input;

  switch (key)
    {
    case 'f':
      options->first = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 's':
      options->seeds = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'e':
      options->events = strtoull (value, NULL, 10);
      return 0;
    case 'k':
      options->faults = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 't':
      options->trace = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static char *
soak_read_intent (void)
{
  char *text = calloc (1, 65536);
  FILE *in = fopen (WORLD_INTENT, "r");

  if (in == NULL)
    {
      fprintf (stderr, "cannot read %s\n", WORLD_INTENT);
      exit (2);
    }
  text[fread (text, 1, 65535, in)] = '\0';
  fclose (in);
  return text;
}

int
main (int argc, char **argv)
{
  struct argp parser
      = { soak_argp_options,
          soak_parse,
          NULL,
          "Randomised simulation runs with the core's invariants enabled.",
          NULL,
          NULL,
          NULL };
  soak_options_t options = { 1, 1, EVENTS_DEFAULT, UINT32_MAX, false };
  char *intent = soak_read_intent ();
  uint32_t failed = 0;

  argp_parse (&parser, argc, argv, 0, NULL, &options);
  for (uint32_t i = 0; i < options.seeds; i++)
    {
      uint32_t seed = options.first + i;
      soak_result_t result;

      soak_run_seed (seed, &options, intent, &result);
      printf ("seed %u: %llu events, %llu answered, %llu refused, %llu lost "
              "with their entry, peak %llu writes %llu reads a second\n",
              seed, (unsigned long long)result.events,
              (unsigned long long)result.answered,
              (unsigned long long)result.refused,
              (unsigned long long)result.lost,
              (unsigned long long)result.peak_writes,
              (unsigned long long)result.peak_reads);
      if (result.violations > 0)
        {
          failed++;
          soak_report_failure (seed, &options, intent, &result);
        }
      fflush (stdout);
    }
  printf ("%u passed, %u failed\n", options.seeds - failed, failed);
  free (intent);
  return failed == 0 ? 0 : 1;
}
