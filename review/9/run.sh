#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/ended_long_running
[ -x "$program" ] && [ -x target/citronford_fleetd ] || { echo "not built"; exit 2; }
temporary=$(mktemp -d) || exit 2
# The program ends its daemons when it ends, also by a signal.
trap 'kill "$case" 2>/dev/null' INT TERM
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 118 "$program" "$PWD" "$folder" "$temporary" &
case=$!
wait "$case"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
