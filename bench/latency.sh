#!/usr/bin/env bash
# Time that entry and agent add to a call: the same calls straight to the backend stand-in and through entry and agent, in one run.
# Usage: bench/latency.sh, after scripts/build.sh release
set -euo pipefail
export BANYANLOCK_BUILD=${BANYANLOCK_BUILD:-$(cd "$(dirname "$0")/.." && pwd)/build/release}
export BANYANLOCK_PORT_BASE=24000
source "$(dirname "$0")/../scripts/cluster.sh"
start_system 1 0
# One agent with slots enough for all callers, so that only the way is measured and not the wait for a slot.
stop agent-0
sed -i '$a slots: 512\nqueue_slots: 0\nconnections: 512' "$run/agent-0.yaml"
start agent-0 "$banyanlock" agent --settings "$run/agent-0.yaml"
wait_for 10 "$banyanlock" request quote "$run/ready.txt" --workspace quotes --idempotent --entries "${entry_http[0]}"
sleep 1
memory() {
    awk '/VmRSS/ {print $2 / 1024}' "/proc/${process_ids[$1]}/status"
}
idle_entry=$(memory entry-a)
idle_agent=$(memory agent-0)
cpu_ticks() {
    awk '{print $14 + $15}' "/proc/${process_ids[$1]}/stat"
}
echo "| callers | kind | straight p50 ms | p99 ms | through p50 ms | p99 ms | added p50 ms | added p99 ms | ratio p50 | requests/s | entry requests/s per core |"
echo "|---|---|---|---|---|---|---|---|---|---|---|"
for callers in 1 32 256; do
    requests=$((callers == 1 ? 2000 : 8000))
    for kind in --idempotent ""; do
        BANYANLOCK_ENTRIES="" "$standins" load --targets "127.0.0.1:$((port_base + 200))" --path /quote --requests "$requests" \
            --callers "$callers" $kind >"$run/straight.json"
        ticks=$(cpu_ticks entry-a)
        load through 0 "$requests" "$callers" $kind
        ticks=$(($(cpu_ticks entry-a) - ticks))
        awk -v callers="$callers" -v kind="${kind:-must not run twice}" -v ticks="$ticks" -v requests="$requests" -v hertz="$(getconf CLK_TCK)" \
            -v s50="$(field "$run/straight.json" p50_ms)" -v s99="$(field "$run/straight.json" p99_ms)" \
            -v t50="$(field "$run/through.json" p50_ms)" -v t99="$(field "$run/through.json" p99_ms)" \
            -v rate="$(field "$run/through.json" per_second)" 'BEGIN {
                printf "| %d | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.1f | %.0f | %.0f |\n", callers, kind, s50, s99, t50, t99,
                    t50 - s50, t99 - s99, t50 / s50, rate, requests * hertz / (ticks > 0 ? ticks : 1)}'
    done
done
echo
echo "Idle memory: entry $idle_entry MB, agent $idle_agent MB (bound 64 MB each)."
