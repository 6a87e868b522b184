/* The store's table of streams, and the calls of entries to it. */
#include "streaming_world.h"

#define STORE_ANSWER_US (5 * CA_US_PER_MS)
#define STORE_READ_TIMEOUT_US (700 * CA_US_PER_MS)
#define STORE_WRITE_TIMEOUT_US (2 * CA_US_PER_S)

typedef struct
{
  char key[CA_STREAM_KEY_BYTES];
  uint64_t version;
  uint8_t *value;
  size_t bytes;
} store_row_t;

typedef struct store_call
{
  size_t entry;
  uint64_t started_us; /* of the entry */
  uint64_t sent_us;
  bool is_write;
  uint32_t bucket;                     /* of a read */
  store_row_t rows[CA_STREAM_BUCKETS]; /* of a write */
  size_t count;
  STAILQ_ENTRY (store_call) entries;
} store_call_t;

static STAILQ_HEAD (, store_call) calls = STAILQ_HEAD_INITIALIZER (calls);
static store_row_t table[CA_STREAM_BUCKETS * CA_STREAM_ROWS];
static size_t table_count;
static uint64_t table_version;

static store_row_t *
row_find (const char *key)
{
  for (size_t i = 0; i < table_count; i++)
    {
      if (strcmp (table[i].key, key) == 0)
        return &table[i];
    }
  return NULL;
}

static store_call_t *
call_add (size_t entry)
{
  store_call_t *call = calloc (1, sizeof *call);

  call->entry = entry;
  call->started_us = world.entries[entry].started_us;
  call->sent_us = world.now_us;
  STAILQ_INSERT_TAIL (&calls, call, entries);
  world.store_calls++;
  return call;
}

static void
call_free (store_call_t *call)
{
  for (size_t i = 0; i < call->count; i++)
    free (call->rows[i].value);
  free (call);
}

void
store_on_write (void *context, const ca_stream_row_t *rows, size_t count)
{
  store_call_t *call = call_add ((size_t)(uintptr_t)context);

  call->is_write = true;
  for (; call->count < count; call->count++)
    {
      store_row_t *row = &call->rows[call->count];

      strlcpy (row->key, rows[call->count].key, sizeof row->key);
      row->version = rows[call->count].version;
      row->bytes = rows[call->count].bytes;
      row->value = malloc (row->bytes);
      memcpy (row->value, rows[call->count].value, row->bytes);
      world.store_bytes += row->bytes;
    }
}

void
store_on_read (void *context, uint32_t bucket)
{
  store_call_t *call = call_add ((size_t)(uintptr_t)context);

  call->bucket = bucket;
}

/* True if each row still has the version that the call expects. */
static bool
conditions_hold (const store_call_t *call)
{
  for (size_t i = 0; i < call->count; i++)
    {
      const store_row_t *row = row_find (call->rows[i].key);

      if ((row == NULL ? 0 : row->version) != call->rows[i].version)
        return false;
    }
  return true;
}

/* Answers with the rows that the call expects at other versions. */
static void
call_conflict (const store_call_t *call)
{
  ca_stream_row_t rows[CA_STREAM_BUCKETS];
  size_t count = 0;

  for (size_t i = 0; i < call->count; i++)
    {
      const store_row_t *row = row_find (call->rows[i].key);

      if (row != NULL)
        rows[count++] = (ca_stream_row_t){ row->key, row->version, row->value,
                                           row->bytes };
    }
  ca_gateway_streams_written (&world.gateways[call->entry], world.now_us,
                              CA_STREAM_WRITE_CONFLICT, 0, rows, count);
}

static void
call_write (store_call_t *call)
{
  if (!conditions_hold (call))
    {
      call_conflict (call);
      return;
    }
  table_version++;
  for (size_t i = 0; i < call->count; i++)
    {
      store_row_t *row = row_find (call->rows[i].key);

      if (row == NULL)
        {
          assert_true (table_count < CA_STREAM_BUCKETS * CA_STREAM_ROWS);
          row = &table[table_count++];
        }
      free (row->value);
      *row = call->rows[i];
      row->version = table_version;
    }
  call->count = 0; /* the table owns the values */
  ca_gateway_streams_written (&world.gateways[call->entry], world.now_us,
                              CA_STREAM_WRITE_OK, table_version, NULL, 0);
}

static void
call_read (const store_call_t *call)
{
  ca_stream_row_t rows[CA_STREAM_ROWS];
  char from[CA_STREAM_KEY_BYTES];
  char to[CA_STREAM_KEY_BYTES];
  size_t count = 0;

  ca_stream_bucket_range (call->bucket, from, to);
  for (size_t i = 0; i < table_count; i++)
    {
      if (strcmp (table[i].key, from) < 0 || strcmp (table[i].key, to) >= 0)
        continue;
      assert_true (count < CA_STREAM_ROWS);
      rows[count++] = (ca_stream_row_t){ table[i].key, table[i].version,
                                         table[i].value, table[i].bytes };
      world.store_bytes += table[i].bytes;
    }
  ca_gateway_streams_read (&world.gateways[call->entry], world.now_us,
                           call->bucket, true, rows, count);
}

/* Ends a call that is not answered. */
static void
call_fail (const store_call_t *call)
{
  ca_gateway_t *gateway = &world.gateways[call->entry];

  if (call->is_write)
    ca_gateway_streams_written (gateway, world.now_us, CA_STREAM_WRITE_FAILED,
                                0, NULL, 0);
  else
    ca_gateway_streams_read (gateway, world.now_us, call->bucket, false, NULL,
                             0);
}

/* True if the call has ended. */
static bool
call_step (store_call_t *call)
{
  const entry_t *entry = &world.entries[call->entry];
  uint64_t age_us = world.now_us - call->sent_us;

  if (!entry->up || entry->started_us != call->started_us)
    return true;
  if (age_us < STORE_ANSWER_US)
    return false;
  if (entry->cut || world.now_us < world.store_away_until_us)
    {
      if (age_us
          < (call->is_write ? STORE_WRITE_TIMEOUT_US : STORE_READ_TIMEOUT_US))
        return false;
      call_fail (call);
    }
  else if (call->is_write)
    call_write (call);
  else
    call_read (call);
  return true;
}

void
step_store (void)
{
  STAILQ_HEAD (, store_call) present = STAILQ_HEAD_INITIALIZER (present);
  store_call_t *call;

  STAILQ_CONCAT (&present, &calls);
  while ((call = STAILQ_FIRST (&present)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&present, entries);
      if (call_step (call))
        call_free (call);
      else
        STAILQ_INSERT_TAIL (&calls, call, entries);
    }
}

void
store_reset (void)
{
  store_call_t *call;

  while ((call = STAILQ_FIRST (&calls)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&calls, entries);
      call_free (call);
    }
  for (size_t i = 0; i < table_count; i++)
    free (table[i].value);
  memset (table, 0, sizeof table);
  table_count = 0;
  table_version = 0;
}
