/* Builds catalogs and looks up routes, services and keys. */
#include "gateway/catalog.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

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

void
ca_catalog_unref (ca_catalog_t *catalog)
{
  if (catalog == NULL || --catalog->references > 0)
    return;
  for (uint32_t i = 0; i < catalog->route_count; i++)
    {
      free (catalog->routes[i].name);
      free (catalog->routes[i].host);
      free (catalog->routes[i].prefix);
    }
  for (uint32_t i = 0; i < catalog->workspace_count; i++)
    free (catalog->workspaces[i].name);
  catalog_free_services (catalog);
  catalog_free_keys (catalog);
  free (catalog->routes);
  free (catalog->workspaces);
  free (catalog->text);
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

ca_route_t *
ca_catalog_add_route (ca_catalog_t *catalog)
{
  return catalog_append_row ((void **)&catalog->routes, &catalog->route_count,
                             sizeof *catalog->routes);
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

static int
catalog_compare_prefix_length (const void *a, const void *b)
{
  size_t left = strlen (((const ca_route_t *)a)->prefix);
  size_t right = strlen (((const ca_route_t *)b)->prefix);

  return left == right ? 0 : left > right ? -1 : 1;
}

void
ca_catalog_freeze (ca_catalog_t *catalog)
{
  if (catalog->route_count > 0)
    qsort (catalog->routes, catalog->route_count, sizeof *catalog->routes,
           catalog_compare_prefix_length);
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

const ca_route_t *
ca_catalog_find_route (const ca_catalog_t *catalog, const char *host,
                       const char *path)
{
  size_t host_bytes = catalog_host_bytes (host);

  for (uint32_t i = 0; i < catalog->route_count; i++)
    {
      const ca_route_t *route = &catalog->routes[i];

      if (strncmp (path, route->prefix, strlen (route->prefix)) == 0
          && strlen (route->host) == host_bytes
          && strncasecmp (route->host, host, host_bytes) == 0)
        return route;
    }
  return NULL;
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
