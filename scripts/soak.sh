#!/usr/bin/env bash
# Runs the randomised tests on ever new seeds: scripts/soak.sh SECONDS [FIRST_SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
end=$((SECONDS + ${1:-60}))
export BANYANLOCK_FIRST_SEED=${2:-1000000}
export BANYANLOCK_SEEDS=200
while [ "$SECONDS" -lt "$end" ]; do
    for test in dispatch_test schedule_test; do
        build/test/tests/$test --run_test='Randomised*' --color_output=no --log_level=message || exit 1
    done
    BANYANLOCK_FIRST_SEED=$((BANYANLOCK_FIRST_SEED + BANYANLOCK_SEEDS))
done
echo "no violation up to seed $((BANYANLOCK_FIRST_SEED - 1))"
