/* Benchmarks of routing, admission and membership in the simulated world, most
 * of them next to a baseline that runs under the same load. */
#ifndef CA_TESTS_BENCH_BENCH_H
#define CA_TESTS_BENCH_BENCH_H

#include "world.h"

/* Prints one result and appends it to bench.csv.  A `baseline` of 0 means that
 * there is none. */
void bench_row (const char *measure, const char *variant, const char *unit,
                double value, double baseline);

/* A simulated fleet.  Without `intent` no intent is confirmed; without `score`
 * the core's own endpoint selection is used. */
typedef struct
{
  int zones;
  int entries_per_zone;
  int engines_per_zone;
  uint32_t seed;
  const char *intent;
  ca_score_t score;
  void *score_context;
} bench_fleet_t;

/* Starts the fleet and waits until the intent is in force.  Free the world with
 * bench_fleet_free.  Exits if the intent cannot be confirmed. */
world_t *bench_fleet_new (const bench_fleet_t *fleet);
void bench_fleet_free (world_t *world);

/* Returns a copy of the test intent with every first-token target set to
 * `first_token_ms`, or left as it is if that is 0.  The caller frees it. */
char *bench_intent (uint32_t first_token_ms);

/* Returns a percentile of the time to first token in ms, over the requests of
 * one class, or of all classes if `class_name` is NULL. */
double bench_first_token_ms (const world_t *world, const char *class_name,
                             double percentile);

void bench_membership (void);
void bench_routing (void);
void bench_overload (void);
void bench_fairness (void);
void bench_retries (void);
void bench_waves (void);
void bench_propagation (void);
void bench_cost (void);
void bench_probing (void);

#endif
