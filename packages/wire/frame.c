/* Packs and unpacks framed envelopes, and checks lengths and versions. */
#include "wire/frame.h"

#include <arpa/inet.h>
#include <string.h>

size_t
ca_frame_bytes (const Camphor__Envelope *envelope)
{
  return CA_FRAME_HEADER_BYTES + camphor__envelope__get_packed_size (envelope);
}

void
ca_frame_pack (const Camphor__Envelope *envelope, uint8_t *bytes)
{
  size_t body
      = camphor__envelope__pack (envelope, bytes + CA_FRAME_HEADER_BYTES);
  uint32_t header = htonl ((uint32_t)body);

  memcpy (bytes, &header, sizeof header);
}

uint32_t
ca_frame_body_bytes (const uint8_t *header, ca_error_t *error)
{
  uint32_t length;

  memcpy (&length, header, sizeof length);
  length = ntohl (length);
  if (length == 0 || length > CA_FRAME_MAX_BYTES)
    {
      ca_error_set (error, CA_ERROR_BAD_FRAME,
                    "frame length of %u bytes is not in 1 to %u", length,
                    CA_FRAME_MAX_BYTES);
      return 0;
    }
  return length;
}

Camphor__Envelope *
ca_frame_unpack (const uint8_t *body, size_t bytes, ca_error_t *error)
{
  Camphor__Envelope *envelope = camphor__envelope__unpack (NULL, bytes, body);

  if (envelope == NULL)
    {
      ca_error_set (error, CA_ERROR_BAD_FRAME, "frame is malformed");
      return NULL;
    }
  if (envelope->version < CA_WIRE_VERSION_MIN)
    {
      ca_error_set (error, CA_ERROR_BAD_FRAME,
                    "frame version %u is below the supported minimum %u",
                    envelope->version, CA_WIRE_VERSION_MIN);
      camphor__envelope__free_unpacked (envelope, NULL);
      return NULL;
    }
  return envelope;
}
