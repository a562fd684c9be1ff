#!/usr/bin/env bash
# Guards against memory without a bound for unfinished chunked bodies, sent one byte a chunk.
source "$(dirname "$0")/crowd_hosts.sh"

start_hosts 1
play_crowd "$(port 1 1)" small-chunks
check_hosts
