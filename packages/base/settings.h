/* Settings of camphorarchd.  One table defines their flags, environment
 * variables, validation and the page docs/settings.md. */
#ifndef CA_BASE_SETTINGS_H
#define CA_BASE_SETTINGS_H

#include "base/error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define CA_SETTING_TEXT_BYTES 256

typedef enum
{
  CA_SETTING_TEXT,
  CA_SETTING_ADDRESS,   /* IP:PORT */
  CA_SETTING_ADDRESSES, /* comma-separated IP:PORT */
  CA_SETTING_NUMBER
} ca_setting_type_t;

typedef enum
{
  CA_SETTING_NAME,
  CA_SETTING_ZONE,
  CA_SETTING_CALLERS,
  CA_SETTING_PEERS,
  CA_SETTING_JOIN,
  CA_SETTING_PLATFORM,
  CA_SETTING_LOG_LEVEL,
  CA_SETTING_MAX_BODY_BYTES,
  CA_SETTING_MAX_REQUESTS,
  CA_SETTING_DRAIN_LIMIT_MS,
  CA_SETTING_LAME_DUCK_MS,
  CA_SETTING_STORE_TIMEOUT_MS,
  CA_SETTING_STORE_WRITES_PER_S,
  CA_SETTING_VM_POLL_MS,
  CA_SETTING_SEED,
  CA_SETTING_COUNT
} ca_setting_id_t;

typedef enum
{
  CA_SOURCE_DEFAULT,
  CA_SOURCE_ENVIRONMENT,
  CA_SOURCE_FLAG
} ca_setting_source_t;

typedef struct
{
  ca_setting_id_t id;
  ca_setting_type_t type;
  const char *flag; /* long option; the variable is CAMPHORARCH_<FLAG> */
  const char *unit; /* "" if none */
  const char *default_text; /* NULL: required */
  uint64_t min;
  uint64_t max;
  const char *doc;
} ca_setting_info_t;

typedef struct
{
  char text[CA_SETTING_COUNT][CA_SETTING_TEXT_BYTES];
  ca_setting_source_t source[CA_SETTING_COUNT];
  bool given[CA_SETTING_COUNT];
} ca_settings_t;

/* An IPv4 address and a port, both in host byte order. */
typedef struct
{
  uint32_t ip;
  uint16_t port;
} ca_address_t;

/* The whole table, CA_SETTING_COUNT rows in id order. */
const ca_setting_info_t *ca_settings_table (void);

/* Sets every setting to its default or its environment variable. */
void ca_settings_init (ca_settings_t *settings);

/* Sets one setting and records the source of the value. */
void ca_settings_set (ca_settings_t *settings, ca_setting_id_t id,
                      const char *text, ca_setting_source_t source);

/* Validates every setting; false with one line in `error` for each fault. */
bool ca_settings_check (const ca_settings_t *settings, ca_error_t *error);

/* Value of a validated number. */
uint64_t ca_settings_number (const ca_settings_t *settings, ca_setting_id_t id);

/* Value of a validated text. */
const char *ca_settings_text (const ca_settings_t *settings,
                              ca_setting_id_t id);

/* Parses "IP:PORT"; false if malformed. */
bool ca_address_parse (const char *text, ca_address_t *address);

/* Writes "IP:PORT" into `text`, at least CA_ADDRESS_BYTES long. */
#define CA_ADDRESS_BYTES 24
void ca_address_print (const ca_address_t *address, char *text);

/* Hash of an address: the id of the entry or endpoint that has it. */
uint64_t ca_address_id (const ca_address_t *address);

/* Prints each value with its source. */
void ca_settings_print (const ca_settings_t *settings, FILE *out);

/* Prints the table as docs/settings.md. */
void ca_settings_print_page (FILE *out);

#endif
