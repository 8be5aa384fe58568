#!/bin/sh
# Builds the programs of the third review's scripts, each with its stand-ins of
# the store, the instances and the requesters, into build-review-3/. The daemons
# come from the build of the deploy file. Needs g++ only.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/build-review-3
rm -rf "$out"
mkdir -p "$out"
for source in "$root"/review/rig-3/*.cc; do
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra "$source" \
    -o "$out/$(basename "$source" .cc)" -pthread
done
