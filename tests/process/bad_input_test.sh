#!/usr/bin/env bash
# Bad input at an entry's interface and on the command line: a numbered error that says not_run, and no effect on others.
set -euo pipefail
export BANYANLOCK_PORT_BASE=21500
source "$(dirname "$0")/../../scripts/cluster.sh"
start_system 1
entry=http://${entry_http[0]}

# expect CODE CURL_ARGUMENT...: the answer must be a problem with this number and the outcome not_run
expect() {
    local code=$1 answer
    shift
    answer=$(curl -sS "$@" || true)
    check "code $code for ${*: -1}" grep -q "\"code\":$code,.*\"outcome\":\"not_run\"" <<<"$answer"
}
requests=$entry/v1/services/quote/requests
expect 1002 "$entry/nothing"
expect 1001 -X POST -d x "$requests"
expect 1004 -X POST -d x -H 'Banyanlock-Workspace: nobody' "$requests"
expect 1005 -X POST -d x -H 'Banyanlock-Workspace: quotes' "$entry/v1/services/none/requests"
expect 1001 -X POST -d x -H 'Banyanlock-Workspace: quotes' -H 'Banyanlock-Idempotent: maybe' "$requests"
expect 1014 -X POST -d x -H 'Banyanlock-Workspace: quotes' -H 'Banyanlock-Timeout-Ms: -5' "$requests"
expect 1014 -X POST -d x -H 'Banyanlock-Workspace: quotes' -H 'Banyanlock-Timeout-Ms: 99999999999999999999' "$requests"
head -c 5000000 /dev/zero >"$run/large"
expect 1003 -X POST --data-binary "@$run/large" -H 'Banyanlock-Workspace: quotes' "$requests"
expect 1009 -X POST -d '{"workspace": "quotes"' "$entry/v1/jobs"
expect 1009 -X POST -d '{"workspace": "quotes", "name": "a", "tasks": 100000}' "$entry/v1/jobs"
expect 1010 -X POST -d '{"workspace": "quotes", "name": "a", "accelerators": 16}' "$entry/v1/jobs"
expect 2009 -X POST -d '{"workspace": "quotes", "name": "a", "tasks": 64, "accelerators": 1}' "$entry/v1/jobs"
expect 1008 "$entry/v1/jobs/none"
expect 1006 -X PUT -d '{"workspace": "x", "limits": {}, "shore": 1}' "$entry/v1/workspaces/x/contract"
expect 1007 -X PUT -d '{"workspace": "quotes", "limits": {}}' -H 'If-Match: "1"' "$entry/v1/workspaces/quotes/contract"
expect 1015 -X PUT -d '{"workspace": "x", "limits": {"accelerators": 999}, "guarantees": [{"count": 99, "accelerators_per_worker": 8}]}' "$entry/v1/workspaces/x/contract"
expect 1011 -X POST "$entry/v1/failure-domains/nowhere/out"

code=0
"$banyanlock" job submit 2>/dev/null || code=$?
check "bad usage exits with 2" test "$code" = 2
code=0
"$banyanlock" status --entries 127.0.0.1:1 2>/dev/null || code=$?
check "no entry exits with 5" test "$code" = 5
code=0
"$banyanlock" entry --settings /nowhere.yaml 2>/dev/null || code=$?
check "missing settings exit with 2" test "$code" = 2
check "good requests are still answered" "$banyanlock" request quote "$run/ready.txt" --workspace quotes --idempotent
exec 3<>"/dev/tcp/${entry_http[0]%:*}/${entry_http[0]#*:}"
printf 'GET /healthz HTTP/1.1\r\nHost' >&3
exec 3>&-
half_open_is_counted() {
    curl -fsS "$entry/metrics" | grep -q 'event="closed_without_request"} [1-9]'
}
check "a connection closed within a request is counted" wait_for 5 half_open_is_counted
check "the refusals were counted" grep -q 'reason="malformed_request"} [1-9]' <(curl -fsS "$entry/metrics")
