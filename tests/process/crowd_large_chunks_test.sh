#!/usr/bin/env bash
# Guards against memory without a bound for unfinished chunked bodies, sent in few large chunks.
source "$(dirname "$0")/crowd_hosts.sh"

start_hosts 1
play_crowd "$(port 1 1)" large-chunks
check_hosts
