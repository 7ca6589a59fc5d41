#!/usr/bin/env bash
# Guards against tasks that a planned stop restarts, loses or leaves without an owner until leases
# lapse. The only daemon of the zone of two workers stops while tasks run on both.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"
# shellcheck source=scripts/task_functions.sh
. "$(dirname "$0")/../../scripts/task_functions.sh"

start_task_fleet 500
# Four long tasks need both workers. Short ones keep starts under way until the daemon leaves, and the
# slow table keeps rows of starts unwritten.
long=4
short=16
for ((number = 0; number < long; ++number)); do
    submit_job "long-$number" entry-a-1 --processors 2 --run-ms 25000 \
        --restartable "$([ $((number % 2)) -eq 0 ] && echo yes || echo no)"
done
wait_for 20 tasks_started "$long" || fail "the tasks do not run"
http -f -X POST "http://$platform/fault" -d '{"delay_ms":150}' >/dev/null
submits=()
for ((number = 0; number < short; ++number)); do
    submit_job "short-$number" entry-a-1 --processors 2 --run-ms 300 --restartable no &
    submits+=($!)
done
wait "${submits[@]}" || fail "a short job was not accepted"
kill -TERM "${pids[entry-a-1]}"
# Without the table nobody can take over: the daemon has to keep the tasks alive beyond a lease.
http -f -X POST "http://$platform/fault" -d '{"outage":true}' >/dev/null
sleep 8
http -f -X POST "http://$platform/fault" -d '{"outage":false,"delay_ms":0}' >/dev/null
wait "${pids[entry-a-1]}" || fail "the daemon did not stop cleanly"
unset 'pids[entry-a-1]'
job_in_state long-1 entry-b-1 started || fail "the daemon waited for the tasks to end"
if grep -q handover_incomplete "$work/entry-a-1.log"; then
    fail "the daemon left before its work was taken over"
fi
jobs=()
for ((number = 0; number < long; ++number)); do jobs+=("long-$number"); done
for ((number = 0; number < short; ++number)); do jobs+=("short-$number"); done
for job in "${jobs[@]}"; do
    wait_for 40 job_in_state "$job" entry-b-1 done || fail "$job: $(<"$work/job.json")"
    [ "$(starts_of "$job")" -eq 1 ] || fail "$job started $(starts_of "$job") times"
done
[ "$(sum_stat done)" -eq ${#jobs[@]} ] || fail "not every task ran to its end"
[ "$(sum_stat expired)" -eq 0 ] || fail "a lease lapsed"
for name in worker-1 worker-2; do
    echo "$name: $(stat_of "$name" longest_change_ms) ms between two owners"
done
