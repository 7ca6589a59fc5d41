#!/usr/bin/env bash
# Guards against a process that ends at its start and leaves no reason in its log, and against one that a
# request to reload ends before it has a handler.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

settings() {
    cat <<SETTINGS
[node]
id=entry-1
zone=a
charts=$charts
memory_mb=$1
[listen]
callers=127.0.0.1:$2
health=127.0.0.1:0
figures=127.0.0.1:0
[platform]
table=127.0.0.1:9
[timing]
move_s=$3
SETTINGS
}
# wait_line FILE TEXT
wait_line() {
    for _ in $(seq 100); do
        grep -q -- "$2" "$1" && return
        sleep 0.05
    done
    fail "no line with '$2' in: $(cat "$1")"
}

settings 260 no-port 1 >"$work/refused.ini"
"$bin/citronford_fleetd" --settings "$work/refused.ini" >"$work/refused.log" 2>&1 && fail "it started without a port"
tail -n 1 "$work/refused.log" | grep -q 'event=start_failed code=.* reason=.*callers' ||
    fail "no last line: $(cat "$work/refused.log")"

mkfifo "$work/held.ini"
"$bin/citronford_fleetd" --settings "$work/held.ini" >"$work/held.log" 2>&1 &
pid=$!
pids[held]=$pid
exec 9>"$work/held.ini"
kill -HUP "$pid"
settings 1 0 "" >&9
exec 9>&-
wait_line "$work/held.log" 'event=setting_replaced section=timing key=move_s value="" .*default=1.5'
wait_line "$work/held.log" 'event=started'
wait_line "$work/held.log" 'event=memory_high resident_mb=[0-9]* limit_mb=1'
kill -TERM "$pid"
wait "$pid" || fail "a planned stop ended with $?"
unset 'pids[held]'
wait_line "$work/held.log" 'event=stopped'
echo "last_line: a refused start leaves its reason, a reload during the start is survived"
