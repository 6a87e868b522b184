/* State of one core instance.  Internal to the core package, and complete
 * here only so that a caller can own the memory. */
#ifndef CA_CORE_STATE_H
#define CA_CORE_STATE_H

#include "base/clock.h"
#include "core/config.h"
#include "core/prefix.h"
#include "ports/ports.h"

#include <sys/queue.h>
#include <uthash.h>

/* --- Members ------------------------------------------------------------ */

/* In rising order of precedence at one incarnation. */
typedef enum
{
  CA_MEMBER_ALIVE,
  CA_MEMBER_SUSPECT,
  CA_MEMBER_LEAVING,
  CA_MEMBER_DEAD
} ca_member_state_t;

typedef struct
{
  uint64_t id;
  ca_address_t address; /* for peers */
  uint16_t caller_port;
  char zone[CA_NAME_BYTES];
  char name[CA_NAME_BYTES];
  ca_member_state_t state;
  uint64_t incarnation;
  uint64_t config_revision;
  uint64_t since_us;    /* of the state */
  uint64_t received_us; /* last message from it */
  uint32_t sends_left;  /* times its update is still gossiped */
  UT_hash_handle hh;
} ca_member_t;

/* One probe that waits for its acknowledgement. */
typedef struct
{
  bool waiting;
  bool indirect;
  uint64_t target;
  uint64_t seq;
  uint64_t sent_us;
} ca_probe_t;

/* A ping made on behalf of another member. */
typedef struct ca_relay
{
  uint64_t seq; /* of our own ping */
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
  uint64_t boot;          /* number of this life at the address */
  uint64_t leaving_at_us; /* when it is taken away; 0 if unknown */
  uint64_t listed_us;     /* last time in the VM list */
  uint64_t state_since_us;
  /* Health, as this instance sees it. */
  bool probing;
  bool healthy;
  uint32_t failures;
  uint64_t next_probe_us; /* next probe not before this */
  uint64_t next_rank_us;  /* when `rank` is to be worked out again */
  uint32_t probe_rank;    /* of this instance as prober; 2: none */
  uint32_t hash_rank;     /* the same by the hash alone */
  uint64_t rank_epoch;    /* of the group when that was worked out */
  uint64_t ejected_until_us;
  uint64_t eject_backoff_us;
  uint32_t max_batch;
  uint64_t cache_seq;
  /* Scheduling, used while this instance owns the endpoint's shard. */
  double limit;
  uint32_t in_flight;
  uint64_t exclusive; /* request that has it to itself, or 0 */
  uint64_t limit_changed_us;
  ca_prefix_index_t prefixes;
  uint32_t sends_left;
  bool retired; /* let go by this entry as controller of the fleet */
  UT_hash_handle hh;
} ca_endpoint_t;

/* --- Shard owner: queue and grants -------------------------------------- */

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
  uint64_t preferred; /* endpoint preferred for the prompt's head, or 0 */
  bool exclusive;
  uint32_t prefix_count;
  uint64_t prefix[CA_PREFIX_MAX_BLOCKS];
  uint32_t excluded_count;
  uint64_t excluded[CA_MAX_EXCLUDED];
  TAILQ_ENTRY (ca_slot_request) entries;
  UT_hash_handle hh; /* in the shard, by request */
} ca_slot_request_t;

TAILQ_HEAD (ca_slot_request_list, ca_slot_request);

/* Asks of one workspace within one class. */
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

typedef struct ca_class_queue
{
  char class_name[CA_NAME_BYTES];
  uint32_t priority;
  double tag;
  double flow_virtual_time; /* virtual time among its flows */
  uint32_t length;
  TAILQ_HEAD (, ca_flow) flows;
  TAILQ_ENTRY (ca_class_queue) entries;
} ca_class_queue_t;

typedef struct ca_grant
{
  uint64_t request;
  uint64_t coordinator;
  uint64_t endpoint;
  uint64_t granted_us;
  uint64_t renewed_us; /* when its front last named it */
  uint64_t cost;
  char workspace[CA_NAME_BYTES];
  char class_name[CA_NAME_BYTES];
  UT_hash_handle hh;
} ca_grant_t;

typedef struct ca_shard
{
  char pool[CA_NAME_BYTES];
  uint32_t number;
  double class_virtual_time; /* virtual time among class queues */
  double service_time_us;    /* smoothed time from grant to release */
  uint32_t service_samples;  /* releases that the smoothed time is made of */
  uint32_t queued;
  ca_slot_request_t *slot_requests; /* all that are queued */
  TAILQ_HEAD (, ca_class_queue) queues;
  ca_grant_t *grants;
  TAILQ_ENTRY (ca_shard) entries;
} ca_shard_t;

/* --- Requests at their front -------------------------------------------- */

typedef enum
{
  CA_PHASE_CLAIMING, /* waits for the claim row */
  CA_PHASE_QUEUED,   /* waits for a grant */
  CA_PHASE_RUNNING,  /* a leg is open */
  CA_PHASE_STOPPING, /* waits for proof that its run stopped */
  CA_PHASE_STORING,  /* waits for the answer's row */
  CA_PHASE_ENDED     /* the answer or the refusal is final */
} ca_phase_t;

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
  uint64_t first_token_us; /* target for the first token, from acceptance */
  uint64_t phase_since_us;
  uint64_t ended_us;
  /* Caller. */
  bool attached;
  uint32_t delivered; /* tokens given to the caller */
  uint64_t detached_us;
  /* Asking. */
  uint32_t zones_tried;
  char zone[CA_NAME_BYTES]; /* being asked, or of the grant */
  uint64_t owner;           /* member asked, or that granted */
  uint32_t owner_rank;
  uint64_t requested_us;
  uint64_t acked_us;
  uint64_t slot_not_before_us; /* not asked again before this */
  uint64_t retry_after_us;     /* longest told by any owner */
  ca_error_kind_t reject_kind;
  uint32_t excluded_count;
  uint64_t excluded[CA_MAX_EXCLUDED];
  bool exclusive;
  /* Running. */
  ca_run_attempt_t attempt;
  uint64_t boot;
  uint64_t granted_us;
  uint64_t progress_us;
  uint64_t run_started_us;
  uint64_t run_first_token_us; /* first token of this run */
  uint32_t run_first_token;    /* index of that token */
  uint32_t starts;             /* runs that may have begun */
  uint32_t open_runs;          /* of these, not proved to have stopped */
  uint32_t reattaches;         /* of this run */
  uint32_t retries;            /* runs begun after a failure */
  bool reattaching; /* the open leg joins a run begun by an earlier one */
  bool migrating;   /* the stop was asked because the endpoint leaves */
  uint64_t stop_sent_us;
  uint32_t stop_tries;
  ca_tokens_t tokens;
  ca_kv_t kv;
  /* Claim of a non-idempotent request. */
  char nonce[32];
  uint64_t claim_version;
  bool claimed;
  bool claim_shared; /* another entry may act on the same claim */
  uint32_t claim_tries;
  uint64_t claim_retry_us;
  uint64_t store_started_us;
  bool replayed;
  /* Final word. */
  bool refused;
  ca_error_kind_t refusal_kind;
  ca_outcome_t refusal_outcome;
  uint64_t refusal_retry_us;
  uint64_t handover_to;
  uint64_t handover_sent_us;
  uint32_t handover_tries;
  UT_hash_handle hh;
} ca_request_t;

/* Someone waits here for a request that another entry may hold. */
typedef struct ca_lookup
{
  uint64_t request;
  uint32_t from;
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
  uint64_t subject; /* request or operator call it is for */
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
  uint64_t retry_us; /* while down: when the next trial call may go */
  double write_tokens;
  uint64_t refill_us;
  ca_store_call_t *calls;
} ca_store_t;

/* A claim row that must still be marked released or done. */
typedef struct ca_pending_write
{
  uint64_t id;
  char *key;
  char *value; /* final row */
  char nonce[32];
  uint64_t version; /* 0 if not known */
  uint64_t next_us;
  bool busy;
  TAILQ_ENTRY (ca_pending_write) entries;
} ca_pending_write_t;

/* --- Suspects ------------------------------------------------------------ */

typedef struct
{
  uint64_t fingerprint;
  uint32_t level; /* 1 suspect, CA_QUARANTINED final */
  uint64_t since_us;
  uint32_t sends_left;
  UT_hash_handle hh;
} ca_suspect_t;

#define CA_QUARANTINED 2

/* A cut run whose cause is not yet known. */
typedef struct ca_crash
{
  uint64_t fingerprint;
  uint64_t endpoint;
  uint64_t boot;
  uint64_t at_us;
  bool exclusive;
  TAILQ_ENTRY (ca_crash) entries;
} ca_crash_t;

/* --- Operators ------------------------------------------------------------ */

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

/* Prices of a zone; index 0 of the arrays is on demand, 1 reclaimable. */
typedef struct
{
  char zone[CA_NAME_BYTES];
  double reclaimable;
  double on_demand;
  uint64_t blocked_until_us[2];
  uint64_t backoff_us[2];
} ca_price_t;

/* A start that was ordered and is not yet seen in the VM list. */
typedef struct ca_order
{
  uint64_t number;
  uint64_t sent_us;
  bool reclaimable;
  char zone[CA_NAME_BYTES];
  char pool[CA_NAME_BYTES];
  TAILQ_ENTRY (ca_order) entries;
} ca_order_t;

/* What the controller remembers of a pool from round to round. */
typedef struct ca_fleet_pool
{
  char name[CA_NAME_BYTES];
  uint64_t no_surplus_since_us; /* since when there is no surplus */
  uint64_t balanced_since_us;   /* since when the mix is as wanted */
  UT_hash_handle hh;
} ca_fleet_pool_t;

typedef struct
{
  bool lease_held;
  bool lease_pending; /* a call about the lease is out */
  uint64_t version;
  uint64_t fence;
  uint64_t lease_written_us; /* when the write that is out was sent */
  uint64_t lease_until_us;
  uint64_t next_lease_us; /* next look at the lease */
  uint64_t lease_seen_version;
  uint64_t lease_seen_us;
  uint64_t next_plan_us;
  struct ca_fleet_pool *pools;
  ca_price_t prices[CA_POOL_ZONES];
  size_t price_count;
  TAILQ_HEAD (, ca_order) orders;
} ca_fleet_t;

/* --- The instance ----------------------------------------------------------
 */

/* A message from this entry to itself, handled after the current event. */
typedef struct ca_local_message
{
  Camphor__Envelope *envelope;
  TAILQ_ENTRY (ca_local_message) entries;
} ca_local_message_t;

/* Score of an endpoint for a prompt; the lowest is chosen. */
typedef double (*ca_score_t) (void *context, uint64_t endpoint,
                              double load_share, uint64_t missing_tokens);

typedef struct
{
  char name[CA_NAME_BYTES];
  char zone[CA_NAME_BYTES];
  ca_address_t peers;
  ca_score_t score; /* NULL: the core's own */
  void *score_context;
  uint16_t caller_port;
  uint64_t incarnation; /* above that of any earlier life at this address */
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
  ca_member_t *members; /* this entry's own row among them */
  uint64_t epoch; /* rises with each change of the group or configuration */
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
  uint64_t
      owned_endpoints; /* endpoints that this instance owned at the last tick */
  TAILQ_HEAD (, ca_shard) shards;
  uint64_t holds_us;    /* when the grants held were named last */
  uint64_t holds_epoch; /* of the group when they were named last */
  /* Requests. */
  ca_request_t *requests;
  uint32_t active;
  ca_lookup_t *lookups;
  double retry_tokens;
  /* Store. */
  ca_store_t store;
  TAILQ_HEAD (, ca_pending_write) pending_writes;
  uint64_t next_head_read_us;
  bool head_read_pending;
  uint64_t next_want_us; /* when a peer may next be asked for what is new */
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
  uint64_t handover_at_us; /* when running requests are handed over; 0 never */
} ca_core_t;

#endif
