#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3, after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -e target/libmangohold.a ]; then
  cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DMANGOHOLD_TESTS=OFF
  cmake --build target -j4 --target mangohold_direct_entry mangohold_rank_agent
fi
cmake -S review/standins-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -j4
