#!/usr/bin/env bash
# Guards against stand-ins that do not stop: standin_store and standin_target must print their
# address and end with 0 within 100 ms of SIGTERM.
set -uo pipefail
cd "$(dirname "$0")/../.."
build="${BUILD_DIR:-build}"
output="$(mktemp)"
trap 'rm -f "$output"' EXIT
failed=0

check_stop() {
    local pid begin_ns took_ms code
    "$@" >"$output" &
    pid=$!
    for _ in $(seq 100); do
        grep -q '^listening on 127.0.0.1:[0-9]' "$output" && break
        sleep 0.02
    done
    grep -q '^listening on' "$output" || { echo "no address: $*"; failed=1; }
    begin_ns=$(date +%s%N)
    kill -TERM "$pid"
    wait "$pid"
    code=$?
    took_ms=$((($(date +%s%N) - begin_ns) / 1000000))
    echo "$1: exit code $code after $took_ms ms"
    [ "$code" -eq 0 ] && [ "$took_ms" -lt 100 ] || failed=1
}

check_stop "$build/standin_store" --listen=127.0.0.1:0
check_stop "$build/standin_target" --listen=127.0.0.1:0 --service=s --node=127.0.0.1:1
exit "$failed"
