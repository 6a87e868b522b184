/* The command that checks a configuration file. */
#ifndef CA_CTL_CHECK_H
#define CA_CTL_CHECK_H

#include "ctl/commands.h"

/* Checks the file, and compares it with another one if that is given. */
int ca_ctl_check (const ca_ctl_t *ctl, const char *path);

#endif
