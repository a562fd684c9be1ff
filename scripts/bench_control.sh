#!/usr/bin/env bash
# Cost of control traffic between node processes without client load, for several cluster
# sizes: bytes between nodes, processor time and memory per node, store calls in total.
# Usage: scripts/bench_control.sh [SIZE...]
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null || { echo "the build failed; run scripts/build.sh"; exit 1; }
[ "$#" -gt 0 ] || set -- 6 12 24 48
BASE_PORT=25000
sample_seconds=10
ticks=$(getconf CLK_TCK)

# metric NUMBER NAME-WITH-LABELS: prints one value from the metrics page of a node
metric() {
    exec 9<>"/dev/tcp/127.0.0.1/$(cluster_port "$1" 2)"
    printf 'GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n' >&9
    grep -F "$2 " <&9 | awk '{print $NF}'
    exec 9<&-
}
sum() { awk '{total += $1} END {printf "%.0f", total}'; }
cpu_ticks() { awk '{sub(/.*\) /, ""); print $12 + $13}' "/proc/$1/stat"; }
sample() {
    local host
    for host in $(seq 1 "$1"); do
        case "$2" in
        sent) metric "$host" 'bulrushgw_peer_bytes_total{direction="sent"}' ;;
        received) metric "$host" 'bulrushgw_peer_bytes_total{direction="received"}' ;;
        reads) metric "$host" 'bulrushgw_store_calls_total{kind="read"}' ;;
        writes) metric "$host" 'bulrushgw_store_calls_total{kind="write"}' ;;
        cpu) cpu_ticks "${PIDS[node$host]}" ;;
        rss) awk '/VmRSS/ {print $2}' "/proc/${PIDS[node$host]}/status" ;;
        esac
    done | sum
}

printf '%6s %14s %14s %12s %10s %14s %14s\n' nodes "sent B/s" "received B/s" "core %" "RSS MB" "reads/s (all)" "writes/s (all)"
for size in "$@"; do
    source scripts/cluster.sh
    start_store
    for host in $(seq 1 "$size"); do
        write_settings "$host" "zone-$((host % 3))"
        start_node "$host"
        start_target "$host" ladder-front --checks_fences=false
    done
    await_state 1 '"lease_running": ?true' 30 || exit 1
    operator 1 rules submit examples/ladderdesk.rules --base 0 --operator bench >/dev/null 2>&1 || exit 1
    for host in $(seq 1 "$size"); do await_serving "$host" 60 || exit 1; done
    sleep 5
    declare -A before=()
    for kind in sent received reads writes cpu; do before[$kind]=$(sample "$size" "$kind"); done
    sleep "$sample_seconds"
    declare -A change=()
    for kind in sent received reads writes cpu; do change[$kind]=$(($(sample "$size" "$kind") - before[$kind])); done
    awk -v n="$size" -v s="$sample_seconds" -v hz="$ticks" -v rss="$(sample "$size" rss)" \
        -v sent="${change[sent]}" -v received="${change[received]}" -v cpu="${change[cpu]}" \
        -v reads="${change[reads]}" -v writes="${change[writes]}" 'BEGIN {
        printf "%6d %14.0f %14.0f %12.2f %10.1f %14.1f %14.1f\n", n, sent / n / s, received / n / s,
            cpu / hz / n / s * 100, rss / n / 1024, reads / s, writes / s }'
    stop_cluster
    WORK=""
done
