/* Sorts, filters and prints timeline records. */
#include "ctl/timeline_view.h"

#include "base/clock.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static int
timeline_compare (const void *a, const void *b)
{
  json_int_t left
      = json_integer_value (json_object_get (*(json_t *const *)a, "hlc"));
  json_int_t right
      = json_integer_value (json_object_get (*(json_t *const *)b, "hlc"));

  return left < right ? -1 : left > right;
}

void
ca_timeline_sort (json_t *records)
{
  size_t count = json_array_size (records);
  json_t **rows = calloc (count + 1, sizeof *rows);

  for (size_t i = 0; i < count; i++)
    rows[i] = json_incref (json_array_get (records, i));
  qsort (rows, count, sizeof *rows, timeline_compare);
  json_array_clear (records);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (records, rows[i]);
  free (rows);
}

/* Returns a field's text, "" if it is missing. */
static const char *
timeline_text (const json_t *record, const char *field)
{
  const char *text = json_string_value (json_object_get (record, field));

  return text == NULL ? "" : text;
}

static bool
timeline_matches (const json_t *record, const ca_timeline_filter_t *filter)
{
  if (filter->request != NULL
      && strcmp (timeline_text (record, "request"), filter->request) != 0)
    return false;
  if (filter->endpoint != NULL
      && strcmp (timeline_text (record, "endpoint"), filter->endpoint) != 0)
    return false;
  return filter->workspace == NULL
         || strcmp (timeline_text (record, "workspace"), filter->workspace)
                == 0;
}

size_t
ca_timeline_print (const json_t *records, const ca_timeline_filter_t *filter,
                   FILE *out)
{
  size_t printed = 0;
  size_t index;
  json_t *record;

  json_array_foreach (records, index, record)
  {
    uint64_t wall_us;
    time_t seconds;
    struct tm when;
    char clock_text[16];

    if (!timeline_matches (record, filter))
      continue;
    wall_us = ca_hlc_wall_us (
        (uint64_t)json_integer_value (json_object_get (record, "hlc")));
    seconds = (time_t)(wall_us / CA_US_PER_S);
    gmtime_r (&seconds, &when);
    strftime (clock_text, sizeof clock_text, "%H:%M:%S", &when);
    fprintf (out, "%s.%06u %-8s %-20s %-16s %-16s %s\n", clock_text,
             (unsigned)(wall_us % CA_US_PER_S), timeline_text (record, "entry"),
             timeline_text (record, "event"), timeline_text (record, "request"),
             timeline_text (record, "workspace"),
             timeline_text (record, "detail"));
    printed++;
  }
  return printed;
}
