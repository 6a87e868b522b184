/* Connects the core's ports to the adapters, and passes timer ticks and
 * signals to the core. */
#include "daemon/entry.h"

#include "base/clock_source.h"

#include <signal.h>
#include <string.h>

static void
entry_send_peer (void *context, uint64_t to, const ca_address_t *address,
                 const Camphor__Envelope *envelope)
{
  ca_entry_t *entry = context;

  (void)to;
  ca_peer_transport_send (&entry->peers, address, envelope);
}

static void
entry_dispatch (void *context, const ca_dispatch_t *dispatch)
{
  ca_engine_dispatch (&((ca_entry_t *)context)->engine, dispatch);
}

static void
entry_abandon (void *context, const ca_run_attempt_t *attempt)
{
  ca_engine_abandon (&((ca_entry_t *)context)->engine, attempt);
}

static void
entry_stop_run (void *context, const ca_stop_order_t *stop)
{
  ca_engine_stop_run (&((ca_entry_t *)context)->engine, stop);
}

static void
entry_probe (void *context, uint64_t endpoint, const ca_address_t *address,
             bool service, uint64_t cache_seq)
{
  ca_engine_probe (&((ca_entry_t *)context)->engine, endpoint, address, service,
                   cache_seq);
}

static void
entry_table_read (void *context, uint64_t call, const char *key)
{
  ca_platform_read (&((ca_entry_t *)context)->platform, call, key);
}

static void
entry_table_scan (void *context, uint64_t call, const char *prefix)
{
  ca_platform_scan (&((ca_entry_t *)context)->platform, call, prefix);
}

static void
entry_table_write (void *context, uint64_t call, const ca_table_op_t *ops,
                   size_t count)
{
  ca_platform_write (&((ca_entry_t *)context)->platform, call, ops, count);
}

static void
entry_reply_token (void *context, uint64_t request, uint32_t index,
                   const char *text, size_t bytes)
{
  ca_callers_token (&((ca_entry_t *)context)->callers, request, index, text,
                    bytes);
}

static void
entry_reply_end (void *context, uint64_t request, const ca_answer_t *answer)
{
  ca_callers_end (&((ca_entry_t *)context)->callers, request, answer);
}

static void
entry_reply_error (void *context, uint64_t request, const ca_refusal_t *refusal)
{
  ca_callers_error (&((ca_entry_t *)context)->callers, request, refusal);
}

static void
entry_reply_moved (void *context, uint64_t request)
{
  ca_callers_moved (&((ca_entry_t *)context)->callers, request);
}

static void
entry_reply_operator (void *context, uint64_t call,
                      const ca_operator_reply_t *reply)
{
  ca_operators_reply (&((ca_entry_t *)context)->callers.operators, call, reply);
}

static void
entry_order_vm (void *context, uint64_t number, uint64_t fence, bool start,
                const char *zone, const char *pool, bool reclaimable,
                const ca_address_t *address, uint64_t boot)
{
  ca_platform_order (&((ca_entry_t *)context)->platform, number, fence, start,
                     zone, pool, reclaimable, address, boot);
}

static void
entry_trace (void *context, ca_event_number_t number, uint64_t request,
             uint64_t endpoint, const char *workspace, const char *detail)
{
  ca_observer_trace (&((ca_entry_t *)context)->observer, number, request,
                     endpoint, workspace, detail);
}

static const ca_ports_t entry_ports = {
  .send_peer = entry_send_peer,
  .dispatch = entry_dispatch,
  .abandon = entry_abandon,
  .stop_run = entry_stop_run,
  .probe = entry_probe,
  .table_read = entry_table_read,
  .table_scan = entry_table_scan,
  .table_write = entry_table_write,
  .reply_token = entry_reply_token,
  .reply_end = entry_reply_end,
  .reply_error = entry_reply_error,
  .reply_moved = entry_reply_moved,
  .reply_operator = entry_reply_operator,
  .order_vm = entry_order_vm,
  .trace = entry_trace,
};

static void
entry_on_peer (void *context, Camphor__Envelope *envelope)
{
  ca_entry_t *entry = context;

  ca_core_peer_message (&entry->core, ca_clock_now_us (), envelope);
}

static void
entry_on_bad_frame (void *context, const char *message)
{
  entry_trace (context, CA_EVENT_PEER_BAD_FRAME, 0, 0, "", message);
}

/* Logs an event of the process, which concerns no request or endpoint. */
static void
entry_trace_process (ca_entry_t *entry, ca_event_number_t number,
                     const char *detail)
{
  ca_observer_trace (&entry->observer, number, 0, 0, "", detail);
}

/* Time for the event loop to write the last response to its socket.  One
 * iteration suffices unless the caller does not read. */
#define ENTRY_FLUSH_WAIT_US (300 * CA_US_PER_MS)

/* Ends the event loop once the planned stop is complete and the last response
 * has had time to be written. */
static void
entry_check_stop (ca_entry_t *entry, uint64_t now_us)
{
  if (!entry->core.stopping)
    return;
  if (entry->stop_started_us == 0)
    {
      entry->stop_started_us = now_us;
      entry_trace_process (entry, CA_EVENT_STOPPING, "");
    }
  if (now_us - entry->stop_started_us >= entry->lame_duck_us)
    ca_callers_stop_listening (&entry->callers);
  if (!ca_core_is_stopped (&entry->core)
      || ca_callers_open (&entry->callers) > 0)
    {
      entry->idle_since_us = 0;
      return;
    }
  if (entry->idle_since_us == 0)
    entry->idle_since_us = now_us;
  if (now_us - entry->idle_since_us >= ENTRY_FLUSH_WAIT_US)
    event_base_loopexit (entry->base, NULL);
}

static void
entry_on_tick (evutil_socket_t fd, short what, void *context)
{
  ca_entry_t *entry = context;
  uint64_t now_us = ca_clock_now_us ();

  (void)fd;
  (void)what;
  ca_core_tick (&entry->core, now_us);
  entry_check_stop (entry, now_us);
}

/* The first signal starts a planned stop; further ones have no effect. */
static void
entry_on_signal (evutil_socket_t fd, short what, void *context)
{
  ca_entry_t *entry = context;

  (void)fd;
  (void)what;
  ca_core_stop (&entry->core, ca_clock_now_us ());
}

/* Parses a validated level name. */
static ca_level_t
entry_parse_level (const char *text)
{
  for (int level = CA_LEVEL_DEBUG; level < CA_LEVEL_ERROR; level++)
    {
      if (strcmp (ca_level_name ((ca_level_t)level), text) == 0)
        return (ca_level_t)level;
    }
  return CA_LEVEL_ERROR;
}

/* Fills the core's options; seed 0 is replaced by one from the wall clock. */
static void
entry_core_options (const ca_settings_t *settings, ca_core_options_t *options)
{
  ca_address_t callers;
  uint64_t wall_us = ca_clock_wall_us ();

  memset (options, 0, sizeof *options);
  ca_address_parse (ca_settings_text (settings, CA_SETTING_CALLERS), &callers);
  ca_address_parse (ca_settings_text (settings, CA_SETTING_PEERS),
                    &options->peers);
  strlcpy (options->name, ca_settings_text (settings, CA_SETTING_NAME),
           sizeof options->name);
  strlcpy (options->zone, ca_settings_text (settings, CA_SETTING_ZONE),
           sizeof options->zone);
  options->caller_port = callers.port;
  options->incarnation = wall_us / CA_US_PER_MS;
  options->seed = (uint32_t)ca_settings_number (settings, CA_SETTING_SEED);
  if (options->seed == 0)
    options->seed = (uint32_t)wall_us;
  options->max_requests
      = (uint32_t)ca_settings_number (settings, CA_SETTING_MAX_REQUESTS);
  options->store_writes_per_s
      = (uint32_t)ca_settings_number (settings, CA_SETTING_STORE_WRITES_PER_S);
  options->lame_duck_us
      = ca_settings_number (settings, CA_SETTING_LAME_DUCK_MS) * CA_US_PER_MS;
  options->drain_limit_us
      = ca_settings_number (settings, CA_SETTING_DRAIN_LIMIT_MS) * CA_US_PER_MS;
}

/* Adds the comma-separated addresses as seeds; invalid ones are skipped. */
static void
entry_add_seeds (ca_entry_t *entry, const char *list)
{
  char copy[CA_SETTING_TEXT_BYTES];
  char *rest = copy;
  char *item;
  ca_address_t address;

  strlcpy (copy, list, sizeof copy);
  while ((item = strsep (&rest, ",")) != NULL)
    {
      if (ca_address_parse (item, &address))
        ca_core_add_seed (&entry->core, &address);
    }
}

static void
entry_start_timers (ca_entry_t *entry)
{
  struct timeval period = { 0, CA_TICK_US };
  static const int signal_numbers[] = { SIGTERM, SIGINT };

  entry->tick = event_new (entry->base, -1, EV_PERSIST, entry_on_tick, entry);
  event_add (entry->tick, &period);
  for (int i = 0; i < 2; i++)
    {
      entry->signals[i] = evsignal_new (entry->base, signal_numbers[i],
                                        entry_on_signal, entry);
      event_add (entry->signals[i], NULL);
    }
}

bool
ca_entry_init (ca_entry_t *entry, const ca_settings_t *settings,
               ca_error_t *error)
{
  ca_core_options_t options;
  ca_ports_t ports = entry_ports;
  ca_peer_transport_handler_t handler
      = { entry_on_peer, entry_on_bad_frame, NULL, entry };
  ca_address_t callers;
  ca_address_t peers;
  ca_address_t platform;
  const char *name = ca_settings_text (settings, CA_SETTING_NAME);

  memset (entry, 0, sizeof *entry);
  signal (SIGPIPE, SIG_IGN);
  ports.context = entry;
  entry_core_options (settings, &options);
  ca_address_parse (ca_settings_text (settings, CA_SETTING_CALLERS), &callers);
  ca_address_parse (ca_settings_text (settings, CA_SETTING_PEERS), &peers);
  ca_address_parse (ca_settings_text (settings, CA_SETTING_PLATFORM),
                    &platform);
  entry->base = event_base_new ();
  entry->lame_duck_us = options.lame_duck_us;
  ca_observer_init (
      &entry->observer, &entry->core, name,
      entry_parse_level (ca_settings_text (settings, CA_SETTING_LOG_LEVEL)));
  ca_core_init (&entry->core, &options, &ports, ca_clock_now_us (),
                ca_clock_wall_us ());
  ca_http_client_init (&entry->http, entry->base);
  ca_engine_init (&entry->engine, &entry->core, &entry->http);
  if (!ca_peer_transport_init (&entry->peers, &handler, entry->base, &peers,
                               error)
      || !ca_callers_init (
          &entry->callers, &entry->core, &entry->observer, entry->base,
          &callers, ca_settings_number (settings, CA_SETTING_MAX_BODY_BYTES),
          error))
    return false;
  ca_platform_init (
      &entry->platform, &entry->core, &entry->http, &platform,
      (uint32_t)ca_settings_number (settings, CA_SETTING_STORE_TIMEOUT_MS),
      (uint32_t)ca_settings_number (settings, CA_SETTING_VM_POLL_MS));
  entry_add_seeds (entry, ca_settings_text (settings, CA_SETTING_JOIN));
  entry_start_timers (entry);
  entry_trace_process (entry, CA_EVENT_STARTED, options.zone);
  return true;
}

void
ca_entry_run (ca_entry_t *entry)
{
  event_base_dispatch (entry->base);
  entry_trace_process (entry, CA_EVENT_STOPPED, "");
}

void
ca_entry_finish (ca_entry_t *entry)
{
  if (entry->tick != NULL)
    {
      event_free (entry->tick);
      event_free (entry->signals[0]);
      event_free (entry->signals[1]);
      ca_platform_finish (&entry->platform);
    }
  ca_engine_finish (&entry->engine);
  ca_callers_finish (&entry->callers);
  ca_peer_transport_finish (&entry->peers);
  ca_http_client_finish (&entry->http);
  ca_core_finish (&entry->core);
  ca_observer_finish (&entry->observer);
  event_base_free (entry->base);
}
