#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 6 to 10 start, the project's
# own store too.  Needs the build of the deploy file, whose libraries it uses.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p $out
libraries="target/packages/http/libca_http.a
  target/packages/adapters/libca_adapters.a target/packages/core/libca_core.a
  target/packages/wire/libca_wire.a target/packages/base/libca_base.a"
packages="libevent jansson libbsd-overlay libxxhash libzstd libprotobuf-c"
build () { # NAME SOURCES...
  local name=$1
  shift
  # shellcheck disable=SC2046,SC2086
  gcc -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -I. -Ipackages "$@" \
    $libraries -o $out/"$name" $(pkg-config --cflags --libs $packages) \
    -lhttp_parser -lresolv
}
build store tests/site/store.c tests/site/site.c
build proxy tests/site/proxy.c tests/site/site.c
build server review/standins-2/server.c tests/site/site.c
build callers review/standins-2/callers.c
build unreaders review/standins-2/unreaders.c
