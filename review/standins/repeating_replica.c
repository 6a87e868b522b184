/* Stand-in for a faulty endpoint: some of its answers are followed by a second
 * copy, which arrives where the answer to the next request on the connection is
 * expected, and names no request.
 *
 *   repeating-replica --id ID --port N --runs FILE --work-ms N --every N
 *
 * Each N-th answer is repeated; with 0 none is.  Appends a line to FILE for
 * each run: "run ID REQUEST PATH WORKSPACE KEY", and one for each copy: "extra
 * ID REQUEST", with the request whose answer it repeats. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX_BYTES 16384
#define TEXT_MAX_BYTES 512
#define FIELD_MAX_BYTES 64
#define BACKLOG 128
#define US_PER_MS 1000

typedef struct
{
  const char *id;
  unsigned work_ms;
  unsigned every; /* 0: no answer is repeated */
  int runs_fd;
  unsigned answers;
  pthread_mutex_t lock;
} replica_t;

typedef struct
{
  char request[FIELD_MAX_BYTES];
  char expected[FIELD_MAX_BYTES];
  char workspace[FIELD_MAX_BYTES];
  char key[FIELD_MAX_BYTES];
  char path[FIELD_MAX_BYTES];
  size_t body_bytes;
} head_t;

static replica_t replica = { .lock = PTHREAD_MUTEX_INITIALIZER };

static const char *
argument (int argc, char **argv, const char *name)
{
  for (int i = 1; i + 1 < argc; i++)
    {
      if (strcmp (argv[i], name) == 0)
        return argv[i + 1];
    }
  return "0";
}

static void
write_all (int fd, const char *text)
{
  size_t bytes = strlen (text);
  size_t used = 0;

  while (used < bytes)
    {
      ssize_t count = write (fd, text + used, bytes - used);

      if (count <= 0)
        return;
      used += (size_t)count;
    }
}

/* Copies a header field, or "-" if it is missing. */
static void
read_field (const char *head, const char *name, char *value)
{
  const char *at = strcasestr (head, name);

  value[0] = '-';
  value[1] = '\0';
  if (at != NULL)
    sscanf (at + strlen (name), ": %63[^\r\n]", value);
}

/* Reads bytes until the head is complete; false at the end of the connection.
 */
static bool
read_head (int fd, head_t *head)
{
  char text[HEAD_MAX_BYTES];
  char length[FIELD_MAX_BYTES];
  size_t used = 0;

  do
    {
      if (used + 1 == sizeof text || read (fd, text + used, 1) != 1)
        return false;
      text[++used] = '\0';
    }
  while (used < 4 || strcmp (text + used - 4, "\r\n\r\n") != 0);
  sscanf (text, "%*s %63s", head->path);
  read_field (text, "\r\nCamphorarch-Attempt-Id", head->request);
  read_field (text, "\r\nCamphorarch-Expected-Replica", head->expected);
  read_field (text, "\r\nCamphorarch-Tenant", head->workspace);
  read_field (text, "\r\nAuthorization", head->key);
  read_field (text, "\r\nContent-Length", length);
  head->body_bytes = strtoul (length, NULL, 10);
  return true;
}

static bool
read_body (int fd, size_t bytes)
{
  char byte;

  for (size_t i = 0; i < bytes; i++)
    {
      if (read (fd, &byte, 1) != 1)
        return false;
    }
  return true;
}

/* Writes an answer to `request`; a second copy does not name it. */
static void
write_answer (int fd, const char *request, bool is_copy)
{
  char body[TEXT_MAX_BYTES];
  char text[4 * TEXT_MAX_BYTES];
  char name[TEXT_MAX_BYTES] = "";

  snprintf (body, sizeof body, "answer to %s\n", request);
  if (!is_copy)
    snprintf (name, sizeof name, "Camphorarch-Attempt-Id: %s\r\n", request);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\n%sCamphorarch-Replica-Signature: %s.%s\r\n"
            "Keep-Alive: timeout=5\r\nContent-Length: %zu\r\n\r\n%s",
            name, replica.id, request, strlen (body), body);
  write_all (fd, text);
}

static void
write_line (const char *text)
{
  write_all (replica.runs_fd, text);
}

/* True if the answer that was just sent is to be repeated. */
static bool
is_repeated (void)
{
  bool repeated;

  pthread_mutex_lock (&replica.lock);
  replica.answers++;
  repeated = replica.every > 0 && replica.answers % replica.every == 0;
  pthread_mutex_unlock (&replica.lock);
  return repeated;
}

static void *
serve (void *context)
{
  int fd = (int)(intptr_t)context;
  char owed[FIELD_MAX_BYTES] = "";
  char line[TEXT_MAX_BYTES];
  head_t head;

  while (read_head (fd, &head) && read_body (fd, head.body_bytes))
    {
      if (strcmp (head.expected, replica.id) != 0)
        {
          snprintf (line, sizeof line,
                    "HTTP/1.1 421 Misdirected Request\r\n"
                    "Camphorarch-Attempt-Id: %s\r\n"
                    "Camphorarch-Not-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n",
                    head.request);
          write_all (fd, line);
          continue;
        }
      if (owed[0] != '\0')
        {
          snprintf (line, sizeof line, "extra %s %s\n", replica.id, owed);
          write_line (line);
          write_answer (fd, owed, true);
          owed[0] = '\0';
        }
      snprintf (line, sizeof line, "run %s %s %s %s %s\n", replica.id,
                head.request, head.path, head.workspace, head.key);
      write_line (line);
      usleep (replica.work_ms * US_PER_MS);
      write_answer (fd, head.request, false);
      if (is_repeated ())
        memcpy (owed, head.request, sizeof owed);
    }
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  signal (SIGPIPE, SIG_IGN);
  replica.id = argument (argc, argv, "--id");
  replica.work_ms
      = (unsigned)strtoul (argument (argc, argv, "--work-ms"), NULL, 10);
  replica.every
      = (unsigned)strtoul (argument (argc, argv, "--every"), NULL, 10);
  replica.runs_fd = open (argument (argc, argv, "--runs"),
                          O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  at.sin_port
      = htons ((uint16_t)strtoul (argument (argc, argv, "--port"), NULL, 10));
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (replica.runs_fd < 0
      || bind (listener, (struct sockaddr *)&at, sizeof at) != 0
      || listen (listener, BACKLOG) != 0)
    {
      perror ("repeating-replica");
      exit (1);
    }
  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      pthread_t thread;

      if (fd < 0
          || pthread_create (&thread, NULL, serve, (void *)(intptr_t)fd) != 0)
        exit (1);
      pthread_detach (thread);
    }
}
