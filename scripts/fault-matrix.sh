#!/usr/bin/env bash
# Builds and runs the fault matrix. Prints "step, fault, result, unavailable ms"
# for each cell, then the totals; fails when a cell fails.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${BUILD_JOBS:-4}" --target fault_matrix >/dev/null
exec "$build/fault_matrix"
