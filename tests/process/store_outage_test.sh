#!/usr/bin/env bash
# The table service goes down, then loses answers: requests that need no claim are served, claims are refused truthfully, running work goes on.
set -euo pipefail
export BANYANLOCK_PORT_BASE=23500
source "$(dirname "$0")/../../scripts/cluster.sh"
start_system 3 2000
job=$("$banyanlock" job submit "$root/samples/job-long.json")
job_is() {
    "$banyanlock" job show "$job" --json | grep -q "\"state\":\"$1\""
}
check "the gang runs" wait_for 10 job_is running
fault $((table_port + 1)) down
load outage 0 500 8
check "requests without a key are served" test "$(field "$run/outage.json" answered)" = 500
echo -n keyed >"$run/keyed.txt"
code=0
"$banyanlock" request quote "$run/keyed.txt" --workspace quotes --key outage-1 --timeout-ms 4000 2>"$run/keyed.err" || code=$?
check "a request with a key is refused as not run" test "$code" = 3
check "with the code for the store" grep -q "error 2007" "$run/keyed.err"
code=0
"$banyanlock" failure-domain out fd-a 2>"$run/out.err" || code=$?
check "a change of the configuration is refused" test "$code" = 3
cell=$("$banyanlock" job show "$job" --json | grep -oE '"cell":"fd-[abc]' | tail -c 2)
signal "entry-$cell" TERM
sleep 12
check "the gang outlives every lease, although its owner was told to stop" test "$(running_tasks "$cell")" = 4
check "the owner says what it waits for" grep -q stop_waits_for_store "$run/entry-$cell.log"
fault $((table_port + 1)) none
keyed() {
    "$banyanlock" request quote "$run/keyed.txt" --workspace quotes --key outage-1
}
check "the same key works after the outage" wait_for 10 keyed
check "the owner ends with 0" wait "${process_ids[entry-$cell]}"
sleep 5
check "the gang goes on under its next owner" test "$(running_tasks "$cell")" = 4
check "in its first run" grep -q '"run":1[,}]' <("$banyanlock" job show "$job" --json)

fault $((table_port + 1)) lose_answer
code=0
"$banyanlock" contract put "$root/samples/contract-audits.json" >"$run/put.out" 2>"$run/put.err" || code=$?
fault $((table_port + 1)) none
check "a change whose answer is lost is not called refused" test "$code" != 3
runs_to "$run/runs" 3
check "the keyed request ran once" grep -q "^keyed 1$" "$run/runs"
"$banyanlock" job cancel "$job" >/dev/null
check "the gang ends when it is cancelled" wait_for 10 job_is cancelled
