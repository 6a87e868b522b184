/* Fake endpoints: model engines that produce tokens in steps, and plain
 * services. */
#include "world.h"

#include "core/tokens.h"

#include <stdlib.h>
#include <string.h>

#define ENDPOINT_DELAY_US 500
#define PROGRESS_PERIOD_US (500 * CA_US_PER_MS)
#define CACHE_BLOCKS 512

/* An engine crashes when it runs a prompt that contains this word. */
#define POISON_WORD "poison"
#define POISON_TOKENS 2

/* A message from an endpoint to an entry. */
typedef struct
{
  enum
  {
    ENDPOINT_TOKEN,
    ENDPOINT_PROGRESS,
    ENDPOINT_END,
    ENDPOINT_FAILED,
    ENDPOINT_STOPPED,
    ENDPOINT_HEALTH
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
} endpoint_message_t;

/* An order from an entry to an endpoint. */
typedef struct
{
  enum
  {
    ENDPOINT_START,
    ENDPOINT_REATTACH,
    ENDPOINT_STOP,
    ENDPOINT_PROBE
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
} endpoint_order_t;

/* Endpoints. */

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
world_endpoint_at (const world_t *world, const ca_address_t *address)
{
  int index = (int)(address->ip - 0x0b000000u) - 1;

  return index >= 0 && index < world->endpoint_count ? index : -1;
}

static world_engine_run_t *
endpoint_find_run (const world_endpoint_t *endpoint,
                   const ca_run_attempt_t *attempt)
{
  struct
  {
    uint64_t request;
    uint32_t run;
    uint32_t padding;
  } key = { attempt->request, attempt->run, 0 };
  world_engine_run_t *row = NULL;

  HASH_FIND (hh, endpoint->runs, &key, 16, row);
  return row;
}

static world_engine_run_t *
endpoint_add_run (world_endpoint_t *endpoint, const ca_run_attempt_t *attempt)
{
  world_engine_run_t *row = calloc (1, sizeof *row);

  row->request = attempt->request;
  row->run = attempt->run;
  row->reader = -1;
  HASH_ADD (hh, endpoint->runs, request, 16, row);
  return row;
}

static void
endpoint_clear_runs (world_endpoint_t *endpoint)
{
  world_engine_run_t *row;
  world_engine_run_t *next;

  HASH_ITER (hh, endpoint->runs, row, next)
  {
    HASH_DEL (endpoint->runs, row);
    free (row);
  }
}

/* Messages to entries. */

static void
endpoint_deliver_stopped (world_t *world, ca_core_t *core,
                          const endpoint_message_t *message)
{
  char text[WORLD_TOKENS_MAX][16];
  const char *tokens[WORLD_TOKENS_MAX];
  ca_stop_result_t stopped;

  memset (&stopped, 0, sizeof stopped);
  stopped.state = message->state;
  stopped.boot = message->boot;
  stopped.first = message->index;
  stopped.kv = message->kv;
  stopped.tokens = tokens;
  for (uint32_t i = message->index; i < message->total; i++)
    {
      world_token_text (message->seed, i, text[stopped.token_count]);
      tokens[stopped.token_count] = text[stopped.token_count];
      stopped.token_count++;
    }
  ca_core_run_stopped (core, world->now_us, &message->attempt, &stopped);
}

static void
endpoint_deliver_health (world_t *world, ca_core_t *core,
                         const endpoint_message_t *message)
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

static bool endpoint_service_stopped (world_t *world,
                                      const world_event_t *event);

static void
endpoint_deliver (world_t *world, world_event_t *event)
{
  endpoint_message_t *message = event->data;
  ca_core_t *core = &world->entries[event->entry].core;

  if (endpoint_service_stopped (world, event))
    return;
  switch (message->kind)
    {
    case ENDPOINT_TOKEN:
      ca_core_attempt_token (core, world->now_us, &message->attempt,
                             message->index, message->text,
                             strlen (message->text));
      break;
    case ENDPOINT_PROGRESS:
      ca_core_attempt_progress (core, world->now_us, &message->attempt);
      break;
    case ENDPOINT_END:
      ca_core_attempt_end (core, world->now_us, &message->attempt,
                           message->total, message->index);
      break;
    case ENDPOINT_FAILED:
      ca_core_attempt_failed (core, world->now_us, &message->attempt,
                              message->failure);
      break;
    case ENDPOINT_STOPPED:
      endpoint_deliver_stopped (world, core, message);
      break;
    case ENDPOINT_HEALTH:
      endpoint_deliver_health (world, core, message);
      break;
    }
}

/* Fails the attempt if the service stopped before its answer arrived.  Returns
 * true in that case. */
static bool
endpoint_service_stopped (world_t *world, const world_event_t *event)
{
  const endpoint_message_t *message = event->data;
  const world_endpoint_t *endpoint;
  int index = world_endpoint_at (world, &message->attempt.address);

  if (index < 0 || !world->endpoints[index].service
      || message->kind > ENDPOINT_END)
    return false;
  endpoint = &world->endpoints[index];
  if (endpoint->alive && endpoint->boot == message->boot)
    return false;
  ca_core_attempt_failed (&world->entries[event->entry].core, world->now_us,
                          &message->attempt, CA_FAILURE_INTERRUPTED);
  return true;
}

/* Sends to one incarnation of an entry, unless a partition separates them. */
static void
endpoint_send (world_t *world, const world_endpoint_t *endpoint, int entry,
               uint32_t incarnation, const endpoint_message_t *message,
               uint64_t delay_us)
{
  endpoint_message_t *copy;
  world_event_t *event;

  if (world_is_partitioned (world, endpoint->zone, world->entries[entry].zone))
    return;
  copy = malloc (sizeof *copy);
  *copy = *message;
  event = world_schedule (world, delay_us, endpoint_deliver, entry);
  event->incarnation = incarnation;
  event->data = copy;
  event->free_data = free;
}

static void
endpoint_send_reader (world_t *world, const world_endpoint_t *endpoint,
                      world_engine_run_t *row,
                      const endpoint_message_t *message)
{
  row->progress_us = world->now_us;
  if (row->reader >= 0 && !row->silent)
    endpoint_send (world, endpoint, row->reader, row->reader_incarnation,
                   message, ENDPOINT_DELAY_US);
}

/* Engine steps. */

static void endpoint_run_step (world_t *world, world_event_t *event);

static void
endpoint_keep_stepping (world_t *world, int index)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_event_t *event;

  if (endpoint->stepping || !endpoint->alive)
    return;
  endpoint->stepping = true;
  event = world_schedule (world, endpoint->step_us, endpoint_run_step, -1);
  event->number = (uint64_t)index;
}

static void
endpoint_flush (world_t *world, const world_endpoint_t *endpoint,
                world_engine_run_t *row)
{
  endpoint_message_t message;

  memset (&message, 0, sizeof message);
  message.attempt = row->attempt;
  while (row->reader >= 0 && row->sent < row->produced)
    {
      message.kind = ENDPOINT_TOKEN;
      message.index = row->sent;
      world_token_text (row->seed, row->sent, message.text);
      endpoint_send_reader (world, endpoint, row, &message);
      row->sent++;
    }
  if (row->reader < 0)
    return;
  if (row->state == WORLD_RUN_FINISHED)
    {
      message.kind = ENDPOINT_END;
      message.total = row->produced;
      message.index = row->recomputed;
      endpoint_send_reader (world, endpoint, row, &message);
      row->reader = -1;
    }
  else if (world->now_us - row->progress_us >= PROGRESS_PERIOD_US)
    {
      message.kind = ENDPOINT_PROGRESS;
      endpoint_send_reader (world, endpoint, row, &message);
    }
}

/* Records in the ledger that a token of a non-idempotent key was produced. */
static void
endpoint_record_token (world_t *world, const world_engine_run_t *row,
                       uint32_t index)
{
  world_ledger_t *ledger;

  if (row->key[0] == '\0' || index >= WORLD_TOKENS_MAX)
    return;
  ledger = world_ledger (world, row->key);
  if (ledger->first_us == 0)
    ledger->first_us = world->now_us;
  if (++ledger->produced[index] > 1)
    world_violation (world, "key %s: token %u was produced twice", row->key,
                     index);
}

static void
endpoint_run_step (world_t *world, world_event_t *event)
{
  int index = (int)event->number;
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_engine_run_t *row;
  world_engine_run_t *next;
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
            endpoint_record_token (world, row, row->produced);
            row->produced++;
            if (row->produced >= row->max_tokens)
              row->state = WORLD_RUN_FINISHED;
            crash |= row->poison && row->produced >= POISON_TOKENS;
          }
      }
    endpoint_flush (world, endpoint, row);
  }
  if (crash)
    {
      world_crash (world, index);
      return;
    }
  if (running > 0)
    endpoint_keep_stepping (world, index);
}

/* Orders from entries. */

static void
endpoint_fail (world_t *world, const world_endpoint_t *endpoint, int entry,
               uint32_t incarnation, const ca_run_attempt_t *attempt,
               ca_failure_t failure)
{
  endpoint_message_t message;

  memset (&message, 0, sizeof message);
  message.kind = ENDPOINT_FAILED;
  message.attempt = *attempt;
  message.failure = failure;
  endpoint_send (world, endpoint, entry, incarnation, &message,
                 ENDPOINT_DELAY_US);
}

static void
endpoint_attach (world_engine_run_t *row, int entry, uint32_t incarnation,
                 const endpoint_order_t *order)
{
  row->reader = entry;
  row->reader_incarnation = incarnation;
  row->attempt = order->attempt;
  row->sent = order->from;
  row->silent = false;
}

static void
endpoint_start (world_t *world, int index, int entry, uint32_t incarnation,
                const endpoint_order_t *order)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_engine_run_t *row;
  uint32_t cached;
  uint32_t missing;

  if (endpoint->leaving
      || endpoint_find_run (endpoint, &order->attempt) != NULL)
    {
      endpoint_fail (world, endpoint, entry, incarnation, &order->attempt,
                     CA_FAILURE_REFUSED);
      return;
    }
  row = endpoint_add_run (endpoint, &order->attempt);
  row->seed = order->seed;
  row->produced = order->from;
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
  row->progress_us = world->now_us;
  endpoint_attach (row, entry, incarnation, order);
  endpoint_keep_stepping (world, index);
}

static void
endpoint_reattach (world_t *world, int index, int entry, uint32_t incarnation,
                   const endpoint_order_t *order)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_engine_run_t *row = endpoint_find_run (endpoint, &order->attempt);

  if (row == NULL || row->state >= WORLD_RUN_STOPPED)
    {
      endpoint_fail (world, endpoint, entry, incarnation, &order->attempt,
                     CA_FAILURE_UNKNOWN_RUN);
      return;
    }
  endpoint_attach (row, entry, incarnation, order);
  endpoint_flush (world, endpoint, row);
  endpoint_keep_stepping (world, index);
}

static void
endpoint_stop (world_t *world, int index, int entry, uint32_t incarnation,
               const endpoint_order_t *order)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_engine_run_t *row = endpoint_find_run (endpoint, &order->attempt);
  endpoint_message_t message;

  memset (&message, 0, sizeof message);
  message.kind = ENDPOINT_STOPPED;
  message.attempt = order->attempt;
  message.boot = endpoint->boot;
  message.index = order->from;
  message.state = CA_RUN_STOPPED;
  if (row == NULL)
    {
      row = endpoint_add_run (endpoint, &order->attempt);
      row->state = WORLD_RUN_TOMBSTONE;
    }
  if (row->state == WORLD_RUN_TOMBSTONE)
    message.state = CA_RUN_NEVER_STARTED;
  else
    {
      message.total = row->produced;
      message.seed = row->seed;
      message.kv = order->import ? order->attempt.request | 1 : 0;
      if (row->state == WORLD_RUN_FINISHED)
        message.state = CA_RUN_FINISHED;
      else
        row->state = WORLD_RUN_STOPPED;
      row->reader = -1;
    }
  endpoint_send (world, endpoint, entry, incarnation, &message,
                 ENDPOINT_DELAY_US);
}

static void
endpoint_health (world_t *world, int index, int entry, uint32_t incarnation)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  endpoint_message_t message;

  memset (&message, 0, sizeof message);
  message.kind = ENDPOINT_HEALTH;
  message.endpoint = ca_address_id (&endpoint->address);
  message.answered = true;
  message.total = endpoint->cache.capacity;
  message.boot = endpoint->boot;
  message.leaving = endpoint->leaving;
  if (endpoint->leaving && endpoint->leave_at_us > world->now_us)
    message.notice_us = endpoint->leave_at_us - world->now_us;
  message.batch = endpoint->batch;
  endpoint_send (world, endpoint, entry, incarnation, &message,
                 ENDPOINT_DELAY_US);
}

/* A plain service works at once and answers with one token. */
static void
endpoint_call_service (world_t *world, int index, int entry,
                       uint32_t incarnation, const endpoint_order_t *order)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_engine_run_t row;
  endpoint_message_t message;

  memset (&row, 0, sizeof row);
  strlcpy (row.key, order->key, sizeof row.key);
  endpoint_record_token (world, &row, 0);
  endpoint->started++;
  endpoint->last_start_us = world->now_us;
  memset (&message, 0, sizeof message);
  message.kind = ENDPOINT_TOKEN;
  message.attempt = order->attempt;
  message.boot = endpoint->boot;
  world_token_text (order->seed, 0, message.text);
  endpoint_send (world, endpoint, entry, incarnation, &message,
                 ENDPOINT_DELAY_US + endpoint->step_us);
  message.kind = ENDPOINT_END;
  message.total = 1;
  endpoint_send (world, endpoint, entry, incarnation, &message,
                 ENDPOINT_DELAY_US + endpoint->step_us + 1);
}

static void
endpoint_unreachable (world_t *world, const world_endpoint_t *endpoint,
                      int entry, uint32_t incarnation,
                      const endpoint_order_t *order)
{
  endpoint_message_t message;

  /* Across a partition not even a connection refusal arrives. */
  if (world_is_partitioned (world, endpoint->zone, world->entries[entry].zone))
    return;
  if (order->kind == ENDPOINT_START || order->kind == ENDPOINT_REATTACH)
    endpoint_fail (world, endpoint, entry, incarnation, &order->attempt,
                   CA_FAILURE_NOT_SENT);
  if (order->kind != ENDPOINT_PROBE)
    return;
  memset (&message, 0, sizeof message);
  message.kind = ENDPOINT_HEALTH;
  message.endpoint = ca_address_id (&endpoint->address);
  endpoint_send (world, endpoint, entry, incarnation, &message,
                 ENDPOINT_DELAY_US);
}

/* The adapter times out a probe that gets no answer. */
static void
endpoint_probe_timeout (world_t *world, int entry, uint32_t incarnation,
                        const world_endpoint_t *endpoint)
{
  endpoint_message_t *message = calloc (1, sizeof *message);
  world_event_t *event;

  message->kind = ENDPOINT_HEALTH;
  message->endpoint = ca_address_id (&endpoint->address);
  event = world_schedule (world, CA_US_PER_S, endpoint_deliver, entry);
  event->incarnation = incarnation;
  event->data = message;
  event->free_data = free;
}

static void
endpoint_serve (world_t *world, world_event_t *event)
{
  endpoint_order_t *order = event->data;
  int entry = (int)event->number;
  uint32_t incarnation = event->incarnation;
  int index = world_endpoint_at (world, &order->attempt.address);
  world_endpoint_t *endpoint = &world->endpoints[index];

  if (world_is_partitioned (world, endpoint->zone, world->entries[entry].zone))
    {
      if (order->kind == ENDPOINT_PROBE)
        endpoint_probe_timeout (world, entry, incarnation, endpoint);
      return;
    }
  if (!endpoint->alive)
    {
      endpoint_unreachable (world, endpoint, entry, incarnation, order);
      return;
    }
  if (order->kind == ENDPOINT_PROBE)
    endpoint_health (world, index, entry, incarnation);
  else if (endpoint->service)
    endpoint_call_service (world, index, entry, incarnation, order);
  else if (order->kind == ENDPOINT_START)
    endpoint_start (world, index, entry, incarnation, order);
  else if (order->kind == ENDPOINT_REATTACH)
    endpoint_reattach (world, index, entry, incarnation, order);
  else
    endpoint_stop (world, index, entry, incarnation, order);
}

static void
endpoint_send_order (world_entry_t *entry, const endpoint_order_t *order)
{
  endpoint_order_t *copy = malloc (sizeof *copy);
  world_event_t *event
      = world_schedule (entry->world, ENDPOINT_DELAY_US, endpoint_serve, -1);

  *copy = *order;
  event->number = (uint64_t)entry->index;
  event->incarnation = entry->incarnation;
  event->data = copy;
  event->free_data = free;
}

/* Ports. */

/* A KV cache can be imported while the endpoint that exported it is alive. */
static bool
endpoint_kv_available (const world_t *world, const ca_kv_t *kv)
{
  int source = kv->handle == 0 ? -1 : world_endpoint_at (world, &kv->address);

  return source >= 0 && !world->kv_broken && world->endpoints[source].alive;
}

static void
endpoint_port_dispatch (void *context, const ca_dispatch_t *dispatch)
{
  world_entry_t *entry = context;
  const ca_request_t *request = NULL;
  endpoint_order_t order;

  memset (&order, 0, sizeof order);
  order.kind = dispatch->reattach ? ENDPOINT_REATTACH : ENDPOINT_START;
  order.attempt = dispatch->attempt;
  order.idempotent = dispatch->idempotent;
  order.from = dispatch->tokens->count;
  order.max_tokens = dispatch->max_tokens;
  order.seed = world_answer_seed (dispatch->body, dispatch->body_bytes,
                                  dispatch->version);
  order.poison = strstr (dispatch->body, POISON_WORD) != NULL;
  order.prompt_tokens
      = (uint32_t)(dispatch->body_bytes / CA_BYTES_PER_TOKEN) + 1;
  order.prefix_count
      = ca_prefix_hash (dispatch->body, dispatch->body_bytes, order.prefix);
  order.import = endpoint_kv_available (entry->world, &dispatch->kv);
  HASH_FIND (hh, entry->core.requests, &dispatch->attempt.request,
             sizeof dispatch->attempt.request, request);
  if (!dispatch->idempotent && request != NULL && request->key != NULL)
    snprintf (order.key, sizeof order.key, "%s/%s", dispatch->workspace,
              request->key);
  endpoint_send_order (entry, &order);
}

static void
endpoint_port_abandon (void *context, const ca_run_attempt_t *attempt)
{
  world_entry_t *entry = context;
  int index = world_endpoint_at (entry->world, &attempt->address);
  world_engine_run_t *row;

  if (index < 0)
    return;
  row = endpoint_find_run (&entry->world->endpoints[index], attempt);
  if (row != NULL && row->reader == entry->index
      && row->attempt.leg == attempt->leg)
    row->reader = -1;
}

static void
endpoint_port_stop (void *context, const ca_stop_order_t *stop)
{
  endpoint_order_t order;

  memset (&order, 0, sizeof order);
  order.kind = ENDPOINT_STOP;
  order.attempt = stop->attempt;
  order.from = stop->from;
  order.import = stop->export_kv;
  endpoint_send_order (context, &order);
}

static void
endpoint_port_probe (void *context, uint64_t id, const ca_address_t *address,
                     bool service, uint64_t cache_seq)
{
  endpoint_order_t order;

  (void)id;
  (void)service;
  (void)cache_seq;
  memset (&order, 0, sizeof order);
  order.kind = ENDPOINT_PROBE;
  order.attempt.address = *address;
  endpoint_send_order (context, &order);
}

static void
endpoint_remove (world_t *world, world_event_t *event)
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
  event = world_schedule (world, notice_us, endpoint_remove, -1);
  event->number = (endpoint->boot << 32) | (uint64_t)index;
}

/* Ends the process and closes its connections. */
void
world_crash (world_t *world, int index)
{
  world_endpoint_t *endpoint = &world->endpoints[index];
  world_engine_run_t *row;
  world_engine_run_t *next;

  if (!endpoint->alive)
    return;
  HASH_ITER (hh, endpoint->runs, row, next)
  {
    if (row->reader >= 0 && !row->silent)
      endpoint_fail (world, endpoint, row->reader, row->reader_incarnation,
                     &row->attempt, CA_FAILURE_INTERRUPTED);
  }
  endpoint_clear_runs (endpoint);
  endpoint->alive = false;
}

void
world_restart (world_t *world, int index)
{
  world_endpoint_t *endpoint = &world->endpoints[index];

  if (endpoint->alive)
    return;
  endpoint->alive = true;
  endpoint->start_pending = false;
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
  world_engine_run_t *row;
  world_engine_run_t *next;

  HASH_ITER (hh, world->endpoints[index].runs, row, next)
  row->silent = true;
}

void
world_endpoints_finish (world_t *world)
{
  for (int i = 0; i < world->endpoint_count; i++)
    {
      endpoint_clear_runs (&world->endpoints[i]);
      ca_prefix_index_finish (&world->endpoints[i].cache);
    }
}

void
world_endpoint_ports (ca_ports_t *ports)
{
  ports->dispatch = endpoint_port_dispatch;
  ports->abandon = endpoint_port_abandon;
  ports->stop_run = endpoint_port_stop;
  ports->probe = endpoint_port_probe;
}
