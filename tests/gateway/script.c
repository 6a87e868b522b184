/* Runs a script against one gateway in virtual time and prints every port call.
 * tests/run.sh compares the output with NAME.expected.
 *
 * One command per line; '#' starts a comment:
 *   at MS                        advances the time to MS, tick by tick
 *   config FILE                  loads a configuration from the script's folder
 *   validated                    the store confirms it as the newest
 *   store up|down|gone           store calls succeed, fail in part or all fail
 *   list begin|end               encloses a complete list of endpoints
 *   list validated               the store confirms it as complete
 *   endpoint ID SERVICE ZONE [draining] [reclaimable] [started=N] [slots=N]
 *           [version=V]
 *   removed ID                   the endpoint is no longer listed
 *   request ID PATH [key=K] [wait=MS] [cost=IN,OUT] [parts=ID:N,...]
 *           [fingerprint=N] [resumes=ID]
 *   head ID STATUS [signed] [not-run] [wrong-endpoint] [encoded] [stream]
 *           [limit=REQUESTS-PER-SECOND] [bad-limit=TEXT] [leaving] [pause=MS]
 *           [connected=MS]
 *   kept ENDPOINT MS|none        a connection to it that was established at MS
 *           is idle, or none is; other connections are new
 *   event ID [N]                 a complete event, with its id
 *   end ID complete|unreachable|interrupted|malformed
 *   connecting ID                its connection to the endpoint takes long
 *   connected ID                 it is established, and the request sent
 *   disconnect ID                the caller closes its connection
 *   checked ENDPOINT reachable|unreachable   result of a connection check
 *   peer NAME version=N age=MS [strikes=FP:N] [left=ID]   a peer's heartbeat;
 *           the crashes are under requests of workspace w1
 *   stop                         SIGTERM
 *   stop-end                     the grace period is about to end
 *   ready                        prints the readiness
 * The response head stays in effect until the next head of that request. */
#include "cluster.h"
#include "gateway/gateway.h"
#include "platform/config.h"
#include "platform/records.h"

#include <inttypes.h>
#include <libgen.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define SCRIPT_WORDS 12
#define SCRIPT_REQUESTS 64
#define SCRIPT_TEXT_BYTES 65536
#define SCRIPT_KEPT 8
#define SCRIPT_STEADY_US UINT64_C (1000000000)
#define SCRIPT_WALL_US UINT64_C (1700000000000000)

typedef struct
{
  char id[64];
  ca_exchange_t *exchange; /* NULL once it has ended */
  ca_answer_facts_t facts;
  bool connecting;
} script_request_t;

typedef struct
{
  ca_gateway_t gateway;
  uint64_t start_us;
  uint64_t now_us;
  const char *folder;
  script_request_t requests[SCRIPT_REQUESTS];
  size_t request_count;
  struct
  {
    char endpoint[64];
    uint64_t connected_us; /* 0: none */
  } kept[SCRIPT_KEPT];
} script_t;

static uint64_t
script_ms (const script_t *script)
{
  return (script->now_us - script->start_us) / CA_US_PER_MS;
}

static script_request_t *
script_request (script_t *script, const char *id)
{
  for (size_t i = 0; i < script->request_count; i++)
    {
      if (strcmp (script->requests[i].id, id) == 0)
        return &script->requests[i];
    }
  fprintf (stderr, "no request %s\n", id);
  exit (1);
}

static void
script_attempt (void *context, ca_exchange_t *exchange,
                const ca_attempt_t *attempt)
{
  script_request (context, exchange->id)->exchange = exchange;
  printf ("%" PRIu64 " attempt %s at %s left %u", script_ms (context),
          exchange->id, exchange->endpoint->id,
          (unsigned)attempt->remaining_ms);
  if (attempt->resumes)
    printf (" after event %" PRIu64, attempt->last_event);
  if (attempt->source != NULL)
    printf (" fetches from %s", attempt->source->id);
  if (attempt->connected_by_us != 0)
    printf (" on a kept connection");
  printf ("\n");
}

static bool
script_has_connection (void *context, const ca_exchange_t *exchange,
                       const ca_gateway_endpoint_t *endpoint,
                       uint64_t connected_by_us)
{
  const script_t *script = context;

  (void)exchange;
  for (size_t i = 0; i < SCRIPT_KEPT; i++)
    {
      if (strcmp (script->kept[i].endpoint, endpoint->id) == 0)
        return script->kept[i].connected_us != 0
               && script->kept[i].connected_us <= connected_by_us;
    }
  return false;
}

static bool
script_is_connecting (void *context, const ca_exchange_t *exchange)
{
  return script_request (context, exchange->id)->connecting;
}

static void
script_cancel (void *context, ca_exchange_t *exchange)
{
  script_request (context, exchange->id)->connecting = false;
  printf ("%" PRIu64 " cancel %s\n", script_ms (context), exchange->id);
}

static void
script_check_endpoint (void *context, const ca_gateway_endpoint_t *endpoint)
{
  printf ("%" PRIu64 " check %s\n", script_ms (context), endpoint->id);
}

static void
script_end_request (script_t *script, const char *what,
                    const ca_exchange_t *exchange)
{
  printf ("%" PRIu64 " %s %s", script_ms (script), what, exchange->id);
  script_request (script, exchange->id)->exchange = NULL;
}

static void
script_deliver (void *context, ca_exchange_t *exchange)
{
  script_end_request (context, "deliver", exchange);
  printf (" status %u\n", (unsigned)exchange->facts.status);
}

static void
script_begin (void *context, ca_exchange_t *exchange)
{
  printf ("%" PRIu64 " begin %s\n", script_ms (context), exchange->id);
}

static void
script_finish (void *context, ca_exchange_t *exchange)
{
  script_end_request (context, "finish", exchange);
  printf ("\n");
}

static void
script_abort (void *context, ca_exchange_t *exchange)
{
  script_end_request (context, "abort", exchange);
  printf ("\n");
}

static void
script_refuse (void *context, ca_exchange_t *exchange,
               ca_gateway_refusal_t reason, uint64_t retry_after_us)
{
  static const char *const names[CA_REFUSE_COUNT]
      = { [CA_REFUSE_NO_CONFIGURATION] = "no-configuration",
          [CA_REFUSE_STALE] = "stale",
          [CA_REFUSE_STOPPING] = "stopping",
          [CA_REFUSE_NO_ROUTE] = "no-route",
          [CA_REFUSE_NO_KEY] = "no-key",
          [CA_REFUSE_QUOTA] = "quota",
          [CA_REFUSE_QUARANTINED] = "quarantined",
          [CA_REFUSE_QUARANTINED_PART] = "quarantined-part",
          [CA_REFUSE_NO_ENDPOINT] = "no-endpoint",
          [CA_REFUSE_OVERLOADED] = "overloaded",
          [CA_REFUSE_SHED] = "shed",
          [CA_REFUSE_UNKNOWN_VERSION] = "unknown-version",
          [CA_REFUSE_DELEGATE] = "delegate",
          [CA_REFUSE_LIMITED] = "limited",
          [CA_REFUSE_EXPIRED] = "expired",
          [CA_REFUSE_LOST] = "lost",
          [CA_REFUSE_TIMEOUT] = "timeout" };

  script_end_request (context, "refuse", exchange);
  printf (" %s retry %" PRIu64 " ms\n", names[reason],
          retry_after_us / CA_US_PER_MS);
}

static void
script_send_peer (void *context, const ca_address_t *to,
                  const Camphor__Envelope *envelope)
{
  (void)to;
  if (envelope->body_case == CAMPHOR__ENVELOPE__BODY_CATALOG_WANT)
    printf ("%" PRIu64 " ask a peer for a configuration after %" PRIu64 "\n",
            script_ms (context), envelope->catalog_want->have_version);
}

static void
script_parse_catalog (void *context, uint64_t version, const void *text,
                      size_t bytes)
{
  (void)context;
  (void)version;
  (void)text;
  (void)bytes;
}

static void
script_log (void *context, const ca_log_event_t *event)
{
  if (ca_event_info (event->event) == NULL)
    printf ("event %d is not in the catalogue\n", (int)event->event);
  if (getenv ("NOTES") != NULL)
    printf ("%" PRIu64 "   log %d %s %s %s\n", script_ms (context),
            (int)event->event, event->request == NULL ? "-" : event->request,
            event->subject == NULL ? "-" : event->subject, event->detail);
}

static const ca_gateway_ports_t script_ports = {
  .attempt = script_attempt,
  .cancel = script_cancel,
  .is_connecting = script_is_connecting,
  .has_connection = script_has_connection,
  .check_endpoint = script_check_endpoint,
  .deliver = script_deliver,
  .begin = script_begin,
  .finish = script_finish,
  .abort_stream = script_abort,
  .refuse = script_refuse,
  .send_peer = script_send_peer,
  .parse_catalog = script_parse_catalog,
  .log = script_log,
};

/* Value of NAME=VALUE among the words, or NULL. */
static const char *
script_value (char **words, const char *name)
{
  size_t bytes = strlen (name);

  for (; *words != NULL; words++)
    {
      if (strncmp (*words, name, bytes) == 0 && (*words)[bytes] == '=')
        return *words + bytes + 1;
    }
  return NULL;
}

static bool
script_has (char **words, const char *word)
{
  for (; *words != NULL; words++)
    {
      if (strcmp (*words, word) == 0)
        return true;
    }
  return false;
}

static void
script_at (script_t *script, char **words)
{
  uint64_t until_us
      = script->start_us + strtoull (words[1], NULL, 10) * CA_US_PER_MS;

  while (script->now_us < until_us)
    {
      script->now_us += CA_GATEWAY_TICK_US;
      ca_gateway_tick (&script->gateway, script->now_us,
                       SCRIPT_WALL_US + script->now_us);
    }
}

static void
script_config (script_t *script, char **words)
{
  char path[512];
  static char text[SCRIPT_TEXT_BYTES];
  ca_error_t error;
  ca_catalog_t *catalog;
  FILE *file;
  size_t bytes;

  snprintf (path, sizeof path, "%s/%s", script->folder, words[1]);
  file = fopen (path, "r");
  if (file == NULL)
    {
      fprintf (stderr, "cannot open %s\n", path);
      exit (1);
    }
  bytes = fread (text, 1, sizeof text, file);
  fclose (file);
  ca_error_init (&error);
  catalog = ca_config_parse (text, bytes, &error);
  if (catalog == NULL)
    printf ("%s\n", error.message);
  else
    ca_gateway_catalog (&script->gateway, script->now_us, catalog);
}

static void
script_validated (script_t *script, char **words)
{
  (void)words;
  ca_gateway_config_validated (&script->gateway, script->now_us, script->now_us,
                               script->now_us);
}

static void
script_store (script_t *script, char **words)
{
  bool gone = strcmp (words[1], "gone") == 0;

  ca_gateway_store_state (&script->gateway, script->now_us,
                          strcmp (words[1], "up") != 0, gone);
}

static void
script_list (script_t *script, char **words)
{
  if (strcmp (words[1], "begin") == 0)
    ca_gateway_list_begin (&script->gateway, script->now_us);
  else if (strcmp (words[1], "validated") == 0)
    ca_gateway_list_validated (&script->gateway, script->now_us);
  else
    ca_gateway_list_end (&script->gateway, script->now_us);
}

static void
script_endpoint (script_t *script, char **words)
{
  const char *started = script_value (words, "started");
  const char *slots = script_value (words, "slots");
  const char *version = script_value (words, "version");
  ca_endpoint_record_t record;

  memset (&record, 0, sizeof record);
  record.id = words[1];
  record.service = words[2];
  record.zone = words[3];
  record.version = version;
  record.address.ip = 1;
  record.address.port = 1;
  record.draining = script_has (words, "draining");
  record.reclaimable = script_has (words, "reclaimable");
  record.started_ms = started == NULL ? 0 : strtoull (started, NULL, 10);
  record.slots = slots == NULL ? 4 : (uint32_t)strtoul (slots, NULL, 10);
  ca_gateway_endpoint_listed (&script->gateway, script->now_us, &record);
}

static void
script_removed (script_t *script, char **words)
{
  ca_gateway_endpoint_removed (&script->gateway, script->now_us, words[1]);
}

static void
script_parse_parts (const char *text, ca_prompt_t *prompt)
{
  while (*text != '\0')
    {
      char *end;
      uint64_t id = strtoull (text, &end, 16);
      uint32_t tokens = (uint32_t)strtoul (end + 1, &end, 10);

      ca_prompt_add (prompt, id, tokens);
      text = *end == ',' ? end + 1 : end;
    }
}

static void
script_send_request (script_t *script, char **words)
{
  script_request_t *request = &script->requests[script->request_count++];
  const char *wait = script_value (words, "wait");
  const char *cost = script_value (words, "cost");
  const char *parts = script_value (words, "parts");
  const char *fingerprint = script_value (words, "fingerprint");
  ca_request_facts_t facts;
  char *comma;

  memset (&facts, 0, sizeof facts);
  memset (request, 0, sizeof *request);
  strlcpy (request->id, words[1], sizeof request->id);
  facts.id = words[1];
  facts.host = "host.example";
  facts.path = words[2];
  facts.key = script_value (words, "key");
  facts.resumes = script_value (words, "resumes");
  facts.wait_ms = wait == NULL ? 0 : (uint32_t)strtoul (wait, NULL, 10);
  facts.fingerprint = fingerprint == NULL
                          ? XXH3_64bits (words[1], strlen (words[1]))
                          : strtoull (fingerprint, NULL, 10);
  if (cost != NULL)
    {
      facts.has_cost = true;
      facts.prompt.tokens = (uint32_t)strtoul (cost, &comma, 10);
      facts.prompt.output_tokens = (uint32_t)strtoul (comma + 1, NULL, 10);
    }
  if (parts != NULL)
    script_parse_parts (parts, &facts.prompt);
  ca_gateway_request (&script->gateway, script->now_us, &facts);
}

/* Returns the open exchange of a request; exits if it has ended. */
static ca_exchange_t *
script_open (script_t *script, const char *id)
{
  ca_exchange_t *exchange = script_request (script, id)->exchange;

  if (exchange == NULL)
    {
      printf ("%s has ended\n", id);
      exit (1);
    }
  return exchange;
}

static void
script_head (script_t *script, char **words)
{
  const char *limit = script_value (words, "limit");
  const char *pause = script_value (words, "pause");
  const char *connected = script_value (words, "connected");
  ca_answer_facts_t facts;

  memset (&facts, 0, sizeof facts);
  facts.status = (uint32_t)strtoul (words[2], NULL, 10);
  facts.is_signed = script_has (words, "signed");
  facts.not_run = script_has (words, "not-run");
  facts.wrong_endpoint = script_has (words, "wrong-endpoint");
  facts.encoded = script_has (words, "encoded");
  facts.is_stream = script_has (words, "stream");
  facts.has_limit = limit != NULL;
  facts.limit_per_s = limit == NULL ? 0 : strtod (limit, NULL);
  facts.bad_limit = script_value (words, "bad-limit");
  facts.leaving = script_has (words, "leaving");
  facts.pause_us
      = pause == NULL ? 0 : strtoull (pause, NULL, 10) * CA_US_PER_MS;
  facts.names_request = true;
  if (connected != NULL)
    facts.connected_us
        = script->start_us + strtoull (connected, NULL, 10) * CA_US_PER_MS;
  ca_exchange_head (&script->gateway, script->now_us,
                    script_open (script, words[1]), &facts);
}

static void
script_event (script_t *script, char **words)
{
  uint64_t id = words[2] == NULL ? 0 : strtoull (words[2], NULL, 10);

  if (ca_exchange_event (&script->gateway, script->now_us,
                         script_open (script, words[1]), words[2] != NULL, id))
    printf ("%" PRIu64 " event %s %" PRIu64 "\n", script_ms (script), words[1],
            id);
}

static void
script_end (script_t *script, char **words)
{
  static const char *const names[]
      = { "complete", "unreachable", "interrupted", "malformed" };

  for (int end = 0; end < 4; end++)
    {
      if (strcmp (words[2], names[end]) == 0)
        ca_exchange_end (&script->gateway, script->now_us,
                         script_open (script, words[1]), (ca_attempt_end_t)end);
    }
}

static void
script_kept (script_t *script, char **words)
{
  size_t i = 0;

  while (script->kept[i].endpoint[0] != '\0'
         && strcmp (script->kept[i].endpoint, words[1]) != 0)
    i++;
  strlcpy (script->kept[i].endpoint, words[1], sizeof script->kept[i].endpoint);
  script->kept[i].connected_us
      = strcmp (words[2], "none") == 0
            ? 0
            : script->start_us + strtoull (words[2], NULL, 10) * CA_US_PER_MS;
}

static void
script_connecting (script_t *script, char **words)
{
  script_request (script, words[1])->connecting
      = strcmp (words[0], "connecting") == 0;
}

static void
script_disconnect (script_t *script, char **words)
{
  ca_exchange_caller_disconnected (&script->gateway, script->now_us,
                                   script_open (script, words[1]));
  script_request (script, words[1])->exchange = NULL;
}

static void
script_checked (script_t *script, char **words)
{
  const ca_gateway_endpoint_t *endpoint
      = ca_registry_find (&script->gateway.registry, words[1]);

  ca_gateway_endpoint_checked (&script->gateway, script->now_us,
                               ca_gateway_endpoint_instance (endpoint),
                               strcmp (words[2], "reachable") == 0);
}

static void
script_peer (script_t *script, char **words)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__Pulse heartbeat = CAMPHOR__PULSE__INIT;
  Camphor__Strike strike = CAMPHOR__STRIKE__INIT;
  Camphor__Strike *strikes[] = { &strike };
  const char *reported = script_value (words, "strikes");
  const char *left = script_value (words, "left");
  uint64_t instance;
  char *end;

  heartbeat.name = words[1];
  heartbeat.zone = "z2";
  heartbeat.stamp_us = script->now_us;
  heartbeat.echo_us = script->now_us;
  heartbeat.wall_ms = (SCRIPT_WALL_US + script->now_us) / CA_US_PER_MS;
  heartbeat.config_known = script_value (words, "version") != NULL;
  if (heartbeat.config_known)
    {
      heartbeat.config_version
          = strtoull (script_value (words, "version"), NULL, 10);
      heartbeat.config_age_us
          = strtoull (script_value (words, "age"), NULL, 10) * CA_US_PER_MS;
    }
  if (reported != NULL)
    {
      strike.fingerprint
          = ca_request_fingerprint (strtoull (reported, &end, 10), "w1");
      strike.count = (uint32_t)strtoul (end + 1, NULL, 10);
      heartbeat.strikes = strikes;
      heartbeat.n_strikes = 1;
    }
  if (left != NULL)
    {
      instance = XXH3_64bits (left, strlen (left));
      heartbeat.left_lives = &instance;
      heartbeat.n_left_lives = 1;
    }
  envelope.from = XXH3_64bits (words[1], strlen (words[1]));
  envelope.incarnation = 1;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_PULSE;
  envelope.pulse = &heartbeat;
  cluster_deliver (&script->gateway, script->now_us, &envelope);
}

static void
script_stop (script_t *script, char **words)
{
  (void)words;
  ca_gateway_stop (&script->gateway, script->now_us);
}

static void
script_stop_end (script_t *script, char **words)
{
  (void)words;
  ca_gateway_stop_end (&script->gateway, script->now_us);
}

static void
script_ready (script_t *script, char **words)
{
  (void)words;
  printf ("%" PRIu64 " ready %s\n", script_ms (script),
          ca_gateway_ready (&script->gateway) ? "yes" : "no");
}

typedef struct
{
  const char *name;
  int words; /* minimum, including the name */
  void (*run) (script_t *script, char **words);
} script_command_t;

static const script_command_t script_commands[] = {
  { "at", 2, script_at },
  { "config", 2, script_config },
  { "validated", 1, script_validated },
  { "store", 2, script_store },
  { "list", 2, script_list },
  { "endpoint", 4, script_endpoint },
  { "removed", 2, script_removed },
  { "request", 3, script_send_request },
  { "head", 3, script_head },
  { "event", 2, script_event },
  { "end", 3, script_end },
  { "kept", 3, script_kept },
  { "connecting", 2, script_connecting },
  { "connected", 2, script_connecting },
  { "disconnect", 2, script_disconnect },
  { "checked", 3, script_checked },
  { "peer", 2, script_peer },
  { "stop", 1, script_stop },
  { "stop-end", 1, script_stop_end },
  { "ready", 1, script_ready },
};

static void
script_run_line (script_t *script, char *line)
{
  char *words[SCRIPT_WORDS + 1] = { NULL };
  int count = 0;
  char *word;

  line[strcspn (line, "#\n")] = '\0';
  while ((word = strsep (&line, " ")) != NULL && count < SCRIPT_WORDS)
    {
      if (*word != '\0')
        words[count++] = word;
    }
  if (count == 0)
    return;
  for (size_t i = 0; i < sizeof script_commands / sizeof script_commands[0];
       i++)
    {
      if (strcmp (script_commands[i].name, words[0]) == 0
          && count >= script_commands[i].words)
        {
          script_commands[i].run (script, words);
          return;
        }
    }
  fprintf (stderr, "bad command: %s\n", words[0]);
  exit (1);
}

static void
script_init (script_t *script, const char *folder)
{
  ca_gateway_options_t options;
  ca_gateway_ports_t ports = script_ports;

  memset (script, 0, sizeof *script);
  memset (&options, 0, sizeof options);
  strlcpy (options.name, "entry-1", sizeof options.name);
  strlcpy (options.zone, "z1", sizeof options.zone);
  options.seed = 1;
  options.bounds = (ca_bounds_t){ .propagation_ms = 2000,
                                  .strict_revocation = true,
                                  .revocation_ms = 5000,
                                  .retry_ratio = 0.2,
                                  .retry_allowance = 54,
                                  .retry_window_ms = 10000,
                                  .quota_overrun = 0.1,
                                  .quota_allowance = 110000,
                                  .quota_window_ms = 8000,
                                  .usage_window_s = 5,
                                  .usage_delay_s = 10,
                                  .lease_ms = 3000,
                                  .grace_ms = 8000 };
  ports.context = script;
  script->folder = folder;
  script->start_us = SCRIPT_STEADY_US;
  script->now_us = SCRIPT_STEADY_US;
  ca_gateway_init (&script->gateway, &options, &ports, script->now_us,
                   SCRIPT_WALL_US + script->now_us);
  ca_gateway_entries_listed (&script->gateway);
}

int
main (int argc, char **argv)
{
  static script_t script;
  char line[1024];
  FILE *file;

  if (argc != 3 || (file = fopen (argv[2], "r")) == NULL)
    {
      fprintf (stderr, "usage: gateway-script FOLDER SCRIPT\n");
      return 1;
    }
  script_init (&script, argv[1]);
  while (fgets (line, sizeof line, file) != NULL)
    script_run_line (&script, line);
  fclose (file);
  printf ("open at the end: %u\n", (unsigned)script.gateway.open);
  ca_gateway_finish (&script.gateway);
  return 0;
}
