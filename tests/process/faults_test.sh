#!/usr/bin/env bash
# Real processes on loopback under load: a host killed while the store is down, a
# node paused for longer than its lease, a target frozen and resumed. Checks the guarantees:
# no request runs twice, no request is run by a non-owner, no request that was reported as
# not run did run, and every key is served again.
set -uo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=23000
source scripts/cluster.sh

fail() { echo "faults_test: $1"; exit 1; }
hosts=(1 2 3 4 5 6)
zones=(zone-a zone-b zone-c)

start_store
for host in "${hosts[@]}"; do
    write_settings "$host" "${zones[$((host % 3))]}" 1
    start_node "$host"
    if [ $((host % 2)) -eq 0 ]; then fences=true; else fences=false; fi
    start_target "$host" ladder-front --slots 6 --delay_ms 5 --checks_fences="$fences"
done
await_state 1 '"lease_running": ?true' 20 || fail "no lease"
operator 1 rules submit tests/process/one-service.rules --base 0 --operator test >/dev/null 2>&1 || fail "rules were not accepted"
for host in "${hosts[@]}"; do await_serving "$host" 30 || fail "host $host does not serve"; done

start_process load "$BUILD_DIR/load" --nodes "$(client_address 2),$(client_address 5)" \
    --deployment ladder-front --seconds 30 --rate 200 --records "$WORK/records.jsonl"
sleep 2

store_control '{"outage": true}' || fail "the store stand-in did not accept the outage command"
kill_mark=$(boot_ms)
kill_process node1
kill_process target1
sleep 5
store_control '{"outage": false}'
sleep 3

pause_mark=$(boot_ms)
signal_process node3 STOP
sleep 4
signal_process node3 CONT
sleep 5

# Host 4 has a target that checks fences. No fault is injected into host 6.
frozen_mark=$(boot_ms)
signal_process target4 STOP
sleep 4
signal_process target4 CONT

await_process load || fail "the load generator failed"
for host in 2 3 4 5 6; do await_serving "$host" 30 || fail "host $host does not serve again"; done
"$BUILD_DIR/load" --report --records "$WORK/records.jsonl" --runs "$(all_run_logs)" \
    --marks "kill with the store down=$kill_mark,pause=$pause_mark,frozen target=$frozen_mark" || fail "a guarantee was violated"
