#!/usr/bin/env bash
# `bulrushgw explain` with real processes: three sidecars, and the store and targets of the platform
# stand-in. Guards against an answer that differs from where a request goes, an answer at the address
# of clients, a question that counts as a request, and errors with the exit code of an answer.
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
fail() { echo "explain test: $1"; tail -n 5 "$work"/*; exit 1; }

# Below the ephemeral ports, which connections of other processes may occupy.
base=$((31000 + ($$ % 40) * 40))
port() { echo "127.0.0.1:$((base + $1 * 10 + $2))"; }

cat >"$work/manifest.json" <<JSON
{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","ruleSet":[
{"name":"read","routeType":"safe","targetLatencyMs":300,"priority":1,"match":{"prefix":"/ladder/"},"action":{"service":"ladder","timeoutMs":1000,"maxAttempts":2}},
{"name":"write","routeType":"unsafe","targetLatencyMs":300,"priority":0,"match":{"prefix":"/desk/"},"action":{"service":"desk","timeoutMs":1000,"maxAttempts":2}}]}],
"clusters":[{"name":"ladder","healthPath":"/health","maxConnections":100,"sharded":true,"warmS":1},{"name":"desk","healthPath":"/health","maxConnections":100}]}
JSON
service_of() { if [ "$1" -le 2 ]; then echo ladder; else echo desk; fi; }
# start_sidecar HOST STORE
start_sidecar() {
    cat >"$work/$1.json" <<JSON
{"host":"h$1","zone":"z$1","service":"$(service_of "$1")","target":"$(port "$1" 5)","store":"$2","descriptors":4100,"processor_share":1,
"addresses":{"requests":"$(port "$1" 1)","ready":"$(port "$1" 2)","control":"$(port "$1" 3)","inner":"$(port "$1" 4)","metrics":"$(port "$1" 6)"},
"bounds":{"drain_ms":2000,"grace_s":6,"longest_hold_ms":10000,"retry_ratio":0.2,"retry_slack":50,"retry_window_s":10}}
JSON
    "$build/bulrushgw" sidecar --config "$work/$1.json" >>"$work/$1.log" 2>&1 &
    pids[$1]=$!
}
# ask HOST PATH [FLAGS]: the answer is in $work/answer, the errors in $work/errors
ask() {
    "$build/bulrushgw" explain --node "$(port "$1" 6)" --host h.example --path "$2" "${@:3}" \
        >"$work/answer" 2>"$work/errors"
}
# without_ages: a JSON answer without the figures that change with time alone
without_ages() { sed -E '/_ms": |"(answer|load|failure)": /d' "$work/answer"; }
requests_of() { curl -s "http://$(port "$1" 6)/metrics" | grep '^bulrushgw_requests_total'; }

"$build/standin_platform" --store="$(port 0 0)" --manifest="$work/manifest.json" \
    --targets="$(port 1 5)/$(port 1 3)/ladder/sharded,$(port 2 5)/$(port 2 3)/ladder/sharded,$(port 3 5)/$(port 3 3)/desk" \
    >"$work/platform.log" 2>&1 &
pids[0]=$!
for host in 1 2 3; do start_sidecar "$host" "$(port 0 0)"; done
start_sidecar 4 "$(port 0 9)"

for _ in $(seq 100); do
    ask 3 /ladder/x --key 7 --json && grep -q '"action": "send"' "$work/answer" && break
    sleep 0.1
done
grep -q '"action": "send"' "$work/answer" || fail "no owner of the key is reported"
for host in 1 2 3; do
    ask "$host" /ladder/x --key 7 --json || fail "host $host does not answer"
    grep -q '"stale": false' "$work/answer" || fail "the fresh view of host $host is reported as stale"
done
owner=$(grep -m 1 -o '"host": "h[12]"' "$work/answer" | grep -o '[12]"' | tr -d '"')
before=$(requests_of 3)
[ -n "$before" ] || fail "the number of requests is not in the metrics"
without_ages >"$work/first"
ask 3 /ladder/x --key 7 --json || fail "a second question fails"
without_ages | cmp -s - "$work/first" || fail "the same question has another answer"
[ "$(requests_of 3)" = "$before" ] || fail "a question counts as a request"

ask "$owner" /ladder/x --key 7 --json || fail "the owner does not answer"
grep -qE '"hold_left_ms": [1-9]' "$work/answer" || fail "the owner does not report the hold"
grep -q '"verdict": "start"' "$work/answer" || fail "the owner does not report its queue"
ask 1 /desk/x || fail "the service without keys is not explained"
grep -qE '^h3 +z3 .* usable$' "$work/answer" || fail "the candidate is missing"
grep -q '^decision     send to h3 in z3' "$work/answer" || fail "the decision is missing"
cat "$work/answer"

status() { curl -s -o /dev/null -w '%{http_code}' -H "Host: h.example" "http://$1/explain?path=/desk/x"; }
[ "$(status "$(port 1 1)")" = 404 ] || fail "the address of clients serves explanations"

# expect_error TYPE HOST PATH [FLAGS]
expect_error() {
    ask "${@:2}"
    local code=$?
    [ "$code" -eq 1 ] || fail "$1: exit code $code"
    grep -q "$1" "$work/errors" || fail "$1 is missing in: $(cat "$work/errors")"
}
expect_error no-route 1 /none/x
expect_error key-missing 1 /ladder/x
expect_error key-out-of-range 1 /ladder/x --key 65536
expect_error no-manifest 4 /desk/x
kill -STOP "${pids[4]}"
expect_error "no answer in time" 4 /desk/x --timeout-ms 300
kill -KILL "${pids[4]}"
wait "${pids[4]}" 2>/dev/null
unset 'pids[4]'
expect_error "no connection" 4 /desk/x
echo "explain test: passed"
