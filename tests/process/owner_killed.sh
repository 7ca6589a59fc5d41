#!/usr/bin/env bash
# Guards against workers and tasks that stay without an owner after their daemon is killed, and
# against a second start of a task that may run once.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"
# shellcheck source=scripts/task_functions.sh
. "$(dirname "$0")/../../scripts/task_functions.sh"

start_task_fleet 500
submit_job again entry-a-1 --processors 2 --run-ms 3000 --restartable yes
submit_job once entry-a-1 --processors 2 --run-ms 8000 --restartable no
wait_for 20 tasks_started 2 || fail "the tasks do not run"
kill -KILL "${pids[entry-a-1]}"
wait "${pids[entry-a-1]}" || true
unset 'pids[entry-a-1]'
wait_for 60 job_in_state again entry-b-1 done || fail "again: $(<"$work/job.json")"
# It goes on when the next owner comes within the lease of the worker, and else is unknown.
once_ended() {
    job_in_state once entry-b-1 done || job_in_state once entry-b-1 unknown
}
wait_for 30 once_ended || fail "once: $(<"$work/job.json")"
[ "$(starts_of once)" -eq 1 ] || fail "a task that may run once started $(starts_of once) times"
submit_job later entry-b-1 --processors 2 --run-ms 100 --restartable no
wait_for 20 job_in_state later entry-b-1 done || fail "later: $(<"$work/job.json")"
