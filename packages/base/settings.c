/* Table of settings: parsing, validation and printing. */
#include "base/settings.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define ENVIRONMENT_PREFIX "CAMPHORARCH_"
#define NUMBER_MAX INT64_C (1000000000000)

static const ca_setting_info_t setting_table[CA_SETTING_COUNT] = {
  { CA_SETTING_NAME, CA_SETTING_TEXT, "name", "", NULL, 1, 47,
    "name of this entry in logs and the timeline" },
  { CA_SETTING_ZONE, CA_SETTING_TEXT, "zone", "", NULL, 1, 47,
    "availability zone of this entry" },
  { CA_SETTING_CALLERS, CA_SETTING_ADDRESS, "callers", "", NULL, 0, 0,
    "address for callers and operators (HTTP)" },
  { CA_SETTING_PEERS, CA_SETTING_ADDRESS, "peers", "", NULL, 0, 0,
    "address for other entries (frames)" },
  { CA_SETTING_JOIN, CA_SETTING_ADDRESSES, "join", "", "", 0, 0,
    "peer addresses of other entries to join, comma-separated" },
  { CA_SETTING_PLATFORM, CA_SETTING_ADDRESS, "platform", "", NULL, 0, 0,
    "address of the platform's services (HTTP)" },
  { CA_SETTING_LOG_LEVEL, CA_SETTING_TEXT, "log-level", "", "info", 1, 8,
    "lowest level logged: debug, info, warning, error" },
  { CA_SETTING_MAX_BODY_BYTES, CA_SETTING_NUMBER, "max-body-bytes", "bytes",
    "1048576", 1024, 67108864, "maximum size of a request body" },
  { CA_SETTING_MAX_REQUESTS, CA_SETTING_NUMBER, "max-requests", "requests",
    "20000", 1, 1000000, "maximum concurrent requests of this entry" },
  { CA_SETTING_DRAIN_LIMIT_MS, CA_SETTING_NUMBER, "drain-limit-ms", "ms",
    "600000", 0, 86400000,
    "maximum duration of a planned stop; requests still running then are "
    "handed over to a peer" },
  { CA_SETTING_LAME_DUCK_MS, CA_SETTING_NUMBER, "lame-duck-ms", "ms", "2000", 0,
    600000,
    "how long a stopping entry accepts new requests, until the balancer has "
    "noticed the stop" },
  { CA_SETTING_STORE_TIMEOUT_MS, CA_SETTING_NUMBER, "store-timeout-ms", "ms",
    "1000", 10, 60000, "timeout of a call to the table service" },
  { CA_SETTING_STORE_WRITES_PER_S, CA_SETTING_NUMBER, "store-writes-per-s",
    "writes/s", "40", 1, 10000,
    "this entry's share of the table service's writes" },
  { CA_SETTING_VM_POLL_MS, CA_SETTING_NUMBER, "vm-poll-ms", "ms", "500", 10,
    60000, "time between reads of the VM list and the reclaim notices" },
  { CA_SETTING_SEED, CA_SETTING_NUMBER, "seed", "", "0", 0, UINT32_MAX,
    "seed of this entry's random numbers; 0 derives one from the start time" },
};

const ca_setting_info_t *
ca_settings_table (void)
{
  return setting_table;
}

/* Writes the name of a setting's environment variable. */
static void
settings_variable_name (const ca_setting_info_t *info, char *name, size_t size)
{
  size_t used = strlcpy (name, ENVIRONMENT_PREFIX, size);

  for (const char *c = info->flag; *c != '\0' && used + 1 < size; c++)
    name[used++] = *c == '-' ? '_' : (char)toupper ((unsigned char)*c);
  name[used] = '\0';
}

void
ca_settings_init (ca_settings_t *settings)
{
  memset (settings, 0, sizeof *settings);
  for (size_t i = 0; i < CA_SETTING_COUNT; i++)
    {
      const ca_setting_info_t *info = &setting_table[i];
      char name[64];
      const char *value;

      if (info->default_text != NULL)
        ca_settings_set (settings, info->id, info->default_text,
                         CA_SOURCE_DEFAULT);
      settings_variable_name (info, name, sizeof name);
      value = getenv (name);
      if (value != NULL)
        ca_settings_set (settings, info->id, value, CA_SOURCE_ENVIRONMENT);
    }
}

void
ca_settings_set (ca_settings_t *settings, ca_setting_id_t id, const char *text,
                 ca_setting_source_t source)
{
  strlcpy (settings->text[id], text, CA_SETTING_TEXT_BYTES);
  settings->source[id] = source;
  settings->given[id] = true;
}

bool
ca_address_parse (const char *text, ca_address_t *address)
{
  char host[INET_ADDRSTRLEN];
  const char *colon = strrchr (text, ':');
  const char *range_error = NULL;
  struct in_addr ip;
  size_t length;
  long long port;

  if (colon == NULL)
    return false;
  length = (size_t)(colon - text);
  if (length == 0 || length >= sizeof host)
    return false;
  memcpy (host, text, length);
  host[length] = '\0';
  if (inet_pton (AF_INET, host, &ip) != 1)
    return false;
  port = strtonum (colon + 1, 1, UINT16_MAX, &range_error);
  if (range_error != NULL)
    return false;
  address->ip = ntohl (ip.s_addr);
  address->port = (uint16_t)port;
  return true;
}

void
ca_address_print (const ca_address_t *address, char *text)
{
  snprintf (text, CA_ADDRESS_BYTES, "%u.%u.%u.%u:%u", address->ip >> 24,
            (address->ip >> 16) & 0xff, (address->ip >> 8) & 0xff,
            address->ip & 0xff, (unsigned)address->port);
}

uint64_t
ca_address_id (const ca_address_t *address)
{
  uint64_t packed = ((uint64_t)address->ip << 16) | address->port;

  return XXH64 (&packed, sizeof packed, 0);
}

/* Checks a comma-separated list; empty items are allowed. */
static bool
settings_check_addresses (const char *text)
{
  char copy[CA_SETTING_TEXT_BYTES];
  char *rest = copy;
  char *item;
  ca_address_t address;

  strlcpy (copy, text, sizeof copy);
  while ((item = strsep (&rest, ",")) != NULL)
    {
      if (*item != '\0' && !ca_address_parse (item, &address))
        return false;
    }
  return true;
}

static void
settings_check_one (const ca_setting_info_t *info, const char *text,
                    ca_error_t *error)
{
  const char *range_error = NULL;
  ca_address_t address;

  switch (info->type)
    {
    case CA_SETTING_TEXT:
      if (strlen (text) < info->min || strlen (text) > info->max)
        ca_error_add (error, CA_ERROR_BAD_SETTING,
                      "--%s: '%s' must have %" PRIu64 " to %" PRIu64
                      " characters",
                      info->flag, text, info->min, info->max);
      break;
    case CA_SETTING_ADDRESS:
      if (!ca_address_parse (text, &address))
        ca_error_add (error, CA_ERROR_BAD_SETTING,
                      "--%s: '%s' is not an IP:PORT such as 127.0.0.1:8100",
                      info->flag, text);
      break;
    case CA_SETTING_ADDRESSES:
      if (!settings_check_addresses (text))
        ca_error_add (error, CA_ERROR_BAD_SETTING,
                      "--%s: '%s' is not a list of IP:PORT,IP:PORT", info->flag,
                      text);
      break;
    case CA_SETTING_NUMBER:
      strtonum (text, (long long)info->min, (long long)info->max, &range_error);
      if (range_error != NULL)
        ca_error_add (error, CA_ERROR_BAD_SETTING,
                      "--%s: '%s' must be a number from %" PRIu64 " to %" PRIu64
                      " %s",
                      info->flag, text, info->min, info->max, info->unit);
      break;
    }
}

bool
ca_settings_check (const ca_settings_t *settings, ca_error_t *error)
{
  const char *level = settings->text[CA_SETTING_LOG_LEVEL];

  for (size_t i = 0; i < CA_SETTING_COUNT; i++)
    {
      const ca_setting_info_t *info = &setting_table[i];

      if (settings->given[i])
        settings_check_one (info, settings->text[i], error);
      else
        ca_error_add (error, CA_ERROR_BAD_SETTING,
                      "--%s is missing: set the %s", info->flag, info->doc);
    }
  if (strcmp (level, "debug") != 0 && strcmp (level, "info") != 0
      && strcmp (level, "warning") != 0 && strcmp (level, "error") != 0)
    ca_error_add (error, CA_ERROR_BAD_SETTING,
                  "--log-level: '%s' is not debug, info, warning or error",
                  level);
  return error->kind == CA_ERROR_NONE;
}

uint64_t
ca_settings_number (const ca_settings_t *settings, ca_setting_id_t id)
{
  return (uint64_t)strtonum (settings->text[id], 0, NUMBER_MAX, NULL);
}

const char *
ca_settings_text (const ca_settings_t *settings, ca_setting_id_t id)
{
  return settings->text[id];
}

void
ca_settings_print (const ca_settings_t *settings, FILE *out)
{
  static const char *const sources[] = { "default", "environment", "flag" };

  for (size_t i = 0; i < CA_SETTING_COUNT; i++)
    fprintf (out, "%-20s %-24s %-10s %s\n", setting_table[i].flag,
             settings->given[i] ? settings->text[i] : "(missing)",
             setting_table[i].unit, sources[settings->source[i]]);
}

void
ca_settings_print_page (FILE *out)
{
  fputs ("# Settings\n\nPrinted by `camphorarchd --print-settings-page`; CI "
         "checks that this page is current.\nThe flag overrides its "
         "environment variable.\n\n"
         "| flag | variable | unit | default | range | meaning |\n"
         "|---|---|---|---|---|---|\n",
         out);
  for (size_t i = 0; i < CA_SETTING_COUNT; i++)
    {
      const ca_setting_info_t *info = &setting_table[i];
      char name[64];

      settings_variable_name (info, name, sizeof name);
      fprintf (out, "| --%s | %s | %s | %s | ", info->flag, name, info->unit,
               info->default_text ? info->default_text : "(required)");
      if (info->type == CA_SETTING_NUMBER)
        fprintf (out, "%" PRIu64 " to %" PRIu64, info->min, info->max);
      else if (info->type == CA_SETTING_TEXT)
        fprintf (out, "%" PRIu64 " to %" PRIu64 " characters", info->min,
                 info->max);
      else
        fputs ("IP:PORT", out);
      fprintf (out, " | %s |\n", info->doc);
    }
}
