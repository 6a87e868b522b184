/* The endpoint for a request.
 *
 * Model work goes where its first event is expected soonest: prompts in line,
 * tokens of its own that are not yet kept there, requests that share the
 * batch.  Plain work goes to the endpoint with the least open for its slots.
 * Load counted at an endpoint is this entry's own, exact, and its peers' by
 * their latest pulses. */
#include "gateway/private.h"

#include <stdlib.h>
#include <string.h>

/* Prompt tokens that an engine reads in a millisecond until that is learned:
 * near the figures of the users' sheets. */
#define SELECT_READ_TOKENS_PER_MS 30.0
#define SELECT_READ_TOKENS_PER_MS_MIN 2.0

/* Overhead of a first event beside reading: a step of the batch, two ways. */
#define SELECT_FIRST_EVENT_US (20 * CA_US_PER_MS)

/* How much one request in the batch delays the others' prompts. */
#define SELECT_BATCH_DELAY_US 1500.0

/* Preference for the own zone: bytes between zones cost, and links between
 * them fail. */
#define SELECT_ZONE_ENGINE_US 12000.0
#define SELECT_ZONE_PLAIN 0.15

/* Weight of reading tokens again beside the time that it takes: it also
 * delays all others. */
#define SELECT_READ_WEIGHT 1.5

/* Weight of fetching tokens from another endpoint beside the time that it
 * takes: memory that is moved is priced, and both ends' links are shared. */
#define SELECT_FETCH_WEIGHT 20.0

/* Part of an engine's memory that prompts are thought to be kept in. */
#define SELECT_MEMORY_SHARE 0.92

/* Cost of being beyond the slots or the memory: the wait for a request there
 * to end. */
#define SELECT_FULL_US 700000.0

/* Requests between two words of load that may take the same engine for the
 * best: about those whose prompts it reads in that time; and the engines that
 * a request looks at, at least. */
#define SELECT_HERD_MAX 4.0
#define SELECT_SAMPLES_MIN 2.0

/* The part of chance in every choice. */
#define SELECT_JITTER 0.05

/* Plain endpoints queue a few requests beyond their slots. */
#define SELECT_PLAIN_QUEUE 2.5

/* An endpoint that could not be reached is tried again after this even if
 * no other is left. */
#define SELECT_UNREACHABLE_US (250 * CA_US_PER_MS)

/* Weight of the newest reading when it shows a faster engine, or a slower. */
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
  stats->read_tokens_per_ms = SELECT_READ_TOKENS_PER_MS;
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
    free (stats->name);
    free (stats);
  }
}

void
ca_select_learn (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  ca_service_stats_t *stats
      = ca_service_stats (gateway, exchange->service->name);
  double took_us = (double)(gateway->now_us - exchange->sent_us);
  double rate;
  double weight;

  if (!exchange->endpoint_idle
      || exchange->read_tokens < SELECT_LEARN_TOKENS_MIN)
    return;
  took_us -= SELECT_FIRST_EVENT_US;
  if (took_us < (double)CA_US_PER_MS)
    return;
  rate = exchange->read_tokens / (took_us / CA_US_PER_MS);
  /* Faster than any known engine: the prompt was kept there after all. */
  if (rate > stats->read_tokens_per_ms * 1.5)
    return;
  weight = rate > stats->read_tokens_per_ms ? SELECT_SMOOTHING_UP
                                            : SELECT_SMOOTHING_DOWN;
  stats->read_tokens_per_ms += (rate - stats->read_tokens_per_ms) * weight;
  if (stats->read_tokens_per_ms < SELECT_READ_TOKENS_PER_MS_MIN)
    stats->read_tokens_per_ms = SELECT_READ_TOKENS_PER_MS_MIN;
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
  SELECT_INELIGIBLE, /* not for this request */
  SELECT_FULL,       /* it has just said that it has no room */
  SELECT_FALLBACK,   /* out for now */
  SELECT_ELIGIBLE
} select_eligibility_t;

static select_eligibility_t
select_eligibility (const ca_gateway_t *gateway, const ca_exchange_t *exchange,
                    const ca_gateway_endpoint_t *endpoint)
{
  if (!ca_gateway_endpoint_is_open (endpoint)
      || strcmp (endpoint->service, exchange->service->name) != 0)
    return SELECT_INELIGIBLE;
  if (gateway->now_us < endpoint->full_until_us)
    return SELECT_FULL;
  if (select_is_avoided (exchange, endpoint)
      || gateway->now_us < endpoint->ejected_until_us)
    return SELECT_FALLBACK;
  return SELECT_ELIGIBLE;
}

/* What one look at a service's endpoints tells, before any is weighed. */
typedef struct
{
  const ca_gateway_endpoint_t
      *home;    /* of the session, among those that fit; may be NULL */
  double count; /* that fit */
  double slots; /* of all that are open */
  double requests_per_heartbeat; /* requests that all entries get between two
                                    words */
  double us_per_token;           /* to read it */
} select_survey_t;

static select_survey_t
select_survey (ca_gateway_t *gateway, const ca_exchange_t *exchange,
               select_eligibility_t required)
{
  ca_service_stats_t *stats
      = ca_service_stats (gateway, exchange->service->name);
  uint64_t session = ca_prompt_session (&exchange->prompt);
  select_survey_t survey = { .home = NULL };
  const ca_gateway_endpoint_t *endpoint;
  uint64_t best = 0;

  survey.us_per_token = CA_US_PER_MS / stats->read_tokens_per_ms;
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

      if (eligibility != SELECT_INELIGIBLE)
        survey.slots += endpoint->slots;
      if (eligibility < required)
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

/* Part of the engines, beside a session's home, that a request looks at.  The
 * best of all would be the same for every entry until the next word of load,
 * and get all their requests. */
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

/* How far what peers told of their load can be trusted: if between two words
 * more requests come than there are slots, the word is of others than are
 * there now, and all who follow it go to the same endpoint. */
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

/* Time to fetch a token from another endpoint; 0 if none can be fetched. */
static double
select_fetch_us (const ca_service_t *service)
{
  return service->link_mbps > 0
             ? service->cache_token_bytes * 8.0 / service->link_mbps
             : 0;
}

/* Tokens of the prompt that the endpoint has to read, and to fetch: those that
 * it does not keep, of which the home keeps the shared ones. */
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
  selection->read_tokens = missing - selection->fetched_tokens;
}

/* Tokens that peers' prompts still have to be read there: since their words,
 * which are half a period old on average, some have been. */
static double
select_peers_unread (const ca_gateway_t *gateway,
                     const ca_gateway_endpoint_t *endpoint, double us_per_token)
{
  double read = (double)gateway->heartbeat_period_us / 2 / us_per_token;

  return endpoint->peers.unread_tokens > read
             ? endpoint->peers.unread_tokens - read
             : 0;
}

/* Expected time to the first event, with what else counts against a place. */
static double
select_engine_cost (const ca_gateway_t *gateway, const ca_exchange_t *exchange,
                    const ca_gateway_endpoint_t *endpoint,
                    const select_survey_t *survey, ca_selection_t *selection)
{
  double us_per_token = survey->us_per_token;
  double unread = (double)endpoint->own.unread_tokens
                  + select_peers_unread (gateway, endpoint, us_per_token);
  double open = (double)endpoint->own.open + endpoint->peers.open;
  double held = (double)endpoint->own.held_tokens + endpoint->peers.held_tokens
                + exchange->prompt.tokens + exchange->prompt.output_tokens;
  uint32_t slots
      = endpoint->slots > 0 ? endpoint->slots : exchange->service->slots;
  double read_us;
  double fetch_us;
  double cost;

  select_count_missing (exchange, endpoint, survey->home, selection);
  selection->endpoint_idle = unread <= 0;
  read_us = selection->read_tokens * us_per_token;
  fetch_us = selection->fetched_tokens * select_fetch_us (exchange->service);
  cost = unread * us_per_token + read_us + fetch_us
         + open * SELECT_BATCH_DELAY_US;
  if (slots > 0 && open >= slots)
    cost += SELECT_FULL_US * (1 + (open - slots) / slots);
  if (exchange->service->cache_tokens > 0
      && held > SELECT_MEMORY_SHARE * (double)exchange->service->cache_tokens)
    cost += SELECT_FULL_US;
  selection->predicted_us = (uint64_t)cost + SELECT_FIRST_EVENT_US;
  cost += read_us * (SELECT_READ_WEIGHT - 1)
          + fetch_us * (SELECT_FETCH_WEIGHT - 1);
  cost += select_zone_cost (gateway, endpoint, SELECT_ZONE_ENGINE_US);
  return cost * (1 + 3 * endpoint->error_share);
}

/* With fresh word of all load, the least loaded; the staler it is, the more by
 * chance and by this entry's own times, since all choose at once by the same
 * word. */
static double
select_plain_cost (ca_gateway_t *gateway, const ca_gateway_endpoint_t *endpoint,
                   double peer_load_weight, ca_selection_t *selection)
{
  double slots = endpoint->slots > 0 ? endpoint->slots : 1;
  double open
      = ((double)endpoint->own.open + endpoint->peers.open * peer_load_weight)
        / slots;
  double cost = open;

  selection->predicted_us = (uint64_t)(endpoint->latency_us * (1 + open));
  cost += select_zone_cost (gateway, endpoint,
                            SELECT_ZONE_PLAIN * peer_load_weight);
  cost += 2 * endpoint->error_share;
  cost
      += (SELECT_JITTER + (1 - peer_load_weight)) * ca_gateway_random (gateway);
  /* A slow one counts for its time, against a tenth of a second. */
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

/* The best endpoint that fits at least so well, of a sample of them and the
 * home. */
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

      if (eligibility == SELECT_INELIGIBLE)
        continue;
      best.any_open = true;
      if (eligibility < required
          || (endpoint != survey->home && sample_share < 1
              && ca_gateway_random (gateway) >= sample_share)
          || (required == SELECT_FALLBACK
              && select_is_unreachable (gateway, endpoint)))
        continue;
      cost = is_engine ? select_engine_cost (gateway, exchange, endpoint,
                                             survey, &selection)
                       : select_plain_cost (gateway, endpoint, peer_load_weight,
                                            &selection);
      if (!is_engine && endpoint->slots > 0
          && endpoint->own.open + endpoint->peers.open * peer_load_weight
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

/* The best of the home and a sample, or of all if these have none. */
static ca_selection_t
select_best (ca_gateway_t *gateway, const ca_exchange_t *exchange,
             select_eligibility_t required)
{
  select_survey_t survey = select_survey (gateway, exchange, required);
  double sample_share
      = exchange->service->is_engine ? select_sample_share (&survey) : 1;
  ca_selection_t best
      = select_best_of (gateway, exchange, required, &survey, sample_share);

  if (best.endpoint == NULL && sample_share < 1)
    best = select_best_of (gateway, exchange, required, &survey, 1);
  return best;
}

/* True if parts can be fetched from the endpoint: also if it is leaving. */
static bool
select_is_source (const ca_gateway_t *gateway, const ca_exchange_t *exchange,
                  const ca_gateway_endpoint_t *endpoint)
{
  return endpoint->state != CA_GATEWAY_ENDPOINT_GONE
         && gateway->now_us >= endpoint->ejected_until_us
         && !select_is_unreachable (gateway, endpoint)
         && strcmp (endpoint->service, exchange->service->name) == 0;
}

/* The endpoint, other than the one chosen, that keeps most of the shared
 * parts: by what this entry has sent; else the session's home, or, where that
 * was chosen, the one that would be the home without it, and was before it
 * came. */
static const ca_gateway_endpoint_t *
select_source (const ca_gateway_t *gateway, const ca_exchange_t *exchange,
               const ca_gateway_endpoint_t *chosen)
{
  uint64_t session = ca_prompt_session (&exchange->prompt);
  uint32_t shared = ca_prompt_shared_tokens (&exchange->prompt);
  uint32_t max = ca_affinity_cached_tokens (chosen, &exchange->prompt);
  const ca_gateway_endpoint_t *source = NULL;
  const ca_gateway_endpoint_t *next = NULL;
  const ca_gateway_endpoint_t *endpoint;
  uint64_t best = 0;

  if (session == 0 || max >= shared || select_fetch_us (exchange->service) <= 0)
    return NULL;
  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      uint32_t cached;
      uint64_t rank;

      if (endpoint == chosen || !select_is_source (gateway, exchange, endpoint))
        continue;
      cached = ca_affinity_cached_tokens (endpoint, &exchange->prompt);
      rank = ca_affinity_rank (endpoint, session);
      if (cached > max)
        {
          max = cached;
          source = endpoint;
        }
      if (next == NULL || rank > best)
        {
          next = endpoint;
          best = rank;
        }
    }
  return source != NULL ? source : next;
}

ca_selection_t
ca_select_endpoint (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  ca_selection_t selection = select_best (gateway, exchange, SELECT_ELIGIBLE);

  if (selection.endpoint == NULL && selection.any_open)
    selection = select_best (gateway, exchange, SELECT_FALLBACK);
  if (selection.endpoint != NULL && exchange->service->is_engine)
    selection.source = select_source (gateway, exchange, selection.endpoint);
  return selection;
}
