/* Endpoints that the store lists, what this process has open at each, and how
 * each has done lately. */
#ifndef CA_GATEWAY_REGISTRY_H
#define CA_GATEWAY_REGISTRY_H

#include "base/settings.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

typedef enum
{
  CA_GATEWAY_ENDPOINT_READY,
  CA_GATEWAY_ENDPOINT_DRAINING,
  CA_GATEWAY_ENDPOINT_GONE /* no longer listed; kept while exchanges are open at
                              it */
} ca_gateway_endpoint_state_t;

/* One entry of the store's list, decoded. */
typedef struct
{
  const char *id;
  const char *service;
  const char *zone;
  ca_address_t address;
  bool draining;
  bool reclaimable;
  uint32_t slots;
  uint64_t started_ms; /* start of this life, Unix milliseconds; 0 unknown */
  uint64_t leaves_ms;  /* until it is taken away; 0 unknown */
} ca_endpoint_record_t;

/* What peers have open at an endpoint, by their latest pulses. */
typedef struct
{
  uint32_t open;
  uint32_t unread_tokens; /* of prompts that wait for their first event */
  uint32_t held_tokens;   /* prompt and output of all that is open */
} ca_gateway_endpoint_load_t;

struct ca_affinity_part;

/* One life of an endpoint. */
typedef struct ca_gateway_endpoint
{
  char *id;
  char *service;
  char *zone;
  ca_address_t address;
  ca_gateway_endpoint_state_t state;
  bool reclaimable;
  uint32_t slots;
  uint64_t started_ms;
  uint64_t leaves_at_us; /* 0 unknown */
  uint64_t
      missing_since_us; /* since when its entry is missing; 0 if it is there */
  uint64_t hash;        /* of the id, for the choice of homes */
  ca_gateway_endpoint_load_t own;
  ca_gateway_endpoint_load_t peers;
  /* Health, as this process sees it. */
  uint32_t failures;  /* in a row */
  double error_share; /* smoothed part of answers that failed */
  uint64_t ejected_until_us;
  uint64_t full_until_us;     /* it said that it has no room */
  uint64_t connect_failed_us; /* last connection that could not be made */
  uint64_t probe_at_us;       /* one request may try it again from then on */
  double latency_us;          /* smoothed, of plain answers */
  /* Parts of prompts that this process has sent there. */
  TAILQ_HEAD (ca_affinity_parts, ca_affinity_part) parts;
  uint64_t part_tokens;
  uint32_t open; /* exchanges that point here */
  struct ca_gateway_endpoint *next_retired;
  UT_hash_handle hh;
} ca_gateway_endpoint_t;

typedef struct
{
  ca_gateway_endpoint_t *endpoints; /* by id */
  ca_gateway_endpoint_t *retired;   /* former lives with open exchanges */
} ca_registry_t;

void ca_registry_init (ca_registry_t *registry);
void ca_registry_finish (ca_registry_t *registry);

/* Takes an entry in; true if it changes where requests may go. */
bool ca_registry_put (ca_registry_t *registry, uint64_t now_us,
                      const ca_endpoint_record_t *record);

/* Its entry is no longer there.  `sure`: it has left; else it counts as gone
 * only if the entry stays away (ca_registry_expire). */
void ca_registry_remove (ca_registry_t *registry, uint64_t now_us,
                         const char *id, bool confirmed);

/* Ends the endpoints whose entry has been missing for `wait_us`. */
void ca_registry_expire (ca_registry_t *registry, uint64_t now_us,
                         uint64_t wait_us);

/* Marks every endpoint as missing, for a list that is read anew: those that
 * ca_registry_put names are there again. */
void ca_registry_mark_missing (ca_registry_t *registry, uint64_t now_us);

/* True if new requests may go there. */
bool ca_gateway_endpoint_is_open (const ca_gateway_endpoint_t *endpoint);

/* Counts an exchange in and out. */
void ca_gateway_endpoint_acquire (ca_gateway_endpoint_t *endpoint);
void ca_gateway_endpoint_release (ca_registry_t *registry,
                                  ca_gateway_endpoint_t *endpoint);

/* The end of one attempt at an endpoint. */
void ca_gateway_endpoint_succeeded (ca_gateway_endpoint_t *endpoint,
                                    uint64_t latency_us);
void ca_gateway_endpoint_failed (ca_gateway_endpoint_t *endpoint,
                                 uint64_t now_us, bool unreachable);

ca_gateway_endpoint_t *ca_registry_find (const ca_registry_t *registry,
                                         const char *id);

#endif
