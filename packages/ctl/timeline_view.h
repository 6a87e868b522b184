/* The merged time line of several entries. */
#ifndef CA_CTL_TIMELINE_VIEW_H
#define CA_CTL_TIMELINE_VIEW_H

#include <jansson.h>
#include <stdio.h>

/* Fields that a shown record must have; NULL for any. */
typedef struct
{
  const char *request;
  const char *endpoint;
  const char *workspace;
} ca_timeline_filter_t;

/* Sorts the records by their stamps, in place. */
void ca_timeline_sort (json_t *records);

/* Prints one line a record that passes the filter; returns how many. */
size_t ca_timeline_print (const json_t *records,
                          const ca_timeline_filter_t *filter, FILE *out);

#endif
