/* Command table of camphorctl. */
#ifndef CA_CTL_COMMANDS_H
#define CA_CTL_COMMANDS_H

#include "base/settings.h"
#include "ctl/timeline_view.h"

#define CA_CTL_ENTRIES_MAX 1024

typedef struct
{
  ca_address_t entries[CA_CTL_ENTRIES_MAX];
  size_t entry_count;
  uint32_t timeout_ms;
  ca_timeline_filter_t filter;
  const char *against; /* former configuration; NULL if none is given */
  bool json;
} ca_ctl_t;

typedef int (*ca_ctl_run_t) (const ca_ctl_t *ctl, const char *argument);

typedef struct
{
  const char *name;
  const char *argument; /* NULL: takes none */
  const char *doc;
  ca_ctl_run_t run; /* returns the exit status */
  bool is_local;    /* calls no entry */
} ca_ctl_command_t;

/* Terminated by a row whose name is NULL. */
extern const ca_ctl_command_t ca_ctl_commands[];

#endif
