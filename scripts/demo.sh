#!/usr/bin/env bash
# Shows the whole path on loopback: three entries, three agents, stand-ins for the platform; then requests, a gang job and a failure domain
# out and in. Exits non-zero if any step did not do what it says.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh test
source scripts/cluster.sh

say() {
    echo "--- $*"
}

fail() {
    echo "FAILED: $*" >&2
    tail -n 5 "$run"/*.log >&2 || true
    exit 1
}

# job_state ID: state of a job
job_state() {
    "$banyanlock" job show "$1" --json | grep -o '"state":"[a-z]*"' | cut -d'"' -f4
}

job_is() {
    [ "$(job_state "$1")" = "$2" ]
}

# job_cell ID: failure domain in which a job is
job_cell() {
    "$banyanlock" job show "$1" --json | grep -o '"cell":"[^"]*"' | cut -d'"' -f4
}

say "starting the platform's stand-ins, three entries in three failure domains, and three agents"
start_platform
start_entries
for index in 0 1 2; do
    start_agent "$index"
done
wait_for 15 cells_are_owned || fail "cells have no owners"

say "putting contracts for two workspaces"
"$banyanlock" contract put samples/contract-quotes.json || fail "contract of quotes"
"$banyanlock" contract put samples/contract-audits.json || fail "contract of audits"
wait_until_served || fail "the contracts are not in force at every entry"
"$banyanlock" contract list

say "sending an idempotent request"
echo -n "fabric match 17" >"$run/match.txt"
answer=$("$banyanlock" request quote "$run/match.txt" --workspace quotes --idempotent)
echo "$answer"
[ "$answer" = "answer to fabric match 17" ] || fail "the answer is not whole"

say "sending a non-idempotent request twice with one idempotency key through two entries"
echo -n "quote for booking 4711" >"$run/quote.txt"
first=$("$banyanlock" request quote "$run/quote.txt" --workspace quotes --key booking-4711 --entries "${entry_http[0]}")
sleep 0.3
second=$("$banyanlock" request quote "$run/quote.txt" --workspace quotes --key booking-4711 --entries "${entry_http[1]}")
echo "$first"
[ "$first" = "answer to quote for booking 4711" ] && [ "$second" = "$first" ] || fail "the answers differ"
runs=0
for index in 0 1 2; do
    count=$(curl -fsS "http://127.0.0.1:$(backend_control "$index")/runs" | grep -o '"quote for booking 4711":[0-9]*' | cut -d: -f2 || true)
    runs=$((runs + ${count:-0}))
done
[ "$runs" = 1 ] || fail "the quote ran $runs times"
echo "it ran $runs time"

say "submitting a gang of four tasks with four accelerators each, and waiting for its end"
"$banyanlock" job submit samples/job-gang.json --wait || fail "the gang did not succeed"

say "submitting a long gang, and taking its failure domain out while it runs"
job=$("$banyanlock" job submit samples/job-long.json)
wait_for 5 job_is "$job" running || fail "the long gang does not run"
cell=$(job_cell "$job")
"$banyanlock" job show "$job"
"$banyanlock" failure-domain out "$cell"
domain=${cell#fd-}
moved() {
    [ "$(job_cell "$job")" != "$cell" ] && job_is "$job" running
}
wait_for 10 moved || fail "the gang did not move"
"$banyanlock" job show "$job"
[ "$(running_tasks "$domain")" = 0 ] || fail "tasks still run in $cell"

say "starting more work: none of it may start in $cell"
before=$(starts "$domain")
for _ in 1 2 3 4; do
    "$banyanlock" job submit samples/job-gang.json --wait >/dev/null || fail "work stopped elsewhere"
done
[ "$(starts "$domain")" = "$before" ] || fail "a task started in $cell"
"$banyanlock" failure-domain list

say "bringing $cell back: work starts there again"
"$banyanlock" failure-domain in "$cell"
started_again() {
    "$banyanlock" job submit samples/job-gang.json --wait >/dev/null
    [ "$(starts "$domain")" -gt "$before" ]
}
wait_for 15 started_again || fail "nothing starts in $cell"
"$banyanlock" job cancel "$job" >/dev/null
wait_for 5 job_is "$job" cancelled || fail "the long gang was not cancelled"

say "stopping entries and agents gracefully"
for index in 0 1 2; do
    stop "agent-$index" || fail "agent-$index did not end well"
done
for name in "${domains[@]}"; do
    stop "entry-$name" || fail "entry-$name did not end well"
done
echo "demo done"
