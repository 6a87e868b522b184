/* Callers that ask on and do not read their answers.
 *
 *   unreaders --port N --key K --path P --count N --requests N --more N
 *             --last P --gap-ms N --hold-ms N --tag T
 *
 * --count channels are opened, --gap-ms apart.  On each, --requests requests
 * for --path are sent, on each further channel --more requests more, and then
 * one for --last if it is given.  No answer is read.  Prints "asked" once all
 * requests were sent or can't be sent for now, and keeps the channels for
 * --hold-ms more. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define UNREADERS_MAX 512

/* Small, so that unread answers stay with the entry. */
#define UNREADERS_RECEIVE_BYTES 4096

/* Requests that can't be sent for this long stay unsent. */
#define UNREADERS_STALL_MS 1000

typedef struct
{
  int fd;
  char *text; /* the requests */
  size_t bytes;
  size_t sent;
} unreader_t;

static unreader_t unreaders[UNREADERS_MAX];

static const char *
unreaders_argument (int argc, char **argv, const char *name, const char *value)
{
  for (int i = 1; i + 1 < argc; i += 2)
    {
      if (strncmp (argv[i], "--", 2) == 0 && strcmp (argv[i] + 2, name) == 0)
        return argv[i + 1];
    }
  return value;
}

static int
unreaders_number (int argc, char **argv, const char *name, const char *value)
{
  return atoi (unreaders_argument (argc, argv, name, value));
}

static void
unreaders_sleep (int wait_ms)
{
  const struct timespec wait
      = { wait_ms / 1000, (long)(wait_ms % 1000) * 1000000 };

  nanosleep (&wait, NULL);
}

/* Appends a request. */
static void
unreader_add (unreader_t *unreader, const char *key, const char *path,
              const char *tag, int client, int number)
{
  char text[512];
  int bytes = snprintf (text, sizeof text,
                        "POST %s HTTP/1.1\r\nHost: host.example\r\n"
                        "Authorization: Bearer %s\r\n"
                        "Camphorarch-Attempt-Id: %s-%d-%d\r\n"
                        "Camphorarch-Deadline-Remaining: 8000\r\n"
                        "Content-Length: 1\r\n\r\nx",
                        path, key, tag, client, number);

  unreader->text = realloc (unreader->text, unreader->bytes + (size_t)bytes);
  memcpy (unreader->text + unreader->bytes, text, (size_t)bytes);
  unreader->bytes += (size_t)bytes;
}

static void
unreader_connect (unreader_t *unreader, int port)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                            .sin_port = htons ((uint16_t)port) };
  int window = UNREADERS_RECEIVE_BYTES;

  unreader->fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (unreader->fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  if (connect (unreader->fd, (struct sockaddr *)&to, sizeof to) != 0)
    {
      printf ("not connected: %s\n", strerror (errno));
      exit (1);
    }
  fcntl (unreader->fd, F_SETFL, O_NONBLOCK);
}

/* Sends what the channel takes. */
static void
unreader_send (unreader_t *unreader)
{
  ssize_t count;

  while (unreader->sent < unreader->bytes
         && (count = send (unreader->fd, unreader->text + unreader->sent,
                           unreader->bytes - unreader->sent, MSG_NOSIGNAL))
                > 0)
    unreader->sent += (size_t)count;
}

/* Sends all requests, until none can be sent for long. */
static void
unreaders_send (int count)
{
  struct pollfd polled[UNREADERS_MAX];
  int waiting;

  do
    {
      waiting = 0;
      for (int i = 0; i < count; i++)
        {
          if (unreaders[i].sent == unreaders[i].bytes)
            continue;
          polled[waiting].fd = unreaders[i].fd;
          polled[waiting++].events = POLLOUT;
        }
      if (waiting == 0
          || poll (polled, (nfds_t)waiting, UNREADERS_STALL_MS) <= 0)
        return;
      for (int i = 0; i < count; i++)
        unreader_send (&unreaders[i]);
    }
  while (waiting > 0);
}

int
main (int argc, char **argv)
{
  const char *key = unreaders_argument (argc, argv, "key", "k1");
  const char *path = unreaders_argument (argc, argv, "path", "/again/x");
  const char *last = unreaders_argument (argc, argv, "last", "");
  const char *tag = unreaders_argument (argc, argv, "tag", "u");
  int port = unreaders_number (argc, argv, "port", "0");
  int count = unreaders_number (argc, argv, "count", "1");
  int requests = unreaders_number (argc, argv, "requests", "1");
  int more = unreaders_number (argc, argv, "more", "0");

  for (int i = 0; i < count && i < UNREADERS_MAX; i++)
    {
      int own = requests + i * more;

      for (int k = 0; k < own; k++)
        unreader_add (&unreaders[i], key, path, tag, i, k);
      if (last[0] != '\0')
        unreader_add (&unreaders[i], key, last, tag, i, own);
      unreader_connect (&unreaders[i], port);
      unreader_send (&unreaders[i]);
      unreaders_sleep (unreaders_number (argc, argv, "gap-ms", "0"));
    }
  unreaders_send (count);
  puts ("asked");
  fflush (stdout);
  unreaders_sleep (unreaders_number (argc, argv, "hold-ms", "1000"));
  return 0;
}
