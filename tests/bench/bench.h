/* Measures of the decisions, each beside a baseline in the same run. */
#ifndef CA_TESTS_BENCH_BENCH_H
#define CA_TESTS_BENCH_BENCH_H

#include "world.h"

/* One row of the tables and of the CSV file. */
void bench_row (const char *measure, const char *variant, const char *unit,
                double value, double baseline);

/* A world of `zones` zones with an intent in force. */
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

world_t *bench_fleet_new (const bench_fleet_t *fleet);
void bench_fleet_free (world_t *world);

/* A copy of the trial intent with every first-token target replaced. */
char *bench_intent (uint32_t first_token_ms);

/* The p-th hundredth of the times to first token, in ms. */
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
