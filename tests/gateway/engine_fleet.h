/* Entries that send prompts to engines of different speed, in virtual time.
 * An engine reads one prompt at a time, then streams its answer. */
#ifndef TESTS_GATEWAY_ENGINE_FLEET_H
#define TESTS_GATEWAY_ENGINE_FLEET_H

#include "cluster.h"

#define FLEET_ENTRIES_MAX 300
#define FLEET_ENGINES_MAX 60
#define FLEET_SESSIONS_MAX 600
#define FLEET_STEP_US (1 * CA_US_PER_MS)
#define FLEET_TOKENS_PER_MS 30
#define FLEET_TOKENS_MEAN 1800
#define FLEET_OBJECTIVE_US (750 * CA_US_PER_MS) /* ten prompts */

struct fleet_run;

typedef struct
{
  double speed;           /* 1: the service's */
  uint64_t listed_us;     /* when the entries read its record */
  uint32_t cold_ms;       /* that the record names */
  uint64_t cold_until_us; /* slower by `cold_slowness` until then */
  double cold_slowness;
  uint64_t started_ms;
  bool listed;
  TAILQ_HEAD (fleet_runs, fleet_run) runs;
  uint32_t open;
  uint32_t open_max; /* since fleet_reset_counts */
  uint64_t answered; /* first events */
  uint64_t late;
  uint64_t tokens;                 /* of prompts that it was sent */
  bool cached[FLEET_SESSIONS_MAX]; /* it has read a prompt of the session */
} fleet_engine_t;

typedef struct
{
  size_t entries;
  size_t engines;
  uint32_t slots;
  double load;       /* of the capacity of engines of speed 1 */
  uint32_t sessions; /* whose prompts share four fifths; 0 if none do */
  double loss;       /* of heartbeats */
  uint64_t lag_us;   /* greatest delay of heartbeats */
} fleet_options_t;

typedef struct
{
  fleet_options_t options;
  ca_gateway_t gateways[FLEET_ENTRIES_MAX];
  fleet_engine_t engine[FLEET_ENGINES_MAX];
  uint64_t now_us;
  uint64_t seed;
  double next_request_us;
  /* Since fleet_reset_counts. */
  uint64_t requested;
  uint64_t refused;
  uint64_t rejected; /* by full engines */
  uint64_t started_events;
  uint64_t ended_events;
  uint64_t uneven_events; /* services whose engines began to be told apart */
  uint64_t even_events;
  /* Factor by which an entry measures too long; 1 for all but one. */
  size_t wrong_entry;
  double wrong_factor;
  void (*watch) (void); /* after each step; may be NULL */
} fleet_t;

extern fleet_t fleet;

/* Prepares engines of speed 1 that are listed from the start. */
void fleet_prepare (const fleet_options_t *options);

/* Starts the entries, which read the list. */
void fleet_start (void);

/* Lets `duration_us` pass, with requests. */
void fleet_run_for (uint64_t duration_us);
void fleet_reset_counts (void);

/* Changes the load from now on; 0 for none. */
void fleet_set_load (double load);
void fleet_finish (void);

/* Lists an engine at all entries, as a process that has just started. */
void fleet_list (size_t index);

/* An entry's knowledge of an engine. */
ca_gateway_endpoint_t *fleet_endpoint (size_t entry, size_t engine);

/* Part of the prompt tokens since fleet_reset_counts that engines from `first`
 * on, `step` apart, were sent. */
double fleet_token_share (size_t first, size_t step);

/* Part of their answers that came after the objective. */
double fleet_late_share (size_t first, size_t step);

#endif
