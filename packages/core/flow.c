/* Weighted fair queue of a shard, by virtual time on two levels: classes
 * weighted by priority, so that a low priority waits longer but is not starved,
 * and within a class workspaces weighted by their share. */
#include "core/private.h"

#include <stdlib.h>
#include <string.h>

/* Weight of a class: (priority + 1) squared. */
static double
flow_class_weight (uint32_t priority)
{
  double base = (double)priority + 1;

  return base * base;
}

static ca_class_queue_t *
flow_find_class (ca_core_t *core, ca_shard_t *shard, const char *class_name,
                 const char *team)
{
  const ca_class_t *row
      = ca_config_find_class (&core->config, team, class_name);
  ca_class_queue_t *queue;

  TAILQ_FOREACH (queue, &shard->queues, entries)
  {
    if (strcmp (queue->class_name, class_name) == 0)
      break;
  }
  if (queue == NULL)
    {
      queue = calloc (1, sizeof *queue);
      strlcpy (queue->class_name, class_name, sizeof queue->class_name);
      TAILQ_INIT (&queue->flows);
      TAILQ_INSERT_TAIL (&shard->queues, queue, entries);
    }
  queue->priority = row == NULL ? 0 : row->priority;
  return queue;
}

ca_flow_t *
ca_flow_find (ca_core_t *core, ca_shard_t *shard, const char *workspace,
              const char *class_name)
{
  const ca_workspace_t *row
      = ca_config_find_workspace (&core->config, workspace);
  ca_class_queue_t *queue
      = flow_find_class (core, shard, class_name, row == NULL ? "" : row->team);
  ca_flow_t *flow;

  TAILQ_FOREACH (flow, &queue->flows, entries)
  {
    if (strcmp (flow->workspace, workspace) == 0)
      break;
  }
  if (flow == NULL)
    {
      flow = calloc (1, sizeof *flow);
      strlcpy (flow->workspace, workspace, sizeof flow->workspace);
      flow->queue = queue;
      TAILQ_INIT (&flow->slot_requests);
      TAILQ_INSERT_TAIL (&queue->flows, flow, entries);
    }
  flow->share = row == NULL ? 1 : row->share;
  return flow;
}

void
ca_flow_push (ca_shard_t *shard, ca_slot_request_t *slot_request)
{
  ca_flow_t *flow = slot_request->flow;
  ca_class_queue_t *queue = flow->queue;

  /* A flow or class queue that was empty starts at the current virtual time,
   * so that the time without slot requests gives no credit. */
  if (flow->length == 0 && flow->tag < queue->flow_virtual_time)
    flow->tag = queue->flow_virtual_time;
  if (queue->length == 0 && queue->tag < shard->class_virtual_time)
    queue->tag = shard->class_virtual_time;
  if (slot_request->resumed)
    TAILQ_INSERT_HEAD (&flow->slot_requests, slot_request, entries);
  else
    TAILQ_INSERT_TAIL (&flow->slot_requests, slot_request, entries);
  HASH_ADD (hh, shard->slot_requests, request, sizeof slot_request->request,
            slot_request);
  flow->length++;
  queue->length++;
  shard->queued++;
}

void
ca_flow_remove (ca_shard_t *shard, ca_slot_request_t *slot_request)
{
  HASH_DEL (shard->slot_requests, slot_request);
  TAILQ_REMOVE (&slot_request->flow->slot_requests, slot_request, entries);
  slot_request->flow->length--;
  slot_request->flow->queue->length--;
  shard->queued--;
}

/* First slot request of the flow that is not in `skip`. */
static ca_slot_request_t *
flow_first (const ca_flow_t *flow, ca_slot_request_t *const *skip,
            size_t skip_count)
{
  ca_slot_request_t *slot_request;

  TAILQ_FOREACH (slot_request, &flow->slot_requests, entries)
  {
    bool skipped = false;

    for (size_t i = 0; i < skip_count && !skipped; i++)
      skipped = skip[i] == slot_request;
    if (!skipped)
      return slot_request;
  }
  return NULL;
}

static ca_slot_request_t *
flow_class_next (const ca_class_queue_t *queue, ca_slot_request_t *const *skip,
                 size_t skip_count)
{
  const ca_flow_t *flow;
  ca_slot_request_t *best = NULL;

  TAILQ_FOREACH (flow, &queue->flows, entries)
  {
    ca_slot_request_t *slot_request = flow_first (flow, skip, skip_count);

    if (slot_request != NULL && (best == NULL || flow->tag < best->flow->tag))
      best = slot_request;
  }
  return best;
}

ca_slot_request_t *
ca_flow_next (ca_shard_t *shard, ca_slot_request_t *const *skip,
              size_t skip_count)
{
  const ca_class_queue_t *queue;
  ca_slot_request_t *best = NULL;

  TAILQ_FOREACH (queue, &shard->queues, entries)
  {
    ca_slot_request_t *slot_request;

    if (queue->length == 0)
      continue;
    slot_request = flow_class_next (queue, skip, skip_count);
    if (slot_request != NULL
        && (best == NULL || queue->tag < best->flow->queue->tag))
      best = slot_request;
  }
  return best;
}

void
ca_flow_charge (ca_shard_t *shard, ca_flow_t *flow, double cost)
{
  ca_class_queue_t *queue = flow->queue;

  if (cost > 0 && queue->tag > shard->class_virtual_time)
    shard->class_virtual_time = queue->tag;
  if (cost > 0 && flow->tag > queue->flow_virtual_time)
    queue->flow_virtual_time = flow->tag;
  queue->tag += cost / flow_class_weight (queue->priority);
  flow->tag += cost / (double)flow->share;
}
