/* Age of a copy of stored data.  A validation shows that the copy was the
 * newest version at some time; the latest such time is kept, on this machine's
 * clock (which also advances while the machine is suspended).
 *
 * Validations come from the store's answers, whose clock is mapped to ours by
 * the smallest offset observed, and from peers, which echo a stamp of ours that
 * they received before they answered.  Both err towards an older time. */
#ifndef CA_GATEWAY_FRESHNESS_H
#define CA_GATEWAY_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool known;            /* validated at least once */
  uint64_t validated_us; /* latest validation, on our clock */
  bool has_offset;
  int64_t offset_us; /* upper bound of the store's clock less ours */
  uint64_t store_us; /* the store's clock in its latest answer */
} ca_freshness_t;

void ca_freshness_init (ca_freshness_t *freshness);

/* Records an answer of the store: when its call was sent, and the store's clock
 * in the answer. */
void ca_freshness_from_store (ca_freshness_t *freshness, uint64_t sent_us,
                              uint64_t store_us);

/* Returns a lower bound of the time at which the store answered, on our clock;
 * never before the call was sent. */
uint64_t ca_freshness_answer_us (const ca_freshness_t *freshness,
                                 uint64_t sent_us, uint64_t store_us);

/* Records the answer of a peer that has the same version: the peer validated it
 * `age_us` before it answered, and had then received our stamp `echo_us`. */
void ca_freshness_from_peer (ca_freshness_t *freshness, uint64_t echo_us,
                             uint64_t age_us);

/* Returns the time since the latest validation; UINT64_MAX if there is none. */
uint64_t ca_freshness_age_us (const ca_freshness_t *freshness, uint64_t now_us);

#endif
