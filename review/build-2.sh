#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the
# packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j "${BUILD_JOBS:-8}" --target mangospan-review-2
