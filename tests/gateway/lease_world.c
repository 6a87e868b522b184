/* Entries that compete for the leader's lease, in virtual time. */
#include "lease_world.h"

#include "gateway/leader_private.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

world_t world;

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":"
      "\"/\",\"route_kind\":\"streaming\",\"timeout_ms\":1000,"
      "\"target_latency_ms\":1000,\"service\":\"s\",\"max_attempts\":1}],"
      "\"services\":[{\"name\":\"s\",\"inference_engine\":{\"slots\":64,"
      "\"kv_cache_tokens\":300000},\"scaling\":{\"minimum\":1,\"maximum\":8,"
      "\"boot_time_s\":4.0,\"spot_price\":0.2,\"zone_prices\":{\"z1\":1.0,"
      "\"z2\":1.2,\"z3\":1.1}}}],\"tenants\":[{\"name\":\"w\",\"api_keys\":"
      "[\"k\"]}]}";

static entry_t *
entry_of (void *context)
{
  return context;
}

static void
read_lease (void *context)
{
  entry_t *entry = entry_of (context);

  if (entry->no_store)
    {
      ca_leader_lease_read (&entry->leader, world.now_us, CA_CALL_UNKNOWN, 0,
                            NULL, 0);
      return;
    }
  ca_leader_lease_read (&entry->leader, world.now_us, CA_CALL_OK, world.version,
                        world.version == 0 ? NULL : world.row, world.now_us);
}

/* Puts the row into the store, as a build before eras would write it if so
 * set. */
static void
store_put (const char *text)
{
  json_t *row = json_loads (text, 0, NULL);
  char *written;

  if (world.rows_lack_era)
    json_object_del (row, "era");
  written = json_dumps (row, JSON_COMPACT);
  assert_true (strlen (written) < sizeof world.row);
  strlcpy (world.row, written, sizeof world.row);
  free (written);
  json_decref (row);
}

/* Carries out the entry's write if it is due. */
static void
carry_out_write (entry_t *entry)
{
  if (entry->write_due_us == 0 || world.now_us < entry->write_due_us)
    return;
  entry->write_due_us = 0;
  if (entry->write_version != world.version)
    {
      ca_leader_lease_written (&entry->leader, world.now_us, CA_CALL_CONFLICT,
                               0);
      return;
    }
  world.version++;
  store_put (entry->write_text);
  if (world.write_answers_to_lose > 0)
    {
      world.write_answers_to_lose--;
      ca_leader_lease_written (&entry->leader, world.now_us, CA_CALL_UNKNOWN,
                               0);
      return;
    }
  ca_leader_lease_written (&entry->leader, world.now_us, CA_CALL_OK,
                           world.version);
}

static void
write_lease (void *context, uint64_t version, const char *text)
{
  entry_t *entry = entry_of (context);

  if (entry->no_store)
    {
      ca_leader_lease_written (&entry->leader, world.now_us, CA_CALL_REFUSED,
                               0);
      return;
    }
  entry->write_due_us = world.now_us + world.write_delay_us;
  entry->write_version = version;
  strlcpy (entry->write_text, text, sizeof entry->write_text);
  carry_out_write (entry);
}

static void
record_holder (const entry_t *entry, uint64_t fence)
{
  size_t number = (size_t)(entry - world.entries);

  for (size_t i = 0; i < world.token_count; i++)
    {
      if (world.tokens[i] != fence)
        continue;
      if (world.holders[i] != number)
        world.fence_reused = true;
      return;
    }
  assert_true (world.token_count < TOKENS_MAX);
  world.tokens[world.token_count] = fence;
  world.holders[world.token_count++] = number;
}

static void
report_usage (void *context, uint64_t fence, uint64_t window,
              const struct ca_usage_rows *counts)
{
  entry_t *entry = entry_of (context);
  const ca_usage_row_t *row = TAILQ_FIRST (counts);
  uint32_t count = row == NULL ? 0 : row->count;

  record_holder (entry, fence);
  if (fence < world.usage_fence)
    {
      ca_leader_usage_reported (&entry->leader, world.now_us, window,
                                CA_CALL_CONFLICT);
      return;
    }
  world.usage_fence = fence;
  for (size_t i = 0; i < world.reports; i++)
    {
      if (world.windows[i] == window && world.counts[i] != count)
        world.counts_differ = true;
    }
  assert_true (world.reports < REPORTS_MAX);
  world.windows[world.reports] = window;
  world.counts[world.reports++] = count;
  ca_leader_usage_reported (&entry->leader, world.now_us, window, CA_CALL_OK);
}

static void
order_scale (void *context, const ca_scale_order_t *order)
{
  entry_t *entry = entry_of (context);
  order_t *row = &world.orders[world.order_count++ % ORDERS];

  record_holder (entry, order->fence);
  strlcpy (row->service, order->service, sizeof row->service);
  strlcpy (row->zone, order->zone, sizeof row->zone);
  row->reclaimable = order->reclaimable;
  row->count = order->count;
  row->at_us = world.now_us;
  ca_leader_order_done (&entry->leader, world.now_us, order,
                        world.reclaimable_unavailable && order->reclaimable
                                && order->count > 0
                            ? CA_CALL_CONFLICT
                            : CA_CALL_OK);
}

static void
on_exchange (void *context, ca_exchange_t *exchange)
{
  (void)context;
  (void)exchange;
}

static void
on_log (void *context, const ca_log_event_t *note)
{
  (void)context;
  if (getenv ("NOTES") != NULL)
    print_message ("%.3f %d %s\n", (double)(world.now_us - 1000000000) / 1e6,
                   (int)note->event, note->detail);
}

static void
on_send (void *context, const ca_address_t *to,
         const Camphor__Envelope *envelope)
{
  entry_t *entry = &world.entries[to->port];
  const entry_t *sender = entry_of (context);

  if (entry->alive && !entry->frozen && !entry->cut_off && !sender->frozen
      && !sender->cut_off)
    cluster_deliver (&entry->gateway, world.now_us, envelope);
}

static void
on_restored (void *context)
{
  ca_leader_store_restored (&entry_of (context)->leader, world.now_us);
}

/* Passes the store's era to an entry, as an answer does. */
static void
entry_learn_era (size_t index)
{
  if (world.era != 0 && world.entries[index].alive
      && !world.entries[index].no_store)
    assert_true (ca_gateway_store_era (&world.entries[index].gateway,
                                       world.now_us, CA_ERA_NAMED, world.era));
}

void
store_reach_all (void)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      world.entries[i].cut_off = false;
      world.entries[i].no_store = false;
      entry_learn_era (i);
    }
}

void
store_copy (void)
{
  strlcpy (world.row_copy, world.row, sizeof world.row_copy);
  world.version_copy = world.version;
}

/* The store comes back from its copy. */
void
store_restore (void)
{
  strlcpy (world.row, world.row_copy, sizeof world.row);
  world.version = world.version_copy;
  world.era++;
  for (size_t i = 0; i < ENTRIES; i++)
    entry_learn_era (i);
}

void
entry_start (size_t index)
{
  entry_t *entry = &world.entries[index];
  ca_gateway_ports_t ports = { .context = entry,
                               .cancel = on_exchange,
                               .send_peer = on_send,
                               .store_restored = on_restored,
                               .log = on_log };
  ca_leader_ports_t leader_ports = { .context = entry,
                                     .read_lease = read_lease,
                                     .write_lease = write_lease,
                                     .report_usage = report_usage,
                                     .order_scale = order_scale };
  ca_gateway_options_t options;

  cluster_options (&options, index, "z1");
  options.bounds.lease_ms = 3000;
  options.bounds.usage_window_s = USAGE_WINDOW_S;
  options.bounds.usage_delay_s = 10;
  options.bounds.retry_window_ms = 10000;
  ca_gateway_init (&entry->gateway, &options, &ports, world.now_us,
                   WALL_US + world.now_us);
  ca_leader_init (&entry->leader, &entry->gateway, &leader_ports, true, true);
  cluster_configure (&entry->gateway, world.now_us, config);
  cluster_add_peers (&entry->gateway, ENTRIES);
  entry->alive = true;
  entry_learn_era (index);
}

void
entry_end (size_t index)
{
  entry_t *entry = &world.entries[index];

  if (!entry->alive)
    return;
  ca_leader_finish (&entry->leader);
  ca_gateway_finish (&entry->gateway);
  entry->write_due_us = 0;
  entry->alive = false;
}

void
world_start (size_t entries)
{
  memset (&world, 0, sizeof world);
  world.now_us = UINT64_C (1000000000);
  for (size_t i = 0; i < entries; i++)
    entry_start (i);
}

/* Notes whether two entries may act as the leader now. */
static void
check_leaders (void)
{
  size_t count = 0;

  for (size_t i = 0; i < ENTRIES; i++)
    {
      const entry_t *entry = &world.entries[i];

      if (entry->alive && !entry->frozen && ca_lease_is_valid (&entry->leader))
        count++;
    }
  if (count > 1)
    world.two_leaders = true;
}

void
world_run (uint64_t ms)
{
  uint64_t until_us = world.now_us + ms * CA_US_PER_MS;

  while (world.now_us < until_us)
    {
      world.now_us += STEP_US;
      for (size_t i = 0; i < ENTRIES; i++)
        {
          entry_t *entry = &world.entries[i];

          if (!entry->alive || entry->frozen)
            continue;
          ca_gateway_tick (&entry->gateway, world.now_us,
                           WALL_US + world.now_us);
          carry_out_write (entry);
          ca_leader_tick (&entry->leader, world.now_us);
        }
      check_leaders ();
    }
}

void
world_end (void)
{
  assert_false (world.fence_reused);
  assert_false (world.counts_differ);
  assert_false (world.two_leaders);
  for (size_t i = 0; i < ENTRIES; i++)
    entry_end (i);
}

size_t
leader (void)
{
  size_t found = ENTRIES;

  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (world.entries[i].alive && world.entries[i].leader.held)
        {
          assert_int_equal (found, ENTRIES);
          found = i;
        }
    }
  return found;
}

uint32_t
reported_count (uint64_t window)
{
  uint32_t count = 0;

  for (size_t i = 0; i < world.reports; i++)
    {
      if (world.windows[i] == window)
        count = world.counts[i];
    }
  return count;
}

uint64_t
current_window (void)
{
  return (WALL_US + world.now_us) / (USAGE_WINDOW_S * CA_US_PER_S);
}

bool
is_reported (uint64_t window)
{
  for (size_t i = 0; i < world.reports; i++)
    {
      if (world.windows[i] == window)
        return true;
    }
  return false;
}

void
world_run_with_usage (uint64_t ms)
{
  for (uint64_t i = 0; i < ms; i += 100)
    {
      for (size_t k = 0; k < ENTRIES; k++)
        {
          if (world.entries[k].alive)
            ca_usage_count (&world.entries[k].gateway, "w", world.now_us);
        }
      world_run (100);
    }
}
