/* Fake network between entries, with delays, message loss and partitions
 * between zones. */
#include "world.h"

#include "wire/frame.h"

#include <stdlib.h>
#include <string.h>

#define NET_DELAY_US 1000
#define NET_JITTER_US 500

void
world_partition (world_t *world, const char *a, const char *b)
{
  world_partition_t *partition
      = &world->partitions[world->partition_count++ % 32];

  if (world->partition_count > 32)
    world->partition_count = 32;
  strlcpy (partition->a, a, sizeof partition->a);
  strlcpy (partition->b, b, sizeof partition->b);
}

void
world_heal (world_t *world)
{
  world->partition_count = 0;
}

bool
world_is_partitioned (const world_t *world, const char *a, const char *b)
{
  for (int i = 0; i < world->partition_count; i++)
    {
      const world_partition_t *partition = &world->partitions[i];

      if ((strcmp (partition->a, a) == 0 && strcmp (partition->b, b) == 0)
          || (strcmp (partition->a, b) == 0 && strcmp (partition->b, a) == 0))
        return true;
    }
  return false;
}

typedef struct
{
  uint8_t *bytes;
  size_t count;
} net_packet_t;

static void
net_free (void *data)
{
  net_packet_t *packet = data;

  free (packet->bytes);
  free (packet);
}

static void
net_deliver (world_t *world, world_event_t *event)
{
  net_packet_t *packet = event->data;
  Camphor__Envelope *envelope
      = camphor__envelope__unpack (NULL, packet->count, packet->bytes);

  ca_core_peer_message (&world->entries[event->entry].core, world->now_us,
                        envelope);
  camphor__envelope__free_unpacked (envelope, NULL);
}

static void
net_send (void *context, uint64_t to, const ca_address_t *address,
          const Camphor__Envelope *envelope)
{
  world_entry_t *from = context;
  world_t *world = from->world;
  int index = (int)(address->ip - 0x0a000000u) - 1;
  net_packet_t *packet;
  world_event_t *event;
  size_t bytes = camphor__envelope__get_packed_size (envelope);

  (void)to;
  from->sent_messages++;
  from->sent_bytes += bytes + CA_FRAME_HEADER_BYTES;
  if (index < 0 || index >= world->entry_count || !world->entries[index].alive
      || world_is_partitioned (world, from->zone, world->entries[index].zone)
      || (world->message_loss_rate > 0
          && world_random (world) < world->message_loss_rate))
    return;
  packet = calloc (1, sizeof *packet);
  packet->count = bytes;
  packet->bytes = malloc (packet->count + 1);
  camphor__envelope__pack (envelope, packet->bytes);
  event = world_schedule (
      world, NET_DELAY_US + world_random_below (world, NET_JITTER_US),
      net_deliver, index);
  event->data = packet;
  event->free_data = net_free;
}

void
world_net_ports (ca_ports_t *ports)
{
  ports->send_peer = net_send;
}
