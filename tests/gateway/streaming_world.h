/* State of a fleet in virtual time (streaming_fleet.h), shared by the files
 * that simulate it: its endpoints and callers (streaming_world.c), its entries
 * (streaming_entries.c), and the steps and checks (streaming_fleet.c). */
#ifndef TESTS_GATEWAY_STREAMING_WORLD_H
#define TESTS_GATEWAY_STREAMING_WORLD_H

#include "streaming_fleet.h"

#include "cluster.h"
#include "gateway/gateway.h"
#include "gateway/leader.h"
#include "wire/frame.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define ENTRIES_MAX 300
#define ENDPOINTS_MAX 90
#define SMALL_ENTRIES_MAX 30
#define VERSIONS_MAX 8
#define CHANGES_MAX 4096
#define ZONES 4
#define WALL_US UINT64_C (1700000000000000)
#define STEP_US (5 * CA_US_PER_MS)
#define START_US UINT64_C (1000000000)
#define RUN_US (20 * CA_US_PER_S)
#define WARM_US (3 * CA_US_PER_S)

/* Bounds of the users' platform. */
#define MIXED_MAX 2
#define TAKEN_UP_MIN 12
#define CONTACT_US (3 * CA_US_PER_S)
#define FALLS_MAX 2
#define SERVED_SHARE 0.25 /* less counts as starved */
#define FALLS_SHARE 0.1
#define FIRST_TRIES_SHARE (2.0 / 3)
#define FIRST_TRIES_FAILED 10
#define FIRST_TRIES_FAILED_SHARE 0.02

#define FIRST_EVENT_US (100 * CA_US_PER_MS)
#define EVENT_US (80 * CA_US_PER_MS)
#define EVENTS 12
#define CONNECT_US (2 * CA_US_PER_MS)
#define LIST_LAG_MAX_US (300 * CA_US_PER_MS)
#define ENDPOINT_DOWN_US (1500 * CA_US_PER_MS)
#define DRAIN_US (2 * CA_US_PER_S)
#define ENTRY_DOWN_US (700 * CA_US_PER_MS)
#define STOP_US (1200 * CA_US_PER_MS)
#define DEADLINE_US (8 * CA_US_PER_S)
#define PLAIN_DEADLINE_US (1 * CA_US_PER_S)
#define PLAIN_SLOTS 6
#define QUEUE_MAX 6        /* further requests that wait at an endpoint */
#define PLAIN_QUEUE_WEAK 1 /* of these at a brittle one; none at an engine */
#define PLAIN_US (30 * CA_US_PER_MS)
#define CONNECT_TIMEOUT_US (400 * CA_US_PER_MS)
#define CHECKS_MAX 4096
#define IDLE_MAX 8
#define SILENT_US (1 * CA_US_PER_S)
/* An eighth of the objective and a tick. */
#define REFUSED_WAIT_US (50 * CA_US_PER_MS)
#define REFUSED_STREAM_WAIT_US (150 * CA_US_PER_MS)
#define BRITTLE_LIMIT_MAX 8
#define CUT_END_US (1500 * CA_US_PER_MS) /* until entries have noticed */
#define RETRY_US (40 * CA_US_PER_MS)
#define TRIES_MAX 4
#define CUT_SHARE 0.25

/* A release replaces a third of the endpoints by the next version. */
#define RELEASE_PERIOD_US (5 * CA_US_PER_S)
#define RELEASE_SHARE 0.33
#define RELEASE_GAP_US (200 * CA_US_PER_MS)

typedef enum
{
  KIND_STREAM,
  KIND_PLAIN,
  KIND_ONCE /* plain, must not run twice */
} kind_t;

typedef enum
{
  SERVICE_ENGINE,
  SERVICE_PLAIN,
  SERVICES
} service_t;

/* Who waits for the response of an exchange: a caller's request, or the run of
 * another entry, which delegated it. */
typedef struct
{
  bool is_proxy;
} party_t;

/* A caller's request, over all of its tries. */
typedef struct request
{
  party_t party; /* must be first */
  uint64_t number;
  kind_t kind;
  uint32_t runs;   /* of the current try */
  bool cut_off;    /* the entry was, as it got the current try */
  bool first_try;  /* the open try is the first, within the cut */
  char id[32];     /* of the current try */
  char origin[32]; /* of the try that brought the first event; empty: none */
  uint32_t tries;
  uint64_t deadline_us;
  uint64_t next_us; /* of the next try; 0: one is open */
  size_t entry;
  uint64_t last_event;
  uint32_t versions; /* bits */
  uint32_t first_version;
  bool counted; /* the open try is, as a new stream or one taken up */
  bool early;   /* it is taken up at an entry that has just started */
  TAILQ_ENTRY (request) entries;
} request_t;

struct proxy;

typedef struct run
{
  struct proxy *proxy; /* of a delegated request; NULL if at an endpoint */
  ca_exchange_t *exchange;
  request_t *request;
  size_t entry;
  size_t endpoint;
  uint32_t start; /* of the endpoint */
  bool refused;
  bool hangs; /* nothing arrives any more */
  bool rejected;
  bool runs; /* takes room at a plain endpoint */
  bool streams;
  uint64_t next_event;
  uint64_t next_us;
  TAILQ_ENTRY (run) entries;
} run_t;

/* A delegated request at the entry that is to serve it. */
typedef struct proxy
{
  party_t party; /* must be first */
  request_t *request;
  run_t *run; /* of the entry that delegated it */
  size_t entry;
  bool sent;
  bool head_sent;
  ca_request_facts_t facts;
  char resumes[32];
  ca_exchange_t *exchange; /* NULL before and after */
  bool ended;
  ca_attempt_end_t end;
  ca_answer_facts_t answer;
  TAILQ_ENTRY (proxy) entries;
} proxy_t;

typedef struct
{
  bool up;
  uint32_t start; /* number, part of the id */
  uint32_t version;
  uint32_t next_version;
  uint64_t back_us;
  uint64_t started_ms;
  uint64_t silent_until_us;
  uint64_t arrivals;
  uint32_t running;
  uint64_t rejections;
  /* By number, the latest: when, and whether by an entry in touch. */
  uint64_t rejected_us[BRITTLE_LIMIT_MAX + 1];
  bool rejected_in_touch[BRITTLE_LIMIT_MAX + 1];
} endpoint_t;

/* A change of the list of endpoints in the store. */
typedef struct
{
  uint64_t at_us;
  size_t endpoint;
  uint32_t start;
  uint32_t version;
  uint64_t started_ms;
  bool removed;
} change_t;

typedef struct
{
  bool up;
  bool cut;
  bool stopping;
  uint64_t back_us;
  uint64_t started_us;
  uint64_t touched_us; /* in touch since, if later than the contact time */
  uint64_t list_lag_us;
  size_t list_cursor;
} entry_t;

/* A connection that tests whether an endpoint can be reached. */
typedef struct
{
  size_t entry;
  size_t endpoint;
  uint32_t start;
  uint64_t instance;
  uint64_t ends_us;
} check_t;

typedef struct message
{
  size_t from;
  size_t to;
  size_t bytes;
  uint8_t *packed;
  STAILQ_ENTRY (message) entries;
} message_t;

typedef struct
{
  const streaming_fleet_t *fleet;
  ca_gateway_t gateways[ENTRIES_MAX];
  ca_leader_t leaders[ENTRIES_MAX];
  char lease[CA_LEASE_BYTES]; /* the row in the store */
  uint64_t lease_version;     /* 0: there is no row */
  size_t next_kill;
  entry_t entries[ENTRIES_MAX];
  endpoint_t endpoints[ENDPOINTS_MAX];
  change_t changes[CHANGES_MAX];
  size_t change_count;
  check_t checks[CHECKS_MAX];
  size_t check_count;
  TAILQ_HEAD (, request) requests;
  TAILQ_HEAD (, run) runs;
  TAILQ_HEAD (, proxy) proxies;
  STAILQ_HEAD (, message) messages;
  uint64_t now_us;
  uint64_t seed;
  uint64_t numbers;
  size_t next_roll;
  uint32_t latest_version;
  size_t release_left;
  uint64_t store_away_until_us;
  uint64_t store_calls; /* for the table of streams */
  uint64_t store_bytes; /* of its rows, written and read */
  uint64_t message_bytes;
  uint64_t permit_messages; /* while endpoints are brittle */
  uint64_t new_sent;
  uint64_t new_begun;
  uint64_t taken_up;
  uint64_t gone_on;
  uint64_t early_taken_up; /* at entries that have just started */
  uint64_t early_gone_on;
  uint64_t mixed;
  uint64_t
      first_tries[2]; /* within the cut, at others and at entries cut off */
  uint64_t first_served[2];
  uint64_t ran_twice;
  uint64_t arrivals; /* at endpoints */
  uint64_t blocked;  /* refused as requests that end endpoints */
  size_t next_silent;
  uint64_t falls[SERVICES];
  uint64_t brittle_served[SERVICES];
  uint64_t refused_wait_us[SERVICES]; /* longest */
  uint64_t forwarded_late;            /* to other entries, after the cut */
  uint8_t idle[ENTRIES_MAX]
              [ENDPOINTS_MAX]; /* open connections without a call */
  uint64_t complete;
} streaming_world_t;

extern streaming_world_t world;

/* Configuration of the entries. */
extern const char world_config[];

/* streaming_world.c: chance, the state of things, endpoints and callers. */
double uniform (void);
size_t random_below (size_t count);
bool is_in_touch (size_t entry);
bool cut_lasts (void);
streaming_fleet_cut_t cut_of (size_t entry);
bool is_brittle (uint64_t for_us);
service_t service_of (size_t endpoint);
uint32_t room_of (size_t endpoint);
service_t service_of_request (const request_t *request);
void apply_change (size_t entry, const change_t *change);
void endpoint_end (size_t index);
void endpoint_start (size_t index, uint32_t version);
void request_free (request_t *request);
void request_served (request_t *request);
void request_broken (request_t *request, uint64_t wait_us);
void request_fill_facts (const request_t *request, ca_request_facts_t *facts);
void step_requests (void);

/* streaming_entries.c: what entries do at endpoints, for callers and for each
 * other. */
proxy_t *proxy_of (const ca_exchange_t *exchange);
void proxy_end (proxy_t *proxy, ca_attempt_end_t end, uint32_t status);
void run_free (run_t *run);
bool endpoint_falls (const endpoint_t *endpoint);
bool endpoint_fall_counts (const endpoint_t *endpoint);
void step_checks (void);
void entry_start (size_t index);
void entry_end (size_t index);

/* streaming_store.c: the table of streams. */
void store_on_write (void *context, const ca_stream_row_t *rows, size_t count);
void store_on_read (void *context, uint32_t bucket);
void step_store (void);
void store_reset (void);

#endif
