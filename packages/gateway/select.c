/* Selects the endpoint for a request.
 *
 * Engine requests go to the endpoint with the lowest expected time to the
 * first event, which depends on queued prompts, uncached prompt tokens and
 * the size of the batch.  Plain requests go to the endpoint with the fewest
 * open requests per slot.  The load of an endpoint is the exact count of this
 * entry plus the counts in the peers' latest heartbeats. */
#include "gateway/private.h"
#include "gateway/rollout_private.h"

#include <stdlib.h>
#include <string.h>

/* Prefill throughput assumed for an engine until it has been measured; close
 * to the engines' data sheets. */
#define SELECT_PREFILL_TOKENS_PER_MS 30.0
#define SELECT_PREFILL_TOKENS_PER_MS_MIN 2.0

/* Time to the first event besides prefill: one batch step and the network
 * round trip. */
#define SELECT_FIRST_EVENT_US (20 * CA_US_PER_MS)

/* Delay of the first event for each request in the batch. */
#define SELECT_BATCH_DELAY_US 1500.0

/* Cost of another zone, in microseconds for an engine and in open requests per
 * slot for a plain endpoint.  Traffic between zones is charged, and the links
 * between zones can fail. */
#define SELECT_ZONE_ENGINE_US 12000.0
#define SELECT_ZONE_PLAIN 0.15

/* Weight of prefill time in the cost, since prefill also delays all other
 * requests at the endpoint. */
#define SELECT_PREFILL_WEIGHT 1.5

/* Weight of the time to fetch tokens from another endpoint: cache transfers
 * are charged, and they use the links of both endpoints. */
#define SELECT_FETCH_WEIGHT 20.0

/* Fraction of an engine's cache that may be filled before it counts as full. */
#define SELECT_MEMORY_SHARE 0.92

/* Cost of exceeding the slots or the cache: the wait for another request
 * there to end. */
#define SELECT_FULL_US 700000.0

/* Requests per heartbeat that may select the same engine, about as many
 * prompts as it can prefill in that time, and the minimum number of engines
 * that a request compares. */
#define SELECT_HERD_MAX 4.0
#define SELECT_SAMPLES_MIN 2.0

/* Random samples that are drawn before all engines are compared.  A sample of
 * two of 60 is empty for every eighth request; if these compared all engines,
 * 84 entries sent some 50 of them to the same one between two heartbeats.  With
 * four samples, engines whose limit was lifted were found too late. */
#define SELECT_SAMPLE_TRIES 2

/* Random part of the cost of a plain endpoint, so that equal endpoints share
 * the load. */
#define SELECT_JITTER 0.05

/* Open requests per slot at which a plain endpoint gets no more. */
#define SELECT_PLAIN_QUEUE 2.5

/* An endpoint that could not be reached is not retried before this, even if
 * no other is left. */
#define SELECT_UNREACHABLE_US (250 * CA_US_PER_MS)

/* Weight of a new sample of the prefill throughput if it is above or below
 * the average, and the smallest prompt that is sampled. */
#define SELECT_SMOOTHING_UP 0.3
#define SELECT_SMOOTHING_DOWN 0.03
#define SELECT_LEARN_TOKENS_MIN 500

ca_service_stats_t *
ca_service_stats (ca_gateway_t *gateway, const char *name)
{
  ca_service_stats_t *stats = NULL;
  uint64_t window_us = gateway->options.bounds.retry_window_ms * CA_US_PER_MS;

  HASH_FIND (hh, gateway->services, name, strlen (name), stats);
  if (stats != NULL)
    return stats;
  stats = calloc (1, sizeof *stats);
  stats->name = strdup (name);
  stats->prefill_tokens_per_ms = SELECT_PREFILL_TOKENS_PER_MS;
  ca_window_init (&stats->requests, window_us);
  ca_window_init (&stats->retries, window_us);
  ca_window_init (&stats->busy, CA_WORK_SPAN_S * CA_US_PER_S);
  ca_window_init (&stats->arrivals, CA_WORK_SPAN_S * CA_US_PER_S);
  HASH_ADD_KEYPTR (hh, gateway->services, stats->name, strlen (stats->name),
                   stats);
  return stats;
}

double
ca_service_busy_share (ca_gateway_t *gateway, ca_service_stats_t *stats)
{
  return ca_window_sum (&stats->busy, gateway->now_us)
         / (CA_WORK_SPAN_S * CA_US_PER_S);
}

double
ca_service_requests_per_s (ca_gateway_t *gateway, ca_service_stats_t *stats)
{
  return ca_window_sum (&stats->arrivals, gateway->now_us) / CA_WORK_SPAN_S;
}

void
ca_service_stats_finish (ca_gateway_t *gateway)
{
  ca_service_stats_t *stats;
  ca_service_stats_t *next;

  HASH_ITER (hh, gateway->services, stats, next)
  {
    HASH_DEL (gateway->services, stats);
    ca_admission_free (stats);
    free (stats->name);
    free (stats);
  }
}

void
ca_select_update_throughput (ca_gateway_t *gateway,
                             const ca_exchange_t *exchange)
{
  ca_service_stats_t *stats
      = ca_service_stats (gateway, exchange->service->name);
  double took_us = (double)(gateway->now_us - exchange->sent_us);
  double rate;
  double weight;

  ca_endpoint_speed_observe (gateway, exchange, SELECT_FIRST_EVENT_US);
  ca_endpoint_start_answered (gateway, exchange, SELECT_FIRST_EVENT_US);
  if (!exchange->endpoint_idle
      || exchange->prefill_tokens < SELECT_LEARN_TOKENS_MIN)
    return;
  took_us -= SELECT_FIRST_EVENT_US;
  if (took_us < (double)CA_US_PER_MS)
    return;
  rate = exchange->prefill_tokens / (took_us / CA_US_PER_MS);
  /* Implausibly fast: the prompt must have been cached after all. */
  if (rate > stats->prefill_tokens_per_ms * 1.5)
    return;
  weight = rate > stats->prefill_tokens_per_ms ? SELECT_SMOOTHING_UP
                                               : SELECT_SMOOTHING_DOWN;
  stats->prefill_tokens_per_ms
      += (rate - stats->prefill_tokens_per_ms) * weight;
  if (stats->prefill_tokens_per_ms < SELECT_PREFILL_TOKENS_PER_MS_MIN)
    stats->prefill_tokens_per_ms = SELECT_PREFILL_TOKENS_PER_MS_MIN;
}

static bool
select_is_avoided (const ca_exchange_t *exchange,
                   const ca_gateway_endpoint_t *endpoint)
{
  for (uint32_t i = 0; i < exchange->avoided_count; i++)
    {
      if (exchange->avoided[i] == endpoint->hash)
        return true;
    }
  return false;
}

typedef enum
{
  SELECT_INELIGIBLE,  /* draining, not listed, of another service, or of a
                         version at which the stream cannot go on */
  SELECT_UNVERIFIED,  /* of the stream's version, if its process is the listed
                         one */
  SELECT_PAUSED,      /* asked for no requests for a time */
  SELECT_LIMITED,     /* at the limit that it names, or its slots are taken */
  SELECT_UNPERMITTED, /* a permit for one of its slots can be requested */
  SELECT_FULL,        /* reported no capacity a moment ago */
  SELECT_FALLBACK,    /* failed for this request, ejected, or of a version that
                         some entries may not know */
  SELECT_PACED,       /* starting, and gets no more from this entry now */
  SELECT_ELIGIBLE
} select_eligibility_t;

static select_eligibility_t
select_eligibility (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                    ca_gateway_endpoint_t *endpoint)
{
  ca_stream_permission_t stream;
  ca_slot_permission_t permission;
  bool is_fallback;

  if (!ca_gateway_endpoint_is_open (endpoint)
      || strcmp (endpoint->service, exchange->service->name) != 0
      || !ca_rollout_permits (gateway, exchange, endpoint))
    return SELECT_INELIGIBLE;
  stream = ca_stream_versions_check (gateway, exchange, endpoint);
  if (stream == CA_STREAM_NOT_THERE)
    return SELECT_INELIGIBLE;
  if (stream == CA_STREAM_UNVERIFIED)
    return SELECT_UNVERIFIED;
  if (gateway->now_us < endpoint->paused_until_us)
    return SELECT_PAUSED;
  if (!ca_endpoint_limit_allows (gateway, endpoint))
    return SELECT_LIMITED;
  if (gateway->now_us < endpoint->full_until_us)
    return SELECT_FULL;
  is_fallback = select_is_avoided (exchange, endpoint)
                || gateway->now_us < endpoint->ejected_until_us
                || (exchange->route->resumable && exchange->version == 0
                    && gateway->now_us < endpoint->settles_us);
  permission = ca_slot_permits_check (gateway, exchange->service, endpoint);
  if (permission != CA_SLOT_PERMITTED)
    return permission == CA_SLOT_DENIED || is_fallback ? SELECT_LIMITED
                                                       : SELECT_UNPERMITTED;
  if (is_fallback)
    return SELECT_FALLBACK;
  return ca_endpoint_start_allows (gateway, endpoint) ? SELECT_ELIGIBLE
                                                      : SELECT_PACED;
}

/* True if the endpoint may be selected; one that needs a permit is of use only
 * if it is selected to ask for that. */
static bool
select_suffices (select_eligibility_t eligibility,
                 select_eligibility_t required)
{
  return required == SELECT_UNPERMITTED ? eligibility == SELECT_UNPERMITTED
                                        : eligibility >= required;
}

/* Properties of all endpoints of a service, collected before any is rated. */
typedef struct
{
  /* Home of the session; NULL if it is not eligible. */
  const ca_gateway_endpoint_t *home;
  double count;                  /* eligible endpoints */
  double slots;                  /* of all that may take a request */
  double requests_per_heartbeat; /* of all entries, between two heartbeats */
  double us_per_token;           /* prefill time */
  const ca_service_stats_t *stats;
} select_survey_t;

static select_survey_t
select_survey (ca_gateway_t *gateway, const ca_exchange_t *exchange,
               select_eligibility_t required)
{
  ca_service_stats_t *stats
      = ca_service_stats (gateway, exchange->service->name);
  uint64_t session = ca_prompt_shared_hash (&exchange->prompt);
  select_survey_t survey = { .home = NULL };
  ca_gateway_endpoint_t *endpoint;
  uint64_t best = 0;

  survey.stats = stats;
  survey.us_per_token = CA_US_PER_MS / stats->prefill_tokens_per_ms;
  survey.requests_per_heartbeat
      = ca_window_sum (&stats->arrivals, gateway->now_us)
        * (HASH_COUNT (gateway->peers) + 1)
        * (double)gateway->heartbeat_period_us / (CA_WORK_SPAN_S * CA_US_PER_S);
  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      select_eligibility_t eligibility
          = select_eligibility (gateway, exchange, endpoint);
      uint64_t rank;

      if (eligibility > SELECT_LIMITED)
        survey.slots += endpoint->slots;
      if (!select_suffices (eligibility, required))
        continue;
      survey.count++;
      if (session == 0)
        continue;
      rank = ca_affinity_rank (endpoint, session);
      if (survey.home == NULL || rank > best)
        {
          survey.home = endpoint;
          best = rank;
        }
    }
  return survey;
}

/* Fraction of the engines, besides the session's home, that a request
 * compares.  If every entry compared all of them, all would pick the same one
 * until the next heartbeat and send it all their requests. */
static double
select_sample_share (const select_survey_t *survey)
{
  double max
      = survey->requests_per_heartbeat <= 0
            ? survey->count
            : survey->count * SELECT_HERD_MAX / survey->requests_per_heartbeat;

  if (max < SELECT_SAMPLES_MIN)
    max = SELECT_SAMPLES_MIN;
  return survey->count <= max ? 1 : max / survey->count;
}

/* Weight of the load that peers report.  If more requests arrive between two
 * heartbeats than there are slots, the reported load is outdated, and all
 * entries that rely on it pick the same endpoint. */
static double
select_peer_load_weight (const select_survey_t *survey)
{
  if (survey->requests_per_heartbeat <= survey->slots)
    return 1;
  return survey->slots * survey->slots
         / (survey->requests_per_heartbeat * survey->requests_per_heartbeat);
}

static double
select_zone_cost (const ca_gateway_t *gateway,
                  const ca_gateway_endpoint_t *endpoint, double cost)
{
  return strcmp (endpoint->zone, gateway->options.zone) == 0 ? 0 : cost;
}

/* Time to fetch one token from another endpoint; 0 if fetching is disabled. */
static double
select_fetch_us (const ca_service_t *service)
{
  return service->link_mbps > 0
             ? service->cache_token_bytes * 8.0 / service->link_mbps
             : 0;
}

/* Splits the uncached prompt tokens into those to prefill and those to
 * fetch.  The home of the session is assumed to have the shared tokens
 * cached. */
static void
select_count_missing (const ca_exchange_t *exchange,
                      const ca_gateway_endpoint_t *endpoint,
                      const ca_gateway_endpoint_t *home,
                      ca_selection_t *selection)
{
  uint32_t shared = ca_prompt_shared_tokens (&exchange->prompt);
  uint32_t cached
      = endpoint == home
            ? shared
            : ca_affinity_cached_tokens (endpoint, &exchange->prompt);
  uint32_t missing
      = exchange->prompt.tokens > cached ? exchange->prompt.tokens - cached : 0;

  selection->fetched_tokens = 0;
  if (cached < shared && home != NULL
      && select_fetch_us (exchange->service) > 0)
    selection->fetched_tokens = shared - cached;
  if (selection->fetched_tokens > missing)
    selection->fetched_tokens = missing;
  selection->prefill_tokens = missing - selection->fetched_tokens;
}

/* Prompt tokens still to be prefilled of those reported `age_us` ago. */
static double
select_still_unread (double reported, uint64_t age_us, double us_per_token)
{
  double read = (double)age_us / us_per_token;

  return reported > read ? reported - read : 0;
}

/* Prompt tokens of peers still to be prefilled there.  What peers of this zone
 * report may be more recent than heartbeats, which are half a period old on
 * average. */
static double
select_peers_unread (const ca_gateway_t *gateway,
                     const ca_gateway_endpoint_t *endpoint, double us_per_token)
{
  double near = endpoint->near_unread_tokens;
  double far = endpoint->peer_load.unread_tokens - near;

  if (!ca_peer_loads_are_fresh (gateway))
    return select_still_unread (near + far, gateway->heartbeat_period_us / 2,
                                us_per_token);
  return select_still_unread (near, ca_peer_loads_near_age_us (gateway),
                              us_per_token)
         + select_still_unread (far, gateway->heartbeat_period_us / 2,
                                us_per_token);
}

/* Expected time to the first event, plus costs that do not delay it. */
static double
select_engine_cost (const ca_gateway_t *gateway, const ca_exchange_t *exchange,
                    const ca_gateway_endpoint_t *endpoint,
                    const select_survey_t *survey, ca_selection_t *selection)
{
  double slowness
      = ca_endpoint_speed_slowness (gateway, survey->stats, endpoint);
  double us_per_token = survey->us_per_token * slowness;
  double unread = (double)endpoint->own_load.unread_tokens
                  + select_peers_unread (gateway, endpoint, us_per_token);
  double open = (double)endpoint->own_load.open + endpoint->peer_load.open;
  double held = (double)endpoint->own_load.held_tokens
                + endpoint->peer_load.held_tokens + exchange->prompt.tokens
                + exchange->prompt.output_tokens;
  uint32_t slots
      = endpoint->slots > 0 ? endpoint->slots : exchange->service->slots;
  double read_us;
  double fetch_us;
  double cost;

  select_count_missing (exchange, endpoint, survey->home, selection);
  selection->endpoint_idle = unread <= 0;
  read_us = selection->prefill_tokens * us_per_token;
  fetch_us = selection->fetched_tokens * select_fetch_us (exchange->service);
  cost = unread * us_per_token + read_us + fetch_us
         + open * SELECT_BATCH_DELAY_US * slowness;
  selection->expected_us = (uint64_t)(cost / slowness);
  if (slots > 0 && open >= slots)
    cost += SELECT_FULL_US * (1 + (open - slots) / slots);
  if (exchange->service->cache_tokens > 0
      && held > SELECT_MEMORY_SHARE * (double)exchange->service->cache_tokens)
    cost += SELECT_FULL_US;
  selection->predicted_us = (uint64_t)cost + SELECT_FIRST_EVENT_US;
  cost += read_us * (SELECT_PREFILL_WEIGHT - 1)
          + fetch_us * (SELECT_FETCH_WEIGHT - 1);
  cost += ca_interference_at (gateway, exchange, survey->stats, endpoint,
                              read_us, us_per_token);
  cost += select_zone_cost (gateway, endpoint, SELECT_ZONE_ENGINE_US);
  return cost * (1 + 3 * endpoint->error_share);
}

/* Cost of a plain endpoint, mainly its open requests per slot.  The more
 * outdated the reported load is, the more chance and this entry's own
 * measurements count, since all entries decide on the same report. */
static double
select_plain_cost (ca_gateway_t *gateway, const ca_gateway_endpoint_t *endpoint,
                   double peer_load_weight, ca_selection_t *selection)
{
  double slots = endpoint->slots > 0 ? endpoint->slots : 1;
  double open = ((double)endpoint->own_load.open
                 + endpoint->peer_load.open * peer_load_weight)
                / slots;
  double cost = open;

  selection->predicted_us = (uint64_t)(endpoint->latency_us * (1 + open));
  cost += select_zone_cost (gateway, endpoint,
                            SELECT_ZONE_PLAIN * peer_load_weight);
  cost += 2 * endpoint->error_share;
  cost
      += (SELECT_JITTER + (1 - peer_load_weight)) * ca_gateway_random (gateway);
  /* The latency of the endpoint counts relative to 100 ms. */
  return cost + endpoint->latency_us / (100.0 * CA_US_PER_MS) * (0.2 + open);
}

static bool
select_is_unreachable (const ca_gateway_t *gateway,
                       const ca_gateway_endpoint_t *endpoint)
{
  return endpoint->connect_failed_us != 0
         && gateway->now_us - endpoint->connect_failed_us
                < SELECT_UNREACHABLE_US;
}

/* The cheapest endpoint with the required eligibility, among a random sample
 * and the session's home. */
static ca_selection_t
select_best_of (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                select_eligibility_t required, const select_survey_t *survey,
                double sample_share)
{
  bool is_engine = exchange->service->is_engine;
  double peer_load_weight = is_engine ? 1 : select_peer_load_weight (survey);
  ca_selection_t best = { .any_open = false };
  double best_cost = 0;
  ca_gateway_endpoint_t *endpoint;

  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      select_eligibility_t eligibility
          = select_eligibility (gateway, exchange, endpoint);
      ca_selection_t selection = { .endpoint = endpoint, .any_open = true };
      double cost;

      if (eligibility == SELECT_UNVERIFIED)
        best.any_unverified = true;
      if (eligibility == SELECT_LIMITED || eligibility == SELECT_UNPERMITTED)
        best.any_limited = true;
      if (eligibility == SELECT_PAUSED
          && (best.resumes_us == 0
              || endpoint->paused_until_us < best.resumes_us))
        best.resumes_us = endpoint->paused_until_us;
      if (eligibility > SELECT_UNPERMITTED)
        best.any_open = true;
      if (eligibility == SELECT_PACED)
        best.any_paced = true;
      if (!select_suffices (eligibility, required)
          || (endpoint != survey->home && sample_share < 1
              && ca_gateway_random (gateway)
                     >= sample_share
                            * ca_endpoint_start_sample_factor (endpoint))
          || (required == SELECT_FALLBACK
              && select_is_unreachable (gateway, endpoint)))
        continue;
      cost = is_engine ? select_engine_cost (gateway, exchange, endpoint,
                                             survey, &selection)
                       : select_plain_cost (gateway, endpoint, peer_load_weight,
                                            &selection);
      if (!is_engine && endpoint->slots > 0
          && endpoint->own_load.open
                     + endpoint->peer_load.open * peer_load_weight
                 >= SELECT_PLAIN_QUEUE * endpoint->slots)
        continue;
      if (best.endpoint == NULL || cost < best_cost)
        {
          best = selection;
          best_cost = cost;
        }
    }
  return best;
}

/* Tries samples and the session's home first, then all endpoints. */
static ca_selection_t
select_best (ca_gateway_t *gateway, const ca_exchange_t *exchange,
             select_eligibility_t required)
{
  select_survey_t survey = select_survey (gateway, exchange, required);
  double sample_share
      = exchange->service->is_engine ? select_sample_share (&survey) : 1;
  ca_selection_t best
      = select_best_of (gateway, exchange, required, &survey, sample_share);

  for (uint32_t i = 1; i < SELECT_SAMPLE_TRIES && survey.count > 0
                       && best.endpoint == NULL && sample_share < 1;
       i++)
    best = select_best_of (gateway, exchange, required, &survey, sample_share);
  if (best.endpoint == NULL && sample_share < 1)
    best = select_best_of (gateway, exchange, required, &survey, 1);
  return best;
}

/* True if cached tokens can be fetched from the endpoint to the chosen one.
 * Draining ones qualify. */
static bool
select_is_source (const ca_gateway_t *gateway, const ca_exchange_t *exchange,
                  const ca_gateway_endpoint_t *chosen,
                  const ca_gateway_endpoint_t *endpoint)
{
  return endpoint->state != CA_GATEWAY_ENDPOINT_GONE
         && gateway->now_us >= endpoint->ejected_until_us
         && !select_is_unreachable (gateway, endpoint)
         && strcmp (endpoint->service, exchange->service->name) == 0
         && endpoint->version_number == chosen->version_number;
}

/* The endpoint to fetch shared prompt tokens from: the one with most of them
 * according to what this entry has sent, else the session's home.  If the
 * home itself was chosen, the next in rank, which was the home before that
 * endpoint joined. */
static const ca_gateway_endpoint_t *
select_source (const ca_gateway_t *gateway, const ca_exchange_t *exchange,
               const ca_gateway_endpoint_t *chosen)
{
  uint64_t session = ca_prompt_shared_hash (&exchange->prompt);
  uint32_t shared = ca_prompt_shared_tokens (&exchange->prompt);
  uint32_t max = ca_affinity_cached_tokens (chosen, &exchange->prompt);
  const ca_gateway_endpoint_t *source = NULL;
  const ca_gateway_endpoint_t *next_home = NULL;
  const ca_gateway_endpoint_t *endpoint;
  uint64_t best = 0;

  if (session == 0 || max >= shared || select_fetch_us (exchange->service) <= 0)
    return NULL;
  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      uint32_t cached;
      uint64_t rank;

      if (endpoint == chosen
          || !select_is_source (gateway, exchange, chosen, endpoint))
        continue;
      cached = ca_affinity_cached_tokens (endpoint, &exchange->prompt);
      rank = ca_affinity_rank (endpoint, session);
      if (cached > max)
        {
          max = cached;
          source = endpoint;
        }
      if (next_home == NULL || rank > best)
        {
          next_home = endpoint;
          best = rank;
        }
    }
  return source != NULL ? source : next_home;
}

/* The best endpoint of at least this eligibility, or any that is open. */
static ca_selection_t
select_endpoint (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                 select_eligibility_t preferred)
{
  ca_selection_t selection = select_best (gateway, exchange, preferred);

  if (selection.endpoint == NULL && selection.any_paced)
    selection = select_best (gateway, exchange, SELECT_PACED);
  if (selection.endpoint == NULL && selection.any_open)
    selection = select_best (gateway, exchange, SELECT_FALLBACK);
  if (selection.endpoint != NULL && exchange->service->is_engine)
    selection.source = select_source (gateway, exchange, selection.endpoint);
  return selection;
}

ca_selection_t
ca_select_endpoint (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  ca_selection_t selection
      = select_endpoint (gateway, exchange, SELECT_ELIGIBLE);

  if (selection.any_paced)
    ca_counters_add (&gateway->counters, CA_COUNT_ENDPOINTS_PACED, 1);
  return selection;
}

ca_selection_t
ca_select_endpoint_unpaced (ca_gateway_t *gateway,
                            const ca_exchange_t *exchange)
{
  return select_endpoint (gateway, exchange, SELECT_PACED);
}

ca_gateway_endpoint_t *
ca_select_to_request (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  return select_best (gateway, exchange, SELECT_UNPERMITTED).endpoint;
}
