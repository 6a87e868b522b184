/* Several entries in virtual time that carry out one rollout: endpoints of an
 * old version and of a target that may be faulty, callers, heartbeats, and a
 * leader that follows the rules for the stages. */
#ifndef TESTS_GATEWAY_ROLLOUT_WORLD_H
#define TESTS_GATEWAY_ROLLOUT_WORLD_H

#include "gateway/rollout.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  ROLLOUT_FAULT_NONE,
  ROLLOUT_FAULT_FAILS,       /* at once */
  ROLLOUT_FAULT_SLOW,        /* by a factor of 4 */
  ROLLOUT_FAULT_FAILS_LATER, /* from `later_us` after the order on */
  ROLLOUT_FAULT_ONE_ROUTE,
  ROLLOUT_FAULT_UNDER_LOAD, /* while the endpoint has another request */
  ROLLOUT_FAULT_CRASHES     /* under each request */
} rollout_fault_t;

typedef struct
{
  const char *name;
  size_t entries;
  uint32_t endpoints; /* of each version */
  double requests_per_s;
  rollout_fault_t fault;
  uint64_t later_us;
  double failing_endpoints; /* share, of both versions */
  size_t cut_off;           /* entries that hear nobody from `cut_off_us` on */
  uint64_t cut_off_us;      /* after the order */
  uint64_t seed;
} rollout_case_t;

/* Times are relative to the order. */
typedef struct
{
  ca_rollout_stage_t stage; /* of the leader, at the end */
  uint64_t decided_us;
  ca_rollout_verdict_t verdict; /* on which it was decided */
  uint64_t sent;                /* from the order to its deadline */
  uint64_t sent_target;
  uint64_t bad_answers;          /* of the target */
  uint64_t fiftieth_bad_us;      /* 0 if there were fewer */
  uint64_t last_sent_target_us;  /* in the whole run */
  uint64_t last_sent_cut_off_us; /* by entries that are cut off */
  uint64_t heartbeat_us;         /* interval */
} rollout_result_t;

#define ROLLOUT_DURATION_S 12

/* Runs the case until two seconds after the deadline. */
void rollout_world_run (const rollout_case_t *setup, rollout_result_t *result);

#endif
