#!/usr/bin/env bash
# Builds a preset: scripts/build.sh [test|debug|release]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-test}
cmake --preset "$preset" -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build --preset "$preset"
