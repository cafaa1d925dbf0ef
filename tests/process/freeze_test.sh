#!/usr/bin/env bash
# SIGSTOP beyond every lease: an agent under load, then the owner of a cell while its gang runs.
set -euo pipefail
export BANYANLOCK_PORT_BASE=23000
source "$(dirname "$0")/../../scripts/cluster.sh"
start_system 3 20000
load agent-freeze 0 2000 24 --timeout-ms 1500 || true &
load_id=$!
sleep 1
signal agent-0 STOP
sleep 4
signal agent-0 CONT
wait "$load_id" || true
check "work went on at the other agents" test "$(field "$run/agent-freeze.json" answered)" -gt 1500
sleep 1
runs_to "$run/runs" 3
check "nothing ran twice, and what was refused did not run" check_runs "$run/runs" "$run/agent-freeze.outcomes"

job=$("$banyanlock" job submit "$root/samples/job-long.json" --entries "${entry_http[0]}")
job_field() {
    "$banyanlock" job show "$job" --json --entries "$1" | grep -oE "\"$2\":\"?[a-z0-9-]*" | head -1 | cut -d: -f2 | tr -d '"'
}
is_running() {
    [ "$(job_field "${entry_http[0]}" state)" = running ]
}
check "the gang runs" wait_for 10 is_running
cell=$(job_field "${entry_http[0]}" cell)
domain=${cell#fd-}
case $domain in a) other=1 ;; b) other=2 ;; c) other=0 ;; esac
signal "entry-$domain" STOP
check "another entry takes the cell" wait_for 20 sh -c "'$banyanlock' failure-domain list --json --entries ${entry_http[$other]} | grep -oE '\"failure_domain\":\"$cell\"[^}]*' | grep -vq 'owner\":\"entry-$domain'"
sleep 9
check "the gang still runs" test "$(job_field "${entry_http[$other]}" state)" = running
check "it was not started again" test "$(job_field "${entry_http[$other]}" run)" = 1
signal "entry-$domain" CONT
sleep 3
check "the old owner changed nothing" test "$(job_field "${entry_http[$other]}" run)" = 1
check "the gang still runs after it woke" test "$(job_field "${entry_http[$other]}" state)" = running
check "exactly its four tasks run" test "$(running_tasks "$domain")" = 4
