#!/usr/bin/env bash
# End-to-end test of evacuations with real processes: three sidecars in three zones, and the store
# and targets of the platform stand-in. Guards against an order that is not acted on in time, a key
# that is not served by another zone, a request that waits for a target that may not serve it, and a
# zone that gets no requests after the order is revoked.
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
fail() { echo "evacuation test: $1"; tail -n 5 "$work"/*.log; exit 1; }

base=$((30000 + ($$ % 60) * 40))
port() { echo "127.0.0.1:$((base + $1 * 10 + $2))"; }

cat >"$work/manifest.json" <<JSON
{"version":"00000001","listeners":[{"host":"h.example","ruleSet":[
{"name":"read","routeType":"safe","targetLatencyMs":300,"priority":1,"match":{"prefix":"/ladder/"},"action":{"service":"ladder","timeoutMs":1500,"maxAttempts":2}},
{"name":"west","routeType":"unsafe","allowedRegions":["west"],"targetLatencyMs":300,"priority":0,"match":{"prefix":"/west/"},"action":{"service":"desk","timeoutMs":1500,"maxAttempts":2}}]}],
"clusters":[{"name":"ladder","healthPath":"/health","sharded":true,"warmS":1},{"name":"desk","healthPath":"/health"}]}
JSON

service_of() { if [ "$1" -le 2 ]; then echo ladder; else echo desk; fi; }
start_sidecar() {
    cat >"$work/$1.json" <<JSON
{"host":"h$1","zone":"z$1","region":"east","zones":{"z1":"east","z2":"east","z3":"east"},
"service":"$(service_of "$1")","target":"$(port "$1" 5)","store":"$(port 0 0)","descriptors":4100,"processor_share":1,
"addresses":{"requests":"$(port "$1" 1)","ready":"$(port "$1" 2)","control":"$(port "$1" 3)","inner":"$(port "$1" 4)","metrics":"$(port "$1" 6)"},
"bounds":{"drain_ms":2000,"grace_s":6,"longest_hold_ms":10000,"retry_ratio":0.2,"retry_slack":50,"retry_window_s":10,"evacuation_ms":5000}}
JSON
    "$build/bulrushgw" sidecar --config "$work/$1.json" >>"$work/$1.log" 2>&1 &
    pids[$1]=$!
}

"$build/standin_platform" --store="$(port 0 0)" --manifest="$work/manifest.json" \
    --targets="$(port 1 5)/$(port 1 3)/ladder/sharded/zone=z1,$(port 2 5)/$(port 2 3)/ladder/sharded/zone=z2,$(port 3 5)/$(port 3 3)/desk/zone=z3" \
    >"$work/platform.log" 2>&1 &
pids[0]=$!
for host in 1 2 3; do start_sidecar "$host"; done

# request HOST PATH KEY REQUEST_ID: prints the status and the seconds that it took; the headers are
# in $work/headers
request() {
    curl -s -m 2 -o /dev/null -D "$work/headers" -w '%{http_code} %{time_total}' -H "Host: h.example" \
        -H "Request-Id: $4" -H "Deadline-Ms: 1500" -H "Shard-Key: $3" "http://$(port "$1" 1)$2"
}
# rounds HOST LABEL: sends requests through a host until eight keys are all served in one round.
await_keys() {
    for try in $(seq 60); do
        local good=0
        for key in 0 9000 18000 27000 36000 45000 54000 65535; do
            case "$(request "$1" /ladder/x "$key" "$2-$try-$key")" in "200 "*) good=$((good + 1)) ;; esac
        done
        [ "$good" -eq 8 ] && return 0
        sleep 0.1
    done
    return 1
}
# change_order put|remove ZONE
change_order() {
    local put="" remove="" row="{\"table\":\"op\",\"part\":\"\",\"key\":\"evacuate/$2\""
    if [ "$1" = put ]; then put="$row,\"value\":\"e30=\"}"; else remove="$row}"; fi
    curl -s -o /dev/null -X POST "http://$(port 0 0)/v1/rows-tx" \
        -d "{\"precondition\":[],\"puts\":[$put],\"remove\":[$remove]}"
}
metric() { curl -s "http://$(port "$1" 6)/metrics" | sed -n "s/^$2 //p"; }
# await_metric HOST NAME VALUE
await_metric() {
    for _ in $(seq 60); do
        [ "$(metric "$1" "$2")" = "$3" ] && return 0
        sleep 0.1
    done
    return 1
}
# expect_refusal HOST PATH ID LABEL: the request must be refused at once with a time to come back.
expect_refusal() {
    local result
    result="$(request "$1" "$2" 7 "$3")"
    case "$result" in "503 0.0"*|"503 0.1"*) ;; *) fail "$4: status and time are $result" ;; esac
    grep -qi '^retry-after:' "$work/headers" || fail "$4: no Retry-After"
}

await_keys 3 start || fail "the keys are not served after the start"
expect_refusal 3 /west/x region "a route of another region"

change_order put z1
for host in 1 2 3; do
    await_metric "$host" bulrushgw_evacuated_zones 1 || fail "host $host does not know the order"
done
await_keys 1 order || fail "the keys are not served by the other zone"
leader=$(for host in 1 2 3; do [ "$(metric "$host" bulrushgw_leads)" = 1 ] && echo "$host"; done | head -n 1)
await_metric "$leader" bulrushgw_evacuation_keys_left 0 || fail "keys stay in the evacuated zone"
grep -q '"event":"target_closed_for_evacuation"' <(sleep 3; cat "$work/1.log") || fail "the target is not closed"

change_order put z2
sleep 6
expect_refusal 3 /ladder/x all "all zones with targets under evacuation"

refused=$(metric 3 bulrushgw_requests_refused_evacuated_total)
[ "$refused" -ge 1 ] || fail "the refusal is not counted"
[ -n "$(metric 3 bulrushgw_evacuations_age_seconds)" ] || fail "the age of the knowledge is missing"

change_order remove z1
await_keys 2 revoked || fail "the revoked zone does not serve"
change_order remove z2
await_metric 3 bulrushgw_evacuated_zones 0 || fail "the second order does not end"

kill -TERM "${pids[0]}"
wait "${pids[0]}"
unset 'pids[0]'
summary=$(tail -n 1 "$work/platform.log")
echo "evacuation test: $summary"
case "$summary" in *" repeated=0 "*" reused_fences=0 shared_keys=0 over_slots=0 lower_fences=0 late_evacuated=0") ;; *) fail "a guarantee was violated" ;; esac
