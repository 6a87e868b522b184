/* What the connections of an HTTP server take, and which one makes room. */
#include "http/connection.h"

#include "base/clock_source.h"

#include <string.h>

void
ca_http_memory_init (ca_http_memory_t *memory, size_t max_received_bytes,
                     size_t max_unsent_bytes)
{
  memset (memory, 0, sizeof *memory);
  ca_http_budget_init (&memory->received, max_received_bytes);
  ca_http_budget_init (&memory->unsent, max_unsent_bytes);
}

void
ca_http_connection_count_received (ca_http_connection_t *connection,
                                   size_t bytes)
{
  const ca_http_reader_t *reader = &connection->reader;
  size_t held = evbuffer_get_length (bufferevent_get_input (connection->stream))
                + ca_http_head_taken_bytes (reader->head_bytes,
                                            reader->head.headers.count)
                + ca_http_body_taken_bytes (
                    evbuffer_get_length (connection->request.body));

  if (connection->server->memory != NULL)
    ca_http_budget_update (&connection->server->memory->received,
                           &connection->received, held, bytes,
                           ca_clock_boot_us ());
}

void
ca_http_connection_count_unsent (ca_http_connection_t *connection,
                                 size_t moved_bytes)
{
  size_t held
      = connection->state == CONNECTION_READING
                || connection->state == CONNECTION_LINGERING
            ? evbuffer_get_length (bufferevent_get_output (connection->stream))
            : 0;

  if (connection->server->memory != NULL)
    ca_http_budget_update (&connection->server->memory->unsent,
                           &connection->unsent, held, moved_bytes,
                           ca_clock_boot_us ());
}

void
ca_http_connection_count_none (ca_http_connection_t *connection)
{
  ca_http_memory_t *memory = connection->server->memory;

  if (memory == NULL)
    return;
  ca_http_budget_update (&memory->received, &connection->received, 0, 0, 0);
  ca_http_budget_update (&memory->unsent, &connection->unsent, 0, 0, 0);
}

void
ca_http_server_report_cut (const ca_http_server_t *server, ca_http_cut_t reason)
{
  if (server->memory != NULL && server->memory->on_cut != NULL)
    server->memory->on_cut (server->memory->context, reason);
}

/* Order in which connections are closed for a new one.  What a client has not
 * read of its answer is the last to be lost. */
typedef enum
{
  CLOSABLE_ENDING,  /* its last answer was read */
  CLOSABLE_IDLE,    /* waits for a request */
  CLOSABLE_IN_HEAD, /* in the middle of a head */
  CLOSABLE_IN_BODY,
  CLOSABLE_UNREAD, /* has a complete answer that was not read to its end */
  CLOSABLE_NOT     /* the handler has its request */
} closable_t;

static closable_t
limits_closable (const ca_http_connection_t *connection)
{
  if (connection->state == CONNECTION_HANDLING
      || connection->state == CONNECTION_RESPONDING)
    return CLOSABLE_NOT;
  if (evbuffer_get_length (bufferevent_get_output (connection->stream)) > 0)
    return CLOSABLE_UNREAD;
  if (connection->state == CONNECTION_LINGERING)
    return CLOSABLE_ENDING;
  if (!connection->reader.started)
    return CLOSABLE_IDLE;
  return connection->reader.head_complete ? CLOSABLE_IN_BODY : CLOSABLE_IN_HEAD;
}

ca_http_connection_t *
ca_http_server_find_closable (ca_http_server_t *server, ca_http_cut_t *reason)
{
  static const ca_http_cut_t reasons[CLOSABLE_NOT]
      = { [CLOSABLE_ENDING] = CA_HTTP_CUT_AFTER_END,
          [CLOSABLE_IDLE] = CA_HTTP_CUT_IDLE,
          [CLOSABLE_IN_HEAD] = CA_HTTP_CUT_BUSY,
          [CLOSABLE_IN_BODY] = CA_HTTP_CUT_BUSY,
          [CLOSABLE_UNREAD] = CA_HTTP_CUT_UNREAD };
  uint64_t now_us = ca_clock_boot_us ();
  ca_http_connection_t *found = NULL;
  ca_http_connection_t *connection;
  closable_t found_class = CLOSABLE_NOT;
  uint64_t found_bytes = 0;

  TAILQ_FOREACH (connection, &server->connections, entries)
  {
    closable_t class = limits_closable (connection);
    uint64_t bytes
        = class == CLOSABLE_IN_BODY
              ? ca_http_share_recent_bytes (&connection->received, now_us)
              : 0;

    /* The first of a class has been in it for longest. */
    if (class > found_class || class == CLOSABLE_NOT
        || (class == found_class && bytes >= found_bytes))
      continue;
    found = connection;
    found_class = class;
    found_bytes = bytes;
  }
  if (found != NULL)
    *reason = reasons[found_class];
  return found;
}
