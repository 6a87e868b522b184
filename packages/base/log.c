/* Writes records as one structured line each. */
#include "base/log.h"

#include <inttypes.h>

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
