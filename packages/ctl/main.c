/* Command line of camphorctl. */
#include "ctl/commands.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#define ENTRIES_VARIABLE "CAMPHORARCH_ENTRIES"
#define TIMEOUT_DEFAULT_MS 10000
#define TIMEOUT_MAX_MS 600000

/* Options without a short form. */
enum
{
  CTL_AGAINST = 0x100,
  CTL_JSON
};

typedef struct
{
  ca_ctl_t ctl;
  const ca_ctl_command_t *command;
  const char *argument;
} ca_ctl_main_t;

static const struct argp_option ctl_options[] = {
  { "entries", 'e', "IP:PORT,...", 0,
    "entries to query; default: environment variable " ENTRIES_VARIABLE, 0 },
  { "timeout-ms", 't', "MS", 0, "timeout of each call", 0 },
  { "request", 'r', "ID", 0, "timeline: show only this request", 0 },
  { "endpoint", 'p', "ID", 0, "timeline: show only this endpoint", 0 },
  { "workspace", 'w', "NAME", 0, "timeline: show only this workspace", 0 },
  { "against", CTL_AGAINST, "FILE", 0,
    "check: show what differs from this configuration", 0 },
  { "json", CTL_JSON, NULL, 0, "check: print one JSON object", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

/* Parses a comma-separated list of entries; false if one is invalid or there
 * are too many. */
static bool
ctl_parse_entries (ca_ctl_t *ctl, const char *list)
{
  char *copy = strdup (list);
  char *rest = copy;
  char *item;
  bool valid = true;

  ctl->entry_count = 0;
  while (valid && (item = strsep (&rest, ",")) != NULL)
    {
      valid = ctl->entry_count < CA_CTL_ENTRIES_MAX
              && ca_address_parse (item, &ctl->entries[ctl->entry_count]);
      ctl->entry_count++;
    }
  free (copy);
  return valid;
}

static const ca_ctl_command_t *
ctl_find_command (const char *name)
{
  for (const ca_ctl_command_t *command = ca_ctl_commands; command->name != NULL;
       command++)
    {
      if (strcmp (command->name, name) == 0)
        return command;
    }
  return NULL;
}

/* The first positional argument is the command, the second its argument. */
static void
ctl_parse_argument (ca_ctl_main_t *program, struct argp_state *state,
                    const char *text)
{
  if (program->command == NULL)
    {
      program->command = ctl_find_command (text);
      if (program->command == NULL)
        argp_error (state, "unknown command '%s'", text);
    }
  else if (program->argument == NULL && program->command->argument != NULL)
    program->argument = text;
  else
    argp_error (state, "unexpected argument '%s'", text);
}

/* Checks that a command, its argument and at least one entry are given. */
static void
ctl_check (const ca_ctl_main_t *program, struct argp_state *state)
{
  if (program->command == NULL)
    argp_error (state, "no command given");
  else if (program->command->argument != NULL && program->argument == NULL)
    argp_error (state, "%s requires %s", program->command->name,
                program->command->argument);
  else if (!program->command->is_local && program->ctl.entry_count == 0)
    argp_error (state, "no entries given: use --entries or " ENTRIES_VARIABLE);
}

static error_t
ctl_parse_option (int key, char *value, struct argp_state *state)
{
  ca_ctl_main_t *program = state->input;
  const char *range_error = NULL;

  switch (key)
    {
    case 'e':
      if (!ctl_parse_entries (&program->ctl, value))
        argp_error (state, "--entries: '%s' is not a list of IP:PORT,...",
                    value);
      return 0;
    case 't':
      program->ctl.timeout_ms
          = (uint32_t)strtonum (value, 1, TIMEOUT_MAX_MS, &range_error);
      if (range_error != NULL)
        argp_error (state, "--timeout-ms: must be from 1 to %d",
                    TIMEOUT_MAX_MS);
      return 0;
    case 'r':
      program->ctl.filter.request = value;
      return 0;
    case 'p':
      program->ctl.filter.endpoint = value;
      return 0;
    case 'w':
      program->ctl.filter.workspace = value;
      return 0;
    case CTL_AGAINST:
      program->ctl.against = value;
      return 0;
    case CTL_JSON:
      program->ctl.json = true;
      return 0;
    case ARGP_KEY_ARG:
      ctl_parse_argument (program, state, value);
      return 0;
    case ARGP_KEY_END:
      ctl_check (program, state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Appends the list of commands to the help text. */
static char *
ctl_help_filter (int key, const char *text, void *input)
{
  char *out = NULL;
  size_t bytes = 0;
  FILE *stream;

  (void)input;
  if (key != ARGP_KEY_HELP_POST_DOC)
    return (char *)text;
  stream = open_memstream (&out, &bytes);
  fputs ("Commands:\n", stream);
  for (const ca_ctl_command_t *command = ca_ctl_commands; command->name != NULL;
       command++)
    fprintf (stream, "  %s %s: %s\n", command->name,
             command->argument == NULL ? "" : command->argument, command->doc);
  fclose (stream);
  return out;
}

int
main (int argc, char **argv)
{
  static ca_ctl_main_t program;
  struct argp parser = { ctl_options,
                         ctl_parse_option,
                         "COMMAND [ARGUMENT]",
                         "Operator command line of camphorarch.",
                         NULL,
                         ctl_help_filter,
                         NULL };
  const char *entries = getenv (ENTRIES_VARIABLE);

  program.ctl.timeout_ms = TIMEOUT_DEFAULT_MS;
  if (entries != NULL && !ctl_parse_entries (&program.ctl, entries))
    fprintf (stderr, ENTRIES_VARIABLE ": '%s' is not a list of IP:PORT,...\n",
             entries);
  argp_err_exit_status = EX_USAGE;
  argp_parse (&parser, argc, argv, 0, NULL, &program);
  return program.command->run (&program.ctl, program.argument);
}
