#!/usr/bin/env bash
# Guards against a removed zone that goes on taking new work, and against requests that are refused or
# held back because they still reach an entry VM of that zone.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

# runs NAME: requests that an executor has run.
runs() {
    http "http://${executors[$1]}/stats" | sed 's/.*"runs":\([0-9]*\).*/\1/'
}

not_ready() {
    [ "$(http -o /dev/null -w '%{http_code}' "http://${callers[$1]}/healthz/ready")" = 503 ]
}

start_fleet
give_key entry-a-1 sales
wait_key entry-a-1 "$key"
wait_key entry-b-1 "$key"
# shellcheck disable=SC2046
start load "$bin/citronford_load" $(entry_options entry-b-1) --idempotent quote \
    --non-idempotent booking --key "$key" --rate 100 --count 800 --prefix zone --probe-ms 0 \
    --timeout-ms 3000 --record "$work/zone.record"
sleep 1
http -f -X POST "http://${operators[entry-a-1]}/v1/zones/b/out" -d '{"reason":"power work"}' >/dev/null ||
    fail "the zone was not taken out"
wait_for 4 not_ready entry-b-1 || fail "an entry VM of the removed zone is still ready"
answers "${callers[entry-a-1]}/healthz/ready" || fail "an entry VM of the other zone is not ready"
sleep 1
before=$(($(runs quote-b) + $(runs booking-b)))
sleep 2
after=$(($(runs quote-b) + $(runs booking-b)))
[ "$before" -eq "$after" ] || fail "executors of the removed zone ran $((after - before)) requests"
http -f -X POST "http://${operators[entry-a-1]}/v1/zones/b/in" >/dev/null || fail "the zone was not restored"
wait_ready entry-b-1
wait "${pids[load]}" || fail "requests were not answered"
unset 'pids[load]'
cat "$work/load.out"
[ "$(($(runs quote-b) + $(runs booking-b)))" -gt "$after" ] || fail "the restored zone runs nothing"
save_stats
verdict --least 800 --least-run 800
