/* What the files of the gateway share. */
#ifndef CA_GATEWAY_PRIVATE_H
#define CA_GATEWAY_PRIVATE_H

#include "gateway/gateway.h"

/* Writes a log line. */
void ca_gateway_log (ca_gateway_t *gateway, ca_event_number_t event,
                     const char *request, const char *subject,
                     const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Number of the entry with this name. */
uint64_t ca_gateway_id (const char *name);

/* Uniform in [0, 1). */
double ca_gateway_random (ca_gateway_t *gateway);

/* --- exchange.c --- */

void ca_exchanges_tick (ca_gateway_t *gateway);
void ca_exchanges_finish (ca_gateway_t *gateway);

/* --- state_sync.c --- */

void ca_state_sync_tick (ca_gateway_t *gateway);

/* A peer asks how new our configuration is, or answers that. */
void ca_state_sync_answer_validation (ca_gateway_t *gateway,
                                      const Camphor__Envelope *envelope);
void ca_state_sync_apply_validation (ca_gateway_t *gateway,
                                     const Camphor__Envelope *envelope);

/* --- select.c --- */

typedef struct
{
  ca_gateway_endpoint_t *endpoint;     /* NULL if there is none now */
  bool any_open;                       /* the service has an endpoint at all */
  uint64_t predicted_us;               /* to the first event or the answer */
  uint32_t read_tokens;                /* of the prompt, that it has to read */
  uint32_t fetched_tokens;             /* that it gets from `source` instead */
  const ca_gateway_endpoint_t *source; /* NULL if there is none */
  bool endpoint_idle;                  /* nothing waits there */
} ca_selection_t;

ca_selection_t ca_select_endpoint (ca_gateway_t *gateway,
                                   const ca_exchange_t *exchange);

ca_service_stats_t *ca_service_stats (ca_gateway_t *gateway, const char *name);
/* Spans over which a workspace's demand and a service's work are measured. */
#define CA_DEMAND_SPAN_S 2
#define CA_WORK_SPAN_S 3

/* Endpoints' worth of time that requests through this entry take, and their
 * number a second. */
double ca_service_busy_share (ca_gateway_t *gateway, ca_service_stats_t *stats);
double ca_service_requests_per_s (ca_gateway_t *gateway,
                                  ca_service_stats_t *stats);
void ca_service_stats_finish (ca_gateway_t *gateway);

/* Learns from the time to a first event. */
void ca_select_learn (ca_gateway_t *gateway, const ca_exchange_t *exchange);

/* --- quota.c --- */

bool ca_quota_take (ca_gateway_t *gateway,
                    const ca_catalog_workspace_t *workspace, double cost,
                    uint64_t *wait_us);
void ca_quota_return (ca_gateway_t *gateway,
                      const ca_catalog_workspace_t *workspace, double cost);

/* Takes off what a peer admitted between two of its pulses; `before` is NULL
 * for the first of a life. */
void ca_quota_take_heartbeat (ca_gateway_t *gateway,
                              const Camphor__Pulse *before,
                              const Camphor__Pulse *now);

/* Works the shares out anew. */
void ca_quota_tick (ca_gateway_t *gateway);
void ca_quota_finish (ca_gateway_t *gateway);

/* True if one more send beyond a request's first is within the budget; the
 * send is then counted. */
bool ca_retry_budget_take (ca_gateway_t *gateway, const char *service);

/* --- crash_tracker.c --- */

bool ca_crash_tracker_is_blocked (const ca_gateway_t *gateway,
                                  uint64_t fingerprint);
void ca_crash_tracker_suspect (ca_gateway_t *gateway,
                               const ca_exchange_t *exchange);
void ca_crash_tracker_clear (ca_gateway_t *gateway, uint64_t fingerprint);
/* The endpoint cannot be reached: cut runs there were strikes. */
void ca_crash_tracker_confirm (ca_gateway_t *gateway,
                               const ca_gateway_endpoint_t *endpoint);
void ca_crash_tracker_tick (ca_gateway_t *gateway);
void ca_crash_tracker_finish (ca_gateway_t *gateway);

/* --- usage.c --- */

/* A run of a workspace's request began at `at_us`. */
void ca_usage_count (ca_gateway_t *gateway, const char *workspace,
                     uint64_t at_us);
void ca_usage_add (struct ca_usage_rows *rows, uint64_t window,
                   const char *workspace, uint32_t count);
/* Raises a window's counts to those of `least`. */
void ca_usage_raise_to (struct ca_usage_rows *rows,
                        const struct ca_usage_rows *minimum, uint64_t window);
void ca_usage_expire (ca_gateway_t *gateway);
void ca_usage_rows_finish (struct ca_usage_rows *rows);

uint64_t ca_usage_window (const ca_gateway_t *gateway, uint64_t at_us);

/* Sums what all entries have told of one window. */
void ca_usage_total (const ca_gateway_t *gateway, uint64_t window,
                     struct ca_usage_rows *total);

/* Agreed time of day, in microseconds since 1970. */
uint64_t ca_gateway_wall_us (const ca_gateway_t *gateway, uint64_t at_us);

/* --- peers.c --- */

/* An entry that is not heard for this long is not counted as live, and what
 * it had open no longer counts. */
#define CA_PEER_TIMEOUT_US (2 * CA_US_PER_S)

/* Pulses to each other entry, where there are few. */
#define CA_HEARTBEAT_PERIOD_US (300 * CA_US_PER_MS)

void ca_peers_tick (ca_gateway_t *gateway, uint64_t wall_us);
void ca_peers_finish (ca_gateway_t *gateway);

/* Row of another entry; NULL if it is not known. */
ca_peer_t *ca_peers_find (const ca_gateway_t *gateway, uint64_t id);

/* Sends an envelope, with this entry as its sender. */
void ca_peers_send (ca_gateway_t *gateway, const ca_address_t *to,
                    Camphor__Envelope *envelope);

/* True if the entry is heard and in this entry's zone. */
bool ca_peers_in_same_zone (const ca_gateway_t *gateway, const ca_peer_t *peer);

/* Learns how the sender's clock stands to ours from a stamp of it that has
 * just come. */
void ca_peers_update_clock_offset (const ca_gateway_t *gateway, ca_peer_t *peer,
                                   uint64_t stamp_us);

/* Entries of this zone that are heard and read the store, this one included,
 * and those of them that come before it. */
void ca_peers_count_same_zone (const ca_gateway_t *gateway, uint32_t *same_zone,
                               uint32_t *before);

/* The k-th live entry, by their numbers, that reads the store;
 * NULL for this entry itself, and where there are fewer. */
const ca_peer_t *ca_peers_validator (const ca_gateway_t *gateway, uint32_t k,
                                     bool *is_self);

/* Entries heard of lately, this one included. */
uint32_t ca_peers_live_count (const ca_gateway_t *gateway);

/* True if a live entry says that it holds the lease on duties. */
bool ca_peers_have_leader (const ca_gateway_t *gateway);

/* True if this entry and all live ones began after that time of day. */
bool ca_peers_all_started_after (const ca_gateway_t *gateway, uint64_t wall_us);

/* Live entries that read the store and come before this one: those that began
 * earlier, since they have heard more. */
uint32_t ca_peers_seniority (const ca_gateway_t *gateway);

/* What all entries' callers ask of a service. */
typedef struct
{
  double busy; /* endpoints' worth of reading prompts */
  double held_tokens;
  double requests_per_s;
} ca_service_work_t;

void ca_peers_service_work (ca_gateway_t *gateway, const char *service,
                            ca_service_work_t *work);

/* --- relay.c --- */

/* Word of a table from a peer. */
void ca_relay_receive (ca_gateway_t *gateway,
                       const Camphor__Envelope *envelope);

#endif
