#!/usr/bin/env bash
# Planned stops under load: an agent, then an entry, get SIGTERM; no request in progress is cut off and nothing runs twice.
set -euo pipefail
export BANYANLOCK_PORT_BASE=22000
source "$(dirname "$0")/../../scripts/cluster.sh"
start_system 3 20000
load agent-stop 1 1500 24 &
load_id=$!
sleep 1
check "the agent ends with 0" stop agent-1
check "no request was cut off while the agent stopped" wait "$load_id"
check "every request was answered" test "$(field "$run/agent-stop.json" answered)" = 1500

load entry-stop 0 3000 24 &
load_id=$!
sleep 0.5
check "the entry ends with 0" stop entry-a
check "no request was cut off while the entry stopped" wait "$load_id"
check "requests were answered before the stop" test "$(field "$run/entry-stop.json" answered)" -gt 100
check "no outcome is unknown" test "$(field "$run/entry-stop.json" unknown)" = 0
runs_to "$run/runs" 3
check "nothing ran twice, and what was refused did not run" check_runs "$run/runs" "$run/agent-stop.outcomes" "$run/entry-stop.outcomes"
