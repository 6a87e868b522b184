/* Sliding-window sums. */
#include "gateway/window.h"

#include <string.h>

void
ca_window_init (ca_window_t *window, uint64_t span_us)
{
  memset (window, 0, sizeof *window);
  window->slice_us = span_us / CA_WINDOW_SLICES + 1;
}

/* Clears the slices that have left the window. */
static void
window_advance (ca_window_t *window, uint64_t now_us)
{
  uint64_t slice = now_us / window->slice_us;

  if (slice > window->latest_slice + CA_WINDOW_SLICES)
    window->latest_slice = slice - CA_WINDOW_SLICES;
  while (window->latest_slice < slice)
    {
      window->latest_slice++;
      window->counts[window->latest_slice % CA_WINDOW_SLICES] = 0;
    }
}

void
ca_window_add (ca_window_t *window, uint64_t now_us, double amount)
{
  window_advance (window, now_us);
  window->counts[window->latest_slice % CA_WINDOW_SLICES] += amount;
}

double
ca_window_sum (ca_window_t *window, uint64_t now_us)
{
  double sum = 0;

  window_advance (window, now_us);
  for (uint32_t i = 0; i < CA_WINDOW_SLICES; i++)
    sum += window->counts[i];
  return sum;
}
