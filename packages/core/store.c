/* Calls to the table service: matches answers to calls, limits this entry's
 * write rate, and sends only a test call per retry period while the service is
 * down. */
#include "core/private.h"

#include <stdlib.h>

/* Consecutive calls without an answer until the service counts as down. */
#define STORE_DOWN_FAILURES 3
#define STORE_RETRY_PERIOD_US (500 * CA_US_PER_MS)

/* Refills the token bucket that limits writes. */
static void
store_refill (ca_core_t *core)
{
  ca_store_t *store = &core->store;
  double rate = core->options.store_writes_per_s;
  double elapsed_s
      = (double)(core->now_us - store->refill_us) / (double)CA_US_PER_S;

  store->refill_us = core->now_us;
  store->write_tokens += elapsed_s * rate;
  if (store->write_tokens > rate)
    store->write_tokens = rate;
}

/* While the service is down, lets one call through per retry period to test
 * whether it has recovered. */
bool
ca_store_available (ca_core_t *core)
{
  ca_store_t *store = &core->store;

  if (!store->down)
    return true;
  if (core->now_us < store->retry_us)
    return false;
  store->retry_us = core->now_us + STORE_RETRY_PERIOD_US;
  return true;
}

static uint64_t
store_call_new (ca_core_t *core, uint64_t subject, bool write,
                ca_store_callback_t done)
{
  ca_store_call_t *call = calloc (1, sizeof *call);

  call->call = ++core->store.next_call;
  call->subject = subject;
  call->since_us = core->now_us;
  call->write = write;
  call->done = done;
  HASH_ADD (hh, core->store.calls, call, sizeof call->call, call);
  ca_counters_add (&core->counters,
                   write ? CA_COUNT_STORE_WRITES : CA_COUNT_STORE_READS, 1);
  return call->call;
}

bool
ca_store_read (ca_core_t *core, uint64_t subject, const char *key,
               ca_store_callback_t done)
{
  if (!ca_store_available (core))
    return false;
  core->ports.table_read (core->ports.context,
                          store_call_new (core, subject, false, done), key);
  return true;
}

bool
ca_store_scan (ca_core_t *core, uint64_t subject, const char *prefix,
               ca_store_callback_t done)
{
  if (!ca_store_available (core))
    return false;
  core->ports.table_scan (core->ports.context,
                          store_call_new (core, subject, false, done), prefix);
  return true;
}

bool
ca_store_write (ca_core_t *core, uint64_t subject, const ca_table_op_t *ops,
                size_t count, ca_store_callback_t done)
{
  store_refill (core);
  if (core->store.write_tokens < 1.0 || !ca_store_available (core))
    return false;
  core->store.write_tokens -= 1.0;
  core->ports.table_write (core->ports.context,
                           store_call_new (core, subject, true, done), ops,
                           count);
  return true;
}

/* Updates the state of the service after a call. */
static void
store_record_answer (ca_core_t *core, bool answered)
{
  ca_store_t *store = &core->store;

  if (answered)
    {
      if (store->down)
        ca_trace (core, CA_EVENT_STORE_UP, NULL, 0,
                  "the table service answers again");
      store->down = false;
      store->failures = 0;
      return;
    }
  ca_counters_add (&core->counters, CA_COUNT_STORE_FAILURES, 1);
  store->failures++;
  if (store->failures < STORE_DOWN_FAILURES || store->down)
    return;
  store->down = true;
  store->retry_us = core->now_us + STORE_RETRY_PERIOD_US;
  ca_trace (core, CA_EVENT_STORE_DOWN, NULL, 0,
            "%u consecutive calls without an answer", store->failures);
}

void
ca_core_table_result (ca_core_t *core, uint64_t now_us, uint64_t call_id,
                      const ca_table_result_t *result)
{
  ca_store_call_t *call = NULL;

  ca_core_begin_event (core, now_us);
  HASH_FIND (hh, core->store.calls, &call_id, sizeof call_id, call);
  if (call != NULL)
    {
      HASH_DEL (core->store.calls, call);
      store_record_answer (core, result->status == CA_TABLE_OK
                                     || result->status == CA_TABLE_CONFLICT);
      ca_counters_observe (&core->counters, CA_LATENCY_STORE_CALL,
                           now_us - call->since_us);
      call->done (core, call->subject, result);
      free (call);
    }
  ca_core_end_event (core);
}

void
ca_store_finish (ca_core_t *core)
{
  ca_store_call_t *call;
  ca_store_call_t *next;

  HASH_ITER (hh, core->store.calls, call, next)
  {
    HASH_DEL (core->store.calls, call);
    free (call);
  }
}
