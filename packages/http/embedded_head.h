/* Detects the head of another response within a response.
 *
 * A faulty server may stop in the middle of a response and go on with another
 * one on the same connection.  Framing does not show this: the first line of
 * the other response completes a field value, and its bytes complete a body.
 * A response is taken to hold another one if
 *
 * - a status line stands within its head, or
 * - within its body stands a status line with a field below it that names a
 *   response of this connection, or
 * - a status line stands within its body, and the head that it begins goes on
 *   beyond the end of the body.
 *
 * A body may quote a response, so that a status line alone proves nothing. */
#ifndef CA_HTTP_EMBEDDED_HEAD_H
#define CA_HTTP_EMBEDDED_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest line of a head that is examined; names of responses are shorter. */
#define CA_EMBEDDED_LINE_BYTES 256

typedef struct
{
  uint64_t offset;      /* bytes scanned */
  uint64_t own_start;   /* of the response's own status line */
  uint64_t message_end; /* UINT64_MAX until it is known */
  bool started;
  bool own_head;         /* its own head is being scanned */
  uint64_t own_head_end; /* UINT64_MAX until it is known */
  /* Status line being recognised. */
  uint32_t matched_bytes;
  uint64_t match_start;
  /* Status line that was recognised, and the head below it. */
  bool in_status_line;
  bool in_head;
  uint64_t head_start;
  char line[CA_EMBEDDED_LINE_BYTES];
  size_t line_bytes;
  bool found;           /* another response begins within this one, */
  uint64_t found_start; /* there */
  /* True if the field names a response of this connection; NULL: none does. */
  bool (*names_response) (void *context, const char *name, const char *value);
  void *context;
} ca_embedded_head_t;

/* Prepares for the first byte of a response; keeps the callback. */
void ca_embedded_head_reset (ca_embedded_head_t *scan);

/* Scans the next bytes of the connection. */
void ca_embedded_head_scan (ca_embedded_head_t *scan, const char *bytes,
                            size_t count);

/* Sets the end of the response; what begins there or later is not part of it.
 * Bytes after it may be scanned: they show how the last bytes of the response
 * go on. */
void ca_embedded_head_end (ca_embedded_head_t *scan);

/* True if another response begins before `offset`. */
bool ca_embedded_head_is_before (const ca_embedded_head_t *scan,
                                 uint64_t offset);

/* True if the response ends within what may be the head of another one, so that
 * only the bytes after it show whether it is. */
bool ca_embedded_head_is_open (const ca_embedded_head_t *scan);

#endif
