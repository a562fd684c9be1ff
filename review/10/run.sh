#!/usr/bin/env bash
# An endpoint crashes and starts again at once, with another id. Does it get keys only under a generation
# number above that of the lifetime before? Exits with 1 if the rule OWNER was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves out the crashes.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
trouble="${TROUBLE:-1}"
record="$here/record.txt"
work="$(mktemp -d)"
declare -A pids
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
unable() { echo "could not run: $1" | tee -a "$record"; exit 2; }
now_ms() { echo $(($(date +%s%N) / 1000000)); }
: >"$record"

[ -x target/bulrushgw ] && [ -x target/review-2/replaced ] && [ -x target/review-2/callers ] ||
    unable "build the deploy file and review/build-2.sh first"

# Free ports for the store and two hosts, below the ephemeral ports.
is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
for try in $(seq 50); do
    base=$((8000 + ($$ + try * 37) % 800 * 30))
    free=1
    for offset in 0 $(seq 11 16) $(seq 21 26); do is_free $((base + offset)) || free=0; done
    [ "$free" = 1 ] && break
done
[ "$free" = 1 ] || unable "no free ports"
# address HOST NUMBER; host 0 is the platform.
address() { echo "127.0.0.1:$((base + $1 * 10 + $2))"; }

crashes=8

cat >"$work/manifest.json" <<JSON
{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","ruleSet":[
{"name":"read","routeType":"safe","targetLatencyMs":200,"priority":2,"match":{"prefix":"/ladder/"},"action":{"service":"ladder","timeoutMs":500,"maxAttempts":2}}]}],
"clusters":[{"name":"ladder","healthPath":"/health","maxConnections":110,"sharded":true,"warmS":3.0,"grants":"request"}]}
JSON
# As deploy/sidecar.json.template gives it, with the figures of a small deployment.
start_sidecar() {
    cat >"$work/$1.json" <<JSON
{"host":"h$1","zone":"z-a","region":"r","zones":{"z-a":"r"},"service":"ladder","target":"$(address "$1" 5)","store":"$(address 0 0)",
"descriptors":4100,"processor_share":0.2,"memory_mb":260,"link_mbps":100,
"addresses":{"requests":"$(address "$1" 1)","ready":"$(address "$1" 2)","control":"$(address "$1" 3)","inner":"$(address "$1" 4)","metrics":"$(address "$1" 6)"},
"bounds":{"drain_ms":2500,"grace_s":6,"longest_hold_ms":10000,"retry_ratio":0.2,"retry_slack":58,"retry_window_s":10}}
JSON
    target/bulrushgw sidecar --config "$work/$1.json" >"$work/$1.log" 2>&1 &
    pids[$1]=$!
}

target/review-2/replaced --store="$(address 0 0)" --manifest="$work/manifest.json" \
    --endpoints="$(address 1 5)/$(address 1 3),$(address 2 5)/$(address 2 3)" --heartbeat_ms=870 --first_heartbeat_ms=870 \
    --down_ms=100 --record="$work/events" >"$work/deployment.log" 2>&1 &
pids[deployment]=$!
for host in 1 2; do start_sidecar "$host"; done

# The keys are divided between the two endpoints.
for try in $(seq 200); do
    [ "$(grep ' takes ' "$work/events" 2>/dev/null | awk '{ print $3 }' | sort -u | wc -l)" -ge 2 ] && break
    sleep 0.1
done
[ "$try" -lt 200 ] || unable "the endpoints got no keys"
sleep 4

for crash in $(seq "$crashes"); do
    [ "$trouble" = 0 ] || kill -HUP "${pids[deployment]}"
    sleep 6
done
kill -TERM "${pids[deployment]}"
wait "${pids[deployment]}" 2>/dev/null
unset 'pids[deployment]'
cat "$work/events" >>"$record"
lifetimes=$(grep -c 'VIOLATION' "$work/events")
taken=$(grep -o 'VIOLATION: i-[0-9]*' "$work/events" | sort -u | wc -l)
crashed=$(grep -c ' ends$' "$work/events")
echo "$crashed lifetimes ended, $taken lifetimes took keys under the generation number of another, in $lifetimes grants" | tee -a "$record"
[ "$taken" -eq 0 ] && exit 0
exit 1
