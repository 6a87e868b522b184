/* HTTP client for the platform's services: tables, VM list, reclaim notices,
 * prices and VM orders (docs/interfaces/platform.md). */
#ifndef CA_ADAPTERS_PLATFORM_H
#define CA_ADAPTERS_PLATFORM_H

#include "adapters/http_client.h"
#include "core/core.h"

typedef struct
{
  ca_core_t *core;        /* not owned */
  ca_http_client_t *http; /* not owned */
  ca_address_t address;
  uint32_t timeout_ms;
  uint32_t poll_ms;
  struct event *poll;
  bool vms_pending;     /* a read of the VM list is in progress */
  bool notices_pending; /* a read of the reclaim notices is in progress */
  bool prices_pending;  /* a read of the prices is in progress */
} ca_platform_t;

/* Starts polling the VM list, the reclaim notices and the prices. */
void ca_platform_init (ca_platform_t *platform, ca_core_t *core,
                       ca_http_client_t *http, const ca_address_t *address,
                       uint32_t timeout_ms, uint32_t poll_ms);
void ca_platform_finish (ca_platform_t *platform);

/* Table calls.  The result is passed to ca_core_table_result() with the same
 * `call` number. */
void ca_platform_read (ca_platform_t *platform, uint64_t call, const char *key);
void ca_platform_scan (ca_platform_t *platform, uint64_t call,
                       const char *prefix);
void ca_platform_write (ca_platform_t *platform, uint64_t call,
                        const ca_table_op_t *ops, size_t count);

/* Orders the cloud API to start a VM, or to stop the VM at `address`
 * provided that its boot number is `boot`.  If `number` is not 0, the result is
 * passed to ca_core_order_result(). */
void ca_platform_order (ca_platform_t *platform, uint64_t number,
                        uint64_t fence, bool start, const char *zone,
                        const char *pool, bool reclaimable,
                        const ca_address_t *address, uint64_t boot);

#endif
