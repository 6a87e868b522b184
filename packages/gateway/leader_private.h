/* Declarations shared by leader.c, usage_report.c and fleet_orders.c. */
#ifndef CA_GATEWAY_LEADER_PRIVATE_H
#define CA_GATEWAY_LEADER_PRIVATE_H

#include "gateway/leader.h"
#include "gateway/private.h"

/* True if calls may be sent under the lease. */
bool ca_lease_is_valid (const ca_leader_t *leader);

/* Drops the lease after a call was refused because a higher token was used. */
void ca_lease_superseded (ca_leader_t *leader);

/* Reports the next window when that is due. */
void ca_usage_report_tick (ca_leader_t *leader);

/* Latest window whose counts have arrived from all entries; later ones are not
 * reported yet. */
uint64_t ca_usage_latest_settled (const ca_leader_t *leader);

/* Adds up the counts of one window: those that the entries reported, but at
 * least those that a former holder stored, which may include counts of entries
 * that have ended since. */
void ca_leader_usage_total (const ca_leader_t *leader, uint64_t window,
                            struct ca_usage_rows *total);

/* Compares services with their planned size and sends orders. */
void ca_fleet_orders_tick (ca_leader_t *leader);

#endif
