/* The table of the store that keeps which software version began a stream.
 *
 * Streams are divided into buckets by their number, and each bucket has a ring
 * of rows.  One entry writes a bucket: in each period, a row with all streams
 * of the bucket that began since the latest one. */
#ifndef CA_GATEWAY_STREAM_STORE_H
#define CA_GATEWAY_STREAM_STORE_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/* Buckets that streams are divided into, each with one writer. */
#define CA_STREAM_BUCKETS 4

/* Rows of a bucket, which are used in turn, one in a period of
 * CA_STREAM_WRITE_US.  All of them together reach back further than callers go
 * on with a stream. */
#define CA_STREAM_ROWS 256
#define CA_STREAM_WRITE_US (100 * CA_US_PER_MS)

/* Longest key of a row, with the final NUL. */
#define CA_STREAM_KEY_BYTES 8

/* A row of the table. */
typedef struct
{
  const char *key;
  uint64_t version; /* that it has or must have; 0: none */
  const void *value;
  size_t bytes;
} ca_stream_row_t;

typedef enum
{
  CA_STREAM_WRITE_OK,
  CA_STREAM_WRITE_CONFLICT, /* a row has another version than expected */
  CA_STREAM_WRITE_FAILED    /* refused, or not answered */
} ca_stream_write_status_t;

/* Calls for one bucket. */
typedef struct
{
  bool read_busy;
  uint64_t read_us;  /* latest read was sent */
  uint64_t known_us; /* all that was written before this time is known here */
  uint64_t row_versions[CA_STREAM_ROWS]; /* in the store, as far as known */
} ca_stream_bucket_t;

typedef struct
{
  ca_stream_bucket_t buckets[CA_STREAM_BUCKETS];
  TAILQ_HEAD (, ca_stream_record) queue; /* records to be written */
  bool write_busy;
  uint64_t attempt_period; /* of the latest write */
  uint64_t write_period;   /* of the latest one that was done: its rows are not
                              written again */
  uint64_t next_write_us;
  uint64_t era; /* of the store, to which the versions belong */
} ca_stream_store_t;

/* Keys of a bucket's rows: from `from` to before `to`. */
void ca_stream_bucket_range (uint32_t bucket, char *from, char *to);

#endif
