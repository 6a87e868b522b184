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
  CA_WATCH_FORGOTTEN, /* the changes since then are no longer kept */
  CA_WATCH_FAILED     /* refused, late or not answered */
} ca_watch_status_t;

typedef struct ca_watch
{
  const char *table;
  uint32_t wait_ms;  /* at the store, for a change */
  uint32_t pause_ms; /* after a change, for more to gather: calls cost */
  void (*list) (void *context, struct ca_watch *watch);
  void (*feed) (void *context, struct ca_watch *watch);
  void *context;
  bool listed;
  bool busy;
  uint64_t after;           /* version up to which changes are known */
  uint32_t call_wait_ms;    /* of the call that is out: at the store */
  uint32_t call_timeout_ms; /* and for its answer */
  uint32_t failures;        /* in a row */
  uint64_t next_us;
} ca_watch_t;

/* Initialises caller-owned memory. */
void ca_watch_init (ca_watch_t *watch, const char *table, uint32_t wait_ms,
                    uint32_t pause_ms,
                    void (*list) (void *context, ca_watch_t *watch),
                    void (*feed) (void *context, ca_watch_t *watch),
                    void *context);

/* Makes the next call if it is due. */
void ca_watch_tick (ca_watch_t *watch, uint64_t now_us);

/* The call that was out has ended; `version` is the store's at its answer, and
 * `changed` tells whether that brought any. */
void ca_watch_done (ca_watch_t *watch, uint64_t now_us,
                    ca_watch_status_t status, uint64_t version, bool changed);

/* True while the store does not answer. */
bool ca_watch_is_down (const ca_watch_t *watch);

#endif
