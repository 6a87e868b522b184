/* Writes the core's events to the log and the timeline. */
#ifndef CA_ADAPTERS_OBSERVER_H
#define CA_ADAPTERS_OBSERVER_H

#include "base/log.h"
#include "core/core.h"

typedef struct
{
  ca_log_t log;
  ca_timeline_t timeline;
  ca_core_t *core; /* not owned; its hybrid clock stamps the events */
} ca_observer_t;

void ca_observer_init (ca_observer_t *observer, ca_core_t *core,
                       const char *entry, ca_level_t level);
void ca_observer_finish (ca_observer_t *observer);

/* Stamps and records one event.  `request` and `endpoint` are 0 if none;
 * `workspace` and `detail` are "" if none. */
void ca_observer_trace (ca_observer_t *observer, ca_event_number_t number,
                        uint64_t request, uint64_t endpoint,
                        const char *workspace, const char *detail);

#endif
