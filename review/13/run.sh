#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
timeout --signal=KILL 115 build/review-3/case suspension-behind-cut target/src/banyanlock review/13/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
