/* Which version of the endpoints' software began a stream.
 *
 * What two versions write does not fit together, so a stream goes on only at
 * the version that began it.  A caller may take an interrupted stream up at any
 * entry.  The entry at which a stream begins records the version at two peers,
 * which follow from the stream's number by a ranking that is the same at all
 * entries; the entry that is to go on with it asks them.
 *
 * While a service has had a single version for long, nothing is recorded, and a
 * stream without a record is one of that version. */
#include "gateway/private.h"
#include "wire/frame.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Peers that are asked for a record: so many of those in contact, and of all
 * known ones, since entries may differ in which peers they are in contact with.
 */
#define STREAM_ASKED 2

#define STREAM_EXPIRY_PERIOD_US (5 * CA_US_PER_S)

/* Records kept at most; streams beyond that cannot be taken up. */
#define STREAM_RECORDS_MAX 65536

/* Records in one message. */
#define STREAM_BATCH_MAX 512

/* Time for the answers of the peers that are asked. */
#define STREAM_LOOKUP_US (200 * CA_US_PER_MS)

/* The list of endpoints is current if it was validated this recently. */
#define STREAM_LIST_AGE_US (1500 * CA_US_PER_MS)

/* The record of an endpoint may lack its version at first.  Beside others that
 * have one it gets no streams for so long. */
#define STREAM_UNNAMED_US (3 * CA_US_PER_S)

#define STREAM_SURVEY_PERIOD_US (500 * CA_US_PER_MS)

/* After an interruption, the endpoint's next process may run another version.
 * Until its record has been written again, or a list that is so much later
 * still names the same process, no stream goes on there, and what begins there
 * is of an unknown version. */
#define STREAM_UNSURE_US (3 * CA_US_PER_S)

/* Version of a stream that was begun by a process that the entry took for
 * another one; no endpoint has it. */
#define STREAM_VERSION_UNSURE UINT32_MAX

/* Names of peers in a log line; more are left out. */
#define STREAM_LOG_NAMES_BYTES 160

/* A record to be sent to a peer. */
typedef struct
{
  const ca_peer_t *peer;
  uint64_t stream;
  uint32_t version;
} stream_notice_t;

uint32_t
ca_stream_version (const char *service, const char *version)
{
  uint32_t hash = XXH32 (service, strlen (service), 0);

  if (version != NULL && version[0] != '\0')
    hash = XXH32 (version, strlen (version), hash);
  return hash == 0 || hash == STREAM_VERSION_UNSURE ? 1 : hash;
}

/* Number of a stream: hash of the request that began it. */
static uint64_t
stream_number (const ca_exchange_t *exchange)
{
  const char *id
      = exchange->resumes[0] == '\0' ? exchange->id : exchange->resumes;

  return XXH3_64bits (id, strlen (id));
}

static bool
stream_is_resumable (const ca_exchange_t *exchange)
{
  return exchange->route->kind == CA_ROUTE_STREAMING
         && exchange->route->resumable;
}

static ca_stream_record_t *
stream_find (const ca_gateway_t *gateway, uint64_t stream)
{
  ca_stream_record_t *record = NULL;

  HASH_FIND (hh, gateway->streams, &stream, sizeof stream, record);
  return record;
}

/* Returns the stream's record, new or not; NULL if there are too many. */
static ca_stream_record_t *
stream_put (ca_gateway_t *gateway, uint64_t stream, uint32_t version)
{
  ca_stream_record_t *record = stream_find (gateway, stream);

  if (record == NULL)
    {
      if (HASH_COUNT (gateway->streams) >= STREAM_RECORDS_MAX)
        return NULL;
      record = calloc (1, sizeof *record);
      record->stream = stream;
      HASH_ADD (hh, gateway->streams, stream, sizeof record->stream, record);
    }
  record->version = version;
  record->updated_us = gateway->now_us;
  return record;
}

static void
stream_drop (ca_gateway_t *gateway, ca_stream_record_t *record)
{
  if (record->service != NULL)
    TAILQ_REMOVE (&gateway->own_streams, record, entries);
  HASH_DEL (gateway->streams, record);
  free (record);
}

/* Versions of services. */

void
ca_stream_versions_listed (ca_gateway_t *gateway,
                           ca_gateway_endpoint_t *endpoint)
{
  ca_service_stats_t *stats = ca_service_stats (gateway, endpoint->service);
  ca_software_version_t *version
      = ca_version_history_find (gateway, stats, endpoint->version_number);

  if (version->listed_us == 0)
    version->first_us = gateway->now_us;
  version->listed_us = gateway->now_us;
  if (endpoint->version[0] != '\0')
    stats->names_versions = true;
  endpoint->settles_us
      = ca_version_history_settles_us (gateway, stats, version);
}

/* Notes the versions that serve now, periodically. */
static void
stream_survey_versions (ca_gateway_t *gateway)
{
  ca_gateway_endpoint_t *endpoint;

  if (gateway->now_us < gateway->next_version_survey_us)
    return;
  gateway->next_version_survey_us = gateway->now_us + STREAM_SURVEY_PERIOD_US;
  for (endpoint = gateway->registry.endpoints; endpoint != NULL;
       endpoint = endpoint->hh.next)
    ca_stream_versions_listed (gateway, endpoint);
}

/* True if the endpoint's version is expected to be named yet. */
static bool
stream_awaits_version (const ca_gateway_t *gateway,
                       const ca_gateway_endpoint_t *endpoint,
                       const ca_service_stats_t *stats)
{
  return endpoint->version[0] == '\0' && stats->names_versions
         && gateway->now_us - endpoint->added_us < STREAM_UNNAMED_US;
}

/* True if the list is recent enough to conclude anything from it. */
static bool
stream_list_is_recent (const ca_gateway_t *gateway)
{
  return gateway->now_us - gateway->list_validated_us < STREAM_LIST_AGE_US;
}

/* True if the process behind the endpoint may be another one than listed, since
 * a response of it was interrupted.  The wait for a list is short: one that is
 * old is renewed. */
static bool
stream_process_is_unsure (ca_gateway_t *gateway,
                          const ca_gateway_endpoint_t *endpoint)
{
  uint64_t sure_us = endpoint->interrupted_us + STREAM_UNSURE_US;

  if (endpoint->interrupted_us < endpoint->listed_us
      || gateway->list_validated_us >= sure_us)
    return false;
  gateway->list_wanted = gateway->list_wanted || gateway->now_us >= sure_us;
  return true;
}

/* True if the version of a stream that begins at the endpoint is unknown, and
 * the record of a new process may come too late to correct it. */
static bool
stream_begins_unsure (ca_gateway_t *gateway,
                      const ca_gateway_endpoint_t *endpoint)
{
  return stream_process_is_unsure (gateway, endpoint)
         && (gateway->list_validated_us < endpoint->interrupted_us
             || !stream_list_is_recent (gateway));
}

bool
ca_stream_versions_allows (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                           const ca_gateway_endpoint_t *endpoint)
{
  if (stream_is_resumable (exchange)
      && stream_awaits_version (
          gateway, endpoint,
          ca_service_stats (gateway, exchange->service->name)))
    return false;
  if (exchange->version == 0)
    return true;
  return endpoint->version_number == exchange->version
         && !stream_process_is_unsure (gateway, endpoint);
}

/* The only version that can have begun a stream of the service, as of the
 * latest list; 0 if this entry does not know. */
static uint32_t
stream_single_listed_version (const ca_gateway_t *gateway,
                              const ca_service_stats_t *stats)
{
  uint32_t single = 0;

  if (!ca_version_history_is_complete (gateway))
    return 0;
  for (size_t i = 0; i < CA_SOFTWARE_VERSIONS_MAX; i++)
    {
      const ca_software_version_t *known = &stats->versions[i];

      if (!ca_version_history_may_have_begun (gateway, known))
        continue;
      if (single != 0)
        return 0;
      single = known->version;
    }
  return single;
}

/* The only version that can have begun a stream of the service; 0 if this entry
 * does not know. */
static uint32_t
stream_single_version (const ca_gateway_t *gateway,
                       const ca_service_stats_t *stats)
{
  return stream_list_is_recent (gateway)
             ? stream_single_listed_version (gateway, stats)
             : 0;
}

/* Records at peers. */

/* True if peers cannot conclude the stream's version without its record. */
static bool
stream_needs_record (const ca_gateway_t *gateway,
                     const ca_stream_record_t *record)
{
  return record->version == STREAM_VERSION_UNSURE
         || stream_single_version (gateway, record->service) == 0;
}

/* Changes with the peers that may keep records. */
static uint64_t
stream_peers_signature (const ca_gateway_t *gateway)
{
  const ca_peer_t *peer;
  uint64_t signature = 0;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (!peer->leaving && ca_peers_in_close_contact (gateway, peer))
        signature += (peer->id ^ peer->incarnation) | 1;
    }
  return signature;
}

static int
stream_compare_notices (const void *a, const void *b)
{
  const stream_notice_t *left = a;
  const stream_notice_t *right = b;

  return left->peer->id < right->peer->id ? -1
                                          : left->peer->id > right->peer->id;
}

/* Sends the notices, one message to each peer. */
static void
stream_send_notices (ca_gateway_t *gateway, stream_notice_t *notices,
                     size_t count)
{
  uint64_t streams[STREAM_BATCH_MAX];
  uint32_t versions[STREAM_BATCH_MAX];

  qsort (notices, count, sizeof notices[0], stream_compare_notices);
  for (size_t i = 0; i < count;)
    {
      Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
      Camphor__StreamVersions message = CAMPHOR__STREAM_VERSIONS__INIT;
      const ca_peer_t *peer = notices[i].peer;
      size_t rows = 0;

      for (; i < count && notices[i].peer == peer; i++)
        {
          streams[rows] = notices[i].stream;
          versions[rows++] = notices[i].version;
        }
      message.streams = streams;
      message.n_streams = rows;
      message.versions = versions;
      message.n_versions = rows;
      envelope.body_case = CAMPHOR__ENVELOPE__BODY_STREAM_VERSIONS;
      envelope.stream_versions = &message;
      /* Without the sender, which does not matter, a third of the bytes is
       * saved. */
      envelope.version = CA_WIRE_VERSION;
      gateway->ports.send_peer (gateway->ports.context, &peer->address,
                                &envelope);
    }
}

/* Adds the notices for a record to the peers that are to keep it and have not
 * been sent it. */
static size_t
stream_add_notices (const ca_gateway_t *gateway, ca_stream_record_t *record,
                    stream_notice_t *notices)
{
  const ca_peer_t *peers[CA_STREAM_HOLDERS];
  uint64_t holders[CA_STREAM_HOLDERS] = { 0 };
  size_t found = ca_peers_ranked (gateway, record->stream, true, peers,
                                  CA_STREAM_HOLDERS);
  size_t count = 0;

  for (size_t i = 0; i < found; i++)
    {
      bool sent = false;

      holders[i] = peers[i]->id ^ peers[i]->incarnation;
      for (size_t k = 0; k < CA_STREAM_HOLDERS; k++)
        sent = sent || record->holders[k] == holders[i];
      if (!sent)
        notices[count++]
            = (stream_notice_t){ peers[i], record->stream, record->version };
    }
  memcpy (record->holders, holders, sizeof holders);
  record->sent = true;
  return count;
}

/* Sends the records of this entry's streams to the peers that are to keep them,
 * if other peers are than before or the records were not needed. */
static void
stream_send_records (ca_gateway_t *gateway)
{
  uint64_t signature = stream_peers_signature (gateway);
  stream_notice_t notices[STREAM_BATCH_MAX + CA_STREAM_HOLDERS];
  ca_stream_record_t *record;
  bool all = signature != gateway->stream_peers_signature;
  size_t count = 0;

  gateway->stream_peers_signature = signature;
  TAILQ_FOREACH (record, &gateway->own_streams, entries)
  {
    if ((record->sent && !all) || !stream_needs_record (gateway, record))
      continue;
    count += stream_add_notices (gateway, record, notices + count);
    if (count < STREAM_BATCH_MAX)
      continue;
    stream_send_notices (gateway, notices, count);
    count = 0;
  }
  stream_send_notices (gateway, notices, count);
}

static void
stream_expire (ca_gateway_t *gateway)
{
  ca_stream_record_t *record;
  ca_stream_record_t *next;

  if (gateway->now_us < gateway->next_stream_expiry_us)
    return;
  gateway->next_stream_expiry_us = gateway->now_us + STREAM_EXPIRY_PERIOD_US;
  HASH_ITER (hh, gateway->streams, record, next)
  {
    if (gateway->now_us - record->updated_us >= CA_STREAM_RETENTION_US)
      stream_drop (gateway, record);
  }
}

void
ca_stream_versions_tick (ca_gateway_t *gateway)
{
  stream_survey_versions (gateway);
  stream_send_records (gateway);
  stream_expire (gateway);
}

void
ca_stream_versions_finish (ca_gateway_t *gateway)
{
  ca_stream_record_t *record;
  ca_stream_record_t *next;

  HASH_ITER (hh, gateway->streams, record, next)
  stream_drop (gateway, record);
}

/* Logs which peers were sent the record of a stream that begins. */
static void
stream_log_recorded (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                     const stream_notice_t *notices, size_t count)
{
  char names[STREAM_LOG_NAMES_BYTES] = "";

  for (size_t i = 0; i < count; i++)
    {
      strlcat (names, " ", sizeof names);
      strlcat (names, notices[i].peer->name, sizeof names);
    }
  ca_gateway_log (
      gateway, CA_EVENT_STREAM_RECORDED, exchange->id, exchange->service->name,
      "stream of %s, sent to %zu entries:%s",
      exchange->resumes[0] == '\0' ? exchange->id : exchange->resumes, count,
      names);
}

void
ca_stream_versions_began (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  stream_notice_t notices[CA_STREAM_HOLDERS];
  ca_stream_record_t *record;
  size_t count;

  if (!stream_is_resumable (exchange))
    return;
  if (exchange->version == 0)
    exchange->version = stream_begins_unsure (gateway, exchange->endpoint)
                            ? STREAM_VERSION_UNSURE
                            : exchange->endpoint->version_number;
  record = stream_put (gateway, stream_number (exchange), exchange->version);
  if (record == NULL || record->service != NULL)
    return;
  record->service = ca_service_stats (gateway, exchange->service->name);
  record->sent = false;
  TAILQ_INSERT_TAIL (&gateway->own_streams, record, entries);
  if (!stream_needs_record (gateway, record))
    return;
  count = stream_add_notices (gateway, record, notices);
  stream_send_notices (gateway, notices, count);
  stream_log_recorded (gateway, exchange, notices, count);
}

void
ca_stream_versions_replaced (ca_gateway_t *gateway,
                             const ca_gateway_endpoint_t *endpoint,
                             uint64_t started_ms)
{
  stream_notice_t notices[CA_STREAM_HOLDERS];
  ca_stream_record_t *record;
  ca_exchange_t *exchange;

  TAILQ_FOREACH (exchange, &gateway->exchanges, entries)
  {
    if (exchange->endpoint != endpoint || exchange->version == 0
        || ca_gateway_is_before (gateway, exchange->sent_us, started_ms))
      continue;
    exchange->version = STREAM_VERSION_UNSURE;
    record = stream_find (gateway, stream_number (exchange));
    if (record == NULL)
      continue;
    record->version = STREAM_VERSION_UNSURE;
    memset (record->holders, 0, sizeof record->holders);
    stream_send_notices (gateway, notices,
                         stream_add_notices (gateway, record, notices));
  }
}

void
ca_stream_versions_completed (ca_gateway_t *gateway,
                              const ca_exchange_t *exchange)
{
  ca_stream_record_t *record = stream_find (gateway, stream_number (exchange));

  if (record != NULL)
    stream_drop (gateway, record);
}

/* Asks the peers that may have the stream's record. */
static void
stream_ask (ca_gateway_t *gateway, ca_exchange_t *exchange, uint64_t stream)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__StreamWant want = CAMPHOR__STREAM_WANT__INIT;
  const ca_peer_t *peers[2 * STREAM_ASKED];
  size_t count = ca_peers_ranked (gateway, stream, true, peers, STREAM_ASKED);
  size_t in_contact = count;

  count
      += ca_peers_ranked (gateway, stream, false, peers + count, STREAM_ASKED);
  want.stream = stream;
  want.service = exchange->service->name;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_STREAM_WANT;
  envelope.stream_want = &want;
  exchange->lookup_us = gateway->now_us;
  for (size_t i = 0; i < count; i++)
    {
      bool asked = false;

      for (size_t k = 0; k < in_contact && i >= in_contact; k++)
        asked = asked || peers[k] == peers[i];
      if (asked)
        continue;
      exchange->lookups++;
      exchange->asked++;
      ca_peers_send (gateway, &peers[i]->address, &envelope);
    }
}

/* Logs on what grounds the stream is refused. */
static void
stream_log_unknown (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  const ca_service_stats_t *stats
      = ca_service_stats (gateway, exchange->service->name);
  uint32_t versions = 0;

  for (size_t i = 0; i < CA_SOFTWARE_VERSIONS_MAX; i++)
    versions
        += ca_version_history_may_have_begun (gateway, &stats->versions[i]);
  ca_gateway_log (
      gateway, CA_EVENT_STREAM_VERSION_UNKNOWN, exchange->id,
      exchange->service->name,
      "stream of %s: no record here, nor at %u of %u entries asked; %u did not "
      "answer in %" PRIu64 " ms; %u versions may have begun it, history %s, "
      "list validated %" PRIu64 " ms before",
      exchange->resumes, exchange->asked - exchange->lookups, exchange->asked,
      exchange->lookups, (gateway->now_us - exchange->lookup_us) / CA_US_PER_MS,
      versions,
      ca_version_history_is_complete (gateway) ? "complete" : "incomplete",
      (gateway->now_us - gateway->list_validated_us) / CA_US_PER_MS);
}

ca_stream_lookup_t
ca_stream_versions_resolve (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  const ca_stream_record_t *record;
  uint64_t stream;
  bool awaits_list;

  if (exchange->resumes[0] == '\0' || exchange->version != 0
      || !stream_is_resumable (exchange))
    return CA_STREAM_LOOKUP_KNOWN;
  stream = stream_number (exchange);
  record = stream_find (gateway, stream);
  exchange->version
      = record != NULL
            ? record->version
            : stream_single_version (
                gateway, ca_service_stats (gateway, exchange->service->name));
  if (exchange->version != 0)
    return CA_STREAM_LOOKUP_KNOWN;
  if (exchange->lookup_us == 0)
    stream_ask (gateway, exchange, stream);
  awaits_list
      = !stream_list_is_recent (gateway)
        && stream_single_listed_version (
               gateway, ca_service_stats (gateway, exchange->service->name))
               != 0;
  gateway->list_wanted = gateway->list_wanted || awaits_list;
  if ((exchange->lookups == 0 && !awaits_list)
      || gateway->now_us - exchange->lookup_us >= STREAM_LOOKUP_US)
    {
      stream_log_unknown (gateway, exchange);
      return CA_STREAM_LOOKUP_UNKNOWN;
    }
  return CA_STREAM_LOOKUP_PENDING;
}

void
ca_stream_versions_answer (ca_gateway_t *gateway,
                           const Camphor__Envelope *envelope)
{
  const Camphor__StreamWant *want = envelope->stream_want;
  const ca_peer_t *peer = ca_peers_find (gateway, envelope->from);
  const ca_stream_record_t *record = stream_find (gateway, want->stream);
  Camphor__Envelope answer = CAMPHOR__ENVELOPE__INIT;
  Camphor__StreamVersions message = CAMPHOR__STREAM_VERSIONS__INIT;
  uint64_t stream = want->stream;
  uint32_t version = 0;

  if (peer == NULL)
    return;
  if (record != NULL)
    version = record->version;
  else if (gateway->services != NULL)
    version = stream_single_version (gateway,
                                     ca_service_stats (gateway, want->service));
  message.streams = &stream;
  message.n_streams = 1;
  message.versions = &version;
  message.n_versions = 1;
  message.answers = true;
  answer.body_case = CAMPHOR__ENVELOPE__BODY_STREAM_VERSIONS;
  answer.stream_versions = &message;
  ca_peers_send (gateway, &peer->address, &answer);
}

void
ca_stream_versions_apply (ca_gateway_t *gateway,
                          const Camphor__StreamVersions *message)
{
  ca_exchange_t *exchange;

  for (size_t i = 0; i < message->n_streams && i < message->n_versions; i++)
    {
      if (message->versions[i] != 0)
        stream_put (gateway, message->streams[i], message->versions[i]);
    }
  if (!message->answers || message->n_streams != 1)
    return;
  TAILQ_FOREACH (exchange, &gateway->exchanges, entries)
  {
    if (exchange->lookups > 0
        && stream_number (exchange) == message->streams[0])
      exchange->lookups--;
  }
  ca_exchanges_dispatch_waiting (gateway);
}
