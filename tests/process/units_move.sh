#!/usr/bin/env bash
# Guards against units of a team that stay stranded on a daemon without load, and against more
# tasks than the limit. The limit is split over two daemons; one of them gets all the work.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"
# shellcheck source=scripts/task_functions.sh
. "$(dirname "$0")/../../scripts/task_functions.sh"

start_task_fleet 500 6
for number in {0..11}; do
    submit_job "job-$number" entry-a-1 --processors 1 --run-ms 8000 --restartable no
done
running_together() {
    [ $(($(started) - $(sum_stat done))) -ge 6 ]
}
wait_for 40 running_together ||
    fail "the team never ran as much as its limit at once; worker-1 ran $(stat_of worker-1 sales), worker-2 $(stat_of worker-2 sales)"
for number in {0..11}; do
    wait_for 60 job_in_state "job-$number" entry-a-1 done || fail "job-$number: $(<"$work/job.json")"
done
for name in worker-1 worker-2; do
    [ "$(stat_of "$name" sales)" -le 6 ] || fail "$name ran more tasks than the limit of the team"
done
