#!/usr/bin/env bash
# A planned stop while a client reads its answers slowly: does every request that an endpoint ran
# get its whole answer? Exits with 1 if the rule LOST was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves out the stop.
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

[ -x target/bulrushgw ] && [ -x target/review-2/deployment ] && [ -x target/review-2/slow_reader ] ||
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

requests=28
answer_bytes=30000
bytes_per_s=130000
grace_s=6

cat >"$work/manifest.json" <<JSON
{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","ruleSet":[
{"name":"list","routeType":"safe","targetLatencyMs":4000,"priority":1,"match":{"prefix":"/list/"},"action":{"service":"studio","timeoutMs":12000,"maxAttempts":2}}]}],
"clusters":[{"name":"studio","healthPath":"/health","maxConnections":560}]}
JSON
# As deploy/sidecar.json.template gives it, with the figures of a small deployment.
start_sidecar() {
    cat >"$work/$1.json" <<JSON
{"host":"h$1","zone":"z-a","region":"r","zones":{"z-a":"r"},"service":"studio","target":"$(address "$1" 5)","store":"$(address 0 0)",
"descriptors":4100,"processor_share":0.2,"memory_mb":260,"link_mbps":100,
"addresses":{"requests":"$(address "$1" 1)","ready":"$(address "$1" 2)","control":"$(address "$1" 3)","inner":"$(address "$1" 4)","metrics":"$(address "$1" 6)"},
"bounds":{"drain_ms":2500,"grace_s":$grace_s,"longest_hold_ms":10000,"retry_ratio":0.2,"retry_slack":58,"retry_window_s":10}}
JSON
    target/bulrushgw sidecar --config "$work/$1.json" >"$work/$1.log" 2>&1 &
    pids[$1]=$!
}

target/review-2/deployment --store="$(address 0 0)" --manifest="$work/manifest.json" \
    --targets="$(address 1 5)/$(address 1 3)/studio,$(address 2 5)/$(address 2 3)/studio" --answer_bytes="$answer_bytes" --execution_ms=20 \
    --runs="$work/runs" >"$work/deployment.log" 2>&1 &
pids[deployment]=$!
for host in 1 2; do start_sidecar "$host"; done

# An ordinary client, until the sidecar serves.
for try in $(seq 100); do
    target/review-2/slow_reader --port=$((base + 11)) --path=/list/x --prefix="warm-$try-" --deadline_ms=2000 >"$work/warm" 2>&1
    grep -q " 200 " "$work/warm" && break
    sleep 0.1
done
grep -q " 200 " "$work/warm" || unable "the sidecar does not serve"
sleep 4

target/review-2/slow_reader --port=$((base + 11)) --path=/list/x --prefix=r --requests="$requests" \
    --bytes_per_s="$bytes_per_s" >"$work/client" 2>&1 &
client=$!
begin=$(now_ms)
exit_ms=""
if [ "$trouble" != 0 ]; then
    sleep 1
    kill -TERM "${pids[1]}"
    term=$(now_ms)
    while kill -0 "${pids[1]}" 2>/dev/null; do
        if [ $(($(now_ms) - term)) -ge $((grace_s * 1000)) ]; then
            kill -KILL "${pids[1]}"
            echo "SIGKILL after the grace time" >>"$record"
        fi
        sleep 0.02
    done
    exit_ms=$(($(now_ms) - term))
    unset 'pids[1]'
fi
wait "$client" || unable "the client: $(cat "$work/client")"
kill -TERM "${pids[deployment]}"
wait "${pids[deployment]}" 2>/dev/null
unset 'pids[deployment]'

{
    [ -z "$exit_ms" ] || echo "SIGTERM $((term - begin)) ms after the client began; the process ended $exit_ms ms after SIGTERM (grace time $grace_s s)"
    echo "== the client"
    cat "$work/client"
    echo "== what the endpoint ran"
    grep '^ran r' "$work/runs"
} >>"$record"

lost=""
while read -r _ id _; do
    grep -q "^answered $id " "$work/client" || lost="$lost $id"
done < <(grep '^ran r' "$work/runs")
ran=$(grep -c '^ran r' "$work/runs")
answers=$(grep -c '^answered r' "$work/client")
echo "$ran requests ran, $answers complete answers reached the client; ran without a complete answer:${lost:- none}" | tee -a "$record"
[ "$ran" -gt 0 ] || unable "no request ran"
[ -z "$lost" ] && exit 0
exit 1
