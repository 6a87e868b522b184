/* Stands in for the entries' part of rollouts until it is built: there are no
 * rollouts. */
#include "gateway/gateway.h"
#include "gateway/rollout.h"

void
ca_gateway_rollout_order (ca_gateway_t *gateway, uint64_t now_us,
                          const ca_rollout_order_t *order)
{
  (void)gateway;
  (void)now_us;
  (void)order;
}

void
ca_gateway_rollout_withdrawn (ca_gateway_t *gateway, uint64_t now_us,
                              const char *service)
{
  (void)gateway;
  (void)now_us;
  (void)service;
}

void
ca_gateway_rollout_status (ca_gateway_t *gateway, uint64_t now_us,
                           const char *service,
                           const ca_rollout_status_t *status)
{
  (void)gateway;
  (void)now_us;
  (void)service;
  (void)status;
}

ca_rollout_t *
ca_rollout_next (const ca_gateway_t *gateway, const ca_rollout_t *rollout)
{
  (void)gateway;
  (void)rollout;
  return NULL;
}

ca_rollout_t *
ca_rollout_find (const ca_gateway_t *gateway, const char *service)
{
  (void)gateway;
  (void)service;
  return NULL;
}

void
ca_rollout_progress (ca_gateway_t *gateway, const ca_rollout_t *rollout,
                     ca_rollout_progress_t *progress)
{
  (void)gateway;
  (void)rollout;
  (void)progress;
}

void
ca_rollout_set_stage (ca_gateway_t *gateway, ca_rollout_t *rollout,
                      ca_rollout_stage_t stage, uint32_t share_permille)
{
  (void)gateway;
  (void)rollout;
  (void)stage;
  (void)share_permille;
}
