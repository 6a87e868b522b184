/* Functions shared by the modules of the core. */
#ifndef CA_CORE_PRIVATE_H
#define CA_CORE_PRIVATE_H

#include "core/core.h"

/* Logs the name of the invariant and aborts if `condition` is false. */
#define CA_INVARIANT(core, condition, name)                                    \
  do                                                                           \
    {                                                                          \
      if (!(condition))                                                        \
        ca_invariant_failed ((core), (name));                                  \
    }                                                                          \
  while (0)

/* core.c */

/* Every public function that handles an event begins and ends with these. */
void ca_core_begin_event (ca_core_t *core, uint64_t now_us);
void ca_core_end_event (ca_core_t *core);
void ca_invariant_failed (ca_core_t *core, const char *name)
    __attribute__ ((noreturn));
double ca_random (ca_core_t *core); /* in [0, 1) */
uint64_t ca_random_below (ca_core_t *core, uint64_t limit);

/* Logs an event; `request` may be NULL, `endpoint` 0. */
void ca_trace (ca_core_t *core, ca_event_number_t number,
               const ca_request_t *request, uint64_t endpoint,
               const char *format, ...) __attribute__ ((format (printf, 5, 6)));

/* gossip.c */

void ca_envelope_init (ca_core_t *core, Camphor__Envelope *envelope);

/* Sends a message and piggybacks pending gossip updates on it.  A message to
 * this entry itself is queued and handled at the end of the event. */
void ca_peer_send (ca_core_t *core, uint64_t to, Camphor__Envelope *envelope);
void ca_peer_send_address (ca_core_t *core, const ca_address_t *address,
                           Camphor__Envelope *envelope);
void ca_gossip_receive (ca_core_t *core, const Camphor__Envelope *envelope);

/* Sends pending updates to a few random members immediately instead of waiting
 * for the next message. */
void ca_gossip_push (ca_core_t *core);

/* Number of times an update is transmitted in a group of the current size. */
uint32_t ca_gossip_transmit_count (const ca_core_t *core);

/* member.c */

void ca_member_init (ca_core_t *core);
void ca_member_finish (ca_core_t *core);
void ca_member_tick (ca_core_t *core);
ca_member_t *ca_member_find (const ca_core_t *core, uint64_t id);

/* Applies a peer's report about a member.  With `pass_on`, a change is gossiped
 * further. */
void ca_member_update (ca_core_t *core, const Camphor__MemberUpdate *update,
                       bool pass_on);
void ca_member_fill_update (const ca_member_t *member,
                            Camphor__MemberUpdate *update);

/* Records that a message arrived from a member. */
void ca_member_received (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_member_ping (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_member_ack (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_member_ping_request (ca_core_t *core,
                             const Camphor__Envelope *envelope);
void ca_member_leave (ca_core_t *core);

/* Gossips this entry's own row again with its current configuration
 * revision. */
void ca_member_publish_self (ca_core_t *core);

/* Returns the member of `zone` with the rank-th highest rendezvous hash for the
 * shard, counted from 0; NULL if the zone has fewer live members. */
ca_member_t *ca_member_owner (const ca_core_t *core, const char *zone,
                              const char *pool, uint32_t shard, uint32_t rank);

/* Returns the live member of any zone with the highest rendezvous hash for
 * `name`. */
ca_member_t *ca_member_by_hash (const ca_core_t *core, const char *name);

/* Returns the rank-th live member, counted from 0 and without this entry, to
 * hand a request over to; NULL if there are fewer.  Members of other zones
 * count only if this zone has no other live member. */
ca_member_t *ca_member_handover_target (const ca_core_t *core, uint64_t request,
                                        uint32_t rank);

/* Returns the number of live members in `zone`, or in all zones if NULL.  This
 * entry is included unless it is leaving. */
size_t ca_member_live_count (const ca_core_t *core, const char *zone);

/* Returns a random member that is not dead and not this entry, in `zone` or in
 * any zone if NULL; NULL if there is none. */
ca_member_t *ca_member_random (ca_core_t *core, const char *zone);

/* endpoint.c */

void ca_endpoint_finish (ca_core_t *core);
void ca_endpoint_tick (ca_core_t *core);
ca_endpoint_t *ca_endpoint_find (const ca_core_t *core, uint64_t id);
void ca_endpoint_update (ca_core_t *core,
                         const Camphor__EndpointUpdate *update);

/* True if this boot of the endpoint is leaving, gone or replaced by a later
 * one. */
bool ca_endpoint_is_leaving (const ca_core_t *core, uint64_t id, uint64_t boot);

/* True if the endpoint may be given requests now. */
bool ca_endpoint_usable (const ca_core_t *core, const ca_endpoint_t *endpoint);
bool ca_endpoint_in_shard (const ca_core_t *core, const ca_endpoint_t *endpoint,
                           const char *pool, uint32_t shard);
uint32_t ca_endpoint_shard (const ca_core_t *core,
                            const ca_endpoint_t *endpoint);

/* Marks the current boot as leaving, to be stopped in `notice_us`. */
void ca_endpoint_retire (ca_core_t *core, ca_endpoint_t *endpoint,
                         uint64_t notice_us);

/* Counts a failure of the endpoint, which may eject it. */
void ca_endpoint_failed (ca_core_t *core, ca_endpoint_t *endpoint);

/* flow.c */

ca_flow_t *ca_flow_find (ca_core_t *core, ca_shard_t *shard,
                         const char *workspace, const char *class_name);
void ca_flow_push (ca_shard_t *shard, ca_slot_request_t *slot_request);
void ca_flow_remove (ca_shard_t *shard, ca_slot_request_t *slot_request);

/* Returns the slot request to serve next, other than those in `skip`; NULL if
 * there is none. */
ca_slot_request_t *ca_flow_next (ca_shard_t *shard,
                                 ca_slot_request_t *const *skip,
                                 size_t skip_count);
void ca_flow_charge (ca_shard_t *shard, ca_flow_t *flow, double cost);

/* choose.c */

/* Returns the best endpoint with a free slot for the slot request, and how many
 * tokens of its prompt are estimated to be cached there; NULL if there is
 * none. */
ca_endpoint_t *ca_choose_endpoint (ca_core_t *core, const ca_shard_t *shard,
                                   ca_slot_request_t *slot_request,
                                   uint64_t *cached_tokens);

/* Reserves the least loaded endpoint for a request that must run exclusively,
 * as long as at most half of the endpoints are reserved. */
void ca_choose_reserve (ca_core_t *core, const ca_shard_t *shard,
                        const ca_slot_request_t *slot_request);
void ca_choose_unreserve (ca_core_t *core, uint64_t request);

/* sched.c */

void ca_sched_finish (ca_core_t *core);
void ca_sched_tick (ca_core_t *core);
void ca_sched_slot_request (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_sched_release (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_sched_holds (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_sched_coordinator_dead (ca_core_t *core, uint64_t coordinator);
void ca_sched_serve_endpoint (ca_core_t *core, const ca_endpoint_t *endpoint);

/* True if slot requests for the shard are queued here, even if another member
 * should own it. */
bool ca_sched_has_queued (const ca_core_t *core, const char *pool,
                          uint32_t shard);

/* Rejects all queued slot requests so that their coordinators ask the new
 * owner. */
void ca_sched_return_queued (ca_core_t *core);

/* request.c */

/* Maximum balance of the retry budget, in runs after a failure. */
#define CA_RETRY_BUDGET_MAX 20.0

void ca_request_finish_all (ca_core_t *core);
void ca_request_tick (ca_core_t *core);
ca_request_t *ca_request_find (const ca_core_t *core, uint64_t id);
ca_request_t *ca_request_new (ca_core_t *core, uint64_t id);
void ca_request_free (ca_core_t *core, ca_request_t *request);
void ca_request_set_phase (ca_core_t *core, ca_request_t *request,
                           ca_phase_t phase);

/* Requests a slot, starting again with the first zone. */
void ca_request_find_slot (ca_core_t *core, ca_request_t *request);

/* Requests a slot at `at_us` or later. */
void ca_request_find_slot_at (ca_core_t *core, ca_request_t *request,
                              uint64_t at_us);

/* Sends the caller the tokens that were not delivered yet. */
void ca_request_deliver (ca_core_t *core, ca_request_t *request);

/* Called when the answer is complete: stores it if the request is
 * non-idempotent, then ends the request. */
void ca_request_complete (ca_core_t *core, ca_request_t *request);

/* Ends the request with its answer and sends the end of it to the caller. */
void ca_request_end (ca_core_t *core, ca_request_t *request);

/* Sends an attached caller the rest of the answer of an ended request. */
void ca_request_send_end (ca_core_t *core, ca_request_t *request);
void ca_request_exclude (ca_request_t *request, uint64_t endpoint);
void ca_request_grant (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_request_slot_ack (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_request_reject (ca_core_t *core, const Camphor__Envelope *envelope);

/* holds.c */

/* Returns the current owner of the shard of the endpoint that runs the request.
 * If the endpoint or that owner is unknown, returns the member that granted the
 * slot. */
uint64_t ca_holds_owner (const ca_core_t *core, const ca_request_t *request);
void ca_holds_tick (ca_core_t *core);

/* refusal.c */

/* Ends the request with an error, and derives from its state whether it may
 * have run. */
void ca_request_refuse (ca_core_t *core, ca_request_t *request,
                        ca_error_kind_t kind, uint64_t retry_after_us,
                        const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Sends an error for a call that was rejected before a request was created. */
void ca_refuse_spec (ca_core_t *core, uint64_t id, ca_error_kind_t kind,
                     ca_outcome_t outcome, uint64_t retry_after_us,
                     const char *message);

/* Sends the error again to a caller that reconnected. */
void ca_request_resend_refusal (ca_core_t *core, ca_request_t *request);

/* run.c */

/* Starts a run at the endpoint of the grant. */
void ca_run_start (ca_core_t *core, ca_request_t *request);
void ca_run_reattach (ca_core_t *core, ca_request_t *request);
void ca_run_stop (ca_core_t *core, ca_request_t *request, bool migrating);

/* Stops a run whose answer is no longer needed, without waiting for the
 * result. */
void ca_run_cancel (ca_core_t *core, ca_request_t *request);
void ca_run_release (ca_core_t *core, ca_request_t *request, bool failed);
void ca_run_tick (ca_core_t *core, ca_request_t *request);

/* drain.c */

void ca_drain_tick (ca_core_t *core);

/* claim.c */

void ca_claim_begin (ca_core_t *core, ca_request_t *request);

/* Takes over a claim that another entry may also hold.  The conditional write
 * lets only one of them continue; it then requests a slot. */
void ca_claim_reacquire (ca_core_t *core, ca_request_t *request);
void ca_claim_tick (ca_core_t *core, ca_request_t *request);

/* Writes the answer into the claim row. */
void ca_claim_store_answer (ca_core_t *core, ca_request_t *request);

/* Marks the claim as released: the request never ran. */
void ca_claim_mark_released (ca_core_t *core, ca_request_t *request);

/* Marks the claim as lost: the request may have run, and its result is
 * unknown. */
void ca_claim_mark_lost (ca_core_t *core, ca_request_t *request);
void ca_pending_write_tick (ca_core_t *core);
void ca_pending_write_finish (ca_core_t *core);
bool ca_pending_write_exists (const ca_core_t *core);

/* store.c */

/* True if a call may be sent now.  While the store is down, one test call per
 * retry period may. */
bool ca_store_available (ca_core_t *core);

/* Both return false and send nothing if the store is down.  `subject` is passed
 * on to `done`. */
bool ca_store_read (ca_core_t *core, uint64_t subject, const char *key,
                    ca_store_callback_t done);
bool ca_store_scan (ca_core_t *core, uint64_t subject, const char *prefix,
                    ca_store_callback_t done);

/* Returns false and sends nothing if the store is down or this entry's write
 * quota is used up. */
bool ca_store_write (ca_core_t *core, uint64_t subject,
                     const ca_table_op_t *ops, size_t count,
                     ca_store_callback_t done);
void ca_store_finish (ca_core_t *core);

/* quarantine.c */

uint32_t ca_suspect_level (const ca_core_t *core, uint64_t fingerprint);
void ca_suspect_update (ca_core_t *core,
                        const Camphor__FingerprintUpdate *update);

/* Time to wait for reclaim notices and further losses before a crash is blamed
 * on the request. */
#define CA_CRASH_CLASSIFY_DELAY_US (1 * CA_US_PER_S)

/* Records that an endpoint was lost while the request ran on it.  Returns true
 * if the request must have an endpoint to itself from now on. */
bool ca_suspect_record_crash (ca_core_t *core, const ca_request_t *request);
void ca_suspect_tick (ca_core_t *core);
void ca_suspect_finish (ca_core_t *core);

/* revision.c */

void ca_revision_tick (ca_core_t *core);
void ca_revision_finish (ca_core_t *core);

/* Requests newer intents from a member that reports a later revision. */
void ca_revision_reported (ca_core_t *core, uint64_t from, uint64_t revision);
void ca_revision_config_want (ca_core_t *core,
                              const Camphor__Envelope *envelope);
void ca_revision_config_delta (ca_core_t *core,
                               const Camphor__Envelope *envelope);

/* fleet.c */

void ca_fleet_tick (ca_core_t *core);
void ca_fleet_finish (ca_core_t *core);

/* Called when a VM is listed for the first time; completes the pending start
 * that it matches. */
void ca_fleet_vm_listed (ca_core_t *core, const ca_endpoint_t *endpoint);

/* handover.c */

void ca_handover_tick (ca_core_t *core);
void ca_handover_send (ca_core_t *core, ca_request_t *request, uint64_t to);
void ca_handover_receive (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_handover_ack (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_handover_find (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_handover_finish (ca_core_t *core);

#endif
