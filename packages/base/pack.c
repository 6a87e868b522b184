/* Compression with zstd. */
#include "base/pack.h"

#include <stdint.h>
#include <stdlib.h>
#include <zstd.h>

/* The fastest; texts repeat themselves enough for it. */
#define PACK_LEVEL 1

/* Logarithms of the window, which spans the text and its base. */
#define PACK_MIN_WINDOW_LOG 17
#define PACK_MAX_WINDOW_LOG 27

static int
pack_window_log (size_t bytes)
{
  int log = PACK_MIN_WINDOW_LOG;

  while (log < PACK_MAX_WINDOW_LOG && ((size_t)1 << log) < bytes)
    log++;
  return log;
}

char *
ca_pack (const char *text, size_t bytes, const char *base, size_t base_bytes,
         size_t *packed_bytes)
{
  size_t room = ZSTD_compressBound (bytes);
  ZSTD_CCtx *context = ZSTD_createCCtx ();
  char *packed = malloc (room);

  ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, PACK_LEVEL);
  ZSTD_CCtx_setParameter (context, ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter (context, ZSTD_c_windowLog,
                          pack_window_log (bytes + base_bytes));
  if (base != NULL)
    {
      /* Finds matches that lie far apart. */
      ZSTD_CCtx_setParameter (context, ZSTD_c_enableLongDistanceMatching, 1);
      ZSTD_CCtx_refPrefix (context, base, base_bytes);
    }
  *packed_bytes = ZSTD_compress2 (context, packed, room, text, bytes);
  ZSTD_freeCCtx (context);
  if (!ZSTD_isError (*packed_bytes))
    return packed;
  free (packed);
  return NULL;
}

char *
ca_unpack (const char *packed, size_t packed_bytes, const char *base,
           size_t base_bytes, size_t text_bytes)
{
  ZSTD_DCtx *context;
  char *text;
  size_t unpacked;

  if (text_bytes > CA_PACK_MAX_TEXT_BYTES)
    return NULL;
  context = ZSTD_createDCtx ();
  text = malloc (text_bytes + 1);
  ZSTD_DCtx_setParameter (context, ZSTD_d_windowLogMax, PACK_MAX_WINDOW_LOG);
  if (base != NULL)
    ZSTD_DCtx_refPrefix (context, base, base_bytes);
  unpacked
      = ZSTD_decompressDCtx (context, text, text_bytes, packed, packed_bytes);
  ZSTD_freeDCtx (context);
  if (unpacked == text_bytes)
    return text;
  free (text);
  return NULL;
}
