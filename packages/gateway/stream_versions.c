/* Which version of the endpoints' software began a stream.
 *
 * What two versions write does not fit together, so a stream goes on only at
 * the version that began it.  A caller may take an interrupted stream up at any
 * entry.  The entry at which a stream begins sends a record of the version to
 * its peers, before the first event: to as many as a budget for such messages
 * allows, in an order that follows from the stream's number and is the same at
 * all entries.  One of them writes it to the store (stream_store.c).  The entry
 * that is to go on with a stream of which it has no record asks some of the
 * first peers in that order, then more of them and the store.
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

/* If no peer has answered by then, more are asked, and the store is. */
#define STREAM_WIDEN_US (50 * CA_US_PER_MS)
#define STREAM_ASKED_WIDELY 32

/* Time for the store's answer; it takes half a second when it is slow. */
#define STREAM_STORE_LOOKUP_US (700 * CA_US_PER_MS)

/* Budget for records: what an entry may spend on control (docs/CAPACITY.md).
 * What those that must be sent leave of it is for copies at more peers than
 * CA_STREAM_HOLDERS.  The copies of one record may take a part of what is left,
 * so that their number follows from the rate of streams. */
#define STREAM_BYTES_PER_S 10000
#define STREAM_COPY_SHARE 8
#define STREAM_NOTICE_BYTES 27 /* a record in a message of its own */
#define STREAM_RECORD_BYTES 12 /* one more in a message */
#define STREAM_COPIES_MAX (CA_PEERS_RANKED_MAX - CA_STREAM_HOLDERS)

/* Notices for one record at most. */
#define STREAM_NOTICES_MAX (CA_PEERS_RANKED_MAX + 1)

/* The list of endpoints is current if it was validated this recently. */
#define STREAM_LIST_AGE_US (1500 * CA_US_PER_MS)

/* The record of an endpoint may lack its version at first.  Beside others that
 * have one it gets no streams for so long. */
#define STREAM_UNNAMED_US (3 * CA_US_PER_S)

#define STREAM_SURVEY_PERIOD_US (500 * CA_US_PER_MS)

/* Version of a stream that was begun by a process that the entry took for
 * another one; no endpoint has it. */
#define STREAM_VERSION_UNSURE UINT32_MAX

/* Version of a stream whose process may be another one than listed, until that
 * is verified; no endpoint has it. */
#define STREAM_VERSION_IN_DOUBT (UINT32_MAX - 1)

/* Names of peers in a log line; more are left out. */
#define STREAM_LOG_NAMES_BYTES 160

/* A record to be sent to a peer. */
typedef struct
{
  const ca_peer_t *peer;
  uint64_t stream;
  uint32_t version;
  bool to_store;
} stream_notice_t;

uint32_t
ca_stream_version (const char *service, const char *version)
{
  uint32_t hash = XXH32 (service, strlen (service), 0);

  if (version != NULL && version[0] != '\0')
    hash = XXH32 (version, strlen (version), hash);
  return hash == 0 || hash >= STREAM_VERSION_IN_DOUBT ? 1 : hash;
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
  /* A correction is final, and what has been verified stays so. */
  if (record->version == 0
      || (record->version != STREAM_VERSION_UNSURE
          && version != STREAM_VERSION_IN_DOUBT))
    record->version = version;
  record->updated_us = gateway->now_us;
  return record;
}

ca_stream_record_t *
ca_stream_versions_keep (ca_gateway_t *gateway, uint64_t stream,
                         uint32_t version)
{
  return version == 0 ? NULL : stream_put (gateway, stream, version);
}

static void
stream_drop (ca_gateway_t *gateway, ca_stream_record_t *record)
{
  if (record->service != NULL)
    TAILQ_REMOVE (&gateway->own_streams, record, entries);
  ca_stream_store_remove (gateway, record);
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
    {
      ca_stream_versions_listed (gateway, endpoint);
      ca_stream_versions_verified (gateway, endpoint);
    }
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

/* True if the version of the stream that begins is unknown: its endpoint's
 * process may have been replaced, and the record of the new one may come too
 * late to correct it. */
static bool
stream_begins_in_doubt (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  const ca_gateway_endpoint_t *endpoint = exchange->endpoint;

  return !ca_endpoint_process_is_verified (gateway, exchange, &exchange->facts)
         && ca_endpoint_process_is_in_doubt (gateway, endpoint)
         && (gateway->list_validated_us < endpoint->interrupted_us
             || !stream_list_is_recent (gateway));
}

ca_stream_permission_t
ca_stream_versions_check (ca_gateway_t *gateway, const ca_exchange_t *exchange,
                          const ca_gateway_endpoint_t *endpoint)
{
  if (stream_is_resumable (exchange)
      && stream_awaits_version (
          gateway, endpoint,
          ca_service_stats (gateway, exchange->service->name)))
    return CA_STREAM_NOT_THERE;
  if (exchange->version == 0)
    return CA_STREAM_ANYHOW;
  if (endpoint->version_number != exchange->version)
    return CA_STREAM_NOT_THERE;
  if (!ca_endpoint_process_is_in_doubt (gateway, endpoint))
    return CA_STREAM_ANYHOW;
  return ca_endpoint_process_has_connection (gateway, exchange, endpoint)
             ? CA_STREAM_VERIFIED
             : CA_STREAM_UNVERIFIED;
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
  return record->version >= STREAM_VERSION_IN_DOUBT || record->connected_us != 0
         || stream_single_version (gateway, record->service) == 0;
}

/* Changes with the entries that may keep records or write them to the store. */
static uint64_t
stream_peers_signature (const ca_gateway_t *gateway)
{
  const ca_peer_t *peer;
  uint64_t signature = gateway->store_era * 4 + gateway->store_down * 2
                       + ca_peers_are_known (gateway);

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      uint64_t process = (peer->id ^ peer->incarnation) | 1;

      if (!peer->leaving && ca_peers_in_close_contact (gateway, peer))
        signature += process;
      if (ca_stream_store_may_write (gateway, peer))
        signature += process << 1;
    }
  return signature;
}

static int
stream_compare_notices (const void *a, const void *b)
{
  const stream_notice_t *left = a;
  const stream_notice_t *right = b;

  if (left->peer->id != right->peer->id)
    return left->peer->id < right->peer->id ? -1 : 1;
  return left->to_store - right->to_store;
}

/* Sends the notices, one message of each kind to each peer. */
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
      bool to_store = notices[i].to_store;
      size_t rows = 0;

      for (; i < count && notices[i].peer == peer
             && notices[i].to_store == to_store;
           i++)
        {
          streams[rows] = notices[i].stream;
          versions[rows++] = notices[i].version;
        }
      message.streams = streams;
      message.n_streams = rows;
      message.versions = versions;
      message.n_versions = rows;
      message.to_store = to_store;
      envelope.body_case = CAMPHOR__ENVELOPE__BODY_STREAM_VERSIONS;
      envelope.stream_versions = &message;
      /* Without the sender, which does not matter, a third of the bytes is
       * saved. */
      envelope.version = CA_WIRE_VERSION;
      gateway->ports.send_peer (gateway->ports.context, &peer->address,
                                &envelope);
    }
}

/* Number of further peers to which a record can be copied now. */
static size_t
stream_copies (ca_gateway_t *gateway)
{
  ca_bucket_t *bytes = &gateway->stream_bytes;
  double copies;

  ca_bucket_set (bytes, gateway->now_us, STREAM_BYTES_PER_S,
                 STREAM_BYTES_PER_S);
  if (bytes->level < 0)
    bytes->level = 0;
  copies = bytes->level / STREAM_COPY_SHARE / STREAM_NOTICE_BYTES;
  return copies < STREAM_COPIES_MAX ? (size_t)copies : STREAM_COPIES_MAX;
}

/* Adds the notice for a record to the entry that is to write it to the store,
 * if that has not been told yet. */
static size_t
stream_add_writer (ca_gateway_t *gateway, ca_stream_record_t *record,
                   stream_notice_t *notices, size_t count)
{
  bool is_self;
  const ca_peer_t *writer
      = ca_stream_store_writer (gateway, record->stream, &is_self);
  uint64_t process = writer != NULL ? writer->id ^ writer->incarnation
                     : is_self      ? gateway->id
                                    : 0;

  /* A store that comes back from an older copy may have lost the record. */
  if (process != 0)
    process ^= gateway->store_era;
  if (process == record->writer)
    return count;
  record->writer = process;
  if (is_self)
    ca_stream_store_add (gateway, record);
  if (writer == NULL)
    return count;
  for (size_t i = 0; i < count; i++)
    {
      if (notices[i].stream != record->stream || notices[i].peer != writer)
        continue;
      notices[i].to_store = true;
      return count;
    }
  notices[count++]
      = (stream_notice_t){ writer, record->stream, record->version, true };
  return count;
}

/* Adds the notices for a record to the entries that are to keep it or write it
 * to the store and have not been sent it.  Those that are to keep it in any
 * case change with the peers in contact. */
static size_t
stream_add_notices (ca_gateway_t *gateway, ca_stream_record_t *record,
                    stream_notice_t *notices)
{
  const ca_peer_t *peers[CA_PEERS_RANKED_MAX];
  uint64_t holders[CA_STREAM_HOLDERS] = { 0 };
  size_t copies = record->sent ? 0 : stream_copies (gateway);
  size_t found = ca_peers_ranked (gateway, record->stream, true, peers,
                                  CA_STREAM_HOLDERS + copies);
  size_t count = 0;

  for (size_t i = 0; i < found; i++)
    {
      uint64_t process = peers[i]->id ^ peers[i]->incarnation;
      bool sent = false;

      for (size_t k = 0; k < CA_STREAM_HOLDERS && i < CA_STREAM_HOLDERS; k++)
        sent = sent || record->holders[k] == process;
      if (i < CA_STREAM_HOLDERS)
        holders[i] = process;
      if (!sent)
        notices[count++] = (stream_notice_t){ peers[i], record->stream,
                                              record->version, false };
    }
  memcpy (record->holders, holders, sizeof holders);
  record->sent = true;
  count = stream_add_writer (gateway, record, notices, count);
  gateway->stream_bytes.level -= (double)(count * STREAM_NOTICE_BYTES);
  return count;
}

/* Sends the records of this entry's streams to the entries that are to have
 * them, if these are others than before or the records were not needed. */
static void
stream_send_records (ca_gateway_t *gateway)
{
  uint64_t signature = stream_peers_signature (gateway);
  stream_notice_t notices[STREAM_BATCH_MAX];
  ca_stream_record_t *record;
  bool all = signature != gateway->stream_peers_signature;
  size_t count = 0;

  gateway->stream_peers_signature = signature;
  TAILQ_FOREACH (record, &gateway->own_streams, entries)
  {
    if ((record->sent && !all) || !stream_needs_record (gateway, record))
      continue;
    count += stream_add_notices (gateway, record, notices + count);
    if (count + STREAM_NOTICES_MAX <= STREAM_BATCH_MAX)
      continue;
    stream_send_notices (gateway, notices, count);
    count = 0;
  }
  stream_send_notices (gateway, notices, count);
}

/* Sends a peer that has started copies of the records of this entry's streams,
 * once the budget allows. */
static void
stream_send_copies (ca_gateway_t *gateway, ca_peer_t *peer)
{
  stream_notice_t notices[STREAM_BATCH_MAX];
  const ca_stream_record_t *record;
  double bytes = 0;
  size_t count = 0;

  TAILQ_FOREACH (record, &gateway->own_streams, entries)
  {
    if (!record->sent || !stream_needs_record (gateway, record)
        || count == STREAM_BATCH_MAX)
      continue;
    notices[count++]
        = (stream_notice_t){ peer, record->stream, record->version, false };
    bytes += STREAM_RECORD_BYTES;
  }
  if (bytes > gateway->stream_bytes.level)
    return;
  gateway->stream_bytes.level -= bytes;
  peer->streams_process = peer->incarnation;
  stream_send_notices (gateway, notices, count);
}

static void
stream_send_to_started (ca_gateway_t *gateway)
{
  ca_peer_t *peer;

  stream_copies (gateway); /* refills the budget */
  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer->streams_process != peer->incarnation && !peer->leaving
          && ca_peers_in_close_contact (gateway, peer))
        stream_send_copies (gateway, peer);
    }
}

/* Sends a correction to all peers: any of them may have a copy. */
static void
stream_send_correction (ca_gateway_t *gateway, ca_stream_record_t *record)
{
  stream_notice_t notices[STREAM_NOTICES_MAX];
  const ca_peer_t *peer;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      notices[0]
          = (stream_notice_t){ peer, record->stream, record->version, false };
      if (peer->received_us != 0)
        stream_send_notices (gateway, notices, 1);
    }
  record->writer = 0;
  stream_send_notices (gateway, notices,
                       stream_add_writer (gateway, record, notices, 0));
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
  stream_notice_t notices[STREAM_NOTICES_MAX];
  ca_stream_record_t *record;
  size_t count;

  if (!stream_is_resumable (exchange))
    return;
  if (exchange->version == 0)
    exchange->version = stream_begins_in_doubt (gateway, exchange)
                            ? STREAM_VERSION_IN_DOUBT
                            : exchange->endpoint->version_number;
  record = stream_put (gateway, stream_number (exchange), exchange->version);
  if (record == NULL || record->service != NULL)
    return;
  record->service = ca_service_stats (gateway, exchange->service->name);
  record->sent = false;
  if (exchange->version == STREAM_VERSION_IN_DOUBT)
    {
      record->began_at = ca_gateway_endpoint_instance (exchange->endpoint);
      record->connected_us = exchange->facts.connected_us;
      gateway->streams_in_doubt = true;
    }
  TAILQ_INSERT_TAIL (&gateway->own_streams, record, entries);
  if (!stream_needs_record (gateway, record))
    return;
  count = stream_add_notices (gateway, record, notices);
  stream_send_notices (gateway, notices, count);
  stream_log_recorded (gateway, exchange, notices, count);
}

/* Sets the version of a stream that began in doubt. */
static void
stream_verified (ca_gateway_t *gateway, ca_stream_record_t *record,
                 const ca_gateway_endpoint_t *endpoint)
{
  ca_exchange_t *exchange;

  record->version = endpoint->version_number;
  record->sent = false;
  record->writer = 0;
  memset (record->holders, 0, sizeof record->holders);
  TAILQ_FOREACH (exchange, &gateway->exchanges, entries)
  {
    if (exchange->version == STREAM_VERSION_IN_DOUBT
        && stream_number (exchange) == record->stream)
      exchange->version = record->version;
  }
}

void
ca_stream_versions_verified (ca_gateway_t *gateway,
                             const ca_gateway_endpoint_t *endpoint)
{
  uint64_t instance = ca_gateway_endpoint_instance (endpoint);
  uint64_t verified_us = ca_endpoint_process_verified_us (gateway, endpoint);
  ca_stream_record_t *record;
  uint32_t verified = 0;
  bool others = false;

  if (!gateway->streams_in_doubt)
    return;
  TAILQ_FOREACH (record, &gateway->own_streams, entries)
  {
    if (record->version != STREAM_VERSION_IN_DOUBT)
      continue;
    if (record->began_at != instance || record->connected_us == 0
        || record->connected_us > verified_us)
      {
        others = true;
        continue;
      }
    stream_verified (gateway, record, endpoint);
    verified++;
  }
  gateway->streams_in_doubt = others;
  if (verified == 0)
    return;
  ca_gateway_log (gateway, CA_EVENT_STREAMS_VERIFIED, NULL, endpoint->id,
                  "%u streams began at the listed process, started %" PRIu64
                  ": connections up to %" PRIu64 " ms old lead there",
                  verified, endpoint->started_ms,
                  (gateway->now_us - verified_us) / CA_US_PER_MS);
  stream_send_records (gateway);
}

void
ca_stream_versions_replaced (ca_gateway_t *gateway,
                             const ca_gateway_endpoint_t *endpoint,
                             uint64_t started_ms)
{
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
    stream_send_correction (gateway, record);
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

/* Asks the first peers in the stream's ranking. */
static void
stream_ask (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__StreamWant want = CAMPHOR__STREAM_WANT__INIT;
  const ca_peer_t *peers[2 * STREAM_ASKED];
  uint64_t stream = stream_number (exchange);
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

/* True if the first peers have not told which version began the stream. */
static bool
stream_is_to_be_asked_widely (const ca_gateway_t *gateway,
                              const ca_exchange_t *exchange)
{
  return exchange->phase == CA_EXCHANGE_WAITING && exchange->version == 0
         && exchange->lookup_us != 0 && !exchange->asked_widely
         && (exchange->lookups == 0
             || gateway->now_us - exchange->lookup_us >= STREAM_WIDEN_US);
}

/* Fills in the peers that were heard last: these are up.  Returns their number.
 */
static size_t
stream_latest_peers (const ca_gateway_t *gateway, const ca_peer_t **peers)
{
  const ca_peer_t *peer;
  size_t count = 0;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      size_t at = count;

      while (at > 0 && peer->received_us > peers[at - 1]->received_us)
        at--;
      if (at == STREAM_ASKED_WIDELY || peer->received_us == 0)
        continue;
      if (count < STREAM_ASKED_WIDELY)
        count++;
      for (size_t i = count - 1; i > at; i--)
        peers[i] = peers[i - 1];
      peers[at] = peer;
    }
  return count;
}

/* Asks more peers for the streams of a service, all in one message to each. */
static void
stream_ask_for_service (ca_gateway_t *gateway, const ca_service_t *service)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__StreamWant want = CAMPHOR__STREAM_WANT__INIT;
  const ca_peer_t *peers[STREAM_ASKED_WIDELY];
  uint64_t streams[STREAM_BATCH_MAX];
  size_t count = stream_latest_peers (gateway, peers);
  ca_exchange_t *exchange;

  TAILQ_FOREACH (exchange, &gateway->exchanges, entries)
  {
    if (want.n_streams == STREAM_BATCH_MAX
        || !stream_is_to_be_asked_widely (gateway, exchange)
        || strcmp (exchange->service->name, service->name) != 0)
      continue;
    streams[want.n_streams++] = stream_number (exchange);
    exchange->asked_widely = true;
    exchange->lookups += (uint32_t)count;
    exchange->asked += (uint32_t)count;
  }
  want.streams = streams;
  want.service = service->name;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_STREAM_WANT;
  envelope.stream_want = &want;
  for (size_t i = 0; i < count; i++)
    ca_peers_send (gateway, &peers[i]->address, &envelope);
}

static void
stream_ask_widely (ca_gateway_t *gateway)
{
  const ca_exchange_t *exchange;

  TAILQ_FOREACH (exchange, &gateway->exchanges, entries)
  {
    if (stream_is_to_be_asked_widely (gateway, exchange))
      stream_ask_for_service (gateway, exchange->service);
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

/* True if an answer that may tell the stream's version is awaited. */
static bool
stream_awaits_answer (ca_gateway_t *gateway, const ca_exchange_t *exchange)
{
  uint64_t waited_us = gateway->now_us - exchange->lookup_us;
  bool awaits_list
      = !stream_list_is_recent (gateway)
        && stream_single_listed_version (
               gateway, ca_service_stats (gateway, exchange->service->name))
               != 0;
  bool awaits_store;

  gateway->list_wanted = gateway->list_wanted || awaits_list;
  if (!exchange->asked_widely && waited_us < STREAM_LOOKUP_US)
    return true;
  awaits_store = ca_stream_store_want (gateway, stream_number (exchange),
                                       exchange->lookup_us);
  return ((exchange->lookups > 0 || awaits_list)
          && waited_us < STREAM_LOOKUP_US)
         || (awaits_store && waited_us < STREAM_STORE_LOOKUP_US);
}

ca_stream_lookup_t
ca_stream_versions_resolve (ca_gateway_t *gateway, ca_exchange_t *exchange)
{
  const ca_stream_record_t *record;

  if (exchange->resumes[0] == '\0' || exchange->version != 0
      || !stream_is_resumable (exchange))
    return CA_STREAM_LOOKUP_KNOWN;
  record = stream_find (gateway, stream_number (exchange));
  exchange->version
      = record != NULL
            ? record->version
            : stream_single_version (
                gateway, ca_service_stats (gateway, exchange->service->name));
  if (exchange->version != 0)
    return CA_STREAM_LOOKUP_KNOWN;
  if (exchange->lookup_us == 0)
    stream_ask (gateway, exchange);
  if (stream_awaits_answer (gateway, exchange))
    return CA_STREAM_LOOKUP_PENDING;
  stream_log_unknown (gateway, exchange);
  return CA_STREAM_LOOKUP_UNKNOWN;
}

void
ca_stream_versions_answer (ca_gateway_t *gateway,
                           const Camphor__Envelope *envelope)
{
  const Camphor__StreamWant *want = envelope->stream_want;
  const ca_peer_t *peer = ca_peers_find (gateway, envelope->from);
  Camphor__Envelope answer = CAMPHOR__ENVELOPE__INIT;
  Camphor__StreamVersions message = CAMPHOR__STREAM_VERSIONS__INIT;
  const uint64_t *streams = want->n_streams > 0 ? want->streams : &want->stream;
  size_t count = want->n_streams > 0 ? want->n_streams : 1;
  uint32_t versions[STREAM_BATCH_MAX];
  uint32_t single = 0;

  if (peer == NULL)
    return;
  if (count > STREAM_BATCH_MAX)
    count = STREAM_BATCH_MAX;
  if (gateway->services != NULL)
    single = stream_single_version (gateway,
                                    ca_service_stats (gateway, want->service));
  for (size_t i = 0; i < count; i++)
    {
      const ca_stream_record_t *record = stream_find (gateway, streams[i]);

      versions[i] = record != NULL ? record->version : single;
    }
  message.streams = (uint64_t *)streams;
  message.n_streams = count;
  message.versions = versions;
  message.n_versions = count;
  message.answers = true;
  answer.body_case = CAMPHOR__ENVELOPE__BODY_STREAM_VERSIONS;
  answer.stream_versions = &message;
  ca_peers_send (gateway, &peer->address, &answer);
}

static int
stream_compare_numbers (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left > right) - (left < right);
}

/* Counts a peer's answer at the exchanges that await it. */
static void
stream_note_answer (ca_gateway_t *gateway,
                    const Camphor__StreamVersions *message)
{
  uint64_t streams[STREAM_BATCH_MAX];
  size_t count = message->n_streams < STREAM_BATCH_MAX ? message->n_streams
                                                       : STREAM_BATCH_MAX;
  ca_exchange_t *exchange;

  if (count == 0)
    return;
  memcpy (streams, message->streams, count * sizeof streams[0]);
  qsort (streams, count, sizeof streams[0], stream_compare_numbers);
  TAILQ_FOREACH (exchange, &gateway->exchanges, entries)
  {
    uint64_t stream;

    if (exchange->lookups == 0)
      continue;
    stream = stream_number (exchange);
    if (bsearch (&stream, streams, count, sizeof streams[0],
                 stream_compare_numbers)
        != NULL)
      exchange->lookups--;
  }
}

void
ca_stream_versions_apply (ca_gateway_t *gateway,
                          const Camphor__StreamVersions *message)
{
  for (size_t i = 0; i < message->n_streams && i < message->n_versions; i++)
    {
      ca_stream_record_t *record = ca_stream_versions_keep (
          gateway, message->streams[i], message->versions[i]);

      if (message->to_store && record != NULL)
        ca_stream_store_add (gateway, record);
    }
  if (!message->answers)
    return;
  stream_note_answer (gateway, message);
  ca_exchanges_dispatch_waiting (gateway);
}

void
ca_stream_versions_init (ca_gateway_t *gateway)
{
  TAILQ_INIT (&gateway->own_streams);
  ca_bucket_init (&gateway->stream_bytes, gateway->now_us, STREAM_BYTES_PER_S,
                  STREAM_BYTES_PER_S);
  ca_stream_store_init (&gateway->stream_store);
}

void
ca_stream_versions_tick (ca_gateway_t *gateway)
{
  stream_survey_versions (gateway);
  stream_send_records (gateway);
  stream_send_to_started (gateway);
  stream_expire (gateway);
  stream_ask_widely (gateway);
  ca_stream_store_tick (gateway);
}
