/* Errors: a ca_error_t is passed to each function that can fail.
 *
 * An error has a kind, listed in docs/errors.md, and a message that gives the
 * cause and the remedy.  The caller owns the struct; it holds no allocated
 * memory. */
#ifndef CA_BASE_ERROR_H
#define CA_BASE_ERROR_H

#include <stdarg.h>
#include <stdint.h>

typedef enum
{
  CA_ERROR_NONE = 0,
  CA_ERROR_BAD_SETTING,
  CA_ERROR_BAD_INTENT,
  CA_ERROR_BAD_REQUEST,
  CA_ERROR_TOO_LARGE,
  CA_ERROR_KEY_REQUIRED,
  CA_ERROR_KEY_REUSED,
  CA_ERROR_IN_PROGRESS,
  CA_ERROR_UNKNOWN_WORKSPACE,
  CA_ERROR_UNKNOWN_CLASS,
  CA_ERROR_NO_CONFIGURATION,
  CA_ERROR_NO_ENDPOINT,
  CA_ERROR_OVERLOADED,
  CA_ERROR_DEADLINE,
  CA_ERROR_QUARANTINED,
  CA_ERROR_ENDPOINT_LOST,
  CA_ERROR_STORE_UNAVAILABLE,
  CA_ERROR_STALE_PLAN,
  CA_ERROR_UNKNOWN_PLAN,
  CA_ERROR_NOT_FOUND,
  CA_ERROR_BAD_FRAME,
  CA_ERROR_IO,
  CA_ERROR_KINDS
} ca_error_kind_t;

/* Static description of an error kind. */
typedef struct
{
  ca_error_kind_t kind;
  const char *name; /* stable name in responses and logs */
  uint32_t http_status;
  const char *remedy; /* what the recipient of the error can do */
} ca_error_info_t;

#define CA_ERROR_MESSAGE_BYTES 4096

typedef struct
{
  ca_error_kind_t kind;
  char message[CA_ERROR_MESSAGE_BYTES];
} ca_error_t;

/* Clears the error. */
void ca_error_init (ca_error_t *error);

/* Sets kind and printf-style message, unless an error is already set.  `error`
 * may be NULL. */
void ca_error_set (ca_error_t *error, ca_error_kind_t kind, const char *format,
                   ...) __attribute__ ((format (printf, 3, 4)));

/* Appends a line to the message, so that one check of settings or of an intent
 * reports every fault.  Sets the kind if none is set. */
void ca_error_add (ca_error_t *error, ca_error_kind_t kind, const char *format,
                   ...) __attribute__ ((format (printf, 3, 4)));

/* Description of a kind; that of CA_ERROR_IO for an unknown kind. */
const ca_error_info_t *ca_error_info (ca_error_kind_t kind);

#endif
