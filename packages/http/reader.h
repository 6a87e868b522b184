/* Reads HTTP/1.1 messages off a byte stream, one at a time: a parser library
 * below, whole heads and pieces of body above.  Requests that carry both a
 * length and chunks are broken, as are all that the library refuses. */
#ifndef CA_HTTP_READER_H
#define CA_HTTP_READER_H

#include "http/headers.h"

#include <event2/buffer.h>
#include <http_parser.h>

typedef struct
{
  const char *method; /* of a request */
  char *target;       /* of a request: path and query as they came */
  uint32_t status;    /* of an answer */
  bool keep_alive;
  bool has_framing; /* its end is told by a length or by chunks */
  ca_headers_t headers;
} ca_http_head_t;

typedef enum
{
  CA_HTTP_READ_INCOMPLETE, /* all input was used; the message goes on */
  CA_HTTP_READ_COMPLETE,   /* a message has ended; input after it was left */
  CA_HTTP_READ_MALFORMED   /* not HTTP, or too large a head */
} ca_http_read_t;

typedef struct
{
  http_parser parser;
  ca_http_head_t head;
  bool is_response;      /* reads answers, not requests */
  bool response_to_head; /* the answer is to a HEAD request: it has no body */
  bool started;          /* a byte of the message has come */
  bool head_complete;
  bool message_complete;
  bool head_too_large; /* why it is broken */
  uint32_t head_bytes;
  uint32_t max_head_bytes;
  char *name; /* field being read */
  char *value;
  size_t name_bytes;
  size_t value_bytes;
  size_t target_bytes;
  /* Called for each piece of body; must not touch the reader. */
  void (*on_body) (void *context, const char *bytes, size_t count);
  /* Called once the head is whole. */
  void (*on_head) (void *context);
  void *context;
} ca_http_reader_t;

/* Initialises caller-owned memory for the first message. */
void ca_http_reader_init (ca_http_reader_t *reader, bool is_response,
                          uint32_t max_head_bytes);
void ca_http_reader_finish (ca_http_reader_t *reader);

/* Forgets the message that ended, to read the next. */
void ca_http_reader_reset (ca_http_reader_t *reader);

/* Takes bytes off `input`, to the end of the message at most. */
ca_http_read_t ca_http_reader_feed (ca_http_reader_t *reader,
                                    struct evbuffer *input);

/* Tells of the orderly end of the stream; true if that ends the message. */
bool ca_http_reader_eof (ca_http_reader_t *reader);

#endif
