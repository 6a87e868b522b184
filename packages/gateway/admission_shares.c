/* Work that workspaces ask for at all entries, and their equal shares of it. */
#include "gateway/admission_shares.h"

#include "base/clock.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time over which work is measured. */
#define ADMISSION_WORK_US (2.0 * CA_US_PER_S)

/* The equal share of a rank is the work of the workspace below which this part
 * of the rank's work lies.  Unlike the mean, it is not lowered by many
 * workspaces that ask for little, nor raised by a few that ask for much. */
#define ADMISSION_EQUAL_QUANTILE 0.25

/* A workspace asks for more than its share beyond this multiple of the equal
 * one, and so many standard deviations of requests that arrive by chance; it
 * counts once all excess is this part of the rank's work. */
#define ADMISSION_EXCESS_RATIO 1.5
#define ADMISSION_EXCESS_DEVIATIONS 3
#define ADMISSION_EXCESS_MIN 0.1

/* A workspace's mix of ranks at this entry counts as much as the mix of all
 * workspaces once it has sent so many mean requests here. */
#define ADMISSION_MIX_REQUESTS 10
#define ADMISSION_REQUEST_WEIGHT 0.1

/* Work below this is forgotten, in tokens. */
#define ADMISSION_TOKENS_MIN 1.0

/* Decays the work of a workspace. */
static void
admission_decay_row (ca_admission_row_t *row, uint64_t now_us)
{
  double factor = exp (-(double)(now_us - row->updated_us) / ADMISSION_WORK_US);

  row->updated_us = now_us;
  for (uint32_t i = 0; i < CA_ADMISSION_RANKS_MAX; i++)
    row->tokens[i] *= factor;
}

static double
admission_row_tokens (const ca_admission_row_t *row)
{
  double sum = 0;

  for (uint32_t i = 0; i < CA_ADMISSION_RANKS_MAX; i++)
    sum += row->tokens[i];
  return sum;
}

/* The workspace's row; if there is none, a free one or that with the least
 * work is used. */
static ca_admission_row_t *
admission_row (ca_admission_t *admission, uint32_t workspace, uint64_t now_us)
{
  ca_admission_row_t *row = NULL;

  for (uint32_t i = 0; i < admission->row_count; i++)
    {
      if (admission->rows[i].workspace == workspace)
        return &admission->rows[i];
    }
  if (admission->row_count < CA_ADMISSION_WORKSPACES_MAX)
    row = &admission->rows[admission->row_count++];
  else
    {
      double least = 0;

      for (uint32_t i = 0; i < admission->row_count; i++)
        {
          double tokens = admission_row_tokens (&admission->rows[i]);

          if (row == NULL || tokens < least)
            {
              row = &admission->rows[i];
              least = tokens;
            }
        }
    }
  memset (row, 0, sizeof *row);
  row->workspace = workspace;
  row->updated_us = now_us;
  row->scale = 1;
  return row;
}

/* Part of a workspace's work that is of the rank.  With few requests here, the
 * mix of all workspaces counts more than their own. */
static double
admission_mix (const ca_admission_t *admission, const ca_admission_row_t *row,
               uint32_t rank)
{
  double prior = 0;

  for (uint32_t i = 0; i < admission->rule.count; i++)
    prior += admission->ranks[i].mix * admission->ranks[i].request_tokens;
  prior *= ADMISSION_MIX_REQUESTS;
  return (row->tokens[rank] + admission->ranks[rank].mix * prior)
         / (admission_row_tokens (row) + prior);
}

int
ca_admission_compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

const ca_admission_row_t *
ca_admission_count_work (ca_admission_t *admission, uint64_t now_us,
                         const ca_admission_request_t *request)
{
  ca_admission_rank_t *rank = &admission->ranks[request->rank];
  ca_admission_row_t *row
      = admission_row (admission, request->workspace, now_us);

  admission_decay_row (row, now_us);
  row->tokens[request->rank] += request->tokens;
  rank->request_tokens
      += (request->tokens - rank->request_tokens) * ADMISSION_REQUEST_WEIGHT;
  return row;
}

/* Work of the rank that a workspace asks all entries for. */
static double
admission_row_work (const ca_admission_t *admission,
                    const ca_admission_row_t *row, uint32_t rank)
{
  return admission_row_tokens (row) * row->scale
         * admission_mix (admission, row, rank);
}

/* True if a workspace's work exceeds the equal share by more than chance. */
static bool
admission_exceeds (const ca_admission_rank_t *rank, double work)
{
  return work > rank->equal_tokens * ADMISSION_EXCESS_RATIO
         && work - rank->equal_tokens
                > ADMISSION_EXCESS_DEVIATIONS
                      * sqrt (rank->equal_tokens * rank->request_tokens);
}

double
ca_admission_excess_work (const ca_admission_t *admission,
                          const ca_admission_row_t *row, uint32_t rank)
{
  double work = admission_row_work (admission, row, rank);

  return admission->ranks[rank].excess > 0
                 && admission_exceeds (&admission->ranks[rank], work)
             ? work
             : 0;
}

void
ca_admission_begin_peers (ca_admission_t *admission)
{
  admission->peer_count = 0;
}

void
ca_admission_add_peer (ca_admission_t *admission, uint32_t workspace,
                       double tokens_per_s)
{
  ca_admission_work_t *work = admission->peers;

  for (uint32_t i = 0; i < admission->peer_count; i++)
    {
      if (work[i].workspace != workspace)
        continue;
      work[i].tokens_per_s += tokens_per_s;
      return;
    }
  if (admission->peer_count == CA_ADMISSION_WORKSPACES_MAX)
    return;
  work[admission->peer_count].workspace = workspace;
  work[admission->peer_count++].tokens_per_s = tokens_per_s;
}

/* Work that peers report of a workspace, as a sum like this entry's own. */
static double
admission_peer_tokens (const ca_admission_t *admission, uint32_t workspace)
{
  for (uint32_t i = 0; i < admission->peer_count; i++)
    {
      if (admission->peers[i].workspace == workspace)
        return admission->peers[i].tokens_per_s * ADMISSION_WORK_US
               / CA_US_PER_S;
    }
  return 0;
}

/* Decays all work, and drops the workspaces that ask for nothing any more. */
static void
admission_refresh_rows (ca_admission_t *admission, uint64_t now_us)
{
  uint32_t i = 0;

  while (i < admission->row_count)
    {
      ca_admission_row_t *row = &admission->rows[i];
      double tokens;

      admission_decay_row (row, now_us);
      tokens = admission_row_tokens (row);
      if (tokens < ADMISSION_TOKENS_MIN)
        {
          *row = admission->rows[--admission->row_count];
          continue;
        }
      row->scale
          = 1 + admission_peer_tokens (admission, row->workspace) / tokens;
      i++;
    }
}

/* True if this entry has a row of the workspace. */
static bool
admission_has_row (const ca_admission_t *admission, uint32_t workspace)
{
  for (uint32_t i = 0; i < admission->row_count; i++)
    {
      if (admission->rows[i].workspace == workspace)
        return true;
    }
  return false;
}

/* Fills in the work of all entries for a rank, by workspace, in rising order;
 * returns the number of workspaces. */
static uint32_t
admission_rank_work (const ca_admission_t *admission, uint32_t rank,
                     double *work)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < admission->row_count; i++)
    work[count++] = admission_row_work (admission, &admission->rows[i], rank);
  for (uint32_t i = 0; i < admission->peer_count; i++)
    {
      uint32_t workspace = admission->peers[i].workspace;

      if (!admission_has_row (admission, workspace))
        work[count++] = admission_peer_tokens (admission, workspace)
                        * admission->ranks[rank].mix;
    }
  qsort (work, count, sizeof work[0], ca_admission_compare);
  return count;
}

/* Finds the equal share of a rank's work, and how much is asked for beyond it.
 */
static void
admission_share_rank (ca_admission_t *admission, uint32_t rank)
{
  ca_admission_rank_t *shares = &admission->ranks[rank];
  double work[2 * CA_ADMISSION_WORKSPACES_MAX];
  uint32_t count = admission_rank_work (admission, rank, work);
  double sum = 0;
  double below = 0;
  double excess = 0;
  uint32_t equal = 0;

  shares->excess = 0;
  if (count == 0)
    return;
  for (uint32_t i = 0; i < count; i++)
    sum += work[i];
  while (equal + 1 < count
         && below + work[equal] < sum * ADMISSION_EQUAL_QUANTILE)
    below += work[equal++];
  shares->equal_tokens = work[equal];
  for (uint32_t i = equal; i < count; i++)
    {
      if (admission_exceeds (shares, work[i]))
        excess += work[i] - shares->equal_tokens;
    }
  if (excess >= sum * ADMISSION_EXCESS_MIN)
    shares->excess = excess / sum;
}

/* Finds what part of the work at this entry is of each rank. */
static void
admission_find_mix (ca_admission_t *admission)
{
  double sums[CA_ADMISSION_RANKS_MAX] = { 0 };
  double sum = 0;

  for (uint32_t i = 0; i < admission->row_count; i++)
    {
      for (uint32_t j = 0; j < admission->rule.count; j++)
        {
          sums[j] += admission->rows[i].tokens[j];
          sum += admission->rows[i].tokens[j];
        }
    }
  for (uint32_t j = 0; sum > 0 && j < admission->rule.count; j++)
    admission->ranks[j].mix = sums[j] / sum;
}

void
ca_admission_end_peers (ca_admission_t *admission, uint64_t now_us)
{
  admission_refresh_rows (admission, now_us);
  admission_find_mix (admission);
  for (uint32_t i = 0; i < admission->rule.count; i++)
    admission_share_rank (admission, i);
}

size_t
ca_admission_report (ca_admission_t *admission, uint64_t now_us,
                     ca_admission_work_t *work, size_t max)
{
  size_t count = 0;

  if (admission->level == 0)
    return 0;
  for (uint32_t i = 0; i < admission->row_count; i++)
    {
      ca_admission_row_t *row = &admission->rows[i];
      ca_admission_work_t added = { row->workspace, 0 };
      size_t place;

      admission_decay_row (row, now_us);
      added.tokens_per_s
          = admission_row_tokens (row) * CA_US_PER_S / ADMISSION_WORK_US;
      for (place = count;
           place > 0 && work[place - 1].tokens_per_s < added.tokens_per_s;
           place--)
        {
          if (place < max)
            work[place] = work[place - 1];
        }
      if (place < max)
        work[place] = added;
      if (count < max)
        count++;
    }
  return count;
}
