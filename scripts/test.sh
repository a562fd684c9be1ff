#!/usr/bin/env bash
# Builds and runs every test. Ends with a list of the failed tests, if there are any, and with
# "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh || { echo "FAILED build"; echo "0 passed, 1 failed"; exit 1; }
build="${BUILD_DIR:-build}"
passed=0
failed=0
failures=()
skip_list=KNOWN-RED.txt

# Runs one CppUTest program and counts its tests from the summary line.
run_program() {
    local output code ran bad
    output="$("$1" 2>&1)"
    code=$?
    echo "$output" | tail -n 40
    ran=$(echo "$output" | sed -nE 's/.*\(.*[ (]([0-9]+) ran.*/\1/p' | tail -n 1)
    bad=$(echo "$output" | sed -nE 's/^Errors \(([0-9]+) failures.*/\1/p' | tail -n 1)
    ran=${ran:-0}
    bad=${bad:-0}
    if [ "$code" -ne 0 ] && [ "$bad" -eq 0 ]; then bad=1; ran=$((ran + 1)); fi
    passed=$((passed + ran - bad))
    failed=$((failed + bad))
    [ "$bad" -eq 0 ] || failures+=("$(basename "$1") (exit code $code):"$'\n'"$(echo "$output" | grep -A 4 'error: Failure in ' || echo "$output" | tail -n 20)")
}

run_script() {
    local output
    output="$(mktemp)"
    if BUILD_DIR="$build" bash "$1" 2>&1 | tee "$output"; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        failures+=("$1:"$'\n'"$(tail -n 40 "$output")")
    fi
    rm -f "$output"
}

for program in "$build"/*_tests; do
    echo "== $(basename "$program")"
    run_program "$program"
done
for script in tests/process/*_test.sh; do
    [ -e "$script" ] || continue
    if [ -f "$skip_list" ] && grep -q "$script" "$skip_list"; then
        echo "== $script: listed in $skip_list, not counted"
        continue
    fi
    echo "== $script"
    run_script "$script"
done
for failure in "${failures[@]}"; do printf 'FAILED %s\n' "$failure"; done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
