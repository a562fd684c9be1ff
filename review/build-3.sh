#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and later start, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build target/review-3 -j6 --target store_drill late_heartbeat forgotten_release
