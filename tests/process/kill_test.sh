#!/usr/bin/env bash
# kill -9 of an agent and of an entry under a load of requests that must not run twice.
set -euo pipefail
export BANYANLOCK_PORT_BASE=22500
source "$(dirname "$0")/../../scripts/cluster.sh"
start_system 3 20000
load agent-kill 0 1500 24 --timeout-ms 1500 || true &
load_id=$!
sleep 1
signal agent-0 KILL
wait "$load_id" || true
check "work went on at the other agents" test "$(field "$run/agent-kill.json" answered)" -gt 1200

load entry-kill 2 3000 24 --timeout-ms 1500 || true &
load_id=$!
sleep 0.5
signal entry-c KILL
wait "$load_id" || true
check "the cell of the dead entry finds an owner" wait_for 20 sh -c "'$banyanlock' failure-domain list --json --entries ${entry_http[0]} | grep -q 'fd-c.*owner\":\"entry-[ab]'"
sleep 1
runs_to "$run/runs" 3
check "nothing ran twice, and what was refused did not run" check_runs "$run/runs" "$run/agent-kill.outcomes" "$run/entry-kill.outcomes"
