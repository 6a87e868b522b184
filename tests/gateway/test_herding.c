/* Many entries send requests to a few plain endpoints, and prompts to
 * engines, in virtual time.  Measures how many are served within the
 * objective, by load and number of entries.  An entry's own load is current,
 * that of its peers is from their latest heartbeats. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "cluster.h"
#include "gateway/gateway.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES_MAX 100
#define ZONES 3
#define ENDPOINTS_MAX 40
#define ENGINE_TOKENS_PER_MS 30
#define ENGINE_STREAM_US (300 * CA_US_PER_MS)
#define STEP_US (1 * CA_US_PER_MS)
#define WARM_US (4 * CA_US_PER_S)
#define RUN_US (20 * CA_US_PER_S)

/* Service under test and its endpoints. */
typedef struct
{
  const char *name;
  const char *path;
  const char *service;
  bool is_engine;
  uint32_t endpoints;
  uint32_t slots;     /* as configured at the entries */
  uint32_t parallel;  /* concurrent runs; engines prefill one prompt each */
  uint32_t queue_max; /* waiting requests; further ones are rejected */
  uint64_t work_us;
  uint64_t objective_us;
  bool unequal; /* endpoints differ in speed */
} workload_t;

static const workload_t plain = { "plain",
                                  "/p/",
                                  "p",
                                  false,
                                  3,
                                  6,
                                  6,
                                  24,
                                  30 * CA_US_PER_MS,
                                  150 * CA_US_PER_MS,
                                  false };
static const workload_t unequal
    = { "unequal",          "/p/", "p", false, 3, 6, 6, 24, 30 * CA_US_PER_MS,
        150 * CA_US_PER_MS, true };
static const workload_t engine = { "engine",
                                   "/e/",
                                   "e",
                                   true,
                                   40,
                                   64,
                                   1,
                                   200,
                                   100 * CA_US_PER_MS,
                                   1000 * CA_US_PER_MS,
                                   false };

/* Relative work times of unequal endpoints; the mean of the inverses is 1. */
static const double work_time_factor[] = { 0.65, 1.0, 2.2 };

typedef struct run
{
  ca_exchange_t *exchange;
  size_t entry;
  uint64_t work_us;
  uint64_t ends_us; /* of the work or the stream; 0 while queued */
  bool streams;
  TAILQ_ENTRY (run) entries;
} run_t;

typedef struct
{
  TAILQ_HEAD (, run) queue; /* the first `parallel` ones run */
  uint32_t open;
} endpoint_t;

static struct
{
  size_t count; /* of entries */
  ca_gateway_t gateways[ENTRIES_MAX];
  const workload_t *workload;
  endpoint_t endpoints[ENDPOINTS_MAX];
  uint64_t now_us;
  uint64_t seed;
  uint64_t requested;
  uint64_t in_time;
  uint64_t late;
  uint64_t refused;
  uint64_t rejected; /* by full endpoints */
} world;

static const char config[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"p\",\"host\":\"h\",\"prefix\":\"/p/\","
      "\"route_kind\":\"idempotent\",\"timeout_ms\":1000,"
      "\"target_latency_ms\":150,\"service\":\"p\",\"max_attempts\":2,"
      "\"public\":true},"
      "{\"name\":\"e\",\"host\":\"h\",\"prefix\":\"/e/\","
      "\"route_kind\":\"streaming\",\"timeout_ms\":8000,"
      "\"target_latency_ms\":1000,\"service\":\"e\",\"max_attempts\":1,"
      "\"public\":true,\"sticky_sessions\":true}],\"services\":["
      "{\"name\":\"p\"},{\"name\":\"e\",\"inference_engine\":"
      "{\"slots\":64,\"kv_cache_tokens\":3000000}}],\"tenants\":[]}";

static double
uniform (void)
{
  world.seed = world.seed * UINT64_C (6364136223846793005)
               + UINT64_C (1442695040888963407);
  return (double)(world.seed >> 11) / (double)(UINT64_C (1) << 53);
}

static void
endpoint_start (endpoint_t *endpoint)
{
  uint32_t running = 0;
  run_t *run;

  TAILQ_FOREACH (run, &endpoint->queue, entries)
  {
    if (run->streams)
      continue;
    if (running++ == world.workload->parallel)
      return;
    if (run->ends_us == 0)
      run->ends_us = world.now_us + run->work_us;
  }
}

static void
run_free (endpoint_t *endpoint, run_t *run)
{
  TAILQ_REMOVE (&endpoint->queue, run, entries);
  endpoint->open--;
  free (run);
}

static void
endpoint_answer (endpoint_t *endpoint, run_t *run, bool not_run)
{
  ca_answer_facts_t facts
      = { .status = not_run ? 503 : 200,
          .is_signed = !not_run,
          .not_run = not_run,
          .is_stream = !not_run && world.workload->is_engine };
  ca_gateway_t *gateway = &world.gateways[run->entry];
  ca_exchange_t *exchange = run->exchange;

  world.rejected += not_run ? 1 : 0;
  if (!run->streams)
    ca_exchange_head (gateway, world.now_us, exchange, &facts);
  if (facts.is_stream && !run->streams)
    {
      run->streams = true;
      run->ends_us = world.now_us + ENGINE_STREAM_US;
      ca_exchange_event (gateway, world.now_us, exchange, true, 1);
      return;
    }
  run_free (endpoint, run);
  ca_exchange_end (gateway, world.now_us, exchange, CA_END_COMPLETE);
}

static void
endpoint_tick (endpoint_t *endpoint)
{
  run_t *run = TAILQ_FIRST (&endpoint->queue);

  while (run != NULL)
    {
      run_t *next = TAILQ_NEXT (run, entries);

      if (run->ends_us != 0 && world.now_us >= run->ends_us)
        endpoint_answer (endpoint, run, run->work_us == 0);
      run = next;
    }
  endpoint_start (endpoint);
}

static void
on_attempt (void *context, ca_exchange_t *exchange, const ca_attempt_t *attempt)
{
  endpoint_t *endpoint = &world.endpoints[atoi (exchange->endpoint->id + 1)];
  run_t *run = calloc (1, sizeof *run);

  (void)attempt;
  run->exchange = exchange;
  run->entry = (size_t)(uintptr_t)context;
  run->work_us
      = world.workload->is_engine
            ? exchange->prompt.tokens * CA_US_PER_MS / ENGINE_TOKENS_PER_MS
            : (uint64_t)(world.workload->work_us * (0.5 + uniform ()));
  if (world.workload->unequal)
    run->work_us
        = (uint64_t)((double)run->work_us
                     * work_time_factor[atoi (exchange->endpoint->id + 1) % 3]);
  if (endpoint->open >= world.workload->parallel + world.workload->queue_max)
    {
      run->work_us = 0;
      run->ends_us = world.now_us + STEP_US;
    }
  endpoint->open++;
  TAILQ_INSERT_TAIL (&endpoint->queue, run, entries);
}

/* Counts a plain response, or the first event of a stream. */
static void
on_answer (void *context, ca_exchange_t *exchange)
{
  (void)context;
  if (exchange->accepted_us < WARM_US)
    return;
  if (world.now_us - exchange->accepted_us <= world.workload->objective_us)
    world.in_time++;
  else
    world.late++;
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
  (void)reason;
  (void)retry_after_us;
  if (exchange->accepted_us >= WARM_US)
    world.refused++;
}

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  (void)context;
  cluster_deliver (&world.gateways[to->port], world.now_us, envelope);
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  (void)context;
  (void)event;
}

static void
entry_start (size_t index)
{
  ca_gateway_t *gateway = &world.gateways[index];
  ca_gateway_ports_t ports = { .context = (void *)(uintptr_t)index,
                               .attempt = on_attempt,
                               .cancel = on_end,
                               .check_endpoint = cluster_check_endpoint,
                               .deliver = on_answer,
                               .begin = on_answer,
                               .finish = on_end,
                               .abort_stream = on_end,
                               .refuse = on_refuse,
                               .send_peer = on_send,
                               .log = on_log };
  ca_gateway_options_t options;
  char own_zone[24];

  snprintf (own_zone, sizeof own_zone, "z%zu", index % ZONES);
  cluster_options (&options, index, own_zone);
  options.bounds.retry_ratio = 0.2;
  options.bounds.retry_allowance = 200;
  options.bounds.retry_window_ms = 10000;
  options.bounds.usage_window_s = 5;
  options.seed = (uint32_t)index;
  ca_gateway_init (gateway, &options, &ports, world.now_us,
                   UINT64_C (1700000000000000) + index);
  cluster_configure (gateway, world.now_us, config);
  for (size_t i = 0; i < world.workload->endpoints; i++)
    {
      char id[24];
      char zone[24];
      ca_endpoint_record_t record;

      snprintf (id, sizeof id, "i%zu", i);
      snprintf (zone, sizeof zone, "z%zu", i % ZONES);
      memset (&record, 0, sizeof record);
      record.id = id;
      record.service = world.workload->service;
      record.zone = zone;
      record.slots = world.workload->slots;
      ca_gateway_endpoint_listed (gateway, world.now_us, &record);
    }
  cluster_add_peers (gateway, world.count);
}

static void
request (void)
{
  ca_request_facts_t facts;
  size_t index = (size_t)(uniform () * (double)world.count);

  memset (&facts, 0, sizeof facts);
  facts.id = "x";
  facts.host = "h";
  facts.path = world.workload->path;
  facts.fingerprint = world.seed;
  facts.wait_ms = 8000;
  if (world.workload->is_engine)
    {
      facts.has_cost = true;
      facts.prompt.tokens
          = (uint32_t)(ENGINE_TOKENS_PER_MS * (double)world.workload->work_us
                       / CA_US_PER_MS * (0.5 + uniform ()));
      facts.prompt.output_tokens = 50;
      ca_prompt_add (&facts.prompt, (uint64_t)(uniform () * 400), 10);
      ca_prompt_add (&facts.prompt, world.seed, facts.prompt.tokens - 10);
    }
  if (world.now_us >= WARM_US)
    world.requested++;
  ca_gateway_request (&world.gateways[index], world.now_us, &facts);
}

/* Simulates a demand of `load` times the capacity of the endpoints.  The
 * ticks of the entries are spread evenly over their period. */
static void
simulate (const workload_t *workload, size_t entries, double load)
{
  double rate_per_us = load * workload->endpoints * workload->parallel
                       / (double)workload->work_us;
  double next_us = 0;

  memset (&world, 0, sizeof world);
  world.workload = workload;
  world.count = entries;
  world.seed = 7;
  for (size_t i = 0; i < workload->endpoints; i++)
    TAILQ_INIT (&world.endpoints[i].queue);
  world.now_us = STEP_US;
  for (size_t i = 0; i < entries; i++)
    entry_start (i);
  while (world.now_us < WARM_US + RUN_US)
    {
      world.now_us += STEP_US;
      for (size_t i = 0; i < entries; i++)
        {
          if ((world.now_us + i * STEP_US) % CA_GATEWAY_TICK_US == 0)
            ca_gateway_tick (&world.gateways[i], world.now_us,
                             UINT64_C (1700000000000000) + world.now_us);
        }
      while (next_us < (double)world.now_us)
        {
          next_us += -log (1 - uniform ()) / rate_per_us;
          request ();
        }
      for (size_t i = 0; i < workload->endpoints; i++)
        endpoint_tick (&world.endpoints[i]);
    }
  print_message (
      "%s, %3zu entries, load %.2f: in time %.3f, late %.3f, refused "
      "%.3f, rejected by endpoints %.3f\n",
      workload->name, entries, load, (double)world.in_time / world.requested,
      (double)world.late / world.requested,
      (double)world.refused / world.requested,
      (double)world.rejected / world.requested);
  for (size_t i = 0; i < workload->endpoints; i++)
    {
      while (!TAILQ_EMPTY (&world.endpoints[i].queue))
        run_free (&world.endpoints[i], TAILQ_FIRST (&world.endpoints[i].queue));
    }
  for (size_t i = 0; i < entries; i++)
    ca_gateway_finish (&world.gateways[i]);
}

/* Below 0.8 of the capacity, queues at six servers are short: nearly all
 * requests must be served within the objective, even if many entries select
 * endpoints at the same time. */
static void
test_below_capacity (void **state)
{
  static const size_t counts[] = { 1, 7, 30, 72, 100 };
  static const double loads[] = { 0.4, 0.6, 0.8 };

  (void)state;
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      for (size_t k = 0; k < sizeof loads / sizeof loads[0]; k++)
        {
          simulate (&plain, counts[i], loads[k]);
          assert_true ((double)world.in_time >= 0.97 * (double)world.requested);
          assert_true ((double)world.rejected
                       <= 0.01 * (double)world.requested);
        }
    }
}

/* Above the capacity, the fraction served is 1 / load, less what is lost to
 * the finite queues. */
static void
test_above_capacity (void **state)
{
  static const double loads[] = { 1.2, 2.0 };

  (void)state;
  for (size_t k = 0; k < sizeof loads / sizeof loads[0]; k++)
    {
      simulate (&plain, 72, loads[k]);
      assert_true ((double)(world.in_time + world.late)
                   >= 0.85 / loads[k] * (double)world.requested);
    }
}

/* The slowest endpoint has a seventh of the capacity; an even split would
 * give it more than twice what it can serve. */
static void
test_unequal (void **state)
{
  static const size_t counts[] = { 1, 7, 30, 72, 100 };

  (void)state;
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      simulate (&unequal, counts[i], 0.7);
      assert_true ((double)world.in_time >= 0.95 * (double)world.requested);
    }
}

/* Prompts wait to be prefilled.  At 0.7 of the capacity, spread evenly, some
 * wait for two others; the objective allows ten. */
static void
test_engines (void **state)
{
  static const size_t counts[] = { 1, 7, 30, 72, 100 };

  (void)state;
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      simulate (&engine, counts[i], 0.7);
      assert_true ((double)world.in_time >= 0.97 * (double)world.requested);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_below_capacity),
    cmocka_unit_test (test_above_capacity),
    cmocka_unit_test (test_unequal),
    cmocka_unit_test (test_engines),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
