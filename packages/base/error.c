/* Table of error kinds, and functions that set an error. */
#include "base/error.h"

#include <stdio.h>
#include <string.h>

static const ca_error_info_t error_table[CA_ERROR_KINDS] = {
  { CA_ERROR_NONE, "none", 200, "nothing to do" },
  { CA_ERROR_BAD_SETTING, "bad_setting", 500,
    "correct the named flag or environment variable and restart" },
  { CA_ERROR_BAD_INTENT, "bad_intent", 400,
    "correct the named field of the intent and make a new plan" },
  { CA_ERROR_BAD_REQUEST, "bad_request", 400,
    "correct the named field or header and send the request again" },
  { CA_ERROR_TOO_LARGE, "too_large", 413,
    "send smaller headers or a smaller body; docs/settings.md has the limit" },
  { CA_ERROR_KEY_REQUIRED, "key_required", 400,
    "send an Idempotency-Key header: this class is non-idempotent" },
  { CA_ERROR_KEY_REUSED, "key_reused", 422,
    "use a new Idempotency-Key: this one was sent with another body" },
  { CA_ERROR_IN_PROGRESS, "in_progress", 409,
    "retry with the same key after retry_after_ms" },
  { CA_ERROR_UNKNOWN_WORKSPACE, "unknown_workspace", 404,
    "use a workspace of a confirmed intent, or confirm an intent that has it" },
  { CA_ERROR_UNKNOWN_CLASS, "unknown_class", 404,
    "use a request class of the workspace's intent" },
  { CA_ERROR_NO_CONFIGURATION, "no_configuration", 503,
    "retry after retry_after_ms: this entry has no configuration yet" },
  { CA_ERROR_NO_ENDPOINT, "no_endpoint", 503,
    "retry after retry_after_ms: no zone has an endpoint for this request" },
  { CA_ERROR_OVERLOADED, "overloaded", 429,
    "retry after retry_after_ms: the queue is too long to meet the target" },
  { CA_ERROR_DEADLINE, "deadline", 504, "retry with a later deadline" },
  { CA_ERROR_QUARANTINED, "quarantined", 422,
    "change the request: it crashed the endpoints that ran it" },
  { CA_ERROR_ENDPOINT_LOST, "endpoint_lost", 502,
    "retry with the same key to get the outcome" },
  { CA_ERROR_STORE_UNAVAILABLE, "store_unavailable", 503,
    "retry with the same key after retry_after_ms" },
  { CA_ERROR_STALE_PLAN, "stale_plan", 409,
    "make a new plan: the configuration that it is based on has changed" },
  { CA_ERROR_UNKNOWN_PLAN, "unknown_plan", 404,
    "make a new plan: this one has expired or was made by another entry" },
  { CA_ERROR_NOT_FOUND, "not_found", 404, "check the path and the id" },
  { CA_ERROR_BAD_FRAME, "bad_frame", 400,
    "run the same major version on both entries" },
  { CA_ERROR_IO, "io", 502, "check that the named address can be reached" },
};

void
ca_error_init (ca_error_t *error)
{
  error->kind = CA_ERROR_NONE;
  error->message[0] = '\0';
}

void
ca_error_set (ca_error_t *error, ca_error_kind_t kind, const char *format, ...)
{
  va_list args;

  if (error == NULL || error->kind != CA_ERROR_NONE)
    return;
  error->kind = kind;
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
}

void
ca_error_add (ca_error_t *error, ca_error_kind_t kind, const char *format, ...)
{
  size_t used = strlen (error->message);
  va_list args;

  if (error->kind == CA_ERROR_NONE)
    error->kind = kind;
  if (used > 0 && used + 2 < sizeof error->message)
    {
      error->message[used++] = '\n';
      error->message[used] = '\0';
    }
  va_start (args, format);
  vsnprintf (error->message + used, sizeof error->message - used, format, args);
  va_end (args);
}

const ca_error_info_t *
ca_error_info (ca_error_kind_t kind)
{
  if ((unsigned)kind >= CA_ERROR_KINDS)
    return &error_table[CA_ERROR_IO];
  return &error_table[kind];
}
