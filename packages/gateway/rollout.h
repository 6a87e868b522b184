/* Rollout of a new software version of a service, requested by the operator.
 *
 * Every entry limits its own share of requests to the new version and counts
 * outcomes; the leader decides on the stages (gateway/rollout_order.h). */
#ifndef CA_GATEWAY_ROLLOUT_H
#define CA_GATEWAY_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How far a rollout is.  The numbers are sent to peers. */
typedef enum
{
  CA_ROLLOUT_STAGE_UNKNOWN = 0, /* no leader was heard */
  CA_ROLLOUT_CANARY = 1,        /* a small share of each entry's requests */
  CA_ROLLOUT_SHIFT = 2,         /* a growing share */
  CA_ROLLOUT_DRAIN = 3,         /* all; requests at old versions end */
  CA_ROLLOUT_COMPLETED = 4,
  CA_ROLLOUT_REVERTED = 5
} ca_rollout_stage_t;

/* The operator's order, decoded; texts are the caller's. */
typedef struct
{
  const char *service;
  const char *target;  /* software version */
  uint32_t duration_s; /* from the order to its deadline */
  uint64_t order;      /* version of the order's row */
} ca_rollout_order_t;

/* The status row, decoded; texts are the caller's. */
typedef struct
{
  ca_rollout_stage_t stage; /* CANARY while it is in progress */
  const char *target;
  uint64_t order;    /* that it answers; 0 if the row does not name one */
  uint64_t began_ms; /* store's clock at the first sight of the order */
  uint64_t era;      /* of the store, at the first sight */
} ca_rollout_status_t;

typedef enum
{
  CA_ROLLOUT_UNDECIDED,
  CA_ROLLOUT_GOOD,
  CA_ROLLOUT_BAD
} ca_rollout_verdict_t;

struct ca_gateway;
struct ca_exchange;
struct ca_gateway_endpoint;

/* A rollout that is in progress or was decided, at one entry; owned by the
 * gateway (rollout.c). */
typedef struct ca_rollout ca_rollout_t;

/* What the leader's decision on the next stage depends on. */
typedef struct
{
  const char *service;
  const char *target;
  uint64_t order; /* version of the order's row */
  uint32_t duration_s;
  uint64_t learned_us; /* when this entry learned of the order */
  bool withdrawn;      /* the order's row is gone */
  ca_rollout_stage_t stage;
  uint32_t share_permille;      /* of requests for the target, at this stage */
  ca_rollout_verdict_t verdict; /* by the sums of all entries */
  ca_rollout_verdict_t late_verdict; /* the same near the deadline */
  uint32_t old_endpoints;            /* listed and open, of other versions */
  uint32_t target_endpoints;         /* listed and open, of the target */
  uint32_t open_old;         /* requests at old versions, of all entries */
  uint32_t entries;          /* in contact, this one included */
  uint32_t entries_at_stage; /* of these, that apply `stage` or a later one */
} ca_rollout_progress_t;

/* An order as read from the store.  The same order again changes nothing; a
 * later one replaces it. */
void ca_gateway_rollout_order (struct ca_gateway *gateway, uint64_t now_us,
                               const ca_rollout_order_t *order);

/* The order's row is gone. */
void ca_gateway_rollout_withdrawn (struct ca_gateway *gateway, uint64_t now_us,
                                   const char *service);

/* The status row as read from the store; NULL if there is none. */
void ca_gateway_rollout_status (struct ca_gateway *gateway, uint64_t now_us,
                                const char *service,
                                const ca_rollout_status_t *status);

/* Iterates over the rollouts; NULL begins, and ends, the iteration. */
ca_rollout_t *ca_rollout_next (const struct ca_gateway *gateway,
                               const ca_rollout_t *rollout);

/* The rollout of a service; NULL if there is none. */
ca_rollout_t *ca_rollout_find (const struct ca_gateway *gateway,
                               const char *service);

/* Fills in what is known now; the texts are the rollout's. */
void ca_rollout_progress (struct ca_gateway *gateway,
                          const ca_rollout_t *rollout,
                          ca_rollout_progress_t *progress);

/* Sets the stage, by the leader, whose heartbeats carry it from then on. */
void ca_rollout_set_stage (struct ca_gateway *gateway, ca_rollout_t *rollout,
                           ca_rollout_stage_t stage, uint32_t share_permille);

#endif
