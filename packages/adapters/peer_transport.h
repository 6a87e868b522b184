/* Frames to and from other entries over TCP. */
#ifndef CA_ADAPTERS_PEER_TRANSPORT_H
#define CA_ADAPTERS_PEER_TRANSPORT_H

#include "base/settings.h"
#include "wire/peer.pb-c.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <stdint.h>
#include <sys/queue.h>

struct ca_peer_link;

/* What is done with a peer's message, and with a frame that does not parse. The
 * message is freed afterwards, but for what was taken out of it. */
typedef struct
{
  void (*on_message) (void *context, Camphor__Envelope *envelope);
  void (*on_bad_frame) (void *context, const char *message);
  void *context;
} ca_peer_transport_handler_t;

typedef struct
{
  ca_peer_transport_handler_t handler;
  struct event_base *base; /* not owned */
  struct evconnlistener *listener;
  TAILQ_HEAD (, ca_peer_link) links;
  struct event *sweep;
} ca_peer_transport_t;

/* Listens; false and an error if the address cannot be had. */
bool ca_peer_transport_init (ca_peer_transport_t *transport,
                             const ca_peer_transport_handler_t *handler,
                             struct event_base *base,
                             const ca_address_t *listen, ca_error_t *error);
void ca_peer_transport_finish (ca_peer_transport_t *transport);

/* Sends over the link to `address`, which is opened if there is none.  A
 * message that finds the link's queue full is dropped, as the network may. */
void ca_peer_transport_send (ca_peer_transport_t *transport,
                             const ca_address_t *address,
                             const Camphor__Envelope *envelope);

#endif
