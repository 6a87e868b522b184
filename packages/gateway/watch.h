/* Follows one table of the store: a whole list first, then its changes, each
 * call as soon as the last was answered, with a wait at the store.
 *
 * Decides when to call and with what; an adapter makes the calls. */
#ifndef CA_GATEWAY_WATCH_H
#define CA_GATEWAY_WATCH_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  CA_WATCH_OK,
  CA_WATCH_COMPACTED, /* the changes since then are no longer kept */
  CA_WATCH_FAILED     /* refused, late or not answered */
} ca_watch_status_t;

/* Who reads the table (relay.c). */
typedef enum
{
  CA_WATCH_INDEPENDENT, /* this entry, for itself */
  CA_WATCH_READER,      /* this entry, for others too */
  CA_WATCH_FOLLOWER     /* another, as long as its word is new */
} ca_watch_role_t;

typedef struct ca_watch
{
  const char *table;
  uint32_t number;   /* of the table, in words to peers */
  uint32_t wait_ms;  /* at the store, for a change */
  uint32_t pause_ms; /* after a change, for more to gather: calls cost */
  void (*list) (void *context, struct ca_watch *watch);
  void (*feed) (void *context, struct ca_watch *watch);
  void *context;
  bool listed;
  bool busy;
  uint64_t after;               /* version up to which changes are known */
  uint64_t last_change_version; /* the store's at the latest of them */
  uint32_t call_wait_ms;        /* of the call that is out: at the store */
  uint32_t call_timeout_ms;     /* and for its answer */
  uint32_t failures;            /* in a row */
  uint64_t next_us;
  uint64_t validated_us;      /* there was no more than is known then */
  ca_watch_role_t role;       /* set before each tick, as are the next two */
  uint32_t relay_wait_ms;     /* at the store, of a reader */
  uint64_t max_update_age_us; /* a reader's word is good until it is this old */
  uint64_t next_update_us;    /* when a reader next gives its word */
  bool update_is_stale;       /* a follower reads for itself */
} ca_watch_t;

/* Initialises caller-owned memory. */
void ca_watch_init (ca_watch_t *watch, const char *table, uint32_t number,
                    uint32_t wait_ms, uint32_t pause_ms,
                    void (*list) (void *context, ca_watch_t *watch),
                    void (*feed) (void *context, ca_watch_t *watch),
                    void *context);

/* Makes the next call if it is due. */
void ca_watch_tick (ca_watch_t *watch, uint64_t now_us);

/* The call that was out has ended; `version` is the store's at its answer,
 * which was made at `validated_us` or later, and `changed` tells whether that
 * brought any. */
void ca_watch_done (ca_watch_t *watch, uint64_t now_us,
                    ca_watch_status_t status, uint64_t version, bool changed,
                    uint64_t validated_us);

/* A peer says that its rows are all changes after version `after`, up to
 * `until`, as of `validated_us`; `changed` tells whether there are any.  True
 * if they are to be taken in: they follow on what is known, and bring more. */
bool ca_watch_apply_update (ca_watch_t *watch, uint64_t after, uint64_t until,
                            uint64_t validated_us, bool changed);

/* True while the store does not answer. */
bool ca_watch_is_down (const ca_watch_t *watch);

#endif
