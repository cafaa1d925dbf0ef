#!/usr/bin/env bash
# Prints the fault matrices as the tests see them; docs/FAULT-MATRIX.md is this output.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export BANYANLOCK_FAULT_MATRIX=$folder
build/test/tests/dispatch_test --run_test=DispatchFaultMatrix >/dev/null
build/test/tests/schedule_test --run_test=ScheduleFaultMatrix >/dev/null
cat <<'HEAD'
# Fault matrix

Made by `scripts/fault_matrix.sh`: each fault is injected at each step of one request or one gang job, in virtual time. The tests
`DispatchFaultMatrix` and `ScheduleFaultMatrix` hold the expected outcome of every cell and fail when one differs.

Requests: two letters, for a request that must not run twice and for an idempotent one. A answered, N not run, U unknown, - no answer because
the caller's entry died, . the step is not reached. No cell has a request that must not run twice run twice, or one that is refused as not run
run at all. Timeouts are 400 ms, freezes last 3 s.

Jobs: final state and number of runs of a gang over three workers. Freezes, cuts and outages last 16 s, twice the lease.

HEAD
cat "$folder/requests.md"
echo
cat "$folder/jobs.md"
