/* Entries of one test, by number: names, addresses, and how they meet. */
#ifndef TESTS_GATEWAY_CLUSTER_H
#define TESTS_GATEWAY_CLUSTER_H

#include "gateway/gateway.h"

/* Fills the options with a name and an address, and the rest with zeros. */
void cluster_options (ca_gateway_options_t *options, size_t index,
                      const char *zone);

/* Tells an entry of `count` others, as the store's table would. */
void cluster_add_peers (ca_gateway_t *gateway, size_t count);

/* Delivers a copy of a peer's message. */
void cluster_deliver (ca_gateway_t *gateway, uint64_t now_us,
                      const Camphor__Envelope *envelope);

/* Gives an entry its configuration, proved to be the newest. */
void cluster_configure (ca_gateway_t *gateway, uint64_t now_us,
                        const char *text);

#endif
