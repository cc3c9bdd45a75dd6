#!/bin/sh
# Builds the stand-ins and drivers of the cases in review/6 to review/10. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
make -j4 BUILD=target target/pistachiospurd target/standins/kv.o target/standins/raw_upstream.o target/standins/site.o
mkdir -p target/review-2
FLAGS="-std=c++17 -O2 -g1 -Wall -Wextra -Iinclude -Isrc -I."
LIBS="-lev -lcurl -lprometheus-cpp-core -llog4cplus -lxxhash $(pkg-config --libs absl_flags absl_flags_parse absl_flags_usage absl_strings)"
g++ $FLAGS -c review/common-2/harness.cpp -o target/review-2/harness.o
for n in 6 7 8 9 10; do
    [ -f review/$n/driver.cpp ] || continue
    g++ $FLAGS review/$n/driver.cpp target/review-2/harness.o target/standins/kv.o target/standins/raw_upstream.o \
        target/standins/site.o target/libpistachiospur.a $LIBS -o target/review-2/case-$n
done
