/* Declarations shared by the source files of the gateway. */
#ifndef CA_GATEWAY_PRIVATE_H
#define CA_GATEWAY_PRIVATE_H

#include "gateway/gateway.h"

/* Logs an event.  `request` and `subject` may be NULL. */
void ca_gateway_log (ca_gateway_t *gateway, ca_event_number_t event,
                     const char *request, const char *subject,
                     const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Returns an entry's number in messages, a hash of its name. */
uint64_t ca_gateway_id (const char *name);

/* Records that this entry leads, or has heard from the entry that does, so that
 * it knows which windows were reported. */
void ca_gateway_hear_leader (ca_gateway_t *gateway);

/* Returns a uniformly distributed number in [0, 1). */
double ca_gateway_random (ca_gateway_t *gateway);

/* True if the time of day at `at_us` was before `wall_ms`. */
bool ca_gateway_is_before (const ca_gateway_t *gateway, uint64_t at_us,
                           uint64_t wall_ms);

/* exchange.c */

void ca_exchanges_tick (ca_gateway_t *gateway);

/* Suspects the open runs at an endpoint that were sent before its process was
 * replaced.  They stay open, since a response may still be on its way. */
void ca_exchanges_suspect_replaced (ca_gateway_t *gateway,
                                    const ca_gateway_endpoint_t *endpoint,
                                    uint64_t started_ms);
void ca_exchanges_finish (ca_gateway_t *gateway);

/* Gives up runs at the service's endpoints that have brought nothing since
 * `since_us` and may be repeated, as this entry is cut off from them. */
void ca_exchanges_give_up_stalled (ca_gateway_t *gateway, const char *service,
                                   uint64_t since_us);

/* Dispatches the waiting requests, since an endpoint may take one now. */
void ca_exchanges_dispatch_waiting (ca_gateway_t *gateway);

/* endpoint_speed.c */

/* Factor by which an engine is slower than its service; 1 while the service's
 * endpoints are not distinguished. */
double ca_endpoint_speed_slowness (const ca_gateway_t *gateway,
                                   const ca_service_stats_t *stats,
                                   const ca_gateway_endpoint_t *endpoint);

/* The same for the service's endpoints together. */
double ca_endpoint_speed_mean_slowness (const ca_service_stats_t *stats);

/* Takes a sample from the first event of an attempt; `fixed_us` of its time
 * does not depend on the endpoint. */
void ca_endpoint_speed_observe (ca_gateway_t *gateway,
                                const ca_exchange_t *exchange,
                                uint64_t fixed_us);

void ca_endpoint_speed_tick (ca_gateway_t *gateway);

/* Begins a round of heartbeats, which report the samples of the one before, and
 * merges those in a peer's. */
void ca_endpoint_speed_begin_round (ca_gateway_t *gateway);
void ca_endpoint_speed_merge (ca_gateway_t *gateway,
                              const Camphor__Pulse *heartbeat);

/* endpoint_start.c */

/* True if this entry may send the endpoint one more request.  One that starts
 * gets few until it has answered like the others of its service. */
bool ca_endpoint_start_allows (ca_gateway_t *gateway,
                               ca_gateway_endpoint_t *endpoint);

/* Factor by which this entry, if it may use the endpoint, compares it more
 * often than others: without that, an endpoint that starts would get requests
 * of a window's part of the entries only, and no more from each of them. */
double ca_endpoint_start_sample_factor (const ca_gateway_endpoint_t *endpoint);

/* Note that a record was read, that the endpoint asked for a pause, and that an
 * attempt there failed or was rejected: it starts, starts again after the pause
 * or the ejection, or gets fewer requests. */
void ca_endpoint_start_listed (ca_gateway_t *gateway,
                               const ca_endpoint_record_t *record);
void ca_endpoint_start_paused (ca_gateway_t *gateway,
                               ca_gateway_endpoint_t *endpoint);
void ca_endpoint_start_failed (ca_gateway_t *gateway,
                               ca_gateway_endpoint_t *endpoint);

/* Notes the first event of an attempt; `fixed_us` is the part
 * of its time that does not depend on the endpoint. */
void ca_endpoint_start_answered (ca_gateway_t *gateway,
                                 const ca_exchange_t *exchange,
                                 uint64_t fixed_us);

/* The window to report to peers; 0 if the endpoint does not start. */
uint32_t ca_endpoint_start_window (const ca_gateway_t *gateway,
                                   const ca_gateway_endpoint_t *endpoint);

/* Begins a round of heartbeats, and merges what a peer's says of endpoints that
 * start. */
void ca_endpoint_start_begin_round (ca_gateway_t *gateway);
void ca_endpoint_start_merge (ca_gateway_t *gateway,
                              const Camphor__Pulse *heartbeat);
void ca_endpoint_start_tick (ca_gateway_t *gateway);

/* endpoint_interference.c */

/* Count the exchange's first event, and the end of its use of the endpoint. */
void ca_interference_began (ca_gateway_t *gateway, ca_exchange_t *exchange);
void ca_interference_ended (ca_exchange_t *exchange);

/* Cost in microseconds of the exchange to the others at the engine, where its
 * prompt takes `read_us`; 0 where the prompts of the service are short. */
double ca_interference_at (const ca_gateway_t *gateway,
                           const ca_exchange_t *exchange,
                           const ca_service_stats_t *stats,
                           const ca_gateway_endpoint_t *endpoint,
                           double read_us, double us_per_token);

/* Fills in this entry's streams and reading at the endpoint. */
void ca_interference_fill (ca_gateway_t *gateway,
                           const ca_gateway_endpoint_t *endpoint,
                           Camphor__SeatLoad *row);

/* state_sync.c */

void ca_state_sync_tick (ca_gateway_t *gateway);

/* Applies the era that a peer reports. */
void ca_state_sync_peer_era (ca_gateway_t *gateway, uint64_t era);

/* Answers a peer that asks how recently the configuration was validated. */
void ca_state_sync_answer_validation (ca_gateway_t *gateway,
                                      const Camphor__Envelope *envelope);

/* Applies a peer's answer to such a request of this entry. */
void ca_state_sync_apply_validation (ca_gateway_t *gateway,
                                     const Camphor__Envelope *envelope);

/* True if the configuration in force may come from an older copy of the store:
 * a peer has a newer one, or this entry has started since the store came back
 * and has not heard from all peers yet. */
bool ca_state_sync_may_be_restored (const ca_gateway_t *gateway);

/* True if a newer configuration, known here or not, may have been confirmed for
 * as long as the bound on propagation. */
bool ca_state_sync_config_may_be_overdue (const ca_gateway_t *gateway);

/* True if peers have a newer configuration, and that in force may have been
 * replaced for as long as the bound on propagation: requests would be handled
 * as only the older one allows. */
bool ca_state_sync_config_is_overdue (const ca_gateway_t *gateway);

/* Notes a configuration version that a peer has in force. */
void ca_state_sync_name_version (ca_gateway_t *gateway, uint64_t version);

/* select.c */

/* The endpoint chosen for an exchange, and what its choice was based on. */
typedef struct
{
  ca_gateway_endpoint_t *endpoint; /* NULL if none can take it now */
  bool any_open; /* the service has an open endpoint that is not limited */
  bool any_unverified; /* it has one of the stream's version, at which it may go
                          on once its process is verified */
  bool any_limited;    /* it has one that gets no more now due to its limit */
  bool any_paced;      /* it has one that gets no more now since it starts */
  uint64_t resumes_us; /* when the first one that paused takes requests; 0 if
                          none has */
  uint64_t predicted_us;   /* time to the first event or response */
  uint64_t expected_us;    /* the same without its fixed part, at an endpoint of
                              the service's speed */
  uint32_t prefill_tokens; /* prompt tokens that it must prefill */
  uint32_t fetched_tokens; /* prompt tokens fetched from `source` */
  const ca_gateway_endpoint_t *source; /* NULL if there is none */
  bool endpoint_idle;                  /* no prompt is queued there */
} ca_selection_t;

/* The engine to ask for a permit for one of its slots; NULL if there is none.
 */
ca_gateway_endpoint_t *ca_select_to_request (ca_gateway_t *gateway,
                                             const ca_exchange_t *exchange);
ca_selection_t ca_select_endpoint (ca_gateway_t *gateway,
                                   const ca_exchange_t *exchange);

/* The same without the limits of endpoints that start. */
ca_selection_t ca_select_endpoint_unpaced (ca_gateway_t *gateway,
                                           const ca_exchange_t *exchange);

/* Returns the statistics of a service, created on first use. */
ca_service_stats_t *ca_service_stats (ca_gateway_t *gateway, const char *name);

/* Spans over which the demand of a workspace and the work of a service are
 * averaged. */
#define CA_DEMAND_SPAN_S 2
#define CA_WORK_SPAN_S 3

/* Endpoint time that requests through this entry take, as a number of fully
 * busy endpoints, and the number of these requests per second. */
double ca_service_busy_share (ca_gateway_t *gateway, ca_service_stats_t *stats);
double ca_service_requests_per_s (ca_gateway_t *gateway,
                                  ca_service_stats_t *stats);
void ca_service_stats_finish (ca_gateway_t *gateway);

/* Updates the estimated prefill throughput of a service from the time that an
 * exchange took to its first event. */
void ca_select_update_throughput (ca_gateway_t *gateway,
                                  const ca_exchange_t *exchange);

/* quota.c */

/* Counts the cost of a request as demand for the quota of its workspace. */
void ca_quota_count_demand (ca_gateway_t *gateway,
                            const ca_catalog_workspace_t *workspace,
                            double cost);

/* Takes the cost of a request from the quota; false if it is used up. */
bool ca_quota_take (ca_gateway_t *gateway,
                    const ca_catalog_workspace_t *workspace, double cost);

/* Logs that the quota is used up for a request.  Returns the time after which a
 * retry may succeed. */
uint64_t ca_quota_refuse (ca_gateway_t *gateway,
                          const ca_catalog_workspace_t *workspace, double cost);

/* Gives the cost of a request back to the quota. */
void ca_quota_return (ca_gateway_t *gateway,
                      const ca_catalog_workspace_t *workspace, double cost);

/* Demand for a quota at this entry, averaged over CA_DEMAND_SPAN_S, or since
 * the start. */
double ca_quota_demand_per_s (ca_gateway_t *gateway, ca_quota_t *quota);

/* Subtracts what a peer admitted between its latest heartbeat and `heartbeat`,
 * which is of `incarnation`, less what it was assumed to admit. */
void ca_quota_take_heartbeat (ca_gateway_t *gateway, ca_peer_t *peer,
                              const Camphor__Pulse *heartbeat,
                              uint64_t incarnation);

/* Time until the next grants. */
uint64_t ca_quota_round_left_us (const ca_gateway_t *gateway);

/* Recomputes this entry's share of each quota when that is due. */
void ca_quota_tick (ca_gateway_t *gateway);
void ca_quota_finish (ca_gateway_t *gateway);

/* True if the request goes on with a stream that has brought events. */
bool ca_exchange_goes_on (const ca_exchange_t *exchange);

/* True if the retry budget of the service allows one more retry, which is then
 * counted.  Requests that go on with a stream may use all of it, others only
 * a part. */
bool ca_retry_budget_take (ca_gateway_t *gateway, const char *service,
                           bool goes_on);

/* quota_loans.c */

/* Asks peers for what this entry's grant lacks for a request, unless answers
 * are awaited already.  False if none can be expected to have it. */
bool ca_quota_loan_request (ca_gateway_t *gateway,
                            const ca_catalog_workspace_t *workspace,
                            double cost);

/* Answers a peer's request, and takes the answer to one of this entry. */
void ca_quota_loan_answer (ca_gateway_t *gateway,
                           const Camphor__Envelope *envelope);
void ca_quota_loan_receive (ca_gateway_t *gateway,
                            const Camphor__Envelope *envelope);

/* version_history.c */

/* Returns this entry's knowledge of a version of the service; a new one
 * replaces the one that was listed least recently. */
ca_software_version_t *ca_version_history_find (ca_gateway_t *gateway,
                                                ca_service_stats_t *stats,
                                                uint32_t version);

/* True if this entry knows all versions at which streams that may still be
 * taken up have begun. */
bool ca_version_history_is_complete (const ca_gateway_t *gateway);

/* True if entries may have begun streams at the version lately. */
bool ca_version_history_may_have_begun (const ca_gateway_t *gateway,
                                        const ca_software_version_t *version);

/* Time from which on the version is used for new streams; 0 if no other one
 * serves. */
uint64_t ca_version_history_settles_us (const ca_gateway_t *gateway,
                                        const ca_service_stats_t *stats,
                                        const ca_software_version_t *version);

/* Fills in what this entry knows. */
void ca_version_history_fill (const ca_gateway_t *gateway,
                              ca_version_history_t *history);

/* True if a version of the history is not recorded yet. */
bool ca_version_history_lacks (const ca_gateway_t *gateway,
                               const ca_version_history_t *history);

/* Notes that the leader has recorded the history. */
void ca_version_history_recorded (ca_gateway_t *gateway,
                                  const ca_version_history_t *history);

/* Takes over a recorded history that begins earlier than this entry's. */
void ca_version_history_take (ca_gateway_t *gateway,
                              const ca_version_history_t *history);

/* Notes that versions may have come and gone unseen since the list was
 * validated. */
void ca_version_history_note_gap (ca_gateway_t *gateway);

/* The leader's message, and the storage of its rows. */
typedef struct
{
  Camphor__VersionHistory message;
  char *services[CA_VERSION_HISTORY_MAX];
  uint32_t versions[CA_VERSION_HISTORY_MAX];
  uint64_t first_ages_us[CA_VERSION_HISTORY_MAX];
  uint64_t listed_ages_us[CA_VERSION_HISTORY_MAX];
} ca_version_history_message_t;

/* Fills in the message, which refers to the history's texts. */
void ca_version_history_to_message (const ca_gateway_t *gateway,
                                    const ca_version_history_t *history,
                                    ca_version_history_message_t *buffer);

/* Applies the leader's message. */
void ca_version_history_receive (ca_gateway_t *gateway,
                                 const Camphor__VersionHistory *message);

/* stream_versions.c */

typedef enum
{
  CA_STREAM_LOOKUP_KNOWN, /* or the request begins a stream */
  CA_STREAM_LOOKUP_PENDING,
  CA_STREAM_LOOKUP_UNKNOWN
} ca_stream_lookup_t;

/* Finds out which version began the stream that the request takes up. */
ca_stream_lookup_t ca_stream_versions_resolve (ca_gateway_t *gateway,
                                               ca_exchange_t *exchange);

/* Whether the exchange's stream may begin or go on at an endpoint. */
typedef enum
{
  CA_STREAM_NOT_THERE,
  CA_STREAM_UNVERIFIED, /* not now: its process may have been replaced */
  CA_STREAM_VERIFIED,   /* on a connection that leads to the listed process */
  CA_STREAM_ANYHOW
} ca_stream_permission_t;

ca_stream_permission_t
ca_stream_versions_check (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                          const ca_gateway_endpoint_t *endpoint);

/* Notes that the endpoint is listed, and from when on all entries know that its
 * version serves. */
void ca_stream_versions_listed (ca_gateway_t *gateway,
                                ca_gateway_endpoint_t *endpoint);

/* Record that the exchange's stream has begun or goes on at its endpoint, and
 * that it is complete. */
void ca_stream_versions_began (ca_gateway_t *gateway, ca_exchange_t *exchange);
void ca_stream_versions_completed (ca_gateway_t *gateway,
                                   const ca_exchange_t *exchange);

/* Handles that connections of the endpoint were verified to lead to the listed
 * process: streams that began there in doubt have its version. */
void ca_stream_versions_verified (ca_gateway_t *gateway,
                                  const ca_gateway_endpoint_t *endpoint);

/* Streams that were sent to the endpoint after another process had started
 * under its id, of another version, cannot go on. */
void ca_stream_versions_replaced (ca_gateway_t *gateway,
                                  const ca_gateway_endpoint_t *endpoint,
                                  uint64_t started_ms);

/* Answers a peer's question, and applies a peer's records or its answer. */
void ca_stream_versions_answer (ca_gateway_t *gateway,
                                const Camphor__Envelope *envelope);
void ca_stream_versions_apply (ca_gateway_t *gateway,
                               const Camphor__StreamVersions *message);

/* Keeps a record that was read from the store; NULL if there are too many. */
ca_stream_record_t *ca_stream_versions_keep (ca_gateway_t *gateway,
                                             uint64_t stream, uint32_t version);

void ca_stream_versions_init (ca_gateway_t *gateway);
void ca_stream_versions_tick (ca_gateway_t *gateway);
void ca_stream_versions_finish (ca_gateway_t *gateway);

/* stream_store.c */

void ca_stream_store_init (ca_stream_store_t *store);
void ca_stream_store_tick (ca_gateway_t *gateway);

/* The entry that writes the records of a stream's bucket to the store: a peer,
 * this entry, or none (NULL and false). */
const ca_peer_t *ca_stream_store_writer (const ca_gateway_t *gateway,
                                         uint64_t stream, bool *is_self);

/* True if the peer can be the writer of a bucket. */
bool ca_stream_store_may_write (const ca_gateway_t *gateway,
                                const ca_peer_t *peer);

/* Queues a record to be written, again if it has been changed; takes one from
 * the queue. */
void ca_stream_store_add (ca_gateway_t *gateway, ca_stream_record_t *record);
void ca_stream_store_remove (ca_gateway_t *gateway, ca_stream_record_t *record);

/* Reads the bucket of a stream, unless that has been done since `since_us`.
 * True if the store's answer is awaited. */
bool ca_stream_store_want (ca_gateway_t *gateway, uint64_t stream,
                           uint64_t since_us);

/* endpoint_process.c */

/* Connections to the endpoint that were established by then lead to the listed
 * process, or to one that has ended. */
uint64_t
ca_endpoint_process_verified_us (const ca_gateway_t *gateway,
                                 const ca_gateway_endpoint_t *endpoint);

/* Notes a response of the exchange's endpoint. */
void ca_endpoint_process_answered (ca_gateway_t *gateway,
                                   const ca_exchange_t *exchange,
                                   const ca_answer_facts_t *facts);

/* Notes that a response of the endpoint was interrupted. */
void ca_endpoint_process_interrupted (ca_gateway_t *gateway,
                                      ca_gateway_endpoint_t *endpoint);

/* True if the connection of the response leads to the listed process. */
bool ca_endpoint_process_is_verified (const ca_gateway_t *gateway,
                                      const ca_exchange_t *exchange,
                                      const ca_answer_facts_t *facts);

/* True if another process may have taken the endpoint's place, since a response
 * of it was interrupted. */
bool ca_endpoint_process_is_in_doubt (ca_gateway_t *gateway,
                                      const ca_gateway_endpoint_t *endpoint);

/* True if a connection to the listed process can carry the request. */
bool ca_endpoint_process_has_connection (const ca_gateway_t *gateway,
                                         const ca_exchange_t *exchange,
                                         const ca_gateway_endpoint_t *endpoint);

/* reach.c */

/* Record that the endpoint has sent something, or that a connection to it
 * failed. */
void ca_reach_heard (ca_gateway_t *gateway,
                     const ca_gateway_endpoint_t *endpoint);
void ca_reach_failed (ca_gateway_t *gateway,
                      const ca_gateway_endpoint_t *endpoint);

/* Records the result of a connection that was tried. */
void ca_reach_probed (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint,
                      bool reachable);

/* True if the endpoint, not this entry's links, is to blame for an interruption
 * there: others of its service have sent something since. */
bool ca_reach_blames_endpoint (ca_gateway_t *gateway,
                               const ca_gateway_endpoint_t *endpoint,
                               uint64_t interrupted_us);

/* Number of a service in messages, a hash of its name. */
uint64_t ca_reach_service_number (const char *service);

/* Fills in the services none of whose endpoints this entry reaches, `max` at
 * most; returns their number. */
size_t ca_reach_report (const ca_gateway_t *gateway, uint64_t *services,
                        size_t max);
void ca_reach_tick (ca_gateway_t *gateway);

/* delegation.c */

/* Delegates the request to a peer; false if there is none that may serve it. */
bool ca_delegation_start (ca_gateway_t *gateway, ca_exchange_t *exchange);

/* The exchange no longer waits for its delegate, or the delegate cannot serve
 * the request. */
void ca_delegation_release (ca_gateway_t *gateway, ca_exchange_t *exchange);
void ca_delegation_failed (ca_gateway_t *gateway, ca_exchange_t *exchange,
                           const char *reason);

/* crash_tracker.c */

/* Returns CA_REFUSE_COUNT if the request may be sent, else the reason for its
 * refusal: such requests, or those with a part of its prompt, crashed too many
 * endpoints. */
ca_gateway_refusal_t ca_crash_tracker_check (const ca_gateway_t *gateway,
                                             const ca_exchange_t *exchange);

/* Records a run whose endpoint may have crashed: it was interrupted, or it was
 * given up after a silence. */
void ca_crash_tracker_suspect (ca_gateway_t *gateway,
                               const ca_exchange_t *exchange, bool silent);

/* Records a completed run: it clears the earlier crashes of its fingerprint and
 * of the parts of its prompt. */
void ca_crash_tracker_completed (ca_gateway_t *gateway,
                                 const ca_exchange_t *exchange);

/* Row of a heartbeat with the storage of its arrays. */
typedef struct
{
  Camphor__Strike row;
  uint64_t instances[CA_PART_CRASHES_MAX];
  uint32_t ages_ms[CA_PART_CRASHES_MAX];
} ca_crash_row_t;

/* Fills in the records to be reported to peers, `max` at most; returns their
 * number. */
size_t ca_crash_tracker_report (const ca_gateway_t *gateway,
                                ca_crash_row_t *rows, size_t max);

/* Merges the records in a peer's heartbeat. */
void ca_crash_tracker_merge (ca_gateway_t *gateway, uint64_t peer,
                             const Camphor__Pulse *heartbeat);

/* Reports the crashes that this entry has seen, and those of requests that
 * crashed several endpoints, again, since a peer may have missed them. */
void ca_crash_tracker_report_again (ca_gateway_t *gateway);

/* Count the latest suspected crashes at an endpoint, since it cannot be
 * reached, or since a process that started after the run is listed under its
 * id. */
void ca_crash_tracker_unreachable (ca_gateway_t *gateway,
                                   const ca_gateway_endpoint_t *endpoint);
void ca_crash_tracker_replaced (ca_gateway_t *gateway,
                                const ca_gateway_endpoint_t *endpoint,
                                uint64_t started_ms);

/* Drops the suspected crashes of a service's endpoints, as this entry is cut
 * off from them. */
void ca_crash_tracker_forgive (ca_gateway_t *gateway, const char *service);
void ca_crash_tracker_tick (ca_gateway_t *gateway);
void ca_crash_tracker_finish (ca_gateway_t *gateway);

/* crash_parts.c */

/* The fingerprint of a prompt part is its id XOR this, which separates it from
 * those of requests. */
#define CA_PART_FINGERPRINT_MASK UINT64_C (0x9e3779b97f4a7c15)

/* Decides which prompt parts are blocked, if a crash or a completed run has
 * become known since the last time. */
void ca_crash_parts_decide (ca_gateway_t *gateway);

/* endpoint_notice.c */

/* True if the response is known to be the endpoint's own. */
bool ca_endpoint_notice_is_genuine (const ca_answer_facts_t *facts);

/* Records what a response says of the endpoint: that it leaves, or wants no
 * requests for a time. */
void ca_endpoint_notice_observe (ca_gateway_t *gateway,
                                 const ca_exchange_t *exchange,
                                 const ca_answer_facts_t *facts);

/* brittle.c */

/* Records what a response says of the rejections that the endpoint can bear. */
void ca_brittle_observe (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                         const ca_answer_facts_t *facts);

/* True if the service's endpoints fall over after too many rejections. */
bool ca_brittle_applies (ca_gateway_t *gateway, const char *service);

/* Rejections that the service's endpoints bear in a second, as they say. */
double ca_brittle_limit (ca_gateway_t *gateway, const char *service);

/* True if the service's endpoints are brittle engines, whose slots are handed
 * out one by one. */
bool ca_brittle_needs_slots (ca_gateway_t *gateway, const char *service);

/* Limits an endpoint that has not said anything yet, such as one that has just
 * started, if others of its service are brittle: all entries would send it
 * their requests at once. */
void ca_brittle_listed (ca_gateway_t *gateway, ca_gateway_endpoint_t *endpoint);

/* Requests per second that a brittle plain endpoint can serve. */
double ca_brittle_rate_per_s (const ca_gateway_endpoint_t *endpoint);

/* Keeps this entry away from a brittle plain endpoint that has rejected a
 * request. */
void ca_brittle_rejected (ca_gateway_t *gateway, const ca_exchange_t *exchange);

/* Fills in the rows of a heartbeat, `max` at most, and merges those of a
 * peer's.
 */
size_t ca_brittle_report (const ca_gateway_t *gateway,
                          Camphor__BrittleService *rows, size_t max);
void ca_brittle_merge (ca_gateway_t *gateway, const ca_peer_t *peer,
                       const Camphor__Pulse *heartbeat);

/* admission_gate.c */

/* Decides on the request's first dispatch whether it is shed; returns
 * CA_REFUSE_COUNT if it is not, else the reason, and sets `wait_us` to the
 * Retry-After time.  May replace the selection by a better one. */
ca_gateway_refusal_t ca_admission_check (ca_gateway_t *gateway,
                                         ca_exchange_t *exchange,
                                         ca_selection_t *selection,
                                         uint64_t *wait_us);

/* True if the request is of the most urgent kind of a service with admission
 * control, which alone decides whether it is refused for overload. */
bool ca_admission_is_most_urgent (ca_gateway_t *gateway,
                                  const ca_exchange_t *exchange);

/* Record that an endpoint had no room for the request, and that the request is
 * refused. */
void ca_admission_note_rejection (ca_gateway_t *gateway,
                                  const ca_exchange_t *exchange);
void ca_admission_note_refusal (ca_gateway_t *gateway, ca_exchange_t *exchange);

/* Fills in the service's row of a heartbeat. */
void ca_admission_fill (ca_gateway_t *gateway, ca_service_stats_t *stats,
                        Camphor__ServiceWork *row);
void ca_admissions_tick (ca_gateway_t *gateway);
void ca_admission_free (ca_service_stats_t *stats);

/* slot_permits.c */

typedef enum
{
  CA_SLOT_DENIED,     /* a moment ago */
  CA_SLOT_TO_REQUEST, /* a permit must be requested first */
  CA_SLOT_PERMITTED
} ca_slot_permission_t;

/* Whether this entry may send the endpoint a request now. */
ca_slot_permission_t ca_slot_permits_check (ca_gateway_t *gateway,
                                            const ca_service_t *service,
                                            ca_gateway_endpoint_t *endpoint);

/* Counts a request that is sent to the endpoint. */
void ca_slot_permits_take (ca_gateway_t *gateway,
                           ca_gateway_endpoint_t *endpoint);

/* Asks for a permit for the exchange, unless an answer is awaited already; true
 * while one is. */
bool ca_slot_permits_request (ca_gateway_t *gateway, ca_exchange_t *exchange);

/* Records that a request at the endpoint has ended: `rejected` for want of
 * room, or `failed`, as it did not arrive or was interrupted. */
void ca_slot_permits_ended (ca_gateway_t *gateway,
                            ca_gateway_endpoint_t *endpoint, bool rejected,
                            bool failed);

/* Sends the reports and permits that are due, and uses this entry's own.  May
 * start or refuse any exchange that waits. */
void ca_slot_permits_serve (ca_gateway_t *gateway);
void ca_slot_permits_tick (ca_gateway_t *gateway);

/* Takes the load in a peer's latest heartbeat. */
void ca_slot_permits_merge (ca_gateway_t *gateway, const ca_peer_t *peer);
void ca_slot_permits_receive_report (ca_gateway_t *gateway,
                                     const Camphor__Envelope *envelope);
void ca_slot_permits_apply_permit (ca_gateway_t *gateway,
                                   const Camphor__SlotPermit *permit);

/* endpoint_limit.c */

/* True if the endpoint limits the requests that it takes. */
bool ca_endpoint_limit_applies (const ca_gateway_endpoint_t *endpoint);

/* Records what a response says of the endpoint's limit. */
void ca_endpoint_limit_observe (ca_gateway_t *gateway,
                                const ca_exchange_t *exchange,
                                const ca_answer_facts_t *facts);

/* True if this entry may send the endpoint a request now. */
bool ca_endpoint_limit_allows (ca_gateway_t *gateway,
                               ca_gateway_endpoint_t *endpoint);

/* Counts a request that is sent to the endpoint. */
void ca_endpoint_limit_take (ca_gateway_t *gateway,
                             ca_gateway_endpoint_t *endpoint);

/* Asks for a permit to send a request to one of the service's endpoints that
 * are at their limits.  True while a response is awaited; if false, `wait_us`
 * is the time after which one of them may take a request. */
bool ca_endpoint_limits_request_permit (ca_gateway_t *gateway,
                                        const char *service, uint64_t *wait_us);

/* Asks for permits to find out whether limits that no entry has reported for
 * long still apply. */
void ca_endpoint_limits_tick (ca_gateway_t *gateway);

/* Fills in what this entry has observed lately, for its heartbeats, `max` rows
 * at most; returns their number. */
size_t ca_endpoint_limits_report (const ca_gateway_t *gateway,
                                  Camphor__EndpointLimit *rows, size_t max);

/* Merges the limits in a peer's heartbeat. */
void ca_endpoint_limits_merge (ca_gateway_t *gateway, const ca_peer_t *peer,
                               const Camphor__Pulse *heartbeat);

/* Answers a peer's permit request, and applies the answer to one of this
 * entry. */
void ca_endpoint_limit_answer_request (ca_gateway_t *gateway,
                                       const Camphor__Envelope *envelope);
void ca_endpoint_limit_apply_permit (ca_gateway_t *gateway,
                                     const Camphor__Permit *permit);

/* usage.c */

/* Counts a request of the workspace that began to run at `at_us`. */
void ca_usage_count (ca_gateway_t *gateway, const char *workspace,
                     uint64_t at_us);
void ca_usage_add (struct ca_usage_rows *rows, uint64_t window,
                   const char *workspace, uint32_t count);

/* Raises the counts of a window to at least those of `minimum`. */
void ca_usage_raise_to (struct ca_usage_rows *rows,
                        const struct ca_usage_rows *minimum, uint64_t window);

/* Drops the counts of old windows. */
void ca_usage_expire (ca_gateway_t *gateway);
void ca_usage_rows_finish (struct ca_usage_rows *rows);

/* Number of the usage window that contains `at_us`. */
uint64_t ca_usage_window (const ca_gateway_t *gateway, uint64_t at_us);

/* Adds up the counts that all entries reported for one window. */
void ca_usage_total (const ca_gateway_t *gateway, uint64_t window,
                     struct ca_usage_rows *total);

/* Converts to the wall clock time that the entries agree on, in microseconds
 * since 1970. */
uint64_t ca_gateway_wall_us (const ca_gateway_t *gateway, uint64_t at_us);

/* peers.c */

/* Shortest silence after which a peer is not live (ca_peers_contact_us). */
#define CA_PEER_TIMEOUT_US (2 * CA_US_PER_S)

/* Interval of heartbeats to each peer; it grows with many entries. */
#define CA_HEARTBEAT_PERIOD_US (300 * CA_US_PER_MS)

void ca_peers_tick (ca_gateway_t *gateway, uint64_t wall_us);
void ca_peers_finish (ca_gateway_t *gateway);

/* Returns NULL if there is no such peer. */
ca_peer_t *ca_peers_find (const ca_gateway_t *gateway, uint64_t id);

/* Sends an envelope with this entry as its sender. */
void ca_peers_send (ca_gateway_t *gateway, const ca_address_t *to,
                    Camphor__Envelope *envelope);

/* Converts a time on a peer's clock to the local clock. */
uint64_t ca_peers_local_time (const ca_peer_t *peer, uint64_t stamp_us);

/* True if the peer is live and in this entry's zone. */
bool ca_peers_in_same_zone (const ca_gateway_t *gateway, const ca_peer_t *peer);

/* Updates the estimated clock offset of a peer from its stamp in a message that
 * has just arrived. */
void ca_peers_update_clock_offset (const ca_gateway_t *gateway, ca_peer_t *peer,
                                   uint64_t stamp_us);

/* True if the peer is live and of the group for which one entry reads the
 * store: this entry's zone, or all small zones together if it is one of them
 * (as of the latest ca_peers_count_reading_group). */
bool ca_peers_in_reading_group (const ca_gateway_t *gateway,
                                const ca_peer_t *peer);

/* Counts the live entries of this entry's group that read the store, this one
 * included, and those of them that are senior to this one.  A zone with fewer
 * than `min_entries` is small. */
void ca_peers_count_reading_group (ca_gateway_t *gateway, uint32_t min_entries,
                                   uint32_t *count, uint32_t *senior);

/* Returns the k-th live entry that reads the store, in order of their numbers.
 * NULL if that is this entry, with `is_self` set, or if there are fewer. */
const ca_peer_t *ca_peers_validator (const ca_gateway_t *gateway, uint32_t k,
                                     bool *is_self);

/* Number of live entries, this one included. */
uint32_t ca_peers_live_count (const ca_gateway_t *gateway);

/* Number of entries that may be running, this one included: all that the store
 * has listed or that have sent a message within the retention time. */
uint32_t ca_peers_known_count (const ca_gateway_t *gateway);

/* Tells all live peers of the window that the leader is about to report. */
void ca_peers_announce_report (ca_gateway_t *gateway, uint64_t window);

/* True if a live peer reports that it holds the leader's lease. */
bool ca_peers_have_leader (const ca_gateway_t *gateway);

/* True if this entry and all live peers started after this wall clock time. */
bool ca_peers_all_started_after (const ca_gateway_t *gateway, uint64_t wall_us);

/* Number of live peers that read the store and started before this entry.  The
 * most senior entry acts first, since it has received most usage counts. */
uint32_t ca_peers_seniority (const ca_gateway_t *gateway);

/* Work that the callers of all entries cause for a service. */
typedef struct
{
  double busy; /* endpoints kept busy by prompts */
  double held_tokens;
  double requests_per_s;
} ca_service_work_t;

void ca_peers_service_work (ca_gateway_t *gateway, const char *service,
                            ca_service_work_t *work);

/* peer_loads.c */

/* Fills in this entry's load at an endpoint. */
void ca_peer_loads_fill (const ca_gateway_endpoint_t *endpoint,
                         Camphor__SeatLoad *row);

/* Adds the load that a peer reports to the endpoints, or subtracts it again. */
void ca_peer_loads_count (ca_gateway_t *gateway, ca_peer_t *peer, bool add);

/* Sends the entries of this zone what has changed, and takes what one sends. */
void ca_peer_loads_tick (ca_gateway_t *gateway);
void ca_peer_loads_receive (ca_gateway_t *gateway,
                            const Camphor__Envelope *envelope);

/* True while entries of a zone send each other changes between heartbeats. */
bool ca_peer_loads_are_fresh (const ca_gateway_t *gateway);

/* Mean age of what entries of this zone have reported. */
uint64_t ca_peer_loads_near_age_us (const ca_gateway_t *gateway);

/* contact.c */

/* A peer that has sent no heartbeat for this long is not live, and the load
 * that it reported no longer counts.  Longer with many entries, whose
 * heartbeats are further apart. */
uint64_t ca_peers_contact_us (const ca_gateway_t *gateway);

/* Number of entries that are live or, as they have just been listed, may be. */
uint32_t ca_peers_possible_count (const ca_gateway_t *gateway);

/* True if the peer has just been listed and its first heartbeat may be on its
 * way. */
bool ca_peers_is_expected (const ca_gateway_t *gateway, const ca_peer_t *peer);

/* True if no listed peer is still expected to send its first heartbeat. */
bool ca_peers_all_heard (const ca_gateway_t *gateway);

/* True once this entry knows from the store how many others there are, or has
 * run for long enough to have heard from them. */
bool ca_peers_are_discovered (const ca_gateway_t *gateway);

/* True once this entry has run long enough to have heard from all peers that
 * it is in contact with. */
bool ca_peers_are_known (const ca_gateway_t *gateway);

/* The entry that coordinates the task `key` of a zone: the first one in contact
 * in a ranking that is the same at all entries.  Entries of other zones take
 * part only if none is known in this one.  NULL with `is_self` set if it is
 * this entry, NULL without if there is none.  `share` is the part of the known
 * entries that are in contact with this one, itself included. */
const ca_peer_t *ca_peers_coordinator (const ca_gateway_t *gateway,
                                       const char *zone, uint64_t key,
                                       bool *is_self, double *share);

/* The same for the slots of brittle engines: among the entries that grant
 * them. */
const ca_peer_t *ca_peers_slot_coordinator (const ca_gateway_t *gateway,
                                            const char *zone, uint64_t key,
                                            bool *is_self, double *share);

/* True if at most one or two heartbeats of the peer are missing. */
bool ca_peers_in_close_contact (const ca_gateway_t *gateway,
                                const ca_peer_t *peer);

/* Rank of an entry for a key, the same at all entries. */
uint64_t ca_peers_rank (uint64_t id, uint64_t key);

/* Peers that ca_peers_ranked fills in at most. */
#define CA_PEERS_RANKED_MAX 64

/* Fills in the first `max` peers in a ranking by `key` that is the same at all
 * entries: of those in close contact that are not stopping, or of all.  Returns
 * their number. */
size_t ca_peers_ranked (const ca_gateway_t *gateway, uint64_t key,
                        bool in_contact, const ca_peer_t **peers, size_t max);

/* config_transfer.c */

/* Requests a version from a peer, if this entry neither has nor requests it or
 * a newer one already.  True if it does so. */
bool ca_config_transfer_start (ca_gateway_t *gateway, const ca_peer_t *peer,
                               uint64_t version);

/* Notes that a new configuration has replaced `former`, whose text is taken. */
void ca_config_transfer_replaced (ca_gateway_t *gateway, ca_catalog_t *former);

/* Answers a peer's request, and takes the answer to one of this entry. */
void ca_config_transfer_answer (ca_gateway_t *gateway,
                                const Camphor__Envelope *envelope);
void ca_config_transfer_receive (ca_gateway_t *gateway,
                                 const Camphor__Envelope *envelope);

void ca_config_transfer_tick (ca_gateway_t *gateway);
void ca_config_transfer_finish (ca_gateway_t *gateway);

/* relay.c */

/* Applies a table update from a peer. */
void ca_relay_receive (ca_gateway_t *gateway,
                       const Camphor__Envelope *envelope);

#endif
