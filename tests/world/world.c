/* Virtual time, the event queue, and the start and end of entries. */
#include "world.h"

#include "base/timeline.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WALL_START_US UINT64_C (1700000000000000)

static void world_schedule_tick (world_t *world, int entry, uint64_t delay_us);

void
world_init (world_t *world, uint32_t seed, int entry_capacity)
{
  memset (world, 0, sizeof *world);
  world->rng[0] = (unsigned short)seed;
  world->rng[1] = (unsigned short)(seed >> 16);
  world->rng[2] = 0x330e;
  world->now_us = CA_US_PER_S;
  world->entry_capacity = entry_capacity;
  world->entries = calloc ((size_t)entry_capacity, sizeof *world->entries);
  world->table.latency_us = 2 * CA_US_PER_MS;
  world->list_lag_us = 0;
}

static void
world_event_free (world_event_t *event)
{
  if (event->data != NULL && event->free_data != NULL)
    event->free_data (event->data);
  free (event);
}

void
world_finish (world_t *world)
{
  for (int i = 0; i < world->entry_count; i++)
    {
      if (world->entries[i].alive)
        ca_core_finish (&world->entries[i].core);
    }
  for (size_t i = 0; i < world->queued; i++)
    world_event_free (world->queue[i]);
  free (world->queue);
  world_callers_finish (world);
  world_table_finish (world);
  world_endpoints_finish (world);
  free (world->entries);
  free (world->last_reply);
}

double
world_random (world_t *world)
{
  return erand48 (world->rng);
}

uint64_t
world_random_below (world_t *world, uint64_t limit)
{
  return (uint64_t)(world_random (world) * (double)limit);
}

void
world_violation (world_t *world, const char *format, ...)
{
  char text[256];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  if (world->violations++ == 0)
    snprintf (world->first_violation, sizeof world->first_violation,
              "at %.6f s: %.200s", (double)world->now_us / 1e6, text);
  if (world->trace != NULL)
    fprintf (world->trace, "VIOLATION at %.6f s: %s\n",
             (double)world->now_us / 1e6, text);
}

/* The event queue: a binary heap by time, then by sequence number. */

static bool
world_is_before (const world_event_t *a, const world_event_t *b)
{
  return a->at_us < b->at_us
         || (a->at_us == b->at_us && a->sequence < b->sequence);
}

static void
world_swap (world_t *world, size_t i, size_t j)
{
  world_event_t *event = world->queue[i];

  world->queue[i] = world->queue[j];
  world->queue[j] = event;
}

static void
world_push (world_t *world, world_event_t *event)
{
  size_t i = world->queued;

  if (world->queued == world->queue_capacity)
    {
      world->queue_capacity
          = world->queue_capacity ? world->queue_capacity * 2 : 1024;
      world->queue = reallocarray (world->queue, world->queue_capacity,
                                   sizeof *world->queue);
    }
  world->queue[world->queued++] = event;
  while (i > 0 && world_is_before (world->queue[i], world->queue[(i - 1) / 2]))
    {
      world_swap (world, i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
}

static world_event_t *
world_pop (world_t *world)
{
  world_event_t *event = world->queue[0];
  size_t i = 0;

  world->queue[0] = world->queue[--world->queued];
  for (;;)
    {
      size_t earliest = i;

      for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++)
        {
          if (child < world->queued
              && world_is_before (world->queue[child], world->queue[earliest]))
            earliest = child;
        }
      if (earliest == i)
        return event;
      world_swap (world, i, earliest);
      i = earliest;
    }
}

world_event_t *
world_schedule (world_t *world, uint64_t delay_us, world_handler_t run,
                int entry)
{
  world_event_t *event = calloc (1, sizeof *event);

  event->at_us = world->now_us + delay_us;
  event->sequence = world->sequence++;
  event->run = run;
  event->entry = entry;
  event->incarnation = entry >= 0 ? world->entries[entry].incarnation : 0;
  world_push (world, event);
  return event;
}

/* Postpones an event of a paused entry; it runs after the entry resumes. */
static bool
world_defer (world_t *world, world_event_t *event)
{
  if (event->entry < 0 || !world->entries[event->entry].paused)
    return false;
  event->at_us = world->now_us + 10 * CA_US_PER_MS;
  world_push (world, event);
  return true;
}

static bool
world_is_stale (const world_t *world, const world_event_t *event)
{
  const world_entry_t *entry;

  if (event->entry < 0)
    return false;
  entry = &world->entries[event->entry];
  return !entry->alive || entry->incarnation != event->incarnation;
}

static uint64_t
world_processor_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}

void
world_run_until (world_t *world, uint64_t until_us)
{
  while (world->queued > 0 && world->queue[0]->at_us <= until_us)
    {
      world_event_t *event = world_pop (world);
      uint64_t start_ns;

      world->now_us = event->at_us;
      if (world_is_stale (world, event))
        {
          world_event_free (event);
          continue;
        }
      if (world_defer (world, event))
        continue;
      world->events_run++;
      start_ns = world->measures_cpu ? world_processor_ns () : 0;
      event->run (world, event);
      if (world->measures_cpu && event->entry >= 0)
        world->entries[event->entry].core_cpu_ns
            += world_processor_ns () - start_ns;
      world_event_free (event);
    }
  world->now_us = until_us;
}

/* Entries. */

static void
world_trace (void *context, ca_event_number_t number, uint64_t request,
             uint64_t endpoint, const char *workspace, const char *detail)
{
  world_entry_t *entry = context;
  world_t *world = entry->world;
  const ca_event_info_t *info = ca_event_info (number);

  (void)endpoint;
  (void)workspace;
  if (number == CA_EVENT_INVARIANT)
    fprintf (stderr, "invariant violated at %s, %.6f s: %s\n", entry->name,
             (double)world->now_us / 1e6, detail);
  if (world->trace != NULL)
    fprintf (world->trace, "%.6f %s %s %016llx %s\n",
             (double)world->now_us / 1e6, entry->name,
             info == NULL ? "?" : info->name, (unsigned long long)request,
             detail);
}

static void
world_reply_operator (void *context, uint64_t call,
                      const ca_operator_reply_t *reply)
{
  world_t *world = ((world_entry_t *)context)->world;

  world->last_call = call;
  world->last_status = reply->http_status;
  free (world->last_reply);
  world->last_reply = strdup (reply->json);
}

static void
world_entry_ports (world_entry_t *entry, ca_ports_t *ports)
{
  memset (ports, 0, sizeof *ports);
  ports->context = entry;
  ports->trace = world_trace;
  ports->reply_operator = world_reply_operator;
  world_net_ports (ports);
  world_table_ports (ports);
  world_endpoint_ports (ports);
  world_cloud_ports (ports);
  world_caller_ports (ports);
}

static void
world_entry_exit (world_t *world, world_entry_t *entry)
{
  world_lose_requests (world, entry->index);
  ca_core_finish (&entry->core);
  entry->alive = false;
  entry->paused = false;
}

static void
world_tick (world_t *world, world_event_t *event)
{
  world_entry_t *entry = &world->entries[event->entry];

  ca_core_tick (&entry->core, world->now_us);
  if (ca_core_is_stopped (&entry->core))
    {
      world_entry_exit (world, entry);
      return;
    }
  world_schedule_tick (world, event->entry, CA_TICK_US);
}

static void
world_schedule_tick (world_t *world, int entry, uint64_t delay_us)
{
  world_schedule (world, delay_us, world_tick, entry);
}

static void
world_poll (world_t *world, world_event_t *event)
{
  world_cloud_poll (world, event->entry);
  world_schedule (world, 500 * CA_US_PER_MS, world_poll, event->entry);
}

void
world_start (world_t *world, int index)
{
  world_entry_t *entry = &world->entries[index];
  ca_ports_t ports;

  if (entry->alive)
    return;
  entry->incarnation++;
  entry->alive = true;
  entry->paused = false;
  entry->options.incarnation = world->now_us / CA_US_PER_MS;
  entry->options.seed = (uint32_t)world_random_below (world, UINT32_MAX);
  world_entry_ports (entry, &ports);
  ca_core_init (&entry->core, &entry->options, &ports, world->now_us,
                world->now_us + WALL_START_US);
  /* Every entry has the first two configured as seeds. */
  for (int i = 0; i < 2 && i < world->entry_count; i++)
    ca_core_add_seed (&entry->core, &world->entries[i].options.peers);
  world_schedule_tick (world, index, world_random_below (world, CA_TICK_US));
  world_schedule (world, world_random_below (world, 100 * CA_US_PER_MS),
                  world_poll, index);
}

int
world_add_entry (world_t *world, const char *name, const char *zone)
{
  int index = world->entry_count++;
  world_entry_t *entry = &world->entries[index];

  entry->world = world;
  entry->index = index;
  strlcpy (entry->name, name, sizeof entry->name);
  strlcpy (entry->zone, zone, sizeof entry->zone);
  strlcpy (entry->options.name, name, sizeof entry->options.name);
  strlcpy (entry->options.zone, zone, sizeof entry->options.zone);
  entry->options.peers.ip = 0x0a000000u + (uint32_t)index + 1;
  entry->options.peers.port = 7000;
  entry->options.caller_port = 8000;
  entry->options.max_requests = 20000;
  entry->options.store_writes_per_s = 40;
  entry->options.lame_duck_us = 300 * CA_US_PER_MS;
  entry->options.drain_limit_us = 600 * CA_US_PER_S;
  world_start (world, index);
  return index;
}

int
world_find_entry (const world_t *world, const char *name)
{
  for (int i = 0; i < world->entry_count; i++)
    {
      if (strcmp (world->entries[i].name, name) == 0)
        return i;
    }
  return -1;
}

void
world_kill (world_t *world, int entry)
{
  if (world->entries[entry].alive)
    world_entry_exit (world, &world->entries[entry]);
}

void
world_pause (world_t *world, int entry)
{
  world->entries[entry].paused = true;
}

void
world_resume (world_t *world, int entry)
{
  world->entries[entry].paused = false;
}

/* Operators. */

static bool
world_wait_call (world_t *world, uint64_t call)
{
  uint64_t limit_us = world->now_us + 30 * CA_US_PER_S;

  while (world->last_call != call && world->now_us < limit_us)
    world_run_until (world, world->now_us + CA_US_PER_MS);
  return world->last_call == call && world->last_status == 200;
}

bool
world_configure (world_t *world, int entry, const char *intent)
{
  uint64_t call = ++world->next_call;
  char plan_id[32];
  json_t *reply;

  ca_core_plan (&world->entries[entry].core, world->now_us, call, intent);
  if (!world_wait_call (world, call))
    return false;
  reply = json_loads (world->last_reply, 0, NULL);
  strlcpy (plan_id, json_string_value (json_object_get (reply, "plan")),
           sizeof plan_id);
  json_decref (reply);
  call = ++world->next_call;
  ca_core_confirm (&world->entries[entry].core, world->now_us, call, plan_id);
  return world_wait_call (world, call);
}
