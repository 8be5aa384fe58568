#!/bin/sh
# Builds the stand-ins of the third review's scripts, the project's own and
# those in rig-3/, into build-review-3/. Needs the build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/build-review-3
mkdir -p "$out"
cmake -S "$root" -B "$out/project" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  >"$out/cmake.log"
ninja -C "$out/project" standin >"$out/ninja.log"
find "$out" -maxdepth 1 -type f -perm -u+x -delete
for source in "$root"/review/rig-3/*.cc; do
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra "$source" \
    -o "$out/$(basename "$source" .cc)" -pthread
done
