#!/usr/bin/env bash
# Guards against keys that a new run of a target gets under the fence of the run before: the target
# crashes and starts again at once, under a new id or the same one, and its first heartbeat comes
# later than the next renewal. Guards also against keys that stay unserved afterwards.
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
fail() { echo "replaced_target_test: $1"; tail -n 5 "$work"/*.log; exit 1; }

restarts=4
base=$((15000 + ($$ % 100) * 60))
# port KIND HOST NUMBER: the two kinds of restarts run beside each other.
kinds=(new same)
port() { echo "127.0.0.1:$((base + $1 * 30 + $2 * 10 + $3))"; }

cat >"$work/manifest.json" <<JSON
{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","ruleSet":[
{"name":"read","routeType":"safe","targetLatencyMs":300,"priority":1,"match":{"prefix":"/ladder/"},"action":{"service":"ladder","timeoutMs":1000,"maxAttempts":2}}]}],
"clusters":[{"name":"ladder","healthPath":"/health","maxConnections":100,"sharded":true,"warmS":1}]}
JSON
start_kind() {
    local kind=$1
    "$build/standin_platform" --store="$(port "$kind" 0 0)" --manifest="$work/manifest.json" --on_hangup="${kinds[$kind]}" \
        --first_heartbeat_ms=870 --targets="$(port "$kind" 1 5)/$(port "$kind" 1 3)/ladder/sharded,$(port "$kind" 2 5)/$(port "$kind" 2 3)/ladder/sharded" \
        >"$work/platform-$kind.log" 2>&1 &
    pids[platform-$kind]=$!
    for host in 1 2; do
        cat >"$work/$kind-$host.json" <<JSON
{"host":"h$host","zone":"z","service":"ladder","target":"$(port "$kind" "$host" 5)","store":"$(port "$kind" 0 0)","descriptors":4100,"processor_share":1,
"addresses":{"requests":"$(port "$kind" "$host" 1)","ready":"$(port "$kind" "$host" 2)","control":"$(port "$kind" "$host" 3)","inner":"$(port "$kind" "$host" 4)","metrics":"$(port "$kind" "$host" 6)"},
"bounds":{"drain_ms":2000,"grace_s":6,"longest_hold_ms":10000,"retry_ratio":0.2,"retry_slack":50,"retry_window_s":10}}
JSON
        "$build/bulrushgw" sidecar --config "$work/$kind-$host.json" >"$work/$kind-$host.log" 2>&1 &
        pids[$kind-$host]=$!
    done
}
# await_keys KIND LABEL: until eight keys are all served through host 2 in one round
await_keys() {
    for try in $(seq 100); do
        local good=0
        for key in 0 9000 18000 27000 36000 45000 54000 65535; do
            [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "Request-Id: w-$1-$2-$try-$key" \
                -H "Deadline-Ms: 1000" -H "Shard-Key: $key" "http://$(port "$1" 2 1)/ladder/x")" = 200 ] && good=$((good + 1))
        done
        [ "$good" -eq 8 ] && return 0
        sleep 0.1
    done
    return 1
}

for kind in 0 1; do start_kind "$kind"; done
for kind in 0 1; do await_keys "$kind" start || fail "the keys are not served after the start"; done
for _ in $(seq "$restarts"); do
    # A hold begins to be renewed while no request tells of the restart.
    sleep 2.7
    for kind in 0 1; do kill -HUP "${pids[platform-$kind]}"; done
done
for kind in 0 1; do await_keys "$kind" end || fail "${kinds[$kind]}: the keys are not served after the restarts"; done
for kind in 0 1; do
    kill -TERM "${pids[platform-$kind]}"
    wait "${pids[platform-$kind]}"
    unset "pids[platform-$kind]"
    counters=$(tail -n 1 "$work/platform-$kind.log")
    echo "replaced_target_test: ${kinds[$kind]} id: $counters"
    grep -q ' reused_fences=0 ' <<<"$counters" || fail "${kinds[$kind]} id: a new run got keys under the fence of another"
    grep -q ' shared_keys=0 ' <<<"$counters" || fail "${kinds[$kind]} id: two targets held the same keys"
done
