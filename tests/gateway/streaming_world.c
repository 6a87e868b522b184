/* Endpoints and callers of the fleet. */
#include "streaming_world.h"

streaming_world_t world;

const char world_config[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"e\",\"host\":\"h\",\"prefix\":\"/e/\","
      "\"route_kind\":\"streaming\",\"timeout_ms\":8000,"
      "\"target_latency_ms\":1000,\"service\":\"e\",\"max_attempts\":2,"
      "\"public\":true,\"sticky_sessions\":true,\"stream_resumption\":true},"
      "{\"name\":\"p\",\"host\":\"h\",\"prefix\":\"/p/\","
      "\"route_kind\":\"idempotent\",\"timeout_ms\":1000,"
      "\"target_latency_ms\":150,\"service\":\"s\",\"max_attempts\":2,"
      "\"public\":true},"
      "{\"name\":\"o\",\"host\":\"h\",\"prefix\":\"/o/\","
      "\"route_kind\":\"non_idempotent\",\"timeout_ms\":1000,"
      "\"target_latency_ms\":150,\"service\":\"s\",\"max_attempts\":1,"
      "\"public\":true}],"
      "\"services\":[{\"name\":\"e\",\"inference_engine\":"
      "{\"slots\":64,\"kv_cache_tokens\":3000000}},{\"name\":\"s\"}],"
      "\"tenants\":[]}";

double
uniform (void)
{
  world.seed = world.seed * UINT64_C (6364136223846793005)
               + UINT64_C (1442695040888963407);
  return (double)(world.seed >> 11) / (double)(UINT64_C (1) << 53);
}

size_t
random_below (size_t count)
{
  return (size_t)(uniform () * (double)count);
}

bool
is_in_touch (size_t entry)
{
  const entry_t *state = &world.entries[entry];

  return state->up && !state->cut && !state->stopping
         && world.now_us - state->touched_us >= CONTACT_US;
}

/* True while some entries are cut off from all endpoints. */
bool
cut_lasts (void)
{
  uint64_t start_us = START_US + STREAMING_FLEET_CUT_START_US;

  return world.fleet->cut_how != STREAMING_FLEET_CONNECTED
         && world.now_us >= start_us
         && world.now_us < start_us + STREAMING_FLEET_CUT_US;
}

/* How the entry is cut off from the endpoints.  Whole zones come first. */
streaming_fleet_cut_t
cut_of (size_t entry)
{
  size_t zone_entries = (world.fleet->entries + ZONES - 1) / ZONES;
  size_t rank = entry % ZONES * zone_entries + entry / ZONES;

  return cut_lasts () && rank < world.fleet->cut_entries
             ? world.fleet->cut_how
             : STREAMING_FLEET_CONNECTED;
}

/* True while endpoints say that they are brittle, and, with `for_us`, have for
 * so long. */
bool
is_brittle (uint64_t for_us)
{
  uint64_t start_us = START_US
                      + (world.fleet->brittle_start_us > 0
                             ? world.fleet->brittle_start_us
                             : STREAMING_FLEET_BRITTLE_START_US);

  return world.fleet->brittle_limit > 0 && world.now_us >= start_us + for_us
         && world.now_us < start_us + STREAMING_FLEET_BRITTLE_US;
}

service_t
service_of (size_t endpoint)
{
  return world.fleet->plain_share > 0 && endpoint % 4 == 3 ? SERVICE_PLAIN
                                                           : SERVICE_ENGINE;
}

/* Slots that an endpoint lists. */
static uint32_t
slots_of (size_t endpoint)
{
  if (service_of (endpoint) == SERVICE_PLAIN)
    return PLAIN_SLOTS;
  return world.fleet->engine_slots > 0 ? world.fleet->engine_slots : 64;
}

/* Requests that it serves at once. */
uint32_t
room_of (size_t endpoint)
{
  return service_of (endpoint) == SERVICE_ENGINE && world.fleet->engine_room > 0
             ? world.fleet->engine_room
             : slots_of (endpoint);
}

service_t
service_of_request (const request_t *request)
{
  return request->kind == KIND_STREAM ? SERVICE_ENGINE : SERVICE_PLAIN;
}

static size_t
serving (uint32_t version)
{
  size_t count = 0;

  for (size_t i = 0; i < world.fleet->endpoints; i++)
    {
      if (world.endpoints[i].up && world.endpoints[i].version == version
          && world.endpoints[i].next_version == version)
        count++;
    }
  return count;
}

/* Endpoints. */

static void
endpoint_id (size_t index, uint32_t start, char *id, size_t bytes)
{
  snprintf (id, bytes, "e%zu.%u", index, world.fleet->same_ids ? 0 : start);
}

static void
append_change (size_t index, bool removed)
{
  change_t *change = &world.changes[world.change_count++];

  assert_true (world.change_count < CHANGES_MAX);
  change->at_us = world.now_us;
  change->endpoint = index;
  change->start = world.endpoints[index].start;
  change->version = world.endpoints[index].version;
  change->started_ms = world.endpoints[index].started_ms;
  change->removed = removed;
}

void
apply_change (size_t entry, const change_t *change)
{
  char id[16];
  char zone[16];
  char version[16];
  ca_endpoint_record_t record
      = { .id = id,
          .service = service_of (change->endpoint) == SERVICE_PLAIN ? "s" : "e",
          .zone = zone,
          .version = version,
          .address = { 2, (uint16_t)change->endpoint },
          .slots = slots_of (change->endpoint),
          .started_ms = change->started_ms };

  endpoint_id (change->endpoint, change->start, id, sizeof id);
  snprintf (zone, sizeof zone, "z%zu", change->endpoint % ZONES);
  snprintf (version, sizeof version, "v1.%u", change->version);
  if (change->removed)
    ca_gateway_endpoint_removed (&world.gateways[entry], world.now_us, id);
  else
    ca_gateway_endpoint_listed (&world.gateways[entry], world.now_us, &record);
}

/* Interrupts what runs at the endpoint's current process. */
void
endpoint_end (size_t index)
{
  endpoint_t *endpoint = &world.endpoints[index];
  run_t *run;

  endpoint->up = false;
  endpoint->back_us = world.now_us + ENDPOINT_DOWN_US;
  for (size_t i = 0; i < world.fleet->entries; i++)
    world.idle[i][index] = 0;
  append_change (index, true);
  /* An interrupted request may start another run. */
  for (;;)
    {
      TAILQ_FOREACH (run, &world.runs, entries)
      {
        if (run->proxy == NULL && run->endpoint == index
            && run->start == endpoint->start && !run->refused)
          break;
      }
      if (run == NULL)
        return;
      ca_exchange_t *exchange = run->exchange;
      ca_gateway_t *gateway = &world.gateways[run->entry];

      TAILQ_REMOVE (&world.runs, run, entries);
      free (run);
      ca_exchange_end (gateway, world.now_us, exchange, CA_END_INTERRUPTED);
    }
}

void
endpoint_start (size_t index, uint32_t version)
{
  endpoint_t *endpoint = &world.endpoints[index];

  endpoint->up = true;
  endpoint->running = 0;
  memset (endpoint->rejected_us, 0, sizeof endpoint->rejected_us);
  endpoint->start++;
  endpoint->version = endpoint->next_version = version;
  endpoint->started_ms = (WALL_US + world.now_us) / CA_US_PER_MS;
  append_change (index, false);
}

/* Callers. */

void
request_free (request_t *request)
{
  TAILQ_REMOVE (&world.requests, request, entries);
  free (request);
}

/* The caller has its whole answer. */
void
request_served (request_t *request)
{
  if (is_brittle (CONTACT_US))
    world.brittle_served[service_of_request (request)]++;
  if (request->first_try)
    world.first_served[request->cut_off]++;
}

/* The caller's connection ended without a complete stream. */
void
request_broken (request_t *request, uint64_t wait_us)
{
  request->counted = false;
  request->early = false;
  request->first_try = false;
  if (request->tries >= TRIES_MAX
      || world.now_us + wait_us >= request->deadline_us)
    request_free (request);
  else
    request->next_us = world.now_us + wait_us;
}

void
request_fill_facts (const request_t *request, ca_request_facts_t *facts)
{
  static const char *const paths[] = { "/e/x", "/p/x", "/o/x" };

  memset (facts, 0, sizeof *facts);
  facts->id = request->id;
  facts->host = "h";
  facts->path = paths[request->kind];
  facts->fingerprint = 1000 + request->number;
  facts->wait_ms
      = (uint32_t)((request->deadline_us - world.now_us) / CA_US_PER_MS);
  if (request->kind == KIND_STREAM)
    {
      facts->prompt.tokens = 200;
      facts->prompt.output_tokens = 80;
      ca_prompt_add (&facts->prompt, 1000 + request->number, 50);
    }
  if (request->last_event > 0)
    facts->resumes = request->origin;
}

/* Counts the try for the shares that are checked. */
static void
request_count_try (request_t *request)
{
  size_t entry = request->entry;

  request->runs = 0;
  request->first_try
      = request->tries == 1 && cut_lasts ()
        && world.now_us >= START_US + STREAMING_FLEET_CUT_START_US + CONTACT_US;
  request->cut_off = cut_of (entry) != STREAMING_FLEET_CONNECTED;
  if (request->first_try)
    world.first_tries[request->cut_off]++;
  if (is_in_touch (entry) && request->last_event == 0 && request->tries == 1)
    {
      request->counted = true;
      world.new_sent++;
    }
  else if (is_in_touch (entry) && request->last_event > 0
           && serving (request->first_version) >= 2)
    {
      request->counted = true;
      world.taken_up++;
    }
  else if (request->last_event > 0 && !world.entries[entry].cut
           && serving (request->first_version) >= 2)
    {
      request->early = true;
      world.early_taken_up++;
    }
}

static bool
any_entry_serves (void)
{
  for (size_t i = 0; i < world.fleet->entries; i++)
    {
      if (world.entries[i].up && !world.entries[i].stopping)
        return true;
    }
  return false;
}

static void
request_send (request_t *request)
{
  ca_request_facts_t facts;
  size_t entry;

  if (!any_entry_serves ())
    {
      request_broken (request, RETRY_US);
      return;
    }
  do
    entry = random_below (world.fleet->entries);
  while (!world.entries[entry].up || world.entries[entry].stopping);
  request->entry = entry;
  request->next_us = 0;
  snprintf (request->id, sizeof request->id, "r%llu.%u",
            (unsigned long long)request->number, request->tries++);
  request_fill_facts (request, &facts);
  facts.adapter_data = request;
  request_count_try (request);
  ca_gateway_request (&world.gateways[entry], world.now_us, &facts);
}

void
step_requests (void)
{
  double expected = world.fleet->streams_per_s * STEP_US / CA_US_PER_S;
  request_t *request = TAILQ_FIRST (&world.requests);

  while (request != NULL)
    {
      request_t *next = TAILQ_NEXT (request, entries);

      if (request->next_us != 0 && request->next_us <= world.now_us)
        request_send (request);
      request = next;
    }
  for (; expected > 0; expected--)
    {
      if (uniform () >= expected)
        continue;
      request = calloc (1, sizeof *request);
      request->number = world.numbers++;
      if (uniform () < world.fleet->plain_share)
        request->kind = uniform () < 0.5 ? KIND_PLAIN : KIND_ONCE;
      request->deadline_us
          = world.now_us
            + (request->kind == KIND_STREAM ? DEADLINE_US : PLAIN_DEADLINE_US);
      TAILQ_INSERT_TAIL (&world.requests, request, entries);
      request_send (request);
    }
}
