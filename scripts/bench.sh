#!/usr/bin/env bash
# Builds everything and runs one benchmark: scripts/bench.sh NAME [FLAGS].
set -euo pipefail
cd "$(dirname "$0")/.."
names=$(find bench -name '*_main.cpp' -exec basename {} _main.cpp \; | sort | tr '\n' ' ')
if [ "$#" -eq 0 ] || [[ " $names" != *" $1 "* ]]; then
    echo "usage: scripts/bench.sh NAME [FLAGS], NAME is one of: $names" >&2
    exit 2
fi
name="$1"
shift
# The forward benchmark starts its own processes.
if [ "$name" = forward ]; then exec scripts/bench_forward.sh "$@"; fi
# The build reports to stderr, so that stdout holds only the figures.
scripts/build.sh >&2
exec "${BUILD_DIR:-build}/$name" "$@"
