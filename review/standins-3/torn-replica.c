/* Stand-in for a faulty endpoint: the head of an answer stops, and then a late
 * copy of the connection's previous answer follows.
 *
 *   torn-replica --id ID --service S --zone Z --port N --store N --runs FILE
 *                --every N --on-s N --off-s N
 *
 * Registers itself in the store and answers each request with "answer to ID".
 * One answer in N, from the second on a connection on, is torn: its head stops
 * at any place, and the previous answer is written once more after that.  0
 * tears none.  This goes on for so many seconds, with pauses between.  Appends
 * a line "run ID REQUEST PATH TENANT KEY" to FILE for each request that runs,
 * and prints one for each torn answer. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <resolv.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define REPLICA_HEAD_BYTES 16384
#define REPLICA_ANSWER_BYTES 512
#define REPLICA_WORK_US 3000
#define REPLICA_LATE_US 20000

typedef struct
{
  const char *id;
  int runs_fd;
  unsigned every;
  unsigned on_s;
  unsigned off_s;
  unsigned answers;
  pthread_mutex_t lock;
} replica_t;

static replica_t replica = { .lock = PTHREAD_MUTEX_INITIALIZER };

static const char *
replica_argument (int argc, char **argv, const char *name,
                  const char *default_value)
{
  for (int i = 1; i + 1 < argc; i++)
    {
      if (strncmp (argv[i], "--", 2) == 0 && strcmp (argv[i] + 2, name) == 0)
        return argv[i + 1];
    }
  return default_value;
}

static void
replica_address (struct sockaddr_in *address, uint16_t port)
{
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons (port);
  address->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
}

/* Copies the value of a header field; "-" if it is missing. */
static void
replica_field (const char *head, const char *name, char *value, size_t bytes)
{
  const char *at = strcasestr (head, name);
  size_t count = 0;

  if (at != NULL)
    {
      at += strlen (name);
      at += strspn (at, " ");
      count = strcspn (at, "\r\n");
    }
  snprintf (value, bytes, "%.*s", at == NULL ? 1 : (int)count,
            at == NULL ? "-" : at);
}

/* Reads a request with its body; false at the end of the connection. */
static bool
replica_read (int fd, char *head)
{
  size_t used = 0;
  size_t wanted = 0;
  char length[32];
  const char *end;

  while (wanted == 0 || used < wanted)
    {
      ssize_t count = recv (fd, head + used, REPLICA_HEAD_BYTES - used, 0);

      if (count <= 0)
        return false;
      used += (size_t)count;
      head[used] = '\0';
      end = strstr (head, "\r\n\r\n");
      if (wanted > 0 || end == NULL)
        continue;
      replica_field (head, "\nContent-Length:", length, sizeof length);
      wanted = (size_t)(end + 4 - head) + strtoul (length, NULL, 10);
    }
  return true;
}

/* True while answers are torn. */
static bool
replica_is_on (void)
{
  unsigned period_s = replica.on_s + replica.off_s;
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return period_s > 0 && (uint64_t)now.tv_sec % period_s < replica.on_s;
}

/* True if this answer is one of those to be torn; sets where. */
static bool
replica_tears (size_t head_bytes, size_t *at)
{
  bool tears;

  pthread_mutex_lock (&replica.lock);
  tears = replica.every > 0 && replica_is_on ()
          && ++replica.answers % replica.every == 0;
  *at = 1 + (size_t)rand () % (head_bytes - 1);
  pthread_mutex_unlock (&replica.lock);
  return tears;
}

static void
replica_log_run (const char *head, const char *id)
{
  char line[1024];
  char path[256] = "";
  char tenant[64];
  char key[64];
  int bytes;

  sscanf (head, "%*s %255s", path);
  replica_field (head, "\nCamphorarch-Tenant:", tenant, sizeof tenant);
  replica_field (head, "\nAuthorization:", key, sizeof key);
  bytes = snprintf (line, sizeof line, "run %s %s %s %s %s\n", replica.id, id,
                    path, tenant, key);
  if (write (replica.runs_fd, line, (size_t)bytes) != bytes)
    abort ();
}

static bool
replica_write (int fd, const char *bytes, size_t count)
{
  return send (fd, bytes, count, MSG_NOSIGNAL) == (ssize_t)count;
}

/* Answers one request; `previous` is the connection's last answer, "" if there
 * is none.  False if the connection is to end. */
static bool
replica_answer (int fd, const char *head, char *previous)
{
  char id[64];
  char expected[64];
  char body[128];
  char answer[REPLICA_ANSWER_BYTES];
  size_t bytes;
  size_t at;

  replica_field (head, "\nCamphorarch-Attempt-Id:", id, sizeof id);
  replica_field (head, "\nCamphorarch-Expected-Replica:", expected,
                 sizeof expected);
  if (strcmp (expected, replica.id) != 0)
    {
      bytes = (size_t)snprintf (answer, sizeof answer,
                                "HTTP/1.1 421 Misdirected Request\r\n"
                                "Camphorarch-Attempt-Id: %s\r\n"
                                "Camphorarch-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n",
                                id);
      return replica_write (fd, answer, bytes);
    }
  replica_log_run (head, id);
  usleep (REPLICA_WORK_US);
  snprintf (body, sizeof body, "answer to %s", id);
  bytes = (size_t)snprintf (answer, sizeof answer,
                            "HTTP/1.1 200 OK\r\n"
                            "Camphorarch-Attempt-Id: %s\r\n"
                            "Camphorarch-Replica-Signature: %s.%s\r\n"
                            "Content-Type: text/plain; charset=utf-8\r\n"
                            "Date: Mon, 07 Dec 2026 19:00:00 GMT\r\n"
                            "Content-Length: %zu\r\n\r\n%s",
                            id, replica.id, id, strlen (body), body);
  if (previous[0] == '\0' || !replica_tears (bytes - strlen (body), &at))
    {
      snprintf (previous, REPLICA_ANSWER_BYTES, "%s", answer);
      return replica_write (fd, answer, bytes);
    }
  printf ("torn: the answer to %s after %zu bytes of its head\n", id, at);
  if (!replica_write (fd, answer, at))
    return false;
  usleep (REPLICA_LATE_US);
  return replica_write (fd, previous, strlen (previous));
}

static void *
replica_serve (void *context)
{
  int fd = (int)(intptr_t)context;
  char *head = malloc (REPLICA_HEAD_BYTES + 1);
  char previous[REPLICA_ANSWER_BYTES] = "";

  while (replica_read (fd, head) && replica_answer (fd, head, previous))
    continue;
  close (fd);
  free (head);
  return NULL;
}

/* Writes the endpoint's record to the store. */
static bool
replica_register (int argc, char **argv, uint16_t port, uint16_t store)
{
  char record[512];
  char value[1024];
  char body[2048];
  char answer[256] = "";
  struct sockaddr_in to;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int bytes = snprintf (
      record, sizeof record,
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
      "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
      "\"cold_remaining_ms\":0,\"sequence\":1}",
      replica_argument (argc, argv, "service", "api"), (unsigned)port,
      replica_argument (argc, argv, "zone", "z1"));
  bool done;

  b64_ntop ((const unsigned char *)record, (size_t)bytes, value, sizeof value);
  bytes = snprintf (
      body, sizeof body,
      "{\"expect\":[],\"write\":[{\"table_name\":\"servers\",\"part\":\"\","
      "\"key\":\"%s\",\"value\":\"%s\"}],\"removals\":[]}",
      replica.id, value);
  replica_address (&to, store);
  done = connect (fd, (struct sockaddr *)&to, sizeof to) == 0
         && dprintf (fd,
                     "POST /v1/rows-tx HTTP/1.1\r\nHost: x\r\n"
                     "Connection: close\r\nContent-Length: %d\r\n\r\n%s",
                     bytes, body)
                > 0
         && recv (fd, answer, sizeof answer - 1, 0) > 0
         && strstr (answer, " 200 ") != NULL;
  close (fd);
  return done;
}

static uint16_t
replica_port (int argc, char **argv, const char *name)
{
  return (uint16_t)strtoul (replica_argument (argc, argv, name, "0"), NULL, 10);
}

int
main (int argc, char **argv)
{
  uint16_t port = replica_port (argc, argv, "port");
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  struct sockaddr_in at;

  setvbuf (stdout, NULL, _IOLBF, 0);
  replica.id = replica_argument (argc, argv, "id", "i-1");
  replica.every = replica_port (argc, argv, "every");
  replica.on_s = replica_port (argc, argv, "on-s");
  replica.off_s = replica_port (argc, argv, "off-s");
  replica.runs_fd = open (replica_argument (argc, argv, "runs", "/dev/null"),
                          O_WRONLY | O_APPEND | O_CREAT, 0600);
  srand (port);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  replica_address (&at, port);
  if (bind (listener, (struct sockaddr *)&at, sizeof at) != 0
      || listen (listener, SOMAXCONN) != 0
      || !replica_register (argc, argv, port,
                            replica_port (argc, argv, "store")))
    {
      close (listener);
      return 1;
    }
  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      pthread_t thread;

      if (fd < 0)
        continue;
      if (pthread_create (&thread, NULL, replica_serve, (void *)(intptr_t)fd)
          == 0)
        pthread_detach (thread);
      else
        close (fd);
    }
}
