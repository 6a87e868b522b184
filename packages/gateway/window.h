/* Count of events in a sliding span of time, in slices. */
#ifndef CA_GATEWAY_WINDOW_H
#define CA_GATEWAY_WINDOW_H

#include <stdint.h>

#define CA_WINDOW_SLICES 20

typedef struct
{
  uint64_t slice_us;
  uint64_t latest_slice; /* number of the newest slice */
  double counts[CA_WINDOW_SLICES];
} ca_window_t;

/* Covers `span_us`, to within a slice. */
void ca_window_init (ca_window_t *window, uint64_t span_us);
void ca_window_add (ca_window_t *window, uint64_t now_us, double amount);

/* Sum over the last span. */
double ca_window_sum (ca_window_t *window, uint64_t now_us);

#endif
