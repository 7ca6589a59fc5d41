#!/usr/bin/env bash
# Guards against a maintenance wave that exceeds its availability budget, reboots a VM twice or forgets
# one, while operators move VMs, take a zone out and back in, and the node that controls the pool dies.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

# The wave must outlast every disturbance, and a takeover must fit into the time of the test.
node_lease_ms=2000
stage_budget=2
fleet_defaults='{"services":[],"teams":[],"pools":[
  {"name":"stage","wanted":9,"unavailable":2,"spare":"ledger"},
  {"name":"panels","wanted":3,"unavailable":1,"spare":"ledger"},
  {"name":"ledger","wanted":1,"unavailable":1}]}'

start_platform
http -f -X POST "http://$platform/fault" -d '{"drain_ms":300,"reboot_ms":500}' >/dev/null
for zone in a b c; do
    for number in 1 2 3; do
        add_vm "stage-$zone-$number" "$zone" stage 9
    done
    add_vm "panels-$zone" "$zone" panels 9
done
for vm in a-1 a-2 a-3 c-1 c-2; do
    add_vm "ledger-$vm" "${vm%-*}" ledger 9
done
publish_vms
for zone in a b c; do
    start_daemon "entry-$zone" "$zone"
done
wait_ready "${!callers[@]}"
set_defaults entry-a
entry=entry-a # The daemon that commands go to.

citronford() { # ARGUMENT...
    "$bin/citronford" "$@" --entry "${operators[$entry]}"
}

# machines CONDITION: the ids of the VMs whose line of the platform fulfils an awk condition.
machines() {
    answers "$platform/machines" |
        awk "{ id = \$1; state = \$2; reboots = \$3; pool = \$4; row = \$5; step = \$6 } $1 { print id }"
}
# has COUNT CONDITION: whether exactly so many VMs fulfil it.
has() {
    [ "$(machines "$2" | wc -l)" -eq "$1" ]
}
has_any() {
    [ -n "$(machines "$1")" ]
}
wave_over() {
    citronford pool show stage --json | grep -q '"done":true'
}
controller_of() { # POOL
    citronford pool show "$1" --json | sed 's/.*"controller":"\([^"]*\)".*/\1/'
}

wait_for 10 has 17 'row == "serving"' || fail "not every VM has a row: $(answers "$platform/machines")"

# Every sample is one answer of the platform: all VMs and their rows at one instant.
sample() {
    while answers "$platform/machines" && echo end; do
        sleep 0.03
    done >"$work/samples" 2>/dev/null
}
sample &
pids[sampler]=$!

citronford pool maintain stage --reason "kernel update" >"$work/wave" || fail "the wave was refused"
wait_for 10 has_any 'pool == "stage" && reboots > 0' || fail "the wave did not begin"

# Two operators race for one VM, through different daemons.
"$bin/citronford" vm move ledger-a-1 --pool panels --reason "more panels" --json \
    --entry "${operators[entry-a]}" >"$work/panels.move" 2>&1 &
first=$!
"$bin/citronford" vm move ledger-a-1 --pool stage --reason "more stages" --json \
    --entry "${operators[entry-b]}" >"$work/stage.move" 2>&1 &
second=$!
winner=
wait "$first" && winner=panels
if wait "$second"; then
    [ -z "$winner" ] || fail "both operators were told that their move was accepted"
    winner=stage
fi
[ -n "$winner" ] || fail "neither move was accepted: $(cat "$work"/*.move)"
loser=$([ "$winner" = panels ] && echo stage || echo panels)
version=$(sed 's/.*"version":\([0-9]*\).*/\1/' "$work/$winner.move")
grep -q "at table version $version\b" "$work/$loser.move" ||
    fail "the conflict does not name the version $version: $(cat "$work/$loser.move")"
wait_for 10 has 1 "id == \"ledger-a-1\" && pool == \"$winner\" && row == \"serving\"" ||
    fail "the VM did not reach the pool $winner"
wave_over && fail "the wave ended before the zone was taken out"

# The pools lose four VMs of zone b in all, and the VM moved replaces one: the spare lends three.
citronford zone out b --reason "power work" >/dev/null || fail "the zone was not taken out"
lent='pool != "ledger" && row == "serving" && id ~ /^ledger/ && id != "ledger-a-1"'
wait_for 10 has 3 "$lent" || fail "the spare did not lend three VMs: $(answers "$platform/machines")"
wait_for 5 has 0 'pool == "stage" && row != "serving"' || fail "the wave does not end its steps"
for _ in {1..20}; do
    has 0 'pool == "stage" && state != "serving"' || fail "the wave went on while a zone was out"
    sleep 0.05
done
citronford zone in b >/dev/null || fail "the zone was not brought back"
wait_for 10 has 4 'pool == "ledger" && id ~ /^ledger/ && row == "serving"' ||
    fail "the loans were not returned: $(answers "$platform/machines")"

# The daemon that controls the pool dies while it maintains a VM.
wave_over && fail "the wave ended before its controller was killed"
wait_for 5 has_any 'pool == "stage" && step == "maintain" && state != "serving"' || fail "the wave is stuck"
killed=$(controller_of stage)
kill -KILL "${pids[$killed]}"
wait "${pids[$killed]}" 2>/dev/null || true
unset "pids[$killed]"
for zone in a b c; do
    [ "entry-$zone" = "$killed" ] || entry=entry-$zone
done
wait_for 20 wave_over || fail "the wave did not end after the takeover: $(answers "$platform/machines")"
successor=$(controller_of stage)
[ -n "$successor" ] && [ "$successor" != "$killed" ] || fail "the pool is controlled by '$successor'"

kill "${pids[sampler]}"
unset 'pids[sampler]'
answers "$platform/machines" >"$work/last"
cat "$work/last" >>"$work/samples"
awk -v budget="$stage_budget" '
    $1 == "end" { samples++; out = 0; next }
    $4 == "stage" && $2 != "serving" && $5 != "moving" && ++out > most { most = out }
    END {
        printf "pools: %d samples, at most %d VMs unavailable of %d allowed\n", samples, most, budget
        exit !(samples >= 50 && most >= 1 && most <= budget)
    }' "$work/samples" || fail "the availability budget was exceeded or not sampled"
[ "$(awk '/^stage/ && $3 == 1 && $4 == "stage"' "$work/last" | wc -l)" -eq 9 ] ||
    fail "the wave did not reboot every VM once: $(cat "$work/last")"
for pool in stage:9 panels:3 ledger:4; do
    expected=${pool#*:}
    [ "$winner" != "${pool%:*}" ] || expected=$((expected + 1))
    citronford pool show "${pool%:*}" --json | grep -q "\"vms\":$expected\b" ||
        fail "the pool ${pool%:*} does not have $expected VMs: $(cat "$work/last")"
done
citronford state --json | grep -q '"invariant_violations":0' || fail "an invariant was violated"
echo "pools: the move went to $winner, $successor took over from $killed"
