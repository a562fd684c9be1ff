# Hosts of a deployment for the crowd tests: sidecars with a small memory budget beside the platform
# stand-in. Sourced by the tests, which call `start_hosts`, `play_crowd` and `check_hosts`.
# The tests check that the processes live, that their memory and descriptors stay under a bound, and
# that an ordinary request is answered afterwards. They check no times.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
build="${BUILD_DIR:-build}"
test_name="$(basename "$0" .sh)"
work="$(mktemp -d)"
memory_mb=48
# Speed of the link of all hosts in the settings; empty: not set.
link_mbps=""
# 300 connections of clients; the others are for peers, the target, the store and files.
descriptors=800
declare -A pids
finish() {
    disown -a
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap finish EXIT
fail() { echo "$test_name: $1"; tail -n 5 "$work"/*.log; exit 1; }

# Below the ephemeral port range of the system, and outside the ports of the other tests.
base=$((7000 + ($$ % 100) * 40))
port() { echo "127.0.0.1:$((base + $1 * 10 + $2))"; }

# start_hosts COUNT [FLAG...]: host 1 has a target of the service "desk", host 2 one of "ladder". The
# flags are those of the platform stand-in.
start_hosts() {
    host_count=$1
    shift
    cat >"$work/manifest.json" <<JSON
{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","ruleSet":[
{"name":"write","routeType":"unsafe","targetLatencyMs":1000,"priority":0,"match":{"prefix":"/desk/"},"action":{"service":"desk","timeoutMs":4000,"maxAttempts":2}},
{"name":"read","routeType":"safe","targetLatencyMs":4000,"priority":1,"match":{"prefix":"/list/"},"action":{"service":"desk","timeoutMs":12000,"maxAttempts":2}}]}],
"clusters":[{"name":"ladder","healthPath":"/health","maxConnections":100},{"name":"desk","healthPath":"/health","maxConnections":100}]}
JSON
    local targets="" service=desk
    for host in $(seq "$host_count"); do
        targets+="${targets:+,}$(port "$host" 5)/$(port "$host" 3)/$service"
        cat >"$work/$host.json" <<JSON
{"host":"h$host","zone":"z$host","service":"$service","target":"$(port "$host" 5)","store":"$(port 0 0)","descriptors":$descriptors,"processor_share":1,"memory_mb":$memory_mb,${link_mbps:+"\"link_mbps\":$link_mbps,"}
"addresses":{"requests":"$(port "$host" 1)","ready":"$(port "$host" 2)","control":"$(port "$host" 3)","inner":"$(port "$host" 4)","metrics":"$(port "$host" 6)"},
"bounds":{"drain_ms":2000,"grace_s":6,"longest_hold_ms":10000,"retry_ratio":0.2,"retry_slack":50,"retry_window_s":10}}
JSON
        service=ladder
    done
    "$build/standin_platform" --store="$(port 0 0)" --manifest="$work/manifest.json" --targets="$targets" "$@" \
        >"$work/platform.log" 2>&1 &
    pids[0]=$!
    for host in $(seq "$host_count"); do
        "$build/bulrushgw" sidecar --config "$work/$host.json" >>"$work/$host.log" 2>&1 &
        pids[$host]=$!
    done
    for host in $(seq "$host_count"); do
        await_answer "$host" || fail "host $host does not serve after the start"
    done
}

# request HOST [CURL-ARGUMENT...]: prints the status; head and body are in $work/head and $work/body
request_number=0
request() {
    local host=$1
    shift
    request_number=$((request_number + 1))
    curl -s -m 10 -o "$work/body" -D "$work/head" -w '%{http_code}' -H "Host: h.example" \
        -H "Request-Id: r-$$-$request_number-$RANDOM" "$@" "http://$(port "$host" 1)/desk/x"
}

# await_answer HOST: repeats an ordinary request until it is answered
await_answer() {
    for _ in $(seq 100); do
        [ "$(request "$1" --data-binary "ordinary")" = 200 ] && return 0
        sleep 0.1
    done
    return 1
}

# Samples the open descriptors of the hosts, and the bytes in the receive queues of their sockets,
# which the kernel holds for them. Keeps the maxima in $work/descriptors and $work/unread.
sample() {
    local most=0 most_unread=0 count unread
    while true; do
        for host in $(seq "$host_count"); do
            count=$(find "/proc/${pids[$host]}/fd" -mindepth 1 2>/dev/null | wc -l)
            [ "$count" -gt "$most" ] && most=$count && echo "$most" >"$work/descriptors"
        done
        unread=$(awk -v first="$base" -v last="$((base + 39))" '
            function number(text,  i, result) {
                for (i = 1; i <= length(text); i++)
                    result = result * 16 + index("123456789ABCDEF", substr(text, i, 1))
                return result
            }
            $4 == "01" {
                split($2, local, ":"); port = number(local[2]); split($5, queue, ":")
                if (port >= first && port <= last && port % 10 != 5) sum += number(queue[2])
            }
            END { print sum + 0 }' /proc/net/tcp)
        [ "$unread" -gt "$most_unread" ] && most_unread=$unread && echo "$most_unread" >"$work/unread"
        sleep 0.2
    done
}

# play_crowd ADDRESS KIND [FLAG...]
play_crowd() {
    echo 0 >"$work/descriptors"
    echo 0 >"$work/unread"
    sample &
    pids[sampler]=$!
    "$build/crowd" --address="$1" --kind="$2" "${@:3}" >"$work/crowd" 2>&1 || fail "the crowd: $(cat "$work/crowd")"
    kill "${pids[sampler]}"
    wait "${pids[sampler]}" 2>/dev/null
    unset 'pids[sampler]'
    echo "$test_name: $2: $(cat "$work/crowd") most_descriptors=$(cat "$work/descriptors") most_unread_kb=$(($(cat "$work/unread") / 1024))"
}

check_hosts() {
    local peak_kb failures=""
    for host in $(seq "$host_count"); do
        peak_kb=$(awk '/^VmHWM/ { print $2 }' "/proc/${pids[$host]}/status" 2>/dev/null)
        [ -n "$peak_kb" ] || fail "the process of host $host ended"
        echo "$test_name: host $host: peak of resident memory $((peak_kb / 1024)) MB of $memory_mb MB"
        [ "$peak_kb" -le $((memory_mb * 1024)) ] || failures+=" host $host held $((peak_kb / 1024)) MB;"
    done
    [ "$(cat "$work/descriptors")" -le "$descriptors" ] || failures+=" $(cat "$work/descriptors") descriptors were open;"
    for host in $(seq "$host_count"); do
        await_answer "$host" || failures+=" host $host answers no ordinary request afterwards;"
        kill -0 "${pids[$host]}" 2>/dev/null || failures+=" the process of host $host ended;"
    done
    [ -z "$failures" ] || fail "$failures"
}
