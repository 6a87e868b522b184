/* Header fields of one HTTP message, in the order received. */
#ifndef CA_HTTP_HEADERS_H
#define CA_HTTP_HEADERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  char *name;
  char *value;
} ca_header_t;

typedef struct
{
  ca_header_t *items;
  uint32_t count;
  uint32_t capacity;
} ca_headers_t;

/* Initialises caller-owned memory; finish frees the fields. */
void ca_headers_init (ca_headers_t *headers);
void ca_headers_finish (ca_headers_t *headers);

/* Appends a copy of a field. */
void ca_headers_add (ca_headers_t *headers, const char *name,
                     const char *value);
void ca_headers_printf (ca_headers_t *headers, const char *name,
                        const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Value of the first field with this name, ignoring case; NULL if there is
 * none.  Valid until the list changes. */
const char *ca_headers_find (const ca_headers_t *headers, const char *name);

/* True if there are fields with this name and different values. */
bool ca_headers_differ (const ca_headers_t *headers, const char *name);

/* True if a comma-separated field contains `token`, ignoring case. */
bool ca_headers_has_token (const ca_headers_t *headers, const char *name,
                           const char *token);

#endif
