/* Guards against records of streams that are lost, or believed though they were
 * corrected, in the store's table: two writers of a bucket, calls without an
 * answer, corrections, and a store that comes back from an older copy. */
#include "cluster.h"
#include "gateway/private.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define ENTRIES 3
#define ROWS_MAX (CA_STREAM_BUCKETS * CA_STREAM_ROWS)
#define WALL_US UINT64_C (1700000000000000)
#define START_US UINT64_C (1000000000)
#define VERSION_1 11
#define VERSION_2 22
#define VERSION_UNSURE UINT32_MAX

typedef struct
{
  char key[CA_STREAM_KEY_BYTES];
  uint64_t version;
  uint8_t value[4096];
  size_t bytes;
} table_row_t;

/* A call that has not been answered yet. */
typedef struct
{
  bool is_write;
  bool is_read;
  uint32_t bucket;
  table_row_t rows[CA_STREAM_BUCKETS];
  size_t count;
} table_call_t;

static struct
{
  ca_gateway_t gateways[ENTRIES];
  table_call_t calls[ENTRIES];
  table_row_t rows[ROWS_MAX];
  size_t count;
  uint64_t version;
  uint64_t now_us;
  uint32_t writes;
  uint32_t conflicts;
} table;

static void
on_write (void *context, const ca_stream_row_t *rows, size_t count)
{
  table_call_t *call = &table.calls[(uintptr_t)context];

  assert_false (call->is_write);
  call->is_write = true;
  call->count = count;
  for (size_t i = 0; i < count; i++)
    {
      strlcpy (call->rows[i].key, rows[i].key, sizeof call->rows[i].key);
      call->rows[i].version = rows[i].version;
      call->rows[i].bytes = rows[i].bytes;
      assert_true (rows[i].bytes <= sizeof call->rows[i].value);
      memcpy (call->rows[i].value, rows[i].value, rows[i].bytes);
    }
}

static void
on_read (void *context, uint32_t bucket)
{
  table_call_t *call = &table.calls[(uintptr_t)context];

  assert_false (call->is_read);
  call->is_read = true;
  call->bucket = bucket;
}

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  (void)context;
  (void)to;
  (void)envelope;
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  (void)context;
  (void)event;
}

static void
on_restored (void *context)
{
  (void)context;
}

static table_row_t *
row_find (const char *key)
{
  for (size_t i = 0; i < table.count; i++)
    {
      if (strcmp (table.rows[i].key, key) == 0)
        return &table.rows[i];
    }
  return NULL;
}

/* True if the rows have the versions that the call expects; else fills in those
 * that exist. */
static bool
conditions_hold (const table_call_t *call, ca_stream_row_t *present,
                 size_t *count)
{
  bool hold = true;

  *count = 0;
  for (size_t i = 0; i < call->count; i++)
    {
      const table_row_t *row = row_find (call->rows[i].key);

      hold = hold && (row == NULL ? 0 : row->version) == call->rows[i].version;
      if (row != NULL)
        present[(*count)++] = (ca_stream_row_t){ row->key, row->version,
                                                 row->value, row->bytes };
    }
  return hold;
}

static void
apply_rows (const table_call_t *call)
{
  table.version++;
  for (size_t i = 0; i < call->count; i++)
    {
      table_row_t *row = row_find (call->rows[i].key);

      if (row == NULL)
        row = &table.rows[table.count++];
      *row = call->rows[i];
      row->version = table.version;
    }
}

/* Carries out an entry's write; its answer may be lost. */
static void
answer_write (size_t index, bool is_lost)
{
  table_call_t call = table.calls[index];
  ca_gateway_t *gateway = &table.gateways[index];
  ca_stream_row_t present[CA_STREAM_BUCKETS];
  size_t count;

  table.calls[index].is_write = false;
  table.writes++;
  if (conditions_hold (&call, present, &count))
    {
      apply_rows (&call);
      ca_gateway_streams_written (gateway, table.now_us,
                                  is_lost ? CA_STREAM_WRITE_FAILED
                                          : CA_STREAM_WRITE_OK,
                                  table.version, NULL, 0);
      return;
    }
  table.conflicts++;
  ca_gateway_streams_written (gateway, table.now_us, CA_STREAM_WRITE_CONFLICT,
                              0, present, count);
}

static void
answer_read (size_t index)
{
  static ca_stream_row_t rows[ROWS_MAX];
  uint32_t bucket = table.calls[index].bucket;
  char from[CA_STREAM_KEY_BYTES];
  char to[CA_STREAM_KEY_BYTES];
  size_t count = 0;

  table.calls[index].is_read = false;
  ca_stream_bucket_range (bucket, from, to);
  for (size_t i = 0; i < table.count; i++)
    {
      const table_row_t *row = &table.rows[i];

      if (strcmp (row->key, from) >= 0 && strcmp (row->key, to) < 0)
        rows[count++] = (ca_stream_row_t){ row->key, row->version, row->value,
                                           row->bytes };
    }
  ca_gateway_streams_read (&table.gateways[index], table.now_us, bucket, true,
                           rows, count);
}

static void
answer_writes (void)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (table.calls[i].is_write)
        answer_write (i, false);
    }
}

static void
tick (void)
{
  table.now_us += CA_GATEWAY_TICK_US;
  for (size_t i = 0; i < ENTRIES; i++)
    ca_stream_store_tick (&table.gateways[i]);
  for (size_t i = 0; i < ENTRIES; i++)
    table.gateways[i].now_us = table.now_us;
}

static void
run (uint64_t for_us)
{
  for (uint64_t end_us = table.now_us + for_us; table.now_us < end_us;)
    {
      tick ();
      answer_writes ();
    }
}

static void
table_start (void)
{
  memset (&table, 0, sizeof table);
  table.now_us = START_US;
  for (size_t i = 0; i < ENTRIES; i++)
    {
      const ca_gateway_ports_t ports = { .context = (void *)(uintptr_t)i,
                                         .send_peer = on_send,
                                         .store_restored = on_restored,
                                         .write_streams = on_write,
                                         .read_streams = on_read,
                                         .log = on_log };
      ca_gateway_options_t options;

      cluster_options (&options, i, "z1");
      ca_gateway_init (&table.gateways[i], &options, &ports, table.now_us,
                       WALL_US);
      assert_true (ca_gateway_store_era (&table.gateways[i], table.now_us,
                                         CA_ERA_NAMED, CA_STORE_FIRST_ERA));
      ca_freshness_from_store (&table.gateways[i].config_freshness,
                               table.now_us, table.now_us);
    }
}

static void
table_finish (void)
{
  for (size_t i = 0; i < ENTRIES; i++)
    ca_gateway_finish (&table.gateways[i]);
}

/* A peer asks the entry to write the record of a stream. */
static void
send_record (size_t index, uint64_t stream, uint32_t version)
{
  Camphor__StreamVersions message = CAMPHOR__STREAM_VERSIONS__INIT;

  message.streams = &stream;
  message.n_streams = 1;
  message.versions = &version;
  message.n_versions = 1;
  message.to_store = true;
  ca_stream_versions_apply (&table.gateways[index], &message);
}

/* Version that the last entry, which gets no records, reads of a stream; 0 if
 * it finds none. */
static uint32_t
read_version (uint64_t stream)
{
  ca_gateway_t *gateway = &table.gateways[ENTRIES - 1];
  const ca_stream_record_t *record = NULL;

  if (ca_stream_store_want (gateway, stream, gateway->now_us + CA_US_PER_S))
    answer_read (ENTRIES - 1);
  HASH_FIND (hh, gateway->streams, &stream, sizeof stream, record);
  return record == NULL ? 0 : record->version;
}

static void
test_writes_and_reads (void **state)
{
  (void)state;
  table_start ();
  send_record (0, 5, VERSION_1);
  send_record (0, 6, VERSION_2);
  run (CA_US_PER_S);
  assert_int_equal (table.writes, 1);
  assert_int_equal (read_version (5), VERSION_1);
  assert_int_equal (read_version (6), VERSION_2);
  assert_int_equal (read_version (5 + 8 * CA_STREAM_BUCKETS), 0);
  table_finish ();
}

/* Two entries that write the same bucket lose no record, for longer than the
 * ring takes to begin anew. */
static void
test_two_writers (void **state)
{
  uint64_t stream = 1;

  (void)state;
  table_start ();
  for (uint32_t i = 0; i < 2 * CA_STREAM_ROWS; i++)
    {
      send_record (0, stream, VERSION_1);
      send_record (1, stream + CA_STREAM_BUCKETS, VERSION_2);
      run (CA_STREAM_WRITE_US);
      stream += 2 * CA_STREAM_BUCKETS;
    }
  run (CA_US_PER_S);
  assert_true (table.count <= CA_STREAM_ROWS);
  assert_true (table.conflicts > 0);
  for (uint32_t i = 0; i < CA_STREAM_ROWS / 2; i++)
    {
      stream -= 2 * CA_STREAM_BUCKETS;
      assert_int_equal (read_version (stream), VERSION_1);
      assert_int_equal (read_version (stream + CA_STREAM_BUCKETS), VERSION_2);
    }
  table_finish ();
}

/* A write whose answer is lost is done again and loses nothing. */
static void
test_lost_answers (void **state)
{
  uint64_t stream = 1;

  (void)state;
  table_start ();
  for (uint32_t i = 0; i < 40; i++)
    {
      stream += CA_STREAM_BUCKETS;
      send_record (0, stream, VERSION_1);
      for (uint64_t waited_us = 0; waited_us < CA_STREAM_WRITE_US;
           waited_us += CA_GATEWAY_TICK_US)
        {
          tick ();
          if (table.calls[0].is_write)
            answer_write (0, i % 3 == 0);
        }
    }
  run (2 * CA_US_PER_S);
  for (; stream > 1; stream -= CA_STREAM_BUCKETS)
    assert_int_equal (read_version (stream), VERSION_1);
  table_finish ();
}

/* A correction holds whether it is read before or after the first record. */
static void
test_correction (void **state)
{
  (void)state;
  table_start ();
  for (uint64_t stream = 1; stream <= CA_STREAM_ROWS; stream++)
    {
      send_record (0, stream, VERSION_1);
      run (2 * CA_STREAM_WRITE_US);
      send_record (stream % 2, stream, VERSION_UNSURE);
      run (2 * CA_STREAM_WRITE_US);
      assert_int_equal (read_version (stream), VERSION_UNSURE);
    }
  table_finish ();
}

/* One that comes while the record is being written is written, too. */
static void
test_correction_during_write (void **state)
{
  (void)state;
  table_start ();
  send_record (0, 1, VERSION_1);
  do
    tick ();
  while (!table.calls[0].is_write);
  send_record (0, 1, VERSION_UNSURE);
  answer_write (0, false);
  run (CA_US_PER_S);
  assert_int_equal (read_version (1), VERSION_UNSURE);
  table_finish ();
}

/* Rows of an older copy may lack a correction: they are not believed, and are
 * written again. */
static void
test_store_restored (void **state)
{
  (void)state;
  table_start ();
  send_record (0, 1, VERSION_1);
  run (CA_US_PER_S);
  for (size_t i = 0; i < ENTRIES; i++)
    assert_true (ca_gateway_store_era (&table.gateways[i], table.now_us,
                                       CA_ERA_NAMED, CA_STORE_FIRST_ERA + 1));
  table.version = 0; /* versions are given out again */
  assert_int_equal (read_version (1), 0);
  send_record (0, 1, VERSION_1);
  run (CA_US_PER_S);
  assert_int_equal (read_version (1), VERSION_1);
  table_finish ();
}

/* Rows of another writer are left alone. */
static void
test_odd_rows (void **state)
{
  static const ca_stream_row_t rows[]
      = { { "", 1, "x", 1 },       { "1-", 1, "x", 1 },
          { "1-999", 1, "x", 1 },  { "zz", 1, NULL, 0 },
          { "1-001", 1, NULL, 0 }, { "1-002", 1, "\xff\xff", 2 } };

  (void)state;
  table_start ();
  ca_gateway_streams_read (&table.gateways[0], table.now_us, 1, true, rows,
                           sizeof rows / sizeof rows[0]);
  assert_int_equal (HASH_COUNT (table.gateways[0].streams), 0);
  table_finish ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_writes_and_reads),
    cmocka_unit_test (test_two_writers),
    cmocka_unit_test (test_lost_answers),
    cmocka_unit_test (test_correction),
    cmocka_unit_test (test_correction_during_write),
    cmocka_unit_test (test_store_restored),
    cmocka_unit_test (test_odd_rows),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
