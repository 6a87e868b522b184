/* Reads configuration files and prints the findings about them. */
#include "ctl/check.h"

#include "platform/config_check.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Maximum size of a configuration file; 100,000 routes take 25 MB. */
#define CHECK_MAX_FILE_BYTES ((size_t)256 * 1024 * 1024)

#define CHECK_READ_BYTES 65536

/* Reads to the end, or a little beyond the maximum size.  The caller frees the
 * text; NULL if reading failed. */
static char *
check_read (FILE *in, size_t *bytes)
{
  char *text = NULL;
  char *larger;
  size_t room = 0;
  size_t count = 1;

  *bytes = 0;
  while (count > 0 && *bytes <= CHECK_MAX_FILE_BYTES)
    {
      if (room - *bytes < CHECK_READ_BYTES)
        {
          room = 2 * room + CHECK_READ_BYTES;
          larger = realloc (text, room);
          if (larger == NULL)
            break;
          text = larger;
        }
      count = fread (text + *bytes, 1, CHECK_READ_BYTES, in);
      *bytes += count;
    }
  if (count == 0 && !ferror (in))
    return text;
  free (text);
  return NULL;
}

/* Content of a file, which the caller frees; NULL with a message if it cannot
 * be read. */
static char *
check_read_file (const char *path, size_t *bytes)
{
  FILE *in = fopen (path, "r");
  char *text = NULL;

  *bytes = 0;
  if (in != NULL)
    text = check_read (in, bytes);
  if (text == NULL)
    fprintf (stderr, "%s: %s\n", path,
             *bytes > CHECK_MAX_FILE_BYTES
                 ? "larger than 256 MB; give a configuration"
                 : strerror (errno));
  if (in != NULL)
    fclose (in);
  return text;
}

int
ca_ctl_check (const ca_ctl_t *ctl, const char *path)
{
  ca_findings_t findings;
  size_t bytes;
  size_t former_bytes = 0;
  char *text = check_read_file (path, &bytes);
  char *former = ctl->against == NULL
                     ? NULL
                     : check_read_file (ctl->against, &former_bytes);
  int status = 2;

  if (text != NULL && (ctl->against == NULL || former != NULL))
    {
      ca_findings_init (&findings);
      ca_config_check (&findings, text, bytes);
      if (former != NULL)
        ca_config_compare (&findings, text, bytes, former, former_bytes);
      if (ctl->json)
        ca_findings_print_json (&findings, stdout);
      else
        ca_findings_print (&findings, path, stdout);
      status = ca_findings_status (&findings);
      ca_findings_finish (&findings);
    }
  free (text);
  free (former);
  return status;
}
