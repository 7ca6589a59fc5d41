#!/usr/bin/env bash
# Guards against a daemon that joins when another holds the whole limit of a team, gets no units of it, and
# can start nothing for most of a minute once the other one is killed.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"
# shellcheck source=scripts/task_functions.sh
. "$(dirname "$0")/../../scripts/task_functions.sh"

# units_at_least DAEMON UNITS: of the team sales.
units_at_least() {
    local document
    document=$(http "http://${operators[$1]}/v1/state")
    [[ $document =~ \"name\":\"sales\"[^}]*\"units\":([0-9]+) ]] && [ "${BASH_REMATCH[1]}" -ge "$2" ]
}

start_platform
start_worker worker-1 a --processors 6
publish_vms
start_daemon entry-a-1 a 500
wait_ready entry-a-1
set_defaults entry-a-1
give_key entry-a-1 sales
wait_for 10 units_at_least entry-a-1 64 || fail "the only daemon does not hold the whole limit"
start_daemon entry-b-1 b 500
wait_ready entry-b-1
wait_for 10 units_at_least entry-b-1 32 || fail "the daemon that joined has no units"
kill -KILL "${pids[entry-a-1]}"
wait "${pids[entry-a-1]}" || true
unset 'pids[entry-a-1]'
submit_job later entry-b-1 --processors 2 --run-ms 100 --restartable no
# The worker is taken over after the lease of the lost daemon; units would return 30 s later.
wait_for 30 job_in_state later entry-b-1 done || fail "later: $(<"$work/job.json")"
