/* State of a rollout at one entry, and the calls from the other files of the
 * gateway. */
#ifndef CA_GATEWAY_ROLLOUT_PRIVATE_H
#define CA_GATEWAY_ROLLOUT_PRIVATE_H

#include "gateway/private.h"
#include "gateway/rollout_evidence.h"

/* Versions of earlier orders that must not serve any more. */
#define CA_ROLLOUT_EXCLUDED_MAX 8

/* Which endpoints an attempt may use, decided before its selection. */
typedef enum
{
  CA_ROLLOUT_SIDE_OLD,    /* all but the target */
  CA_ROLLOUT_SIDE_TARGET, /* the target's */
  CA_ROLLOUT_SIDE_TRIAL   /* the target's that are in good order; at the canary
                             stage, those chosen for it */
} ca_rollout_side_t;

typedef enum
{
  CA_ROLLOUT_FIRST_EVENT, /* of a stream */
  CA_ROLLOUT_ANSWER,      /* complete, and signed by the endpoint */
  CA_ROLLOUT_MALFORMED
} ca_rollout_outcome_t;

/* One incarnation of a peer. */
typedef struct
{
  uint64_t peer;
  uint64_t incarnation;
} ca_rollout_source_key_t;

typedef struct ca_rollout_source
{
  ca_rollout_source_key_t key;
  uint32_t sent; /* of the latest report */
  uint32_t outcomes;
  uint64_t received_us;
  ca_rollout_sums_t sums;
  UT_hash_handle hh;
} ca_rollout_source_t;

struct ca_rollout
{
  char *service;
  char *target;
  uint32_t target_version; /* ca_stream_version */
  uint64_t order;
  uint64_t former_order; /* the same order, before the store was restored */
  uint64_t era;          /* of the store, when the order was learned */
  uint32_t duration_s;
  uint64_t learned_us;
  bool withdrawn;
  uint32_t only_old; /* version that an earlier order completed; 0: any */
  uint32_t excluded[CA_ROLLOUT_EXCLUDED_MAX];
  uint32_t excluded_count;
  /* Stage, as the leader's heartbeats carry it or this entry has set it. */
  ca_rollout_stage_t stage;
  uint32_t share_permille;
  uint64_t stage_heard_us; /* 0: never */
  bool stage_is_own;       /* this entry leads and has set it */
  bool decided_by_row;     /* COMPLETED or REVERTED was read from the store */
  uint64_t decided_us;     /* 0: not decided */
  /* Requests sent by this entry since it learned of the order. */
  uint32_t sent;
  uint32_t sent_target;
  double credit; /* requests that may go to the target by the share in force */
  /* Outcomes of this entry's requests, and of all entries'. */
  ca_rollout_sums_t own;
  ca_rollout_sums_t total;
  ca_rollout_source_t *sources;
  ca_rollout_pace_t paces[CA_ROLLOUT_ROUTES_MAX];
  uint32_t pace_count;
  bool changed; /* `total`, since the verdict */
  ca_rollout_verdict_t verdict;
  ca_rollout_verdict_t late_verdict;
  bool braked; /* as last logged */
  /* Canary endpoints: those of the target that rank at least as high. */
  uint64_t canary_rank_min;
  uint64_t canary_epoch; /* for which they were chosen */
  uint64_t canaries_us;  /* when they were; 0: never */
  ca_rollout_t *next;
};

/* rollout.c */

/* True if requests may be sent to the target for its trial: the order is in
 * force, the target is not convicted, and a leader's stage was heard lately. */
bool ca_rollout_is_exposed (ca_gateway_t *gateway, ca_rollout_t *rollout);

/* True once the known sums convict the target; it stays so. */
bool ca_rollout_is_convicted (ca_rollout_t *rollout);

/* Applies the stage that a leader reports. */
void ca_rollout_hear_stage (ca_gateway_t *gateway, ca_rollout_t *rollout,
                            ca_rollout_stage_t stage, uint32_t share_permille);

/* True if the endpoint has the target version. */
bool ca_rollout_is_target (const ca_rollout_t *rollout,
                           const ca_gateway_endpoint_t *endpoint);

/* True if the endpoint is one of an old version that may serve. */
bool ca_rollout_is_old (const ca_rollout_t *rollout,
                        const ca_gateway_endpoint_t *endpoint);

/* Number of the service's open endpoints of the target, or of the old
 * versions. */
uint32_t ca_rollout_count_open (const ca_gateway_t *gateway,
                                const ca_rollout_t *rollout, bool target);

void ca_rollouts_tick (ca_gateway_t *gateway);
void ca_rollouts_finish (ca_gateway_t *gateway);

/* rollout_requests.c */

/* Decides on the side of the attempt and selects an endpoint there, as
 * ca_select_endpoint does; of the other side, if that is allowed and this one
 * has none. */
ca_selection_t ca_rollout_select (ca_gateway_t *gateway,
                                  ca_exchange_t *exchange);

/* True if the attempt may use the endpoint. */
bool ca_rollout_permits (const ca_gateway_t *gateway,
                         const ca_exchange_t *exchange,
                         const ca_gateway_endpoint_t *endpoint);

/* Count an attempt that is sent to the exchange's endpoint, and its outcome.
 * Attempts without a call of the latter do not count as evidence. */
void ca_rollout_sent (ca_gateway_t *gateway, ca_exchange_t *exchange);
void ca_rollout_outcome (ca_gateway_t *gateway, ca_exchange_t *exchange,
                         ca_rollout_outcome_t outcome);

/* Requests that are open at old endpoints. */
uint32_t ca_rollout_open_old (const ca_gateway_t *gateway,
                              const ca_rollout_t *rollout);

/* rollout_reports.c */

/* Takes the rows of a peer's heartbeat. */
void ca_rollout_merge (ca_gateway_t *gateway, uint64_t peer,
                       uint64_t incarnation, const Camphor__Pulse *heartbeat);

/* Rollouts in a heartbeat. */
#define CA_ROLLOUT_REPORTS_MAX 4

/* Rows of a heartbeat and the storage of their counts. */
typedef struct
{
  Camphor__RolloutReport reports[CA_ROLLOUT_REPORTS_MAX];
  Camphor__RolloutReport *rows[CA_ROLLOUT_REPORTS_MAX];
  Camphor__RolloutCount counts[CA_ROLLOUT_REPORTS_MAX]
                              [2 * CA_ROLLOUT_ROUTES_MAX];
  Camphor__RolloutCount
      *count_rows[CA_ROLLOUT_REPORTS_MAX][2 * CA_ROLLOUT_ROUTES_MAX];
} ca_rollout_message_t;

/* Fills in the rows of this entry's heartbeat. */
void ca_rollout_fill (ca_gateway_t *gateway, ca_rollout_message_t *message,
                      Camphor__Pulse *heartbeat);

#endif
