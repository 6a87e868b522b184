/* Sum over a sliding time window, kept in slices. */
#ifndef CA_GATEWAY_WINDOW_H
#define CA_GATEWAY_WINDOW_H

#include <stdint.h>

#define CA_WINDOW_SLICES 20

typedef struct
{
  uint64_t slice_us;
  uint64_t latest_slice; /* index of the newest slice */
  double counts[CA_WINDOW_SLICES];
} ca_window_t;

/* Initialises a window of `span_us`, accurate to one slice. */
void ca_window_init (ca_window_t *window, uint64_t span_us);
void ca_window_add (ca_window_t *window, uint64_t now_us, double amount);

/* Sum over the window that ends at `now_us`. */
double ca_window_sum (ca_window_t *window, uint64_t now_us);

#endif
