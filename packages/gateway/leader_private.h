/* What the files of the duties share. */
#ifndef CA_GATEWAY_LEADER_PRIVATE_H
#define CA_GATEWAY_LEADER_PRIVATE_H

#include "gateway/leader.h"
#include "gateway/private.h"

/* True if a call may go out under the lease. */
bool ca_lease_is_valid (const ca_leader_t *leader);

/* A call was refused since a higher token is about. */
void ca_lease_superseded (ca_leader_t *leader);

void ca_usage_report_tick (ca_leader_t *leader);

/* Sums what is known of one window: what the entries have told, and no less
 * than what a former holder had recorded, who may have heard of lives that
 * have ended since. */
void ca_leader_usage_total (const ca_leader_t *leader, uint64_t window,
                            struct ca_usage_rows *total);
void ca_fleet_orders_tick (ca_leader_t *leader);

#endif
