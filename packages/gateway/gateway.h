/* Decisions of one entry about opaque requests: admission, endpoint
 * selection, retries, and the state shared with other entries.
 *
 * An instance does no I/O, reads no clock and has no globals.  `now_us` is a
 * monotonic clock that also advances while the machine is suspended.
 * Functions may call ports; a port must not call back. */
#ifndef CA_GATEWAY_GATEWAY_H
#define CA_GATEWAY_GATEWAY_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/events.h"
#include "gateway/affinity.h"
#include "gateway/bucket.h"
#include "gateway/catalog.h"
#include "gateway/config_transfer.h"
#include "gateway/freshness.h"
#include "gateway/registry.h"
#include "gateway/stream_store.h"
#include "gateway/stream_versions.h"
#include "gateway/version_history.h"
#include "gateway/window.h"
#include "wire/peer.pb-c.h"

/* How long before it would be killed a stopping entry ends the requests that it
 * has accepted, at the latest, answers those that are still open all the same,
 * and exits. */
#define CA_GRACE_MARGIN_US (300 * CA_US_PER_MS)
#define CA_GRACE_ANSWER_US (150 * CA_US_PER_MS)
#define CA_GRACE_EXIT_US (50 * CA_US_PER_MS)

/* Period of ca_gateway_tick. */
#define CA_GATEWAY_TICK_US (25 * CA_US_PER_MS)

/* Limits that the platform sets for all entries together. */
typedef struct
{
  uint32_t propagation_ms; /* until a new configuration is in force */
  uint32_t drain_ms; /* until an endpoint that leaves gets no requests; 0: as
                        propagation_ms */
  bool strict_revocation; /* a revoked key must not be used */
  uint32_t revocation_ms; /* at the latest after this, even without the store */
  double retry_ratio;     /* retries per request of a service */
  double retry_allowance; /* additional retries in one window */
  uint32_t retry_window_ms;
  double quota_overrun;   /* fraction of a quota that may be exceeded */
  double quota_allowance; /* additional amount in one window */
  uint32_t quota_window_ms;
  uint32_t usage_window_s;
  uint32_t usage_delay_s;
  uint32_t lease_ms;
  uint32_t grace_ms; /* from SIGTERM to SIGKILL */
  /* Of a rollout to a bad version; defaults apply where 0. */
  double exposure_share;       /* of the requests may reach it, */
  uint32_t exposure_allowance; /* plus this number */
  uint32_t rollback_ms;        /* after its 50th bad answer, none may */
} ca_bounds_t;

typedef struct
{
  char name[64];
  char zone[64];
  ca_address_t peers;
  uint16_t delegate_port; /* where peers delegate requests to; 0: nowhere */
  ca_bounds_t bounds;
  uint32_t seed;
} ca_gateway_options_t;

/* Properties of a response, from its head. */
typedef struct
{
  uint32_t status;
  uint64_t connected_us; /* its connection was established; 0: unknown */
  bool names_request;    /* it names the request that it answers */
  bool is_signed;        /* has the endpoint's signature */
  bool not_run;          /* the endpoint reports that it did not run it */
  bool wrong_endpoint;   /* the address belongs to another endpoint */
  bool encoded;          /* altered by a content encoding */
  bool is_stream;
  bool has_limit;        /* limits the endpoint's requests to `limit_per_s` */
  double limit_per_s;    /* of all entries together */
  const char *bad_limit; /* text of a limit that is not a number; else NULL */
  bool leaving;          /* the endpoint leaves */
  bool elsewhere;        /* refused by the delegate, another may serve it */
  uint32_t version;      /* that the delegate names; 0 if none */
  bool is_brittle;       /* it falls over if it must reject more requests */
  double brittle_limit;  /* than this in a second */
  uint64_t pause_us;     /* turned away: it wants nothing from this entry for so
                            long; 0 if it does not say so */
} ca_answer_facts_t;

typedef enum
{
  CA_END_COMPLETE,    /* complete response */
  CA_END_UNREACHABLE, /* no byte was sent */
  CA_END_INTERRUPTED, /* sent, but the response is missing or incomplete */
  CA_END_MALFORMED,   /* sent, but the response is invalid */
  CA_END_EMBEDDED     /* sent, but another response begins within this one */
} ca_attempt_end_t;

typedef enum
{
  CA_EXCHANGE_WAITING,   /* for an endpoint */
  CA_EXCHANGE_SENT,      /* to an endpoint */
  CA_EXCHANGE_STREAMING, /* events arrive */
  CA_EXCHANGE_ENDED
} ca_exchange_phase_t;

/* Recently failed endpoints that an exchange avoids. */
#define CA_EXCHANGE_AVOIDED_MAX 4

/* Peers to which a request is delegated, one after the other. */
#define CA_DELEGATION_TRIES_MAX 3

/* A request from its arrival to its final response. */
typedef struct ca_exchange
{
  char id[64];           /* chosen by the caller */
  char resumes[64];      /* request that began the stream; "" if this one */
  uint32_t version;      /* that began the stream; 0 until it is known */
  uint64_t lookup_us;    /* peers were asked for it; 0: not yet */
  uint32_t lookups;      /* answers of peers that are awaited */
  uint32_t asked;        /* peers */
  bool asked_widely;     /* not only the first peers in rank */
  uint64_t fingerprint;  /* of the content and the workspace */
  ca_catalog_t *catalog; /* that admitted it; holds a reference */
  const ca_route_t *route;
  const ca_service_t *service;
  const ca_catalog_workspace_t *workspace; /* NULL if the route needs no key */
  ca_prompt_t prompt;
  uint32_t cost;     /* charged to the quota */
  bool awaits_quota; /* the cost is still to be taken from it */
  ca_exchange_phase_t phase;
  uint64_t accepted_us;
  uint64_t deadline_us;
  uint64_t phase_us;
  ca_gateway_endpoint_t *endpoint; /* in use; NULL if none */
  uint32_t sends;                  /* attempts of which a byte was sent */
  uint32_t runs;                   /* attempts that may have run */
  bool delegated;                  /* by a peer, which holds the caller */
  uint32_t prior_runs;             /* attempts that may have run at that peer */
  uint64_t delegate; /* peer that it is delegated to now; 0: none */
  uint64_t delegates[CA_DELEGATION_TRIES_MAX];
  uint32_t delegations;      /* peers in `delegates` */
  uint32_t connect_failures; /* failed connections */
  uint32_t rejections;       /* times that an endpoint reported no capacity */
  uint64_t slot_requested;   /* engine of the permit that is awaited; 0: none */
  uint64_t slot_requested_us;
  uint32_t slot_requests; /* permits requested */
  uint32_t unread_tokens; /* counted at the endpoint until the first event */
  uint32_t held_tokens;
  uint64_t avoided[CA_EXCHANGE_AVOIDED_MAX];
  uint32_t avoided_count;
  uint64_t sent_us;
  bool endpoint_idle;      /* no prompt was queued at the endpoint */
  uint64_t expected_us;    /* of the first event, without the fixed part, at an
                              endpoint of the service's speed */
  bool demand_counted;     /* included in the demand for the service */
  bool admission_counted;  /* decided by the service's admission control */
  uint32_t prefill_tokens; /* prompt tokens that the endpoint must prefill */
  uint32_t rollout_side;   /* ca_rollout_side_t, of the attempt */
  uint64_t rollout_order;  /* for which the attempt counts; 0: none */
  bool rollout_counted;    /* the attempt has an outcome already */
  uint64_t predicted_us;   /* of its first event, for that; 0: unknown */
  ca_answer_facts_t facts; /* without `bad_limit` */
  bool counts_as_stream;   /* at its endpoint */
  bool run_begun;          /* a run has begun and counts as usage */
  bool head_sent;          /* part of the response was sent to the caller */
  bool has_event;
  uint64_t last_event;
  void *adapter_data; /* owned by the adapter */
  TAILQ_ENTRY (ca_exchange) entries;
} ca_exchange_t;

/* What the adapter extracts from a request. */
typedef struct
{
  const char *id;
  const char *host;
  const char *path;
  const char *key;      /* NULL if none */
  const char *resumes;  /* id of the request whose response began the stream
                           that is to go on; NULL if none */
  uint64_t fingerprint; /* of the content, without the caller */
  uint32_t wait_ms;     /* longest wait of the caller; 0 if not given */
  bool has_cost;
  ca_prompt_t prompt;
  bool delegated; /* by a peer, which names the next two */
  uint32_t prior_runs;
  uint32_t version; /* that began the stream; 0 if unknown */
  void *adapter_data;
} ca_request_facts_t;

struct ca_peer;

typedef struct
{
  uint32_t remaining_ms; /* until the deadline */
  uint32_t priority;     /* 0 is the highest */
  bool resumes;          /* resume after `last_event` */
  uint64_t last_event;
  /* Endpoint to fetch cached prompt tokens from instead of computing them
   * again; NULL if there is none. */
  const ca_gateway_endpoint_t *source;
  const struct ca_peer *delegate; /* send it there, not to the endpoint */
  /* Use a kept connection that was established by then; 0: any, or a new one.
   */
  uint64_t connected_by_us;
} ca_attempt_t;

/* Reasons for a refusal.  The adapter's table maps them to HTTP statuses, and
 * exchange.c maps them to events. */
typedef enum
{
  CA_REFUSE_NO_CONFIGURATION,
  CA_REFUSE_STALE,    /* the configuration is too old to trust its keys */
  CA_REFUSE_STOPPING, /* another entry will accept it */
  CA_REFUSE_NO_ROUTE,
  CA_REFUSE_NO_KEY,
  CA_REFUSE_QUOTA,
  CA_REFUSE_QUARANTINED,
  CA_REFUSE_QUARANTINED_PART, /* for a part of its prompt */
  CA_REFUSE_NO_ENDPOINT,
  CA_REFUSE_OVERLOADED,
  CA_REFUSE_UNKNOWN_VERSION, /* which began the stream that is taken up */
  CA_REFUSE_LIMITED,  /* all endpoints are at the limits that they name */
  CA_REFUSE_SHED,     /* for more urgent ones, or for fair shares */
  CA_REFUSE_DELEGATE, /* by the entry that it was delegated to */
  CA_REFUSE_EXPIRED,  /* deadline passed before it ran */
  CA_REFUSE_LOST,     /* may have run and must not run again */
  CA_REFUSE_TIMEOUT,  /* deadline passed while it ran */
  CA_REFUSE_COUNT
} ca_gateway_refusal_t;

typedef struct
{
  ca_event_number_t event;
  const char *request; /* NULL if none */
  const char *subject; /* endpoint, workspace or peer; NULL if none */
  const char *detail;
} ca_log_event_t;

typedef struct
{
  void *context;
  /* Exchanges: calls that end an exchange are `deliver`, `finish`,
   * `abort_stream` and `refuse`. */
  void (*attempt) (void *context, ca_exchange_t *exchange,
                   const ca_attempt_t *attempt);
  void (*cancel) (void *context, ca_exchange_t *exchange);
  /* True while no byte of the attempt can have been sent, as its connection is
   * not established.  NULL if the adapter does not know. */
  bool (*is_connecting) (void *context, const ca_exchange_t *exchange);
  /* True if a kept connection to the endpoint, established by
   * `connected_by_us`, can carry the request.  NULL if the adapter does not
   * know. */
  bool (*has_connection) (void *context, const ca_exchange_t *exchange,
                          const ca_gateway_endpoint_t *endpoint,
                          uint64_t connected_by_us);
  /* Opens a connection to the endpoint and closes it again.  The adapter passes
   * the result to ca_gateway_endpoint_checked. */
  void (*check_endpoint) (void *context, const ca_gateway_endpoint_t *endpoint);
  void (*deliver) (void *context, ca_exchange_t *exchange);
  void (*begin) (void *context, ca_exchange_t *exchange);
  void (*finish) (void *context, ca_exchange_t *exchange);
  void (*abort_stream) (void *context, ca_exchange_t *exchange);
  void (*refuse) (void *context, ca_exchange_t *exchange,
                  ca_gateway_refusal_t reason, uint64_t retry_after_us);
  /* Peers; `envelope` is not kept. */
  void (*send_peer) (void *context, const ca_address_t *to,
                     const Camphor__Envelope *envelope);
  /* Configuration text from a peer; the adapter parses it and calls
   * ca_gateway_catalog. */
  void (*parse_catalog) (void *context, uint64_t version, const void *text,
                         size_t bytes);
  /* Rows of a table that a peer reads (gateway/watch.h), complete as of
   * `validated_us` on the local clock. */
  void (*apply_table_update) (void *context, const Camphor__TableWord *update,
                              uint64_t validated_us);
  /* The store came back from an older copy: its tables must be read again, and
   * this entry's rows be written again. */
  void (*store_restored) (void *context);
  /* Writes rows of the table of streams, all or none, if each has the version
   * given; answered by ca_gateway_streams_written.  NULL: there is no such
   * table, and the next is NULL, too. */
  void (*write_streams) (void *context, const ca_stream_row_t *rows,
                         size_t count);
  /* Reads a bucket's rows; answered by ca_gateway_streams_read. */
  void (*read_streams) (void *context, uint32_t bucket);
  /* Leader tasks (gateway/leader.h). */
  void (*log) (void *context, const ca_log_event_t *event);
} ca_gateway_ports_t;

/* Whether this entry reaches the endpoints of a service. */
typedef struct
{
  uint64_t heard_us; /* last byte from any of them */
  bool lost;         /* it reaches none */
  uint64_t lost_us;  /* since then */
  bool suspect;      /* a connection failed: others are to be tried */
  uint64_t next_probe_us;
  const ca_gateway_endpoint_t *debtor; /* owes a response, only in a tick */
  bool several;                        /* others do, too */
  uint64_t owed_us;                    /* since then */
  uint64_t futile_until_us; /* other entries could not serve requests either */
} ca_reach_t;

/* What responses of a service's endpoints say of the rejections that they can
 * bear. */
typedef struct
{
  double limit;       /* in a second, each */
  uint64_t named_us;  /* last response that said so; 0 if none did */
  uint64_t lifted_us; /* start of the last request whose response did not */
} ca_brittle_statement_t;

typedef struct
{
  ca_brittle_statement_t known; /* from all entries */
  ca_brittle_statement_t own;   /* from responses to this entry */
} ca_brittle_t;

/* Statistics of one service, measured by this entry. */
typedef struct ca_service_stats
{
  char *name;
  double prefill_tokens_per_ms; /* prefill throughput of one endpoint */
  ca_window_t requests;         /* from callers, in the retry window */
  ca_window_t retries;          /* sends after the first */
  ca_window_t busy;             /* endpoint time used, in us */
  ca_window_t arrivals;
  double held_tokens;
  double baseline_need; /* endpoints, smoothed while none is reclaimed */
  bool speeds_differ;   /* of its endpoints, see endpoint_speed.c */
  double mean_slowness; /* of these, by what they can read together */
  bool interferes;      /* reading its prompts stops streams for long */
  double long_read_us;  /* to read a prompt, in the mean over tokens */
  uint64_t gap_us;     /* tightest of the routes that were used; 0 if none is */
  uint64_t gap_config; /* version of the configuration that has these routes */
  ca_reach_t reach;
  ca_brittle_t brittle;
  ca_software_version_t versions[CA_SOFTWARE_VERSIONS_MAX];
  bool names_versions; /* an endpoint of the service has one */
  const ca_catalog_t *admission_catalog; /* that `admission` follows from */
  uint64_t admission_version;            /* its version */
  struct ca_admission_gate *admission;   /* NULL where it is not in force */
  UT_hash_handle hh;
} ca_service_stats_t;

/* What this entry borrows of its peers' grants of a quota. */
typedef struct
{
  uint32_t awaited;      /* answers to the latest request */
  uint64_t requested_us; /* its time, which the answers echo */
  double amount;         /* requested of each lender */
  double missing;        /* not yet received of what was requested for */
  uint32_t futile;       /* requests of this round that brought too little */
} ca_quota_loan_t;

/* Quota of a workspace, and this entry's share of it. */
typedef struct ca_quota
{
  char *workspace;
  ca_bucket_t bucket; /* of all entries together, as far as reported */
  ca_window_t requested;
  double admitted;           /* by this entry since its start */
  double share;              /* this entry's share of the demand */
  double demand_per_s;       /* of all entries */
  double total_demand_per_s; /* the same when all were last reachable */
  double unreachable_share;  /* of the total demand, at unreachable peers */
  double peer_demand_per_s;  /* of all peers */
  double available;          /* level of the bucket less unreported use */
  double last_available;     /* value of `available` before this round */
  double granted;            /* unused part of this entry's grant */
  double overdraft;          /* admitted beyond the grant in this round */
  double overdraft_max;
  bool peers_expected; /* not all listed peers have reported yet */
  ca_quota_loan_t loan;
  UT_hash_handle hh;
} ca_quota_t;

/* Requests of a workspace in one usage window. */
typedef struct ca_usage_row
{
  uint64_t window;
  char *workspace;
  uint32_t count;
  TAILQ_ENTRY (ca_usage_row) entries;
} ca_usage_row_t;

TAILQ_HEAD (ca_usage_rows, ca_usage_row);

/* Services whose endpoints an entry reports as lost. */
#define CA_LOST_SERVICES_MAX 16

/* Another entry, as its heartbeats describe it. */
/* What a peer is assumed to use of a quota between its heartbeats. */
typedef struct
{
  double per_s;   /* between the latest two of them */
  double assumed; /* subtracted since the latest one */
} ca_quota_use_t;

typedef struct ca_peer
{
  uint64_t id;
  uint64_t incarnation;
  char *name;
  char *zone;
  ca_address_t address;
  uint64_t received_us;   /* 0 if never */
  uint64_t stamp_us;      /* its latest timestamp, to be echoed */
  int64_t wall_offset_us; /* its time of day minus the local clock */
  bool has_clock_offset;
  int64_t clock_offset_us; /* smallest local clock minus stamp */
  uint64_t discovered_us;
  uint64_t heartbeat_sent_us;
  bool leaving;
  bool zone_is_small; /* and so is this entry's (ca_peers_in_reading_group) */
  bool reads_store;
  bool leads;
  bool grants_slots;        /* of brittle engines; older entries do not */
  bool stores_streams;      /* likewise */
  uint64_t streams_process; /* incarnation that has got copies of the records
                               of this entry's streams */
  uint16_t delegate_port;
  uint64_t lost_services[CA_LOST_SERVICES_MAX]; /* hashes of their names */
  size_t lost_count;
  uint32_t delegated;        /* requests open there for this entry */
  uint64_t refused_us;       /* when it last could not serve one of these */
  bool loads_counted;        /* its load is included in the endpoints' counts */
  Camphor__Pulse *heartbeat; /* latest; owned */
  ca_quota_use_t *quota_use; /* for each row of its demands; owned */
  struct ca_usage_rows usage; /* of this incarnation and earlier ones */
  ca_config_want_t config_want;
  UT_hash_handle hh;
} ca_peer_t;

/* Crashed endpoints before a request is blocked. */
#define CA_CRASHES_MAX 3

/* Crashes kept of requests with one prompt part. */
#define CA_PART_CRASHES_MAX 16

/* Crash of an endpoint process while it ran a request. */
typedef struct
{
  uint64_t process; /* see crash_tracker_process */
  uint64_t at_us;
} ca_endpoint_crash_t;

/* Crashes under requests with one fingerprint, or one prompt part, since the
 * last completed run, as far as known from this entry and its peers. */
typedef struct ca_crash_record
{
  uint64_t fingerprint;
  bool is_part; /* the fingerprint is that of a prompt part */
  bool blocked; /* such requests are refused */
  ca_endpoint_crash_t crashes[CA_PART_CRASHES_MAX];
  uint32_t count;
  uint32_t own_count;    /* of them, seen by this entry */
  uint64_t completed_us; /* latest completed run; 0 if none is known */
  uint64_t latest_us;    /* latest crash or completed run */
  uint64_t changed_us;   /* is to be reported to peers since then */
  UT_hash_handle hh;
} ca_crash_record_t;

/* Latest completed runs by fingerprint, one per slot. */
#define CA_COMPLETED_RUNS 1024

typedef struct
{
  uint64_t fingerprint;
  uint64_t at_us;
} ca_completed_run_t;

/* Interrupted run whose endpoint may have crashed. */
typedef struct ca_suspected_crash
{
  uint64_t fingerprint;
  ca_prompt_t prompt;
  ca_gateway_endpoint_t *endpoint; /* holds a reference */
  uint64_t sent_us;                /* start of the run */
  uint64_t at_us;                  /* its interruption */
  uint64_t check_us; /* when to try a connection to the endpoint */
  bool silent;       /* not interrupted */
  bool unreachable;  /* that connection failed */
  bool forgiven;     /* to be dropped */
  TAILQ_ENTRY (ca_suspected_crash) entries;
} ca_suspected_crash_t;

typedef struct ca_gateway
{
  ca_gateway_options_t options;
  ca_gateway_ports_t ports;
  ca_counters_t counters;
  uint64_t id;
  uint64_t incarnation;
  uint64_t now_us;
  uint64_t started_us;
  unsigned short rng[3];
  /* State shared through the store. */
  ca_catalog_t *catalog; /* NULL until one is loaded */
  ca_freshness_t config_freshness;
  bool store_down;
  bool store_unreachable;      /* all kinds of calls fail */
  uint64_t store_recovered_us; /* when it answered again; 0 if it always did */
  uint64_t store_answers_us;   /* it has answered, without a gap, since then; 0:
                                  it does not */
  uint64_t next_recovery_request_us; /* to peers that may know that it did */
  uint64_t store_era;                /* 0 until one is known */
  uint64_t store_era_us;             /* when this entry learned of it */
  uint64_t first_store_era; /* first one known to this entry; 0 if none */
  bool bad_era_logged;      /* since the last answer of this era */
  uint64_t lease_fence;     /* highest fencing token known */
  uint64_t usage_reported;  /* latest window that may have been reported */
  bool reports_known;       /* no window after it has been, as this entry hears
                               the leaders */
  uint64_t leader_heard_us; /* no entry led unheard before this time */
  bool registry_known;
  ca_registry_t registry;
  uint64_t validation_requested_us; /* last request to any peer */
  uint32_t validation_attempts;     /* peers asked since the last validation */
  uint64_t outdated_since_us;       /* a peer has had a newer one since */
  uint64_t named_version; /* newest one that a peer has named, and when it first
                             did so */
  uint64_t named_us;
  uint64_t replaced_us; /* when one newer than that in force was first named */
  uint64_t config_newest_us; /* when that in force was last the newest, as far
                                as the watch knows */
  uint64_t next_catalog_request_us; /* earliest next request to a peer */
  ca_config_transfer_t config_transfer;
  /* Requests. */
  TAILQ_HEAD (ca_exchanges, ca_exchange) exchanges;
  uint32_t open;
  ca_service_stats_t *services;
  LIST_HEAD (, ca_slot_permits) slot_permits; /* of brittle engines */
  bool slots_changed; /* reports or permits are to be sent */
  ca_quota_t *quotas;
  ca_crash_record_t *crash_records;
  uint32_t blocked_parts;
  bool part_crashes_changed; /* which parts are blocked must be decided again */
  ca_completed_run_t completed_runs[CA_COMPLETED_RUNS];
  ca_completed_run_t completed_parts[CA_COMPLETED_RUNS];
  TAILQ_HEAD (, ca_suspected_crash) suspected_crashes;
  ca_stream_record_t *streams; /* by number, of this entry and others */
  TAILQ_HEAD (, ca_stream_record) own_streams; /* begun or gone on here */
  bool streams_in_doubt;                       /* some of them began in doubt */
  uint64_t stream_peers_signature; /* of the peers that may keep records */
  ca_bucket_t stream_bytes;        /* of records, that may be sent */
  ca_stream_store_t stream_store;
  uint64_t next_stream_expiry_us;
  uint64_t next_version_survey_us;
  uint64_t next_speed_survey_us;
  bool speeds_differ; /* of some service's engines */
  uint64_t next_load_notice_us;
  uint64_t list_validated_us; /* all changes of the list up to then are known */
  const char *list_source;    /* who brought its latest rows, for the log */
  bool list_wanted;           /* a decision needs a more recent list */
  uint64_t first_list_us;     /* the list has been known without a gap since */
  bool history_from_start;    /* no entry ran before the history begins */
  uint64_t history_since_us; /* all versions that were listed since are known */
  uint32_t recorded_versions[CA_VERSION_HISTORY_MAX]; /* by the leader */
  size_t recorded_count;
  bool stopping;
  uint64_t stop_us;            /* start of the stop */
  uint64_t stop_grace_us;      /* time until this entry is killed after it */
  bool leads;                  /* holds the leader lease */
  struct ca_rollout *rollouts; /* one of each service at most */
  /* Peers. */
  ca_peer_t *peers;
  bool entries_listed; /* the store has listed all entries since the start */
  uint64_t heartbeat_period_us; /* between heartbeats to one peer */
  bool zone_is_small;           /* too small for a reader of its own */
  uint64_t next_zone_survey_us;
  bool heartbeat_all_due;    /* send to all in one tick, as a stop begins */
  uint64_t round_started_us; /* start of the current round of heartbeats */
  uint64_t rounds;
  uint64_t next_share_us; /* next division of the quotas */
  uint64_t last_share_us; /* last division of the quotas */
  int64_t wall_offset_us; /* agreed time of day minus the local clock */
  int64_t own_wall_offset_us;
  bool wall_agreed; /* enough entries agree to outvote a wrong clock */
  struct ca_usage_rows usage;
  ca_exchange_t *admitting; /* being admitted; NULL once it has ended */
} ca_gateway_t;

/* Initialises caller-owned memory; `wall_us` is the time of day. */
void ca_gateway_init (ca_gateway_t *gateway,
                      const ca_gateway_options_t *options,
                      const ca_gateway_ports_t *ports, uint64_t now_us,
                      uint64_t wall_us);
void ca_gateway_finish (ca_gateway_t *gateway);
void ca_gateway_tick (ca_gateway_t *gateway, uint64_t now_us, uint64_t wall_us);

/* Applies a configuration and takes over the caller's reference.  One older
 * than the current version is dropped. */
void ca_gateway_catalog (ca_gateway_t *gateway, uint64_t now_us,
                         ca_catalog_t *catalog);

/* Records a response of the store to a request sent at `sent_us`, which shows
 * that the current configuration was the newest. */
void ca_gateway_config_validated (ca_gateway_t *gateway, uint64_t now_us,
                                  uint64_t sent_us, uint64_t store_us);

/* True if this entry itself should ask the store whether its configuration is
 * still the newest. */
bool ca_gateway_needs_validation (ca_gateway_t *gateway, uint64_t now_us);

/* Reports the state of the store: `down` if some kind of call fails, `gone`
 * if all kinds of calls fail. */
void ca_gateway_store_state (ca_gateway_t *gateway, uint64_t now_us, bool down,
                             bool gone);

/* Era of a store that has never come back from an older copy. */
#define CA_STORE_FIRST_ERA 1

/* What an answer of the store, or a peer, says of the store's era: the number
 * of times that it came back from an older copy, plus 1. */
typedef enum
{
  CA_ERA_NAMED,
  CA_ERA_MISSING,
  CA_ERA_MALFORMED
} ca_era_statement_t;

/* Checks the era in an answer of the store; `era` counts if it is named.  A
 * later one than before calls the port `store_restored`.  False if the answer
 * must not be used. */
bool ca_gateway_store_era (ca_gateway_t *gateway, uint64_t now_us,
                           ca_era_statement_t statement, uint64_t era);

/* Names who brings the next rows of the list, for the log; a static text. */
void ca_gateway_list_source (ca_gateway_t *gateway, const char *source);

/* Changes to the list of endpoints.  A complete list is enclosed by
 * ca_gateway_list_begin and ca_gateway_list_end. */
void ca_gateway_list_begin (ca_gateway_t *gateway, uint64_t now_us);
void ca_gateway_list_end (ca_gateway_t *gateway, uint64_t now_us);
void ca_gateway_endpoint_listed (ca_gateway_t *gateway, uint64_t now_us,
                                 const ca_endpoint_record_t *record);
void ca_gateway_endpoint_removed (ca_gateway_t *gateway, uint64_t now_us,
                                  const char *id);

/* Records that the configuration in force was the newest at `newest_us`. */
void ca_gateway_config_newest (ca_gateway_t *gateway, uint64_t newest_us);

/* Records that the list of endpoints has all changes up to `validated_us`. */
void ca_gateway_list_validated (ca_gateway_t *gateway, uint64_t validated_us);

/* True if the balancer may send callers here. */
bool ca_gateway_ready (const ca_gateway_t *gateway);

/* Handles the results of the ports `write_streams`, with the version that the
 * rows have or, after a conflict, those of the rows that exist; and
 * `read_streams`. */
void ca_gateway_streams_written (ca_gateway_t *gateway, uint64_t now_us,
                                 ca_stream_write_status_t status,
                                 uint64_t version, const ca_stream_row_t *rows,
                                 size_t count);
void ca_gateway_streams_read (ca_gateway_t *gateway, uint64_t now_us,
                              uint32_t number, bool ok,
                              const ca_stream_row_t *rows, size_t count);

/* Begins a planned stop. */
void ca_gateway_stop (ca_gateway_t *gateway, uint64_t now_us);

/* Ends all requests, as a planned stop is about to end: those without a
 * response get one, and begun streams are left incomplete. */
void ca_gateway_stop_end (ca_gateway_t *gateway, uint64_t now_us);

/* Decides which entry reads a table, before the table's tick, and sends the
 * reader's update to its followers when it is due. */
struct ca_watch;
void ca_relay_tick (ca_gateway_t *gateway, uint64_t now_us,
                    struct ca_watch *watch);

/* Sends followers the rows that changed after version `after`, up to the
 * version that the watch has. */
void ca_relay_rows (ca_gateway_t *gateway, uint64_t now_us,
                    struct ca_watch *watch, uint64_t after,
                    Camphor__TableRow **rows, size_t count);

/* Sends followers one row under a table number of its own, apart from the
 * watch's position: with its version, and also if the watch's updates leave
 * rows out. */
void ca_relay_row (ca_gateway_t *gateway, uint64_t now_us,
                   const struct ca_watch *watch, uint32_t table,
                   Camphor__TableRow *row, uint64_t version);

/* Fingerprint of a request, by which its copies are recognised: of its content
 * and of its workspace, NULL if it has none.  A workspace's keys may change. */
uint64_t ca_request_fingerprint (uint64_t content, const char *workspace);

/* True if a request with this head is refused whatever else it contains, as
 * long as the configuration stays the same.  `key` may be NULL. */
bool ca_gateway_refuses_head (const ca_gateway_t *gateway, const char *host,
                              const char *path, const char *key);

/* Admits a request.  The gateway owns the exchange and frees it after the
 * port call that ends it.  Returns NULL if it has ended already. */
ca_exchange_t *ca_gateway_request (ca_gateway_t *gateway, uint64_t now_us,
                                   const ca_request_facts_t *facts);
void ca_exchange_caller_disconnected (ca_gateway_t *gateway, uint64_t now_us,
                                      ca_exchange_t *exchange);

/* Handles the head of a response; true if its events are to be reported one
 * by one. */
bool ca_exchange_head (ca_gateway_t *gateway, uint64_t now_us,
                       ca_exchange_t *exchange, const ca_answer_facts_t *facts);

/* Handles one complete event; true if it is to be forwarded.  May call the
 * port `begin` first. */
bool ca_exchange_event (ca_gateway_t *gateway, uint64_t now_us,
                        ca_exchange_t *exchange, bool has_id, uint64_t id);

/* Handles the result of the port `check_endpoint`.  `instance` is the one that
 * ca_gateway_endpoint_instance gave for the endpoint when it was called. */
void ca_gateway_endpoint_checked (ca_gateway_t *gateway, uint64_t now_us,
                                  uint64_t instance, bool reachable);

/* Handles the end of the attempt. */
void ca_exchange_end (ca_gateway_t *gateway, uint64_t now_us,
                      ca_exchange_t *exchange, ca_attempt_end_t end);

/* Adds another entry that may be running. */
void ca_gateway_add_peer (ca_gateway_t *gateway, const char *name,
                          const ca_address_t *address);

/* Records that all entries that the store lists have been added. */
void ca_gateway_entries_listed (ca_gateway_t *gateway);

/* Handles a message from a peer.  A heartbeat is removed from the envelope
 * and kept. */
void ca_gateway_envelope (ca_gateway_t *gateway, uint64_t now_us,
                          Camphor__Envelope *envelope);

#endif
