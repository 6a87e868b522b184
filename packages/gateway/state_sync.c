/* The entry's copies of the configuration and of the list of endpoints, and how
 * they are kept up to date. */
#include "gateway/private.h"
#include "gateway/validation_times.h"
#include "gateway/watch_times.h"

#include <inttypes.h>
#include <string.h>

/* An endpoint missing from the list this long after the store's recovery has
 * left: the platform restores the records of running endpoints within about
 * 2 s. */
#define LIST_RECOVERY_US (2100 * CA_US_PER_MS)

/* Peers that are asked at a time whether the store has answered them meanwhile,
 * and the interval. */
#define LIST_RECOVERY_PEERS 4
#define LIST_RECOVERY_REQUEST_US (300 * CA_US_PER_MS)

/* A newer configuration that only a peer has had for this long is requested
 * from that peer. */
#define CATALOG_OUTDATED_US (500 * CA_US_PER_MS)

/* Minimum interval between requests for a peer's configuration. */
#define CATALOG_REQUEST_PERIOD_US (300 * CA_US_PER_MS)

/* A copy counts as overdue this long before the bound: times of peers are
 * mapped to this entry's clock with a smaller error. */
#define CONFIG_OVERDUE_MARGIN_US CA_GATEWAY_TICK_US

void
ca_state_sync_name_version (ca_gateway_t *gateway, uint64_t version)
{
  if (version <= gateway->named_version || gateway->catalog == NULL
      || version <= gateway->catalog->version)
    return;
  if (gateway->named_version <= gateway->catalog->version)
    gateway->replaced_us = gateway->now_us;
  gateway->named_version = version;
  gateway->named_us = gateway->now_us;
}

/* Time since a peer first named a version; 0 if none did. */
static uint64_t
state_sync_named_age_us (const ca_gateway_t *gateway, uint64_t version)
{
  return gateway->named_version == version && version != 0
             ? gateway->now_us - gateway->named_us
             : 0;
}

/* Latest time at which the configuration in force is known to have been the
 * newest. */
static uint64_t
state_sync_newest_us (const ca_gateway_t *gateway)
{
  const ca_freshness_t *freshness = &gateway->config_freshness;

  return freshness->known && freshness->validated_us > gateway->config_newest_us
             ? freshness->validated_us
             : gateway->config_newest_us;
}

/* True if a configuration that was confirmed at `replaced_us` has to be in
 * force by now. */
static bool
state_sync_is_due (const ca_gateway_t *gateway, uint64_t replaced_us)
{
  return gateway->now_us + CONFIG_OVERDUE_MARGIN_US
         >= replaced_us + gateway->options.bounds.propagation_ms * CA_US_PER_MS;
}

bool
ca_state_sync_config_may_be_overdue (const ca_gateway_t *gateway)
{
  return state_sync_is_due (gateway, state_sync_newest_us (gateway));
}

bool
ca_state_sync_config_is_overdue (const ca_gateway_t *gateway)
{
  uint64_t newest_us = state_sync_newest_us (gateway);

  if (gateway->options.bounds.propagation_ms == 0 || gateway->catalog == NULL
      || gateway->named_version <= gateway->catalog->version)
    return false;
  /* A store that has lost the newer one may have validated this one since. */
  if (newest_us > gateway->replaced_us)
    newest_us = gateway->replaced_us;
  return state_sync_is_due (gateway, newest_us);
}

void
ca_gateway_config_newest (ca_gateway_t *gateway, uint64_t newest_us)
{
  gateway->config_newest_us = newest_us;
}

void
ca_gateway_catalog (ca_gateway_t *gateway, uint64_t now_us,
                    ca_catalog_t *catalog)
{
  ca_catalog_t *former = gateway->catalog;

  gateway->now_us = now_us;
  if (former != NULL && catalog->version <= former->version)
    {
      ca_catalog_unref (catalog);
      return;
    }
  gateway->catalog = catalog;
  gateway->replaced_us = gateway->named_us;
  gateway->next_share_us = 0;
  ca_gateway_log (
      gateway, CA_EVENT_CONFIG_APPLIED, NULL, NULL,
      "version %" PRIu64 " replaces %" PRIu64
      ", %u routes, %u workspaces, %zu bytes from %s, built in "
      "%" PRIu64 " us, named by a peer %" PRIu64 " ms before",
      catalog->version, former == NULL ? 0 : former->version,
      catalog->route_count, catalog->workspace_count, catalog->text_bytes,
      catalog->source == NULL ? "a file" : catalog->source, catalog->build_us,
      state_sync_named_age_us (gateway, catalog->version) / CA_US_PER_MS);
  if (former != NULL)
    {
      ca_config_transfer_replaced (gateway, former);
      ca_catalog_retire (former);
    }
  ca_catalog_unref (former);
}

void
ca_gateway_config_validated (ca_gateway_t *gateway, uint64_t now_us,
                             uint64_t sent_us, uint64_t store_us)
{
  gateway->now_us = now_us;
  ca_freshness_from_store (&gateway->config_freshness, sent_us, store_us);
}

void
ca_gateway_store_state (ca_gateway_t *gateway, uint64_t now_us, bool down,
                        bool gone)
{
  gateway->now_us = now_us;
  if (gateway->store_unreachable && !gone)
    gateway->store_recovered_us = now_us;
  gateway->store_unreachable = gone;
  if (gateway->store_down == down)
    return;
  gateway->store_down = down;
  ca_gateway_log (gateway, down ? CA_EVENT_STORE_DOWN : CA_EVENT_STORE_UP, NULL,
                  NULL, "configuration validated %" PRIu64 " ms ago",
                  gateway->config_freshness.known
                      ? ca_freshness_age_us (&gateway->config_freshness, now_us)
                            / CA_US_PER_MS
                      : 0);
}

/* Logs an answer that is not used for its era, the first of a series. */
static void
state_sync_bad_era (ca_gateway_t *gateway, const char *what)
{
  ca_counters_add (&gateway->counters, CA_COUNT_STORE_BAD_ERAS, 1);
  if (!gateway->bad_era_logged)
    ca_gateway_log (gateway, CA_EVENT_STORE_BAD_ERA, NULL, NULL,
                    "%s, expected era %" PRIu64, what, gateway->store_era);
  gateway->bad_era_logged = true;
}

/* Applies a later era.  The first one that is known changes nothing. */
static void
state_sync_raise_era (ca_gateway_t *gateway, uint64_t era, const char *source)
{
  uint64_t former = gateway->store_era;

  gateway->store_era = era;
  gateway->store_era_us = gateway->now_us;
  if (gateway->first_store_era == 0)
    gateway->first_store_era = era;
  if (gateway->now_us - gateway->leader_heard_us
      >= gateway->options.bounds.lease_ms * CA_US_PER_MS)
    gateway->reports_known = false;
  if (former == 0)
    return;
  ca_counters_add (&gateway->counters, CA_COUNT_STORE_RESTORES, 1);
  ca_gateway_log (gateway, CA_EVENT_STORE_ERA, NULL, NULL,
                  "era %" PRIu64 " after %" PRIu64 ", known from %s; "
                  "configuration version %" PRIu64 " stays in force",
                  era, former, source,
                  gateway->catalog == NULL ? 0 : gateway->catalog->version);
  gateway->store_recovered_us = gateway->now_us;
  gateway->store_answers_us = 0;
  gateway->ports.store_restored (gateway->ports.context);
}

bool
ca_gateway_store_era (ca_gateway_t *gateway, uint64_t now_us,
                      ca_era_statement_t statement, uint64_t era)
{
  gateway->now_us = now_us;
  if (statement == CA_ERA_MALFORMED)
    {
      state_sync_bad_era (gateway, "the era is not a number");
      return gateway->store_era == 0;
    }
  if (statement == CA_ERA_MISSING)
    {
      if (gateway->store_era != 0)
        state_sync_bad_era (gateway, "no era");
      return gateway->store_era == 0;
    }
  if (era < gateway->store_era)
    {
      state_sync_bad_era (gateway, "an earlier era");
      return false;
    }
  gateway->bad_era_logged = false;
  if (era > gateway->store_era)
    state_sync_raise_era (gateway, era, "the store");
  return true;
}

void
ca_state_sync_peer_era (ca_gateway_t *gateway, uint64_t era)
{
  if (era > gateway->store_era)
    state_sync_raise_era (gateway, era, "a peer");
}

/* True while endpoints may be missing from the list just because the store was
 * unreachable. */
static bool
state_sync_list_is_recovering (const ca_gateway_t *gateway)
{
  return gateway->store_unreachable
         || (gateway->store_recovered_us != 0
             && gateway->now_us - gateway->store_recovered_us
                    < LIST_RECOVERY_US);
}

void
ca_gateway_list_begin (ca_gateway_t *gateway, uint64_t now_us)
{
  gateway->now_us = now_us;
  ca_registry_mark_missing (&gateway->registry, now_us);
}

void
ca_gateway_list_end (ca_gateway_t *gateway, uint64_t now_us)
{
  gateway->now_us = now_us;
  if (gateway->registry_known)
    ca_version_history_note_gap (gateway);
  else
    gateway->first_list_us = now_us;
  gateway->registry_known = true;
  gateway->next_version_survey_us = now_us;
  if (!state_sync_list_is_recovering (gateway))
    ca_registry_expire (&gateway->registry, now_us, 0);
}

static const char *
state_sync_list_source (const ca_gateway_t *gateway)
{
  return gateway->list_source == NULL ? "a file" : gateway->list_source;
}

/* Time since the list was last known to be complete. */
static uint64_t
state_sync_list_age_ms (const ca_gateway_t *gateway)
{
  return gateway->now_us > gateway->list_validated_us
                 && gateway->list_validated_us != 0
             ? (gateway->now_us - gateway->list_validated_us) / CA_US_PER_MS
             : 0;
}

void
ca_gateway_endpoint_listed (ca_gateway_t *gateway, uint64_t now_us,
                            const ca_endpoint_record_t *record)
{
  const ca_gateway_endpoint_t *replaced
      = ca_registry_replaced (&gateway->registry, record);
  ca_gateway_endpoint_t *endpoint;
  bool is_changed;

  gateway->now_us = now_us;
  if (replaced != NULL)
    {
      ca_exchanges_suspect_replaced (gateway, replaced, record->started_ms);
      ca_crash_tracker_replaced (gateway, replaced, record->started_ms);
      if (ca_stream_version (record->service, record->version)
          != replaced->version_number)
        ca_stream_versions_replaced (gateway, replaced, record->started_ms);
    }
  if (ca_registry_is_outdated (&gateway->registry, record))
    ca_gateway_log (
        gateway, CA_EVENT_ENDPOINT_RECORD_OUTDATED, NULL, record->id,
        "started %" PRIu64 ", software version %s: a later start "
        "was read before",
        record->started_ms, record->version == NULL ? "" : record->version);
  is_changed = ca_registry_put (&gateway->registry, now_us, record);
  ca_endpoint_start_listed (gateway, record);
  if (!is_changed)
    return;
  endpoint = ca_registry_find (&gateway->registry, record->id);
  ca_stream_versions_listed (gateway, endpoint);
  ca_brittle_listed (gateway, endpoint);
  ca_gateway_log (
      gateway,
      ca_gateway_endpoint_is_open (endpoint) ? CA_EVENT_ENDPOINT_ADDED
                                             : CA_EVENT_ENDPOINT_LEAVING,
      NULL, record->id,
      "service %s zone %s started %" PRIu64
      " software version %s, from %s, list validated %" PRIu64 " ms before",
      record->service, record->zone, record->started_ms,
      record->version == NULL ? "" : record->version,
      state_sync_list_source (gateway), state_sync_list_age_ms (gateway));
}

void
ca_gateway_endpoint_removed (ca_gateway_t *gateway, uint64_t now_us,
                             const char *id)
{
  bool confirmed;

  gateway->now_us = now_us;
  confirmed = !state_sync_list_is_recovering (gateway);
  if (ca_registry_find (&gateway->registry, id) == NULL)
    {
      /* It came and went since the list was read. */
      ca_version_history_note_gap (gateway);
      return;
    }
  ca_registry_remove (&gateway->registry, now_us, id, confirmed);
  ca_gateway_log (
      gateway, CA_EVENT_ENDPOINT_GONE, NULL, id,
      "%s, from %s, list validated %" PRIu64 " ms before",
      confirmed ? "removed from the list" : "missing since the store recovered",
      state_sync_list_source (gateway), state_sync_list_age_ms (gateway));
}

void
ca_gateway_list_source (ca_gateway_t *gateway, const char *source)
{
  gateway->list_source = source;
}

/* Notes since when the store has answered this entry, or who reads for it. */
static void
state_sync_note_answers (ca_gateway_t *gateway)
{
  const ca_bounds_t *bounds = &gateway->options.bounds;
  ca_watch_times_t times;

  ca_watch_times_init (&times, bounds->drain_ms == 0 ? bounds->propagation_ms
                                                     : bounds->drain_ms);
  if (gateway->store_down || gateway->list_validated_us == 0
      || gateway->now_us - gateway->list_validated_us
             > times.max_age_ms * CA_US_PER_MS)
    gateway->store_answers_us = 0;
  else if (gateway->store_answers_us == 0)
    gateway->store_answers_us = gateway->now_us;
}

/* Asks peers whether the store has answered them while it did not answer this
 * entry: then endpoints are missing from the list since they have left. */
static void
state_sync_request_recovery (ca_gateway_t *gateway)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__ProofWant request = CAMPHOR__PROOF_WANT__INIT;
  const ca_peer_t *peers[LIST_RECOVERY_PEERS];
  size_t count;

  if (gateway->store_unreachable || !state_sync_list_is_recovering (gateway)
      || gateway->now_us < gateway->next_recovery_request_us)
    return;
  gateway->next_recovery_request_us
      = gateway->now_us + LIST_RECOVERY_REQUEST_US;
  request.stamp_us = gateway->now_us;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_PROOF_WANT;
  envelope.proof_want = &request;
  count = ca_peers_ranked (gateway, gateway->now_us, false, peers,
                           LIST_RECOVERY_PEERS);
  for (size_t i = 0; i < count; i++)
    ca_peers_send (gateway, &peers[i]->address, &envelope);
}

/* Ends the recovery of the list if the store has answered a peer for as long as
 * endpoints may be missing after an outage. */
static void
state_sync_apply_recovery (ca_gateway_t *gateway, const Camphor__Proof *proof)
{
  if (gateway->store_unreachable || !state_sync_list_is_recovering (gateway)
      || proof->echo_us < gateway->store_recovered_us
      || proof->store_era != gateway->store_era
      || proof->store_since_us < LIST_RECOVERY_US)
    return;
  gateway->store_recovered_us = 0;
  ca_gateway_log (gateway, CA_EVENT_STORE_UP, NULL, NULL,
                  "it has answered a peer for %" PRIu64
                  " ms: endpoints that are missing have left",
                  proof->store_since_us / CA_US_PER_MS);
}

/* Asks the k-th entry for a validation; true if this entry must ask the store
 * itself. */
static bool
state_sync_request_validation (ca_gateway_t *gateway, uint32_t k)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__ProofWant request = CAMPHOR__PROOF_WANT__INIT;
  bool is_self = false;
  const ca_peer_t *validator = ca_peers_validator (gateway, k, &is_self);

  if (validator == NULL)
    return true;
  request.stamp_us = gateway->now_us;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_PROOF_WANT;
  envelope.proof_want = &request;
  ca_peers_send (gateway, &validator->address, &envelope);
  return false;
}

bool
ca_gateway_needs_validation (ca_gateway_t *gateway, uint64_t now_us)
{
  uint64_t age_us = ca_freshness_age_us (&gateway->config_freshness, now_us);

  gateway->now_us = now_us;
  if (gateway->catalog == NULL || age_us < CA_VALIDATION_MAX_AGE_US)
    {
      gateway->validation_attempts = 0;
      return false;
    }
  if (now_us - gateway->validation_requested_us < CA_VALIDATION_RETRY_US)
    return false;
  gateway->validation_requested_us = now_us;
  if (gateway->validation_attempts++ < CA_VALIDATION_MAX_PEERS)
    return state_sync_request_validation (gateway,
                                          gateway->validation_attempts - 1);
  return true;
}

void
ca_state_sync_answer_validation (ca_gateway_t *gateway,
                                 const Camphor__Envelope *envelope)
{
  const ca_peer_t *peer = ca_peers_find (gateway, envelope->from);
  Camphor__Envelope answer = CAMPHOR__ENVELOPE__INIT;
  Camphor__Proof proof = CAMPHOR__PROOF__INIT;

  if (peer == NULL || gateway->catalog == NULL
      || !gateway->config_freshness.known)
    return;
  proof.echo_us = envelope->proof_want->stamp_us;
  proof.config_version = gateway->catalog->version;
  proof.config_age_us
      = ca_freshness_age_us (&gateway->config_freshness, gateway->now_us);
  proof.store_era = gateway->store_era;
  if (gateway->store_answers_us != 0)
    proof.store_since_us = gateway->now_us - gateway->store_answers_us;
  answer.body_case = CAMPHOR__ENVELOPE__BODY_PROOF;
  answer.proof = &proof;
  ca_peers_send (gateway, &peer->address, &answer);
}

void
ca_state_sync_apply_validation (ca_gateway_t *gateway,
                                const Camphor__Envelope *envelope)
{
  const Camphor__Proof *proof = envelope->proof;

  if (proof->echo_us <= gateway->now_us)
    state_sync_apply_recovery (gateway, proof);
  if (gateway->catalog != NULL && proof->echo_us <= gateway->now_us
      && proof->config_version == gateway->catalog->version)
    ca_freshness_from_peer (&gateway->config_freshness, proof->echo_us,
                            proof->config_age_us);
}

/* The peer with the newest configuration that is newer than this entry's, one
 * of this zone if possible; NULL if there is none. */
static const ca_peer_t *
state_sync_newest_peer (const ca_gateway_t *gateway, uint64_t own_version)
{
  const ca_peer_t *best = NULL;
  const ca_peer_t *peer;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      const Camphor__Pulse *heartbeat = peer->heartbeat;

      if (heartbeat == NULL || !heartbeat->config_known
          || heartbeat->config_version <= own_version
          || gateway->now_us - peer->received_us
                 >= ca_peers_contact_us (gateway))
        continue;
      if (best == NULL
          || heartbeat->config_version > best->heartbeat->config_version
          || (heartbeat->config_version == best->heartbeat->config_version
              && ca_peers_in_same_zone (gateway, peer)
              && !ca_peers_in_same_zone (gateway, best)))
        best = peer;
    }
  return best;
}

bool
ca_state_sync_may_be_restored (const ca_gateway_t *gateway)
{
  if (gateway->store_era <= CA_STORE_FIRST_ERA || gateway->catalog == NULL)
    return false;
  if (state_sync_newest_peer (gateway, gateway->catalog->version) != NULL)
    return true;
  return gateway->first_store_era == gateway->store_era
         && !ca_peers_all_heard (gateway);
}

/* Requests a peer's newer configuration if the store does not deliver it. */
static void
state_sync_request_catalog (ca_gateway_t *gateway)
{
  uint64_t own_version
      = gateway->catalog == NULL ? 0 : gateway->catalog->version;
  const ca_peer_t *best;

  if (gateway->now_us < gateway->next_catalog_request_us)
    return;
  best = state_sync_newest_peer (gateway, own_version);
  if (best == NULL)
    {
      gateway->outdated_since_us = 0;
      return;
    }
  if (gateway->outdated_since_us == 0)
    gateway->outdated_since_us = gateway->now_us;
  if (!gateway->store_down
      && gateway->now_us - gateway->outdated_since_us < CATALOG_OUTDATED_US)
    return;
  gateway->next_catalog_request_us
      = gateway->now_us + CATALOG_REQUEST_PERIOD_US;
  ca_config_transfer_start (gateway, best, best->heartbeat->config_version);
}

void
ca_state_sync_tick (ca_gateway_t *gateway)
{
  state_sync_note_answers (gateway);
  state_sync_request_recovery (gateway);
  if (!state_sync_list_is_recovering (gateway))
    ca_registry_expire (&gateway->registry, gateway->now_us, 0);
  state_sync_request_catalog (gateway);
  ca_config_transfer_tick (gateway);
}
