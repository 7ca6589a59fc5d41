#!/usr/bin/env bash
# Fails unless the planted fault of every point is found: a proof that cannot fail proves nothing.
set -euo pipefail
prove=$1
missed=0
for point in $("$prove" --list); do
    if "$prove" --seed 1 --runs 200 --until-found --point "$point" --break "$point" >/dev/null; then
        echo "the planted fault of $point was not found"
        missed=1
    fi
done
exit "$missed"
