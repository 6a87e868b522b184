/* Entries that send prompts to engines of different speed, in virtual time. */
#include "engine_fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FLEET_ZONES 3
#define FLEET_STREAM_US (300 * CA_US_PER_MS)
#define FLEET_STEP_EVENT_US (15 * CA_US_PER_MS)
#define FLEET_WALL_US UINT64_C (1700000000000000)

typedef struct fleet_run
{
  ca_exchange_t *exchange;
  size_t entry;
  uint64_t arrived_us;
  uint64_t work_us;
  uint64_t ends_us; /* of reading or streaming; 0 while queued */
  bool streams;
  bool rejected;
  TAILQ_ENTRY (fleet_run) entries;
} fleet_run_t;

typedef struct fleet_message
{
  size_t to;
  uint64_t due_us;
  size_t bytes;
  uint8_t *packed;
  TAILQ_ENTRY (fleet_message) entries;
} fleet_message_t;

fleet_t fleet;

static TAILQ_HEAD (, fleet_message)
    fleet_messages = TAILQ_HEAD_INITIALIZER (fleet_messages);

static const char fleet_config[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"e\",\"host\":\"h\",\"prefix\":\"/e/\","
      "\"route_kind\":\"streaming\",\"timeout_ms\":8000,"
      "\"target_latency_ms\":2000,\"service\":\"e\",\"max_attempts\":1,"
      "\"target_gap_ms\":400,\"public\":true}],\"services\":["
      "{\"name\":\"e\",\"inference_engine\":"
      "{\"slots\":32,\"kv_cache_tokens\":3000000}}],\"tenants\":[]}";

static double
fleet_uniform (void)
{
  fleet.seed = fleet.seed * UINT64_C (6364136223846793005)
               + UINT64_C (1442695040888963407);
  return (double)(fleet.seed >> 11) / (double)(UINT64_C (1) << 53);
}

/* Factor by which the engine is slower now. */
static double
engine_slowness (const fleet_engine_t *engine)
{
  return (fleet.now_us < engine->cold_until_us ? engine->cold_slowness : 1)
         / engine->speed;
}

static void
run_free (fleet_engine_t *engine, fleet_run_t *run)
{
  TAILQ_REMOVE (&engine->runs, run, entries);
  engine->open--;
  free (run);
}

/* Time of an entry's clock: one that measures wrongly sees first events too
 * late. */
static void
run_first_event (fleet_engine_t *engine, fleet_run_t *run)
{
  ca_gateway_t *gateway = &fleet.gateways[run->entry];
  uint64_t took_us = fleet.now_us - run->arrived_us;
  uint64_t wrong_us
      = run->entry == fleet.wrong_entry
            ? (uint64_t)((double)took_us * (fleet.wrong_factor - 1))
            : 0;

  engine->answered++;
  engine->late += took_us > FLEET_OBJECTIVE_US;
  run->streams = true;
  run->ends_us = fleet.now_us + FLEET_STREAM_US;
  run->exchange->sent_us -= wrong_us;
  ca_exchange_event (gateway, fleet.now_us, run->exchange, true, 1);
  run->exchange->sent_us += wrong_us;
}

static void
run_answer (fleet_engine_t *engine, fleet_run_t *run)
{
  ca_answer_facts_t facts = { .status = run->rejected ? 503 : 200,
                              .is_signed = !run->rejected,
                              .not_run = run->rejected,
                              .is_stream = !run->rejected };
  ca_gateway_t *gateway = &fleet.gateways[run->entry];
  ca_exchange_t *exchange = run->exchange;

  if (!run->streams)
    ca_exchange_head (gateway, fleet.now_us, exchange, &facts);
  if (!run->streams && !run->rejected)
    {
      run_first_event (engine, run);
      return;
    }
  fleet.rejected += run->rejected;
  run_free (engine, run);
  ca_exchange_end (gateway, fleet.now_us, exchange, CA_END_COMPLETE);
}

/* Begins to read the next prompt if none is being read. */
static void
engine_read (fleet_engine_t *engine)
{
  fleet_run_t *run;

  TAILQ_FOREACH (run, &engine->runs, entries)
  {
    if (run->streams || run->rejected)
      continue;
    if (run->ends_us == 0)
      run->ends_us
          = fleet.now_us
            + (uint64_t)((double)run->work_us * engine_slowness (engine));
    return;
  }
}

static void
engine_tick (fleet_engine_t *engine)
{
  fleet_run_t *run = TAILQ_FIRST (&engine->runs);

  while (run != NULL)
    {
      fleet_run_t *next = TAILQ_NEXT (run, entries);

      if (run->ends_us != 0 && fleet.now_us >= run->ends_us)
        run_answer (engine, run);
      run = next;
    }
  engine_read (engine);
}

/* Tokens of the prompt that the engine does not have cached. */
static uint32_t
engine_unread_tokens (fleet_engine_t *engine, const ca_exchange_t *exchange)
{
  uint64_t session = exchange->prompt.parts[0].prefix_hash % FLEET_SESSIONS_MAX;
  uint32_t tokens = exchange->prompt.tokens;

  if (fleet.options.sessions == 0)
    return tokens;
  if (engine->cached[session])
    return tokens - ca_prompt_shared_tokens (&exchange->prompt);
  engine->cached[session] = true;
  return tokens;
}

static void
on_attempt (void *context, ca_exchange_t *exchange, const ca_attempt_t *attempt)
{
  fleet_engine_t *engine = &fleet.engine[atoi (exchange->endpoint->id + 1)];
  fleet_run_t *run = calloc (1, sizeof *run);

  (void)attempt;
  run->exchange = exchange;
  run->entry = (size_t)(uintptr_t)context;
  run->arrived_us = fleet.now_us;
  run->work_us = engine_unread_tokens (engine, exchange) * CA_US_PER_MS
                     / FLEET_TOKENS_PER_MS
                 + FLEET_STEP_EVENT_US;
  if (engine->open >= fleet.options.slots)
    {
      run->rejected = true;
      run->ends_us = fleet.now_us + FLEET_STEP_US;
    }
  else
    engine->tokens += exchange->prompt.tokens;
  if (++engine->open > engine->open_max)
    engine->open_max = engine->open;
  TAILQ_INSERT_TAIL (&engine->runs, run, entries);
}

static void
on_end (void *context, ca_exchange_t *exchange)
{
  (void)context;
  (void)exchange;
}

static void
on_refuse (void *context, ca_exchange_t *exchange, ca_gateway_refusal_t reason,
           uint64_t retry_after_us)
{
  (void)context;
  (void)exchange;
  (void)reason;
  (void)retry_after_us;
  fleet.refused++;
}

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  fleet_message_t *message;

  (void)context;
  if (fleet.options.loss > 0 && fleet_uniform () < fleet.options.loss)
    return;
  message = calloc (1, sizeof *message);
  message->to = to->port;
  message->due_us
      = fleet.now_us
        + (uint64_t)((double)fleet.options.lag_us * fleet_uniform ());
  message->bytes = camphor__envelope__get_packed_size (envelope);
  message->packed = malloc (message->bytes);
  camphor__envelope__pack (envelope, message->packed);
  TAILQ_INSERT_TAIL (&fleet_messages, message, entries);
}

/* Delivers what is due; with `discard`, drops all. */
static void
fleet_deliver (bool discard)
{
  fleet_message_t *message = TAILQ_FIRST (&fleet_messages);

  while (message != NULL)
    {
      fleet_message_t *next = TAILQ_NEXT (message, entries);

      if (discard || fleet.now_us >= message->due_us)
        {
          TAILQ_REMOVE (&fleet_messages, message, entries);
          if (!discard)
            {
              Camphor__Envelope *envelope = camphor__envelope__unpack (
                  NULL, message->bytes, message->packed);

              ca_gateway_envelope (&fleet.gateways[message->to], fleet.now_us,
                                   envelope);
              camphor__envelope__free_unpacked (envelope, NULL);
            }
          free (message->packed);
          free (message);
        }
      message = next;
    }
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  (void)context;
  fleet.started_events += event->event == CA_EVENT_ENDPOINT_STARTING;
  fleet.ended_events += event->event == CA_EVENT_ENDPOINT_STARTED;
  fleet.uneven_events += event->event == CA_EVENT_ENDPOINTS_UNEVEN;
  fleet.even_events += event->event == CA_EVENT_ENDPOINTS_EVEN;
}

static void
entry_list (size_t entry, size_t index)
{
  const fleet_engine_t *engine = &fleet.engine[index];
  char id[24];
  char zone[24];
  ca_endpoint_record_t record;

  snprintf (id, sizeof id, "i%zu", index);
  snprintf (zone, sizeof zone, "z%zu", index % FLEET_ZONES);
  memset (&record, 0, sizeof record);
  record.id = id;
  record.service = "e";
  record.zone = zone;
  record.slots = fleet.options.slots;
  record.started_ms = engine->started_ms;
  record.cold_remaining_ms = engine->cold_ms;
  ca_gateway_endpoint_listed (&fleet.gateways[entry], fleet.now_us, &record);
}

void
fleet_list (size_t index)
{
  fleet_engine_t *engine = &fleet.engine[index];

  engine->listed = true;
  engine->listed_us = fleet.now_us;
  engine->started_ms = (FLEET_WALL_US + fleet.now_us) / CA_US_PER_MS;
  for (size_t i = 0; i < fleet.options.entries; i++)
    entry_list (i, index);
}

void
fleet_prepare (const fleet_options_t *options)
{
  fleet_deliver (true); /* left over by a test that failed */
  memset (&fleet, 0, sizeof fleet);
  fleet.options = *options;
  fleet.seed = 7;
  fleet.now_us = 10 * CA_US_PER_S;
  fleet.next_request_us = (double)fleet.now_us;
  fleet.wrong_entry = SIZE_MAX;
  for (size_t i = 0; i < options->engines; i++)
    {
      fleet.engine[i].speed = 1;
      fleet.engine[i].cold_slowness = 1;
      fleet.engine[i].listed = true;
      fleet.engine[i].started_ms = FLEET_WALL_US / CA_US_PER_MS;
      TAILQ_INIT (&fleet.engine[i].runs);
    }
}

static void
entry_start (size_t index)
{
  ca_gateway_t *gateway = &fleet.gateways[index];
  ca_gateway_ports_t ports = { .context = (void *)(uintptr_t)index,
                               .attempt = on_attempt,
                               .cancel = on_end,
                               .check_endpoint = cluster_check_endpoint,
                               .deliver = on_end,
                               .begin = on_end,
                               .finish = on_end,
                               .abort_stream = on_end,
                               .refuse = on_refuse,
                               .send_peer = on_send,
                               .log = on_log };
  ca_gateway_options_t options;
  char zone[24];

  snprintf (zone, sizeof zone, "z%zu", index % FLEET_ZONES);
  cluster_options (&options, index, zone);
  options.bounds.retry_ratio = 0.2;
  options.bounds.retry_allowance = 200;
  options.bounds.retry_window_ms = 10000;
  options.bounds.usage_window_s = 5;
  options.seed = (uint32_t)index;
  ca_gateway_init (gateway, &options, &ports, fleet.now_us,
                   FLEET_WALL_US + fleet.now_us + index);
  cluster_configure (gateway, fleet.now_us, fleet_config);
  ca_gateway_list_begin (gateway, fleet.now_us);
  for (size_t i = 0; i < fleet.options.engines; i++)
    {
      if (fleet.engine[i].listed)
        entry_list (index, i);
    }
  ca_gateway_list_end (gateway, fleet.now_us);
  cluster_add_peers (gateway, fleet.options.entries);
}

void
fleet_start (void)
{
  for (size_t i = 0; i < fleet.options.entries; i++)
    entry_start (i);
}

static void
fleet_request (void)
{
  ca_request_facts_t facts;
  size_t entry = (size_t)(fleet_uniform () * (double)fleet.options.entries);

  memset (&facts, 0, sizeof facts);
  facts.id = "x";
  facts.host = "h";
  facts.path = "/e/";
  facts.fingerprint = fleet.seed;
  facts.wait_ms = 8000;
  facts.has_cost = true;
  facts.prompt.tokens
      = (uint32_t)(FLEET_TOKENS_MEAN * (0.5 + fleet_uniform ()));
  facts.prompt.output_tokens = 50;
  if (fleet.options.sessions > 0)
    {
      uint32_t shared = facts.prompt.tokens * 4 / 5;

      ca_prompt_add (&facts.prompt,
                     (uint64_t)(fleet_uniform () * fleet.options.sessions),
                     shared);
      ca_prompt_add (&facts.prompt, fleet.seed, facts.prompt.tokens - shared);
    }
  else
    ca_prompt_add (&facts.prompt, fleet.seed, facts.prompt.tokens);
  fleet.requested++;
  ca_gateway_request (&fleet.gateways[entry], fleet.now_us, &facts);
}

void
fleet_set_load (double load)
{
  fleet.options.load = load;
  fleet.next_request_us = (double)fleet.now_us;
}

static void
fleet_step (void)
{
  double rate_per_us
      = fleet.options.load * (double)fleet.options.engines
        / ((double)FLEET_TOKENS_MEAN / FLEET_TOKENS_PER_MS * CA_US_PER_MS
           + FLEET_STEP_EVENT_US);

  fleet.now_us += FLEET_STEP_US;
  fleet_deliver (false);
  for (size_t i = 0; i < fleet.options.entries; i++)
    {
      if ((fleet.now_us + i * FLEET_STEP_US) % CA_GATEWAY_TICK_US == 0)
        ca_gateway_tick (&fleet.gateways[i], fleet.now_us,
                         FLEET_WALL_US + fleet.now_us);
    }
  while (rate_per_us > 0 && fleet.next_request_us < (double)fleet.now_us)
    {
      fleet.next_request_us += -log (1 - fleet_uniform ()) / rate_per_us;
      fleet_request ();
    }
  for (size_t i = 0; i < fleet.options.engines; i++)
    engine_tick (&fleet.engine[i]);
  if (fleet.watch != NULL)
    fleet.watch ();
}

void
fleet_run_for (uint64_t duration_us)
{
  uint64_t until_us = fleet.now_us + duration_us;

  while (fleet.now_us < until_us)
    fleet_step ();
}

void
fleet_reset_counts (void)
{
  fleet.requested = 0;
  fleet.refused = 0;
  fleet.rejected = 0;
  fleet.started_events = 0;
  fleet.ended_events = 0;
  fleet.uneven_events = 0;
  fleet.even_events = 0;
  for (size_t i = 0; i < fleet.options.engines; i++)
    {
      fleet.engine[i].open_max = fleet.engine[i].open;
      fleet.engine[i].answered = 0;
      fleet.engine[i].late = 0;
      fleet.engine[i].tokens = 0;
    }
}

void
fleet_finish (void)
{
  fleet_deliver (true);
  for (size_t i = 0; i < fleet.options.engines; i++)
    {
      while (!TAILQ_EMPTY (&fleet.engine[i].runs))
        run_free (&fleet.engine[i], TAILQ_FIRST (&fleet.engine[i].runs));
    }
  for (size_t i = 0; i < fleet.options.entries; i++)
    ca_gateway_finish (&fleet.gateways[i]);
}

ca_gateway_endpoint_t *
fleet_endpoint (size_t entry, size_t engine)
{
  char id[24];

  snprintf (id, sizeof id, "i%zu", engine);
  return ca_registry_find (&fleet.gateways[entry].registry, id);
}

double
fleet_token_share (size_t first, size_t step)
{
  uint64_t all = 0;
  uint64_t part = 0;

  for (size_t i = 0; i < fleet.options.engines; i++)
    {
      all += fleet.engine[i].tokens;
      if (i >= first && (i - first) % step == 0)
        part += fleet.engine[i].tokens;
    }
  return all == 0 ? 0 : (double)part / (double)all;
}

double
fleet_late_share (size_t first, size_t step)
{
  uint64_t answered = 0;
  uint64_t late = 0;

  for (size_t i = first; i < fleet.options.engines; i += step)
    {
      answered += fleet.engine[i].answered;
      late += fleet.engine[i].late;
    }
  return answered == 0 ? 0 : (double)late / (double)answered;
}
