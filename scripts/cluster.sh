# Starts daemons and stand-ins on loopback; to be sourced. Everything that was started is stopped at exit.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BANYANLOCK_BUILD:-$root/build/test}
banyanlock=$build/src/banyanlock
standins=$build/standins/banyanlock-standins
run=$(mktemp -d)
port_base=${BANYANLOCK_PORT_BASE:-21000}
declare -A process_ids=()

table_port=$((port_base + 1))
object_port=$((port_base + 3))
domains=(a b c)
entry_http=() entry_rpc=()
for index in 0 1 2; do
    entry_http+=("127.0.0.1:$((port_base + 100 + index))")
    entry_rpc+=("127.0.0.1:$((port_base + 110 + index))")
done
export BANYANLOCK_ENTRIES
BANYANLOCK_ENTRIES=$(IFS=,; echo "${entry_http[*]}")

# start NAME COMMAND...: runs a process in the background, with its output in $run/NAME.log
start() {
    local name=$1
    shift
    "$@" >>"$run/$name.log" 2>&1 &
    process_ids[$name]=$!
}

# signal NAME SIGNAL: signals a process that was started here
signal() {
    kill "-$2" "${process_ids[$1]}"
}

# stop NAME: graceful shutdown; fails unless the process ends with 0
stop() {
    signal "$1" TERM
    local code=0
    wait "${process_ids[$1]}" || code=$?
    unset "process_ids[$1]"
    return "$code"
}

stop_all() {
    local name
    for name in "${!process_ids[@]}"; do
        kill -CONT "${process_ids[$name]}" 2>/dev/null || true
        kill -KILL "${process_ids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$run"
}
trap stop_all EXIT

# wait_for SECONDS COMMAND...: repeats a command until it succeeds
wait_for() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$deadline" ]; then
            echo "timed out waiting for: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

# fault CONTROL_PORT KIND [MS]: sets a fault of a stand-in
fault() {
    curl -fsS -X POST "http://127.0.0.1:$1/fault?kind=$2&ms=${3:-0}" >/dev/null
}

start_platform() {
    start table "$standins" table --listen "127.0.0.1:$table_port" --control "127.0.0.1:$((table_port + 1))"
    start objects "$standins" objects --listen "127.0.0.1:$object_port" --control "127.0.0.1:$((object_port + 1))"
    wait_for 5 curl -fsS "http://127.0.0.1:$((table_port + 1))/rows"
    wait_for 5 curl -s "http://127.0.0.1:$object_port/none"
    local index
    for index in 0 1 2; do
        start "workers-${domains[$index]}" "$standins" workers --failure-domain "fd-${domains[$index]}" --count 3 \
            --listen "127.0.0.1:$((port_base + 300 + 20 * index))" \
            --table-url "http://127.0.0.1:$table_port" --object-url "http://127.0.0.1:$object_port"
    done
}

write_entry_settings() {
    local index=$1 peers=() other
    for other in 0 1 2; do
        [ "$other" = "$index" ] || peers+=("${entry_rpc[$other]}")
    done
    cat >"$run/entry-${domains[$index]}.yaml" <<YAML
name: entry-${domains[$index]}
failure_domain: fd-${domains[$index]}
region: region-${domains[$index]}
http_address: ${entry_http[$index]}
rpc_address: ${entry_rpc[$index]}
table_url: http://127.0.0.1:$table_port
peers: [$(IFS=,; echo "${peers[*]}")]
${ENTRY_SETTINGS:-}
YAML
}

start_entry() {
    write_entry_settings "$1"
    start "entry-${domains[$1]}" "$banyanlock" entry --settings "$run/entry-${domains[$1]}.yaml"
}

# backend_control INDEX: control port of a backend server
backend_control() {
    echo $((port_base + 201 + 10 * $1))
}

# start_agent INDEX [SERVICE_TIME_US]: a backend server with its agent; agents 0, 1 and 2 are in failure domains a, b and c, and so on
start_agent() {
    local index=$1 domain=${domains[$(($1 % 3))]} base=$((port_base + 200 + 10 * $1))
    start "backend-$index" "$standins" backend --listen "127.0.0.1:$base" --control "127.0.0.1:$((base + 1))" --service-time-us "${2:-2000}"
    cat >"$run/agent-$index.yaml" <<YAML
name: agent-$index
failure_domain: fd-$domain
region: region-$domain
service: quote
rpc_address: 127.0.0.1:$((base + 2))
backend_address: 127.0.0.1:$base
entries: [$(IFS=,; echo "${entry_rpc[*]}")]
YAML
    start "agent-$index" "$banyanlock" agent --settings "$run/agent-$index.yaml"
}

is_ready() {
    curl -fsS "http://$1/readyz"
}

start_entries() {
    local index
    for index in 0 1 2; do
        start_entry "$index"
    done
    for index in 0 1 2; do
        wait_for 10 is_ready "${entry_http[$index]}"
    done
}

# cells_are_owned: whether every failure domain's cell has an owner
cells_are_owned() {
    [ "$("$banyanlock" failure-domain list --json | grep -o '"owner":"entry-[abc]"' | wc -l)" = 3 ]
}

# load NAME ENTRY_INDEX REQUESTS CALLERS [OPTION...]: sends a load; outcomes go to $run/NAME.outcomes, figures to $run/NAME.json
load() {
    local name=$1 entry=$2 requests=$3 callers=$4
    shift 4
    "$standins" load --targets "${entry_http[$entry]}" --requests "$requests" --callers "$callers" --prefix "$name" \
        --outcomes "$run/$name.outcomes" "$@" >"$run/$name.json"
}

# runs_to FILE AGENT_COUNT: writes each body that the backend servers ran, with its number of runs
runs_to() {
    local index
    for ((index = 0; index < $2; ++index)); do
        curl -fsS "http://127.0.0.1:$(backend_control "$index")/runs" || true
        echo
    done | grep -oE '"[^"]+":[0-9]+' | tr -d '"' | awk -F: '{runs[$1] += $2} END {for (body in runs) print body, runs[body]}' >"$1"
}

# check_runs RUNS_FILE OUTCOMES_FILE...: fails if a body ran twice, or ran although its outcome was not_run
check_runs() {
    local runs_file=$1
    shift
    awk 'NR == FNR {runs[$1] = $2; next}
         runs[$2] > 1 {print "ran " runs[$2] " times: " $2; bad = 1}
         $1 == "not_run" && runs[$2] > 0 {print "refused as not run, but ran: " $2; bad = 1}
         $1 == "answered" && runs[$2] != 1 {print "answered, but ran " runs[$2] + 0 " times: " $2; bad = 1}
         $1 == "wrong" {print "wrong answer: " $2; bad = 1}
         END {exit bad}' "$runs_file" "$@"
}

# worker_reports DOMAIN: what the workers of failure domain a, b or c say of their tasks
worker_reports() {
    local index worker
    case $1 in a) index=0 ;; b) index=1 ;; c) index=2 ;; esac
    for worker in 0 1 2; do
        curl -fsS "http://127.0.0.1:$((port_base + 301 + 20 * index + 2 * worker))/tasks"
        echo
    done
}

# running_tasks DOMAIN: tasks that its workers run
running_tasks() {
    worker_reports "$1" | { grep -o '"[^"]*/[0-9]*/[0-9]*"' || true; } | wc -l
}

# starts DOMAIN: tasks that its workers have ever started
starts() {
    worker_reports "$1" | grep -o '"starts":[0-9]*' | awk -F: '{total += $2} END {print total}'
}

# field FILE NAME: a number of a load's figures
field() {
    grep -oE "\"$2\":[0-9.]+" "$1" | cut -d: -f2
}

# check DESCRIPTION COMMAND...: fails the test unless the command succeeds
check() {
    local description=$1
    shift
    if "$@"; then
        echo "ok: $description"
    else
        echo "FAILED: $description" >&2
        tail -n 5 "$run"/*.log >&2 || true
        exit 1
    fi
}

# wait_until_served: waits until the contract of quotes is in force at all entries and they know an agent
wait_until_served() {
    local index
    echo -n ready >"$run/ready.txt"
    for index in 0 1 2; do
        wait_for 10 "$banyanlock" request quote "$run/ready.txt" --workspace quotes --idempotent --entries "${entry_http[$index]}"
    done
}

# start_system AGENTS [SERVICE_TIME_US]: everything, with the sample contracts
start_system() {
    start_platform
    start_entries
    local index
    for ((index = 0; index < $1; ++index)); do
        start_agent "$index" "${2:-2000}"
    done
    wait_for 15 cells_are_owned
    "$banyanlock" contract put "$root/samples/contract-quotes.json" >/dev/null
    "$banyanlock" contract put "$root/samples/contract-audits.json" >/dev/null
    wait_until_served
}
