/* Counts the streams and the prompts at engines, and includes in the cost of an
 * engine what a request does to the others there, see interference.c. */
#include "gateway/private.h"

#include <math.h>

/* Weight of a prompt of the mean length; longer ones weigh more in proportion,
 * so that the mean is that of a token, not of a request. */
#define INTERFERENCE_READ_WEIGHT 0.01
#define INTERFERENCE_READ_WEIGHT_MAX 0.1

/* Updates the time to read the service's prompts, by their tokens. */
static void
interference_note_read (ca_service_stats_t *stats, double read_us)
{
  double weight
      = stats->long_read_us <= 0
            ? 1
            : fmin (INTERFERENCE_READ_WEIGHT * read_us / stats->long_read_us,
                    INTERFERENCE_READ_WEIGHT_MAX);

  stats->long_read_us += (read_us - stats->long_read_us) * weight;
}

/* Notes the tightest gap of the routes that requests to the service have had
 * under this configuration. */
static void
interference_note_gap (ca_service_stats_t *stats, const ca_exchange_t *exchange)
{
  uint64_t gap_us = exchange->route->gap_ms * CA_US_PER_MS;

  if (stats->gap_config != exchange->catalog->version)
    {
      stats->gap_config = exchange->catalog->version;
      stats->gap_us = 0;
    }
  if (gap_us > 0 && (stats->gap_us == 0 || gap_us < stats->gap_us))
    stats->gap_us = gap_us;
}

void
ca_interference_began (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  ca_service_stats_t *stats
      = ca_service_stats (gateway, exchange->service->name);
  double read_us
      = exchange->prompt.tokens / stats->prefill_tokens_per_ms * CA_US_PER_MS;

  if (!exchange->service->is_engine)
    return;
  exchange->counts_as_stream = true;
  exchange->endpoint->own_load.streams++;
  ca_interference_rate_add (&exchange->endpoint->own_reading, gateway->now_us,
                            exchange->prefill_tokens);
  interference_note_gap (stats, exchange);
  interference_note_read (stats, read_us);
  stats->interferes
      = ca_interference_is_likely (stats->long_read_us, (double)stats->gap_us);
}

void
ca_interference_ended (ca_exchange_t *exchange)
{
  if (!exchange->counts_as_stream)
    return;
  exchange->counts_as_stream = false;
  exchange->endpoint->own_load.streams--;
}

double
ca_interference_at (const ca_gateway_t *gateway, const ca_exchange_t *exchange,
                    const ca_service_stats_t *stats,
                    const ca_gateway_endpoint_t *endpoint, double read_us,
                    double us_per_token)
{
  ca_interference_request_t request
      = { .read_us = read_us,
          .events = exchange->route->kind == CA_ROUTE_STREAMING
                        ? exchange->prompt.output_tokens
                        : 0 };
  ca_interference_place_t place;

  if (!stats->interferes)
    return 0;
  place.streams
      = (double)endpoint->own_load.streams + endpoint->peer_load.streams;
  place.reading_share
      = (ca_interference_rate (&endpoint->own_reading, gateway->now_us)
         + endpoint->peer_load.read_tokens)
        * us_per_token / CA_US_PER_S;
  return ca_interference_cost_us (&place, &request, (double)stats->gap_us);
}

void
ca_interference_fill (ca_gateway_t *gateway,
                      const ca_gateway_endpoint_t *endpoint,
                      Camphor__SeatLoad *row)
{
  if (!ca_service_stats (gateway, endpoint->service)->interferes)
    return;
  row->streams = endpoint->own_load.streams;
  row->read_tokens = (uint32_t)ca_interference_rate (&endpoint->own_reading,
                                                     gateway->now_us);
}
