/* Counter and histogram tables, and their output as metrics. */
#include "base/counters.h"

#include "base/clock.h"

#include <inttypes.h>
#include <string.h>

static const char *const count_names[CA_COUNT_KINDS] = {
  "requests",
  "answered",
  "refused",
  "attempts",
  "retries",
  "resumed",
  "reattached",
  "moved",
  "adopted",
  "tokens",
  "recomputed_tokens",
  "prefix_hit_tokens",
  "late_answers",
  "grants",
  "rejects",
  "store_reads",
  "store_writes",
  "store_failures",
  "peer_messages",
  "peer_bytes",
  "quarantined",
  "probes",
  "crashes_suspected",
  "crashes_confirmed",
  "crashes_unconfirmed",
  "store_restores",
  "store_bad_eras",
  "limited_attempts",
  "streams_taken_up",
  "streams_unknown",
  "stream_store_writes",
  "stream_store_reads",
  "delegated",
  "store_bytes",
  "peer_links_stalled",
  "configs_requested",
  "configs_sent",
  "quota_loans",
  "rollout_answers",
  "rollout_bad_answers",
  "rollout_status_writes",
  "rollout_bad_rows",
  "clients_cut_memory",
  "clients_cut_unread",
  "clients_cut_idle",
  "clients_cut_busy",
  "clients_cut_no_room",
  "clients_cut_after_end",
  "endpoint_starts",
  "endpoints_paced",
  "shed_priority",
  "shed_share",
};

static const char *const latency_names[CA_LATENCY_KINDS]
    = { "first_token", "whole_answer", "queue_wait", "store_call" };

void
ca_counters_init (ca_counters_t *counters)
{
  memset (counters, 0, sizeof *counters);
}

void
ca_counters_add (ca_counters_t *counters, ca_count_t which, uint64_t amount)
{
  counters->counts[which] += amount;
}

void
ca_counters_observe (ca_counters_t *counters, ca_latency_t which,
                     uint64_t latency_us)
{
  ca_histogram_t *histogram = &counters->latencies[which];
  size_t bucket = 0;

  while (bucket + 1 < CA_HISTOGRAM_BUCKETS
         && latency_us > (CA_US_PER_MS << bucket))
    bucket++;
  histogram->buckets[bucket]++;
  histogram->sum_us += latency_us;
  histogram->count++;
}

static void
counters_print_histogram (const ca_histogram_t *histogram, const char *name,
                          FILE *out)
{
  uint64_t cumulative = 0;

  fprintf (out, "# TYPE camphorarch_%s_seconds histogram\n", name);
  for (size_t i = 0; i < CA_HISTOGRAM_BUCKETS; i++)
    {
      cumulative += histogram->buckets[i];
      if (i + 1 == CA_HISTOGRAM_BUCKETS)
        fprintf (out,
                 "camphorarch_%s_seconds_bucket{le=\"+Inf\"} %" PRIu64 "\n",
                 name, cumulative);
      else
        fprintf (out,
                 "camphorarch_%s_seconds_bucket{le=\"%.3f\"} %" PRIu64 "\n",
                 name, (double)(UINT64_C (1) << i) / 1e3, cumulative);
    }
  fprintf (out, "camphorarch_%s_seconds_sum %.6f\n", name,
           (double)histogram->sum_us / 1e6);
  fprintf (out, "camphorarch_%s_seconds_count %" PRIu64 "\n", name,
           histogram->count);
}

void
ca_counters_print (const ca_counters_t *counters, FILE *out)
{
  for (size_t i = 0; i < CA_COUNT_KINDS; i++)
    {
      fprintf (out, "# TYPE camphorarch_%s_total counter\n", count_names[i]);
      fprintf (out, "camphorarch_%s_total %" PRIu64 "\n", count_names[i],
               counters->counts[i]);
    }
  for (size_t i = 0; i < CA_LATENCY_KINDS; i++)
    counters_print_histogram (&counters->latencies[i], latency_names[i], out);
}
