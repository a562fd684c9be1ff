#!/usr/bin/env bash
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the sidecar is not killed, and no heartbeat is late.
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
timeout -k 3 115 python3 "$(dirname "$0")/scenario.py"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
