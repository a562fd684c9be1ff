#!/usr/bin/env bash
# Guards against a planned stop that cuts off answers whose clients read slowly, at the host beside
# the target and at one that relays, and against a client that reads nothing and holds the stop for
# longer than the grace time.
source "$(dirname "$0")/crowd_hosts.sh"

grace_ms=6000
now_ms() { date +%s%3N; }
# read_slowly HOST ID-PREFIX [FLAG...]: writes the ids of the answered requests to $work/ID-PREFIX
read_slowly() {
    "$build/slow_reader" --address="$(port "$1" 1)" --id_prefix="$2" "${@:3}" >"$work/$2" 2>&1
}
# stop_host HOST: the process must end by itself within the grace time
stop_host() {
    local begin
    begin=$(now_ms)
    kill -TERM "${pids[$1]}"
    while kill -0 "${pids[$1]}" 2>/dev/null; do
        [ $(($(now_ms) - begin)) -lt $grace_ms ] || fail "host $1 runs at the end of the grace time"
        sleep 0.02
    done
    echo "$test_name: host $1 ended $(($(now_ms) - begin)) ms after SIGTERM"
    unset "pids[$1]"
}

start_hosts 2 --runs="$work/runs"
# The target is beside host 1, so host 2 relays the answers.
read_slowly 2 relayed- &
readers=($!)
sleep 0.5
stop_host 2
read_slowly 1 direct- &
readers+=($!)
read_slowly 1 unread- --bytes_per_s=0 --milliseconds=7000 &
readers+=($!)
sleep 0.5
stop_host 1
for reader in "${readers[@]}"; do wait "$reader"; done
kill -TERM "${pids[0]}"
wait "${pids[0]}" 2>/dev/null
unset 'pids[0]'
for kind in relayed- direct-; do
    ran=$(grep -c "^$kind" "$work/runs")
    lost=$(comm -23 <(grep "^$kind" "$work/runs" | sort) <(cut -d' ' -f1 "$work/$kind" | sort) | xargs)
    echo "$test_name: $kind: $ran requests ran, $(wc -l <"$work/$kind") were answered, lost: ${lost:-none}"
    [ "$ran" -gt 0 ] && [ -z "$lost" ] || fail "$kind: requests ran and were not answered: $lost"
done
