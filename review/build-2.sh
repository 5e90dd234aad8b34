#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j4
