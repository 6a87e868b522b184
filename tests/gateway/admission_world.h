/* Entries with their heartbeats in front of a pool of engines that is too
 * small, in virtual time. */
#ifndef TESTS_GATEWAY_ADMISSION_WORLD_H
#define TESTS_GATEWAY_ADMISSION_WORLD_H

#include "gateway/gateway.h"

#include <sys/queue.h>

#define ENTRIES_MAX 300
#define ENDPOINTS_MAX 120
#define ZONES 4
#define KINDS 3
#define WORKSPACES 16
#define WALL_US UINT64_C (1700000000000000)
#define STEP_US (5 * CA_US_PER_MS)
#define MESSAGE_US (2 * CA_US_PER_MS)
#define LATE_MESSAGE_US (900 * CA_US_PER_MS)
#define LOAD_FROM_US (8 * CA_US_PER_S)
#define FIRST_EVENT_US (15 * CA_US_PER_MS)
#define EVENT_US (15 * CA_US_PER_MS)
#define TOKENS_PER_MS 38.4
#define SLOTS 16
#define REJECT_US (4 * CA_US_PER_MS)

/* Load before and after the overload, as a part of what the pool can serve. */
#define CALM_LOAD 0.5

/* Bounds of the task. */
#define WINDOW_US (2 * CA_US_PER_S)
#define ORDER_SLACK 0.05
#define OTHERS_SLACK 0.05
#define RETURN_US (3 * CA_US_PER_S)
#define HEARTBEAT_US (300 * CA_US_PER_MS)
#define LEVEL_STEP_US (400 * CA_US_PER_MS)

#define BIN_US (100 * CA_US_PER_MS)
#define BINS_MAX 400

typedef struct
{
  uint32_t target_ms;
  uint32_t prompt_tokens;
  uint32_t events;
  double per_s;
} kind_t;

typedef struct
{
  size_t entries;
  uint64_t seed;   /* 0: 7 */
  double overload; /* demand to what the pool can serve */
  uint64_t load_us;
  double flood[KINDS]; /* rate of the first workspace to that of another */
  bool flood_only;     /* the load before and after is that without a flood */
  double lost;         /* part of the messages */
  double late;
  double repeated;
  bool first_cut;    /* the first entry hears nobody and is not heard */
  bool first_lies;   /* it reports ten times its pressure */
  bool some_not_new; /* delegated, or taking up a stream */
} scenario_t;

typedef struct run
{
  ca_exchange_t *exchange;
  size_t entry;
  size_t endpoint;
  size_t kind;
  size_t bin;
  bool rejected;
  bool first_workspace;
  bool streams;
  uint64_t next_us; /* of its next step */
  TAILQ_ENTRY (run) entries;
} run_t;

typedef struct message
{
  uint8_t *packed;
  size_t bytes;
  size_t to;
  uint64_t due_us;
  TAILQ_ENTRY (message) entries;
} message_t;

typedef struct
{
  double asked;
  double served;
  double in_time;
} count_t;

typedef struct
{
  const scenario_t *scenario;
  size_t endpoints;
  ca_gateway_t gateways[ENTRIES_MAX];
  uint64_t free_us[ENDPOINTS_MAX]; /* when the endpoint has read its prompts */
  size_t open[ENDPOINTS_MAX];
  TAILQ_HEAD (, run) runs;
  TAILQ_HEAD (, message) messages;
  uint64_t now_us;
  uint64_t seed;
  uint64_t numbers;
  uint32_t levels[ENTRIES_MAX];
  uint64_t changed_us[ENTRIES_MAX];
  uint64_t shortest_step_us;
  uint64_t returned_us; /* when the last entry's level returned to 0 */
  uint64_t disagree_since_us;
  uint64_t disagree_max_us;
  uint32_t level_max;
  uint32_t first_level_max;
  count_t bins[BINS_MAX][KINDS][2]; /* of the first workspace, of others */
  count_t first_entry[KINDS];
  uint64_t refusals[CA_REFUSE_COUNT];
  uint64_t shed_wrongly; /* sent before, taken up, or without a time */
} world_t;

extern world_t world;

/* Plays a load, then the calm after it. */
void world_run (const scenario_t *scenario);

/* Adds up a kind's requests of a span, of the first workspace (0), the others
 * (1) or all (-1). */
count_t world_sum (uint64_t from_us, uint64_t to_us, size_t kind,
                   int workspace);

/* Part of the requests that was served. */
double world_share (count_t count);

/* Largest amount by which a less urgent kind is served more than a more urgent
 * one, in any window. */
double world_worst_order (void);
void world_print (const char *name);

#endif
