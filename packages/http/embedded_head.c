/* Byte-wise recognition of status lines and of the fields below them. */
#include "http/embedded_head.h"

#include <ctype.h>
#include <string.h>

/* A status line begins so: 'v' stands for a minor version, 'c' for the class of
 * a status, 'd' for a digit. */
static const char embedded_pattern[] = "HTTP/1.v cdd";
#define EMBEDDED_PATTERN_BYTES (sizeof embedded_pattern - 1)

/* So many bytes of it are seldom the last ones of a body. */
#define EMBEDDED_TELLING_BYTES 5

void
ca_embedded_head_reset (ca_embedded_head_t *scan)
{
  scan->offset = 0;
  scan->message_end = UINT64_MAX;
  scan->started = false;
  scan->own_head = true;
  scan->own_head_end = UINT64_MAX;
  scan->matched_bytes = 0;
  scan->in_status_line = false;
  scan->in_head = false;
  scan->line_bytes = 0;
  scan->found = false;
}

static void
embedded_found (ca_embedded_head_t *scan, uint64_t start)
{
  if (scan->found || start >= scan->message_end)
    return;
  scan->found = true;
  scan->found_start = start;
}

static bool
embedded_fits (char pattern, char byte)
{
  switch (pattern)
    {
    case 'v':
      return byte == '0' || byte == '1';
    case 'c':
      return byte >= '1' && byte <= '5';
    case 'd':
      return isdigit ((unsigned char)byte) != 0;
    default:
      return byte == pattern;
    }
}

/* Handles a status line whose status has been read. */
static void
embedded_status_line (ca_embedded_head_t *scan)
{
  if (scan->match_start == scan->own_start)
    return;
  if (scan->own_head)
    {
      embedded_found (scan, scan->match_start);
      return;
    }
  if (scan->match_start >= scan->message_end)
    {
      /* Another response after this one, as a whole. */
      scan->in_head = false;
      return;
    }
  scan->in_status_line = true;
  scan->in_head = true;
  scan->head_start = scan->match_start;
}

static void
embedded_match (ca_embedded_head_t *scan, char byte)
{
  if (scan->matched_bytes == EMBEDDED_PATTERN_BYTES)
    {
      scan->matched_bytes = 0;
      if (byte == ' ' || byte == '\r' || byte == '\n')
        embedded_status_line (scan);
    }
  /* The pattern's first byte does not occur in it again. */
  if (!embedded_fits (embedded_pattern[scan->matched_bytes], byte))
    scan->matched_bytes = 0;
  if (!embedded_fits (embedded_pattern[scan->matched_bytes], byte))
    return;
  if (scan->matched_bytes == 0)
    scan->match_start = scan->offset;
  scan->matched_bytes++;
}

/* Handles a field line below a status line. */
static void
embedded_field_line (ca_embedded_head_t *scan)
{
  char *colon;
  char *value;

  scan->line[scan->line_bytes] = '\0';
  colon = strchr (scan->line, ':');
  if (colon == NULL || colon == scan->line
      || memchr (scan->line, ' ', (size_t)(colon - scan->line)) != NULL)
    {
      scan->in_head = false;
      return;
    }
  *colon = '\0';
  value = colon + 1 + strspn (colon + 1, " \t");
  if (scan->names_response != NULL
      && scan->names_response (scan->context, scan->line, value))
    embedded_found (scan, scan->head_start);
}

/* Handles the end of a line of the own head or of an embedded one. */
static void
embedded_line (ca_embedded_head_t *scan)
{
  if (scan->line_bytes > 0 && scan->line[scan->line_bytes - 1] == '\r')
    scan->line_bytes--;
  if (scan->own_head)
    {
      scan->own_head = scan->line_bytes > 0;
      if (!scan->own_head)
        scan->own_head_end = scan->offset + 1;
    }
  else if (scan->in_status_line)
    scan->in_status_line = false;
  else if (scan->line_bytes > 0)
    embedded_field_line (scan);
  else
    {
      /* Its head is complete. */
      scan->in_head = false;
      if (scan->message_end <= scan->offset)
        embedded_found (scan, scan->head_start);
    }
  scan->line_bytes = 0;
}

static void
embedded_byte (ca_embedded_head_t *scan, char byte)
{
  if (!scan->started && byte != '\r' && byte != '\n')
    {
      scan->started = true;
      scan->own_start = scan->offset;
    }
  embedded_match (scan, byte);
  if (scan->started && (scan->own_head || scan->in_head))
    {
      if (byte == '\n')
        embedded_line (scan);
      else if (scan->line_bytes + 1 < sizeof scan->line)
        scan->line[scan->line_bytes++] = byte;
    }
  scan->offset++;
}

void
ca_embedded_head_scan (ca_embedded_head_t *scan, const char *bytes,
                       size_t count)
{
  const char *end = bytes + count;

  while (bytes < end)
    {
      const char *next;

      if (!scan->own_head && !scan->in_head && scan->matched_bytes == 0)
        {
          next = memchr (bytes, embedded_pattern[0], (size_t)(end - bytes));
          if (next == NULL)
            next = end;
          scan->offset += (uint64_t)(next - bytes);
          bytes = next;
          if (bytes == end)
            return;
        }
      embedded_byte (scan, *bytes++);
    }
}

void
ca_embedded_head_end (ca_embedded_head_t *scan)
{
  scan->message_end = scan->offset;
  if (scan->in_head && scan->head_start >= scan->message_end)
    scan->in_head = false;
}

bool
ca_embedded_head_is_before (const ca_embedded_head_t *scan, uint64_t offset)
{
  return scan->found && scan->found_start < offset;
}

bool
ca_embedded_head_is_open (const ca_embedded_head_t *scan)
{
  if (scan->found)
    return false;
  return scan->in_head
         || (scan->matched_bytes >= EMBEDDED_TELLING_BYTES
             && scan->match_start < scan->message_end && !scan->own_head
             && scan->match_start != scan->own_start);
}
