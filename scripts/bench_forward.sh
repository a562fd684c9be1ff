#!/usr/bin/env bash
# Measures the cost of a forwarded request: three hosts, one client, one run.
# Arguments go to build/forward (for example --json).
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null || { echo "the build failed; run scripts/build.sh"; exit 1; }
BASE_PORT=22000
source scripts/cluster.sh

start_store
for host in 1 2 3; do
    write_settings "$host" "zone-$host"
    start_node "$host"
    # More slots than the benchmark's concurrency, so that no request waits for a slot.
    start_target "$host" ladder-front --slots 64 --checks_fences=false
done
await_state 1 '"lease_running": ?true' 20 || exit 1
operator 1 rules submit examples/ladderdesk.rules --base 0 --operator bench >/dev/null 2>&1 || exit 1
for host in 1 2 3; do await_serving "$host" || exit 1; done
# Waits for the end of the slow start, after which a target gets its full share of requests.
sleep 11

for key in $(seq 1 200); do
    owner=$(operator 1 keys owner ladder-front "bench-$key" --json | sed -nE 's/.*"host": ?"host([0-9]+)".*/\1/p')
    [ "$owner" = 1 ] && break
done
[ "$owner" = 1 ] || { echo "host 1 owns none of 200 keys"; exit 1; }
"$BUILD_DIR/forward" --direct "$(target_address 1)" --local "$(client_address 1)" \
    --remote "$(client_address 2)" --path "/ladders/bench-$key/standings" \
    --local_pid "${PIDS[node1]}" --remote_pid "${PIDS[node2]}" --target_pid "${PIDS[target1]}" "$@"
