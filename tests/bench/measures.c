/* Benchmarks in the simulated world.  Counts and times are those of the
 * simulation; processor time and memory are measured on the host. */
#include "bench.h"

#include "core/private.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MEASURE_SEED 7

/* Returns the bytes that are allocated from the heap. */
static double
measure_heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks + (double)info.hblkhd;
}

/* Times the lookup of a shard's owner, which runs for each slot request and
 * once a second for each endpoint of the zone. */
static void
measure_owner_lookup (const ca_core_t *core, const char *variant)
{
  const uint32_t lookups = 2000;
  clock_t start = clock ();

  for (uint32_t i = 0; i < lookups; i++)
    ca_member_owner (core, core->options.zone, "chat", i, 1);
  bench_row ("owner lookup of two ranks", variant, "us",
             (double)(clock () - start) * 1e6 / CLOCKS_PER_SEC / lookups, 0);
}

/* Measures the cost of membership per daemon.  The first call stores its bytes
 * per second as the baseline of the following ones. */
static void
measure_membership (int entries, double *baseline_bytes_per_s)
{
  const uint64_t seconds = 30;
  int zones = entries >= 76 ? 10 : 2;
  bench_fleet_t fleet
      = { zones, entries / zones, 0, MEASURE_SEED, NULL, NULL, NULL };
  double heap = measure_heap_bytes ();
  world_t *world = bench_fleet_new (&fleet);
  uint64_t messages = 0;
  uint64_t bytes = 0;
  uint64_t core_cpu_ns = 0;
  char variant[32];
  double daemons = (double)world->entry_count;
  double bytes_per_s;

  world_run_until (world, world->now_us + 20 * CA_US_PER_S);
  world->measures_cpu = true;
  for (int i = 0; i < world->entry_count; i++)
    {
      world->entries[i].sent_messages = 0;
      world->entries[i].sent_bytes = 0;
      world->entries[i].core_cpu_ns = 0;
    }
  world_run_until (world, world->now_us + seconds * CA_US_PER_S);
  heap = measure_heap_bytes () - heap;
  for (int i = 0; i < world->entry_count; i++)
    {
      messages += world->entries[i].sent_messages;
      bytes += world->entries[i].sent_bytes;
      core_cpu_ns += world->entries[i].core_cpu_ns;
    }
  bytes_per_s = (double)bytes / daemons / (double)seconds;
  if (*baseline_bytes_per_s == 0)
    *baseline_bytes_per_s = bytes_per_s;
  snprintf (variant, sizeof variant, "%d daemons", world->entry_count);
  bench_row ("membership messages", variant, "/s/daemon",
             (double)messages / daemons / (double)seconds, 0);
  bench_row ("membership bytes", variant, "B/s/daemon", bytes_per_s,
             *baseline_bytes_per_s);
  bench_row ("membership processor", variant, "% of a core",
             (double)core_cpu_ns / daemons / (double)seconds / 1e7, 0);
  bench_row ("membership memory", variant, "KB/daemon", heap / daemons / 1024,
             0);
  measure_owner_lookup (&world->entries[0].core, variant);
  bench_fleet_free (world);
}

void
bench_membership (void)
{
  double baseline_bytes_per_s = 0;

  measure_membership (8, &baseline_bytes_per_s);
  measure_membership (76, &baseline_bytes_per_s);
  measure_membership (760, &baseline_bytes_per_s);
}

/* Measures the cost of probing the endpoints of one zone. */
static void
measure_probing (int endpoints)
{
  const uint64_t seconds = 20;
  char *intent = bench_intent (0);
  bench_fleet_t fleet = { 1, 8, endpoints, MEASURE_SEED, intent, NULL, NULL };
  world_t *world = bench_fleet_new (&fleet);
  uint64_t core_cpu_ns = 0;
  double probes = 0;
  char variant[32];

  world->measures_cpu = true;
  for (int i = 0; i < world->entry_count; i++)
    {
      world->entries[i].core_cpu_ns = 0;
      world->entries[i].core.counters.counts[CA_COUNT_PROBES] = 0;
    }
  world_run_until (world, world->now_us + seconds * CA_US_PER_S);
  for (int i = 0; i < world->entry_count; i++)
    {
      core_cpu_ns += world->entries[i].core_cpu_ns;
      probes += (double)world->entries[i].core.counters.counts[CA_COUNT_PROBES];
    }
  snprintf (variant, sizeof variant, "8 daemons %d endpoints", endpoints);
  bench_row ("probes", variant, "/s/daemon", probes / 8 / (double)seconds, 0);
  bench_row ("probing processor", variant, "% of a core",
             (double)core_cpu_ns / 8 / (double)seconds / 1e7, 0);
  bench_fleet_free (world);
  free (intent);
}

void
bench_probing (void)
{
  measure_probing (8);
  measure_probing (64);
  measure_probing (250);
}

/* Runs the world until the condition holds, for 120 s at most, and returns the
 * time that it took. */
static uint64_t
measure_wait_us (world_t *world,
                 bool (*condition) (const world_t *world, int which), int which)
{
  uint64_t start_us = world->now_us;

  while (!condition (world, which)
         && world->now_us - start_us < 120 * CA_US_PER_S)
    world_run_until (world, world->now_us + 50 * CA_US_PER_MS);
  return world->now_us - start_us;
}

/* Whether no live entry has entry `which` in a state earlier than `state`. */
static bool
propagation_state_seen (const world_t *world, int which,
                        ca_member_state_t state)
{
  uint64_t id = ca_address_id (&world->entries[which].options.peers);

  for (int i = 0; i < world->entry_count; i++)
    {
      const ca_member_t *member;

      if (i == which || !world->entries[i].alive)
        continue;
      member = ca_member_find (&world->entries[i].core, id);
      if (member != NULL && member->state < state)
        return false;
    }
  return true;
}

/* Whether every entry has all others in its membership table, so that the load
 * of all entries joining at once is over. */
static bool
propagation_all_joined (const world_t *world, int which)
{
  (void)which;
  for (int i = 0; i < world->entry_count; i++)
    {
      if (HASH_COUNT (world->entries[i].core.members)
          < (unsigned)world->entry_count)
        return false;
    }
  return true;
}

static bool
propagation_death_seen (const world_t *world, int which)
{
  return propagation_state_seen (world, which, CA_MEMBER_DEAD);
}

static bool
propagation_leave_seen (const world_t *world, int which)
{
  return propagation_state_seen (world, which, CA_MEMBER_LEAVING);
}

static bool
propagation_revision_seen (const world_t *world, int revision)
{
  for (int i = 0; i < world->entry_count; i++)
    {
      if (world->entries[i].alive
          && world->entries[i].core.config.revision < (uint64_t)revision)
        return false;
    }
  return true;
}

/* Measures how long a new revision, a planned leave and a crash take to reach
 * every entry. */
static void
measure_propagation (int entries, int zones)
{
  char *intent = bench_intent (0);
  char *changed = bench_intent (1400);
  bench_fleet_t fleet
      = { zones, entries / zones, 0, MEASURE_SEED, intent, NULL, NULL };
  world_t *world = bench_fleet_new (&fleet);
  char variant[32];

  snprintf (variant, sizeof variant, "%d daemons", world->entry_count);
  measure_wait_us (world, propagation_all_joined, 0);
  world_configure (world, 1, changed);
  bench_row (
      "revision in force everywhere", variant, "s",
      (double)measure_wait_us (world, propagation_revision_seen, 2) / 1e6, 0);
  ca_core_stop (&world->entries[3].core, world->now_us);
  bench_row ("planned leave known everywhere", variant, "s",
             (double)measure_wait_us (world, propagation_leave_seen, 3) / 1e6,
             0);
  world_kill (world, 4);
  bench_row ("death known everywhere", variant, "s",
             (double)measure_wait_us (world, propagation_death_seen, 4) / 1e6,
             0);
  bench_fleet_free (world);
  free (intent);
  free (changed);
}

void
bench_propagation (void)
{
  measure_propagation (8, 2);
  measure_propagation (76, 10);
  measure_propagation (760, 10);
}

/* A generator of random requests. */
typedef struct
{
  world_t *world;
  uint64_t period_us; /* mean time between requests */
  uint64_t until_us;
  uint64_t sent;
  uint32_t prefixes;      /* number of long shared prefixes; 0: short prompts */
  const char *class_name; /* NULL: one in four is "long", the rest "quick" */
  uint32_t flood_percent; /* of requests that come from w1; 0: equal shares */
} load_t;

static void
load_make_prompt (load_t *load, char *prompt, size_t size)
{
  uint64_t prefix_index
      = load->prefixes == 0 ? 0
                            : world_random_below (load->world, load->prefixes);
  size_t used = 0;

  while (load->prefixes > 0 && used + 32 < size / 2)
    used += (size_t)snprintf (prompt + used, size - used, "head %llu part %zu ",
                              (unsigned long long)prefix_index, used);
  snprintf (prompt + used, size - used, "ask %llu",
            (unsigned long long)load->sent);
}

static const char *
load_pick_workspace (load_t *load)
{
  static const char *const names[] = { "w1", "w2", "w3" };

  if (load->flood_percent > 0)
    return world_random_below (load->world, 100) < load->flood_percent
               ? "w1"
               : names[1 + world_random_below (load->world, 2)];
  return names[world_random_below (load->world, 3)];
}

static void
load_send_request (load_t *load)
{
  world_t *world = load->world;
  int entry = (int)world_random_below (world, (uint64_t)world->entry_count);
  const char *class_name = load->class_name;
  char name[WORLD_NAME_BYTES];
  char prompt[8192];

  if (!world->entries[entry].alive)
    return;
  if (class_name == NULL)
    class_name = world_random_below (world, 4) == 0 ? "long" : "quick";
  load->sent++;
  snprintf (name, sizeof name, "r%llu", (unsigned long long)load->sent);
  load_make_prompt (load, prompt, sizeof prompt);
  world_request (world, name, entry, load_pick_workspace (load), class_name,
                 NULL, prompt, strcmp (class_name, "quick") == 0 ? 20 : 250,
                 true);
}

static void
load_send_next (world_t *world, world_event_t *event)
{
  load_t *load = event->data;
  double gap;

  if (world->now_us >= load->until_us)
    return;
  load_send_request (load);
  gap = 2.0 * world_random (world) * (double)load->period_us;
  world_schedule (world, (uint64_t)gap, load_send_next, -1)->data = load;
}

/* Sends requests for `seconds` and lets the last ones finish for 40 s. */
static void
load_run (load_t *load, uint64_t seconds)
{
  load->until_us = load->world->now_us + seconds * CA_US_PER_S;
  world_schedule (load->world, 0, load_send_next, -1)->data = load;
  world_run_until (load->world, load->until_us + 40 * CA_US_PER_S);
}

/* Selects a random endpoint among those with a free slot. */
static double
score_random (void *context, uint64_t endpoint, double load_share,
              uint64_t missing_tokens)
{
  (void)endpoint;
  (void)load_share;
  (void)missing_tokens;
  return erand48 (context);
}

static double
score_least_loaded (void *context, uint64_t endpoint, double load_share,
                    uint64_t missing_tokens)
{
  (void)context;
  (void)endpoint;
  (void)missing_tokens;
  return load_share;
}

typedef struct
{
  double computed_tokens;
  double p50_ms;
  double p95_ms;
  double p99_ms;
} routing_result_t;

/* Measures prompt tokens computed and times to first token for one way of
 * scoring endpoints; NULL selects the core's own. */
static routing_result_t
measure_routing (ca_score_t score, void *context)
{
  char *intent = bench_intent (0);
  bench_fleet_t fleet = { 3, 2, 4, MEASURE_SEED, intent, score, context };
  world_t *world = bench_fleet_new (&fleet);
  load_t load = { world, 4000, 0, 0, 60, "quick", 0 };
  routing_result_t result = { 0, 0, 0, 0 };

  for (int i = 0; i < world->endpoint_count; i++)
    {
      world->endpoints[i].prefill_us = 60;
      ca_prefix_index_resize (&world->endpoints[i].cache, 160);
    }
  load_run (&load, 40);
  for (int i = 0; i < world->endpoint_count; i++)
    result.computed_tokens += (double)world->endpoints[i].computed;
  result.computed_tokens /= (double)load.sent;
  result.p50_ms = bench_first_token_ms (world, NULL, 50);
  result.p95_ms = bench_first_token_ms (world, NULL, 95);
  result.p99_ms = bench_first_token_ms (world, NULL, 99);
  bench_fleet_free (world);
  free (intent);
  return result;
}

static void
routing_rows (const char *variant, const routing_result_t *result,
              const routing_result_t *baseline)
{
  bench_row ("prompt tokens computed", variant, "/request",
             result->computed_tokens, baseline->computed_tokens);
  bench_row ("first token p50", variant, "ms", result->p50_ms,
             baseline->p50_ms);
  bench_row ("first token p95", variant, "ms", result->p95_ms,
             baseline->p95_ms);
  bench_row ("first token p99", variant, "ms", result->p99_ms,
             baseline->p99_ms);
}

void
bench_routing (void)
{
  unsigned short rng[3] = { MEASURE_SEED, 0, 0 };
  routing_result_t result = measure_routing (NULL, NULL);
  routing_result_t random_choice = measure_routing (score_random, rng);
  routing_result_t least_loaded = measure_routing (score_least_loaded, NULL);

  routing_rows ("against a random free one", &result, &random_choice);
  routing_rows ("against least loaded", &result, &least_loaded);
}

/* Returns the weight of complete answers whose first token came in time, as a
 * share of `capacity_weight`, the weight that the fleet could have answered. */
static double
overload_goodput (const world_t *world, double capacity_weight)
{
  const world_request_t *request;
  double weight = 0;

  for (request = world->requests; request != NULL;
       request = (const world_request_t *)request->hh.next)
    {
      uint64_t limit_us = strcmp (request->class_name, "quick") == 0
                              ? 1500 * CA_US_PER_MS
                              : 30 * CA_US_PER_S;

      if (request->status == WORLD_ANSWERED
          && request->first_us - request->at_us <= limit_us)
        weight += strcmp (request->class_name, "quick") == 0 ? 3 : 5;
    }
  return weight / capacity_weight;
}

#define OVERLOAD_DURATION_S 40

/* 9 engines of 8 slots; a quick request is counted as 110 ms, 100 ms of which
 * generate its 20 tokens. */
#define QUICK_CAPACITY_PER_S (9.0 * 8 / 0.110)

/* Measures goodput at `factor` times the capacity. */
static double
measure_overload (double factor, const char *intent)
{
  bench_fleet_t fleet = { 3, 2, 3, MEASURE_SEED, intent, NULL, NULL };
  world_t *world = bench_fleet_new (&fleet);
  load_t load = { world, 0, 0, 0, 0, "quick", 0 };
  double offered;
  double value;

  load.period_us
      = (uint64_t)((double)CA_US_PER_S / (QUICK_CAPACITY_PER_S * factor));
  load_run (&load, OVERLOAD_DURATION_S);
  offered = factor > 1 ? 1 : factor;
  value = overload_goodput (world, offered * QUICK_CAPACITY_PER_S
                                       * OVERLOAD_DURATION_S * 3);
  bench_fleet_free (world);
  return value;
}

void
bench_overload (void)
{
  static const double factors[] = { 0.5, 0.9, 1.2, 2, 4 };
  char *intent = bench_intent (0);
  char *relaxed_intent = bench_intent (20000);

  for (size_t i = 0; i < sizeof factors / sizeof factors[0]; i++)
    {
      char variant[32];

      snprintf (variant, sizeof variant, "%.1f times capacity", factors[i]);
      bench_row ("goodput of the possible", variant, "share",
                 measure_overload (factors[i], intent),
                 measure_overload (factors[i], relaxed_intent));
    }
  free (intent);
  free (relaxed_intent);
}

/* Returns the tokens of the workspace's requests answered in [from, until). */
static double
fairness_answered_tokens (const world_t *world, const char *workspace,
                          uint64_t from_us, uint64_t until_us)
{
  const world_request_t *request;
  double tokens = 0;

  for (request = world->requests; request != NULL;
       request = (const world_request_t *)request->hh.next)
    {
      if (request->status == WORLD_ANSWERED && request->end_us >= from_us
          && request->end_us < until_us
          && strcmp (request->workspace, workspace) == 0)
        tokens += request->max_tokens;
    }
  return tokens;
}

/* Overloads one zone mostly from workspace w1.  Returns w1's share of the
 * answered tokens and the 99th percentile of the time to first token. */
static void
measure_fairness (const char *intent, double *w1_share, double *p99_ms)
{
  bench_fleet_t fleet = { 1, 3, 3, MEASURE_SEED, intent, NULL, NULL };
  world_t *world = bench_fleet_new (&fleet);
  load_t load = { world, 0, 0, 0, 0, "quick", 80 };
  uint64_t start_us = world->now_us;
  double sums[3];
  double total = 0;
  static const char *const names[] = { "w1", "w2", "w3" };

  /* The zone has a third of the capacity and is offered four times that;
   * four fifths come from w1. */
  load.period_us
      = (uint64_t)((double)CA_US_PER_S / (QUICK_CAPACITY_PER_S / 3 * 4));
  load_run (&load, OVERLOAD_DURATION_S);
  for (int i = 0; i < 3; i++)
    {
      sums[i] = fairness_answered_tokens (
          world, names[i], start_us + 5 * CA_US_PER_S,
          start_us + OVERLOAD_DURATION_S * CA_US_PER_S);
      total += sums[i];
    }
  *w1_share = sums[0] / total;
  *p99_ms = bench_first_token_ms (world, NULL, 99);
  bench_fleet_free (world);
}

void
bench_fairness (void)
{
  char *intent = bench_intent (0);
  char *relaxed_intent = bench_intent (20000);
  double share;
  double p99_ms;
  double relaxed_share;
  double relaxed_p99_ms;

  measure_fairness (intent, &share, &p99_ms);
  measure_fairness (relaxed_intent, &relaxed_share, &relaxed_p99_ms);
  bench_row ("flooding workspace's share", "its due is 0.5", "of tokens", share,
             0.8);
  bench_row ("flooding workspace's share", "patient callers (due 0.5)",
             "of tokens", relaxed_share, 0.8);
  bench_row ("p99 first token under flood", "targets against none", "ms",
             p99_ms, relaxed_p99_ms);
  free (intent);
  free (relaxed_intent);
}

/* Returns the runs started per request while engines crash and, if
 * `slow_store`, the store answers after 800 ms. */
static double
measure_retries (int crashed_endpoints, bool slow_store)
{
  char *intent = bench_intent (0);
  bench_fleet_t fleet = { 3, 2, 3, MEASURE_SEED, intent, NULL, NULL };
  world_t *world = bench_fleet_new (&fleet);
  load_t load = { world, 5000, 0, 0, 0, NULL, 0 };
  double runs_per_request = 0;

  load.until_us = world->now_us + 30 * CA_US_PER_S;
  world_schedule (world, 0, load_send_next, -1)->data = &load;
  world_run_until (world, world->now_us + 10 * CA_US_PER_S);
  if (slow_store)
    world->table.latency_us = 800 * CA_US_PER_MS;
  for (int i = 0; i < crashed_endpoints; i++)
    world_crash (world, i);
  world_run_until (world, load.until_us + 60 * CA_US_PER_S);
  for (int i = 0; i < world->endpoint_count; i++)
    runs_per_request += (double)world->endpoints[i].started;
  runs_per_request /= (double)load.sent;
  bench_fleet_free (world);
  free (intent);
  return runs_per_request;
}

void
bench_retries (void)
{
  double baseline = measure_retries (0, false);

  bench_row ("runs begun", "calm", "/request", baseline, 0);
  bench_row ("runs begun", "a zone's engines crash", "/request",
             measure_retries (3, false), baseline);
  bench_row ("runs begun", "and the store is slow", "/request",
             measure_retries (3, true), baseline);
}

typedef enum
{
  WAVE_MIGRATE,
  WAVE_RECOMPUTE, /* notice given, KV import fails */
  WAVE_NO_NOTICE  /* baseline: engines crash, nothing is migrated */
} wave_kind_t;

/* Counts requests that got at least one token and no complete answer. */
static double
wave_count_interrupted (const world_t *world)
{
  const world_request_t *request;
  double interrupted = 0;

  for (request = world->requests; request != NULL;
       request = (const world_request_t *)request->hh.next)
    interrupted
        += request->status != WORLD_ANSWERED && request->received_tokens > 0;
  return interrupted;
}

/* Reclaims three engines under load.  Returns the tokens recomputed, and sets
 * the share of requests answered and the number of streams interrupted. */
static double
measure_wave (wave_kind_t kind, double *answered, double *interrupted)
{
  char *intent = bench_intent (0);
  bench_fleet_t fleet = { 3, 2, 3, MEASURE_SEED, intent, NULL, NULL };
  world_t *world = bench_fleet_new (&fleet);
  load_t load = { world, 40000, 0, 0, 40, "long", 0 };
  double recomputed = 0;
  const world_request_t *request;

  world->kv_broken = kind == WAVE_RECOMPUTE;
  load.until_us = world->now_us + 12 * CA_US_PER_S;
  world_schedule (world, 0, load_send_next, -1)->data = &load;
  world_run_until (world, world->now_us + 8 * CA_US_PER_S);
  for (int i = 0; i < 3; i++)
    {
      if (kind == WAVE_NO_NOTICE)
        world_crash (world, i);
      else
        world_reclaim (world, i, CA_US_PER_S);
    }
  world_run_until (world, load.until_us + 120 * CA_US_PER_S);
  for (int i = 0; i < world->entry_count; i++)
    recomputed += (double)world->entries[i]
                      .core.counters.counts[CA_COUNT_RECOMPUTED_TOKENS];
  *answered = 0;
  for (request = world->requests; request != NULL;
       request = (const world_request_t *)request->hh.next)
    *answered += request->status == WORLD_ANSWERED;
  *answered /= (double)load.sent;
  *interrupted = wave_count_interrupted (world);
  bench_fleet_free (world);
  free (intent);
  return recomputed;
}

void
bench_waves (void)
{
  double answered[3];
  double interrupted[3];
  double none = measure_wave (WAVE_NO_NOTICE, &answered[0], &interrupted[0]);
  double migrated = measure_wave (WAVE_MIGRATE, &answered[1], &interrupted[1]);
  double recomputed
      = measure_wave (WAVE_RECOMPUTE, &answered[2], &interrupted[2]);

  bench_row ("recomputed tokens in a wave", "moved with KV", "tokens", migrated,
             none);
  bench_row ("recomputed tokens in a wave", "moved without KV", "tokens",
             recomputed, none);
  bench_row ("answered in a wave", "moved with KV", "share", answered[1],
             answered[0]);
  bench_row ("streams torn in a wave", "moved with KV", "requests",
             interrupted[1], interrupted[0]);
  bench_row ("streams torn in a wave", "moved without KV", "requests",
             interrupted[2], interrupted[0]);
}
