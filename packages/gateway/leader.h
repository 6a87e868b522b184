/* The leader: one entry that reports usage and scales services for all entries.
 *
 * The leader holds a lease, one row of the store that is written conditionally
 * and timed by the store's monotonic clock.  The number of the lease rises with
 * each change of holder and is sent with each call as a fencing token.  The row
 * also contains the usage report that is being sent, so that a successor
 * repeats it with the same counts. */
#ifndef CA_GATEWAY_LEADER_H
#define CA_GATEWAY_LEADER_H

#include "gateway/gateway.h"
#include "gateway/rollout.h"

/* Maximum length of the lease row, in bytes. */
#define CA_LEASE_BYTES 8192

typedef enum
{
  CA_CALL_OK,
  CA_CALL_CONFLICT, /* a condition failed, or a higher token was used */
  CA_CALL_REFUSED,  /* nothing was done */
  CA_CALL_UNKNOWN   /* no answer: it may have taken effect or still do */
} ca_call_status_t;

/* An order to scale one kind of a service's endpoints in a zone to `count`. */
typedef struct
{
  const char *service;
  const char *zone;
  bool reclaimable;
  uint32_t count;
  uint64_t fence;
} ca_scale_order_t;

/* Calls to the store and the platform; `context` is passed to each. */
typedef struct
{
  void *context;
  /* Reads the lease row; answered by ca_leader_lease_read. */
  void (*read_lease) (void *context);
  /* Writes the lease row if it still has `version` (0: if there is none);
   * answered by ca_leader_lease_written. */
  void (*write_lease) (void *context, uint64_t version, const char *text);
  /* Reports the counts of a window; answered by ca_leader_usage_reported. */
  void (*report_usage) (void *context, uint64_t fence, uint64_t window,
                        const struct ca_usage_rows *counts);
  /* Sends an order; answered by ca_leader_order_done. */
  void (*order_scale) (void *context, const ca_scale_order_t *order);
  /* Reads the status row of a service's rollout; answered by
   * ca_rollout_status_read.  NULL: rollouts are not led. */
  void (*read_rollout) (void *context, const char *service);
  /* Writes that row if it still has `version` (0: if there is none); answered
   * by ca_rollout_status_written. */
  void (*write_rollout) (void *context, const char *service, uint64_t version,
                         const ca_rollout_status_t *row);
} ca_leader_ports_t;

/* State of the order for one kind of a service's endpoints in a zone. */
typedef struct ca_order_row
{
  char *service;
  char *zone;
  bool reclaimable;
  uint32_t ordered; /* number of endpoints */
  bool sent;        /* `ordered` was sent by this holder */
  bool busy;
  uint32_t previous;   /* `ordered` before the last order; restored if
                          that is refused */
  uint64_t ordered_us; /* when `ordered` was last sent */
  bool reclaimed;      /* some were reclaimed since the last order */
  bool is_unmet;       /* ordered endpoints that should run do not */
  uint64_t retry_us;   /* when an order without an answer is repeated */
  uint64_t unconfirmed_until_us; /* an earlier order may take effect until
                                    then */
  uint64_t unavailable_until_us; /* the platform has none before this */
  uint64_t surplus_since_us;     /* since when fewer suffice; 0 if not */
  uint32_t last_count;           /* endpoints of that kind at the last check */
  bool rollout_ran;              /* of the service, at the last plan */
  TAILQ_ENTRY (ca_order_row) entries;
} ca_order_row_t;

/* The tasks of the leader; every entry has one and competes for the lease. */
typedef struct
{
  ca_gateway_t *gateway; /* not owned */
  ca_leader_ports_t ports;
  bool reports; /* reports usage */
  bool scales;  /* orders endpoints */
  /* Lease. */
  uint64_t started_us; /* of this incarnation */
  bool held;
  bool busy;
  bool known;       /* the row was read */
  bool rewrites;    /* the store lost the row: the holder writes it again */
  uint64_t version; /* of the row */
  uint64_t fence;
  uint64_t valid_until_us;  /* end of the lease, on this machine's clock */
  bool given_up;            /* the latest write releases the lease */
  uint64_t sent_us;         /* when the call in flight was sent */
  uint64_t next_call_us;    /* next call */
  uint64_t vacant_since_us; /* since when no leader is live */
  uint64_t attempt_fence;   /* fencing token of the latest write */
  uint64_t attempt_us;      /* when that write was sent */
  uint64_t attempt_window;  /* the report in it */
  ca_version_history_t attempt_history; /* the versions in it */
  uint64_t blocked_until_us; /* no attempt before this, after a refusal */
  /* Usage. */
  uint64_t window;   /* that is being reported; 0 if none */
  uint64_t reported; /* latest reported window */
  struct ca_usage_rows counts;
  bool recorded; /* `window` and `counts` are in the row */
  bool reporting;
  struct ca_usage_rows min_counts; /* from the row that was read */
  bool usage_inherited;            /* its counts were added to this entry's */
  uint64_t next_report_us;         /* next attempt */
  /* Fleet. */
  TAILQ_HEAD (, ca_order_row) orders;
  uint64_t next_plan_us;
  uint64_t first_traffic_us; /* time of the first request */
  /* Rollouts (rollout_order.c). */
  TAILQ_HEAD (, ca_rollout_task) rollouts;
} ca_leader_t;

/* Initialises caller-owned memory. */
void ca_leader_init (ca_leader_t *leader, ca_gateway_t *gateway,
                     const ca_leader_ports_t *ports, bool reports, bool scales);

/* Frees what the leader owns. */
void ca_leader_finish (ca_leader_t *leader);

/* Renews the lease, and reports usage and orders endpoints while it is held.
 * To be called every CA_GATEWAY_TICK_US. */
void ca_leader_tick (ca_leader_t *leader, uint64_t now_us);

/* The store came back from an older copy, which may lack the latest row. */
void ca_leader_store_restored (ca_leader_t *leader, uint64_t now_us);

/* The answers to the calls.  `text` is NULL if there is no row; `store_us` is
 * the store's clock. */
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
