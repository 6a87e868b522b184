/* Builds catalogs and looks up routes, services and keys. */
#include "gateway/catalog.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* Longer keys are looked up in allocated memory. */
#define CATALOG_KEY_BYTES 512

ca_catalog_t *
ca_catalog_new (uint64_t version)
{
  ca_catalog_t *catalog = calloc (1, sizeof *catalog);

  catalog->version = version;
  catalog->references = 1;
  return catalog;
}

ca_catalog_t *
ca_catalog_ref (ca_catalog_t *catalog)
{
  catalog->references++;
  return catalog;
}

static void
catalog_free_services (ca_catalog_t *catalog)
{
  for (uint32_t i = 0; i < catalog->service_count; i++)
    {
      ca_service_t *service = &catalog->services[i];

      for (uint32_t z = 0; z < service->price_count; z++)
        free (service->prices[z].zone);
      free (service->name);
    }
  free (catalog->services);
}

static void
catalog_free_keys (ca_catalog_t *catalog)
{
  ca_api_key_t *key;
  ca_api_key_t *next;

  HASH_ITER (hh, catalog->keys, key, next)
  {
    HASH_DEL (catalog->keys, key);
    free (key->key);
    free (key);
  }
}

ca_route_t *
ca_route_ref (ca_route_t *route)
{
  route->references++;
  return route;
}

static void
catalog_unref_route (ca_route_t *route)
{
  if (--route->references > 0)
    return;
  free (route->name);
  free (route->key);
  free (route);
}

void
ca_catalog_retire (ca_catalog_t *catalog)
{
  HASH_CLEAR (by_key, catalog->routes_by_key);
  HASH_CLEAR (by_digest, catalog->routes_by_digest);
  free (catalog->text);
  catalog->text = NULL;
  catalog->text_bytes = 0;
}

void
ca_catalog_unref (ca_catalog_t *catalog)
{
  if (catalog == NULL || --catalog->references > 0)
    return;
  ca_catalog_retire (catalog);
  for (uint32_t i = 0; i < catalog->route_count; i++)
    catalog_unref_route (catalog->routes[i].route);
  for (uint32_t i = 0; i < catalog->workspace_count; i++)
    free (catalog->workspaces[i].name);
  catalog_free_services (catalog);
  catalog_free_keys (catalog);
  free (catalog->routes);
  free (catalog->workspaces);
  free (catalog);
}

/* Appends a zeroed row. */
static void *
catalog_append_row (void **rows, uint32_t *count, size_t row_bytes)
{
  char *row;

  *rows = realloc (*rows, (*count + 1) * row_bytes);
  row = (char *)*rows + *count * row_bytes;
  memset (row, 0, row_bytes);
  (*count)++;
  return row;
}

/* Writes the key of a host, in lower case, and of some of a path; returns its
 * length.  The path begins with a slash, which no host has. */
static size_t
catalog_write_key (char *key, const char *host, size_t host_bytes,
                   const char *path, size_t path_bytes)
{
  for (size_t i = 0; i < host_bytes; i++)
    key[i] = (char)tolower ((unsigned char)host[i]);
  memcpy (key + host_bytes, path, path_bytes);
  return host_bytes + path_bytes;
}

ca_route_t *
ca_route_new (const char *name, const char *host, const char *prefix)
{
  ca_route_t *route = calloc (1, sizeof *route);
  size_t host_bytes = strlen (host);
  size_t prefix_bytes = strlen (prefix);

  route->references = 1;
  route->name = strdup (name);
  route->key = malloc (host_bytes + prefix_bytes + 1);
  route->key_bytes
      = catalog_write_key (route->key, host, host_bytes, prefix, prefix_bytes);
  route->key[route->key_bytes] = '\0';
  route->prefix = route->key + host_bytes;
  HASH_VALUE (route->key, route->key_bytes, route->key_hash);
  return route;
}

void
ca_catalog_reserve_routes (ca_catalog_t *catalog, size_t count)
{
  catalog->routes = calloc (count, sizeof *catalog->routes);
}

/* Notes what the look-up of a route needs to know of all. */
static void
catalog_measure_route (ca_catalog_t *catalog, const ca_route_t *route)
{
  size_t host_bytes = (size_t)(route->prefix - route->key);
  size_t prefix_bytes = route->key_bytes - host_bytes;

  if (host_bytes > catalog->host_max_bytes)
    catalog->host_max_bytes = host_bytes;
  if (prefix_bytes > catalog->prefix_max_bytes)
    catalog->prefix_max_bytes = prefix_bytes;
  if (prefix_bytes == 0 || route->prefix[prefix_bytes - 1] != '/')
    catalog->has_partial_prefixes = true;
}

static void
catalog_keep_tightest (uint32_t *tightest_ms, uint32_t target_ms)
{
  if (*tightest_ms == 0 || target_ms < *tightest_ms)
    *tightest_ms = target_ms;
}

/* Keeps the tightest objective of the engines' routes. */
static void
catalog_note_objective (ca_catalog_t *catalog, const ca_route_t *route)
{
  bool is_engine = false;

  for (uint32_t i = 0; i < route->target_count; i++)
    is_engine = is_engine
                || (route->targets[i].service < catalog->service_count
                    && catalog->services[route->targets[i].service].is_engine);
  if (!is_engine)
    return;
  catalog_keep_tightest (&catalog->engine_target_ms, route->target_ms);
  catalog_keep_tightest (
      &catalog->engine_targets_ms[route->priority < CA_CATALOG_PRIORITIES
                                      ? route->priority
                                      : CA_CATALOG_PRIORITIES - 1],
      route->target_ms);
}

void
ca_catalog_add_route (ca_catalog_t *catalog, ca_route_t *route)
{
  ca_route_place_t *place = &catalog->routes[catalog->route_count++];
  ca_route_place_t *first = NULL;

  place->route = route;
  catalog_measure_route (catalog, route);
  catalog_note_objective (catalog, route);
  HASH_FIND_BYHASHVALUE (by_key, catalog->routes_by_key, route->key,
                         route->key_bytes, route->key_hash, first);
  if (first == NULL)
    HASH_ADD_KEYPTR_BYHASHVALUE (by_key, catalog->routes_by_key, route->key,
                                 route->key_bytes, route->key_hash, place);
  HASH_FIND_BYHASHVALUE (by_digest, catalog->routes_by_digest, &route->digest,
                         sizeof route->digest, (unsigned)route->digest.low,
                         first);
  if (first == NULL)
    HASH_ADD_KEYPTR_BYHASHVALUE (by_digest, catalog->routes_by_digest,
                                 &route->digest, sizeof route->digest,
                                 (unsigned)route->digest.low, place);
}

ca_route_t *
ca_catalog_find_same_route (const ca_catalog_t *catalog,
                            const ca_digest_t *digest)
{
  ca_route_place_t *place = NULL;

  HASH_FIND_BYHASHVALUE (by_digest, catalog->routes_by_digest, digest,
                         sizeof *digest, (unsigned)digest->low, place);
  return place == NULL ? NULL : place->route;
}

ca_service_t *
ca_catalog_add_service (ca_catalog_t *catalog)
{
  return catalog_append_row ((void **)&catalog->services,
                             &catalog->service_count,
                             sizeof *catalog->services);
}

ca_catalog_workspace_t *
ca_catalog_add_workspace (ca_catalog_t *catalog)
{
  return catalog_append_row ((void **)&catalog->workspaces,
                             &catalog->workspace_count,
                             sizeof *catalog->workspaces);
}

void
ca_catalog_add_key (ca_catalog_t *catalog, const char *key, uint32_t workspace)
{
  ca_api_key_t *row = calloc (1, sizeof *row);

  row->key = strdup (key);
  row->workspace = workspace;
  HASH_ADD_KEYPTR (hh, catalog->keys, row->key, strlen (row->key), row);
}

int32_t
ca_catalog_find_service (const ca_catalog_t *catalog, const char *name)
{
  for (uint32_t i = 0; i < catalog->service_count; i++)
    {
      if (strcmp (catalog->services[i].name, name) == 0)
        return (int32_t)i;
    }
  return -1;
}

/* Length of the host without its port. */
static size_t
catalog_host_bytes (const char *host)
{
  return strcspn (host, ":");
}

/* Finds the longest prefix among those that end where a path segment does, or
 * anywhere if the catalog has such prefixes.  `key` is the host with as much of
 * the path as the longest prefix has. */
static const ca_route_t *
catalog_find_prefix (const ca_catalog_t *catalog, const char *key,
                     size_t host_bytes, size_t key_bytes)
{
  for (size_t end = key_bytes + 1; end-- > host_bytes;)
    {
      ca_route_place_t *place = NULL;

      if (!catalog->has_partial_prefixes
          && (end == host_bytes || key[end - 1] != '/'))
        continue;
      HASH_FIND (by_key, catalog->routes_by_key, key, end, place);
      if (place != NULL
          && (size_t)(place->route->prefix - place->route->key) == host_bytes)
        return place->route;
    }
  return NULL;
}

const ca_route_t *
ca_catalog_find_route (const ca_catalog_t *catalog, const char *host,
                       const char *path)
{
  size_t host_bytes = catalog_host_bytes (host);
  size_t path_bytes = strnlen (path, catalog->prefix_max_bytes);
  char on_stack[CATALOG_KEY_BYTES];
  char *key = on_stack;
  const ca_route_t *route;

  if (host_bytes > catalog->host_max_bytes)
    return NULL;
  if (host_bytes + path_bytes > sizeof on_stack)
    key = malloc (host_bytes + path_bytes);
  catalog_write_key (key, host, host_bytes, path, path_bytes);
  route
      = catalog_find_prefix (catalog, key, host_bytes, host_bytes + path_bytes);
  if (key != on_stack)
    free (key);
  return route;
}

const ca_catalog_workspace_t *
ca_catalog_find_workspace (const ca_catalog_t *catalog, const char *key)
{
  ca_api_key_t *row = NULL;

  HASH_FIND (hh, catalog->keys, key, strlen (key), row);
  return row == NULL ? NULL : &catalog->workspaces[row->workspace];
}

uint32_t
ca_route_pick_service (const ca_route_t *route, uint64_t hash)
{
  uint64_t total = 0;
  uint64_t point;

  for (uint32_t i = 0; i < route->target_count; i++)
    total += route->targets[i].weight;
  point = total == 0 ? 0 : hash % total;
  for (uint32_t i = 0; i < route->target_count; i++)
    {
      if (point < route->targets[i].weight)
        return route->targets[i].service;
      point -= route->targets[i].weight;
    }
  return route->targets[0].service;
}
