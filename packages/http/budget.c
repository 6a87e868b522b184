/* Shares of clients' connections in the memory for what they send. */
#include "http/budget.h"

#include <string.h>

#define BUDGET_SLOT_US 125000

/* Buffers grow in pieces whose size is a power of two, of at most twice what is
 * added at once.  The last piece may be empty but for one byte; what is added
 * at once is at most one read, 16 KB. */
#define BUDGET_MAX_UNUSED_BYTES 32768

/* Part of a piece that its own header takes, and the smallest piece. */
#define BUDGET_PIECE_HEADER_PART 64
#define BUDGET_MIN_PIECE_BYTES 4096

/* Allocations of a header field: its name, its value, its place in the list. */
#define BUDGET_FIELD_BYTES 96

void
ca_http_budget_init (ca_http_budget_t *budget, size_t max_bytes)
{
  memset (budget, 0, sizeof *budget);
  budget->max_bytes = max_bytes;
  TAILQ_INIT (&budget->shares);
}

/* Moves on to the slot of `now_us`, and clears those that were passed over. */
static void
share_advance (ca_http_share_t *share, uint64_t now_us)
{
  uint64_t slot = now_us / BUDGET_SLOT_US;

  if (slot >= share->slot + CA_HTTP_SHARE_SLOTS)
    memset (share->moved_bytes, 0, sizeof share->moved_bytes);
  else
    {
      for (uint64_t i = share->slot + 1; i <= slot; i++)
        share->moved_bytes[i % CA_HTTP_SHARE_SLOTS] = 0;
    }
  if (slot > share->slot)
    share->slot = slot;
}

void
ca_http_budget_update (ca_http_budget_t *budget, ca_http_share_t *share,
                       size_t held_bytes, size_t moved_bytes, uint64_t now_us)
{
  if (share->held_bytes == 0 && held_bytes > 0)
    TAILQ_INSERT_TAIL (&budget->shares, share, entries);
  if (share->held_bytes > 0 && held_bytes == 0)
    TAILQ_REMOVE (&budget->shares, share, entries);
  budget->held_bytes += held_bytes - share->held_bytes;
  share->held_bytes = held_bytes;
  if (moved_bytes == 0)
    return;
  share_advance (share, now_us);
  share->moved_bytes[share->slot % CA_HTTP_SHARE_SLOTS]
      += (uint32_t)moved_bytes;
}

uint64_t
ca_http_share_recent_bytes (const ca_http_share_t *share, uint64_t now_us)
{
  uint64_t slot = now_us / BUDGET_SLOT_US;
  uint64_t sum = 0;

  for (uint64_t i = 0; i < CA_HTTP_SHARE_SLOTS && i <= share->slot; i++)
    {
      if (share->slot - i + CA_HTTP_SHARE_SLOTS > slot)
        sum += share->moved_bytes[(share->slot - i) % CA_HTTP_SHARE_SLOTS];
    }
  return sum;
}

bool
ca_http_budget_is_alone (const ca_http_budget_t *budget,
                         const ca_http_share_t *share)
{
  return budget->held_bytes == share->held_bytes;
}

ca_http_share_t *
ca_http_budget_slowest (const ca_http_budget_t *budget, uint64_t now_us)
{
  ca_http_share_t *slowest = NULL;
  ca_http_share_t *share;
  uint64_t least_bytes = 0;

  TAILQ_FOREACH (share, &budget->shares, entries)
  {
    uint64_t bytes;

    if (!share->may_cut)
      continue;
    bytes = ca_http_share_recent_bytes (share, now_us);
    if (slowest != NULL && bytes >= least_bytes)
      continue;
    slowest = share;
    least_bytes = bytes;
  }
  return slowest;
}

ca_http_share_t *
ca_http_budget_victim (const ca_http_budget_t *budget, uint64_t now_us)
{
  const ca_http_share_t *first = TAILQ_FIRST (&budget->shares);

  if (budget->held_bytes <= budget->max_bytes || first == NULL
      || ca_http_budget_is_alone (budget, first))
    return NULL;
  return ca_http_budget_slowest (budget, now_us);
}

size_t
ca_http_body_taken_bytes (size_t body_bytes)
{
  size_t unused = body_bytes < BUDGET_MAX_UNUSED_BYTES
                      ? body_bytes
                      : BUDGET_MAX_UNUSED_BYTES;

  if (body_bytes == 0)
    return 0;
  return body_bytes + unused + body_bytes / BUDGET_PIECE_HEADER_PART
         + BUDGET_MIN_PIECE_BYTES;
}

size_t
ca_http_head_taken_bytes (size_t head_bytes, uint32_t fields)
{
  return head_bytes + (size_t)fields * BUDGET_FIELD_BYTES;
}
