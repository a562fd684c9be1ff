#!/usr/bin/env bash
# Guards against a body inside the manifest's limits that is refused or changed although the system is
# calm: at the target of the host that received it, and at the target of another host.
source "$(dirname "$0")/crowd_hosts.sh"

start_hosts 2
echo 0 >"$work/descriptors"
head -c 8388608 /dev/urandom >"$work/large"
digest="$(sha256sum <"$work/large" | cut -d' ' -f1)"
failures=""
for host in 1 2; do
    status="$(request "$host" --data-binary "@$work/large")"
    if [ "$status" != 200 ]; then
        failures+=" through host $host: status $status;"
    elif ! grep -qi "^body-sha256: $digest" "$work/head"; then
        failures+=" through host $host: the target received another body;"
    fi
done
[ -z "$failures" ] || fail "a body of 8 MiB is not served:$failures"
check_hosts
