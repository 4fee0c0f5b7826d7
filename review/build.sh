#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins -B build-review -G Ninja \
  -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review --target review-case
