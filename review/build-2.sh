#!/usr/bin/env bash
# Builds the programs of cases 6 to 10: each holds the stand-ins of its case.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/$(basename "$source" .cpp)" "$source" &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit $status
