#!/usr/bin/env bash
# Guards against requests cut off by a planned stop.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

expect_unready() {
    if answers "${callers[entry-a-1]}/healthz/ready" 2>/dev/null; then
        fail "a stopping daemon still reports that it is ready"
    fi
}
stop_under_load stop expect_unready
