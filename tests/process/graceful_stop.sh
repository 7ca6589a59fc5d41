#!/usr/bin/env bash
# Guards against requests cut off by a planned stop. All load goes to the stopping daemon alone until
# its listener closes, so no load balancer hides a request that it accepted and did not answer.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

start_fleet 500
give_key entry-a-1 sales
wait_key entry-a-1 "$key"
# shellcheck disable=SC2046
start load "$bin/citronford_load" $(entry_options entry-a-1) --idempotent quote \
    --non-idempotent booking --key "$key" --rate 300 --count 600 --prefix stop --probe-ms 0 \
    --record "$work/stop.record"
sleep 0.7
kill -TERM "${pids[entry-a-1]}"
sleep 0.2
if answers "${callers[entry-a-1]}/healthz/ready" 2>/dev/null; then
    fail "a stopping daemon still reports that it is ready"
fi
wait "${pids[entry-a-1]}" || fail "the daemon did not stop cleanly"
unset 'pids[entry-a-1]'
wait "${pids[load]}" || true
unset 'pids[load]'
cat "$work/load.out"
grep -q 'run_state=unsent' "$work/load.out" || fail "the daemon did not stop under load"
save_stats
verdict --least 200 --least-run 200
