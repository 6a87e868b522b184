/* Stamps events and writes them to the log and the timeline. */
#include "adapters/observer.h"

#include "base/clock_source.h"

#include <string.h>

void
ca_observer_init (ca_observer_t *observer, ca_core_t *core, const char *entry,
                  ca_level_t level)
{
  observer->core = core;
  ca_log_init (&observer->log, stderr, entry, level);
  ca_timeline_init (&observer->timeline);
}

void
ca_observer_finish (ca_observer_t *observer)
{
  ca_timeline_finish (&observer->timeline);
}

void
ca_observer_trace (ca_observer_t *observer, ca_event_number_t number,
                   uint64_t request, uint64_t endpoint, const char *workspace,
                   const char *detail)
{
  ca_record_t record;

  memset (&record, 0, sizeof record);
  record.hlc = ca_hlc_now (&observer->core->hlc, ca_clock_wall_us ());
  record.number = number;
  record.request = request;
  record.endpoint = endpoint;
  strlcpy (record.workspace, workspace, sizeof record.workspace);
  strlcpy (record.detail, detail, sizeof record.detail);
  ca_timeline_add (&observer->timeline, &record);
  ca_log_write (&observer->log, &record);
}
