/* Number of requests that all entries together keep open at an endpoint that
 * starts: slow start for endpoints. */
#ifndef CA_GATEWAY_START_PACE_H
#define CA_GATEWAY_START_PACE_H

#include <stdbool.h>
#include <stdint.h>

/* The start of one endpoint, as far as this entry knows from its own answers
 * and from its peers.  Ratios are those of an answer's time to that expected of
 * the service.  Zeroed for an endpoint that does not start. */
typedef struct
{
  bool starting;
  uint32_t slots;       /* 0 until they are known */
  uint32_t window;      /* requests of all entries */
  uint32_t growth;      /* of it, by own answers in this round of heartbeats */
  uint32_t usual;       /* answers about as fast as the service's */
  double log_ratio;     /* smoothed */
  double steady_ratio;  /* logarithm near which that has stayed ... */
  uint64_t steady_us;   /* ... since then; 0 if there was no answer yet */
  uint64_t hindered_us; /* the start began, or the window was last halved */
  uint64_t earliest_us; /* it does not end before */
  uint64_t ended_us;    /* the latest start; 0 if none has */
  bool follows_peer;    /* halved in this round, as a peer's window is */
} ca_start_pace_t;

/* Begins a start at `now_us`, or begins it again. */
void ca_start_pace_begin (ca_start_pace_t *pace, uint64_t now_us);

/* Sets the first window, once the slots are known. */
void ca_start_pace_set_slots (ca_start_pace_t *pace, uint32_t slots);

/* Counts an own answer, or the mean of `samples` answers to a peer. */
void ca_start_pace_answered (ca_start_pace_t *pace, uint64_t now_us,
                             double ratio);
void ca_start_pace_heard (ca_start_pace_t *pace, uint64_t now_us, double ratio,
                          uint32_t samples);

/* Counts a rejection or a failure. */
void ca_start_pace_failed (ca_start_pace_t *pace, uint64_t now_us);

/* Takes a peer's window that is far smaller: it has seen failures. */
void ca_start_pace_follow (ca_start_pace_t *pace, uint64_t now_us,
                           uint32_t window);

/* Begins a round of heartbeats: what own answers added is now shared with the
 * other entries. */
void ca_start_pace_begin_round (ca_start_pace_t *pace);

/* Requests that this entry may have open there, as the one of this `rank` among
 * `entries`. */
uint32_t ca_start_pace_allowance (const ca_start_pace_t *pace, uint32_t entries,
                                  uint32_t rank);

/* True if the start is over. */
bool ca_start_pace_is_over (const ca_start_pace_t *pace, uint64_t now_us);
void ca_start_pace_end (ca_start_pace_t *pace, uint64_t now_us);

#endif
