/* Structured log: one JSON object a line, numbered by the event catalogue. */
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

/* Longest line of a bounded log. */
#define CA_LOG_LINE_BYTES 1024

/* Log of decisions: bounded in lines a second, and never waiting for its
 * reader.  What is dropped is counted and told in a line of its own. */
typedef struct
{
  int fd;                 /* not owned; made non-blocking */
  const char *entry;      /* not owned */
  double available_lines; /* lines that may be written now */
  uint64_t refilled_us;
  uint64_t dropped;
  bool line_incomplete; /* the reader took part of a line: the next begins anew
                         */
} ca_decision_log_t;

void ca_decision_log_init (ca_decision_log_t *log, int fd, const char *entry);

/* Writes one line.  `now_us` bounds the rate and `wall_us` stamps the line;
 * `request` and `subject` may be NULL. */
void ca_decision_log_write (ca_decision_log_t *log, uint64_t now_us,
                            uint64_t wall_us, ca_event_number_t number,
                            const char *request, const char *subject,
                            const char *detail);

/* Writes one record if its level is high enough.  Bodies and keys never
 * reach a record, so none reach the log. */
void ca_log_write (ca_log_t *log, const ca_record_t *record);

#endif
