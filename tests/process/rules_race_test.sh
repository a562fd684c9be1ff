#!/usr/bin/env bash
# Guards against two concurrent edits of one rules version that are both accepted, and against
# rules that revert when every node is restarted.
set -uo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=26000
source scripts/cluster.sh

fail() { echo "rules_race_test: $1"; exit 1; }
rules=tests/process/one-service.rules
start_store
for host in 1 2 3; do
    write_settings "$host" "zone-$host"
    start_node "$host"
    start_target "$host" ladder-front
done
await_state 1 '"lease_running": ?true' 20 || fail "no lease"
operator 1 rules submit "$rules" --base 0 --operator first >/dev/null 2>&1 || fail "the first version was not accepted"
for host in 1 2 3; do await_rules "$host" 1 || fail "version 1 is not in force on host $host"; done

sed 's/worth=5/worth=6/' "$rules" >"$WORK/six.rules"
sed 's/worth=5/worth=7/' "$rules" >"$WORK/seven.rules"
operator 1 rules submit "$WORK/six.rules" --base 1 --operator amina >"$WORK/six.out" 2>&1 &
six=$!
operator 2 rules submit "$WORK/seven.rules" --base 1 --operator brian >"$WORK/seven.out" 2>&1 &
seven=$!
wait "$six"; six_code=$?
wait "$seven"; seven_code=$?
[ "$six_code $seven_code" = "0 4" ] || [ "$six_code $seven_code" = "4 0" ] ||
    fail "exit codes $six_code and $seven_code, expected one 0 and one 4"
[ "$six_code" = 0 ] && winner=amina || winner=brian
[ "$six_code" = 0 ] && loser="$WORK/seven.out" || loser="$WORK/six.out"
grep -q "$winner" "$loser" || fail "the output for the refused edit does not name the operator of the accepted edit"
grep -q "worth=" "$loser" || fail "the output for the refused edit does not show the differing lines"
for host in 1 2 3; do await_rules "$host" 2 || fail "version 2 is not in force on host $host"; done

for host in 1 2 3; do kill_process "node$host"; done
for host in 1 2 3; do start_node "$host"; done
for host in 1 2 3; do await_rules "$host" 2 15 || fail "host $host does not have version 2 after its restart"; done
grep -q "\"$winner\"" <<<"$(operator 3 rules show --json)" || fail "the accepted version reverted"
