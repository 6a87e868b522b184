#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start: the project's own
# store and endpoint.  Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
OUT=target/review
mkdir -p "$OUT"
for name in store replica; do
  # shellcheck disable=SC2046
  ${CC:-cc} -std=gnu11 -O1 -D_GNU_SOURCE -Ipackages -I. -o "$OUT/site-$name" \
    tests/site/$name.c tests/site/site.c \
    target/packages/http/libca_http.a target/packages/base/libca_base.a \
    $(pkg-config --cflags --libs libevent jansson libxxhash libbsd-overlay libzstd) \
    -lhttp_parser -lresolv
done
${CC:-cc} -std=gnu11 -O1 -D_GNU_SOURCE -Wall -Wextra -pthread \
  -o "$OUT/repeating-replica" review/standins/repeating_replica.c
