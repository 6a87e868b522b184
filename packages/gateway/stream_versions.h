/* Records of the software versions that began streams. */
#ifndef CA_GATEWAY_STREAM_VERSIONS_H
#define CA_GATEWAY_STREAM_VERSIONS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

/* Versions of one service that an entry distinguishes. */
#define CA_SOFTWARE_VERSIONS_MAX 8

/* Peers that keep the record of a stream in any case.  Others get copies as far
 * as the budget for them allows. */
#define CA_STREAM_HOLDERS 2

/* A version of a service's software. */
typedef struct
{
  uint32_t version;   /* ca_stream_version; 0: unused */
  uint64_t first_us;  /* first listed, as far as this entry knows */
  uint64_t listed_us; /* last listed */
} ca_software_version_t;

struct ca_service_stats;

/* The version that began a stream. */
typedef struct ca_stream_record
{
  uint64_t stream; /* hash of the request that began it */
  uint32_t version;
  uint64_t updated_us;
  /* Of streams that began or go on at this entry. */
  struct ca_service_stats *service; /* NULL for others */
  /* Of a stream that began in doubt: the listed process of its endpoint, and
   * when its connection was established. */
  uint64_t began_at;
  uint64_t connected_us; /* 0: it did not begin in doubt, or it is unknown */
  bool sent;
  uint64_t holders[CA_STREAM_HOLDERS]; /* processes that it was sent to */
  uint64_t writer; /* process that was to write it to the store */
  TAILQ_ENTRY (ca_stream_record) entries;
  /* Of those that this entry is to write to the store. */
  bool is_queued;
  uint64_t shared_period; /* another entry has written it in this period: to be
                             repeated then, but not later; 0: in any one */
  uint32_t written_version; /* in the write in progress; 0: not in it */
  TAILQ_ENTRY (ca_stream_record) queue_entries;
  UT_hash_handle hh;
} ca_stream_record_t;

/* Number of a version of a service's software; never 0. */
uint32_t ca_stream_version (const char *service, const char *version);

#endif
