/* Age of what is known: the latest moment at which a belief is proved to have
 * been the newest, on this machine's clock (which runs on while suspended).
 *
 * Proofs come from the store's answers, whose clock is mapped to ours by the
 * smallest offset seen, and from peers, whose word cannot be older than the
 * stamp of ours that it echoes.  Both err towards an older proof. */
#ifndef CA_GATEWAY_FRESHNESS_H
#define CA_GATEWAY_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool known;
  uint64_t validated_us;
  bool has_offset;
  int64_t offset_us; /* the store's clock less ours, at most this */
  uint64_t store_us; /* latest reading of the store's clock */
} ca_freshness_t;

void ca_freshness_init (ca_freshness_t *freshness);

/* An answer of the store: when its call was sent, and the store's clock in
 * it. */
void ca_freshness_from_store (ca_freshness_t *freshness, uint64_t sent_us,
                              uint64_t store_us);

/* When the store made an answer, on our clock, or somewhat earlier; never
 * before its call was sent. */
uint64_t ca_freshness_answer_us (const ca_freshness_t *freshness,
                                 uint64_t sent_us, uint64_t store_us);

/* A peer with the same belief says that it was proved `age_us` before it
 * wrote; it had then read our stamp `echo_us`. */
void ca_freshness_from_peer (ca_freshness_t *freshness, uint64_t echo_us,
                             uint64_t age_us);

/* Time since the proof; UINT64_MAX if there is none. */
uint64_t ca_freshness_age_us (const ca_freshness_t *freshness, uint64_t now_us);

#endif
