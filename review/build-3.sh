#!/bin/bash
# Builds the stand-ins and the programs of the cases of the third review into target/review-3. Run it after the build of
# the deploy file, from anywhere.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++17 -O1 -g1 -Wall -Wextra -Iinclude -Isrc -I.)
libs=(-lev -lcurl -lprometheus-cpp-core -llog4cplus -lxxhash)
read -ra absl <<< "$(pkg-config --libs absl_flags absl_flags_parse absl_flags_usage absl_strings)"
for it in kv raw_upstream site; do
    g++ "${flags[@]}" -c "standins/$it.cpp" -o "$out/$it.o"
done
for source in review/1[1-5]/*.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "$out/kv.o" "$out/raw_upstream.o" "$out/site.o" target/libpistachiospur.a \
        "${libs[@]}" "${absl[@]}" -o "$out/case-$number"
done
