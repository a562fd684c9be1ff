#!/usr/bin/env bash
# Targets that warm up, with real processes: two sidecars, and the store and targets of the platform
# stand-in. Guards against a cold target that gets more requests and health checks in a second than
# the hard bound allows, also when a sidecar is killed and started again, against one that gets none,
# and against a limit that stays after the warm-up.
set -uo pipefail
cd "$(dirname "$0")/../.."
build="${BUILD_DIR:-build}"
work="$(mktemp -d)"
declare -A pids
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap finish EXIT
fail() { echo "warm-up test: $1"; tail -n 5 "$work"/*.log; exit 1; }

# Below the ephemeral ports of the system, and beside those of the other tests.
base=$((29000 + ($$ % 120) * 30))
port() { echo "127.0.0.1:$((base + $1 * 10 + $2))"; }
hard_bound=26

cat >"$work/manifest.json" <<JSON
{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","ruleSet":[
{"name":"write","routeType":"unsafe","targetLatencyMs":300,"priority":0,"match":{"prefix":"/desk/"},"action":{"service":"desk","timeoutMs":1000,"maxAttempts":2}}]}],
"clusters":[{"name":"desk","healthPath":"/health","maxConnections":100,"warmupS":8,"warmupPerS":12}]}
JSON

start_sidecar() {
    cat >"$work/$1.json" <<JSON
{"host":"h$1","zone":"z","service":"desk","target":"$(port "$1" 5)","store":"$(port 0 0)","descriptors":4100,"processor_share":1,
"addresses":{"requests":"$(port "$1" 1)","ready":"$(port "$1" 2)","control":"$(port "$1" 3)","inner":"$(port "$1" 4)","metrics":"$(port "$1" 6)"},
"bounds":{"drain_ms":2000,"grace_s":6,"longest_hold_ms":10000,"retry_ratio":0.2,"retry_slack":50,"retry_window_s":10,"warm_up_overage":1.5,"warm_up_slack":8}}
JSON
    "$build/bulrushgw" sidecar --config "$work/$1.json" >>"$work/$1.log" 2>&1 &
    pids[$1]=$!
}

"$build/standin_platform" --store="$(port 0 0)" --manifest="$work/manifest.json" --warm_up_ms=8000 \
    --targets="$(port 1 5)/$(port 1 3)/desk,$(port 2 5)/$(port 2 3)/desk" >"$work/platform.log" 2>&1 &
pids[0]=$!
for host in 1 2; do start_sidecar "$host"; done

# send_burst LABEL: sends 100 requests through host 2, 20 at a time.
send_burst() {
    seq 100 | xargs -P 20 -I{} curl -s -m 2 -o /dev/null -H "Host: h.example" \
        -H "Request-Id: $1-{}" -H "Deadline-Ms: 1000" "http://$(port 2 1)/desk/x"
}
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(port "$1" 2)/v1/ready")" = 200 ]; }
await() {
    for _ in $(seq 150); do
        "$@" && return 0
        sleep 0.1
    done
    return 1
}
is_warm() {
    local metrics
    metrics="$(curl -s "http://$(port "$1" 6)/metrics")"
    grep -qx 'bulrushgw_target_cold 0' <<<"$metrics"
}

# The window of a new process begins filled, so the bursts must last longer than the window of 1.1 s.
await ready 2 || fail "the node is not ready"
for round in 1 2 3; do send_burst "cold-$round"; sleep 0.5; done
kill -KILL "${pids[1]}"
start_sidecar 1
for round in 4 5 6; do send_burst "cold-$round"; sleep 0.5; done
for host in 1 2; do await is_warm "$host" || fail "the target of host $host stays limited"; done
for host in 1 2; do
    await grep -q '"event":"target_warm"' "$work/$host.log" || fail "no log line tells that the target is warm"
done
metrics="$(curl -s "http://$(port 2 6)/metrics")"
grep -qx 'bulrushgw_warm_up_refusals_total 0' <<<"$metrics" && fail "no request was refused"
kill -TERM "${pids[0]}"
wait "${pids[0]}"
unset 'pids[0]'
summary=$(tail -n 1 "$work/platform.log")
echo "warm-up test: $summary"
cold_second=$(sed -E 's/.* cold_second=([0-9]+) .*/\1/' <<<"$summary")
[ "$cold_second" -le "$hard_bound" ] || fail "$cold_second requests reached a cold target in a second"
[ "$cold_second" -ge 10 ] || fail "the cold targets got hardly any request"
case "$summary" in *" repeated=0 "*) ;; *) fail "a request ran twice" ;; esac
