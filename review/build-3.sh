#!/bin/bash
# Builds the stand-ins of the cases 11 and later into target/review-3, the project's own
# among them. The build of the deploy file comes first: its libraries are used.
set -eu
cd "$(dirname "$0")/.."
OUT=target/review-3
mkdir -p "$OUT"
FLAGS="-std=gnu11 -O2 -Wall -Wextra -Werror -D_GNU_SOURCE -I. -Ipackages"
FLAGS="$FLAGS $(pkg-config --cflags libevent jansson libxxhash libbsd-overlay)"
LIBS="target/packages/http/libca_http.a -lhttp_parser"
LIBS="$LIBS target/packages/base/libca_base.a"
LIBS="$LIBS $(pkg-config --libs libevent jansson libxxhash libzstd libbsd-overlay) -lresolv -lm -pthread"
for name in store replica streamers callers; do
  # shellcheck disable=SC2086
  cc $FLAGS -o "$OUT/site-$name" "tests/site/$name.c" tests/site/site.c $LIBS
done
for source in review/standins-3/*.c; do
  # shellcheck disable=SC2086
  cc $FLAGS -o "$OUT/$(basename "$source" .c)" "$source" tests/site/site.c $LIBS
done
