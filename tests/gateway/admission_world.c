#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "admission_world.h"
#include "cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

world_t world;

static const kind_t kinds[KINDS]
    = { { 500, 9190, 7, 266 }, { 800, 2368, 3, 307 }, { 2000, 715, 40, 77 } };

static const char config[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/0/\","
      "\"route_kind\":\"streaming\",\"timeout_ms\":3000,\"priority\":0,"
      "\"target_latency_ms\":500,\"service\":\"e\",\"max_attempts\":1},"
      "{\"name\":\"b\",\"host\":\"h\",\"prefix\":\"/1/\","
      "\"route_kind\":\"streaming\",\"timeout_ms\":5000,\"priority\":1,"
      "\"target_latency_ms\":800,\"service\":\"e\",\"max_attempts\":1},"
      "{\"name\":\"c\",\"host\":\"h\",\"prefix\":\"/2/\","
      "\"route_kind\":\"streaming\",\"timeout_ms\":12000,\"priority\":2,"
      "\"target_latency_ms\":2000,\"service\":\"e\",\"max_attempts\":1}],"
      "\"services\":[{\"name\":\"e\",\"inference_engine\":"
      "{\"slots\":16,\"kv_cache_tokens\":3000000}}],\"tenants\":[";

static double
uniform (void)
{
  world.seed = world.seed * UINT64_C (6364136223846793005)
               + UINT64_C (1442695040888963407);
  return (double)(world.seed >> 11) / (double)(UINT64_C (1) << 53);
}

static count_t *
count_of (const run_t *run)
{
  return &world.bins[run->bin][run->kind][run->first_workspace ? 0 : 1];
}

static uint64_t
read_us (size_t kind)
{
  return (uint64_t)(kinds[kind].prompt_tokens / TOKENS_PER_MS * CA_US_PER_MS);
}

static void
on_attempt (void *context, ca_exchange_t *exchange, const ca_attempt_t *attempt)
{
  run_t *run = calloc (1, sizeof *run);
  size_t endpoint = (size_t)atoi (exchange->endpoint->id + 1);
  uint64_t from_us = world.free_us[endpoint] > world.now_us
                         ? world.free_us[endpoint]
                         : world.now_us;

  (void)attempt;
  run->exchange = exchange;
  run->entry = (size_t)(uintptr_t)context;
  run->endpoint = endpoint;
  run->kind = exchange->route->priority;
  run->first_workspace = strcmp (exchange->workspace->name, "w0") == 0;
  run->bin = exchange->accepted_us / BIN_US;
  TAILQ_INSERT_TAIL (&world.runs, run, entries);
  run->rejected = world.open[endpoint] >= SLOTS;
  world.open[endpoint]++;
  run->next_us = world.now_us + REJECT_US;
  if (run->rejected)
    return;
  world.free_us[endpoint] = from_us + read_us (run->kind);
  run->next_us = world.free_us[endpoint] + FIRST_EVENT_US;
}

static void
run_free (run_t *run)
{
  TAILQ_REMOVE (&world.runs, run, entries);
  world.open[run->endpoint]--;
  free (run);
}

static void
on_exchange (void *context, ca_exchange_t *exchange)
{
  (void)context;
  (void)exchange;
}

/* The deadline has passed: the endpoint's answer no longer counts. */
static void
on_cancel (void *context, ca_exchange_t *exchange)
{
  run_t *run;

  (void)context;
  TAILQ_FOREACH (run, &world.runs, entries)
  {
    if (run->exchange != exchange)
      continue;
    /* The endpoint does not read the prompt any more. */
    if (!run->streams && !run->rejected
        && world.free_us[run->endpoint] > world.now_us + read_us (run->kind))
      world.free_us[run->endpoint] -= read_us (run->kind);
    run_free (run);
    return;
  }
}

static void
on_refuse (void *context, ca_exchange_t *exchange, ca_gateway_refusal_t reason,
           uint64_t retry_after_us)
{
  (void)context;
  world.refusals[reason]++;
  if (reason == CA_REFUSE_SHED
      && (exchange->sends > 0 || exchange->runs > 0 || exchange->delegated
          || exchange->resumes[0] != '\0' || retry_after_us == 0))
    world.shed_wrongly++;
}

static void
post (size_t to, const Camphor__Envelope *envelope, uint64_t delay_us)
{
  message_t *message = calloc (1, sizeof *message);

  message->bytes = camphor__envelope__get_packed_size (envelope);
  message->packed = malloc (message->bytes);
  message->to = to;
  message->due_us = world.now_us + delay_us;
  camphor__envelope__pack (envelope, message->packed);
  TAILQ_INSERT_TAIL (&world.messages, message, entries);
}

static void
scale_pressure (const Camphor__Envelope *envelope, bool up)
{
  if (envelope->body_case != CAMPHOR__ENVELOPE__BODY_PULSE)
    return;
  for (size_t i = 0; i < envelope->pulse->n_work; i++)
    {
      Camphor__ServiceWork *row = envelope->pulse->work[i];

      row->pressure_permille = up ? row->pressure_permille * 10 + 10000
                                  : (row->pressure_permille - 10000) / 10;
    }
}

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  const scenario_t *scenario = world.scenario;
  size_t from = (size_t)(uintptr_t)context;

  if (scenario->first_cut && (from == 0 || to->port == 0))
    return;
  if (scenario->lost > 0 && uniform () < scenario->lost)
    return;
  if (scenario->first_lies && from == 0)
    scale_pressure (envelope, true);
  post (to->port, envelope,
        scenario->late > 0 && uniform () < scenario->late ? LATE_MESSAGE_US
                                                          : MESSAGE_US);
  if (scenario->repeated > 0 && uniform () < scenario->repeated)
    post (to->port, envelope, LATE_MESSAGE_US);
  if (scenario->first_lies && from == 0)
    scale_pressure (envelope, false);
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  size_t entry = (size_t)(uintptr_t)context;
  uint64_t since_us = world.now_us - world.changed_us[entry];

  if (event->event != CA_EVENT_SHEDDING_LEVEL)
    return;
  world.levels[entry]
      = (uint32_t)strtoul (event->detail + strlen ("level "), NULL, 10);
  if (world.changed_us[entry] != 0 && since_us < world.shortest_step_us)
    world.shortest_step_us = since_us;
  world.changed_us[entry] = world.now_us;
  if (world.levels[entry] == 0)
    world.returned_us = world.now_us;
  if (world.levels[entry] > world.level_max)
    world.level_max = world.levels[entry];
  if (entry == 0 && world.levels[entry] > world.first_level_max)
    world.first_level_max = world.levels[entry];
}

static const char *
config_text (void)
{
  static char text[8192];
  size_t used = (size_t)snprintf (text, sizeof text, "%s", config);

  for (size_t i = 0; i < WORKSPACES; i++)
    used += (size_t)snprintf (
        text + used, sizeof text - used,
        "%s{\"name\":\"w%zu\",\"api_keys\":[\"k%zu\"],\"rate_per_s\":0}",
        i == 0 ? "" : ",", i, i);
  snprintf (text + used, sizeof text - used, "]}");
  return text;
}

static void
entry_start (size_t index)
{
  ca_gateway_t *gateway = &world.gateways[index];
  ca_gateway_ports_t ports = { .context = (void *)(uintptr_t)index,
                               .attempt = on_attempt,
                               .cancel = on_cancel,
                               .check_endpoint = cluster_check_endpoint,
                               .deliver = on_exchange,
                               .begin = on_exchange,
                               .finish = on_exchange,
                               .abort_stream = on_exchange,
                               .refuse = on_refuse,
                               .send_peer = on_send,
                               .log = on_log };
  ca_gateway_options_t options;
  char id[24];
  char zone[24];

  snprintf (zone, sizeof zone, "z%zu", index % ZONES);
  cluster_options (&options, index, zone);
  options.seed = (uint32_t)index + 1;
  options.bounds = (ca_bounds_t){ .propagation_ms = 3000,
                                  .retry_ratio = 0.2,
                                  .retry_allowance = 204,
                                  .retry_window_ms = 10000,
                                  .quota_window_ms = 8000,
                                  .usage_window_s = 5,
                                  .usage_delay_s = 10,
                                  .lease_ms = 3000,
                                  .grace_ms = 8000 };
  ca_gateway_init (gateway, &options, &ports, world.now_us,
                   WALL_US + world.now_us + index);
  cluster_add_peers (gateway, world.scenario->entries);
  cluster_configure (gateway, world.now_us, config_text ());
  ca_gateway_list_begin (gateway, world.now_us);
  for (size_t i = 0; i < world.endpoints; i++)
    {
      ca_endpoint_record_t record
          = { .id = id, .service = "e", .zone = zone, .slots = SLOTS };

      snprintf (id, sizeof id, "e%zu", i);
      snprintf (zone, sizeof zone, "z%zu", i % ZONES);
      ca_gateway_endpoint_listed (gateway, world.now_us, &record);
    }
  ca_gateway_list_end (gateway, world.now_us);
}

static void
send_request (size_t kind, size_t workspace)
{
  char id[32];
  char path[8];
  char key[8];
  ca_request_facts_t facts
      = { .id = id, .host = "h", .path = path, .key = key };
  size_t entry = (size_t)(uniform () * (double)world.scenario->entries);
  run_t run = { .kind = kind,
                .bin = world.now_us / BIN_US,
                .first_workspace = workspace == 0 };

  snprintf (id, sizeof id, "r%llu", (unsigned long long)++world.numbers);
  snprintf (path, sizeof path, "/%zu/x", kind);
  snprintf (key, sizeof key, "k%zu", workspace);
  facts.fingerprint = world.numbers;
  facts.prompt.tokens = kinds[kind].prompt_tokens;
  facts.prompt.output_tokens = kinds[kind].events;
  if (world.scenario->some_not_new && world.numbers % 8 == 0)
    facts.delegated = true;
  if (world.scenario->some_not_new && world.numbers % 8 == 4)
    facts.resumes = "former";
  count_of (&run)->asked++;
  if (entry == 0)
    world.first_entry[kind].asked++;
  ca_gateway_request (&world.gateways[entry], world.now_us, &facts);
}

static void
run_begin (run_t *run)
{
  ca_answer_facts_t facts
      = { .status = 200, .is_signed = true, .is_stream = true };

  run->streams = true;
  run->next_us = world.now_us + kinds[run->kind].events * EVENT_US;
  if (world.now_us - run->exchange->accepted_us
      <= kinds[run->kind].target_ms * CA_US_PER_MS)
    count_of (run)->in_time++;
  ca_exchange_head (&world.gateways[run->entry], world.now_us, run->exchange,
                    &facts);
  ca_exchange_event (&world.gateways[run->entry], world.now_us, run->exchange,
                     true, 1);
}

/* The endpoint has no slot for the request. */
static void
run_reject (run_t *run)
{
  ca_answer_facts_t facts
      = { .status = 503, .is_signed = true, .not_run = true };
  ca_gateway_t *gateway = &world.gateways[run->entry];
  ca_exchange_t *exchange = run->exchange;

  run_free (run);
  ca_exchange_head (gateway, world.now_us, exchange, &facts);
  ca_exchange_end (gateway, world.now_us, exchange, CA_END_COMPLETE);
}

static void
run_end (run_t *run)
{
  ca_gateway_t *gateway = &world.gateways[run->entry];
  ca_exchange_t *exchange = run->exchange;

  count_of (run)->served++;
  if (run->entry == 0)
    world.first_entry[run->kind].served++;
  run_free (run);
  ca_exchange_end (gateway, world.now_us, exchange, CA_END_COMPLETE);
}

static void
step_runs (void)
{
  run_t *run = TAILQ_FIRST (&world.runs);

  while (run != NULL)
    {
      run_t *next = TAILQ_NEXT (run, entries);

      if (run->next_us <= world.now_us && run->rejected)
        run_reject (run);
      else if (run->next_us <= world.now_us && !run->streams)
        run_begin (run);
      else if (run->next_us <= world.now_us)
        run_end (run);
      run = next;
    }
}

static void
step_messages (void)
{
  message_t *message = TAILQ_FIRST (&world.messages);

  while (message != NULL)
    {
      message_t *next = TAILQ_NEXT (message, entries);
      Camphor__Envelope *envelope;

      if (message->due_us <= world.now_us)
        {
          envelope = camphor__envelope__unpack (NULL, message->bytes,
                                                message->packed);
          TAILQ_REMOVE (&world.messages, message, entries);
          ca_gateway_envelope (&world.gateways[message->to], world.now_us,
                               envelope);
          camphor__envelope__free_unpacked (envelope, NULL);
          free (message->packed);
          free (message);
        }
      message = next;
    }
}

/* Measures for how long at a time the entries are at different levels. */
static void
observe_levels (void)
{
  bool differ = false;

  for (size_t i = 1; i < world.scenario->entries; i++)
    differ = differ || world.levels[i] != world.levels[0];
  if (!differ)
    world.disagree_since_us = 0;
  else if (world.disagree_since_us == 0)
    world.disagree_since_us = world.now_us;
  else if (world.now_us - world.disagree_since_us > world.disagree_max_us)
    world.disagree_max_us = world.now_us - world.disagree_since_us;
}

/* The ticks of the entries are spread over their period. */
static void
step_entries (void)
{
  for (size_t i = 0; i < world.scenario->entries; i++)
    {
      if ((world.now_us + i * STEP_US) % CA_GATEWAY_TICK_US == 0)
        ca_gateway_tick (&world.gateways[i], world.now_us,
                         WALL_US + world.now_us);
    }
  observe_levels ();
}

static bool
is_loaded (void)
{
  return world.now_us >= LOAD_FROM_US
         && world.now_us < LOAD_FROM_US + world.scenario->load_us;
}

/* Sends what is due of one kind and workspace. */
static void
step_requests (double due[KINDS][WORKSPACES])
{
  const scenario_t *scenario = world.scenario;
  double factor = is_loaded () || scenario->flood_only
                      ? 1
                      : CALM_LOAD / scenario->overload;

  for (size_t kind = 0; kind < KINDS; kind++)
    {
      for (size_t i = 0; i < WORKSPACES; i++)
        {
          double flood = i == 0 && scenario->flood[kind] > 0 && is_loaded ()
                             ? scenario->flood[kind]
                             : 1;

          due[kind][i] += kinds[kind].per_s / WORKSPACES * factor * flood
                          * STEP_US / CA_US_PER_S;
          for (; due[kind][i] >= 1; due[kind][i]--)
            send_request (kind, i);
        }
    }
}

static void
world_start (const scenario_t *scenario)
{
  double work_per_s = 0;

  memset (&world, 0, sizeof world);
  world.scenario = scenario;
  world.seed = scenario->seed == 0 ? 7 : scenario->seed;
  world.now_us = STEP_US;
  world.shortest_step_us = UINT64_MAX;
  TAILQ_INIT (&world.runs);
  TAILQ_INIT (&world.messages);
  for (size_t kind = 0; kind < KINDS; kind++)
    work_per_s += kinds[kind].per_s * kinds[kind].prompt_tokens;
  world.endpoints
      = (size_t)(work_per_s / (TOKENS_PER_MS * 1000) / scenario->overload
                 + 0.5);
  assert_true (world.endpoints <= ENDPOINTS_MAX);
  for (size_t i = 0; i < scenario->entries; i++)
    entry_start (i);
}

static void
world_finish (void)
{
  message_t *message;
  run_t *run;

  for (size_t i = 0; i < world.scenario->entries; i++)
    ca_gateway_finish (&world.gateways[i]);
  while ((run = TAILQ_FIRST (&world.runs)) != NULL)
    run_free (run);
  while ((message = TAILQ_FIRST (&world.messages)) != NULL)
    {
      TAILQ_REMOVE (&world.messages, message, entries);
      free (message->packed);
      free (message);
    }
}

void
world_run (const scenario_t *scenario)
{
  uint64_t end_us = LOAD_FROM_US + scenario->load_us + 6 * CA_US_PER_S;
  double due[KINDS][WORKSPACES];

  world_start (scenario);
  for (size_t i = 0; i < KINDS * WORKSPACES; i++)
    due[i / WORKSPACES][i % WORKSPACES] = uniform ();
  for (; world.now_us < end_us; world.now_us += STEP_US)
    {
      step_messages ();
      step_runs ();
      step_entries ();
      /* The last requests are to be answered before the end. */
      if (world.now_us >= 1 * CA_US_PER_S
          && world.now_us + 2 * CA_US_PER_S < end_us)
        step_requests (due);
    }
  world_finish ();
}

count_t
world_sum (uint64_t from_us, uint64_t to_us, size_t kind, int workspace)
{
  count_t sum = { 0, 0, 0 };

  for (size_t bin = from_us / BIN_US; bin < to_us / BIN_US; bin++)
    {
      for (int i = 0; i < 2; i++)
        {
          const count_t *count = &world.bins[bin][kind][i];

          if (workspace >= 0 && workspace != i)
            continue;
          sum.asked += count->asked;
          sum.served += count->served;
          sum.in_time += count->in_time;
        }
    }
  return sum;
}

double
world_share (count_t count)
{
  return count.asked > 0 ? count.served / count.asked : 1;
}

double
world_worst_order (void)
{
  double worst = -1;
  uint64_t end_us = LOAD_FROM_US + world.scenario->load_us + 3 * CA_US_PER_S;

  for (uint64_t from_us = LOAD_FROM_US - WINDOW_US;
       from_us + WINDOW_US <= end_us; from_us += BIN_US)
    {
      for (size_t i = 0; i < KINDS; i++)
        {
          for (size_t j = i + 1; j < KINDS; j++)
            {
              double above
                  = world_share (
                        world_sum (from_us, from_us + WINDOW_US, j, -1))
                    - world_share (
                        world_sum (from_us, from_us + WINDOW_US, i, -1));

              if (above > worst)
                worst = above;
            }
        }
    }
  return worst;
}

void
world_print (const char *name)
{
  const scenario_t *scenario = world.scenario;
  uint64_t end_us = LOAD_FROM_US + scenario->load_us;

  print_message ("%s: %zu entries, %zu endpoints, overload %.2f:", name,
                 scenario->entries, world.endpoints, scenario->overload);
  for (size_t kind = 0; kind < KINDS; kind++)
    {
      count_t sum = world_sum (LOAD_FROM_US, end_us, kind, -1);

      print_message (" %zu: served %.2f, in time %.2f, others served %.2f, "
                     "first workspace %.2f;",
                     kind, world_share (sum), sum.in_time / sum.asked,
                     world_share (world_sum (LOAD_FROM_US, end_us, kind, 1)),
                     world_share (world_sum (LOAD_FROM_US, end_us, kind, 0)));
    }
  print_message (
      " worst order %.3f, level up to %u, back %.2f s after the load, steps "
      "at least %.0f ms apart, levels differ for up to %.2f s, %llu shed, %llu "
      "overloaded, %llu without endpoint\n",
      world_worst_order (), world.level_max,
      world.returned_us == 0
          ? 0
          : ((double)world.returned_us - (double)end_us) / CA_US_PER_S,
      world.shortest_step_us == UINT64_MAX
          ? 0
          : (double)world.shortest_step_us / CA_US_PER_MS,
      (double)world.disagree_max_us / CA_US_PER_S,
      (unsigned long long)world.refusals[CA_REFUSE_SHED],
      (unsigned long long)world.refusals[CA_REFUSE_OVERLOADED],
      (unsigned long long)world.refusals[CA_REFUSE_NO_ENDPOINT]);
}
