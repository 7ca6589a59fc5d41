#!/usr/bin/env bash
# Guards against lost or doubled bookings when a backend server is silent for a while and then goes on.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

start_fleet
give_key entry-a-1 sales
for name in "${!callers[@]}"; do
    wait_key "$name" "$key"
done
# shellcheck disable=SC2046
start load "$bin/citronford_load" $(entry_options "${!callers[@]}") --idempotent quote \
    --non-idempotent booking --key "$key" --rate 200 --count 800 --prefix paused --timeout-ms 6000 \
    --record "$work/paused.record"
sleep 1
kill -STOP "${pids[booking-a]}" "${pids[quote-b]}"
sleep 1.5
kill -CONT "${pids[booking-a]}" "${pids[quote-b]}"
wait "${pids[load]}" || fail "requests were not answered"
unset 'pids[load]'
cat "$work/load.out"
save_stats
verdict --least 800 --least-run 400
