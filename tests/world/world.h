/* Discrete-event simulation of a whole deployment in virtual time.  Entries run
 * the real core; the network, table service, cloud, endpoints and callers at
 * its ports are fakes.  One event queue and one seed make a run
 * reproducible. */
#ifndef CA_TESTS_WORLD_WORLD_H
#define CA_TESTS_WORLD_WORLD_H

#include "core/core.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define WORLD_ZONES 8
#define WORLD_ENDPOINTS 256
#define WORLD_NAME_BYTES 32
#define WORLD_TOKENS_MAX 256

struct world;
struct world_event;

typedef void (*world_handler_t) (struct world *world,
                                 struct world_event *event);

/* One timed event.  `free_data` frees `data` after the event ran or was
 * dropped. */
typedef struct world_event
{
  uint64_t at_us;
  uint64_t sequence;
  world_handler_t run;
  int entry;            /* postponed while this entry is paused; -1: none */
  uint32_t incarnation; /* the event is dropped if the entry restarted */
  uint64_t number;
  void *data;
  void (*free_data) (void *data);
} world_event_t;

typedef struct
{
  struct world *world;
  int index;
  char name[WORLD_NAME_BYTES];
  char zone[WORLD_NAME_BYTES];
  bool alive;
  bool paused;
  bool stopping;
  uint32_t incarnation;
  ca_core_t core;
  ca_core_options_t options;
  uint64_t sent_messages;
  uint64_t sent_bytes;
  uint64_t core_cpu_ns; /* CPU time spent in the core */
} world_entry_t;

typedef enum
{
  WORLD_RUN_RUNNING,
  WORLD_RUN_FINISHED,
  WORLD_RUN_STOPPED,
  WORLD_RUN_TOMBSTONE
} world_run_state_t;

/* One run at a fake engine. */
typedef struct world_engine_run
{
  uint64_t request;
  uint32_t run;
  uint32_t padding;
  world_run_state_t state;
  uint64_t seed;
  char key[CA_NAME_BYTES * 2]; /* of a non-idempotent request, else "" */
  uint32_t produced;
  uint32_t max_tokens;
  uint32_t recomputed;
  uint64_t ready_us;
  uint64_t fingerprint;
  bool poison;
  int reader; /* index of an entry; -1: none */
  uint32_t reader_incarnation;
  ca_run_attempt_t attempt;
  uint32_t sent;
  bool silent; /* the reader's connection is open but carries nothing */
  uint64_t progress_us;
  UT_hash_handle hh;
} world_engine_run_t;

typedef struct
{
  char name[WORLD_NAME_BYTES];
  char zone[WORLD_NAME_BYTES];
  char pool[CA_NAME_BYTES];
  ca_address_t address;
  bool service;
  bool reclaimable;
  bool alive;
  bool leaving;
  bool listed;
  bool start_pending; /* a start was ordered */
  uint64_t boot;
  uint64_t leave_at_us;
  uint64_t step_us;
  uint64_t prefill_us; /* per prompt token */
  uint32_t batch;
  bool stepping;
  world_engine_run_t *runs;
  ca_prefix_index_t cache;
  uint64_t started; /* runs started */
  uint64_t last_start_us;
  uint64_t computed; /* prompt tokens processed */
} world_endpoint_t;

typedef struct world_row
{
  char *key;
  char *value;
  uint64_t version;
  UT_hash_handle hh;
} world_row_t;

typedef struct
{
  world_row_t *rows;
  uint64_t version;
  bool down;
  bool frozen;
  uint64_t latency_us;
  uint32_t lose_answers;
  double answer_loss_rate; /* of answers, 0 to 1 */
  uint64_t reads;
  uint64_t writes;
  uint64_t second; /* the second being counted, for the peaks */
  uint64_t second_reads;
  uint64_t second_writes;
  uint64_t peak_reads;
  uint64_t peak_writes;
} world_table_t;

typedef enum
{
  WORLD_WAITING,
  WORLD_ANSWERED,
  WORLD_REFUSED,
  WORLD_LOST /* its entry died before it could answer */
} world_request_status_t;

typedef struct world_request
{
  uint64_t id;
  char name[WORLD_NAME_BYTES];
  int entry;
  uint32_t entry_incarnation;
  char workspace[CA_NAME_BYTES];
  char class_name[CA_NAME_BYTES];
  char key[CA_NAME_BYTES];
  char *prompt;
  uint64_t seed; /* generates the tokens of its answer */
  uint32_t max_tokens;
  bool stream;
  bool idempotent;
  bool service;
  uint64_t at_us;
  uint64_t first_us;
  uint64_t end_us;
  uint32_t received_tokens;
  uint32_t moves;
  bool reconnecting; /* was moved and has not reconnected yet */
  bool replayed;
  world_request_status_t status;
  ca_error_kind_t kind;
  ca_outcome_t outcome;
  uint64_t retry_us;
  UT_hash_handle hh;
} world_request_t;

/* What the endpoints actually ran for one non-idempotent key. */
typedef struct world_ledger
{
  char key[CA_NAME_BYTES * 2];
  uint8_t produced[WORLD_TOKENS_MAX]; /* how often each token was produced */
  uint64_t first_us;
  UT_hash_handle hh;
} world_ledger_t;

typedef struct
{
  char a[WORLD_NAME_BYTES];
  char b[WORLD_NAME_BYTES];
} world_partition_t;

typedef struct world
{
  uint64_t now_us;
  uint64_t sequence;
  uint64_t events_run;
  world_event_t **queue;
  size_t queued;
  size_t queue_capacity;
  unsigned short rng[3];
  world_entry_t *entries;
  int entry_count;
  int entry_capacity;
  world_endpoint_t endpoints[WORLD_ENDPOINTS];
  int endpoint_count;
  world_table_t table;
  world_partition_t partitions[32];
  int partition_count;
  double message_loss_rate; /* of peer messages, 0 to 1 */
  uint64_t list_lag_us;
  bool platform_down;  /* no VM list, notices or prices */
  bool kv_broken;      /* no KV cache can be imported */
  bool starts_refused; /* the cloud refuses all starts */
  uint64_t starts_ordered;
  uint64_t stops_ordered;
  double prices[WORLD_ZONES][2]; /* of z1, z2, ...: on demand, reclaimable */
  bool notices_lost; /* notices are lost; the list and health remain */
  world_request_t *requests;
  world_ledger_t *ledgers;
  uint64_t violations; /* invariant violations */
  char first_violation[256];
  bool measures_cpu; /* measure the CPU time of each event */
  FILE *trace;       /* log of the cores' events; NULL for none */
  /* Operator calls. */
  uint64_t next_call;
  uint64_t last_call;
  uint32_t last_status;
  char *last_reply;
} world_t;

/* world.c */

void world_init (world_t *world, uint32_t seed, int entry_capacity);
void world_finish (world_t *world);
double world_random (world_t *world);
uint64_t world_random_below (world_t *world, uint64_t limit);

/* Schedules an event, for `entry` or for none if -1.  The queue owns it. */
world_event_t *world_schedule (world_t *world, uint64_t delay_us,
                               world_handler_t run, int entry);

/* Runs events until `until_us`. */
void world_run_until (world_t *world, uint64_t until_us);

/* Records an invariant violation; the first is kept as text. */
void world_violation (world_t *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

int world_add_entry (world_t *world, const char *name, const char *zone);
int world_find_entry (const world_t *world, const char *name);
void world_kill (world_t *world, int entry);
void world_start (world_t *world, int index);
void world_pause (world_t *world, int entry);
void world_resume (world_t *world, int entry);

/* net.c */

void world_partition (world_t *world, const char *a, const char *b);
void world_heal (world_t *world);

/* True if the two zones are partitioned from each other; "platform" counts as a
 * zone. */
bool world_is_partitioned (const world_t *world, const char *a, const char *b);
void world_net_ports (ca_ports_t *ports);

/* table.c */

void world_table_ports (ca_ports_t *ports);
void world_table_finish (world_t *world);

/* endpoints.c */

int world_add_endpoint (world_t *world, const char *name, const char *zone,
                        const char *pool, bool service);
int world_find_endpoint (const world_t *world, const char *name);
int world_endpoint_at (const world_t *world, const ca_address_t *address);

/* Announces a reclaim and removes the endpoint after the notice. */
void world_reclaim (world_t *world, int index, uint64_t notice_us);
void world_crash (world_t *world, int index);

/* Boots the endpoint again at the same address. */
void world_restart (world_t *world, int index);

/* Stalls all open connections to the endpoint without closing them. */
void world_silence (world_t *world, int index);
void world_endpoint_ports (ca_ports_t *ports);
void world_endpoints_finish (world_t *world);

/* cloud.c */

void world_cloud_ports (ca_ports_t *ports);

/* Delivers the VM list, notices and prices to an entry. */
void world_cloud_poll (world_t *world, int index);

/* callers.c */

/* Writes the text of a token. */
void world_token_text (uint64_t seed, uint32_t index, char text[16]);
uint64_t world_answer_seed (const char *prompt, size_t bytes,
                            const char *version);

world_request_t *world_request (world_t *world, const char *name, int entry,
                                const char *workspace, const char *class_name,
                                const char *key, const char *prompt,
                                uint32_t max_tokens, bool stream);
world_request_t *world_find_request (const world_t *world, const char *name);
void world_caller_ports (ca_ports_t *ports);
world_ledger_t *world_ledger (world_t *world, const char *key);

/* Marks the waiting requests of an entry that ended as lost. */
void world_lose_requests (world_t *world, int entry);

/* Checks at the end of a run that every request has a result. */
void world_check (world_t *world);
void world_callers_finish (world_t *world);

/* Operators. */

/* Plans and confirms an intent through an entry.  Returns true if it is
 * confirmed. */
bool world_configure (world_t *world, int entry, const char *intent);

#endif
