/* Functions that the modules of the core call in one another. */
#ifndef CA_CORE_PRIVATE_H
#define CA_CORE_PRIVATE_H

#include "core/core.h"

/* Logs the invariant's name and aborts when `condition` is false. */
#define CA_INVARIANT(core, condition, name)                                    \
  do                                                                           \
    {                                                                          \
      if (!(condition))                                                        \
        ca_invariant_failed ((core), (name));                                  \
    }                                                                          \
  while (0)

/* --- core.c --- */

/* Every public event begins and ends with these. */
void ca_core_begin_event (ca_core_t *core, uint64_t now_us);
void ca_core_end_event (ca_core_t *core);
void ca_invariant_failed (ca_core_t *core, const char *name)
    __attribute__ ((noreturn));
double ca_random (ca_core_t *core); /* in [0, 1) */
uint64_t ca_random_below (ca_core_t *core, uint64_t limit);
void ca_trace (ca_core_t *core, ca_event_number_t number,
               const ca_request_t *request, uint64_t endpoint,
               const char *format, ...) __attribute__ ((format (printf, 5, 6)));

/* --- gossip.c --- */
void ca_envelope_init (ca_core_t *core, Camphor__Envelope *envelope);

/* Sends with due updates on the back; to this entry itself by a queue. */
void ca_peer_send (ca_core_t *core, uint64_t to, Camphor__Envelope *envelope);
void ca_peer_send_address (ca_core_t *core, const ca_address_t *address,
                           Camphor__Envelope *envelope);
void ca_gossip_receive (ca_core_t *core, const Camphor__Envelope *envelope);

/* Sends what is new about endpoints and suspects to a few members at once. */
void ca_gossip_push (ca_core_t *core);

/* Times an update is passed on in a group of the present size. */
uint32_t ca_gossip_transmit_count (const ca_core_t *core);

/* --- member.c --- */
void ca_member_init (ca_core_t *core);
void ca_member_finish (ca_core_t *core);
void ca_member_tick (ca_core_t *core);
ca_member_t *ca_member_find (const ca_core_t *core, uint64_t id);
/* Takes what a peer says of a member; `pass_on` tells it to others. */
void ca_member_update (ca_core_t *core, const Camphor__MemberUpdate *update,
                       bool pass_on);
void ca_member_fill_update (const ca_member_t *member,
                            Camphor__MemberUpdate *update);
void ca_member_received (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_member_ping (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_member_ack (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_member_ping_request (ca_core_t *core,
                             const Camphor__Envelope *envelope);
void ca_member_leave (ca_core_t *core);

/* Publishes this entry's own row again, with its configuration revision. */
void ca_member_publish_self (ca_core_t *core);

/* The member of `zone` with the rank-th highest hash for the shard; NULL if
 * the zone has no more live members. */
ca_member_t *ca_member_owner (const ca_core_t *core, const char *zone,
                              const char *pool, uint32_t shard, uint32_t rank);

/* The live member, of any zone, with the highest hash for `name`. */
ca_member_t *ca_member_by_hash (const ca_core_t *core, const char *name);

/* A live member other than this entry to hold a request. */
ca_member_t *ca_member_handover_target (const ca_core_t *core, uint64_t request,
                                        uint32_t rank);
size_t ca_member_live_count (const ca_core_t *core, const char *zone);

/* A random live member other than this entry, in `zone` or anywhere if NULL;
 * NULL if there is none. */
ca_member_t *ca_member_random (ca_core_t *core, const char *zone);

/* --- endpoint.c --- */
void ca_endpoint_finish (ca_core_t *core);
void ca_endpoint_tick (ca_core_t *core);
ca_endpoint_t *ca_endpoint_find (const ca_core_t *core, uint64_t id);
void ca_endpoint_update (ca_core_t *core,
                         const Camphor__EndpointUpdate *update);

/* True if the life `boot` of the endpoint is known to be leaving or gone. */
bool ca_endpoint_is_leaving (const ca_core_t *core, uint64_t id, uint64_t boot);

/* True if it may get work now. */
bool ca_endpoint_usable (const ca_core_t *core, const ca_endpoint_t *endpoint);
bool ca_endpoint_in_shard (const ca_core_t *core, const ca_endpoint_t *endpoint,
                           const char *pool, uint32_t shard);
uint32_t ca_endpoint_shard (const ca_core_t *core,
                            const ca_endpoint_t *endpoint);

/* Announces that the present life will be stopped in `notice_us`. */
void ca_endpoint_retire (ca_core_t *core, ca_endpoint_t *endpoint,
                         uint64_t notice_us);
void ca_endpoint_failed (ca_core_t *core, ca_endpoint_t *endpoint);

/* --- flow.c --- */
ca_flow_t *ca_flow_find (ca_core_t *core, ca_shard_t *shard,
                         const char *workspace, const char *class_name);
void ca_flow_push (ca_shard_t *shard, ca_slot_request_t *slot_request);
void ca_flow_remove (ca_shard_t *shard, ca_slot_request_t *slot_request);

/* The ask to be served next among those not in `skip`; NULL if none. */
ca_slot_request_t *ca_flow_next (ca_shard_t *shard,
                                 ca_slot_request_t *const *skip,
                                 size_t skip_count);
void ca_flow_charge (ca_shard_t *shard, ca_flow_t *flow, double cost);

/* --- choose.c --- */

/* The best endpoint with a slot for the ask, and how many of its prompt's
 * tokens are thought to be cached there; NULL if none suits now. */
ca_endpoint_t *ca_choose_endpoint (ca_core_t *core, const ca_shard_t *shard,
                                   ca_slot_request_t *slot_request,
                                   uint64_t *cached_tokens);
void ca_choose_reserve (ca_core_t *core, const ca_shard_t *shard,
                        const ca_slot_request_t *slot_request);
void ca_choose_unreserve (ca_core_t *core, uint64_t request);

/* --- sched.c --- */
void ca_sched_finish (ca_core_t *core);
void ca_sched_tick (ca_core_t *core);
void ca_sched_slot_request (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_sched_release (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_sched_holds (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_sched_coordinator_dead (ca_core_t *core, uint64_t coordinator);
void ca_sched_serve_endpoint (ca_core_t *core, const ca_endpoint_t *endpoint);

/* True if asks wait here for the shard, whoever should own it. */
bool ca_sched_has_queued (const ca_core_t *core, const char *pool,
                          uint32_t shard);

/* Hands all queued asks back to their fronts, which ask the new owner. */
void ca_sched_return_queued (ca_core_t *core);

/* --- request.c --- */

/* Most runs after failures that may be saved up. */
#define CA_RETRY_BUDGET_CAP 20.0

void ca_request_finish_all (ca_core_t *core);
void ca_request_tick (ca_core_t *core);
ca_request_t *ca_request_find (const ca_core_t *core, uint64_t id);
ca_request_t *ca_request_new (ca_core_t *core, uint64_t id);
void ca_request_free (ca_core_t *core, ca_request_t *request);
void ca_request_set_phase (ca_core_t *core, ca_request_t *request,
                           ca_phase_t phase);

/* Looks for a slot, from the first zone on. */
void ca_request_find_slot (ca_core_t *core, ca_request_t *request);

/* Looks for a slot no earlier than `at_us`. */
void ca_request_find_slot_at (ca_core_t *core, ca_request_t *request,
                              uint64_t at_us);

/* Gives tokens not yet delivered to the caller. */
void ca_request_deliver (ca_core_t *core, ca_request_t *request);

/* The whole answer is here: store it if it must be, then end. */
void ca_request_complete (ca_core_t *core, ca_request_t *request);

/* The answer is final and durable enough: tell the caller. */
void ca_request_end (ca_core_t *core, ca_request_t *request);

/* Gives an attached caller the rest of an ended answer. */
void ca_request_send_end (ca_core_t *core, ca_request_t *request);
void ca_request_exclude (ca_request_t *request, uint64_t endpoint);
void ca_request_grant (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_request_slot_ack (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_request_reject (ca_core_t *core, const Camphor__Envelope *envelope);

/* --- holds.c --- */

/* The present owner of the shard of the endpoint that runs the request; the
 * one that granted it if that cannot be told. */
uint64_t ca_holds_owner (const ca_core_t *core, const ca_request_t *request);
void ca_holds_tick (ca_core_t *core);

/* --- refusal.c --- */

/* Ends the request with an error; the outcome word is worked out here. */
void ca_request_refuse (ca_core_t *core, ca_request_t *request,
                        ca_error_kind_t kind, uint64_t retry_after_us,
                        const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Refuses something that never became a request. */
void ca_refuse_spec (ca_core_t *core, uint64_t id, ca_error_kind_t kind,
                     ca_outcome_t outcome, uint64_t retry_after_us,
                     const char *message);

/* Says a refusal again to a caller that came back. */
void ca_request_resend_refusal (ca_core_t *core, ca_request_t *request);

/* --- run.c --- */

/* Starts a run at the granted endpoint. */
void ca_run_start (ca_core_t *core, ca_request_t *request);
void ca_run_reattach (ca_core_t *core, ca_request_t *request);
void ca_run_stop (ca_core_t *core, ca_request_t *request, bool migrating);

/* Stops a run whose answer nobody waits for, without waiting. */
void ca_run_cancel (ca_core_t *core, ca_request_t *request);
void ca_run_release (ca_core_t *core, ca_request_t *request, bool failed);
void ca_run_tick (ca_core_t *core, ca_request_t *request);

/* --- drain.c --- */
void ca_drain_tick (ca_core_t *core);

/* --- claim.c --- */
void ca_claim_begin (ca_core_t *core, ca_request_t *request);

/* Takes a claim that another entry may act on too for this entry alone; the
 * request asks for a slot afterwards. */
void ca_claim_reacquire (ca_core_t *core, ca_request_t *request);
void ca_claim_tick (ca_core_t *core, ca_request_t *request);

/* Writes the answer into the claim row. */
void ca_claim_store_answer (ca_core_t *core, ca_request_t *request);

/* Marks the claim as released: it never ran. */
void ca_claim_mark_released (ca_core_t *core, ca_request_t *request);

/* Marks the claim as lost: it may have run, and no more can be known. */
void ca_claim_mark_lost (ca_core_t *core, ca_request_t *request);
void ca_pending_write_tick (ca_core_t *core);
void ca_pending_write_finish (ca_core_t *core);
bool ca_pending_write_exists (const ca_core_t *core);

/* --- store.c --- */
bool ca_store_available (ca_core_t *core);
bool ca_store_read (ca_core_t *core, uint64_t subject, const char *key,
                    ca_store_callback_t done);
bool ca_store_scan (ca_core_t *core, uint64_t subject, const char *prefix,
                    ca_store_callback_t done);

/* False, and nothing sent, when the store is down or this entry's share of
 * its writes is used up. */
bool ca_store_write (ca_core_t *core, uint64_t subject,
                     const ca_table_op_t *ops, size_t count,
                     ca_store_callback_t done);
void ca_store_finish (ca_core_t *core);

/* --- quarantine.c --- */
uint32_t ca_suspect_level (const ca_core_t *core, uint64_t fingerprint);
void ca_suspect_update (ca_core_t *core,
                        const Camphor__FingerprintUpdate *update);

/* Time after which the cause of a crash is known. */
#define CA_CRASH_CLASSIFY_DELAY_US (1 * CA_US_PER_S)

/* Notes that an endpoint went away while the request ran on it.  True if the
 * request should run alone from now on. */
bool ca_suspect_record_crash (ca_core_t *core, const ca_request_t *request);
void ca_suspect_tick (ca_core_t *core);
void ca_suspect_finish (ca_core_t *core);

/* --- revision.c --- */
void ca_revision_tick (ca_core_t *core);
void ca_revision_finish (ca_core_t *core);
void ca_revision_reported (ca_core_t *core, uint64_t from, uint64_t revision);
void ca_revision_config_want (ca_core_t *core,
                              const Camphor__Envelope *envelope);
void ca_revision_config_delta (ca_core_t *core,
                               const Camphor__Envelope *envelope);

/* --- fleet.c --- */
void ca_fleet_tick (ca_core_t *core);
void ca_fleet_finish (ca_core_t *core);

/* A VM is in the list for the first time: a start that waits for one such is
 * over. */
void ca_fleet_vm_listed (ca_core_t *core, const ca_endpoint_t *endpoint);

/* --- handover.c --- */
void ca_handover_tick (ca_core_t *core);
void ca_handover_send (ca_core_t *core, ca_request_t *request, uint64_t to);
void ca_handover_receive (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_handover_ack (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_handover_find (ca_core_t *core, const Camphor__Envelope *envelope);
void ca_handover_finish (ca_core_t *core);

#endif
