#!/usr/bin/env bash
# Guards against many uploads at once, through two hosts to the target of a third, that end a process,
# keep the link of that host closed, or leave credit behind: the bytes that were credited have
# arrived or were returned.
source "$(dirname "$0")/crowd_hosts.sh"

metric() {
    curl -s -m 5 "http://$(port 1 6)/metrics" | awk -v name="bulrushgw_$1" '$1 == name { print $2 }'
}

link_mbps=10
start_hosts 3
"$build/crowd" --address="$(port 3 1)" --kind=uploads --body_bytes=60000 >"$work/crowd3" 2>&1 &
pids[crowd]=$!
play_crowd "$(port 2 1)" uploads --body_bytes=60000
wait "${pids[crowd]}" || fail "the second crowd: $(cat "$work/crowd3")"
unset 'pids[crowd]'
check_hosts
for _ in $(seq 50); do
    [ "$(metric bodies_incomplete)" = 0 ] && break
    sleep 0.1
done
credited="$(metric body_bytes_credited_total)"
arrived="$(metric body_bytes_arrived_total)"
returned="$(metric body_credit_returned_bytes_total)"
echo "$test_name: credited=$credited arrived=$arrived returned=$returned assembled=$(metric bodies_assembled_total) late=$(metric bodies_late_total)"
[ "$(metric bodies_incomplete)" = 0 ] || fail "bodies are kept after their senders left"
[ "$(metric bodies_assembled_total)" -gt 0 ] || fail "no upload arrived"
[ "$arrived" -le "$credited" ] && [ "$credited" -le $((arrived + returned)) ] ||
    fail "credit is left: $credited credited, $arrived arrived, $returned returned"
status="$(head -c 60000 /dev/urandom | request 2 --data-binary @-)"
[ "$status" = 200 ] || fail "an upload after the crowd has status $status"
