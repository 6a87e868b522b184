/* The versions of services' software at which streams may have begun. */
#ifndef CA_GATEWAY_VERSION_HISTORY_H
#define CA_GATEWAY_VERSION_HISTORY_H

#include "base/clock.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Versions in a history at most; with more there is none. */
#define CA_VERSION_HISTORY_MAX 64

/* How long a stream may be taken up after it began: longer than a caller goes
 * on with one. */
#define CA_STREAM_RETENTION_US (120 * CA_US_PER_S)

typedef struct
{
  const char *service; /* not owned */
  uint32_t version;    /* ca_stream_version */
  uint64_t first_us;   /* first listed */
  uint64_t listed_us;  /* last listed */
} ca_service_version_t;

/* All versions at which entries may have begun streams in a span of time. */
typedef struct
{
  bool exists;
  bool from_start;   /* no entry ran before */
  uint64_t since_us; /* start of the span, unless `from_start` */
  uint64_t until_us; /* its end: the list of endpoints was current then */
  size_t count;
  ca_service_version_t rows[CA_VERSION_HISTORY_MAX];
} ca_version_history_t;

/* Encodes a history and its times, to which `offset_us` is added; NULL if there
 * is none. */
json_t *ca_version_history_to_json (const ca_version_history_t *history,
                                    int64_t offset_us);

/* Decodes one; the texts remain the JSON value's.  It does not exist if the
 * value is none. */
void ca_version_history_from_json (ca_version_history_t *history,
                                   const json_t *json, int64_t offset_us);

#endif
