#!/usr/bin/env bash
# Guards against failures of the second example deployment during a planned stop of an orders
# host under load. Six hosts serve catalogue and three serve orders, in three availability zones.
# Both services are keyed. No booking or deposit may run twice.
set -uo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=27000
REGION=lk-central
source scripts/cluster.sh

fail() { echo "hima_kalapu_test: $1"; exit 1; }
zones=(lk-a lk-b lk-c)
hosts=(1 2 3 4 5 6 7 8 9)
service_of() { if [ "$1" -le 6 ]; then echo catalogue; else echo orders; fi; }

start_store
for host in "${hosts[@]}"; do
    write_settings "$host" "${zones[$((host % 3))]}"
    start_node "$host"
    if [ $((host % 2)) -eq 0 ]; then fences=true; else fences=false; fi
    start_target "$host" "$(service_of "$host")" --slots 12 --delay_ms 3 --checks_fences="$fences"
done
await_state 1 '"lease_running": ?true' 20 || fail "no lease"
operator 1 rules submit examples/hima-kalapu.rules --base 0 --operator test >/dev/null 2>&1 || fail "rules were not accepted"
for host in "${hosts[@]}"; do await_serving "$host" 30 || fail "host $host does not serve"; done

start_process load "$BUILD_DIR/load" --nodes "$(client_address 2),$(client_address 9)" \
    --deployment hima-kalapu --seconds 10 --rate 200 --records "$WORK/records.jsonl"
sleep 3
stop_mark=$(boot_ms)
signal_process node8 TERM
await_process node8 || fail "the planned stop was not graceful"
kill_process target8
await_process load || fail "the load generator failed"
"$BUILD_DIR/load" --report --records "$WORK/records.jsonl" --runs "$(all_run_logs)" \
    --marks "planned stop=$stop_mark" | tee "$WORK/report"
[ "${PIPESTATUS[0]}" -eq 0 ] || fail "a guarantee was violated"
unanswered=$(awk '/^(refused|outcome unknown|no answer)/ {total += $NF} END {print total + 0}' "$WORK/report")
if [ "$unanswered" -ne 0 ]; then
    grep -v '"outcome":"answered"' "$WORK/records.jsonl"
    tail -n 4 "$WORK"/node*.log
    fail "$unanswered requests were not answered, although the only stop was planned"
fi
