#!/usr/bin/env bash
# Guards against a guide whose commands do not work: every command line of docs/operators.md is run.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"
page=$charts/../docs/operators.md

start_fleet
start_worker worker-a a
publish_vms
give_key entry-a-1 sales
wait_key entry-a-1 "$key"
export CITRONFORD_KEY=$key
export OPERATOR_ADDRESS=${operators[entry-a-1]} CALLER_ADDRESS=${callers[entry-a-1]}
export OTHER_OPERATOR_ADDRESS=${operators[entry-b-1]}
give_key entry-a-1 works
export LEAKED_KEY_ID=$key_id
citronford() {
    "$bin/citronford" "$@"
}
cd "$work"
count=0
sections=0
while IFS= read -r line; do
    [[ $line != '## '* ]] || sections=$((sections + 1))
    [[ $line == '    $ '* ]] || continue
    count=$((count + 1))
    # A command may need a change that the daemon's copy of the configuration does not show yet.
    deadline=$((SECONDS + 5))
    until eval "${line#'    $ '}" >"$work/out" 2>&1; do
        [ "$SECONDS" -lt "$deadline" ] || fail "failed: ${line#'    $ '}: $(cat "$work/out")"
        sleep 0.1
    done
done <"$page"
[ "$sections" -eq 7 ] || fail "the page has $sections sections instead of 7"
[ "$count" -ge 25 ] || fail "only $count commands were found"
echo "operators_page: $count commands of $sections sections ran"
