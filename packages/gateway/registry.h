/* Endpoints listed in the store, with the load and health that this entry
 * sees. */
#ifndef CA_GATEWAY_REGISTRY_H
#define CA_GATEWAY_REGISTRY_H

#include "base/settings.h"
#include "gateway/endpoint_model.h"
#include "gateway/interference.h"
#include "gateway/start_pace.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

typedef enum
{
  CA_GATEWAY_ENDPOINT_READY,
  CA_GATEWAY_ENDPOINT_DRAINING,
  CA_GATEWAY_ENDPOINT_GONE /* no longer listed; kept while exchanges use it */
} ca_gateway_endpoint_state_t;

/* A row of the store's endpoint table, decoded. */
typedef struct
{
  const char *id;
  const char *service;
  const char *zone;
  const char *version; /* of its software; NULL or "" if unknown */
  ca_address_t address;
  bool draining;
  bool reclaimable;
  uint32_t slots;
  uint64_t started_ms; /* start of this instance, Unix time; 0 if unknown */
  uint64_t leaves_ms;  /* time until the VM is reclaimed; 0 if unknown */
  uint64_t cold_remaining_ms; /* it is slower for so long; 0 if unknown */
} ca_endpoint_record_t;

/* Load that entries have put on an endpoint. */
typedef struct
{
  uint32_t open;
  uint32_t unread_tokens; /* of prompts still waiting for their first event */
  uint32_t held_tokens;   /* prompt and output tokens of open requests */
  uint32_t streams;       /* of the open requests, past their first event */
  uint32_t read_tokens;   /* per second, of peers */
} ca_gateway_endpoint_load_t;

/* What responses of an endpoint say of a limit on the requests per second that
 * it takes from all entries together. */
typedef struct
{
  double per_s;       /* as last named */
  uint64_t named_us;  /* latest response that named a limit; 0 if none did */
  uint64_t lifted_us; /* start of the latest request answered without one */
} ca_limit_statement_t;

/* An endpoint's limit, and this entry's part in keeping it. */
typedef struct
{
  ca_limit_statement_t known; /* from all entries */
  ca_limit_statement_t own;   /* from responses to this entry */
  uint64_t coordinator;       /* number of the peer; 0 if there is none */
  uint64_t determined_us;     /* when the coordinator was; 0 if never */
  bool coordinates;           /* this entry is the coordinator */
  double share;               /* of the limit that the coordinator may use */
  double tokens;              /* requests that the coordinator may send */
  uint64_t filled_us;
  uint32_t denied; /* permits denied since the last one granted */
  bool smooth;     /* it is brittle: no bursts */
  bool has_permit; /* to send one request */
  uint64_t permit_until_us;
  uint64_t requested_us; /* open permit request; 0 if there is none */
  uint64_t next_request_us;
  uint64_t next_renewal_us; /* of a stale limit; 0 if not planned */
} ca_endpoint_limit_t;

struct ca_affinity_part;

/* Slots of a brittle engine, see slot_permits.c. */
typedef struct ca_slot_permits ca_slot_permits_t;

struct ca_service_stats;

/* One instance of an endpoint: its process from start to end. */
typedef struct ca_gateway_endpoint
{
  char *id;
  char *service;
  char *zone;
  char *version;           /* of its software; "" if unknown */
  uint32_t version_number; /* of the service and the version */
  ca_address_t address;
  ca_gateway_endpoint_state_t state;
  bool reclaimable;
  uint32_t slots;
  uint64_t started_ms;
  uint64_t leaves_at_us;     /* when the VM is reclaimed; 0 if unknown */
  uint64_t missing_since_us; /* not listed since then; 0 if listed */
  uint64_t hash;             /* of the id, for rendezvous hashing */
  ca_gateway_endpoint_load_t own_load;
  ca_gateway_endpoint_load_t peer_load;
  uint32_t near_unread_tokens; /* of `peer_load`, of entries of this zone */
  uint32_t noticed_open;       /* own load that they were last sent */
  uint32_t noticed_unread_tokens;
  /* Health as seen by this entry. */
  uint32_t failures;  /* consecutive */
  double error_share; /* smoothed fraction of failed responses */
  uint64_t ejected_until_us;
  uint64_t full_until_us;     /* reported no capacity */
  uint64_t paused_until_us;   /* asked for no requests until then */
  uint64_t connect_failed_us; /* last failed connection */
  uint64_t interrupted_us;    /* last response that was interrupted */
  uint64_t verified_us;       /* a response shows that connections established
                                 by then lead to this process */
  uint64_t added_us;          /* its record was first read */
  uint64_t listed_us;         /* its record was last read */
  uint64_t settles_us;        /* all entries know its version from then on */
  uint64_t probed_us;         /* last connection that was tried */
  double latency_us;          /* smoothed, of plain responses */
  ca_endpoint_model_t model;  /* speed, of an engine */
  ca_interference_rate_t own_reading; /* prompt tokens of this entry */
  ca_start_pace_t start;
  const struct ca_service_stats *start_service; /* of an engine that starts */
  bool start_announced;   /* the limit of its start has applied */
  uint32_t start_entries; /* that share its window */
  uint32_t start_rank;    /* of this entry among them */
  uint64_t start_ranked_us;
  ca_endpoint_limit_t limit;
  ca_slot_permits_t *slot_permits; /* NULL unless it is a brittle engine */
  /* Prompt parts that this entry has sent there. */
  TAILQ_HEAD (ca_affinity_parts, ca_affinity_part) parts;
  uint64_t part_tokens;
  uint32_t references;
  struct ca_gateway_endpoint *next_retired;
  UT_hash_handle hh;
} ca_gateway_endpoint_t;

/* An instance that was leaving when it was removed. */
typedef struct
{
  uint64_t instance;
  uint64_t removed_us;
  UT_hash_handle hh;
} ca_departed_endpoint_t;

typedef struct
{
  ca_gateway_endpoint_t *endpoints; /* by id */
  ca_departed_endpoint_t *departed; /* by instance, in order of removal */
  ca_gateway_endpoint_t *retired;   /* former instances with open exchanges */
} ca_registry_t;

void ca_registry_init (ca_registry_t *registry);
void ca_registry_finish (ca_registry_t *registry);

/* The listed endpoint whose process has ended according to this record, which
 * has a later start under the same id; NULL if there is none. */
const ca_gateway_endpoint_t *
ca_registry_replaced (const ca_registry_t *registry,
                      const ca_endpoint_record_t *record);

/* True if the record is that of an earlier process than the one that is listed
 * under its id: the store has come back from a copy that is older than this. */
bool ca_registry_is_outdated (const ca_registry_t *registry,
                              const ca_endpoint_record_t *record);

/* Adds or updates an endpoint, unless the record is outdated: then the listed
 * process stays, and is not missing.  True if this changes where requests may
 * go. */
bool ca_registry_put (ca_registry_t *registry, uint64_t now_us,
                      const ca_endpoint_record_t *record);

/* Handles an endpoint that is no longer listed.  If `confirmed`, it is
 * removed immediately, else only after it has been missing for a while
 * (ca_registry_expire). */
void ca_registry_remove (ca_registry_t *registry, uint64_t now_us,
                         const char *id, bool confirmed);

/* Removes endpoints that have been missing for `wait_us`. */
void ca_registry_expire (ca_registry_t *registry, uint64_t now_us,
                         uint64_t wait_us);

/* Marks every endpoint as missing before the whole list is read again;
 * ca_registry_put clears the mark. */
void ca_registry_mark_missing (ca_registry_t *registry, uint64_t now_us);

/* Frees the state of an endpoint's slots; it may be NULL (slot_permits.c). */
void ca_slot_permits_free (ca_slot_permits_t *slots);

/* True if the endpoint accepts new requests. */
bool ca_gateway_endpoint_is_open (const ca_gateway_endpoint_t *endpoint);

/* Hash of the id and the start of the endpoint's process; differs from those of
 * earlier and later processes under the same id. */
uint64_t ca_gateway_endpoint_instance (const ca_gateway_endpoint_t *endpoint);

/* Count the references to the endpoint. */
void ca_gateway_endpoint_acquire (ca_gateway_endpoint_t *endpoint);
void ca_gateway_endpoint_release (ca_registry_t *registry,
                                  ca_gateway_endpoint_t *endpoint);

/* Record the result of an attempt.  `latency_us` is 0 if it was not measured;
 * `unreachable` ejects the endpoint immediately. */
void ca_gateway_endpoint_succeeded (ca_gateway_endpoint_t *endpoint,
                                    uint64_t latency_us);
void ca_gateway_endpoint_failed (ca_gateway_endpoint_t *endpoint,
                                 uint64_t now_us, bool unreachable);

ca_gateway_endpoint_t *ca_registry_find (const ca_registry_t *registry,
                                         const char *id);

/* Finds an endpoint by ca_gateway_endpoint_instance. */
ca_gateway_endpoint_t *ca_registry_find_instance (const ca_registry_t *registry,
                                                  uint64_t instance);

#endif
