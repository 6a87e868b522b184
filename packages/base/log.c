/* Writes each record as one line of JSON. */
#include "base/log.h"

#include "base/clock.h"

#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

void
ca_log_init (ca_log_t *log, FILE *out, const char *entry, ca_level_t level)
{
  log->out = out;
  log->entry = entry;
  log->level = level;
}

void
ca_log_write (ca_log_t *log, const ca_record_t *record)
{
  const ca_event_info_t *info = ca_event_info (record->number);
  json_t *line;

  if (info == NULL || info->level < log->level)
    return;
  line = json_pack ("{s:I, s:s, s:s, s:i, s:s}", "hlc", (json_int_t)record->hlc,
                    "level", ca_level_name (info->level), "entry", log->entry,
                    "number", (int)info->number, "event", info->name);
  if (line == NULL)
    return;
  if (record->request != 0)
    json_object_set_new (line, "request",
                         json_sprintf ("%016" PRIx64, record->request));
  if (record->endpoint != 0)
    json_object_set_new (line, "endpoint",
                         json_sprintf ("%016" PRIx64, record->endpoint));
  if (record->workspace[0] != '\0')
    json_object_set_new (line, "workspace", json_string (record->workspace));
  if (record->detail[0] != '\0')
    json_object_set_new (line, "detail", json_string (record->detail));
  json_dumpf (line, log->out, JSON_COMPACT);
  fputc ('\n', log->out);
  fflush (log->out);
  json_decref (line);
}

/* Rate limit and burst: a few lines for each request that a small VM can
 * serve. */
#define LOG_LINES_PER_S 400.0
#define LOG_BURST_LINES 800.0

void
ca_decision_log_init (ca_decision_log_t *log, int fd, const char *entry)
{
  memset (log, 0, sizeof *log);
  log->fd = fd;
  log->entry = entry;
  log->available_lines = LOG_BURST_LINES;
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
}

/* Copies text with JSON escapes, without quotes; returns its length. */
static size_t
log_escape (const char *text, char *out, size_t room)
{
  size_t used = 0;

  for (; *text != '\0' && used + 2 < room; text++)
    {
      if (*text == '"' || *text == '\\')
        out[used++] = '\\';
      out[used++] = (unsigned char)*text < ' ' ? ' ' : *text;
    }
  out[used] = '\0';
  return used;
}

/* Appends a field unless its value is empty; returns the line's new length. */
static size_t
log_add_field (char *line, size_t used, const char *name, const char *value)
{
  if (value == NULL || value[0] == '\0')
    return used;
  used += (size_t)snprintf (line + used, CA_LOG_LINE_BYTES - used, ",\"%s\":\"",
                            name);
  used += log_escape (value, line + used, CA_LOG_LINE_BYTES - used - 8);
  line[used++] = '"';
  line[used] = '\0';
  return used;
}

/* Writes one line; false if it was not written completely. */
static bool
log_write_line (ca_decision_log_t *log, uint64_t wall_us,
                ca_event_number_t number, const char *request,
                const char *subject, const char *detail)
{
  const ca_event_info_t *info = ca_event_info (number);
  char line[CA_LOG_LINE_BYTES + 8];
  size_t used;
  ssize_t written;

  used = (size_t)snprintf (
      line, CA_LOG_LINE_BYTES,
      "%s{\"time\":%" PRIu64 ".%06" PRIu64
      ",\"level\":\"%s\",\"entry\":\"%s\",\"number\":%d,\"event\":\"%s\"",
      log->line_incomplete ? "\n" : "", wall_us / CA_US_PER_S,
      wall_us % CA_US_PER_S, ca_level_name (info->level), log->entry,
      (int)number, info->name);
  used = log_add_field (line, used, "request", request);
  used = log_add_field (line, used, "subject", subject);
  used = log_add_field (line, used, "detail", detail);
  line[used++] = '}';
  line[used++] = '\n';
  written = write (log->fd, line, used);
  log->line_incomplete
      = written > 0 ? (size_t)written < used : log->line_incomplete;
  return written == (ssize_t)used;
}

void
ca_decision_log_write (ca_decision_log_t *log, uint64_t now_us,
                       uint64_t wall_us, ca_event_number_t number,
                       const char *request, const char *subject,
                       const char *detail)
{
  char text[64];

  log->available_lines += (double)(now_us - log->refilled_us) * LOG_LINES_PER_S
                          / (double)CA_US_PER_S;
  if (log->available_lines > LOG_BURST_LINES)
    log->available_lines = LOG_BURST_LINES;
  log->refilled_us = now_us;
  if (log->available_lines < 1)
    {
      log->dropped++;
      return;
    }
  log->available_lines--;
  if (log->dropped > 0)
    {
      snprintf (text, sizeof text, "%" PRIu64 " lines", log->dropped);
      if (log_write_line (log, wall_us, CA_EVENT_LOG_DROPPED, NULL, NULL, text))
        log->dropped = 0;
    }
  if (!log_write_line (log, wall_us, number, request, subject, detail))
    log->dropped++;
}
