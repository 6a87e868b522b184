/* Compresses texts, also against an earlier text that the receiver has. */
#ifndef CA_BASE_PACK_H
#define CA_BASE_PACK_H

#include <stdbool.h>
#include <stddef.h>

/* Longest text that is unpacked. */
#define CA_PACK_MAX_TEXT_BYTES (64u * 1024 * 1024)

/* Packs a text.  `base`, which may be NULL, is a text that resembles it and
 * that the receiver has.  Returns the packed bytes, which the caller frees;
 * NULL if the text cannot be packed. */
char *ca_pack (const char *text, size_t bytes, const char *base,
               size_t base_bytes, size_t *packed_bytes);

/* Unpacks a text of `text_bytes`, packed against the same base.  Returns the
 * text, which the caller frees; NULL if the packed bytes are not of such a
 * text. */
char *ca_unpack (const char *packed, size_t packed_bytes, const char *base,
                 size_t base_bytes, size_t text_bytes);

#endif
