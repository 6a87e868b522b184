/* Structured log: one JSON object per line, with a number of the event
 * catalogue. */
#ifndef CA_BASE_LOG_H
#define CA_BASE_LOG_H

#include "base/timeline.h"

#include <stdbool.h>
#include <stdio.h>

typedef struct
{
  FILE *out;         /* not owned */
  const char *entry; /* not owned */
  ca_level_t level;  /* lowest level written */
} ca_log_t;

void ca_log_init (ca_log_t *log, FILE *out, const char *entry,
                  ca_level_t level);

/* Maximum line length of a rate-limited log. */
#define CA_LOG_LINE_BYTES 1024

/* Rate-limited log that never blocks on its reader.  Dropped lines are counted
 * and reported in a line of their own. */
typedef struct
{
  int fd;                 /* not owned; made non-blocking */
  const char *entry;      /* not owned */
  double available_lines; /* tokens of the rate limiter */
  uint64_t refilled_us;
  uint64_t dropped;
  bool line_incomplete; /* the last line was written partly: start a new one */
} ca_decision_log_t;

void ca_decision_log_init (ca_decision_log_t *log, int fd, const char *entry);

/* Writes one line, or counts it as dropped.  `now_us` is the monotonic time for
 * the rate limit and `wall_us` the time printed in the line;
 * `request` and `subject` may be NULL. */
void ca_decision_log_write (ca_decision_log_t *log, uint64_t now_us,
                            uint64_t wall_us, ca_event_number_t number,
                            const char *request, const char *subject,
                            const char *detail);

/* Writes a record unless its level is below the log's.  Records hold no
 * request bodies or keys, so the log holds none. */
void ca_log_write (ca_log_t *log, const ca_record_t *record);

#endif
