#!/usr/bin/env bash
# Guards against memory without a bound for frames between nodes that stop before their end.
source "$(dirname "$0")/crowd_hosts.sh"

start_hosts 1
play_crowd "$(port 1 4)" frames
check_hosts
