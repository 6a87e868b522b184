/* Parses and merges intents, and computes the effects of a new one. */
#include "core/config.h"

#include <stdlib.h>
#include <string.h>

#define SHARE_MAX 10000
#define PRIORITY_MAX 9
#define REPLICAS_MAX 10000
#define SHARDS_MAX 1024
#define DEADLINE_MAX_MS 86400000
#define WEIGHT_MAX 1000

void
ca_config_init (ca_config_t *config)
{
  memset (config, 0, sizeof *config);
}

static void
config_clear_lists (ca_config_t *config)
{
  free (config->pools);
  free (config->workspaces);
  free (config->classes);
  config->pools = NULL;
  config->workspaces = NULL;
  config->classes = NULL;
  config->pool_count = 0;
  config->workspace_count = 0;
  config->class_count = 0;
}

void
ca_config_finish (ca_config_t *config)
{
  for (size_t i = 0; i < config->intent_count; i++)
    free (config->intents[i].text);
  free (config->intents);
  config_clear_lists (config);
  ca_config_init (config);
}

/* Returns the value of a string field, or NULL with an error if it is missing,
 * empty or too long. */
static const char *
config_check_text (const json_t *object, const char *where, const char *field,
                   size_t max, ca_error_t *error)
{
  const char *value = json_string_value (json_object_get (object, field));

  if (value == NULL || *value == '\0' || strlen (value) >= max)
    {
      ca_error_add (error, CA_ERROR_BAD_INTENT,
                    "%s.%s: expected a string of 1 to %zu characters", where,
                    field, max - 1);
      return NULL;
    }
  return value;
}

/* Checks an integer field; it may be missing unless `required`. */
static void
config_check_number (const json_t *object, const char *where, const char *field,
                     json_int_t min, json_int_t max, bool required,
                     ca_error_t *error)
{
  const json_t *value = json_object_get (object, field);

  if (value == NULL && !required)
    return;
  if (!json_is_integer (value) || json_integer_value (value) < min
      || json_integer_value (value) > max)
    ca_error_add (error, CA_ERROR_BAD_INTENT,
                  "%s.%s: expected an integer from %lld to %lld", where, field,
                  (long long)min, (long long)max);
}

/* Reports fields that are not in the list `fields`. */
static void
config_check_known_fields (const json_t *object, const char *where,
                           const char *const *fields, ca_error_t *error)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
  {
    bool known = false;

    for (size_t i = 0; fields[i] != NULL && !known; i++)
      known = strcmp (fields[i], key) == 0;
    if (!known)
      ca_error_add (error, CA_ERROR_BAD_INTENT,
                    "%s.%s: unknown field, remove it or correct its name",
                    where, key);
  }
}

static void
config_check_replicas (const json_t *pool, const char *where, ca_error_t *error)
{
  const json_t *replicas = json_object_get (pool, "replicas");
  char zone_where[80];
  const char *zone;
  json_t *count;

  if (!json_is_object (replicas) || json_object_size (replicas) == 0
      || json_object_size (replicas) > CA_POOL_ZONES)
    {
      ca_error_add (error, CA_ERROR_BAD_INTENT,
                    "%s.replicas: expected an object with 1 to %d "
                    "availability zones and a number of replicas for each",
                    where, CA_POOL_ZONES);
      return;
    }
  snprintf (zone_where, sizeof zone_where, "%s.replicas", where);
  json_object_foreach ((json_t *)replicas, zone, count)
  {
    if (strlen (zone) >= CA_NAME_BYTES)
      ca_error_add (error, CA_ERROR_BAD_INTENT,
                    "%s.replicas: a zone name is longer than %d characters; "
                    "shorten it",
                    where, CA_NAME_BYTES - 1);
    config_check_number (replicas, zone_where, zone, 0, REPLICAS_MAX, true,
                         error);
  }
}

static void
config_check_pool (const json_t *pool, const char *where, ca_error_t *error)
{
  static const char *const fields[]
      = { "name",     "version", "replicas", "shards", "reclaimable_percent",
          "adapters", NULL };

  config_check_known_fields (pool, where, fields, error);
  config_check_text (pool, where, "name", CA_NAME_BYTES, error);
  config_check_text (pool, where, "version", CA_VERSION_BYTES, error);
  config_check_number (pool, where, "shards", 1, SHARDS_MAX, false, error);
  config_check_number (pool, where, "reclaimable_percent", 0, 100, false,
                       error);
  config_check_replicas (pool, where, error);
}

static void
config_check_workspace (const json_t *workspace, const char *where,
                        ca_error_t *error)
{
  static const char *const fields[] = { "name", "share", NULL };

  config_check_known_fields (workspace, where, fields, error);
  config_check_text (workspace, where, "name", CA_NAME_BYTES, error);
  config_check_number (workspace, where, "share", 1, SHARE_MAX, true, error);
}

static bool
config_intent_has_pool (const json_t *intent, const char *name)
{
  static const char *const lists[] = { "models", "services" };

  for (size_t i = 0; i < 2; i++)
    {
      size_t index;
      json_t *pool;

      json_array_foreach (json_object_get (intent, lists[i]), index, pool)
      {
        const char *pool_name
            = json_string_value (json_object_get (pool, "name"));

        if (pool_name != NULL && strcmp (pool_name, name) == 0)
          return true;
      }
    }
  return false;
}

static void
config_check_class (const json_t *intent, const json_t *class_object,
                    const char *where, ca_error_t *error)
{
  static const char *const fields[]
      = { "name",           "runs_on",     "priority",   "weight",
          "first_token_ms", "deadline_ms", "idempotent", NULL };
  const json_t *idempotent = json_object_get (class_object, "idempotent");
  const char *pool;

  config_check_known_fields (class_object, where, fields, error);
  config_check_text (class_object, where, "name", CA_NAME_BYTES, error);
  pool = config_check_text (class_object, where, "runs_on", CA_NAME_BYTES,
                            error);
  if (pool != NULL && !config_intent_has_pool (intent, pool))
    ca_error_add (error, CA_ERROR_BAD_INTENT,
                  "%s.runs_on: '%s' is not a model or service of this intent; "
                  "add it or use another name",
                  where, pool);
  config_check_number (class_object, where, "priority", 0, PRIORITY_MAX, true,
                       error);
  config_check_number (class_object, where, "weight", 1, WEIGHT_MAX, false,
                       error);
  config_check_number (class_object, where, "first_token_ms", 1,
                       DEADLINE_MAX_MS, true, error);
  config_check_number (class_object, where, "deadline_ms", 1, DEADLINE_MAX_MS,
                       true, error);
  if (idempotent != NULL && !json_is_boolean (idempotent))
    ca_error_add (error, CA_ERROR_BAD_INTENT,
                  "%s.idempotent: expected true or false", where);
}

/* Checks the items of one list and that their names are unique. */
static void
config_check_list (const json_t *intent, const char *list, bool required,
                   ca_error_t *error)
{
  const json_t *array = json_object_get (intent, list);
  json_t *names;
  size_t index;
  json_t *item;

  if (array == NULL && !required)
    return;
  if (!json_is_array (array) || (required && json_array_size (array) == 0))
    {
      ca_error_add (error, CA_ERROR_BAD_INTENT,
                    "%s: expected a list; workspaces and classes need at least "
                    "one item",
                    list);
      return;
    }
  names = json_object ();
  json_array_foreach (array, index, item)
  {
    char where[64];
    const char *name;

    snprintf (where, sizeof where, "%s[%zu]", list, index);
    if (strcmp (list, "classes") == 0)
      config_check_class (intent, item, where, error);
    else if (strcmp (list, "workspaces") == 0)
      config_check_workspace (item, where, error);
    else
      config_check_pool (item, where, error);
    name = json_string_value (json_object_get (item, "name"));
    if (name != NULL && json_object_get (names, name) != NULL)
      ca_error_add (error, CA_ERROR_BAD_INTENT,
                    "%s.name: '%s' is used twice in the list; each name must "
                    "be unique",
                    where, name);
    if (name != NULL)
      json_object_set_new (names, name, json_true ());
  }
  json_decref (names);
}

bool
ca_config_check_intent (const char *text, char team[CA_NAME_BYTES],
                        ca_error_t *error)
{
  static const char *const fields[]
      = { "team",       "deployment", "models", "services",
          "workspaces", "classes",    NULL };
  json_error_t parse_error;
  json_t *intent = json_loads (text, JSON_REJECT_DUPLICATES, &parse_error);
  const char *name;

  if (!json_is_object (intent))
    {
      ca_error_add (error, CA_ERROR_BAD_INTENT,
                    "line %d: %s; expected one JSON object", parse_error.line,
                    intent == NULL ? parse_error.text : "not an object");
      json_decref (intent);
      return false;
    }
  config_check_known_fields (intent, "intent", fields, error);
  name = config_check_text (intent, "intent", "team", CA_NAME_BYTES, error);
  config_check_list (intent, "models", false, error);
  config_check_list (intent, "services", false, error);
  config_check_list (intent, "workspaces", true, error);
  config_check_list (intent, "classes", true, error);
  if (name != NULL)
    strlcpy (team, name, CA_NAME_BYTES);
  json_decref (intent);
  return error->kind == CA_ERROR_NONE;
}

/* Returns an integer field, or `default_value` if it is missing. */
static uint32_t
config_get_number (const json_t *object, const char *field,
                   uint32_t default_value)
{
  const json_t *value = json_object_get (object, field);

  return value == NULL ? default_value : (uint32_t)json_integer_value (value);
}

static void
config_copy_name (char *out, const json_t *object, const char *field)
{
  strlcpy (out, json_string_value (json_object_get (object, field)),
           CA_NAME_BYTES);
}

static void
config_merge_pools (ca_config_t *config, const json_t *intent, const char *list,
                    const char *team)
{
  size_t index;
  json_t *item;

  json_array_foreach (json_object_get (intent, list), index, item)
  {
    ca_pool_t *pool;
    const char *zone;
    json_t *count;

    config->pools = reallocarray (config->pools, config->pool_count + 1,
                                  sizeof *config->pools);
    pool = &config->pools[config->pool_count++];
    memset (pool, 0, sizeof *pool);
    config_copy_name (pool->name, item, "name");
    strlcpy (pool->version,
             json_string_value (json_object_get (item, "version")),
             sizeof pool->version);
    strlcpy (pool->team, team, sizeof pool->team);
    pool->service = strcmp (list, "services") == 0;
    pool->shards = config_get_number (item, "shards", 1);
    pool->reclaimable_percent
        = config_get_number (item, "reclaimable_percent", 0);
    json_object_foreach (json_object_get (item, "replicas"), zone, count)
    {
      ca_pool_zone_t *row = &pool->zones[pool->zone_count++];

      strlcpy (row->zone, zone, sizeof row->zone);
      row->replicas = (uint32_t)json_integer_value (count);
    }
  }
}

static void
config_merge_workspaces (ca_config_t *config, const json_t *intent,
                         const char *team)
{
  size_t index;
  json_t *item;

  json_array_foreach (json_object_get (intent, "workspaces"), index, item)
  {
    ca_workspace_t *workspace;

    config->workspaces
        = reallocarray (config->workspaces, config->workspace_count + 1,
                        sizeof *config->workspaces);
    workspace = &config->workspaces[config->workspace_count++];
    memset (workspace, 0, sizeof *workspace);
    config_copy_name (workspace->name, item, "name");
    strlcpy (workspace->team, team, sizeof workspace->team);
    workspace->share = config_get_number (item, "share", 1);
  }
}

static void
config_merge_classes (ca_config_t *config, const json_t *intent,
                      const char *team)
{
  size_t index;
  json_t *item;

  json_array_foreach (json_object_get (intent, "classes"), index, item)
  {
    const json_t *idempotent = json_object_get (item, "idempotent");
    ca_class_t *row;

    config->classes = reallocarray (config->classes, config->class_count + 1,
                                    sizeof *config->classes);
    row = &config->classes[config->class_count++];
    memset (row, 0, sizeof *row);
    config_copy_name (row->name, item, "name");
    config_copy_name (row->pool, item, "runs_on");
    strlcpy (row->team, team, sizeof row->team);
    row->priority = config_get_number (item, "priority", 0);
    row->weight = config_get_number (item, "weight", 1);
    row->idempotent = idempotent == NULL || json_is_true (idempotent);
    row->first_token_us
        = config_get_number (item, "first_token_ms", 1) * 1000ull;
    row->deadline_us = config_get_number (item, "deadline_ms", 1) * 1000ull;
  }
}

static void
config_merge_intent (ca_config_t *config, const char *team, const char *text)
{
  json_t *intent = json_loads (text, 0, NULL);

  config_merge_pools (config, intent, "models", team);
  config_merge_pools (config, intent, "services", team);
  config_merge_workspaces (config, intent, team);
  config_merge_classes (config, intent, team);
  json_decref (intent);
}

/* Merges the intents of all teams anew. */
static void
config_rebuild (ca_config_t *config)
{
  config_clear_lists (config);
  for (size_t i = 0; i < config->intent_count; i++)
    config_merge_intent (config, config->intents[i].team,
                         config->intents[i].text);
}

const ca_intent_t *
ca_config_find_intent (const ca_config_t *config, const char *team)
{
  for (size_t i = 0; i < config->intent_count; i++)
    {
      if (strcmp (config->intents[i].team, team) == 0)
        return &config->intents[i];
    }
  return NULL;
}

bool
ca_config_put_intent (ca_config_t *config, const char *team, uint64_t revision,
                      const char *text, ca_error_t *error)
{
  ca_intent_t *intent = (ca_intent_t *)ca_config_find_intent (config, team);
  char checked_team[CA_NAME_BYTES];

  if (intent != NULL && intent->revision >= revision)
    return false;
  if (!ca_config_check_intent (text, checked_team, error))
    return false;
  if (intent == NULL)
    {
      config->intents = reallocarray (config->intents, config->intent_count + 1,
                                      sizeof *config->intents);
      intent = &config->intents[config->intent_count++];
      memset (intent, 0, sizeof *intent);
      strlcpy (intent->team, team, sizeof intent->team);
    }
  free (intent->text);
  intent->text = strdup (text);
  intent->revision = revision;
  config_rebuild (config);
  return true;
}

const ca_pool_t *
ca_config_find_pool (const ca_config_t *config, const char *name)
{
  for (size_t i = 0; i < config->pool_count; i++)
    {
      if (strcmp (config->pools[i].name, name) == 0)
        return &config->pools[i];
    }
  return NULL;
}

const ca_workspace_t *
ca_config_find_workspace (const ca_config_t *config, const char *name)
{
  for (size_t i = 0; i < config->workspace_count; i++)
    {
      if (strcmp (config->workspaces[i].name, name) == 0)
        return &config->workspaces[i];
    }
  return NULL;
}

const ca_class_t *
ca_config_find_class (const ca_config_t *config, const char *team,
                      const char *name)
{
  for (size_t i = 0; i < config->class_count; i++)
    {
      if (strcmp (config->classes[i].team, team) == 0
          && strcmp (config->classes[i].name, name) == 0)
        return &config->classes[i];
    }
  return NULL;
}

/* Finds an item of one of the intent's lists by its name. */
static json_t *
config_find_item (const json_t *intent, const char *list, const char *name)
{
  size_t index;
  json_t *item;

  json_array_foreach (json_object_get (intent, list), index, item)
  {
    if (strcmp (json_string_value (json_object_get (item, "name")), name) == 0)
      return item;
  }
  return NULL;
}

/* Adds one effect for each field that differs between two items. */
static void
config_item_effects (json_t *effects, const char *list, const char *name,
                     const json_t *old_item, const json_t *new_item)
{
  const char *field;
  json_t *value;

  json_object_foreach ((json_t *)new_item, field, value)
  {
    const json_t *before = json_object_get (old_item, field);
    char *from;
    char *to;

    if (before != NULL && json_equal (before, value))
      continue;
    from = before == NULL ? strdup ("nothing")
                          : json_dumps (before, JSON_ENCODE_ANY | JSON_COMPACT);
    to = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
    json_array_append_new (effects,
                           json_sprintf ("change %s %s: %s from %s to %s", list,
                                         name, field, from, to));
    free (from);
    free (to);
  }
  json_object_foreach ((json_t *)old_item, field, value)
  {
    if (json_object_get (new_item, field) == NULL)
      json_array_append_new (effects, json_sprintf ("change %s %s: %s removed",
                                                    list, name, field));
  }
}

static void
config_list_effects (json_t *effects, const char *list, const json_t *before,
                     const json_t *after)
{
  size_t index;
  json_t *item;

  json_array_foreach (json_object_get (after, list), index, item)
  {
    const char *name = json_string_value (json_object_get (item, "name"));
    const json_t *old_item = config_find_item (before, list, name);

    if (old_item == NULL)
      json_array_append_new (effects, json_sprintf ("add %s %s", list, name));
    else
      config_item_effects (effects, list, name, old_item, item);
  }
  json_array_foreach (json_object_get (before, list), index, item)
  {
    const char *name = json_string_value (json_object_get (item, "name"));

    if (config_find_item (after, list, name) == NULL)
      json_array_append_new (effects,
                             json_sprintf ("remove %s %s", list, name));
  }
}

/* Workspace and pool names are global: it is a conflict if the intents of two
 * teams use the same one. */
static void
config_find_conflicts (const ca_config_t *config, const json_t *intent,
                       const char *team, json_t *conflicts)
{
  static const char *const lists[] = { "workspaces", "models", "services" };

  for (size_t i = 0; i < 3; i++)
    {
      size_t index;
      json_t *item;

      json_array_foreach (json_object_get (intent, lists[i]), index, item)
      {
        const char *name = json_string_value (json_object_get (item, "name"));
        const char *holder = NULL;

        if (i == 0)
          {
            const ca_workspace_t *row = ca_config_find_workspace (config, name);
            holder = row == NULL ? NULL : row->team;
          }
        else
          {
            const ca_pool_t *row = ca_config_find_pool (config, name);
            holder = row == NULL ? NULL : row->team;
          }
        if (holder != NULL && strcmp (holder, team) != 0)
          json_array_append_new (conflicts,
                                 json_sprintf ("%s %s belongs to team %s",
                                               lists[i], name, holder));
      }
    }
}

json_t *
ca_config_effects (const ca_config_t *config, const char *text,
                   json_t **conflicts)
{
  static const char *const lists[]
      = { "models", "services", "workspaces", "classes" };
  json_t *effects = json_array ();
  json_t *after = json_loads (text, 0, NULL);
  const char *team = json_string_value (json_object_get (after, "team"));
  const ca_intent_t *current = ca_config_find_intent (config, team);
  json_t *before = current == NULL ? NULL : json_loads (current->text, 0, NULL);

  for (size_t i = 0; i < 4; i++)
    config_list_effects (effects, lists[i], before, after);
  *conflicts = json_array ();
  config_find_conflicts (config, after, team, *conflicts);
  json_decref (before);
  json_decref (after);
  return effects;
}
