#!/usr/bin/env bash
# Guards against input that crashes or blocks a node: bytes that are not UTF-8 in paths
# and headers, oversized heads and bodies, broken frames, unknown versions, and
# announcements that are not JSON. The node must answer its status afterwards.
set -uo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=24000
source scripts/cluster.sh

fail() { echo "hostile_input_test: $1"; exit 1; }
# raw NUMBER PORT-OFFSET: sends standard input to a port of a host, prints the response
raw() {
    exec 8<>"/dev/tcp/127.0.0.1/$(cluster_port "$1" "$2")" || return 1
    cat >&8
    timeout 2 cat <&8
    exec 8<&-
}

start_store
for host in 1 2 3; do
    write_settings "$host" "zone-$host"
    start_node "$host"
    start_target "$host" ladder-front
done
await_state 1 '"lease_running": ?true' 20 || fail "no lease"
operator 1 rules submit tests/process/one-service.rules --base 0 --operator test >/dev/null 2>&1 || fail "rules were not accepted"
await_serving 1 20 || fail "host 1 does not serve"

for path in '/\xff\xfe' '/ladders/\xff/standings' '/ladders/%ff%fe/standings' '/ladders/%zz/standings'; do
    printf 'GET %b HTTP/1.1\r\nHost: x\r\nBulrush-Request-Id: \xff\xfe\r\nConnection: close\r\n\r\n' "$path" | raw 1 1 >"$WORK/answer"
    grep -aq "HTTP/1.1" "$WORK/answer" || fail "no answer for the path $path"
done
{ printf 'GET / HTTP/1.1\r\nHost: x\r\nX-Long: '; head -c 100000 /dev/zero | tr '\0' a; printf '\r\n\r\n'; } | raw 1 1 >/dev/null
{ printf 'POST /ladders/k/challenges HTTP/1.1\r\nHost: x\r\nBulrush-Request-Id: big\r\nContent-Length: 2000000\r\n\r\n'; head -c 2000000 /dev/zero; } 2>/dev/null | raw 1 1 >"$WORK/answer" 2>/dev/null
grep -aq " 413 " "$WORK/answer" || fail "a body of 2 MB was not refused with 413"
head -c 50000 /dev/urandom | raw 1 1 >/dev/null 2>&1
head -c 50000 /dev/urandom | raw 1 2 >/dev/null 2>&1
printf '\xff\xff\xff\xff junk' | raw 1 3 >/dev/null 2>&1
printf '\x00\x00\x00\x04\x93\x63\x00\x90' | raw 1 3 >/dev/null 2>&1
printf 'POST /v1/announce HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\n\xff{"' | raw 1 4 >"$WORK/answer"
grep -aq " 400 " "$WORK/answer" || fail "a broken announcement was not refused with 400"
printf "GET /operator/v1/keys/owner?service=%%ff&key=%%ff HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" | raw 1 2 >"$WORK/answer"
grep -aq "HTTP/1.1 4" "$WORK/answer" || fail "a key that is not UTF-8 was not refused"
await_serving 1 10 || fail "the node does not serve after hostile input"
kill -0 "${PIDS[node1]}" || fail "the node ended"
