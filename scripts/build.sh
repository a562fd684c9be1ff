#!/usr/bin/env bash
# Installs what is missing and builds everything into build/ (or BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
build="${BUILD_DIR:-build}"
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build" -j "${BUILD_JOBS:-$(nproc)}"
