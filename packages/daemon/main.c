/* Command line of camphorarchd. */
#include "daemon/entry.h"

#include "platform/daemon.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

/* Keys of the options that are not settings; a setting's key is its id plus
 * MAIN_FIRST_SETTING. */
enum
{
  MAIN_CHECK_SETTINGS = 1000,
  MAIN_PRINT_SETTINGS,
  MAIN_PRINT_SETTINGS_PAGE,
  MAIN_PRINT_EVENTS,
  MAIN_PRINT_ERRORS,
  MAIN_PLATFORM,
  MAIN_FIRST_SETTING = 2000
};

#define MAIN_PRINT_OPTIONS 6

typedef struct
{
  ca_settings_t settings;
  int action;            /* key of the last such option; 0: none, serve */
  uint16_t metrics_port; /* for MAIN_PLATFORM; 0: no metrics */
} ca_main_t;

static const struct argp_option main_print_options[MAIN_PRINT_OPTIONS] = {
  { "check-settings", MAIN_CHECK_SETTINGS, NULL, 0,
    "check every setting and exit", 0 },
  { "print-settings", MAIN_PRINT_SETTINGS, NULL, 0,
    "print the value and source of each setting", 0 },
  { "print-settings-page", MAIN_PRINT_SETTINGS_PAGE, NULL, 0,
    "print docs/settings.md", 0 },
  { "print-events", MAIN_PRINT_EVENTS, NULL, 0, "print docs/events.md", 0 },
  { "print-errors", MAIN_PRINT_ERRORS, NULL, 0, "print docs/errors.md", 0 },
  { "on-platform", MAIN_PLATFORM, "METRICS-PORT", 0,
    "serve on the users' platform with its settings file; 0 disables metrics",
    0 },
};

static error_t
main_parse_option (int key, char *value, struct argp_state *state)
{
  ca_main_t *program = state->input;

  if (key >= MAIN_FIRST_SETTING && key < MAIN_FIRST_SETTING + CA_SETTING_COUNT)
    {
      ca_settings_set (&program->settings,
                       (ca_setting_id_t)(key - MAIN_FIRST_SETTING), value,
                       CA_SOURCE_FLAG);
      return 0;
    }
  if (key == MAIN_PLATFORM)
    {
      program->action = key;
      program->metrics_port = (uint16_t)strtoul (value, NULL, 10);
      return 0;
    }
  if (key >= MAIN_CHECK_SETTINGS && key <= MAIN_PRINT_ERRORS)
    {
      program->action = key;
      return 0;
    }
  if (key == ARGP_KEY_ARG)
    argp_error (state, "unexpected argument '%s'", value);
  return ARGP_ERR_UNKNOWN;
}

/* Adds one option for each row of the settings table. */
static void
main_fill_options (struct argp_option *options)
{
  const ca_setting_info_t *table = ca_settings_table ();

  for (size_t i = 0; i < CA_SETTING_COUNT; i++)
    {
      options[i].name = table[i].flag;
      options[i].key = MAIN_FIRST_SETTING + (int)i;
      options[i].arg = table[i].unit[0] == '\0' ? "VALUE" : table[i].unit;
      options[i].doc = table[i].doc;
    }
  memcpy (&options[CA_SETTING_COUNT], main_print_options,
          sizeof main_print_options);
}

/* Handles the options that print and exit, and checks the settings; false if
 * the entry is to be started.  `status` is the exit status otherwise. */
static bool
main_print (const ca_main_t *program, int *status)
{
  ca_error_t error;

  ca_error_init (&error);
  *status = EX_OK;
  switch (program->action)
    {
    case MAIN_PRINT_SETTINGS:
      ca_settings_print (&program->settings, stdout);
      return true;
    case MAIN_PRINT_SETTINGS_PAGE:
      ca_settings_print_page (stdout);
      ca_platform_settings_print_limits (stdout);
      return true;
    case MAIN_PRINT_EVENTS:
      ca_events_print (stdout);
      return true;
    case MAIN_PRINT_ERRORS:
      ca_errors_print (stdout);
      return true;
    default:
      break;
    }
  if (!ca_settings_check (&program->settings, &error))
    {
      fprintf (stderr, "%s\n", error.message);
      *status = EX_USAGE;
      return true;
    }
  return program->action == MAIN_CHECK_SETTINGS;
}

/* Serves on the users' platform until a planned stop is complete. */
static int
main_serve_platform (uint16_t metrics_port)
{
  static ca_platform_daemon_t daemon;
  ca_error_t error;

  ca_error_init (&error);
  if (!ca_platform_daemon_init (&daemon, getenv (CA_PLATFORM_SETTINGS_VARIABLE),
                                metrics_port, &error))
    {
      fprintf (stderr, "%s\n", error.message);
      return error.kind == CA_ERROR_BAD_SETTING ? EX_CONFIG : EX_UNAVAILABLE;
    }
  ca_platform_daemon_run (&daemon);
  ca_platform_daemon_finish (&daemon);
  return EX_OK;
}

int
main (int argc, char **argv)
{
  static ca_main_t program;
  static ca_entry_t entry;
  struct argp_option options[CA_SETTING_COUNT + MAIN_PRINT_OPTIONS + 1];
  struct argp parser = { options, main_parse_option,
                         NULL,    "Entry daemon of camphorarch.",
                         NULL,    NULL,
                         NULL };
  ca_error_t error;
  int status;

  memset (options, 0, sizeof options);
  main_fill_options (options);
  ca_settings_init (&program.settings);
  argp_err_exit_status = EX_USAGE;
  argp_parse (&parser, argc, argv, 0, NULL, &program);
  if (program.action == MAIN_PLATFORM)
    return main_serve_platform (program.metrics_port);
  if (main_print (&program, &status))
    return status;
  ca_error_init (&error);
  if (!ca_entry_init (&entry, &program.settings, &error))
    {
      fprintf (stderr, "%s\n", error.message);
      return EX_UNAVAILABLE;
    }
  ca_entry_run (&entry);
  ca_entry_finish (&entry);
  return EX_OK;
}
