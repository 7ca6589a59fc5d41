#!/usr/bin/env bash
# Guards against jobs that stand still beside idle backend servers because many others can never be done.
set -euo pipefail
bin=$1
charts=$2
root=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

"$bin/citronford_stop_series" --program "$bin/citronford_fleetd" --charts "$charts" \
    --template "$root/deploy/settings.ini.template" --directory "$work" --seed 51 \
    --callers 40 --stops 3 --max-pause-ms 1500 --failing-percent 80 --faults overlap,reloads,changes \
    2>"$work/series.log"
