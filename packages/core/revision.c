/* Planning and confirming of intents, and propagation of confirmed revisions.
 *
 * The table has one row per intent, intent/TEAM, and a head row with the latest
 * revision.  A confirm writes both and its plan's row in one transaction.
 * Entries receive new revisions from peers within a round trip and also poll
 * the head.  The revision of an entry never decreases. */
#include "core/private.h"

#include <stdlib.h>
#include <string.h>

#define HEAD_KEY "config/head"
#define INTENT_PREFIX "intent/"
#define PLAN_PREFIX "plan/"

/* The entries of a zone together read the head about once in this period. */
#define HEAD_PERIOD_US (1 * CA_US_PER_S)
#define CONFIRM_MAX_TRIES 8

/* Minimum interval between requests to peers for newer intents. */
#define INTENTS_REQUEST_PERIOD_US (200 * CA_US_PER_MS)

/* Members that an entry forwards a new revision to. */
#define DELTA_FANOUT 2

/* Applying revisions. */

/* Raises this entry's revision and announces it to the members. */
static void
revision_advance (ca_core_t *core, uint64_t revision)
{
  if (revision <= core->config.revision)
    return;
  core->config.revision = revision;
  core->epoch++;
  ca_member_publish_self (core);
  ca_trace (core, CA_EVENT_CONFIG_APPLIED, NULL, 0, "revision %llu",
            (unsigned long long)revision);
}

/* Applies one intent; returns false if it is invalid. */
static bool
revision_apply_intent (ca_core_t *core, const char *team, uint64_t revision,
                       const char *text)
{
  ca_error_t error;

  ca_error_init (&error);
  ca_config_put_intent (&core->config, team, revision, text, &error);
  if (error.kind == CA_ERROR_NONE)
    return true;
  ca_trace (core, CA_EVENT_CONFIG_REFUSED, NULL, 0, "team %s revision %llu",
            team, (unsigned long long)revision);
  return false;
}

/* Peers. */

static int
revision_compare (const void *a, const void *b)
{
  const Camphor__ConfigIntent *left = *(Camphor__ConfigIntent *const *)a;
  const Camphor__ConfigIntent *right = *(Camphor__ConfigIntent *const *)b;

  return left->revision < right->revision ? -1
                                          : left->revision > right->revision;
}

/* Sends all intents newer than revision `after` in one message, oldest
 * first. */
static void
revision_send_delta (ca_core_t *core, uint64_t to, uint64_t after)
{
  size_t count = 0;
  Camphor__ConfigIntent *rows
      = calloc (core->config.intent_count + 1, sizeof *rows);
  Camphor__ConfigIntent **list
      = calloc (core->config.intent_count + 1, sizeof *list);
  Camphor__Envelope envelope;
  Camphor__ConfigDelta delta = CAMPHOR__CONFIG_DELTA__INIT;

  for (size_t i = 0; i < core->config.intent_count; i++)
    {
      const ca_intent_t *intent = &core->config.intents[i];

      if (intent->revision <= after)
        continue;
      camphor__config_intent__init (&rows[count]);
      rows[count].team = (char *)intent->team;
      rows[count].revision = intent->revision;
      rows[count].text.data = (uint8_t *)intent->text;
      rows[count].text.len = strlen (intent->text);
      list[count] = &rows[count];
      count++;
    }
  qsort (list, count, sizeof *list, revision_compare);
  delta.after = after;
  delta.revision = core->config.revision;
  delta.n_intents = count;
  delta.intents = list;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_CONFIG_DELTA;
  envelope.config_delta = &delta;
  ca_peer_send (core, to, &envelope);
  free (rows);
  free (list);
}

/* Sends the intents newer than revision `after` to one member of this zone and
 * one of any zone, unless they already report the current revision. */
static void
revision_propagate (ca_core_t *core, uint64_t after)
{
  for (int i = 0; i < DELTA_FANOUT; i++)
    {
      const ca_member_t *member
          = ca_member_random (core, i == 0 ? core->options.zone : NULL);

      if (member != NULL && member->config_revision < core->config.revision)
        revision_send_delta (core, member->id, after);
    }
}

/* Requests newer intents from a peer, with a limit on the rate. */
static void
revision_request_delta (ca_core_t *core, uint64_t to)
{
  Camphor__Envelope envelope;
  Camphor__ConfigWant want = CAMPHOR__CONFIG_WANT__INIT;

  if (core->now_us < core->next_intents_us)
    return;
  core->next_intents_us = core->now_us + INTENTS_REQUEST_PERIOD_US;
  want.have_revision = core->config.revision;
  ca_envelope_init (core, &envelope);
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_CONFIG_WANT;
  envelope.config_want = &want;
  ca_peer_send (core, to, &envelope);
}

void
ca_revision_reported (ca_core_t *core, uint64_t from, uint64_t revision)
{
  if (revision > core->config.revision)
    revision_request_delta (core, from);
}

void
ca_revision_config_want (ca_core_t *core, const Camphor__Envelope *envelope)
{
  uint64_t have = envelope->config_want->have_revision;

  if (have < core->config.revision)
    revision_send_delta (core, envelope->from, have);
}

void
ca_revision_config_delta (ca_core_t *core, const Camphor__Envelope *envelope)
{
  const Camphor__ConfigDelta *delta = envelope->config_delta;
  uint64_t before = core->config.revision;
  bool complete = true;

  if (delta->revision <= before)
    return;
  if (delta->after > before)
    {
      revision_request_delta (core, envelope->from);
      return;
    }
  for (size_t i = 0; i < delta->n_intents; i++)
    {
      const Camphor__ConfigIntent *row = delta->intents[i];
      char *text = strndup ((const char *)row->text.data, row->text.len);

      complete &= revision_apply_intent (core, row->team, row->revision, text);
      free (text);
    }
  if (!complete)
    return;
  revision_advance (core, delta->revision);
  revision_propagate (core, before);
}

/* Reading from the store. */

/* Parses the head row; a missing row means revision 0.  Returns false if it is
 * invalid. */
static bool
revision_parse_head (const ca_table_result_t *result, uint64_t *revision)
{
  json_t *head;
  bool parsed;

  *revision = 0;
  if (result->row_count == 0)
    return true;
  head = json_loads (result->rows[0].value, 0, NULL);
  parsed = json_is_integer (json_object_get (head, "revision"));
  *revision = (uint64_t)json_integer_value (json_object_get (head, "revision"));
  json_decref (head);
  return parsed;
}

/* Applies an intent row, {"revision": N, "intent": TEXT}, and returns its
 * revision, or 0 if the row is invalid. */
static uint64_t
revision_apply_row (ca_core_t *core, const ca_row_t *row)
{
  json_t *value = json_loads (row->value, 0, NULL);
  const char *text = json_string_value (json_object_get (value, "intent"));
  uint64_t revision
      = (uint64_t)json_integer_value (json_object_get (value, "revision"));
  const char *team = row->key + strlen (INTENT_PREFIX);

  if (text == NULL || revision == 0
      || !revision_apply_intent (core, team, revision, text))
    {
      ca_trace (core, CA_EVENT_STORE_BAD_ROW, NULL, 0, "%s", row->key);
      revision = 0;
    }
  json_decref (value);
  return revision;
}

static void
revision_scan_done (ca_core_t *core, uint64_t subject,
                    const ca_table_result_t *result)
{
  uint64_t highest = 0;

  (void)subject;
  core->head_read_pending = false;
  if (result->status != CA_TABLE_OK)
    return;
  for (size_t i = 0; i < result->row_count; i++)
    {
      uint64_t revision = revision_apply_row (core, &result->rows[i]);

      if (revision > highest)
        highest = revision;
    }
  /* A stale scan can lack the intent of the head's revision; then the revision
   * does not advance. */
  if (highest >= core->scan_head_revision)
    revision_advance (core, core->scan_head_revision);
  core->scan_head_revision = 0;
}

static void
revision_scan (ca_core_t *core, uint64_t head)
{
  core->scan_head_revision = head;
  core->head_read_pending
      = ca_store_scan (core, 0, INTENT_PREFIX, revision_scan_done);
  if (!core->head_read_pending)
    core->scan_head_revision = 0;
}

static void
revision_head_done (ca_core_t *core, uint64_t subject,
                    const ca_table_result_t *result)
{
  uint64_t head;

  (void)subject;
  core->head_read_pending = false;
  if (result->status != CA_TABLE_OK)
    return;
  if (!revision_parse_head (result, &head))
    {
      ca_trace (core, CA_EVENT_STORE_BAD_ROW, NULL, 0, HEAD_KEY);
      return;
    }
  if (head > core->config.revision)
    revision_scan (core, head);
}

void
ca_revision_tick (ca_core_t *core)
{
  size_t readers;

  if (core->now_us < core->next_head_read_us || core->head_read_pending)
    return;
  /* Scale the interval so that the zone reads the head once a period. */
  readers = ca_member_live_count (core, core->options.zone);
  if (readers == 0 || core->config.revision == 0)
    readers = 1;
  core->next_head_read_us = core->now_us + readers * HEAD_PERIOD_US / 2
                            + ca_random_below (core, readers * HEAD_PERIOD_US);
  core->head_read_pending
      = ca_store_read (core, 0, HEAD_KEY, revision_head_done);
}

/* Operator calls and plans. */

static ca_operation_t *
operation_find (const ca_core_t *core, uint64_t call)
{
  ca_operation_t *operation = NULL;

  HASH_FIND (hh, core->operations, &call, sizeof call, operation);
  return operation;
}

static ca_operation_t *
operation_new (ca_core_t *core, uint64_t call, bool confirm)
{
  ca_operation_t *operation = calloc (1, sizeof *operation);

  operation->call = call;
  operation->confirm = confirm;
  operation->since_us = core->now_us;
  HASH_ADD (hh, core->operations, call, sizeof operation->call, operation);
  return operation;
}

static void
operation_free (ca_core_t *core, ca_operation_t *operation)
{
  HASH_DEL (core->operations, operation);
  free (operation->intent);
  free (operation->effects);
  free (operation);
}

void
ca_revision_finish (ca_core_t *core)
{
  ca_operation_t *operation;
  ca_operation_t *next;

  HASH_ITER (hh, core->operations, operation, next)
  operation_free (core, operation);
}

/* Takes ownership of `body`. */
static void
operation_reply (ca_core_t *core, uint64_t call, uint32_t status, json_t *body)
{
  char *text = json_dumps (body, JSON_INDENT (2));
  ca_operator_reply_t reply = { status, text };

  core->ports.reply_operator (core->ports.context, call, &reply);
  free (text);
  json_decref (body);
}

/* Replies with an error; takes ownership of `extra`, whose fields are added. */
static void
operation_fail (ca_core_t *core, uint64_t call, ca_error_kind_t kind,
                const char *message, json_t *extra)
{
  const ca_error_info_t *info = ca_error_info (kind);
  json_t *body = json_pack ("{s:s, s:s, s:s}", "kind", info->name, "message",
                            message, "remedy", info->remedy);

  if (extra != NULL)
    json_object_update_new (body, extra);
  ca_trace (core, CA_EVENT_CONFIG_REFUSED, NULL, 0, "%s", info->name);
  operation_reply (core, call, info->http_status, body);
}

static void
operation_store_failed (ca_core_t *core, ca_operation_t *operation)
{
  operation_fail (core, operation->call, CA_ERROR_STORE_UNAVAILABLE,
                  operation->confirm
                      ? "the table service did not answer; the plan may or may "
                        "not be confirmed: confirm it again"
                      : "the table service did not answer; nothing changed",
                  NULL);
  operation_free (core, operation);
}

static void
plan_stored (ca_core_t *core, uint64_t call, const ca_table_result_t *result)
{
  ca_operation_t *operation = operation_find (core, call);
  json_t *conflicts;
  json_t *effects;

  if (operation == NULL)
    return;
  if (result->status != CA_TABLE_OK)
    {
      operation_store_failed (core, operation);
      return;
    }
  effects = ca_config_effects (&core->config, operation->intent, &conflicts);
  ca_trace (core, CA_EVENT_CONFIG_PLANNED, NULL, 0, "plan %s team %s",
            operation->plan_id, operation->team);
  operation_reply (core, call, 200,
                   json_pack ("{s:s, s:s, s:I, s:o, s:o}", "plan",
                              operation->plan_id, "team", operation->team,
                              "base_revision",
                              (json_int_t)core->config.revision, "effects",
                              effects, "conflicts", conflicts));
  operation_free (core, operation);
}

/* Returns the effects and conflicts of an intent as JSON text, which the caller
 * must free.  A plan stores it as what the operator was shown. */
static char *
plan_effects_text (const ca_core_t *core, const char *intent)
{
  json_t *conflicts;
  json_t *effects = ca_config_effects (&core->config, intent, &conflicts);
  json_t *both
      = json_pack ("{s:o, s:o}", "effects", effects, "conflicts", conflicts);
  char *text = json_dumps (both, JSON_COMPACT | JSON_SORT_KEYS);

  json_decref (both);
  return text;
}

/* Writes the plan's row; returns false if nothing was sent. */
static bool
plan_store (ca_core_t *core, ca_operation_t *operation)
{
  char key[64];
  json_t *row = json_pack ("{s:s, s:s, s:s}", "team", operation->team, "intent",
                           operation->intent, "effects", operation->effects);
  char *value = json_dumps (row, JSON_COMPACT);
  ca_table_op_t op = { key, CA_ROW_ABSENT, value };
  bool sent;

  snprintf (key, sizeof key, PLAN_PREFIX "%s", operation->plan_id);
  sent = ca_store_write (core, operation->call, &op, 1, plan_stored);
  free (value);
  json_decref (row);
  return sent;
}

void
ca_core_plan (ca_core_t *core, uint64_t now_us, uint64_t call,
              const char *intent)
{
  char team[CA_NAME_BYTES] = "";
  ca_operation_t *operation;
  ca_error_t error;

  ca_core_begin_event (core, now_us);
  ca_error_init (&error);
  if (!ca_config_check_intent (intent, team, &error))
    operation_fail (core, call, error.kind, error.message, NULL);
  else
    {
      operation = operation_new (core, call, false);
      operation->intent = strdup (intent);
      operation->effects = plan_effects_text (core, intent);
      strlcpy (operation->team, team, sizeof operation->team);
      snprintf (operation->plan_id, sizeof operation->plan_id, "%016llx",
                (unsigned long long)ca_core_new_request_id (core));
      if (!plan_store (core, operation))
        operation_store_failed (core, operation);
    }
  ca_core_end_event (core);
}

/* Confirms. */

static void confirm_read_plan (ca_core_t *core, ca_operation_t *operation);

static void
confirm_reply (ca_core_t *core, ca_operation_t *operation, uint64_t revision)
{
  operation_reply (core, operation->call, 200,
                   json_pack ("{s:s, s:I}", "confirmed", operation->plan_id,
                              "revision", (json_int_t)revision));
  operation_free (core, operation);
}

/* True if the plan still has the effects that the operator was shown; otherwise
 * fails the operation. */
static bool
confirm_is_fresh (ca_core_t *core, ca_operation_t *operation)
{
  char *now_text = plan_effects_text (core, operation->intent);
  json_t *shown;
  json_t *current;

  if (strcmp (now_text, operation->effects) == 0)
    {
      free (now_text);
      return true;
    }
  shown = json_loads (operation->effects, 0, NULL);
  current = json_loads (now_text, 0, NULL);
  operation_fail (core, operation->call, CA_ERROR_STALE_PLAN,
                  "the effects of the plan have changed since it was made",
                  json_pack ("{s:o, s:o}", "shown", shown, "now", current));
  operation_free (core, operation);
  free (now_text);
  return false;
}

static bool
confirm_has_conflicts (ca_core_t *core, ca_operation_t *operation)
{
  json_t *conflicts;
  json_t *effects
      = ca_config_effects (&core->config, operation->intent, &conflicts);
  bool any = json_array_size (conflicts) > 0;

  json_decref (effects);
  if (any)
    {
      operation_fail (core, operation->call, CA_ERROR_BAD_INTENT,
                      "the intent uses names that belong to another team",
                      json_pack ("{s:O}", "conflicts", conflicts));
      operation_free (core, operation);
    }
  json_decref (conflicts);
  return any;
}

static void
confirm_written (ca_core_t *core, uint64_t call,
                 const ca_table_result_t *result)
{
  ca_operation_t *operation = operation_find (core, call);
  uint64_t revision;

  if (operation == NULL)
    return;
  if (result->status != CA_TABLE_OK)
    {
      /* Another confirm was first, or the answer was lost: read the plan's row
       * to find out. */
      confirm_read_plan (core, operation);
      return;
    }
  revision = operation->new_revision;
  ca_trace (core, CA_EVENT_CONFIG_CONFIRMED, NULL, 0,
            "plan %s team %s revision %llu", operation->plan_id,
            operation->team, (unsigned long long)revision);
  if (core->config.revision + 1 == revision
      && revision_apply_intent (core, operation->team, revision,
                                operation->intent))
    {
      revision_advance (core, revision);
      revision_propagate (core, revision - 1);
    }
  confirm_reply (core, operation, revision);
}

static char *
confirm_plan_value (const ca_operation_t *operation)
{
  json_t *row
      = json_pack ("{s:s, s:s, s:s, s:I}", "team", operation->team, "intent",
                   operation->intent, "effects", operation->effects,
                   "confirmed", (json_int_t)operation->new_revision);
  char *value = json_dumps (row, JSON_COMPACT);

  json_decref (row);
  return value;
}

static char *
confirm_intent_value (const ca_operation_t *operation)
{
  json_t *row = json_pack ("{s:I, s:s}", "revision",
                           (json_int_t)operation->new_revision, "intent",
                           operation->intent);
  char *value = json_dumps (row, JSON_COMPACT);

  json_decref (row);
  return value;
}

/* Writes head, intent and plan in one transaction, provided that head and plan
 * are unchanged since they were read. */
static void
confirm_write (ca_core_t *core, ca_operation_t *operation,
               uint64_t head_version)
{
  char head_value[48];
  char intent_key[CA_NAME_BYTES + 16];
  char plan_key[64];
  char *intent_value;
  char *plan_value;

  operation->new_revision = core->config.revision + 1;
  snprintf (head_value, sizeof head_value, "{\"revision\":%llu}",
            (unsigned long long)operation->new_revision);
  snprintf (intent_key, sizeof intent_key, INTENT_PREFIX "%s", operation->team);
  snprintf (plan_key, sizeof plan_key, PLAN_PREFIX "%s", operation->plan_id);
  intent_value = confirm_intent_value (operation);
  plan_value = confirm_plan_value (operation);
  {
    ca_table_op_t ops[] = {
      { HEAD_KEY, head_version, head_value },
      { intent_key, CA_ROW_ANY, intent_value },
      { plan_key, operation->plan_version, plan_value },
    };

    if (!ca_store_write (core, operation->call, ops, 3, confirm_written))
      operation_store_failed (core, operation);
  }
  free (intent_value);
  free (plan_value);
}

static void
confirm_scanned (ca_core_t *core, uint64_t call,
                 const ca_table_result_t *result)
{
  ca_operation_t *operation = operation_find (core, call);

  if (operation == NULL)
    return;
  if (result->status != CA_TABLE_OK)
    {
      operation_store_failed (core, operation);
      return;
    }
  for (size_t i = 0; i < result->row_count; i++)
    revision_apply_row (core, &result->rows[i]);
  revision_advance (core, operation->new_revision);
  confirm_read_plan (core, operation);
}

/* Handles the read of the head: catches up if it is newer, else writes. */
static void
confirm_head_read (ca_core_t *core, uint64_t call,
                   const ca_table_result_t *result)
{
  ca_operation_t *operation = operation_find (core, call);
  uint64_t head;

  if (operation == NULL)
    return;
  if (result->status != CA_TABLE_OK || !revision_parse_head (result, &head))
    {
      operation_store_failed (core, operation);
      return;
    }
  if (head > core->config.revision)
    {
      operation->new_revision = head;
      if (!ca_store_scan (core, call, INTENT_PREFIX, confirm_scanned))
        operation_store_failed (core, operation);
      return;
    }
  if (head < core->config.revision)
    {
      /* A stale read: the write would conflict. */
      confirm_read_plan (core, operation);
      return;
    }
  if (!confirm_is_fresh (core, operation)
      || confirm_has_conflicts (core, operation))
    return;
  confirm_write (core, operation,
                 result->row_count == 0 ? CA_ROW_ABSENT
                                        : result->rows[0].version);
}

/* Copies the plan's row into the operation; returns false if it is invalid. */
static bool
confirm_load_plan (ca_operation_t *operation, const ca_row_t *row,
                   uint64_t *confirmed)
{
  json_t *plan = json_loads (row->value, 0, NULL);
  const char *team = json_string_value (json_object_get (plan, "team"));
  const char *intent = json_string_value (json_object_get (plan, "intent"));
  const char *effects = json_string_value (json_object_get (plan, "effects"));
  bool complete = team != NULL && intent != NULL && effects != NULL;

  *confirmed
      = (uint64_t)json_integer_value (json_object_get (plan, "confirmed"));
  if (complete)
    {
      free (operation->intent);
      free (operation->effects);
      operation->intent = strdup (intent);
      operation->effects = strdup (effects);
      operation->plan_version = row->version;
      strlcpy (operation->team, team, sizeof operation->team);
    }
  json_decref (plan);
  return complete;
}

static void
confirm_plan_read (ca_core_t *core, uint64_t call,
                   const ca_table_result_t *result)
{
  ca_operation_t *operation = operation_find (core, call);
  uint64_t confirmed;

  if (operation == NULL)
    return;
  if (result->status != CA_TABLE_OK)
    {
      operation_store_failed (core, operation);
      return;
    }
  if (result->row_count == 0
      || !confirm_load_plan (operation, &result->rows[0], &confirmed))
    {
      operation_fail (core, call, CA_ERROR_UNKNOWN_PLAN,
                      "the plan does not exist", NULL);
      operation_free (core, operation);
      return;
    }
  if (confirmed > 0)
    {
      confirm_reply (core, operation, confirmed);
      return;
    }
  if (!ca_store_read (core, call, HEAD_KEY, confirm_head_read))
    operation_store_failed (core, operation);
}

static void
confirm_read_plan (ca_core_t *core, ca_operation_t *operation)
{
  char key[64];

  snprintf (key, sizeof key, PLAN_PREFIX "%s", operation->plan_id);
  operation->tries++;
  if (operation->tries > CONFIRM_MAX_TRIES
      || !ca_store_read (core, operation->call, key, confirm_plan_read))
    operation_store_failed (core, operation);
}

void
ca_core_confirm (ca_core_t *core, uint64_t now_us, uint64_t call,
                 const char *plan_id)
{
  ca_operation_t *operation;

  ca_core_begin_event (core, now_us);
  operation = operation_new (core, call, true);
  strlcpy (operation->plan_id, plan_id, sizeof operation->plan_id);
  confirm_read_plan (core, operation);
  ca_core_end_event (core);
}
