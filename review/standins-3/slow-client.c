/* Client on a link of limited bandwidth: sends one request and reads its answer
 * at a fixed rate.
 *
 *   slow-client --port N --path P --id ID --deadline-ms N --rate BYTES_PER_S
 *
 * Prints one line: the id, the status, the length that the answer announces,
 * the bytes of its body that arrived, "complete" or how the connection ended,
 * and the time from the request to that.  Its segments have the size of those
 * on Ethernet; on loopback larger ones would let the kernel queue megabytes. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CLIENT_SEGMENT_BYTES 1460
#define CLIENT_WINDOW_BYTES (64 * 1024)
#define CLIENT_STEP_MS 10
#define CLIENT_HEAD_BYTES 8192

static const char *
client_argument (int argc, char **argv, const char *name,
                 const char *default_value)
{
  for (int i = 1; i + 1 < argc; i++)
    {
      if (strncmp (argv[i], "--", 2) == 0 && strcmp (argv[i] + 2, name) == 0)
        return argv[i + 1];
    }
  return default_value;
}

static uint64_t
client_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static int
client_connect (uint16_t port)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int segment = CLIENT_SEGMENT_BYTES;
  int window = CLIENT_WINDOW_BYTES;
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    return -1;
  return fd;
}

/* Value of a header field that is a number; -1 if it is missing. */
static long long
client_number (const char *head, const char *name)
{
  const char *at = strcasestr (head, name);

  return at == NULL ? -1 : strtoll (at + strlen (name), NULL, 10);
}

int
main (int argc, char **argv)
{
  uint16_t port
      = (uint16_t)strtoul (client_argument (argc, argv, "port", "0"), NULL, 10);
  const char *id = client_argument (argc, argv, "id", "0");
  size_t rate
      = strtoul (client_argument (argc, argv, "rate", "1000000"), NULL, 10);
  size_t step = rate * CLIENT_STEP_MS / 1000;
  char *buffer = malloc (step);
  char head[CLIENT_HEAD_BYTES + 1] = "";
  size_t head_bytes = 0;
  long long body_bytes = 0;
  long long length = -1;
  bool has_head = false;
  const char *end = "complete";
  int fd = client_connect (port);
  uint64_t started_ms = client_now_ms ();

  if (fd < 0)
    {
      printf ("%s 0 -1 0 unreachable 0\n", id);
      free (buffer);
      return 1;
    }
  dprintf (fd,
           "POST %s HTTP/1.1\r\nHost: host.example\r\n"
           "Camphorarch-Attempt-Id: %s\r\nAuthorization: Bearer k1\r\n"
           "Camphorarch-Deadline-Remaining: %s\r\nContent-Length: 1\r\n\r\nx",
           client_argument (argc, argv, "path", "/"), id,
           client_argument (argc, argv, "deadline-ms", "8000"));
  while (!has_head || length < 0 || body_bytes < length)
    {
      ssize_t count = recv (fd, buffer, step, 0);
      char *split;

      if (count <= 0)
        {
          end = count == 0 ? "ended" : strerrorname_np (errno);
          break;
        }
      if (has_head)
        body_bytes += count;
      else
        {
          size_t kept = (size_t)count < CLIENT_HEAD_BYTES - head_bytes
                            ? (size_t)count
                            : CLIENT_HEAD_BYTES - head_bytes;

          memcpy (head + head_bytes, buffer, kept);
          head_bytes += kept;
          head[head_bytes] = '\0';
          split = strstr (head, "\r\n\r\n");
          if (split != NULL)
            {
              has_head = true;
              body_bytes = (long long)(head_bytes - (size_t)(split + 4 - head))
                           + (count - (ssize_t)kept);
              *split = '\0';
              length = client_number (head, "\ncontent-length:");
            }
        }
      usleep (CLIENT_STEP_MS * 1000);
    }
  printf ("%s %ld %lld %lld %s %llu\n", id,
          has_head ? strtol (head + strlen ("HTTP/1.1 "), NULL, 10) : 0, length,
          body_bytes, end, (unsigned long long)(client_now_ms () - started_ms));
  close (fd);
  free (buffer);
  return 0;
}
