/* What one entry at a time does for all: reports of usage, and the size of
 * services.
 *
 * The duty is held by a lease, one row of the store, written under a condition
 * and timed by the store's steady clock.  Its number rises with each change of
 * holder and goes with each call as a fencing token.  The row also holds the
 * report of usage that is being sent, so that a successor repeats it with the
 * same counts. */
#ifndef CA_GATEWAY_LEADER_H
#define CA_GATEWAY_LEADER_H

#include "gateway/gateway.h"

/* Longest row of the lease. */
#define CA_LEASE_BYTES 8192

typedef enum
{
  CA_CALL_OK,
  CA_CALL_CONFLICT, /* a condition did not hold, or a higher token was seen */
  CA_CALL_REFUSED,  /* nothing was done */
  CA_CALL_UNKNOWN   /* no answer: it may have been or still be carried out */
} ca_call_status_t;

/* One size that is ordered. */
typedef struct
{
  const char *service;
  const char *zone;
  bool reclaimable;
  uint32_t count;
  uint64_t fence;
} ca_scale_order_t;

typedef struct
{
  void *context;
  /* Reads the row; answered by ca_leader_lease_read. */
  void (*read_lease) (void *context);
  /* Writes it if it still has `version` (0: if there is none); answered by
   * ca_leader_lease_written. */
  void (*write_lease) (void *context, uint64_t version, const char *text);
  /* Answered by ca_leader_usage_reported. */
  void (*report_usage) (void *context, uint64_t fence, uint64_t window,
                        const struct ca_usage_rows *counts);
  /* Answered by ca_leader_order_done. */
  void (*order_scale) (void *context, const ca_scale_order_t *order);
} ca_leader_ports_t;

/* Orders of one service in one zone of one kind. */
typedef struct ca_order_row
{
  char *service;
  char *zone;
  bool reclaimable;
  uint32_t ordered;
  bool sent; /* `ordered` was sent by this holder */
  bool busy;
  uint32_t previous;   /* `ordered` before the last order; it stands if that is
                        refused */
  uint64_t ordered_us; /* when `ordered` was last sent */
  bool reclaimed;      /* some were reclaimed since the last order */
  bool is_unmet;       /* the last order is not met */
  uint64_t retry_us;   /* when an order without an answer is repeated */
  uint64_t unconfirmed_until_us; /* until then an earlier order may still take
                                    effect */
  uint64_t unavailable_until_us; /* none to be had until then */
  uint64_t surplus_since_us;     /* since when fewer would do; 0 if not */
  uint32_t last_count;           /* endpoints of that kind at the last look */
  TAILQ_ENTRY (ca_order_row) entries;
} ca_order_row_t;

typedef struct
{
  ca_gateway_t *gateway; /* not owned */
  ca_leader_ports_t ports;
  bool reports; /* which duties the platform asks for */
  bool scales;
  /* Lease. */
  uint64_t started_us; /* this life */
  bool held;
  bool busy;
  bool known;       /* the row was read */
  uint64_t version; /* of the row */
  uint64_t fence;
  uint64_t valid_until_us;  /* end of our lease, on our clock */
  bool given_up;            /* the latest write gives it up */
  uint64_t sent_us;         /* when the call that is out was sent */
  uint64_t next_call_us;    /* next call */
  uint64_t vacant_since_us; /* since when no leader is heard */
  uint64_t attempt_fence;   /* of a write without an answer */
  uint64_t attempt_us;
  uint64_t
      blocked_until_us; /* no attempt before this, after a refusal by token */
  /* Usage. */
  uint64_t window;   /* of `counts`; 0 if none is under way */
  uint64_t reported; /* latest window that is done */
  struct ca_usage_rows counts;
  bool recorded; /* window and counts are in the row */
  bool reporting;
  struct ca_usage_rows
      min_counts;          /* windows' counts by the row that was read */
  bool usage_inherited;    /* they were counted as this entry's own */
  uint64_t next_report_us; /* next try */
  /* Fleet. */
  TAILQ_HEAD (, ca_order_row) orders;
  uint64_t next_plan_us;
  uint64_t first_traffic_us; /* first request seen */
} ca_leader_t;

/* Initialises caller-owned memory. */
void ca_leader_init (ca_leader_t *leader, ca_gateway_t *gateway,
                     const ca_leader_ports_t *ports, bool reports, bool scales);
void ca_leader_finish (ca_leader_t *leader);
void ca_leader_tick (ca_leader_t *leader, uint64_t now_us);

/* `text` is NULL if there is no row; `store_us` is the store's clock. */
void ca_leader_lease_read (ca_leader_t *leader, uint64_t now_us,
                           ca_call_status_t status, uint64_t version,
                           const char *text, uint64_t store_us);
void ca_leader_lease_written (ca_leader_t *leader, uint64_t now_us,
                              ca_call_status_t status, uint64_t version);
void ca_leader_usage_reported (ca_leader_t *leader, uint64_t now_us,
                               uint64_t window, ca_call_status_t status);
void ca_leader_order_done (ca_leader_t *leader, uint64_t now_us,
                           const ca_scale_order_t *order,
                           ca_call_status_t status);

#endif
