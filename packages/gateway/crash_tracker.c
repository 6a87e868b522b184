/* Detects requests, and parts of prompts, that crash the endpoints that run
 * them.
 *
 * An interrupted run counts as a crash only once the endpoint is also found
 * to be unreachable, or listed with a new start, since a lost response alone
 * proves nothing.  The entry tries a connection for that, as its other requests
 * may go elsewhere.
 *
 * All entries hold the same set of crashes by fingerprint, merged from
 * heartbeats, so that none is lost with the entry that saw it and none counts
 * twice.  A completed run refutes the crashes before it and shortly after it: a
 * request that merely ran where endpoints crashed for another reason completes
 * elsewhere.  The crashes of prompt parts are kept in the same way;
 * crash_parts.c decides what they show. */
#include "gateway/private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <xxhash.h>

/* Crash records expire after this, which is longer than callers keep
 * repeating a crashing request. */
#define CRASH_RETENTION_US (120 * CA_US_PER_S)

/* The same for a blocked prompt part: it is in ever new requests. */
#define CRASH_PART_RETENTION_US (600 * CA_US_PER_S)

/* Maximum number of records; beyond it, the oldest with one crash is dropped.
 */
#define CRASH_RECORDS_MAX 4096

/* An endpoint found unreachable this soon after an interrupted run is taken
 * to have crashed during it. */
#define CRASH_CONFIRM_US (1500 * CA_US_PER_MS)

/* The same for an endpoint that is listed with a new start: it may be back
 * before the connection is tried.  Its record takes a moment to arrive. */
#define CRASH_LISTED_US (5 * CA_US_PER_S)

/* Runs at so many endpoints that are interrupted within this time may be due to
 * this entry's links; they count as crashes once another endpoint of the
 * service has sent something, or after this time. */
#define CRASH_AT_ONCE_MIN 3
#define CRASH_AT_ONCE_US (50 * CA_US_PER_MS)
#define CRASH_BLAME_US (700 * CA_US_PER_MS)

/* A process that has ended is back after this at the earliest.  A run that was
 * sent sooner reached it as it ended, or something in front of it that still
 * accepted connections. */
#define CRASH_RESTART_MIN_US (1 * CA_US_PER_S)

/* Delay of the connection that is tried after an interrupted run.  A process
 * that ends may close its connections before it stops listening. */
#define CRASH_CHECK_DELAY_US (100 * CA_US_PER_MS)

/* A completed run refutes crashes up to this long after it.  A wave of crashes
 * may end all runs of a frequent request at once. */
#define CRASH_REFUTED_US (10 * CA_US_PER_S)

/* The same for prompt parts.  Other requests with a sound part go on to
 * complete, and a part may stop being sound. */
#define CRASH_PART_REFUTED_US (2 * CA_US_PER_S)

/* Records are reported for this long after a change, and for this many
 * heartbeats at least; those that block requests for as long as they exist. */
#define CRASH_REPORT_US (5 * CA_US_PER_S)
#define CRASH_REPORT_HEARTBEATS 3

/* A reported time of a completed run that is less than this later than the
 * known one is the same: each report adds the delay of a message. */
#define CRASH_REPORT_DELAY_US (250 * CA_US_PER_MS)

static ca_crash_record_t *
crash_tracker_find (const ca_gateway_t *gateway, uint64_t fingerprint)
{
  ca_crash_record_t *record = NULL;

  HASH_FIND (hh, gateway->crash_records, &fingerprint, sizeof fingerprint,
             record);
  return record;
}

static bool
crash_tracker_is_blocked (const ca_gateway_t *gateway, uint64_t fingerprint)
{
  const ca_crash_record_t *record = crash_tracker_find (gateway, fingerprint);

  return record != NULL && record->blocked;
}

/* Fingerprint of the k-th part of a prompt. */
static uint64_t
crash_tracker_part (const ca_prompt_t *prompt, uint32_t k)
{
  return prompt->parts[k].id ^ CA_PART_FINGERPRINT_MASK;
}

ca_gateway_refusal_t
ca_crash_tracker_check (const ca_gateway_t *gateway,
                        const ca_exchange_t *exchange)
{
  uint32_t parts = gateway->blocked_parts == 0
                       ? 0
                       : ca_prompt_shared_parts (&exchange->prompt);

  if (crash_tracker_is_blocked (gateway, exchange->fingerprint))
    return CA_REFUSE_QUARANTINED;
  for (uint32_t i = 0; i < parts; i++)
    {
      if (crash_tracker_is_blocked (gateway,
                                    crash_tracker_part (&exchange->prompt, i)))
        return CA_REFUSE_QUARANTINED_PART;
    }
  return CA_REFUSE_COUNT;
}

static void
crash_tracker_remove (ca_gateway_t *gateway, ca_crash_record_t *record)
{
  if (record->is_part)
    gateway->part_crashes_changed = true;
  HASH_DEL (gateway->crash_records, record);
  free (record);
}

/* Makes room for one more record. */
static void
crash_tracker_limit (ca_gateway_t *gateway)
{
  ca_crash_record_t *record = gateway->crash_records;

  if (HASH_COUNT (gateway->crash_records) < CRASH_RECORDS_MAX)
    return;
  while (record->count > 1 && record->hh.next != NULL)
    record = record->hh.next;
  crash_tracker_remove (gateway, record);
}

/* Returns the record of a fingerprint, created on first use. */
static ca_crash_record_t *
crash_tracker_record (ca_gateway_t *gateway, uint64_t fingerprint, bool is_part)
{
  ca_crash_record_t *record = crash_tracker_find (gateway, fingerprint);

  if (record != NULL)
    return record;
  crash_tracker_limit (gateway);
  record = calloc (1, sizeof *record);
  record->fingerprint = fingerprint;
  record->is_part = is_part;
  HASH_ADD (hh, gateway->crash_records, fingerprint, sizeof record->fingerprint,
            record);
  return record;
}

/* True if a completed run refutes a crash at this time. */
static bool
crash_tracker_is_refuted (const ca_crash_record_t *record, uint64_t at_us)
{
  return record->completed_us != 0
         && at_us <= record->completed_us
                         + (record->is_part ? CRASH_PART_REFUTED_US
                                            : CRASH_REFUTED_US);
}

/* Applies the time of a completed run and removes the crashes that it refutes.
 */
static void
crash_tracker_clear (ca_gateway_t *gateway, ca_crash_record_t *record,
                     uint64_t completed_us)
{
  uint32_t kept = 0;

  if (completed_us <= record->completed_us)
    return;
  record->completed_us = completed_us;
  if (completed_us > record->latest_us)
    record->latest_us = completed_us;
  for (uint32_t i = 0; i < record->count; i++)
    {
      if (!crash_tracker_is_refuted (record, record->crashes[i].at_us))
        record->crashes[kept++] = record->crashes[i];
    }
  if (kept == record->count)
    return;
  if (record->is_part)
    gateway->part_crashes_changed = true;
  else
    {
      ca_gateway_log (gateway, CA_EVENT_CRASHES_CLEARED, NULL, NULL,
                      "fingerprint %016" PRIx64 ": %u endpoints of %u",
                      record->fingerprint, record->count - kept, record->count);
      record->blocked = false;
    }
  record->changed_us = gateway->now_us;
  record->count = kept;
  if (record->own_count > kept)
    record->own_count = kept;
}

/* Slot of a fingerprint, which another one may occupy. */
static ca_completed_run_t *
crash_tracker_completed_run (ca_gateway_t *gateway, uint64_t fingerprint,
                             bool is_part)
{
  return is_part ? &gateway->completed_parts[fingerprint % CA_COMPLETED_RUNS]
                 : &gateway->completed_runs[fingerprint % CA_COMPLETED_RUNS];
}

static void
crash_tracker_note_completed (ca_gateway_t *gateway, uint64_t fingerprint,
                              bool is_part)
{
  ca_crash_record_t *record = crash_tracker_find (gateway, fingerprint);
  ca_completed_run_t *run
      = crash_tracker_completed_run (gateway, fingerprint, is_part);

  run->fingerprint = fingerprint;
  run->at_us = gateway->now_us;
  if (record != NULL)
    crash_tracker_clear (gateway, record, gateway->now_us);
}

void
ca_crash_tracker_completed (ca_gateway_t *gateway,
                            const ca_exchange_t *exchange)
{
  crash_tracker_note_completed (gateway, exchange->fingerprint, false);
  for (uint32_t i = 0; i < ca_prompt_shared_parts (&exchange->prompt); i++)
    crash_tracker_note_completed (
        gateway, crash_tracker_part (&exchange->prompt, i), true);
}

static ca_endpoint_crash_t *
crash_tracker_find_crash (ca_crash_record_t *record, uint64_t process)
{
  for (uint32_t i = 0; i < record->count; i++)
    {
      if (record->crashes[i].process == process)
        return &record->crashes[i];
    }
  return NULL;
}

/* Adds a crash unless it is known, or a run has completed since.  True if it is
 * new. */
static bool
crash_tracker_add (ca_gateway_t *gateway, ca_crash_record_t *record,
                   uint64_t process, uint64_t at_us)
{
  const ca_completed_run_t *run = crash_tracker_completed_run (
      gateway, record->fingerprint, record->is_part);
  ca_endpoint_crash_t *crash;

  if (run->fingerprint == record->fingerprint)
    crash_tracker_clear (gateway, record, run->at_us);
  if (crash_tracker_is_refuted (record, at_us))
    {
      /* The reporter does not know of the completed run. */
      record->changed_us = gateway->now_us;
      if (at_us > record->latest_us)
        record->latest_us = at_us;
      return false;
    }
  crash = crash_tracker_find_crash (record, process);
  if (crash != NULL)
    {
      if (at_us < crash->at_us)
        crash->at_us = at_us;
      return false;
    }
  if (record->count == (record->is_part ? CA_PART_CRASHES_MAX : CA_CRASHES_MAX))
    return false;
  record->crashes[record->count++]
      = (ca_endpoint_crash_t){ .process = process, .at_us = at_us };
  if (at_us > record->latest_us)
    record->latest_us = at_us;
  if (record->is_part)
    gateway->part_crashes_changed = true;
  else if (record->count == CA_CRASHES_MAX)
    {
      record->blocked = true;
      ca_gateway_log (gateway, CA_EVENT_REQUEST_QUARANTINED, NULL, NULL,
                      "fingerprint %016" PRIx64
                      " blocked after it crashed %u endpoints",
                      record->fingerprint, record->count);
    }
  return true;
}

/* Hash of the process that a run was sent to.  It is that of the instance, or
 * a later one if the instance had crashed before: an endpoint may serve again
 * before its new start is listed.  All entries that know of the earlier crash
 * get the same hash. */
static uint64_t
crash_tracker_process (ca_crash_record_t *record,
                       const ca_suspected_crash_t *suspect)
{
  uint64_t process = ca_gateway_endpoint_instance (suspect->endpoint);
  const ca_endpoint_crash_t *crash;

  while ((crash = crash_tracker_find_crash (record, process)) != NULL
         && crash->at_us + CRASH_RESTART_MIN_US < suspect->sent_us)
    process = XXH3_64bits (&process, sizeof process);
  return process;
}

/* Counts a crash of an endpoint that this entry has seen.  Returns the record
 * if the crash is new, else NULL. */
static const ca_crash_record_t *
crash_tracker_count_one (ca_gateway_t *gateway,
                         const ca_suspected_crash_t *suspect,
                         uint64_t fingerprint, bool is_part)
{
  ca_crash_record_t *record
      = crash_tracker_record (gateway, fingerprint, is_part);

  if (!crash_tracker_add (gateway, record,
                          crash_tracker_process (record, suspect),
                          suspect->at_us))
    return NULL;
  record->own_count++;
  record->changed_us = gateway->now_us;
  return record;
}

/* Counts a crash for the request that ran there and for the parts of its
 * prompt. */
static void
crash_tracker_count (ca_gateway_t *gateway, const ca_suspected_crash_t *suspect)
{
  const ca_crash_record_t *record
      = crash_tracker_count_one (gateway, suspect, suspect->fingerprint, false);
  char parts[CA_PROMPT_TEXT_BYTES];

  ca_counters_add (&gateway->counters, CA_COUNT_CRASHES_CONFIRMED, 1);
  if (record != NULL)
    {
      ca_prompt_print_shared (&suspect->prompt, parts);
      ca_gateway_log (
          gateway, CA_EVENT_CRASH_COUNTED, NULL, suspect->endpoint->id,
          "fingerprint %016" PRIx64
          ": %u endpoints, %u of them seen by this entry, shared "
          "prompt parts %s",
          suspect->fingerprint, record->count, record->own_count, parts);
    }
  /* May drop older records. */
  for (uint32_t i = 0; i < ca_prompt_shared_parts (&suspect->prompt); i++)
    crash_tracker_count_one (gateway, suspect,
                             crash_tracker_part (&suspect->prompt, i), true);
}

/* Drops a suspected crash and its reference to the endpoint. */
static void
crash_tracker_drop (ca_gateway_t *gateway, ca_suspected_crash_t *suspect)
{
  TAILQ_REMOVE (&gateway->suspected_crashes, suspect, entries);
  ca_gateway_endpoint_release (&gateway->registry, suspect->endpoint);
  free (suspect);
}

void
ca_crash_tracker_suspect (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                          bool silent)
{
  ca_suspected_crash_t *suspect = calloc (1, sizeof *suspect);

  suspect->fingerprint = exchange->fingerprint;
  suspect->prompt = exchange->prompt;
  suspect->endpoint = exchange->endpoint;
  suspect->sent_us = exchange->sent_us;
  suspect->silent = silent;
  suspect->at_us = gateway->now_us;
  suspect->check_us = gateway->now_us + CRASH_CHECK_DELAY_US;
  ca_gateway_endpoint_acquire (suspect->endpoint);
  TAILQ_INSERT_TAIL (&gateway->suspected_crashes, suspect, entries);
  ca_counters_add (&gateway->counters, CA_COUNT_CRASHES_SUSPECTED, 1);
}

/* Counts a suspected crash, which is then dropped. */
static void
crash_tracker_confirm (ca_gateway_t *gateway, ca_suspected_crash_t *suspect)
{
  crash_tracker_count (gateway, suspect);
  crash_tracker_drop (gateway, suspect);
}

/* True if runs at several endpoints of the service were interrupted together
 * with the suspect's, or if it was not interrupted but silent: it may be this
 * entry that is cut off. */
static bool
crash_tracker_is_ambiguous (const ca_gateway_t *gateway,
                            const ca_suspected_crash_t *suspect)
{
  const ca_gateway_endpoint_t *others[CRASH_AT_ONCE_MIN];
  const ca_suspected_crash_t *other;
  size_t count = 0;

  TAILQ_FOREACH (other, &gateway->suspected_crashes, entries)
  {
    uint64_t apart_us = other->at_us > suspect->at_us
                            ? other->at_us - suspect->at_us
                            : suspect->at_us - other->at_us;
    size_t i = 0;

    while (i < count && others[i] != other->endpoint)
      i++;
    if (i == count && count < CRASH_AT_ONCE_MIN && apart_us <= CRASH_AT_ONCE_US
        && strcmp (other->endpoint->service, suspect->endpoint->service) == 0)
      others[count++] = other->endpoint;
  }
  return suspect->silent || count == CRASH_AT_ONCE_MIN;
}

/* True if the endpoint is to blame for the suspected crash, as far as is known
 * now. */
static bool
crash_tracker_blames_endpoint (ca_gateway_t *gateway,
                               const ca_suspected_crash_t *suspect)
{
  return !crash_tracker_is_ambiguous (gateway, suspect)
         || ca_reach_blames_endpoint (gateway, suspect->endpoint,
                                      suspect->at_us)
         || gateway->now_us - suspect->at_us >= CRASH_BLAME_US;
}

void
ca_crash_tracker_unreachable (ca_gateway_t *gateway,
                              const ca_gateway_endpoint_t *endpoint)
{
  ca_suspected_crash_t *suspect = TAILQ_FIRST (&gateway->suspected_crashes);

  while (suspect != NULL)
    {
      ca_suspected_crash_t *next = TAILQ_NEXT (suspect, entries);

      if (suspect->endpoint == endpoint
          && gateway->now_us - suspect->at_us <= CRASH_CONFIRM_US)
        {
          if (crash_tracker_blames_endpoint (gateway, suspect))
            crash_tracker_confirm (gateway, suspect);
          else
            suspect->unreachable = true;
        }
      suspect = next;
    }
}

void
ca_crash_tracker_replaced (ca_gateway_t *gateway,
                           const ca_gateway_endpoint_t *endpoint,
                           uint64_t started_ms)
{
  ca_suspected_crash_t *suspect = TAILQ_FIRST (&gateway->suspected_crashes);

  while (suspect != NULL)
    {
      ca_suspected_crash_t *next = TAILQ_NEXT (suspect, entries);

      if (suspect->endpoint == endpoint
          && ca_gateway_is_before (gateway, suspect->sent_us, started_ms))
        crash_tracker_confirm (gateway, suspect);
      suspect = next;
    }
}

void
ca_crash_tracker_forgive (ca_gateway_t *gateway, const char *service)
{
  ca_suspected_crash_t *suspect;
  ca_suspected_crash_t *next;

  TAILQ_FOREACH (suspect, &gateway->suspected_crashes, entries)
  suspect->forgiven = strcmp (suspect->endpoint->service, service) == 0
                      && crash_tracker_is_ambiguous (gateway, suspect);
  for (suspect = TAILQ_FIRST (&gateway->suspected_crashes); suspect != NULL;
       suspect = next)
    {
      next = TAILQ_NEXT (suspect, entries);
      if (suspect->forgiven)
        crash_tracker_drop (gateway, suspect);
    }
}

/* Tries one connection to the endpoint for all runs interrupted there. */
static void
crash_tracker_check (ca_gateway_t *gateway, ca_suspected_crash_t *suspect)
{
  ca_gateway_endpoint_t *endpoint = suspect->endpoint;

  for (; suspect != NULL; suspect = TAILQ_NEXT (suspect, entries))
    {
      if (suspect->endpoint == endpoint)
        suspect->check_us = UINT64_MAX;
    }
  ca_counters_add (&gateway->counters, CA_COUNT_PROBES, 1);
  gateway->ports.check_endpoint (gateway->ports.context, endpoint);
}

void
ca_gateway_endpoint_checked (ca_gateway_t *gateway, uint64_t now_us,
                             uint64_t instance, bool reachable)
{
  ca_suspected_crash_t *suspect;
  ca_gateway_endpoint_t *listed
      = ca_registry_find_instance (&gateway->registry, instance);

  gateway->now_us = now_us;
  if (listed != NULL)
    ca_reach_probed (gateway, listed, reachable);
  if (reachable)
    return;
  TAILQ_FOREACH (suspect, &gateway->suspected_crashes, entries)
  {
    ca_gateway_endpoint_t *endpoint = suspect->endpoint;

    if (ca_gateway_endpoint_instance (endpoint) != instance)
      continue;
    ca_gateway_endpoint_failed (endpoint, now_us, true);
    ca_crash_tracker_unreachable (gateway, endpoint);
    return;
  }
}

/* True if heartbeats are to carry the record. */
static bool
crash_tracker_is_reported (const ca_gateway_t *gateway,
                           const ca_crash_record_t *record)
{
  uint64_t span_us = CRASH_REPORT_HEARTBEATS * gateway->heartbeat_period_us;

  if (span_us < CRASH_REPORT_US)
    span_us = CRASH_REPORT_US;
  return record->blocked
         || (record->changed_us != 0
             && gateway->now_us - record->changed_us < span_us);
}

static uint32_t
crash_tracker_age_ms (const ca_gateway_t *gateway, uint64_t at_us)
{
  return (uint32_t)((gateway->now_us - at_us) / CA_US_PER_MS);
}

/* The local time of what a peer reports with this age.  The local clock starts
 * with the machine and may be younger; 0 stands for no time. */
static uint64_t
crash_tracker_time_us (const ca_gateway_t *gateway, uint32_t age_ms)
{
  uint64_t age_us = age_ms * CA_US_PER_MS;

  return gateway->now_us > age_us ? gateway->now_us - age_us : 1;
}

static void
crash_tracker_fill_row (const ca_gateway_t *gateway,
                        const ca_crash_record_t *record, ca_crash_row_t *row)
{
  camphor__strike__init (&row->row);
  row->row.fingerprint = record->fingerprint;
  row->row.is_part = record->is_part;
  row->row.count = record->own_count;
  row->row.instances = row->instances;
  row->row.n_instances = record->count;
  row->row.ages_ms = row->ages_ms;
  row->row.n_ages_ms = record->count;
  for (uint32_t i = 0; i < record->count; i++)
    {
      row->instances[i] = record->crashes[i].process;
      row->ages_ms[i]
          = crash_tracker_age_ms (gateway, record->crashes[i].at_us);
    }
  row->row.completed = record->completed_us != 0;
  if (row->row.completed)
    row->row.completed_age_ms
        = crash_tracker_age_ms (gateway, record->completed_us);
}

static int
crash_tracker_compare_latest (const void *a, const void *b)
{
  const ca_crash_record_t *const *left = a;
  const ca_crash_record_t *const *right = b;

  return ((*left)->changed_us < (*right)->changed_us)
         - ((*left)->changed_us > (*right)->changed_us);
}

size_t
ca_crash_tracker_report (const ca_gateway_t *gateway, ca_crash_row_t *rows,
                         size_t max)
{
  const ca_crash_record_t *reported[CRASH_RECORDS_MAX];
  const ca_crash_record_t *record;
  size_t latest = max / 2;
  size_t count = 0;
  size_t skip;

  for (record = gateway->crash_records; record != NULL;
       record = record->hh.next)
    {
      if (crash_tracker_is_reported (gateway, record))
        reported[count++] = record;
    }
  if (count <= max)
    {
      for (size_t i = 0; i < count; i++)
        crash_tracker_fill_row (gateway, reported[i], &rows[i]);
      return count;
    }
  /* Half of the rows are for the latest changes; all other records take turns
   * with the rest. */
  qsort (reported, count, sizeof reported[0], crash_tracker_compare_latest);
  skip = gateway->rounds * (max - latest);
  for (size_t i = 0; i < max; i++)
    {
      size_t index
          = i < latest ? i : latest + (skip + i - latest) % (count - latest);

      crash_tracker_fill_row (gateway, reported[index], &rows[i]);
    }
  return max;
}

void
ca_crash_tracker_report_again (ca_gateway_t *gateway)
{
  ca_crash_record_t *record;

  for (record = gateway->crash_records; record != NULL;
       record = record->hh.next)
    {
      if (record->own_count > 0 || record->count > 1)
        record->changed_us = gateway->now_us;
    }
}

static void
crash_tracker_merge_completed (ca_gateway_t *gateway, ca_crash_record_t *record,
                               uint64_t completed_us)
{
  if (completed_us > record->completed_us + CRASH_REPORT_DELAY_US)
    crash_tracker_clear (gateway, record, completed_us);
}

/* Merges a row of an older version, which has a count but no instances. */
static void
crash_tracker_merge_count (ca_gateway_t *gateway, uint64_t peer,
                           ca_crash_record_t *record, uint32_t count)
{
  for (uint32_t i = 0; i < count && i < CA_CRASHES_MAX; i++)
    crash_tracker_add (gateway, record,
                       XXH3_64bits_withSeed (&peer, sizeof peer, i),
                       gateway->now_us);
}

void
ca_crash_tracker_merge (ca_gateway_t *gateway, uint64_t peer,
                        const Camphor__Pulse *heartbeat)
{
  for (size_t i = 0; i < heartbeat->n_strikes; i++)
    {
      const Camphor__Strike *row = heartbeat->strikes[i];
      ca_crash_record_t *record
          = crash_tracker_record (gateway, row->fingerprint, row->is_part);

      if (row->completed)
        crash_tracker_merge_completed (
            gateway, record,
            crash_tracker_time_us (gateway, row->completed_age_ms));
      for (size_t k = 0; k < row->n_instances && k < row->n_ages_ms; k++)
        {
          /* Several crashes are passed on, in case their witness ends. */
          if (crash_tracker_add (
                  gateway, record, row->instances[k],
                  crash_tracker_time_us (gateway, row->ages_ms[k]))
              && record->count > 1)
            record->changed_us = gateway->now_us;
        }
      if (row->n_instances == 0 && !row->completed && !row->is_part)
        crash_tracker_merge_count (gateway, peer, record, row->count);
    }
}

/* Counts the suspected crashes at endpoints that were found unreachable, once
 * it is clear that this entry is not cut off. */
static void
crash_tracker_confirm_unreachable (ca_gateway_t *gateway)
{
  ca_suspected_crash_t *suspect;
  ca_suspected_crash_t *next;

  for (suspect = TAILQ_FIRST (&gateway->suspected_crashes); suspect != NULL;
       suspect = next)
    {
      next = TAILQ_NEXT (suspect, entries);
      if (suspect->unreachable
          && crash_tracker_blames_endpoint (gateway, suspect))
        crash_tracker_confirm (gateway, suspect);
    }
}

void
ca_crash_tracker_tick (ca_gateway_t *gateway)
{
  ca_suspected_crash_t *suspect;
  ca_crash_record_t *record;
  ca_crash_record_t *next;

  while ((suspect = TAILQ_FIRST (&gateway->suspected_crashes)) != NULL
         && gateway->now_us - suspect->at_us > CRASH_LISTED_US)
    {
      ca_counters_add (&gateway->counters, CA_COUNT_CRASHES_UNCONFIRMED, 1);
      ca_gateway_log (
          gateway, CA_EVENT_CRASH_UNCONFIRMED, NULL, suspect->endpoint->id,
          "fingerprint %016" PRIx64
          ": reachable, and no new start listed within %" PRIu64 " ms",
          suspect->fingerprint,
          (gateway->now_us - suspect->at_us) / CA_US_PER_MS);
      crash_tracker_drop (gateway, suspect);
    }
  TAILQ_FOREACH (suspect, &gateway->suspected_crashes, entries)
  {
    if (gateway->now_us >= suspect->check_us)
      crash_tracker_check (gateway, suspect);
  }
  crash_tracker_confirm_unreachable (gateway);
  HASH_ITER (hh, gateway->crash_records, record, next)
  {
    if (gateway->now_us - record->latest_us
        > (record->is_part && record->blocked ? CRASH_PART_RETENTION_US
                                              : CRASH_RETENTION_US))
      crash_tracker_remove (gateway, record);
  }
  ca_crash_parts_decide (gateway);
}

void
ca_crash_tracker_finish (ca_gateway_t *gateway)
{
  ca_crash_record_t *record;
  ca_crash_record_t *next;

  while (!TAILQ_EMPTY (&gateway->suspected_crashes))
    crash_tracker_drop (gateway, TAILQ_FIRST (&gateway->suspected_crashes));
  HASH_ITER (hh, gateway->crash_records, record, next)
  crash_tracker_remove (gateway, record);
}
