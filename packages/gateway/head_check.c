/* Refusals that the head of a request is enough for. */
#include "gateway/gateway.h"

/* Every case here is refused by the admission check too, which names the
 * reason; a request that the check might admit must not be refused here. */
bool
ca_gateway_refuses_head (const ca_gateway_t *gateway, const char *host,
                         const char *path, const char *key)
{
  const ca_catalog_t *catalog = gateway->catalog;
  const ca_route_t *route;

  if (catalog == NULL || !gateway->config_freshness.known)
    return true;
  route = ca_catalog_find_route (catalog, host, path);
  if (route == NULL || route->target_count == 0)
    return true;
  if (route->is_public || catalog->workspace_count == 0)
    return false;
  return key == NULL || ca_catalog_find_workspace (catalog, key) == NULL;
}
