/* Counters and latency histograms, printed in the Prometheus text format. */
#ifndef CA_BASE_COUNTERS_H
#define CA_BASE_COUNTERS_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

typedef enum
{
  CA_COUNT_REQUESTS,
  CA_COUNT_ANSWERED,
  CA_COUNT_REFUSED,
  CA_COUNT_ATTEMPTS,
  CA_COUNT_RETRIES,
  CA_COUNT_RESUMED,
  CA_COUNT_REATTACHED,
  CA_COUNT_MOVED,
  CA_COUNT_ADOPTED,
  CA_COUNT_TOKENS,
  CA_COUNT_RECOMPUTED_TOKENS,
  CA_COUNT_PREFIX_HIT_TOKENS,
  CA_COUNT_LATE_ANSWERS,
  CA_COUNT_GRANTS,
  CA_COUNT_REJECTS,
  CA_COUNT_STORE_READS,
  CA_COUNT_STORE_WRITES,
  CA_COUNT_STORE_FAILURES,
  CA_COUNT_PEER_MESSAGES,
  CA_COUNT_PEER_BYTES,
  CA_COUNT_QUARANTINED,
  CA_COUNT_PROBES,
  CA_COUNT_CRASHES_SUSPECTED,
  CA_COUNT_CRASHES_CONFIRMED,
  CA_COUNT_CRASHES_UNCONFIRMED,
  CA_COUNT_STORE_RESTORES,   /* rises of the store's era */
  CA_COUNT_STORE_BAD_ERAS,   /* answers that were not used for their era */
  CA_COUNT_LIMITED_ATTEMPTS, /* at endpoints that name a limit */
  CA_COUNT_STREAMS_TAKEN_UP, /* by callers, after they had been interrupted */
  CA_COUNT_STREAMS_UNKNOWN,  /* of these, refused: the version is unknown */
  CA_COUNT_STREAM_STORE_WRITES,
  CA_COUNT_STREAM_STORE_READS,
  CA_COUNT_DELEGATED,   /* requests passed on to other entries */
  CA_COUNT_STORE_BYTES, /* of answers to reads of watched tables */
  CA_COUNT_PEER_LINKS_STALLED,
  CA_COUNT_CONFIGS_REQUESTED, /* by this entry from its peers */
  CA_COUNT_CONFIGS_SENT,      /* to peers that requested them */
  CA_COUNT_QUOTA_LOANS,       /* parts of peers' quota that were borrowed */
  CA_COUNT_ROLLOUT_ANSWERS,   /* of versions that are rolled out */
  CA_COUNT_ROLLOUT_BAD_ANSWERS,
  CA_COUNT_ROLLOUT_WRITES,   /* status rows of rollouts, accepted */
  CA_COUNT_ROLLOUT_BAD_ROWS, /* rows that cannot be carried out */
  /* Connections cut, by reason; in the order of client_cut_reasons. */
  CA_COUNT_CLIENTS_CUT_MEMORY,
  CA_COUNT_CLIENTS_CUT_UNREAD,
  CA_COUNT_CLIENTS_CUT_IDLE,
  CA_COUNT_CLIENTS_CUT_BUSY,
  CA_COUNT_CLIENTS_CUT_NO_ROOM,
  CA_COUNT_CLIENTS_CUT_AFTER_END,
  CA_COUNT_ENDPOINT_STARTS, /* whose requests were limited */
  CA_COUNT_ENDPOINTS_PACED, /* selections that left out such an endpoint */
  CA_COUNT_SHED_PRIORITY,   /* requests shed for more urgent ones */
  CA_COUNT_SHED_SHARE,      /* requests shed beyond their workspace's share */
  CA_COUNT_KINDS
} ca_count_t;

typedef enum
{
  CA_LATENCY_FIRST_TOKEN,
  CA_LATENCY_WHOLE_ANSWER,
  CA_LATENCY_QUEUE_WAIT,
  CA_LATENCY_STORE_CALL,
  CA_LATENCY_KINDS
} ca_latency_t;

/* Upper bounds double from 1 ms to about 9 minutes; the last bucket has none.
 */
#define CA_HISTOGRAM_BUCKETS 21

typedef struct
{
  uint64_t buckets[CA_HISTOGRAM_BUCKETS];
  uint64_t sum_us;
  uint64_t count;
} ca_histogram_t;

typedef struct
{
  uint64_t counts[CA_COUNT_KINDS];
  ca_histogram_t latencies[CA_LATENCY_KINDS];
} ca_counters_t;

void ca_counters_init (ca_counters_t *counters);
void ca_counters_add (ca_counters_t *counters, ca_count_t which,
                      uint64_t amount);
void ca_counters_observe (ca_counters_t *counters, ca_latency_t which,
                          uint64_t latency_us);

/* Writes all counters and histograms in the Prometheus text format. */
void ca_counters_print (const ca_counters_t *counters, FILE *out);

#endif
