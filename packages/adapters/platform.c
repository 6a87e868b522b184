/* HTTP client for the platform's services. */
#include "adapters/platform.h"

#include "base/clock_source.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define ROWS_MAX 4096
#define VMS_MAX 20000

/* A call that awaits its response. */
typedef struct
{
  ca_platform_t *platform;
  uint64_t call;
  bool write;
} ca_platform_call_t;

/* Fills rows from [{"key","version","value"}]; returns the number of valid
 * rows.  Their strings point into `list`. */
static size_t
platform_parse_rows (const json_t *list, ca_row_t *rows, size_t max)
{
  size_t count = 0;
  size_t index;
  json_t *item;

  json_array_foreach (list, index, item)
  {
    const char *key = json_string_value (json_object_get (item, "key"));
    const char *value = json_string_value (json_object_get (item, "value"));
    json_int_t version = json_integer_value (json_object_get (item, "version"));

    if (key == NULL || value == NULL || version <= 0 || count == max)
      continue;
    rows[count].key = key;
    rows[count].value = value;
    rows[count].version = (uint64_t)version;
    count++;
  }
  return count;
}

/* Maps the result of a table call.  A write without a definite response may
 * have taken effect. */
static ca_table_status_t
platform_table_status (const ca_platform_call_t *call,
                       const ca_http_result_t *result)
{
  if (result->end == CA_HTTP_ANSWERED && result->status == 200)
    return CA_TABLE_OK;
  if (result->end == CA_HTTP_ANSWERED && result->status == 409)
    return CA_TABLE_CONFLICT;
  if (result->end == CA_HTTP_NOT_SENT || !call->write)
    return CA_TABLE_UNAVAILABLE;
  return CA_TABLE_UNKNOWN;
}

static void
platform_on_table_done (void *context, const ca_http_result_t *http_result)
{
  ca_platform_call_t *call = context;
  ca_core_t *core = call->platform->core;
  json_t *body = json_loadb (http_result->body == NULL ? "" : http_result->body,
                             http_result->body_bytes, 0, NULL);
  ca_row_t *rows = calloc (ROWS_MAX, sizeof *rows);
  ca_table_result_t result;

  memset (&result, 0, sizeof result);
  result.status = platform_table_status (call, http_result);
  if (!json_is_object (body)
      && (result.status == CA_TABLE_OK || result.status == CA_TABLE_CONFLICT))
    result.status = CA_TABLE_UNKNOWN;
  result.rows = rows;
  result.row_count
      = platform_parse_rows (json_object_get (body, "rows"), rows, ROWS_MAX);
  result.version
      = (uint64_t)json_integer_value (json_object_get (body, "version"));
  ca_core_table_result (core, ca_clock_now_us (), call->call, &result);
  free (rows);
  json_decref (body);
  free (call);
}

/* Posts a call; steals the reference to `body`. */
static void
platform_post (ca_platform_t *platform, uint64_t number, bool write,
               const char *path, json_t *body, ca_http_done_t done)
{
  ca_platform_call_t *call = calloc (1, sizeof *call);
  char *text = json_dumps (body, JSON_COMPACT);
  ca_http_request_t request;

  call->platform = platform;
  call->call = number;
  call->write = write;
  memset (&request, 0, sizeof request);
  request.address = platform->address;
  request.method = EVHTTP_REQ_POST;
  request.path = path;
  request.body = text;
  request.body_bytes = strlen (text);
  request.timeout_ms = platform->timeout_ms;
  request.on_done = done;
  request.on_drop = free;
  request.context = call;
  ca_http_call_start (platform->http, &request);
  free (text);
  json_decref (body);
}

void
ca_platform_read (ca_platform_t *platform, uint64_t call, const char *key)
{
  platform_post (platform, call, false, "/v1/table/read",
                 json_pack ("{s:s}", "key", key), platform_on_table_done);
}

void
ca_platform_scan (ca_platform_t *platform, uint64_t call, const char *prefix)
{
  platform_post (platform, call, false, "/v1/table/scan",
                 json_pack ("{s:s}", "prefix", prefix), platform_on_table_done);
}

void
ca_platform_write (ca_platform_t *platform, uint64_t call,
                   const ca_table_op_t *ops, size_t count)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < count; i++)
    {
      json_t *op = json_pack ("{s:s}", "key", ops[i].key);

      if (ops[i].version != CA_ROW_ANY)
        json_object_set_new (op, "version",
                             json_integer ((json_int_t)ops[i].version));
      if (ops[i].value != NULL)
        json_object_set_new (op, "value", json_string (ops[i].value));
      json_array_append_new (list, op);
    }
  platform_post (platform, call, true, "/v1/table/write",
                 json_pack ("{s:o}", "ops", list), platform_on_table_done);
}

static bool
platform_parse_kind (const char *text, ca_vm_kind_t *kind)
{
  static const char *const names[] = { "engine", "service", "entry" };

  for (int i = 0; i < 3; i++)
    {
      if (strcmp (text, names[i]) == 0)
        {
          *kind = (ca_vm_kind_t)i;
          return true;
        }
    }
  return false;
}

/* Parses one VM; its strings point into `item`. */
static bool
platform_parse_vm (const json_t *item, ca_vm_t *vm)
{
  const char *address = json_string_value (json_object_get (item, "address"));
  const char *kind = json_string_value (json_object_get (item, "kind"));

  memset (vm, 0, sizeof *vm);
  vm->zone = json_string_value (json_object_get (item, "zone"));
  vm->pool = json_string_value (json_object_get (item, "pool"));
  vm->boot = (uint64_t)json_integer_value (json_object_get (item, "boot"));
  vm->reclaimable = json_is_true (json_object_get (item, "reclaimable"));
  vm->leaving = json_is_true (json_object_get (item, "leaving"));
  vm->notice_us
      = (uint64_t)json_integer_value (json_object_get (item, "notice_ms"))
        * 1000;
  if (vm->zone == NULL || vm->pool == NULL || address == NULL || kind == NULL)
    return false;
  return ca_address_parse (address, &vm->address)
         && platform_parse_kind (kind, &vm->kind);
}

/* Returns the JSON body of a successful response, or NULL. */
static json_t *
platform_parse_response (const ca_http_result_t *result)
{
  if (result->end != CA_HTTP_ANSWERED || result->status != 200)
    return NULL;
  return json_loadb (result->body, result->body_bytes, 0, NULL);
}

static void
platform_on_vms_done (void *context, const ca_http_result_t *result)
{
  ca_platform_t *platform = context;
  json_t *body = platform_parse_response (result);
  json_t *list = json_object_get (body, "vms");
  ca_vm_t *vms = calloc (json_array_size (list) + 1, sizeof *vms);
  size_t count = 0;
  size_t index;
  json_t *item;

  platform->vms_pending = false;
  json_array_foreach (list, index, item)
  {
    if (count < VMS_MAX && platform_parse_vm (item, &vms[count]))
      count++;
  }
  if (list != NULL)
    ca_core_vm_list (platform->core, ca_clock_now_us (), vms, count);
  free (vms);
  json_decref (body);
}

/* Handles a reclaim notice; one for this entry's own VM starts its planned
 * stop. */
static void
platform_apply_notice (ca_platform_t *platform, const ca_vm_t *vm)
{
  uint64_t now_us = ca_clock_now_us ();

  if (vm->kind != CA_VM_ENTRY)
    ca_core_reclaim_notice (platform->core, now_us, vm);
  else if (ca_address_id (&vm->address) == platform->core->id)
    ca_core_reclaimed (platform->core, now_us, vm->notice_us);
}

static void
platform_on_notices_done (void *context, const ca_http_result_t *result)
{
  ca_platform_t *platform = context;
  json_t *body = platform_parse_response (result);
  size_t index;
  json_t *item;

  platform->notices_pending = false;
  json_array_foreach (json_object_get (body, "notices"), index, item)
  {
    ca_vm_t vm;

    if (!platform_parse_vm (item, &vm))
      continue;
    vm.leaving = true;
    platform_apply_notice (platform, &vm);
  }
  json_decref (body);
}

static void
platform_get (ca_platform_t *platform, const char *path, ca_http_done_t done)
{
  ca_http_request_t request;

  memset (&request, 0, sizeof request);
  request.address = platform->address;
  request.method = EVHTTP_REQ_GET;
  request.path = path;
  request.timeout_ms = platform->timeout_ms;
  request.on_done = done;
  request.context = platform;
  ca_http_call_start (platform->http, &request);
}

static void
platform_on_prices_done (void *context, const ca_http_result_t *result)
{
  ca_platform_t *platform = context;
  json_t *body = platform_parse_response (result);
  size_t index;
  json_t *item;

  platform->prices_pending = false;
  json_array_foreach (json_object_get (body, "prices"), index, item)
  {
    const char *zone = json_string_value (json_object_get (item, "zone"));
    const json_t *reclaimable = json_object_get (item, "reclaimable");
    const json_t *on_demand = json_object_get (item, "on_demand");

    if (zone != NULL && json_is_number (reclaimable)
        && json_is_number (on_demand))
      ca_core_set_price (platform->core, ca_clock_now_us (), zone,
                         json_number_value (reclaimable),
                         json_number_value (on_demand));
  }
  json_decref (body);
}

/* Maps the result of an order.  A refused one had no effect; one without a
 * definite response may have had. */
static void
platform_on_order_done (void *context, const ca_http_result_t *result)
{
  ca_platform_call_t *call = context;
  ca_order_status_t status = CA_ORDER_UNKNOWN;

  if (result->end == CA_HTTP_ANSWERED && result->status == 200)
    status = CA_ORDER_DONE;
  else if (result->end == CA_HTTP_NOT_SENT
           || (result->end == CA_HTTP_ANSWERED && result->status >= 400))
    status = CA_ORDER_REFUSED;
  if (call->call != 0)
    ca_core_order_result (call->platform->core, ca_clock_now_us (), call->call,
                          status);
  free (call);
}

void
ca_platform_order (ca_platform_t *platform, uint64_t number, uint64_t fence,
                   bool start, const char *zone, const char *pool,
                   bool reclaimable, const ca_address_t *address, uint64_t boot)
{
  char address_text[CA_ADDRESS_BYTES];

  ca_address_print (address, address_text);
  platform_post (platform, number, true, "/v1/vms",
                 json_pack ("{s:s, s:I, s:I, s:s, s:s, s:b, s:s, s:I}", "order",
                            start ? "start" : "stop", "number",
                            (json_int_t)number, "fence", (json_int_t)fence,
                            "zone", zone, "pool", pool, "reclaimable",
                            reclaimable, "address", address_text, "boot",
                            (json_int_t)boot),
                 platform_on_order_done);
}

/* Starts each read that is not still in progress. */
static void
platform_on_poll (evutil_socket_t fd, short what, void *context)
{
  ca_platform_t *platform = context;

  (void)fd;
  (void)what;
  if (!platform->vms_pending)
    {
      platform->vms_pending = true;
      platform_get (platform, "/v1/vms", platform_on_vms_done);
    }
  if (!platform->notices_pending)
    {
      platform->notices_pending = true;
      platform_get (platform, "/v1/notices", platform_on_notices_done);
    }
  if (!platform->prices_pending)
    {
      platform->prices_pending = true;
      platform_get (platform, "/v1/prices", platform_on_prices_done);
    }
}

void
ca_platform_init (ca_platform_t *platform, ca_core_t *core,
                  ca_http_client_t *http, const ca_address_t *address,
                  uint32_t timeout_ms, uint32_t poll_ms)
{
  struct timeval period = { poll_ms / 1000, (poll_ms % 1000) * 1000 };

  memset (platform, 0, sizeof *platform);
  platform->core = core;
  platform->http = http;
  platform->address = *address;
  platform->timeout_ms = timeout_ms;
  platform->poll_ms = poll_ms;
  platform->poll
      = event_new (http->base, -1, EV_PERSIST, platform_on_poll, platform);
  event_add (platform->poll, &period);
  event_active (platform->poll, EV_TIMEOUT, 0);
}

void
ca_platform_finish (ca_platform_t *platform)
{
  event_free (platform->poll);
}
