#!/usr/bin/env bash
# Guards against connections that a planned stop resets because the daemon, held up by a busy machine,
# had not accepted them when its listener closed. The daemon is paused over that moment.
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
    --non-idempotent booking --key "$key" --rate 300 --count 600 --prefix held --probe-ms 0 \
    --record "$work/held.record"
sleep 0.7
kill -TERM "${pids[entry-a-1]}"
sleep 0.2
kill -STOP "${pids[entry-a-1]}"
sleep 0.5
kill -CONT "${pids[entry-a-1]}"
wait "${pids[entry-a-1]}" || fail "the daemon did not stop cleanly"
unset 'pids[entry-a-1]'
wait "${pids[load]}" || true
unset 'pids[load]'
cat "$work/load.out"
grep -q 'run_state=unsent' "$work/load.out" || fail "the daemon did not stop under load"
save_stats
verdict --least 200 --least-run 200
