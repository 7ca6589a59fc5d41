#!/usr/bin/env bash
# Guards against a guide that differs from the fleet: provokes "A worker fails everything" and "Entry
# VMs are lost" of docs/operators.md.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

start_platform
start_executor booking-a a bookings
start_executor quote-a a quotes
start_worker worker-good a
start_worker worker-bad a
publish_vms
start_daemon entry-a-1 a
wait_ready entry-a-1
set_defaults entry-a-1
give_key entry-a-1 sales
wait_key entry-a-1 "$key"
export CITRONFORD_ENTRY=${operators[entry-a-1]} CITRONFORD_KEY=$key
figure() { # DAEMON LINE
    grep -qxF -- "$2" <<<"$(answers "${operators[$1]}/metrics")"
}
state() {
    "$bin/citronford" state "$@"
}
job() { # COMMAND ID [OPTION...]
    "$bin/citronford" job "$@" --entry "${callers[entry-a-1]}"
}
has_ended() { # ID STATE
    grep -Eq "\"state\": ?\"$2\"" <<<"$(job show "$1" --json)"
}

# A worker fails everything.
wait_for 15 figure entry-a-1 'citronford_leases_held{kind="worker"} 2' || fail "the workers are not held"
http -f -X POST "http://${executors[worker-bad]}/fault" -d '{"fail_all":true}' >/dev/null
quarantined() {
    # Larger than half a worker, so that two jobs at once need both workers.
    job submit "try-$((++tries))" --processors 40 --run-ms 1000 --restartable yes >/dev/null
    figure entry-a-1 'citronford_quarantined_workers 1'
}
tries=0
wait_for 15 quarantined || fail "the worker is not quarantined after $tries jobs: $(state)"
grep -Eq '^quarantined_workers +worker-bad$' <<<"$(state)" || fail "the worker is not named: $(state)"
grep -q worker-bad <<<"$("$bin/citronford" vm list)" || fail "the VM of the worker is not listed"
for index in 1 2 3 4 5 6; do
    job submit "after-$index" --processors 1 --run-ms 50 --restartable yes >/dev/null
done
for index in 1 2 3 4 5 6; do
    wait_for 10 has_ended "after-$index" "done" || fail "a job did not start elsewhere: $(job show "after-$index")"
done
"$bin/citronford" burn --json >"$work/burn"
grep -Eq '"kind":"jobs"[^}]*"team":"sales"' "$work/burn" || fail "no jobs in the burn report: $(cat "$work/burn")"

# Entry VMs are lost: entry-a-2 joins, then entry-a-1 dies with a job under way.
start_daemon entry-a-2 a
wait_ready entry-a-2
wait_key entry-a-2 "$key"
book() { # DAEMON
    http -m 5 -o /dev/null -D "$work/head" -X POST "http://${callers[$1]}/v1/services/booking/requests" \
        -H "Authorization: Bearer $key" -H 'Request-Id: booked-once' -d x
}
code() {
    tr -d '\r' <"$work/head" | awk 'tolower($1) == "result-code:" { print $2 }'
}
book entry-a-1
[ "$(code)" = 0 ] || fail "the booking was answered with code $(code)"
snapshot() {
    grep -q 'entry-a-1' <<<"$(state --snapshot a --entry "$platform")"
}
wait_for 5 snapshot || fail "no stored state"
held=0
for name in entry-a-1 entry-a-2; do
    figure "$name" 'citronford_leases_held{kind="worker"} 2' && held=2
done
kill -KILL "${pids[entry-a-1]}"
if book entry-a-1 2>/dev/null; then
    fail "a lost entry VM answers"
fi
book entry-a-2
[ "$(code)" = 401 ] || fail "a repeated booking was answered with code $(code)"
[ "$(http "http://${executors[booking-a]}/stats" | sed 's/.*"runs":\([0-9]*\).*/\1/')" -eq 1 ] ||
    fail "the booking ran again"
wait_for 25 figure entry-a-2 'citronford_leases_held{kind="worker"} 2' ||
    fail "the workers are not taken over ($held held by one before): $(state --entry "${operators[entry-a-2]}")"
snapshot || fail "the stored state is gone"
state --entry "${operators[entry-a-2]}" >/dev/null || fail "no state of another entry VM"
"$bin/citronford" burn --entry "${operators[entry-a-2]}" >/dev/null || fail "no burn rates of another entry VM"
echo "failure_loss: worker that fails everything and lost entry VM are as the guide says"
