/* Runs the benchmarks, prints their results as a table and writes them to
 * bench.csv.  An argument selects one benchmark by name. */
#include "bench.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *name;
  void (*run) (void);
} bench_measure_t;

static FILE *bench_csv;

static const bench_measure_t bench_measures[] = {
  { "membership", bench_membership }, { "spread", bench_propagation },
  { "routing", bench_routing },       { "overload", bench_overload },
  { "fairness", bench_fairness },     { "retries", bench_retries },
  { "waves", bench_waves },           { "cost", bench_cost },
  { "probing", bench_probing },
};

void
bench_row (const char *measure, const char *variant, const char *unit,
           double value, double baseline)
{
  printf ("%-34s %-26s %12.3f %-14s", measure, variant, value, unit);
  if (baseline > 0)
    printf (" baseline %12.3f  ratio %.3f", baseline, value / baseline);
  putchar ('\n');
  fflush (stdout);
  if (bench_csv != NULL)
    fprintf (bench_csv, "%s,%s,%s,%.6f,%.6f\n", measure, variant, unit, value,
             baseline);
}

int
main (int argc, char **argv)
{
  size_t count = sizeof bench_measures / sizeof bench_measures[0];

  bench_csv = fopen ("bench.csv", "w");
  if (bench_csv != NULL)
    fprintf (bench_csv, "measure,variant,unit,value,baseline\n");
  for (size_t i = 0; i < count; i++)
    {
      if (argc > 1 && strcmp (argv[1], bench_measures[i].name) != 0)
        continue;
      printf ("== %s\n", bench_measures[i].name);
      bench_measures[i].run ();
    }
  if (bench_csv != NULL)
    fclose (bench_csv);
  return 0;
}
