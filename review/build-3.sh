#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, beside the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
out=../../target/review-3
mkdir -p "$out"
compile=(g++ -std=c++17 -O1 -Wall -Wextra)
pids=()
for source in *.cc; do
  "${compile[@]}" -c "$source" -o "$out/${source%.cc}.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for source in case_*.cc; do
  name=${source%.cc}
  "${compile[@]}" -o "$out/$name" "$out/$name.o" \
    "$out"/{http,store,fleet,nodes}.o -lpthread
done
