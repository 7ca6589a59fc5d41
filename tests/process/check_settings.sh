#!/usr/bin/env bash
# Guards against a check of settings that stops at the first fault, and against one that shows a secret.
set -euo pipefail
bin=$1
charts=$2
# shellcheck source=scripts/fleet_functions.sh
. "$(dirname "$0")/../../scripts/fleet_functions.sh"

cat >"$work/wrong.ini" <<'SETTINGS'
[node]
id=entry one
log_level=loud
colour=red
[listen]
callers=localhost:80
body_limit=5
[peers]
secret=too-short
[stop]
drain_delay_ms=soon
SETTINGS
status=0
"$bin/citronfordd" --check-settings "$work/wrong.ini" >"$work/out" 2>&1 || status=$?
expected=$(awk -F'|' '$3 ~ /`setting_invalid`/ { gsub(/ /, "", $4); print $4 }' "$charts/../docs/errors.md")
[ "$status" -eq "$expected" ] || fail "the exit code is $status instead of $expected"
while IFS= read -r fault; do
    grep -qF "$fault" "$work/out" || fail "not reported: $fault; reported: $(cat "$work/out")"
done <<'FAULTS'
[node] id = entry one: not allowed
[node] log_level = loud: not allowed; allowed: debug, info, warning or error
[node] colour: unknown setting
[node] zone: missing
[listen] callers = localhost:80: not allowed
[listen] body_limit = 5: not allowed; allowed:
[peers] secret = (hidden): not allowed
[stop] drain_delay_ms = soon: not allowed
FAULTS
[ "$(grep -c '^\[' "$work/out")" -eq 8 ] || fail "other faults are reported: $(cat "$work/out")"
if grep -q 'too-short' "$work/out"; then
    fail "a secret is shown"
fi
free_port
callers[right]=127.0.0.1:$REPLY operators[right]=127.0.0.1:$REPLY peer_endpoints[right]=127.0.0.1:$REPLY
platform=127.0.0.1:$REPLY
write_settings right a 1000
"$bin/citronfordd" --check-settings "$work/right.ini" | grep -qx 'settings are valid' ||
    fail "valid settings were refused"
echo "check_settings: 8 faults of one file were reported at once"
