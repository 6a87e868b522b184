/* Builds the fleets of the benchmarks and evaluates their requests. */
#include "bench.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_TOKEN_FIELD "\"first_token_ms\": "

char *
bench_intent (uint32_t first_token_ms)
{
  char *text = calloc (1, 65536);
  char *out = NULL;
  size_t bytes = 0;
  FILE *in = fopen (WORLD_INTENT, "r");
  FILE *stream;
  const char *at = text;
  const char *field;

  if (in == NULL)
    exit (2);
  text[fread (text, 1, 65535, in)] = '\0';
  fclose (in);
  if (first_token_ms == 0)
    return text;
  stream = open_memstream (&out, &bytes);
  while ((field = strstr (at, FIRST_TOKEN_FIELD)) != NULL)
    {
      field += strlen (FIRST_TOKEN_FIELD);
      fwrite (at, 1, (size_t)(field - at), stream);
      fprintf (stream, "%u", first_token_ms);
      at = field + strspn (field, "0123456789");
    }
  fputs (at, stream);
  fclose (stream);
  free (text);
  return out;
}

world_t *
bench_fleet_new (const bench_fleet_t *fleet)
{
  world_t *world = calloc (1, sizeof *world);
  char name[WORLD_NAME_BYTES];
  char zone[16];

  world_init (world, fleet->seed, fleet->zones * fleet->entries_per_zone);
  for (int z = 0; z < fleet->zones; z++)
    {
      snprintf (zone, sizeof zone, "z%d", z + 1);
      for (int i = 0; i < fleet->entries_per_zone; i++)
        {
          int index;

          snprintf (name, sizeof name, "%s-%d", zone, i);
          index = world_add_entry (world, name, zone);
          world->entries[index].core.options.score = fleet->score;
          world->entries[index].core.options.score_context
              = fleet->score_context;
        }
      for (int i = 0; i < fleet->engines_per_zone; i++)
        {
          snprintf (name, sizeof name, "e%d-%d", z, i);
          world_add_endpoint (world, name, zone, "chat", false);
        }
    }
  world_run_until (world, 6 * CA_US_PER_S);
  if (fleet->intent != NULL && !world_configure (world, 0, fleet->intent))
    {
      fprintf (stderr,
               "benchmark fleet: the first entry did not confirm the intent\n");
      exit (1);
    }
  world_run_until (world, world->now_us + 4 * CA_US_PER_S);
  return world;
}

void
bench_fleet_free (world_t *world)
{
  world_finish (world);
  free (world);
}

static int
bench_compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

double
bench_first_token_ms (const world_t *world, const char *class_name,
                      double percentile)
{
  size_t count = 0;
  double *times = calloc (HASH_COUNT (world->requests) + 1, sizeof *times);
  const world_request_t *request;
  double value = 0;

  for (request = world->requests; request != NULL;
       request = (const world_request_t *)request->hh.next)
    {
      if (request->first_us == 0
          || (class_name != NULL
              && strcmp (request->class_name, class_name) != 0))
        continue;
      times[count++]
          = (double)(request->first_us - request->at_us) / CA_US_PER_MS;
    }
  qsort (times, count, sizeof *times, bench_compare);
  if (count > 0)
    value = times[(size_t)((double)(count - 1) * percentile / 100)];
  free (times);
  return value;
}
