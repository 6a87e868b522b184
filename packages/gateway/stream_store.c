/* Reads and writes the store's records of which version began a stream.
 *
 * Peers get the record of a stream before its first event and the store gets it
 * within a second; it is the store's copy that survives the loss of any number
 * of entries.  Two entries may write a bucket at one time, while they disagree
 * on which peers are in contact: a row is written only in the version that was
 * last seen of it, and after a conflict the records of the other writer for the
 * same period are written again with this one's. */
#include "gateway/private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Records in one row at most; more wait for the next one. */
#define STREAM_ROW_RECORDS_MAX 2000

/* Pause between two reads of a bucket, if the first one failed. */
#define STREAM_READ_PAUSE_US (50 * CA_US_PER_MS)

/* A read is recent enough for a lookup that begins within this time after it:
 * of streams that began still later, the writer and other peers have records.
 */
#define STREAM_READ_RECENT_US (500 * CA_US_PER_MS)

/* Pause after a write that was refused or not answered. */
#define STREAM_RETRY_US (500 * CA_US_PER_MS)

/* A write under construction. */
typedef struct
{
  char keys[CA_STREAM_BUCKETS][CA_STREAM_KEY_BYTES];
  uint8_t *values[CA_STREAM_BUCKETS];
  ca_stream_row_t rows[CA_STREAM_BUCKETS];
  size_t count;
} stream_write_t;

static uint32_t
stream_bucket (uint64_t stream)
{
  return (uint32_t)(stream % CA_STREAM_BUCKETS);
}

/* Key of the row of a bucket that is written in a period. */
static void
stream_row_key (uint32_t bucket, uint64_t period, char *key)
{
  snprintf (key, CA_STREAM_KEY_BYTES, "%x-%03u", bucket % CA_STREAM_BUCKETS,
            (unsigned)(period % CA_STREAM_ROWS));
}

void
ca_stream_bucket_range (uint32_t bucket, char *from, char *to)
{
  /* A full stop follows a hyphen in byte order. */
  snprintf (from, CA_STREAM_KEY_BYTES, "%x-", bucket % CA_STREAM_BUCKETS);
  snprintf (to, CA_STREAM_KEY_BYTES, "%x.", bucket % CA_STREAM_BUCKETS);
}

/* Bucket of a row and its position in the ring; false if the key is not one of
 * a row. */
static bool
stream_row_position (const char *key, uint32_t *bucket, uint32_t *index)
{
  char expected[CA_STREAM_KEY_BYTES];
  char *end;

  *bucket = (uint32_t)strtoul (key, &end, 16) % CA_STREAM_BUCKETS;
  if (*end != '-')
    return false;
  *index = (uint32_t)strtoul (end + 1, NULL, 10) % CA_STREAM_ROWS;
  stream_row_key (*bucket, *index, expected);
  return strcmp (key, expected) == 0;
}

/* Number of the current period, which all entries agree on within the error of
 * their estimates of the store's clock. */
static uint64_t
stream_period (const ca_gateway_t *gateway)
{
  return (uint64_t)((int64_t)gateway->now_us
                    + gateway->config_freshness.offset_us)
         / CA_STREAM_WRITE_US;
}

void
ca_stream_store_init (ca_stream_store_t *store)
{
  TAILQ_INIT (&store->queue);
}

/* Forgets the versions of rows, which are given out again in a new era. */
static void
stream_store_check_era (ca_gateway_t *gateway)
{
  ca_stream_store_t *store = &gateway->stream_store;

  if (store->era == gateway->store_era)
    return;
  store->era = gateway->store_era;
  store->write_period = 0;
  for (uint32_t i = 0; i < CA_STREAM_BUCKETS; i++)
    {
      memset (store->buckets[i].row_versions, 0,
              sizeof store->buckets[i].row_versions);
      store->buckets[i].known_us = 0;
    }
}

const ca_peer_t *
ca_stream_store_writer (const ca_gateway_t *gateway, uint64_t stream,
                        bool *is_self)
{
  uint64_t bucket = stream_bucket (stream);
  const ca_peer_t *best = NULL;
  uint64_t best_rank = 0;
  const ca_peer_t *peer;

  /* One that has just started may not have heard the others. */
  *is_self = !gateway->stopping && !gateway->store_down
             && ca_peers_are_known (gateway)
             && gateway->ports.write_streams != NULL;
  if (*is_self)
    best_rank = ca_peers_rank (gateway->id, bucket);
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (!ca_stream_store_may_write (gateway, peer)
          || ca_peers_rank (peer->id, bucket) <= best_rank)
        continue;
      best_rank = ca_peers_rank (peer->id, bucket);
      best = peer;
      *is_self = false;
    }
  return best;
}

bool
ca_stream_store_may_write (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  return peer->stores_streams && peer->reads_store && !peer->leaving
         && ca_peers_in_close_contact (gateway, peer);
}

void
ca_stream_store_add (ca_gateway_t *gateway, ca_stream_record_t *record)
{
  if (!record->is_queued)
    TAILQ_INSERT_TAIL (&gateway->stream_store.queue, record, queue_entries);
  record->is_queued = true;
  record->shared_period = 0;
  record->written_version = 0;
}

/* Queues a record that another entry has written in a period. */
static void
stream_store_share (ca_gateway_t *gateway, ca_stream_record_t *record,
                    uint64_t period)
{
  if (record->is_queued && record->shared_period == 0)
    return;
  ca_stream_store_add (gateway, record);
  record->shared_period = period;
}

void
ca_stream_store_remove (ca_gateway_t *gateway, ca_stream_record_t *record)
{
  if (record->is_queued)
    TAILQ_REMOVE (&gateway->stream_store.queue, record, queue_entries);
  record->is_queued = false;
}

/* Reading. */

static void
stream_store_read (ca_gateway_t *gateway, uint32_t number)
{
  ca_stream_bucket_t *bucket = &gateway->stream_store.buckets[number];

  if (bucket->read_busy
      || (bucket->read_us != 0
          && gateway->now_us - bucket->read_us < STREAM_READ_PAUSE_US))
    return;
  bucket->read_busy = true;
  bucket->read_us = gateway->now_us;
  ca_counters_add (&gateway->counters, CA_COUNT_STREAM_STORE_READS, 1);
  gateway->ports.read_streams (gateway->ports.context, number);
}

bool
ca_stream_store_want (ca_gateway_t *gateway, uint64_t stream, uint64_t since_us)
{
  uint32_t number = stream_bucket (stream);

  if (gateway->ports.read_streams == NULL
      || gateway->stream_store.buckets[number].known_us + STREAM_READ_RECENT_US
             >= since_us)
    return false;
  stream_store_read (gateway, number);
  return true;
}

/* Applies a row of the store. */
static void
stream_store_apply (ca_gateway_t *gateway, const ca_stream_row_t *row)
{
  ca_stream_store_t *store = &gateway->stream_store;
  Camphor__StreamRow *message;
  uint32_t number;
  uint32_t index;
  bool is_shared;

  if (!stream_row_position (row->key, &number, &index))
    return;
  store->buckets[number].row_versions[index] = row->version;
  message = row->value == NULL
                ? NULL
                : camphor__stream_row__unpack (NULL, row->bytes, row->value);
  if (message == NULL)
    {
      ca_gateway_log (gateway, CA_EVENT_STORE_BAD_ROW, NULL, row->key,
                      "not a row of streams that an entry writes");
      return;
    }
  /* A row of another era may lack a later correction.  What another entry has
   * written in this period is kept in the row that replaces it. */
  is_shared = message->period >= stream_period (gateway)
              && message->period != store->write_period;
  for (size_t i = 0; message->era == gateway->store_era
                     && i < message->n_streams && i < message->n_versions;
       i++)
    {
      ca_stream_record_t *record = ca_stream_versions_keep (
          gateway, message->streams[i], message->versions[i]);

      if (record != NULL && is_shared)
        stream_store_share (gateway, record, message->period);
    }
  camphor__stream_row__free_unpacked (message, NULL);
}

void
ca_gateway_streams_read (ca_gateway_t *gateway, uint64_t now_us,
                         uint32_t number, bool ok, const ca_stream_row_t *rows,
                         size_t count)
{
  ca_stream_bucket_t *bucket
      = &gateway->stream_store.buckets[number % CA_STREAM_BUCKETS];

  gateway->now_us = now_us;
  bucket->read_busy = false;
  stream_store_check_era (gateway);
  if (!ok)
    return;
  memset (bucket->row_versions, 0, sizeof bucket->row_versions);
  for (size_t i = 0; i < count; i++)
    stream_store_apply (gateway, &rows[i]);
  bucket->known_us = bucket->read_us;
  ca_exchanges_dispatch_waiting (gateway);
}

/* Writing. */

/* Takes the records from the queue that other entries wrote in earlier periods.
 */
static void
stream_store_drop_shared (ca_gateway_t *gateway, uint64_t period)
{
  ca_stream_record_t *record = TAILQ_FIRST (&gateway->stream_store.queue);

  while (record != NULL)
    {
      ca_stream_record_t *next = TAILQ_NEXT (record, queue_entries);

      if (record->shared_period != 0 && record->shared_period != period)
        ca_stream_store_remove (gateway, record);
      record = next;
    }
}

/* Adds the row of a bucket to a write, if records of it are queued. */
static void
stream_write_add (ca_gateway_t *gateway, stream_write_t *write, uint32_t number)
{
  static uint64_t streams[STREAM_ROW_RECORDS_MAX];
  static uint32_t versions[STREAM_ROW_RECORDS_MAX];
  ca_stream_store_t *store = &gateway->stream_store;
  Camphor__StreamRow message = CAMPHOR__STREAM_ROW__INIT;
  ca_stream_row_t *row = &write->rows[write->count];
  ca_stream_record_t *record;
  size_t count = 0;

  TAILQ_FOREACH (record, &store->queue, queue_entries)
  {
    if (stream_bucket (record->stream) != number
        || count == STREAM_ROW_RECORDS_MAX)
      continue;
    streams[count] = record->stream;
    versions[count++] = record->version;
    record->written_version = record->version;
  }
  if (count == 0)
    return;
  message.era = gateway->store_era;
  message.period = store->attempt_period;
  message.streams = streams;
  message.n_streams = count;
  message.versions = versions;
  message.n_versions = count;
  stream_row_key (number, store->attempt_period, write->keys[write->count]);
  row->key = write->keys[write->count];
  row->version = store->buckets[number]
                     .row_versions[store->attempt_period % CA_STREAM_ROWS];
  row->bytes = camphor__stream_row__get_packed_size (&message);
  row->value = write->values[write->count] = malloc (row->bytes);
  camphor__stream_row__pack (&message, write->values[write->count]);
  write->count++;
}

/* Writes the queued records, once in a period. */
static void
stream_store_write (ca_gateway_t *gateway)
{
  ca_stream_store_t *store = &gateway->stream_store;
  uint64_t period = stream_period (gateway);
  stream_write_t write;

  if (store->write_busy || TAILQ_EMPTY (&store->queue)
      || gateway->now_us < store->next_write_us
      || !gateway->config_freshness.has_offset || period <= store->write_period)
    return;
  stream_store_drop_shared (gateway, period);
  if (TAILQ_EMPTY (&store->queue))
    return;
  write.count = 0;
  store->attempt_period = period;
  for (uint32_t i = 0; i < CA_STREAM_BUCKETS; i++)
    stream_write_add (gateway, &write, i);
  store->write_busy = true;
  ca_counters_add (&gateway->counters, CA_COUNT_STREAM_STORE_WRITES, 1);
  gateway->ports.write_streams (gateway->ports.context, write.rows,
                                write.count);
  for (size_t i = 0; i < write.count; i++)
    free (write.values[i]);
}

/* Takes the records that were written from the queue, unless they were
 * corrected meanwhile. */
static void
stream_store_note_written (ca_gateway_t *gateway, uint64_t version)
{
  ca_stream_store_t *store = &gateway->stream_store;
  uint32_t index = store->attempt_period % CA_STREAM_ROWS;
  ca_stream_record_t *record = TAILQ_FIRST (&store->queue);

  store->write_period = store->attempt_period;
  while (record != NULL)
    {
      ca_stream_record_t *next = TAILQ_NEXT (record, queue_entries);

      if (record->written_version != 0)
        store->buckets[stream_bucket (record->stream)].row_versions[index]
            = version;
      if (record->written_version == record->version)
        ca_stream_store_remove (gateway, record);
      record->written_version = 0;
      record = next;
    }
}

/* Leaves the records of a write in the queue, to be written again soon.  After
 * a conflict `rows` are those that exist of the ones to be written. */
static void
stream_store_note_failed (ca_gateway_t *gateway, bool is_conflict,
                          const ca_stream_row_t *rows, size_t count)
{
  ca_stream_store_t *store = &gateway->stream_store;
  uint32_t index = store->attempt_period % CA_STREAM_ROWS;
  ca_stream_record_t *record;

  store->next_write_us
      = gateway->now_us + (is_conflict ? CA_GATEWAY_TICK_US : STREAM_RETRY_US);
  TAILQ_FOREACH (record, &store->queue, queue_entries)
  {
    if (record->written_version != 0 && is_conflict)
      store->buckets[stream_bucket (record->stream)].row_versions[index] = 0;
    record->written_version = 0;
  }
  for (size_t i = 0; i < count; i++)
    stream_store_apply (gateway, &rows[i]);
}

void
ca_gateway_streams_written (ca_gateway_t *gateway, uint64_t now_us,
                            ca_stream_write_status_t status, uint64_t version,
                            const ca_stream_row_t *rows, size_t count)
{
  gateway->now_us = now_us;
  gateway->stream_store.write_busy = false;
  stream_store_check_era (gateway);
  if (status == CA_STREAM_WRITE_OK)
    stream_store_note_written (gateway, version);
  else
    stream_store_note_failed (gateway, status == CA_STREAM_WRITE_CONFLICT, rows,
                              count);
}

void
ca_stream_store_tick (ca_gateway_t *gateway)
{
  if (gateway->ports.write_streams == NULL)
    return;
  stream_store_check_era (gateway);
  stream_store_write (gateway);
}
