/* Admission control of one service: while its endpoints are short of capacity,
 * less urgent requests are refused before more urgent ones, and within a
 * priority first those of workspaces that ask for more than an equal share.
 *
 * Does no I/O and reads no clock. */
#ifndef CA_GATEWAY_ADMISSION_H
#define CA_GATEWAY_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Priorities that are distinguished; the least urgent of more count as one. */
#define CA_ADMISSION_RANKS_MAX 8

/* Workspaces whose work is known; with more, those with the least are left
 * out. */
#define CA_ADMISSION_WORKSPACES_MAX 128

/* Workspaces in one report to peers.  With 24 of them, a heartbeat of 4 KB
 * grows by 4 %. */
#define CA_ADMISSION_REPORT_MAX 24

/* Samples of the pressure are limited to this, so that it falls soon after the
 * load has, and values of peers to the second. */
#define CA_ADMISSION_PRESSURE_MAX 1.5
#define CA_ADMISSION_PEER_MAX 2.0

/* Routes of a service with one priority. */
typedef struct
{
  uint32_t priority;
  uint32_t target_min_ms; /* tightest and widest latency objective */
  uint32_t target_max_ms;
} ca_admission_kind_t;

/* The priorities of a service's routes, the most urgent first.  The rank of a
 * request is the index of its kind. */
typedef struct
{
  ca_admission_kind_t kinds[CA_ADMISSION_RANKS_MAX + 1]; /* room to insert */
  uint32_t count;
} ca_admission_rule_t;

void ca_admission_rule_add (ca_admission_rule_t *rule, uint32_t priority,
                            uint32_t target_ms);

/* True if a more urgent kind has an objective so much tighter than a less
 * urgent one that refusal by the own objective would hit it first. */
bool ca_admission_rule_applies (const ca_admission_rule_t *rule);
uint32_t ca_admission_rule_rank (const ca_admission_rule_t *rule,
                                 uint32_t priority);

/* Pressure that a peer reports. */
typedef struct
{
  double pressure;
  uint64_t age_us;
} ca_admission_peer_t;

/* Work that a workspace asks this entry for. */
typedef struct
{
  uint32_t workspace; /* hash of its name */
  uint64_t updated_us;
  double tokens[CA_ADMISSION_RANKS_MAX]; /* decaying sums */
  double scale; /* of the work at all entries to that at this one */
} ca_admission_row_t;

/* Work that a workspace asks peers for. */
typedef struct
{
  uint32_t workspace;
  double tokens_per_s;
} ca_admission_work_t;

/* Requests of one rank, as decaying counts. */
typedef struct
{
  double asked;
  double refused;
  double debt;           /* share of a request that is still to be shed */
  double mix;            /* part of the work at this entry */
  double request_tokens; /* mean of a request */
  double equal_tokens;   /* equal share of a workspace */
  double excess; /* part of the work asked for beyond equal shares; 0 if that is
                    within chance */
} ca_admission_rank_t;

typedef struct
{
  ca_admission_rule_t rule;
  double own; /* pressure seen by this entry, smoothed */
  uint64_t sampled_us;
  uint64_t decayed_us;
  double interval_us; /* mean time between samples */
  double read_us;     /* mean time to read a prompt of the most urgent kind */
  double pressure;    /* in force, of this entry and its peers */
  uint32_t level;
  uint64_t
      above_us; /* the pressure has been above its limit since; 0: is not */
  uint64_t below_us;
  uint64_t changed_us; /* latest change of the level */
  uint64_t ticked_us;
  uint64_t counted_us; /* latest decay of the counts */
  double rejections;   /* by endpoints, decaying */
  ca_admission_rank_t ranks[CA_ADMISSION_RANKS_MAX];
  ca_admission_row_t rows[CA_ADMISSION_WORKSPACES_MAX];
  uint32_t row_count;
  ca_admission_work_t peers[CA_ADMISSION_WORKSPACES_MAX];
  uint32_t peer_count;
} ca_admission_t;

typedef struct
{
  uint32_t rank;
  uint32_t workspace;
  uint32_t tokens;   /* of prompt and output */
  bool has_endpoint; /* one can take it now */
  bool waits;        /* for a permit, which says nothing of the load */
  bool idle;         /* and has no prompt queued */
  uint64_t queue_us; /* time to the first event, without that to read the
                        prompt */
  uint64_t read_us;
} ca_admission_request_t;

typedef enum
{
  CA_ADMISSION_SERVE,
  CA_ADMISSION_LATE, /* the most urgent kind would miss its objective */
  CA_ADMISSION_SHED_PRIORITY,
  CA_ADMISSION_SHED_SHARE /* the workspace asks for more than its share */
} ca_admission_decision_t;

void ca_admission_init (ca_admission_t *admission,
                        const ca_admission_rule_t *rule, uint64_t now_us);

/* Adds a sample of the pressure. */
void ca_admission_sample (ca_admission_t *admission, uint64_t now_us,
                          double pressure);

/* Decides about a request, which adds a sample of the pressure. */
ca_admission_decision_t
ca_admission_decide (ca_admission_t *admission, uint64_t now_us,
                     const ca_admission_request_t *request);

/* True if the most urgent kind would come too late at this endpoint: a less
 * urgent request is not served where a more urgent one would not be. */
bool ca_admission_is_late (const ca_admission_t *admission,
                           const ca_admission_request_t *request);

/* Counts a request that an endpoint had no room for, or that has waited for one
 * in vain. */
void ca_admission_rejected (ca_admission_t *admission, uint64_t now_us);

/* Counts a request that `ca_admission_decide` has let pass and that was refused
 * later. */
void ca_admission_refused (ca_admission_t *admission, uint64_t now_us,
                           uint32_t rank);

/* The pressure in force: the median of this entry's and its peers' values, as
 * far as these are recent; the own one if there are too few for a median that
 * one wrong value does not move. */
double ca_admission_combine (double own, const ca_admission_peer_t *peers,
                             size_t count, uint64_t heartbeat_period_us);

/* Changes the level by the pressure in force.  True if it has changed.  While
 * the pressure calls for no change, the level follows that of most peers if it
 * is higher. */
bool ca_admission_tick (ca_admission_t *admission, uint64_t now_us,
                        double pressure, uint32_t peers_level);

/* Replaces the work that peers report; ends with the shares that follow. */
void ca_admission_begin_peers (ca_admission_t *admission);
void ca_admission_add_peer (ca_admission_t *admission, uint32_t workspace,
                            double tokens_per_s);
void ca_admission_end_peers (ca_admission_t *admission, uint64_t now_us);

/* Fills in the workspaces that ask this entry for most, `max` at most; returns
 * their number. */
size_t ca_admission_report (ca_admission_t *admission, uint64_t now_us,
                            ca_admission_work_t *work, size_t max);

/* Part of a rank's requests that is shed, in quarters; 0 to 4. */
uint32_t ca_admission_quarters (const ca_admission_t *admission, uint32_t rank);

/* Time after which a caller that was refused may return; `random` is in
 * [0, 1). */
uint64_t ca_admission_retry_after_us (const ca_admission_t *admission,
                                      uint32_t rank, uint32_t timeout_ms,
                                      double random);

#endif
