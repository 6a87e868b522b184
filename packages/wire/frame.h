/* Framing of peer messages: a four-byte length in network byte order, then one
 * packed Envelope. */
#ifndef CA_WIRE_FRAME_H
#define CA_WIRE_FRAME_H

#include "base/error.h"
#include "wire/peer.pb-c.h"

#include <stddef.h>
#include <stdint.h>

#define CA_FRAME_HEADER_BYTES 4
#define CA_FRAME_MAX_BYTES (8u * 1024 * 1024)

/* Oldest envelope version that this build accepts. */
#define CA_WIRE_VERSION_MIN 1
#define CA_WIRE_VERSION 1

/* Size of the framed envelope in bytes, header included. */
size_t ca_frame_bytes (const Camphor__Envelope *envelope);

/* Writes header and body into `bytes`, which has room for ca_frame_bytes(). */
void ca_frame_pack (const Camphor__Envelope *envelope, uint8_t *bytes);

/* Body length given in a header; 0 with `error` set if it is out of bounds. */
uint32_t ca_frame_body_bytes (const uint8_t *header, ca_error_t *error);

/* Unpacks a body; NULL with `error` set if it is malformed or its version is
 * too old.  Free with camphor__envelope__free_unpacked(). */
Camphor__Envelope *ca_frame_unpack (const uint8_t *body, size_t bytes,
                                    ca_error_t *error);

#endif
