/* Work of workspaces, for the source files of admission control. */
#ifndef CA_GATEWAY_ADMISSION_SHARES_H
#define CA_GATEWAY_ADMISSION_SHARES_H

#include "gateway/admission.h"

/* Adds the work that a request asks for; returns its workspace's row. */
const ca_admission_row_t *
ca_admission_count_work (ca_admission_t *admission, uint64_t now_us,
                         const ca_admission_request_t *request);

/* Work of the rank that the workspace asks all entries for, if that is more
 * than its equal share; else 0. */
double ca_admission_excess_work (const ca_admission_t *admission,
                                 const ca_admission_row_t *row, uint32_t rank);

/* Compares two doubles, for qsort. */
int ca_admission_compare (const void *a, const void *b);

#endif
