/* Construction, ticks and helpers shared by all files of the gateway. */
#include "gateway/private.h"
#include "gateway/rollout_private.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define LOG_DETAIL_BYTES 512

uint64_t
ca_gateway_id (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

void
ca_gateway_init (ca_gateway_t *gateway, const ca_gateway_options_t *options,
                 const ca_gateway_ports_t *ports, uint64_t now_us,
                 uint64_t wall_us)
{
  memset (gateway, 0, sizeof *gateway);
  gateway->options = *options;
  gateway->ports = *ports;
  gateway->now_us = now_us;
  gateway->started_us = now_us;
  gateway->history_since_us = now_us;
  gateway->id = ca_gateway_id (options->name);
  gateway->incarnation = wall_us;
  gateway->rng[0] = (unsigned short)options->seed;
  gateway->rng[1] = (unsigned short)(options->seed >> 16);
  gateway->rng[2] = (unsigned short)gateway->id;
  gateway->own_wall_offset_us = (int64_t)wall_us - (int64_t)now_us;
  gateway->wall_offset_us = gateway->own_wall_offset_us;
  ca_counters_init (&gateway->counters);
  ca_freshness_init (&gateway->config_freshness);
  ca_registry_init (&gateway->registry);
  TAILQ_INIT (&gateway->exchanges);
  TAILQ_INIT (&gateway->usage);
  TAILQ_INIT (&gateway->suspected_crashes);
  ca_stream_versions_init (gateway);
  LIST_INIT (&gateway->slot_permits);
}

void
ca_gateway_finish (ca_gateway_t *gateway)
{
  ca_exchanges_finish (gateway);
  ca_peers_finish (gateway);
  ca_crash_tracker_finish (gateway);
  ca_stream_versions_finish (gateway);
  ca_quota_finish (gateway);
  ca_service_stats_finish (gateway);
  ca_rollouts_finish (gateway);
  ca_usage_rows_finish (&gateway->usage);
  ca_registry_finish (&gateway->registry);
  ca_config_transfer_finish (gateway);
  ca_catalog_unref (gateway->catalog);
}

void
ca_gateway_tick (ca_gateway_t *gateway, uint64_t now_us, uint64_t wall_us)
{
  gateway->now_us = now_us;
  ca_state_sync_tick (gateway);
  ca_peers_tick (gateway, wall_us);
  ca_quota_tick (gateway);
  ca_crash_tracker_tick (gateway);
  ca_endpoint_limits_tick (gateway);
  ca_stream_versions_tick (gateway);
  ca_endpoint_speed_tick (gateway);
  ca_peer_loads_tick (gateway);
  ca_rollouts_tick (gateway);
  ca_endpoint_start_tick (gateway);
  ca_admissions_tick (gateway);
  ca_usage_expire (gateway);
  ca_reach_tick (gateway);
  ca_exchanges_tick (gateway);
  ca_slot_permits_tick (gateway);
}

void
ca_gateway_log (ca_gateway_t *gateway, ca_event_number_t event,
                const char *request, const char *subject, const char *format,
                ...)
{
  char detail[LOG_DETAIL_BYTES];
  ca_log_event_t log_event = { event, request, subject, detail };
  va_list args;

  va_start (args, format);
  vsnprintf (detail, sizeof detail, format, args);
  va_end (args);
  gateway->ports.log (gateway->ports.context, &log_event);
}

void
ca_gateway_hear_leader (ca_gateway_t *gateway)
{
  gateway->reports_known = true;
  gateway->leader_heard_us = gateway->now_us;
}

double
ca_gateway_random (ca_gateway_t *gateway)
{
  return erand48 (gateway->rng);
}

uint64_t
ca_gateway_wall_us (const ca_gateway_t *gateway, uint64_t at_us)
{
  return (uint64_t)((int64_t)at_us + gateway->wall_offset_us);
}

bool
ca_gateway_is_before (const ca_gateway_t *gateway, uint64_t at_us,
                      uint64_t wall_ms)
{
  return ca_gateway_wall_us (gateway, at_us) / CA_US_PER_MS < wall_ms;
}

void
ca_gateway_list_validated (ca_gateway_t *gateway, uint64_t validated_us)
{
  gateway->list_validated_us = validated_us;
}

bool
ca_gateway_ready (const ca_gateway_t *gateway)
{
  return gateway->catalog != NULL && gateway->registry_known
         && !gateway->stopping;
}

void
ca_gateway_stop (ca_gateway_t *gateway, uint64_t now_us)
{
  gateway->now_us = now_us;
  gateway->stopping = true;
  gateway->stop_us = now_us;
  /* Settings that change meanwhile do not move the end of this stop. */
  gateway->stop_grace_us = gateway->options.bounds.grace_ms * CA_US_PER_MS;
  gateway->heartbeat_all_due = true;
}
