/* Stand-in for a model engine: continuous batching in steps, a limited prefix
 * cache whose events are late and may have gaps, priorities, resumed and
 * stopped runs, and KV export and import.  Its interface:
 * docs/interfaces/engine.md.
 *
 * Token i is a function of the prompt, the version and i, so that a test can
 * tell a complete answer from a corrupted one. */
#include "common.h"

#include <event2/bufferevent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>
#include <uthash.h>
#include <xxhash.h>

#define BLOCK_BYTES 256
#define BYTES_PER_TOKEN 4
#define KEEPALIVE_PERIOD_US 500000
#define RUN_RETENTION_US 10000000
#define CACHE_EVENTS_KEPT 256
#define CRASH_AFTER_TOKENS 3

typedef enum
{
  RUN_WAITING,
  RUN_RUNNING,
  RUN_FINISHED,
  RUN_STOPPED
} run_state_t;

typedef struct run
{
  char name[64];
  run_state_t state;
  bool started; /* false: stopped before it started */
  char *prompt;
  uint64_t seed;
  uint32_t max_tokens;
  uint32_t priority;
  uint32_t generated;  /* tokens so far, including those given at the start */
  uint32_t recomputed; /* tokens computed again after an earlier run */
  uint64_t ready_us;   /* when the prompt is processed */
  uint64_t ended_us;
  uint32_t sent;
  struct evhttp_request *out; /* attached reader, or NULL */
  bool muted; /* simulates a silent connection: nothing is written */
  uint64_t written_us;
  UT_hash_handle hh;
} run_t;

typedef struct block
{
  uint64_t hash;
  UT_hash_handle hh;
} block_t;

typedef struct
{
  standin_t standin;
  uint64_t boot;
  uint64_t step_us;
  uint64_t prefill_us; /* per token */
  uint32_t max_batch;
  uint32_t cache_blocks;
  bool leaving;
  uint64_t notice_ms;
  bool ignore_fence;
  uint64_t fence;
  char crash_on[64];
  char version[32];
  run_t *runs;
  block_t *blocks; /* least recently used first */
  uint64_t dropped[CACHE_EVENTS_KEPT];
  uint64_t cache_seq;
  uint64_t reported_seq; /* cache events are reported late: up to here */
  uint64_t starts;
  uint64_t kv_imports;
  uint64_t computed; /* prompt tokens processed */
  struct event *step;
} engine_t;

static engine_t engine;

static void
cache_drop_oldest (void)
{
  block_t *oldest = engine.blocks;

  engine.dropped[engine.cache_seq++ % CACHE_EVENTS_KEPT] = oldest->hash;
  HASH_DEL (engine.blocks, oldest);
  free (oldest);
}

/* Marks a block as most recently used; true if it was cached. */
static bool
cache_touch (uint64_t hash)
{
  block_t *block = NULL;
  bool hit;

  HASH_FIND (hh, engine.blocks, &hash, sizeof hash, block);
  hit = block != NULL;
  if (hit)
    HASH_DEL (engine.blocks, block);
  else
    {
      block = calloc (1, sizeof *block);
      block->hash = hash;
    }
  HASH_ADD (hh, engine.blocks, hash, sizeof block->hash, block);
  while (HASH_COUNT (engine.blocks) > engine.cache_blocks)
    cache_drop_oldest ();
  return hit;
}

/* Adds the prompt to the cache; returns the number of its tokens that must be
 * computed. */
static uint32_t
cache_process_prompt (const char *prompt)
{
  size_t bytes = strlen (prompt);
  uint64_t chain = 0;
  uint32_t missing = 0;
  size_t at;

  for (at = 0; at + BLOCK_BYTES <= bytes; at += BLOCK_BYTES)
    {
      chain = XXH64 (prompt + at, BLOCK_BYTES, chain);
      if (!cache_touch (chain))
        missing += BLOCK_BYTES / BYTES_PER_TOKEN;
    }
  return missing + (uint32_t)((bytes - at) / BYTES_PER_TOKEN) + 1;
}

static run_t *
run_find (const char *name)
{
  run_t *run = NULL;

  HASH_FIND_STR (engine.runs, name, run);
  return run;
}

static run_t *
run_new (const char *name)
{
  run_t *run = calloc (1, sizeof *run);

  snprintf (run->name, sizeof run->name, "%s", name);
  HASH_ADD_STR (engine.runs, name, run);
  return run;
}

static void
run_free (run_t *run)
{
  HASH_DEL (engine.runs, run);
  free (run->prompt);
  free (run);
}

/* Token at an index of the run's answer. */
static void
run_token (const run_t *run, uint32_t index, char text[16])
{
  uint64_t hash = XXH64 (&index, sizeof index, run->seed);

  snprintf (text, 16, " %05x", (unsigned)(hash & 0xfffff));
}

static void
run_write (run_t *run, const char *format, ...)
{
  struct evbuffer *line = evbuffer_new ();
  va_list args;

  va_start (args, format);
  evbuffer_add_vprintf (line, format, args);
  va_end (args);
  evhttp_send_reply_chunk (run->out, line);
  evbuffer_free (line);
  run->written_us = standin_now_us ();
}

/* Detaches the reader without ending its stream. */
static void
run_detach (run_t *run)
{
  struct evhttp_connection *connection;

  if (run->out == NULL)
    return;
  connection = evhttp_request_get_connection (run->out);
  if (connection != NULL)
    evhttp_connection_set_closecb (connection, NULL, NULL);
  run->out = NULL;
}

static void
run_reader_gone (struct evhttp_connection *connection, void *context)
{
  run_t *run = context;

  (void)connection;
  run->out = NULL;
}

static void
run_end_stream (run_t *run)
{
  struct evhttp_request *out = run->out;

  run_detach (run);
  if (out != NULL)
    evhttp_send_reply_end (out);
}

/* Writes the tokens that the reader has not received. */
static void
run_flush (run_t *run)
{
  char text[16];

  if (run->out == NULL || run->muted)
    return;
  while (run->sent < run->generated)
    {
      run_token (run, run->sent, text);
      run_write (run, "{\"run\":\"%s\",\"i\":%u,\"t\":\"%s\"}\n", run->name,
                 run->sent, text);
      run->sent++;
    }
  if (run->state == RUN_FINISHED)
    {
      run_write (run,
                 "{\"run\":\"%s\",\"done\":true,\"tokens\":%u,"
                 "\"recomputed\":%u}\n",
                 run->name, run->generated, run->recomputed);
      run_end_stream (run);
    }
  else if (standin_now_us () - run->written_us >= KEEPALIVE_PERIOD_US)
    run_write (run, "{\"run\":\"%s\",\"alive\":true}\n", run->name);
}

/* Streams to a new reader from a token on; ends the previous stream. */
static void
run_attach (run_t *run, struct evhttp_request *in, uint32_t from)
{
  if (run->out != NULL)
    run_end_stream (run);
  run->out = in;
  run->sent = from;
  run->muted = false;
  run->written_us = standin_now_us ();
  evhttp_connection_set_closecb (evhttp_request_get_connection (in),
                                 run_reader_gone, run);
  evhttp_send_reply_start (in, 200, NULL);
  run_flush (run);
}

static uint32_t
step_running (void)
{
  uint32_t count = 0;
  run_t *run;
  run_t *next;

  HASH_ITER (hh, engine.runs, run, next)
  count += run->state == RUN_RUNNING;
  return count;
}

/* Starts waiting runs, the highest priority first, while the batch has room. */
static void
step_begin_waiting (void)
{
  uint32_t running = step_running ();

  while (running < engine.max_batch)
    {
      run_t *best = NULL;
      run_t *run;
      run_t *next;

      HASH_ITER (hh, engine.runs, run, next)
      {
        if (run->state == RUN_WAITING
            && (best == NULL || run->priority > best->priority))
          best = run;
      }
      if (best == NULL)
        return;
      best->state = RUN_RUNNING;
      running++;
    }
}

/* Generates one token; exits if the prompt contains the crash text. */
static void
step_run (run_t *run, uint64_t now_us)
{
  if (now_us < run->ready_us)
    return;
  if (engine.crash_on[0] != '\0'
      && strstr (run->prompt, engine.crash_on) != NULL
      && run->generated >= CRASH_AFTER_TOKENS)
    _exit (70);
  run->generated++;
  if (run->generated >= run->max_tokens)
    {
      run->state = RUN_FINISHED;
      run->ended_us = now_us;
    }
}

static void
engine_step (evutil_socket_t fd, short what, void *context)
{
  uint64_t now_us = standin_now_us ();
  run_t *run;
  run_t *next;

  (void)fd;
  (void)what;
  (void)context;
  step_begin_waiting ();
  HASH_ITER (hh, engine.runs, run, next)
  {
    if (run->state == RUN_RUNNING)
      step_run (run, now_us);
    run_flush (run);
    if (run->state >= RUN_FINISHED && run->out == NULL
        && now_us - run->ended_us > RUN_RETENTION_US)
      run_free (run);
  }
}

/* Queues a run; imported KV cache saves the prefill. */
static void
engine_begin_run (run_t *run, const json_t *body, bool imported)
{
  const char *version = json_string_value (json_object_get (body, "version"));
  uint32_t resumed_tokens
      = (uint32_t)json_array_size (json_object_get (body, "tokens"));
  uint32_t missing = cache_process_prompt (run->prompt);

  run->started = true;
  run->seed = XXH64 (run->prompt, strlen (run->prompt),
                     XXH64 (version, strlen (version), 0));
  run->max_tokens
      = (uint32_t)json_integer_value (json_object_get (body, "max_tokens"));
  run->priority
      = (uint32_t)json_integer_value (json_object_get (body, "priority"));
  run->generated = resumed_tokens;
  if (imported)
    {
      engine.kv_imports++;
      missing = 0;
    }
  else if (resumed_tokens > 0)
    run->recomputed = missing + resumed_tokens;
  engine.starts++;
  engine.computed += missing + (imported ? 0 : resumed_tokens);
  run->ready_us
      = standin_now_us ()
        + (missing + (imported ? 0 : resumed_tokens)) * engine.prefill_us;
  run->state = RUN_WAITING;
}

/* A run whose KV cache is fetched from the engine where it ran before. */
typedef struct
{
  run_t *run;
  struct evhttp_request *in;
  json_t *body;
  struct evhttp_connection *connection;
} import_t;

static void
engine_import_done (struct evhttp_request *answer, void *context)
{
  import_t *import = context;
  bool imported
      = answer != NULL && evhttp_request_get_response_code (answer) == 200;

  engine_begin_run (import->run, import->body, imported);
  run_attach (import->run, import->in, import->run->generated);
  json_decref (import->body);
  free (import);
}

/* Fetches the KV cache of a run, then starts it. */
static void
engine_import (run_t *run, struct evhttp_request *in, json_t *body,
               const json_t *kv)
{
  const char *address = json_string_value (json_object_get (kv, "address"));
  import_t *import = calloc (1, sizeof *import);
  char host[64];
  char path[64];
  char *colon;

  import->run = run;
  import->in = in;
  import->body = json_incref (body);
  snprintf (host, sizeof host, "%s", address);
  colon = strchr (host, ':');
  *colon = '\0';
  snprintf (path, sizeof path, "/v1/kv/%" PRId64,
            (int64_t)json_integer_value (json_object_get (kv, "handle")));
  import->connection = evhttp_connection_base_new (
      engine.standin.base, NULL, host, (ev_uint16_t)atoi (colon + 1));
  evhttp_connection_set_timeout (import->connection, 1);
  evhttp_connection_free_on_completion (import->connection);
  evhttp_make_request (import->connection,
                       evhttp_request_new (engine_import_done, import),
                       EVHTTP_REQ_GET, path);
}

static bool
engine_start_is_bad (const json_t *body)
{
  const json_t *max_tokens = json_object_get (body, "max_tokens");

  return !json_is_string (json_object_get (body, "run"))
         || !json_is_string (json_object_get (body, "prompt"))
         || !json_is_string (json_object_get (body, "version"))
         || !json_is_integer (max_tokens);
}

static void
engine_start (struct evhttp_request *in, json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "run"));
  const json_t *kv = json_object_get (body, "kv");
  run_t *run;

  if (engine_start_is_bad (body))
    {
      standin_reply (&engine.standin, in, 400,
                     json_pack ("{s:s}", "error", "bad run"));
      return;
    }
  /* A stopped id is never started, and a started one is not started again. */
  if (engine.leaving || run_find (name) != NULL
      || engine.standin.faults.refuse_starts)
    {
      standin_reply (&engine.standin, in, 503,
                     json_pack ("{s:b}", "started", 0));
      return;
    }
  run = run_new (name);
  run->prompt = strdup (json_string_value (json_object_get (body, "prompt")));
  if (kv != NULL)
    {
      run->state = RUN_STOPPED;
      run->ended_us = standin_now_us ();
      engine_import (run, in, body, kv);
      return;
    }
  engine_begin_run (run, body, false);
  run_attach (run, in, run->generated);
}

static void
engine_reattach (struct evhttp_request *in, const char *name)
{
  run_t *run = run_find (name);

  if (run == NULL || !run->started || run->state == RUN_STOPPED)
    standin_reply (&engine.standin, in, 404,
                   json_pack ("{s:s}", "error", "no such run"));
  else
    run_attach (run, in, (uint32_t)standin_query (in, "from", 0));
}

static json_t *
engine_tokens_from (const run_t *run, uint32_t from)
{
  json_t *list = json_array ();

  for (uint32_t i = from; i < run->generated; i++)
    {
      char text[16];

      run_token (run, i, text);
      json_array_append_new (list, json_string (text));
    }
  return list;
}

/* Stops a run and returns its tokens; an unknown id can no longer start. */
static void
engine_stop (struct evhttp_request *in, const char *name)
{
  run_t *run = run_find (name);
  uint32_t from = (uint32_t)standin_query (in, "from", 0);
  const char *state = "stopped";
  json_t *tokens;
  uint64_t kv = 0;

  if (run == NULL || !run->started)
    {
      if (run == NULL)
        run = run_new (name);
      run->state = RUN_STOPPED;
      run->ended_us = standin_now_us ();
      state = "never_started";
      tokens = json_array ();
    }
  else
    {
      tokens = engine_tokens_from (run, from);
      if (run->state == RUN_FINISHED)
        state = "finished";
      else
        {
          run->state = RUN_STOPPED;
          run->ended_us = standin_now_us ();
          run_end_stream (run);
        }
      if (standin_query (in, "export", 0) == 1)
        kv = XXH64 (name, strlen (name), 1) >> 2;
    }
  standin_reply_effect (&engine.standin, in, 200,
                        json_pack ("{s:s, s:I, s:I, s:o, s:I}", "state", state,
                                   "boot", (json_int_t)engine.boot, "first",
                                   (json_int_t)from, "tokens", tokens, "kv",
                                   (json_int_t)kv));
}

/* Cache events are late: those up to one probe are reported at the next. */
static void
engine_health (struct evhttp_request *in)
{
  uint64_t since = (uint64_t)standin_query (in, "cache_seq", 0);
  bool gap = since > engine.cache_seq
             || engine.reported_seq > since + CACHE_EVENTS_KEPT;
  json_t *dropped = json_array ();

  for (uint64_t i = since; !gap && i < engine.reported_seq; i++)
    json_array_append_new (
        dropped,
        json_sprintf ("%016" PRIx64, engine.dropped[i % CACHE_EVENTS_KEPT]));
  standin_reply (
      &engine.standin, in, 200,
      json_pack (
          "{s:I, s:b, s:I, s:I, s:I, s:{s:I, s:I, s:b, s:o}}", "boot",
          (json_int_t)engine.boot, "leaving", engine.leaving, "notice_ms",
          (json_int_t)engine.notice_ms, "max_batch",
          (json_int_t)engine.max_batch, "running", (json_int_t)step_running (),
          "cache", "blocks", (json_int_t)engine.cache_blocks, "seq",
          (json_int_t)engine.reported_seq, "gap", gap, "dropped", dropped));
  engine.reported_seq = engine.cache_seq;
}

/* Handles an order of the fleet controller. */
static void
engine_order (struct evhttp_request *in, const json_t *body)
{
  uint64_t fence
      = (uint64_t)json_integer_value (json_object_get (body, "fence"));
  const char *version = json_string_value (json_object_get (body, "version"));

  if (!engine.ignore_fence && fence < engine.fence)
    {
      standin_reply (&engine.standin, in, 409,
                     json_pack ("{s:s}", "error", "old fencing number"));
      return;
    }
  engine.fence = fence;
  if (version != NULL)
    snprintf (engine.version, sizeof engine.version, "%s", version);
  standin_reply_effect (&engine.standin, in, 200,
                        json_pack ("{s:s}", "version", engine.version));
}

static void
engine_control_runs (const json_t *body)
{
  run_t *run;
  run_t *next;

  HASH_ITER (hh, engine.runs, run, next)
  {
    if (json_is_true (json_object_get (body, "mute_streams")))
      run->muted = true;
    if (json_is_true (json_object_get (body, "cross_streams"))
        && run->out != NULL)
      run_write (run, "{\"run\":\"another-1\",\"i\":%u,\"t\":\" zzzzz\"}\n",
                 run->sent);
    if (json_is_true (json_object_get (body, "end_streams_early"))
        && run->out != NULL && run->state == RUN_RUNNING)
      {
        run_write (run, "{\"run\":\"%s\",\"done\":true,\"tokens\":%u}\n",
                   run->name, run->generated + 7);
        run_end_stream (run);
      }
    if (json_is_true (json_object_get (body, "cut_streams"))
        && run->out != NULL)
      {
        struct evhttp_connection *connection
            = evhttp_request_get_connection (run->out);

        run_detach (run);
        evhttp_connection_free (connection);
      }
  }
}

static void
engine_control (struct evhttp_request *in, const json_t *body)
{
  const char *crash_on = json_string_value (json_object_get (body, "crash_on"));
  const json_t *value;
  struct evbuffer *out;

  standin_control (&engine.standin, body);
  if ((value = json_object_get (body, "leaving")) != NULL)
    engine.leaving = json_is_true (value);
  if ((value = json_object_get (body, "notice_ms")) != NULL)
    engine.notice_ms = (uint64_t)json_integer_value (value);
  if ((value = json_object_get (body, "ignore_fence")) != NULL)
    engine.ignore_fence = json_is_true (value);
  if (crash_on != NULL)
    snprintf (engine.crash_on, sizeof engine.crash_on, "%s", crash_on);
  engine_control_runs (body);
  out = evbuffer_new ();
  evbuffer_add_printf (out,
                       "{\"starts\":%" PRIu64 ",\"running\":%u,\"kv_imports\":"
                       "%" PRIu64 ",\"computed\":%" PRIu64 "}\n",
                       engine.starts, step_running (), engine.kv_imports,
                       engine.computed);
  evhttp_send_reply (in, 200, NULL, out);
  evbuffer_free (out);
}

static void
engine_serve_run (struct evhttp_request *in, const char *rest)
{
  char name[64];
  const char *slash = strchr (rest, '/');
  size_t length = slash == NULL ? strlen (rest) : (size_t)(slash - rest);

  if (length == 0 || length >= sizeof name)
    {
      standin_reply (&engine.standin, in, 404, json_object ());
      return;
    }
  memcpy (name, rest, length);
  name[length] = '\0';
  if (slash != NULL && strcmp (slash, "/stop") == 0)
    engine_stop (in, name);
  else
    engine_reattach (in, name);
}

static void
engine_serve (struct evhttp_request *in, void *context)
{
  static const char runs[] = "/v1/runs/";
  const char *path = standin_path (in);
  json_t *body = standin_body (in);

  (void)context;
  if (strcmp (path, "/control") == 0)
    engine_control (in, body);
  else if (standin_is_faulty (&engine.standin, in))
    ;
  else if (strcmp (path, "/v1/runs") == 0)
    engine_start (in, body);
  else if (strncmp (path, runs, sizeof runs - 1) == 0)
    engine_serve_run (in, path + sizeof runs - 1);
  else if (strcmp (path, "/v1/health") == 0)
    engine_health (in);
  else if (strcmp (path, "/v1/orders") == 0)
    engine_order (in, body);
  else if (strncmp (path, "/v1/kv/", 7) == 0)
    standin_reply (&engine.standin, in, 200, json_object ());
  else
    standin_reply (&engine.standin, in, 404, json_object ());
  json_decref (body);
}

static uint64_t
engine_number (int argc, char **argv, const char *name,
               const char *default_value)
{
  return strtoull (standin_flag (argc, argv, name, default_value), NULL, 10);
}

int
main (int argc, char **argv)
{
  int port = (int)engine_number (argc, argv, "port", "8200");
  struct timeval period;
  run_t *run;
  run_t *next;

  standin_init (&engine.standin, port, engine_serve, NULL);
  engine.boot = engine_number (argc, argv, "boot", "1");
  engine.step_us = engine_number (argc, argv, "step-us", "5000");
  engine.prefill_us = engine_number (argc, argv, "prefill-us", "50");
  engine.max_batch = (uint32_t)engine_number (argc, argv, "max-batch", "16");
  engine.cache_blocks
      = (uint32_t)engine_number (argc, argv, "cache-blocks", "512");
  period.tv_sec = (time_t)(engine.step_us / 1000000);
  period.tv_usec = (suseconds_t)(engine.step_us % 1000000);
  engine.step
      = event_new (engine.standin.base, -1, EV_PERSIST, engine_step, NULL);
  event_add (engine.step, &period);
  standin_run (&engine.standin);
  HASH_ITER (hh, engine.runs, run, next)
  run_free (run);
  while (engine.blocks != NULL)
    cache_drop_oldest ();
  return 0;
}
