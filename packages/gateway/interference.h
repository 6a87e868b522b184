/* What a request costs the others at an engine: the prompts that it reads stop
 * the streams there. */
#ifndef CA_GATEWAY_INTERFERENCE_H
#define CA_GATEWAY_INTERFERENCE_H

#include <stdbool.h>
#include <stdint.h>

/* An engine, as far as this entry knows. */
typedef struct
{
  double streams;       /* past their first event */
  double reading_share; /* of its time that it reads prompts */
} ca_interference_place_t;

/* A request. */
typedef struct
{
  double read_us; /* to read its prompt there */
  double events;  /* that its answer is expected to have */
} ca_interference_request_t;

/* Cost in microseconds of the request at the engine, where no pause between two
 * events may exceed `gap_us`. */
double ca_interference_cost_us (const ca_interference_place_t *place,
                                const ca_interference_request_t *request,
                                double gap_us);

/* True if prompts that take `long_read_us` to read may interfere. */
bool ca_interference_is_likely (double long_read_us, double gap_us);

/* Follows a rate per second, to which `amount` is added at `now_us`. */
typedef struct
{
  double per_s;
  uint64_t updated_us;
} ca_interference_rate_t;

void ca_interference_rate_add (ca_interference_rate_t *rate, uint64_t now_us,
                               double amount);
double ca_interference_rate (const ca_interference_rate_t *rate,
                             uint64_t now_us);

#endif
