/* Measures the speed of engines from answers to all entries, and decides
 * whether the selection distinguishes them by it. */
#include "gateway/private.h"

#include <string.h>

/* Measured speeds of a service's endpoints that differ by more than this,
 * between the 20th and the 80th percentile, are distinguished.  Queues that
 * other entries have just filled make equal endpoints look different by less.
 */
#define SPEED_SPREAD_MIN 1.8

/* Hysteresis keeps the selection from switching with every sample. */
#define SPEED_SPREAD_LEAVE 1.4

/* Rounds of heartbeats for which samples of an endpoint's former process may
 * arrive. */
#define SPEED_STALE_ROUNDS 2

#define SPEED_SURVEY_PERIOD_US (500 * CA_US_PER_MS)
#define SPEED_ENDPOINTS_MAX 1024

/* Answers that are expected sooner, or need less prefill, say little about the
 * endpoint. */
#define SPEED_EXPECTED_MIN_US (10 * CA_US_PER_MS)
#define SPEED_PREFILL_MIN_TOKENS 500

double
ca_endpoint_speed_slowness (const ca_gateway_t *gateway,
                            const ca_service_stats_t *stats,
                            const ca_gateway_endpoint_t *endpoint)
{
  return stats->speeds_differ
             ? ca_endpoint_model_slowness (&endpoint->model, gateway->now_us)
             : 1;
}

double
ca_endpoint_speed_mean_slowness (const ca_service_stats_t *stats)
{
  return stats->speeds_differ ? stats->mean_slowness : 1;
}

void
ca_endpoint_speed_observe (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                           uint64_t fixed_us)
{
  uint64_t took_us = gateway->now_us - exchange->sent_us;

  if (exchange->expected_us < SPEED_EXPECTED_MIN_US
      || exchange->prefill_tokens < SPEED_PREFILL_MIN_TOKENS)
    return;
  ca_endpoint_model_add (&exchange->endpoint->model, gateway->now_us,
                         took_us <= fixed_us
                             ? 0
                             : (double)(took_us - fixed_us)
                                   / (double)exchange->expected_us);
}

void
ca_endpoint_speed_begin_round (ca_gateway_t *gateway)
{
  ca_gateway_endpoint_t *endpoint;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    ca_endpoint_model_begin_round (&endpoint->model);
}

void
ca_endpoint_speed_merge (ca_gateway_t *gateway, const Camphor__Pulse *heartbeat)
{
  for (size_t i = 0; i < heartbeat->n_loads; i++)
    {
      const Camphor__SeatLoad *row = heartbeat->loads[i];
      ca_gateway_endpoint_t *endpoint
          = row->samples == 0
                ? NULL
                : ca_registry_find (&gateway->registry, row->seat);

      /* Samples name an id; those of the process before may still arrive. */
      if (endpoint != NULL
          && gateway->now_us - endpoint->added_us
                 > SPEED_STALE_ROUNDS * gateway->heartbeat_period_us)
        ca_endpoint_model_merge (&endpoint->model, gateway->now_us,
                                 row->slowness_permille / 1000.0, row->samples);
    }
}

/* Slowness of an endpoint that reads as much as the mean of all. */
static double
speed_mean (const double *factors, uint32_t count)
{
  double sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += 1 / factors[i];
  return count == 0 ? 1 : count / sum;
}

/* Decides for one service. */
static void
speed_survey (ca_gateway_t *gateway, ca_service_stats_t *stats)
{
  static double factors[SPEED_ENDPOINTS_MAX];
  const ca_gateway_endpoint_t *endpoint;
  uint32_t count = 0;
  double spread;
  bool differ;

  for (endpoint = gateway->registry.endpoints;
       endpoint != NULL && count < SPEED_ENDPOINTS_MAX;
       endpoint = endpoint->hh.next)
    {
      if (ca_gateway_endpoint_is_open (endpoint)
          && ca_endpoint_model_is_known (&endpoint->model)
          && strcmp (endpoint->service, stats->name) == 0)
        factors[count++]
            = ca_endpoint_model_slowness (&endpoint->model, gateway->now_us);
    }
  spread = ca_endpoint_model_spread (factors, count);
  differ
      = spread > (stats->speeds_differ ? SPEED_SPREAD_LEAVE : SPEED_SPREAD_MIN);
  stats->mean_slowness = speed_mean (factors, count);
  if (differ == stats->speeds_differ)
    return;
  stats->speeds_differ = differ;
  ca_gateway_log (
      gateway, differ ? CA_EVENT_ENDPOINTS_UNEVEN : CA_EVENT_ENDPOINTS_EVEN,
      NULL, stats->name, "speeds of %u endpoints spread by a factor of %.2f",
      count, spread);
}

void
ca_endpoint_speed_tick (ca_gateway_t *gateway)
{
  ca_service_stats_t *stats;

  if (gateway->now_us < gateway->next_speed_survey_us)
    return;
  gateway->next_speed_survey_us = gateway->now_us + SPEED_SURVEY_PERIOD_US;
  gateway->speeds_differ = false;
  for (stats = gateway->services; stats != NULL; stats = stats->hh.next)
    {
      speed_survey (gateway, stats);
      gateway->speeds_differ = gateway->speeds_differ || stats->speeds_differ;
    }
}
