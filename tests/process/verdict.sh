#!/usr/bin/env bash
# Guards against a verdict that passes although callers and executors disagree.
set -euo pipefail
bin=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# expect LINE STATUS RECORD REQUESTS DOUBLED
expect() {
    printf '%b' "$3" >"$work/calls.record"
    echo "{\"runs\":1,\"requests\":$4,\"doubled\":$5}" >"$work/one.stats"
    local status=0
    "$bin/demo_verdict" --record "$work/calls.record" --stats "$work/one.stats" --least-run 0 \
        >"$work/out" || status=$?
    if [ "$(tail -1 "$work/out")" != "demo: $1" ] || [ "$status" -ne "$2" ]; then
        echo "verdict: expected '$1' and status $2, got $status:" >&2
        cat "$work/out" >&2
        exit 1
    fi
}
expect 'sent=1 answered=1 lost=0 doubled=0 wrong=0' 0 'r run 0 own non-idempotent\n' '["r"]' '[]'
expect 'sent=1 answered=1 lost=0 doubled=0 wrong=0' 0 'r run 0 own idempotent\n' '["r"]' '["r"]'
expect 'sent=1 answered=1 lost=1 doubled=0 wrong=0' 1 'r run 0 own non-idempotent\n' '[]' '[]'
expect 'sent=1 answered=0 lost=1 doubled=0 wrong=0' 1 'r none -1 none non-idempotent\n' '["r"]' '[]'
expect 'sent=1 answered=1 lost=0 doubled=1 wrong=0' 1 'r run 0 own non-idempotent\n' '["r"]' '["r"]'
expect 'sent=1 answered=1 lost=0 doubled=0 wrong=1' 1 'r not-run 300 none non-idempotent\n' '["r"]' '[]'
expect 'sent=1 answered=1 lost=0 doubled=0 wrong=1' 1 'r run 0 other non-idempotent\n' '["r"]' '[]'
expect 'sent=0 answered=0 lost=0 doubled=0 wrong=0' 1 'r unsent -1 none non-idempotent\n' '[]' '[]'
# A request that was refused, sent again and run then: the refusal was true.
expect 'sent=2 answered=2 lost=0 doubled=0 wrong=0' 0 'r not-run 301 none non-idempotent\nr run 0 own non-idempotent\n' '["r"]' '[]'
expect 'sent=2 answered=2 lost=0 doubled=0 wrong=0' 0 'r not-run 301 none non-idempotent\nr unknown 400 none non-idempotent\n' '["r"]' '[]'
# A duplicate started nothing, so the run belongs to the request that was refused.
expect 'sent=2 answered=2 lost=0 doubled=0 wrong=1' 1 'r not-run 301 none non-idempotent\nr unknown 401 none non-idempotent\n' '["r"]' '[]'
# The refusal came after the run.
expect 'sent=2 answered=2 lost=0 doubled=0 wrong=1' 1 'r run 0 own non-idempotent\nr not-run 301 none non-idempotent\n' '["r"]' '[]'
