#!/bin/bash
# Builds the stand-ins of the cases, in build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p build-review
for source in review/[1-5]/*.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -I. "$source" -o "build-review/$name" -pthread
done
