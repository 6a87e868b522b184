/* Fake network between entries: delays, losses and cuts between zones. */
#include "world.h"

#include "wire/frame.h"

#include <stdlib.h>
#include <string.h>

#define NET_DELAY_US 1000
#define NET_JITTER_US 500

void
world_cut (world_t *world, const char *a, const char *b)
{
  world_cut_t *cut = &world->cuts[world->cut_count++ % 32];

  if (world->cut_count > 32)
    world->cut_count = 32;
  strlcpy (cut->a, a, sizeof cut->a);
  strlcpy (cut->b, b, sizeof cut->b);
}

void
world_heal (world_t *world)
{
  world->cut_count = 0;
}

bool
world_is_cut (const world_t *world, const char *a, const char *b)
{
  for (int i = 0; i < world->cut_count; i++)
    {
      const world_cut_t *cut = &world->cuts[i];

      if ((strcmp (cut->a, a) == 0 && strcmp (cut->b, b) == 0)
          || (strcmp (cut->a, b) == 0 && strcmp (cut->b, a) == 0))
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
  from->sent_bytes += bytes + CA_FRAME_HEAD_BYTES;
  if (index < 0 || index >= world->entry_count || !world->entries[index].alive
      || world_is_cut (world, from->zone, world->entries[index].zone)
      || (world->loss_share > 0 && world_random (world) < world->loss_share))
    return;
  packet = calloc (1, sizeof *packet);
  packet->count = bytes;
  packet->bytes = malloc (packet->count + 1);
  camphor__envelope__pack (envelope, packet->bytes);
  event = world_post (world, NET_DELAY_US + world_below (world, NET_JITTER_US),
                      net_deliver, index);
  event->data = packet;
  event->free_data = net_free;
}

void
world_net_ports (ca_ports_t *ports)
{
  ports->send_peer = net_send;
}
