#!/usr/bin/env bash
# Guards against requests to a target that had left: it deregistered, its sidecar was killed and
# started again, and the new process took a late heartbeat of the target for its present state.
set -uo pipefail
cd "$(dirname "$0")/../.."
build="${BUILD_DIR:-build}"
work="$(mktemp -d)"
declare -A pids
finish() {
    disown -a
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap finish EXIT
fail() { echo "leaving target test: $1"; tail -n 5 "$work"/*.log; exit 1; }

# Below the ephemeral port range of the system, whose first port is 32768.
base=$((29000 + ($$ % 90) * 40))
port() { echo "127.0.0.1:$((base + $1 * 10 + $2))"; }

cat >"$work/manifest.json" <<JSON
{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","ruleSet":[
{"name":"write","routeType":"unsafe","targetLatencyMs":300,"priority":0,"match":{"prefix":"/desk/"},"action":{"service":"desk","timeoutMs":1000,"maxAttempts":2}}]}],
"clusters":[{"name":"desk","healthPath":"/health","maxConnections":100}]}
JSON

start_sidecar() {
    cat >"$work/$1.json" <<JSON
{"host":"h$1","zone":"z$1","service":"desk","target":"$(port "$1" 5)","store":"$(port 0 0)","descriptors":4100,"processor_share":1,
"addresses":{"requests":"$(port "$1" 1)","ready":"$(port "$1" 2)","control":"$(port "$1" 3)","inner":"$(port "$1" 4)","metrics":"$(port "$1" 6)"},
"bounds":{"drain_ms":2000,"grace_s":6,"longest_hold_ms":10000,"retry_ratio":0.2,"retry_slack":50,"retry_window_s":10}}
JSON
    "$build/bulrushgw" sidecar --config "$work/$1.json" >>"$work/$1.$2.log" 2>&1 &
    pids[$1]=$!
}
# await_line FILE PATTERN: fails after 10 s
await_line() {
    for _ in $(seq 100); do
        if grep -q "$2" "$1" 2>/dev/null; then return 0; fi
        sleep 0.1
    done
    return 1
}

"$build/standin_platform" --store="$(port 0 0)" --manifest="$work/manifest.json" --late_heartbeat_ms=2000 \
    --targets="$(port 1 5)/$(port 1 3)/desk,$(port 2 5)/$(port 2 3)/desk" >"$work/platform.log" 2>&1 &
pids[0]=$!
for host in 1 2; do start_sidecar "$host" first; done
for host in 1 2; do
    await_line "$work/$host.first.log" '"accepts":true' || fail "target $host is not used after the start"
done

kill -HUP "${pids[0]}"
await_line "$work/1.first.log" '"phase":2' || fail "the deregistration did not arrive"
kill -KILL "${pids[1]}"
wait "${pids[1]}" 2>/dev/null
start_sidecar 1 second
await_line "$work/1.second.log" '"event":"target_changed"' || await_line "$work/1.second.log" target_checked ||
    fail "the new process did not notice its target"
sleep 3
if grep '"accepts":true' "$work/1.second.log"; then fail "the target that left is used again"; fi

# Its host still answers requests, by means of the other target.
for try in $(seq 50); do
    status=$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "Request-Id: w-$try" \
        -H "Deadline-Ms: 1000" "http://$(port 1 1)/desk/x")
    [ "$status" = 200 ] && break
    sleep 0.1
done
[ "$status" = 200 ] || fail "the other target is not used"
echo "leaving target test: passed"
