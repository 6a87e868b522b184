/* Commands of camphorctl: each queries the entries and prints the result. */
#include "ctl/commands.h"

#include "ctl/check.h"
#include "ctl/client.h"

#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#define FILE_MAX_BYTES (1024 * 1024)

/* Calls the entries in turn until one responds. */
static void
commands_call_first (const ca_ctl_t *ctl, enum evhttp_cmd_type method,
                     const char *path, const char *body, ca_reply_t *reply)
{
  memset (reply, 0, sizeof *reply);
  for (size_t i = 0; i < ctl->entry_count; i++)
    {
      ca_client_call (&ctl->entries[i], method, path, body, ctl->timeout_ms,
                      reply);
      if (reply->status != 0)
        return;
      ca_reply_finish (reply);
    }
}

/* Prints and frees the reply; returns the exit status for its HTTP status. */
static int
commands_print_reply (ca_reply_t *reply)
{
  int status = EX_OK;

  if (reply->status == 0)
    {
      fputs ("no entry answered: check --entries and that one runs\n", stderr);
      status = EX_UNAVAILABLE;
    }
  else if (reply->status >= 400)
    status = reply->status == 409 ? EX_TEMPFAIL : EX_DATAERR;
  if (reply->text != NULL)
    fprintf (status == EX_OK ? stdout : stderr, "%s\n", reply->text);
  ca_reply_finish (reply);
  return status;
}

/* Returns up to FILE_MAX_BYTES of a file, or NULL if it cannot be opened.
 * free() the result. */
static char *
commands_read_file (const char *path)
{
  FILE *in = fopen (path, "r");
  char *text;
  size_t bytes;

  if (in == NULL)
    return NULL;
  text = calloc (1, FILE_MAX_BYTES + 1);
  bytes = fread (text, 1, FILE_MAX_BYTES, in);
  text[bytes] = '\0';
  fclose (in);
  return text;
}

static int
commands_plan (const ca_ctl_t *ctl, const char *argument)
{
  char *intent = commands_read_file (argument);
  ca_reply_t reply;

  if (intent == NULL)
    {
      fprintf (stderr, "%s: cannot open the file; give an intent file\n",
               argument);
      return EX_NOINPUT;
    }
  commands_call_first (ctl, EVHTTP_REQ_POST, "/v1/plans", intent, &reply);
  free (intent);
  return commands_print_reply (&reply);
}

static int
commands_confirm (const ca_ctl_t *ctl, const char *argument)
{
  char path[128];
  ca_reply_t reply;

  snprintf (path, sizeof path, "/v1/plans/%s/confirm", argument);
  commands_call_first (ctl, EVHTTP_REQ_POST, path, "{}", &reply);
  return commands_print_reply (&reply);
}

static int
commands_status (const ca_ctl_t *ctl, const char *argument)
{
  ca_reply_t reply;

  (void)argument;
  commands_call_first (ctl, EVHTTP_REQ_GET, "/v1/status", NULL, &reply);
  return commands_print_reply (&reply);
}

/* Starts a planned stop of the first entry in the list. */
static int
commands_drain (const ca_ctl_t *ctl, const char *argument)
{
  ca_reply_t reply;

  (void)argument;
  ca_client_call (&ctl->entries[0], EVHTTP_REQ_POST, "/v1/drain", "{}",
                  ctl->timeout_ms, &reply);
  return commands_print_reply (&reply);
}

/* Returns a new array with the records of all entries that respond, sorted by
 * time. */
static json_t *
commands_collect_timeline (const ca_ctl_t *ctl)
{
  json_t *records = json_array ();

  for (size_t i = 0; i < ctl->entry_count; i++)
    {
      ca_reply_t reply;
      json_t *body;

      ca_client_call (&ctl->entries[i], EVHTTP_REQ_GET, "/v1/timeline", NULL,
                      ctl->timeout_ms, &reply);
      body = json_loads (reply.text == NULL ? "" : reply.text, 0, NULL);
      if (body != NULL)
        json_array_extend (records, json_object_get (body, "records"));
      else
        {
          char address[CA_ADDRESS_BYTES];

          ca_address_print (&ctl->entries[i], address);
          fprintf (stderr, "%s did not respond: its events are missing\n",
                   address);
        }
      json_decref (body);
      ca_reply_finish (&reply);
    }
  ca_timeline_sort (records);
  return records;
}

static int
commands_timeline (const ca_ctl_t *ctl, const char *argument)
{
  json_t *records = commands_collect_timeline (ctl);

  (void)argument;
  ca_timeline_print (records, &ctl->filter, stdout);
  json_decref (records);
  return EX_OK;
}

/* Prints the timeline of one request. */
static int
commands_explain (const ca_ctl_t *ctl, const char *argument)
{
  ca_timeline_filter_t filter = { argument, NULL, NULL };
  json_t *records = commands_collect_timeline (ctl);
  size_t printed = ca_timeline_print (records, &filter, stdout);

  json_decref (records);
  if (printed > 0)
    return EX_OK;
  fputs ("no entry holds events of this request: they are too old or the id "
         "is wrong\n",
         stderr);
  return EX_DATAERR;
}

const ca_ctl_command_t ca_ctl_commands[] = {
  { "plan", "FILE", "make a plan from an intent file and show its effects",
    commands_plan, false },
  { "confirm", "PLAN", "apply a plan", commands_confirm, false },
  { "status", NULL, "show applied revisions, entries and endpoints",
    commands_status, false },
  { "timeline", NULL, "show the merged events of all entries",
    commands_timeline, false },
  { "explain", "REQUEST", "show all events of one request", commands_explain,
    false },
  { "drain", NULL, "start a planned stop of the first entry", commands_drain,
    false },
  { "check", "FILE",
    "check a configuration before it is written to the store; exit status 1 "
    "with warnings, 2 with errors",
    ca_ctl_check, true },
  { NULL, NULL, NULL, NULL, false },
};
