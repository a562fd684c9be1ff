#!/usr/bin/env bash
# Runs the socket and sidecar tests with freed memory overwritten, so that a use after free
# crashes. Guards against the use of sockets that h2o has freed.
set -euo pipefail
cd "$(dirname "$0")/../.."
build="${BUILD_DIR:-build}"
fill_byte=165
for program in net_tests sidecar_tests; do
    if ! output="$(MALLOC_PERTURB_=$fill_byte "$build/$program" 2>&1)"; then
        echo "$output" | tail -n 30
        echo "$program fails with freed memory overwritten"
        exit 1
    fi
done
echo "net_tests and sidecar_tests passed with freed memory overwritten"
