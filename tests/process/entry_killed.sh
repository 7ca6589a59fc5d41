#!/usr/bin/env bash
# Guards against a second run of a booking whose entry VM died: the callers send every booking again,
# with the same Request-Id, to another entry VM.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

start_fleet
give_key entry-a-1 sales
wait_key entry-a-1 "$key"
wait_key entry-b-1 "$key"
load() { # NAME RECORD ENTRY...
    local name=$1 record=$2
    shift 2
    local repeated=()
    if [ "$name" = second ]; then
        repeated=(--repeated)
    fi
    # shellcheck disable=SC2046
    start "$name" "$bin/citronford_load" $(entry_options "$@") --non-idempotent booking --key "$key" \
        --rate 200 --count 400 --prefix booking --probe-ms 0 --timeout-ms 4000 --record "$work/$record" \
        "${repeated[@]}"
}
load first first.record entry-a-1 entry-b-1
sleep 1
kill -KILL "${pids[entry-a-1]}"
wait "${pids[first]}" || true
unset 'pids[first]'
load second second.record entry-a-2 entry-b-2
wait "${pids[second]}" || fail "bookings sent again were not answered"
unset 'pids[second]'
cat "$work/first.out" "$work/second.out"
save_stats
verdict --least 500 --least-run 100 --broken-allowed
