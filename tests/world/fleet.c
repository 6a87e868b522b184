/* Fake endpoints, and the VM list and notices that tell of them. */
#include "world.h"

#include "core/tokens.h"

#include <stdlib.h>
#include <string.h>

#define LEG_DELAY_US 500
#define ALIVE_PERIOD_US (500 * CA_US_PER_MS)
#define CACHE_BLOCKS 512

/* Prompts with this word crash the engine that runs them. */
#define POISON_WORD "poison"
#define POISON_TOKENS 2

/* What goes from an endpoint to an entry. */
typedef struct
{
  enum
  {
    FLEET_TOKEN,
    FLEET_ALIVE,
    FLEET_END,
    FLEET_FAILED,
    FLEET_STOPPED,
    FLEET_HEALTH
  } kind;
  ca_run_attempt_t attempt;
  uint32_t index;
  uint32_t total;
  char text[16];
  ca_failure_t failure;
  ca_run_state_t state;
  uint64_t boot;
  uint64_t seed;
  uint64_t kv;
  uint64_t endpoint;
  bool answered;
  bool leaving;
  uint64_t notice_us;
  uint32_t batch;
} fleet_message_t;

/* What goes from an entry to an endpoint. */
typedef struct
{
  enum
  {
    FLEET_START,
    FLEET_REATTACH,
    FLEET_STOP,
    FLEET_PROBE
  } kind;
  ca_run_attempt_t attempt;
  bool idempotent;
  uint32_t from;
  uint32_t max_tokens;
  uint64_t seed;
  bool poison;
  char key[CA_NAME_BYTES * 2];
  uint64_t prefix[CA_PREFIX_MAX_BLOCKS];
  uint32_t prefix_count;
  uint32_t prompt_tokens;
  bool import;
} fleet_order_t;

/* --- Endpoints --- */

int
world_add_endpoint (world_t *world, const char *name, const char *zone,
                    const char *pool, bool service)
{
  int index = world->endpoint_count++;
  world_endpoint_t *endpoint = &world->endpoints[index];

  memset (endpoint, 0, sizeof *endpoint);
  strlcpy (endpoint->name, name, sizeof endpoint->name);
  strlcpy (endpoint->zone, zone, sizeof endpoint->zone);
  strlcpy (endpoint->pool, pool, sizeof endpoint->pool);
  endpoint->address.ip = 0x0b000000u + (uint32_t)index + 1;
  endpoint->address.port = 9000;
  endpoint->service = service;
  endpoint->reclaimable = true;
  endpoint->alive = true;
  endpoint->listed = true;
  endpoint->boot = 1;
  endpoint->step_us = 5 * CA_US_PER_MS;
  endpoint->prefill_us = 20;
  endpoint->batch = 8;
  ca_prefix_index_init (&endpoint->cache);
  ca_prefix_index_resize (&endpoint->cache, CACHE_BLOCKS);
  return index;
}

int
world_find_endpoint (const world_t *world, const char *name)
{
  for (int i = 0; i < world->endpoint_count; i++)
    {
      if (strcmp (world->endpoints[i].name, name) == 0)
        return i;
    }
  return -1;
}

int
world_endpoint_of (const world_t *world, const ca_address_t *address)
{
  int index = (int)(address->ip - 0x0b000000u) - 1;

  return index >= 0 && index < world->endpoint_count ? index : -1;
}

static world_run_row_t *
fleet_find_run (const world_endpoint_t *endpoint,
                const ca_run_attempt_t *attempt)
{
  struct
  {
    uint64_t request;
    uint32_t run;
    uint32_t unused;
  } key = { attempt->request, attempt->run, 0 };
  world_run_row_t *row = NULL;

  HASH_FIND (hh, endpoint->runs, &key, 16, row);
  return row;
}

static world_run_row_t *
fleet_add_run (world_endpoint_t *endpoint, const ca_run_attempt_t *attempt)
{
  world_run_row_t *row = calloc (1, sizeof *row);

  row->request = attempt->request;
  row->run = attempt->run;
  row->reader = -1;
  HASH_ADD (hh, endpoint->runs, request, 16, row);
  return row;
}

static void
fleet_clear_runs (world_endpoint_t *endpoint)
{
  world_run_row_t *row;
  world_run_row_t *next;

  HASH_ITER (hh, endpoint->runs, row, next)
  {
    HASH_DEL (endpoint->runs, row);
    free (row);
  }
}

/* --- Messages to entries --- */

static void
fleet_deliver_stopped (world_t *world, ca_core_t *core,
                       const fleet_message_t *message)
{
  char text[WORLD_TOKENS_MAX][16];
  const char *tokens[WORLD_TOKENS_MAX];
  ca_stopped_t stopped;

  memset (&stopped, 0, sizeof stopped);
  stopped.state = message->state;
  stopped.boot = message->boot;
  stopped.first = message->index;
  stopped.kv = message->kv;
  stopped.tokens = tokens;
  for (uint32_t i = message->index; i < message->total; i++)
    {
      world_token (message->seed, i, text[stopped.token_count]);
      tokens[stopped.token_count] = text[stopped.token_count];
      stopped.token_count++;
    }
  ca_core_run_stopped (core, world->now_us, &message->attempt, &stopped);
}

static void
fleet_deliver_health (world_t *world, ca_core_t *core,
                      const fleet_message_t *message)
{
  ca_health_t health;

  memset (&health, 0, sizeof health);
  health.boot = message->boot;
  health.leaving = message->leaving;
  health.notice_us = message->notice_us;
  health.max_batch = message->batch;
  health.cache_blocks = message->total;
  ca_core_endpoint_health (core, world->now_us, message->endpoint,
                           message->answered ? &health : NULL);
}

static bool fleet_service_died (world_t *world, const world_event_t *event);

static void
fleet_deliver (world_t *world, world_event_t *event)
{
  fleet_message_t *message = event->data;
  ca_core_t *core = &world->entries[event->entry].core;

  if (fleet_service_died (world, event))
    return;
  switch (message->kind)
    {
    case FLEET_TOKEN:
      ca_core_attempt_token (core, world->now_us, &message->attempt,
                             message->index, message->text,
                             strlen (message->text));
      break;
    case FLEET_ALIVE:
      ca_core_attempt_progress (core, world->now_us, &message->attempt);
      break;
    case FLEET_END:
      ca_core_attempt_end (core, world->now_us, &message->attempt,
                           message->total, message->index);
      break;
    case FLEET_FAILED:
      ca_core_attempt_failed (core, world->now_us, &message->attempt,
                              message->failure);
      break;
    case FLEET_STOPPED:
      fleet_deliver_stopped (world, core, message);
      break;
    case FLEET_HEALTH:
      fleet_deliver_health (world, core, message);
      break;
    }
}

/* A service's answers die with it, and its callers see the cut. */
static bool
fleet_service_died (world_t *world, const world_event_t *event)
{
  const fleet_message_t *message = event->data;
  const world_endpoint_t *endpoint;
  int index = world_endpoint_of (world, &message->attempt.address);

  if (index < 0 || !world->endpoints[index].service
      || message->kind > FLEET_END)
    return false;
  endpoint = &world->endpoints[index];
  if (endpoint->alive && endpoint->boot == message->boot)
    return false;
  ca_core_attempt_failed (&world->entries[event->entry].core, world->now_us,
                          &message->attempt, CA_FAILURE_CUT);
  return true;
}

/* Sends to an entry's life, unless the place between is cut. */
static void
fleet_tell (world_t *world, const world_endpoint_t *endpoint, int entry,
            uint32_t life, const fleet_message_t *message, uint64_t delay_us)
{
  fleet_message_t *copy;
  world_event_t *event;

  if (world_is_cut (world, endpoint->zone, world->entries[entry].zone))
    return;
  copy = malloc (sizeof *copy);
  *copy = *message;
  event = world_post (world, delay_us, fleet_deliver, entry);
  event->life = life;
  event->data = copy;
  event->free_data = free;
}

static void
fleet_tell_reader (world_t *world, const world_endpoint_t *endpoint,
                   world_run_row_t *row, const fleet_message_t *message)
{
  row->alive_us = world->now_us;
  if (row->reader >= 0 && !row->silent)
    fleet_tell (world, endpoint, row->reader, row->reader_life, message,
                LEG_DELAY_US);
}

/* --- Steps of a fake engine --- */

static void fleet_step (world_t *world, world_event_t *event);

static void
fleet_keep_stepping (world_t *world, int index)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_event_t *event;

  if (endpoint->stepping || !endpoint->alive)
    return;
  endpoint->stepping = true;
  event = world_post (world, endpoint->step_us, fleet_step, -1);
  event->number = (uint64_t)index;
}

static void
fleet_flush (world_t *world, const world_endpoint_t *endpoint,
             world_run_row_t *row)
{
  fleet_message_t message;

  memset (&message, 0, sizeof message);
  message.attempt = row->attempt;
  while (row->reader >= 0 && row->sent < row->made)
    {
      message.kind = FLEET_TOKEN;
      message.index = row->sent;
      world_token (row->seed, row->sent, message.text);
      fleet_tell_reader (world, endpoint, row, &message);
      row->sent++;
    }
  if (row->reader < 0)
    return;
  if (row->state == WORLD_RUN_FINISHED)
    {
      message.kind = FLEET_END;
      message.total = row->made;
      message.index = row->recomputed;
      fleet_tell_reader (world, endpoint, row, &message);
      row->reader = -1;
    }
  else if (world->now_us - row->alive_us >= ALIVE_PERIOD_US)
    {
      message.kind = FLEET_ALIVE;
      fleet_tell_reader (world, endpoint, row, &message);
    }
}

/* Notes in the ledger that a token of a non-idempotent key was made. */
static void
fleet_note_token (world_t *world, const world_run_row_t *row, uint32_t index)
{
  world_ledger_t *ledger;

  if (row->key[0] == '\0' || index >= WORLD_TOKENS_MAX)
    return;
  ledger = world_ledger (world, row->key);
  if (ledger->first_us == 0)
    ledger->first_us = world->now_us;
  if (++ledger->made[index] > 1)
    world_fault (world, "key %s: token %u was made twice", row->key, index);
}

static void
fleet_step (world_t *world, world_event_t *event)
{
  int index = (int)event->number;
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_run_row_t *row;
  world_run_row_t *next;
  uint32_t running = 0;
  bool crash = false;

  endpoint->stepping = false;
  if (!endpoint->alive)
    return;
  HASH_ITER (hh, endpoint->runs, row, next)
  {
    if (row->state == WORLD_RUN_RUNNING && running < endpoint->batch)
      {
        running++;
        if (world->now_us >= row->ready_us)
          {
            fleet_note_token (world, row, row->made);
            row->made++;
            if (row->made >= row->max_tokens)
              row->state = WORLD_RUN_FINISHED;
            crash |= row->poison && row->made >= POISON_TOKENS;
          }
      }
    fleet_flush (world, endpoint, row);
  }
  if (crash)
    {
      world_crash (world, index);
      return;
    }
  if (running > 0)
    fleet_keep_stepping (world, index);
}

/* --- Orders at a fake endpoint --- */

static void
fleet_fail (world_t *world, const world_endpoint_t *endpoint, int entry,
            uint32_t life, const ca_run_attempt_t *attempt,
            ca_failure_t failure)
{
  fleet_message_t message;

  memset (&message, 0, sizeof message);
  message.kind = FLEET_FAILED;
  message.attempt = *attempt;
  message.failure = failure;
  fleet_tell (world, endpoint, entry, life, &message, LEG_DELAY_US);
}

static void
fleet_attach (world_run_row_t *row, int entry, uint32_t life,
              const fleet_order_t *order)
{
  row->reader = entry;
  row->reader_life = life;
  row->attempt = order->attempt;
  row->sent = order->from;
  row->silent = false;
}

static void
fleet_start (world_t *world, int index, int entry, uint32_t life,
             const fleet_order_t *order)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_run_row_t *row;
  uint32_t cached;
  uint32_t missing;

  if (endpoint->leaving || fleet_find_run (endpoint, &order->attempt) != NULL)
    {
      fleet_fail (world, endpoint, entry, life, &order->attempt,
                  CA_FAILURE_REFUSED);
      return;
    }
  row = fleet_add_run (endpoint, &order->attempt);
  row->seed = order->seed;
  row->made = order->from;
  row->max_tokens = order->max_tokens;
  row->poison = order->poison;
  strlcpy (row->key, order->key, sizeof row->key);
  cached = ca_prefix_index_match (&endpoint->cache, order->prefix,
                                  order->prefix_count)
           * CA_PREFIX_BLOCK_TOKENS;
  ca_prefix_index_add (&endpoint->cache, order->prefix, order->prefix_count);
  missing = order->import ? 0 : order->prompt_tokens - cached + order->from;
  if (!order->import && order->from > 0)
    row->recomputed = missing;
  endpoint->computed += missing;
  endpoint->started++;
  endpoint->last_start_us = world->now_us;
  row->ready_us = world->now_us + missing * endpoint->prefill_us;
  row->alive_us = world->now_us;
  fleet_attach (row, entry, life, order);
  fleet_keep_stepping (world, index);
}

static void
fleet_reattach (world_t *world, int index, int entry, uint32_t life,
                const fleet_order_t *order)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_run_row_t *row = fleet_find_run (endpoint, &order->attempt);

  if (row == NULL || row->state >= WORLD_RUN_STOPPED)
    {
      fleet_fail (world, endpoint, entry, life, &order->attempt,
                  CA_FAILURE_NO_RUN);
      return;
    }
  fleet_attach (row, entry, life, order);
  fleet_flush (world, endpoint, row);
  fleet_keep_stepping (world, index);
}

static void
fleet_stop (world_t *world, int index, int entry, uint32_t life,
            const fleet_order_t *order)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_run_row_t *row = fleet_find_run (endpoint, &order->attempt);
  fleet_message_t message;

  memset (&message, 0, sizeof message);
  message.kind = FLEET_STOPPED;
  message.attempt = order->attempt;
  message.boot = endpoint->boot;
  message.index = order->from;
  message.state = CA_RUN_STOPPED;
  if (row == NULL)
    {
      row = fleet_add_run (endpoint, &order->attempt);
      row->state = WORLD_RUN_TOMBSTONE;
    }
  if (row->state == WORLD_RUN_TOMBSTONE)
    message.state = CA_RUN_NEVER_STARTED;
  else
    {
      message.total = row->made;
      message.seed = row->seed;
      message.kv = order->import ? order->attempt.request | 1 : 0;
      if (row->state == WORLD_RUN_FINISHED)
        message.state = CA_RUN_FINISHED;
      else
        row->state = WORLD_RUN_STOPPED;
      row->reader = -1;
    }
  fleet_tell (world, endpoint, entry, life, &message, LEG_DELAY_US);
}

static void
fleet_health (world_t *world, int index, int entry, uint32_t life)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  fleet_message_t message;

  memset (&message, 0, sizeof message);
  message.kind = FLEET_HEALTH;
  message.endpoint = ca_address_id (&endpoint->address);
  message.answered = true;
  message.total = endpoint->cache.capacity;
  message.boot = endpoint->boot;
  message.leaving = endpoint->leaving;
  if (endpoint->leaving && endpoint->leave_at_us > world->now_us)
    message.notice_us = endpoint->leave_at_us - world->now_us;
  message.batch = endpoint->batch;
  fleet_tell (world, endpoint, entry, life, &message, LEG_DELAY_US);
}

/* A plain service does its work at once and says so in one token. */
static void
fleet_call_service (world_t *world, int index, int entry, uint32_t life,
                    const fleet_order_t *order)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_run_row_t row;
  fleet_message_t message;

  memset (&row, 0, sizeof row);
  strlcpy (row.key, order->key, sizeof row.key);
  fleet_note_token (world, &row, 0);
  endpoint->started++;
  endpoint->last_start_us = world->now_us;
  memset (&message, 0, sizeof message);
  message.kind = FLEET_TOKEN;
  message.attempt = order->attempt;
  message.boot = endpoint->boot;
  world_token (order->seed, 0, message.text);
  fleet_tell (world, endpoint, entry, life, &message,
              LEG_DELAY_US + endpoint->step_us);
  message.kind = FLEET_END;
  message.total = 1;
  fleet_tell (world, endpoint, entry, life, &message,
              LEG_DELAY_US + endpoint->step_us + 1);
}

static void
fleet_unreachable (world_t *world, const world_endpoint_t *endpoint, int entry,
                   uint32_t life, const fleet_order_t *order)
{
  fleet_message_t message;

  /* Cut off: nothing is heard, not even a refusal. */
  if (world_is_cut (world, endpoint->zone, world->entries[entry].zone))
    return;
  if (order->kind == FLEET_START || order->kind == FLEET_REATTACH)
    fleet_fail (world, endpoint, entry, life, &order->attempt,
                CA_FAILURE_NOT_SENT);
  if (order->kind != FLEET_PROBE)
    return;
  memset (&message, 0, sizeof message);
  message.kind = FLEET_HEALTH;
  message.endpoint = ca_address_id (&endpoint->address);
  fleet_tell (world, endpoint, entry, life, &message, LEG_DELAY_US);
}

/* A probe that nothing answers is given up on by the adapter. */
static void
fleet_probe_timeout (world_t *world, int entry, uint32_t life,
                     const world_endpoint_t *endpoint)
{
  fleet_message_t *message = calloc (1, sizeof *message);
  world_event_t *event;

  message->kind = FLEET_HEALTH;
  message->endpoint = ca_address_id (&endpoint->address);
  event = world_post (world, CA_US_PER_S, fleet_deliver, entry);
  event->life = life;
  event->data = message;
  event->free_data = free;
}

static void
fleet_serve (world_t *world, world_event_t *event)
{
  fleet_order_t *order = event->data;
  int entry = (int)event->number;
  uint32_t life = event->life;
  int index = world_endpoint_of (world, &order->attempt.address);
  world_endpoint_t *endpoint = &world->endpoints[index];

  if (world_is_cut (world, endpoint->zone, world->entries[entry].zone))
    {
      if (order->kind == FLEET_PROBE)
        fleet_probe_timeout (world, entry, life, endpoint);
      return;
    }
  if (!endpoint->alive)
    {
      fleet_unreachable (world, endpoint, entry, life, order);
      return;
    }
  if (order->kind == FLEET_PROBE)
    fleet_health (world, index, entry, life);
  else if (endpoint->service)
    fleet_call_service (world, index, entry, life, order);
  else if (order->kind == FLEET_START)
    fleet_start (world, index, entry, life, order);
  else if (order->kind == FLEET_REATTACH)
    fleet_reattach (world, index, entry, life, order);
  else
    fleet_stop (world, index, entry, life, order);
}

static void
fleet_send (world_entry_t *entry, const fleet_order_t *order)
{
  fleet_order_t *copy = malloc (sizeof *copy);
  world_event_t *event
      = world_post (entry->world, LEG_DELAY_US, fleet_serve, -1);

  *copy = *order;
  event->number = (uint64_t)entry->index;
  event->life = entry->life;
  event->data = copy;
  event->free_data = free;
}

/* --- Ports --- */

/* A cache can be imported while the endpoint that exported it lives. */
static bool
fleet_kv_is_there (const world_t *world, const ca_kv_t *kv)
{
  int source = kv->handle == 0 ? -1 : world_endpoint_of (world, &kv->address);

  return source >= 0 && !world->kv_broken && world->endpoints[source].alive;
}

static void
fleet_port_dispatch (void *context, const ca_dispatch_t *dispatch)
{
  world_entry_t *entry = context;
  const ca_request_t *request = NULL;
  fleet_order_t order;

  memset (&order, 0, sizeof order);
  order.kind = dispatch->reattach ? FLEET_REATTACH : FLEET_START;
  order.attempt = dispatch->attempt;
  order.idempotent = dispatch->idempotent;
  order.from = dispatch->tokens->count;
  order.max_tokens = dispatch->max_tokens;
  order.seed
      = world_seed_of (dispatch->body, dispatch->body_bytes, dispatch->version);
  order.poison = strstr (dispatch->body, POISON_WORD) != NULL;
  order.prompt_tokens
      = (uint32_t)(dispatch->body_bytes / CA_BYTES_PER_TOKEN) + 1;
  order.prefix_count
      = ca_prefix_hash (dispatch->body, dispatch->body_bytes, order.prefix);
  order.import = fleet_kv_is_there (entry->world, &dispatch->kv);
  HASH_FIND (hh, entry->core.requests, &dispatch->attempt.request,
             sizeof dispatch->attempt.request, request);
  if (!dispatch->idempotent && request != NULL && request->key != NULL)
    snprintf (order.key, sizeof order.key, "%s/%s", dispatch->workspace,
              request->key);
  fleet_send (entry, &order);
}

static void
fleet_port_abandon (void *context, const ca_run_attempt_t *attempt)
{
  world_entry_t *entry = context;
  int index = world_endpoint_of (entry->world, &attempt->address);
  world_run_row_t *row;

  if (index < 0)
    return;
  row = fleet_find_run (&entry->world->endpoints[index], attempt);
  if (row != NULL && row->reader == entry->index
      && row->attempt.leg == attempt->leg)
    row->reader = -1;
}

static void
fleet_port_stop (void *context, const ca_stop_order_t *stop)
{
  fleet_order_t order;

  memset (&order, 0, sizeof order);
  order.kind = FLEET_STOP;
  order.attempt = stop->attempt;
  order.from = stop->from;
  order.import = stop->export_kv;
  fleet_send (context, &order);
}

static void
fleet_port_probe (void *context, uint64_t id, const ca_address_t *address,
                  bool service, uint64_t cache_seq)
{
  fleet_order_t order;

  (void)id;
  (void)service;
  (void)cache_seq;
  memset (&order, 0, sizeof order);
  order.kind = FLEET_PROBE;
  order.attempt.address = *address;
  fleet_send (context, &order);
}

static void
fleet_take_away (world_t *world, world_event_t *event)
{
  world_endpoint_t *endpoint = &world->endpoints[event->number & 0xffffffffu];

  if (endpoint->boot != event->number >> 32)
    return;
  world_crash (world, (int)(event->number & 0xffffffffu));
  endpoint->listed = false;
}

void
world_reclaim (world_t *world, int index, uint64_t notice_us)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_event_t *event;

  if (!endpoint->alive || endpoint->leaving)
    return;
  endpoint->leaving = true;
  endpoint->leave_at_us = world->now_us + notice_us;
  event = world_post (world, notice_us, fleet_take_away, -1);
  event->number = (endpoint->boot << 32) | (uint64_t)index;
}

/* The process ends: its connections are cut. */
void
world_crash (world_t *world, int index)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_run_row_t *row;
  world_run_row_t *next;

  if (!endpoint->alive)
    return;
  HASH_ITER (hh, endpoint->runs, row, next)
  {
    if (row->reader >= 0 && !row->silent)
      fleet_fail (world, endpoint, row->reader, row->reader_life, &row->attempt,
                  CA_FAILURE_CUT);
  }
  fleet_clear_runs (endpoint);
  endpoint->alive = false;
}

void
world_restart (world_t *world, int index)
{
  world_endpoint_t *endpoint = &world->endpoints[index];

  if (endpoint->alive)
    return;
  endpoint->alive = true;
  endpoint->ordered = false;
  endpoint->leaving = false;
  endpoint->leave_at_us = 0;
  endpoint->listed = true;
  endpoint->boot++;
  ca_prefix_index_clear (&endpoint->cache);
  (void)world;
}

void
world_silence (world_t *world, int index)
{
  world_run_row_t *row;
  world_run_row_t *next;

  HASH_ITER (hh, world->endpoints[index].runs, row, next)
  row->silent = true;
}

void
world_fleet_finish (world_t *world)
{
  for (int i = 0; i < world->endpoint_count; i++)
    {
      fleet_clear_runs (&world->endpoints[i]);
      ca_prefix_index_finish (&world->endpoints[i].cache);
    }
}

void
world_fleet_ports (ca_ports_t *ports)
{
  ports->dispatch = fleet_port_dispatch;
  ports->abandon = fleet_port_abandon;
  ports->stop_run = fleet_port_stop;
  ports->probe = fleet_port_probe;
}
