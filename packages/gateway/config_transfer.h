/* State of the transfer of configurations between entries (config_transfer.c).
 */
#ifndef CA_GATEWAY_CONFIG_TRANSFER_H
#define CA_GATEWAY_CONFIG_TRANSFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A packed text, as it is sent in parts. */
typedef struct
{
  uint64_t version;      /* 0: not packed yet */
  uint64_t base_version; /* against whose text it is packed; 0: none */
  char *bytes;
  size_t count;
  size_t text_bytes; /* unpacked */
} ca_packed_config_t;

/* A peer's request for a part. */
typedef struct
{
  bool waits; /* it has not been answered */
  uint64_t since_us;
  uint64_t have_version;
  uint64_t want_version;
  uint64_t offset;
  uint64_t sent_us; /* the last part, until the next request; 0: none */
} ca_config_want_t;

typedef struct
{
  /* Sent to peers. */
  char *former_text; /* of the version before the one in force, or NULL */
  size_t former_bytes;
  uint64_t former_version;
  ca_packed_config_t whole;
  ca_packed_config_t change; /* against the former text */
  /* Received from one peer at a time. */
  uint64_t peer;    /* its number; 0: nothing is requested */
  uint64_t version; /* requested */
  uint64_t base_version;
  char *received; /* parts so far */
  size_t received_bytes;
  size_t packed_bytes; /* of all parts; 0 until the first one */
  size_t text_bytes;
  bool whole_only;       /* the change could not be used */
  uint64_t requested_us; /* the latest part */
  uint64_t progress_us;  /* of the latest part that arrived, or the start */
  uint32_t repeats;      /* of that request */
  uint64_t completed_version;
} ca_config_transfer_t;

#endif
