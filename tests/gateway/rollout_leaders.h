/* Entries that lead rollouts in turn or at once, in virtual time, against the
 * status row of one service in a store in memory.
 *
 * The entries' part (rollout.c) is replaced: each entry has one rollout, whose
 * stage the others hear at once unless they are cut off. */
#ifndef TESTS_GATEWAY_ROLLOUT_LEADERS_H
#define TESTS_GATEWAY_ROLLOUT_LEADERS_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "cluster.h"
#include "gateway/leader_private.h"
#include "gateway/rollout_order.h"

#define NONE CA_ROLLOUT_UNDECIDED
#define GOOD CA_ROLLOUT_GOOD
#define BAD CA_ROLLOUT_BAD
#define UNKNOWN CA_ROLLOUT_STAGE_UNKNOWN
#define CANARY CA_ROLLOUT_CANARY
#define SHIFT CA_ROLLOUT_SHIFT
#define DRAIN CA_ROLLOUT_DRAIN
#define COMPLETED CA_ROLLOUT_COMPLETED
#define REVERTED CA_ROLLOUT_REVERTED

#define ENTRIES 3
#define STEP_US CA_GATEWAY_TICK_US
#define START_US (1000 * CA_US_PER_S)
#define DURATION_S 12
#define SERVICE "s"
#define WRITES_MAX 64

/* How the store carries out a write, or a read. */
typedef enum
{
  STORE_OK,
  STORE_LOSES_ANSWER, /* carried out, not answered */
  STORE_APPLIES_LATE, /* not answered, carried out 2 s later */
  STORE_DOWN          /* refused */
} store_mode_t;

struct ca_rollout
{
  ca_rollout_progress_t progress;
  bool exists;
};

typedef struct
{
  ca_gateway_t gateway;
  ca_leader_t leader;
  struct ca_rollout rollout;
  bool cut_off; /* hears no stage of the others */
  uint32_t stages_set;
  uint32_t status_rows;
  ca_rollout_stage_t status_stage; /* of the latest row handed over */
} entry_t;

/* A row of the store, or a write that is on its way. */
typedef struct
{
  bool exists;
  uint64_t version;
  ca_rollout_status_t status;
  char target[16];
} row_t;

typedef struct
{
  size_t entry;
  bool is_write;
  bool answers;
  uint64_t due_us;
  uint64_t expected;
  row_t row;
} call_t;

typedef struct
{
  uint64_t now_us;
  entry_t entries[ENTRIES];
  row_t row;
  uint64_t version; /* of the store */
  uint64_t era;
  store_mode_t mode;
  uint64_t delay_us; /* until a call takes effect */
  call_t calls[WRITES_MAX];
  size_t call_count;
  uint32_t writes; /* that were carried out */
  uint32_t conflicts;
  bool outcome_changed; /* the row of one order went from one to the other */
} rollout_leaders_t;

extern rollout_leaders_t world;

/* An order for 6 target endpoints beside 6 old ones. */
void order_put (uint64_t order, const char *target);

/* Starts all entries, of which none leads, and gives an order. */
void world_start (void);

/* Gives an entry the lease under a fencing token, and takes it away. */
void lead (size_t index, uint64_t fence);
void lead_no_more (size_t index);
void world_run (uint64_t ms);
void world_end (void);

/* Set what all entries know. */
void set_verdict (ca_rollout_verdict_t verdict);
void set_open_old (uint32_t open);
void set_era (uint64_t era);
const ca_rollout_progress_t *progress_of (size_t index);

#endif
