/* HTTP parser callbacks that collect the head and pass the body on. */
#include "http/reader.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* Appends to a NUL-terminated string that grows as needed. */
static void
reader_append (char **text, size_t *used, const char *bytes, size_t count)
{
  *text = realloc (*text, *used + count + 1);
  memcpy (*text + *used, bytes, count);
  *used += count;
  (*text)[*used] = '\0';
}

/* Adds to the size of the head; false if it exceeds the limit. */
static bool
reader_count_head (ca_http_reader_t *reader, size_t count)
{
  reader->head_bytes += (uint32_t)count;
  if (reader->head_bytes <= reader->max_head_bytes)
    return true;
  reader->head_too_large = true;
  return false;
}

static int
reader_on_target (http_parser *parser, const char *bytes, size_t count)
{
  ca_http_reader_t *reader = parser->data;

  if (!reader_count_head (reader, count))
    return 1;
  reader_append (&reader->head.target, &reader->target_bytes, bytes, count);
  return 0;
}

/* Adds the completed header field to the list. */
static void
reader_end_field (ca_http_reader_t *reader)
{
  if (reader->name == NULL)
    return;
  ca_headers_add (&reader->head.headers, reader->name,
                  reader->value == NULL ? "" : reader->value);
  free (reader->name);
  free (reader->value);
  reader->name = NULL;
  reader->value = NULL;
  reader->name_bytes = 0;
  reader->value_bytes = 0;
}

static int
reader_on_name (http_parser *parser, const char *bytes, size_t count)
{
  ca_http_reader_t *reader = parser->data;

  if (!reader_count_head (reader, count))
    return 1;
  if (reader->value != NULL)
    reader_end_field (reader);
  reader_append (&reader->name, &reader->name_bytes, bytes, count);
  return 0;
}

static int
reader_on_value (http_parser *parser, const char *bytes, size_t count)
{
  ca_http_reader_t *reader = parser->data;

  if (!reader_count_head (reader, count))
    return 1;
  reader_append (&reader->value, &reader->value_bytes, bytes, count);
  return 0;
}

/* Keeps the start of a response, whose status the parser takes for a number. */
static void
reader_keep_status_line (ca_http_reader_t *reader, const char *bytes,
                         size_t count)
{
  for (size_t i = 0;
       i < count && reader->status_line_bytes < CA_HTTP_STATUS_LINE_BYTES; i++)
    {
      /* The parser skips line ends before a response. */
      if (reader->status_line_bytes > 0
          || (bytes[i] != '\r' && bytes[i] != '\n'))
        reader->status_line[reader->status_line_bytes++] = bytes[i];
    }
}

/* True if the response's status is one of a final response, or of an interim
 * one without a body. */
static bool
reader_status_is_valid (const ca_http_reader_t *reader)
{
  const char *text = reader->status_line + strlen ("HTTP/1.1 ");
  const http_parser *parser = &reader->parser;
  bool has_body = (parser->flags & F_CHUNKED) != 0
                  || ((parser->flags & F_CONTENTLENGTH) != 0
                      && parser->content_length > 0);

  if (reader->status_line_bytes < CA_HTTP_STATUS_LINE_BYTES || text[0] < '1'
      || text[0] > '5' || !isdigit ((unsigned char)text[1])
      || !isdigit ((unsigned char)text[2]) || isdigit ((unsigned char)text[3]))
    return false;
  return parser->status_code >= 200
         || (parser->status_code != HTTP_STATUS_SWITCHING_PROTOCOLS
             && !has_body);
}

/* Makes the parser expect no body in a response to HEAD, or ends it if the
 * message is malformed or not to be read. */
static int
reader_on_head (http_parser *parser)
{
  ca_http_reader_t *reader = parser->data;
  ca_http_head_t *head = &reader->head;

  reader_end_field (reader);
  head->method = http_method_str ((enum http_method)parser->method);
  head->status = parser->status_code;
  head->keep_alive = http_should_keep_alive (parser) != 0;
  head->has_framing = (parser->flags & F_CHUNKED) != 0
                      || (parser->flags & F_CONTENTLENGTH) != 0;
  if (reader->is_response
      && (!reader_status_is_valid (reader) || reader->embedded.own_head
          || ca_embedded_head_is_before (&reader->embedded,
                                         reader->embedded.own_head_end)))
    return -1;
  reader->head_complete = true;
  if (reader->on_head != NULL && !reader->on_head (reader->context))
    {
      reader->stopped = true;
      return -1;
    }
  return reader->response_to_head ? 1 : 0;
}

static int
reader_on_body (http_parser *parser, const char *bytes, size_t count)
{
  ca_http_reader_t *reader = parser->data;

  if (reader->is_response
      && ca_embedded_head_is_before (
          &reader->embedded,
          reader->block_offset + (uint64_t)(bytes + count - reader->block)))
    return 1;
  if (reader->on_body != NULL
      && !reader->on_body (reader->context, bytes, count))
    return 1;
  return 0;
}

/* Pauses the parser after the line end of a chunk's size, and after that of its
 * data. */
static int
reader_on_chunk_header (http_parser *parser)
{
  ca_http_reader_t *reader = parser->data;

  reader->is_last_chunk = parser->content_length == 0;
  reader->chunk_line_ended = true;
  http_parser_pause (parser, 1);
  return 0;
}

static int
reader_on_chunk_end (http_parser *parser)
{
  ca_http_reader_t *reader = parser->data;

  if (reader->is_last_chunk)
    return 0;
  reader->chunk_line_ended = true;
  http_parser_pause (parser, 1);
  return 0;
}

/* Pauses the parser, so that input after the message is left. */
static int
reader_on_end (http_parser *parser)
{
  ca_http_reader_t *reader = parser->data;

  reader->message_complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings reader_settings = {
  .on_url = reader_on_target,
  .on_header_field = reader_on_name,
  .on_header_value = reader_on_value,
  .on_headers_complete = reader_on_head,
  .on_body = reader_on_body,
  .on_chunk_header = reader_on_chunk_header,
  .on_chunk_complete = reader_on_chunk_end,
  .on_message_complete = reader_on_end,
};

/* Frees the message; the parser state is not reset. */
static void
reader_clear (ca_http_reader_t *reader)
{
  reader_end_field (reader);
  free (reader->head.target);
  ca_headers_finish (&reader->head.headers);
  memset (&reader->head, 0, sizeof reader->head);
  reader->target_bytes = 0;
  reader->status_line_bytes = 0;
  reader->head_bytes = 0;
  reader->response_to_head = false;
  reader->started = false;
  reader->head_complete = false;
  reader->message_complete = false;
  reader->head_too_large = false;
  reader->stopped = false;
  reader->block_offset = 0;
  ca_embedded_head_reset (&reader->embedded);
}

void
ca_http_reader_init (ca_http_reader_t *reader, bool is_response,
                     uint32_t max_head_bytes)
{
  memset (reader, 0, sizeof *reader);
  reader->is_response = is_response;
  reader->max_head_bytes = max_head_bytes;
  ca_http_reader_reset (reader);
}

void
ca_http_reader_finish (ca_http_reader_t *reader)
{
  reader_clear (reader);
}

void
ca_http_reader_reset (ca_http_reader_t *reader)
{
  reader_clear (reader);
  http_parser_init (&reader->parser,
                    reader->is_response ? HTTP_RESPONSE : HTTP_REQUEST);
  reader->parser.data = reader;
}

/* Handles the end of a response after `used` bytes of the input, all of which
 * has been scanned since `before`.  False if the response holds another one. */
static bool
reader_check_end (ca_http_reader_t *reader, struct evbuffer *input,
                  const ca_embedded_head_t *before, size_t used)
{
  ca_embedded_head_t *embedded = &reader->embedded;
  size_t bytes = evbuffer_get_length (input);
  const char *data = NULL;

  if (used < bytes)
    {
      data = (const char *)evbuffer_pullup (input, -1);
      *embedded = *before;
      ca_embedded_head_scan (embedded, data, used);
    }
  ca_embedded_head_end (embedded);
  if (used < bytes)
    ca_embedded_head_scan (embedded, data + used, bytes - used);
  return !embedded->found;
}

/* Parses some bytes; sets how many were used.  The parser takes any two bytes
 * for the line end of a chunk.  False if they are others. */
static bool
reader_parse (ca_http_reader_t *reader, const char *data, size_t bytes,
              size_t *used)
{
  *used = 0;
  do
    {
      size_t parsed;

      reader->chunk_line_ended = false;
      parsed = http_parser_execute (&reader->parser, &reader_settings,
                                    data + *used, bytes - *used);
      *used += parsed;
      if (parsed > 1)
        reader->last_byte = data[*used - 2];
      if (reader->chunk_line_ended)
        {
          if (reader->last_byte != '\r' || data[*used - 1] != '\n')
            return false;
          http_parser_pause (&reader->parser, 0);
        }
      if (parsed > 0)
        reader->last_byte = data[*used - 1];
    }
  while (reader->chunk_line_ended && *used < bytes);
  return true;
}

ca_http_read_t
ca_http_reader_feed (ca_http_reader_t *reader, struct evbuffer *input)
{
  size_t bytes;

  while ((bytes = evbuffer_get_contiguous_space (input)) > 0)
    {
      const char *data = (const char *)evbuffer_pullup (input, (ssize_t)bytes);
      ca_embedded_head_t before = reader->embedded;
      size_t used;

      if (reader->is_response)
        {
          reader_keep_status_line (reader, data, bytes);
          ca_embedded_head_scan (&reader->embedded, data, bytes);
        }
      reader->block = data;
      if (!reader_parse (reader, data, bytes, &used))
        return CA_HTTP_READ_MALFORMED;
      reader->block_offset += used;
      reader->started = true;
      if (reader->message_complete && !reader->parser.upgrade
          && reader->is_response
          && !reader_check_end (reader, input, &before, used))
        return CA_HTTP_READ_MALFORMED;
      evbuffer_drain (input, used);
      if (reader->message_complete && !reader->parser.upgrade)
        return CA_HTTP_READ_COMPLETE;
      if (reader->stopped && !reader->parser.upgrade)
        return CA_HTTP_READ_STOPPED;
      if (used < bytes || HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK
          || reader->parser.upgrade)
        return CA_HTTP_READ_MALFORMED;
    }
  return CA_HTTP_READ_INCOMPLETE;
}

bool
ca_http_reader_is_open (const ca_http_reader_t *reader)
{
  return reader->is_response && reader->message_complete
         && ca_embedded_head_is_open (&reader->embedded);
}

bool
ca_http_reader_feed_rest (ca_http_reader_t *reader, struct evbuffer *input)
{
  size_t bytes;

  while ((bytes = evbuffer_get_contiguous_space (input)) > 0)
    {
      ca_embedded_head_scan (
          &reader->embedded,
          (const char *)evbuffer_pullup (input, (ssize_t)bytes), bytes);
      evbuffer_drain (input, bytes);
    }
  return reader->embedded.found;
}

uint64_t
ca_http_reader_announced_bytes (const ca_http_reader_t *reader)
{
  return (reader->parser.flags & F_CONTENTLENGTH) != 0
             ? reader->parser.content_length
             : 0;
}

bool
ca_http_reader_eof (ca_http_reader_t *reader)
{
  if (!reader->head_complete)
    return false;
  http_parser_execute (&reader->parser, &reader_settings, NULL, 0);
  return reader->message_complete;
}
