/* Exchanges frames with other entries over TCP. */
#ifndef CA_ADAPTERS_PEER_TRANSPORT_H
#define CA_ADAPTERS_PEER_TRANSPORT_H

#include "base/settings.h"
#include "wire/peer.pb-c.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <stdint.h>
#include <sys/queue.h>

struct ca_peer_link;

/* Callbacks for a received message, a malformed frame, and an outgoing link
 * that is closed since nothing was acknowledged.  The message is freed after
 * the callback, except for fields that it has moved out.  `on_stalled` may be
 * NULL.
 */
typedef struct
{
  void (*on_message) (void *context, Camphor__Envelope *envelope);
  void (*on_bad_frame) (void *context, const char *message);
  void (*on_stalled) (void *context, const ca_address_t *peer,
                      uint64_t unacked_us, uint64_t unacked_frames,
                      size_t queued_bytes);
  void *context;
} ca_peer_transport_handler_t;

/* Bounds of what incoming links occupy; changeable at any time. */
typedef struct
{
  uint32_t max_links;     /* beyond, the one unused for longest is closed */
  size_t max_input_bytes; /* of incomplete frames of all links together; one
                             link alone may always have a whole frame */
  void (*on_cut) (void *context, bool for_memory); /* may be NULL */
  void *context;
} ca_peer_transport_limits_t;

typedef struct
{
  ca_peer_transport_handler_t handler;
  ca_peer_transport_limits_t limits;
  struct event_base *base; /* not owned */
  struct evconnlistener *listener;
  uint32_t incoming;  /* links */
  size_t input_bytes; /* of incoming links */
  TAILQ_HEAD (, ca_peer_link) links;
  struct event *sweep;
} ca_peer_transport_t;

/* Starts to listen; false with `error` set if the address cannot be bound. */
bool ca_peer_transport_init (ca_peer_transport_t *transport,
                             const ca_peer_transport_handler_t *handler,
                             struct event_base *base,
                             const ca_address_t *listen, ca_error_t *error);
void ca_peer_transport_finish (ca_peer_transport_t *transport);

/* Sends a message over the link to `address`, opening it if needed.  Returns
 * the bytes queued.  Delivery is not guaranteed: 0 is returned if the message
 * is dropped at once, since the link's queue is full. */
size_t ca_peer_transport_send (ca_peer_transport_t *transport,
                               const ca_address_t *address,
                               const Camphor__Envelope *envelope);

#endif
