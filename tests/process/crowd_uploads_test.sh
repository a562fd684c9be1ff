#!/usr/bin/env bash
# Guards against memory without a bound for whole uploads that wait for the slow target of their host.
source "$(dirname "$0")/crowd_hosts.sh"

start_hosts 1 --execution_ms=1000
play_crowd "$(port 1 1)" uploads
check_hosts
