/* List of HTTP header fields. */
#include "http/headers.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEADERS_INITIAL_CAPACITY 12
#define HEADERS_VALUE_BYTES 256

void
ca_headers_init (ca_headers_t *headers)
{
  memset (headers, 0, sizeof *headers);
}

void
ca_headers_finish (ca_headers_t *headers)
{
  for (uint32_t i = 0; i < headers->count; i++)
    {
      free (headers->items[i].name);
      free (headers->items[i].value);
    }
  free (headers->items);
  ca_headers_init (headers);
}

void
ca_headers_add (ca_headers_t *headers, const char *name, const char *value)
{
  if (headers->count == headers->capacity)
    {
      headers->capacity = headers->capacity == 0 ? HEADERS_INITIAL_CAPACITY
                                                 : headers->capacity * 2;
      headers->items = realloc (headers->items,
                                headers->capacity * sizeof *headers->items);
    }
  headers->items[headers->count].name = strdup (name);
  headers->items[headers->count].value = strdup (value);
  headers->count++;
}

void
ca_headers_printf (ca_headers_t *headers, const char *name, const char *format,
                   ...)
{
  char value[HEADERS_VALUE_BYTES];
  va_list args;

  va_start (args, format);
  vsnprintf (value, sizeof value, format, args);
  va_end (args);
  ca_headers_add (headers, name, value);
}

const char *
ca_headers_find (const ca_headers_t *headers, const char *name)
{
  for (uint32_t i = 0; i < headers->count; i++)
    {
      if (strcasecmp (headers->items[i].name, name) == 0)
        return headers->items[i].value;
    }
  return NULL;
}

bool
ca_headers_differ (const ca_headers_t *headers, const char *name)
{
  const char *first = ca_headers_find (headers, name);

  for (uint32_t i = 0; first != NULL && i < headers->count; i++)
    {
      if (strcasecmp (headers->items[i].name, name) == 0
          && strcmp (headers->items[i].value, first) != 0)
        return true;
    }
  return false;
}

static bool
headers_list_has (const char *list, const char *token)
{
  size_t bytes = strlen (token);

  while (*list != '\0')
    {
      list += strspn (list, ", \t");
      if (strncasecmp (list, token, bytes) == 0
          && strchr (", \t", list[bytes]) != NULL)
        return true;
      list += strcspn (list, ",");
    }
  return false;
}

bool
ca_headers_has_token (const ca_headers_t *headers, const char *name,
                      const char *token)
{
  for (uint32_t i = 0; i < headers->count; i++)
    {
      if (strcasecmp (headers->items[i].name, name) == 0
          && headers_list_has (headers->items[i].value, token))
        return true;
    }
  return false;
}
