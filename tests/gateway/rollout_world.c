/* A rollout with many entries, in virtual time. */
#include "rollout_world.h"

#include "cluster.h"
#include "gateway/gateway.h"
#include "gateway/private.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES_MAX 300
#define ENDPOINTS_MAX 420
#define STEP_US (1 * CA_US_PER_MS)
#define ORDER_US (4 * CA_US_PER_S)
#define LIST_US (600 * CA_US_PER_MS)    /* of the target, after the order */
#define LEARN_US (800 * CA_US_PER_MS)   /* longest until an entry reads it */
#define STATUS_US (1000 * CA_US_PER_MS) /* until all have read the status */
#define LEADER_US (100 * CA_US_PER_MS)
#define DURATION_US (ROLLOUT_DURATION_S * CA_US_PER_S)
#define END_US (ORDER_US + DURATION_US + 2 * CA_US_PER_S)
#define TOKENS_PER_MS 30.0
#define STREAM_US (250 * CA_US_PER_MS)
#define FAULT_SHARE 0.5
#define SLOW_FACTOR 4
#define WALL_US UINT64_C (1700000000000000)
#define ORDER_VERSION 17

typedef struct run
{
  ca_exchange_t *exchange;
  size_t entry;
  uint64_t answers_us; /* first event, or the whole answer */
  uint64_t ends_us;    /* of the stream; 0 before its first event */
  bool fails;
  bool crashes;
  bool bad; /* counts against the target */
  TAILQ_ENTRY (run) entries;
} run_t;

typedef struct
{
  TAILQ_HEAD (runs, run) runs;
  uint64_t busy_until_us; /* prompts are read one after the other */
  uint32_t open;
  bool is_target;
  bool is_failing; /* part of the day's faults */
} endpoint_t;

static struct
{
  const rollout_case_t *setup;
  rollout_result_t *result;
  ca_gateway_t gateways[ENTRIES_MAX];
  endpoint_t endpoints[ENDPOINTS_MAX];
  uint64_t now_us;
  uint64_t seed;
  uint64_t next_request_us;
  /* The leader. */
  uint64_t step_us; /* of the latest stage */
  uint64_t status_us;
} world;

static const char config[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"chat\",\"host\":\"h\",\"prefix\":\"/chat/\","
      "\"route_kind\":\"streaming\",\"timeout_ms\":8000,"
      "\"target_latency_ms\":2000,\"service\":\"e\",\"max_attempts\":1,"
      "\"public\":true},"
      "{\"name\":\"batch\",\"host\":\"h\",\"prefix\":\"/batch/\","
      "\"route_kind\":\"idempotent\",\"timeout_ms\":8000,"
      "\"target_latency_ms\":2000,\"service\":\"e\",\"max_attempts\":2,"
      "\"public\":true}],\"services\":["
      "{\"name\":\"e\",\"inference_engine\":"
      "{\"slots\":64,\"kv_cache_tokens\":3000000}}],\"tenants\":[]}";

static double
uniform (void)
{
  world.seed = world.seed * UINT64_C (6364136223846793005)
               + UINT64_C (1442695040888963407);
  return (double)(world.seed >> 11) / (double)(UINT64_C (1) << 53);
}

static uint64_t
since_order_us (void)
{
  return world.now_us > ORDER_US ? world.now_us - ORDER_US : 0;
}

static bool
is_cut_off (size_t entry)
{
  return entry >= world.setup->entries - world.setup->cut_off
         && world.now_us >= ORDER_US + world.setup->cut_off_us;
}

/* True if the target's fault makes this run fail. */
static bool
target_fails (const endpoint_t *endpoint, const ca_exchange_t *exchange)
{
  switch (world.setup->fault)
    {
    case ROLLOUT_FAULT_FAILS:
      return uniform () < FAULT_SHARE;
    case ROLLOUT_FAULT_FAILS_LATER:
      return since_order_us () >= world.setup->later_us
             && uniform () < FAULT_SHARE;
    case ROLLOUT_FAULT_ONE_ROUTE:
      return strcmp (exchange->route->name, "batch") == 0
             && uniform () < FAULT_SHARE;
    case ROLLOUT_FAULT_UNDER_LOAD:
      return endpoint->open > 0;
    default:
      return false;
    }
}

static void
count_sent (size_t entry, const endpoint_t *endpoint)
{
  rollout_result_t *result = world.result;

  if (world.now_us >= ORDER_US && world.now_us < ORDER_US + DURATION_US)
    {
      result->sent++;
      result->sent_target += endpoint->is_target;
    }
  if (!endpoint->is_target)
    return;
  result->last_sent_target_us = since_order_us ();
  if (is_cut_off (entry))
    result->last_sent_cut_off_us = since_order_us ();
}

static void
on_attempt (void *context, ca_exchange_t *exchange, const ca_attempt_t *attempt)
{
  endpoint_t *endpoint = &world.endpoints[atoi (exchange->endpoint->id + 1)];
  run_t *run = calloc (1, sizeof *run);
  double read_us = exchange->prompt.tokens * CA_US_PER_MS / TOKENS_PER_MS;
  bool is_slow
      = endpoint->is_target && world.setup->fault == ROLLOUT_FAULT_SLOW;

  (void)attempt;
  run->exchange = exchange;
  run->entry = (size_t)(uintptr_t)context;
  run->crashes
      = endpoint->is_target && world.setup->fault == ROLLOUT_FAULT_CRASHES;
  run->fails = endpoint->is_target && target_fails (endpoint, exchange);
  run->bad = run->fails || is_slow;
  if (endpoint->is_failing && uniform () < 0.4)
    run->fails = true;
  if (is_slow)
    read_us *= SLOW_FACTOR;
  if (endpoint->busy_until_us < world.now_us)
    endpoint->busy_until_us = world.now_us;
  endpoint->busy_until_us += (uint64_t)read_us;
  run->answers_us = endpoint->busy_until_us + 15 * CA_US_PER_MS;
  endpoint->open++;
  TAILQ_INSERT_TAIL (&endpoint->runs, run, entries);
  count_sent (run->entry, endpoint);
}

static void
run_free (endpoint_t *endpoint, run_t *run)
{
  TAILQ_REMOVE (&endpoint->runs, run, entries);
  endpoint->open--;
  free (run);
}

static void
count_bad (void)
{
  world.result->bad_answers++;
  if (world.result->bad_answers == 50)
    world.result->fiftieth_bad_us = since_order_us ();
}

/* Ends the run, or sends the first event of its stream. */
static void
run_answer (endpoint_t *endpoint, run_t *run)
{
  ca_gateway_t *gateway = &world.gateways[run->entry];
  ca_exchange_t *exchange = run->exchange;
  ca_answer_facts_t facts
      = { .status = run->fails ? 500 : 200,
          .is_signed = true,
          .is_stream
          = !run->fails && exchange->route->kind == CA_ROUTE_STREAMING };
  ca_attempt_end_t end = CA_END_COMPLETE;

  if (run->ends_us == 0)
    {
      if (run->bad)
        count_bad ();
      if (run->crashes)
        end = CA_END_INTERRUPTED;
      else
        ca_exchange_head (gateway, world.now_us, exchange, &facts);
      if (!run->crashes && facts.is_stream)
        {
          run->ends_us = world.now_us + STREAM_US;
          ca_exchange_event (gateway, world.now_us, exchange, true, 1);
          return;
        }
    }
  run_free (endpoint, run);
  ca_exchange_end (gateway, world.now_us, exchange, end);
}

static void
endpoint_tick (endpoint_t *endpoint)
{
  run_t *run = TAILQ_FIRST (&endpoint->runs);

  while (run != NULL)
    {
      run_t *next = TAILQ_NEXT (run, entries);

      if (world.now_us >= (run->ends_us != 0 ? run->ends_us : run->answers_us))
        run_answer (endpoint, run);
      run = next;
    }
}

static void
on_end (void *context, ca_exchange_t *exchange)
{
  (void)context;
  (void)exchange;
}

/* The caller's time limit has passed: the run goes on unheard. */
static void
on_cancel (void *context, ca_exchange_t *exchange)
{
  endpoint_t *endpoint = &world.endpoints[atoi (exchange->endpoint->id + 1)];
  run_t *run;

  (void)context;
  TAILQ_FOREACH (run, &endpoint->runs, entries)
  {
    if (run->exchange != exchange)
      continue;
    run_free (endpoint, run);
    return;
  }
}

static void
on_refuse (void *context, ca_exchange_t *exchange, ca_gateway_refusal_t reason,
           uint64_t retry_after_us)
{
  (void)context;
  (void)exchange;
  (void)reason;
  (void)retry_after_us;
}

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  if (!is_cut_off (to->port) && !is_cut_off ((size_t)(uintptr_t)context))
    cluster_deliver (&world.gateways[to->port], world.now_us, envelope);
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  if (getenv ("ROLLOUT_TRACE") != NULL && (uintptr_t)context < 2
      && event->event >= CA_EVENT_ROLLOUT_LEARNED)
    printf ("%8.3f entry %zu %d %s\n",
            ((double)world.now_us - ORDER_US) / CA_US_PER_S,
            (size_t)(uintptr_t)context, event->event, event->detail);
}

static void
list_endpoint (ca_gateway_t *gateway, uint32_t index)
{
  ca_endpoint_record_t record;
  char id[24];

  snprintf (id, sizeof id, "i%u", index);
  memset (&record, 0, sizeof record);
  record.id = id;
  record.service = "e";
  record.zone = "z0";
  record.version = world.endpoints[index].is_target ? "v2" : "v1";
  record.slots = 64;
  record.started_ms = WALL_US / CA_US_PER_MS + index;
  ca_gateway_endpoint_listed (gateway, world.now_us, &record);
}

static void
entry_start (size_t index)
{
  ca_gateway_t *gateway = &world.gateways[index];
  ca_gateway_ports_t ports = { .context = (void *)(uintptr_t)index,
                               .attempt = on_attempt,
                               .cancel = on_cancel,
                               .check_endpoint = cluster_check_endpoint,
                               .deliver = on_end,
                               .begin = on_end,
                               .finish = on_end,
                               .abort_stream = on_end,
                               .refuse = on_refuse,
                               .send_peer = on_send,
                               .log = on_log };
  ca_gateway_options_t options;

  cluster_options (&options, index, "z0");
  options.bounds.retry_ratio = 0.2;
  options.bounds.retry_allowance = 200;
  options.bounds.retry_window_ms = 10000;
  options.bounds.usage_window_s = 5;
  options.seed = (uint32_t)(index + world.setup->seed * ENTRIES_MAX);
  ca_gateway_init (gateway, &options, &ports, world.now_us, WALL_US + index);
  cluster_configure (gateway, world.now_us, config);
  ca_gateway_list_begin (gateway, world.now_us);
  for (uint32_t i = 0; i < world.setup->endpoints; i++)
    list_endpoint (gateway, i);
  ca_gateway_list_end (gateway, world.now_us);
  cluster_add_peers (gateway, world.setup->entries);
}

static void
request (void)
{
  size_t index = (size_t)(uniform () * (double)world.setup->entries);
  ca_request_facts_t facts;
  char id[32];

  snprintf (id, sizeof id, "r%llu", (unsigned long long)world.seed);
  memset (&facts, 0, sizeof facts);
  facts.id = id;
  facts.host = "h";
  facts.path = uniform () < 0.7 ? "/chat/" : "/batch/";
  facts.fingerprint = world.seed;
  facts.wait_ms = 8000;
  facts.has_cost = true;
  facts.prompt.tokens = (uint32_t)(2000 + 2000 * uniform ());
  facts.prompt.output_tokens = 50;
  ca_gateway_request (&world.gateways[index], world.now_us, &facts);
}

/* Entries learn of the order and of the target's endpoints one by one. */
static void
entry_read_store (size_t index)
{
  ca_gateway_t *gateway = &world.gateways[index];
  uint64_t delay_us
      = index * LEARN_US / world.setup->entries / STEP_US * STEP_US;
  ca_rollout_order_t order = { .service = "e",
                               .target = "v2",
                               .duration_s = ROLLOUT_DURATION_S,
                               .order = ORDER_VERSION };
  ca_rollout_status_t status = { .stage = world.result->stage,
                                 .target = "v2",
                                 .order = ORDER_VERSION };

  if (world.now_us == ORDER_US + delay_us)
    ca_gateway_rollout_order (gateway, world.now_us, &order);
  if (world.now_us == ORDER_US + LIST_US + delay_us / 2)
    {
      for (uint32_t i = 0; i < world.setup->endpoints; i++)
        list_endpoint (gateway, world.setup->endpoints + i);
    }
  if (world.status_us != 0 && world.now_us == world.status_us
      && !is_cut_off (index))
    ca_gateway_rollout_status (gateway, world.now_us, "e", &status);
}

static void
leader_set (ca_rollout_t *rollout, ca_rollout_stage_t stage, uint32_t share)
{
  ca_rollout_set_stage (&world.gateways[0], rollout, stage, share);
  world.step_us = world.now_us;
  world.result->stage = stage;
  if (stage != CA_ROLLOUT_COMPLETED && stage != CA_ROLLOUT_REVERTED)
    return;
  world.result->decided_us = since_order_us ();
  world.status_us = world.now_us + STATUS_US;
}

/* One step of the shift follows the other when the reports on it may have
 * arrived from all entries. */
static void
leader_shift (ca_rollout_t *rollout, const ca_rollout_progress_t *progress,
              bool late)
{
  uint64_t pause_us
      = world.gateways[0].heartbeat_period_us * 5 / 4 + 500 * CA_US_PER_MS;
  bool due = world.now_us - world.step_us >= pause_us;
  uint32_t share = progress->share_permille * 2;

  if (progress->stage == CA_ROLLOUT_CANARY)
    leader_set (rollout, CA_ROLLOUT_SHIFT, 250);
  else if (progress->stage == CA_ROLLOUT_SHIFT && due && share <= 1000)
    leader_set (rollout, CA_ROLLOUT_SHIFT, share);
  else if (progress->stage == CA_ROLLOUT_SHIFT && due)
    leader_set (rollout, CA_ROLLOUT_DRAIN, 1000);
  else if (late
           || (progress->stage == CA_ROLLOUT_DRAIN && due
               && progress->open_old == 0))
    leader_set (rollout, CA_ROLLOUT_COMPLETED, 1000);
}

static void
leader_tick (void)
{
  ca_rollout_t *rollout = ca_rollout_find (&world.gateways[0], "e");
  bool late = since_order_us () >= DURATION_US * 92 / 100;
  ca_rollout_progress_t progress;

  if (rollout == NULL || world.status_us != 0)
    return;
  ca_rollout_progress (&world.gateways[0], rollout, &progress);
  world.result->verdict = progress.verdict;
  if (progress.stage == CA_ROLLOUT_STAGE_UNKNOWN)
    leader_set (rollout, CA_ROLLOUT_CANARY, 50);
  else if (progress.verdict == CA_ROLLOUT_BAD
           || (late && progress.late_verdict != CA_ROLLOUT_GOOD))
    leader_set (rollout, CA_ROLLOUT_REVERTED, 0);
  else if ((progress.verdict == CA_ROLLOUT_GOOD || late)
           && since_order_us () >= DURATION_US / 2)
    leader_shift (rollout, &progress, late);
}

static void
world_start (void)
{
  uint32_t endpoints = world.setup->endpoints;
  uint32_t failing
      = (uint32_t)(endpoints * world.setup->failing_endpoints + 0.5);

  world.seed = world.setup->seed * UINT64_C (7919) + 1;
  world.now_us = STEP_US;
  for (uint32_t i = 0; i < 2 * endpoints; i++)
    {
      TAILQ_INIT (&world.endpoints[i].runs);
      world.endpoints[i].is_target = i >= endpoints;
    }
  for (uint32_t i = 0; i < failing; i++)
    {
      world.endpoints[(uint32_t)(uniform () * endpoints)].is_failing = true;
      world.endpoints[endpoints + (uint32_t)(uniform () * endpoints)].is_failing
          = true;
    }
  for (size_t i = 0; i < world.setup->entries; i++)
    entry_start (i);
  world.gateways[0].leads = true;
}

static void
world_step (void)
{
  world.now_us += STEP_US;
  for (size_t i = 0; i < world.setup->entries; i++)
    {
      entry_read_store (i);
      if ((world.now_us + i * STEP_US) % CA_GATEWAY_TICK_US == 0)
        ca_gateway_tick (&world.gateways[i], world.now_us,
                         WALL_US + world.now_us);
    }
  if (world.now_us % LEADER_US == 0)
    leader_tick ();
  while (world.next_request_us < world.now_us)
    {
      world.next_request_us
          += (uint64_t)(-log (1 - uniform ()) / world.setup->requests_per_s
                        * CA_US_PER_S);
      request ();
    }
  for (uint32_t i = 0; i < 2 * world.setup->endpoints; i++)
    endpoint_tick (&world.endpoints[i]);
}

void
rollout_world_run (const rollout_case_t *setup, rollout_result_t *result)
{
  memset (&world, 0, sizeof world);
  memset (result, 0, sizeof *result);
  world.setup = setup;
  world.result = result;
  world_start ();
  while (world.now_us < END_US)
    world_step ();
  result->heartbeat_us = world.gateways[0].heartbeat_period_us;
  for (uint32_t i = 0; i < 2 * setup->endpoints; i++)
    {
      while (!TAILQ_EMPTY (&world.endpoints[i].runs))
        run_free (&world.endpoints[i], TAILQ_FIRST (&world.endpoints[i].runs));
    }
  for (size_t i = 0; i < setup->entries; i++)
    ca_gateway_finish (&world.gateways[i]);
}
