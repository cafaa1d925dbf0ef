#!/usr/bin/env bash
# Builds the stand-ins of the review into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
launcher=()
if command -v ccache >/dev/null; then
    launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
fi
cmake -S review -B build/review -G Ninja -DCMAKE_BUILD_TYPE=Release "${launcher[@]}" >/dev/null
cmake --build build/review --target review-play
