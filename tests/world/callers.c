/* Fake callers: send requests, check each token and final result against what
 * the endpoints actually ran, and reconnect when their request moves. */
#include "world.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define RECONNECT_DELAY_US (100 * CA_US_PER_MS)
#define MOVES_MAX 20

void
world_token_text (uint64_t seed, uint32_t index, char text[16])
{
  uint64_t hash = XXH64 (&index, sizeof index, seed);

  snprintf (text, 16, " %05x", (unsigned)(hash & 0xfffff));
}

uint64_t
world_answer_seed (const char *prompt, size_t bytes, const char *version)
{
  return XXH64 (prompt, bytes, XXH64 (version, strlen (version), 0));
}

world_ledger_t *
world_ledger (world_t *world, const char *key)
{
  world_ledger_t *ledger = NULL;

  HASH_FIND_STR (world->ledgers, key, ledger);
  if (ledger != NULL)
    return ledger;
  ledger = calloc (1, sizeof *ledger);
  strlcpy (ledger->key, key, sizeof ledger->key);
  HASH_ADD_STR (world->ledgers, key, ledger);
  return ledger;
}

static world_request_t *
callers_find (const world_t *world, uint64_t id)
{
  world_request_t *request = NULL;

  HASH_FIND (hh, world->requests, &id, sizeof id, request);
  return request;
}

world_request_t *
world_find_request (const world_t *world, const char *name)
{
  world_request_t *request;
  world_request_t *next;

  HASH_ITER (hh, world->requests, request, next)
  {
    if (strcmp (request->name, name) == 0)
      return request;
  }
  return NULL;
}

static const ca_class_t *
callers_find_class (const ca_core_t *core, const char *workspace,
                    const char *class_name)
{
  const ca_workspace_t *row
      = ca_config_find_workspace (&core->config, workspace);

  return row == NULL
             ? NULL
             : ca_config_find_class (&core->config, row->team, class_name);
}

world_request_t *
world_request (world_t *world, const char *name, int entry,
               const char *workspace, const char *class_name, const char *key,
               const char *prompt, uint32_t max_tokens, bool stream)
{
  ca_core_t *core = &world->entries[entry].core;
  const ca_class_t *row = callers_find_class (core, workspace, class_name);
  world_request_t *request = calloc (1, sizeof *request);
  ca_request_spec_t spec;

  memset (&spec, 0, sizeof spec);
  request->id = ca_core_new_request_id (core);
  strlcpy (request->name, name, sizeof request->name);
  strlcpy (request->workspace, workspace, sizeof request->workspace);
  strlcpy (request->class_name, class_name, sizeof request->class_name);
  strlcpy (request->key, key == NULL ? "" : key, sizeof request->key);
  request->prompt = strdup (prompt);
  request->entry = entry;
  request->entry_incarnation = world->entries[entry].incarnation;
  request->max_tokens = max_tokens;
  request->stream = stream;
  request->idempotent = row == NULL || row->idempotent;
  request->at_us = world->now_us;
  HASH_ADD (hh, world->requests, id, sizeof request->id, request);
  if (world->trace != NULL)
    fprintf (world->trace, "%.6f %s sends %016llx as %s\n",
             (double)world->now_us / 1e6, world->entries[entry].name,
             (unsigned long long)request->id, name);
  spec.id = request->id;
  spec.workspace = workspace;
  spec.class_name = class_name;
  spec.key = key;
  spec.body = prompt;
  spec.body_bytes = strlen (prompt);
  spec.max_tokens = max_tokens;
  spec.stream = stream;
  if (row != NULL)
    {
      const ca_pool_t *pool = ca_config_find_pool (&core->config, row->pool);

      request->service = pool->service;
      request->seed
          = world_answer_seed (prompt, spec.body_bytes, pool->version);
      spec.path = request->service ? "/call" : NULL;
    }
  ca_core_request (core, world->now_us, &spec);
  return request;
}

/* Results. */

/* True if this entry may still send to the caller of the request. */
static bool
callers_is_open (world_t *world, const world_entry_t *entry,
                 const world_request_t *request)
{
  if (request->status == WORLD_LOST)
    return false;
  if (request->entry != entry->index)
    {
      world_violation (world, "request %s: reply from the wrong entry",
                       request->name);
      return false;
    }
  if (request->status != WORLD_WAITING)
    world_violation (world, "request %s: reply after its end", request->name);
  return request->status == WORLD_WAITING;
}

static void
callers_token (void *context, uint64_t id, uint32_t index, const char *text,
               size_t bytes)
{
  world_entry_t *entry = context;
  world_t *world = entry->world;
  world_request_t *request = callers_find (world, id);
  char expected[16];

  if (request == NULL || !callers_is_open (world, entry, request))
    return;
  if (index != request->received_tokens)
    world_violation (world, "request %s: received token %u, expected token %u",
                     request->name, index, request->received_tokens);
  if (request->first_us == 0)
    request->first_us = world->now_us;
  request->received_tokens++;
  world_token_text (request->seed, index, expected);
  if (bytes != strlen (expected))
    return; /* a replay is one piece, checked when it ends */
  if (memcmp (expected, text, bytes) != 0)
    world_violation (world, "request %s: wrong text of token %u", request->name,
                     index);
}

/* Checks that the answer is exactly the text expected for the prompt. */
static void
callers_check_text (world_t *world, const world_request_t *request,
                    const ca_answer_t *answer)
{
  uint32_t tokens = request->service ? 1 : request->max_tokens;
  size_t at = 0;

  for (uint32_t i = 0; i < tokens; i++)
    {
      char expected[16];
      size_t bytes;

      world_token_text (request->seed, i, expected);
      bytes = strlen (expected);
      if (at + bytes > answer->text_bytes
          || memcmp (answer->text + at, expected, bytes) != 0)
        {
          world_violation (world, "request %s: answer differs at token %u",
                           request->name, i);
          return;
        }
      at += bytes;
    }
  if (at != answer->text_bytes)
    world_violation (world, "request %s: answer is too long", request->name);
}

static void
callers_end (void *context, uint64_t id, const ca_answer_t *answer)
{
  world_entry_t *entry = context;
  world_t *world = entry->world;
  world_request_t *request = callers_find (world, id);

  if (request == NULL || !callers_is_open (world, entry, request))
    return;
  callers_check_text (world, request, answer);
  if (request->stream && !answer->replayed
      && request->received_tokens != answer->tokens)
    world_violation (world, "request %s: received %u of %u tokens at its end",
                     request->name, request->received_tokens, answer->tokens);
  request->status = WORLD_ANSWERED;
  request->replayed = answer->replayed;
  request->end_us = world->now_us;
}

static void
callers_error (void *context, uint64_t id, const ca_refusal_t *refusal)
{
  world_entry_t *entry = context;
  world_t *world = entry->world;
  world_request_t *request = callers_find (world, id);
  char key[CA_NAME_BYTES * 2];

  if (request == NULL || !callers_is_open (world, entry, request))
    return;
  request->status = WORLD_REFUSED;
  request->kind = refusal->kind;
  request->outcome = refusal->outcome;
  request->retry_us = refusal->retry_after_us;
  request->end_us = world->now_us;
  if (refusal->outcome != CA_OUTCOME_NOT_RUN || request->idempotent
      || request->key[0] == '\0' || refusal->kind == CA_ERROR_KEY_REUSED)
    return;
  snprintf (key, sizeof key, "%s/%s", request->workspace, request->key);
  if (world_ledger (world, key)->first_us != 0)
    world_violation (world, "request %s: outcome is not_run, but its key ran",
                     request->name);
}

/* Reconnects the caller to a random live entry. */
static void
callers_reconnect (world_t *world, world_event_t *event)
{
  world_request_t *request = callers_find (world, event->number);
  int entry = (int)world_random_below (world, (uint64_t)world->entry_count);

  if (request == NULL || request->status != WORLD_WAITING)
    return;
  request->reconnecting = false;
  for (int i = 0; i < world->entry_count; i++)
    {
      int index = (entry + i) % world->entry_count;
      world_entry_t *row = &world->entries[index];

      if (!row->alive || row->paused || row->core.stopping)
        continue;
      request->entry = index;
      request->entry_incarnation = row->incarnation;
      ca_core_attach (&row->core, world->now_us, request->id,
                      request->received_tokens, request->stream);
      return;
    }
  request->status = WORLD_LOST;
}

static void
callers_moved (void *context, uint64_t id)
{
  world_entry_t *entry = context;
  world_t *world = entry->world;
  world_request_t *request = callers_find (world, id);
  world_event_t *event;

  if (request == NULL || !callers_is_open (world, entry, request))
    return;
  if (++request->moves > MOVES_MAX)
    {
      world_violation (world, "request %s: moved too often", request->name);
      return;
    }
  request->reconnecting = true;
  event = world_schedule (world, RECONNECT_DELAY_US, callers_reconnect, -1);
  event->number = id;
}

void
world_caller_ports (ca_ports_t *ports)
{
  ports->reply_token = callers_token;
  ports->reply_end = callers_end;
  ports->reply_error = callers_error;
  ports->reply_moved = callers_moved;
}

void
world_lose_requests (world_t *world, int entry)
{
  world_request_t *request;
  world_request_t *next;

  HASH_ITER (hh, world->requests, request, next)
  {
    if (request->status == WORLD_WAITING && request->entry == entry
        && !request->reconnecting)
      request->status = WORLD_LOST;
  }
}

void
world_check (world_t *world)
{
  world_request_t *request;
  world_request_t *next;

  HASH_ITER (hh, world->requests, request, next)
  {
    if (request->status == WORLD_WAITING)
      world_violation (world, "request %s %016llx (%s): no result",
                       request->name, (unsigned long long)request->id,
                       request->class_name);
  }
}

void
world_callers_finish (world_t *world)
{
  world_request_t *request;
  world_request_t *next;
  world_ledger_t *ledger;
  world_ledger_t *next_ledger;

  HASH_ITER (hh, world->requests, request, next)
  {
    HASH_DEL (world->requests, request);
    free (request->prompt);
    free (request);
  }
  HASH_ITER (hh, world->ledgers, ledger, next_ledger)
  {
    HASH_DEL (world->ledgers, ledger);
    free (ledger);
  }
}
