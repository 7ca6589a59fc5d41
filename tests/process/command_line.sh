#!/usr/bin/env bash
# Guards against commands that do not reach the daemon as documented: every change is made, shown and
# undone from the command line, and every failure has its documented exit code.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

start_fleet
export CITRONFORD_ENTRY=${operators[entry-a-1]}
command_line() {
    "$bin/citronford" "$@"
}
# shows TEXT COMMAND...: the output of a command must contain the text, at once or after a poll.
output_has() {
    local text=$1
    shift
    command_line "$@" 2>&1 | grep -q -- "$text"
}
shows() {
    wait_for 5 output_has "$@" || fail "expected '$1' from: ${*:2}: $(command_line "${@:2}" 2>&1)"
}
# succeeds COMMAND...: repeats a change that the daemon's copy does not allow yet.
succeeds() {
    wait_for 5 command_line "$@" || fail "failed: $*: $(command_line "$@" 2>&1)"
}
# exits CODE COMMAND...
exits() {
    local expected=$1 status=0
    shift
    command_line "$@" >"$work/out" 2>&1 || status=$?
    [ "$status" -eq "$expected" ] || fail "expected exit code $expected, got $status: $*: $(cat "$work/out")"
}

shows booking defaults show
command_line defaults show --json >"$work/defaults.json"
sed -i 's/"request_timeout_ms": 5000/"request_timeout_ms": 6000/' "$work/defaults.json"
succeeds defaults set "$work/defaults.json"
shows 6000 defaults show

succeeds exception add e1 --scope zone/a --setting key_confirmation_limit_ms --value 9000 --reason cut
shows cut exception list
exits 0 exception remove e1 --dry-run
shows e1 exception list
succeeds exception remove e1
shows none exception list

succeeds zone out b --reason "power work"
shows "power work" state
succeeds zone in b
shows "removed_zones  *-" state

command_line key give sales --json >"$work/given"
key_id=$(sed -E 's/.*"id":"([^"]*)".*/\1/' "$work/given")
shows "$key_id" key list
shows sales key list
grep -q "$(sed -E 's/.*"key":"([^"]*)".*/\1/' "$work/given")" "$work"/*.log && fail "a key is in a log"
succeeds key withdraw "$key_id"
shows none key list

shows bookings pool list
shows booking-a vm list
shows bookings vm show booking-a
exits 11 pool show nothing
exits 11 vm show nothing
exits 2 vm move booking-a --pool quotes
for vm in quote-a quote-b booking-a booking-b; do
    shows "$vm" vm list
done
before=$(command_line vm list --json) # The preview of an order changes no row.
shows "drained *booking-a" vm move booking-a --pool quotes --reason r --dry-run
shows "left_after" pool maintain quotes --reason r --dry-run
shows '"first":\["quote-' pool maintain quotes --reason r --dry-run --json
exits 11 vm move booking-a --pool nothing --reason r --dry-run
exits 11 pool maintain nothing --reason r --dry-run
sleep 1
[ "$before" = "$(command_line vm list --json)" ] || fail "a dry run changed a VM: $before"
shows "roll_out  *-" pool show quotes

shows '"zone":"b"' state --snapshot b --json --entry "$platform"
shows configuration_version state --snapshot a --entry "$platform"

exits 0 --help
exits 0 zone --help
exits 2
exits 2 nothing
exits 2 zone out
exits 2 zone out b
exits 2 state --timeout-ms 0
exits 2 state --entry nowhere
exits 2 defaults set "$work/absent"
exits 2 job submit j1 --processors many
succeeds state --entry "localhost:${operators[entry-a-1]##*:}"
exits 3 state --entry 127.0.0.1:1
exits 7 defaults set /dev/null
exits 11 key withdraw nothing
exits 11 zone in a
"$bin/citronford" state --json | grep -q '"node":"entry-a-1"' || fail "no JSON document"
echo "command_line: all commands behave as documented"
