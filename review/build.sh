#!/bin/sh
# Builds the stand-ins of the cases into target/review/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++17 -Wall -Wextra -Werror -Iinclude -Isrc -I. -O2 -g1"
libs="-lev -lcurl -lprometheus-cpp-core -llog4cplus -lxxhash $(pkg-config --libs absl_flags absl_flags_parse absl_flags_usage absl_strings)"
for it in review/standins/deployment.cpp standins/kv.cpp standins/raw_upstream.cpp standins/site.cpp; do
    g++ $flags -c "$it" -o "target/review/$(basename "$it" .cpp).o" &
done
wait
for it in review/*/case.cpp; do
    case="$(basename "$(dirname "$it")")"
    g++ $flags "$it" target/review/deployment.o target/review/kv.o target/review/raw_upstream.o \
        target/review/site.o target/libpistachiospur.a $libs -o "target/review/case-$case"
done
