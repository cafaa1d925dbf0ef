#!/usr/bin/env bash
# Builds the stand-ins of the second review into build/review-2. The scripts run the product from target/, as the deploy file builds it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
pids=()
for source in Deployment Executors Http Store main; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "review/standins-2/$source.cpp" -o "build/review-2/$source.o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
g++ -pthread -o build/review-2/case build/review-2/{Deployment,Executors,Http,Store,main}.o
