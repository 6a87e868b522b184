/* Fleet in virtual time in which one request ends every endpoint that runs it.
 * The request comes again and again, at any entry, among other traffic.  With
 * `by_part` it is not one request but one part of prompts: no two requests are
 * alike, and sound ones share their other parts. */
#ifndef TESTS_GATEWAY_CRASHING_FLEET_H
#define TESTS_GATEWAY_CRASHING_FLEET_H

#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/clock.h"

typedef struct
{
  size_t entries;
  size_t endpoints;
  double requests_per_s; /* at all entries together */
  double hot_share;      /* of the requests: the same one, which is sound */
  uint64_t down_us;      /* from the end of an endpoint to its next start */
  uint64_t restart_period_us; /* between restarts of entries; 0: none */
  size_t restart_count;       /* entries restarted at a time */
  uint64_t wave_period_us;    /* between waves of crashes; 0: none */
  double wave_share;          /* of the endpoints, which end at once */
  uint64_t cut_period_us; /* a zone is cut off in its first half; 0: never */
  bool silent;            /* endpoints end without closing connections */
  bool by_part;           /* requests with one prompt part end endpoints */
  uint64_t by_part_period_us; /* between these; 0: 150 ms */
  bool breaks_off;    /* such a response begins before the endpoint ends */
  bool renamed;       /* an endpoint comes back under another id */
  bool only_in_touch; /* entries started within the bound may not know yet */
  bool sound;         /* no request ends endpoints */
} crashing_fleet_t;

/* Sizes with the rates of the users' deployments, and one in between. */
#define CRASHING_FLEET_SMALL                                                   \
  .entries = 8, .endpoints = 9, .requests_per_s = 50, .down_us = 3 * CA_US_PER_S
#define CRASHING_FLEET_MEDIUM                                                  \
  .entries = 40, .endpoints = 45, .requests_per_s = 300,                       \
  .down_us = 3 * CA_US_PER_S
#define CRASHING_FLEET_LARGE                                                   \
  .entries = 82, .endpoints = 90, .requests_per_s = 613,                       \
  .down_us = 3 * CA_US_PER_S
#define CRASHING_FLEET_HUGE                                                    \
  .entries = 300, .endpoints = 90, .requests_per_s = 613,                      \
  .down_us = 3 * CA_US_PER_S

/* Runs the fleet with several seeds.  Fails if the request reaches more
 * endpoints than the platform allows once it has ended three of them, or five
 * with `by_part`, and the entries have had time to learn of that, or if another
 * request is blocked. */
void crashing_fleet_check (const crashing_fleet_t *fleet);

#endif
