#!/usr/bin/env bash
# Builds the stand-ins of the third review into build/review-3. The scripts run the product from target/, as the deploy file builds it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
pids=()
objects=()
for source in review/standins-3/*.cpp; do
    object=build/review-3/$(basename "$source" .cpp).o
    objects+=("$object")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
g++ -pthread -o build/review-3/case "${objects[@]}"
