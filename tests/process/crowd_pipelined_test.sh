#!/usr/bin/env bash
# Guards against memory without a bound for what clients send behind a running request.
source "$(dirname "$0")/crowd_hosts.sh"

start_hosts 1 --execution_ms=2000
play_crowd "$(port 1 1)" pipelined
check_hosts
