/* Clients outside the limits, which send what no well-behaved client does and
 * keep their connections open.
 *
 *   site-hostile --port N --clients N --form FORM --limit BYTES
 *
 * Prints "sent OPEN CLOSED" once each client has sent all it has to send, can
 * send no more or was closed, and keeps the connections until it is killed.
 * --limit is the limit of the server on a body.  No client reads an answer. */
#include "tests/site/site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOSTILE_MAX_CLIENTS 512
#define HOSTILE_PIECE_BYTES 100000

/* Multiple of the body limit after which a body without end is given up. */
#define HOSTILE_ENDLESS_FACTOR 4

/* So that unread answers stay with the server. */
#define HOSTILE_RECEIVE_BYTES 4096

#define HOSTILE_TRICKLE_MS 1000

/* A client that can send nothing for this long counts as having sent all. */
#define HOSTILE_STALL_MS 2000

/* Below the maximum of a frame, 8 MB. */
#define HOSTILE_FRAME_BYTES 7000000

typedef enum
{
  PIECE_TEXT,  /* the form's text */
  PIECE_PLAIN, /* HOSTILE_PIECE_BYTES */
  PIECE_CHUNK  /* the same as a chunk */
} piece_kind_t;

/* How many pieces are sent. */
typedef enum
{
  COUNT_FIXED,
  COUNT_BELOW_LIMIT, /* the body stays one piece below the limit */
  COUNT_ENDLESS      /* HOSTILE_ENDLESS_FACTOR times the limit */
} count_kind_t;

/* Length that is announced before the pieces. */
typedef enum
{
  ANNOUNCES_NONE,
  ANNOUNCES_LIMIT, /* Content-Length: the body limit */
  ANNOUNCES_FRAME  /* header of a frame between entries */
} announces_t;

/* What the clients of a form send: a head, and then a piece again and again. */
typedef struct
{
  const char *name;
  const char *target; /* NULL: no head */
  const char *header_fields;
  announces_t announces;
  piece_kind_t piece;
  const char *text;
  count_kind_t count;
  size_t pieces; /* for COUNT_FIXED */
  bool trickles; /* one piece each HOSTILE_TRICKLE_MS */
} form_t;

#define ID_FIELD "Camphorarch-Attempt-Id: hostile\r\n"
#define KEY_FIELD "Authorization: Bearer k1\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

static const form_t forms[] = {
  { "large-chunks", "/again/x", ID_FIELD KEY_FIELD CHUNKED, ANNOUNCES_NONE,
    PIECE_CHUNK, NULL, COUNT_BELOW_LIMIT, 0, false },
  { "kept-back", "/again/x", ID_FIELD KEY_FIELD "\r\n", ANNOUNCES_LIMIT,
    PIECE_PLAIN, NULL, COUNT_BELOW_LIMIT, 0, false },
  { "tiny-chunks", "/again/x", ID_FIELD KEY_FIELD CHUNKED, ANNOUNCES_NONE,
    PIECE_TEXT, "1\r\na\r\n", COUNT_FIXED, 600000, false },
  { "terabyte", "/again/x",
    ID_FIELD KEY_FIELD "Content-Length: 1000000000000\r\n\r\n", ANNOUNCES_NONE,
    PIECE_PLAIN, NULL, COUNT_ENDLESS, 0, false },
  { "endless-chunks", "/again/x", ID_FIELD KEY_FIELD CHUNKED, ANNOUNCES_NONE,
    PIECE_CHUNK, NULL, COUNT_ENDLESS, 0, false },
  { "no-route", "/nowhere/x", ID_FIELD KEY_FIELD CHUNKED, ANNOUNCES_NONE,
    PIECE_CHUNK, NULL, COUNT_BELOW_LIMIT, 0, false },
  { "no-key", "/again/x", ID_FIELD "Authorization: Bearer nobody\r\n" CHUNKED,
    ANNOUNCES_NONE, PIECE_CHUNK, NULL, COUNT_BELOW_LIMIT, 0, false },
  { "no-id", "/again/x", KEY_FIELD CHUNKED, ANNOUNCES_NONE, PIECE_CHUNK, NULL,
    COUNT_BELOW_LIMIT, 0, false },
  { "trickle", "/again/x", ID_FIELD KEY_FIELD CHUNKED, ANNOUNCES_NONE,
    PIECE_TEXT, "1\r\na\r\n", COUNT_FIXED, 1000000, true },
  { "open-head", "/again/x", "X-Long: ", ANNOUNCES_NONE, PIECE_TEXT,
    "aaaaaaaaaa", COUNT_FIXED, 1500, false },
  { "silent", NULL, "", ANNOUNCES_NONE, PIECE_TEXT, "", COUNT_FIXED, 0, false },
  { "pipelined", NULL, "", ANNOUNCES_NONE, PIECE_TEXT,
    "GET /metrics HTTP/1.1\r\nHost: host.example\r\n\r\n", COUNT_FIXED, 4000,
    false },
  { "unread", NULL, "", ANNOUNCES_NONE, PIECE_TEXT,
    "POST /again/x HTTP/1.1\r\nHost: host.example\r\n" ID_FIELD KEY_FIELD
    "Content-Length: 1\r\n\r\nx",
    COUNT_FIXED, 10, false },
  /* A frame between entries of 7 MB, which its sender does not end. */
  { "open-frame", NULL, "", ANNOUNCES_FRAME, PIECE_PLAIN, NULL, COUNT_FIXED, 69,
    false },
};

typedef struct
{
  int fd;
  struct event *writable;
  struct event *timer;
  const char *text; /* being sent */
  size_t text_bytes;
  size_t pieces_left;
  bool sent;
  bool closed;
} client_t;

typedef struct
{
  const form_t *form;
  char head[512];
  size_t head_bytes;
  char *piece;
  size_t piece_bytes;
  size_t pieces;
  client_t clients[HOSTILE_MAX_CLIENTS];
  size_t client_count;
  size_t done;
} hostile_t;

static hostile_t hostile;

/* Counts a client that has sent everything; reports once all have. */
static void
client_done (client_t *client)
{
  size_t closed = 0;

  if (client->sent)
    return;
  client->sent = true;
  if (++hostile.done < hostile.client_count)
    return;
  for (size_t i = 0; i < hostile.client_count; i++)
    closed += hostile.clients[i].closed;
  printf ("sent %zu %zu\n", hostile.client_count - closed, closed);
  fflush (stdout);
}

static void
client_close (client_t *client)
{
  event_del (client->writable);
  event_del (client->timer);
  close (client->fd);
  client->closed = true;
  client_done (client);
}

/* Continues with the next piece; false if there is none to send now. */
static bool
client_next_piece (client_t *client)
{
  const struct timeval pause
      = { HOSTILE_TRICKLE_MS / 1000, (HOSTILE_TRICKLE_MS % 1000) * 1000 };

  if (client->pieces_left == 0)
    {
      client_done (client);
      return false;
    }
  client->pieces_left--;
  client->text = hostile.piece;
  client->text_bytes = hostile.piece_bytes;
  if (!hostile.form->trickles)
    return true;
  client_done (client);
  event_add (client->timer, &pause);
  return false;
}

/* Sends until the connection takes no more. */
static void
client_send (evutil_socket_t fd, short what, void *context)
{
  const struct timeval stall
      = { HOSTILE_STALL_MS / 1000, (HOSTILE_STALL_MS % 1000) * 1000 };
  client_t *client = context;

  (void)fd;
  if (what == EV_TIMEOUT && client->text_bytes > 0)
    client_done (client);
  while (client->text_bytes > 0 || client_next_piece (client))
    {
      ssize_t count = send (client->fd, client->text, client->text_bytes,
                            MSG_NOSIGNAL | MSG_DONTWAIT);

      if (count < 0 && errno == EAGAIN)
        {
          event_add (client->writable, &stall);
          return;
        }
      if (count < 0)
        {
          client_close (client);
          return;
        }
      client->text += count;
      client->text_bytes -= (size_t)count;
    }
}

static void
client_start (client_t *client, struct event_base *base, uint16_t port)
{
  const ca_address_t address = site_loopback (port);
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (address.ip),
                            .sin_port = htons (port) };
  int receive_bytes = HOSTILE_RECEIVE_BYTES;

  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  setsockopt (client->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
              sizeof receive_bytes);
  client->writable
      = event_new (base, client->fd, EV_WRITE, client_send, client);
  client->timer = evtimer_new (base, client_send, client);
  client->text = hostile.head;
  client->text_bytes = hostile.head_bytes;
  client->pieces_left = hostile.pieces;
  if (connect (client->fd, (struct sockaddr *)&to, sizeof to) != 0
      && errno != EINPROGRESS)
    client_close (client);
  else
    event_add (client->writable, NULL);
}

/* Prepares what all clients send. */
static void
hostile_prepare (size_t limit)
{
  const form_t *form = hostile.form;
  size_t used = 0;

  if (form->target != NULL)
    used = (size_t)snprintf (hostile.head, sizeof hostile.head,
                             "POST %s HTTP/1.1\r\nHost: host.example\r\n",
                             form->target);
  if (form->announces == ANNOUNCES_LIMIT)
    used += (size_t)snprintf (hostile.head + used, sizeof hostile.head - used,
                              "Content-Length: %zu\r\n", limit);
  used += (size_t)snprintf (hostile.head + used, sizeof hostile.head - used,
                            "%s", form->header_fields);
  if (form->announces == ANNOUNCES_FRAME)
    {
      const uint32_t frame_bytes = htonl (HOSTILE_FRAME_BYTES);

      memcpy (hostile.head + used, &frame_bytes, sizeof frame_bytes);
      used += sizeof frame_bytes;
    }
  hostile.head_bytes = used;
  hostile.piece = calloc (1, HOSTILE_PIECE_BYTES + 64);
  if (form->piece == PIECE_TEXT)
    strlcpy (hostile.piece, form->text, HOSTILE_PIECE_BYTES);
  if (form->piece == PIECE_CHUNK)
    sprintf (hostile.piece, "%x\r\n", HOSTILE_PIECE_BYTES);
  hostile.piece_bytes = strlen (hostile.piece);
  if (form->piece != PIECE_TEXT)
    {
      memset (hostile.piece + hostile.piece_bytes, 'a', HOSTILE_PIECE_BYTES);
      hostile.piece_bytes += HOSTILE_PIECE_BYTES;
    }
  if (form->piece == PIECE_CHUNK)
    {
      memcpy (hostile.piece + hostile.piece_bytes, "\r\n", 2);
      hostile.piece_bytes += 2;
    }
  hostile.pieces = form->pieces;
  if (form->count == COUNT_BELOW_LIMIT)
    hostile.pieces = limit / HOSTILE_PIECE_BYTES - 1;
  if (form->count == COUNT_ENDLESS)
    hostile.pieces = HOSTILE_ENDLESS_FACTOR * limit / HOSTILE_PIECE_BYTES;
}

int
main (int argc, char **argv)
{
  const char *name = site_argument (argc, argv, "form", "");
  uint16_t port = (uint16_t)atoi (site_argument (argc, argv, "port", "0"));
  size_t limit = (size_t)atol (site_argument (argc, argv, "limit", "4194304"));
  struct event_base *base = event_base_new ();

  for (size_t i = 0; i < sizeof forms / sizeof forms[0]; i++)
    {
      if (strcmp (forms[i].name, name) == 0)
        hostile.form = &forms[i];
    }
  hostile.client_count
      = (size_t)atoi (site_argument (argc, argv, "clients", "0"));
  if (hostile.form == NULL || hostile.client_count == 0
      || hostile.client_count > HOSTILE_MAX_CLIENTS)
    {
      fprintf (stderr, "--form or --clients is not valid\n");
      return 64;
    }
  hostile_prepare (limit);
  for (size_t i = 0; i < hostile.client_count; i++)
    client_start (&hostile.clients[i], base, port);
  event_base_loop (base, EVLOOP_NO_EXIT_ON_EMPTY);
  return 0;
}
