#!/usr/bin/env bash
# Operators race one another through different entries: contracts with one expected version, and a failure domain that goes out and in.
# Jobs that ended are erased after their time of keeping.
set -euo pipefail
export BANYANLOCK_PORT_BASE=24500
export ENTRY_SETTINGS="ended_job_retention_ms: 3000"
source "$(dirname "$0")/../../scripts/cluster.sh"
start_system 1
rounds=10

for ((round = 1; round <= rounds; ++round)); do
    job=$("$banyanlock" job submit "$root/samples/job-gang.json" --entries "${entry_http[0]}")
    check "round $round: a job is known through another entry at once" "$banyanlock" job show "$job" --entries "${entry_http[1]}"
    "$banyanlock" job cancel "$job" --entries "${entry_http[2]}" >/dev/null 2>&1 || true
done >"$run/jobs.out"
check "jobs are known through all entries" test "$(grep -c '^ok' "$run/jobs.out")" = "$rounds"

contract_of() {
    curl -fsS -D "$run/headers" "http://${entry_http[$1]}/v1/workspaces/quotes/contract"
}
version_of() {
    contract_of "$1" >/dev/null
    grep -i '^etag:' "$run/headers" | grep -oE '[0-9]+'
}
# put INDEX VERSION SHARE: writes the status to $run/put.INDEX
put() {
    sed "s/\"share\": *[0-9]*/\"share\": $3/" "$root/samples/contract-quotes.json" |
        curl -sS -o /dev/null -w '%{http_code}' -X PUT -H "If-Match: \"$2\"" --data-binary @- \
            "http://${entry_http[$1]}/v1/workspaces/quotes/contract" >"$run/put.$1"
}
share_at() {
    contract_of "$1" | grep -oE '"share": *[0-9]+' | grep -oE '[0-9]+'
}
all_have_share() {
    [ "$(share_at 0)" = "$1" ] && [ "$(share_at 1)" = "$1" ] && [ "$(share_at 2)" = "$1" ]
}
check "the sample names a share" grep -q '"share":' "$root/samples/contract-quotes.json"
for ((round = 1; round <= rounds; ++round)); do
    version=$(version_of 0)
    writers=()
    for index in 0 1 2; do
        put "$index" "$version" $((50 * round + index)) &
        writers+=($!)
    done
    wait "${writers[@]}"
    winners=0
    for index in 0 1 2; do
        case $(cat "$run/put.$index") in
        200) winners=$((winners + 1)) winner=$index ;;
        412) ;;
        *) check "round $round: a put through entry $index ended with $(cat "$run/put.$index")" false ;;
        esac
    done
    check "round $round: one of three puts for one version takes effect" test "$winners" = 1
    check "round $round: every entry has the winner's contract within 5 s" wait_for 5 all_have_share $((50 * round + winner))
done

# is_out INDEX: true or false, as this entry sees it
is_out() {
    "$banyanlock" failure-domain list --json --entries "${entry_http[$1]}" |
        grep -oE '"failure_domain":"fd-b"[^}]*' | grep -oE '"out":(true|false)' | cut -d: -f2
}
all_say_out() {
    [ "$(is_out 0)" = "$1" ] && [ "$(is_out 1)" = "$1" ] && [ "$(is_out 2)" = "$1" ]
}
# change INDEX STATE: leaves the version that the change got in $run/change.INDEX
change() {
    curl -fsS -X POST "http://${entry_http[$1]}/v1/failure-domains/fd-b/$2" | grep -oE '"version":[0-9]+' | cut -d: -f2 >"$run/change.$1"
}
for ((round = 1; round <= rounds; ++round)); do
    change 0 out &
    first=$!
    change 1 in &
    second=$!
    check "round $round: the first operator's change is accepted" wait "$first"
    check "round $round: the second operator's change is accepted" wait "$second"
    last=false
    [ "$(cat "$run/change.0")" -lt "$(cat "$run/change.1")" ] || last=true
    check "round $round: the later change is in force at every entry within 5 s" wait_for 5 all_say_out "$last"
done
"$banyanlock" failure-domain in fd-b >/dev/null
job=$("$banyanlock" job submit "$root/samples/job-long.json")
job_is() {
    "$banyanlock" job show "$job" --json | grep -q "\"state\":\"$1\""
}
check "work goes on" wait_for 10 job_is running
"$banyanlock" job cancel "$job" >/dev/null
check "the job is cancelled" wait_for 10 job_is cancelled
is_forgotten() {
    local index
    for index in 0 1 2; do
        "$banyanlock" job show "$job" --entries "${entry_http[$index]}" >"$run/show.out" 2>&1 || true
        grep -q "error 1008" "$run/show.out" || return 1
    done
    curl -fsS "http://127.0.0.1:$table_port/v1/rows?tables=jobs&since=0" | grep -q '"rows":\[\]'
}
check "the ended job is erased and forgotten by all entries" wait_for 15 is_forgotten
