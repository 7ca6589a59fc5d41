#!/usr/bin/env bash
# Guards against reports that differ from what callers received: metrics, burn rates and log lines are
# compared with the answers of one run, and no key appears in the log.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

start_fleet
give_key entry-a-1 sales
wait_key entry-a-1 "$key"
operator=${operators[entry-a-1]}
metric() { # LINE: the value of one metric
    answers "$operator/metrics" | awk -v name="$1" '$1 == name { print $2 }'
}
before=$(metric 'citronford_requests_total{service="booking",code="0"}')
# shellcheck disable=SC2046
"$bin/citronford_load" $(entry_options entry-a-1) --non-idempotent booking --key "$key" --rate 200 \
    --count 200 --prefix reports --record "$work/reports.record" >/dev/null
"$bin/citronford_load" --entry "${callers[entry-a-1]}" --non-idempotent booking --key wrong \
    --rate 200 --count 50 --prefix rejected --record "$work/rejected.record" >/dev/null
after=$(metric 'citronford_requests_total{service="booking",code="0"}')
[ "$((after - ${before:-0}))" -eq 200 ] || fail "200 bookings were answered, the metric shows $after"
[ "$(metric 'citronford_requests_total{service="booking",code="201"}')" -eq 50 ] ||
    fail "50 rejected keys are not in the metrics"
[ "$(metric 'citronford_request_seconds_count{service="booking"}')" -ge 200 ] || fail "no latencies"
for name in 'citronford_queue_length{service="quote"}' 'citronford_team_units{team="sales"}' \
    'citronford_team_running{team="sales"}' citronford_configuration_version \
    citronford_configuration_confirmation_age_seconds citronford_open_connections \
    citronford_invariant_violations 'citronford_table_calls_total{operation="scan"}'; do
    [ -n "$(metric "$name")" ] || fail "$name is missing"
done

# The 50 rejected keys are errors of callers and count neither as good nor as bad.
"$bin/citronford" burn --entry "$operator" --json >"$work/burn"
grep -q '"answers":200,"bad":0,' "$work/burn" || fail "wrong counts: $(cat "$work/burn")"
"$bin/citronford" burn --entry "$operator" | grep -q 'booking' || fail "no table of burn rates"
http -H 'Accept: text/html' "http://$operator/v1/burn" >"$work/burn.html"
grep -q '<svg' "$work/burn.html" || fail "no plot"
if grep -qE '(src|href)=|url\(' "$work/burn.html"; then
    fail "the page loads something else"
fi

# Both the pool and the state, from a node that answered nothing, show the buffer for the bookings.
output_has() { # TEXT COMMAND...
    "$bin/citronford" "${@:2}" --entry "${operators[entry-b-1]}" --json | grep -q -- "$1"
}
# The burst is at least one VM, and a second VM for each survives the loss of one of two zones. How
# many of the bookings ran at one moment depends on the load of the machine.
buffer_survives_loss() {
    local burst loss total
    read -r burst loss total < <("$bin/citronford" pool show bookings --json \
        --entry "${operators[entry-b-1]}" |
        sed -nE 's/.*"buffer":\{"burst":([0-9]+),.*"largest_loss":([0-9]+),.*"total":([0-9]+)\}.*/\1 \2 \3/p')
    [ "$burst" -ge 1 ] && [ "$loss" -eq "$burst" ] && [ "$total" -eq "$((2 * burst))" ]
}
wait_for 10 buffer_survives_loss ||
    fail "no buffer: $("$bin/citronford" pool show bookings --json --entry "${operators[entry-b-1]}")"
wait_for 5 output_has '"buffers":\[{.*"name":"bookings"' state || fail "no buffers in the state report"

log=$work/entry-a-1.log
[ "$(grep -c 'event=request_failed code=201' "$log")" -le 10 ] || fail "repeated events are not limited"
grep -q 'event=request_failed code=201 request=rejected-' "$log" || fail "no line of a rejected key"
reject_job() {
    http -o /dev/null -X POST "http://${callers[entry-a-1]}/v1/jobs" -H 'Authorization: Bearer wrong' \
        -d '{"id":"rejected-job","processors":1}'
}
reject_job
grep -q 'event=job_refused code=201 job=rejected-job team="" zone=a version=[0-9]' "$log" ||
    fail "no line of a rejected job: $(grep job_refused "$log")"
http -f -X POST "http://$operator/v1/log-level" -d '{"level":"error"}' >/dev/null
lines=$(grep -c 'event=job_refused' "$log")
reject_job
[ "$(grep -c 'event=job_refused' "$log")" -eq "$lines" ] || fail "the level has no effect"
http -f -X POST "http://$operator/v1/log-level" -d '{"level":"debug"}' >/dev/null
reject_job
[ "$(grep -c 'event=job_refused' "$log")" -gt "$lines" ] || fail "the level does not change back"
grep -q 'event=log_level_changed level=error' "$log" || fail "the change of the level is not logged"
http -X POST "http://$operator/v1/log-level" -d '{"level":"loud"}' | grep -q '"code":105' ||
    fail "a wrong level was accepted"
if grep -qF "$key" "$work"/*.log; then
    fail "a key is in a log"
fi
echo "reports: metrics, burn rates and logs agree with the answers"
