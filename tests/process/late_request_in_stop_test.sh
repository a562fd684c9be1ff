#!/usr/bin/env bash
# Guards against a request that is taken late in a planned stop, runs at the target of another host,
# and is cut off by the exit although the caller could have gone elsewhere: it must be refused as not
# run, at once.
source "$(dirname "$0")/crowd_hosts.sh"

now_ms() { date +%s%3N; }
# The target is beside host 1. Host 2 stops, with a grace time of 6 s. Its work takes so long that a
# request which is sent just before the end of the first half of that time ends after the exit.
start_hosts 2 --execution_ms=2950 --runs="$work/runs"
request 2 --data-binary "early" >"$work/early" &
early=$!
sleep 0.05
kill -TERM "${pids[2]}"
begin=$(now_ms)
sleep 2.8
sent=$(now_ms)
late_id="late-$$"
status=$(curl -s -m 10 -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "Request-Id: $late_id" \
    --data-binary "late" "http://$(port 2 1)/desk/x")
took=$(($(now_ms) - sent))
wait "$early"
while kill -0 "${pids[2]}" 2>/dev/null && [ $(($(now_ms) - begin)) -lt 6000 ]; do sleep 0.05; done
kill -0 "${pids[2]}" 2>/dev/null && fail "host 2 runs at the end of the grace time"
unset 'pids[2]'
kill -TERM "${pids[0]}"
wait "${pids[0]}" 2>/dev/null
unset 'pids[0]'
echo "$test_name: sent $((sent - begin)) ms after SIGTERM: status $status after $took ms; an earlier one: $(cat "$work/early")"
[ "$(cat "$work/early")" = 200 ] || fail "the request before the stop was answered with $(cat "$work/early")"
[ "$status" = 503 ] || fail "the late request was answered with $status"
[ "$took" -lt 1000 ] || fail "the late request was refused after $took ms"
! grep -q "^$late_id" "$work/runs" || fail "the late request ran"
