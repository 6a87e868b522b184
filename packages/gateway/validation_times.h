/* Times of the validations that keep an entry's configuration within the bound
 * on the revocation of keys. */
#ifndef CA_GATEWAY_VALIDATION_TIMES_H
#define CA_GATEWAY_VALIDATION_TIMES_H

#include "base/clock.h"

/* A validation older than this is renewed: by the first entries, which ask the
 * store on behalf of all, or by the store. */
#define CA_VALIDATION_MAX_AGE_US (2000 * CA_US_PER_MS)

/* Between requests, to so many peers and then to the store. */
#define CA_VALIDATION_RETRY_US (300 * CA_US_PER_MS)
#define CA_VALIDATION_MAX_PEERS 2

/* Time limit of a call to the store; allows for a slow one. */
#define CA_VALIDATION_CALL_US (1000 * CA_US_PER_MS)

/* Requests with a key are refused this long before the revocation bound, to
 * cover the transfer and the run of the last request admitted. */
#define CA_VALIDATION_MARGIN_US (600 * CA_US_PER_MS)

/* The greatest age of a validation that no peer renews, if the answer to the
 * first call to the store is lost and the second one takes as long as the time
 * between requests. */
#define CA_VALIDATION_LATE_US                                                  \
  (CA_VALIDATION_MAX_AGE_US + CA_VALIDATION_MAX_PEERS * CA_VALIDATION_RETRY_US \
   + CA_VALIDATION_CALL_US + CA_VALIDATION_RETRY_US)

#endif
