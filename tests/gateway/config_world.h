/* A fleet whose entries read a configuration from a store and from each other,
 * in virtual time.  A link carries one message after the other, in each
 * direction; a text is built in the time that the processor needs. */
#ifndef TESTS_GATEWAY_CONFIG_WORLD_H
#define TESTS_GATEWAY_CONFIG_WORLD_H

#include "cluster.h"
#include "gateway/watch.h"

#include <sys/queue.h>

#define CONFIG_WORLD_MAX_ENTRIES 300
#define CONFIG_WORLD_ZONES 4
#define CONFIG_WORLD_BOUND_MS 3000
#define CONFIG_WORLD_STEP_US (5 * CA_US_PER_MS)

typedef struct config_message config_message_t;

typedef struct
{
  ca_gateway_t gateway;
  ca_watch_t watch;
  bool alive;
  bool paused;    /* handles nothing; what arrives waits */
  bool store_cut; /* its calls to the store bring nothing */
  bool is_wide;   /* a wide link, and more processor time */
  double rate;
  uint64_t up_free_us;
  uint64_t down_free_us;
  TAILQ_HEAD (, config_message) queue;
  bool calls;
  uint64_t call_after;
  uint64_t call_until_us;
  bool answered;       /* the answer is on its way */
  double answer_bytes; /* that have not arrived */
  uint64_t answer_changed;
  uint64_t answer_version; /* of the store, as it answered */
  uint64_t answered_us;
  char *answer_text; /* NULL without a change */
  size_t answer_text_bytes;
  ca_catalog_t *built; /* in force from `built_us` on; NULL if none is */
  uint64_t built_us;
  uint32_t texts_read; /* from the store */
} config_entry_t;

typedef struct
{
  config_entry_t entries[CONFIG_WORLD_MAX_ENTRIES];
  size_t count;
  bool all_narrow;
  bool builds_slowly; /* builds take processor time */
  double loss;
  uint64_t now_us;
  uint64_t version; /* of the store, raised by other tables too */
  uint64_t changed; /* the latest change of the configuration */
  char *text;
  size_t bytes;
  uint64_t longest_wait_us;
  uint64_t sent_bytes;
  unsigned short rng[3];
} config_world_t;

extern config_world_t config_world;

/* Starts `count` entries, the first two of each zone with wide links unless all
 * are narrow, and runs until they know each other. */
void config_world_start (size_t count, bool all_narrow);
void config_world_end (void);
void config_world_run (uint64_t ms);

/* Writes a version with so many routes to the store. */
void config_world_write (uint64_t version, size_t routes);

/* True if all entries from number `first` on that are up have a version in
 * force. */
bool config_world_all_have (uint64_t version, size_t first);

/* Writes a version and returns the time until all entries that are up have it
 * in force. */
uint64_t config_world_propagate_ms (uint64_t version, size_t routes);

/* The entry that reads for a zone; NULL if there is none. */
config_entry_t *config_world_reader (size_t zone);

void config_entry_end (config_entry_t *entry);

/* Gives an entry a version that no message brought. */
void config_entry_apply (config_entry_t *entry, uint64_t version,
                         size_t routes);

#endif
