#!/usr/bin/env bash
# Demonstrates the main functions on loopback: ten hosts of the example deployment Ladderdesk
# in three availability zones, rules, load, a lost host, a planned restart, and an edit of
# the rules. Exits with 1 when a guarantee was violated.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null || { echo "the build failed; run scripts/build.sh"; exit 1; }
source scripts/cluster.sh

fail() { echo "demo: $1"; exit 1; }
zones=(nbo-a nbo-b nbo-c)
hosts=(1 2 3 4 5 6 7 8 9 10)
service_of() { if [ "$1" -le 7 ]; then echo ladder-front; else echo results-desk; fi; }

start_host() {
    start_node "$1"
    # Even hosts have targets that check fences, odd hosts have targets that do not.
    if [ $(($1 % 2)) -eq 0 ]; then fences=true; else fences=false; fi
    start_target "$1" "$(service_of "$1")" --slots 6 --delay_ms 3 --checks_fences="$fences"
}

echo "starting the store and ten hosts in three availability zones"
start_store
for host in "${hosts[@]}"; do
    write_settings "$host" "${zones[$((host % 3))]}"
    start_host "$host"
done
await_state 1 '"lease_running": ?true' 20 || fail "no lease"
operator 1 rules submit examples/ladderdesk.rules --base 0 --operator demo || fail "rules were not accepted"
for host in "${hosts[@]}"; do await_serving "$host" 30 || fail "host $host does not serve"; done
operator 2 keys owner ladder-front key-1

echo "sending 300 requests/s through four nodes for 22 s"
start_process load "$BUILD_DIR/load" --nodes "$(client_address 2),$(client_address 5),$(client_address 8),$(client_address 9)" \
    --seconds 22 --rate 300 --records "$WORK/records.jsonl"
sleep 3

echo "killing host 1"
kill_mark=$(boot_ms)
kill_process node1
kill_process target1
sleep 5

echo "restarting host 3 by a planned stop"
stop_mark=$(boot_ms)
signal_process node3 TERM
await_process node3 || fail "the planned stop of host 3 was not graceful"
signal_process target3 TERM
await_process target3 || true
start_host 3
await_serving 3 20 || fail "host 3 does not serve after its restart"

echo "submitting the second version of the rules"
rules_mark=$(boot_ms)
operator 4 rules submit examples/ladderdesk-2.rules --base 1 --operator demo || fail "rules were not accepted"
for host in 2 3 4 5 6 7 8 9 10; do await_rules "$host" 2 || fail "rules are not in force on host $host"; done
rules_ms=$(($(boot_ms) - rules_mark))

await_process load || fail "the load generator failed"
for host in 2 3 4 5 6 7 8 9 10; do signal_process "node$host" TERM; done
for host in 2 3 4 5 6 7 8 9 10; do signal_process "target$host" TERM; done

echo
"$BUILD_DIR/load" --report --records "$WORK/records.jsonl" --runs "$(all_run_logs)" \
    --marks "kill=$kill_mark,stop=$stop_mark"
code=$?
printf '%-34s%s\n' "rules in force everywhere, ms" "$rules_ms"
[ "$rules_ms" -le 5000 ] || { echo "rules took longer than 5 s"; code=1; }
exit "$code"
