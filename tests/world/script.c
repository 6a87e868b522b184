/* Runs a script of timed events against cores in virtual time and prints the
 * results.  The test compares them with the expected output. */
#include "world.h"

#include "core/private.h"

#include <stdlib.h>
#include <string.h>

#define LINE_BYTES 4096
#define ARGS_MAX 16

typedef struct
{
  world_t world;
  const char *directory; /* holds the intent files */
  int line;
  char plan_id[32];
} script_t;

typedef struct
{
  const char *name;
  int min_args;
  const char *usage;
  void (*run) (script_t *script, char **args, int count);
} script_command_t;

static void
script_fail (const script_t *script, const char *text)
{
  fprintf (stderr, "line %d: %s\n", script->line, text);
  exit (2);
}

static int
script_entry (const script_t *script, const char *name)
{
  int entry = world_find_entry (&script->world, name);

  if (entry < 0)
    script_fail (script, "unknown entry");
  return entry;
}

static int
script_endpoint (const script_t *script, const char *name)
{
  int endpoint = world_find_endpoint (&script->world, name);

  if (endpoint < 0)
    script_fail (script, "unknown endpoint");
  return endpoint;
}

/* Returns the value of the argument "name=value", or NULL. */
static const char *
script_option (char **args, int count, const char *name)
{
  size_t length = strlen (name);

  for (int i = 0; i < count; i++)
    {
      if (strncmp (args[i], name, length) == 0 && args[i][length] == '=')
        return args[i] + length + 1;
    }
  return NULL;
}

static uint64_t
script_ms (const char *text)
{
  return strtoull (text, NULL, 10) * CA_US_PER_MS;
}

/* Set-up. */

static void
run_entry (script_t *script, char **args, int count)
{
  (void)count;
  world_add_entry (&script->world, args[0], args[1]);
}

static void
run_engine (script_t *script, char **args, int count)
{
  int index
      = world_add_endpoint (&script->world, args[0], args[1], args[2], false);
  const char *step = script_option (args, count, "step_us");
  const char *batch = script_option (args, count, "batch");

  if (step != NULL)
    script->world.endpoints[index].step_us = strtoull (step, NULL, 10);
  if (batch != NULL)
    script->world.endpoints[index].batch = (uint32_t)strtoul (batch, NULL, 10);
}

static void
run_service (script_t *script, char **args, int count)
{
  (void)count;
  world_add_endpoint (&script->world, args[0], args[1], args[2], true);
}

static char *
script_read_file (const script_t *script, const char *name)
{
  char path[512];
  char *text = calloc (1, 65536);
  FILE *in;

  snprintf (path, sizeof path, "%s/%s", script->directory, name);
  in = fopen (path, "r");
  if (in == NULL)
    script_fail (script, "cannot read the file");
  text[fread (text, 1, 65535, in)] = '\0';
  fclose (in);
  return text;
}

static void
run_configure (script_t *script, char **args, int count)
{
  char *intent = script_read_file (script, args[1]);

  (void)count;
  if (!world_configure (&script->world, script_entry (script, args[0]), intent))
    printf ("not confirmed: %u\n", script->world.last_status);
  free (intent);
}

static void
script_print_status (const script_t *script, const char *what)
{
  json_t *reply = json_loads (script->world.last_reply, 0, NULL);
  const char *kind = json_string_value (json_object_get (reply, "kind"));

  if (script->world.last_status == 200)
    printf ("%s: ok\n", what);
  else
    printf ("%s: %s\n", what, kind == NULL ? "?" : kind);
  json_decref (reply);
}

static void
script_wait_operator (script_t *script, uint64_t call)
{
  world_t *world = &script->world;
  uint64_t limit_us = world->now_us + 60 * CA_US_PER_S;

  while (world->last_call != call && world->now_us < limit_us)
    world_run_until (world, world->now_us + CA_US_PER_MS);
}

static void
run_plan (script_t *script, char **args, int count)
{
  world_t *world = &script->world;
  char *intent = script_read_file (script, args[1]);
  uint64_t call = ++world->next_call;
  json_t *reply;
  const char *plan;

  (void)count;
  ca_core_plan (&world->entries[script_entry (script, args[0])].core,
                world->now_us, call, intent);
  free (intent);
  script_wait_operator (script, call);
  reply = json_loads (world->last_reply, 0, NULL);
  plan = json_string_value (json_object_get (reply, "plan"));
  strlcpy (script->plan_id, plan == NULL ? "" : plan, sizeof script->plan_id);
  json_decref (reply);
  script_print_status (script, "plan");
}

static void
run_confirm (script_t *script, char **args, int count)
{
  world_t *world = &script->world;
  uint64_t call = ++world->next_call;

  (void)count;
  ca_core_confirm (&world->entries[script_entry (script, args[0])].core,
                   world->now_us, call, script->plan_id);
  script_wait_operator (script, call);
  script_print_status (script, "confirm");
}

/* Time and faults. */

static void
run_run (script_t *script, char **args, int count)
{
  (void)count;
  world_run_until (&script->world, script->world.now_us + script_ms (args[0]));
}

static void
run_kill (script_t *script, char **args, int count)
{
  (void)count;
  world_kill (&script->world, script_entry (script, args[0]));
}

static void
run_start (script_t *script, char **args, int count)
{
  (void)count;
  world_start (&script->world, script_entry (script, args[0]));
}

static void
run_pause (script_t *script, char **args, int count)
{
  (void)count;
  world_pause (&script->world, script_entry (script, args[0]));
}

static void
run_resume (script_t *script, char **args, int count)
{
  (void)count;
  world_resume (&script->world, script_entry (script, args[0]));
}

static void
run_stop (script_t *script, char **args, int count)
{
  (void)count;
  ca_core_stop (&script->world.entries[script_entry (script, args[0])].core,
                script->world.now_us);
}

static void
run_reclaim_entry (script_t *script, char **args, int count)
{
  (void)count;
  ca_core_reclaimed (
      &script->world.entries[script_entry (script, args[0])].core,
      script->world.now_us, script_ms (args[1]));
}

static void
run_reclaim (script_t *script, char **args, int count)
{
  (void)count;
  world_reclaim (&script->world, script_endpoint (script, args[0]),
                 script_ms (args[1]));
}

static void
run_crash (script_t *script, char **args, int count)
{
  (void)count;
  world_crash (&script->world, script_endpoint (script, args[0]));
}

static void
run_restart (script_t *script, char **args, int count)
{
  (void)count;
  world_restart (&script->world, script_endpoint (script, args[0]));
}

static void
run_silence (script_t *script, char **args, int count)
{
  (void)count;
  world_silence (&script->world, script_endpoint (script, args[0]));
}

static void
run_cut (script_t *script, char **args, int count)
{
  (void)count;
  world_partition (&script->world, args[0], args[1]);
}

static void
run_heal (script_t *script, char **args, int count)
{
  (void)args;
  (void)count;
  world_heal (&script->world);
}

/* store up|down|frozen [lose=N] [latency_ms=N] */
static void
run_store (script_t *script, char **args, int count)
{
  world_table_t *table = &script->world.table;
  const char *lose = script_option (args, count, "lose");
  const char *latency = script_option (args, count, "latency_ms");

  table->down = strcmp (args[0], "down") == 0;
  table->frozen = strcmp (args[0], "frozen") == 0;
  if (lose != NULL)
    table->lose_answers = (uint32_t)strtoul (lose, NULL, 10);
  if (latency != NULL)
    table->latency_us = script_ms (latency);
}

static void
run_platform (script_t *script, char **args, int count)
{
  const char *lag = script_option (args, count, "list_lag_ms");

  script->world.platform_down = strcmp (args[0], "down") == 0;
  script->world.kv_broken = strcmp (args[0], "no-kv") == 0;
  script->world.notices_lost = strcmp (args[0], "no-notices") == 0;
  if (lag != NULL)
    script->world.list_lag_us = script_ms (lag);
}

static void
run_prices (script_t *script, char **args, int count)
{
  unsigned long zone = strtoul (args[0] + 1, NULL, 10) - 1;

  (void)count;
  script->world.prices[zone % WORLD_ZONES][0] = strtod (args[1], NULL);
  script->world.prices[zone % WORLD_ZONES][1] = strtod (args[2], NULL);
}

static void
run_cloud (script_t *script, char **args, int count)
{
  (void)count;
  script->world.starts_refused = strcmp (args[0], "refuses") == 0;
}

/* Prints the number of VMs of a pool in service, by zone and kind. */
static void
run_vms (script_t *script, char **args, int count)
{
  (void)count;
  for (int zone = 1; zone <= 3; zone++)
    {
      unsigned counts[2] = { 0, 0 };
      char name[16];

      snprintf (name, sizeof name, "z%d", zone);
      for (int i = 0; i < script->world.endpoint_count; i++)
        {
          const world_endpoint_t *row = &script->world.endpoints[i];

          if (row->alive && !row->leaving && strcmp (row->zone, name) == 0
              && strcmp (row->pool, args[0]) == 0)
            counts[row->reclaimable]++;
        }
      printf ("%s %s: %u on demand, %u reclaimable\n", args[0], name, counts[0],
              counts[1]);
    }
}

static void
run_orders (script_t *script, char **args, int count)
{
  (void)args;
  (void)count;
  printf ("%llu starts and %llu stops ordered\n",
          (unsigned long long)script->world.starts_ordered,
          (unsigned long long)script->world.stops_ordered);
}

/* Prints how many entries hold the fleet lease by their own clock. */
static void
run_leaders (script_t *script, char **args, int count)
{
  unsigned leaders = 0;

  (void)args;
  (void)count;
  for (int i = 0; i < script->world.entry_count; i++)
    {
      const world_entry_t *entry = &script->world.entries[i];

      leaders += entry->alive && !entry->paused && entry->core.fleet.lease_held
                 && script->world.now_us < entry->core.fleet.lease_until_us;
    }
  printf ("entries that hold the fleet lease: %u\n", leaders);
}

/* Requests. */

static void
run_request (script_t *script, char **args, int count)
{
  const char *tokens = script_option (args, count, "tokens");
  const char *prompt = script_option (args, count, "prompt");
  const char *stream = script_option (args, count, "stream");

  world_request (&script->world, args[0], script_entry (script, args[1]),
                 args[2], args[3], script_option (args, count, "key"),
                 prompt == NULL ? args[0] : prompt,
                 tokens == NULL ? 20 : (uint32_t)strtoul (tokens, NULL, 10),
                 stream == NULL || strcmp (stream, "no") != 0);
}

/* Sends many requests at once, named PREFIX1, PREFIX2, ... */
static void
run_flood (script_t *script, char **args, int count)
{
  unsigned long number = strtoul (args[1], NULL, 10);

  (void)count;
  for (unsigned long i = 1; i <= number; i++)
    {
      char name[WORLD_NAME_BYTES];

      snprintf (name, sizeof name, "%.16s%lu", args[0], i);
      world_request (&script->world, name, script_entry (script, args[2]),
                     args[3], args[4], NULL, name, 20, true);
    }
}

/* Sends requests of mixed classes through random entries, one every PERIOD_MS,
 * and advances the time. */
static void
run_load (script_t *script, char **args, int count)
{
  static const char *const workspaces[] = { "w1", "w2", "w3" };
  world_t *world = &script->world;
  unsigned long number = strtoul (args[1], NULL, 10);

  (void)count;
  for (unsigned long i = 1; i <= number; i++)
    {
      int entry = (int)world_random_below (world, (uint64_t)world->entry_count);
      bool is_long = world_random_below (world, 4) == 0;
      char name[WORLD_NAME_BYTES];

      snprintf (name, sizeof name, "%.16s%lu", args[0], i);
      if (world->entries[entry].alive)
        world_request (
            world, name, entry, workspaces[world_random_below (world, 3)],
            is_long ? "long" : "quick", NULL, name, is_long ? 250 : 20, true);
      world_run_until (world, world->now_us + script_ms (args[2]));
    }
}

/* Prints whether at least PERCENT of a flood's requests were answered. */
static void
run_flood_answered (script_t *script, char **args, int count)
{
  size_t length = strlen (args[0]);
  const world_request_t *request;
  unsigned sent = 0;
  unsigned answered = 0;

  (void)count;
  for (request = script->world.requests; request != NULL;
       request = (const world_request_t *)request->hh.next)
    {
      if (strncmp (request->name, args[0], length) != 0)
        continue;
      sent++;
      answered += request->status == WORLD_ANSWERED;
    }
  printf ("at least %s percent of %s answered: %s\n", args[1], args[0],
          answered * 100 >= sent * strtoul (args[1], NULL, 10) ? "yes" : "no");
}

static void
run_caller_gone (script_t *script, char **args, int count)
{
  world_request_t *request = world_find_request (&script->world, args[0]);

  (void)count;
  ca_core_caller_disconnected (&script->world.entries[request->entry].core,
                               script->world.now_us, request->id);
  request->status = WORLD_LOST;
}

/* Results. */

static void
run_show (script_t *script, char **args, int count)
{
  static const char *const outcomes[] = { "not_run", "ran", "unknown" };

  for (int i = 0; i < count; i++)
    {
      const world_request_t *request
          = world_find_request (&script->world, args[i]);

      if (request == NULL)
        script_fail (script, "unknown request");
      switch (request->status)
        {
        case WORLD_WAITING:
          printf ("%s waiting\n", args[i]);
          break;
        case WORLD_ANSWERED:
          printf ("%s answered%s%s\n", args[i],
                  request->replayed ? ", replayed" : "",
                  request->moves > 0 ? ", moved" : "");
          break;
        case WORLD_REFUSED:
          printf ("%s refused %s %s%s\n", args[i],
                  ca_error_info (request->kind)->name,
                  outcomes[request->outcome],
                  request->retry_us > 0 ? ", retry later" : "");
          break;
        case WORLD_LOST:
          printf ("%s lost with its entry\n", args[i]);
          break;
        }
    }
}

/* Prints whether a request ended within a bound. */
static void
run_within (script_t *script, char **args, int count)
{
  const world_request_t *request = world_find_request (&script->world, args[0]);
  uint64_t took_us = request->end_us - request->at_us;

  (void)count;
  printf ("%s ended within %s ms: %s\n", args[0], args[1],
          request->status != WORLD_WAITING && took_us <= script_ms (args[1])
              ? "yes"
              : "no");
}

static void
run_ran (script_t *script, char **args, int count)
{
  (void)count;
  printf ("%s ran %u times\n", args[0],
          (unsigned)world_ledger (&script->world, args[0])->produced[0]);
}

static void
run_starts (script_t *script, char **args, int count)
{
  for (int i = 0; i < count; i++)
    printf ("%s started %llu runs\n", args[i],
            (unsigned long long)script->world
                .endpoints[script_endpoint (script, args[i])]
                .started);
}

/* Prints whether an endpoint was given new work in the last MS.  A leaving
 * endpoint must get none after CA_LEAVING_NOTICED_MAX_US. */
static void
run_new_work (script_t *script, char **args, int count)
{
  const world_endpoint_t *endpoint
      = &script->world.endpoints[script_endpoint (script, args[0])];

  (void)count;
  printf ("%s got new work in the last %s ms: %s\n", args[0], args[1],
          endpoint->last_start_us + script_ms (args[1]) > script->world.now_us
              ? "yes"
              : "no");
}

static void
run_revisions (script_t *script, char **args, int count)
{
  (void)args;
  (void)count;
  for (int i = 0; i < script->world.entry_count; i++)
    {
      const world_entry_t *entry = &script->world.entries[i];

      if (entry->alive)
        printf ("%s revision %llu\n", entry->name,
                (unsigned long long)entry->core.config.revision);
    }
}

/* Prints which zones have the revision in force according to an entry. */
static void
run_zones (script_t *script, char **args, int count)
{
  json_t *status = ca_core_status (
      &script->world.entries[script_entry (script, args[0])].core);
  size_t index;
  json_t *zone;

  (void)count;
  json_array_foreach (json_object_get (status, "zones"), index, zone) printf (
      "%s reports %s: %s\n", args[0],
      json_string_value (json_object_get (zone, "zone")),
      json_is_true (json_object_get (zone, "in_force")) ? "in force"
                                                        : "not yet in force");
  json_decref (status);
}

static void
run_members (script_t *script, char **args, int count)
{
  const world_entry_t *entry
      = &script->world.entries[script_entry (script, args[0])];

  (void)count;
  printf ("%s sees %zu live entries\n", entry->name,
          ca_member_live_count (&entry->core, NULL));
}

static void
run_alive (script_t *script, char **args, int count)
{
  for (int i = 0; i < count; i++)
    printf ("%s is %s\n", args[i],
            script->world.entries[script_entry (script, args[i])].alive
                ? "running"
                : "ended");
}

static void
run_peaks (script_t *script, char **args, int count)
{
  const world_table_t *table = &script->world.table;

  (void)count;
  printf ("writes a second stayed under %s: %s\n", args[0],
          table->peak_writes < strtoull (args[0], NULL, 10) ? "yes" : "no");
  printf ("reads a second stayed under %s: %s\n", args[1],
          table->peak_reads < strtoull (args[1], NULL, 10) ? "yes" : "no");
}

/* Prints whether the live entries counted any recomputed tokens. */
static void
run_recomputed (script_t *script, char **args, int count)
{
  uint64_t recomputed = 0;

  (void)args;
  (void)count;
  for (int i = 0; i < script->world.entry_count; i++)
    {
      if (script->world.entries[i].alive)
        recomputed += script->world.entries[i]
                          .core.counters.counts[CA_COUNT_RECOMPUTED_TOKENS];
    }
  printf ("recomputed tokens: %s\n", recomputed == 0 ? "none" : "some");
}

static void
run_faults (script_t *script, char **args, int count)
{
  (void)args;
  (void)count;
  world_check (&script->world);
  printf ("invariant violations: %llu %s\n",
          (unsigned long long)script->world.violations,
          script->world.first_violation);
}

static const script_command_t script_commands[] = {
  { "entry", 2, "NAME ZONE", run_entry },
  { "engine", 3, "NAME ZONE POOL [step_us=N] [batch=N]", run_engine },
  { "service", 3, "NAME ZONE POOL", run_service },
  { "configure", 2, "ENTRY FILE", run_configure },
  { "plan", 2, "ENTRY FILE", run_plan },
  { "confirm", 1, "ENTRY", run_confirm },
  { "run", 1, "MS", run_run },
  { "kill", 1, "ENTRY", run_kill },
  { "start", 1, "ENTRY", run_start },
  { "pause", 1, "ENTRY", run_pause },
  { "resume", 1, "ENTRY", run_resume },
  { "stop", 1, "ENTRY", run_stop },
  { "reclaim-entry", 2, "ENTRY NOTICE_MS", run_reclaim_entry },
  { "reclaim", 2, "ENDPOINT NOTICE_MS", run_reclaim },
  { "crash", 1, "ENDPOINT", run_crash },
  { "restart", 1, "ENDPOINT", run_restart },
  { "silence", 1, "ENDPOINT", run_silence },
  { "cut", 2, "ZONE ZONE", run_cut },
  { "heal", 0, "", run_heal },
  { "store", 1, "up|down|frozen [lose=N] [latency_ms=N]", run_store },
  { "platform", 1, "up|down|no-kv|no-notices [list_lag_ms=N]", run_platform },
  { "prices", 3, "ZONE ON_DEMAND RECLAIMABLE", run_prices },
  { "cloud", 1, "refuses|grants", run_cloud },
  { "vms", 1, "POOL", run_vms },
  { "orders", 0, "", run_orders },
  { "leaders", 0, "", run_leaders },
  { "request", 4, "NAME ENTRY WORKSPACE CLASS [key= tokens= prompt= stream=]",
    run_request },
  { "flood", 5, "PREFIX NUMBER ENTRY WORKSPACE CLASS", run_flood },
  { "load", 3, "PREFIX NUMBER PERIOD_MS", run_load },
  { "flood-answered", 2, "PREFIX PERCENT", run_flood_answered },
  { "caller-gone", 1, "REQUEST", run_caller_gone },
  { "show", 1, "REQUEST...", run_show },
  { "within", 2, "REQUEST MS", run_within },
  { "ran", 1, "WORKSPACE/KEY", run_ran },
  { "starts", 1, "ENDPOINT...", run_starts },
  { "new-work", 2, "ENDPOINT MS", run_new_work },
  { "revisions", 0, "", run_revisions },
  { "zones", 1, "ENTRY", run_zones },
  { "members", 1, "ENTRY", run_members },
  { "alive", 1, "ENTRY...", run_alive },
  { "peaks", 2, "WRITES READS", run_peaks },
  { "recomputed", 0, "", run_recomputed },
  { "faults", 0, "", run_faults },
};

static void
script_run_command (script_t *script, char **args, int count)
{
  size_t commands = sizeof script_commands / sizeof script_commands[0];

  for (size_t i = 0; i < commands; i++)
    {
      if (strcmp (script_commands[i].name, args[0]) != 0)
        continue;
      if (count - 1 < script_commands[i].min_args)
        script_fail (script, script_commands[i].usage);
      script_commands[i].run (script, args + 1, count - 1);
      return;
    }
  script_fail (script, "unknown command");
}

static void
script_run_line (script_t *script, char *line)
{
  char *args[ARGS_MAX];
  int count = 0;
  char *rest = line;
  char *arg;

  line[strcspn (line, "#\n")] = '\0';
  while ((arg = strsep (&rest, " \t")) != NULL && count < ARGS_MAX)
    {
      if (*arg != '\0')
        args[count++] = arg;
    }
  if (count > 0)
    script_run_command (script, args, count);
}

int
main (int argc, char **argv)
{
  static script_t script;
  char line[LINE_BYTES];
  FILE *in;

  if (argc < 3)
    {
      fprintf (stderr, "usage: script DIRECTORY FILE [trace]\n");
      return 2;
    }
  script.directory = argv[1];
  in = fopen (argv[2], "r");
  if (in == NULL)
    script_fail (&script, "cannot read the script");
  world_init (&script.world, 1, 64);
  if (argc > 3)
    script.world.trace = stderr;
  while (fgets (line, sizeof line, in) != NULL)
    {
      script.line++;
      script_run_line (&script, line);
    }
  fclose (in);
  world_finish (&script.world);
  return 0;
}
