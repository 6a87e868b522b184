/* Counts of requests that began to run, by workspace and window of wall clock
 * time.
 *
 * The wall clock of a machine may jump, so windows follow the median of the
 * entries' offsets to their monotonic clocks.  Heartbeats carry the counts, so
 * that any entry can report for all and the failure of one loses few counts. */
#include "gateway/private.h"

#include <stdlib.h>
#include <string.h>

/* Number of windows kept before the current one. */
#define USAGE_WINDOWS_KEPT 6

static ca_usage_row_t *
usage_find (const struct ca_usage_rows *rows, uint64_t window,
            const char *workspace)
{
  ca_usage_row_t *row;

  TAILQ_FOREACH (row, rows, entries)
  {
    if (row->window == window && strcmp (row->workspace, workspace) == 0)
      return row;
  }
  return NULL;
}

void
ca_usage_add (struct ca_usage_rows *rows, uint64_t window,
              const char *workspace, uint32_t count)
{
  ca_usage_row_t *row = usage_find (rows, window, workspace);

  if (row != NULL)
    {
      row->count += count;
      return;
    }
  row = calloc (1, sizeof *row);
  row->window = window;
  row->workspace = strdup (workspace);
  row->count = count;
  TAILQ_INSERT_TAIL (rows, row, entries);
}

void
ca_usage_raise_to (struct ca_usage_rows *rows,
                   const struct ca_usage_rows *minimum, uint64_t window)
{
  const ca_usage_row_t *row;

  TAILQ_FOREACH (row, minimum, entries)
  {
    const ca_usage_row_t *known = usage_find (rows, window, row->workspace);
    uint32_t have = known == NULL ? 0 : known->count;

    if (row->window == window && row->count > have)
      ca_usage_add (rows, window, row->workspace, row->count - have);
  }
}

/* Removes and frees one row. */
static void
usage_drop (struct ca_usage_rows *rows, ca_usage_row_t *row)
{
  TAILQ_REMOVE (rows, row, entries);
  free (row->workspace);
  free (row);
}

void
ca_usage_rows_finish (struct ca_usage_rows *rows)
{
  while (!TAILQ_EMPTY (rows))
    usage_drop (rows, TAILQ_FIRST (rows));
}

uint64_t
ca_usage_window (const ca_gateway_t *gateway, uint64_t at_us)
{
  return ca_gateway_wall_us (gateway, at_us)
         / (gateway->options.bounds.usage_window_s * CA_US_PER_S);
}

void
ca_usage_count (ca_gateway_t *gateway, const char *workspace, uint64_t at_us)
{
  ca_usage_add (&gateway->usage, ca_usage_window (gateway, at_us), workspace,
                1);
}

/* Drops the rows of windows before `oldest`. */
static void
usage_expire_rows (struct ca_usage_rows *rows, uint64_t oldest)
{
  ca_usage_row_t *row = TAILQ_FIRST (rows);

  while (row != NULL)
    {
      ca_usage_row_t *next = TAILQ_NEXT (row, entries);

      if (row->window < oldest)
        usage_drop (rows, row);
      row = next;
    }
}

void
ca_usage_expire (ca_gateway_t *gateway)
{
  uint64_t current = ca_usage_window (gateway, gateway->now_us);
  ca_peer_t *peer;

  if (current < USAGE_WINDOWS_KEPT)
    return;
  usage_expire_rows (&gateway->usage, current - USAGE_WINDOWS_KEPT);
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    usage_expire_rows (&peer->usage, current - USAGE_WINDOWS_KEPT);
}

/* Adds the rows of one window to `total`. */
static void
usage_sum_rows (struct ca_usage_rows *total, const struct ca_usage_rows *rows,
                uint64_t window)
{
  const ca_usage_row_t *row;

  TAILQ_FOREACH (row, rows, entries)
  {
    if (row->window == window)
      ca_usage_add (total, window, row->workspace, row->count);
  }
}

void
ca_usage_total (const ca_gateway_t *gateway, uint64_t window,
                struct ca_usage_rows *total)
{
  const ca_peer_t *peer;

  usage_sum_rows (total, &gateway->usage, window);
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      usage_sum_rows (total, &peer->usage, window);
      for (size_t i = 0;
           peer->heartbeat != NULL && i < peer->heartbeat->n_usage; i++)
        {
          if (peer->heartbeat->usage[i]->window == window)
            ca_usage_add (total, window, peer->heartbeat->usage[i]->workspace,
                          peer->heartbeat->usage[i]->count);
        }
    }
}
