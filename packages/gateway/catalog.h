/* One version of the operator's configuration, as the gateway uses it.
 *
 * A catalog is built by an adapter, sealed, and never changed after; requests
 * hold a reference to the one that admitted them. */
#ifndef CA_GATEWAY_CATALOG_H
#define CA_GATEWAY_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

typedef enum
{
  CA_ROUTE_IDEMPOTENT,
  CA_ROUTE_NON_IDEMPOTENT,
  CA_ROUTE_STREAMING
} ca_route_kind_t;

/* Most services that one route is split over. */
#define CA_ROUTE_TARGETS_MAX 8

typedef struct
{
  uint32_t service; /* index in the catalog */
  uint32_t weight;
} ca_route_target_t;

typedef struct
{
  char *name;
  char *host;
  char *prefix;
  ca_route_kind_t kind;
  bool resumable; /* a stream that may go on at another endpoint */
  bool is_public; /* needs no key */
  bool sticky;    /* its requests name the parts of their prompts */
  uint32_t timeout_ms;
  uint32_t target_ms; /* latency objective; of streams: to the first event */
  uint32_t gap_ms;    /* longest pause of a stream that is on time */
  uint32_t priority;  /* 0 is first */
  uint32_t max_attempts;
  ca_route_target_t targets[CA_ROUTE_TARGETS_MAX];
  uint32_t target_count;
} ca_route_t;

/* Most availability zones that a price list names. */
#define CA_CATALOG_ZONES_MAX 16

typedef struct
{
  char *zone;
  double price; /* of an on-demand endpoint a second */
} ca_zone_price_t;

typedef struct
{
  char *name;
  bool is_engine; /* batches model work; else a plain service */
  uint32_t slots; /* of an engine */
  uint64_t cache_tokens;
  uint32_t cache_token_bytes; /* moved for one token that is fetched */
  double link_mbps; /* between endpoints; 0 if nothing can be fetched */
  bool scales;
  uint32_t min_endpoints; /* in each zone, both kinds together */
  uint32_t max_endpoints;
  uint32_t boot_ms;
  double reclaimable_price; /* part of the price of an on-demand endpoint; 0
                               where none are to be had */
  ca_zone_price_t prices[CA_CATALOG_ZONES_MAX];
  uint32_t price_count;
} ca_service_t;

typedef struct
{
  char *name;
  bool has_priority;
  uint32_t priority;     /* goes before the route's */
  bool by_tokens;        /* the quota counts tokens, not requests */
  uint32_t default_cost; /* tokens of a request that declares none */
  double rate_per_s;     /* 0: no quota */
  double burst;
} ca_catalog_workspace_t;

typedef struct
{
  char *key;
  uint32_t workspace;
  UT_hash_handle hh;
} ca_api_key_t;

typedef struct
{
  uint64_t version;
  uint32_t references;
  ca_route_t *routes; /* longest prefix first, once sealed */
  uint32_t route_count;
  ca_service_t *services;
  uint32_t service_count;
  ca_catalog_workspace_t *workspaces;
  uint32_t workspace_count;
  ca_api_key_t *keys;
  uint32_t head_bytes; /* limits on what callers send */
  uint32_t body_bytes;
  uint32_t head_ms;
  uint32_t idle_ms;
  char *text; /* as the store has it, for peers that cannot read it there */
  size_t text_bytes;
} ca_catalog_t;

/* New empty catalog with one reference. */
ca_catalog_t *ca_catalog_new (uint64_t version);
ca_catalog_t *ca_catalog_ref (ca_catalog_t *catalog);
void ca_catalog_unref (ca_catalog_t *catalog);

/* Each adds one zeroed row; valid until the next of its kind is added. */
ca_route_t *ca_catalog_add_route (ca_catalog_t *catalog);
ca_service_t *ca_catalog_add_service (ca_catalog_t *catalog);
ca_catalog_workspace_t *ca_catalog_add_workspace (ca_catalog_t *catalog);
void ca_catalog_add_key (ca_catalog_t *catalog, const char *key,
                         uint32_t workspace);

/* Orders the routes for look-up. */
void ca_catalog_freeze (ca_catalog_t *catalog);

/* Index of the service or -1. */
int32_t ca_catalog_find_service (const ca_catalog_t *catalog, const char *name);

/* Route of a host and a path; NULL if there is none. */
const ca_route_t *ca_catalog_find_route (const ca_catalog_t *catalog,
                                         const char *host, const char *path);

/* Workspace that holds the key; NULL if none does. */
const ca_catalog_workspace_t *
ca_catalog_find_workspace (const ca_catalog_t *catalog, const char *key);

/* Service that a route's split gives to a request with this hash. */
uint32_t ca_route_pick_service (const ca_route_t *route, uint64_t hash);

#endif
