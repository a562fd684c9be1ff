# Functions that start and stop a small cluster of real processes on loopback.
# Sourced by the demo, the benchmarks and the process tests; not run by itself.
#
# A host is a node and a target stand-in. Host NUMBER uses the ports
# BASE_PORT + 10 * NUMBER + 1 to + 5: clients, operator, inner, announce, target.

BUILD_DIR="${BUILD_DIR:-build}"
BASE_PORT="${BASE_PORT:-21000}"
WORK="${WORK:-$(mktemp -d)}"
mkdir -p "$WORK"
declare -A PIDS=()

cluster_port() { echo $((BASE_PORT + 10 * $1 + $2)); }
client_address() { echo "127.0.0.1:$(cluster_port "$1" 1)"; }
operator_address() { echo "127.0.0.1:$(cluster_port "$1" 2)"; }
target_address() { echo "127.0.0.1:$(cluster_port "$1" 5)"; }
store_address() { echo "127.0.0.1:$BASE_PORT"; }
boot_ms() { "$BUILD_DIR/load" --now; }

# start_process NAME COMMAND...: runs in the background, output in $WORK/NAME.log
start_process() {
    local name="$1"
    shift
    "$@" >>"$WORK/$name.log" 2>&1 &
    PIDS[$name]=$!
}

signal_process() { kill "-$2" "${PIDS[$1]}" 2>/dev/null || true; }

# Waits for the process to end, removes it from PIDS and returns its exit code.
await_process() {
    local pid="${PIDS[$1]}" code=0
    unset "PIDS[$1]"
    wait "$pid" 2>/dev/null || code=$?
    return "$code"
}

kill_process() {
    signal_process "$1" KILL
    await_process "$1" || true
}

start_store() { start_process store "$BUILD_DIR/standin_store" --listen "$(store_address)"; }

store_control() { http_post "$(store_address)" /control "$1" >/dev/null; }
target_control() { http_post "$(target_address "$1")" /control "$2" >/dev/null; }

# http_post ADDRESS PATH JSON: one request over bash's own TCP, so that no HTTP
# client has to be installed.
http_post() {
    local host="${1%:*}" port="${1##*:}"
    exec 9<>"/dev/tcp/$host/$port" || return 1
    printf 'POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
        "$2" "$1" "${#3}" "$3" >&9
    cat <&9
    exec 9<&-
}

# write_settings NUMBER ZONE [JOIN_PEER_NUMBER]
write_settings() {
    local peers="[]"
    [ -z "${3:-}" ] || peers="[\"127.0.0.1:$(cluster_port "$3" 3)\"]"
    cat >"$WORK/node$1.json" <<JSON
{
  "host": "host$1", "zone": "$2", "region": "${REGION:-region-1}",
  "addresses": {
    "clients": "$(client_address "$1")", "operator": "$(operator_address "$1")",
    "inner": "127.0.0.1:$(cluster_port "$1" 3)", "announce": "127.0.0.1:$(cluster_port "$1" 4)"
  },
  "store": {"address": "$(store_address)"},
  "join_peers": $peers
}
JSON
}

start_node() { start_process "node$1" "$BUILD_DIR/bulrushgw" node --config "$WORK/node$1.json"; }

# start_target NUMBER SERVICE [FLAGS...]
start_target() {
    local number="$1" service="$2"
    shift 2
    start_process "target$number" "$BUILD_DIR/standin_target" --listen "$(target_address "$number")" \
        --node "127.0.0.1:$(cluster_port "$number" 4)" --name "target$number" --service "$service" \
        --run_log "$WORK/runs$number.jsonl" "$@"
    touch "$WORK/runs$number.jsonl"
}

run_logs() { local IFS=,; echo "$*"; }

all_run_logs() {
    local files=("$WORK"/runs*.jsonl)
    run_logs "${files[@]}"
}

# operator NUMBER COMMAND...: runs an operator command against one node
operator() {
    local number="$1"
    shift
    "$BUILD_DIR/bulrushgw" "$@" --node "$(operator_address "$number")"
}

# await_state NUMBER PATTERN SECONDS: waits until the status of a node matches the pattern;
# fails if that takes longer than SECONDS
await_state() {
    local tries=$(($3 * 10))
    while [ "$tries" -gt 0 ]; do
        if grep -qE "$2" <<<"$(operator "$1" status --json 2>/dev/null)"; then return 0; fi
        sleep 0.1
        tries=$((tries - 1))
    done
    echo "host $1 did not reach the state $2 within $3 s"
    operator "$1" status || true
    tail -n 5 "$WORK/node$1.log"
    return 1
}

await_serving() { await_state "$1" '"state": ?"serving"' "${2:-20}"; }
await_rules() { await_state "$1" "\"rules_version\": ?$2[,}]" "${3:-10}"; }

stop_cluster() {
    local name
    for name in "${!PIDS[@]}"; do signal_process "$name" CONT; signal_process "$name" KILL; done
    wait 2>/dev/null
    PIDS=()
    [ -n "${KEEP_WORK:-}" ] || rm -rf "$WORK"
}
trap stop_cluster EXIT
