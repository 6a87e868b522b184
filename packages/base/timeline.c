/* Ring buffer of timeline records, and its conversion to JSON. */
#include "base/timeline.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

void
ca_timeline_init (ca_timeline_t *timeline)
{
  timeline->records = calloc (CA_TIMELINE_RECORDS, sizeof (ca_record_t));
  timeline->written = 0;
}

void
ca_timeline_finish (ca_timeline_t *timeline)
{
  free (timeline->records);
  timeline->records = NULL;
}

void
ca_timeline_add (ca_timeline_t *timeline, const ca_record_t *record)
{
  timeline->records[timeline->written % CA_TIMELINE_RECORDS] = *record;
  timeline->written++;
}

static json_t *
timeline_record_to_json (const ca_record_t *record, const char *entry)
{
  const ca_event_info_t *info = ca_event_info (record->number);
  char request[24];
  char endpoint[24];

  snprintf (request, sizeof request, "%016" PRIx64, record->request);
  snprintf (endpoint, sizeof endpoint, "%016" PRIx64, record->endpoint);
  return json_pack ("{s:I, s:s, s:i, s:s, s:s, s:s, s:s, s:s}", "hlc",
                    (json_int_t)record->hlc, "entry", entry, "number",
                    (int)record->number, "event", info ? info->name : "?",
                    "request", record->request ? request : "", "endpoint",
                    record->endpoint ? endpoint : "", "workspace",
                    record->workspace, "detail", record->detail);
}

json_t *
ca_timeline_to_json (const ca_timeline_t *timeline, const char *entry,
                     uint64_t after)
{
  json_t *list = json_array ();
  uint64_t first = 0;

  if (timeline->written > CA_TIMELINE_RECORDS)
    first = timeline->written - CA_TIMELINE_RECORDS;
  for (uint64_t i = first; i < timeline->written; i++)
    {
      const ca_record_t *record = &timeline->records[i % CA_TIMELINE_RECORDS];

      if (record->hlc > after)
        json_array_append_new (list, timeline_record_to_json (record, entry));
    }
  return list;
}
