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

#endif
