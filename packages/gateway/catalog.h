/* One version of the operator's configuration, in the form used by the
 * gateway.
 *
 * An adapter builds a catalog; it does not change afterwards.  Requests hold a
 * reference to the catalog that admitted them. */
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

/* Maximum number of services that one route is split over. */
#define CA_ROUTE_TARGETS_MAX 8

typedef struct
{
  uint32_t service; /* index in the catalog */
  uint32_t weight;
} ca_route_target_t;

/* Digest of a text, which stands for the text itself. */
typedef struct
{
  uint64_t high;
  uint64_t low;
} ca_digest_t;

/* A route, shared by the versions in which its row has the same text. */
typedef struct
{
  uint32_t references;
  ca_digest_t digest; /* of its row */
  char *name;
  char *key;        /* host, in lower case, and prefix, for the look-up */
  size_t key_bytes; /* length of the key */
  unsigned key_hash;
  const char *prefix; /* within the key */
  ca_route_kind_t kind;
  bool resumable; /* streams may continue at another endpoint */
  bool is_public; /* needs no key */
  bool sticky;    /* requests list the parts of their prompts */
  uint32_t timeout_ms;
  uint32_t target_ms; /* latency objective; for streams to the first event */
  uint32_t gap_ms;    /* longest pause between two events of a stream */
  uint32_t priority;  /* 0 is the highest */
  uint32_t max_attempts;
  ca_route_target_t targets[CA_ROUTE_TARGETS_MAX];
  uint32_t target_count;
} ca_route_t;

/* Place of a route in one version. */
typedef struct
{
  ca_route_t *route;
  UT_hash_handle by_key;
  UT_hash_handle by_digest;
} ca_route_place_t;

/* Maximum number of availability zones in a price list. */
#define CA_CATALOG_ZONES_MAX 16

typedef struct
{
  char *zone;
  double price; /* of an on-demand endpoint per second */
} ca_zone_price_t;

typedef struct
{
  char *name;
  bool is_engine; /* batches inference; otherwise a plain service */
  uint32_t slots; /* of an engine */
  uint64_t cache_tokens;
  uint32_t cache_token_bytes; /* transferred per fetched token */
  double link_mbps;           /* between endpoints; 0 disables fetching */
  bool scales;
  uint32_t min_endpoints; /* per zone, reclaimable and on-demand together */
  uint32_t max_endpoints;
  uint32_t boot_ms;
  double reclaimable_price; /* relative to on-demand; 0 if unavailable */
  ca_zone_price_t prices[CA_CATALOG_ZONES_MAX];
  uint32_t price_count;
} ca_service_t;

typedef struct
{
  char *name;
  bool has_priority;
  uint32_t priority;     /* added to the route's priority */
  bool by_tokens;        /* the quota counts tokens, not requests */
  uint32_t default_cost; /* in tokens, for requests that declare no cost */
  double rate_per_s;     /* 0 for no quota */
  double burst;
} ca_catalog_workspace_t;

typedef struct
{
  char *key;
  uint32_t workspace;
  UT_hash_handle hh;
} ca_api_key_t;

/* Priorities of routes that are distinguished; higher numbers count as the
 * last.
 */
#define CA_CATALOG_PRIORITIES 10

typedef struct
{
  uint64_t version;
  uint32_t references;
  ca_route_place_t *routes;
  uint32_t route_count;
  ca_route_place_t *routes_by_key; /* the first row of each key */
  ca_route_place_t *routes_by_digest;
  uint32_t engine_target_ms; /* tightest objective of the engines' routes; 0 if
                                there is none */
  /* The same for the routes of each priority. */
  uint32_t engine_targets_ms[CA_CATALOG_PRIORITIES];
  size_t host_max_bytes;       /* of the routes' hosts */
  size_t prefix_max_bytes;     /* of the routes' prefixes */
  bool has_partial_prefixes;   /* some prefix ends within a path segment */
  ca_digest_t services_digest; /* of the rows of the services */
  ca_service_t *services;
  uint32_t service_count;
  ca_catalog_workspace_t *workspaces;
  uint32_t workspace_count;
  ca_api_key_t *keys;
  uint32_t head_bytes; /* limits on callers' requests */
  uint32_t body_bytes;
  uint32_t head_ms;
  uint32_t idle_ms;
  char *text; /* as stored, for peers that cannot read the store */
  size_t text_bytes;
  const char *source; /* where the text came from, for the log; not owned */
  uint64_t build_us;  /* time that it took to build the catalog */
} ca_catalog_t;

/* Creates an empty catalog with one reference. */
ca_catalog_t *ca_catalog_new (uint64_t version);
ca_catalog_t *ca_catalog_ref (ca_catalog_t *catalog);
void ca_catalog_unref (ca_catalog_t *catalog);

/* Frees what only a catalog in force needs: its text and what finds routes. */
void ca_catalog_retire (ca_catalog_t *catalog);

/* New route with one reference, zeroed but for the texts, which are copied. */
ca_route_t *ca_route_new (const char *name, const char *host,
                          const char *prefix);
ca_route_t *ca_route_ref (ca_route_t *route);

/* Makes room for all routes; called once, before the first is added. */
void ca_catalog_reserve_routes (ca_catalog_t *catalog, size_t count);

/* Adds a route and takes over the caller's reference. */
void ca_catalog_add_route (ca_catalog_t *catalog, ca_route_t *route);

/* Each appends a zeroed row; the pointer is valid until the next row of that
 * kind is appended. */
ca_service_t *ca_catalog_add_service (ca_catalog_t *catalog);
ca_catalog_workspace_t *ca_catalog_add_workspace (ca_catalog_t *catalog);
void ca_catalog_add_key (ca_catalog_t *catalog, const char *key,
                         uint32_t workspace);

/* Route whose row has the digest, or NULL. */
ca_route_t *ca_catalog_find_same_route (const ca_catalog_t *catalog,
                                        const ca_digest_t *digest);

/* Index of the service, or -1 if there is none. */
int32_t ca_catalog_find_service (const ca_catalog_t *catalog, const char *name);

/* Route of the host with the longest prefix of the path, the first row if there
 * are several; NULL if none.  The host may have a port. */
const ca_route_t *ca_catalog_find_route (const ca_catalog_t *catalog,
                                         const char *host, const char *path);

/* Workspace that owns the key, or NULL. */
const ca_catalog_workspace_t *
ca_catalog_find_workspace (const ca_catalog_t *catalog, const char *key);

/* Index of the service that the route's traffic split assigns to the hash. */
uint32_t ca_route_pick_service (const ca_route_t *route, uint64_t hash);

#endif
