#!/usr/bin/env bash
# Guards against a guide that differs from the fleet: provokes "The platform is down", "A key has
# leaked" and "An availability zone is cut off" of docs/operators.md and compares what is seen, what
# the system does by itself and what the recommended commands achieve.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"
fleet_defaults=${fleet_defaults/'"services":['/'"services":[{"name":"status","pool":"quotes","idempotent":true,"open":true},'}

ids=0
# answer DAEMON SERVICE KEY: sets REPLY to the result code and the run state.
answer() {
    ids=$((ids + 1))
    http -m 6 -o /dev/null -D "$work/head" -X POST "http://${callers[$1]}/v1/services/$2/requests" \
        -H "Request-Id: cut-$ids" ${3:+-H "Authorization: Bearer $3"} -H 'Request-Timeout-Ms: 3000' -d x ||
        return 1
    REPLY=$(tr -d '\r' <"$work/head" | tr 'A-Z' 'a-z' |
        awk '$1 == "result-code:" { code = $2 } $1 == "run-state:" { state = $2 } END { print code, state }')
}
answered() { # EXPECTED DAEMON SERVICE KEY
    answer "${@:2}" && [ "$REPLY" = "$1" ]
}
# expect SECONDS CODE_AND_STATE DAEMON SERVICE KEY
expect() {
    wait_for "$1" answered "${@:2}" || fail "$4 at $3: expected '$2', the last answer was '$REPLY'"
}
metric() { # DAEMON NAME
    answers "${operators[$1]}/metrics" | awk -v name="$2" '$1 == name { print $2 }'
}
state() { # DAEMON
    "$bin/citronford" state --entry "${operators[$1]}"
}
outage() {
    http -f -X POST "http://$platform/fault" -d "{\"outage\":$1}" >/dev/null
}

start_fleet
export CITRONFORD_ENTRY=${operators[entry-a-1]}
give_key entry-a-1 sales
for name in "${!callers[@]}"; do
    wait_key "$name" "$key"
done

# The platform is down.
expect 5 "0 run" entry-a-1 booking "$key"
outage true
expect 5 "400 not-run" entry-a-1 booking "$key"
expect 1 "0 run" entry-a-1 quote "$key"
# A daemon scans the table every 200 ms here, so the first failure follows the outage by as much.
scan_failures_counted() {
    local count
    count=$(metric entry-a-1 'citronford_table_failures_total{operation="scan"}')
    [ "${count:-0}" -gt 0 ]
}
wait_for 5 scan_failures_counted || fail "no failures of the table are counted"
if "$bin/citronford" exception add down --scope pool/quotes --setting unavailable --value 2 \
    --reason "during the outage" >"$work/change" 2>&1; then
    fail "a change was accepted without the table"
fi
grep -Eq 'code[=": ]+40[04]' "$work/change" || fail "a change fails otherwise: $(cat "$work/change")"
outage false
expect 5 "0 run" entry-a-1 booking "$key"
"$bin/citronford" exception list >/dev/null || fail "no list of exceptions"

# A key has leaked.
leaked=$key
"$bin/citronford" key list >"$work/keys"
grep -q sales "$work/keys" || fail "the key is not listed: $(cat "$work/keys")"
leaked_id=$key_id
give_key entry-a-1 sales
"$bin/citronford" key withdraw "$leaked_id" >/dev/null || fail "the key was not withdrawn"
for name in "${!callers[@]}"; do
    expect 4 "201 not-run" "$name" quote "$leaked"
    expect 4 "0 run" "$name" quote "$key"
done
if grep -q "$leaked_id" <<<"$("$bin/citronford" key list)"; then
    fail "the withdrawn key is listed"
fi

# An availability zone is cut off: entry-b-1 hears neither the platform nor all entry VMs. The
# exception of zone a, which is cut off at the same time, lets it go on.
"$bin/citronford" exception add zone-a-cut --scope zone/a --setting key_confirmation_limit_ms \
    --value 60000 --reason "network work until noon" >/dev/null || fail "no exception"
kill -STOP "${pids[entry-a-2]}" "${pids[entry-b-2]}"
outage true
expect 8 "202 not-run" entry-b-1 quote "$key"
expect 1 "0 run" entry-b-1 status ""
metric entry-b-1 citronford_configuration_confirmation_age_seconds >"$work/age"
awk '{ exit !($1 > 3) }' "$work/age" || fail "the age of the confirmation is $(cat "$work/age")"
grep -Eq '^configuration +[0-9]+ +yes' <<<"$(state entry-b-1)" || fail "not shown as stale: $(state entry-b-1)"
expect 1 "0 run" entry-a-1 quote "$key"
grep -q 'network work until noon' <<<"$(state entry-a-1)" || fail "the exception is not shown with its reason"
outage false
kill -CONT "${pids[entry-a-2]}" "${pids[entry-b-2]}"
expect 5 "0 run" entry-b-1 quote "$key"
"$bin/citronford" exception remove zone-a-cut >/dev/null || fail "the exception was not removed"

# Both entry VMs of zone b are silent while operators take it out; it starts nothing afterwards.
kill -STOP "${pids[entry-b-1]}" "${pids[entry-b-2]}"
"$bin/citronford" zone out b --reason "cut off from the other zones" >"$work/out" ||
    fail "the zone was not taken out: $(cat "$work/out")"
kill -CONT "${pids[entry-b-1]}" "${pids[entry-b-2]}"
removed() {
    grep -q 'cut off from the other zones' <<<"$(state entry-b-1)" &&
        [ "$(metric entry-b-1 'citronford_zone_removed{zone="b"}')" = 1 ] &&
        ! answers "${callers[entry-b-1]}/healthz/ready"
}
wait_for 5 removed || fail "the removal is not in force: $(state entry-b-1)"
"$bin/citronford" zone in b >/dev/null || fail "the zone was not brought back"
wait_ready entry-b-1

# Every line of a failed request names what operators look for.
while IFS= read -r line; do
    for field in code request team zone version; do
        [[ $line == *" $field="* ]] || fail "no $field in: $line"
    done
done < <(grep -h 'event=request_failed' "$work"/*.log)
grep -hq 'event=request_failed code=202 request=cut-[0-9]* .*zone=b version=[0-9]' "$work/entry-b-1.log" ||
    fail "the refused request is not in the log of zone b"
echo "failure_cut: platform down, key leaked and zone cut are as the guide says"
