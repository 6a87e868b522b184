/* Transfer of large configurations between entries.
 *
 * The receiver requests one small part after the other.  So each link carries
 * at most one part at a time, other messages wait for no more than that, and
 * nothing is sent again that has arrived.  The text is packed, if possible
 * against the version that the receiver has, to which a new one usually adds
 * little.  An entry sends parts to a few peers at a time; the requests of
 * others wait. */
#include "gateway/private.h"

#include "base/pack.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of a part: 13 ms of a link with 10 Mbit/s. */
#define TRANSFER_PART_BYTES (16 * 1024)

/* Peers to which parts are on their way at the same time. */
#define TRANSFER_MAX_OPEN 8

/* A part that is followed by no request for the next one is given up. */
#define TRANSFER_OPEN_US (500 * CA_US_PER_MS)

/* Share of the bound on propagation after which another peer that names the
 * version is asked if no part has arrived, the minimum of that time, the one
 * until a request is repeated in terms of it, and the repeats until the
 * transfer ends. */
#define TRANSFER_STALL_SHARE 0.1
#define TRANSFER_STALL_MIN_US (100 * CA_US_PER_MS)
#define TRANSFER_REPEAT_STALLS 1.5
#define TRANSFER_MAX_REPEATS 2

/* Longer former texts are not kept, since they take memory. */
#define TRANSFER_FORMER_MAX_BYTES (8 * 1024 * 1024)

/* Largest text sent in one message, to older entries. */
#define TRANSFER_PLAIN_MAX_BYTES (64 * 1024)

static void
transfer_free_packed (ca_packed_config_t *packed)
{
  free (packed->bytes);
  memset (packed, 0, sizeof *packed);
}

/* Forgets the parts received. */
static void
transfer_discard (ca_config_transfer_t *transfer)
{
  free (transfer->received);
  transfer->received = NULL;
  transfer->received_bytes = 0;
  transfer->packed_bytes = 0;
  transfer->repeats = 0;
}

/* Ends the transfer to this entry. */
static void
transfer_stop (ca_config_transfer_t *transfer)
{
  transfer_discard (transfer);
  transfer->peer = 0;
}

void
ca_config_transfer_finish (ca_gateway_t *gateway)
{
  ca_config_transfer_t *transfer = &gateway->config_transfer;

  transfer_stop (transfer);
  transfer_free_packed (&transfer->whole);
  transfer_free_packed (&transfer->change);
  free (transfer->former_text);
}

static uint64_t
transfer_own_version (const ca_gateway_t *gateway)
{
  return gateway->catalog == NULL ? 0 : gateway->catalog->version;
}

/* Time without a part after which another peer may be asked. */
static uint64_t
transfer_stall_us (const ca_gateway_t *gateway)
{
  uint64_t stall_us = (uint64_t)(gateway->options.bounds.propagation_ms
                                 * TRANSFER_STALL_SHARE * CA_US_PER_MS);

  return stall_us > TRANSFER_STALL_MIN_US ? stall_us : TRANSFER_STALL_MIN_US;
}

/* True if the peer that was asked does not send. */
static bool
transfer_is_stalled (const ca_gateway_t *gateway)
{
  return gateway->now_us - gateway->config_transfer.progress_us
         >= transfer_stall_us (gateway);
}

/* Requests the next part. */
static void
transfer_request (ca_gateway_t *gateway)
{
  ca_config_transfer_t *transfer = &gateway->config_transfer;
  const ca_peer_t *peer = ca_peers_find (gateway, transfer->peer);
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__CatalogWant want = CAMPHOR__CATALOG_WANT__INIT;

  if (peer == NULL)
    {
      transfer_stop (transfer);
      return;
    }
  want.have_version = transfer->whole_only ? 0 : transfer_own_version (gateway);
  want.want_version = transfer->version;
  want.offset = transfer->received_bytes;
  want.parts = true;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_CATALOG_WANT;
  envelope.catalog_want = &want;
  transfer->requested_us = gateway->now_us;
  ca_peers_send (gateway, &peer->address, &envelope);
}

void
ca_config_transfer_replaced (ca_gateway_t *gateway, ca_catalog_t *former)
{
  ca_config_transfer_t *transfer = &gateway->config_transfer;

  transfer_free_packed (&transfer->whole);
  transfer_free_packed (&transfer->change);
  free (transfer->former_text);
  transfer->former_text = NULL;
  if (former->text_bytes <= TRANSFER_FORMER_MAX_BYTES)
    {
      transfer->former_text = former->text;
      transfer->former_bytes = former->text_bytes;
      transfer->former_version = former->version;
      former->text = NULL;
    }
  if (transfer->peer == 0)
    return;
  if (transfer->version <= gateway->catalog->version)
    {
      transfer_stop (transfer);
      return;
    }
  /* The parts so far do not fit what is packed against the new version. */
  transfer_discard (transfer);
  transfer_request (gateway);
}

bool
ca_config_transfer_start (ca_gateway_t *gateway, const ca_peer_t *peer,
                          uint64_t version)
{
  ca_config_transfer_t *transfer = &gateway->config_transfer;

  if (version <= transfer_own_version (gateway)
      || version <= transfer->completed_version
      || (transfer->peer != 0 && version <= transfer->version
          && (peer->id == transfer->peer || !transfer_is_stalled (gateway))))
    return false;
  transfer_stop (transfer);
  transfer->progress_us = gateway->now_us;
  transfer->peer = peer->id;
  transfer->version = version;
  transfer->whole_only = false;
  ca_counters_add (&gateway->counters, CA_COUNT_CONFIGS_REQUESTED, 1);
  ca_gateway_log (gateway, CA_EVENT_CONFIG_REQUESTED, NULL, peer->name,
                  "version %" PRIu64 ", has %" PRIu64, version,
                  transfer_own_version (gateway));
  transfer_request (gateway);
  return true;
}

/* Returns the packed text for a peer that has a version; NULL if it cannot be
 * packed. */
static const ca_packed_config_t *
transfer_pack (ca_gateway_t *gateway, uint64_t have_version)
{
  ca_config_transfer_t *transfer = &gateway->config_transfer;
  const ca_catalog_t *catalog = gateway->catalog;
  bool is_change = have_version != 0 && transfer->former_text != NULL
                   && have_version == transfer->former_version;
  ca_packed_config_t *packed = is_change ? &transfer->change : &transfer->whole;

  if (packed->version == catalog->version)
    return packed;
  transfer_free_packed (packed);
  packed->bytes
      = ca_pack (catalog->text, catalog->text_bytes,
                 is_change ? transfer->former_text : NULL,
                 is_change ? transfer->former_bytes : 0, &packed->count);
  if (packed->bytes == NULL)
    return NULL;
  packed->version = catalog->version;
  packed->base_version = is_change ? have_version : 0;
  packed->text_bytes = catalog->text_bytes;
  return packed;
}

/* Sends the part that a peer has requested, or the first one of a newer
 * version. */
static void
transfer_send_part (ca_gateway_t *gateway, ca_peer_t *peer)
{
  ca_config_want_t *want = &peer->config_want;
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__CatalogText part = CAMPHOR__CATALOG_TEXT__INIT;
  const ca_packed_config_t *packed;
  size_t offset;

  want->waits = false;
  if (want->have_version >= gateway->catalog->version)
    return;
  packed = transfer_pack (gateway, want->have_version);
  if (packed == NULL)
    return;
  offset = want->want_version == packed->version && want->offset < packed->count
               ? (size_t)want->offset
               : 0;
  part.version = packed->version;
  part.base_version = packed->base_version;
  part.packed_bytes = packed->count;
  part.text_bytes = packed->text_bytes;
  part.offset = offset;
  part.text.data = (uint8_t *)packed->bytes + offset;
  part.text.len = packed->count - offset < TRANSFER_PART_BYTES
                      ? packed->count - offset
                      : TRANSFER_PART_BYTES;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_CATALOG_TEXT;
  envelope.catalog_text = &part;
  want->sent_us = offset + part.text.len < packed->count ? gateway->now_us : 0;
  if (want->sent_us == 0)
    ca_counters_add (&gateway->counters, CA_COUNT_CONFIGS_SENT, 1);
  ca_peers_send (gateway, &peer->address, &envelope);
}

/* Sends parts, the longest waiting request first, while few are on their way.
 */
static void
transfer_serve (ca_gateway_t *gateway)
{
  for (;;)
    {
      ca_peer_t *next = NULL;
      uint32_t open = 0;
      ca_peer_t *peer;

      for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
        {
          const ca_config_want_t *want = &peer->config_want;

          if (want->sent_us != 0
              && gateway->now_us - want->sent_us < TRANSFER_OPEN_US)
            open++;
          if (want->waits
              && (next == NULL || want->since_us < next->config_want.since_us))
            next = peer;
        }
      if (next == NULL || open >= TRANSFER_MAX_OPEN)
        return;
      transfer_send_part (gateway, next);
    }
}

/* Sends the text as it is to an entry that knows no parts. */
static void
transfer_send_plain (ca_gateway_t *gateway, const ca_peer_t *peer,
                     uint64_t have_version)
{
  const ca_catalog_t *catalog = gateway->catalog;
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__CatalogText text = CAMPHOR__CATALOG_TEXT__INIT;

  if (catalog->version <= have_version
      || catalog->text_bytes > TRANSFER_PLAIN_MAX_BYTES)
    return;
  text.version = catalog->version;
  text.text.data = (uint8_t *)catalog->text;
  text.text.len = catalog->text_bytes;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_CATALOG_TEXT;
  envelope.catalog_text = &text;
  ca_counters_add (&gateway->counters, CA_COUNT_CONFIGS_SENT, 1);
  ca_peers_send (gateway, &peer->address, &envelope);
}

void
ca_config_transfer_answer (ca_gateway_t *gateway,
                           const Camphor__Envelope *envelope)
{
  const Camphor__CatalogWant *request = envelope->catalog_want;
  ca_peer_t *peer = ca_peers_find (gateway, envelope->from);
  ca_config_want_t *want;

  if (peer == NULL || gateway->catalog == NULL)
    return;
  if (!request->parts)
    {
      transfer_send_plain (gateway, peer, request->have_version);
      return;
    }
  want = &peer->config_want;
  if (!want->waits)
    want->since_us = gateway->now_us;
  want->waits = true;
  want->have_version = request->have_version;
  want->want_version = request->want_version;
  want->offset = request->offset;
  want->sent_us = 0;
  transfer_serve (gateway);
}

/* Hands a complete text to the adapter, or requests the whole text if the
 * change cannot be used. */
static void
transfer_complete (ca_gateway_t *gateway)
{
  ca_config_transfer_t *transfer = &gateway->config_transfer;
  const ca_catalog_t *catalog = gateway->catalog;
  uint64_t version = transfer->version;
  size_t text_bytes = transfer->text_bytes;
  bool has_base = transfer->base_version != 0;
  char *text = NULL;

  if (!has_base || transfer_own_version (gateway) == transfer->base_version)
    text = ca_unpack (transfer->received, transfer->received_bytes,
                      has_base ? catalog->text : NULL,
                      has_base ? catalog->text_bytes : 0, text_bytes);
  if (text == NULL && has_base)
    {
      transfer_discard (transfer);
      transfer->whole_only = true;
      transfer_request (gateway);
      return;
    }
  transfer_stop (transfer);
  if (text == NULL)
    {
      ca_gateway_log (gateway, CA_EVENT_CONFIG_REFUSED, NULL, NULL,
                      "version %" PRIu64 " of a peer cannot be unpacked",
                      version);
      return;
    }
  transfer->completed_version = version;
  gateway->ports.parse_catalog (gateway->ports.context, version, text,
                                text_bytes);
  free (text);
}

/* Begins with the first part of a version.  False if it cannot be one. */
static bool
transfer_begin (ca_config_transfer_t *transfer,
                const Camphor__CatalogText *part)
{
  if (part->packed_bytes > CA_PACK_MAX_TEXT_BYTES
      || part->text_bytes > CA_PACK_MAX_TEXT_BYTES)
    return false;
  free (transfer->received);
  transfer->received = malloc (part->packed_bytes);
  transfer->received_bytes = 0;
  transfer->packed_bytes = part->packed_bytes;
  transfer->text_bytes = part->text_bytes;
  transfer->version = part->version;
  transfer->base_version = part->base_version;
  return true;
}

/* Adds a part that was requested. */
static void
transfer_receive_part (ca_gateway_t *gateway, const Camphor__CatalogText *part)
{
  ca_config_transfer_t *transfer = &gateway->config_transfer;

  if (part->version < transfer->version)
    return;
  if (part->offset == 0
      && (transfer->packed_bytes == 0 || part->version > transfer->version)
      && !transfer_begin (transfer, part))
    return;
  if (part->version != transfer->version
      || part->offset != transfer->received_bytes
      || part->packed_bytes != transfer->packed_bytes || part->text.len == 0
      || part->text.len > transfer->packed_bytes - transfer->received_bytes)
    return;
  memcpy (transfer->received + transfer->received_bytes, part->text.data,
          part->text.len);
  transfer->received_bytes += part->text.len;
  transfer->progress_us = gateway->now_us;
  transfer->repeats = 0;
  if (transfer->received_bytes == transfer->packed_bytes)
    transfer_complete (gateway);
  else
    transfer_request (gateway);
}

void
ca_config_transfer_receive (ca_gateway_t *gateway,
                            const Camphor__Envelope *envelope)
{
  const Camphor__CatalogText *text = envelope->catalog_text;

  if (text->packed_bytes == 0)
    gateway->ports.parse_catalog (gateway->ports.context, text->version,
                                  text->text.data, text->text.len);
  else if (gateway->config_transfer.peer == envelope->from)
    transfer_receive_part (gateway, text);
}

void
ca_config_transfer_tick (ca_gateway_t *gateway)
{
  ca_config_transfer_t *transfer = &gateway->config_transfer;

  if (gateway->catalog != NULL)
    transfer_serve (gateway);
  if (transfer->peer == 0
      || (double)(gateway->now_us - transfer->requested_us)
             < TRANSFER_REPEAT_STALLS * (double)transfer_stall_us (gateway))
    return;
  if (transfer->repeats++ < TRANSFER_MAX_REPEATS)
    transfer_request (gateway);
  else
    transfer_stop (transfer);
}
