/* The leader's part of a rollout: decides on its stages and writes its status
 * row, see docs/load-and-rollouts.md.
 *
 * The status row is the only lasting state.  Each write is conditional on the
 * version of the row that was read, so that only one of `completed` and
 * `reverted` can win, also when a write that was not answered takes effect
 * later or two entries believe that they lead. */
#ifndef CA_GATEWAY_ROLLOUT_ORDER_H
#define CA_GATEWAY_ROLLOUT_ORDER_H

#include "gateway/leader.h"

/* What the decision depends on besides the progress. */
typedef struct
{
  uint64_t elapsed_us;      /* since the order was first seen by any entry */
  uint64_t step_us;         /* since this entry set the stage or its share */
  uint32_t needed;          /* endpoints by the fleet plan; 0 if unknown */
  uint32_t canary_permille; /* share of requests in the canary stage */
} ca_rollout_conditions_t;

/* The stage that is to apply, with the share of requests for the target.
 * COMPLETED and REVERTED take effect when the store has accepted them. */
typedef struct
{
  ca_rollout_stage_t stage;
  uint32_t share_permille;
  const char *reason;
} ca_rollout_decision_t;

ca_rollout_decision_t
ca_rollout_decide (const ca_rollout_progress_t *progress,
                   const ca_rollout_conditions_t *conditions);

void ca_rollout_orders_init (ca_leader_t *leader);
void ca_rollout_orders_finish (ca_leader_t *leader);

/* Leads the rollouts while this entry holds the lease.  Otherwise reads the
 * status rows while no leader is heard.  Called by ca_leader_tick. */
void ca_rollout_orders_tick (ca_leader_t *leader);

/* The answer to the port `read_rollout`: `row` is NULL if there is none, and
 * its stage is UNKNOWN if it cannot be decoded. */
void ca_rollout_status_read (ca_leader_t *leader, uint64_t now_us,
                             const char *service, ca_call_status_t status,
                             uint64_t version, const ca_rollout_status_t *row);

/* The answer to the port `write_rollout`; `version` is the row's new one. */
void ca_rollout_status_written (ca_leader_t *leader, uint64_t now_us,
                                const char *service, ca_call_status_t status,
                                uint64_t version);

/* rollout_fleet.c: what the fleet planner asks. */

/* Which versions of a service the requests go to. */
typedef struct
{
  const char *target; /* of the service's rollout; NULL if there is none */
  bool at_target;     /* all requests go to the target, else to the others */
  bool runs;          /* the rollout is in progress */
} ca_rollout_traffic_t;

void ca_rollout_traffic (ca_gateway_t *gateway, const char *service,
                         ca_rollout_traffic_t *traffic);
bool ca_rollout_carries (const ca_rollout_traffic_t *traffic,
                         const ca_gateway_endpoint_t *endpoint);

/* Forgets the orders for the service if a rollout has ended since the last
 * plan: the endpoints that run then are to be adopted afresh. */
void ca_rollout_renew_orders (ca_leader_t *leader, const char *service,
                              const ca_rollout_traffic_t *traffic);

/* True if an order for `count` endpoints must not be sent, since it would
 * reduce their kind while the service's rollout runs. */
bool ca_rollout_blocks_order (const ca_leader_t *leader,
                              const ca_order_row_t *row, uint32_t count);

#endif
