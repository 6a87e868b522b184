/* Ring buffer of the latest events of one process. */
#ifndef CA_BASE_TIMELINE_H
#define CA_BASE_TIMELINE_H

#include "base/events.h"

#include <jansson.h>
#include <stdint.h>

#define CA_TIMELINE_RECORDS 8192
#define CA_TIMELINE_DETAIL_BYTES 96
#define CA_TIMELINE_WORKSPACE_BYTES 48

typedef struct
{
  uint64_t hlc;
  uint64_t request;  /* 0 if none */
  uint64_t endpoint; /* 0 if none */
  ca_event_number_t number;
  char workspace[CA_TIMELINE_WORKSPACE_BYTES];
  char detail[CA_TIMELINE_DETAIL_BYTES];
} ca_record_t;

typedef struct
{
  ca_record_t *records;
  uint64_t written;
} ca_timeline_t;

/* Allocates the ring buffer; ca_timeline_finish() frees it. */
void ca_timeline_init (ca_timeline_t *timeline);
void ca_timeline_finish (ca_timeline_t *timeline);

/* Copies a record into the ring, overwriting the oldest one if it is full. */
void ca_timeline_add (ca_timeline_t *timeline, const ca_record_t *record);

/* New JSON array of the records with a stamp above `after`, oldest first; the
 * caller owns the reference.  `entry` names this process in each record. */
json_t *ca_timeline_to_json (const ca_timeline_t *timeline, const char *entry,
                             uint64_t after);

#endif
