/* Watches one table of the store: reads the whole list first, then its changes
 * by long polling.
 *
 * Decides when to call and with which arguments; an adapter makes the calls. */
#ifndef CA_GATEWAY_WATCH_H
#define CA_GATEWAY_WATCH_H

#include "gateway/watch_times.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  CA_WATCH_OK,
  CA_WATCH_COMPACTED, /* the store has compacted its history since then */
  CA_WATCH_FAILED,    /* refused */
  CA_WATCH_UNANSWERED /* no whole answer came in time */
} ca_watch_status_t;

/* Which entry reads the table (relay.c). */
typedef enum
{
  CA_WATCH_INDEPENDENT, /* this entry, for itself only */
  CA_WATCH_READER,      /* this entry, also for its zone */
  CA_WATCH_FOLLOWER     /* a peer, while its updates are recent */
} ca_watch_role_t;

/* An update of a peer that names a configuration instead of holding it. */
typedef struct
{
  uint64_t text_version; /* of the configuration */
  uint64_t until;        /* version up to which the peer has all changes */
  uint64_t changed;      /* version of the table's latest change */
  uint64_t validated_us; /* as of when */
} ca_watch_named_t;

/* Named configurations that are on their way; of more, the oldest is dropped.
 */
#define CA_WATCH_NAMED_MAX 8

typedef struct ca_watch
{
  const char *table;
  uint32_t number;        /* of the table, in updates to peers */
  uint32_t wait_ms;       /* how long the store may hold a call at most */
  uint32_t pause_ms;      /* batches changes, since calls cost money */
  ca_watch_times_t times; /* set before each tick; 0: only the limits above */
  void (*list) (void *context, struct ca_watch *watch);
  void (*feed) (void *context, struct ca_watch *watch);
  /* Ends the call in flight; NULL if it cannot be ended.  Set by the owner. */
  void (*cancel) (void *context, struct ca_watch *watch);
  void *context;
  bool listed;
  bool busy;
  uint64_t after;               /* version up to which changes were applied */
  uint64_t last_change_version; /* the store's version at the latest change */
  uint32_t call_wait_ms;        /* wait at the store, of the call in flight */
  uint32_t call_timeout_ms;     /* timeout of that call */
  uint64_t called_us;           /* when it was made */
  uint32_t answer_ms; /* of the latest call that was held to its end: the time
                         that its answer took */
  uint32_t failures;  /* in a row */
  uint64_t next_us;
  uint64_t validated_us; /* all changes up to then were applied */
  ca_watch_role_t role;  /* set before each tick */
  uint32_t max_wait_ms;  /* while this entry reads for itself; 0: none */
  bool is_refreshing;    /* the next call does not wait */
  bool is_hedge;         /* the call in flight was made while the same text
                            arrived at one that reads for this entry */
  ca_watch_named_t named[CA_WATCH_NAMED_MAX]; /* not applied, oldest first */
  uint32_t named_count;
  uint32_t rank;     /* live entries of the group senior to this one */
  uint64_t heard_us; /* latest message of an entry that reads for this one */
  uint64_t arrives_since_us; /* first of the latest notices in a row */
  uint64_t arriving_us;      /* when one last received or built a newer text */
  size_t arriving_bytes;     /* of the answer to the call in flight, so far */
  size_t noticed_bytes;      /* of them, when peers last had notice */
  uint64_t own_validated_us; /* as of this entry's own latest answer */
  bool may_refresh; /* a follower and its reader ask at once, too; set before
                       each tick */
  uint64_t next_update_us; /* when a reader next sends an update */
  bool update_is_stale;    /* a follower reads the store itself */
  bool holds_config;       /* its row is the configuration */
  bool is_applying;        /* the latest change is not in force yet */
} ca_watch_t;

/* Initialises caller-owned memory. */
void ca_watch_init (ca_watch_t *watch, const char *table, uint32_t number,
                    uint32_t wait_ms, uint32_t pause_ms,
                    void (*list) (void *context, ca_watch_t *watch),
                    void (*feed) (void *context, ca_watch_t *watch),
                    void *context);

/* Forgets all versions and the call in flight, since the store came back from
 * an older copy; the list is read again from `at_us` on. */
void ca_watch_restart (ca_watch_t *watch, uint64_t at_us);

/* Makes the next call if it is due. */
void ca_watch_tick (ca_watch_t *watch, uint64_t now_us);

/* Asks the store at once, instead of waiting for a change or for a reader's
 * update, if the copy is older than `max_age_us` and this entry reads for
 * itself or may do so. */
void ca_watch_refresh (ca_watch_t *watch, uint64_t now_us, uint64_t max_age_us);

/* Ends the call in flight.  `version` is the store's version in its answer,
 * which was made at `validated_us` or later; `changed` is true if it has
 * changes. */
void ca_watch_done (ca_watch_t *watch, uint64_t now_us,
                    ca_watch_status_t status, uint64_t version, bool changed,
                    uint64_t validated_us);

/* Records an update from a peer, which ends a follower's own call: all changes
 * after version `after` up to `until`, as of `validated_us`; `changed` is true
 * if it has rows.  Returns true if the rows must be applied: they are newer
 * than this watch's version and no change between is missing. */
bool ca_watch_apply_update (ca_watch_t *watch, uint64_t after, uint64_t until,
                            uint64_t validated_us, bool changed);

/* Records an update that names a configuration.  It is applied once that
 * version is in force here, or a newer one that no update has named, whichever
 * way it came. */
void ca_watch_name_text (ca_watch_t *watch, const ca_watch_named_t *named);

/* Notes the version of the configuration in force. */
void ca_watch_text_in_force (ca_watch_t *watch, uint64_t version);

/* Notes a message of an entry that reads for this one; `arriving` is true if it
 * has notice that a newer configuration arrives there. */
void ca_watch_hear (ca_watch_t *watch, uint64_t now_us, bool arriving);

/* True if this entry reads for its group: its reader, or a deputy whose own
 * answer is the latest that it knows. */
bool ca_watch_reads_for_group (const ca_watch_t *watch);

/* True while calls to the store keep failing. */
bool ca_watch_is_down (const ca_watch_t *watch);

#endif
