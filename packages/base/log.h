/* Structured log: one JSON object a line, numbered by the event catalogue. */
#ifndef CA_BASE_LOG_H
#define CA_BASE_LOG_H

#include "base/timeline.h"

#include <stdio.h>

typedef struct
{
  FILE *out;         /* not owned */
  const char *entry; /* not owned */
  ca_level_t level;  /* lowest level written */
} ca_log_t;

void ca_log_init (ca_log_t *log, FILE *out, const char *entry,
                  ca_level_t level);

/* Writes one record if its level is high enough.  Bodies and keys never
 * reach a record, so none reach the log. */
void ca_log_write (ca_log_t *log, const ca_record_t *record);

#endif
