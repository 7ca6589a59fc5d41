#!/usr/bin/env bash
# Guards against tasks that run twice when backend servers restart under their identifiers and are cut off before the leases end that the new processes took.
set -euo pipefail
bin=$1
charts=$2
root=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# series SEED: one series of restarts, with its result in $work/SEED.
series() {
    mkdir "$work/logs-$1"
    "$bin/citronford_stop_series" --program "$bin/citronford_fleetd" --charts "$charts" \
        --template "$root/deploy/settings.ini.template" --directory "$work/logs-$1" --seed "$1" \
        --callers 60 --stops 3 --max-pause-ms 1500 --long-percent 30 --longest-lease-ms 10000 \
        --faults restarts >"$work/$1" 2>"$work/logs-$1/series.log" && return
    grep -E 'event=(runs_overlap|run_after_done|server_|owner_killed|cut)' \
        "$work/logs-$1/series.log" | head -40 >>"$work/$1"
    grep -hE 'event=(ownership_begun|backend_restarted|backend_contact|backend_clock_mismatch)' \
        "$work/logs-$1"/entry-*.log | sort | tail -40 >>"$work/$1"
    return 1
}

runs=()
for seed in 7 16 19; do
    series "$seed" &
    runs+=($!)
done
status=0
for run in "${runs[@]}"; do
    wait "$run" || status=1
done
cat "$work"/7 "$work"/16 "$work"/19
exit "$status"
