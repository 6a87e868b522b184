/* Private to the HTTP server: a connection, and what counts its memory. */
#ifndef CA_HTTP_CONNECTION_H
#define CA_HTTP_CONNECTION_H

#include "http/server.h"

#include <event2/bufferevent.h>

typedef enum
{
  CONNECTION_READING,    /* reading a request, or waiting for one */
  CONNECTION_HANDLING,   /* the handler has the request */
  CONNECTION_RESPONDING, /* the head of a streamed response was sent */
  CONNECTION_LINGERING   /* the last response was sent; input is discarded */
} connection_state_t;

/* Connection of one client. */
typedef struct ca_http_connection
{
  ca_http_server_request_t request; /* must be first: cast back to this */
  ca_http_server_t *server;
  struct bufferevent *stream;
  struct event *timer;
  size_t unsent_at_timer; /* bytes of responses, when the timer was set */
  struct event *pipelined_event; /* reads a pipelined request */
  connection_state_t state;
  ca_http_reader_t reader;
  bool close_after; /* close the connection after this response */
  bool no_body;     /* HEAD request: the response has no body */
  size_t discarded_bytes;
  ca_http_share_t received; /* in server->memory */
  ca_http_share_t unsent;
  TAILQ_ENTRY (ca_http_connection) entries;
} ca_http_connection_t;

/* Counts what the buffers for received bytes take, and bytes that arrived. */
void ca_http_connection_count_received (ca_http_connection_t *connection,
                                        size_t bytes);

/* Counts complete responses that the client has not read, and bytes of them
 * that were queued or read.  The handler counts those that it still sends. */
void ca_http_connection_count_unsent (ca_http_connection_t *connection,
                                      size_t moved_bytes);

/* Removes the connection from the budgets. */
void ca_http_connection_count_none (ca_http_connection_t *connection);

/* Reports that a connection is cut. */
void ca_http_server_report_cut (const ca_http_server_t *server,
                                ca_http_cut_t reason);

/* Connection to close for a new one: one that ends anyway, the one that has
 * been idle for longest, the oldest in the middle of a head, the one in the
 * middle of a body of which the fewest bytes arrived in the last second, or one
 * that has not read its answer.  NULL if there is none. */
ca_http_connection_t *ca_http_server_find_closable (ca_http_server_t *server,
                                                    ca_http_cut_t *reason);

#endif
