#!/usr/bin/env bash
# Guards against memory without a bound for request heads that never end.
source "$(dirname "$0")/crowd_hosts.sh"

start_hosts 1
play_crowd "$(port 1 1)" heads
check_hosts
