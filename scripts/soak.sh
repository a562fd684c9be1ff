#!/usr/bin/env bash
# Runs the soak test with the seeds FIRST to LAST, AT_A_TIME in parallel, and prints the seeds
# that violated a guarantee. Usage: scripts/soak.sh FIRST LAST [AT_A_TIME [OPTION...]], with options of
# the soak program, such as --store_returns.
set -uo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
first="$1"
last="$2"
at_a_time="${3:-4}"
options="${*:4}"
# Each seed uses 200 ports below the ephemeral port range of the system. Seeds that differ by a
# multiple of 60 use the same ports.
base_port_of() { echo $((12000 + $1 % 60 * 200)); }
run_seed() {
    local log
    log="$(mktemp)"
    if "$build/soak" --program="$build/bulrushgw" --seed="$1" --base_port="$(base_port_of "$1")" $options >"$log" 2>&1; then
        tail -n 1 "$log"
    else
        echo "seed $1 failed:"
        cat "$log"
    fi
    rm -f "$log"
}
export -f run_seed base_port_of
export build options
seq "$first" "$last" | xargs -P "$at_a_time" -I{} bash -c 'run_seed {}' | tee /dev/stderr |
    awk '/^seed=/ && /violations=0/ { good++ } /^seed [0-9]+ failed/ { bad = bad " " $2 }
         END { print good + 0 " seeds without violations; failed:" (bad ? bad : " none"); exit bad != "" }'
