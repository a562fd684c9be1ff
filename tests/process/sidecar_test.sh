#!/usr/bin/env bash
# End-to-end test on the deployment platform with real processes: three sidecars, and the store
# and targets of the platform stand-in. Guards against sidecars that do not begin to serve, a
# key with two holders, a request that runs twice, and keys that stay unserved after
# a sidecar and then the leader were killed.
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
fail() { echo "sidecar test: $1"; tail -n 5 "$work"/*.log; exit 1; }

base=$((21000 + ($$ % 200) * 40))
port() { echo "127.0.0.1:$((base + $1 * 10 + $2))"; }

cat >"$work/manifest.json" <<JSON
{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","ruleSet":[
{"name":"read","routeType":"safe","targetLatencyMs":300,"priority":1,"match":{"prefix":"/ladder/"},"action":{"service":"ladder","timeoutMs":1000,"maxAttempts":2}},
{"name":"write","routeType":"unsafe","targetLatencyMs":300,"priority":0,"match":{"prefix":"/desk/"},"action":{"service":"desk","timeoutMs":1000,"maxAttempts":2}}]}],
"clusters":[{"name":"ladder","healthPath":"/health","maxConnections":100,"sharded":true,"warmS":1},{"name":"desk","healthPath":"/health","maxConnections":100}]}
JSON

service_of() { if [ "$1" -le 2 ]; then echo ladder; else echo desk; fi; }
start_sidecar() {
    cat >"$work/$1.json" <<JSON
{"host":"h$1","zone":"z$1","service":"$(service_of "$1")","target":"$(port "$1" 5)","store":"$(port 0 0)","descriptors":4100,"processor_share":1,
"addresses":{"requests":"$(port "$1" 1)","ready":"$(port "$1" 2)","control":"$(port "$1" 3)","inner":"$(port "$1" 4)","metrics":"$(port "$1" 6)"},
"bounds":{"drain_ms":2000,"grace_s":6,"longest_hold_ms":10000,"retry_ratio":0.2,"retry_slack":50,"retry_window_s":10}}
JSON
    "$build/bulrushgw" sidecar --config "$work/$1.json" >>"$work/$1.log" 2>&1 &
    pids[$1]=$!
}

"$build/standin_platform" --store="$(port 0 0)" --manifest="$work/manifest.json" \
    --targets="$(port 1 5)/$(port 1 3)/ladder/sharded,$(port 2 5)/$(port 2 3)/ladder/sharded,$(port 3 5)/$(port 3 3)/desk" \
    >"$work/platform.log" 2>&1 &
pids[0]=$!
for host in 1 2 3; do start_sidecar "$host"; done

# request HOST PATH KEY REQUEST_ID: prints the status; the body is in $work/body
request() {
    curl -s -m 2 -o "$work/body" -w '%{http_code}' -H "Host: h.example" -H "Request-Id: $4" \
        -H "Deadline-Ms: 1000" -H "Shard-Key: $3" "http://$(port "$1" 1)$2"
}
# await_keys HOST LABEL: sends requests through a host until eight keys are all served in one
# round. LABEL keeps the request ids unique.
await_keys() {
    for try in $(seq 100); do
        local good=0
        for key in 0 9000 18000 27000 36000 45000 54000 65535; do
            [ "$(request "$1" /ladder/x "$key" "w-$1-$2-$try-$key")" = 200 ] && good=$((good + 1))
        done
        [ "$good" -eq 8 ] && return 0
        sleep 0.1
    done
    return 1
}

# has_metric HOST LINE: reads all metrics before it looks for the line, because `grep -q` in a pipe
# ends at the first match, and the writer then fails.
has_metric() {
    local metrics
    metrics="$(curl -s "http://$(port "$1" 6)/metrics")"
    grep -qx "$2" <<<"$metrics"
}

await_keys 3 start || fail "the keys are not served after the start"
[ "$(cat "$work/body")" = "done w-3-start-$try-65535" ] || fail "the body is \"$(cat "$work/body")\""
[ "$(request 1 /desk/x 1 d-1)" = 200 ] || fail "the service without keys is not served"
[ "$(request 1 /none/x 1 n-1)" = 404 ] || fail "an unknown route is not refused"
[ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(port 1 2)/v1/ready")" = 200 ] || fail "not ready"
has_metric 2 'bulrushgw_holds_lease 1' || fail "no lease in the metrics"

kill -KILL "${pids[2]}"
start_sidecar 2
await_keys 1 restart || fail "the keys are not served after a sidecar was killed"

leader=$(for host in 1 2 3; do
    has_metric "$host" 'bulrushgw_leads 1' && echo "$host"
done | head -n 1)
[ -n "$leader" ] || fail "no sidecar leads"
kill -KILL "${pids[$leader]}"
start_sidecar "$leader"
await_keys $((leader % 3 + 1)) leader || fail "the keys are not served after the leader was killed"

kill -TERM "${pids[1]}"
wait "${pids[1]}" || fail "a planned stop did not end with 0"
unset 'pids[1]'
kill -TERM "${pids[0]}"
wait "${pids[0]}"
unset 'pids[0]'
summary=$(tail -n 1 "$work/platform.log")
echo "sidecar test: $summary"
case "$summary" in *" repeated=0 "*" reused_fences=0 shared_keys=0 over_slots=0 lower_fences=0 late_evacuated=0") ;; *) fail "a guarantee was violated" ;; esac
