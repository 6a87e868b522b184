/* Prints how much of a day's score is lost to each part of the benefit and to
 * each price, as tab-separated values with one row per day.
 *
 * Reads files of the journal, oldest first, and uses the newest score of each
 * site.  tools/report.sh plots the output. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *key; /* name in the score */
  const char *column;
} worth_column_t;

static const worth_column_t worth_parts[] = {
  { "whole day", "whole" },
  { "worst windows", "windows" },
  { "worst class", "kind" },
  { "worst zone", "zone" },
};

static const worth_column_t worth_prices[] = {
  { "seconds of servers ordered", "endpoints" },
  { "1,000 tokens of shared parts read again", "read again" },
  { "GB of prompt memory moved", "moved" },
  { "cloud calls", "calls" },
  { "machine-seconds", "VMs" },
  { "processor seconds", "processor" },
  { "memory, GB x seconds", "memory" },
  { "GB between zones", "bytes" },
  { "new connections to servers", "connections" },
  { "duties missed", "duties" },
  { "worth refused again", "refused again" },
};

#define COUNT(table) (sizeof (table) / sizeof (table)[0])

enum
{
  WORTH_NAME,
  WORTH_WEIGHT, /* weight of a part, amount of a price */
  WORTH_VALUE
};

/* Returns a numeric field of the row with this name, or `fallback` if there is
 * no such row. */
static double
worth_row_value (const json_t *rows, const char *name, size_t field,
                 double fallback)
{
  size_t i;
  const json_t *row;

  json_array_foreach (rows, i, row)
  {
    const char *text = json_string_value (json_array_get (row, WORTH_NAME));

    if (text != NULL && strcmp (text, name) == 0)
      return json_number_value (json_array_get (row, field))
             + 0.0; /* avoids -0 */
  }
  return fallback;
}

static void
worth_print_day (const char *site, const json_t *day)
{
  const json_t *parts = json_object_get (day, "parts");
  const json_t *prices = json_object_get (day, "prices");
  double rest = 0;
  size_t i;
  const json_t *price;

  printf ("%s %s\t%.3f", site,
          json_string_value (json_object_get (day, "name")),
          json_number_value (json_object_get (day, "G")));
  for (i = 0; i < COUNT (worth_parts); i++)
    {
      const char *key = worth_parts[i].key;

      printf ("\t%.4f",
              worth_row_value (parts, key, WORTH_WEIGHT, 0)
                  * (1 - worth_row_value (parts, key, WORTH_VALUE, 1)));
    }
  json_array_foreach (prices, i, price) rest
      += json_number_value (json_array_get (price, WORTH_VALUE));
  for (i = 0; i < COUNT (worth_prices); i++)
    {
      double value
          = worth_row_value (prices, worth_prices[i].key, WORTH_VALUE, 0);

      rest -= value;
      printf ("\t%.4f", value);
    }
  printf ("\t%.4f\n", rest > 0 ? rest : 0);
}

static void
worth_print_head (void)
{
  printf ("day\tworth");
  for (size_t i = 0; i < COUNT (worth_parts); i++)
    printf ("\t%s", worth_parts[i].column);
  for (size_t i = 0; i < COUNT (worth_prices); i++)
    printf ("\t%s", worth_prices[i].column);
  printf ("\trest\n");
}

/* Stores the record if it is a score; replaces an older one of its site. */
static void
worth_keep_score (json_t *scores, json_t *record)
{
  const char *site = json_string_value (json_object_get (record, "site"));
  const char *command = json_string_value (json_object_get (record, "cmd"));

  if (site == NULL || command == NULL || strcmp (command, "score") != 0)
    return;
  json_object_del (scores, site);
  json_object_set (scores, site, record);
}

int
main (int argc, char **argv)
{
  json_t *scores = json_object ();
  const char *site;
  const json_t *record;

  if (argc < 2)
    {
      fprintf (stderr, "usage: worth JOURNAL-FILE..., oldest first\n");
      return EXIT_FAILURE;
    }
  for (int i = 1; i < argc; i++)
    {
      json_t *file = json_load_file (argv[i], 0, NULL);

      if (file == NULL)
        fprintf (stderr, "%s: not readable as JSON, skipped\n", argv[i]);
      worth_keep_score (scores, file);
      json_decref (file);
    }
  worth_print_head ();
  json_object_foreach (scores, site, record)
  {
    const json_t *day;
    size_t k;

    json_array_foreach (json_object_get (record, "days"), k, day)
        worth_print_day (site, day);
  }
  json_decref (scores);
  return EXIT_SUCCESS;
}
