#!/usr/bin/env bash
# Guards against memory without a bound for chunked bodies far over the manifest's limit.
source "$(dirname "$0")/crowd_hosts.sh"

start_hosts 1
play_crowd "$(port 1 1)" endless
check_hosts
