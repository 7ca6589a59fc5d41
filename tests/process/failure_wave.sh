#!/usr/bin/env bash
# Guards against a guide that differs from the fleet: provokes "A team is starved" and "A maintenance
# wave is stuck" of docs/operators.md.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"
fleet_defaults=${fleet_defaults/'"name":"works","limit":64'/'"name":"works","limit":1'}

start_fleet
export CITRONFORD_ENTRY=${operators[entry-a-1]}
give_key entry-a-1 works
wait_key entry-a-1 "$key"
figure() { # LINE
    grep -qxF -- "$1" <<<"$(answers "$CITRONFORD_ENTRY/metrics")"
}
state() {
    "$bin/citronford" state
}

# A team is starved: four requests at once for one unit, each as long as most of its deadline.
for name in quote-a quote-b; do
    http -f -X POST "http://${executors[$name]}/fault" -d '{"delay_ms":500}' >/dev/null
done
burst() { # sets REPLY to the result codes, sorted
    local index jobs=()
    for index in 1 2 3 4; do
        http -o /dev/null -D "$work/head-$index" -X POST \
            "http://${callers[entry-a-1]}/v1/services/quote/requests" -H "Authorization: Bearer $key" \
            -H 'Request-Timeout-Ms: 900' -H "Request-Id: burst-$RANDOM$RANDOM" -d x &
        jobs+=($!)
    done
    [ -z "${1:-}" ] || "$@"
    wait "${jobs[@]}"
    REPLY=$(cat "$work"/head-? | tr -d '\r' | awk 'tolower($1) == "result-code:" { print $2 }' | sort | xargs)
}
see_running() {
    wait_for 2 figure 'citronford_team_running{team="works"} 1' || fail "the team runs nothing"
    state | awk '$1 == "works"' >"$work/row"
}
burst see_running
# The second request may get the unit too late to end in time.
[[ $REPLY =~ ^0\ 302\ 302\ (302|402)$ ]] || fail "a starved team got the codes $REPLY"
columns=$(state | grep -A1 -x teams | tail -1)
read -r -a names <<<"$columns"
read -r -a values <"$work/row"
for index in "${!names[@]}"; do
    case ${names[$index]} in
    limit | running | units)
        [ "${values[$index]}" = 1 ] || fail "${names[$index]} is ${values[$index]}: $(cat "$work/row")"
        ;;
    esac
done
cd "$work"
"$bin/citronford" defaults show --json >defaults.json
sed -i -E 's/"limit": ?1,/"limit": 32,/' defaults.json
"$bin/citronford" defaults set defaults.json --dry-run >/dev/null || fail "the defaults were refused"
figure 'citronford_team_limit{team="works"} 1' || fail "a preview changed the limit"
"$bin/citronford" defaults set defaults.json >/dev/null || fail "the defaults were not set"
wait_for 5 figure 'citronford_team_limit{team="works"} 32' || fail "the limit is not raised"
all_run() {
    burst && [ "$REPLY" = "0 0 0 0" ]
}
wait_for 10 all_run || fail "with the limit raised the team got the codes $REPLY"
for name in quote-a quote-b; do
    http -f -X POST "http://${executors[$name]}/fault" -d '{"delay_ms":0}' >/dev/null
done

# A maintenance wave is stuck: no VM comes back from its reboot.
http -f -X POST "http://$platform/fault" -d '{"stuck_vms":["quote-a","quote-b"],"drain_ms":10}' >/dev/null
roll_out() {
    "$bin/citronford" pool maintain quotes --reason "new image"
}
wait_for 10 roll_out || fail "no roll-out"
wait_for 10 figure 'citronford_pool_unavailable{pool="quotes",cause="draining"} 1' ||
    fail "no VM is drained: $(state)"
sleep 1.5
figure 'citronford_pool_unavailable{pool="quotes",cause="draining"} 1' || fail "the budget is exceeded"
figure 'citronford_pool_roll_out_remaining{pool="quotes"} 2' || fail "the wave goes on"
figure 'citronford_pool_budget{pool="quotes"} 1' || fail "another budget"
grep -q 'quotes .*new image' <<<"$(state)" || fail "the wave is not shown: $(state)"
grep -q 'rebooting' <<<"$("$bin/citronford" vm list)" || fail "no VM is shown as rebooting: $("$bin/citronford" vm list)"
"$bin/citronford" exception add wave --scope pool/quotes --setting unavailable --value 2 \
    --reason "finish the wave tonight" >/dev/null || fail "no exception"
wait_for 5 figure 'citronford_pool_unavailable{pool="quotes",cause="draining"} 2' ||
    fail "the exception does not let the wave go on: $(state)"
figure 'citronford_pool_budget{pool="quotes"} 2' || fail "the budget does not follow the exception"
grep -q 'finish the wave tonight' <<<"$(state)" || fail "the exception is not shown with its reason"
"$bin/citronford" exception remove wave >/dev/null || fail "the exception was not removed"
wait_for 5 figure 'citronford_pool_budget{pool="quotes"} 1' || fail "the budget is not restored"
echo "failure_wave: starved team and stuck wave are as the guide says"
