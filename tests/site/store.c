/* Stand-in for the platform's store, and for the calls that the leader makes.
 *
 *   site-store --port N [--alias N --shift N] [--page N]
 *
 * Implements versioned rows and a feed that waits for changes, as the users'
 * pages specify.  POST /control takes {"mode": "ok" | "busy" | "silent",
 * "lose": N, "forget": true, "copy": true, "restore": true, "era": TEXT,
 * "odd": ID}:
 * "busy" refuses calls, "silent" leaves them unanswered, "lose" drops the
 * answers of the next N writes, "forget" compacts the history.  "copy" keeps a
 * copy of all rows; "restore" returns to it, with its versions, and raises the
 * era that all answers name from the first copy on; "era" replaces the era's
 * text in answers; "odd" adds a row to each that has rows of endpoints, whose
 * key is ID, a NUL and more, and which describes an endpoint that is none.  A
 * list has at most --page rows a page.  Who calls at the port --alias sees the
 * endpoints and the entries' peer ports at ports that are higher by --shift,
 * for proxies before them.  GET /record returns usage by window, scaling
 * orders, and each violation of the leader's rules. */
#include "tests/site/site.h"

#include <resolv.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct row
{
  char *table;
  char *key;
  char *value; /* base64 */
  uint64_t version;
  bool deleted;
  TAILQ_ENTRY (row) entries; /* oldest change first */
} row_t;

TAILQ_HEAD (rows, row);

/* A feed call that waits for a change. */
typedef struct waiter
{
  ca_http_server_request_t *request;
  char table[64];
  uint64_t after;
  bool shifted; /* called at the alias */
  struct event *timer;
  TAILQ_ENTRY (waiter) entries;
} waiter_t;

typedef struct
{
  site_t site;
  struct rows rows;
  TAILQ_HEAD (, waiter) waiters;
  uint64_t version;
  uint64_t oldest_version; /* feeds after older versions fail: compacted */
  uint64_t era;            /* 0: answers name none */
  char era_text[32];       /* replaces it in answers, if not empty */
  char odd[64]; /* begins the key of a row that is added; empty: none */
  size_t page_rows;
  struct rows copy;
  uint64_t copy_version;
  const char *mode;
  int answers_to_lose;
  json_t *usage;  /* window -> counts */
  json_t *orders; /* service/zone/kind -> count */
  json_t *violations;
  json_int_t usage_fence;
  json_t *scale_fences;
  json_t *fence_holders;
  ca_http_server_t alias;
  uint32_t shift;
  bool shifted; /* the request came at the alias */
} store_t;

static store_t store;

static uint64_t
clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static row_t *
row_find (const char *table, const char *key)
{
  row_t *row;

  TAILQ_FOREACH (row, &store.rows, entries)
  {
    if (strcmp (row->table, table) == 0 && strcmp (row->key, key) == 0)
      return row;
  }
  return NULL;
}

/* Value of a row with the port in the field `name` shifted. */
static char *
row_shifted_value (const row_t *row, const char *name)
{
  unsigned char text[4096];
  char value[8192];
  int bytes = b64_pton (row->value, text, sizeof text);
  json_t *json
      = bytes < 0 ? NULL : json_loadb ((char *)text, (size_t)bytes, 0, NULL);
  ca_address_t address;
  char *shifted;

  if (!ca_address_parse (json_string_value (json_object_get (json, name)),
                         &address))
    {
      json_decref (json);
      return strdup (row->value);
    }
  json_object_set_new (
      json, name,
      json_sprintf ("127.0.0.1:%u", (unsigned)address.port + store.shift));
  shifted = json_dumps (json, JSON_COMPACT);
  b64_ntop ((unsigned char *)shifted, strlen (shifted), value, sizeof value);
  free (shifted);
  json_decref (json);
  return strdup (value);
}

static json_t *
row_json (const row_t *row, bool shifted)
{
  json_t *json
      = json_pack ("{s:s, s:s, s:s, s:I}", "table_name", row->table, "part", "",
                   "key", row->key, "row_version", (json_int_t)row->version);

  if (row->deleted)
    json_object_set_new (json, "deleted", json_true ());
  else if (shifted
           && (strcmp (row->table, "servers") == 0
               || strcmp (row->table, "camphorarch-entries") == 0))
    {
      char *value = row_shifted_value (
          row, strcmp (row->table, "servers") == 0 ? "address" : "peers");

      json_object_set_new (json, "value", json_string (value));
      free (value);
    }
  else
    json_object_set_new (json, "value", json_string (row->value));
  return json;
}

/* Answers a call of the store, with its era. */
static void
store_respond (ca_http_server_request_t *request, uint32_t status, json_t *body)
{
  ca_headers_t headers;
  char *text = json_dumps (body, JSON_COMPACT);

  ca_headers_init (&headers);
  ca_headers_add (&headers, "Content-Type", "application/json");
  if (store.era_text[0] != '\0')
    ca_headers_add (&headers, "Store-Era", store.era_text);
  else if (store.era > 0)
    ca_headers_printf (&headers, "Store-Era", "%llu",
                       (unsigned long long)store.era);
  ca_http_respond (request, status, &headers, text, strlen (text));
  ca_headers_finish (&headers);
  free (text);
  json_decref (body);
}

static json_t *
page_response (json_t *rows, bool has_more)
{
  return json_pack ("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more", has_more,
                    "row_version", (json_int_t)store.version, "current_time_ms",
                    (json_int_t)clock_ms ());
}

static json_t *
rows_response (json_t *rows)
{
  return page_response (rows, false);
}

/* Adds the row whose key has a NUL in it. */
static void
rows_add_odd (const char *table, json_t *rows)
{
  static const char text[] = "{\"service\":\"api\",\"address\":"
                             "\"127.0.0.1:9\",\"zone\":\"z1\",\"version\":"
                             "\"v1\",\"slots\":8,\"state\":\"ready\"}";
  char value[512];
  char key[80];
  int bytes = snprintf (key, sizeof key, "%s%cx", store.odd, '\0');

  if (store.odd[0] == '\0' || strcmp (table, "servers") != 0)
    return;
  b64_ntop ((const unsigned char *)text, sizeof text - 1, value, sizeof value);
  json_array_append_new (
      rows,
      json_pack ("{s:s, s:s, s:o, s:I, s:s}", "table_name", table, "part", "",
                 "key", json_stringn_nocheck (key, (size_t)bytes),
                 "row_version", (json_int_t)store.version, "value", value));
}

/* Decodes a percent-encoded key in place; returns its length. */
static size_t
key_decode (char *text)
{
  size_t count = 0;

  for (const char *at = text; *at != '\0'; count++)
    {
      unsigned code;

      if (*at == '%' && sscanf (at + 1, "%2x", &code) == 1)
        {
          text[count] = (char)code;
          at += 3;
        }
      else
        text[count] = *at++;
    }
  text[count] = '\0';
  return count;
}

static int
row_compare (const void *a, const void *b)
{
  return strcmp ((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

/* Returns the live rows of a table from a key on, in key order, up to another
 * one. */
static void
serve_get (ca_http_server_request_t *request)
{
  char table[64] = "";
  char from[1024] = "";
  char to[1024] = "";
  char limit[32] = "500";
  row_t *sorted[4096];
  size_t count = 0;
  size_t page;
  bool is_after; /* `from` ends with a NUL: keys after it */
  row_t *row;
  json_t *rows = json_array ();

  site_query (request, "table_name", table, sizeof table);
  site_query (request, "from", from, sizeof from);
  site_query (request, "limit", limit, sizeof limit);
  if (site_query (request, "target", to, sizeof to))
    key_decode (to);
  page = strtoul (limit, NULL, 10);
  if (store.page_rows > 0 && store.page_rows < page)
    page = store.page_rows;
  is_after = key_decode (from) > strlen (from);
  TAILQ_FOREACH (row, &store.rows, entries)
  {
    int order = strcmp (row->key, from);

    if (strcmp (row->table, table) == 0 && !row->deleted && count < 4096
        && (is_after ? order > 0 : order >= 0)
        && (to[0] == '\0' || strcmp (row->key, to) < 0))
      sorted[count++] = row;
  }
  qsort (sorted, count, sizeof sorted[0], row_compare);
  for (size_t i = 0; i < count && i < page; i++)
    json_array_append_new (rows, row_json (sorted[i], store.shifted));
  if (count <= page)
    rows_add_odd (table, rows);
  store_respond (request, 200, page_response (rows, count > page));
}

static json_t *
changes_after (const char *table, uint64_t after, bool shifted)
{
  json_t *rows = json_array ();
  row_t *row;

  TAILQ_FOREACH (row, &store.rows, entries)
  {
    if (strcmp (row->table, table) == 0 && row->version > after)
      json_array_append_new (rows, row_json (row, shifted));
  }
  if (json_array_size (rows) > 0)
    rows_add_odd (table, rows);
  return rows;
}

static void
waiter_free (waiter_t *waiter)
{
  TAILQ_REMOVE (&store.waiters, waiter, entries);
  if (waiter->timer != NULL)
    event_free (waiter->timer);
  free (waiter);
}

static void
waiter_timeout (evutil_socket_t fd, short what, void *context)
{
  waiter_t *waiter = context;
  ca_http_server_request_t *request = waiter->request;

  (void)fd;
  (void)what;
  waiter_free (waiter);
  store_respond (request, 200, rows_response (json_array ()));
}

/* Answers the feed calls whose table has changed. */
static void
waiters_wake (void)
{
  waiter_t *waiter = TAILQ_FIRST (&store.waiters);

  while (waiter != NULL)
    {
      waiter_t *next = TAILQ_NEXT (waiter, entries);
      json_t *rows
          = changes_after (waiter->table, waiter->after, waiter->shifted);

      if (json_array_size (rows) > 0 && waiter->timer != NULL)
        {
          ca_http_server_request_t *request = waiter->request;

          waiter_free (waiter);
          store_respond (request, 200, rows_response (rows));
        }
      else
        json_decref (rows);
      waiter = next;
    }
}

/* Holds a request until its timer fires, or without end if it has none. */
static void
waiter_add (ca_http_server_request_t *request, const char *table,
            uint64_t after, uint32_t wait_ms, bool has_deadline)
{
  waiter_t *waiter = calloc (1, sizeof *waiter);
  struct timeval wait = { wait_ms / 1000, (wait_ms % 1000) * 1000 };

  waiter->request = request;
  waiter->after = after;
  waiter->shifted = store.shifted;
  strlcpy (waiter->table, table, sizeof waiter->table);
  request->user_data = waiter;
  if (has_deadline)
    {
      waiter->timer = evtimer_new (store.site.base, waiter_timeout, waiter);
      event_add (waiter->timer, &wait);
    }
  TAILQ_INSERT_TAIL (&store.waiters, waiter, entries);
}

static void
serve_feed (ca_http_server_request_t *request)
{
  char table[64] = "";
  char text[32] = "0";
  uint64_t after;
  json_t *rows;

  site_query (request, "table_name", table, sizeof table);
  site_query (request, "after_revision", text, sizeof text);
  after = strtoull (text, NULL, 10);
  if (after < store.oldest_version || after > store.version)
    {
      store_respond (request, 410, json_object ());
      return;
    }
  rows = changes_after (table, after, store.shifted);
  strlcpy (text, "0", sizeof text);
  site_query (request, "wait_ms", text, sizeof text);
  if (json_array_size (rows) > 0 || strtoul (text, NULL, 10) == 0)
    {
      store_respond (request, 200, rows_response (rows));
      return;
    }
  json_decref (rows);
  waiter_add (request, table, after, (uint32_t)strtoul (text, NULL, 10), true);
}

static const char *
text_of (const json_t *row, const char *name)
{
  const char *text = json_string_value (json_object_get (row, name));

  return text == NULL ? "" : text;
}

/* Writes or deletes a row and moves it to the end of the change order. */
static void
row_put (const json_t *json, bool deleted)
{
  const char *table = text_of (json, "table_name");
  const char *key = text_of (json, "key");
  row_t *row = row_find (table, key);

  if (row == NULL)
    {
      row = calloc (1, sizeof *row);
      row->table = strdup (table);
      row->key = strdup (key);
    }
  else
    TAILQ_REMOVE (&store.rows, row, entries);
  free (row->value);
  row->value = strdup (text_of (json, "value"));
  row->deleted = deleted;
  row->version = store.version;
  TAILQ_INSERT_TAIL (&store.rows, row, entries);
}

/* True if every expected version is the current one. */
static bool
conditions_hold (const json_t *list)
{
  size_t index;
  json_t *json;

  json_array_foreach (list, index, json)
  {
    const row_t *row
        = row_find (text_of (json, "table_name"), text_of (json, "key"));
    json_int_t version
        = json_integer_value (json_object_get (json, "row_version"));

    if ((row == NULL || row->deleted ? 0 : (json_int_t)row->version) != version)
      return false;
  }
  return true;
}

/* Returns the present rows of those that a call expects. */
static json_t *
expected_rows (const json_t *body)
{
  json_t *rows = json_array ();
  size_t index;
  json_t *json;

  json_array_foreach (json_object_get (body, "expect"), index, json)
  {
    const row_t *row
        = row_find (text_of (json, "table_name"), text_of (json, "key"));

    if (row != NULL && !row->deleted)
      json_array_append_new (rows, row_json (row, store.shifted));
  }
  return rows;
}

static void
serve_tx (ca_http_server_request_t *request)
{
  json_t *body = site_body (request);
  size_t index;
  json_t *json;

  if (!conditions_hold (json_object_get (body, "expect")))
    {
      store_respond (request, 412, rows_response (expected_rows (body)));
      json_decref (body);
      return;
    }
  store.version++;
  json_array_foreach (json_object_get (body, "write"), index, json)
      row_put (json, false);
  json_array_foreach (json_object_get (body, "removals"), index, json)
      row_put (json, true);
  json_decref (body);
  if (store.answers_to_lose > 0)
    {
      store.answers_to_lose--;
      waiter_add (request, "", 0, 0, false);
    }
  else
    store_respond (request, 200, rows_response (json_array ()));
  waiters_wake ();
}

static void
violation (const char *what, const json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  json_array_append_new (store.violations, json_sprintf ("%s: %s", what, text));
  free (text);
}

/* A fencing token must not be used by two holders. */
static void
check_holder (const ca_http_server_request_t *request, const json_t *body)
{
  const char *holder
      = ca_headers_find (&request->head->headers, "Camphorarch-Duty-Holder");
  const char *fence
      = ca_headers_find (&request->head->headers, "Camphorarch-Fencing-Token");
  const char *previous;

  if (holder == NULL || fence == NULL)
    {
      violation ("call without holder or token", body);
      return;
    }
  previous = json_string_value (json_object_get (store.fence_holders, fence));
  if (previous != NULL && strcmp (previous, holder) != 0)
    violation ("token used by two holders", body);
  json_object_set_new (store.fence_holders, fence, json_string (holder));
}

static json_int_t
fence_of (const ca_http_server_request_t *request)
{
  const char *fence
      = ca_headers_find (&request->head->headers, "Camphorarch-Fencing-Token");

  return fence == NULL ? 0 : strtoll (fence, NULL, 10);
}

/* Accepts one report for each window; refuses an outdated token. */
static void
serve_usage (ca_http_server_request_t *request)
{
  json_t *body = site_body (request);
  json_t *counts = json_object_get (body, "counts");
  char window[32];
  json_t *previous;

  check_holder (request, body);
  if (fence_of (request) < store.usage_fence)
    {
      site_respond (request, 409, json_object ());
      json_decref (body);
      return;
    }
  store.usage_fence = fence_of (request);
  snprintf (
      window, sizeof window, "%lld",
      (long long)json_integer_value (json_object_get (body, "window_number")));
  previous = json_object_get (store.usage, window);
  if (previous != NULL && !json_equal (previous, counts))
    violation ("two different reports for one window", body);
  if (previous == NULL)
    json_object_set (store.usage, window, counts);
  site_respond (request, 200, json_object ());
  json_decref (body);
}

/* Records an order; refuses an outdated token. */
static void
serve_scaling (ca_http_server_request_t *request)
{
  json_t *body = site_body (request);
  char subject[256];
  json_int_t fence = fence_of (request);

  check_holder (request, body);
  snprintf (subject, sizeof subject, "%s/%s/%s", text_of (body, "service"),
            text_of (body, "zone"),
            json_is_true (json_object_get (body, "spot_instances"))
                ? "reclaimable"
                : "on demand");
  if (fence
      < json_integer_value (json_object_get (store.scale_fences, subject)))
    site_respond (request, 409, json_object ());
  else
    {
      json_object_set_new (store.scale_fences, subject, json_integer (fence));
      json_object_set (store.orders, subject,
                       json_object_get (body, "desired_count"));
      site_respond (request, 200, json_object ());
    }
  json_decref (body);
}

static void
rows_clear (struct rows *rows)
{
  row_t *row;

  while ((row = TAILQ_FIRST (rows)) != NULL)
    {
      TAILQ_REMOVE (rows, row, entries);
      free (row->table);
      free (row->key);
      free (row->value);
      free (row);
    }
}

static void
rows_copy (struct rows *to, const struct rows *from)
{
  const row_t *row;

  rows_clear (to);
  TAILQ_FOREACH (row, from, entries)
  {
    row_t *copy = malloc (sizeof *copy);

    *copy = *row;
    copy->table = strdup (row->table);
    copy->key = strdup (row->key);
    copy->value = strdup (row->value);
    TAILQ_INSERT_TAIL (to, copy, entries);
  }
}

/* Keeps a copy of all rows. */
static void
store_copy (void)
{
  rows_copy (&store.copy, &store.rows);
  store.copy_version = store.version;
  if (store.era == 0)
    store.era = 1;
}

/* Returns to the copy.  Feed calls that wait are ended without an answer. */
static void
store_restore (void)
{
  waiter_t *waiter;

  rows_copy (&store.rows, &store.copy);
  store.version = store.copy_version;
  store.oldest_version = 0;
  store.era++;
  while ((waiter = TAILQ_FIRST (&store.waiters)) != NULL)
    {
      ca_http_server_request_t *request = waiter->request;

      waiter_free (waiter);
      ca_http_response_abort (request);
    }
}

static void
serve_control (ca_http_server_request_t *request)
{
  static char mode[16];
  json_t *body = site_body (request);
  const char *new_mode = json_string_value (json_object_get (body, "mode"));

  if (new_mode != NULL)
    {
      strlcpy (mode, new_mode, sizeof mode);
      store.mode = mode;
    }
  if (json_object_get (body, "lose") != NULL)
    store.answers_to_lose
        = (int)json_integer_value (json_object_get (body, "lose"));
  if (json_is_true (json_object_get (body, "forget")))
    store.oldest_version = ++store.version;
  if (json_is_true (json_object_get (body, "copy")))
    store_copy ();
  if (json_is_true (json_object_get (body, "restore")))
    store_restore ();
  if (json_object_get (body, "odd") != NULL)
    strlcpy (store.odd, text_of (body, "odd"), sizeof store.odd);
  if (json_object_get (body, "era") != NULL)
    strlcpy (store.era_text, text_of (body, "era"), sizeof store.era_text);
  json_decref (body);
  site_respond (request, 200, json_object ());
}

static void
serve_record (ca_http_server_request_t *request)
{
  site_respond (request, 200,
                json_pack ("{s:O, s:O, s:O}", "usage", store.usage, "orders",
                           store.orders, "breaches", store.violations));
}

typedef struct
{
  const char *path;
  void (*serve) (ca_http_server_request_t *request);
  bool follows_mode; /* refused or left unanswered, depending on the mode */
} store_path_t;

static const store_path_t store_paths[] = {
  { "/v1/rows-get", serve_get, true },  { "/v1/rows-feed", serve_feed, true },
  { "/v1/rows-tx", serve_tx, true },    { "/usage", serve_usage, false },
  { "/scaling", serve_scaling, false }, { "/control", serve_control, false },
  { "/record", serve_record, false },
};

static void
on_request (void *context, ca_http_server_request_t *request)
{
  store.shifted = context != NULL;
  for (size_t i = 0; i < sizeof store_paths / sizeof store_paths[0]; i++)
    {
      if (!site_is_path (request, store_paths[i].path))
        continue;
      if (store_paths[i].follows_mode && strcmp (store.mode, "busy") == 0)
        store_respond (request, 503, json_object ());
      else if (store_paths[i].follows_mode
               && strcmp (store.mode, "silent") == 0)
        waiter_add (request, "", 0, 0, false);
      else
        store_paths[i].serve (request);
      return;
    }
  site_respond (request, 404, json_object ());
}

static void
on_disconnect (void *context, ca_http_server_request_t *request)
{
  (void)context;
  if (request->user_data != NULL)
    waiter_free (request->user_data);
}

int
main (int argc, char **argv)
{
  ca_http_handler_t handler = { on_request, on_disconnect, NULL };
  ca_http_handler_t alias = { on_request, on_disconnect, &store };
  const char *alias_port = site_argument (argc, argv, "alias", "0");

  TAILQ_INIT (&store.rows);
  TAILQ_INIT (&store.copy);
  TAILQ_INIT (&store.waiters);
  store.mode = "ok";
  store.page_rows = strtoul (site_argument (argc, argv, "page", "0"), NULL, 10);
  store.usage = json_object ();
  store.orders = json_object ();
  store.violations = json_array ();
  store.scale_fences = json_object ();
  store.fence_holders = json_object ();
  site_init (
      &store.site,
      (uint16_t)strtoul (site_argument (argc, argv, "port", "0"), NULL, 10),
      &handler);
  store.shift
      = (uint32_t)strtoul (site_argument (argc, argv, "shift", "0"), NULL, 10);
  if (strcmp (alias_port, "0") != 0)
    site_listen (&store.site, &store.alias,
                 (uint16_t)strtoul (alias_port, NULL, 10), &alias);
  site_run (&store.site);
  return 0;
}
