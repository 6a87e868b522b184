/* Catalogue of numbered events.
 *
 * Every log line and timeline record has one of these numbers.  docs/events.md
 * is printed from the table and checked against it in CI. */
#ifndef CA_BASE_EVENTS_H
#define CA_BASE_EVENTS_H

#include <stdint.h>
#include <stdio.h>

typedef enum
{
  CA_LEVEL_DEBUG,
  CA_LEVEL_INFO,
  CA_LEVEL_WARNING,
  CA_LEVEL_ERROR
} ca_level_t;

/* Numbers are stable and never reused for another meaning. */
typedef enum
{
  CA_EVENT_STARTED = 100,
  CA_EVENT_STOPPING = 101,
  CA_EVENT_STOPPED = 102,
  CA_EVENT_SETTINGS_READ = 103,
  CA_EVENT_INVARIANT = 110,
  CA_EVENT_LOG_DROPPED = 120,
  CA_EVENT_REQUEST_ACCEPTED = 200,
  CA_EVENT_REQUEST_CLAIMED = 201,
  CA_EVENT_REQUEST_ASKED = 202,
  CA_EVENT_REQUEST_DISPATCHED = 203,
  CA_EVENT_REQUEST_RESUMED = 204,
  CA_EVENT_REQUEST_ANSWERED = 205,
  CA_EVENT_REQUEST_REFUSED = 206,
  CA_EVENT_REQUEST_MOVED = 207,
  CA_EVENT_REQUEST_ADOPTED = 208,
  CA_EVENT_REQUEST_LATE_ANSWER = 209,
  CA_EVENT_ATTEMPT_FAILED = 210,
  CA_EVENT_ATTEMPT_SILENT = 211,
  CA_EVENT_ATTEMPT_STOPPED = 212,
  CA_EVENT_CALLER_GONE = 213,
  CA_EVENT_QUOTA_SHORT = 214,
  CA_EVENT_REQUEST_DELEGATED = 215,
  CA_EVENT_DELEGATION_FAILED = 216,
  CA_EVENT_ENDPOINT_ADDED = 300,
  CA_EVENT_ENDPOINT_LEAVING = 301,
  CA_EVENT_ENDPOINT_GONE = 302,
  CA_EVENT_ENDPOINT_EJECTED = 303,
  CA_EVENT_ENDPOINT_RETURNED = 304,
  CA_EVENT_ENDPOINT_LIMIT_NAMED = 305,
  CA_EVENT_ENDPOINT_LIMIT_LIFTED = 306,
  CA_EVENT_ENDPOINT_BAD_LIMIT = 307,
  CA_EVENT_ENDPOINT_PAUSED = 308,
  CA_EVENT_ENDPOINTS_LOST = 309,
  CA_EVENT_REQUEST_SUSPECT = 310,
  CA_EVENT_REQUEST_QUARANTINED = 311,
  CA_EVENT_CRASH_COUNTED = 312,
  CA_EVENT_CRASH_UNCONFIRMED = 313,
  CA_EVENT_CRASHES_CLEARED = 314,
  CA_EVENT_PART_QUARANTINED = 315,
  CA_EVENT_PART_RELEASED = 316,
  CA_EVENT_ENDPOINTS_REACHED = 317,
  CA_EVENT_ENDPOINTS_BRITTLE = 318,
  CA_EVENT_MEMBER_JOINED = 400,
  CA_EVENT_MEMBER_SUSPECT = 401,
  CA_EVENT_MEMBER_DEAD = 402,
  CA_EVENT_MEMBER_LEAVING = 403,
  CA_EVENT_PEER_BAD_FRAME = 410,
  CA_EVENT_CONFIG_PLANNED = 500,
  CA_EVENT_CONFIG_CONFIRMED = 501,
  CA_EVENT_CONFIG_APPLIED = 502,
  CA_EVENT_CONFIG_REFUSED = 503,
  CA_EVENT_STORE_DOWN = 600,
  CA_EVENT_STORE_UP = 601,
  CA_EVENT_STORE_BAD_ROW = 602,
  CA_EVENT_ANSWER_NOT_STORED = 603,
  CA_EVENT_STORE_READER = 604,
  CA_EVENT_STORE_WORD_OLD = 605,
  CA_EVENT_STORE_ERA = 606,
  CA_EVENT_STORE_BAD_ERA = 607,
  CA_EVENT_FLEET_LEADER = 700,
  CA_EVENT_FLEET_START = 701,
  CA_EVENT_FLEET_REFUSED = 702,
  CA_EVENT_FLEET_STOP = 703,
  CA_EVENT_USAGE_REPORTED = 704,
  CA_EVENT_USAGE_INHERITED = 705
} ca_event_number_t;

typedef struct
{
  ca_event_number_t number;
  ca_level_t level;
  const char *name;
  const char *meaning;
  const char *action; /* what an operator does */
} ca_event_info_t;

/* Description of an event; NULL if the number is unknown. */
const ca_event_info_t *ca_event_info (ca_event_number_t number);

/* Name of a level, such as "info". */
const char *ca_level_name (ca_level_t level);

/* Prints the catalogue as the page docs/events.md. */
void ca_events_print (FILE *out);

/* Prints the error kinds as the page docs/errors.md. */
void ca_errors_print (FILE *out);

#endif
