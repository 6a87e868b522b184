/* TCP links between entries: one outgoing connection per peer, opened on demand
 * and closed when idle.  Incoming connections only receive frames. */
#include "adapters/peer_transport.h"

#include "base/clock.h"
#include "base/clock_source.h"
#include "wire/frame.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

/* Maximum bytes queued on one link. */
#define LINK_QUEUE_MAX_BYTES (4 * 1024 * 1024)
#define LINK_IDLE_TIMEOUT_US (30 * CA_US_PER_S)
#define LINKS_MAX 1024

/* Of incomplete frames of all incoming links together, unless it is set. */
#define LINKS_MAX_INPUT_BYTES (64 * 1024 * 1024)
#define SWEEP_PERIOD_S 2

/* The receiver acknowledges each frame with one byte.  A link with a frame
 * unacknowledged for this long is closed, and the next message opens a new
 * one. */
#define LINK_ACK_TIMEOUT_US (500 * CA_US_PER_MS)
#define LINK_ACK_BYTE "\x06"

typedef struct ca_peer_link
{
  ca_peer_transport_t *transport;
  struct bufferevent *stream;
  bool incoming;
  size_t input_bytes; /* in the transport's sum */
  ca_address_t address;
  uint64_t last_used_us;
  uint64_t unacked_frames;
  uint64_t unacked_since_us; /* time of the last acknowledgement, or of the
                                first unacknowledged frame if later */
  TAILQ_ENTRY (ca_peer_link) entries;
} ca_peer_link_t;

static void
transport_link_free (ca_peer_link_t *link)
{
  TAILQ_REMOVE (&link->transport->links, link, entries);
  if (link->incoming)
    link->transport->incoming--;
  link->transport->input_bytes -= link->input_bytes;
  bufferevent_free (link->stream);
  free (link);
}

static void
transport_link_on_event (struct bufferevent *stream, short what, void *context)
{
  (void)stream;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    transport_link_free (context);
}

/* Unpacks one frame's body and passes it to the handler; false with `error`
 * set if it is malformed. */
static bool
transport_handle_body (ca_peer_transport_t *transport, const uint8_t *body,
                       size_t bytes, ca_error_t *error)
{
  Camphor__Envelope *envelope = ca_frame_unpack (body, bytes, error);

  if (envelope == NULL)
    return false;
  transport->handler.on_message (transport->handler.context, envelope);
  camphor__envelope__free_unpacked (envelope, NULL);
  return true;
}

/* Reads one frame from the input.  False if it is incomplete, or with `error`
 * set if it is malformed. */
static bool
transport_read_frame (ca_peer_transport_t *transport, struct evbuffer *input,
                      ca_error_t *error)
{
  uint8_t header[CA_FRAME_HEADER_BYTES];
  uint32_t bytes;
  const uint8_t *frame;
  bool parsed;

  if (evbuffer_copyout (input, header, sizeof header)
      < (ev_ssize_t)sizeof header)
    return false;
  bytes = ca_frame_body_bytes (header, error);
  if (bytes == 0
      || evbuffer_get_length (input) < CA_FRAME_HEADER_BYTES + (size_t)bytes)
    return false;
  frame = evbuffer_pullup (input, (ev_ssize_t)(CA_FRAME_HEADER_BYTES + bytes));
  parsed = transport_handle_body (transport, frame + CA_FRAME_HEADER_BYTES,
                                  bytes, error);
  evbuffer_drain (input, CA_FRAME_HEADER_BYTES + bytes);
  return parsed;
}

/* Counts the acknowledgement bytes received on an outgoing link. */
static void
transport_read_acks (ca_peer_link_t *link)
{
  struct evbuffer *input = bufferevent_get_input (link->stream);
  size_t acks = evbuffer_get_length (input);

  evbuffer_drain (input, acks);
  link->unacked_frames
      = acks >= link->unacked_frames ? 0 : link->unacked_frames - acks;
  link->unacked_since_us = link->last_used_us;
}

/* Brings the sum of input up to date. */
static void
transport_link_count_input (ca_peer_link_t *link)
{
  size_t bytes = evbuffer_get_length (bufferevent_get_input (link->stream));

  link->transport->input_bytes += bytes - link->input_bytes;
  link->input_bytes = bytes;
}

/* Closes the incoming link that has been unused for longest, of those with
 * input if `for_memory` is set.  False if there is none. */
static bool
transport_cut_link (ca_peer_transport_t *transport, bool for_memory)
{
  ca_peer_link_t *oldest = NULL;
  ca_peer_link_t *link;

  TAILQ_FOREACH (link, &transport->links, entries)
  {
    if (link->incoming && (!for_memory || link->input_bytes > 0)
        && (oldest == NULL || link->last_used_us < oldest->last_used_us))
      oldest = link;
  }
  if (oldest == NULL)
    return false;
  if (transport->limits.on_cut != NULL)
    transport->limits.on_cut (transport->limits.context, for_memory);
  transport_link_free (oldest);
  return true;
}

/* Closes links until the frames that are being received are within the limit.
 */
static void
transport_keep_input_limit (ca_peer_link_t *latest)
{
  ca_peer_transport_t *transport = latest->transport;

  while (transport->input_bytes > transport->limits.max_input_bytes
         && transport->input_bytes > latest->input_bytes
         && transport_cut_link (transport, true))
    ;
}

static void
transport_link_on_readable (struct bufferevent *stream, void *context)
{
  ca_peer_link_t *link = context;
  ca_peer_transport_t *transport = link->transport;
  ca_error_t error;

  ca_error_init (&error);
  link->last_used_us = ca_clock_now_us ();
  if (!link->incoming)
    {
      transport_read_acks (link);
      return;
    }
  while (
      transport_read_frame (transport, bufferevent_get_input (stream), &error))
    bufferevent_write (stream, LINK_ACK_BYTE, 1);
  transport_link_count_input (link);
  if (error.kind == CA_ERROR_NONE)
    {
      transport_keep_input_limit (link);
      return;
    }
  transport->handler.on_bad_frame (transport->handler.context, error.message);
  transport_link_free (link);
}

/* Adds a link; `fd` is -1 for one that is not connected yet. */
static ca_peer_link_t *
transport_link_new (ca_peer_transport_t *transport, evutil_socket_t fd,
                    bool incoming)
{
  ca_peer_link_t *link = calloc (1, sizeof *link);
  int on = 1;

  link->transport = transport;
  link->incoming = incoming;
  if (incoming)
    transport->incoming++;
  link->last_used_us = ca_clock_now_us ();
  link->stream = bufferevent_socket_new (
      transport->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (fd >= 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  bufferevent_setcb (link->stream, transport_link_on_readable, NULL,
                     transport_link_on_event, link);
  bufferevent_setwatermark (link->stream, EV_READ, 0,
                            CA_FRAME_MAX_BYTES + CA_FRAME_HEADER_BYTES);
  bufferevent_enable (link->stream, EV_READ | EV_WRITE);
  TAILQ_INSERT_HEAD (&transport->links, link, entries);
  return link;
}

/* Accepts a peer's connection; closes the link that has been unused for longest
 * if there are too many. */
static void
transport_on_accept (struct evconnlistener *listener, evutil_socket_t fd,
                     struct sockaddr *from, int length, void *context)
{
  ca_peer_transport_t *transport = context;

  (void)listener;
  (void)from;
  (void)length;
  if (transport->incoming >= transport->limits.max_links)
    transport_cut_link (transport, false);
  transport_link_new (transport, fd, true);
}

static void
transport_fill_sockaddr (const ca_address_t *address, struct sockaddr_in *out)
{
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_addr.s_addr = htonl (address->ip);
  out->sin_port = htons (address->port);
}

static ca_peer_link_t *
transport_link_connect (ca_peer_transport_t *transport,
                        const ca_address_t *address)
{
  ca_peer_link_t *link = transport_link_new (transport, -1, false);
  struct sockaddr_in to;
  int on = 1;

  link->address = *address;
  transport_fill_sockaddr (address, &to);
  if (bufferevent_socket_connect (link->stream, (struct sockaddr *)&to,
                                  sizeof to)
      != 0)
    {
      transport_link_free (link);
      return NULL;
    }
  setsockopt (bufferevent_getfd (link->stream), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
  return link;
}

static ca_peer_link_t *
transport_link_find (const ca_peer_transport_t *transport,
                     const ca_address_t *address)
{
  ca_peer_link_t *link;

  TAILQ_FOREACH (link, &transport->links, entries)
  {
    if (!link->incoming && link->address.ip == address->ip
        && link->address.port == address->port)
      return link;
  }
  return NULL;
}

static bool
transport_link_is_stalled (const ca_peer_link_t *link, uint64_t now_us)
{
  return link->unacked_frames > 0
         && now_us - link->unacked_since_us > LINK_ACK_TIMEOUT_US;
}

/* Closes a link on which nothing was acknowledged in time. */
static void
transport_link_close_stalled (ca_peer_link_t *link, uint64_t now_us)
{
  const ca_peer_transport_handler_t *handler = &link->transport->handler;

  if (handler->on_stalled != NULL)
    handler->on_stalled (
        handler->context, &link->address, now_us - link->unacked_since_us,
        link->unacked_frames,
        evbuffer_get_length (bufferevent_get_output (link->stream)));
  transport_link_free (link);
}

size_t
ca_peer_transport_send (ca_peer_transport_t *transport,
                        const ca_address_t *address,
                        const Camphor__Envelope *envelope)
{
  ca_peer_link_t *link = transport_link_find (transport, address);
  struct evbuffer *output;
  size_t bytes = ca_frame_bytes (envelope);
  uint64_t now_us = ca_clock_now_us ();
  uint8_t *frame;

  if (link != NULL && transport_link_is_stalled (link, now_us))
    {
      transport_link_close_stalled (link, now_us);
      link = NULL;
    }
  if (link == NULL)
    link = transport_link_connect (transport, address);
  if (link == NULL)
    return 0;
  output = bufferevent_get_output (link->stream);
  if (evbuffer_get_length (output) + bytes > LINK_QUEUE_MAX_BYTES)
    return 0;
  frame = malloc (bytes);
  ca_frame_pack (envelope, frame);
  evbuffer_add (output, frame, bytes);
  free (frame);
  link->last_used_us = now_us;
  if (link->unacked_frames++ == 0)
    link->unacked_since_us = now_us;
  return bytes;
}

/* Closes the links that are stalled or idle. */
static void
transport_on_sweep (evutil_socket_t fd, short what, void *context)
{
  ca_peer_transport_t *transport = context;
  uint64_t now_us = ca_clock_now_us ();
  ca_peer_link_t *link = TAILQ_FIRST (&transport->links);

  (void)fd;
  (void)what;
  while (link != NULL)
    {
      ca_peer_link_t *next = TAILQ_NEXT (link, entries);

      if (transport_link_is_stalled (link, now_us))
        transport_link_close_stalled (link, now_us);
      else if (now_us - link->last_used_us > LINK_IDLE_TIMEOUT_US)
        transport_link_free (link);
      link = next;
    }
}

bool
ca_peer_transport_init (ca_peer_transport_t *transport,
                        const ca_peer_transport_handler_t *handler,
                        struct event_base *base, const ca_address_t *listen,
                        ca_error_t *error)
{
  struct timeval period = { SWEEP_PERIOD_S, 0 };
  struct sockaddr_in at;

  memset (transport, 0, sizeof *transport);
  transport->handler = *handler;
  transport->limits.max_links = LINKS_MAX;
  transport->limits.max_input_bytes = LINKS_MAX_INPUT_BYTES;
  transport->base = base;
  TAILQ_INIT (&transport->links);
  transport_fill_sockaddr (listen, &at);
  transport->listener
      = evconnlistener_new_bind (base, transport_on_accept, transport,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                 (struct sockaddr *)&at, sizeof at);
  if (transport->listener == NULL)
    {
      ca_error_set (error, CA_ERROR_IO,
                    "--peers: cannot listen on the address; choose another or "
                    "stop the process that uses it");
      return false;
    }
  transport->sweep
      = event_new (base, -1, EV_PERSIST, transport_on_sweep, transport);
  event_add (transport->sweep, &period);
  return true;
}

void
ca_peer_transport_finish (ca_peer_transport_t *transport)
{
  if (transport->listener == NULL)
    return;
  evconnlistener_free (transport->listener);
  event_free (transport->sweep);
  while (!TAILQ_EMPTY (&transport->links))
    transport_link_free (TAILQ_FIRST (&transport->links));
}
