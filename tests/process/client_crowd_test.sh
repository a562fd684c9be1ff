#!/usr/bin/env bash
# Guards against crowds of clients that make a sidecar exceed the memory of its host, run out of
# descriptors, or stop to serve ordinary clients: bodies that never end, in large and tiny chunks
# or with a length, bodies far over the limit, heads that never end, bytes behind a running
# request, readers that stop, and uploads to a slow target. Checks neither times nor shares.
# KINDS selects crowds; MEMORY_MB is the limit of the process.
set -uo pipefail
cd "$(dirname "$0")/../.."
build="${BUILD_DIR:-build}"
work="$(mktemp -d)"
memory_mb="${MEMORY_MB:-96}"
descriptors=900
declare -A pids
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap finish EXIT
fail() { echo "client crowd test: $1"; tail -n 5 "$work"/sidecar.log; exit 1; }

base=$((29000 + ($$ % 200) * 10))
port() { echo "127.0.0.1:$((base + $1))"; }
cat >"$work/manifest.json" <<JSON
{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h","ruleSet":[
{"name":"write","routeType":"safe","targetLatencyMs":300,"priority":0,"match":{"prefix":"/desk/"},"action":{"service":"desk","timeoutMs":3000,"maxAttempts":2}}]}],
"clusters":[{"name":"desk","healthPath":"/health","maxConnections":100}]}
JSON
cat >"$work/sidecar.json" <<JSON
{"host":"h1","zone":"z1","service":"desk","target":"$(port 5)","store":"$(port 0)","descriptors":$descriptors,"processor_share":1,"memory_mb":$memory_mb,
"addresses":{"requests":"$(port 1)","ready":"$(port 2)","control":"$(port 3)","inner":"$(port 4)","metrics":"$(port 6)"},
"bounds":{"drain_ms":2000,"grace_s":6,"longest_hold_ms":10000,"retry_ratio":0.2,"retry_slack":50,"retry_window_s":10}}
JSON
"$build/standin_platform" --store="$(port 0)" --manifest="$work/manifest.json" --execution_ms=200 \
    --targets="$(port 5)/$(port 3)/desk" >"$work/platform.log" 2>&1 &
pids[platform]=$!
"$build/bulrushgw" sidecar --config "$work/sidecar.json" >"$work/sidecar.log" 2>&1 &
pids[sidecar]=$!

number=0
# ordinary_request: one request as an ordinary client sends it, repeated as a client does after a
# refusal; prints nothing.
ordinary_request() {
    for _ in $(seq 100); do
        number=$((number + 1))
        status=$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: h" -H "Request-Id: r-$number" \
            -H "Deadline-Ms: 2000" --data-binary "@$work/manifest.json" "http://$(port 1)/desk/x")
        [ "$status" = 200 ] && return 0
        sleep 0.1
    done
    return 1
}
peak_kb() { sed -nE 's/^VmHWM:[^0-9]*([0-9]+) kB/\1/p' "/proc/${pids[sidecar]}/status"; }
open_descriptors() { ls "/proc/${pids[sidecar]}/fd" | wc -l; }

ordinary_request || fail "no request is served at the start"
for kind in ${KINDS:-declared large-chunks tiny-chunks endless announced heads behind unread uploads}; do
    "$build/crowd" --address="$(port 1)" --kind="$kind" --path=/desk/x >"$work/crowd.log" 2>&1 &
    pids[crowd]=$!
    sleep 2.5
    descriptors_used=$(open_descriptors)
    wait "${pids[crowd]}" || fail "$kind: the crowd ended early"
    unset 'pids[crowd]'
    kill -0 "${pids[sidecar]}" 2>/dev/null || fail "$kind: the sidecar ended"
    ordinary_request || fail "$kind: no request is served afterwards"
    echo "$kind: peak $(peak_kb) kB, $descriptors_used descriptors, $(cat "$work/crowd.log")"
    [ "$(peak_kb)" -le $((memory_mb * 1024)) ] || fail "$kind: the memory is above the limit"
    [ "$descriptors_used" -le "$descriptors" ] || fail "$kind: too many descriptors"
done
echo "client crowd test: peak $(peak_kb) kB of $((memory_mb * 1024)) kB"
