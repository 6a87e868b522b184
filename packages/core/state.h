/* State of one core instance.  Internal to the core package; the types are
 * complete only so that callers can allocate the memory. */
#ifndef CA_CORE_STATE_H
#define CA_CORE_STATE_H

#include "base/clock.h"
#include "core/config.h"
#include "core/prefix.h"
#include "ports/ports.h"

#include <sys/queue.h>
#include <uthash.h>

/* --- Members ------------------------------------------------------------ */

/* In order of precedence: of two updates for the same incarnation the higher
 * state wins. */
typedef enum
{
  CA_MEMBER_ALIVE,
  CA_MEMBER_SUSPECT,
  CA_MEMBER_LEAVING,
  CA_MEMBER_DEAD
} ca_member_state_t;

/* A row of the membership table. */
typedef struct
{
  uint64_t id;
  ca_address_t address; /* of its peer port */
  uint16_t caller_port;
  char zone[CA_NAME_BYTES];
  char name[CA_NAME_BYTES];
  ca_member_state_t state;
  uint64_t incarnation;
  uint64_t config_revision;
  uint64_t since_us;    /* start of `state` */
  uint64_t received_us; /* last message from it */
  uint32_t sends_left;  /* messages that still carry its update */
  UT_hash_handle hh;
} ca_member_t;

/* A probe of a member and whether its acknowledgement is pending. */
typedef struct
{
  bool waiting;
  bool indirect; /* relays have been asked */
  uint64_t target;
  uint64_t seq;
  uint64_t sent_us;
} ca_probe_t;

/* A ping sent on behalf of another member. */
typedef struct ca_relay
{
  uint64_t seq; /* of this entry's ping */
  uint64_t requester;
  uint64_t requester_seq;
  uint64_t sent_us;
  TAILQ_ENTRY (ca_relay) entries;
} ca_relay_t;

/* --- Endpoints ---------------------------------------------------------- */

typedef enum
{
  CA_ENDPOINT_UP,
  CA_ENDPOINT_LEAVING,
  CA_ENDPOINT_GONE
} ca_endpoint_state_t;

typedef struct
{
  uint64_t id;
  ca_address_t address;
  char zone[CA_NAME_BYTES];
  char pool[CA_NAME_BYTES];
  bool service;
  bool reclaimable;
  ca_endpoint_state_t state;
  uint64_t boot;          /* boot number of the VM at `address` */
  uint64_t leaving_at_us; /* time of the reclaim or stop; 0 if unknown */
  uint64_t listed_us;     /* last seen in the VM list */
  uint64_t state_since_us;
  /* Health as observed by this entry. */
  bool probing;
  bool healthy;
  uint32_t failures;
  uint64_t next_probe_us; /* earliest time of the next probe */
  uint64_t next_rank_us;  /* when `probe_rank` is computed again */
  uint32_t probe_rank;    /* 0 primary prober, 1 standby, 2 does not probe */
  uint32_t hash_rank;     /* `probe_rank` by rendezvous hash only */
  uint64_t rank_epoch;    /* ca_core_t.epoch at which it was computed */
  uint64_t ejected_until_us;
  uint64_t eject_backoff_us;
  uint32_t max_batch;
  uint64_t cache_seq;
  /* Scheduling, used while this entry owns the endpoint's shard. */
  double limit; /* of concurrent requests */
  uint32_t in_flight;
  uint64_t exclusive_request; /* request it is reserved for, or 0 */
  uint64_t limit_changed_us;
  ca_prefix_index_t prefixes;
  uint32_t sends_left;
  bool retired; /* by this entry, which has not ordered its stop yet */
  UT_hash_handle hh;
} ca_endpoint_t;

/* --- Shard owner: slot requests and grants ------------------------------ */

/* A slot request queued at a shard owner; an Ask message on the wire. */
typedef struct ca_slot_request
{
  uint64_t request;
  uint64_t coordinator;
  struct ca_flow *flow;
  uint64_t prompt_tokens;
  uint64_t max_tokens;
  uint64_t requested_us;
  uint64_t received_us;
  bool resumed;
  uint64_t wait_limit_us;
  uint64_t cost;
  uint64_t preferred; /* endpoint its first block hashes to, or 0 */
  bool exclusive;     /* needs an endpoint to itself */
  uint32_t prefix_count;
  uint64_t prefix[CA_PREFIX_MAX_BLOCKS];
  uint32_t excluded_count;
  uint64_t excluded[CA_MAX_EXCLUDED];
  TAILQ_ENTRY (ca_slot_request) entries;
  UT_hash_handle hh; /* ca_shard_t.slot_requests, by request id */
} ca_slot_request_t;

TAILQ_HEAD (ca_slot_request_list, ca_slot_request);

/* Queued slot requests of one workspace within one class. */
typedef struct ca_flow
{
  char workspace[CA_NAME_BYTES];
  uint32_t share;
  double tag; /* virtual time at which it is served next */
  struct ca_class_queue *queue;
  uint32_t length;
  struct ca_slot_request_list slot_requests;
  TAILQ_ENTRY (ca_flow) entries;
} ca_flow_t;

/* Flows of one request class, weighted against other classes by priority. */
typedef struct ca_class_queue
{
  char class_name[CA_NAME_BYTES];
  uint32_t priority;
  double tag;
  double flow_virtual_time; /* shared by its flows */
  uint32_t length;
  TAILQ_HEAD (, ca_flow) flows;
  TAILQ_ENTRY (ca_class_queue) entries;
} ca_class_queue_t;

/* A slot granted to a request; soft state that its coordinator renews. */
typedef struct ca_grant
{
  uint64_t request;
  uint64_t coordinator;
  uint64_t endpoint;
  uint64_t granted_us;
  uint64_t renewed_us; /* last renewal by its coordinator */
  uint64_t cost;
  char workspace[CA_NAME_BYTES];
  char class_name[CA_NAME_BYTES];
  UT_hash_handle hh;
} ca_grant_t;

/* Queue and grants of one shard of a pool, at its owner. */
typedef struct ca_shard
{
  char pool[CA_NAME_BYTES];
  uint32_t number;
  double class_virtual_time; /* shared by its class queues */
  double service_time_us;    /* smoothed time from grant to release */
  uint32_t service_samples;  /* releases counted in service_time_us */
  uint32_t queued;
  ca_slot_request_t *slot_requests; /* all queued ones, by request id */
  TAILQ_HEAD (, ca_class_queue) queues;
  ca_grant_t *grants;
  TAILQ_ENTRY (ca_shard) entries;
} ca_shard_t;

/* --- Requests at their coordinator -------------------------------------- */

typedef enum
{
  CA_PHASE_CLAIMING, /* waits for its claim row to be written */
  CA_PHASE_QUEUED,   /* waits for a grant */
  CA_PHASE_RUNNING,  /* an attempt is open */
  CA_PHASE_STOPPING, /* waits for confirmation that its run stopped */
  CA_PHASE_STORING,  /* waits for its answer to be stored */
  CA_PHASE_ENDED     /* answered or refused */
} ca_phase_t;

/* A request that this entry coordinates. */
typedef struct ca_request
{
  uint64_t id;
  char workspace[CA_NAME_BYTES];
  char class_name[CA_NAME_BYTES];
  char pool[CA_NAME_BYTES];
  char version[CA_VERSION_BYTES];
  char *key; /* NULL if none was sent */
  char *path;
  char *body;
  size_t body_bytes;
  uint64_t fingerprint;
  uint32_t max_tokens;
  uint32_t priority;
  bool service;
  bool idempotent;
  bool stream;
  ca_phase_t phase;
  uint64_t accepted_us;
  uint64_t deadline_us;
  uint64_t first_token_us; /* latency target, from accepted_us */
  uint64_t phase_since_us;
  uint64_t ended_us;
  /* Caller. */
  bool attached;
  uint32_t delivered; /* tokens sent to the caller */
  uint64_t detached_us;
  /* Slot request. */
  uint32_t zones_tried;
  char zone[CA_NAME_BYTES]; /* of the shard owner below */
  uint64_t owner;           /* member that has the slot request or the grant */
  uint32_t owner_rank;
  uint64_t requested_us;
  uint64_t acked_us;
  uint64_t slot_not_before_us; /* earliest time of the next slot request */
  uint64_t retry_after_us;     /* longest that a shard owner returned */
  ca_error_kind_t reject_kind;
  uint32_t excluded_count;
  uint64_t excluded[CA_MAX_EXCLUDED];
  bool exclusive; /* needs an endpoint to itself */
  /* Running. */
  ca_run_attempt_t attempt;
  uint64_t boot; /* of the endpoint */
  uint64_t granted_us;
  uint64_t progress_us; /* last sign of progress */
  uint64_t run_started_us;
  uint64_t run_first_token_us; /* time of the run's first token */
  uint32_t run_first_token;    /* its index */
  uint32_t starts;             /* runs that may have started */
  uint32_t open_runs;          /* of these, not confirmed to have stopped */
  uint32_t reattaches;         /* new connections to this run */
  uint32_t retries;            /* runs started after a failure */
  bool reattaching;            /* the open attempt joins an existing run */
  bool migrating;              /* it is stopped because the endpoint leaves */
  uint64_t stop_sent_us;
  uint32_t stop_tries;
  ca_tokens_t tokens;
  ca_kv_t kv;
  /* Claim of a non-idempotent request. */
  char nonce[32];
  uint64_t claim_version;
  bool claimed;
  bool claim_shared; /* another entry may use the same claim */
  uint32_t claim_tries;
  uint64_t claim_retry_us;
  uint64_t store_started_us;
  bool replayed; /* the answer comes from the claim row */
  /* Refusal, handover. */
  bool refused;
  ca_error_kind_t refusal_kind;
  ca_outcome_t refusal_outcome;
  uint64_t refusal_retry_us;
  uint64_t handover_to; /* member it was sent to, or 0 */
  uint64_t handover_sent_us;
  uint32_t handover_tries;
  UT_hash_handle hh;
} ca_request_t;

/* A caller here waits for a request that another entry may have. */
typedef struct ca_lookup
{
  uint64_t request;
  uint32_t from; /* index of the first token it needs */
  bool stream;
  uint64_t since_us;
  UT_hash_handle hh;
} ca_lookup_t;

/* --- Store calls --------------------------------------------------------- */

struct ca_core;

typedef void (*ca_store_callback_t) (struct ca_core *core, uint64_t subject,
                                     const ca_table_result_t *result);

typedef struct
{
  uint64_t call;
  uint64_t subject; /* id of what it is made for, e.g. a request */
  uint64_t since_us;
  bool write;
  ca_store_callback_t done;
  UT_hash_handle hh;
} ca_store_call_t;

typedef struct
{
  uint64_t next_call;
  bool down;
  uint32_t failures;
  uint64_t retry_us; /* while down: earliest time of the next call */
  double write_tokens;
  uint64_t refill_us;
  ca_store_call_t *calls;
} ca_store_t;

/* A final state of a claim row that is still to be written. */
typedef struct ca_pending_write
{
  uint64_t id;
  char *key;
  char *value; /* the encoded row */
  char nonce[32];
  uint64_t version; /* CA_ROW_ABSENT if unknown */
  uint64_t next_us;
  bool busy;
  TAILQ_ENTRY (ca_pending_write) entries;
} ca_pending_write_t;

/* --- Suspects ------------------------------------------------------------ */

/* Fingerprint of a request that may crash endpoints. */
typedef struct
{
  uint64_t fingerprint;
  uint32_t level; /* 1 suspect, CA_QUARANTINED quarantined */
  uint64_t since_us;
  uint32_t sends_left;
  UT_hash_handle hh;
} ca_suspect_t;

#define CA_QUARANTINED 2

/* A failed run whose cause is not yet classified. */
typedef struct ca_crash
{
  uint64_t fingerprint;
  uint64_t endpoint;
  uint64_t boot;
  uint64_t at_us;
  bool exclusive; /* it had the endpoint to itself */
  TAILQ_ENTRY (ca_crash) entries;
} ca_crash_t;

/* --- Operators ------------------------------------------------------------ */

/* An operator's plan or confirm call in progress. */
typedef struct ca_operation
{
  uint64_t call;
  bool confirm;
  char plan_id[32];
  char *intent;
  char team[CA_NAME_BYTES];
  char *effects;
  uint64_t plan_version;
  uint64_t new_revision;
  uint32_t tries;
  uint64_t since_us;
  UT_hash_handle hh;
} ca_operation_t;

/* --- Fleet ------------------------------------------------------------ */

/* Prices of a zone, and the backoff of starts after a refusal; array index 0 is
 * on demand, 1 reclaimable. */
typedef struct
{
  char zone[CA_NAME_BYTES];
  double reclaimable;
  double on_demand;
  uint64_t blocked_until_us[2];
  uint64_t backoff_us[2];
} ca_price_t;

/* A start that was ordered and does not yet appear in the VM list. */
typedef struct ca_order
{
  uint64_t number;
  uint64_t sent_us;
  bool reclaimable;
  char zone[CA_NAME_BYTES];
  char pool[CA_NAME_BYTES];
  TAILQ_ENTRY (ca_order) entries;
} ca_order_t;

/* The fleet controller's state of one pool between rounds.  A round that
 * retires a surplus VM or rebalances also sets the matching time. */
typedef struct ca_fleet_pool
{
  char name[CA_NAME_BYTES];
  uint64_t last_no_surplus_us; /* last round without surplus VMs */
  uint64_t last_balanced_us;   /* last round with no need to rebalance */
  UT_hash_handle hh;
} ca_fleet_pool_t;

typedef struct
{
  bool lease_held;
  bool lease_pending; /* a store call for the lease is pending */
  uint64_t version;
  uint64_t fence;
  uint64_t lease_written_us; /* when the pending write was sent */
  uint64_t lease_until_us;
  uint64_t next_lease_us; /* when the lease is read or renewed next */
  uint64_t lease_seen_version;
  uint64_t lease_seen_us;
  uint64_t next_plan_us;
  struct ca_fleet_pool *pools;
  ca_price_t prices[CA_POOL_ZONES];
  size_t price_count;
  TAILQ_HEAD (, ca_order) orders;
} ca_fleet_t;

/* --- Core instance ------------------------------------------------------ */

/* A message from this entry to itself, handled after the current event. */
typedef struct ca_local_message
{
  Camphor__Envelope *envelope;
  TAILQ_ENTRY (ca_local_message) entries;
} ca_local_message_t;

/* Scores an endpoint for a prompt; the endpoint with the lowest score is
 * chosen. */
typedef double (*ca_score_t) (void *context, uint64_t endpoint,
                              double load_share, uint64_t missing_tokens);

typedef struct
{
  char name[CA_NAME_BYTES];
  char zone[CA_NAME_BYTES];
  ca_address_t peers;
  ca_score_t score; /* NULL for the built-in score */
  void *score_context;
  uint16_t caller_port;
  uint64_t incarnation; /* higher than any earlier one at this address */
  uint32_t seed;
  uint32_t max_requests;
  uint32_t store_writes_per_s;
  uint64_t lame_duck_us;
  uint64_t drain_limit_us;
} ca_core_options_t;

typedef struct ca_core
{
  ca_core_options_t options;
  ca_ports_t ports;
  ca_counters_t counters;
  ca_config_t config;
  ca_hlc_t hlc;
  uint64_t id;
  uint64_t now_us;
  uint64_t wall_offset_us;
  unsigned short rng[3];
  uint64_t next_id;
  TAILQ_HEAD (, ca_local_message) local_messages;
  bool dispatching_local;
  /* Membership. */
  ca_member_t *members; /* includes this entry */
  uint64_t epoch; /* incremented by membership and configuration changes */
  uint64_t incarnation;
  bool leaving;
  uint64_t next_probe_us;
  uint64_t probe_seq;
  ca_probe_t probes[2];
  TAILQ_HEAD (, ca_relay) relays;
  ca_address_t seeds[16];
  size_t seed_count;
  uint64_t next_join_us;
  /* Endpoints, shards. */
  ca_endpoint_t *endpoints;
  uint64_t primary_endpoints; /* probed as primary at the last tick */
  TAILQ_HEAD (, ca_shard) shards;
  uint64_t holds_sent_us; /* last renewal of this entry's grants */
  uint64_t holds_epoch;   /* `epoch` of that renewal */
  /* Requests. */
  ca_request_t *requests;
  uint32_t active;
  ca_lookup_t *lookups;
  double retry_tokens; /* retry budget */
  /* Store. */
  ca_store_t store;
  TAILQ_HEAD (, ca_pending_write) pending_writes;
  uint64_t next_head_read_us;
  bool head_read_pending;
  uint64_t next_intents_us; /* earliest next request for a configuration */
  uint64_t scan_head_revision;
  /* Suspects. */
  ca_suspect_t *suspects;
  TAILQ_HEAD (, ca_crash) crashes;
  ca_fleet_t fleet;
  /* Operators. */
  ca_operation_t *operations;
  /* Planned stop. */
  bool stopping;
  uint64_t stop_us;
  uint64_t last_request_us;
  uint64_t handover_at_us; /* while stopping: start of the handover */
} ca_core_t;

#endif
