/* HTTP client connections: connecting, sending, receiving and reuse. */
#include "http/client.h"

#include "base/clock_source.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <xxhash.h>

#define CLIENT_MAX_HEAD_BYTES (64 * 1024)

/* Interim responses, and those to earlier calls, that are discarded in one
 * call, and the bytes of their bodies.  A server in trouble may send them
 * without end. */
#define CLIENT_MAX_SKIPPED 16
#define CLIENT_MAX_SKIPPED_BYTES (16 * 1024 * 1024)

/* Idle connections kept per address. */
#define CLIENT_MAX_IDLE_PER_HOST 8

/* Idle limit for a server that announces no timeout.  Keep-Alive counts in
 * whole seconds, so such a server may close an idle connection in less than a
 * second. */
#define CLIENT_DEFAULT_IDLE_MS 700

/* Subtracted from an announced timeout, to allow for network latency and the
 * server's timer. */
#define CLIENT_IDLE_MARGIN_MS 500
#define CLIENT_MAX_IDLE_MS 20000

/* A response that is slower than this on average is given up at its timeout. */
#define CLIENT_MIN_BYTES_PER_MS 64

/* Read at a time after an error. */
#define CLIENT_READ_BYTES 65536

/* A connection whose peer acknowledges nothing for this long is considered
 * dead. */
#define CLIENT_UNACKED_MS 4000
#define CLIENT_KEEPALIVE_S 1

/* A response that may hold the start of another one is complete if nothing
 * follows for so long: the rest of a head arrives with its start, or with the
 * next segment. */
#define CLIENT_REST_WAIT_US (100 * 1000)

/* Identities of responses that a connection keeps, the latest ones. */
#define CLIENT_IDENTITIES 64

/* Idle connections to one address. */
typedef struct ca_http_host
{
  uint64_t key; /* IP address and port */
  struct ca_http_pool_calls idle;
  uint32_t idle_count;
  UT_hash_handle hh;
} ca_http_host_t;

/* A connection and the call that it carries, if any. */
struct ca_http_pool_call
{
  ca_http_pool_t *pool;
  ca_http_host_t *host;
  struct bufferevent *stream;
  struct event *timer;
  struct event *connect_error; /* reports a connect that failed immediately */
  ca_http_reader_t reader;
  ca_http_pool_call_options_t options;
  struct evbuffer *request; /* sent once the connection is established */
  bool idle;
  bool reused; /* the connection has carried another call */
  bool connected;
  bool failed;            /* it cannot carry another call */
  bool skipping;          /* the current response belongs to an earlier call */
  uint32_t skipped;       /* interim and earlier responses of this call */
  size_t skipped_bytes;   /* of their bodies */
  bool response_complete; /* read to its end: the request was received */
  bool cancelled;         /* by one of its own callbacks */
  bool parsing;
  uint64_t connected_us; /* 0: not yet */
  uint64_t started_us;   /* time of the call */
  uint64_t deadline_us;  /* 0: none */
  size_t body_bytes;     /* of the response */
  uint64_t body_us;      /* time of its latest bytes */
  uint64_t idle_since_us;
  uint32_t idle_limit_ms;
  bool awaits_rest; /* complete, but for bytes that may show otherwise */
  /* Hashes of the identity fields of its requests and responses. */
  uint64_t identities[CLIENT_IDENTITIES];
  uint32_t identity_count; /* of all so far */
  TAILQ_ENTRY (ca_http_pool_call) entries;
};

/* Hash key of an address. */
static uint64_t
client_key (const ca_address_t *address)
{
  return ((uint64_t)address->ip << 16) | address->port;
}

/* Returns the host entry of an address, created on first use. */
static ca_http_host_t *
client_host (ca_http_pool_t *pool, const ca_address_t *address)
{
  uint64_t key = client_key (address);
  ca_http_host_t *host = NULL;

  HASH_FIND (hh, pool->hosts, &key, sizeof key, host);
  if (host != NULL)
    return host;
  host = calloc (1, sizeof *host);
  host->key = key;
  TAILQ_INIT (&host->idle);
  HASH_ADD (hh, pool->hosts, key, sizeof host->key, host);
  return host;
}

/* Makes the kernel discard unsent data.  By default it keeps retransmitting
 * after the close, and a request that timed out could still arrive when an
 * interrupted link recovers. */
static void
call_abort (ca_http_pool_call_t *call)
{
  const struct linger none = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (bufferevent_getfd (call->stream), SOL_SOCKET, SO_LINGER, &none,
              sizeof none);
}

/* Closes the connection and frees the call without a callback. */
static void
call_free (ca_http_pool_call_t *call)
{
  if (call->idle)
    {
      TAILQ_REMOVE (&call->host->idle, call, entries);
      call->host->idle_count--;
    }
  else
    {
      TAILQ_REMOVE (&call->pool->busy, call, entries);
      if (!call->response_complete)
        call_abort (call);
    }
  event_free (call->timer);
  event_free (call->connect_error);
  bufferevent_free (call->stream);
  evbuffer_free (call->request);
  ca_http_reader_finish (&call->reader);
  free (call);
}

static void
call_set_timer (ca_http_pool_call_t *call, uint64_t wait_us)
{
  struct timeval wait
      = { (time_t)(wait_us / 1000000), (suseconds_t)(wait_us % 1000000) };

  event_add (call->timer, &wait);
}

/* Closes the connection and reports the outcome of the call. */
static void
call_fail (ca_http_pool_call_t *call, ca_http_outcome_t outcome)
{
  ca_http_pool_call_options_t options = call->options;

  call_free (call);
  options.on_done (options.context, outcome);
}

/* Idle time that the server allows, minus the margin. */
static uint32_t
call_idle_limit_ms (const ca_http_head_t *head)
{
  const char *value = ca_headers_find (&head->headers, "Keep-Alive");
  const char *timeout = value == NULL ? NULL : strcasestr (value, "timeout=");
  long seconds;

  if (timeout == NULL)
    return CLIENT_DEFAULT_IDLE_MS;
  seconds = strtol (timeout + strlen ("timeout="), NULL, 10);
  if (seconds <= 0)
    return 0;
  if (seconds * 1000 > CLIENT_MAX_IDLE_MS)
    return CLIENT_MAX_IDLE_MS;
  return (uint32_t)seconds * 1000 - CLIENT_IDLE_MARGIN_MS;
}

/* True if the connection may carry another call. */
static bool
call_is_reusable (const ca_http_pool_call_t *call)
{
  return call->reader.head.keep_alive && call->reader.head.has_framing
         && !call->failed && call->idle_limit_ms > 0
         && evbuffer_get_length (bufferevent_get_input (call->stream)) == 0
         && evbuffer_get_length (bufferevent_get_output (call->stream)) == 0
         && call->host->idle_count < CLIENT_MAX_IDLE_PER_HOST;
}

/* Reports a complete response and keeps the connection if possible. */
static void
call_complete (ca_http_pool_call_t *call)
{
  ca_http_pool_call_options_t options = call->options;

  call->response_complete = true;
  call->idle_limit_ms = call_idle_limit_ms (&call->reader.head);
  if (!call_is_reusable (call))
    {
      call_free (call);
      options.on_done (options.context, CA_HTTP_OUTCOME_COMPLETE);
      return;
    }
  TAILQ_REMOVE (&call->pool->busy, call, entries);
  TAILQ_INSERT_HEAD (&call->host->idle, call, entries);
  call->host->idle_count++;
  call->idle = true;
  call->idle_since_us = ca_clock_boot_us ();
  call_set_timer (call, (uint64_t)call->idle_limit_ms * 1000);
  memset (&call->options, 0, sizeof call->options);
  ca_http_reader_reset (&call->reader);
  options.on_done (options.context, CA_HTTP_OUTCOME_COMPLETE);
}

/* True if the field is among those that identify a response. */
static bool
call_is_identity (const ca_http_pool_call_t *call, const char *name)
{
  const char *const *field = call->options.identity_fields;

  for (; field != NULL && *field != NULL; field++)
    {
      if (strcasecmp (*field, name) == 0)
        return true;
    }
  return false;
}

/* True if a request or response of the connection has borne the value. */
static bool
call_has_identity (const ca_http_pool_call_t *call, const char *value)
{
  uint64_t hash = XXH3_64bits (value, strlen (value));

  for (uint32_t i = 0; i < CLIENT_IDENTITIES && i < call->identity_count; i++)
    {
      if (call->identities[i] == hash)
        return true;
    }
  return false;
}

/* True if the field names a response of this connection. */
static bool
call_names_response (void *context, const char *name, const char *value)
{
  return call_is_identity (context, name) && call_has_identity (context, value);
}

/* Keeps the identities among the fields of a request or a response. */
static void
call_keep_identities (ca_http_pool_call_t *call, const ca_headers_t *headers)
{
  for (uint32_t i = 0; headers != NULL && i < headers->count; i++)
    {
      const char *value = headers->items[i].value;

      if (call_is_identity (call, headers->items[i].name)
          && !call_names_response (call, headers->items[i].name, value))
        call->identities[call->identity_count++ % CLIENT_IDENTITIES]
            = XXH3_64bits (value, strlen (value));
    }
}

/* Skips interim responses and those that the call's on_head rejects. */
static bool
call_on_head (void *context)
{
  ca_http_pool_call_t *call = context;
  const ca_http_head_t *head = &call->reader.head;
  ca_http_head_action_t action;

  call->skipping = head->status < 200;
  if (call->skipping || call->cancelled)
    return true;
  call_keep_identities (call, &head->headers);
  action = call->options.on_head (call->options.context, head);
  call->skipping = action == CA_HTTP_HEAD_SKIP;
  return action != CA_HTTP_HEAD_REJECT;
}

static bool
call_on_body (void *context, const char *bytes, size_t count)
{
  ca_http_pool_call_t *call = context;

  if (call->cancelled)
    return true;
  if (call->skipping)
    {
      call->skipped_bytes += count;
      return call->skipped_bytes <= CLIENT_MAX_SKIPPED_BYTES;
    }
  call->body_bytes += count;
  call->body_us = ca_clock_boot_us ();
  return call->options.on_body (call->options.context, bytes, count);
}

/* The deadline of a call, later than the one it began with if its response is
 * still arriving. */
static uint64_t
call_extended_deadline_us (const ca_http_pool_call_t *call)
{
  uint64_t stall_us = call->body_us + call->options.stall_timeout_ms * 1000u;
  uint64_t slow_us
      = call->deadline_us + call->body_bytes / CLIENT_MIN_BYTES_PER_MS * 1000u;
  uint64_t extended_us = stall_us < slow_us ? stall_us : slow_us;

  if (call->options.stall_timeout_ms == 0 || call->body_bytes == 0)
    return call->deadline_us;
  return extended_us > call->deadline_us ? extended_us : call->deadline_us;
}

/* Parses responses until the one to this call is complete. */
static ca_http_read_t
call_parse (ca_http_pool_call_t *call)
{
  struct evbuffer *input = bufferevent_get_input (call->stream);
  ca_http_read_t read;

  for (;;)
    {
      read = ca_http_reader_feed (&call->reader, input);
      if (read != CA_HTTP_READ_COMPLETE || !call->skipping)
        return read;
      if (++call->skipped > CLIENT_MAX_SKIPPED)
        return CA_HTTP_READ_MALFORMED;
      ca_http_reader_reset (&call->reader);
      call->reader.response_to_head
          = strcmp (call->options.method, "HEAD") == 0;
      call->skipping = false;
    }
}

/* Awaits the bytes after a complete response that show whether it is whole. */
static void
call_await_rest (ca_http_pool_call_t *call)
{
  struct evbuffer *input = bufferevent_get_input (call->stream);

  evbuffer_drain (input, evbuffer_get_length (input));
  call->awaits_rest = true;
  call->failed = true;
  call_set_timer (call, CLIENT_REST_WAIT_US);
}

/* Handles bytes after a complete response.  Returns false if they have ended
 * the call. */
static bool
call_read_rest (ca_http_pool_call_t *call)
{
  struct evbuffer *input = bufferevent_get_input (call->stream);

  if (ca_http_reader_feed_rest (&call->reader, input))
    call_fail (call, CA_HTTP_OUTCOME_EMBEDDED);
  else if (!ca_http_reader_is_open (&call->reader))
    call_complete (call);
  else
    return true;
  return false;
}

/* Parses the input of a call.  Returns false if that has ended the call. */
static bool
call_read (ca_http_pool_call_t *call)
{
  ca_http_read_t read;

  if (call->awaits_rest)
    return call_read_rest (call);
  call->parsing = true;
  read = call_parse (call);
  call->parsing = false;
  if (call->cancelled)
    call_free (call);
  else if (read == CA_HTTP_READ_COMPLETE
           && ca_http_reader_is_open (&call->reader))
    {
      call_await_rest (call);
      return true;
    }
  else if (read == CA_HTTP_READ_COMPLETE)
    call_complete (call);
  else if (call->reader.embedded.found)
    call_fail (call, CA_HTTP_OUTCOME_EMBEDDED);
  else if (read != CA_HTTP_READ_INCOMPLETE)
    call_fail (call, CA_HTTP_OUTCOME_MALFORMED);
  else
    return true;
  return false;
}

/* Handles input; closes an idle connection that gets any. */
static void
call_on_readable (struct bufferevent *stream, void *context)
{
  ca_http_pool_call_t *call = context;

  (void)stream;
  if (call->idle)
    {
      /* Unsolicited bytes: the connection cannot be reused. */
      call_free (call);
      return;
    }
  call_read (call);
}

static void
call_send_request (ca_http_pool_call_t *call)
{
  bufferevent_write_buffer (call->stream, call->request);
}

/* Disables Nagle's algorithm and makes TCP detect a silent peer. */
static void
call_set_socket_options (ca_http_pool_call_t *call)
{
  evutil_socket_t fd = bufferevent_getfd (call->stream);
  unsigned int unacked_ms = CLIENT_UNACKED_MS;
  int on = 1;
  int probe_s = CLIENT_KEEPALIVE_S;
  int probes = CLIENT_UNACKED_MS / 1000 - 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
              sizeof unacked_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s, sizeof probe_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof probe_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

/* Sets the timer to the rest of the call's timeout, or stops it if there is
 * none. */
static void
call_start_deadline (ca_http_pool_call_t *call)
{
  uint64_t now_us = ca_clock_boot_us ();

  if (call->deadline_us == 0)
    event_del (call->timer);
  else
    call_set_timer (
        call, call->deadline_us > now_us ? call->deadline_us - now_us : 0);
}

/* Ends a call whose connection has ended: in order, or by an error. */
static void
call_on_end (ca_http_pool_call_t *call, bool in_order)
{
  bool complete;

  if (call->awaits_rest)
    {
      call_complete (call);
      return;
    }
  call->parsing = true;
  complete = in_order && !call->skipping && ca_http_reader_eof (&call->reader);
  call->parsing = false;
  if (call->cancelled)
    call_free (call);
  else
    call_fail (call, complete ? CA_HTTP_OUTCOME_COMPLETE
                              : CA_HTTP_OUTCOME_INTERRUPTED);
}

/* Handles an error that the socket reported to a write.  The server may have
 * answered before it has read the request, so what has arrived is read.  The
 * socket reports an error once: the reads end as if the stream had ended in
 * order, which it has only if EPIPE says that its end arrived before a reset.
 */
static void
call_on_write_error (ca_http_pool_call_t *call, int error)
{
  struct evbuffer *input = bufferevent_get_input (call->stream);
  evutil_socket_t fd = bufferevent_getfd (call->stream);
  int count;

  call->failed = true;
  do
    {
      evbuffer_unfreeze (input, 0);
      count = evbuffer_read (input, fd, CLIENT_READ_BYTES);
      evbuffer_freeze (input, 0);
      if (count > 0 && !call_read (call))
        return;
    }
  while (count > 0);
  call_on_end (call, error == EPIPE && count == 0);
}

/* Handles the connect result, the end of the stream and errors. */
static void
call_on_event (struct bufferevent *stream, short what, void *context)
{
  ca_http_pool_call_t *call = context;
  int error = EVUTIL_SOCKET_ERROR ();

  (void)stream;
  if (what & BEV_EVENT_CONNECTED)
    {
      call->connected = true;
      call->connected_us = ca_clock_boot_us ();
      call->pool->opened++;
      call_set_socket_options (call);
      call_start_deadline (call);
      call_send_request (call);
      return;
    }
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  if (call->idle)
    call_free (call);
  else if (!call->connected)
    call_fail (call, CA_HTTP_OUTCOME_NOT_SENT);
  else if (what & BEV_EVENT_WRITING)
    call_on_write_error (call, error);
  else
    call_on_end (call, (what & BEV_EVENT_ERROR) == 0);
}

/* Closes the idle connections that were not used since the call was sent. */
static void
call_close_unproven (const ca_http_pool_call_t *call)
{
  ca_http_pool_call_t *idle = TAILQ_FIRST (&call->host->idle);

  while (idle != NULL)
    {
      ca_http_pool_call_t *next = TAILQ_NEXT (idle, entries);

      if (idle->idle_since_us <= call->started_us)
        call_free (idle);
      idle = next;
    }
}

/* Ends a call at its deadline, or an idle connection at its limit. */
static void
call_on_timeout (evutil_socket_t fd, short what, void *context)
{
  ca_http_pool_call_t *call = context;
  uint64_t now_us = ca_clock_boot_us ();

  (void)fd;
  (void)what;
  if (call->idle)
    call_free (call);
  else if (call->awaits_rest)
    call_complete (call);
  else if (call->connected && call_extended_deadline_us (call) > now_us)
    call_set_timer (call, call_extended_deadline_us (call) - now_us);
  else
    {
      if (call->options.timeout_closes_idle)
        call_close_unproven (call);
      call_fail (call, call->connected ? CA_HTTP_OUTCOME_INTERRUPTED
                                       : CA_HTTP_OUTCOME_NOT_SENT);
    }
}

static void
call_on_connect_error (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  call_fail (context, CA_HTTP_OUTCOME_NOT_SENT);
}

/* Connects without blocking; an immediate failure is reported later. */
static void
call_connect (ca_http_pool_call_t *call)
{
  struct timeval now = { 0, 0 };
  struct sockaddr_in to;

  memset (&to, 0, sizeof to);
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl (call->options.address.ip);
  to.sin_port = htons (call->options.address.port);
  call_set_timer (call, (uint64_t)call->options.connect_timeout_ms * 1000);
  if (call->options.connected_by_us != 0
      || bufferevent_socket_connect (call->stream, (struct sockaddr *)&to,
                                     sizeof to)
             != 0)
    event_add (call->connect_error, &now);
}

static ca_http_pool_call_t *
call_new (ca_http_pool_t *pool, const ca_address_t *address)
{
  ca_http_pool_call_t *call = calloc (1, sizeof *call);

  call->pool = pool;
  call->host = client_host (pool, address);
  /* Callbacks are not deferred: that would merge an error and the end of the
   * stream into one event, without their order. */
  call->stream = bufferevent_socket_new (pool->base, -1, BEV_OPT_CLOSE_ON_FREE);
  call->timer = evtimer_new (pool->base, call_on_timeout, call);
  call->connect_error = evtimer_new (pool->base, call_on_connect_error, call);
  call->request = evbuffer_new ();
  ca_http_reader_init (&call->reader, true, CLIENT_MAX_HEAD_BYTES);
  call->reader.on_head = call_on_head;
  call->reader.on_body = call_on_body;
  call->reader.context = call;
  call->reader.embedded.names_response = call_names_response;
  call->reader.embedded.context = call;
  bufferevent_setcb (call->stream, call_on_readable, NULL, call_on_event, call);
  bufferevent_enable (call->stream, EV_READ | EV_WRITE);
  return call;
}

/* True if the idle connection may carry a call with these options. */
static bool
call_is_suitable (const ca_http_pool_call_t *call,
                  const ca_http_pool_call_options_t *options)
{
  uint64_t idle_us = ca_clock_boot_us () - call->idle_since_us;

  if (idle_us > (uint64_t)options->max_idle_ms * 1000
      || idle_us > (uint64_t)call->idle_limit_ms * 1000)
    return false;
  return options->connected_by_us == 0
         || (call->connected_us <= options->connected_by_us
             && (options->not_carried == NULL
                 || !call_has_identity (call, options->not_carried)));
}

/* The most recently used idle connection that is suitable, or NULL. */
static ca_http_pool_call_t *
call_find_idle (const ca_http_pool_t *pool,
                const ca_http_pool_call_options_t *options)
{
  uint64_t key = client_key (&options->address);
  const ca_http_host_t *host = NULL;
  ca_http_pool_call_t *call;

  HASH_FIND (hh, pool->hosts, &key, sizeof key, host);
  if (host == NULL || options->max_idle_ms == 0)
    return NULL;
  TAILQ_FOREACH (call, &host->idle, entries)
  {
    if (call_is_suitable (call, options))
      return call;
  }
  return NULL;
}

/* Takes an idle connection for the call, or returns NULL. */
static ca_http_pool_call_t *
call_reuse_idle (ca_http_pool_t *pool,
                 const ca_http_pool_call_options_t *options)
{
  ca_http_pool_call_t *call = call_find_idle (pool, options);

  if (call == NULL)
    return NULL;
  TAILQ_REMOVE (&call->host->idle, call, entries);
  call->host->idle_count--;
  call->idle = false;
  call->response_complete = false;
  return call;
}

/* Appends the request, with its body, to the call's buffer. */
static void
call_format_request (ca_http_pool_call_t *call,
                     const ca_http_pool_call_options_t *options)
{
  evbuffer_add_printf (call->request, "%s %s HTTP/1.1\r\n", options->method,
                       options->target);
  for (uint32_t i = 0; options->headers != NULL && i < options->headers->count;
       i++)
    evbuffer_add_printf (call->request, "%s: %s\r\n",
                         options->headers->items[i].name,
                         options->headers->items[i].value);
  if (options->has_body || options->body_bytes > 0)
    evbuffer_add_printf (call->request, "Content-Length: %zu\r\n",
                         options->body_bytes);
  evbuffer_add (call->request, "\r\n", 2);
  evbuffer_add (call->request, options->body, options->body_bytes);
}

ca_http_pool_call_t *
ca_http_pool_call_start (ca_http_pool_t *pool,
                         const ca_http_pool_call_options_t *options)
{
  ca_http_pool_call_t *call = call_reuse_idle (pool, options);
  bool reused = call != NULL;

  if (!reused)
    call = call_new (pool, &options->address);
  call->reused = reused;
  TAILQ_INSERT_TAIL (&pool->busy, call, entries);
  call->options = *options;
  call->options.headers = NULL;
  call->options.target = NULL;
  call->options.body = NULL;
  call->options.not_carried = NULL;
  call->skipping = false;
  call->skipped = 0;
  call->skipped_bytes = 0;
  call->body_bytes = 0;
  call->reader.response_to_head = strcmp (options->method, "HEAD") == 0;
  call->options.method = call->reader.response_to_head ? "HEAD" : "";
  call_keep_identities (call, options->headers);
  call->started_us = ca_clock_boot_us ();
  call->deadline_us
      = options->timeout_ms == 0
            ? 0
            : call->started_us + (uint64_t)options->timeout_ms * 1000;
  call_format_request (call, options);
  if (!reused)
    {
      call_connect (call);
      return call;
    }
  call_start_deadline (call);
  call_send_request (call);
  return call;
}

bool
ca_http_pool_call_is_reused (const ca_http_pool_call_t *call)
{
  return call->reused;
}

uint64_t
ca_http_pool_call_connected_us (const ca_http_pool_call_t *call)
{
  return call->connected_us;
}

bool
ca_http_pool_has_idle (const ca_http_pool_t *pool,
                       const ca_http_pool_call_options_t *options)
{
  return call_find_idle (pool, options) != NULL;
}

bool
ca_http_pool_call_is_connecting (const ca_http_pool_call_t *call)
{
  return !call->connected;
}

void
ca_http_pool_call_cancel (ca_http_pool_call_t *call)
{
  if (call->parsing)
    call->cancelled = true;
  else
    call_free (call);
}

bool
ca_http_pool_is_connected (const ca_http_pool_t *pool,
                           const ca_address_t *address)
{
  uint64_t key = client_key (address);
  const ca_http_host_t *host = NULL;
  const ca_http_pool_call_t *call;

  HASH_FIND (hh, pool->hosts, &key, sizeof key, host);
  if (host == NULL)
    return false;
  TAILQ_FOREACH (call, &pool->busy, entries)
  {
    if (call->host == host && call->connected)
      return true;
  }
  return !TAILQ_EMPTY (&host->idle);
}

void
ca_http_pool_init (ca_http_pool_t *pool, struct event_base *base)
{
  memset (pool, 0, sizeof *pool);
  pool->base = base;
  TAILQ_INIT (&pool->busy);
}

void
ca_http_pool_finish (ca_http_pool_t *pool)
{
  ca_http_host_t *host;
  ca_http_host_t *next;

  while (!TAILQ_EMPTY (&pool->busy))
    call_free (TAILQ_FIRST (&pool->busy));
  HASH_ITER (hh, pool->hosts, host, next)
  {
    while (!TAILQ_EMPTY (&host->idle))
      call_free (TAILQ_FIRST (&host->idle));
    HASH_DEL (pool->hosts, host);
    free (host);
  }
}
