/* Configuration: the intents of all teams and the merged result.
 *
 * Each team owns one intent.  The configuration at a revision is the union of
 * the latest intents of all teams.  Revisions never decrease. */
#ifndef CA_CORE_CONFIG_H
#define CA_CORE_CONFIG_H

#include "base/error.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Sizes in bytes include the terminating NUL. */
#define CA_NAME_BYTES 48
#define CA_VERSION_BYTES 24
#define CA_POOL_ZONES 16

typedef struct
{
  char zone[CA_NAME_BYTES];
  uint32_t replicas;
} ca_pool_zone_t;

/* The endpoints of one model version or of one plain service. */
typedef struct
{
  char name[CA_NAME_BYTES];
  char version[CA_VERSION_BYTES];
  char team[CA_NAME_BYTES];
  bool service;
  uint32_t shards;
  uint32_t reclaimable_percent;
  uint32_t zone_count;
  ca_pool_zone_t zones[CA_POOL_ZONES];
} ca_pool_t;

typedef struct
{
  char name[CA_NAME_BYTES];
  char team[CA_NAME_BYTES];
  uint32_t share;
} ca_workspace_t;

typedef struct
{
  char name[CA_NAME_BYTES];
  char team[CA_NAME_BYTES];
  char pool[CA_NAME_BYTES];
  uint32_t priority; /* 0 to 9; 9 is served first */
  uint32_t weight;   /* weight of one answer in goodput */
  bool idempotent;
  uint64_t first_token_us;
  uint64_t deadline_us;
} ca_class_t;

/* The latest confirmed intent of one team. */
typedef struct
{
  char team[CA_NAME_BYTES];
  uint64_t revision; /* configuration revision that confirmed it */
  char *text;
} ca_intent_t;

typedef struct
{
  uint64_t revision;
  ca_intent_t *intents;
  size_t intent_count;
  ca_pool_t *pools;
  size_t pool_count;
  ca_workspace_t *workspaces;
  size_t workspace_count;
  ca_class_t *classes;
  size_t class_count;
} ca_config_t;

/* Initialises an empty configuration at revision 0. */
void ca_config_init (ca_config_t *config);
void ca_config_finish (ca_config_t *config);

/* Validates an intent and adds one line to `error` for each invalid field.
 * Copies the team's name into `team` if it is valid. */
bool ca_config_check_intent (const char *text, char team[CA_NAME_BYTES],
                             ca_error_t *error);

/* Stores a team's intent unless the current one is as new.  The text is
 * validated first, with errors in `error`.  Returns true if the configuration
 * changed. */
bool ca_config_put_intent (ca_config_t *config, const char *team,
                           uint64_t revision, const char *text,
                           ca_error_t *error);

const ca_intent_t *ca_config_find_intent (const ca_config_t *config,
                                          const char *team);
const ca_pool_t *ca_config_find_pool (const ca_config_t *config,
                                      const char *name);
const ca_workspace_t *ca_config_find_workspace (const ca_config_t *config,
                                                const char *name);
const ca_class_t *ca_config_find_class (const ca_config_t *config,
                                        const char *team, const char *name);

/* Returns the effects that the intent would have as a new JSON array of
 * strings, and stores its conflicts with other teams' intents in `conflicts`.
 * The caller owns both references.  The intent must be valid. */
json_t *ca_config_effects (const ca_config_t *config, const char *text,
                           json_t **conflicts);

#endif
