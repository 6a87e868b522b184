/* Memory that clients' connections occupy, shared by all connections of a
 * process: pure accounting, and the choice of the connection to cut when the
 * budget is spent.
 *
 * Each connection has a share.  The one to cut is that with the fewest bytes
 * moved in the last second; among equals, the one that has held bytes for
 * longest.  A request that stands still thus goes before one that is being
 * sent. */
#ifndef CA_HTTP_BUDGET_H
#define CA_HTTP_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/* Bytes moved are counted in slots of 125 ms. */
#define CA_HTTP_SHARE_SLOTS 8

/* What one connection holds; zeroed memory is an empty share. */
typedef struct ca_http_share
{
  void *owner;
  bool may_cut;      /* set by the owner */
  size_t held_bytes; /* the share is in the budget's list if not 0 */
  uint64_t slot;     /* latest slot that is counted */
  uint32_t moved_bytes[CA_HTTP_SHARE_SLOTS];
  TAILQ_ENTRY (ca_http_share) entries;
} ca_http_share_t;

typedef struct
{
  size_t max_bytes;
  size_t held_bytes;
  TAILQ_HEAD (, ca_http_share) shares; /* by the time of their first byte */
} ca_http_budget_t;

void ca_http_budget_init (ca_http_budget_t *budget, size_t max_bytes);

/* Sets what the share holds now, and counts bytes that moved. */
void ca_http_budget_update (ca_http_budget_t *budget, ca_http_share_t *share,
                            size_t held_bytes, size_t moved_bytes,
                            uint64_t now_us);

/* Bytes moved in the last second. */
uint64_t ca_http_share_recent_bytes (const ca_http_share_t *share,
                                     uint64_t now_us);

/* True if `share` is the only one that holds anything, or nothing is held. */
bool ca_http_budget_is_alone (const ca_http_budget_t *budget,
                              const ca_http_share_t *share);

/* Share to cut while the budget is spent.  NULL if it is not spent, if only one
 * share holds anything, or if none may be cut. */
ca_http_share_t *ca_http_budget_victim (const ca_http_budget_t *budget,
                                        uint64_t now_us);

/* Share to cut whether or not the budget is spent; NULL if there is none. */
ca_http_share_t *ca_http_budget_slowest (const ca_http_budget_t *budget,
                                         uint64_t now_us);

/* Upper bound of what the buffers of a body take. */
size_t ca_http_body_taken_bytes (size_t body_bytes);

/* The same for a head. */
size_t ca_http_head_taken_bytes (size_t head_bytes, uint32_t fields);

#endif
