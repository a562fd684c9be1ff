#!/usr/bin/env bash
# Guards against memory without a bound for unfinished bodies of a declared length.
source "$(dirname "$0")/crowd_hosts.sh"

start_hosts 1
play_crowd "$(port 1 1)" declared
check_hosts
