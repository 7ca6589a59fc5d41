#!/bin/sh
# Plays the case in claim.txt; see there. TROUBLE=0 leaves the disruption out. Exit codes: 0 the rule
# held, 1 it was broken, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/citronford_fleetd ] || [ ! -x target/review/large_progress ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
target/review/large_progress "$folder" "$work"
result=$?
rm -rf "$work"
exit $result
