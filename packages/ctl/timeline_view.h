/* Merged timeline of several entries. */
#ifndef CA_CTL_TIMELINE_VIEW_H
#define CA_CTL_TIMELINE_VIEW_H

#include <jansson.h>
#include <stdio.h>

/* Values that a record's fields must equal to be printed; NULL matches any. */
typedef struct
{
  const char *request;
  const char *endpoint;
  const char *workspace;
} ca_timeline_filter_t;

/* Sorts the records by their hybrid clock stamps, in place. */
void ca_timeline_sort (json_t *records);

/* Prints one line for each record that matches the filter; returns the number
 * of lines. */
size_t ca_timeline_print (const json_t *records,
                          const ca_timeline_filter_t *filter, FILE *out);

#endif
