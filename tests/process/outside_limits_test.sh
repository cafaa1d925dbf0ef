#!/usr/bin/env bash
# Callers outside the limits of the interface: the pool's programs stay alive, within the memory and descriptors of their instance, and go on
# answering ordinary requests. Guards against bodies that are buffered without a common bound (813 MB after 200 connections of 4 MB), and against
# servers that stop accepting.
# Arguments, such as --case entry/callers/large-chunks, go to tests/outside/outside_limits.py.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
exec python3 "$root/tests/outside/outside_limits.py" --program "${BANYANLOCK_BUILD:-$root/build/test}/src/banyanlock" "$@"
