/* Entries of the fleet: their ports, starts and ends. */
#include "streaming_world.h"

/* Uses an open connection, or a new one, unless the entry is cut off. */
static void
run_connect (run_t *run)
{
  uint8_t *idle = &world.idle[run->entry][run->endpoint];
  streaming_fleet_cut_t cut = cut_of (run->entry);
  bool reused = *idle > 0;

  if (reused)
    (*idle)--;
  if (cut == STREAMING_FLEET_CONNECTED
      || (reused && cut == STREAMING_FLEET_NO_NEW))
    return;
  if (reused && cut == STREAMING_FLEET_HANGING)
    {
      run->hangs = true;
      run->next_us = UINT64_MAX;
      return;
    }
  run->refused = true;
  run->next_us
      = world.now_us
        + (cut == STREAMING_FLEET_HANGING ? CONNECT_TIMEOUT_US : CONNECT_US);
}

static request_t *
request_of (const ca_exchange_t *exchange)
{
  party_t *party = exchange->adapter_data;

  return party->is_proxy ? ((proxy_t *)party)->request : (request_t *)party;
}

/* The delegated request that the exchange serves; NULL if it is a caller's. */
proxy_t *
proxy_of (const ca_exchange_t *exchange)
{
  party_t *party = exchange->adapter_data;

  return party->is_proxy ? (proxy_t *)party : NULL;
}

static void
proxy_free (proxy_t *proxy)
{
  TAILQ_REMOVE (&world.proxies, proxy, entries);
  free (proxy);
}

/* The delegate has ended the exchange; the entry that waits learns of it in the
 * next step. */
void
proxy_end (proxy_t *proxy, ca_attempt_end_t end, uint32_t status)
{
  proxy->exchange = NULL;
  proxy->ended = true;
  proxy->end = end;
  proxy->answer.status = status;
}

/* The entry that waits gives up. */
static void
proxy_cancel (proxy_t *proxy)
{
  if (proxy->exchange != NULL)
    ca_exchange_caller_disconnected (&world.gateways[proxy->entry],
                                     world.now_us, proxy->exchange);
  proxy_free (proxy);
}

/* Frees a run; one that was delegated ends at the delegate, too. */
void
run_free (run_t *run)
{
  if (run->runs && world.endpoints[run->endpoint].start == run->start)
    world.endpoints[run->endpoint].running--;
  TAILQ_REMOVE (&world.runs, run, entries);
  if (run->proxy != NULL)
    proxy_cancel (run->proxy);
  free (run);
}

/* True if the endpoint, now brittle, has had to reject too many in a second. */
bool
endpoint_falls (const endpoint_t *endpoint)
{
  uint64_t limit = world.fleet->brittle_limit;
  uint64_t first_us;

  if (!is_brittle (CONTACT_US) || endpoint->rejections <= limit)
    return false;
  first_us = endpoint->rejected_us[(endpoint->rejections - limit - 1)
                                   % (BRITTLE_LIMIT_MAX + 1)];
  return first_us != 0 && world.now_us - first_us < CA_US_PER_S;
}

/* True if most of what made the endpoint fall came from entries in touch. */
bool
endpoint_fall_counts (const endpoint_t *endpoint)
{
  uint32_t limit = world.fleet->brittle_limit;
  uint32_t in_touch = 0;

  for (uint64_t i = endpoint->rejections - limit - 1; i < endpoint->rejections;
       i++)
    in_touch += endpoint->rejected_in_touch[i % (BRITTLE_LIMIT_MAX + 1)];
  return 2 * in_touch > limit + 1;
}

/* Takes room at an endpoint; false if it has none left. */
static bool
run_take_room (run_t *run)
{
  endpoint_t *endpoint = &world.endpoints[run->endpoint];
  bool is_plain = service_of (run->endpoint) == SERVICE_PLAIN;
  uint32_t wait = QUEUE_MAX;

  if (!is_plain && world.fleet->engine_slots == 0)
    return true;
  if (is_brittle (CONTACT_US))
    wait = is_plain ? PLAIN_QUEUE_WEAK : 0;
  if (endpoint->running < room_of (run->endpoint) + wait)
    {
      endpoint->running++;
      run->runs = true;
      if (is_plain)
        run->next_us += PLAIN_US * (endpoint->running / (PLAIN_SLOTS + 1));
      return true;
    }
  run->rejected = true;
  run->next_us = world.now_us + CONNECT_US;
  endpoint->rejected_in_touch[endpoint->rejections % (BRITTLE_LIMIT_MAX + 1)]
      = is_in_touch (run->entry);
  endpoint->rejected_us[endpoint->rejections++ % (BRITTLE_LIMIT_MAX + 1)]
      = world.now_us;
  return false;
}

static void
run_delegate (run_t *run, const ca_attempt_t *attempt)
{
  proxy_t *proxy = calloc (1, sizeof *proxy);
  uint64_t cut_end_us
      = START_US + STREAMING_FLEET_CUT_START_US + STREAMING_FLEET_CUT_US;

  assert_false (run->exchange->delegated);
  proxy->party.is_proxy = true;
  proxy->request = run->request;
  proxy->run = run;
  proxy->entry = attempt->delegate->address.port;
  request_fill_facts (run->request, &proxy->facts);
  proxy->facts.wait_ms = attempt->remaining_ms;
  proxy->facts.delegated = true;
  proxy->facts.prior_runs = run->exchange->runs;
  proxy->facts.version = run->exchange->version;
  proxy->facts.adapter_data = proxy;
  TAILQ_INSERT_TAIL (&world.proxies, proxy, entries);
  run->proxy = proxy;
  run->next_us = UINT64_MAX;
  if (world.fleet->cut_how != STREAMING_FLEET_CONNECTED
      && world.now_us > cut_end_us + CUT_END_US)
    world.forwarded_late++;
}

static void
on_attempt (void *context, ca_exchange_t *exchange, const ca_attempt_t *attempt)
{
  run_t *run = calloc (1, sizeof *run);
  const endpoint_t *endpoint;

  run->exchange = exchange;
  run->request = request_of (exchange);
  run->entry = (size_t)(uintptr_t)context;
  TAILQ_INSERT_TAIL (&world.runs, run, entries);
  if (attempt->delegate != NULL)
    {
      run_delegate (run, attempt);
      return;
    }
  sscanf (exchange->endpoint->id, "e%zu.%u", &run->endpoint, &run->start);
  endpoint = &world.endpoints[run->endpoint];
  /* The id does not tell one start from another if it stays the same. */
  if (world.fleet->same_ids)
    run->start = endpoint->start;
  run->refused = !endpoint->up || endpoint->start != run->start;
  run->next_event
      = (attempt->resumes ? attempt->last_event : run->request->last_event) + 1;
  run->next_us = world.now_us
                 + (run->refused                        ? CONNECT_US
                    : run->request->kind == KIND_STREAM ? FIRST_EVENT_US
                                                        : PLAIN_US);
  run_connect (run);
  if (run->refused || run->hangs)
    return;
  world.arrivals++;
  world.endpoints[run->endpoint].arrivals++;
  if (endpoint->silent_until_us > world.now_us)
    run->next_us += endpoint->silent_until_us - world.now_us;
  if (!run_take_room (run))
    return;
  if (++run->request->runs > 1 && run->request->kind == KIND_ONCE)
    world.ran_twice++;
}

static void
on_cancel (void *context, ca_exchange_t *exchange)
{
  run_t *run;

  (void)context;
  TAILQ_FOREACH (run, &world.runs, entries)
  {
    if (run->exchange == exchange)
      {
        run_free (run);
        return;
      }
  }
}

static void
on_check (void *context, const ca_gateway_endpoint_t *endpoint)
{
  check_t *check = &world.checks[world.check_count++];
  streaming_fleet_cut_t cut;

  assert_true (world.check_count < CHECKS_MAX);
  check->entry = (size_t)(uintptr_t)context;
  check->instance = ca_gateway_endpoint_instance (endpoint);
  sscanf (endpoint->id, "e%zu.%u", &check->endpoint, &check->start);
  if (world.fleet->same_ids)
    check->start = world.endpoints[check->endpoint].start;
  cut = cut_of (check->entry);
  check->ends_us
      = world.now_us
        + (cut == STREAMING_FLEET_HANGING ? CONNECT_TIMEOUT_US : CONNECT_US);
}

void
step_checks (void)
{
  for (size_t i = 0; i < world.check_count;)
    {
      check_t check = world.checks[i];
      const endpoint_t *endpoint = &world.endpoints[check.endpoint];

      if (world.now_us < check.ends_us)
        {
          i++;
          continue;
        }
      world.checks[i] = world.checks[--world.check_count];
      if (world.entries[check.entry].up)
        ca_gateway_endpoint_checked (
            &world.gateways[check.entry], world.now_us, check.instance,
            endpoint->up && endpoint->start == check.start
                && cut_of (check.entry) == STREAMING_FLEET_CONNECTED);
    }
}

static void
on_deliver (void *context, ca_exchange_t *exchange)
{
  request_t *request = request_of (exchange);

  (void)context;
  if (proxy_of (exchange) != NULL)
    {
      proxy_of (exchange)->answer.is_signed = true;
      proxy_end (proxy_of (exchange), CA_END_COMPLETE, exchange->facts.status);
    }
  else if (exchange->facts.status == 200)
    {
      request_served (request);
      request_free (request);
    }
  else
    request_broken (request, RETRY_US);
}

static void
on_begin (void *context, ca_exchange_t *exchange)
{
  (void)context;
  (void)exchange;
}

static void
on_finish (void *context, ca_exchange_t *exchange)
{
  request_t *request = request_of (exchange);

  (void)context;
  if (proxy_of (exchange) != NULL)
    {
      proxy_of (exchange)->answer.is_signed = true;
      proxy_of (exchange)->answer.is_stream = true;
      proxy_end (proxy_of (exchange), CA_END_COMPLETE, 200);
      return;
    }
  world.complete++;
  if (request->counted)
    world.gone_on++;
  request_served (request);
  request_free (request);
}

static void
on_abort (void *context, ca_exchange_t *exchange)
{
  (void)context;
  if (proxy_of (exchange) != NULL)
    proxy_end (proxy_of (exchange), CA_END_INTERRUPTED, 200);
  else
    request_broken (exchange->adapter_data, RETRY_US);
}

static void
on_refuse (void *context, ca_exchange_t *exchange, ca_gateway_refusal_t reason,
           uint64_t retry_after_us)
{
  proxy_t *proxy = proxy_of (exchange);
  uint64_t *refused_wait_us;

  (void)context;
  if (reason == CA_REFUSE_QUARANTINED || reason == CA_REFUSE_QUARANTINED_PART)
    world.blocked++;
  /* The delegate of a request counts its wait, and a stream whose version is
   * looked up waits for that. */
  refused_wait_us
      = &world.refused_wait_us[service_of_request (request_of (exchange))];
  if (exchange->sends == 0 && is_brittle (CONTACT_US)
      && is_in_touch ((size_t)(uintptr_t)context)
      && reason != CA_REFUSE_DELEGATE && reason != CA_REFUSE_UNKNOWN_VERSION
      && world.now_us - exchange->accepted_us > *refused_wait_us)
    *refused_wait_us = world.now_us - exchange->accepted_us;
  if (proxy != NULL)
    {
      proxy->answer.elsewhere = reason == CA_REFUSE_NO_ENDPOINT
                                || reason == CA_REFUSE_STOPPING
                                || reason == CA_REFUSE_NO_CONFIGURATION;
      proxy->answer.pause_us = retry_after_us;
      proxy_end (proxy, CA_END_COMPLETE,
                 reason == CA_REFUSE_TIMEOUT ? 504
                 : reason == CA_REFUSE_LOST  ? 502
                                             : 503);
      return;
    }
  request_broken (exchange->adapter_data,
                  retry_after_us > RETRY_US ? retry_after_us : RETRY_US);
}

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  message_t *message = calloc (1, sizeof *message);

  message->from = (size_t)(uintptr_t)context;
  message->to = to->port;
  message->bytes = ca_frame_bytes (envelope);
  message->packed = malloc (message->bytes);
  ca_frame_pack (envelope, message->packed);
  STAILQ_INSERT_TAIL (&world.messages, message, entries);
  if (envelope->body_case == CAMPHOR__ENVELOPE__BODY_SLOT_REPORT
      || envelope->body_case == CAMPHOR__ENVELOPE__BODY_SLOT_PERMIT)
    world.permit_messages++;
  if (envelope->body_case == CAMPHOR__ENVELOPE__BODY_STREAM_VERSIONS
      || envelope->body_case == CAMPHOR__ENVELOPE__BODY_STREAM_WANT)
    world.message_bytes += message->bytes;
}

/* The lease row, which also records the versions that serve. */

static void
on_read_lease (void *context)
{
  size_t index = (size_t)(uintptr_t)context;

  ca_leader_lease_read (&world.leaders[index], world.now_us,
                        world.entries[index].cut ? CA_CALL_UNKNOWN : CA_CALL_OK,
                        world.lease_version,
                        world.lease_version == 0 ? NULL : world.lease,
                        world.now_us);
}

static void
on_write_lease (void *context, uint64_t version, const char *text)
{
  size_t index = (size_t)(uintptr_t)context;
  ca_call_status_t status = CA_CALL_OK;

  if (world.entries[index].cut)
    status = CA_CALL_REFUSED;
  else if (version != world.lease_version)
    status = CA_CALL_CONFLICT;
  else
    {
      assert_true (strlen (text) < sizeof world.lease);
      strlcpy (world.lease, text, sizeof world.lease);
      world.lease_version++;
    }
  ca_leader_lease_written (&world.leaders[index], world.now_us, status,
                           world.lease_version);
}

static void
on_log (void *context, const ca_log_event_t *event)
{
  assert_non_null (ca_event_info (event->event));
  if (getenv ("NOTES") != NULL && event->request != NULL)
    print_message ("%.3f s entry %zu %s %s %s: %s\n",
                   (double)world.now_us / 1e6, (size_t)(uintptr_t)context,
                   ca_event_info (event->event)->name, event->request,
                   event->subject == NULL ? "-" : event->subject,
                   event->detail);
}

/* Entries. */

static void
entry_list (size_t index)
{
  world.entries[index].list_cursor = world.change_count;
  ca_gateway_list_begin (&world.gateways[index], world.now_us);
  for (size_t i = 0; i < world.fleet->endpoints; i++)
    {
      const endpoint_t *endpoint = &world.endpoints[i];
      change_t change
          = { world.now_us,         i,    endpoint->start, endpoint->version,
              endpoint->started_ms, false };

      if (endpoint->up)
        apply_change (index, &change);
    }
  ca_gateway_list_end (&world.gateways[index], world.now_us);
}

void
entry_start (size_t index)
{
  ca_gateway_ports_t ports = { .context = (void *)(uintptr_t)index,
                               .attempt = on_attempt,
                               .cancel = on_cancel,
                               .check_endpoint = on_check,
                               .deliver = on_deliver,
                               .begin = on_begin,
                               .finish = on_finish,
                               .abort_stream = on_abort,
                               .refuse = on_refuse,
                               .send_peer = on_send,
                               .log = on_log };
  ca_leader_ports_t leader_ports = { .context = (void *)(uintptr_t)index,
                                     .read_lease = on_read_lease,
                                     .write_lease = on_write_lease };
  entry_t *entry = &world.entries[index];
  ca_gateway_options_t options;
  char zone[16];

  if (world.fleet->stores_streams)
    {
      ports.write_streams = store_on_write;
      ports.read_streams = store_on_read;
    }

  snprintf (zone, sizeof zone, "z%zu", index % ZONES);
  cluster_options (&options, index, zone);
  options.delegate_port = 1; /* peers are told apart by their own ports */
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
  ca_gateway_init (&world.gateways[index], &options, &ports, world.now_us,
                   WALL_US + world.now_us + index);
  entry->up = true;
  entry->stopping = false;
  entry->started_us = entry->touched_us = world.now_us;
  entry->list_lag_us = (uint64_t)(uniform () * LIST_LAG_MAX_US);
  cluster_add_peers (&world.gateways[index], world.fleet->entries);
  cluster_configure (&world.gateways[index], world.now_us, world_config);
  assert_true (ca_gateway_store_era (&world.gateways[index], world.now_us,
                                     CA_ERA_NAMED, CA_STORE_FIRST_ERA));
  ca_leader_init (&world.leaders[index], &world.gateways[index], &leader_ports,
                  false, false);
  entry_list (index);
}

void
entry_end (size_t index)
{
  proxy_t *proxy;
  run_t *run;
  request_t *request = TAILQ_FIRST (&world.requests);

  world.entries[index].up = false;
  world.entries[index].back_us = world.now_us + ENTRY_DOWN_US;
  /* The end of a delegated run also ends the one at its endpoint. */
  do
    {
      TAILQ_FOREACH (run, &world.runs, entries)
      {
        if (run->entry == index)
          break;
      }
      if (run != NULL)
        run_free (run);
    }
  while (run != NULL);
  TAILQ_FOREACH (proxy, &world.proxies, entries)
  {
    if (proxy->entry == index && proxy->sent && !proxy->ended)
      proxy_end (proxy, CA_END_INTERRUPTED, 0);
  }
  ca_leader_finish (&world.leaders[index]);
  ca_gateway_finish (&world.gateways[index]);
  memset (world.idle[index], 0, sizeof world.idle[index]);
  while (request != NULL)
    {
      request_t *next = TAILQ_NEXT (request, entries);

      if (request->entry == index && request->next_us == 0)
        request_broken (request, RETRY_US);
      request = next;
    }
}
