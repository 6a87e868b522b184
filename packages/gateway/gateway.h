/* Decisions of one entry for opaque requests: who may send what, to which
 * endpoint it goes, what follows when that fails, and what the entries share.
 *
 * An instance does no I/O, reads no clock and has no globals.  `now_us` is a
 * clock that runs on while the machine is suspended.  Functions may call
 * ports; a port must not call back. */
#ifndef CA_GATEWAY_GATEWAY_H
#define CA_GATEWAY_GATEWAY_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/events.h"
#include "gateway/affinity.h"
#include "gateway/bucket.h"
#include "gateway/catalog.h"
#include "gateway/freshness.h"
#include "gateway/registry.h"
#include "gateway/window.h"
#include "wire/peer.pb-c.h"

/* A stopping entry ends this long before it would be killed. */
#define CA_GRACE_MARGIN_US (300 * CA_US_PER_MS)

/* How often ca_gateway_tick is to be called. */
#define CA_GATEWAY_TICK_US (25 * CA_US_PER_MS)

/* Bounds that the platform sets for all entries together. */
typedef struct
{
  uint32_t propagation_ms; /* for a configuration to be in force */
  bool strict_revocation;  /* a key that was taken away must not be used */
  uint32_t revocation_ms;  /* later than this, in touch or not */
  double retry_ratio;      /* repeats for each request of a service */
  double retry_allowance;  /* and beside that, in one window */
  uint32_t retry_window_ms;
  double quota_overrun;   /* part of a quota that may be exceeded */
  double quota_allowance; /* and beside that, in one window */
  uint32_t quota_window_ms;
  uint32_t usage_window_s;
  uint32_t usage_delay_s;
  uint32_t lease_ms;
  uint32_t grace_ms; /* from SIGTERM to SIGKILL */
} ca_bounds_t;

typedef struct
{
  char name[64];
  char zone[64];
  ca_address_t peers;
  ca_bounds_t bounds;
  uint32_t seed;
} ca_gateway_options_t;

/* What is known of an answer's head. */
typedef struct
{
  uint32_t status;
  bool is_signed;      /* bears the endpoint's signature: it is its own word */
  bool not_run;        /* the endpoint says that it did not run the request */
  bool wrong_endpoint; /* another endpoint has the address */
  bool encoded;        /* not the endpoint's bytes */
  bool is_stream;
} ca_answer_facts_t;

typedef enum
{
  CA_END_COMPLETE,    /* a whole answer */
  CA_END_UNREACHABLE, /* no byte was sent */
  CA_END_INTERRUPTED, /* sent; the answer ended early or never came */
  CA_END_MALFORMED    /* sent; what came is no answer */
} ca_attempt_end_t;

typedef enum
{
  CA_EXCHANGE_WAITING,   /* for an endpoint */
  CA_EXCHANGE_SENT,      /* to one */
  CA_EXCHANGE_STREAMING, /* events arrive */
  CA_EXCHANGE_ENDED
} ca_exchange_phase_t;

/* Endpoints that an exchange keeps away from after a failure there. */
#define CA_EXCHANGE_AVOIDED_MAX 4

/* One request of one caller, from its arrival to its one final answer. */
typedef struct ca_exchange
{
  char id[64]; /* the caller's name for it */
  uint64_t fingerprint;
  ca_catalog_t *catalog; /* that admitted it; a reference */
  const ca_route_t *route;
  const ca_service_t *service;
  const ca_catalog_workspace_t *workspace; /* NULL if the route needs no key */
  ca_prompt_t prompt;
  uint32_t cost; /* taken from the quota */
  ca_exchange_phase_t phase;
  uint64_t accepted_us;
  uint64_t deadline_us;
  uint64_t phase_us;
  /* Attempts. */
  ca_gateway_endpoint_t *endpoint; /* being used; NULL if none */
  uint32_t sends;                  /* of which a byte left */
  uint32_t runs;                   /* that may have begun */
  uint32_t connect_failures;       /* connections that could not be made */
  uint32_t rejections;    /* times that an endpoint said it had no room */
  uint32_t unread_tokens; /* counted at the seat until the first event */
  uint32_t held_tokens;
  uint64_t avoided[CA_EXCHANGE_AVOIDED_MAX];
  uint32_t avoided_count;
  uint64_t sent_us;
  bool endpoint_idle;   /* its prompt was alone in line at the seat */
  bool demand_counted;  /* its time was counted as asked for */
  uint32_t read_tokens; /* that the seat was expected to read */
  /* Answer. */
  ca_answer_facts_t facts;
  bool run_begun; /* a run of it has begun: counted as used */
  bool head_sent; /* the caller has part of the answer */
  bool has_event;
  uint64_t last_event;
  void *adapter_data; /* the adapter's own */
  TAILQ_ENTRY (ca_exchange) entries;
} ca_exchange_t;

/* What an adapter tells of a request. */
typedef struct
{
  const char *id;
  const char *host;
  const char *path;
  const char *key; /* NULL if none */
  uint64_t fingerprint;
  uint32_t wait_ms; /* what the caller will wait; 0 if it does not say */
  bool has_cost;
  ca_prompt_t prompt;
  void *adapter_data;
} ca_request_facts_t;

typedef struct
{
  uint32_t remaining_ms; /* of the deadline */
  uint32_t priority;     /* 0 is first */
  bool resumes;          /* goes on after `last_event` */
  uint64_t last_event;
  /* Keeps parts of the prompt that are to be fetched from there rather than
   * read again; NULL if none is known. */
  const ca_gateway_endpoint_t *source;
} ca_attempt_t;

/* Reason of an answer of our own; a table gives status and event. */
typedef enum
{
  CA_REFUSE_NO_CONFIGURATION,
  CA_REFUSE_STALE,    /* keys cannot be trusted: the store is out of reach */
  CA_REFUSE_STOPPING, /* another entry takes it */
  CA_REFUSE_NO_ROUTE,
  CA_REFUSE_NO_KEY,
  CA_REFUSE_QUOTA,
  CA_REFUSE_QUARANTINED,
  CA_REFUSE_NO_ENDPOINT,
  CA_REFUSE_OVERLOADED,
  CA_REFUSE_EXPIRED, /* out of time before it ran */
  CA_REFUSE_LOST,    /* it may have run and must not run again */
  CA_REFUSE_TIMEOUT, /* it runs, and its time is over */
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
  /* Exchanges. */
  void (*attempt) (void *context, ca_exchange_t *exchange,
                   const ca_attempt_t *attempt);
  void (*cancel) (void *context, ca_exchange_t *exchange);
  void (*deliver) (void *context, ca_exchange_t *exchange);
  void (*begin) (void *context, ca_exchange_t *exchange);
  void (*finish) (void *context, ca_exchange_t *exchange);
  void (*abort_stream) (void *context, ca_exchange_t *exchange);
  void (*refuse) (void *context, ca_exchange_t *exchange,
                  ca_gateway_refusal_t reason, uint64_t retry_after_us);
  /* Peers; the envelope is not kept. */
  void (*send_peer) (void *context, const ca_address_t *to,
                     const Camphor__Envelope *envelope);
  /* A peer's copy of the configuration; the adapter parses it and calls
   * ca_gateway_catalog. */
  void (*parse_catalog) (void *context, uint64_t version, const void *text,
                         size_t bytes);
  /* A peer's word of a table that is followed (gateway/watch.h): what it tells
   * was all there was at `validated_us`, on our clock. */
  void (*apply_table_update) (void *context, const Camphor__TableWord *word,
                              uint64_t validated_us);
  /* Duties (gateway/leader.h). */
  void (*log) (void *context, const ca_log_event_t *log);
} ca_gateway_ports_t;

/* Figures of one service, learned by this entry. */
typedef struct ca_service_stats
{
  char *name;
  double read_tokens_per_ms; /* of an endpoint, learned */
  ca_window_t requests;      /* of callers, in the retry window */
  ca_window_t retries;       /* sends beyond the first */
  ca_window_t busy;          /* endpoint time taken, in us */
  ca_window_t arrivals;
  double held_tokens;
  double baseline_need; /* endpoints, smoothed, while none are reclaimed */
  UT_hash_handle hh;
} ca_service_stats_t;

/* A workspace's quota, as this entry sees it for all. */
typedef struct ca_quota
{
  char *workspace;
  ca_bucket_t bucket; /* of all entries together, as far as is known */
  ca_window_t requested;
  double admitted;           /* by this entry since its start */
  double share;              /* this entry's part of the demand */
  double total_demand_per_s; /* demand when all the others were last heard */
  double unreachable_share;  /* of the others' demand, at those not heard now */
  double peer_demand_per_s;  /* of the others, a second */
  double available;      /* in the bucket, less what peers may not have told */
  double last_available; /* when the parts were last worked out */
  double granted;        /* this entry's part of that, not yet used */
  double overdraft; /* admitted beyond it in this round, as ample was left */
  double overdraft_max; /* bound on that, but for a single request */
  UT_hash_handle hh;
} ca_quota_t;

/* Count of a workspace in one window of usage. */
typedef struct ca_usage_row
{
  uint64_t window;
  char *workspace;
  uint32_t count;
  TAILQ_ENTRY (ca_usage_row) entries;
} ca_usage_row_t;

TAILQ_HEAD (ca_usage_rows, ca_usage_row);

/* Another entry, by its pulses. */
typedef struct ca_peer
{
  uint64_t id;
  uint64_t incarnation;
  char *name;
  char *zone;
  ca_address_t address;
  uint64_t received_us;   /* 0: never */
  uint64_t stamp_us;      /* its latest stamp, to be echoed */
  int64_t wall_offset_us; /* its time of day less our clock */
  bool has_clock_offset;
  int64_t clock_offset_us; /* our clock less its stamps, at least this */
  uint64_t discovered_us;
  uint64_t heartbeat_sent_us;
  bool leaving;
  bool reads_store;
  bool leads;
  bool loads_counted;         /* what it has open is added to the endpoints' */
  Camphor__Pulse *heartbeat;  /* latest; owned */
  struct ca_usage_rows usage; /* of this life and former ones */
  UT_hash_handle hh;
} ca_peer_t;

/* A request that was open at endpoints when they ended. */
typedef struct ca_crash_record
{
  uint64_t fingerprint;
  uint32_t count;
  uint64_t instances[4]; /* hashes of their lives */
  uint64_t latest_us;
  UT_hash_handle hh;
} ca_crash_record_t;

/* A cut run whose endpoint is not yet known to have ended. */
typedef struct ca_suspected_crash
{
  uint64_t fingerprint;
  uint64_t endpoint; /* hash of the life */
  uint64_t at_us;
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
  unsigned short rng[3];
  /* Knowledge. */
  ca_catalog_t *catalog; /* NULL until one is known */
  ca_freshness_t config_freshness;
  bool store_down;
  bool store_unreachable;      /* no kind of call is answered */
  uint64_t store_recovered_us; /* when one was again; 0 if it never was gone */
  bool registry_known;
  ca_registry_t registry;
  uint64_t
      validation_requested_us;  /* when proof was last asked for, of whomever */
  uint32_t validation_attempts; /* peers asked since the last proof */
  uint64_t outdated_since_us; /* since when a peer has a newer configuration */
  uint64_t next_catalog_request_us; /* when a peer was last asked for a
                                       configuration */
  /* Requests. */
  TAILQ_HEAD (ca_exchanges, ca_exchange) exchanges;
  uint32_t open;
  ca_service_stats_t *services;
  ca_quota_t *quotas;
  ca_crash_record_t *crash_records;
  TAILQ_HEAD (, ca_suspected_crash) suspected_crashes;
  bool stopping;
  uint64_t stop_us; /* when that began */
  bool leads;       /* holds the lease on duties */
  /* Siblings. */
  ca_peer_t *peers;
  uint64_t heartbeat_period_us; /* between pulses to one sibling */
  bool heartbeat_all_due;       /* at once: a stop begins */
  uint64_t round_started_us;    /* when the present round of them began */
  uint64_t rounds;
  uint64_t next_share_us; /* when quotas are next divided */
  uint64_t last_share_us; /* and when they last were */
  int64_t wall_offset_us; /* agreed time of day less our clock */
  int64_t own_wall_offset_us;
  bool wall_agreed; /* by enough entries to outvote one that is off */
  struct ca_usage_rows usage;
  ca_exchange_t *admitting; /* being taken in; NULL once it has ended */
} ca_gateway_t;

/* Initialises caller-owned memory; `wall_us` is the time of day. */
void ca_gateway_init (ca_gateway_t *gateway,
                      const ca_gateway_options_t *options,
                      const ca_gateway_ports_t *ports, uint64_t now_us,
                      uint64_t wall_us);
void ca_gateway_finish (ca_gateway_t *gateway);
void ca_gateway_tick (ca_gateway_t *gateway, uint64_t now_us, uint64_t wall_us);

/* --- Knowledge (state_sync.c) --- */

/* Takes a configuration, and the reference to it; an older one than the
 * present is dropped. */
void ca_gateway_catalog (ca_gateway_t *gateway, uint64_t now_us,
                         ca_catalog_t *catalog);

/* An answer of the store that leaves no newer configuration out. */
void ca_gateway_config_validated (ca_gateway_t *gateway, uint64_t now_us,
                                  uint64_t sent_us, uint64_t store_us);

/* True if this entry should ask the store itself whether the configuration is
 * still the newest. */
bool ca_gateway_needs_validation (ca_gateway_t *gateway, uint64_t now_us);

/* Whether some kind of call, or every one, gets no answer of the store. */
void ca_gateway_store_state (ca_gateway_t *gateway, uint64_t now_us, bool down,
                             bool gone);

/* Changes of the list of endpoints.  `first` begins a whole list, which
 * ca_gateway_list_end ends. */
void ca_gateway_list_begin (ca_gateway_t *gateway, uint64_t now_us);
void ca_gateway_list_end (ca_gateway_t *gateway, uint64_t now_us);
void ca_gateway_endpoint_listed (ca_gateway_t *gateway, uint64_t now_us,
                                 const ca_endpoint_record_t *record);
void ca_gateway_endpoint_removed (ca_gateway_t *gateway, uint64_t now_us,
                                  const char *id);

/* True while the balancer should send callers here. */
bool ca_gateway_ready (const ca_gateway_t *gateway);

/* Begins a planned stop. */
void ca_gateway_stop (ca_gateway_t *gateway, uint64_t now_us);

/* --- Relay (relay.c) --- */

/* Settles who reads a table, before its tick, and sends a reader's word when
 * that is due. */
struct ca_watch;
void ca_relay_tick (ca_gateway_t *gateway, uint64_t now_us,
                    struct ca_watch *watch);

/* Tells a reader's followers the rows that changed after version `after`, up to
 * what the watch knows now. */
void ca_relay_rows (ca_gateway_t *gateway, uint64_t now_us,
                    const struct ca_watch *watch, uint64_t after,
                    Camphor__TableRow **rows, size_t count);

/* --- Exchanges (exchange.c) --- */

/* Takes a request in.  The gateway owns the exchange, and frees it after the
 * port call that ends it; NULL if it has ended already. */
ca_exchange_t *ca_gateway_request (ca_gateway_t *gateway, uint64_t now_us,
                                   const ca_request_facts_t *facts);
void ca_exchange_caller_disconnected (ca_gateway_t *gateway, uint64_t now_us,
                                      ca_exchange_t *exchange);

/* The head of an answer; true if its events are to be told one by one. */
bool ca_exchange_head (ca_gateway_t *gateway, uint64_t now_us,
                       ca_exchange_t *exchange, const ca_answer_facts_t *facts);

/* One whole event; true if it is to be sent on.  The port `begin` may be
 * called before. */
bool ca_exchange_event (ca_gateway_t *gateway, uint64_t now_us,
                        ca_exchange_t *exchange, bool has_id, uint64_t id);

/* The attempt has ended. */
void ca_exchange_end (ca_gateway_t *gateway, uint64_t now_us,
                      ca_exchange_t *exchange, ca_attempt_end_t end);

/* --- Peers (peers.c) --- */

/* An entry that may be there. */
void ca_gateway_add_peer (ca_gateway_t *gateway, const char *name,
                          const ca_address_t *address);

/* A message from a peer; a pulse is taken out of it and kept. */
void ca_gateway_envelope (ca_gateway_t *gateway, uint64_t now_us,
                          Camphor__Envelope *envelope);

#endif
