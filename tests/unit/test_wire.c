/* Tests of frames: limits, corrupt bytes, versions and unknown fields. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "wire/frame.h"

#include <stdlib.h>
#include <string.h>

#define PACKED_MAX 256

/* Packs a ping of the given version; returns the frame's length in bytes. */
static size_t
pack_ping (uint8_t *frame, uint32_t version)
{
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__Ping ping = CAMPHOR__PING__INIT;

  ping.seq = 7;
  envelope.version = version;
  envelope.from = 42;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_PING;
  envelope.ping = &ping;
  ca_frame_pack (&envelope, frame);
  return ca_frame_bytes (&envelope);
}

static void
test_frame_round_trip (void **state)
{
  uint8_t frame[PACKED_MAX];
  size_t bytes = pack_ping (frame, CA_WIRE_VERSION);
  ca_error_t error;
  Camphor__Envelope *envelope;

  (void)state;
  ca_error_init (&error);
  assert_int_equal (ca_frame_body_bytes (frame, &error),
                    bytes - CA_FRAME_HEADER_BYTES);
  envelope = ca_frame_unpack (frame + CA_FRAME_HEADER_BYTES,
                              bytes - CA_FRAME_HEADER_BYTES, &error);
  assert_non_null (envelope);
  assert_int_equal (envelope->ping->seq, 7);
  camphor__envelope__free_unpacked (envelope, NULL);
}

static void
test_frame_lengths_are_bounded (void **state)
{
  static const uint8_t none[] = { 0, 0, 0, 0 };
  static const uint8_t huge[] = { 0x7f, 0, 0, 0 };
  ca_error_t error;

  (void)state;
  ca_error_init (&error);
  assert_int_equal (ca_frame_body_bytes (none, &error), 0);
  assert_int_equal (error.kind, CA_ERROR_BAD_FRAME);
  ca_error_init (&error);
  assert_int_equal (ca_frame_body_bytes (huge, &error), 0);
  assert_int_equal (error.kind, CA_ERROR_BAD_FRAME);
}

static void
test_older_version_is_refused (void **state)
{
  uint8_t frame[PACKED_MAX];
  size_t bytes = pack_ping (frame, 0);
  ca_error_t error;

  (void)state;
  ca_error_init (&error);
  assert_null (ca_frame_unpack (frame + CA_FRAME_HEADER_BYTES,
                                bytes - CA_FRAME_HEADER_BYTES, &error));
  assert_int_equal (error.kind, CA_ERROR_BAD_FRAME);
}

/* During a rollout an older entry must accept frames of a newer one and skip
 * the fields that it does not have. */
static void
test_newer_version_with_unknown_field (void **state)
{
  uint8_t frame[PACKED_MAX];
  size_t bytes = pack_ping (frame, CA_WIRE_VERSION + 1);
  ca_error_t error;
  Camphor__Envelope *envelope;

  (void)state;
  ca_error_init (&error);
  frame[bytes++] = 0xd8; /* field 1023, varint */
  frame[bytes++] = 0x3f;
  frame[bytes++] = 5;
  envelope = ca_frame_unpack (frame + CA_FRAME_HEADER_BYTES,
                              bytes - CA_FRAME_HEADER_BYTES, &error);
  assert_non_null (envelope);
  assert_int_equal (envelope->from, 42);
  camphor__envelope__free_unpacked (envelope, NULL);
}

/* A frame that is truncated anywhere, or has any one byte changed, is either
 * parsed or rejected with an error, and never crashes the parser. */
static void
test_corrupt_frames (void **state)
{
  uint8_t frame[PACKED_MAX];
  size_t bytes = pack_ping (frame, CA_WIRE_VERSION) - CA_FRAME_HEADER_BYTES;
  const uint8_t *body = frame + CA_FRAME_HEADER_BYTES;

  (void)state;
  for (size_t offset = 0; offset < bytes; offset++)
    for (int mask = 0; mask < 256; mask++)
      {
        uint8_t copy[PACKED_MAX];
        ca_error_t error;
        Camphor__Envelope *envelope;

        memcpy (copy, body, bytes);
        copy[offset] = (uint8_t)(copy[offset] ^ mask);
        ca_error_init (&error);
        envelope = ca_frame_unpack (copy, mask == 0 ? offset : bytes, &error);
        if (envelope != NULL)
          camphor__envelope__free_unpacked (envelope, NULL);
        else
          assert_int_equal (error.kind, CA_ERROR_BAD_FRAME);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_frame_round_trip),
    cmocka_unit_test (test_frame_lengths_are_bounded),
    cmocka_unit_test (test_older_version_is_refused),
    cmocka_unit_test (test_newer_version_with_unknown_field),
    cmocka_unit_test (test_corrupt_frames),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
