#!/usr/bin/env bash
# Guards against connections that a planned stop resets because the daemon, held up by a busy machine,
# had not accepted them when its listener closed. The daemon is paused over that moment.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

pause_over_close() {
    kill -STOP "${pids[entry-a-1]}"
    sleep 0.5
    kill -CONT "${pids[entry-a-1]}"
}
stop_under_load held pause_over_close
