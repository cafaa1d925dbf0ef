#!/usr/bin/env bash
# The pool's real programs under random faults from outside, two seeds; SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS run others.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
build=${BANYANLOCK_BUILD:-$root/build/test}
directory=$(mktemp -d)
"$build/tests/banyanlock_soak" --program "$build/src/banyanlock" --directory "$directory" --port 28000 \
    --seed "${SOAK_SEED:-1}" --seeds "${SOAK_SEEDS:-2}" --seconds "${SOAK_SECONDS:-10}"
rm -rf "$directory"
