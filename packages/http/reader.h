/* Parses HTTP/1.1 messages from a byte stream, one at a time, on top of the
 * http_parser library.  Requests with both a Content-Length and chunked
 * encoding are malformed, as is everything that the library rejects.  So are
 * responses whose status is not three digits from 100 to 599, that switch
 * protocols (101), that are interim (1xx) and announce a body (RFC 9110,
 * section 15), or that hold the head of another response, and messages with a
 * chunk that does not end in CRLF. */
#ifndef CA_HTTP_READER_H
#define CA_HTTP_READER_H

#include "http/embedded_head.h"
#include "http/headers.h"

#include <event2/buffer.h>
#include <http_parser.h>

typedef struct
{
  const char *method; /* request only */
  char *target;       /* request only: path and query, not decoded */
  uint32_t status;    /* response only */
  bool keep_alive;
  bool has_framing; /* Content-Length or chunked encoding marks its end */
  ca_headers_t headers;
} ca_http_head_t;

/* Result of parsing some input. */
typedef enum
{
  CA_HTTP_READ_INCOMPLETE, /* all input was consumed; the message continues */
  CA_HTTP_READ_COMPLETE,   /* the message is complete; input after it is left */
  CA_HTTP_READ_STOPPED,    /* on_head stopped the reader after the head */
  CA_HTTP_READ_MALFORMED   /* not HTTP, or the head is too large */
} ca_http_read_t;

/* Length of "HTTP/1.1 200" and the byte after it. */
#define CA_HTTP_STATUS_LINE_BYTES 13

typedef struct
{
  http_parser parser;
  ca_http_head_t head;
  bool is_response;      /* parses responses, not requests */
  bool response_to_head; /* the response to a HEAD request: it has no body */
  bool started;          /* a byte of the message was received */
  bool head_complete;
  bool message_complete;
  bool head_too_large;   /* its head is why the message is malformed */
  bool stopped;          /* by on_head */
  bool chunk_line_ended; /* the parser has stopped there */
  bool is_last_chunk;
  char last_byte; /* parsed */
  /* Of a response: the head of another one in it. */
  ca_embedded_head_t embedded;
  const char *block; /* being parsed */
  uint64_t block_offset;
  uint32_t head_bytes;
  uint32_t max_head_bytes;
  char status_line[CA_HTTP_STATUS_LINE_BYTES]; /* of a response: its start */
  size_t status_line_bytes;
  char *name; /* field being parsed */
  char *value;
  size_t name_bytes;
  size_t value_bytes;
  size_t target_bytes;
  /* Called for each part of the body; must not use the reader.  If it returns
   * false, the message counts as malformed. */
  bool (*on_body) (void *context, const char *bytes, size_t count);
  /* Called when the head is complete.  If it returns false, the rest of the
   * message is not read. */
  bool (*on_head) (void *context);
  void *context;
} ca_http_reader_t;

/* Initialises caller-owned memory for the first message. */
void ca_http_reader_init (ca_http_reader_t *reader, bool is_response,
                          uint32_t max_head_bytes);
void ca_http_reader_finish (ca_http_reader_t *reader);

/* Discards the completed message and prepares for the next one. */
void ca_http_reader_reset (ca_http_reader_t *reader);

/* Consumes `input`, at most to the end of the message. */
ca_http_read_t ca_http_reader_feed (ca_http_reader_t *reader,
                                    struct evbuffer *input);

/* True if a complete response ends within what may be the head of another one,
 * so that only the bytes after it show whether it is whole. */
bool ca_http_reader_is_open (const ca_http_reader_t *reader);

/* Discards bytes after a complete response.  True if they show that it holds
 * another one. */
bool ca_http_reader_feed_rest (ca_http_reader_t *reader,
                               struct evbuffer *input);

/* Length of the body that the head announces; 0 if it announces none. */
uint64_t ca_http_reader_announced_bytes (const ca_http_reader_t *reader);

/* Handles the orderly end of the stream; true if it completes the message. */
bool ca_http_reader_eof (ca_http_reader_t *reader);

#endif
