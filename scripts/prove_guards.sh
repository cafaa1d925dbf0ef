#!/usr/bin/env bash
# Shows that the tests notice each guard's absence: builds the test programs once for every guard of src/core/Guard.h without it, and expects
# them to fail. Usage: scripts/prove_guards.sh [GUARD_NUMBER...]
set -euo pipefail
cd "$(dirname "$0")/.."
tests=(${BANYANLOCK_GUARD_TESTS:-contract_test dispatch_test schedule_test})
guards=("$@")
if [ "${#guards[@]}" = 0 ]; then
    mapfile -t guards < <(grep -oE '= [1-9][0-9]*,' src/core/Guard.h | tr -dc '0-9\n')
fi
unnoticed=0
for guard in "${guards[@]}"; do
    dir=build/guard-$guard
    name=$(grep -E "= $guard," src/core/Guard.h | awk '{print $1}')
    cmake -S . -B "$dir" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DBANYANLOCK_ASSERTS=${BANYANLOCK_ASSERTS:-OFF} \
        -DBANYANLOCK_DISABLED_GUARD="$guard" -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
    cmake --build "$dir" --target "${tests[@]}" >/dev/null 2>&1
    noticed=""
    for test in "${tests[@]}"; do
        if ! output=$("$dir/tests/$test" --color_output=no 2>&1); then
            failures=$(grep -cE 'error: in' <<<"$output" || true)
            first=$(grep -m1 -oE '(error: in .*|invariant violated.*|fatal error.*)' <<<"$output" | cut -c1-160)
            noticed="$noticed $test: $failures failures; $first"
        fi
    done
    rm -rf "$dir"
    if [ -z "$noticed" ]; then
        unnoticed=$((unnoticed + 1))
        echo "guard $guard $name: NOT NOTICED"
    else
        echo "guard $guard $name:$noticed"
    fi
done
echo "$((${#guards[@]} - unnoticed)) noticed, $unnoticed not noticed"
[ "$unnoticed" = 0 ]
