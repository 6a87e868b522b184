/* Stand-in for the platform: table service with conditional writes, object
 * store, VM list with lag, reclaim notices, starts that may be refused, and a
 * rate-limited weight store.  Its interface: docs/interfaces/platform.md. */
#include "common.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  standin_t standin;
  json_t *rows;    /* key -> {key, version, value} */
  json_t *objects; /* key -> text */
  json_t *vms;     /* address -> row */
  json_t *listed;  /* the VM list as last reported */
  json_t *notices; /* address -> row with "until" */
  uint64_t listed_us;
  uint64_t lag_us; /* maximum age of the reported list */
  uint64_t version;
  uint64_t reads;
  uint64_t writes;
  uint64_t starts;
  uint64_t stops;
  json_t *prices;           /* [{zone, reclaimable, on_demand}] */
  uint64_t weights_free_us; /* when the weight store can take the next load */
  uint64_t weights_us;      /* duration of one load */
} platform_t;

static platform_t platform;

static void
platform_read (struct evhttp_request *in, const json_t *body)
{
  const char *key = json_string_value (json_object_get (body, "key"));
  json_t *row = key == NULL ? NULL : json_object_get (platform.rows, key);
  json_t *rows = json_array ();

  platform.reads++;
  if (row != NULL)
    json_array_append (rows, row);
  standin_reply (&platform.standin, in, 200, json_pack ("{s:o}", "rows", rows));
}

static void
platform_scan (struct evhttp_request *in, const json_t *body)
{
  const char *prefix = json_string_value (json_object_get (body, "prefix"));
  json_t *rows = json_array ();
  const char *key;
  json_t *row;

  platform.reads++;
  json_object_foreach (platform.rows, key, row)
  {
    if (prefix != NULL && strncmp (key, prefix, strlen (prefix)) == 0)
      json_array_append (rows, row);
  }
  standin_reply (&platform.standin, in, 200, json_pack ("{s:o}", "rows", rows));
}

/* First operation whose condition does not hold, or NULL. */
static const json_t *
platform_failed_condition (const json_t *ops)
{
  size_t index;
  json_t *op;

  json_array_foreach (ops, index, op)
  {
    const json_t *expected = json_object_get (op, "version");
    const char *key = json_string_value (json_object_get (op, "key"));
    json_int_t current = json_integer_value (
        json_object_get (json_object_get (platform.rows, key), "version"));

    if (expected != NULL && json_integer_value (expected) != current)
      return op;
  }
  return NULL;
}

static void
platform_apply (const json_t *ops)
{
  size_t index;
  json_t *op;

  platform.version++;
  json_array_foreach (ops, index, op)
  {
    const char *key = json_string_value (json_object_get (op, "key"));
    const json_t *value = json_object_get (op, "value");

    if (value != NULL)
      json_object_set_new (platform.rows, key,
                           json_pack ("{s:s, s:I, s:O}", "key", key, "version",
                                      (json_int_t)platform.version, "value",
                                      value));
  }
}

/* Applies all operations, or none if a condition does not hold. */
static void
platform_write (struct evhttp_request *in, const json_t *body)
{
  const json_t *ops = json_object_get (body, "ops");
  const json_t *failed = platform_failed_condition (ops);
  json_t *rows = json_array ();
  json_t *row;

  platform.writes++;
  if (failed == NULL)
    {
      platform_apply (ops);
      json_decref (rows);
      standin_reply_effect (
          &platform.standin, in, 200,
          json_pack ("{s:I}", "version", (json_int_t)platform.version));
      return;
    }
  row = json_object_get (platform.rows,
                         json_string_value (json_object_get (failed, "key")));
  if (row != NULL)
    json_array_append (rows, row);
  standin_reply (&platform.standin, in, 409, json_pack ("{s:o}", "rows", rows));
}

static void
platform_list (struct evhttp_request *in)
{
  uint64_t now_us = standin_now_us ();
  json_t *list = json_array ();
  const char *address;
  json_t *row;

  if (platform.listed == NULL || now_us - platform.listed_us >= platform.lag_us)
    {
      json_decref (platform.listed);
      platform.listed = json_deep_copy (platform.vms);
      platform.listed_us = now_us;
    }
  json_object_foreach (platform.listed, address, row)
      json_array_append (list, row);
  standin_reply (&platform.standin, in, 200, json_pack ("{s:o}", "vms", list));
}

/* Lists the reclaim notices with the time that remains. */
static void
platform_notices (struct evhttp_request *in)
{
  uint64_t now_us = standin_now_us ();
  json_t *list = json_array ();
  const char *address;
  json_t *row;

  json_object_foreach (platform.notices, address, row)
  {
    json_int_t until = json_integer_value (json_object_get (row, "until"));
    json_int_t left_ms = (until - (json_int_t)now_us) / 1000;
    json_t *notice = json_deep_copy (row);

    json_object_set_new (notice, "notice_ms",
                         json_integer (left_ms > 0 ? left_ms : 1));
    json_array_append_new (list, notice);
  }
  standin_reply (&platform.standin, in, 200,
                 json_pack ("{s:o}", "notices", list));
}

/* Refuses or counts a start; no VM is created.  A stop removes the VM from the
 * list if its boot number matches. */
static void
platform_order_vm (struct evhttp_request *in, const json_t *body)
{
  const char *order = json_string_value (json_object_get (body, "order"));
  const char *address = json_string_value (json_object_get (body, "address"));

  if (order != NULL && strcmp (order, "stop") == 0)
    {
      const json_t *row = json_object_get (platform.vms, address);

      if (json_integer_value (json_object_get (row, "boot"))
          == json_integer_value (json_object_get (body, "boot")))
        json_object_del (platform.vms, address);
      platform.stops++;
      standin_reply_effect (&platform.standin, in, 200, json_object ());
      return;
    }
  if (platform.standin.faults.refuse_starts)
    standin_reply (&platform.standin, in, 503,
                   json_pack ("{s:s}", "error", "no capacity"));
  else
    {
      platform.starts++;
      standin_reply_effect (&platform.standin, in, 200,
                            json_pack ("{s:b}", "started", 1));
    }
}

static void
platform_prices (struct evhttp_request *in)
{
  standin_reply (&platform.standin, in, 200,
                 json_pack ("{s:O}", "prices", platform.prices));
}

/* Schedules a load of weights after those before it. */
static void
platform_weights (struct evhttp_request *in)
{
  uint64_t now_us = standin_now_us ();

  if (platform.weights_free_us < now_us)
    platform.weights_free_us = now_us;
  platform.weights_free_us += platform.weights_us;
  standin_reply (
      &platform.standin, in, 200,
      json_pack ("{s:I}", "ready_in_ms",
                 (json_int_t)(platform.weights_free_us - now_us) / 1000));
}

static void
platform_object (struct evhttp_request *in, const char *key, json_t *body)
{
  json_t *current;

  if (evhttp_request_get_command (in) == EVHTTP_REQ_PUT)
    {
      json_object_set (platform.objects, key, body);
      standin_reply_effect (&platform.standin, in, 200, json_object ());
      return;
    }
  current = json_object_get (platform.objects, key);
  standin_reply (&platform.standin, in, current == NULL ? 404 : 200,
                 current == NULL ? json_object () : json_incref (current));
}

/* Handles {"vm": ROW}, {"gone": ADDRESS}, {"reclaim": ADDRESS, "notice_ms"},
 * {"prices": LIST}, {"lag_ms"}, and the common faults. */
static void
platform_control (struct evhttp_request *in, json_t *body)
{
  json_t *vm = json_object_get (body, "vm");
  const char *gone = json_string_value (json_object_get (body, "gone"));
  const char *reclaim = json_string_value (json_object_get (body, "reclaim"));
  const json_t *lag = json_object_get (body, "lag_ms");
  struct evbuffer *out = evbuffer_new ();

  standin_control (&platform.standin, body);
  if (vm != NULL)
    json_object_set (platform.vms,
                     json_string_value (json_object_get (vm, "address")), vm);
  if (gone != NULL)
    {
      json_object_del (platform.vms, gone);
      json_object_del (platform.notices, gone);
    }
  if (reclaim != NULL && json_object_get (platform.vms, reclaim) != NULL)
    {
      json_t *row = json_object_get (platform.vms, reclaim);
      json_int_t notice_ms
          = json_integer_value (json_object_get (body, "notice_ms"));
      json_t *notice = json_deep_copy (row);

      json_object_set_new (row, "leaving", json_true ());
      json_object_set_new (
          notice, "until",
          json_integer ((json_int_t)standin_now_us () + notice_ms * 1000));
      json_object_set_new (platform.notices, reclaim, notice);
    }
  if (json_is_array (json_object_get (body, "prices")))
    {
      json_decref (platform.prices);
      platform.prices = json_incref (json_object_get (body, "prices"));
    }
  if (lag != NULL)
    platform.lag_us = (uint64_t)json_integer_value (lag) * 1000;
  evbuffer_add_printf (
      out, "{\"reads\":%llu,\"writes\":%llu,\"starts\":%llu,\"stops\":%llu}\n",
      (unsigned long long)platform.reads, (unsigned long long)platform.writes,
      (unsigned long long)platform.starts, (unsigned long long)platform.stops);
  evhttp_send_reply (in, 200, NULL, out);
  evbuffer_free (out);
}

static void
platform_serve (struct evhttp_request *in, void *context)
{
  static const char objects[] = "/v1/objects/";
  const char *path = standin_path (in);
  json_t *body = standin_body (in);

  (void)context;
  if (strcmp (path, "/control") == 0)
    platform_control (in, body);
  else if (standin_is_faulty (&platform.standin, in))
    ;
  else if (strcmp (path, "/v1/table/read") == 0)
    platform_read (in, body);
  else if (strcmp (path, "/v1/table/scan") == 0)
    platform_scan (in, body);
  else if (strcmp (path, "/v1/table/write") == 0)
    platform_write (in, body);
  else if (strcmp (path, "/v1/vms") == 0
           && evhttp_request_get_command (in) == EVHTTP_REQ_POST)
    platform_order_vm (in, body);
  else if (strcmp (path, "/v1/vms") == 0)
    platform_list (in);
  else if (strcmp (path, "/v1/prices") == 0)
    platform_prices (in);
  else if (strcmp (path, "/v1/notices") == 0)
    platform_notices (in);
  else if (strcmp (path, "/v1/weights") == 0)
    platform_weights (in);
  else if (strncmp (path, objects, sizeof objects - 1) == 0)
    platform_object (in, path + sizeof objects - 1, body);
  else
    standin_reply (&platform.standin, in, 404, json_object ());
  json_decref (body);
}

int
main (int argc, char **argv)
{
  int port = atoi (standin_flag (argc, argv, "port", "8000"));

  standin_init (&platform.standin, port, platform_serve, NULL);
  platform.rows = json_object ();
  platform.objects = json_object ();
  platform.vms = json_object ();
  platform.notices = json_object ();
  platform.prices = json_array ();
  platform.lag_us
      = strtoull (standin_flag (argc, argv, "lag-ms", "0"), NULL, 10) * 1000;
  platform.weights_us
      = strtoull (standin_flag (argc, argv, "weights-ms", "500"), NULL, 10)
        * 1000;
  standin_run (&platform.standin);
  json_decref (platform.rows);
  json_decref (platform.objects);
  json_decref (platform.vms);
  json_decref (platform.listed);
  json_decref (platform.notices);
  json_decref (platform.prices);
  return 0;
}
