/* Entries that compete for the leader's lease, in virtual time, against a store
 * row and a cloud in memory. */
#ifndef TESTS_GATEWAY_LEASE_WORLD_H
#define TESTS_GATEWAY_LEASE_WORLD_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "cluster.h"
#include "gateway/leader.h"
#include "gateway/private.h"

#define ENTRIES 3
#define TWO_ENTRIES 2
#define STEP_US CA_GATEWAY_TICK_US
#define WALL_US UINT64_C (1700000000000000)
#define USAGE_WINDOW_S 5
#define ORDERS 64
#define REPORTS_MAX 256
#define TOKENS_MAX 256

typedef struct
{
  char service[32];
  char zone[32];
  bool reclaimable;
  uint32_t count;
  uint64_t at_us;
} order_t;

typedef struct
{
  ca_gateway_t gateway;
  ca_leader_t leader;
  bool alive;
  bool frozen;
  bool cut_off;          /* from its peers, not from the store */
  bool no_store;         /* the store does not answer it */
  uint64_t write_due_us; /* when its write takes effect; 0: none is open */
  uint64_t write_version;
  char write_text[CA_LEASE_BYTES];
} entry_t;

typedef struct
{
  entry_t entries[ENTRIES];
  uint64_t now_us;
  /* The lease row in the store. */
  char row[CA_LEASE_BYTES];
  uint64_t version; /* 0: there is no row */
  uint64_t era;     /* 0: the store names none */
  char row_copy[CA_LEASE_BYTES];
  uint64_t version_copy;
  bool rows_lack_era;        /* entries of an older build write them */
  uint64_t write_delay_us;   /* until a write takes effect and is answered */
  int write_answers_to_lose; /* writes that are done but not answered */
  /* The cloud. */
  uint64_t usage_fence;
  uint64_t windows[REPORTS_MAX]; /* one per report */
  uint32_t counts[REPORTS_MAX];
  size_t reports;
  bool counts_differ;           /* a window was reported with two different
                                    counts */
  bool reclaimable_unavailable; /* orders for them are refused */
  order_t orders[ORDERS];
  size_t order_count;
  uint64_t tokens[TOKENS_MAX]; /* that were used */
  size_t holders[TOKENS_MAX];  /* the entry that used each first */
  size_t token_count;
  bool fence_reused;
  bool two_leaders; /* two entries held a valid lease at one time */
} world_t;

extern world_t world;

/* Starts the world with entries 0 to `entries` - 1. */
void world_start (size_t entries);
void world_run (uint64_t ms);

/* Runs with a request at each entry every 100 ms, so that windows differ. */
void world_run_with_usage (uint64_t ms);

/* Ends the world; fails if a leader's rule was broken. */
void world_end (void);

void entry_start (size_t index);
void entry_end (size_t index);

/* Ends all cuts. */
void store_reach_all (void);

/* Keeps a copy of the lease row, and returns to it: the era rises, and live
 * entries learn it. */
void store_copy (void);
void store_restore (void);

/* The entry that leads; ENTRIES if none does. */
size_t leader (void);

/* Number of the usage window that contains the present. */
uint64_t current_window (void);
bool is_reported (uint64_t window);

/* Count of the latest report of a window; 0 if there is none. */
uint32_t reported_count (uint64_t window);

#endif
