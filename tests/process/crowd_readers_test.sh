#!/usr/bin/env bash
# Guards against memory without a bound for answers that their clients do not read.
source "$(dirname "$0")/crowd_hosts.sh"

start_hosts 1 --answer_bytes=700000
play_crowd "$(port 1 1)" readers
check_hosts
