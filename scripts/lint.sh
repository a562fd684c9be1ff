#!/usr/bin/env bash
# Runs clang-tidy over the shipped sources, or over the files that are given.
# A file that passed is checked again only after a change of that file, a project header or
# the configuration.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
stamps="$build/lint"
mkdir -p "$stamps"
if [ "$#" -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'bench/*.cpp'); fi
common=$(git ls-files --cached --others --exclude-standard '*.h' .clang-tidy | sort | xargs cat | sha256sum | cut -c1-16)
export build stamps common
lint_file() {
    local stamp
    stamp="$stamps/$(cat "$1" | sha256sum | cut -c1-16)-$common"
    [ -e "$stamp" ] && return 0
    clang-tidy -p "$build" --quiet "$1" 2>/dev/null && touch "$stamp"
}
export -f lint_file
printf '%s\0' "${files[@]}" | xargs -0 -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_file "$1" || { echo "lint failed: $1"; exit 1; }' _ {}
