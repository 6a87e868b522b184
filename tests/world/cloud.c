/* Fake cloud: VM orders, the VM list, reclaim notices and prices. */
#include "world.h"

#include <stdlib.h>
#include <string.h>

/* Time from an accepted start until the VM serves. */
#define VM_START_US (5 * CA_US_PER_S)

/* VM orders. */

/* The VM of an accepted start comes into service. */
static void
cloud_vm_started (world_t *world, world_event_t *event)
{
  world_restart (world, (int)event->number);
}

/* Returns the index of an endpoint for a new VM: one whose last VM is gone, or
 * a new one; -1 if the table is full. */
static int
cloud_allocate_vm (world_t *world, const char *zone, const char *pool)
{
  char name[WORLD_NAME_BYTES];

  for (int i = 0; i < world->endpoint_count; i++)
    {
      world_endpoint_t *endpoint = &world->endpoints[i];

      if (!endpoint->alive && !endpoint->start_pending
          && strcmp (endpoint->zone, zone) == 0
          && strcmp (endpoint->pool, pool) == 0)
        return i;
    }
  if (world->endpoint_count == WORLD_ENDPOINTS)
    return -1;
  snprintf (name, sizeof name, "vm%d", world->endpoint_count);
  return world_add_endpoint (world, name, zone, pool,
                             strcmp (pool, "orders") == 0);
}

typedef struct
{
  uint64_t number;
  ca_order_status_t status;
} cloud_answer_t;

static void
cloud_deliver_answer (world_t *world, world_event_t *event)
{
  const cloud_answer_t *answer = event->data;

  ca_core_order_result (&world->entries[event->entry].core, world->now_us,
                        answer->number, answer->status);
}

static void
cloud_send_answer (world_entry_t *entry, uint64_t number,
                   ca_order_status_t status)
{
  cloud_answer_t *answer = malloc (sizeof *answer);
  world_event_t *event = world_schedule (entry->world, 50 * CA_US_PER_MS,
                                         cloud_deliver_answer, entry->index);

  answer->number = number;
  answer->status = status;
  event->data = answer;
  event->free_data = free;
}

static void
cloud_port_order (void *context, uint64_t number, uint64_t fence, bool start,
                  const char *zone, const char *pool, bool reclaimable,
                  const ca_address_t *address, uint64_t boot)
{
  world_entry_t *entry = context;
  world_t *world = entry->world;
  int index;

  (void)fence;
  if (!start)
    {
      index = world_endpoint_at (world, address);
      world->stops_ordered++;
      if (index >= 0 && world->endpoints[index].boot == boot)
        {
          world_crash (world, index);
          world->endpoints[index].listed = false;
        }
      return;
    }
  world->starts_ordered++;
  index = world->starts_refused ? -1 : cloud_allocate_vm (world, zone, pool);
  cloud_send_answer (entry, number,
                     index < 0 ? CA_ORDER_REFUSED : CA_ORDER_DONE);
  if (index < 0)
    return;
  world->endpoints[index].alive = false;
  world->endpoints[index].listed = false;
  world->endpoints[index].start_pending = true;
  world->endpoints[index].reclaimable = reclaimable;
  world_schedule (world, VM_START_US, cloud_vm_started, -1)->number
      = (uint64_t)index;
}

/* VM list, notices and prices. */

static void
cloud_fill_vm (const world_t *world, const world_endpoint_t *endpoint,
               ca_vm_t *vm)
{
  memset (vm, 0, sizeof *vm);
  vm->kind = endpoint->service ? CA_VM_SERVICE : CA_VM_ENGINE;
  vm->address = endpoint->address;
  vm->zone = endpoint->zone;
  vm->pool = endpoint->pool;
  vm->boot = endpoint->boot;
  vm->reclaimable = endpoint->reclaimable;
  vm->leaving = endpoint->leaving;
  if (endpoint->leaving && endpoint->leave_at_us > world->now_us)
    vm->notice_us = endpoint->leave_at_us - world->now_us;
}

static void
cloud_report_prices (world_t *world, world_entry_t *entry)
{
  for (int i = 0; i < WORLD_ZONES; i++)
    {
      char zone[16];

      snprintf (zone, sizeof zone, "z%d", i + 1);
      if (world->prices[i][0] > 0)
        ca_core_set_price (&entry->core, world->now_us, zone,
                           world->prices[i][1], world->prices[i][0]);
    }
}

void
world_cloud_poll (world_t *world, int index)
{
  world_entry_t *entry = &world->entries[index];
  ca_vm_t vms[WORLD_ENDPOINTS];
  size_t count = 0;

  if (world->platform_down
      || world_is_partitioned (world, entry->zone, "platform"))
    return;
  for (int i = 0; i < world->endpoint_count; i++)
    {
      ca_vm_t notice;

      if (!world->endpoints[i].listed)
        continue;
      cloud_fill_vm (world, &world->endpoints[i], &vms[count]);
      notice = vms[count];
      /* A lagging list does not show yet that the VM is leaving. */
      if (world->list_lag_us > 0)
        vms[count].leaving = false;
      count++;
      if (notice.leaving && !world->notices_lost)
        ca_core_reclaim_notice (&entry->core, world->now_us, &notice);
    }
  ca_core_vm_list (&entry->core, world->now_us, vms, count);
  cloud_report_prices (world, entry);
}

void
world_cloud_ports (ca_ports_t *ports)
{
  ports->order_vm = cloud_port_order;
}
