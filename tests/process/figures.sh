#!/usr/bin/env bash
# Guards against a dropped figure: the metrics of a running fleet are exactly those of docs/figures.md,
# with the labels given there, and `citronford state` shows every table and member that operators use.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"
page=$charts/../docs/figures.md

start_fleet
start_worker worker-a a
publish_vms
give_key entry-a-1 sales
wait_key entry-a-1 "$key"
operator=${operators[entry-a-1]}
state() {
    "$bin/citronford" state --entry "$operator" "$@"
}

# The figures that a single run does not move are compared by name; these by value.
http -f -X POST "http://$operator/v1/exceptions" -d '{"id":"two","scope":"pool/bookings",
    "setting":"unavailable","value":"2","reason":"two at once"}' >/dev/null
http -f -X POST "http://$operator/v1/zones/b/out" -d '{"reason":"power work"}' >/dev/null
# shellcheck disable=SC2046
"$bin/citronford_load" $(entry_options entry-a-1) --non-idempotent booking --key "$key" --rate 100 \
    --count 50 --prefix figures --record "$work/figures.record" >/dev/null
metrics() {
    answers "$operator/metrics" >"$work/metrics"
}
has() { # LINE
    metrics && grep -qxF -- "$1" "$work/metrics"
}
while IFS= read -r line; do
    wait_for 10 has "$line" || fail "expected '$line', found: $(grep -F "${line%%[\{ ]*}" "$work/metrics")"
done <<'LINES'
citronford_drain_state{state="serving"} 1
citronford_claims_granted_total 50
citronford_leases_held{kind="registration"} 1
citronford_pool_budget{pool="bookings"} 2
citronford_pool_budget{pool="quotes"} 1
citronford_pool_unavailable{pool="bookings",cause="removed_zone"} 1
citronford_pool_unavailable{pool="bookings",cause="failed"} 0
citronford_pool_zone_unavailable{pool="bookings",zone="a"} 0
citronford_pool_zone_unavailable{pool="bookings",zone="b"} 1
citronford_pool_wanted{pool="quotes"} 2
citronford_team_limit{team="works"} 64
citronford_team_requests_total{team="sales",code="0"} 51
citronford_team_request_seconds_count{team="sales"} 51
citronford_zone_entry_vms{zone="b"} 2
citronford_zone_removed{zone="a"} 0
citronford_zone_removed{zone="b"} 1
LINES

# Every row: a table of the state, then the columns that it must have.
state --json >"$work/state.json"
state >"$work/state"
tables=0
while read -r table columns; do
    tables=$((tables + 1))
    grep -qx "$table" "$work/state" || fail "no table $table in the state: $(cat "$work/state")"
    head=$(grep -A1 -x "$table" "$work/state" | tail -1)
    for column in $columns; do
        [[ " $head " == *" $column "* ]] || fail "no column $column in the table $table: $head"
        grep -q "\"$table\":\[{[^]]*\"$column\":" "$work/state.json" || fail "no $table.$column in the JSON"
    done
done <<'TABLES'
members node zone state configuration_version
zones zone removed entry_vms vms unavailable
pools name wanted vms available arriving budget budget_left unavailable declared failed draining moving_out removed_zone
teams name share entitlement used queued_jobs limit units running
exceptions id scope setting value reason
removed_zones zone reason
sources name age_ms stale
TABLES
[ "$tables" -eq 7 ] || fail "only $tables tables were compared"
for name in node zone ready drain registration configuration_version open_requests waves \
    quarantined_workers invariant_violations; do
    grep -q "^$name " "$work/state" || fail "no $name in the state"
done
grep -q 'two at once' "$work/state" || fail "no reason of an exception"
grep -Eq '^vm_list +[0-9]+ +no' "$work/state" || fail "the VM list is not up to date"

# Without the platform the figures that come from it become stale; the others do not.
http -f -X POST "http://$platform/fault" -d '{"outage":true}' >/dev/null
stale() {
    grep -Eq '^vm_list +[0-9]+ +yes' <<<"$(state)" && grep -Eq '^pools +[0-9]+ +yes' <<<"$(state)"
}
wait_for 10 stale || fail "no figure is stale: $(state)"
grep -Eq '^configuration +[0-9]+ +no' <<<"$(state)" || fail "the configuration, confirmed by peers, is stale"
http -f -X POST "http://$platform/fault" -d '{"outage":false}' >/dev/null

metrics
# Names and labels, sorted: those of the page, then those shown.
awk -F'|' '/^\| `citronford_/ { gsub(/[ `]/, "", $2); gsub(/ /, "", $3); print $2, $3 }' "$page" |
    sort >"$work/expected"
sed -E -e '/^#/d' -e 's/ [^ ]*$//' -e 's/="[^"]*"//g' -e 's/[{}]/ /g' -e 's/ $//' \
    -e 's/_(bucket|sum|count)( |$)/\2/' -e 's/(,| )le$//' "$work/metrics" |
    awk '{ n = split($2, names, ","); if (n == 2 && names[1] > names[2]) $2 = names[2] "," names[1]
           print $1, $2 }' |
    sort -u >"$work/shown"
diff "$work/expected" "$work/shown" >"$work/differences" ||
    fail "docs/figures.md (<) and /metrics (>) differ: $(cat "$work/differences")"

# A roll-out shows as a wave until it ends, and a planned stop in the drain state.
http -f -X POST "http://$platform/fault" -d '{"drain_ms":60000}' >/dev/null
start_roll_out() {
    "$bin/citronford" pool maintain quotes --reason "new image" --entry "$operator"
}
wait_for 10 start_roll_out || fail "no roll-out"
in_waves() {
    grep -Eq 'quotes .*new image' <<<"$(state)"
}
wait_for 10 in_waves || fail "the roll-out is not shown: $(state)"
kill -TERM "${pids[entry-a-1]}"
wait_for 5 has 'citronford_drain_state{state="unready"} 1' || fail "the planned stop is not shown"
echo "figures: $(wc -l <"$work/expected") figures and $tables tables are shown"
